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

func run(t *rapid.T, s *State, c Command) Outcome {
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

// TestClaims lets attempts under a few keys come, repeat, end and be released
// in any order, with snapshots in between. A request runs when its attempt is
// granted; no key ever runs twice unless the first run was released as not run
// or its answer has expired.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		now, attempts := int64(0), 0
		const retention = 100
		// holder is the granted attempt of each key, answered those with an
		// answer and when it expires.
		holder := map[string]string{}
		answered := map[string]int64{}
		key := func(t *rapid.T) string { return rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key") }
		command := func(a Action, k, attempt string) Command {
			return Command{Action: a, Key: Key{Value: k}, Fingerprint: "f", Attempt: attempt, Retention: retention}
		}
		forget := func() {
			for k, at := range answered {
				if at <= now {
					delete(answered, k)
					delete(holder, k)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				k := key(t)
				attempts++
				forget()
				o := run(t, &s, command(ActionBegin, k, fmt.Sprint(attempts)))
				_, done := answered[k]
				switch {
				case holder[k] == "":
					if o.Verdict != VerdictGranted {
						t.Fatalf("a free key was %s", o.Verdict)
					}
					holder[k] = fmt.Sprint(attempts)
				case done:
					if o.Verdict != VerdictFinished || string(o.Response.Body) != holder[k] {
						t.Fatalf("an answered key was %s with %v", o.Verdict, o.Response)
					}
				case o.Verdict != VerdictRunning:
					t.Fatalf("a running key was %s", o.Verdict)
				}
			},
			"begin_again": func(t *rapid.T) {
				k := key(t)
				if _, done := answered[k]; holder[k] != "" && !done {
					if o := run(t, &s, command(ActionBegin, k, holder[k])); o.Verdict != VerdictGranted {
						t.Fatalf("a repeated begin was %s", o.Verdict)
					}
				}
			},
			"reuse": func(t *rapid.T) {
				k := key(t)
				forget()
				c := command(ActionBegin, k, "other")
				c.Fingerprint = "g"
				if holder[k] == "" {
					return
				}
				if o := run(t, &s, c); o.Verdict != VerdictMismatch {
					t.Fatalf("a reused key was %s", o.Verdict)
				}
			},
			"finish": func(t *rapid.T) {
				k := key(t)
				if _, done := answered[k]; holder[k] == "" || done {
					return
				}
				c := command(ActionFinish, k, holder[k])
				c.Response = &Response{Status: 201, Body: []byte(holder[k])}
				if o := run(t, &s, c); o.Verdict != VerdictApplied {
					t.Fatalf("the end of a run was %s", o.Verdict)
				}
				answered[k] = now + retention
			},
			"finish_stale": func(t *rapid.T) {
				c := command(ActionFinish, key(t), "nobody")
				c.Response = &Response{Status: 500}
				if o := run(t, &s, c); o.Verdict != VerdictStale {
					t.Fatalf("the end of no run was %s", o.Verdict)
				}
			},
			"release": func(t *rapid.T) {
				k := key(t)
				_, done := answered[k]
				o := run(t, &s, command(ActionRelease, k, holder[k]))
				if done || holder[k] == "" {
					if o.Verdict != VerdictStale {
						t.Fatalf("a release without a run was %s", o.Verdict)
					}
					return
				}
				delete(holder, k)
			},
			"wait": func(t *rapid.T) {
				ms := int64(rapid.IntRange(0, 150).Draw(t, "ms"))
				now += ms
				run(t, &s, Command{Action: ActionTick, Elapsed: ms})
			},
			// Nothing but a tick forward ages a claim.
			"tick_back": func(t *rapid.T) { run(t, &s, Command{Action: ActionTick, Elapsed: -1000}) },
			"snapshot": func(t *rapid.T) {
				var copied State
				if err := copied.Restore(s.Snapshot()); err != nil {
					t.Fatal(err)
				}
				if copied.Count() != s.Count() {
					t.Fatalf("%d claims in the copy of %d", copied.Count(), s.Count())
				}
				s.claims, s.queue, s.now = copied.claims, copied.queue, copied.now
			},
		})
	})
}

// measure runs the measurement, which prints figures.
var measure = flag.Bool("measure", false, "measure memory and snapshots of many claims")

// TestMeasureClaims measures what finished claims with an answer of 200 bytes
// cost.
func TestMeasureClaims(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	const claims, answerBytes = 100_000, 200
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var s State
	start := time.Now()
	for i := range claims {
		c := Command{Action: ActionBegin, Key: Key{Team: "t", Service: "s", Value: fmt.Sprint("key-", i)}, Fingerprint: NewFingerprint("POST", "/", nil), Attempt: fmt.Sprint(i)}
		apply(t, &s, c)
		c.Action, c.Response, c.Retention = ActionFinish, &Response{Status: 201, Body: make([]byte, answerBytes)}, 1<<40
		apply(t, &s, c)
	}
	each := time.Since(start) / claims
	runtime.GC()
	runtime.ReadMemStats(&after)
	start = time.Now()
	serialize := s.PrepareSnapshot()
	frozen := time.Since(start)
	size := len(serialize())
	t.Logf("%d claims: %d bytes of memory each, %v of processor time each, a snapshot of %d MB in %v, of which the log waits %v",
		claims, (after.HeapAlloc-before.HeapAlloc)/claims, each, size>>20, time.Since(start), frozen)
	runtime.KeepAlive(&s)
}

func apply(t *testing.T, s *State, c Command) {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(data)
}
