// Package grouper decides which backend servers form replica groups, for engines
// that need a separate order for each step in the lifecycle of a group.
//
// Such an engine is ordered to join a group, and the first member, the head, is
// ordered to open it. The head takes the group's requests; only the Grouper checks
// that the other members have joined. The package does no I/O and reads no clock:
// each Step plans groups for the demand of callers, compares them with what backend
// servers announce, and returns the orders to send now. It keeps these rules:
//
//   - A group is opened only after every member has announced that it is ready
//     in that group and epoch. An epoch is never used for two lists of members.
//   - A backend server joins another group only after it has left its last one, or
//     after the head of that group is known to have stopped serving.
//   - A group that lost a member is closed at once; one with a member that
//     leaves is closed after its requests have ended.
//   - Loads of weights from the weight store stay within the declared rate.
//
// Servers may execute an order long after it was sent. Epochs only grow, so a
// server refuses a late join order once it has joined a later group. If the open
// order of an ended group may still be executed, the head leaves the group before
// its members are used again.
//
// A load copies the weights of a model from the weight store to the host of a
// server. A server whose host has the weights is called staged.
package grouper

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// Action is what an order tells a backend server to do.
type Action string

// Actions. ActionJoin makes a server a member of a group, and load its model.
// ActionOpen makes the head take requests, and ActionClose makes it stop, although
// it stays a member. ActionLeave ends the server's membership. ActionStage copies
// weights from the weight store to the server's host.
const (
	ActionJoin  Action = "join"
	ActionOpen  Action = "open"
	ActionClose Action = "close"
	ActionLeave Action = "leave"
	ActionStage Action = "stage"
	// ActionProbe asks whether the server responds; it changes nothing.
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
	// Members lists the group's servers in a join order, the head first.
	Members []identifier.Server
	// CutRequests makes a close order cut off running requests instead of waiting
	// for their end.
	CutRequests bool
	// FencingToken is the fencing token of the process that gives the order.
	// Servers refuse orders with a lower one than they have seen.
	FencingToken uint64
	// Reason says why the order is given, for the log.
	Reason string
}

// Outcome is the result of sending an order.
type Outcome int

