// Package recorder is the state machine of the configuration log: declared
// objects, drains and the outcomes of operators' calls.
//
// Every accepted change has the next revision. The same Change applied in the
// same order gives the same State on voters, which take changes from the
// replicated log, and on the other processes, which take them from their
// peers. A State never goes back: Follow takes nothing but the next revision,
// and Replace nothing but a later one.
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

// Kinds of drain target.
const (
	DrainFailureDomain = "failure_domain"
	DrainEntryVM       = "entry_vm"
	DrainBackendServer = "backend_server"
)

// Drain names what operators have taken out of service.
type Drain struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
}

// Valid reports whether d names something that can be taken out.
func (d Drain) Valid() bool {
	switch d.Kind {
	case DrainFailureDomain, DrainEntryVM, DrainBackendServer:
		return identifier.IsValid(d.ID)
	}
	return false
}

// Change is one operator call as it stands in the log.
type Change struct {
	RequestID        string              `json:"request_id"`
	ExpectedRevision identifier.Revision `json:"expected"`
	Put              []declarer.Object   `json:"put,omitempty"`
	Remove           []declarer.Key      `json:"remove,omitempty"`
	Drain            *Drain              `json:"drain,omitempty"`
	Undrain          *Drain              `json:"undrain,omitempty"`
	// PlacementVote is a vote for a placement authority. It changes no revision.
	PlacementVote *PlacementVote `json:"witness,omitempty"`
}

// PlacementVote is the log's vote for the placement authority of a failure domain with
// an even number of entry VMs. It is taken only if After is the number of votes
// for that domain so far, so that whoever proposes it knew the last one.
type PlacementVote struct {
	FailureDomain identifier.FailureDomain `json:"domain"`
	Holder        identifier.VM            `json:"holder"`
	Epoch         identifier.Epoch         `json:"epoch"`
	VoteCount     uint64                   `json:"after"`
}

// OutcomeCode tells how a Change ended.
type OutcomeCode string

// Outcomes of a Change.
const (
	// OutcomeAccepted means that the change is in force from Outcome.Revision on.
	OutcomeAccepted OutcomeCode = "accepted"
	// OutcomeConflict means that another change had taken the expected revision.
	OutcomeConflict OutcomeCode = "conflict"
	// OutcomeInvalid means that the change cannot be applied at all.
	OutcomeInvalid OutcomeCode = "invalid"
)

// Outcome is the answer to a Change. A resent request id gets the first one.
type Outcome struct {
	Code     OutcomeCode         `json:"code"`
	Revision identifier.Revision `json:"revision"`
	// WinningRequestID is the request id that took the expected revision.
	WinningRequestID string `json:"winner,omitempty"`
	Replayed         bool   `json:"replayed,omitempty"`
}

// Bounds on what is remembered.
const (
	maxOutcomes = 10000
	maxHistory  = 4096
)

// AcceptedChange is an accepted change as it goes to processes that are no voters.
type AcceptedChange struct {
	Revision identifier.Revision
	Data     []byte
}

// State is the configuration at one revision. Its zero value is the empty
// configuration at revision 0. It is safe for concurrent use.
type State struct {
	mu       sync.RWMutex
	revision identifier.Revision
	objects  map[declarer.Key]declarer.Object
	drains   map[Drain]bool
	outcomes map[string]Outcome
	// order lists the request ids of outcomes, oldest first.
	order   []string
	history []AcceptedChange
	votes   map[identifier.FailureDomain]PlacementVote
	// winners maps a revision to the request id that made it.
	winners map[identifier.Revision]string
}

// stored is the serialized form of a State.
type stored struct {
	Revision identifier.Revision            `json:"revision"`
	Objects  []declarer.Object              `json:"objects"`
	Drains   []Drain                        `json:"drains"`
	Outcomes map[string]Outcome             `json:"outcomes,omitempty"`
	Order    []string                       `json:"order,omitempty"`
	Winners  map[identifier.Revision]string `json:"winners,omitempty"`
	Votes    []PlacementVote                `json:"votes,omitempty"`
}

// Apply takes a Change in its JSON form from the log and returns the Outcome
// in its JSON form. It implements driver.StateMachine.
func (s *State) Apply(data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Change
	if err := json.Unmarshal(data, &c); err != nil {
		return encode(Outcome{Code: OutcomeInvalid, Revision: s.revision})
	}
	if c.PlacementVote != nil {
		return encode(s.vote(*c.PlacementVote))
	}
	return encode(s.apply(c, data))
}

