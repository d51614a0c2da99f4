// Package refuser defines the error response to a request that was not served.
//
// A refusal has a stable code and one of two statements. NotRun guarantees that
// nothing of the request reached a backend server, or that the server itself refused
// it before running it. MayHaveRun means that the request may have run.
package refuser

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Statement says whether the refused request may have run.
type Statement string

// Values of Statement.
const (
	NotRun     Statement = "not_run"
	MayHaveRun Statement = "unknown"
)

// HeaderStatement is the response header that carries the statement. A backend
// server sets it to not_run when it refuses a request before running it.
const HeaderStatement = "X-Trefoilhead-Statement"

// HeaderRateLimit is the response header in which a backend server names the number of
// requests in a second, with decimals, that it takes from all entries together. The limit
// holds until an answer to a later request lacks the header.
const HeaderRateLimit = "X-Trefoilhead-Rate-Limit"

// HeaderLeaving is the response header that is 1 in all answers of a backend server that leaves.
const HeaderLeaving = "X-Trefoilhead-Leaving"

// Code is the stable name of the reason for a refusal.
type Code string

// Codes of refusals.
const (
	BadRequest         Code = "bad_request"
	TooLarge           Code = "too_large"
	Unauthorized       Code = "unauthorized"
	NoSuchService      Code = "no_such_service"
	NoCapacity         Code = "no_capacity"
	Overloaded         Code = "overloaded"
	DeadlineTooNear    Code = "deadline_too_near"
	Leaving            Code = "leaving"
	NotReady           Code = "not_ready"
	Moved              Code = "moved"
	KeyReused          Code = "key_reused"
	KeyRunning         Code = "key_running"
	ClaimUnavailable   Code = "claim_unavailable"
	AnswerNotKept      Code = "answer_not_kept"
	BackendUnreachable Code = "backend_unreachable"
	BackendFailed      Code = "backend_failed"
	BackendRefused     Code = "backend_refused"
	BackendSilent      Code = "backend_silent"
	AnswerIncomplete   Code = "answer_incomplete"
	Isolated           Code = "isolated"
	RateLimited        Code = "rate_limited"
	AskedToWait        Code = "asked_to_wait"
	BackendLeaving     Code = "backend_leaving"
	Cancelled          Code = "cancelled"
	MemoryShort        Code = "memory_short"
	TooSlow            Code = "too_slow"
	HeadTooLarge       Code = "head_too_large"
)

// Refusal is the response to a request that was not served. It implements error.
type Refusal struct {
	Status    int       `json:"-"`
	Code      Code      `json:"code"`
	Statement Statement `json:"statement"`
	Message   string    `json:"message"`
	// RetryAfter is the delay after which a retry may succeed, or 0 if a retry does
	// not help.
	RetryAfter time.Duration `json:"-"`
	// Answered is set if the backend server failed with an answer, so that it lives.
	Answered bool `json:"-"`
}

// Error implements error. It returns the code, the statement and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Statement) + "): " + r.Message
}

// statusByCode maps each code to the HTTP status of its response.
var statusByCode = map[Code]int{
	BadRequest:         http.StatusBadRequest,
	TooLarge:           http.StatusRequestEntityTooLarge,
	Unauthorized:       http.StatusUnauthorized,
	NoSuchService:      http.StatusNotFound,
	NoCapacity:         http.StatusServiceUnavailable,
	Overloaded:         http.StatusTooManyRequests,
	DeadlineTooNear:    http.StatusServiceUnavailable,
	Leaving:            http.StatusServiceUnavailable,
	NotReady:           http.StatusServiceUnavailable,
	Moved:              http.StatusServiceUnavailable,
	KeyReused:          http.StatusUnprocessableEntity,
	KeyRunning:         http.StatusConflict,
	ClaimUnavailable:   http.StatusServiceUnavailable,
	AnswerNotKept:      http.StatusConflict,
	BackendUnreachable: http.StatusServiceUnavailable,
	BackendFailed:      http.StatusBadGateway,
	BackendRefused:     http.StatusServiceUnavailable,
	BackendSilent:      http.StatusGatewayTimeout,
	AnswerIncomplete:   http.StatusBadGateway,
	Isolated:           http.StatusServiceUnavailable,
	RateLimited:        http.StatusServiceUnavailable,
	AskedToWait:        http.StatusServiceUnavailable,
	BackendLeaving:     http.StatusServiceUnavailable,
	Cancelled:          499,
	MemoryShort:        http.StatusServiceUnavailable,
	TooSlow:            http.StatusRequestTimeout,
	HeadTooLarge:       http.StatusRequestHeaderFieldsTooLarge,
}

// New returns a refusal with the HTTP status of its code.
func New(c Code, s Statement, message string) *Refusal {
	return &Refusal{Status: statusByCode[c], Code: c, Statement: s, Message: message}
}

// WithRetryAfter sets the delay after which a retry may succeed, and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// responseBody is the JSON body of the response, in the error format that clients of
// the chat-completions API expect.
type responseBody struct {
	Error responseError `json:"error"`
}

type responseError struct {
	Type      string    `json:"type"`
	Code      Code      `json:"code"`
	Statement Statement `json:"statement"`
	Message   string    `json:"message"`
}

// JSON returns the JSON body of the response.
func (r *Refusal) JSON() []byte {
	b, err := json.Marshal(responseBody{responseError{Type: "refusal", Code: r.Code, Statement: r.Statement, Message: r.Message}})
	if err != nil {
		// Encoding cannot fail, since all fields are strings.
		panic(err)
	}
	return b
}

// Write writes the refusal as the response to a request.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderStatement, string(r.Statement))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.JSON())
}

// Parse returns the refusal in a response with a status and a body, or nil if the
// body is not that of a refusal.
func Parse(status int, data []byte) *Refusal {
	var b responseBody
	err := json.Unmarshal(data, &b)
	isRefusal := err == nil && b.Error.Type == "refusal"
	if !isRefusal {
		return nil
	}
	return &Refusal{Status: status, Code: b.Error.Code, Statement: b.Error.Statement, Message: b.Error.Message}
}