// Outcomes.
const (
	// OutcomeUnanswered orders got no response, or one that does not tell the
	// result, so they may have been executed or may yet be.
	OutcomeUnanswered Outcome = iota
	// OutcomeAccepted orders are being executed.
	OutcomeAccepted
	// OutcomeDone orders have taken effect, or the server was already in the state
	// that they ask for.
	OutcomeDone
	// OutcomeUnfit orders do not match the server's state or cannot be encoded.
	OutcomeUnfit
	// OutcomeFenced orders carried a fencing token or an epoch that was too low.
	OutcomeFenced
	// OutcomeMisdirected orders reached another server.
	OutcomeMisdirected
	// OutcomeAbsent means that no process listens at the address.
	OutcomeAbsent
	// OutcomeUnreachable means that no connection to the address could be opened in time.
	// A VM whose process only stands still accepts connections.
	OutcomeUnreachable
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	switch o {
	case OutcomeAccepted:
		return "accepted"
	case OutcomeDone:
		return "done"
	case OutcomeUnreachable:
		return "unreachable"
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

// Reply is a backend server's reply to an order, or what became of the order without
// one.
type Reply struct {
	Outcome Outcome
	// Slowdown is how many times longer than declared the server's steps take, as the
	// reply to a probe states. It is 0 if the reply does not state it.
	Slowdown float64
	// HasNoOrders is set if the reply to a probe states that the server has accepted no order since its start.
	HasNoOrders bool
}

// Suspicion is what the requests of the front processes show about a backend server
// that may be dead or stalled.
type Suspicion struct {
	// SinceLastResponse is the time since a front process last received anything from
	// the server: a response or an event of one.
	SinceLastResponse time.Duration
	// ConnectFailures counts connections that could not be opened in that time.
	ConnectFailures int
	// StalledRequests counts requests that wait for the server without progress.
	StalledRequests int
}

// View is the input of one Step.
type View struct {
	Registry   *tracker.Registry
	Catalog    *cataloger.Catalog
	Evacuated  map[identifier.FailureDomain]bool
	Suspicions map[identifier.Server]Suspicion
	// ReportLag is the longest delay until a response that a front process received
	// shows in Suspicions.
	ReportLag time.Duration
	// Demand is the engine time, in seconds, that callers ask for in each second,
	// by model. It is empty while they ask for nothing.
	Demand map[string]float64
}

// Phase is a stage in the lifecycle of a group.
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
	// PhaseLeaving groups wait for the head to leave, because an earlier open order
	// may still be executed.
	PhaseLeaving Phase = "leaving"
	// PhaseAbandoned groups have a head that is silent or does not respond. It may be
	// dead or serve behind a network partition, so the other members leave the group
	// before they are used again.
	PhaseAbandoned Phase = "abandoned"
)

// GroupInfo describes a group for logs and state dumps.
type GroupInfo struct {
	ID      identifier.Group        `json:"id"`
	Epoch   uint64                  `json:"epoch"`
	Model   string                  `json:"model"`
	Fabric  identifier.FabricDomain `json:"fabric_domain"`
	Members []identifier.Server     `json:"members"`
	Phase   Phase                   `json:"phase"`
	Reason  string                  `json:"reason,omitempty"`
}

// Decision is one decision about a group, for the log.
type Decision struct {
	Message string
	Group   GroupInfo
}

// Policy holds the settings of a deployment. Zero values mean the defaults.
type Policy struct {
	// LearningPeriod is how long a new holder of the placement authority collects
	// announcements before it plans groups, and before it assumes that members of a
	// group that have not announced themselves are missing.
	LearningPeriod time.Duration
	// HeartbeatInterval is the time between two heartbeats of one server.
	HeartbeatInterval time.Duration
}

// Defaults of Policy, and bounds that are the same in every deployment.
const (
	defaultLearningPeriod    = 3 * time.Second
	defaultHeartbeatInterval = 1200 * time.Millisecond
	// orderRetryDelay is the delay before another order is sent to a server whose
	// last one failed or got no response: about a round trip, a step of the engine
	// and the announcement.
	orderRetryDelay = 400 * time.Millisecond
	// maxOrderDelay is how long after it was sent an order whose outcome was
	// OutcomeUnanswered may still be executed. The platform documentation states 12 s.
	maxOrderDelay = 13 * time.Second
	// minDrainTimeout is how long the planned end of a group waits for running requests
	// at least. Requests of a route that the catalog no longer has may still run.
	minDrainTimeout = 8 * time.Second
	// maxStepInterval is the time between two steps above which this process is taken to
	// have stood still, and to have missed heartbeats and reports.
	maxStepInterval = 500 * time.Millisecond
	// formationSlack is added to the expected time of a load or of forming a group
	// before it counts as failed.
	formationSlack = 5 * time.Second
	// failureBackoff is how long a server is excluded from new groups after a join
	// or stage order failed.
	failureBackoff = 4 * time.Second
	// minStallTime is the least time without progress of any request at a head
	// before its group may be stalled: several passes of the engine. The bound is
	// higher where the longest pass, the lag of the reports and networkSlack for the
	// network together take longer.
	minStallTime = 450 * time.Millisecond
	networkSlack = 40 * time.Millisecond
	// maxHeadSilence is how long a head may send nothing for its requests before they
	// are cut off although all members respond. The platform documentation states that
	// a group at a standstill is broken after 6 s.
	maxHeadSilence = 6 * time.Second
	// minConnectFailures is the number of connections that could not be opened from
	// which on a silent head counts as unreachable.
	minConnectFailures = 2
	// At the first start, groups are planned only after no new server has announced
	// itself for arrivalQuietPeriod, or after maxArrivalHeartbeats heartbeat
	// intervals at the latest.
	arrivalQuietPeriod   = 400 * time.Millisecond
	maxArrivalHeartbeats = 3
	// loadRateWindow is the period over which the rate of loads is measured.
	loadRateWindow = 5 * time.Second
	// silentHeadTimeout is how long the Grouper waits for a silent head. It also
	// bounds how long a failed probe counts, and how often a server is probed.
	silentHeadTimeout = 8 * time.Second
	// unreachableHeadTimeout is how long a silent, unreachable head must have sent no
	// response to any front process before its group is abandoned.
	unreachableHeadTimeout = 2500 * time.Millisecond
	// endedGroupRetention is how long an ended group that no server announces is
	// remembered: at least as long as an order may still be executed.
	endedGroupRetention = maxOrderDelay
	// acceptedOrderRetryDelay is the delay before an accepted order is sent again, in
	// which the server should announce its effect.
	acceptedOrderRetryDelay = 1500 * time.Millisecond
)

func (p *Policy) fillDefaults() {
	if p.LearningPeriod == 0 {
		p.LearningPeriod = defaultLearningPeriod
	}
	if p.HeartbeatInterval == 0 {
		p.HeartbeatInterval = defaultHeartbeatInterval
	}
}