func (s *State) vote(v PlacementVote) Outcome {
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

// LastPlacementVote returns the last vote for a domain; its After counts the votes so far.
func (s *State) LastPlacementVote(d identifier.FailureDomain) PlacementVote {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.votes[d]
}

func (s *State) apply(c Change, data []byte) Outcome {
	if o, ok := s.outcomes[c.RequestID]; ok {
		o.Replayed = true
		return o
	}
	o := s.judge(c)
	if o.Code == OutcomeAccepted {
		s.change(c, data)
	}
	s.remember(c.RequestID, o)
	return o
}

func (s *State) judge(c Change) Outcome {
	switch {
	case c.ExpectedRevision != s.revision:
		return Outcome{Code: OutcomeConflict, Revision: s.revision, WinningRequestID: s.winners[c.ExpectedRevision+1]}
	case !s.applicable(c):
		return Outcome{Code: OutcomeInvalid, Revision: s.revision}
	}
	return Outcome{Code: OutcomeAccepted, Revision: s.revision + 1}
}

// applicable reports whether everything that c removes exists.
func (s *State) applicable(c Change) bool {
	for _, k := range c.Remove {
		if _, ok := s.objects[k]; !ok {
			return false
		}
	}
	for _, d := range []*Drain{c.Drain, c.Undrain} {
		if d != nil && !d.Valid() {
			return false
		}
	}
	return c.RequestID != ""
}

func (s *State) change(c Change, data []byte) {
	s.init()
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
	s.winners[s.revision] = c.RequestID
	delete(s.winners, s.revision-min(s.revision, maxHistory))
	s.history = append(s.history, AcceptedChange{Revision: s.revision, Data: data})
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[len(s.history)-maxHistory/2:])
	}
}

func (s *State) init() {
	if s.objects == nil {
		s.objects = map[declarer.Key]declarer.Object{}
		s.drains = map[Drain]bool{}
		s.winners = map[identifier.Revision]string{}
	}
}

func (s *State) remember(id string, o Outcome) {
	if s.outcomes == nil {
		s.outcomes = map[string]Outcome{}
	}
	s.outcomes[id] = o
	s.order = append(s.order, id)
	if len(s.order) > maxOutcomes {
		delete(s.outcomes, s.order[0])
		s.order = s.order[1:]
	}
}

// ApplyAccepted applies one accepted change that a peer sent. It takes only the next
// revision.
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
	s.change(c, a.Data)
	s.remember(c.RequestID, Outcome{Code: OutcomeAccepted, Revision: a.Revision})
	return nil
}

// ReplaceIfNewer takes over a peer's whole state if it is later than this one.
func (s *State) ReplaceIfNewer(data []byte) error {
	var in stored
	if err := json.Unmarshal(data, &in); err != nil {
		return Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Revision <= s.revision {
		return nil
	}
	s.load(in)
	return nil
}

// Restore takes over a snapshot of the log. It implements driver.StateMachine.
func (s *State) Restore(data []byte) error {
	var in stored
	if err := json.Unmarshal(data, &in); err != nil {
		return Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Revision < s.revision {
		return Error.New("snapshot at revision %d is older than revision %d", in.Revision, s.revision)
	}
	s.load(in)
	return nil
}

func (s *State) load(in stored) {
	s.revision = in.Revision
	s.objects = map[declarer.Key]declarer.Object{}
	for _, o := range in.Objects {
		s.objects[o.Key] = o
	}
	s.drains = map[Drain]bool{}
	for _, d := range in.Drains {
		s.drains[d] = true
	}
	s.outcomes, s.order, s.winners = in.Outcomes, in.Order, in.Winners
	s.votes = map[identifier.FailureDomain]PlacementVote{}
	for _, v := range in.Votes {
		s.votes[v.FailureDomain] = v
	}
	if s.winners == nil {
		s.winners = map[identifier.Revision]string{}
	}
	s.history = nil
}

// Snapshot returns the serialized state.
func (s *State) Snapshot() []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := stored{
		Revision: s.revision, Objects: s.sortedObjects(), Drains: s.sortedDrains(),
		Outcomes: s.outcomes, Order: s.order, Winners: s.winners,
	}
	for _, v := range s.votes {
		out.Votes = append(out.Votes, v)
	}
	slices.SortFunc(out.Votes, func(a, b PlacementVote) int { return strings.Compare(string(a.FailureDomain), string(b.FailureDomain)) })
	return encode(out)
}

// ChangesSince returns the changes after revision r. Its second value is false when
// some of them are forgotten, so that only a whole state helps.
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

// Revision returns the present revision.
func (s *State) Revision() identifier.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision
}

// View is a consistent copy of the configuration.
type View struct {
	Revision identifier.Revision
	Objects  []declarer.Object
	Drains   []Drain
}

// View returns a copy of the present configuration, sorted.
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

// IsDrained reports whether d is taken out of service.
func (v View) IsDrained(d Drain) bool { return slices.Contains(v.Drains, d) }

// Services returns the declared services.
func (v View) Services() []declarer.Service { return decode[declarer.Service](v, declarer.KindService) }

// Teams returns the declared teams.
func (v View) Teams() []declarer.Team { return decode[declarer.Team](v, declarer.KindTeam) }

// decode returns every object of a kind. Bodies were checked before they were
// accepted; one that does not decode is left out.
func decode[T any](v View, kind string) []T {
	var all []T
	for _, o := range v.Objects {
		var t T
		if o.Kind == kind && json.Unmarshal(o.Body, &t) == nil {
			all = append(all, t)
		}
	}
	return all
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Only plain data is ever passed here.
		panic(err)
	}
	return b
}
