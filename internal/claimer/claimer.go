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

// Answer is what the backend server answered.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Omitted is set when the body was too large to keep.
	Omitted bool `json:"omitted,omitempty"`
}

// Action is what a Command does with a claim.
type Action string

// Actions.
const (
	// Begin claims a key for an attempt.
	Begin Action = "begin"
	// Finish stores the answer of the attempt that holds the claim.
	Finish Action = "finish"
	// Release gives up a claim whose request certainly did not run.
	Release Action = "release"
	// Tick ages the claims. The log's leader proposes it with the time that
	// passed on its monotonic clock while it led, so that no step of a wall
	// clock lets a claim expire early.
	Tick Action = "tick"
)

// Command is one entry of the claims log.
type Command struct {
	Action      Action      `json:"action"`
	Key         Key         `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	// Attempt tells attempts under the same key apart.
	Attempt string        `json:"attempt"`
	Holder  identifier.VM `json:"holder,omitempty"`
	Answer  *Answer       `json:"answer,omitempty"`
	// Elapsed is the time that a Tick adds, in milliseconds.
	Elapsed int64 `json:"elapsed,omitempty"`
	// Retention is how long a finished claim is kept, in milliseconds.
	Retention int64 `json:"retention"`
}

// Verdict is the outcome of a Command.
type Verdict string

// Verdicts.
const (
	// Granted means that this attempt, and no other, may send the request.
	Granted Verdict = "granted"
	// Running means that another attempt holds the claim and its end is not
	// known.
	Running Verdict = "running"
	// Done means that the request has run; the answer is in Outcome.Answer.
	Done Verdict = "done"
	// Mismatch means that the key was used before for another request.
	Mismatch Verdict = "mismatch"
	// Noted means that a Finish or Release took effect.
	Noted Verdict = "noted"
	// Stale means that a Finish or Release came from an attempt that does not
	// hold the claim.
	Stale Verdict = "stale"
)

// Outcome is the answer to a Command.
type Outcome struct {
	Verdict Verdict       `json:"verdict"`
	Answer  *Answer       `json:"answer,omitempty"`
	Holder  identifier.VM `json:"holder,omitempty"`
}

type claim struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Attempt     string        `json:"attempt"`
	Holder      identifier.VM `json:"holder"`
	Answer      *Answer       `json:"answer,omitempty"`
	// Expires is 0 while the request may still be running.
	Expires int64 `json:"expires"`
}

type expiry struct {
	Key Key   `json:"key"`
	At  int64 `json:"at"`
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
		return encode(Outcome{Verdict: Stale})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims == nil {
		s.claims = map[Key]claim{}
	}
	if c.Action == Tick {
		s.now += max(c.Elapsed, 0)
		s.expire()
		return encode(Outcome{Verdict: Noted})
	}
	return encode(s.run(c))
}

func (s *State) run(c Command) Outcome {
	have, ok := s.claims[c.Key]
	if c.Action == Begin {
		return s.begin(c, have, ok)
	}
	if !ok || have.Attempt != c.Attempt || have.Answer != nil {
		return Outcome{Verdict: Stale}
	}
	if c.Action == Release {
		delete(s.claims, c.Key)
		return Outcome{Verdict: Noted}
	}
	have.Answer = c.Answer
	have.Expires = s.now + c.Retention
	s.claims[c.Key] = have
	s.queue = append(s.queue, expiry{Key: c.Key, At: have.Expires})
	return Outcome{Verdict: Noted}
}

func (s *State) begin(c Command, have claim, ok bool) Outcome {
	switch {
	case !ok:
		s.claims[c.Key] = claim{Fingerprint: c.Fingerprint, Attempt: c.Attempt, Holder: c.Holder}
		return Outcome{Verdict: Granted}
	case have.Fingerprint != c.Fingerprint:
		return Outcome{Verdict: Mismatch}
	case have.Answer != nil:
		return Outcome{Verdict: Done, Answer: have.Answer}
	case have.Attempt == c.Attempt:
		return Outcome{Verdict: Granted}
	}
	return Outcome{Verdict: Running, Holder: have.Holder}
}

// expire forgets finished claims whose time is over. Claims whose end is not
// known are kept: forgetting one could let a request run twice.
func (s *State) expire() {
	for len(s.queue) > 0 && s.queue[0].At <= s.now {
		e := s.queue[0]
		s.queue = s.queue[1:]
		if c, ok := s.claims[e.Key]; ok && c.Expires == e.At {
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
	Claims []storedClaim `json:"claims"`
	Queue  []expiry      `json:"queue"`
	Now    int64         `json:"now"`
}

// Snapshot returns the serialized claims.
func (s *State) Snapshot() []byte { return s.PrepareSnapshot()() }

// PrepareSnapshot copies the claims and returns a function that serializes the copy. It
// implements driver.StateMachine.
func (s *State) PrepareSnapshot() func() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := stored{Queue: slices.Clone(s.queue), Now: s.now}
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
	s.queue, s.now = in.Queue, in.Now
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
