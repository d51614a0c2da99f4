package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/pooler"
	"trefoilhead.org/trefoilhead/internal/verifier"
)

// sendResult is what is known about a request after an attempt to send it to one
// server.
type sendResult int

const (
	// resultNotSent means that no byte of the request was sent.
	resultNotSent sendResult = iota
	// resultRejected means that the server stated that it did not run the request.
	resultRejected
	// resultMayHaveRun means that the server may have run the request, but there is no
	// usable response.
	resultMayHaveRun
	// resultResponse means that there is a response.
	resultResponse
	// resultSuperseded means that another attempt has gone on with the answer.
	resultSuperseded
)

// exchange is a request to one backend server and its response.
type exchange struct {
	q       *request
	attempt *attempt
	server  identifier.Server
	// incarnation is that of the server.
	incarnation identifier.Incarnation
	// serverName names the server and its incarnation, and address is its address.
	serverName     string
	address        string
	conn           *pooler.Conn
	resp           *http.Response
	respInfo       ResponseInfo
	stopCancelHook func() bool
	// The fields below are guarded by the Forwarder's mu. lastEventAt is the time of the
	// last event or, before the first one, the time at which the request was sent.
	lastEventAt    time.Time
	predictedDelay time.Duration
	// eventCount is the number of events that were forwarded, and sentAt the time at which
	// the request was sent.
	eventCount int
	sentAt     time.Time
	// firstEventAt is the time of the first event. sound is set once the answer has
	// counted as one that went on, and isolated if an isolation ended the exchange.
	firstEventAt time.Time
	sound        bool
	isolated     bool
	// heldUp is how long this process has not tried to read the answer since lastEventAt, because it was suspended or wrote
	// to the caller. writingSince is when the present write to the caller began, or zero.
	heldUp       time.Duration
	writingSince time.Time
	// isMoving is set while other servers are tried, because this one has been silent for silentFor. They may be tried
	// again at nextMoveAt. A pinned exchange cannot be replaced.
	isMoving   bool
	silentFor  time.Duration
	nextMoveAt time.Time
	pinned     bool
	finished   bool

	// isRun is set once the exchange counts as a possible run, and heldComments are those that have not been written
	// to the caller. The request's mu guards both.
	isRun        bool
	heldComments []byte
}

const (
	// maxStrayResponses is the number of responses to other requests that are skipped.
	maxStrayResponses = 3
	// maxResponseHeaderBytes limits the header of a response, with the informational
	// responses before it.
	maxResponseHeaderBytes = 64 << 10
	// maxJoinedBody is the size of the longest body that is copied to be written together with
	// the header.
	maxJoinedBody = 16 << 10
	// maxSkippedBytes and maxSkipTime limit how much of an unused response is read so
	// that its connection can be reused.
	maxSkippedBytes = 64 << 10
	maxSkipTime     = 20 * time.Millisecond
)

// hasFirstEvent reports whether an event of the answer was forwarded. The caller holds mu.
func (x *exchange) hasFirstEvent() bool { return !x.firstEventAt.IsZero() }

