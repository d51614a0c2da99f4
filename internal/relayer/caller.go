package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/router"
	"trefoilhead.org/trefoilhead/internal/sharer"
)

// Request headers that callers may set.
const (
	// HeaderIdempotencyKey identifies a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotent overrides whether a request may run more than once. Its value
	// is true or false.
	HeaderIdempotent = "Idempotent"
	// HeaderTimeout is the time in milliseconds after which the caller no longer
	// needs the response.
	HeaderTimeout = "Timeout-Ms"
)

const (
	chatPath         = "/v1/chat/completions"
	plainServicePath = "/services/"
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// bytesPerToken is the number of bytes of a request body that are estimated as
	// one token.
	bytesPerToken = 4
	// defaultMaxTokens is the estimated length of an answer, in tokens, when the caller
	// sets no limit.
	defaultMaxTokens = 256
)

// RegisterHandlers registers the handlers of the callers' API with mux.
func (t *Relayer) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+chatPath, t.serveChat)
	mux.HandleFunc("GET /v1/models", t.serveModels)
	mux.HandleFunc(plainServicePath+"{service}/{rest...}", t.servePlain)
}

// chatRequest holds the fields of a chat-completions request that routing needs.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (t *Relayer) serveChat(w http.ResponseWriter, r *http.Request) {
	memory := budgeter.FromContext(r.Context(), t.Memory)
	defer memory.Release()
	req, refusal := t.parseRequest(w, r, memory)
	if refusal != nil {
		t.refuseUnread(w, r, refusal)
		return
	}
	if !memory.Grow(decodedFactor * int64(len(req.Body))) {
		t.writeRefusal(w, memoryShort())
		return
	}
	var body chatRequest
	if err := json.Unmarshal(req.Body, &body); err != nil {
		t.writeRefusal(w, refuser.New(refuser.BadRequest, refuser.NotRun, "the body is not a chat-completions request: "+err.Error()))
		return
	}
	if len(body.Messages) == 0 || body.MaxTokens < 0 {
		t.writeRefusal(w, refuser.New(refuser.BadRequest, refuser.NotRun, "messages is empty or max_tokens is negative"))
		return
	}
	req.Service = identifier.Service(body.Model)
	if !t.hasKind(req.Service, declarer.ModelService) {
		t.writeRefusal(w, refuser.New(refuser.NoSuchService, refuser.NotRun, "no model service has the id of the request's model"))
		return
	}
	prompt := string(body.Messages[0].Content)
	req.PromptPrefix = router.NewPrefixHash(prompt)
	req.PromptParts = promptParts(body.Messages)
	req.Cost = estimateChatCost(body, len(req.Body))
	req.Path, req.Stream = chatPath, body.Stream
	if r.Header.Get(HeaderIdempotent) == "" && req.IdempotencyKey == "" {
		req.Idempotent = true
	}
	req.RetryServerErrors = req.Idempotent
	t.serveRequest(w, r, req)
}

func estimateChatCost(b chatRequest, bodyBytes int) sharer.Cost {
	tokens := b.MaxTokens
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	return sharer.Cost(tokens + bodyBytes/bytesPerToken)
}

func (t *Relayer) servePlain(w http.ResponseWriter, r *http.Request) {
	memory := budgeter.FromContext(r.Context(), t.Memory)
	defer memory.Release()
	req, refusal := t.parseRequest(w, r, memory)
	if refusal != nil {
		t.refuseUnread(w, r, refusal)
		return
	}
	req.Service = identifier.Service(r.PathValue("service"))
	if !t.hasKind(req.Service, declarer.PlainService) {
		t.writeRefusal(w, refuser.New(refuser.NoSuchService, refuser.NotRun, "no plain service has this id"))
		return
	}
	prefix := plainServicePath + r.PathValue("service")
	req.Path = strings.TrimPrefix(r.URL.RequestURI(), prefix)
	req.Cost = 1
	t.serveRequest(w, r, req)
}

func (t *Relayer) hasKind(s identifier.Service, kind string) bool {
	d, ok := t.Locator.Service(s)
	return ok && d.Kind == kind
}

