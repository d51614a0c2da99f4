// Package relayer carries requests from callers to backend servers and the
// answers back.
//
// A request comes in at any entry, which checks it, claims its idempotency key
// if it has one, and chooses a replica group. It is then sent through the
// group's owner, the one entry that admits requests to that group, so that the
// sum over all entries stays within what the group bears. The answer comes back
// the same way; it is complete, or it ends with an explicit error.
package relayer

import (
	"io"
	"net/http"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/router"
	"trefoilhead.org/trefoilhead/internal/sharer"
)

// Request is one request on its way to a backend server.
type Request struct {
	Service    identifier.Service
	Team       identifier.Team
	TeamWeight float64
	// Cost is the estimated work in tokens.
	Cost         sharer.Cost
	PromptPrefix router.PrefixHash
	// Method, Path and Header are what the backend server gets.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool
	// RetryServerErrors sends the request elsewhere when a server answers that it
	// failed, instead of passing that answer on.
	RetryServerErrors bool
	// IdempotencyKey is the idempotency key, or empty.
	IdempotencyKey string
	// Stream is set when the answer is a stream of server-sent events with an
	// end mark.
	Stream bool
	// Deadline is the latest time at which an answer is of use; zero means
	// that there is none.
	Deadline time.Time
}

// Response is a backend server's answer. The reader of Body closes it; a read
// error means that the answer is not complete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// hopHeaders are meant for one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Host",
}

// forwardHeader returns the part of h that is passed on.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range out {
		if len(name) > len(hopPrefix) && name[:len(hopPrefix)] == hopPrefix {
			out.Del(name)
		}
	}
	return out
}

// remaining returns the time until the request's deadline, at most limit.
func (r *Request) remaining(now time.Time, limit time.Duration) time.Duration {
	if r.Deadline.IsZero() {
		return limit
	}
	return min(limit, r.Deadline.Sub(now))
}
