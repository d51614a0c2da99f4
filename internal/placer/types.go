// Package placer decides which VMs of one failure domain form which replica
// groups.
//
// It is a core without input or output. The placement authority feeds it with
// what entries heard from backend servers, with the declared services and with
// the answers to orders; each Step returns the orders to send now. The rules
// that it keeps:
//
//   - A group serves only while every member is heard from, runs in the
//     incarnation that joined, and says itself that it is in the group.
//   - A VM gets a join order only when it says that it is in no group and no
//     earlier join order can still reach it. Engines that honour fencing
//     numbers refuse late orders; for the others the placer waits until the
//     longest life of an order has passed and then asks the engine what it runs.
//   - A planned stop sends leave orders only after the last request has ended.
package placer

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// KindEngine is the kind of a backend server that runs models; every other
// kind is the id of a plain service.
const KindEngine = "engine"

// EngineState is what an engine says of its part in a group.
type EngineState string

// Engine states.
const (
	EngineIdle    EngineState = "idle"
	EngineLoading EngineState = "loading"
	EngineReady   EngineState = "ready"
	EngineLeaving EngineState = "leaving"
)

// Server is what a backend server announced.
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
	// Sequence orders what one incarnation said.
	Sequence uint64
}

// ServiceSpec is a declared service as far as one failure domain is concerned.
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

// Action is what an order tells an engine to do.
type Action string

// Actions of orders.
const (
	ActionJoin  Action = "join"
	ActionLeave Action = "leave"
	// ActionCheck asks the engine what it runs and changes nothing.
	ActionCheck Action = "check"
)

// Order is one message to an engine.
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

// OrderResult is the end of an order. Answered is false when no answer came, so that
// the order may have been carried out or may yet be.
type OrderResult struct {
	Order    Order
	Answered bool
	Accepted bool
	Reason   string
}

// GroupState is where a group is in its life.
type GroupState string

// Group states.
const (
	// GroupForming groups wait for their members to load the model.
	GroupForming GroupState = "forming"
	// GroupServing groups take requests.
	GroupServing GroupState = "serving"
	// GroupSuspended groups miss members that may come back as they were.
	GroupSuspended GroupState = "suspended"
	// GroupDraining groups finish their requests before their members leave.
	GroupDraining GroupState = "draining"
	// GroupReleasing groups wait until every member has left or died.
	GroupReleasing GroupState = "releasing"
)

// GroupInfo describes a group for routing and for operators.
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
	// FirstOwner is true while no other entry has owned the group.
	FirstOwner      bool
	Concurrency     uint32
	ColdConcurrency uint32
	// Incarnation changes whenever the group starts anew, so that its load
	// has to be ramped up again.
	Incarnation identifier.Incarnation
}

// StrandedVM describes a VM that works in no group.
type StrandedVM struct {
	VM           identifier.VM
	Accelerators uint32
	Reason       string
}

// Policy holds the placer's choices. Zero values take the defaults.
type Policy struct {
	// MaxOrderLifetime is the longest time for which an order may be under way.
	MaxOrderLifetime time.Duration
	// LearningPeriod is how long a new authority listens before it decides.
	LearningPeriod time.Duration
	// PartialLossGrace is how long a group that misses some members waits for them
	// before it is rebuilt.
	PartialLossGrace time.Duration
	// TotalLossGrace is the same for a group that misses all its members.
	TotalLossGrace time.Duration
	// FlapHoldDown is the first hold of a VM that was lost and came back; it
	// doubles with each loss up to FlapHoldLimit.
	FlapHoldDown    time.Duration
	MaxFlapHoldDown time.Duration
	// FlapDecayPeriod is the time after which one earlier loss is forgotten.
	FlapDecayPeriod time.Duration
	// OrderTimeout is how long members may take to answer a join order.
	OrderTimeout time.Duration
	// LoadTimeout is how long a group may take to become ready.
	LoadTimeout time.Duration
	// MaxLoadingVMs is the number of VMs that may load weights at the same time.
	// The weights store feeds only so many at full speed; loading more at once
	// makes all of them late.
	MaxLoadingVMs int
}

// Default policy.
const (
	defaultOrderLife     = 10 * time.Second
	defaultLearning      = 5 * time.Second
	defaultGrace         = 2 * time.Second
	defaultDarkGrace     = 10 * time.Minute
	defaultFlapHold      = 10 * time.Second
	defaultFlapHoldLimit = 5 * time.Minute
	defaultFlapMemory    = 10 * time.Minute
	defaultJoinBound     = 5 * time.Second
	defaultLoadBound     = 20 * time.Minute
	defaultMaxLoading    = 16
)

// FillDefaults replaces zero values by the defaults.
func (p *Policy) FillDefaults() {
	for _, f := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&p.MaxOrderLifetime, defaultOrderLife},
		{&p.LearningPeriod, defaultLearning},
		{&p.PartialLossGrace, defaultGrace},
		{&p.TotalLossGrace, defaultDarkGrace},
		{&p.FlapHoldDown, defaultFlapHold},
		{&p.MaxFlapHoldDown, defaultFlapHoldLimit},
		{&p.FlapDecayPeriod, defaultFlapMemory},
		{&p.OrderTimeout, defaultJoinBound},
		{&p.LoadTimeout, defaultLoadBound},
	} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	if p.MaxLoadingVMs == 0 {
		p.MaxLoadingVMs = defaultMaxLoading
	}
}
