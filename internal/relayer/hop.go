package relayer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/router"
	"trefoilhead.org/trefoilhead/internal/sharer"
)

// PeerRequestPath is the path on the control address at which requests from other
// entries arrive.
const PeerRequestPath = "/relay/v1"

// Headers between two entries. headerDeadline is the time left until the deadline, in
// milliseconds. headerIsResponse marks the response of a backend server; without it
// the other entry itself refused the request, with headerServerAnswered because of an answer of
// the server.
const (
	peerHeaderPrefix        = "X-Trefoilhead-"
	headerPeerKey           = peerHeaderPrefix + "Peer-Key"
	headerGroup             = peerHeaderPrefix + "Group"
	headerService           = peerHeaderPrefix + "Service"
	headerTeam              = peerHeaderPrefix + "Team"
	headerTeamWeight        = peerHeaderPrefix + "Weight"
	headerCost              = peerHeaderPrefix + "Cost"
	headerMethod            = peerHeaderPrefix + "Method"
	headerPath              = peerHeaderPrefix + "Path"
	headerPromptParts       = peerHeaderPrefix + "Parts"
	headerPromptPrefix      = peerHeaderPrefix + "Prefix"
	headerDeadline          = peerHeaderPrefix + "Deadline-Ms"
	headerIsResponse        = peerHeaderPrefix + "Answered"
	headerRetryServerErrors = peerHeaderPrefix + "Retry-Failed"
	headerIsTrial           = peerHeaderPrefix + "Trial"
	headerServerAnswered    = peerHeaderPrefix + "Server-Answered"
)

// PeerClient forwards requests to other entries. Its fields are set before use.
type PeerClient struct {
	PeerKey string
	// Addresses maps each entry to its control address in the form host:port.
	Addresses map[identifier.VM]string
	// Scheme is "http" or "https".
	Scheme string
	Client *http.Client
	Limits Limits
}

// SendRequest sends a request through another entry. If g is empty, that entry
// chooses a group of its own failure domain.
func (p *PeerClient) SendRequest(ctx context.Context, to identifier.VM, g identifier.Group, r *Request) (*Response, *refuser.Refusal) {
	address, ok := p.Addresses[to]
	if !ok {
		return nil, refuser.New(refuser.BackendUnreachable, refuser.NotRun, "the entry is not known")
	}
	ctx, cancel := context.WithCancel(ctx)
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		p.Scheme+"://"+address+PeerRequestPath, opaqueReader{bytes.NewReader(r.Body)})
	if err != nil {
		cancel()
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, err.Error())
	}
	req.ContentLength = int64(len(r.Body))
	req.Header = forwardableHeader(r.Header)
	p.setHeaders(req.Header, g, r)
	silence := newSilenceWatch(r, p.Limits.MaxQueueWait+p.Limits.FirstTokenTimeout+peerSlack, cancel)
	resp, err := p.Client.Do(req)
	timedOut := !silence.pause()
	if err != nil {
		cancel()
		return nil, peerError(gotConn.Load(), timedOut, err)
	}
	if resp.Header.Get(headerIsResponse) == "" {
		defer cancel()
		silence.resume()
		defer silence.pause()
		return nil, parsePeerRefusal(resp)
	}
	body := &peerResponseBody{body: resp.Body, cancel: cancel, silence: silence, idleTimeout: p.Limits.InterTokenTimeout + peerSlack}
	return &Response{Status: resp.StatusCode, Header: forwardableHeader(resp.Header), Body: body}, nil
}

// peerSlack is how much longer an entry waits for another one than that one waits for the server,
// so that the owner of the group ends a request, and its message can arrive.
const peerSlack = time.Second

