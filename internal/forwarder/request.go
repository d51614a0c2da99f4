package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

// request is one request of a caller on its way.
type request struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	ask     RequestInfo
	catalog *cataloger.Catalog
	route   *cataloger.Route
	service identifier.Service
	engine  *cataloger.Engine
	team    *cataloger.Team
	body    []byte

	began    time.Time
	deadline time.Time

	// tried are the servers that the request was sent to. Runs of them may have
	// run it, rejections said that they did not.
	tried      []identifier.Server
	runs       int
	rejections int
	// reserved is set while a repeat is taken from the budget that was not made yet.
	// It is guarded by the Forwarder's mu.
	reserved bool
	// unreached counts connections that could not be opened.
	unreached int
	lastFault string
	firstByte time.Duration
	// expected is the predicted time to the first event at the last server.
	expected time.Duration
}

// counts are what a Forwarder counts and measures.
type counts struct {
	// served answers are whole answers of backend servers, refused ones have not
	// run, failed ones may have run, cut ones broke off.
	requests, served, refused, failed, cut metrics.Counter
	// repeats are sends to a second server, moved requests that stood still and
	// were taken elsewhere.
	repeats, moved metrics.Counter
	// firstEvent is the time to the first event of streams, total that to the
	// end of all answers, in milliseconds.
	firstEvent, total metrics.Histogram
}

// sampleSize and sampleDecay are the library's own values for a histogram that
// weighs the last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

func newCounts(r metrics.Registry) counts {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("requests_"+name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return counts{
		requests: counter("total"), served: counter("served"), refused: counter("refused"), failed: counter("failed"),
		cut: counter("cut"), repeats: counter("repeated"), moved: counter("moved"),
		firstEvent: histogram("first_event_ms"), total: histogram("answer_ms"),
	}
}

// readBody reads the whole body, so that it can be sent again.
func (q *request) readBody() bool {
	if q.r.Body == nil || q.r.ContentLength == 0 {
		return true
	}
	limit := q.catalog.Limits.MaxBodyBytes
	if limit > 0 && q.r.ContentLength > limit {
		q.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	body := io.Reader(q.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case err != nil:
		// The caller broke off or was too slow; it cannot be answered.
		q.lastFault = err.Error()
		q.refuse(http.StatusBadRequest, "body_unreadable", 0)
	}
	q.body = data
	return err == nil
}

// hostOnly returns a Host header without its port.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// headerBytes returns the size of a request's header about as it was sent.
func headerBytes(r *http.Request) int {
	const perLine = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + perLine
		}
	}
	return n
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// stripConnection takes out the headers that concern one connection.
func stripConnection(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// left returns the time that is left for the answer.
func (q *request) left() time.Duration { return time.Until(q.deadline) }

// choose returns the server for the next send.
func (q *request) choose(urgent bool) chooser.Choice {
	now := time.Now()
	patience := q.route.LatencyObjective - now.Sub(q.began)
	a := chooser.Request{
		Service: q.service, PromptTokens: q.ask.PromptTokens, LatencyBudget: patience, Exclude: q.tried, AllowLate: urgent,
	}
	if q.engine != nil {
		a.Model = q.ask.Model
	}
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	return q.f.chooser.Choose(now, a)
}

// mayRepeat reports whether the request may be sent to one more server after the
// last one ended with that fate, and takes it from the budget.
func (q *request) mayRepeat(last fate) bool {
	if q.ctx.Err() != nil || q.runs >= q.route.MaxAttempts || q.rejections > maxRejections || q.unreached > maxUnreached {
		return false
	}
	if q.runs > 0 && !q.route.Retryable() {
		return false
	}
	if last == fateUnsent {
		// Nothing has arrived anywhere.
		return true
	}
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	if !q.reserve(time.Now()) {
		return false
	}
	q.reserved = false
	q.f.counts.repeats.Inc(1)
	return true
}

// reserve takes the request's next repeat from the budget, once, and reports
// whether it has it. What is given up for a repeat is given up only after that. The
// caller holds mu.
func (q *request) reserve(now time.Time) bool {
	q.reserved = q.reserved || q.f.budget(q.service).AllowRetry(now)
	return q.reserved
}

// priority is the rank of the request: the team's goes before the route's.
func (q *request) priority() int {
	if q.team != nil {
		return q.team.Priority
	}
	return q.route.Priority
}

func (q *request) teamName() identifier.Team {
	if q.team == nil {
		return ""
	}
	return q.team.Name
}

// end logs the end of the request and counts it.
func (q *request) end(status int, reason string) {
	c := &q.f.counts
	c.requests.Inc(1)
	switch {
	case reason == reasonServed:
		c.served.Inc(1)
		c.total.Update(time.Since(q.began).Milliseconds())
	case reason == reasonCut:
		c.cut.Inc(1)
	case q.runs > 0:
		c.failed.Inc(1)
	default:
		c.refused.Inc(1)
	}
	route, version := "", cataloger.Version(0)
	if q.route != nil {
		route = q.route.Name
	}
	if q.catalog != nil {
		version = q.catalog.Version
	}
	ago, _ := q.f.SinceConfirmed()
	_ = level.Info(q.f.Logger).Log("msg", "request", "id", q.ask.ID, "status", status, "outcome", reason, "route", route,
		"team", q.teamName(), "model", q.ask.Model, "servers", joinServers(q.tried), "runs", q.runs,
		"rejections", q.rejections, "unreached", q.unreached, "fault", q.lastFault, "expected_ms", q.expected.Milliseconds(), "first_ms", q.firstByte.Milliseconds(),
		"total_ms", time.Since(q.began).Milliseconds(), "catalog", version, "fresh_ago_ms", ago.Milliseconds())
}

// Outcomes of requests in the log beside the reasons of refusals.
const (
	reasonServed = "served"
	reasonCut    = "cut"
	reasonGone   = "caller_left"
	reasonLate   = "timeout"
	reasonFailed = "failed"
)

func joinServers(ids []identifier.Server) string {
	var b strings.Builder
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(id))
	}
	return b.String()
}

