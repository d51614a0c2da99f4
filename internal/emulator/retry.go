package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// RetryRecord records the requests that callers sent to a service, and those that reached any
// of its servers, from all processes of the system. Its zero value is empty. It is safe for
// concurrent use.
type RetryRecord struct {
	mu       sync.Mutex
	requests []time.Time
	repeats  []time.Time
	arrived  map[string]bool
}

// RetryRule bounds the repeats of all processes together: in any Window at most Ratio times the
// requests and Slack more. The requests are those of the window, of the one before it or of the
// one half a window before it, whichever has most.
type RetryRule struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// RecordRequest records that a caller sends a request.
func (r *RetryRecord) RecordRequest(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, now)
}

// RecordArrival records that a request has reached a server. All but its first arrival count as
// repeats.
func (r *RetryRecord) RecordArrival(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrived[id] {
		r.repeats = append(r.repeats, now)
		return
	}
	if r.arrived == nil {
		r.arrived = map[string]bool{}
	}
	r.arrived[id] = true
}

// RetryCheck is the result of Check.
type RetryCheck struct {
	// Repeats is the number of repeats, and Worst the largest number of them in one window as a
	// share of what was allowed.
	Repeats int
	Worst   float64
	// Violation describes the worst window with too many repeats. It is empty if there is none.
	Violation string
}

// Check compares the repeats with a rule. It looks at the windows that begin with a repeat.
func (r *RetryRecord) Check(rule RetryRule) RetryCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := RetryCheck{Repeats: len(r.repeats)}
	slices.SortFunc(r.repeats, time.Time.Compare)
	slices.SortFunc(r.requests, time.Time.Compare)
	for _, from := range r.repeats {
		n := countFrom(r.repeats, from, rule.Window)
		requests := max(countFrom(r.requests, from, rule.Window), countFrom(r.requests, from.Add(-rule.Window), rule.Window),
			countFrom(r.requests, from.Add(-rule.Window/2), rule.Window))
		allowed := rule.Ratio*float64(requests) + rule.Slack
		if share := float64(n) / allowed; share > c.Worst {
			c.Worst = share
			if share > 1 {
				c.Violation = fmt.Sprintf("%d repeats in %s from %s, for %d requests; allowed %.0f", n, rule.Window, from.Format("15:04:05.000"), requests, allowed)
			}
		}
	}
	return c
}

// countFrom returns how many of some sorted times lie in a span that begins with from.
func countFrom(times []time.Time, from time.Time, span time.Duration) int {
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(span), time.Time.Compare)
	return end - begin
}