func (t *Relayer) serveModels(w http.ResponseWriter, r *http.Request) {
	if _, refusal := t.authenticate(r); refusal != nil {
		t.writeRefusal(w, refusal)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, id := range t.Locator.ServiceIDs() {
		if t.hasKind(id, declarer.ModelService) {
			list.Data = append(list.Data, model{ID: string(id), Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// parseRequest reads a request and makes the checks that apply to every request.
func (t *Relayer) parseRequest(w http.ResponseWriter, r *http.Request, memory *budgeter.Account) (*Request, *refuser.Refusal) {
	t.updateStats(func(s *Stats) { s.Requests++ })
	if refusal := t.CheckReady(); refusal != nil {
		return nil, stateForKey(r, refusal)
	}
	team, refusal := t.authenticate(r)
	if refusal != nil {
		return nil, refusal
	}
	size := int64(requestBytes)
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		size += int64(t.Limits.MaxStoredResponseBytes)
	}
	if !memory.Grow(size) {
		memory.Release()
		return nil, stateForKey(r, memoryShort())
	}
	body, refusal := readBody(w, r, t.Limits.MaxBodyBytes, memory)
	if refusal != nil {
		return nil, stateForKey(r, refusal)
	}
	req := &Request{
		Team: team.ID, TeamWeight: float64(team.Weight), Method: r.Method, Header: r.Header, Body: body,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey), Idempotent: isSafeMethod(r.Method),
	}
	return req, parseOptions(req, r)
}

// stateForKey adjusts the refusal of a request that may be sent again.
func stateForKey(r *http.Request, refusal *refuser.Refusal) *refuser.Refusal {
	if r.Header.Get(HeaderIdempotencyKey) != "" && refusal.RetryAfter > 0 {
		// An earlier attempt with the same key may have run.
		refusal.Statement = refuser.MayHaveRun
	}
	return refusal
}

func parseOptions(req *Request, r *http.Request) *refuser.Refusal {
	if len(req.IdempotencyKey) > maxIdempotencyKeyBytes {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the Idempotency-Key is longer than 255 bytes")
	}
	switch v := r.Header.Get(HeaderIdempotent); v {
	case "":
	case "true", "false":
		req.Idempotent = v == "true"
	default:
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the Idempotent header is neither true nor false")
	}
	if v := r.Header.Get(HeaderTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms <= 0 {
			return refuser.New(refuser.BadRequest, refuser.NotRun, "the Timeout-Ms header is not a positive number")
		}
		req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if req.IdempotencyKey != "" {
		req.Idempotent = false
	}
	return nil
}

func (t *Relayer) authenticate(r *http.Request) (declarer.Team, *refuser.Refusal) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, known := t.Locator.TeamByKey(key)
	if !ok || !known {
		return team, refuser.New(refuser.Unauthorized, refuser.NotRun, "the API key is not that of a team")
	}
	return team, nil
}

const (
	// bodyReadTimeout limits how long a caller may take to send the body of a request, and drainTimeout how long the rest of one
	// that was refused is read.
	bodyReadTimeout = time.Minute
	drainTimeout    = 5 * time.Second
	// requestBytes is what a request takes besides its head, body and kept answer: goroutines and buffers.
	requestBytes = 32 << 10
	// decodedFactor is how many times its bytes the body of a chat request takes while its messages are decoded.
	decodedFactor = 2
	// memoryRetryAfter is the Retry-After of a request for which there is no memory.
	memoryRetryAfter = 2 * time.Second
)

// memoryShort returns the refusal of a request for which there is no memory.
func memoryShort() *refuser.Refusal {
	return refuser.New(refuser.MemoryShort, refuser.NotRun, "the requests of all callers take too much memory").WithRetryAfter(memoryRetryAfter)
}

// refuseUnread writes a refusal. If memory is short, it reads the rest of the body for drainTimeout and the limit of bodies at
// most: closing the connection while the caller still sends would reset it, and the refusal would be lost.
func (t *Relayer) refuseUnread(w http.ResponseWriter, r *http.Request, refusal *refuser.Refusal) {
	t.writeRefusal(w, refusal)
	if refusal.Code != refuser.MemoryShort {
		return
	}
	rc := http.NewResponseController(w)
	// Errors mean that the caller has gone or is too slow.
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, t.Limits.MaxBodyBytes)
}

// readBody reads the whole body of a request, and reserves what it keeps as it comes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, memory *budgeter.Account) ([]byte, *refuser.Refusal) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body := http.MaxBytesReader(w, r.Body, limit)
	data, reserved, err := memory.ReadAll(body, r.ContentLength)
	if !reserved || memory.WasReclaimed() {
		memory.Release()
		w.Header().Set("Connection", "close")
		return nil, memoryShort()
	}
	if err != nil {
		// The read deadline stays set, so that the HTTP server does not wait for the
		// rest of the body.
		w.Header().Set("Connection", "close")
	} else {
		_ = rc.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuser.New(refuser.TooLarge, refuser.NotRun, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuser.New(refuser.TooSlow, refuser.NotRun, "the body did not arrive within "+bodyReadTimeout.String())
	case err != nil:
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "the body broke off")
	}
	return data, nil
}

// serveRequest sends a valid request and writes the response or refusal to the
// caller.
func (t *Relayer) serveRequest(w http.ResponseWriter, r *http.Request, req *Request) {
	ctx := r.Context()
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	if req.IdempotencyKey != "" {
		t.serveClaimed(ctx, w, req)
		return
	}
	resp, refusal := t.sendWithRetries(ctx, req)
	if refusal != nil {
		t.writeRefusal(w, refusal)
		return
	}
	t.writeResponse(w, req, resp)
}
