package driver

import (
	"sync"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// Status is what a log says of itself.
type Status struct {
	Name             string              `json:"name"`
	ID               replicator.NodeID   `json:"id"`
	Role             string              `json:"role"`
	Term             replicator.Term     `json:"term"`
	Leader           identifier.VM       `json:"leader"`
	Voters           []replicator.NodeID `json:"voters"`
	FirstIndex       replicator.Index    `json:"first"`
	LastIndex        replicator.Index    `json:"last"`
	CommitIndex      replicator.Index    `json:"commit"`
	AppliedIndex     replicator.Index    `json:"applied"`
	Probing          bool                `json:"probing"`
	PendingProposals int                 `json:"waiting"`
	LeaderID         replicator.NodeID   `json:"leader_id"`
	// CommittedInTerm is set on a leader that has committed an entry of its term, so
	// that Commit covers all that earlier leaders acknowledged.
	CommittedInTerm bool `json:"settled"`
}

type statusBox struct {
	mu sync.Mutex
	s  Status
}

// Status returns what the log looked like after its last step.
func (d *Driver) Status() Status {
	d.status.mu.Lock()
	defer d.status.mu.Unlock()
	return d.status.s
}

func (d *Driver) publish() {
	n := d.node
	s := Status{
		Name: d.Name, ID: n.ID, Role: n.Role().String(), Term: n.Term(),
		Leader: VMOf(n.Leader()), LeaderID: n.Leader(), Voters: n.Voters(),
		FirstIndex: n.FirstIndex(), LastIndex: n.LastIndex(), CommitIndex: n.CommitIndex(),
		AppliedIndex: d.applied, Probing: d.probing != nil, PendingProposals: len(d.waiting), CommittedInTerm: n.HasCommittedInTerm(),
	}
	d.status.mu.Lock()
	defer d.status.mu.Unlock()
	d.status.s = s
}
