package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
)

// request is a caller's request that is being served.
//
// Attempts at other servers may be made in goroutines of their own. mu guards all fields unless said otherwise. Whoever
// works on the request holds it, except while it waits for a server.
type request struct {
	f  *Forwarder
	mu sync.Mutex
	w  http.ResponseWriter
	r  *http.Request
	// ctx ends with the caller's connection, at the deadline, and by cancel.
	ctx    context.Context
	cancel context.CancelFunc
	// memory is what this request keeps of its head, body and answer. memoryShort is set once it is given up since
	// memory is short.
	memory      *budgeter.Account
	memoryShort atomic.Bool
	// stage holds a value of type stage.
	stage   atomic.Int32
	info    RequestInfo
	catalog *cataloger.Catalog
	route   *cataloger.Route
	service identifier.Service
	engine  *cataloger.Engine
	team    *cataloger.Team
	// keyCheckedAt is the Elapsed time at which the team's key was checked.
	keyCheckedAt time.Duration
	body         []byte

	receivedAt time.Time
	// wholeAt is when the body had been read.
	wholeAt  time.Time
	deadline time.Time

	// tried lists the servers that the request was sent to or that could not be
	// reached. possibleRuns counts those that may have run it, rejections those that
	// stated that they did not.
	tried        []identifier.Server
	possibleRuns int
	rejections   int
	// answer is set before the request is sent to a server, and open holds the exchanges that have not ended.
	answer *answer
	open   map[*exchange]struct{}
	// triesFrom holds the attempts that do not count against the limits on those that bring nothing.
	triesFrom tries
	// triedAgainFrom is the number of entries of tried that may be chosen again.
	triedAgainFrom int
	// retryReserved is set while a retry has been taken from the budget but not been
	// made yet, at retryReservedAt in Elapsed time. Both are guarded by the Forwarder's mu.
	retryReserved   bool
	retryReservedAt time.Duration
	// hasNoRunsLeft is set while the route allows no more runs. It is guarded by the Forwarder's mu.
	hasNoRunsLeft bool
	// retryDenied is set once the budget has not allowed a retry. It is guarded by the
	// Forwarder's mu.
	retryDenied bool
	// reserved is the choice for the next send if a permit has been taken for it but not
	// been used yet. It is guarded by the Forwarder's mu.
	reserved chooser.Choice
	// cachedTraits is set by the first call of traits, cachedDigest by that of digest. isTrial is set if an isolation
	// covers the request and it is sent all the same. crashedServer is the server that
	// broke off an answer to this request, and crashedAtStart is set if that was at its start.
	cachedTraits   *isolator.Traits
	cachedDigest   identifier.RequestDigest
	isTrial        bool
	crashedServer  string
	crashedAtStart bool
	// limitedServers is the number of servers that could have taken the request but for the
	// rates that they name, as of the last choice without result.
	limitedServers int
	// waitingServers is the number of those that could have taken it but have asked to wait.
	waitingServers int
	// headerSent is set once the caller has the header of a stream.
	headerSent bool
	// connectFailures counts the connections that could not be opened.
	connectFailures int
	// moves counts the times that another server was tried because one had been silent, and brokenOff the
	// answers that servers broke off.
	moves, brokenOff int
	lastError        string
	timeToFirstEvent time.Duration
	// lastForwardedAt is when the last event of a stream was forwarded to the caller, and
	// longestGap the longest time between two of them.
	lastForwardedAt time.Time
	longestGap      time.Duration
	// predictedDelay is the predicted time to the first event at the server that
	// was tried last.
	predictedDelay time.Duration
}

