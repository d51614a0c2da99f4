package driver

import (
	"slices"
	"sync"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// Status describes the state of a voter and its log.
type Status struct {
	Name   string              `json:"name"`
	ID     replicator.NodeID   `json:"id"`
	Role   string              `json:"role"`
	Term   replicator.Term     `json:"term"`
	Leader identifier.VM       `json:"leader"`
	Voters []replicator.NodeID `json:"voters"`
	// PreviousVoters holds the voters before the exchange that is under way.
	PreviousVoters []replicator.NodeID `json:"previous_voters"`
	// CaughtUp holds, on the leader, the learners that have all committed entries.
	CaughtUp []replicator.NodeID `json:"caught_up"`
	// HasBeenVoter is set once this process has been a voter, as far as its log shows.
	HasBeenVoter     bool              `json:"has_been_voter"`
	FirstIndex       replicator.Index  `json:"first"`
	LastIndex        replicator.Index  `json:"last"`
	CommitIndex      replicator.Index  `json:"commit"`
	AppliedIndex     replicator.Index  `json:"applied"`
	Probing          bool              `json:"probing"`
	PendingProposals int               `json:"waiting"`
	LeaderID         replicator.NodeID `json:"leader_id"`
	// CommittedInTerm is set on a leader that has committed an entry of its term.
	// CommitIndex then covers everything that earlier leaders committed.
	CommittedInTerm bool `json:"settled"`
	// DiskRefuses is set while the disk refuses writes and the voter takes no part in the
	// log. It then knows no leader.
	DiskRefuses bool `json:"disk_refuses"`
}

// IsVoter reports whether an id is one of a voter, before or after an exchange that is
// under way.
func (s *Status) IsVoter(id replicator.NodeID) bool {
	return slices.Contains(s.Voters, id) || slices.Contains(s.PreviousVoters, id)
}

// Members returns the voters, before and after an exchange that is under way.
func (s *Status) Members() []replicator.NodeID {
	ids := slices.Concat(s.Voters, s.PreviousVoters)
	slices.Sort(ids)
	return slices.Compact(ids)
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
	if n == nil {
		d.setStatus(Status{Name: d.Name, DiskRefuses: true})
		return
	}
	s := Status{
		Name: d.Name, ID: n.ID, Role: n.Role().String(), Term: n.Term(),
		Leader: VMOf(n.Leader()), LeaderID: n.Leader(), Voters: n.Voters(),
		FirstIndex: n.FirstIndex(), LastIndex: n.LastIndex(), CommitIndex: n.CommitIndex(),
		PreviousVoters: n.PreviousVoters(), HasBeenVoter: n.HasBeenVoter(),
		AppliedIndex: d.appliedIndex, Probing: d.probe != nil, PendingProposals: len(d.pending), CommittedInTerm: n.HasCommittedInTerm(),
	}
	for _, id := range d.learners {
		if n.HasCaughtUp(id) {
			s.CaughtUp = append(s.CaughtUp, id)
		}
	}
	if d.refused != nil {
		s.DiskRefuses, s.Leader, s.LeaderID, s.CommittedInTerm = true, "", "", false
	}
	d.setStatus(s)
}

func (d *Driver) setStatus(s Status) {
	d.status.mu.Lock()
	defer d.status.mu.Unlock()
	d.status.s = s
}
