// Package grouper decides which backend servers form replica groups, for
// engines that take the steps of a group one by one.
//
// Such an engine is told to join a group, and the first member, the head, is
// told to open it; nobody but the Grouper checks that the other members are
// there. It is a core without input or output: each Step compares what backend
// servers announce with the groups that should be, and returns the orders to
// send now. The rules that it keeps:
//
//   - A group is opened only after every member has announced that it is ready
//     in that group and epoch. An epoch is never used for two lists of members.
//   - A backend server joins another group only when the head of its last group
//     is known not to serve and not to stand still.
//   - A group that lost a member is closed at once; one with a member that
//     leaves is closed after its requests have ended.
//   - Loads from the weight store stay within the declared rate.
//
// Orders may be carried out late. Epochs only grow, so a late join order is
// refused by a server that has joined since; a group whose open order may still
// be under way is left by its head before its members are used again.
package grouper

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// Action is what an order tells a backend server to do.
type Action string

// Actions.
const (
	ActionJoin  Action = "join"
	ActionOpen  Action = "open"
	ActionClose Action = "close"
	ActionLeave Action = "leave"
	ActionStage Action = "stage"
	// ActionProbe asks whether the server answers; it changes nothing.
	ActionProbe Action = "probe"
)

// Order is one message to a backend server.
type Order struct {
	Action  Action
	Server  identifier.Server
	Address string
	Group   identifier.Group
	Epoch   uint64
	Model   string
	// Members lists the group's servers in a Join, the head first.
	Members []identifier.Server
	// CutRequests makes a Close end running requests.
	CutRequests bool
	// FencingToken is the fencing number of the process that gives the order.
	FencingToken uint64
	// Reason says why the order is given.
	Reason string
}

// Outcome is the end of an order.
type Outcome int

// Outcomes.
const (
	// OutcomeUnanswered orders may have been carried out or may yet be.
	OutcomeUnanswered Outcome = iota
	// OutcomeAccepted orders have begun.
	OutcomeAccepted
	// OutcomeDone orders have taken effect, or the state was already so.
	OutcomeDone
	// OutcomeUnfit orders do not match the server's state.
	OutcomeUnfit
	// OutcomeFenced orders carried a fencing number or an epoch that was too low.
	OutcomeFenced
	// OutcomeMisdirected orders reached another server.
	OutcomeMisdirected
	// OutcomeAbsent means that nobody listens at the address.
	OutcomeAbsent
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	switch o {
	case OutcomeAccepted:
		return "accepted"
	case OutcomeDone:
		return "done"
	case OutcomeAbsent:
		return "absent"
	case OutcomeUnfit:
		return "unfit"
	case OutcomeFenced:
		return "fenced"
	case OutcomeMisdirected:
		return "misdirected"
	}
	return "unanswered"
}

// Suspicion is what requests have shown of a backend server that may be dead or
// stand still.
type Suspicion struct {
	// SinceLastAnswer is the time since the last answer or event.
	SinceLastAnswer time.Duration
	// FailedConnects counts connections that could not be opened since.
	FailedConnects int
	// StalledRequests counts requests that wait for it.
	StalledRequests int
}

// View is all that a Step goes by.
type View struct {
	Registry   *tracker.Registry
	Catalog    *cataloger.Catalog
	Evacuated  map[identifier.FailureDomain]bool
	Suspicions map[identifier.Server]Suspicion
	// ReportLag is by how much an answer that a front has had may be missing in
	// Doubts.
	ReportLag time.Duration
	// Demand is the engine time asked for in each second, by model.
	Demand map[string]float64
}

// Phase is where a group is in its life.
type Phase string

// Phases.
const (
	// PhaseForming groups wait until every member is ready.
	PhaseForming Phase = "forming"
	// PhaseOpening groups wait for the head to open.
	PhaseOpening Phase = "opening"
	// PhaseServing groups take requests.
	PhaseServing Phase = "serving"
	// PhaseEnding groups wait for the head to stop serving.
	PhaseEnding Phase = "ending"
	// PhaseLeaving groups wait for the head to leave.
	PhaseLeaving Phase = "leaving"
	// PhaseAbandoned groups have a head that nobody has news of. It may be dead or
	// serve behind a cut, so its members leave before they are used again.
	PhaseAbandoned Phase = "abandoned"
)