// counts holds the metrics of a Forwarder.
type counts struct {
	// requests counts all finished requests. Each is also counted as served if a
	// backend server's response was forwarded completely, cut if its response broke
	// off, otherwise as failed if a server may have run it and as refused if none did.
	requests, served, refused, failed, cut metrics.Counter
	// retries counts the times that a request was sent to another server after one
	// had received it. movedRequests counts the times that a stalled request was
	// taken away from its server to be moved to another one.
	retries, movedRequests metrics.Counter
	// retriesDenied counts the requests of which a retry budget did not allow a retry.
	retriesDenied metrics.Counter
	// brokenOff counts the answers that ended with their connection before they were
	// complete.
	brokenOff metrics.Counter
	// isolated counts the requests that an isolation kept from servers, and limited those
	// that were refused because of the rates that servers name.
	isolated, limited metrics.Counter
	// permitsUsed and permitsExpired count the permits to send requests to servers that name
	// a rate.
	permitsUsed, permitsExpired metrics.Counter
	// askedToWait counts the requests that were refused because servers have asked to wait, and
	// withdrawn those that were not sent to a server because it wants none since it was chosen.
	askedToWait, withdrawn metrics.Counter
	// unreadable counts the statements of servers that cannot be read.
	unreadable metrics.Counter
	// firstEventMS is the time to the first event of a stream and responseMS the time
	// to the end of a served response, both in milliseconds.
	firstEventMS, responseMS metrics.Histogram
}

// reservoirSize and reservoirAlpha are the values that the metrics library uses
// itself for a sample that is biased towards the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