func (p *PeerClient) setHeaders(header http.Header, g identifier.Group, r *Request) {
	header.Set(headerPeerKey, p.PeerKey)
	header.Set(headerGroup, string(g))
	header.Set(headerService, string(r.Service))
	header.Set(headerTeam, string(r.Team))
	header.Set(headerTeamWeight, strconv.FormatFloat(r.TeamWeight, 'g', -1, 64))
	header.Set(headerCost, strconv.FormatFloat(float64(r.Cost), 'g', -1, 64))
	header.Set(headerMethod, r.Method)
	header.Set(headerPath, r.Path)
	header.Set(headerPromptPrefix, strconv.FormatUint(uint64(r.PromptPrefix), 16))
	for _, p := range r.PromptParts {
		header.Add(headerPromptParts, string(p))
	}
	if r.RetryServerErrors {
		header.Set(headerRetryServerErrors, "true")
	}
	if r.isTrial {
		header.Set(headerIsTrial, "true")
	}
	if !r.Deadline.IsZero() {
		header.Set(headerDeadline, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	}
}

func peerError(gotConn, timedOut bool, err error) *refuser.Refusal {
	if !gotConn {
		return refuser.New(refuser.BackendUnreachable, refuser.NotRun, "the entry in front of the replica cannot be reached").WithRetryAfter(time.Second)
	}
	if timedOut || errors.Is(err, context.DeadlineExceeded) {
		return refuser.New(refuser.BackendSilent, refuser.MayHaveRun, "the replica did not answer in time").WithRetryAfter(time.Second)
	}
	return refuser.New(refuser.BackendFailed, refuser.MayHaveRun, "the entry in front of the replica failed before it answered").WithRetryAfter(time.Second)
}

// maxRefusalBytes limits the body of a refusal that is read from another entry.
const maxRefusalBytes = 64 << 10

func parsePeerRefusal(resp *http.Response) *refuser.Refusal {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err == nil {
		if refusal := refuser.Parse(resp.StatusCode, data); refusal != nil {
			seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
			refusal.Answered = resp.Header.Get(headerServerAnswered) == "true"
			return refusal.WithRetryAfter(time.Duration(seconds) * time.Second)
		}
	}
	return refuser.New(refuser.BackendFailed, refuser.MayHaveRun, "the entry in front of the replica answered with an error")
}

// peerResponseBody is the body of a response that another entry relays. It cancels the
// request when no data arrives in idleTimeout of reading and the request's deadline, if it has
// one, has passed.
type peerResponseBody struct {
	body        io.ReadCloser
	cancel      context.CancelFunc
	silence     *silenceWatch
	idleTimeout time.Duration
}

// Read implements io.Reader.
func (b *peerResponseBody) Read(p []byte) (int, error) {
	b.silence.resume()
	n, err := b.body.Read(p)
	b.silence.pause()
	if n > 0 {
		b.silence.recordProgress(b.idleTimeout)
	}
	return n, err
}

// Close cancels the request if its response has not ended.
func (b *peerResponseBody) Close() error {
	b.cancel()
	return b.body.Close()
}

// ServePeerRequest serves requests from other entries.
func (t *Relayer) ServePeerRequest(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerPeerKey)), []byte(t.PeerClient.PeerKey)) != 1 {
		refuser.New(refuser.Unauthorized, refuser.NotRun, "the peer key is wrong").Write(w)
		return
	}
	t.peerRequests.Add(1)
	defer t.peerRequests.Add(-1)
	memory := budgeter.FromContext(r.Context(), t.Memory)
	defer memory.Release()
	if !memory.Grow(requestBytes) {
		memoryShort().Write(w)
		return
	}
	body, refusal := readBody(w, r, t.Limits.MaxBodyBytes, memory)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	req := parsePeerRequest(r, body)
	var resp *Response
	if g := identifier.Group(r.Header.Get(headerGroup)); g != "" {
		resp, refusal = t.sendOwned(r.Context(), g, req)
	} else {
		resp, refusal = t.sendLocal(r.Context(), req, &triedTargets{groups: map[identifier.Group]bool{}, forwarded: true})
	}
	if refusal != nil {
		if refusal.Answered {
			w.Header().Set(headerServerAnswered, "true")
		}
		refusal.Write(w)
		return
	}
	w.Header().Set(headerIsResponse, "1")
	err := copyResponse(w, resp)
	if errors.Is(err, errNothingWritten) {
		w.Header().Del(headerIsResponse)
		brokenOff().Write(w)
		return
	}
	if err != nil {
		// Aborting the connection tells the other entry that the response is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
}

// brokenOff returns the refusal in place of a response that broke off before its first byte.
func brokenOff() *refuser.Refusal {
	return refuser.New(refuser.BackendFailed, refuser.MayHaveRun, "the backend server failed before the first byte of its answer").WithRetryAfter(time.Second)
}

// PeerRequestCount returns the number of requests from other entries that this entry serves now,
// whether it owns their groups or relays them to the owners.
func (t *Relayer) PeerRequestCount() int { return int(t.peerRequests.Load()) }

func parsePeerRequest(r *http.Request, body []byte) *Request {
	weight, _ := strconv.ParseFloat(r.Header.Get(headerTeamWeight), 64)
	cost, _ := strconv.ParseFloat(r.Header.Get(headerCost), 64)
	prefix, _ := strconv.ParseUint(r.Header.Get(headerPromptPrefix), 16, 64)
	req := &Request{
		Service:    identifier.Service(r.Header.Get(headerService)),
		Team:       identifier.Team(r.Header.Get(headerTeam)),
		TeamWeight: weight, Cost: sharer.Cost(cost), Method: r.Header.Get(headerMethod),
		RetryServerErrors: r.Header.Get(headerRetryServerErrors) == "true", isTrial: r.Header.Get(headerIsTrial) == "true",
		Path: r.Header.Get(headerPath), Header: forwardableHeader(r.Header), Body: body,
	}
	req.PromptPrefix = router.PrefixHash(prefix)
	for _, p := range r.Header.Values(headerPromptParts) {
		req.PromptParts = append(req.PromptParts, identifier.PromptPart(p))
	}
	if remaining, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil {
		req.Deadline = time.Now().Add(time.Duration(remaining) * time.Millisecond)
	}
	return req
}

// errNothingWritten means that a response ended before anything of it was passed on, so that
// the receiver can still get another response.
var errNothingWritten = errs.New("the response broke off before its first byte")

// copyResponse writes a response to w as its data arrives, and closes its body. The header is
// written with the first data, since a response that breaks off before can be replaced.
func copyResponse(w http.ResponseWriter, resp *Response) error {
	defer func() { _ = resp.Body.Close() }()
	rc := http.NewResponseController(w)
	// The connection may be reused for another request, to which this deadline must
	// not apply.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	buf := make([]byte, copyBufferBytes)
	wroteHeader := false
	for {
		n, err := resp.Body.Read(buf)
		if !wroteHeader && (n > 0 || err == io.EOF) {
			maps.Copy(w.Header(), resp.Header)
			w.WriteHeader(resp.Status)
			wroteHeader = true
		}
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			_ = rc.Flush()
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil && !wroteHeader:
			return errs.Combine(errNothingWritten, err)
		case err != nil:
			return err
		}
	}
}

// writeTimeout limits how long the receiver may take to accept each write, so that one
// that has stopped reading does not occupy a slot of the group.
const writeTimeout = 30 * time.Second

// copyBufferBytes is the size of the buffer through which a response is copied.
const copyBufferBytes = 8 << 10
