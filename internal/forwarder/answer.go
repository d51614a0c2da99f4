package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
)

// answer is the answer to a request on its way to the caller. Several servers may
// contribute consecutive parts of a stream. The request's mu guards its fields, except others.
//
// An answer is never given up for one that may not come: while its server is silent, an attempt at other servers is made
// in a goroutine of its own. The first attempt that has something for the caller goes on with the answer, and supersedes
// the others.
type answer struct {
	q *request
	// attempts holds those that are being made, and others counts those in goroutines of their own.
	attempts map[*attempt]struct{}
	others   sync.WaitGroup
	// isWhole is set once the caller has the whole answer, and isAborted once its connection has to be aborted.
	isWhole, isAborted bool

	// mediaType is that of the first server's response. It is valid if the request's headerSent is set.
	mediaType string
	// lastEventID is the ID of the last event that was written to the caller. It is
	// valid if hasLastEventID is set.
	lastEventID    int64
	hasLastEventID bool
	flusher        *http.ResponseController
	// waited is how long a stream has waited to go on at another server.
	waited time.Duration
}

// attempt is the work of one goroutine at an answer. The request's mu guards superseded.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	// superseded is set once another attempt has gone on with the answer.
	superseded bool
	// isFirst is set unless other servers are tried because one is silent.
	isFirst bool
}

const (
	// maxResumeWait bounds how long a broken stream waits until another server may take it, and
	// resumePollInterval is the time between two attempts. The retry budget of a busy front earns a
	// retry within that time.
	maxResumeWait      = time.Second
	resumePollInterval = 50 * time.Millisecond
)

// serve forwards the request to one server after another until one has answered it.
func (q *request) serve() {
	a := &answer{q: q, attempts: map[*attempt]struct{}{}, flusher: http.NewResponseController(q.w)}
	q.answer = a
	choice := a.tryInTurn()
	switch {
	case a.isAborted:
		AbortResponse(q.r)
	case a.isWhole:
	case q.headerSent:
		// The aborted connection shows the caller that the response is incomplete.
		outcome := outcomeCut
		if q.r.Context().Err() != nil {
			outcome = outcomeCallerLeft
		}
		q.recordOutcome(http.StatusOK, outcome)
		AbortResponse(q.r)
	default:
		q.writeFailure(choice)
	}
}

// tryInTurn sends the request to servers until the answer has ended or may not be tried at another one. If no server could
// be chosen, it returns the choice.
func (a *answer) tryInTurn() chooser.Choice {
	q := a.q
	for {
		choice := q.chooseServer(q.possibleRuns > 0)
		if choice.Server == nil {
			if choice.Reason == outcomeIsolated || !a.wait() {
				return choice
			}
			// The servers that were tried are better than none.
			q.triedAgainFrom = len(q.tried)
			continue
		}
		at := a.newAttempt()
		at.isFirst = true
		result := a.forwardFrom(at, choice)
		a.endAttempt(at)
		q.unlocked(a.others.Wait)
		if a.isWhole || a.isAborted || !a.awaitRetry(result) {
			return chooser.Choice{}
		}
	}
}

// tryElsewhere sends the request to other servers while x stays open, unless x has had an event since it had the
// given number of them. The next retry has been reserved.
func (a *answer) tryElsewhere(x *exchange, events int) {
	q := a.q
	q.mu.Lock()
	defer q.mu.Unlock()
	// A permit that is kept for a later retry may be for a server that has left by then.
	defer q.returnReserved()
	if x.attempt.superseded || a.isWhole || a.isAborted || !x.isStillSilent(events) {
		x.endMove(time.Time{})
		return
	}
	if q.moves > 0 {
		q.triedAgainFrom = len(q.tried)
	}
	q.moves++
	q.triesFrom = tries{q.rejections, q.connectFailures}
	at := a.newAttempt()
	defer a.endAttempt(at)
	for result := resultMayHaveRun; !at.superseded && q.hasServerLeft() && q.allowRetry(result); {
		choice := q.chooseServer(true)
		if choice.Server == nil {
			break
		}
		if result = a.forwardFrom(at, choice); result == resultResponse {
			break
		}
	}
	x.endMove(time.Now().Add(moveRetryInterval))
}

// isStillSilent reports whether the exchange is open, may be replaced and has had no more events than the given number.
func (x *exchange) isStillSilent(events int) bool {
	x.q.f.mu.Lock()
	defer x.q.f.mu.Unlock()
	return !x.finished && !x.pinned && x.eventCount == events
}

// endMove allows other servers to be tried again from a time on.
func (x *exchange) endMove(next time.Time) {
	x.q.f.mu.Lock()
	defer x.q.f.mu.Unlock()
	x.isMoving, x.nextMoveAt = false, next
}

// newAttempt begins an attempt, which endAttempt ends.
func (a *answer) newAttempt() *attempt {
	at := &attempt{}
	at.ctx, at.cancel = context.WithCancel(a.q.ctx)
	a.attempts[at] = struct{}{}
	return at
}

func (a *answer) endAttempt(at *attempt) {
	at.cancel()
	delete(a.attempts, at)
}

// hasOthers reports whether more than one attempt is being made.
func (a *answer) hasOthers() bool { return len(a.attempts) > 1 }

