// Package recorder implements the state machine of the replicated configuration
// log. It holds the declared objects, the drains and the outcomes of operator
// calls.
//
// Every accepted change advances the revision by one. Voters apply changes from
// the replicated log, all other processes apply the accepted ones that their
// peers send; applying the same changes in the same order gives the same
// configuration on both. The revision never decreases: ApplyAccepted accepts
// only the next revision, and ReplaceIfNewer only a higher one.
package recorder

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Error is the class of every error of this package.
var Error = errs.Class("configuration")

// Kinds of targets that can be drained.
const (
	DrainFailureDomain = "failure_domain"
	DrainEntryVM       = "entry_vm"
	DrainBackendServer = "backend_server"
)

// Drain identifies a failure domain, an entry VM or a backend server that an
// operator has taken out of service.
type Drain struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
}

// IsValid reports whether d has a known kind and a well-formed id.
func (d Drain) IsValid() bool {
	switch d.Kind {
	case DrainFailureDomain, DrainEntryVM, DrainBackendServer:
		return identifier.IsValid(d.ID)
	}
	return false
}

// Change is one entry of the configuration log: an operator call, or a vote for
// a placement authority. A call is applied only at ExpectedRevision.
type Change struct {
	RequestID        string              `json:"request_id"`
	ExpectedRevision identifier.Revision `json:"expected"`
	Put              []declarer.Object   `json:"put,omitempty"`
	Remove           []declarer.Key      `json:"remove,omitempty"`
	Drain            *Drain              `json:"drain,omitempty"`
	Undrain          *Drain              `json:"undrain,omitempty"`
	// PlacementVote makes the entry a vote for a placement authority: all other
	// fields are ignored and the revision does not change.
	PlacementVote *PlacementVote `json:"witness,omitempty"`
}

// PlacementVote is the vote that the configuration log casts, as one more voter,
// in the election of a placement authority. Failure domains with an even number
// of entry VMs need it.
//
// A proposed vote is accepted only if VoteCount is the number of votes recorded
// for the failure domain so far, that is, if its proposer knew the last vote. In
// a recorded vote, VoteCount includes the vote itself.
type PlacementVote struct {
	FailureDomain identifier.FailureDomain `json:"domain"`
	Holder        identifier.VM            `json:"holder"`
	Epoch         identifier.Epoch         `json:"epoch"`
	VoteCount     uint64                   `json:"after"`
}

// OutcomeCode is the result of applying a Change.
type OutcomeCode string

// Results of applying a Change.
const (
	// OutcomeAccepted means that the change takes effect at Outcome.Revision. An
	// accepted vote leaves the revision as it is.
	OutcomeAccepted OutcomeCode = "accepted"
	// OutcomeConflict means that the log is not at the expected revision, usually
	// because another change was accepted there first. For a vote it means that
	// VoteCount did not match.
	OutcomeConflict OutcomeCode = "conflict"
	// OutcomeInvalid means that the change is malformed or removes an object that
	// does not exist.
	OutcomeInvalid OutcomeCode = "invalid"
)

// Outcome is the response to a Change. A Change with a request id that was
// already handled gets the first outcome again, with Replayed set.
type Outcome struct {
	Code     OutcomeCode         `json:"code"`
	Revision identifier.Revision `json:"revision"`
	// WinningRequestID is set on a conflict, if still known: the request id of the
	// change that was accepted at the expected revision.
	WinningRequestID string `json:"winner,omitempty"`
	Replayed         bool   `json:"replayed,omitempty"`
}

// Limits on the number of outcomes kept for resent calls and of accepted changes
// kept for peers that lag behind.
const (
	maxOutcomes = 10000
	maxHistory  = 4096
)

// AcceptedChange is an accepted Change, in its JSON form, as it is sent to
// processes that are not voters of the configuration log.
type AcceptedChange struct {
	Revision identifier.Revision
	Data     []byte
}

// State holds the current configuration. Its zero value is the empty
// configuration at revision 0. It is safe for concurrent use.
type State struct {
	mu       sync.RWMutex
	revision identifier.Revision
	objects  map[declarer.Key]declarer.Object
	drains   map[Drain]bool
	outcomes map[string]Outcome
	// outcomeOrder lists the keys of outcomes, oldest first, for eviction.
	outcomeOrder []string
	history      []AcceptedChange
	votes        map[identifier.FailureDomain]PlacementVote
	// winningRequestIDs maps a revision to the request id of the change that was
	// accepted as that revision, for the last maxHistory revisions.
	winningRequestIDs map[identifier.Revision]string
}

