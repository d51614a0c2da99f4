// Package isolator finds the requests that crash backend servers, and keeps them from servers.
//
// A server that crashes breaks off the answers to all its requests, and nothing says
// which of them was the cause. A Ledger collects two kinds of evidence. One is about whole
// requests, which come again with the same content: the crashes while a server ran the
// request, and its complete answers. The other is about parts of prompts, which different
// requests share: the crashes at the start of answers to requests with the part, and the
// answers to such requests that began and went on. What causes crashes has no sound answers,
// while others have. Ledgers of several processes exchange their evidence in any order and
// more than once; Merge reaches the same result.
//
// A Decider turns the evidence into Isolations. An Isolation covers one request, or only the
// requests that have all in common that the crashed ones had in common: parts of the prompt,
// and the team and the model if these were always the same. Callers of one team can therefore
// not have the requests of another one refused. An Isolation ends when a request that it
// covers, let through as a trial, is answered, or when no such requests come any more. Whole
// requests are also refused by each process on its evidence alone, before an Isolation.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package isolator

import (
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Key names a part of prompts, or a whole request, at one service.
type Key struct {
	Service identifier.Service    `cbor:"service"`
	Part    identifier.PromptPart `cbor:"part"`
	// Request is empty if the Key names a part.
	Request identifier.RequestDigest `cbor:"request,omitempty"`
}

// IsRequest reports whether the Key names a whole request.
func (k Key) IsRequest() bool { return k.Request != "" }

// Traits are the properties that several requests have in common. An empty Team or Model
// means that the requests differ in it or that it is not known.
type Traits struct {
	Team  identifier.Team `cbor:"team"`
	Model string          `cbor:"model"`
	// Parts is sorted.
	Parts []identifier.PromptPart `cbor:"parts"`
}

// NewTraits returns the traits of one request.
func NewTraits(t identifier.Team, model string, parts []identifier.PromptPart) Traits {
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	return Traits{Team: t, Model: model, Parts: slices.Compact(sorted)}
}

// common returns what both have in common.
func (t Traits) common(o Traits) Traits {
	if t.Team != o.Team {
		t.Team = ""
	}
	if t.Model != o.Model {
		t.Model = ""
	}
	var parts []identifier.PromptPart
	for _, p := range t.Parts {
		if _, found := slices.BinarySearch(o.Parts, p); found {
			parts = append(parts, p)
		}
	}
	t.Parts = parts
	return t
}

// covers reports whether a request with the traits o has all the traits t.
func (t Traits) covers(o Traits) bool {
	if t.Team != "" && t.Team != o.Team || t.Model != "" && t.Model != o.Model {
		return false
	}
	for _, p := range t.Parts {
		if _, found := slices.BinarySearch(o.Parts, p); !found {
			return false
		}
	}
	return true
}

func (t Traits) equal(o Traits) bool {
	return t.Team == o.Team && t.Model == o.Model && slices.Equal(t.Parts, o.Parts)
}

// Run is a request at one server.
type Run struct {
	Service identifier.Service
	Traits  Traits
	// Request is the digest of the request.
	Request identifier.RequestDigest
	// Server names the server and its incarnation.
	Server string
	// SentAt is when the request was sent to the server.
	SentAt time.Time
}

// key returns the Key of the whole request.
func (r *Run) key() Key { return Key{Service: r.Service, Request: r.Request} }

// NewServerName returns the name of one incarnation of a server.
func NewServerName(id identifier.Server, incarnation uint64) string {
	return string(id) + "@" + formatUint(incarnation)
}

// Isolation keeps a request, or the requests that have all Traits, one of which is the Key's
// part, from the servers of a service.
type Isolation struct {
	Key    Key    `cbor:"key"`
	Traits Traits `cbor:"traits"`
	// Trials counts the requests that were let through to see whether servers still
	// crash. The last one was granted to TrialFront.
	Trials     uint32        `cbor:"trials"`
	TrialFront identifier.VM `cbor:"trial_front"`
}

// Covers reports whether an Isolation applies to a request.
func (i *Isolation) Covers(s identifier.Service, t Traits, d identifier.RequestDigest) bool {
	if i.Key.IsRequest() {
		return i.Key.Service == s && i.Key.Request == d
	}
	return i.Key.Service == s && i.Traits.covers(t)
}

// Equal reports whether two Isolations are the same.
func (i *Isolation) Equal(o *Isolation) bool {
	return i.Key == o.Key && i.Traits.equal(o.Traits) && i.Trials == o.Trials && i.TrialFront == o.TrialFront
}

// Evidence is what is known about one part of prompts or one request.
type Evidence struct {
	Key Key
	// Common is what the requests had in common at whose start servers crashed. It is empty
	// for a Key of one request.
	Common Traits
	// Crashes holds the time of each server's crash, by server name. Only crashes later
	// than SoundAt are kept.
	Crashes map[string]time.Time
	// Alive holds the names of servers that answered after their supposed crash.
	Alive map[string]bool
	// SoundAt is when an answer to a request with the part last began that went on, or when
	// the last complete answer to the request ended. OthersSoundAt is when an answer to
	// another request of the same model last began that went on.
	SoundAt, OthersSoundAt time.Time
	// RefusedAt is when an Isolation last refused a request, and RefusedBy the front that
	// did.
	RefusedAt time.Time
	RefusedBy identifier.VM

	// mostCrashes is the largest number of Crashes so far.
	mostCrashes int
	// knownSince is when this process first heard of it, changedAt when it last
	// learned something about it, and revision the Ledger's revision then.
	knownSince, changedAt time.Time
	revision              uint64
}

// lastCrash returns the time of the last crash, or zero.
func (e *Evidence) lastCrash() time.Time {
	var last time.Time
	for _, at := range e.Crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// setSound records a sound answer, and reports whether it is later than those before.
func (e *Evidence) setSound(at time.Time) bool {
	if !at.After(e.SoundAt) {
		return false
	}
	e.SoundAt = at
	e.dropCrashes()
	return true
}

// setOthersSound records a sound answer to another request, and reports whether it is news
// for other processes: the first one after a crash.
func (e *Evidence) setOthersSound(at time.Time) bool {
	if at.Sub(e.OthersSoundAt) <= minAdvance {
		return false
	}
	isNews := len(e.Crashes) > 0 && !e.OthersSoundAt.After(e.lastCrash())
	e.OthersSoundAt = at
	return isNews
}

// dropCrashes forgets the crashes that are not later than SoundAt.
func (e *Evidence) dropCrashes() {
	for s, at := range e.Crashes {
		if !at.After(e.SoundAt) {
			delete(e.Crashes, s)
		}
	}
	if len(e.Crashes) == 0 {
		e.Common, e.Alive = Traits{}, nil
	}
}
