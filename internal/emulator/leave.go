package emulator

import (
	"fmt"
	"sync"
	"time"
)

// LeaveRecord lets a server say in all its answers that it leaves, and records which senders were
// told and what came from them later. Its zero value stays. It is safe for concurrent use.
type LeaveRecord struct {
	mu      sync.Mutex
	leaving bool
	// toldAt is when an answer first told each sender.
	toldAt map[string]time.Time
	late   []lateRequest
}

// lateRequest is a request of a sender that a caller sent some time after the sender was told.
type lateRequest struct {
	sender string
	after  time.Duration
}

// Begin lets the server say from now on that it leaves.
func (l *LeaveRecord) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// Answer records a request of a named sender, a run of a process, that a caller sent at sentAt. It
// reports whether the answer says that the server leaves.
func (l *LeaveRecord) Answer(now time.Time, sender string, sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaving {
		return false
	}
	told, isTold := l.toldAt[sender]
	switch {
	case isTold:
		l.late = append(l.late, lateRequest{sender, sentAt.Sub(told)})
	case l.toldAt == nil:
		l.toldAt = map[string]time.Time{sender: now}
	default:
		l.toldAt[sender] = now
	}
	return true
}

// LeaveCheck is the result of Check.
type LeaveCheck struct {
	// Told is the number of senders that were told, and Early the number of requests that callers
	// had sent to them after that and within the drain time.
	Told, Early int
	// Violation describes the first request that a caller had sent later. It is empty if there is
	// none.
	Violation string
}

// Check compares what reached the server with the time within which senders have to stop.
func (l *LeaveRecord) Check(drainTime time.Duration) LeaveCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := LeaveCheck{Told: len(l.toldAt)}
	for _, r := range l.late {
		switch {
		case r.after > drainTime && c.Violation == "":
			c.Violation = fmt.Sprintf("a request of %s that its caller sent %s after the sender was told that the server leaves", r.sender, r.after)
		case r.after > 0:
			c.Early++
		}
	}
	return c
}