// persistedState is the serialized form of a State, without the history.
type persistedState struct {
	Revision          identifier.Revision            `json:"revision"`
	Objects           []declarer.Object              `json:"objects"`
	Drains            []Drain                        `json:"drains"`
	Outcomes          map[string]Outcome             `json:"outcomes,omitempty"`
	OutcomeOrder      []string                       `json:"order,omitempty"`
	WinningRequestIDs map[identifier.Revision]string `json:"winners,omitempty"`
	Votes             []PlacementVote                `json:"votes,omitempty"`
}

// Apply applies a log entry, a Change in JSON, and returns the Outcome in JSON. It
// serves as Apply of a driver.StateMachine.
func (s *State) Apply(data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Change
	if err := json.Unmarshal(data, &c); err != nil {
		return mustMarshal(Outcome{Code: OutcomeInvalid, Revision: s.revision})
	}
	if c.PlacementVote != nil {
		return mustMarshal(s.applyVote(*c.PlacementVote))
	}
	return mustMarshal(s.applyChange(c, data))
}

func (s *State) applyVote(v PlacementVote) Outcome {
	if v.VoteCount != s.votes[v.FailureDomain].VoteCount {
		return Outcome{Code: OutcomeConflict, Revision: s.revision}
	}
	if s.votes == nil {
		s.votes = map[identifier.FailureDomain]PlacementVote{}
	}
	v.VoteCount++
	s.votes[v.FailureDomain] = v
	return Outcome{Code: OutcomeAccepted, Revision: s.revision}
}

// LastPlacementVote returns the last vote recorded for a failure domain, or the
// zero vote. Its VoteCount is the number of votes recorded so far.
func (s *State) LastPlacementVote(d identifier.FailureDomain) PlacementVote {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.votes[d]
}

func (s *State) applyChange(c Change, data []byte) Outcome {
	if o, ok := s.outcomes[c.RequestID]; ok {
		o.Replayed = true
		return o
	}
	o := s.decideOutcome(c)
	if o.Code == OutcomeAccepted {
		s.commitChange(c, data)
	}
	s.recordOutcome(c.RequestID, o)
	return o
}

func (s *State) decideOutcome(c Change) Outcome {
	switch {
	case c.ExpectedRevision != s.revision:
		return Outcome{Code: OutcomeConflict, Revision: s.revision, WinningRequestID: s.winningRequestIDs[c.ExpectedRevision+1]}
	case !s.isApplicable(c):
		return Outcome{Code: OutcomeInvalid, Revision: s.revision}
	}
	return Outcome{Code: OutcomeAccepted, Revision: s.revision + 1}
}

// isApplicable reports whether c has a request id, removes only objects that
// exist and names only valid drain targets.
func (s *State) isApplicable(c Change) bool {
	for _, k := range c.Remove {
		if _, ok := s.objects[k]; !ok {
			return false
		}
	}
	for _, d := range []*Drain{c.Drain, c.Undrain} {
		if d != nil && !d.IsValid() {
			return false
		}
	}
	return c.RequestID != ""
}

func (s *State) commitChange(c Change, data []byte) {
	s.initMaps()
	for _, k := range c.Remove {
		delete(s.objects, k)
	}
	for _, o := range c.Put {
		s.objects[o.Key] = o
	}
	if c.Drain != nil {
		s.drains[*c.Drain] = true
	}
	if c.Undrain != nil {
		delete(s.drains, *c.Undrain)
	}
	s.revision++
	s.winningRequestIDs[s.revision] = c.RequestID
	delete(s.winningRequestIDs, s.revision-min(s.revision, maxHistory))
	s.history = append(s.history, AcceptedChange{Revision: s.revision, Data: data})
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[len(s.history)-maxHistory/2:])
	}
}

func (s *State) initMaps() {
	if s.objects == nil {
		s.objects = map[declarer.Key]declarer.Object{}
		s.drains = map[Drain]bool{}
		s.winningRequestIDs = map[identifier.Revision]string{}
	}
}

func (s *State) recordOutcome(id string, o Outcome) {
	if s.outcomes == nil {
		s.outcomes = map[string]Outcome{}
	}
	s.outcomes[id] = o
	s.outcomeOrder = append(s.outcomeOrder, id)
	if len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// ApplyAccepted applies one accepted change that a peer sent. It returns an error
// unless the change has the next revision.
func (s *State) ApplyAccepted(a AcceptedChange) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Revision != s.revision+1 {
		return Error.New("change %d does not follow revision %d", a.Revision, s.revision)
	}
	var c Change
	if err := json.Unmarshal(a.Data, &c); err != nil {
		return Error.Wrap(err)
	}
	s.commitChange(c, a.Data)
	s.recordOutcome(c.RequestID, Outcome{Code: OutcomeAccepted, Revision: a.Revision})
	return nil
}

