package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"trefoilhead.org/trefoilhead/internal/budgeter"
)

const (
	// bodyTimeout is how long the body of a call may take, and drainTimeout how long the rest of one that was refused is read.
	bodyTimeout  = time.Minute
	drainTimeout = 2 * time.Second
	// decodedFactor is how many times its bytes a call takes while it is decoded.
	decodedFactor = 3
)

// Reasons for which the body of a call is refused.
const (
	reasonBodyTooLarge   = "body_too_large"
	reasonBodyTooSlow    = "body_too_slow"
	reasonBodyUnreadable = "body_unreadable"
)

// WithWholeBodies returns a handler for calls that are decoded as a whole. It reads and reserves the body, maxBytes at
// most, before it calls h.
func (s *Server) WithWholeBodies(h http.Handler, maxBytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		account := budgeter.FromContext(r.Context(), s.Memory)
		defer account.Release()
		rc := http.NewResponseController(w)
		// Without support for deadlines, the connection's own limits apply.
		_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
		data, reserved, err := account.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength)
		var tooLarge *http.MaxBytesError
		status, reason := 0, ""
		switch {
		case account.WasReclaimed(), err == nil && (!reserved || !account.Grow(decodedFactor*int64(len(data)))):
			status, reason = http.StatusServiceUnavailable, ReasonMemoryShort
		case errors.As(err, &tooLarge):
			status, reason = http.StatusRequestEntityTooLarge, reasonBodyTooLarge
		case errors.Is(err, os.ErrDeadlineExceeded):
			status, reason = http.StatusRequestTimeout, reasonBodyTooSlow
		case err != nil:
			status, reason = http.StatusBadRequest, reasonBodyUnreadable
		}
		if reason != "" {
			account.Release()
			s.refuseBody(w, r, status, reason)
			return
		}
		_ = rc.SetReadDeadline(time.Time{})
		r.Body = io.NopCloser(bytes.NewReader(data))
		h.ServeHTTP(w, r)
	})
}

// refuseBody answers a call whose body is not kept, and reads a bounded part of the rest, so that the client gets the answer.
func (s *Server) refuseBody(w http.ResponseWriter, r *http.Request, status int, reason string) {
	s.mu.Lock()
	if status == http.StatusServiceUnavailable {
		s.counts.refusedForMemory.Inc(1)
	}
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		s.logLimit(reason, c, "a call was refused for its body")
	}
	s.mu.Unlock()
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
	rc := http.NewResponseController(w)
	// Errors mean that the client has gone or is too slow.
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, lingerBytes)
}