func newCounts(r metrics.Registry) counts {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("requests_"+name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	return counts{
		requests: counter("total"), served: counter("served"), refused: counter("refused"), failed: counter("failed"),
		cut: counter("cut"), retries: counter("repeated"), movedRequests: counter("moved"),
		isolated:       counter("isolated"),
		retriesDenied:  metrics.NewRegisteredCounter("retries_denied", r),
		limited:        counter("limited"),
		permitsUsed:    metrics.NewRegisteredCounter("permits_used", r),
		permitsExpired: metrics.NewRegisteredCounter("permits_expired", r),
		askedToWait:    counter("asked_to_wait"),
		withdrawn:      counter("withdrawn"),
		unreadable:     metrics.NewRegisteredCounter("statements_unreadable", r),
		brokenOff:      metrics.NewRegisteredCounter("answers_broken_off", r),
		firstEventMS:   histogram("first_event_ms"), responseMS: histogram("answer_ms"),
	}
}

// readBody buffers the whole body, so that it can be sent again in a retry. If it
// returns false, it has already written an error response.
func (q *request) readBody() bool {
	if q.r.Body == nil || q.r.ContentLength == 0 {
		return true
	}
	limit := q.catalog.Limits.MaxBodyBytes
	if limit > 0 && q.r.ContentLength > limit {
		q.respondError(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	body := io.Reader(q.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	data, reserved, err := q.memory.ReadAll(body, q.r.ContentLength)
	var tooLarge *http.MaxBytesError
	wasReclaimed := q.memory.WasReclaimed()
	switch {
	case wasReclaimed:
		q.memory.Release()
		q.w.Header().Set("Connection", "close")
		q.respondError(http.StatusServiceUnavailable, outcomeMemoryShort, memoryRetryAfter)
		return false
	case !reserved:
		q.memory.Release()
		q.respondError(http.StatusServiceUnavailable, outcomeMemoryShort, memoryRetryAfter)
		q.discard(body)
		return false
	case errors.As(err, &tooLarge):
		q.respondError(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case err != nil && q.f.ending.Load():
		q.respondError(http.StatusServiceUnavailable, outcomeStopping, stoppingRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.lastError = err.Error()
		q.respondError(http.StatusRequestTimeout, "body_too_slow", 0)
	case err != nil:
		// The caller disconnected; the response may not reach it.
		q.lastError = err.Error()
		q.respondError(http.StatusBadRequest, "body_unreadable", 0)
	}
	q.body = data
	return err == nil
}

// discard reads the rest of a body that has been refused. Closing the connection while the caller still sends would
// reset it, and the refusal would be lost. It reads for drainTimeout and maxDrainBytes at most.
func (q *request) discard(body io.Reader) {
	rc := http.NewResponseController(q.w)
	// Errors mean that the caller has gone or is too slow.
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
}

// stripPort returns the value of a Host header without its port.
func stripPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// headerSize returns the approximate size of a request's header on the wire.
func headerSize(r *http.Request) int {
	const perLine = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + perLine
		}
	}
	return n
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func removeHopByHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// timeLeft returns the time until the request's deadline.
func (q *request) timeLeft() time.Duration { return time.Until(q.deadline) }

// chooseServer returns the server to send the request to next, and uses up the permit for it
// if it has named a request rate. If allowLate is set, a server is returned even if its
// response is predicted to be late.
func (q *request) chooseServer(allowLate bool) chooser.Choice {
	now := time.Now()
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	if q.isRefused(now) {
		// Servers have crashed under copies of the request since it was admitted.
		if c := q.takeReserved(); c.Server != nil {
			q.f.chooser.Allowance.Return(c.Server.ID)
		}
		return chooser.Choice{Reason: outcomeIsolated, RetryAfter: isolationRetryAfter}
	}
	if c := q.takeReserved(); c.Server != nil {
		return c
	}
	req := q.serverRequest(now, allowLate)
	c := q.f.chooser.Choose(now, req)
	if c.Server != nil {
		q.f.chooser.TakePermit(now, c.Server)
		return c
	}
	q.limitedServers, q.waitingServers = c.Limited, c.Waiting
	if q.headerSent || len(q.open) > 0 {
		// The caller gets no Retry-After.
		return c
	}
	return q.f.chooser.RecordRefusal(now, req, c)
}

// takeReserved returns the choice that was reserved for the next send, or one without a
// server if there is none, the request has been sent to that server meanwhile, or the server has
// asked to wait. The caller holds mu.
func (q *request) takeReserved() chooser.Choice {
	c := q.reserved
	q.reserved = chooser.Choice{}
	if c.Server != nil && (slices.Contains(q.tried, c.Server.ID) || q.f.chooser.NoticeOf(c.Server) != nil) {
		q.f.chooser.Allowance.Return(c.Server.ID)
		return chooser.Choice{}
	}
	return c
}

// returnReserved returns the permit for a send that was not made.
func (q *request) returnReserved() {
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	if c := q.reserved; c.Server != nil {
		q.reserved = chooser.Choice{}
		q.f.chooser.Allowance.Return(c.Server.ID)
	}
}

// reserveSend reserves the request's next retry, and the permit for it if the chosen server
// has named a rate: other requests could use up the permit before this one is sent again. It
// reports whether it did. The caller holds mu.
func (q *request) reserveSend(now time.Time, c chooser.Choice) bool {
	if c.Server == nil || !q.reserveRetry() {
		return false
	}
	if q.reserved.Server == nil && q.f.chooser.TakePermit(now, c.Server) {
		q.reserved = c
	}
	return true
}

// latencyBudget returns what is left of the latency objective. A caller whose body takes most of it to arrive would be refused
// however often it comes, so its objective counts from the end of the body.
func (q *request) latencyBudget(now time.Time) time.Duration {
	objective := q.route.LatencyObjective
	if q.wholeAt.Sub(q.receivedAt) > objective/2 {
		return objective - now.Sub(q.wholeAt)
	}
	return objective - now.Sub(q.receivedAt)
}

// serverRequest returns what the chooser needs to know of the request.
func (q *request) serverRequest(now time.Time, allowLate bool) chooser.Request {
	req := chooser.Request{
		Service: q.service, PromptTokens: q.info.PromptTokens, LatencyBudget: q.latencyBudget(now), Exclude: q.tried[q.triedAgainFrom:], AllowLate: allowLate,
	}
	for x := range q.open {
		req.Exclude = append(slices.Clip(req.Exclude), x.server)
	}
	if q.engine != nil {
		req.Model = q.info.Model
	}
	return req
}

// allowRetry reports whether the request may be sent to one more server after the
// last send ended with the given result. If so, it takes the retry from the budget,
// unless nothing was sent.
func (q *request) allowRetry(last sendResult) bool {
	if !q.hasAttemptsLeft() {
		return false
	}
	if last == resultNotSent {
		// No server received the request, so this is not a retry.
		return true
	}
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	if last != resultRejected && !q.mayRepeat() || !q.reserveRetry() {
		return false
	}
	q.retryReserved = false
	q.f.counts.retries.Inc(1)
	return true
}

// tries counts attempts that bring no answer.
type tries struct{ rejections, connectFailures int }

// unlocked runs wait without holding mu.
func (q *request) unlocked(wait func()) {
	q.mu.Unlock()
	defer q.mu.Lock()
	wait()
}

// hasAttemptsLeft reports whether the request may be sent to one more server, as far as its route, its
// deadline and the former attempts allow.
func (q *request) hasAttemptsLeft() bool {
	if q.possibleRuns > 0 && !q.route.Retryable() {
		return false
	}
	return q.ctx.Err() == nil && q.possibleRuns < q.route.MaxAttempts &&
		q.rejections-q.triesFrom.rejections <= maxRejections && q.connectFailures-q.triesFrom.connectFailures <= maxConnectFailures
}

// recordForwarded records that events of a stream were forwarded to the caller.
func (q *request) recordForwarded(now time.Time) {
	if !q.lastForwardedAt.IsZero() {
		q.longestGap = max(q.longestGap, now.Sub(q.lastForwardedAt))
	}
	q.lastForwardedAt = now
}

// priority returns the team's priority, or the route's if the request has no team.
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

// recordOutcome logs and counts the finished request. The outcome is one of the
// outcome constants or the reason of an error response.
func (q *request) recordOutcome(status int, outcome string) {
	c := &q.f.counts
	c.requests.Inc(1)
	switch {
	case outcome == outcomeServed:
		c.served.Inc(1)
		c.responseMS.Update(time.Since(q.receivedAt).Milliseconds())
	case outcome == outcomeCut:
		c.cut.Inc(1)
	case q.possibleRuns > 0:
		c.failed.Inc(1)
	default:
		c.refused.Inc(1)
	}
	route, version := "", cataloger.Version(0)
	var objective, gapObjective time.Duration
	if q.route != nil {
		route, objective, gapObjective = q.route.Name, q.route.LatencyObjective, q.route.GapObjective
	}
	if q.catalog != nil {
		version = q.catalog.Version
	}
	sinceConfirmed, _ := q.f.SinceConfirmed()
	if outcome == outcomeCut || outcome == outcomeFailed {
		q.logLoss(outcome)
	}
	_ = level.Info(q.f.Logger).Log("msg", "request", "id", q.info.ID, "digest", q.digest().Short(), "status", status, "outcome", outcome, "stage", q.currentStage(), "route", route,
		"team", q.teamName(), "model", q.info.Model, "servers", joinIDs(q.tried), "runs", q.possibleRuns,
		"rejections", q.rejections, "unreached", q.connectFailures, "limited", q.limitedServers, "waiting", q.waitingServers, "retry_denied", q.wasRetryDenied(), "fault", q.lastError, "expected_ms", q.predictedDelay.Milliseconds(), "first_ms", q.timeToFirstEvent.Milliseconds(),
		"objective_ms", objective.Milliseconds(), "gap_ms", q.longestGap.Milliseconds(), "gap_objective_ms", gapObjective.Milliseconds(),
		"total_ms", time.Since(q.receivedAt).Milliseconds(), "catalog", version, "fresh_ago_ms", sinceConfirmed.Milliseconds())
}

// logLoss logs what tells the causes of a request without an answer apart: whether servers broke off, whether it was
// taken from a server that may have been at work, and what this process did meanwhile.
func (q *request) logLoss(outcome string) {
	_ = level.Warn(q.f.Logger).Log("msg", "request ends without an answer before its time limit", "id", q.info.ID, "outcome", outcome, "stage", q.currentStage(),
		"left_ms", q.timeLeft().Milliseconds(), "moves", q.moves, "broken_off", q.brokenOff, "runs", q.possibleRuns, "rejections", q.rejections,
		"unreached", q.connectFailures, "retry_denied", q.wasRetryDenied(), "stopping", q.f.keepAlivesDisabled.Load(), "ending", q.f.ending.Load(), "fault", q.lastError)
}

// Outcomes of requests in the log, besides the other reasons of error responses.
const (
	outcomeServed     = "served"
	outcomeCut        = "cut"
	outcomeCallerLeft = "caller_left"
	outcomeTimeout    = "timeout"
	outcomeFailed     = "failed"
	// outcomeStopping means that this process was about to end.
	outcomeStopping = "stopping"
	// outcomeRejected means that every server that was tried rejected the request or
	// could not be reached.
	outcomeRejected = "rejected"
)

func joinIDs[T ~string](ids []T) string {
	var b strings.Builder
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(id))
	}
	return b.String()
}

// writeFailure writes the error response for a request that got no response from a
// server: 503 only if it is certain that no server ran the request, otherwise 504 if
// the deadline has passed and 502 if not, as when the process ends. If the caller has disconnected, it aborts
// the connection instead.
func (q *request) writeFailure(c chooser.Choice) {
	switch {
	case q.r.Context().Err() != nil:
		q.recordOutcome(0, outcomeCallerLeft)
		AbortResponse(q.r)
	case q.memoryShort.Load():
		q.respondError(http.StatusBadGateway, outcomeMemoryShort, 0)
	case q.f.ending.Load() && q.possibleRuns == 0:
		q.respondError(http.StatusServiceUnavailable, outcomeStopping, stoppingRetryAfter)
	case q.f.ending.Load():
		q.respondError(http.StatusBadGateway, outcomeStopping, 0)
	case q.possibleRuns == 0 && q.ctx.Err() == nil:
		c = q.refusalOfWaiting(c)
		reason, retryAfter := c.Reason, c.RetryAfter
		if reason == "" {
			reason = outcomeRejected
		}
		if retryAfter == 0 {
			retryAfter = q.f.outageRetryAfter()
		}
		q.f.recordRefusal(q)
		switch reason {
		case chooser.Limited:
			q.f.counts.limited.Inc(1)
		case chooser.AskedToWait:
			q.f.counts.askedToWait.Inc(1)
		}
		q.respondError(http.StatusServiceUnavailable, reason, retryAfter)
	case q.ctx.Err() != nil:
		q.respondError(http.StatusGatewayTimeout, outcomeTimeout, 0)
	default:
		q.respondError(http.StatusBadGateway, outcomeFailed, 0)
	}
}

func (f *Forwarder) recordRefusal(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.demands[demandKey{q.service, q.info.Model}]; d != nil {
		d.Refused++
	}
}

// shouldRetryFailure reports whether a response is a 5xx error that is to be dropped
// in favor of a retry at another server, for which the retry has been reserved, or a failure while another server is
// at work.
func (q *request) shouldRetryFailure(x *exchange) bool {
	if q.answer.hasOthers() && (x.resp.StatusCode >= http.StatusInternalServerError || x.resp.StatusCode >= http.StatusMultipleChoices && !x.attempt.isFirst) {
		return true
	}
	return x.resp.StatusCode >= http.StatusInternalServerError && q.route.Retryable() &&
		q.possibleRuns < q.route.MaxAttempts && q.reserveMove()
}

// hasServerLeft reports whether there is another server that could take the request now.
func (q *request) hasServerLeft() bool {
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	now := time.Now()
	return q.reserved.Server != nil || q.f.chooser.Choose(now, q.serverRequest(now, true)).Server != nil
}

// reserveMove reports whether another server could take the request now, and if so
// reserves the retry.
func (q *request) reserveMove() bool {
	if !q.hasAttemptsLeft() {
		return false
	}
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	now := time.Now()
	return q.reserveSend(now, q.f.chooser.Choose(now, q.serverRequest(now, true)))
}

// writeResponseHeader forwards the status and headers of a response.
func (q *request) writeResponseHeader(x *exchange) {
	h := q.w.Header()
	removeHopByHopHeaders(x.resp.Header)
	for k, vs := range x.resp.Header {
		h[k] = slices.Clone(vs)
	}
	if _, has := h["Content-Type"]; !has {
		// Keeps net/http from setting a detected content type.
		h["Content-Type"] = nil
	}
	if x.resp.ContentLength >= 0 && q.route.Kind != cataloger.Stream {
		h.Set("Content-Length", formatInt(x.resp.ContentLength))
	}
	q.w.WriteHeader(x.resp.StatusCode)
}
