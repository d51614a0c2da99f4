package forwarder

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/streamer"
)

// stream is the state of an event stream to a caller. Several servers may
// contribute consecutive parts of it.
type stream struct {
	q *request
	// mediaType is that of the first server's response. It is valid if the request's headerSent is set.
	mediaType string
	// lastEventID is the ID of the last event that was written to the caller. It is
	// valid if hasLastEventID is set.
	lastEventID    int64
	hasLastEventID bool
	flusher        *http.ResponseController
	// waited is how long the stream has waited to go on at another server.
	waited time.Duration
}

const (
	streamBufferSize = 4 << 10
	// maxResumeWait bounds how long a broken stream waits until another server may take it, and
	// resumePollInterval is the time between two attempts. The retry budget of a busy front earns a
	// retry within that time.
	maxResumeWait      = time.Second
	resumePollInterval = 50 * time.Millisecond
)

// serveStream forwards a request whose response is an event stream.
func (q *request) serveStream() {
	s := &stream{q: q, flusher: http.NewResponseController(q.w)}
	var choice chooser.Choice
	for {
		choice = q.chooseServer(q.possibleRuns > 0)
		if choice.Server == nil {
			if choice.Reason == outcomeIsolated || !s.wait() {
				break
			}
			// The servers that were tried are better than none.
			q.triedAgainFrom = len(q.tried)
			continue
		}
		x, result := q.send(choice, s.resumeAfter())
		if result == resultResponse {
			result = s.forwardFrom(x)
			if result == resultResponse {
				return
			}
		}
		choice = chooser.Choice{}
		if !s.awaitRetry(result) {
			break
		}
	}
	if s.q.headerSent {
		// The aborted connection shows the caller that the response is incomplete.
		outcome := outcomeCut
		if q.r.Context().Err() != nil {
			outcome = outcomeCallerLeft
		}
		q.recordOutcome(http.StatusOK, outcome)
		AbortResponse(q.r)
	}
	q.writeFailure(choice)
}

// awaitRetry reports whether the request may be sent to one more server. While the retry budget does not allow
// it, a stream of which the caller has a part waits: it has no other use for that part.
func (s *stream) awaitRetry(last sendResult) bool {
	for !s.q.allowRetry(last) {
		if !s.wait() {
			return false
		}
	}
	return true
}

// wait waits for resumePollInterval, and reports false if the stream may not go on afterwards.
func (s *stream) wait() bool {
	if !s.q.headerSent || !s.q.hasAttemptsLeft() || s.waited >= maxResumeWait {
		return false
	}
	s.waited += resumePollInterval
	select {
	case <-s.q.ctx.Done():
		return false
	case <-time.After(resumePollInterval):
		return true
	}
}

// resumeAfter returns the ID of the event after which the next server has to resume,
// or an empty string if the caller has received no event with an ID.
func (s *stream) resumeAfter() string {
	if !s.hasLastEventID {
		return ""
	}
	return strconv.FormatInt(s.lastEventID, 10)
}

// forwardFrom forwards the response of one server. It returns resultResponse at the
// proper end of the response, and resultMayHaveRun if the response cannot be used or
// breaks off, so that the request has to continue at another server.
func (s *stream) forwardFrom(x *exchange) sendResult {
	q := s.q
	if s.q.headerSent && mediaTypeOf(x.resp) != s.mediaType {
		// An error page is not the rest of the stream, whatever its status.
		q.lastError = "server responded with the media type " + strconv.Quote(mediaTypeOf(x.resp)) + " in the middle of a stream"
		x.finish(false, false)
		return resultMayHaveRun
	}
	if x.resp.StatusCode != http.StatusOK {
		if s.q.headerSent || q.shouldRetryFailure(x) {
			q.lastError = "server responded with " + x.resp.Status
			x.finish(false, false)
			return resultMayHaveRun
		}
		return q.forwardUnary(x)
	}
	err := s.forwardEvents(x)
	var writeErr *callerWriteError
	switch {
	case errors.Is(err, io.EOF):
		if !s.q.headerSent {
			s.writeHeader(x)
		}
		x.finish(true, true)
		q.recordOutcome(x.resp.StatusCode, outcomeServed)
		return resultResponse
	case errors.As(err, &writeErr):
		x.finish(false, false)
		q.recordOutcome(x.resp.StatusCode, outcomeCallerLeft)
		AbortResponse(q.r)
	}
	x.recordFailure(err)
	x.finish(false, false)
	return resultMayHaveRun
}

// mediaTypeOf returns the media type of a response, or an empty string if it names none that can be
// read.
func mediaTypeOf(resp *http.Response) string {
	t, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return t
}

// callerWriteError is a failed write to the caller, as opposed to a failed read from
// the server.
type callerWriteError struct{ error }

// callerWriter writes to the caller. Its errors are callerWriteErrors.
type callerWriter struct{ io.Writer }

func (w callerWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		err = &callerWriteError{err}
	}
	return n, err
}

// forwardEvents forwards complete events as they arrive. It returns io.EOF at the
// proper end of the stream.
func (s *stream) forwardEvents(x *exchange) error {
	var events streamer.Splitter
	buf := make([]byte, streamBufferSize)
	for {
		n, err := x.resp.Body.Read(buf)
		if n > 0 {
			events.Append(buf[:n])
			if writeErr := s.writeEvents(x, &events); writeErr != nil {
				return writeErr
			}
			if events.TooLong() {
				return streamer.ErrEventTooLong
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

// writeEvents writes the complete events that have arrived to the caller.
func (s *stream) writeEvents(x *exchange, events *streamer.Splitter) error {
	wrote, progress := false, 0
	for e, ok := events.Next(); ok; e, ok = events.Next() {
		if e.HasID && s.hasLastEventID && e.ID <= s.lastEventID {
			// The previous server already sent this event.
			continue
		}
		if !s.q.headerSent {
			s.writeHeader(x)
		}
		if _, err := (callerWriter{s.q.w}).Write(e.Data); err != nil {
			return err
		}
		wrote = true
		if !e.IsComment {
			progress++
		}
		if e.HasID {
			s.lastEventID, s.hasLastEventID = e.ID, true
		}
	}
	if !wrote {
		return nil
	}
	if progress > 0 {
		x.recordEvents(progress)
		s.q.recordForwarded(time.Now())
	}
	if err := s.flusher.Flush(); err != nil {
		return &callerWriteError{err}
	}
	return nil
}

// writeHeader sends the response header, which is that of the first server that
// responds.
func (s *stream) writeHeader(x *exchange) {
	s.q.headerSent = true
	s.mediaType = mediaTypeOf(x.resp)
	s.q.timeToFirstEvent = time.Since(s.q.receivedAt)
	s.q.f.counts.firstEventMS.Update(s.q.timeToFirstEvent.Milliseconds())
	s.q.writeResponseHeader(x)
}
