// Package relayer forwards callers' requests to backend servers and relays the
// responses.
//
// A request may arrive at any entry, which is the process on an entry VM that accepts
// callers' requests. The entry validates the request, claims its idempotency key if it has
// one, and chooses a replica group. Only one entry, the owner of the group, admits
// requests to it, so that all entries together stay within the group's concurrency
// limit; any other entry forwards its requests to the owner. The response returns by
// the same path. It is either complete or ends with an explicit error.
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
	// Cost is the estimated amount of work, in tokens.
	Cost         sharer.Cost
	PromptPrefix router.PrefixHash
	// PromptParts names the parts of the prompt that other requests may share.
	PromptParts []identifier.PromptPart
	// Method, Path and Header are those of the request to the backend server.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is set when the request may be retried although it may have run.
	Idempotent bool
	// RetryServerErrors is set when a response with a 5xx status leads to a retry in
	// another group or failure domain instead of being relayed to the caller.
	RetryServerErrors bool
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	// Stream is set when the response is a stream of server-sent events that ends
	// with an end mark.
	Stream bool
	// Deadline is the time after which the caller no longer needs the response, or
	// zero if there is no such time.
	Deadline time.Time

	// isTrial is set if servers crash under such requests and this one is sent all the
	// same. crashedServer is the server that broke off an answer to it, if this entry owns its
	// group, and failedServers counts the servers that failed under it.
	isTrial       bool
	crashedServer string
	failedServers int
	cachedDigest  identifier.RequestDigest
}

// Response is the response of a backend server. Whoever reads Body must close it. A
// read error means that the response is incomplete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// unforwardedHeaders are not forwarded. They apply to one connection only, are set
// anew for the next one, or hold the caller's API key.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Host",
}

// forwardableHeader returns a copy of h without the headers that are not forwarded,
// which include those that entries add to requests between them.
func forwardableHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	for name := range out {
		if len(name) > len(peerHeaderPrefix) && name[:len(peerHeaderPrefix)] == peerHeaderPrefix {
			out.Del(name)
		}
	}
	return out
}

// timeLeft returns the time until the request's deadline, but at most limit.
func (r *Request) timeLeft(now time.Time, limit time.Duration) time.Duration {
	if r.Deadline.IsZero() {
		return limit
	}
	return min(limit, r.Deadline.Sub(now))
}

// endSlack is how long after its deadline a request ends by silence, so that the caller's entry
// ends it first. It does not end one that it runs under an idempotency key.
const endSlack = time.Second

// silenceTimeout returns how long the request's server may be silent from now on. Before the
// request's deadline the timeout does not count, since a silent server may be at work.
func (r *Request) silenceTimeout(now time.Time, timeout time.Duration) time.Duration {
	if r.Deadline.IsZero() {
		return timeout
	}
	return max(timeout, r.Deadline.Sub(now)+endSlack)
}
