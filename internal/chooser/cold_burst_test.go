package chooser

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/tracker"
)

// TestBurstKeepsRateOfColdServer guards against fronts that save up requests for a cold server
// while nothing comes and send them together.
func TestBurstKeepsRateOfColdServer(t *testing.T) {
	const fronts = 79
	const coldTime = 3 * time.Second
	cold := headServer(0)
	cold.ColdUntil = testStart.Add(coldTime)
	var all []*Chooser
	for i := range fronts {
		c := newTestChooser(t, i, []*tracker.Server{cold})
		c.FrontCount = fronts
		all = append(all, c)
	}
	// A first look at the server at the start, and then a burst near the end of its cold
	// phase.
	sent := 0
	for _, at := range []time.Duration{0, coldTime - 200*time.Millisecond, coldTime - 100*time.Millisecond} {
		now := testStart.Add(at)
		for _, c := range all {
			got := c.Choose(now, testRequest())
			if got.Server == nil {
				continue
			}
			c.RecordSent(now, got.Server.ID, 0)
			if at > 0 {
				sent++
			}
		}
	}
	allowed := 14*all[0].ColdOvershoot + all[0].ColdSlack
	if float64(sent) > allowed {
		t.Errorf("a cold server got %d requests in 0.1 s, allowed %.0f in 1 s", sent, allowed)
	}
}

// TestQuietThenBusyFrontsKeepRateOfColdServer guards the same for several numbers of fronts,
// each of which sends all that it may for a second after a quiet time.
func TestQuietThenBusyFrontsKeepRateOfColdServer(t *testing.T) {
	const (
		seeds     = 200
		quietTime = 1500 * time.Millisecond
		step      = 20 * time.Millisecond
		// attempts are the requests that come to each front in one step.
		attempts = 3
	)
	for _, fronts := range []int{1, 3, 9, 27, 79} {
		for seed := range seeds {
			cold := headServer(0)
			cold.ColdUntil = testStart.Add(2 * quietTime)
			var all []*Chooser
			for i := range fronts {
				c := newTestChooser(t, seed*fronts+i, []*tracker.Server{cold})
				c.FrontCount = fronts
				c.Choose(testStart, testRequest())
				all = append(all, c)
			}
			sent := 0
			for at := quietTime; at < quietTime+time.Second; at += step {
				now := testStart.Add(at)
				for _, c := range all {
					for range attempts {
						if got := c.Choose(now, testRequest()); got.Server != nil {
							c.RecordSent(now, got.Server.ID, 0)
							c.RecordEnd(got.Server.ID, 0, false)
							sent++
						}
					}
				}
			}
			if allowed := 14*all[0].ColdOvershoot + all[0].ColdSlack; float64(sent) > allowed {
				t.Errorf("%d fronts, seed %d: a cold server got %d requests in 1 s, allowed %.0f", fronts, seed, sent, allowed)
			}
		}
	}
}