// goOnWith supersedes all other attempts.
func (a *answer) goOnWith(at *attempt) {
	for other := range a.attempts {
		if other != at {
			other.superseded = true
			other.cancel()
		}
	}
}

// end records the outcome of an answer that has been forwarded as far as possible.
func (a *answer) end(status int, outcome string) sendResult {
	a.isWhole, a.isAborted = outcome == outcomeServed, outcome != outcomeServed
	a.q.recordOutcome(status, outcome)
	return resultResponse
}

// awaitRetry reports whether the request may be sent to one more server. While the retry budget does not allow
// it, a stream of which the caller has a part waits: it has no other use for that part.
func (a *answer) awaitRetry(last sendResult) bool {
	for !a.q.allowRetry(last) {
		if !a.wait() {
			return false
		}
	}
	return true
}

// wait waits for resumePollInterval, and reports false if the stream may not go on afterwards.
func (a *answer) wait() bool {
	q := a.q
	if !q.headerSent || !q.hasAttemptsLeft() || a.waited >= maxResumeWait {
		return false
	}
	a.waited += resumePollInterval
	q.unlocked(func() {
		select {
		case <-q.ctx.Done():
		case <-time.After(resumePollInterval):
		}
	})
	return q.ctx.Err() == nil
}

// forwardFrom sends the request to a server and forwards its response. It returns resultResponse once the answer has
// ended. After resultMayHaveRun it may continue at another server.
func (a *answer) forwardFrom(at *attempt, c chooser.Choice) sendResult {
	x, result := a.q.send(at, c)
	switch {
	case result != resultResponse:
		return result
	case at.superseded:
		return x.breakOff(errSuperseded)
	case a.q.route.Kind == cataloger.Stream:
		return a.forwardStream(x)
	}
	return a.forwardUnary(x)
}

// forwardUnary forwards a response to the caller. It returns resultMayHaveRun,
// with nothing written to the caller, if the response is a failure that should be
// retried or breaks within its first maxBufferedResponse bytes. If it breaks later, the
// caller's connection is aborted.
func (a *answer) forwardUnary(x *exchange) sendResult {
	q := a.q
	if q.shouldRetryFailure(x) {
		// The body of the response is still to come.
		x.finish(false, false)
		q.lastError = "server responded with " + x.resp.Status
		return resultMayHaveRun
	}
	var data []byte
	var complete bool
	var err error
	q.unlocked(func() { data, complete, err = q.readAnswer(x) })
	if err != nil || x.attempt.superseded {
		return x.breakOff(err)
	}
	a.goOnWith(x.attempt)
	x.pin()
	if x.resp.ContentLength < 0 && complete && q.r.Method != http.MethodHead {
		// With a length, callers of every version of HTTP see whether the body is whole.
		x.resp.ContentLength = int64(len(data))
	}
	q.writeResponseHeader(x)
	caller := callerWriter{q.w}
	x.beginWrite()
	_, err = caller.Write(data)
	x.endWrite()
	if err == nil && !complete {
		q.unlocked(func() { _, err = io.Copy(waitingWriter{x, caller}, plainBody{x}) })
		complete = err == nil
	}
	var writeErr *callerWriteError
	if err != nil && !errors.As(err, &writeErr) {
		x.recordFailure(err)
	}
	x.finish(complete, complete)
	switch {
	case err == nil:
		return a.end(x.resp.StatusCode, outcomeServed)
	case errors.As(err, &writeErr):
		return a.end(x.resp.StatusCode, outcomeCallerLeft)
	}
	return a.end(x.resp.StatusCode, outcomeCut)
}

// readAnswer reads what is kept of an answer before any of it is passed on: maxBufferedResponse, or less if memory is
// short. It reports whether that is the whole answer.
func (q *request) readAnswer(x *exchange) (data []byte, complete bool, err error) {
	body := plainBody{x}
	data, complete, err = q.memory.ReadUpTo(body, x.resp.ContentLength, maxBufferedResponse)
	if missing := minBufferedResponse - len(data); err == nil && !complete && missing > 0 {
		var rest []byte
		rest, err = io.ReadAll(io.LimitReader(body, int64(missing)))
		data, complete = append(data, rest...), len(rest) < missing
	}
	return data, complete, err
}

// plainBody is the body of an answer that is no event stream. Its server is not silent while bytes come.
type plainBody struct{ x *exchange }

// Read implements io.Reader.
func (b plainBody) Read(p []byte) (int, error) {
	n, err := b.x.resp.Body.Read(p)
	f := b.x.q.f
	f.mu.Lock()
	defer f.mu.Unlock()
	b.x.setLastEvent(time.Now())
	return n, err
}

// waitingWriter writes to the caller of an exchange. Its server is not silent meanwhile.
type waitingWriter struct {
	x *exchange
	io.Writer
}

// Write implements io.Writer.
func (w waitingWriter) Write(p []byte) (int, error) {
	w.x.beginWrite()
	defer w.x.endWrite()
	return w.Writer.Write(p)
}

// pin prevents that other servers are tried: the caller has a part of an answer that cannot be resumed.
func (x *exchange) pin() {
	x.q.f.mu.Lock()
	defer x.q.f.mu.Unlock()
	x.pinned = true
}