// send sends the request to a server and reads the header of the response. The
// exchange is nil unless the result is resultResponse.
func (q *request) send(at *attempt, c chooser.Choice) (_ *exchange, result sendResult) {
	f := q.f
	s := c.Server
	chosenAt := time.Now()
	q.stage.Store(int32(stageSending))
	defer func() {
		if result != resultResponse {
			q.restoreStage()
		}
	}()
	limit := 0
	if svc := q.catalog.Service(q.service); svc != nil && svc.MaxConnections > 0 {
		f.mu.Lock()
		limit = max(svc.MaxConnections/max(f.share.Processes, 1), 1)
		f.mu.Unlock()
	}
	dialCtx, cancel := context.WithTimeout(at.ctx, dialTimeout)
	var conn *pooler.Conn
	var err error
	q.unlocked(func() { conn, err = q.connect(dialCtx, s.Address, limit) })
	cancel()
	if at.superseded {
		q.returnPermit(s.ID)
		if err == nil {
			conn.Discard()
		}
		return nil, resultSuperseded
	}
	if err != nil {
		q.recordConnectFailure(s.ID, err)
		return nil, resultNotSent
	}
	if q.withdraw(s, chosenAt) {
		conn.Discard()
		return nil, resultNotSent
	}
	if len(q.open) > 0 && q.possibleRuns >= q.route.MaxAttempts {
		// Another attempt has sent the last run that the route allows since this one chose its server.
		q.returnPermit(s.ID)
		conn.Discard()
		return nil, resultNotSent
	}
	now := time.Now()
	x := &exchange{q: q, attempt: at, server: s.ID, incarnation: identifier.Incarnation(s.Incarnation), serverName: isolator.NewServerName(s.ID, s.Incarnation), address: s.Address, conn: conn, lastEventAt: now, sentAt: now, predictedDelay: c.PredictedDelay}
	// When the caller disconnects, the request's deadline passes or another attempt has gone on with the answer,
	// a connection deadline in the past interrupts reads and writes. stopCancelHook prevents that,
	// and reports false if it has already happened.
	x.stopCancelHook = context.AfterFunc(at.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	f.mu.Lock()
	f.chooser.RecordSent(now, s.ID, q.info.PromptTokens)
	f.activeExchanges[x] = struct{}{}
	f.mu.Unlock()
	q.open[x] = struct{}{}
	x.recordRun()
	q.tried = append(q.tried, s.ID)
	q.predictedDelay = c.PredictedDelay
	if err := x.writeRequest(q.answer.resumeAfter()); err != nil {
		return x.fail(err)
	}
	q.stage.Store(int32(stageAwaiting))
	return x.readResponseHeader()
}

// connect returns a connection for the request. A reused one must not have carried a
// request with the same ID before: a second copy of the response to that one could not be
// told from the response to this one.
func (q *request) connect(ctx context.Context, address string, limit int) (*pooler.Conn, error) {
	fresh := !q.route.Retryable() || q.info.ID == ""
	conn, err := q.f.Pool.Get(ctx, address, limit, fresh)
	if err == nil && conn.Reused && conn.LastRequest == q.info.ID {
		conn.Discard()
		conn, err = q.f.Pool.Get(ctx, address, limit, true)
	}
	if err == nil {
		conn.LastRequest = q.info.ID
	}
	return conn, err
}

// restoreStage sets the stage to that of an exchange that is still open.
func (q *request) restoreStage() {
	current := stageChoosing
	for x := range q.open {
		current = stageAwaiting
		if x.resp != nil {
			current = stageAnswering
		}
	}
	q.stage.Store(int32(current))
}

// returnPermit returns the permit for a request that is not sent to a server.
func (q *request) returnPermit(id identifier.Server) {
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	q.f.chooser.Allowance.Return(id)
}

func (q *request) recordConnectFailure(id identifier.Server, err error) {
	q.lastError = err.Error()
	q.connectFailures++
	// This does not count as an attempt, but the server is not chosen again. The
	// chooser counts the failure only if it was not caused by the request's context
	// or by the limit on connections.
	q.tried = append(q.tried, id)
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	q.f.chooser.Allowance.Return(id)
	if q.ctx.Err() != nil || errors.Is(err, pooler.ErrConnLimit) {
		return
	}
	q.f.chooser.RecordConnectFailure(time.Now(), id)
}

// writeRequest writes the request to the connection.
func (x *exchange) writeRequest(lastEventID string) error {
	q := x.q
	h := q.r.Header.Clone()
	removeHopByHopHeaders(h)
	q.f.Dialect.RewriteRequest(h, ForwardInfo{
		Server: x.server, Team: q.teamName(), Timeout: q.timeLeft(), LastEventID: lastEventID,
		Priority: q.priority(), RunsEngine: q.engine != nil,
	})
	var b bytes.Buffer
	isSplit := len(q.body) > maxJoinedBody
	if !isSplit {
		b.Grow(len(q.body) + 1024)
	}
	b.WriteString(q.r.Method + " " + q.r.RequestURI + " HTTP/1.1\r\nHost: " + q.r.Host + "\r\n")
	if len(q.body) > 0 || q.r.Method != http.MethodGet && q.r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	if err := h.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	if !isSplit {
		b.Write(q.body)
	}
	var err error
	q.unlocked(func() {
		_, err = x.conn.Write(b.Bytes())
		if err == nil && isSplit {
			_, err = x.conn.Write(q.body)
		}
	})
	return err
}

// readResponseHeader reads the header of the response to this request. It skips
// informational responses and responses to other requests.
func (x *exchange) readResponseHeader() (*exchange, sendResult) {
	q := x.q
	x.conn.LimitReads(maxResponseHeaderBytes)
	for stray := 0; ; {
		var resp *http.Response
		var err error
		q.unlocked(func() { resp, err = http.ReadResponse(x.conn.Reader, &http.Request{Method: q.r.Method}) })
		if err != nil {
			return x.fail(err)
		}
		if verifier.IsInterim(resp) {
			continue
		}
		if err := verifier.CheckFinal(resp); err != nil {
			return x.fail(err)
		}
		x.resp, x.respInfo = resp, q.f.Dialect.ParseResponse(resp.Header)
		if x.respInfo.RequestID == q.info.ID || x.isRefusalWithoutID() {
			break
		}
		// A late response to an earlier request, or one without a request ID, which
		// cannot be trusted to be a response at all.
		if stray++; stray > maxStrayResponses || x.respInfo.RequestID == "" {
			return x.fail(errors.New("the answer has no request ID or another one"))
		}
		x.conn.LimitReads(maxBufferedResponse)
		q.unlocked(func() { _, err = io.Copy(io.Discard, resp.Body) })
		if err != nil {
			return x.fail(err)
		}
		x.conn.LimitReads(maxResponseHeaderBytes)
	}
	x.conn.UnlimitReads()
	x.observeStatements()
	return x.classifyResponse()
}

// isRefusalWithoutID reports whether the response states that this request did not run although
// it has no request ID. On a reused connection it may be a second copy of an earlier refusal.
func (x *exchange) isRefusalWithoutID() bool {
	return x.respInfo.RequestID == "" && x.respInfo.NotRun && !x.conn.Reused
}

// classifyResponse derives the result of the send from the status and header of the
// response.
func (x *exchange) classifyResponse() (*exchange, sendResult) {
	q := x.q
	status := x.resp.StatusCode
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case x.respInfo.NotRun || status == http.StatusMisdirectedRequest:
		x.recordRejection()
		q.lastError = "server rejected with " + strconv.Itoa(status)
		x.updateChooser(func(c *chooser.Chooser, now time.Time) { c.RecordFailure(now, x.server) })
		x.finish(x.skipBody(), false)
		return nil, resultRejected
	case x.resp.Header.Get("Content-Encoding") != "":
		return x.fail(errors.New("the answer has an unrequested content encoding"))
	case !x.respInfo.Signed:
		return x.fail(errors.New("the answer is not signed, status " + strconv.Itoa(status)))
	case success:
		x.recordRun()
		q.stage.Store(int32(stageAnswering))
		return x, resultResponse
	}
	x.recordRun()
	q.stage.Store(int32(stageAnswering))
	x.updateChooser(func(c *chooser.Chooser, now time.Time) { c.RecordFailure(now, x.server) })
	return x, resultResponse
}

