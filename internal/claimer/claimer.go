// Package claimer ensures that a request with an idempotency key runs at most once.
//
// The caller of a request that must not run twice chooses a key for it. Before an
// entry sends the request to a backend server, it claims the key in a replicated log,
// the claims log. A second request with the same key finds that claim, whichever entry
// receives it. It is not run, but gets the response of the first request or a refusal
// that says whether that one may have run. State is the state machine of the log.
package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"sync"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Key is an idempotency key with its scope. Equal values of different teams or
// services are different keys.
type Key struct {
	Team    identifier.Team    `json:"team"`
	Service identifier.Service `json:"service"`
	Value   string             `json:"value"`
}

// Fingerprint is a hash of the content of a request.
type Fingerprint string

// NewFingerprint returns the SHA-256 hash over the SHA-256 hashes of method, path and
// body, in hexadecimal digits.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// Response is the stored response of the backend server.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// BodyOmitted is set when the body was too large to store.
	BodyOmitted bool `json:"omitted,omitempty"`
}

// Action is the kind of a Command.
type Action string

// Values of Action.
const (
	// ActionBegin claims a key for an attempt to run a request.
	ActionBegin Action = "begin"
	// ActionFinish stores the response to the attempt that holds the claim.
	ActionFinish Action = "finish"
	// ActionRelease removes a claim whose request certainly did not run.
	ActionRelease Action = "release"
	// ActionTick advances the clock by which claims expire. The leader of the log
	// proposes it with the time that passed on its monotonic clock while it was the
	// leader, so that no step of a wall clock makes a claim expire early.
	ActionTick Action = "tick"
)

