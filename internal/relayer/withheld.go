package relayer

import (
	"net/http"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/withholder"
)

// unreadableReportInterval is the shortest time between two calls of OnStatement about statements that
// cannot be read.
const unreadableReportInterval = time.Second

// observeStatements records what an answer says about its server: the request rate that it takes,
// and whether it wants no requests. The server had the given incarnation when the
// request was sent.
func (o *Owner) observeStatements(id identifier.Group, c *admissionController, inc identifier.Incarnation, sentAt time.Time, status int, h http.Header) {
	o.observeLimit(id, c, inc, sentAt, h)
	s := withholder.NewStatement(status, h, h.Values(refuser.HeaderLeaving))
	if s == (withholder.Statement{}) {
		return
	}
	now := o.Elapsed()
	o.mu.Lock()
	change := o.withheld.Observe(now, identifier.Server(id), inc, s, "")
	report := change != withholder.Unchanged
	if s.Unreadable && now >= o.nextUnreadableReport {
		o.nextUnreadableReport = now + unreadableReportInterval
		report = true
	}
	o.mu.Unlock()
	if report && o.OnStatement != nil {
		o.OnStatement(id, s)
	}
	if (s.Wait > 0 || s.Leaving) && inc == c.currentIncarnation() {
		// Other groups may take the requests that wait for this one.
		c.mu.Lock()
		c.rejectWaiting(withheld)
		c.mu.Unlock()
	}
}

// withheldRefusal returns the refusal of a request to a group whose server wants none now, or nil if
// it takes requests.
func (o *Owner) withheldRefusal(id identifier.Group, inc identifier.Incarnation) *refuser.Refusal {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.withheld.IsEmpty() {
		return nil
	}
	now := o.Elapsed()
	n := o.withheld.Get(now, identifier.Server(id), inc)
	switch {
	case n == nil:
		return nil
	case n.Leaving:
		return refuser.New(refuser.BackendLeaving, refuser.NotRun, "the replica leaves").WithRetryAfter(time.Second)
	}
	return refuser.New(refuser.AskedToWait, refuser.NotRun, "the replica has asked to wait").WithRetryAfter(n.Until - now)
}

// isWithheld reports whether a refusal with code c was made because the server of a group wants no
// requests. The server did not get the request.
func isWithheld(c refuser.Code) bool { return c == refuser.AskedToWait || c == refuser.BackendLeaving }

// WithheldCount returns the number of groups whose servers want no requests now.
func (o *Owner) WithheldCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.withheld.IsEmpty() {
		return 0
	}
	return len(o.withheld.Notices(o.Elapsed()))
}

// addWithheld adds to the state of a group that its server wants no requests. The caller holds mu.
func (o *Owner) addWithheld(s *GroupStatus, inc identifier.Incarnation) {
	if o.withheld.IsEmpty() {
		return
	}
	now := o.Elapsed()
	n := o.withheld.Get(now, identifier.Server(s.Group), inc)
	if n == nil {
		return
	}
	// Other entries prefer other groups.
	s.Limit = 0
	s.Leaving = n.Leaving
	if !n.Leaving {
		s.WaitLeft = n.Until - now
	}
}

// earlierReturn returns the refusal whose caller may return earlier, if last is because a server has
// asked to wait and next because another one wants no requests, and otherwise next. The argument
// last may be nil.
func earlierReturn(last, next *refuser.Refusal) *refuser.Refusal {
	if last == nil || last.Code != refuser.AskedToWait || !isWithheld(next.Code) {
		return next
	}
	if next.Code == refuser.AskedToWait && next.RetryAfter < last.RetryAfter {
		return next
	}
	return last
}
