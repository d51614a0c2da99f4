package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/pooler"
)

// fate is what is known of a request after it was sent to one server.
type fate int

const (
	// fateUnsent requests have not left this process.
	fateUnsent fate = iota
	// fateRejected requests have not run, by the server's own word.
	fateRejected
	// fateUnknown requests may have run.
	fateUnknown
	// fateAnswered requests have an answer.
	fateAnswered
)

// exchange is one request at one server.
type exchange struct {
	q      *request
	server identifier.Server
	// run counts the runs of the request up to this one.
	run   int
	conn  *pooler.Conn
	resp  *http.Response
	stamp ResponseInfo
	stop  func() bool
	// The fields below are guarded by the Forwarder's mu.
	moved    time.Time
	expected time.Duration
	begun    bool
	// leftBehind is set when the request is to go on at another server, and silence
	// is how long it had waited then.
	leftBehind bool
	silence    time.Duration
	over       bool
}

const (
	// maxStray is the number of answers to other requests that are read past.
	maxStray = 3
	// writeBound is how long a server may take to accept a request's bytes.
	writeBound = 2 * time.Second
)

// send passes the request to a server and reads the head of the answer.
func (q *request) send(c chooser.Choice, lastEventID string) (*exchange, fate) {
	f := q.f
	s := c.Server
	limit := 0
	if svc := q.catalog.Service(q.service); svc != nil && svc.MaxConnections > 0 {
		f.mu.Lock()
		limit = max(svc.MaxConnections/f.fronts, 1)
		f.mu.Unlock()
	}
	dial, cancel := context.WithTimeout(q.ctx, dialBound)
	conn, err := f.Pool.Get(dial, s.Address, limit, !q.route.Retryable())
	cancel()
	if err != nil {
		q.noteUnsent(s.ID, err)
		return nil, fateUnsent
	}
	now := time.Now()
	x := &exchange{q: q, server: s.ID, run: q.runs + 1, conn: conn, moved: now, expected: c.PredictedDelay}
	// The connection is cut when the caller leaves or the time is over.
	x.stop = context.AfterFunc(q.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	f.mu.Lock()
	f.chooser.RecordSent(now, s.ID, q.ask.PromptTokens)
	f.active[x] = struct{}{}
	f.mu.Unlock()
	q.tried = append(q.tried, s.ID)
	q.expected = c.PredictedDelay
	if err := x.write(lastEventID); err != nil {
		return x.broken(err)
	}
	return x.readHead()
}

func (q *request) noteUnsent(id identifier.Server, err error) {
	q.lastFault = err.Error()
	q.unreached++
	// It is not counted as tried, but it is not asked again.
	q.tried = append(q.tried, id)
	if q.ctx.Err() != nil || errors.Is(err, pooler.ErrConnLimit) {
		return
	}
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	q.f.chooser.RecordConnectFailure(time.Now(), id)
}

// write sends the request's bytes.
func (x *exchange) write(lastEventID string) error {
	q := x.q
	h := q.r.Header.Clone()
	stripConnection(h)
	q.f.Dialect.RewriteRequest(h, ForwardInfo{
		Server: x.server, Team: q.teamName(), Timeout: q.left(), LastEventID: lastEventID,
		Priority: q.priority(), RunsEngine: q.engine != nil,
	})
	var b bytes.Buffer
	b.Grow(len(q.body) + 1024)
	b.WriteString(q.r.Method + " " + q.r.RequestURI + " HTTP/1.1\r\nHost: " + q.r.Host + "\r\n")
	if len(q.body) > 0 || q.r.Method != http.MethodGet && q.r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	if err := h.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeBound)); err != nil {
		return err
	}
	_, err := x.conn.Write(b.Bytes())
	return err
}

