package emulator

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// CrashRecord records, for each request that crashes the servers which run it, when it reached
// a server and when it crashed one, from all processes of the system. Requests that are the same
// but for their ids have one name. Its zero value is empty. It is safe for concurrent use.
type CrashRecord struct {
	mu        sync.Mutex
	byRequest map[string]*requestCrashes
}

type requestCrashes struct{ arrivals, crashes []time.Time }

// CrashRule bounds what reaches servers of one request: at most Retries arrivals later than
// Contact after it has crashed Crashes servers. Arrivals up to NotBefore do not count.
type CrashRule struct {
	Crashes   int
	Retries   int
	Contact   time.Duration
	NotBefore time.Time
}

// RecordArrival records that a request has reached a server.
func (r *CrashRecord) RecordArrival(now time.Time, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.get(request)
	c.arrivals = append(c.arrivals, now)
}

// RecordCrash records that a server has ended under a request.
func (r *CrashRecord) RecordCrash(now time.Time, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.get(request)
	c.crashes = append(c.crashes, now)
}

// get returns the record of a request. The caller holds mu.
func (r *CrashRecord) get(request string) *requestCrashes {
	if r.byRequest == nil {
		r.byRequest = map[string]*requestCrashes{}
	}
	if r.byRequest[request] == nil {
		r.byRequest[request] = &requestCrashes{}
	}
	return r.byRequest[request]
}

// CrashCheck is the result of Check for one request.
type CrashCheck struct {
	Request string
	// Arrivals and Crashes are those of the whole record, and Late the arrivals that the rule
	// bounds.
	Arrivals, Crashes, Late int
	// Violation describes how the rule was broken. It is empty if it was not.
	Violation string
}

// Check compares the record with a rule, and returns the results sorted by request.
func (r *CrashRecord) Check(rule CrashRule) []CrashCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []CrashCheck
	for _, name := range slices.Sorted(maps.Keys(r.byRequest)) {
		out = append(out, r.byRequest[name].check(name, rule))
	}
	return out
}

func (r *requestCrashes) check(name string, rule CrashRule) CrashCheck {
	c := CrashCheck{Request: name, Arrivals: len(r.arrivals), Crashes: len(r.crashes)}
	if len(r.crashes) < rule.Crashes {
		return c
	}
	slices.SortFunc(r.crashes, time.Time.Compare)
	known := r.crashes[rule.Crashes-1].Add(rule.Contact)
	for _, at := range r.arrivals {
		if at.After(known) && at.After(rule.NotBefore) {
			c.Late++
		}
	}
	if c.Late > rule.Retries {
		c.Violation = fmt.Sprintf("request %s reached servers %d times later than %s after it had crashed the third; %d crashes in all", name, c.Late, rule.Contact, c.Crashes)
	}
	return c
}