// Command is one command in the claims log.
type Command struct {
	Action      Action      `json:"action"`
	Key         Key         `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	// Attempt distinguishes attempts with the same key. Holder is the entry VM that
	// makes the attempt.
	Attempt  string        `json:"attempt"`
	Holder   identifier.VM `json:"holder,omitempty"`
	Response *Response     `json:"answer,omitempty"`
	// Elapsed is the time by which ActionTick advances the clock, in milliseconds.
	Elapsed int64 `json:"elapsed,omitempty"`
	// Retention is how long the claim is kept once it is finished, in milliseconds.
	Retention int64 `json:"retention"`
}

// Verdict is the result of a Command.
type Verdict string

// Values of Verdict.
const (
	// VerdictGranted means that this attempt holds the claim, and that no other may
	// send the request.
	VerdictGranted Verdict = "granted"
	// VerdictRunning means that another attempt holds the claim and has not finished,
	// as far as is known.
	VerdictRunning Verdict = "running"
	// VerdictFinished means that the request has run. Its response is in
	// Outcome.Response.
	VerdictFinished Verdict = "done"
	// VerdictMismatch means that the key was used before for a different request.
	VerdictMismatch Verdict = "mismatch"
	// VerdictApplied means that ActionFinish, ActionRelease or ActionTick took effect.
	VerdictApplied Verdict = "noted"
	// VerdictStale means that ActionFinish or ActionRelease came from an attempt that
	// does not hold an unfinished claim.
	VerdictStale Verdict = "stale"
)

// Outcome is the result of a Command with the data that belongs to it.
type Outcome struct {
	Verdict  Verdict       `json:"verdict"`
	Response *Response     `json:"answer,omitempty"`
	Holder   identifier.VM `json:"holder,omitempty"`
}

type claim struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Attempt     string        `json:"attempt"`
	Holder      identifier.VM `json:"holder"`
	Response    *Response     `json:"answer,omitempty"`
	// ExpiresAt is the State.clock at which the claim expires, or 0 while the request
	// may still be running.
	ExpiresAt int64 `json:"expires"`
}

type expiry struct {
	Key       Key   `json:"key"`
	ExpiresAt int64 `json:"at"`
}

// State is the set of claims. Its zero value is an empty set. It is safe for concurrent
// use.
type State struct {
	mu     sync.Mutex
	claims map[Key]claim
	// expiries lists when finished claims expire, in the order in which they finished.
	expiries []expiry
	// clock is the sum of Elapsed of all ActionTick commands, in milliseconds.
	clock int64
}

// Apply applies a Command encoded as JSON and returns the Outcome encoded as JSON. It
// implements driver.StateMachine.
func (s *State) Apply(data []byte) []byte {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return encode(Outcome{Verdict: VerdictStale})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims == nil {
		s.claims = map[Key]claim{}
	}
	if c.Action == ActionTick {
		s.clock += max(c.Elapsed, 0)
		s.removeExpired()
		return encode(Outcome{Verdict: VerdictApplied})
	}
	return encode(s.applyToClaim(c))
}

func (s *State) applyToClaim(c Command) Outcome {
	existing, ok := s.claims[c.Key]
	if c.Action == ActionBegin {
		return s.beginClaim(c, existing, ok)
	}
	if !ok || existing.Attempt != c.Attempt || existing.Response != nil {
		return Outcome{Verdict: VerdictStale}
	}
	if c.Action == ActionRelease {
		delete(s.claims, c.Key)
		return Outcome{Verdict: VerdictApplied}
	}
	existing.Response = c.Response
	existing.ExpiresAt = s.clock + c.Retention
	s.claims[c.Key] = existing
	s.expiries = append(s.expiries, expiry{Key: c.Key, ExpiresAt: existing.ExpiresAt})
	return Outcome{Verdict: VerdictApplied}
}

func (s *State) beginClaim(c Command, existing claim, ok bool) Outcome {
	switch {
	case !ok:
		s.claims[c.Key] = claim{Fingerprint: c.Fingerprint, Attempt: c.Attempt, Holder: c.Holder}
		return Outcome{Verdict: VerdictGranted}
	case existing.Fingerprint != c.Fingerprint:
		return Outcome{Verdict: VerdictMismatch}
	case existing.Response != nil:
		return Outcome{Verdict: VerdictFinished, Response: existing.Response}
	case existing.Attempt == c.Attempt:
		return Outcome{Verdict: VerdictGranted}
	}
	return Outcome{Verdict: VerdictRunning, Holder: existing.Holder}
}

// removeExpired removes finished claims whose retention is over. Unfinished claims are
// kept: without one, the request could run twice.
func (s *State) removeExpired() {
	for len(s.expiries) > 0 && s.expiries[0].ExpiresAt <= s.clock {
		e := s.expiries[0]
		s.expiries = s.expiries[1:]
		if c, ok := s.claims[e.Key]; ok && c.ExpiresAt == e.ExpiresAt {
			delete(s.claims, e.Key)
		}
	}
}

// Count returns the number of claims.
func (s *State) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.claims)
}

type persistedClaim struct {
	Key   Key   `json:"key"`
	Claim claim `json:"claim"`
}

type persistedState struct {
	Claims   []persistedClaim `json:"claims"`
	Expiries []expiry         `json:"queue"`
	Clock    int64            `json:"now"`
}

// Snapshot returns the serialized state.
func (s *State) Snapshot() []byte { return s.PrepareSnapshot()() }

// PrepareSnapshot copies the state and returns a function that serializes the copy. It
// implements driver.StateMachine.
func (s *State) PrepareSnapshot() func() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := persistedState{Expiries: slices.Clone(s.expiries), Clock: s.clock}
	for k, c := range s.claims {
		out.Claims = append(out.Claims, persistedClaim{Key: k, Claim: c})
	}
	return func() []byte { return encode(out) }
}

// Restore replaces the state by a serialized one. It implements driver.StateMachine.
func (s *State) Restore(data []byte) error {
	var in persistedState
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = map[Key]claim{}
	for _, c := range in.Claims {
		s.claims[c.Key] = c.Claim
	}
	s.expiries, s.clock = in.Expiries, in.Clock
	return nil
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Encoding cannot fail, since all values consist of strings, numbers, booleans
		// and byte slices.
		panic(err)
	}
	return b
}
