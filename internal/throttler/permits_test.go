package throttler

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

func newTestAllocator() *Allocator { return &Allocator{Rand: rand.New(rand.NewPCG(1, 1))} }

func newTestAllowance(fronts int, seed uint64) *Allowance {
	a := &Allowance{Rand: rand.New(rand.NewPCG(seed, 1)), Fronts: fronts}
	a.Ledger.Observe(at(0), "s", 1, at(0), named(4))
	return a
}

// TestPermitsFollowRate plays fronts that use, lose or never report their permits, in any
// order. In any span, no more permits may be used than the rate gives, and what may be
// outstanding.
func TestPermitsFollowRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newTestAllocator()
		limit := Rate(rapid.Float64Range(0.1, 20).Draw(t, "limit"))
		part := rapid.Float64Range(0.1, 1).Draw(t, "part")
		fronts := []identifier.VM{"f1", "f2", "f3", "f4"}
		weights := map[identifier.VM]float64{}
		for _, f := range fronts {
			weights[f] = rapid.Float64Range(0, 2).Draw(t, "weight")
		}
		rate := float64(PermitRate(limit)) * part
		held := map[identifier.VM]int{}
		var usedAt []int
		for ms := 0; ms < 20000; ms += 50 {
			a.Advance(at(ms), "s", limit, part, weights)
			f := fronts[rapid.IntRange(0, 3).Draw(t, "front")]
			for _, g := range a.Fetch(at(ms), f) {
				held[f] += g.Permits
			}
			n := rapid.IntRange(0, held[f]).Draw(t, "n")
			held[f] -= n
			switch rapid.IntRange(0, 2).Draw(t, "fate") {
			case 0:
				a.Report(f, PermitReport{Server: "s", Expired: n, Held: held[f]})
				continue
			case 1:
				a.Report(f, PermitReport{Server: "s", Used: n, Held: held[f]})
			}
			for range n {
				usedAt = append(usedAt, ms)
			}
		}
		for i, from := range usedAt {
			for j := i; j < len(usedAt); j++ {
				span := float64(usedAt[j]-from) / 1000
				most := rate*(span+maxRareLifetime.Seconds()) + 2
				if rate >= float64(minReissueRate) {
					most = rate*(span+maxOutstandingTime.Seconds()) + 3
				}
				if float64(j-i+1) > most {
					t.Fatalf("%d permits used in %.2f s at a rate of %.2f, want at most %.1f", j-i+1, span, rate, most)
				}
			}
		}
	})
}

// TestPermitsGoWhereTheyAreUsed guards against permits that stay with fronts which have no
// use for them.
func TestPermitsGoWhereTheyAreUsed(t *testing.T) {
	a := newTestAllocator()
	demand := map[identifier.VM]float64{"busy": 1, "idle": 1}
	got := map[identifier.VM]int{}
	for ms := 0; ms < 30000; ms += 50 {
		weights, _ := a.Weights("s", demand)
		a.Advance(at(ms), "s", 4, 1, weights)
		for _, f := range []identifier.VM{"busy", "idle"} {
			for _, g := range a.Fetch(at(ms), f) {
				if ms > 15000 {
					got[f] += g.Permits
				}
				if f == "busy" {
					a.Report(f, PermitReport{Server: "s", Used: g.Permits})
				} else {
					a.Report(f, PermitReport{Server: "s", Expired: g.Permits})
				}
			}
		}
	}
	if got["busy"] < 10*got["idle"] || got["busy"] < 55 {
		t.Errorf("in 15 s at 4 a second the busy front got %d permits, the idle one %d", got["busy"], got["idle"])
	}
	a.Report("idle", PermitReport{Server: "s", Denied: 1})
	if weights, _ := a.Weights("s", demand); weights["idle"] < deniedUsage {
		t.Errorf("a front that had to refuse a request has weight %.2f", weights["idle"])
	}
}

func TestPermitExpires(t *testing.T) {
	a := newTestAllowance(1, 1)
	l := a.Ledger.Get("s", 1)
	a.RecordContact(at(0), at(0), []Grant{{Server: "s", Permits: 2, Lifetime: time.Second}})
	if !a.Take(at(500), l) || a.CanSend(at(1000), l) {
		t.Error("one permit is usable within its lifetime, and none after it")
	}
	if got := a.TakeReports(at(1000)); len(got) != 1 || got[0] != (PermitReport{Server: "s", Used: 1, Expired: 1}) {
		t.Errorf("reports: %+v", got)
	}
	if got := a.TakeReports(at(1000)); len(got) != 0 {
		t.Errorf("reported again: %+v", got)
	}
}

func TestPermitOfUnreachableServerIsReturned(t *testing.T) {
	a := newTestAllowance(1, 1)
	a.RecordContact(at(0), at(0), []Grant{{Server: "s", Permits: 1, Lifetime: time.Second}})
	a.Take(at(0), a.Ledger.Get("s", 1))
	a.Return("s")
	if got := a.TakeReports(at(0)); len(got) != 1 || got[0].Expired != 1 || got[0].Used != 0 {
		t.Errorf("reports: %+v", got)
	}
}

