package limiter

import (
	"math"
	"time"
)

// RetryBudget is the part of one process in a bound on the retries of all processes of a
// system together: in any Window at most Ratio times the requests and Slack more. The
// processes keep the bound without a message for each retry, whatever restarts, is added, cut
// off or suspended.
//
// Requests earn retries at the process that receives them. An earned retry expires after a
// fraction of the window, so a process that restarts again and again earns no more than one
// that keeps running. The slack is divided equally, and each process uses its part in a sliding
// window. A process does not know what a former run of it has used, so it uses none before
// it has run for a window.
//
// All times are readings of a monotonic clock that keeps running while the VM is suspended.
// Exported fields are set before use, but Share may change between calls. The zero value
// allows no retry.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// StartedAt is when the process started. IsFirstRun is set if no former run of it can have
	// used slack.
	StartedAt  time.Duration
	IsFirstRun bool
	// Rounding is a random number from 0 to below 1. The part of each process in the slack and
	// what its requests earn are rounded with it, so that the sum over many processes is right.
	Rounding float64
	Share    Share

	// fraction is the part of the next retry that has been earned.
	fraction   float64
	hasStarted bool
	earned     [earnedSlots]earnedSlot
	history    [historySlots]historySlot
}

// Share is a process's part of the slack, one of several equal ones.
type Share struct {
	// Processes is the number of processes that share the slack; 0 means that it is not known.
	Processes int
	// ExpiresAt is when the part may have been given to other processes.
	ExpiresAt time.Duration
}

const (
	// earnedLifetimeShare of the window is how long an earned retry can be used. The retries in a
	// window may include those that requests in that time before it have earned, so each request
	// earns less than Ratio.
	earnedLifetimeShare = 0.2
	earnedSlots         = 8
	// windowSlots divide the window, and one more is kept, since the current one is not full.
	windowSlots  = 20
	historySlots = windowSlots + 1
)

type earnedSlot struct {
	index   int64
	retries int
}

// historySlot counts events. slackUsed is the part of the retries that was taken from the slack.
type historySlot struct {
	index                        int64
	requests, retries, slackUsed int
}

// RetryUsage is the state of a RetryBudget.
type RetryUsage struct {
	// Requests and Retries are the numbers in the last window, and SlackUsed is the part of the
	// retries that was taken from the slack.
	Requests, Retries, SlackUsed int
	// Earned is the number of retries that have been earned and not expired, and SlackLimit the
	// number that may be taken from the slack in a window.
	Earned, SlackLimit int
}

// Limit returns the number of retries up to which more are allowed now.
func (u RetryUsage) Limit() int { return u.Retries + u.Earned + max(u.SlackLimit-u.SlackUsed, 0) }

// RecordRequest records the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Duration) {
	b.historyAt(now).requests++
	if !b.hasStarted {
		b.hasStarted, b.fraction = true, b.Rounding
	}
	whole, fraction := math.Modf(b.fraction + b.Ratio/(1+earnedLifetimeShare))
	b.fraction = fraction
	s := &b.earned[b.earnedIndex(now)%earnedSlots]
	if s.index != b.earnedIndex(now) {
		*s = earnedSlot{index: b.earnedIndex(now)}
	}
	s.retries += int(whole)
}

// AllowRetry reports whether one more retry is allowed now, and counts it if so.
func (b *RetryBudget) AllowRetry(now time.Duration) bool {
	if b.Left(now) == 0 {
		return false
	}
	h := b.historyAt(now)
	h.retries++
	if !b.takeEarned(now) {
		h.slackUsed++
	}
	return true
}

// Left returns the number of retries that are allowed now.
func (b *RetryBudget) Left(now time.Duration) int {
	u := b.Usage(now)
	return max(u.Limit()-u.Retries, 0)
}

// takeEarned takes the earned retry that expires first, and reports whether there was one.
func (b *RetryBudget) takeEarned(now time.Duration) bool {
	last := b.earnedIndex(now)
	for n := max(last-earnedSlots+1, 0); n <= last; n++ {
		if s := &b.earned[n%earnedSlots]; s.index == n && s.retries > 0 {
			s.retries--
			return true
		}
	}
	return false
}

// Usage returns the state of the budget.
func (b *RetryBudget) Usage(now time.Duration) RetryUsage {
	u := RetryUsage{SlackLimit: b.slackLimit(now)}
	last := b.historyIndex(now)
	for _, h := range b.history {
		if h.index > last-historySlots {
			u.Requests += h.requests
			u.Retries += h.retries
			u.SlackUsed += h.slackUsed
		}
	}
	for _, s := range b.earned {
		if s.index > b.earnedIndex(now)-earnedSlots {
			u.Earned += s.retries
		}
	}
	return u
}

// slackLimit returns this process's part of the slack.
func (b *RetryBudget) slackLimit(now time.Duration) int {
	if b.Share.Processes <= 0 || now >= b.Share.ExpiresAt || !b.IsFirstRun && now < b.StartedAt+b.Window {
		return 0
	}
	return int(b.Slack/float64(b.Share.Processes) + b.Rounding)
}

func (b *RetryBudget) historyAt(now time.Duration) *historySlot {
	n := b.historyIndex(now)
	h := &b.history[n%historySlots]
	if h.index != n {
		*h = historySlot{index: n}
	}
	return h
}

func (b *RetryBudget) historyIndex(now time.Duration) int64 {
	return int64(now / max(b.Window/windowSlots, 1))
}

func (b *RetryBudget) earnedIndex(now time.Duration) int64 {
	lifetime := time.Duration(earnedLifetimeShare * float64(b.Window))
	return int64(now / max(lifetime/earnedSlots, 1))
}