// giveUp answers a request that got no answer, truthfully: 503 when it certainly
// has not run, 504 or 502 otherwise.
func (q *request) giveUp(c chooser.Choice) {
	switch {
	case q.r.Context().Err() != nil:
		q.end(0, reasonGone)
		panic(http.ErrAbortHandler)
	case q.runs == 0 && q.ctx.Err() == nil:
		reason, after := c.Reason, c.RetryAfter
		if reason == "" {
			reason, after = "rejected", noAnswerRetryAfter
		}
		q.f.noteRefused(q)
		q.refuse(http.StatusServiceUnavailable, reason, after)
	case q.ctx.Err() != nil:
		q.refuse(http.StatusGatewayTimeout, reasonLate, 0)
	default:
		q.refuse(http.StatusBadGateway, reasonFailed, 0)
	}
}

// noAnswerRetryAfter is when to come back after every server that was asked
// had no place.
const noAnswerRetryAfter = 300 * time.Millisecond

func (f *Forwarder) noteRefused(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.demands[demandKey{q.service, q.ask.Model}]; d != nil {
		d.Refused++
	}
}

// servePlain forwards a request with one whole answer.
func (q *request) servePlain() {
	var choice chooser.Choice
	for {
		choice = q.choose(q.runs > 0)
		if choice.Server == nil {
			break
		}
		x, fate := q.send(choice, "")
		if fate == fateAnswered {
			fate = q.passWhole(x)
			if fate == fateAnswered {
				return
			}
		}
		choice = chooser.Choice{}
		if !q.mayRepeat(fate) {
			break
		}
	}
	q.giveUp(choice)
}

// passWhole reads an answer to its end and passes it on. Until the first byte
// has left, a broken answer can still be replaced.
func (q *request) passWhole(x *exchange) fate {
	if q.repeatFailure(x) {
		x.finish(true, false)
		q.lastFault = "server answered " + x.resp.Status
		return fateUnknown
	}
	data, err := io.ReadAll(io.LimitReader(x.resp.Body, maxBufferedAnswer))
	if err != nil {
		q.lastFault = err.Error()
		x.finish(false, false)
		return fateUnknown
	}
	q.writeHead(x)
	_, werr := q.w.Write(data)
	if werr == nil && len(data) == maxBufferedAnswer {
		_, err = io.Copy(q.w, x.resp.Body)
	}
	x.finish(err == nil, err == nil)
	if err != nil {
		q.lastFault = err.Error()
		q.end(x.resp.StatusCode, reasonCut)
		panic(http.ErrAbortHandler)
	}
	q.end(x.resp.StatusCode, reasonServed)
	return fateAnswered
}

// repeatFailure reports whether an answer is a server's own failure that another
// server may do better.
func (q *request) repeatFailure(x *exchange) bool {
	return x.resp.StatusCode >= http.StatusInternalServerError && q.route.Retryable() &&
		q.runs < q.route.MaxAttempts && q.canMove()
}

// canMove reports whether another server could take the request now, and reserves
// the repeat.
func (q *request) canMove() bool {
	if q.runs >= q.route.MaxAttempts || q.rejections > maxRejections {
		return false
	}
	if c := q.choose(true); c.Server == nil {
		return false
	}
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	return q.reserve(time.Now())
}

// writeHead passes on the status and headers of an answer.
func (q *request) writeHead(x *exchange) {
	h := q.w.Header()
	stripConnection(x.resp.Header)
	for k, vs := range x.resp.Header {
		h[k] = slices.Clone(vs)
	}
	if _, has := h["Content-Type"]; !has {
		// Keeps the standard library from guessing one.
		h["Content-Type"] = nil
	}
	if x.resp.ContentLength >= 0 && q.route.Kind != cataloger.Stream {
		h.Set("Content-Length", formatInt(x.resp.ContentLength))
	}
	q.w.WriteHeader(x.resp.StatusCode)
}