// readHead reads the head of the answer to this request, past answers to other
// ones.
func (x *exchange) readHead() (*exchange, fate) {
	q := x.q
	for stray := 0; ; {
		resp, err := http.ReadResponse(x.conn.Reader, &http.Request{Method: q.r.Method})
		if err != nil {
			return x.broken(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		x.resp, x.stamp = resp, q.f.Dialect.ParseResponse(resp.Header)
		if x.stamp.RequestID == q.ask.ID || x.stamp.RequestID == "" && x.stamp.NotRun {
			break
		}
		// An extra answer to an earlier request, or bytes that are no answer.
		if stray++; stray > maxStray || x.stamp.RequestID == "" {
			return x.broken(errors.New("the answer names no request or another one"))
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return x.broken(err)
		}
	}
	return x.judge()
}

// judge says what the head of an answer means.
func (x *exchange) judge() (*exchange, fate) {
	q := x.q
	status := x.resp.StatusCode
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case x.stamp.NotRun || status == http.StatusMisdirectedRequest:
		q.rejections++
		q.lastFault = "server rejected with " + strconv.Itoa(status)
		x.note(func(c *chooser.Chooser, now time.Time) { c.RecordFailure(now, x.server) })
		_, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, maxBufferedAnswer))
		x.finish(err == nil, false)
		return nil, fateRejected
	case x.resp.Header.Get("Content-Encoding") != "":
		return x.broken(errors.New("the answer has a content encoding that nobody asked for"))
	case !x.stamp.Signed:
		return x.broken(errors.New("the answer is not signed, status " + strconv.Itoa(status)))
	case success:
		q.runs++
		return x, fateAnswered
	}
	q.runs++
	x.note(func(c *chooser.Chooser, now time.Time) { c.RecordFailure(now, x.server) })
	return x, fateAnswered
}

func (x *exchange) note(do func(c *chooser.Chooser, now time.Time)) {
	x.q.f.mu.Lock()
	defer x.q.f.mu.Unlock()
	do(x.q.f.chooser, time.Now())
}

// broken ends an exchange without a usable answer.
func (x *exchange) broken(err error) (*exchange, fate) {
	q := x.q
	q.runs++
	x.noteBroken(err)
	x.finish(false, false)
	return nil, fateUnknown
}

// noteBroken notes why the exchange has no usable answer, and a failure of the
// server unless this side ended the exchange.
func (x *exchange) noteBroken(err error) {
	q := x.q
	q.lastFault = err.Error()
	x.note(func(c *chooser.Chooser, now time.Time) {
		switch {
		case x.leftBehind:
			q.lastFault = fmt.Sprintf("taken elsewhere, %s gave nothing for %s", x.server, x.silence)
		case q.ctx.Err() == nil:
			c.RecordFailure(now, x.server)
		}
	})
}

// finish ends the exchange. Whole tells that the answer was read to its end, so
// that the connection can be used again.
func (x *exchange) finish(whole, success bool) {
	f := x.q.f
	f.mu.Lock()
	if x.over {
		f.mu.Unlock()
		return
	}
	x.over = true
	delete(f.active, x)
	f.chooser.RecordEnd(x.server, x.q.ask.PromptTokens, x.begun)
	if whole {
		f.chooser.RecordResponse(time.Now(), x.server)
	}
	if success {
		f.chooser.RecordSuccess(x.server)
	}
	f.mu.Unlock()
	// Once stop reports false, the deadline was set and the connection is spent.
	if whole && x.stop() && x.resp != nil && !x.resp.Close {
		x.conn.Release(keepAlive(x.resp.Header))
		return
	}
	x.stop()
	x.conn.Discard()
}

