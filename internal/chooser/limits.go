package chooser

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// maxLimitedRetryAfter bounds the retry delay of a request that is refused because of the
// rates that servers name. It is longer than any caller waits.
const maxLimitedRetryAfter = 30 * time.Second

// limitOf returns the rate that a server has named, or nil if there is none in force.
func (c *Chooser) limitOf(s *tracker.Server) *throttler.Limit {
	return c.Allowance.Ledger.Get(s.ID, identifier.Incarnation(s.Incarnation))
}

// limitAllows reports whether the rate that a server has named allows one more request of
// this front now, and adds the server to permitted or its limit to denied.
func (c *Chooser) limitAllows(now time.Time, s *tracker.Server) bool {
	l := c.limitOf(s)
	if l == nil {
		return true
	}
	if !c.Allowance.CanSend(now, l) {
		c.denied = append(c.denied, l)
		return false
	}
	c.permitted = append(c.permitted, s)
	return true
}

// limitedRetryAfter returns the retry delay of a request that no server may take because of
// the rates that they name. Callers come back one by one, at the rate at which this front
// may send requests to these servers.
func (c *Chooser) limitedRetryAfter(now time.Time, r *Request) time.Duration {
	k := serviceModel{r.Service, r.Model}
	if c.nextLimitedReturn == nil {
		c.nextLimitedReturn = map[serviceModel]time.Time{}
	}
	next := c.nextLimitedReturn[k]
	if earliest := now.Add(minRetryAfter); next.Before(earliest) {
		next = earliest
	}
	next = next.Add(c.Allowance.ExpectedInterval(c.denied))
	if latest := now.Add(maxLimitedRetryAfter); next.After(latest) {
		next = latest
	}
	c.nextLimitedReturn[k] = next
	return next.Sub(now)
}

// TakePermit uses up a permit for a request that is to be sent to a server, and reports
// whether it took one. A server that has named no rate needs none.
func (c *Chooser) TakePermit(now time.Time, s *tracker.Server) bool {
	l := c.limitOf(s)
	return l != nil && c.Allowance.Take(now, l)
}

// RecordRefusal records that the request of the last call of Choose is refused or given up
// because that call returned no server, and completes its result.
func (c *Chooser) RecordRefusal(now time.Time, r Request, result Choice) Choice {
	for _, l := range c.denied {
		c.Allowance.RecordDenied(l)
	}
	switch result.Reason {
	case Limited:
		result.RetryAfter = c.limitedRetryAfter(now, &r)
	case AskedToWait:
		result.RetryAfter = c.waitRetryAfter(&r)
	}
	return result
}