// GroupInfo describes a group for logs and dumps.
type GroupInfo struct {
	ID      identifier.Group        `json:"id"`
	Epoch   uint64                  `json:"epoch"`
	Model   string                  `json:"model"`
	Fabric  identifier.FabricDomain `json:"fabric_domain"`
	Members []identifier.Server     `json:"members"`
	Phase   Phase                   `json:"phase"`
	Reason  string                  `json:"reason,omitempty"`
}

// Decision is one decision, for the log.
type Decision struct {
	Message string
	Group   GroupInfo
}

// Policy holds the Grouper's choices. Zero values take the defaults.
type Policy struct {
	// LearningPeriod is how long a new holder listens before it takes a group that it
	// does not see whole for short.
	LearningPeriod time.Duration
	// StallTimeout is how long a head with a lost member stands still before it says
	// so itself.
	StallTimeout time.Duration
	// HeartbeatInterval is the time between two announcements of one server.
	HeartbeatInterval time.Duration
}

// Defaults of Policy and bounds that depend on no deployment.
const (
	defaultLearning = 3 * time.Second
	defaultStall    = 6 * time.Second
	defaultBeat     = 1200 * time.Millisecond
	// orderRetry is the pause before an order without the wanted effect is sent
	// again: about a round trip, a step of the engine and the announcement.
	orderRetry = 400 * time.Millisecond
	// orderLife is the longest time for which an unanswered order may be carried
	// out late; the platform's pages give 12 s.
	orderLife = 13 * time.Second
	// endPatience is how long running requests may hold up a planned end; the
	// platform's pages give 10 s for a member that drains.
	endPatience = 8 * time.Second
	// formSlack is added to the longest time that forming a group should take.
	formSlack = 5 * time.Second
	// holdAfterFailure keeps a server out of new groups after it failed to join.
	holdAfterFailure = 4 * time.Second
	// stallEvidence is how long no request at a head must have moved at least
	// before its group counts as standing still: several passes of the engine. It
	// is longer where the longest pass, the lag of the reports and stallSlack for
	// the network take longer.
	stallEvidence = 450 * time.Millisecond
	stallSlack    = 40 * time.Millisecond
	// stalledRequests is the least number of requests that must stand still for
	// that long; a single one counts lonelyExtra later.
	stalledRequests = 2
	lonelyExtra     = 350 * time.Millisecond
	// unreachableTries is the least number of failed connections that, with
	// silence, count as the death of a head.
	unreachableTries = 2
	// arrivalPause is how long no new server must have announced itself at a first
	// start before groups are planned, and arrivalBeats bounds the wait, in
	// heartbeats.
	arrivalPause = 400 * time.Millisecond
	arrivalBeats = 3
	// loadWindow is the span over which loads from the store are counted.
	loadWindow = 5 * time.Second
	// silentHead is how long a head that nobody has news of is waited for.
	silentHead = 8 * time.Second
	// unreachableQuiet is how long no front must have had an answer of a silent
	// head that cannot be reached.
	unreachableQuiet = 2500 * time.Millisecond
	// endedMemory is how long an ended group that nobody announces is remembered:
	// longer than an order may be carried out late.
	endedMemory = orderLife
	// sameOrderPause is the pause before the same order is sent again after it
	// was accepted: its effect is announced meanwhile.
	sameOrderPause = 1500 * time.Millisecond
)

func (p *Policy) fill() {
	if p.LearningPeriod == 0 {
		p.LearningPeriod = defaultLearning
	}
	if p.StallTimeout == 0 {
		p.StallTimeout = defaultStall
	}
	if p.HeartbeatInterval == 0 {
		p.HeartbeatInterval = defaultBeat
	}
}
