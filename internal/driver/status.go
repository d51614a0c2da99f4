package driver

import (
	"sync"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// Status describes the state of a voter and its log.
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
	// CommittedInTerm is set on a leader that has committed an entry of its term.
	// CommitIndex then covers everything that earlier leaders committed.
	CommittedInTerm bool `json:"settled"`
}

type lockedStatus struct {
	mu sync.Mutex
	s  Status
}

// Status returns the status after the last processed output.
func (d *Driver) Status() Status {
	d.status.mu.Lock()
	defer d.status.mu.Unlock()
	return d.status.s
}

func (d *Driver) publishStatus() {
	n := d.node
	s := Status{
		Name: d.Name, ID: n.ID, Role: n.Role().String(), Term: n.Term(),
		Leader: VMOf(n.Leader()), LeaderID: n.Leader(), Voters: n.Voters(),
		FirstIndex: n.FirstIndex(), LastIndex: n.LastIndex(), CommitIndex: n.CommitIndex(),
		AppliedIndex: d.appliedIndex, Probing: d.probe != nil, PendingProposals: len(d.pending), CommittedInTerm: n.HasCommittedInTerm(),
	}
	d.status.mu.Lock()
	defer d.status.mu.Unlock()
	d.status.s = s
}