// TestLowerRateVoidsPermits guards against permits that were issued for a higher rate.
func TestLowerRateVoidsPermits(t *testing.T) {
	a := newTestAllowance(1, 1)
	a.RecordContact(at(0), at(0), []Grant{{Server: "s", Permits: 3, Lifetime: time.Second}})
	a.Ledger.Observe(at(10), "s", 1, at(0), named(1))
	if a.CanSend(at(10), a.Ledger.Get("s", 1)) {
		t.Error("a permit for a higher rate is used")
	}
}

// TestFrontsWithoutCoreKeepRate plays fronts that reach no core process: after a quiet time
// and with demand for much more, all of them together keep the rate.
func TestFrontsWithoutCoreKeepRate(t *testing.T) {
	const fronts = 79
	var all []*Allowance
	for i := range fronts {
		all = append(all, newTestAllowance(fronts, uint64(i)))
		all[i].RecordContact(at(0), at(0), nil)
	}
	sent := 0
	for ms := 30000; ms < 50000; ms += 10 {
		for _, a := range all {
			if a.Take(at(ms), a.Ledger.Get("s", 1)) {
				sent++
			}
		}
	}
	if sent < 60 || sent > 100 {
		t.Errorf("%d requests in 20 s at 4 a second", sent)
	}
	for i, a := range all {
		a.RecordContact(at(50000), at(50000), nil)
		if a.CanSend(at(50100), a.Ledger.Get("s", 1)) {
			t.Errorf("front %d sends without a permit although it reaches a core process", i)
		}
	}
}

func TestExpectedInterval(t *testing.T) {
	a := newTestAllowance(8, 1)
	l := a.Ledger.Get("s", 1)
	if got := a.ExpectedInterval([]*Limit{l, l}); got != time.Second {
		t.Errorf("8 fronts with two servers of 4 a second: %s", got)
	}
}

// TestPermitsOfLostFrontAreReplaced guards against servers that get less than they name because
// a front that has died holds permits.
func TestPermitsOfLostFrontAreReplaced(t *testing.T) {
	a := newTestAllocator()
	weights := map[identifier.VM]float64{"lost": 1, "live": 1}
	got, held := 0, map[int]int{}
	for ms := 0; ms < 10000; ms += 50 {
		if ms == 2000 {
			delete(weights, "lost")
		}
		a.Advance(at(ms), "s", 2, 1, weights)
		if ms < 2000 {
			a.Fetch(at(ms), "lost")
		}
		for _, g := range a.Fetch(at(ms), "live") {
			held[ms+1200] += g.Permits
			if ms > 5000 {
				got += g.Permits
			}
		}
		a.Report("live", PermitReport{Server: "s", Used: held[ms]})
	}
	if got < 9 {
		t.Errorf("in the last 5 s of a rate of 2 the front that is left got %d permits", got)
	}
}

// TestPermitsOfRestartedCoreDoNotAddUp guards against a core process that takes reports on the
// permits of its former run, or of another process, for reports on its own, and issues those
// again while fronts still hold them.
func TestPermitsOfRestartedCoreDoNotAddUp(t *testing.T) {
	const rate = 8
	front := newTestAllowance(1, 1)
	front.Ledger.Observe(at(0), "s", 1, at(0), named(rate))
	l := front.Ledger.Get("s", 1)
	most := int(rate*maxOutstandingTime.Seconds()) + 1
	for run := range 3 {
		a := newTestAllocator()

		for ms := 2700 * run; ms < 2700*(run+1); ms += 50 {
			weights, _ := a.Weights("s", map[identifier.VM]float64{"f": 1})
			a.Advance(at(ms), "s", rate, 1, weights)
			a.Report("f", front.TakeReports(at(ms))...)
			front.RecordContact(at(ms), at(ms), a.Fetch(at(ms), "f"))
		}
	}
	taken := 0
	for front.Take(at(3*2700), l) {
		taken++
	}
	if taken > most {
		t.Errorf("a front that was idle may send %d requests at once, want %d at most", taken, most)
	}
}

// TestLostReportsDoNotWithholdPermits guards against permits that count as out for good
// because the front that held them has restarted, or its report was lost.
func TestLostReportsDoNotWithholdPermits(t *testing.T) {
	const usedAfter = 1200
	a := newTestAllocator()
	demand := map[identifier.VM]float64{"f": 1}
	used := map[int]int{}
	got := 0
	for ms := 0; ms < 20000; ms += 50 {
		weights, _ := a.Weights("s", demand)
		a.Advance(at(ms), "s", 4, 1, weights)
		a.Report("f", PermitReport{Server: "s", Used: used[ms]})
		for _, g := range a.Fetch(at(ms), "f") {
			if ms > 10000 {
				got += g.Permits
			}
			// Those of the first second are never reported.
			if ms > 1000 {
				used[ms+usedAfter] += g.Permits
			}
		}
	}
	if got < 38 {
		t.Errorf("%d permits in 10 s at 4 a second", got)
	}
}
