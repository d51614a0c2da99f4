// Package placer decides which VMs of one failure domain form which replica
// groups.
//
// The package is a pure state machine that does no I/O. The placement authority
// passes in the announcements that entry VMs received from backend servers, the
// declared services and the results of orders; each call of Step returns the
// orders to send now. The placer guarantees that:
//
//   - A group serves only while no member is lost, every member still runs the
//     incarnation that joined, and every member announces the group as its own.
//   - A VM is ordered to join a group only when it announces that it is in no
//     group and no earlier join order can still arrive. Engines that honour
//     fencing tokens reject late orders. For other engines the placer waits for
//     the maximum lifetime of an order and then asks the engine what it runs.
//   - When a group is drained, its members are ordered to leave only after its
//     last request has ended.
package placer

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// KindEngine is the kind of a backend server that runs models. Any other kind
// is the id of the plain service that the backend server runs.
const KindEngine = "engine"

// EngineState is the group membership state that an engine announces.
type EngineState string

// Engine states.
const (
	EngineIdle    EngineState = "idle"
	EngineLoading EngineState = "loading"
	EngineReady   EngineState = "ready"
	EngineLeaving EngineState = "leaving"
)

// Server is an announcement of a backend server.
type Server struct {
	VM                  identifier.VM
	FabricDomain        identifier.FabricDomain
	Accelerators        uint32
	Kind                string
	Incarnation         identifier.Incarnation
	HonoursFencing      bool
	Address             string
	Group               identifier.Group
	GroupFencingToken   identifier.FencingToken
	GroupMembers        []identifier.VM
	State               EngineState
	Model               string
	Version             string
	Adapters            []string
	Concurrency         uint32
	HighestFencingToken identifier.FencingToken
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
}

// ServiceSpec is the declaration of a service for one failure domain.
type ServiceSpec struct {
	Service           identifier.Service
	Plain             bool
	Model             string
	Version           string
	Adapters          []string
	Replicas          int
	VMsPerReplica     int
	AcceleratorsPerVM uint32
	Priority          int
	Concurrency       uint32
	ColdConcurrency   uint32
}

// Action is the operation that an order requests from an engine.
type Action string

// Order actions.
const (
	ActionJoin  Action = "join"
	ActionLeave Action = "leave"
	// ActionCheck reads what the engine runs and changes nothing.
	ActionCheck Action = "check"
)

// Order is a command to an engine.
type Order struct {
	FencingToken    identifier.FencingToken
	VM              identifier.VM
	Address         string
	Incarnation     identifier.Incarnation
	Action          Action
	Group           identifier.Group
	Members         []identifier.VM
	MemberAddresses []string
	Rank            int
	Model           string
	Version         string
	Adapters        []string
}

// OrderResult is the result of an order. Answered is false when no answer
// arrived: the engine may have executed the order already or may still do so.
type OrderResult struct {
	Order     Order
	Responded bool
	Accepted  bool
	Reason    string
}

// GroupState is a state in the life cycle of a group.
type GroupState string

// Group states.
const (
	// GroupForming means that the members have yet to load the model.
	GroupForming GroupState = "forming"
	// GroupServing means that the group accepts requests.
	GroupServing GroupState = "serving"
	// GroupSuspended means that members are lost but may return with the same
	// incarnation and their state intact.
	GroupSuspended GroupState = "suspended"
	// GroupDraining means that the group finishes its running requests before
	// its members leave.
	GroupDraining GroupState = "draining"
	// GroupReleasing means that the group is removed once every member has
	// left, restarted or been lost.
	GroupReleasing GroupState = "releasing"
)

// GroupInfo describes a group to the entry VMs, which route requests by it, and
// to operators.
type GroupInfo struct {
	ID           identifier.Group
	Service      identifier.Service
	FabricDomain identifier.FabricDomain
	Members      []identifier.VM
	Address      string
	State        GroupState
	Reason       string
	FencingToken identifier.FencingToken
	Model        string
	Version      string
	Adapters     []string
	Owner        identifier.VM
	// FirstOwner is true while no entry VM other than Owner has owned the group.
	FirstOwner      bool
	Concurrency     uint32
	ColdConcurrency uint32
	// Incarnation changes when the group resumes after a loss of members, or when
	// the server of a plain service restarts. Entry VMs then ramp the load of the
	// group up from the cold limit again.
	Incarnation identifier.Incarnation
}

// StrandedVM describes an engine VM that is in no serving group.
type StrandedVM struct {
	VM           identifier.VM
	Accelerators uint32
	Reason       string
}

// Policy configures the placer. Zero values are replaced by the defaults.
type Policy struct {
	// MaxOrderLifetime is the longest time after sending at which an order may
	// still arrive.
	MaxOrderLifetime time.Duration
	// LearningPeriod is how long a new authority collects announcements before
	// it sends orders.
	LearningPeriod time.Duration
	// PartialLossGrace is how long a group that has lost some of its members
	// waits for them to return before it releases the others. A replacement may
	// be formed from free VMs before that.
	PartialLossGrace time.Duration
	// TotalLossGrace is the same for a group that has lost all its members.
	TotalLossGrace time.Duration
	// FlapHoldDown is how long a VM that was lost is kept out of new groups after
	// its first return. The time doubles with each loss up to MaxFlapHoldDown.
	FlapHoldDown    time.Duration
	MaxFlapHoldDown time.Duration
	// FlapDecayPeriod is the time after which one earlier loss no longer counts.
	FlapDecayPeriod time.Duration
	// OrderTimeout is how long an engine may take to answer an order.
	OrderTimeout time.Duration
	// LoadTimeout is how long the members of a group may take to become ready.
	LoadTimeout time.Duration
	// MaxLoadingVMs is the number of VMs that may load weights at the same time.
	// The weights store serves a limited number at full speed; more concurrent
	// loads slow all of them down.
	MaxLoadingVMs int
}

// Default policy.
const (
	defaultMaxOrderLifetime = 10 * time.Second
	defaultLearningPeriod   = 5 * time.Second
	defaultPartialLossGrace = 2 * time.Second
	defaultTotalLossGrace   = 10 * time.Minute
	defaultFlapHoldDown     = 10 * time.Second
	defaultMaxFlapHoldDown  = 5 * time.Minute
	defaultFlapDecayPeriod  = 10 * time.Minute
	defaultOrderTimeout     = 5 * time.Second
	defaultLoadTimeout      = 20 * time.Minute
	defaultMaxLoadingVMs    = 16
)

// FillDefaults replaces zero values with the defaults.
func (p *Policy) FillDefaults() {
	for _, f := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&p.MaxOrderLifetime, defaultMaxOrderLifetime},
		{&p.LearningPeriod, defaultLearningPeriod},
		{&p.PartialLossGrace, defaultPartialLossGrace},
		{&p.TotalLossGrace, defaultTotalLossGrace},
		{&p.FlapHoldDown, defaultFlapHoldDown},
		{&p.MaxFlapHoldDown, defaultMaxFlapHoldDown},
		{&p.FlapDecayPeriod, defaultFlapDecayPeriod},
		{&p.OrderTimeout, defaultOrderTimeout},
		{&p.LoadTimeout, defaultLoadTimeout},
	} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	if p.MaxLoadingVMs == 0 {
		p.MaxLoadingVMs = defaultMaxLoadingVMs
	}
}
