package relayer

import (
	"net/http"
	"time"

	"trefoilhead.org/trefoilhead/internal/differ"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/throttler"
)

// limitOf returns a copy of the request rate that the backend server of a group names, or
// nil if there is none in force. The caller holds mu.
func (o *Owner) limitOf(id identifier.Group, inc identifier.Incarnation) *throttler.Limit {
	l := o.limits.Get(identifier.Server(id), inc)
	if l == nil {
		return nil
	}
	limit := *l
	return &limit
}

// observeLimit records what an answer says about the request rate of its server.
// The server had the given incarnation when the request was sent.
func (o *Owner) observeLimit(id identifier.Group, c *admissionController, inc identifier.Incarnation, sentAt time.Time, h http.Header) {
	o.mu.Lock()
	change := o.limits.Observe(time.Now(), identifier.Server(id), inc, sentAt, throttler.NewStatement(h.Values(refuser.HeaderRateLimit)))
	limit := o.limitOf(id, inc)
	o.mu.Unlock()
	if (limit != nil || change != throttler.Unchanged) && inc == c.currentIncarnation() {
		c.setNamedLimit(limit)
	}
	o.reportChange(id, change, limit)
}

func (o *Owner) reportChange(id identifier.Group, change throttler.Change, l *throttler.Limit) {
	if change == throttler.Unchanged || o.OnLimitChange == nil {
		return
	}
	rate := throttler.Rate(0)
	if l != nil {
		rate = l.Rate
	}
	o.OnLimitChange(id, change, rate)
}

// NextLimits returns the request rates that go into the next message to the other entries.
func (o *Owner) NextLimits(now time.Time, c *differ.Cursor) []throttler.Limit {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.limits.ChangedSince(c.Next(now, o.limits.Revision()))
}

// MergeLimits adds the request rates that another entry knows.
func (o *Owner) MergeLimits(limits []throttler.Limit) {
	for _, l := range limits {
		id := identifier.Group(l.Server)
		o.mu.Lock()
		change := o.limits.Merge(l)
		limit, c := o.limitOf(id, l.Incarnation), o.controllers[id]
		o.mu.Unlock()
		if change != throttler.Unchanged && c != nil {
			c.setNamedLimit(limit)
		}
		o.reportChange(id, change, limit)
	}
}

// ExpireLimits forgets the request rates of groups that do not exist any more, and the times
// in which servers wanted no requests.
func (o *Owner) ExpireLimits(now time.Time, groups map[identifier.Group]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	isKnown := func(id identifier.Server) bool { return groups[identifier.Group(id)] }
	if !o.withheld.IsEmpty() {
		o.withheld.Expire(o.Elapsed(), isKnown)
	}
	o.limits.Expire(now, isKnown)
}

// LimitCount returns the number of request rates in force.
func (o *Owner) LimitCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.limits.Limits())
}
