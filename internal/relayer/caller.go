package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/router"
	"trefoilhead.org/trefoilhead/internal/sharer"
)

// Headers that callers may set.
const (
	// HeaderIdempotencyKey names a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotent overrides whether a request may run twice: true or
	// false.
	HeaderIdempotent = "Idempotent"
	// HeaderTimeout is the time in milliseconds after which an answer is of no
	// use to the caller.
	HeaderTimeout = "Timeout-Ms"
)

const (
	chatPath  = "/v1/chat/completions"
	plainPath = "/services/"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// bytesPerToken estimates the tokens of a prompt.
	bytesPerToken = 4
	// defaultMaxTokens estimates an answer's length when the caller sets none.
	defaultMaxTokens = 256
)

// RegisterHandlers adds the callers' paths to a mux.
func (t *Relayer) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+chatPath, t.serveChat)
	mux.HandleFunc("GET /v1/models", t.serveModels)
	mux.HandleFunc(plainPath+"{service}/{rest...}", t.servePlain)
}

// chatBody is the part of a chat-completions request that routing needs.
type chatBody struct {
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
	req, why := t.begin(w, r)
	if why != nil {
		t.refuse(w, why)
		return
	}
	var body chatBody
	if err := json.Unmarshal(req.Body, &body); err != nil {
		t.refuse(w, refuser.New(refuser.BadRequest, refuser.NotRun, "the body is not a chat-completions request: "+err.Error()))
		return
	}
	if len(body.Messages) == 0 || body.MaxTokens < 0 {
		t.refuse(w, refuser.New(refuser.BadRequest, refuser.NotRun, "messages is empty or max_tokens is negative"))
		return
	}
	req.Service = identifier.Service(body.Model)
	if !t.isKind(req.Service, declarer.ModelService) {
		t.refuse(w, refuser.New(refuser.NoSuchService, refuser.NotRun, "no model service has the id of the request's model"))
		return
	}
	prompt := string(body.Messages[0].Content)
	req.PromptPrefix = router.NewPrefixHash(prompt)
	req.Cost = chatCost(body, len(req.Body))
	req.Path, req.Stream = chatPath, body.Stream
	if r.Header.Get(HeaderIdempotent) == "" && req.IdempotencyKey == "" {
		req.Idempotent = true
	}
	req.RetryServerErrors = req.Idempotent
	t.serve(w, r, req)
}

func chatCost(b chatBody, bodyBytes int) sharer.Cost {
	tokens := b.MaxTokens
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	return sharer.Cost(tokens + bodyBytes/bytesPerToken)
}

func (t *Relayer) servePlain(w http.ResponseWriter, r *http.Request) {
	req, why := t.begin(w, r)
	if why != nil {
		t.refuse(w, why)
		return
	}
	req.Service = identifier.Service(r.PathValue("service"))
	if !t.isKind(req.Service, declarer.PlainService) {
		t.refuse(w, refuser.New(refuser.NoSuchService, refuser.NotRun, "no plain service has this id"))
		return
	}
	prefix := plainPath + r.PathValue("service")
	req.Path = strings.TrimPrefix(r.URL.RequestURI(), prefix)
	req.Cost = 1
	t.serve(w, r, req)
}

func (t *Relayer) isKind(s identifier.Service, kind string) bool {
	d, ok := t.Locator.Service(s)
	return ok && d.Kind == kind
}

func (t *Relayer) serveModels(w http.ResponseWriter, r *http.Request) {
	if _, why := t.team(r); why != nil {
		t.refuse(w, why)
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
		if t.isKind(id, declarer.ModelService) {
			list.Data = append(list.Data, model{ID: string(id), Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// begin checks what all requests have in common.
func (t *Relayer) begin(w http.ResponseWriter, r *http.Request) (*Request, *refuser.Refusal) {
	t.count(func(s *Stats) { s.Requests++ })
	if why := t.CheckReady(); why != nil {
		if r.Header.Get(HeaderIdempotencyKey) != "" {
			// An earlier attempt under the key may have run.
			why.Statement = refuser.MayHaveRun
		}
		return nil, why
	}
	team, why := t.team(r)
	if why != nil {
		return nil, why
	}
	body, why := readBody(w, r, t.Limits.MaxBodyBytes)
	if why != nil {
		return nil, why
	}
	req := &Request{
		Team: team.ID, TeamWeight: float64(team.Weight), Method: r.Method, Header: r.Header, Body: body,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey), Idempotent: isSafe(r.Method),
	}
	return req, setOptions(req, r)
}

func setOptions(req *Request, r *http.Request) *refuser.Refusal {
	if len(req.IdempotencyKey) > maxKeyBytes {
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

func (t *Relayer) team(r *http.Request) (declarer.Team, *refuser.Refusal) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, known := t.Locator.TeamByKey(key)
	if !ok || !known {
		return team, refuser.New(refuser.Unauthorized, refuser.NotRun, "the API key is not that of a team")
	}
	return team, nil
}

// bodyTime bounds how long a caller may take to send a request's body.
const bodyTime = time.Minute

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refuser.Refusal) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTime))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		// The deadline stays, so that the server does not wait for the rest.
		w.Header().Set("Connection", "close")
	} else {
		_ = rc.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuser.New(refuser.TooLarge, refuser.NotRun, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil:
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "the body broke off")
	}
	return data, nil
}

// serve runs a checked request and answers the caller.
func (t *Relayer) serve(w http.ResponseWriter, r *http.Request, req *Request) {
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
	reply, why := t.route(ctx, req)
	if why != nil {
		t.refuse(w, why)
		return
	}
	t.finish(w, req, reply)
}
