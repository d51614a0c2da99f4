// Package refuser states why a request was not answered.
//
// A refusal carries a stable code and one of two statements. NotRun is a
// promise: nothing of the request reached a backend server, or the server
// itself refused it before running it. Unknown says that it may have run.
package refuser

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Statement tells whether the refused request can have run.
type Statement string

// Statements.
const (
	NotRun     Statement = "not_run"
	MayHaveRun Statement = "unknown"
)

// HeaderStatement carries the statement in a refusal's header. A backend
// server sets it to not_run when it refuses a request before running it.
const HeaderStatement = "X-Trefoilhead-Statement"

// Code is the stable name of a reason.
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
	Cancelled          Code = "cancelled"
)

// Refusal is the answer to a request that was not served. It is an error.
type Refusal struct {
	Status    int       `json:"-"`
	Code      Code      `json:"code"`
	Statement Statement `json:"statement"`
	Message   string    `json:"message"`
	// RetryAfter is 0 when a retry does not help.
	RetryAfter time.Duration `json:"-"`
}

// Error returns code, statement and message.
func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Statement) + "): " + r.Message
}

// statuses maps each code to the status of its response.
var statuses = map[Code]int{
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
	Cancelled:          499,
}

// New returns a refusal with the status that belongs to its code.
func New(c Code, s Statement, message string) *Refusal {
	return &Refusal{Status: statuses[c], Code: c, Statement: s, Message: message}
}

// WithRetryAfter sets the time after which a retry may help, and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// body is the JSON form, in the shape that clients of the chat-completions
// interface expect of errors.
type body struct {
	Error bodyError `json:"error"`
}

type bodyError struct {
	Type      string    `json:"type"`
	Code      Code      `json:"code"`
	Statement Statement `json:"statement"`
	Message   string    `json:"message"`
}

// JSON returns the body of the response.
func (r *Refusal) JSON() []byte {
	b, err := json.Marshal(body{bodyError{Type: "refusal", Code: r.Code, Statement: r.Statement, Message: r.Message}})
	if err != nil {
		// Only strings are encoded.
		panic(err)
	}
	return b
}

// Write sends the refusal as a response.
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

// Parse returns the refusal that data, the body of a response, holds, or nil
// when it is none.
func Parse(status int, data []byte) *Refusal {
	var b body
	err := json.Unmarshal(data, &b)
	isRefusal := err == nil && b.Error.Type == "refusal"
	if !isRefusal {
		return nil
	}
	return &Refusal{Status: status, Code: b.Error.Code, Statement: b.Error.Statement, Message: b.Error.Message}
}
