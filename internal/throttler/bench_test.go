package throttler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// BenchmarkAdvance measures one step of a core process with 100 limited servers and 27 fronts.
func BenchmarkAdvance(b *testing.B) {
	a := &Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
	demand := map[identifier.VM]float64{}
	for i := range 27 {
		demand[identifier.VM(fmt.Sprint("f", i))] = 1
	}
	for n := 0; b.Loop(); n++ {
		now := at(50 * n)
		for s := range 100 {
			id := identifier.Server(fmt.Sprint("s", s))
			weights, _ := a.Weights(id, demand)
			a.Advance(now, id, 5, 0.33, weights)
		}
		a.Fetch(now, "f1")
	}
}

// BenchmarkTake measures the choice of one of 100 limited servers at a front.
func BenchmarkTake(b *testing.B) {
	a := &Allowance{Rand: rand.New(rand.NewPCG(1, 1)), Fronts: 79}
	var limits []*Limit
	for s := range 100 {
		id := identifier.Server(fmt.Sprint("s", s))
		a.Ledger.Observe(at(0), id, 1, at(0), named(5))
		limits = append(limits, a.Ledger.Get(id, 1))
	}
	a.RecordContact(at(0), at(0), nil)
	for b.Loop() {
		for _, l := range limits {
			a.Take(at(0).Add(time.Millisecond), l)
		}
	}
}