// skipBody reads the rest of a response that is not used, and reports whether it has
// ended.
func (x *exchange) skipBody() bool {
	_ = x.conn.SetReadDeadline(time.Now().Add(maxSkipTime))
	x.conn.LimitReads(maxSkippedBytes)
	var err error
	x.q.unlocked(func() { _, err = io.Copy(io.Discard, x.resp.Body) })
	x.conn.UnlimitReads()
	return err == nil
}

// recordRun counts the exchange as a possible run, once.
func (x *exchange) recordRun() {
	if !x.isRun {
		x.isRun = true
		x.q.addRuns(1)
	}
}

// recordRejection counts the exchange as one that the server did not run.
func (x *exchange) recordRejection() {
	x.q.rejections++
	if x.isRun {
		x.isRun = false
		x.q.addRuns(-1)
	}
}

// addRuns changes the number of possible runs.
func (q *request) addRuns(n int) {
	q.possibleRuns += n
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	q.hasNoRunsLeft = q.possibleRuns >= q.route.MaxAttempts
}

func (x *exchange) updateChooser(update func(c *chooser.Chooser, now time.Time)) {
	x.q.f.mu.Lock()
	defer x.q.f.mu.Unlock()
	update(x.q.f.chooser, time.Now())
}

// fail ends an exchange that has no usable response.
func (x *exchange) fail(err error) (*exchange, sendResult) {
	x.recordRun()
	return nil, x.breakOff(err)
}

// breakOff ends an exchange whose response is not usable or has broken off, and returns the result.
func (x *exchange) breakOff(err error) sendResult {
	if x.attempt.superseded {
		x.recordSuperseded()
		x.finish(false, false)
		return resultSuperseded
	}
	x.recordFailure(err)
	x.finish(false, false)
	return resultMayHaveRun
}

// recordSuperseded records that another server has gone on with the answer.
func (x *exchange) recordSuperseded() {
	q := x.q
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	if x.isMoving {
		q.lastError = fmt.Sprintf("moving elsewhere: no events from %s for %s", x.server, x.silentFor)
	}
	_ = level.Info(q.f.Logger).Log("msg", "exchange is ended, since another server has gone on with the answer", "id", q.info.ID, "server", x.server,
		"was_silent", x.isMoving, "events", x.eventCount, "sent_ago", time.Since(x.sentAt).Round(time.Millisecond))
}

