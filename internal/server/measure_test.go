package server

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/loader"
	"trefoilhead.org/trefoilhead/internal/router"
)

// measure runs the measurements, which print figures and check integrity only.
var measure = flag.Bool("measure", false, "run the measurements on the paused clock")

// policies are the choices of a group that are compared.
func policies() map[string]func() router.Policy {
	r := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
	return map[string]func() router.Policy{
		"round_robin":     func() router.Policy { return &router.RoundRobin{} },
		"least_loaded":    func() router.Policy { return router.LeastLoaded{} },
		"two_choices":     func() router.Policy { return router.TwoChoices{Rand: r()} },
		"prefix_affinity": func() router.Policy { return &router.PrefixAffinity{Bound: maxRelativeLoad} },
	}
}

// measureTokens is the length of the answers of measured load.
const measureTokens = 32

// loadShares are the loads that are measured, as shares of what remains.
var loadShares = []float64{0.6, 0.85, 1.05}

// offerLoad sends chat load for a while and returns its report.
func (w *testCluster) offerLoad(rate float64, d time.Duration) loader.TeamReport {
	var entries []string
	for _, p := range w.peers {
		entries = append(entries, "http://"+string(p.VM)+":7001")
	}
	l := &loader.Load{
		Entries: entries, Duration: d, Timeout: 30 * time.Second, Seed: uint64(time.Now().UnixNano()), Client: w.client,
		Traffic: []loader.Traffic{{
			Team: "team", APIKey: teamKey, Service: "chat", Rate: rate, Arrivals: loader.Poisson,
			Tokens: measureTokens, PromptBytes: 200,
		}},
	}
	return l.Run(context.Background())[0]
}

// warmUp loads the groups until their limits have grown.
func (w *testCluster) warmUp(rate float64) { w.offerLoad(rate, 30*time.Second) }

func printReport(name string, r loader.TeamReport) {
	fmt.Printf("%-34s sent %5d complete %6.2f %% not_run %4d unknown %d broken %d wrong %d  first token ms p50 %.0f p95 %.0f p99 %.0f  between p95 %.0f %v\n",
		name, r.Sent, 100*float64(r.Complete)/float64(max(r.Sent, 1)), r.NotRun, r.Unknown, r.Broken, r.Wrong,
		r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.Between.P95, r.Codes)
}

// fourGroupRate is the number of requests per second that four warm groups
// bear: 16 at once, each for a first token of 100 ms and 32 tokens of 20 ms.
const fourGroupRate = 4 * 16 / (0.1 + measureTokens*0.02)

// TestMeasureDomainMove measures service while a failure domain leaves and
// returns.
func TestMeasureDomainMove(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, share := range loadShares {
		for _, name := range measuredPolicies {
			withCluster(t, 2, func(w *testCluster) {
				for _, e := range w.entries {
					e.server.relayer.Policy = policies()[name]()
				}
				rate := share * fourGroupRate
				w.warmUp(rate)
				title := fmt.Sprintf("%3.0f %% %s", 100*share, name)
				printReport(title+" before", w.offerLoad(rate, 10*time.Second))
				w.setDrained("c", true)
				out := time.Now()
				last := w.watchLastRequest("c", out)
				printReport(title+" leaving", w.offerLoad(rate, 20*time.Second))
				fmt.Printf("%-34s last new work reached it %s after the call\n", title, last())
				w.setDrained("c", false)
				back := time.Now()
				first := w.watchFirstRequest("c", back)
				printReport(title+" returning", w.offerLoad(rate, 20*time.Second))
				fmt.Printf("%-34s it took work again %s after the call\n", title, first())
			})
		}
	}
}

// watchLastRequest watches a domain and returns when work last reached it.
func (w *testCluster) watchLastRequest(d identifier.FailureDomain, since time.Time) func() time.Duration {
	stop := make(chan struct{})
	last := make(chan time.Duration, 1)
	go func() {
		before, at := w.runCountIn(d), time.Duration(0)
		for {
			select {
			case <-stop:
				last <- at
				return
			case <-time.After(100 * time.Millisecond):
			}
			if n := w.runCountIn(d); n != before {
				before, at = n, time.Since(since)
			}
		}
	}()
	return func() time.Duration {
		close(stop)
		return <-last
	}
}

func (w *testCluster) watchFirstRequest(d identifier.FailureDomain, since time.Time) func() time.Duration {
	first := make(chan time.Duration, 1)
	go func() {
		before := w.runCountIn(d)
		for w.runCountIn(d) == before && time.Since(since) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		first <- time.Since(since)
	}()
	return func() time.Duration { return <-first }
}

// TestMeasureColdStart offers load to engines that are cold for ten seconds,
// with the ramp and with limits that are warm from the start.
func TestMeasureColdStart(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, ramp := range []bool{true, false} {
		withCluster(t, 2, func(w *testCluster) {
			if !ramp {
				w.coldConcurrency = 16
				w.declare("1")
			}
			w.setFaults("engine", emulator.Faults{Cold: true})
			for i := range 4 {
				printReport(fmt.Sprintf("ramp %t, seconds %2d to %2d", ramp, 5*i, 5*i+5), w.offerLoad(fourGroupRate, 5*time.Second))
				if i == 1 {
					w.setFaults("engine", emulator.Faults{})
				}
			}
		})
	}
}

// TestMeasureFairness offers small teams' load with and without another team's
// flood.
func TestMeasureFairness(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, flood := range []float64{0, 3} {
		withCluster(t, 2, func(w *testCluster) {
			w.warmUp(fourGroupRate)
			l := &loader.Load{Duration: 20 * time.Second, Timeout: 30 * time.Second, Seed: 3, Client: w.client}
			for _, p := range w.peers {
				l.Entries = append(l.Entries, "http://"+string(p.VM)+":7001")
			}
			team := func(name, key string, rate float64) loader.Traffic {
				return loader.Traffic{
					Team: name, APIKey: key, Service: "chat", Rate: rate, Arrivals: loader.Poisson,
					Tokens: measureTokens, PromptBytes: 200, Spread: 0.5,
				}
			}
			l.Traffic = []loader.Traffic{team("small", smallKey, fourGroupRate/10)}
			if flood > 0 {
				l.Traffic = append(l.Traffic, team("flood", teamKey, flood*fourGroupRate))
			}
			for _, r := range l.Run(context.Background()) {
				printReport(fmt.Sprintf("flood of %.0f times, team %s", flood, r.Team), r)
			}
		})
	}
}

// measuredPolicies are the policies that are compared.
var measuredPolicies = []string{"round_robin", "least_loaded", "two_choices", "prefix_affinity"}

// TestMeasureElections measures the time until an operator's change is accepted
// after the configuration log's leader is killed, and after its failure domain
// is cut off.
func TestMeasureElections(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, cut := range []bool{false, true} {
		var took []time.Duration
		for range 10 {
			withCluster(t, 1, func(w *testCluster) {
				leader := string(w.entries["entry-a-1"].server.leaderOf(configLog))
				other := "entry-a-1"
				if leader == other {
					other = "entry-b-1"
				}
				if cut {
					w.partitionDomain(w.entries[leader].settings.FailureDomain, true)
				} else {
					w.killEntry(leader)
				}
				start := time.Now()
				w.setDrainedVia(other, "c", true)
				took = append(took, time.Since(start))
			})
		}
		slices.Sort(took)
		fmt.Printf("leader lost, cut off %t: a change is accepted after p50 %v, most %v\n", cut, took[len(took)/2], took[len(took)-1])
	}
}
