package forwarder

import (
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/throttler"
)

// logLimit logs a change of what is known about a server's request rate. The caller holds
// mu.
func (f *Forwarder) logLimit(c throttler.Change, id identifier.Server, source string) {
	if c == throttler.Unchanged {
		return
	}
	l := f.chooser.Allowance.Ledger.Last(id)
	now := time.Now()
	_ = level.Info(f.Logger).Log("msg", "limit of a server "+c.String(), "server", id, "per_s", float64(l.Rate), "source", source,
		"named_ago", now.Sub(l.NamedAt), "first_named_ago", now.Sub(l.FirstNamedAt))
}

// LimitsSince returns the limits of servers that have changed after a revision, and the
// current revision.
func (f *Forwarder) LimitsSince(revision uint64) ([]throttler.Limit, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &f.chooser.Allowance.Ledger
	return l.ChangedSince(revision), l.Revision()
}

// TakePermitReports returns what has become of permits since the last call.
func (f *Forwarder) TakePermitReports(now time.Time) []throttler.PermitReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := f.chooser.Allowance.TakeReports(now)
	for _, r := range reports {
		f.counts.permitsUsed.Inc(int64(r.Used))
		f.counts.permitsExpired.Inc(int64(r.Expired))
	}
	return reports
}

// ApplyLimits adds the limits and the permits in the reply of a core process to a call that
// was made at calledAt.
func (f *Forwarder) ApplyLimits(calledAt time.Time, source identifier.VM, limits []throttler.Limit, grants []throttler.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range limits {
		f.logLimit(f.chooser.Allowance.Ledger.Merge(l), l.Server, string(source))
	}
	f.chooser.Allowance.RecordContact(time.Now(), calledAt, grants)
}

// Limits returns the limits of servers in force and this front's permits, sorted by server.
func (f *Forwarder) Limits(now time.Time) []throttler.AllowanceInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.Allowance.Infos(now)
}

// limitCount returns the number of limits in force that this front knows.
func (f *Forwarder) limitCount() int64 { return int64(len(f.Limits(time.Now()))) }

// oldestLimitAge returns the time in milliseconds since the limit in force that was named
// longest ago was last named, or 0 if there is none.
func (f *Forwarder) oldestLimitAge() int64 {
	oldest := time.Duration(0)
	for _, l := range f.Limits(time.Now()) {
		oldest = max(oldest, l.NamedAgo)
	}
	return oldest.Milliseconds()
}
