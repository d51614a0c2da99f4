package claimer

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

func applyCommand(t *rapid.T, s *State, c Command) Outcome {
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var o Outcome
	if err := json.Unmarshal(s.Apply(data), &o); err != nil {
		t.Fatal(err)
	}
	return o
}

// TestClaims applies commands of attempts with a few keys in random order: begin,
// retried begin, finish and release, with ticks and snapshots in between. A request
// runs when its attempt is granted the claim. No request may run twice with the same
// key, unless the first attempt released the claim or its stored response has expired.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		now, attempts := int64(0), 0
		const retention = 100
		// holders has the attempt that holds the claim of each key, expiresAt when the
		// claims of finished attempts expire.
		holders := map[string]string{}
		expiresAt := map[string]int64{}
		key := func(t *rapid.T) string { return rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key") }
		command := func(a Action, k, attempt string) Command {
			return Command{Action: a, Key: Key{Value: k}, Fingerprint: "f", Attempt: attempt, Retention: retention}
		}
		expire := func() {
			for k, at := range expiresAt {
				if at <= now {
					delete(expiresAt, k)
					delete(holders, k)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				k := key(t)
				attempts++
				expire()
				o := applyCommand(t, &s, command(ActionBegin, k, fmt.Sprint(attempts)))
				_, finished := expiresAt[k]
				switch {
				case holders[k] == "":
					if o.Verdict != VerdictGranted {
						t.Fatalf("begin with a free key returned %s", o.Verdict)
					}
					holders[k] = fmt.Sprint(attempts)
				case finished:
					if o.Verdict != VerdictFinished || string(o.Response.Body) != holders[k] {
						t.Fatalf("begin with a finished key returned %s with %v", o.Verdict, o.Response)
					}
				case o.Verdict != VerdictRunning:
					t.Fatalf("begin with the key of a running request returned %s", o.Verdict)
				}
			},
			"begin_again": func(t *rapid.T) {
				k := key(t)
				if _, finished := expiresAt[k]; holders[k] != "" && !finished {
					if o := applyCommand(t, &s, command(ActionBegin, k, holders[k])); o.Verdict != VerdictGranted {
						t.Fatalf("a retried begin returned %s", o.Verdict)
					}
				}
			},
			"reuse": func(t *rapid.T) {
				k := key(t)
				expire()
				c := command(ActionBegin, k, "other")
				c.Fingerprint = "g"
				if holders[k] == "" {
					return
				}
				if o := applyCommand(t, &s, c); o.Verdict != VerdictMismatch {
					t.Fatalf("begin with a key of another request returned %s", o.Verdict)
				}
			},
			"finish": func(t *rapid.T) {
				k := key(t)
				if _, finished := expiresAt[k]; holders[k] == "" || finished {
					return
				}
				c := command(ActionFinish, k, holders[k])
				c.Response = &Response{Status: 201, Body: []byte(holders[k])}
				if o := applyCommand(t, &s, c); o.Verdict != VerdictApplied {
					t.Fatalf("finish by the holder returned %s", o.Verdict)
				}
				expiresAt[k] = now + retention
			},
			"finish_stale": func(t *rapid.T) {
				c := command(ActionFinish, key(t), "nobody")
				c.Response = &Response{Status: 500}
				if o := applyCommand(t, &s, c); o.Verdict != VerdictStale {
					t.Fatalf("finish by another attempt returned %s", o.Verdict)
				}
			},
			"release": func(t *rapid.T) {
				k := key(t)
				_, finished := expiresAt[k]
				o := applyCommand(t, &s, command(ActionRelease, k, holders[k]))
				if finished || holders[k] == "" {
					if o.Verdict != VerdictStale {
						t.Fatalf("release of a finished or free key returned %s", o.Verdict)
					}
					return
				}
				delete(holders, k)
			},
			"wait": func(t *rapid.T) {
				ms := int64(rapid.IntRange(0, 150).Draw(t, "ms"))
				now += ms
				applyCommand(t, &s, Command{Action: ActionTick, Elapsed: ms})
			},
			// A tick with a negative time must not change the clock.
			"tick_back": func(t *rapid.T) { applyCommand(t, &s, Command{Action: ActionTick, Elapsed: -1000}) },
			"snapshot": func(t *rapid.T) {
				var restored State
				if err := restored.Restore(s.Snapshot()); err != nil {
					t.Fatal(err)
				}
				if restored.Count() != s.Count() {
					t.Fatalf("%d claims were restored, want %d", restored.Count(), s.Count())
				}
				s.claims, s.expiries, s.clock = restored.claims, restored.expiries, restored.clock
			},
		})
	})
}

// measure enables the measurement, which prints its results.
var measure = flag.Bool("measure", false, "measure memory and snapshots of many claims")

// TestMeasureClaims measures the memory and time that finished claims take, each with a
// stored response of 200 bytes.
func TestMeasureClaims(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	const claimCount, bodyBytes = 100_000, 200
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var s State
	start := time.Now()
	for i := range claimCount {
		c := Command{Action: ActionBegin, Key: Key{Team: "t", Service: "s", Value: fmt.Sprint("key-", i)}, Fingerprint: NewFingerprint("POST", "/", nil), Attempt: fmt.Sprint(i)}
		mustApply(t, &s, c)
		c.Action, c.Response, c.Retention = ActionFinish, &Response{Status: 201, Body: make([]byte, bodyBytes)}, 1<<40
		mustApply(t, &s, c)
	}
	timePerClaim := time.Since(start) / claimCount
	runtime.GC()
	runtime.ReadMemStats(&after)
	start = time.Now()
	serialize := s.PrepareSnapshot()
	prepareTime := time.Since(start)
	size := len(serialize())
	t.Logf("%d claims: %d bytes of memory each, %v of processor time each, a snapshot of %d MB in %v, of which the log waits %v",
		claimCount, (after.HeapAlloc-before.HeapAlloc)/claimCount, timePerClaim, size>>20, time.Since(start), prepareTime)
	runtime.KeepAlive(&s)
}

func mustApply(t *testing.T, s *State, c Command) {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(data)
}
