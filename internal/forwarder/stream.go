package forwarder

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"trefoilhead.org/trefoilhead/internal/streamer"
)

const streamBufferSize = 4 << 10

// resumeAfter returns the ID of the event after which the next server has to resume,
// or an empty string if the caller has received no event with an ID.
func (a *answer) resumeAfter() string {
	if !a.hasLastEventID {
		return ""
	}
	return strconv.FormatInt(a.lastEventID, 10)
}

// forwardStream forwards the response of one server, as forward does.
func (a *answer) forwardStream(x *exchange) sendResult {
	q := a.q
	if q.headerSent && mediaTypeOf(x.resp) != a.mediaType {
		// An error page is not the rest of the stream, whatever its status.
		q.lastError = "server responded with the media type " + strconv.Quote(mediaTypeOf(x.resp)) + " in the middle of a stream"
		x.finish(false, false)
		return resultMayHaveRun
	}
	if x.resp.StatusCode != http.StatusOK {
		if q.headerSent || q.shouldRetryFailure(x) {
			q.lastError = "server responded with " + x.resp.Status
			x.finish(false, false)
			return resultMayHaveRun
		}
		return a.forwardUnary(x)
	}
	err := a.forwardEvents(x)
	var writeErr *callerWriteError
	switch {
	case errors.Is(err, io.EOF):
		a.goOnWith(x.attempt)
		if !q.headerSent {
			a.writeHeader(x)
		}
		if len(x.heldComments) > 0 {
			if _, err := (callerWriter{q.w}).Write(x.heldComments); err != nil {
				x.finish(true, true)
				return a.end(x.resp.StatusCode, outcomeCallerLeft)
			}
		}
		x.finish(true, true)
		return a.end(x.resp.StatusCode, outcomeServed)
	case errors.As(err, &writeErr):
		x.finish(false, false)
		return a.end(x.resp.StatusCode, outcomeCallerLeft)
	}
	return x.breakOff(err)
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

// errSuperseded means that another attempt has gone on with the answer.
var errSuperseded = errors.New("another server has gone on with the answer")

// forwardEvents forwards complete events as they arrive. It returns io.EOF at the
// proper end of the stream.
func (a *answer) forwardEvents(x *exchange) error {
	var events streamer.Splitter
	var kept keptEvent
	defer a.q.memory.EndAwait()
	buf := make([]byte, streamBufferSize)
	for {
		var n int
		var err error
		a.q.unlocked(func() { n, err = x.resp.Body.Read(buf) })
		if x.attempt.superseded {
			return errSuperseded
		}
		if n > 0 {
			events.Append(buf[:n])
			if writeErr := a.writeEvents(x, &events); writeErr != nil {
				return writeErr
			}
			if events.TooLong() {
				return streamer.ErrEventTooLong
			}
			if !kept.keep(a.q, events.Buffered(), n) {
				a.q.giveUpForMemory()
				return errMemoryShort
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

// errMemoryShort means that there is no room for an event that has not ended.
var errMemoryShort = errors.New("memory is short")

// minKeptEvent is the size up to which the beginning of an event is not counted.
const minKeptEvent = 16 << 10

// keptEvent is what a stream has reserved for an event that has not ended.
type keptEvent struct{ reserved int64 }

// keep reserves what is kept of an event, to which n bytes have been added, and reports whether that was possible.
// Memory of events that stand still may be reclaimed.
func (k *keptEvent) keep(q *request, size, n int) bool {
	if size <= minKeptEvent {
		q.memory.EndAwait()
		return true
	}
	if int64(size) > k.reserved {
		// The buffer of an event that grows is replaced by larger ones.
		if !q.memory.Grow(2*int64(size) - k.reserved) {
			return false
		}
		k.reserved = 2 * int64(size)
	}
	q.memory.Await(q.giveUpForMemory)
	q.memory.Progress(n)
	return true
}

// giveUpForMemory ends a request, since memory is short.
func (q *request) giveUpForMemory() {
	q.memoryShort.Store(true)
	q.cancel()
}

// writeEvents writes the complete events that have arrived to the caller.
func (a *answer) writeEvents(x *exchange, events *streamer.Splitter) error {
	x.beginWrite()
	defer x.endWrite()
	wrote, progress := false, 0
	for e, ok := events.Next(); ok; e, ok = events.Next() {
		if e.HasID && a.hasLastEventID && e.ID <= a.lastEventID {
			// The previous server already sent this event.
			continue
		}
		if e.IsComment && a.hasOthers() {
			// A server that sends only comments has not gone on with the answer.
			if len(x.heldComments) < streamBufferSize {
				x.heldComments = append(x.heldComments, e.Data...)
			}
			continue
		}
		if err := a.writeEvent(x, e); err != nil {
			return err
		}
		wrote = true
		if !e.IsComment {
			progress++
		}
	}
	if !wrote {
		return nil
	}
	if progress > 0 {
		x.recordEvents(progress)
		a.q.recordForwarded(time.Now())
	}
	if err := a.flusher.Flush(); err != nil {
		return &callerWriteError{err}
	}
	return nil
}

// writeEvent writes an event to the caller, after the header and the comments that were held.
func (a *answer) writeEvent(x *exchange, e streamer.Event) error {
	a.goOnWith(x.attempt)
	if !a.q.headerSent {
		a.writeHeader(x)
	}
	if len(x.heldComments) > 0 {
		if _, err := (callerWriter{a.q.w}).Write(x.heldComments); err != nil {
			return err
		}
		x.heldComments = nil
	}
	if _, err := (callerWriter{a.q.w}).Write(e.Data); err != nil {
		return err
	}
	if e.HasID {
		a.lastEventID, a.hasLastEventID = e.ID, true
	}
	return nil
}

// writeHeader sends the response header, which is that of the first server that
// responds.
func (a *answer) writeHeader(x *exchange) {
	a.q.headerSent = true
	a.mediaType = mediaTypeOf(x.resp)
	a.q.timeToFirstEvent = time.Since(a.q.receivedAt)
	a.q.f.counts.firstEventMS.Update(a.q.timeToFirstEvent.Milliseconds())
	a.q.writeResponseHeader(x)
}
