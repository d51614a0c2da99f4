package chooser

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/tracker"
)

var measure = flag.Bool("measure", false, "run measurements")

// TestMeasureColdSlots prints how many requests a cold server gets in its cold phase, and the
// most in one second, at several demands for each front.
func TestMeasureColdSlots(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	const runs = 20
	const coldTime = 3 * time.Second
	for _, fronts := range []int{9, 79} {
		for _, demand := range []float64{0.3, 1, 3, 100} {
			total, highest := 0, 0
			for run := range runs {
				cold := headServer(0)
				cold.ColdUntil = testStart.Add(coldTime)
				rnd := rand.New(rand.NewPCG(uint64(run), 9))
				var all []*Chooser
				for i := range fronts {
					c := newTestChooser(t, 1000*run+i, []*tracker.Server{cold})
					c.FrontCount = fronts
					all = append(all, c)
				}
				var sent []time.Duration
				const step = 10 * time.Millisecond
				for at := time.Duration(0); at < coldTime; at += step {
					for _, c := range all {
						if rnd.Float64() < demand*step.Seconds() && c.Choose(testStart.Add(at), testRequest()).Server != nil {
							c.RecordSent(testStart.Add(at), cold.ID, 0)
							c.RecordEnd(cold.ID, 0, false)
							sent = append(sent, at)
						}
					}
				}
				total += len(sent)
				for i, from := range sent {
					n := 0
					for _, at := range sent[i:] {
						if at-from < time.Second {
							n++
						}
					}
					highest = max(highest, n)
				}
			}
			fmt.Printf("%d fronts, %5.1f requests a second each: %5.1f sent, at most %d in a second\n", fronts, demand, float64(total)/runs, highest)
		}
	}
}
