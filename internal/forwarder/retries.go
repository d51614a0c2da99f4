package forwarder

import (
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/limiter"
)

const (
	// retryBudgetShare is the fraction of the configured retry budgets that is used. The rest
	// covers retries that reach their server later than they are counted.
	retryBudgetShare = 0.9
	// retryReservationTTL is how long a retry that was taken from the budget may be made. A
	// process that was suspended meanwhile takes it again.
	retryReservationTTL = time.Second
	// retryLogInterval is the shortest time between two log lines about one retry budget.
	retryLogInterval = time.Second
)

// retryBudget is this front's part of a service's retry budget.
type retryBudget struct {
	limiter.RetryBudget
	// made counts the retries and denied the requests of which one was not allowed, since the
	// Elapsed time loggedAt, when the budget was last logged.
	made, denied int
	loggedAt     time.Duration
}

// RetryInfo describes the retry budget of one service at a front, for the log and the state
// dump.
type RetryInfo struct {
	Service identifier.Service
	// Usage is the state within the last Window, and Limit the number of retries up to which
	// more are allowed.
	limiter.RetryUsage
	Limit  int
	Window time.Duration
	// Fronts is the number of fronts that share the slack; this one may use its part for
	// ShareValidFor. Age is the time since this process began to count.
	Fronts             int
	ShareValidFor, Age time.Duration
}

// retryBudget returns this front's retry budget for a service, with the current
// settings applied. The caller holds mu.
func (f *Forwarder) retryBudget(s identifier.Service) *retryBudget {
	b := f.retryBudgets[s]
	if b == nil {
		b = &retryBudget{loggedAt: -retryLogInterval}
		b.Ratio, b.Slack, b.Window = f.RetryRatio*retryBudgetShare, f.RetrySlack*retryBudgetShare, f.RetryWindow
		b.StartedAt, b.IsFirstRun, b.Rounding = f.startedAt, f.IsFirstRun, f.chooser.Rand.Float64()
		f.retryBudgets[s] = b
	}
	b.Share = f.share
	return b
}

// reserveRetry takes the request's next retry from the budget, unless it already
// holds one, and reports whether it holds one now. A response or exchange may be
// abandoned in favor of a retry only after the retry has been reserved. The caller
// holds mu.
func (q *request) reserveRetry() bool {
	now := q.f.Elapsed()
	if q.retryReserved && now-q.retryReservedAt < retryReservationTTL {
		return true
	}
	b := q.f.retryBudget(q.service)
	q.retryReserved, q.retryReservedAt = b.AllowRetry(now), now
	switch {
	case q.retryReserved:
		b.made++
	case !q.retryDenied:
		// A stalled request asks again and again.
		q.retryDenied = true
		b.denied++
		q.f.counts.retriesDenied.Inc(1)
	}
	q.f.logRetryBudget(now, q.service, b)
	return q.retryReserved
}

// logRetryBudget logs the decisions of a budget and their inputs. The caller holds mu.
func (f *Forwarder) logRetryBudget(now time.Duration, s identifier.Service, b *retryBudget) {
	if now-b.loggedAt < retryLogInterval {
		return
	}
	i := f.retryInfo(now, s, b)
	_ = level.Info(f.Logger).Log("msg", "retry budget", "service", s, "made", b.made, "denied", b.denied, "retries", i.Retries, "limit", i.Limit,
		"requests", i.Requests, "earned", i.Earned, "slack_used", i.SlackUsed, "slack", i.SlackLimit, "window", i.Window, "fronts", i.Fronts,
		"share_valid_ms", i.ShareValidFor.Milliseconds(), "age_ms", i.Age.Milliseconds())
	b.made, b.denied, b.loggedAt = 0, 0, now
}

// retryInfo describes a budget. The caller holds mu.
func (f *Forwarder) retryInfo(now time.Duration, s identifier.Service, b *retryBudget) RetryInfo {
	u := b.Usage(now)
	return RetryInfo{
		Service: s, RetryUsage: u, Limit: u.Limit(), Window: b.Window,
		Fronts: b.Share.Processes, ShareValidFor: b.Share.ExpiresAt - now, Age: now - f.startedAt,
	}
}

// Retries returns the state of the retry budgets, sorted by service.
func (f *Forwarder) Retries() []RetryInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []RetryInfo
	for s := range f.retryBudgets {
		out = append(out, f.retryInfo(f.Elapsed(), s, f.retryBudget(s)))
	}
	slices.SortFunc(out, func(a, b RetryInfo) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return out
}

// retryBudgetUse returns the used part of the retry budget that is used most, in percent.
func (f *Forwarder) retryBudgetUse() int64 {
	most := 0
	for _, i := range f.Retries() {
		if i.Limit > 0 {
			most = max(most, 100*i.Retries/i.Limit)
		}
	}
	return int64(most)
}

// wasRetryDenied reports whether the budget has not allowed a retry of the request.
func (q *request) wasRetryDenied() bool {
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	return q.retryDenied
}
