package relayer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/router"
	"trefoilhead.org/trefoilhead/internal/sharer"
)

// PeerRequestPath is where requests from other entries arrive on the control address.
const PeerRequestPath = "/relay/v1"

// Headers of a request between two entries.
const (
	hopPrefix      = "X-Trefoilhead-"
	headerPeerKey  = hopPrefix + "Peer-Key"
	headerGroup    = hopPrefix + "Group"
	headerService  = hopPrefix + "Service"
	headerTeam     = hopPrefix + "Team"
	headerWeight   = hopPrefix + "Weight"
	headerCost     = hopPrefix + "Cost"
	headerMethod   = hopPrefix + "Method"
	headerPath     = hopPrefix + "Path"
	headerPrefix   = hopPrefix + "Prefix"
	headerLeft     = hopPrefix + "Deadline-Ms"
	headerAnswered = hopPrefix + "Answered"
	headerRetry    = hopPrefix + "Retry-Failed"
)

// PeerClient sends requests to other entries. Exported fields are set before use.
type PeerClient struct {
	PeerKey string
	// Addresses maps each entry to host:port of its control address.
	Addresses map[identifier.VM]string
	// Scheme is http or https.
	Scheme string
	Client *http.Client
	Limits Limits
}

// SendRequest sends a request through another entry. An empty group lets that entry
// choose one of its own failure domain.
func (h *PeerClient) SendRequest(ctx context.Context, to identifier.VM, g identifier.Group, r *Request) (*Response, *refuser.Refusal) {
	address, ok := h.Addresses[to]
	if !ok {
		return nil, refuser.New(refuser.BackendUnreachable, refuser.NotRun, "the entry is not known")
	}
	ctx, cancel := context.WithCancel(ctx)
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		h.Scheme+"://"+address+PeerRequestPath, onceReader{bytes.NewReader(r.Body)})
	if err != nil {
		cancel()
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, err.Error())
	}
	req.ContentLength = int64(len(r.Body))
	req.Header = forwardHeader(r.Header)
	h.setHeaders(req.Header, g, r)
	watchdog := time.AfterFunc(h.Limits.MaxQueueWait+h.Limits.FirstTokenTimeout, cancel)
	resp, err := h.Client.Do(req)
	if err != nil {
		watchdog.Stop()
		cancel()
		return nil, hopFailed(wrote.Load())
	}
	if resp.Header.Get(headerAnswered) == "" {
		defer cancel()
		return nil, readRefusal(resp)
	}
	body := &hopBody{body: resp.Body, cancel: cancel, watchdog: watchdog, between: h.Limits.InterTokenTimeout + time.Second}
	return &Response{Status: resp.StatusCode, Header: forwardHeader(resp.Header), Body: body}, nil
}

func (h *PeerClient) setHeaders(header http.Header, g identifier.Group, r *Request) {
	header.Set(headerPeerKey, h.PeerKey)
	header.Set(headerGroup, string(g))
	header.Set(headerService, string(r.Service))
	header.Set(headerTeam, string(r.Team))
	header.Set(headerWeight, strconv.FormatFloat(r.TeamWeight, 'g', -1, 64))
	header.Set(headerCost, strconv.FormatFloat(float64(r.Cost), 'g', -1, 64))
	header.Set(headerMethod, r.Method)
	header.Set(headerPath, r.Path)
	header.Set(headerPrefix, strconv.FormatUint(uint64(r.PromptPrefix), 16))
	if r.RetryServerErrors {
		header.Set(headerRetry, "true")
	}
	if !r.Deadline.IsZero() {
		header.Set(headerLeft, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	}
}

func hopFailed(wrote bool) *refuser.Refusal {
	if !wrote {
		return refuser.New(refuser.BackendUnreachable, refuser.NotRun, "the entry in front of the replica cannot be reached").WithRetryAfter(time.Second)
	}
	return refuser.New(refuser.BackendFailed, refuser.MayHaveRun, "the entry in front of the replica failed before it answered").WithRetryAfter(time.Second)
}

// maxRefusalBytes bounds the body of a refusal from another entry.
const maxRefusalBytes = 64 << 10

func readRefusal(resp *http.Response) *refuser.Refusal {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err == nil {
		if why := refuser.Parse(resp.StatusCode, data); why != nil {
			seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
			return why.WithRetryAfter(time.Duration(seconds) * time.Second)
		}
	}
	return refuser.New(refuser.BackendFailed, refuser.MayHaveRun, "the entry in front of the replica answered with an error")
}

// hopBody watches the progress of an answer that comes through another entry.
type hopBody struct {
	body     io.ReadCloser
	cancel   context.CancelFunc
	watchdog *time.Timer
	between  time.Duration
}

// Read implements io.Reader.
func (b *hopBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.watchdog.Reset(b.between)
	}
	return n, err
}

// Close cancels what is left of the answer.
func (b *hopBody) Close() error {
	b.watchdog.Stop()
	b.cancel()
	return b.body.Close()
}

// ServePeerRequest answers requests that other entries send.
func (t *Relayer) ServePeerRequest(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerPeerKey)), []byte(t.PeerClient.PeerKey)) != 1 {
		refuser.New(refuser.Unauthorized, refuser.NotRun, "the peer key is wrong").Write(w)
		return
	}
	body, why := readBody(w, r, t.Limits.MaxBodyBytes)
	if why != nil {
		why.Write(w)
		return
	}
	req := hopRequest(r, body)
	var reply *Response
	if g := identifier.Group(r.Header.Get(headerGroup)); g != "" {
		reply, why = t.Owner.SendRequest(r.Context(), g, req)
	} else {
		reply, why = t.sendLocal(r.Context(), req, &attempt{groups: map[identifier.Group]bool{}, forwarded: true})
	}
	if why != nil {
		why.Write(w)
		return
	}
	w.Header().Set(headerAnswered, "1")
	if err := copyReply(w, reply); err != nil {
		// The other entry has to see that the answer is cut.
		panic(http.ErrAbortHandler)
	}
}

func hopRequest(r *http.Request, body []byte) *Request {
	weight, _ := strconv.ParseFloat(r.Header.Get(headerWeight), 64)
	cost, _ := strconv.ParseFloat(r.Header.Get(headerCost), 64)
	prefix, _ := strconv.ParseUint(r.Header.Get(headerPrefix), 16, 64)
	req := &Request{
		Service:    identifier.Service(r.Header.Get(headerService)),
		Team:       identifier.Team(r.Header.Get(headerTeam)),
		TeamWeight: weight, Cost: sharer.Cost(cost), Method: r.Header.Get(headerMethod),
		RetryServerErrors: r.Header.Get(headerRetry) == "true",
		Path:              r.Header.Get(headerPath), Header: forwardHeader(r.Header), Body: body,
	}
	req.PromptPrefix = router.PrefixHash(prefix)
	if left, err := strconv.ParseInt(r.Header.Get(headerLeft), 10, 64); err == nil {
		req.Deadline = time.Now().Add(time.Duration(left) * time.Millisecond)
	}
	return req
}

// copyReply passes an answer on as it comes.
func copyReply(w http.ResponseWriter, reply *Response) error {
	defer func() { _ = reply.Body.Close() }()
	for name, values := range reply.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(reply.Status)
	rc := http.NewResponseController(w)
	// The connection may carry another request later.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	buf := make([]byte, copyBytes)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(writeTime))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			_ = rc.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeTime bounds how long a reader may take to accept what is written, so that
// one that has stopped reading does not hold a place at a replica.
const writeTime = 30 * time.Second

// copyBytes is the size of the buffer of one answer being passed on.
const copyBytes = 8 << 10
