// Package claimer makes non-idempotent requests run at most once.
//
// A request that must not run twice carries a key chosen by its caller. Before
// it is sent to a backend server, the key is claimed in a replicated log; a
// second request under the same key finds the claim, whichever entry it comes
// through, and gets the first one's answer or a truthful statement, never a
// second run. State is the state machine of that log.
package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"sync"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Key is the scope and value of an idempotency key. Keys of different teams
// and services never meet.
type Key struct {
	Team    identifier.Team    `json:"team"`
	Service identifier.Service `json:"service"`
	Value   string             `json:"value"`
}

// Fingerprint identifies the content of a request.
type Fingerprint string

// NewFingerprint returns the SHA-256 of method, path and body.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// Response is what the backend server answered.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// BodyOmitted is set when the body was too large to keep.
	BodyOmitted bool `json:"omitted,omitempty"`
}

// Action is what a Command does with a claim.
type Action string

// Actions.
const (
	// ActionBegin claims a key for an attempt.
	ActionBegin Action = "begin"
	// ActionFinish stores the answer of the attempt that holds the claim.
	ActionFinish Action = "finish"
	// ActionRelease gives up a claim whose request certainly did not run.
	ActionRelease Action = "release"
	// ActionTick ages the claims. The log's leader proposes it with the time that
	// passed on its monotonic clock while it led, so that no step of a wall
	// clock lets a claim expire early.
	ActionTick Action = "tick"
)

// Command is one entry of the claims log.
type Command struct {
	Action      Action      `json:"action"`
	Key         Key         `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	// Attempt tells attempts under the same key apart.
	Attempt  string        `json:"attempt"`
	Holder   identifier.VM `json:"holder,omitempty"`
	Response *Response     `json:"answer,omitempty"`
	// Elapsed is the time that a Tick adds, in milliseconds.
	Elapsed int64 `json:"elapsed,omitempty"`
	// Retention is how long a finished claim is kept, in milliseconds.
	Retention int64 `json:"retention"`
}

// Verdict is the outcome of a Command.
type Verdict string

// Verdicts.
const (
	// VerdictGranted means that this attempt, and no other, may send the request.
	VerdictGranted Verdict = "granted"
	// VerdictRunning means that another attempt holds the claim and its end is not
	// known.
	VerdictRunning Verdict = "running"
	// VerdictFinished means that the request has run; the answer is in Outcome.Response.
	VerdictFinished Verdict = "done"
	// VerdictMismatch means that the key was used before for another request.
	VerdictMismatch Verdict = "mismatch"
	// VerdictApplied means that a Finish or Release took effect.
	VerdictApplied Verdict = "noted"
	// VerdictStale means that a Finish or Release came from an attempt that does not
	// hold the claim.
	VerdictStale Verdict = "stale"
)

// Outcome is the answer to a Command.
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
	// ExpiresAt is 0 while the request may still be running.
	ExpiresAt int64 `json:"expires"`
}

type expiry struct {
	Key       Key   `json:"key"`
	ExpiresAt int64 `json:"at"`
}

// State is the set of claims. Its zero value is empty. It is safe for
// concurrent use.
type State struct {
	mu     sync.Mutex
	claims map[Key]claim
	// queue lists the ends of finished claims in the order of finishing.
	queue []expiry
	// now is the sum of all ticks, in milliseconds.
	now int64
}

// Apply runs one Command in its JSON form and returns the Outcome in its JSON
// form. It implements driver.StateMachine.
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
		s.now += max(c.Elapsed, 0)
		s.expire()
		return encode(Outcome{Verdict: VerdictApplied})
	}
	return encode(s.run(c))
}

func (s *State) run(c Command) Outcome {
	have, ok := s.claims[c.Key]
	if c.Action == ActionBegin {
		return s.begin(c, have, ok)
	}
	if !ok || have.Attempt != c.Attempt || have.Response != nil {
		return Outcome{Verdict: VerdictStale}
	}
	if c.Action == ActionRelease {
		delete(s.claims, c.Key)
		return Outcome{Verdict: VerdictApplied}
	}
	have.Response = c.Response
	have.ExpiresAt = s.now + c.Retention
	s.claims[c.Key] = have
	s.queue = append(s.queue, expiry{Key: c.Key, ExpiresAt: have.ExpiresAt})
	return Outcome{Verdict: VerdictApplied}
}

func (s *State) begin(c Command, have claim, ok bool) Outcome {
	switch {
	case !ok:
		s.claims[c.Key] = claim{Fingerprint: c.Fingerprint, Attempt: c.Attempt, Holder: c.Holder}
		return Outcome{Verdict: VerdictGranted}
	case have.Fingerprint != c.Fingerprint:
		return Outcome{Verdict: VerdictMismatch}
	case have.Response != nil:
		return Outcome{Verdict: VerdictFinished, Response: have.Response}
	case have.Attempt == c.Attempt:
		return Outcome{Verdict: VerdictGranted}
	}
	return Outcome{Verdict: VerdictRunning, Holder: have.Holder}
}

// expire forgets finished claims whose time is over. Claims whose end is not
// known are kept: forgetting one could let a request run twice.
func (s *State) expire() {
	for len(s.queue) > 0 && s.queue[0].ExpiresAt <= s.now {
		e := s.queue[0]
		s.queue = s.queue[1:]
		if c, ok := s.claims[e.Key]; ok && c.ExpiresAt == e.ExpiresAt {
			delete(s.claims, e.Key)
		}
	}
}

// Count returns the number of claims kept.
func (s *State) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.claims)
}

type storedClaim struct {
	Key   Key   `json:"key"`
	Claim claim `json:"claim"`
}

type stored struct {
	Claims   []storedClaim `json:"claims"`
	Expiries []expiry      `json:"queue"`
	Clock    int64         `json:"now"`
}

// Snapshot returns the serialized claims.
func (s *State) Snapshot() []byte { return s.PrepareSnapshot()() }

// PrepareSnapshot copies the claims and returns a function that serializes the copy. It
// implements driver.StateMachine.
func (s *State) PrepareSnapshot() func() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := stored{Expiries: slices.Clone(s.queue), Clock: s.now}
	for k, c := range s.claims {
		out.Claims = append(out.Claims, storedClaim{Key: k, Claim: c})
	}
	return func() []byte { return encode(out) }
}

// Restore takes over serialized claims. It implements driver.StateMachine.
func (s *State) Restore(data []byte) error {
	var in stored
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = map[Key]claim{}
	for _, c := range in.Claims {
		s.claims[c.Key] = c.Claim
	}
	s.queue, s.now = in.Expiries, in.Clock
	return nil
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Only plain data is ever passed here.
		panic(err)
	}
	return b
}
