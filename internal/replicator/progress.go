package replicator

import "slices"

// progress is a leader's view of the log of another voter or of a learner.
type progress struct {
	matchIndex     Index
	nextIndex      Index
	recentlyActive bool
	// heartbeatsToResend is the number of heartbeats until a snapshot is sent
	// again; 0 means that no snapshot is being installed.
	heartbeatsToResend int
}

// updateProgress adds new voters and learners to the leader's progress table and
// removes those that are neither any longer.
func (n *Node) updateProgress() {
	followers := n.followers()
	for _, id := range followers {
		if n.progress[id] == nil {
			n.progress[id] = &progress{nextIndex: n.log.lastIndex() + 1, recentlyActive: true}
		}
	}
	for id := range n.progress {
		if !slices.Contains(followers, id) {
			delete(n.progress, id)
		}
	}
}

// followers returns the other voters and the learners.
func (n *Node) followers() []NodeID {
	ids := n.voterSet().members()
	for _, id := range n.learners {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return slices.DeleteFunc(ids, func(id NodeID) bool { return id == n.ID })
}

// SetLearners sets the ids that get the log without being voters while this Node leads,
// so that they can become voters without lagging behind.
func (n *Node) SetLearners(ids []NodeID) {
	n.learners = slices.Clone(ids)
	if n.role == Leader {
		n.updateProgress()
	}
}

// HasCaughtUp reports whether this Node leads and another one holds all entries that were
// committed at the last heartbeat.
func (n *Node) HasCaughtUp(id NodeID) bool {
	p := n.progress[id]
	return n.HasCommittedInTerm() && p != nil && p.matchIndex >= max(n.commitAtHeartbeat, n.noOpIndex)
}