// recordFailure records why the exchange has no usable response. It counts as a
// failure of the server unless this front ended the exchange itself.
func (x *exchange) recordFailure(err error) {
	q := x.q
	q.lastError = err.Error()
	x.updateChooser(func(c *chooser.Chooser, now time.Time) {
		switch {
		case x.isolated:
			q.lastError = "servers crash under such requests"
		case q.ctx.Err() == nil:
			c.RecordFailure(now, x.server)
			x.recordBreakOff(now, err)
		}
	})
}

// recordBreakOff logs and counts an answer that ended with its connection before it was
// complete, as those of a server that crashes do. The caller holds mu.
func (x *exchange) recordBreakOff(now time.Time, err error) {
	if !isBrokenConn(err) {
		return
	}
	q := x.q
	q.brokenOff++
	q.f.counts.brokenOff.Inc(1)
	evidence := x.recordCrash(now)
	_ = level.Info(q.f.Logger).Log("msg", "answer broke off", "id", q.info.ID, "digest", q.digest().Short(), "server", x.server, "route", q.route.Name, "team", q.teamName(),
		"model", q.info.Model, "parts", joinIDs(q.info.PromptParts), "events", x.eventCount, "after_ms", now.Sub(x.sentAt).Milliseconds(), "evidence", evidence, "fault", err)
}

// isBrokenConn reports whether a connection to a server was closed or reset by the other
// side.
func isBrokenConn(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// finish ends the exchange; later calls have no effect. If complete is set, the
// response was read to its end, so the connection can be reused. If success is set,
// the server's earlier failures are forgotten.
func (x *exchange) finish(complete, success bool) {
	f := x.q.f
	delete(x.q.open, x)
	f.mu.Lock()
	if x.finished {
		f.mu.Unlock()
		return
	}
	x.finished = true
	delete(f.activeExchanges, x)
	f.chooser.RecordEnd(x.server, x.q.info.PromptTokens, x.hasFirstEvent())
	if complete {
		f.chooser.RecordResponse(time.Now(), x.server)
	}
	if success {
		now := time.Now()
		f.chooser.RecordSuccess(x.server)
		x.recordSound(now)
		f.isolation.ledger.RecordComplete(now, x.run())
	}
	f.mu.Unlock()
	// If stopCancelHook reports false, the connection's deadline has been set to the
	// past and the connection cannot be reused.
	if complete && x.stopCancelHook() && x.resp != nil && !x.resp.Close {
		x.conn.Release(keepAliveTimeout(x.resp.Header))
		return
	}
	x.stopCancelHook()
	x.conn.Discard()
}

// keepAliveTimeout returns how long a server keeps an idle connection open according
// to its Keep-Alive header, or 0 if it does not state a timeout.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if n, err := strconv.Atoi(value); err == nil {
				return max(time.Duration(n)*time.Second, 1)
			}
		}
	}
	return 0
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// recordEvents records that n events were forwarded to the caller.
func (x *exchange) recordEvents(n int) {
	now := time.Now()
	f := x.q.f
	f.mu.Lock()
	defer f.mu.Unlock()
	pause := now.Sub(x.lastEventAt)
	x.setLastEvent(now)
	x.eventCount += n
	if x.eventCount >= soundEvents {
		defer x.recordSound(now)
	}
	if x.hasFirstEvent() {
		f.chooser.RecordGap(now, x.server, pause)
		f.chooser.RecordResponse(now, x.server)
		return
	}
	x.firstEventAt = now
	f.chooser.RecordFirstEvent(now, x.server, x.q.info.PromptTokens)
}

// setLastEvent records that the server has sent something. The caller holds mu.
func (x *exchange) setLastEvent(now time.Time) {
	x.lastEventAt, x.heldUp = now, 0
	if !x.writingSince.IsZero() {
		x.writingSince = now
	}
}

// silence returns how long the server has sent nothing, as far as this process has tried to read. The caller holds mu.
func (x *exchange) silence(now time.Time) time.Duration {
	silence := now.Sub(x.lastEventAt) - x.heldUp
	if !x.writingSince.IsZero() {
		silence -= now.Sub(x.writingSince)
	}
	return silence
}

// holdUp records that this process was suspended for a time. The caller holds mu.
func (x *exchange) holdUp(now time.Time, d time.Duration) {
	if x.writingSince.IsZero() {
		x.heldUp += min(d, x.silence(now))
	}
}

// beginWrite records that a write to the caller begins, in which the answer is not read, and endWrite that it has ended.
func (x *exchange) beginWrite() {
	x.q.f.mu.Lock()
	defer x.q.f.mu.Unlock()
	x.writingSince = time.Now()
}

func (x *exchange) endWrite() {
	x.q.f.mu.Lock()
	defer x.q.f.mu.Unlock()
	x.heldUp += time.Since(x.writingSince)
	x.writingSince = time.Time{}
}