// keepAlive returns how long a server keeps an unused connection, 0 when it does
// not say.
func keepAlive(h http.Header) time.Duration {
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

// progress notes an event of the answer.
func (x *exchange) progress() {
	now := time.Now()
	f := x.q.f
	f.mu.Lock()
	defer f.mu.Unlock()
	pause := now.Sub(x.moved)
	x.moved = now
	if x.begun {
		f.chooser.RecordGap(now, x.server, pause)
		f.chooser.RecordResponse(now, x.server)
		return
	}
	x.begun = true
	f.chooser.RecordFirstEvent(now, x.server, x.q.ask.PromptTokens)
}

// Bounds on silence.
const (
	// serverQuiet is how long a server must have given nothing to any request of
	// this front before one of them is taken elsewhere.
	serverQuiet = 400 * time.Millisecond
	// leastQuiet is the least silence of a request that counts, which is longer
	// than an engine's pass that reads several prompts.
	leastQuiet = 500 * time.Millisecond
	// gapFactor times the declared pause, and objectiveFactor times the declared
	// time to the first event, is a silence that counts.
	gapFactor       = 2
	objectiveFactor = 2
)

// StallCheckInterval is the pause between two sweeps: less than a pass of an engine.
const StallCheckInterval = 25 * time.Millisecond

// wokeAfter times SweepPace between two sweeps means that this process did not run.
const wokeAfter = 2

// MoveStalledRequests takes requests that stand still elsewhere, where that is allowed. It is
// called every SweepPace.
func (f *Forwarder) MoveStalledRequests(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if late := now.Sub(f.swept); !f.swept.IsZero() && late > wokeAfter*StallCheckInterval {
		f.chooser.RecordResume(now)
	}
	f.swept = now
	failed := map[identifier.Server]bool{}
	for x := range f.active {
		silent := now.Sub(x.moved) > x.patience() && f.chooser.SinceLastResponse(now, x.server) > serverQuiet
		if !silent && !f.chooser.IsStalled(now, x.server) || !x.leave(now, !silent) {
			continue
		}
		if !failed[x.server] {
			failed[x.server] = true
			f.chooser.RecordFailure(now, x.server)
		}
	}
}

// patience is how long the exchange may be silent. The caller holds mu.
func (x *exchange) patience() time.Duration {
	r := x.q.route
	if x.begun {
		return max(leastQuiet, gapFactor*r.GapObjective)
	}
	return max(leastQuiet, objectiveFactor*r.LatencyObjective, x.expected+r.LatencyObjective)
}

// leave cuts the connection of the exchange so that its request goes on at another
// server, and reports whether it did. An early leave goes by less evidence. Where
// the next event would be late anyway it is better to wait for more, since each
// move uses up an attempt. The caller holds mu.
func (x *exchange) leave(now time.Time, early bool) bool {
	if x.leftBehind || !x.canMove(now, early) {
		return false
	}
	x.leftBehind = true
	x.silence = now.Sub(x.moved).Round(time.Millisecond)
	x.q.f.counts.moved.Inc(1)
	_ = x.conn.SetDeadline(time.Unix(1, 0))
	return true
}

// canMove is request.canMove for a running exchange. Of the request it reads only
// what does not change meanwhile. The caller holds mu.
func (x *exchange) canMove(now time.Time, early bool) bool {
	q := x.q
	if !q.route.Retryable() || x.run >= q.route.MaxAttempts {
		return false
	}
	a := chooser.Request{
		Service: q.service, PromptTokens: q.ask.PromptTokens, AllowLate: true, ExcludeSuspects: early,
		Exclude: []identifier.Server{x.server},
	}
	if q.engine != nil {
		a.Model = q.ask.Model
	}
	c := q.f.chooser.Choose(now, a)
	return c.Server != nil && (!early || x.keepsObjective(now, c.PredictedDelay)) && q.reserve(now)
}

// keepsObjective reports whether the next event is still on time if another server
// gives it after that time. The caller holds mu.
func (x *exchange) keepsObjective(now time.Time, expected time.Duration) bool {
	if x.begun {
		return now.Sub(x.moved)+expected <= x.q.route.GapObjective
	}
	return now.Sub(x.q.began)+expected <= x.q.route.LatencyObjective
}

// ServerEvidence is what this front's requests show of one server.
type ServerEvidence struct {
	Server      identifier.Server
	AnsweredAgo time.Duration
	Unreachable int
	// Stalled counts requests that have been silent for long.
	Stalled int
}

// Evidence returns what this front's requests show of the servers.
func (f *Forwarder) Evidence(now time.Time) []ServerEvidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	stalled := map[identifier.Server]int{}
	for x := range f.active {
		if now.Sub(x.moved) > serverQuiet {
			stalled[x.server]++
		}
	}
	var out []ServerEvidence
	for id, e := range f.chooser.Observations(now) {
		out = append(out, ServerEvidence{
			Server: id, AnsweredAgo: min(e.SinceLastResponse, time.Hour), Unreachable: e.ConnectFailures, Stalled: stalled[id],
		})
	}
	slices.SortFunc(out, func(a, b ServerEvidence) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return out
}

// Loads returns this front's own work at the servers.
func (f *Forwarder) Loads() map[identifier.Server]chooser.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.OwnLoads()
}
