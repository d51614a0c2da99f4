package chooser

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/internal/withholder"
)

// NoticeOf returns what is known of a server that wants no requests now, or nil.
func (c *Chooser) NoticeOf(s *tracker.Server) *withholder.Notice {
	if c.Withheld.IsEmpty() {
		return nil
	}
	return c.Withheld.Get(c.Elapsed(), s.ID, identifier.Incarnation(s.Incarnation))
}

// waitingServer is a server that has asked to wait until an Elapsed time.
type waitingServer struct {
	*tracker.Server
	until time.Duration
}

// isWithheld reports whether a server wants no requests at an Elapsed time, and adds it to waiting if
// it has asked to wait.
func (c *Chooser) isWithheld(now time.Duration, s *tracker.Server) bool {
	n := c.Withheld.Get(now, s.ID, identifier.Incarnation(s.Incarnation))
	if n != nil && !n.Leaving {
		c.waiting = append(c.waiting, waitingServer{s, n.Until})
	}
	return n != nil
}

// waitRetryAfter returns the retry delay of a request that no server may take because all of them
// have asked to wait: the earliest end, and from then on one caller after the other, at the rate
// at which this front may use the servers that are back by then.
func (c *Chooser) waitRetryAfter(r *Request) time.Duration {
	now := c.Elapsed()
	first := c.waiting[0].until
	for _, s := range c.waiting {
		first = min(first, s.until)
	}
	if c.nextWaitReturn == nil {
		c.nextWaitReturn = map[serviceModel]time.Duration{}
	}
	k := serviceModel{r.Service, r.Model}
	next := c.nextWaitReturn[k]
	if next < first {
		// A random phase keeps the first callers of all fronts apart.
		next = first + time.Duration(c.Rand.Int64N(int64(c.returnInterval(r, first))))
	} else {
		next += c.returnInterval(r, next)
	}
	next = min(next, now+maxWaitRetryAfter)
	c.nextWaitReturn[k] = next
	return next - now
}

// returnInterval returns the time between two callers of this front who come back to the servers
// whose waits have ended at an Elapsed time.
func (c *Chooser) returnInterval(r *Request, at time.Duration) time.Duration {
	svc := c.catalog.Service(r.Service)
	perSecond := 0.0
	for _, s := range c.waiting {
		if s.until <= at {
			perSecond += s.capacity(svc, r)
		}
	}
	interval := float64(time.Second) / max(perSecond, minReturnRate) * float64(max(c.FrontCount, 1))
	return max(time.Duration(min(interval, float64(maxWaitRetryAfter))), minSendInterval)
}

// capacity returns how many requests such as r a server takes in a second.
func (s waitingServer) capacity(svc *cataloger.Service, r *Request) float64 {
	if svc.Engine == nil {
		return float64(max(s.Slots, 1)) / plainServiceTime.Seconds()
	}
	work := svc.Engine.EstimateTime(r.Model, r.PromptTokens, svc.Engine.MeanAnswerTokens)
	return 1 / max(work, minRequestWork).Seconds()
}
