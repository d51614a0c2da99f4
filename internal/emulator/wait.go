package emulator

import (
	"fmt"
	"sync"
	"time"
)

// WaitRecord lets a server turn requests away and ask their senders to wait, and records whom
// it asked and what reached it. Its zero value takes all requests. It is safe for concurrent
// use.
type WaitRecord struct {
	// Unit is the unit to which the times that the server names are rounded up, or 0. It is set
	// before use.
	Unit time.Duration

	mu       sync.Mutex
	until    time.Time
	asked    []askedWait
	arrivals map[string][]time.Time
}

// askedWait is the time in which one sender was asked to send nothing.
type askedWait struct {
	sender      string
	from, until time.Time
}

// WaitRule bounds what a server gets from a sender that it has asked to wait: at most Most
// requests from Grace after the answer until the end of the named time.
type WaitRule struct {
	Grace time.Duration
	Most  int
}

// Begin lets the server turn all requests away until a time.
func (r *WaitRecord) Begin(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = until
}

// Answer records the arrival of a request of a named sender, a run of a process. It returns how
// long the answer asks the sender to wait, and false if the server takes the request.
func (r *WaitRecord) Answer(now time.Time, sender string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrivals == nil {
		r.arrivals = map[string][]time.Time{}
	}
	r.arrivals[sender] = append(r.arrivals[sender], now)
	wait := r.until.Sub(now)
	if wait <= 0 {
		return 0, false
	}
	if r.Unit > 0 {
		wait = (wait + r.Unit - 1) / r.Unit * r.Unit
	}
	r.asked = append(r.asked, askedWait{sender, now, now.Add(wait)})
	return wait, true
}

// WaitCheck is the result of Check.
type WaitCheck struct {
	// Asked is the number of answers that asked to wait, and Early the number of requests that
	// came from senders within Grace of such an answer and the end of the named time.
	Asked, Early int
	// Most is the largest number of requests after one answer.
	Most int
	// Violation describes the first answer after which a sender sent too many requests. It is
	// empty if there is none.
	Violation string
}

// Check compares what reached the server with a rule.
func (r *WaitRecord) Check(rule WaitRule) WaitCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := WaitCheck{Asked: len(r.asked)}
	early := map[string]map[int]bool{}
	for _, a := range r.asked {
		n := 0
		for i, at := range r.arrivals[a.sender] {
			if at.After(a.from.Add(rule.Grace)) && at.Before(a.until) {
				n++
				if early[a.sender] == nil {
					early[a.sender] = map[int]bool{}
				}
				early[a.sender][i] = true
			}
		}
		c.Most = max(c.Most, n)
		if n > rule.Most && c.Violation == "" {
			c.Violation = fmt.Sprintf("%d requests of %s, which it had asked at %s to wait for %s", n, a.sender, a.from.Format("15:04:05.000"), a.until.Sub(a.from))
		}
	}
	for _, arrivals := range early {
		c.Early += len(arrivals)
	}
	return c
}
