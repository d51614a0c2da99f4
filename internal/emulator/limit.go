package emulator

import (
	"fmt"
	"sync"
	"time"
)

// LimitRecord lets a server name a request rate, and records which rates it named and what
// reached it. Its zero value names none. It is safe for concurrent use.
type LimitRecord struct {
	mu       sync.Mutex
	episodes []limitEpisode
	arrivals []time.Time
	// toldAt is when an answer to each sender first named a rate.
	toldAt map[string]time.Time
}

// limitEpisode is a time in which a server named one rate.
type limitEpisode struct {
	rate     float64
	from, to time.Time
	// firstNamedAt is when an answer first named a rate since the server named none.
	firstNamedAt time.Time
}

// LimitRule bounds what a server gets: from Contact after it first named a rate, in any
// Window at most Overshoot times what its rate allows, and Slack requests more.
type LimitRule struct {
	Contact   time.Duration
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Name lets the server name a rate from now on.
func (l *LimitRecord) Name(now time.Time, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := limitEpisode{rate: rate, from: now}
	if last := l.current(); last != nil {
		last.to, next.firstNamedAt = now, last.firstNamedAt
	}
	l.episodes = append(l.episodes, next)
}

// End lets the server name no rate from now on.
func (l *LimitRecord) End(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := l.current(); last != nil {
		last.to = now
	}
}

// current returns the episode that has not ended, or nil. The caller holds mu.
func (l *LimitRecord) current() *limitEpisode {
	if n := len(l.episodes); n > 0 && l.episodes[n-1].to.IsZero() {
		return &l.episodes[n-1]
	}
	return nil
}

// Rate returns the rate that the server names, and false if it names none.
func (l *LimitRecord) Rate() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := l.current(); last != nil {
		return last.rate, true
	}
	return 0, false
}

// Answer returns the rate that an answer of the server names now, and false if it names
// none.
func (l *LimitRecord) Answer(now time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.current()
	if last == nil {
		return 0, false
	}
	if last.firstNamedAt.IsZero() {
		last.firstNamedAt = now
	}
	return last.rate, true
}

// AnswerTo is Answer for a request of a named sender, a run of a process.
func (l *LimitRecord) AnswerTo(now time.Time, sender string) (float64, bool) {
	rate, named := l.Answer(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if named && l.toldAt[sender].IsZero() {
		if l.toldAt == nil {
			l.toldAt = map[string]time.Time{}
		}
		l.toldAt[sender] = now
	}
	return rate, named
}

// RecordArrivalFrom records a request of a named sender if the sender was told a rate at least
// notice before. The users' rule does not count others: a process that has restarted may not know
// of a rate that it was told before.
func (l *LimitRecord) RecordArrivalFrom(now time.Time, sender string, notice time.Duration) {
	l.mu.Lock()
	told, isTold := l.toldAt[sender]
	l.mu.Unlock()
	if isTold && now.Sub(told) >= notice {
		l.RecordArrival(now)
	}
}

// RecordArrival records that a request has reached the server.
func (l *LimitRecord) RecordArrival(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, now)
}

// CountIn returns how many requests have reached the server after from, up to to.
func (l *LimitRecord) CountIn(from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countIn(from, to)
}

func (l *LimitRecord) countIn(from, to time.Time) int {
	n := 0
	for i := len(l.arrivals) - 1; i >= 0 && l.arrivals[i].After(from); i-- {
		if !l.arrivals[i].After(to) {
			n++
		}
	}
	return n
}

// LimitCheck is the result of Check.
type LimitCheck struct {
	// Windows is the number of windows that were checked, and Worst the largest number of
	// requests in one of them as a share of what was allowed.
	Windows int
	Worst   float64
	// Violation describes the first window with too many requests. It is empty if there is
	// none.
	Violation string
}

// Check compares what reached the server with a rule. It looks at the windows that end with
// an arrival and in which the server named a rate all the while.
func (l *LimitRecord) Check(rule LimitRule) LimitCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c LimitCheck
	for _, at := range l.arrivals {
		from := at.Add(-rule.Window)
		allowed, limited := l.allowedIn(rule, from, at)
		if !limited {
			continue
		}
		n := float64(l.countIn(from, at))
		c.Windows++
		c.Worst = max(c.Worst, n/allowed)
		if n > allowed && c.Violation == "" {
			c.Violation = fmt.Sprintf("%.0f requests in %s up to %s, allowed %.1f", n, rule.Window, at.Format("15:04:05.000"), allowed)
		}
	}
	return c
}

// allowedIn returns the number of requests that the rates allow in a span of time, and
// false if they do not cover all of it.
func (l *LimitRecord) allowedIn(rule LimitRule, from, to time.Time) (allowed float64, limited bool) {
	covered := time.Duration(0)
	for _, e := range l.episodes {
		if e.firstNamedAt.IsZero() {
			continue
		}
		begin, end := e.from, e.to
		if known := e.firstNamedAt.Add(rule.Contact); begin.Before(known) {
			begin = known
		}
		if begin.Before(from) {
			begin = from
		}
		if end.IsZero() || end.After(to) {
			end = to
		}
		if d := end.Sub(begin); d > 0 {
			covered += d
			allowed += e.rate * d.Seconds()
		}
	}
	return rule.Overshoot*allowed + rule.Slack, covered >= to.Sub(from)
}