// ReplaceIfNewer replaces s by a peer's Snapshot if that has a higher revision,
// and does nothing otherwise.
func (s *State) ReplaceIfNewer(data []byte) error {
	var in persistedState
	if err := json.Unmarshal(data, &in); err != nil {
		return Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Revision <= s.revision {
		return nil
	}
	s.loadPersisted(in)
	return nil
}

// Restore replaces s by a snapshot of the log. It returns an error if the snapshot
// has a lower revision than s. It serves as Restore of a driver.StateMachine.
func (s *State) Restore(data []byte) error {
	var in persistedState
	if err := json.Unmarshal(data, &in); err != nil {
		return Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Revision < s.revision {
		return Error.New("snapshot at revision %d is older than the current revision %d", in.Revision, s.revision)
	}
	s.loadPersisted(in)
	return nil
}

func (s *State) loadPersisted(in persistedState) {
	s.revision = in.Revision
	s.objects = map[declarer.Key]declarer.Object{}
	for _, o := range in.Objects {
		s.objects[o.Key] = o
	}
	s.drains = map[Drain]bool{}
	for _, d := range in.Drains {
		s.drains[d] = true
	}
	s.outcomes, s.outcomeOrder, s.winningRequestIDs = in.Outcomes, in.OutcomeOrder, in.WinningRequestIDs
	s.votes = map[identifier.FailureDomain]PlacementVote{}
	for _, v := range in.Votes {
		s.votes[v.FailureDomain] = v
	}
	if s.winningRequestIDs == nil {
		s.winningRequestIDs = map[identifier.Revision]string{}
	}
	s.history = nil
}

// Snapshot returns the serialized state, for Restore and ReplaceIfNewer.
func (s *State) Snapshot() []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := persistedState{
		Revision: s.revision, Objects: s.sortedObjects(), Drains: s.sortedDrains(),
		Outcomes: s.outcomes, OutcomeOrder: s.outcomeOrder, WinningRequestIDs: s.winningRequestIDs,
	}
	for _, v := range s.votes {
		out.Votes = append(out.Votes, v)
	}
	slices.SortFunc(out.Votes, func(a, b PlacementVote) int { return strings.Compare(string(a.FailureDomain), string(b.FailureDomain)) })
	return mustMarshal(out)
}

// ChangesSince returns the accepted changes after revision r. It returns false if
// some of them are no longer kept, so that the caller has to send or take a
// Snapshot instead.
func (s *State) ChangesSince(r identifier.Revision) ([]AcceptedChange, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if r >= s.revision {
		return nil, true
	}
	missing := int(s.revision - r)
	if missing > len(s.history) {
		return nil, false
	}
	return slices.Clone(s.history[len(s.history)-missing:]), true
}

// Revision returns the current revision.
func (s *State) Revision() identifier.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision
}

// View is a copy of the configuration at one revision.
type View struct {
	Revision identifier.Revision
	Objects  []declarer.Object
	Drains   []Drain
}

// View returns a copy of the current configuration, with objects and drains
// sorted by kind and id.
func (s *State) View() View {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return View{Revision: s.revision, Objects: s.sortedObjects(), Drains: s.sortedDrains()}
}

func (s *State) sortedObjects() []declarer.Object {
	objects := make([]declarer.Object, 0, len(s.objects))
	for _, o := range s.objects {
		objects = append(objects, o)
	}
	slices.SortFunc(objects, func(a, b declarer.Object) int { return a.Compare(b.Key) })
	return objects
}

func (s *State) sortedDrains() []Drain {
	drains := make([]Drain, 0, len(s.drains))
	for d := range s.drains {
		drains = append(drains, d)
	}
	slices.SortFunc(drains, func(a, b Drain) int {
		return declarer.Key{Kind: a.Kind, ID: a.ID}.Compare(declarer.Key{Kind: b.Kind, ID: b.ID})
	})
	return drains
}

// IsDrained reports whether d is out of service.
func (v View) IsDrained(d Drain) bool { return slices.Contains(v.Drains, d) }

// Services returns the declared services.
func (v View) Services() []declarer.Service {
	return decodeObjects[declarer.Service](v, declarer.KindService)
}

// Teams returns the declared teams.
func (v View) Teams() []declarer.Team { return decodeObjects[declarer.Team](v, declarer.KindTeam) }

// decodeObjects returns the decoded bodies of all objects of a kind. Bodies are
// checked before a change is proposed; one that does not decode is skipped.
func decodeObjects[T any](v View, kind string) []T {
	var all []T
	for _, o := range v.Objects {
		var t T
		if o.Kind == kind && json.Unmarshal(o.Body, &t) == nil {
			all = append(all, t)
		}
	}
	return all
}

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Callers pass only types that JSON can encode.
		panic(err)
	}
	return b
}
