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

// measure enables the measurements, which print figures and check only that
// responses are intact.
var measure = flag.Bool("measure", false, "run the measurements on the paused clock")

// policies returns constructors of the routing policies by their names.
func policies() map[string]func() router.Policy {
	r := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
	return map[string]func() router.Policy{
		"round_robin":     func() router.Policy { return &router.RoundRobin{} },
		"least_loaded":    func() router.Policy { return router.LeastLoaded{} },
		"two_choices":     func() router.Policy { return router.TwoChoices{Rand: r()} },
		"prefix_affinity": func() router.Policy { return &router.PrefixAffinity{MaxRelativeLoad: maxRelativeLoad} },
	}
}

// measureTokens is the mean number of tokens of an answer under the offered load.
const measureTokens = 32

// loadShares are the measured loads, as shares of the capacity that remains when
// one of the three failure domains is evacuated.
var loadShares = []float64{0.6, 0.85, 1.05}

// offerLoad sends chat requests at a mean rate per second for the duration d and
// returns the report.
func (w *testCluster) offerLoad(rate float64, d time.Duration) loader.TeamReport {
	var entries []string
	for _, p := range w.peers {
		entries = append(entries, "http://"+string(p.VM)+":7001")
	}
	l := &loader.LoadTest{
		EntryURLs: entries, Duration: d, Timeout: 30 * time.Second, Seed: uint64(time.Now().UnixNano()), Client: w.client,
		Traffic: []loader.Traffic{{
			Team: "team", APIKey: teamKey, Service: "chat", RequestsPerSecond: rate, Arrivals: loader.Poisson,
			MeanAnswerTokens: measureTokens, MeanPromptBytes: 200,
		}},
	}
	return l.Run(context.Background())[0]
}

// warmUp offers load for 30 seconds, so that the groups' concurrency limits grow.
func (w *testCluster) warmUp(rate float64) { w.offerLoad(rate, 30*time.Second) }

func printReport(name string, r loader.TeamReport) {
	fmt.Printf("%-34s sent %5d complete %6.2f %% not_run %4d unknown %d broken %d wrong %d  first token ms p50 %.0f p95 %.0f p99 %.0f  between p95 %.0f %v\n",
		name, r.Sent, 100*float64(r.Complete)/float64(max(r.Sent, 1)), r.NotRun, r.MayHaveRun, r.Broken, r.Wrong,
		r.TimeToFirstToken.P50, r.TimeToFirstToken.P95, r.TimeToFirstToken.P99, r.TimeBetweenTokens.P95, r.Codes)
}

// fourGroupRate is the number of requests per second that four warm groups can
// handle: each runs 16 requests at a time, and a request takes 100 ms to the first
// token and 20 ms for each of its 32 tokens.
const fourGroupRate = 4 * 16 / (0.1 + measureTokens*0.02)

// TestMeasureDomainMove measures success rates and latencies while a failure
// domain is evacuated and returned to service.
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
				w.setEvacuated("c", true)
				evacuatedAt := time.Now()
				lastRequest := w.watchLastRequest("c", evacuatedAt)
				printReport(title+" leaving", w.offerLoad(rate, 20*time.Second))
				fmt.Printf("%-34s last new work reached it %s after the call\n", title, lastRequest())
				w.setEvacuated("c", false)
				returnedAt := time.Now()
				firstRequest := w.watchFirstRequest("c", returnedAt)
				printReport(title+" returning", w.offerLoad(rate, 20*time.Second))
				fmt.Printf("%-34s it took work again %s after the call\n", title, firstRequest())
			})
		}
	}
}

// watchLastRequest watches a failure domain in the background. The function that it
// returns stops watching, and returns the time from since to the last request there.
func (w *testCluster) watchLastRequest(d identifier.FailureDomain, since time.Time) func() time.Duration {
	stop := make(chan struct{})
	result := make(chan time.Duration, 1)
	go func() {
		count, last := w.runCountIn(d), time.Duration(0)
		for {
			select {
			case <-stop:
				result <- last
				return
			case <-time.After(100 * time.Millisecond):
			}
			if n := w.runCountIn(d); n != count {
				count, last = n, time.Since(since)
			}
		}
	}()
	return func() time.Duration {
		close(stop)
		return <-result
	}
}

func (w *testCluster) watchFirstRequest(d identifier.FailureDomain, since time.Time) func() time.Duration {
	first := make(chan time.Duration, 1)
	go func() {
		count := w.runCountIn(d)
		for w.runCountIn(d) == count && time.Since(since) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		first <- time.Since(since)
	}()
	return func() time.Duration { return <-first }
}

// TestMeasureColdStart offers load to engines that are cold for ten seconds, once
// with concurrency limits that start low and grow, once with the full limits from
// the start.
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

// TestMeasureFairness measures a small team's requests with and without another
// team that sends three times the requests that the groups can handle.
func TestMeasureFairness(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, flood := range []float64{0, 3} {
		withCluster(t, 2, func(w *testCluster) {
			w.warmUp(fourGroupRate)
			l := &loader.LoadTest{Duration: 20 * time.Second, Timeout: 30 * time.Second, Seed: 3, Client: w.client}
			for _, p := range w.peers {
				l.EntryURLs = append(l.EntryURLs, "http://"+string(p.VM)+":7001")
			}
			team := func(name, key string, rate float64) loader.Traffic {
				return loader.Traffic{
					Team: name, APIKey: key, Service: "chat", RequestsPerSecond: rate, Arrivals: loader.Poisson,
					MeanAnswerTokens: measureTokens, MeanPromptBytes: 200, AnswerTokenSpread: 0.5,
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

// measuredPolicies are the names of the routing policies in the order in which
// they are measured.
var measuredPolicies = []string{"round_robin", "least_loaded", "two_choices", "prefix_affinity"}

// TestMeasureElections measures the time until an operator's change is accepted
// after the leader of the configuration log is killed, or its failure domain is
// disconnected.
func TestMeasureElections(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, disconnect := range []bool{false, true} {
		var delays []time.Duration
		for range 10 {
			withCluster(t, 1, func(w *testCluster) {
				leader := string(w.entries["entry-a-1"].server.leaderOf(configLog))
				other := "entry-a-1"
				if leader == other {
					other = "entry-b-1"
				}
				if disconnect {
					w.partitionDomain(w.entries[leader].settings.FailureDomain, true)
				} else {
					w.killEntry(leader)
				}
				start := time.Now()
				w.setEvacuatedVia(other, "c", true)
				delays = append(delays, time.Since(start))
			})
		}
		slices.Sort(delays)
		fmt.Printf("leader lost, cut off %t: a change is accepted after p50 %v, most %v\n", disconnect, delays[len(delays)/2], delays[len(delays)-1])
	}
}
