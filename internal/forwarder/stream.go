package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/streamer"
)

// stream is the state of one answer of events over all the servers that give
// parts of it.
type stream struct {
	q *request
	// started is set once the head has gone to the caller.
	started bool
	// last is the id of the last event that the caller has.
	last    int64
	hasLast bool
	flusher *http.ResponseController
}

const eventBuffer = 4 << 10

// serveStream forwards a request that is answered by events.
func (q *request) serveStream() {
	s := &stream{q: q, flusher: http.NewResponseController(q.w)}
	var choice chooser.Choice
	for {
		choice = q.choose(q.runs > 0)
		if choice.Server == nil {
			break
		}
		x, fate := q.send(choice, s.resumeAt())
		if fate == fateAnswered {
			fate = s.pass(x)
			if fate == fateAnswered {
				return
			}
		}
		choice = chooser.Choice{}
		if !q.mayRepeat(fate) {
			break
		}
	}
	if s.started {
		// The caller must see that the answer is not whole.
		reason := reasonCut
		if q.r.Context().Err() != nil {
			reason = reasonGone
		}
		q.end(http.StatusOK, reason)
		panic(http.ErrAbortHandler)
	}
	q.giveUp(choice)
}

// resumeAt returns the event after which another server has to go on, empty for
// the start.
func (s *stream) resumeAt() string {
	if !s.hasLast {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// pass relays the events of one server until the end of the answer, which it
// reports with fateAnswered, or until that server breaks off.
func (s *stream) pass(x *exchange) fate {
	q := s.q
	if x.resp.StatusCode != http.StatusOK {
		if s.started || q.repeatFailure(x) {
			q.lastFault = "server answered " + x.resp.Status
			x.finish(false, false)
			return fateUnknown
		}
		return q.passWhole(x)
	}
	err := s.relay(x)
	var gone *callerGone
	switch {
	case errors.Is(err, io.EOF):
		if !s.started {
			s.start(x)
		}
		x.finish(true, true)
		q.end(x.resp.StatusCode, reasonServed)
		return fateAnswered
	case errors.As(err, &gone):
		x.finish(false, false)
		q.end(x.resp.StatusCode, reasonGone)
		panic(http.ErrAbortHandler)
	}
	x.noteBroken(err)
	x.finish(false, false)
	return fateUnknown
}

// callerGone is the error of a write to the caller.
type callerGone struct{ error }

// relay passes on whole events as they come. It returns io.EOF at the proper end
// of the answer.
func (s *stream) relay(x *exchange) error {
	var events streamer.Splitter
	buf := make([]byte, eventBuffer)
	for {
		n, err := x.resp.Body.Read(buf)
		if n > 0 {
			events.Append(buf[:n])
			if ferr := s.forward(x, &events); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) && events.Buffered() > 0 {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

// forward passes on the whole events that have come.
func (s *stream) forward(x *exchange, events *streamer.Splitter) error {
	wrote := false
	for e, ok := events.Next(); ok; e, ok = events.Next() {
		if e.HasID && s.hasLast && e.ID <= s.last {
			// The caller has it already.
			continue
		}
		if !s.started {
			s.start(x)
		}
		if _, err := s.q.w.Write(e.Data); err != nil {
			return &callerGone{err}
		}
		wrote = true
		if e.HasID {
			s.last, s.hasLast = e.ID, true
		}
	}
	if !wrote {
		return nil
	}
	x.progress()
	if err := s.flusher.Flush(); err != nil {
		return &callerGone{err}
	}
	return nil
}

// start sends the head of the answer, which is that of the first server.
func (s *stream) start(x *exchange) {
	s.started = true
	s.q.firstByte = time.Since(s.q.began)
	s.q.f.counts.firstEvent.Update(s.q.firstByte.Milliseconds())
	s.q.writeHead(x)
}
