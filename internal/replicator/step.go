package replicator

import "slices"

// Step handles a message from another voter. Messages to other ids are ignored.
func (n *Node) Step(m Message) {
	if m.To != n.ID {
		return
	}
	switch m.Kind {
	case PreVote:
		n.handlePreVote(m)
		return
	case Vote:
		if n.hasRecentLeader() && m.Term > n.hardState.Term {
			// A voter that lost contact with the leader must not depose it
			// while others still hear from it.
			return
		}
	case PreVoteReply:
		n.handleVoteReply(m, PreCandidate)
		return
	}
	if m.Term < n.hardState.Term {
		n.rejectOldTerm(m)
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case Vote:
		n.handleVote(m)
	case VoteReply:
		n.handleVoteReply(m, Candidate)
	case Append:
		n.handleAppend(m)
	case AppendReply:
		n.handleAppendReply(m)
	case InstallSnapshot:
		n.handleInstallSnapshot(m)
	case Resignation:
		n.handleResignation(m)
	}
}

// handleResignation lets the voter that is to follow the leader hold an election, once the
// others know too that the leader has stepped down.
func (n *Node) handleResignation(m Message) {
	if n.role != Follower || n.leader != m.From {
		return
	}
	n.leader = ""
	n.resetElectionTimer()
	if !m.Reject {
		n.electionTimeout = 1
	}
}

// rejectOldTerm replies to the leader of an earlier term with the current term,
// so that it steps down. Other messages of earlier terms are ignored.
func (n *Node) rejectOldTerm(m Message) {
	if m.Kind == Append || m.Kind == InstallSnapshot {
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: n.log.lastIndex()})
	}
}

// hasRecentLeader reports whether this Node leads or has heard from a leader
// within the minimum election timeout.
func (n *Node) hasRecentLeader() bool {
	return n.leader != "" && n.elapsedTicks < n.ElectionTicks
}

// campaign starts a pre-vote round as PreCandidate, or an election in a new term
// as Candidate.
func (n *Node) campaign(as Role) {
	n.earlyPreVote = false
	n.resetElectionTimer()
	if as == PreCandidate {
		n.requestPreVotes()
		return
	}
	if n.earlyTicksLeft > 0 {
		// An election that is not decided by then has probably split the votes. The
		// spread keeps the next ones apart.
		n.ticksToEarlyPreVote = maxEarlyPreVoteInterval + n.Rand.IntN(2*maxEarlyPreVoteInterval)
	}
	n.setHardState(n.hardState.Term+1, n.ID)
	n.requestVotes(Candidate, Vote, n.hardState.Term)
}

func (n *Node) requestPreVotes() { n.requestVotes(PreCandidate, PreVote, n.hardState.Term+1) }

func (n *Node) requestVotes(as Role, kind MessageKind, term Term) {
	n.role = as
	n.leader = ""
	n.votes = map[NodeID]bool{n.ID: true}
	n.progress = nil
	if n.hasEnoughVotes() {
		n.advanceElection()
		return
	}
	for _, id := range n.voterSet().members() {
		if id == n.ID {
			continue
		}
		n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
	}
}

func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.hardState.Term && !n.hasRecentLeader() && n.role != Leader &&
		n.log.isUpToDate(m.Index, m.LogTerm)
	term := m.Term
	if !granted {
		term = n.hardState.Term
	}
	n.send(Message{Kind: PreVoteReply, To: m.From, Term: term, Reject: !granted})
}

func (n *Node) handleVote(m Message) {
	mayVote := n.hardState.Vote == "" || n.hardState.Vote == m.From
	granted := mayVote && n.leader == "" && n.log.isUpToDate(m.Index, m.LogTerm)
	if granted {
		n.setHardState(n.hardState.Term, m.From)
		n.resetElectionTimer()
	}
	n.send(Message{Kind: VoteReply, To: m.From, Reject: !granted})
}

func (n *Node) handleVoteReply(m Message, as Role) {
	if as == PreCandidate && m.Reject && m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
		return
	}
	requestedTerm := n.hardState.Term
	if as == PreCandidate {
		requestedTerm++
	}
	if n.role != as || m.Reject || m.Term != requestedTerm {
		return
	}
	if !n.voterSet().contains(m.From) {
		return
	}
	n.votes[m.From] = true
	if n.hasEnoughVotes() {
		n.advanceElection()
	}
}

func (n *Node) hasEnoughVotes() bool {
	set := n.voterSet()
	isMissing := func(id NodeID) bool { return !n.votes[id] && !n.lost[id] }
	mayHold := !n.earlyPreVote || !slices.ContainsFunc(set.members(), isMissing) || n.wouldHaveHeardLeader()
	return mayHold && set.isQuorum(func(id NodeID) bool { return n.votes[id] })
}

func (n *Node) advanceElection() {
	if n.role == PreCandidate {
		n.campaign(Candidate)
		return
	}
	n.role = Leader
	n.leader = n.ID
	n.earlyTicksLeft = 0
	n.elapsedTicks = 0
	n.commitAtHeartbeat = n.commitIndex
	n.progress = map[NodeID]*progress{}
	n.updateProgress()
	n.noOpIndex = n.log.lastIndex() + 1
	n.appendEntry(Entry{Index: n.noOpIndex, Term: n.hardState.Term, Kind: EntryNoOp})
	n.broadcastAppend(true)
}

// broadcastAppend sends each voter and learner the entries that it lacks. With heartbeat
// set, those that lack none get an empty Append.
func (n *Node) broadcastAppend(heartbeat bool) {
	for _, id := range n.followers() {
		if p := n.progress[id]; p != nil {
			n.sendAppend(id, p, heartbeat)
		}
	}
}

func (n *Node) sendAppend(to NodeID, p *progress, heartbeat bool) {
	if p.heartbeatsToResend > 0 {
		if heartbeat {
			p.heartbeatsToResend--
		}
		n.sendHeartbeat(to, p)
		return
	}
	prevTerm, ok := n.log.term(p.nextIndex - 1)
	if !ok {
		n.sendSnapshot(to, p)
		return
	}
	entries := limitAppendSize(n.log.slice(p.nextIndex, p.nextIndex+maxAppendEntries-1))
	if len(entries) == 0 && !heartbeat {
		return
	}
	n.send(Message{
		Kind: Append, To: to, Index: p.nextIndex - 1, LogTerm: prevTerm,
		Commit: n.commitIndex, Entries: slices.Clone(entries),
	})
	p.nextIndex += Index(len(entries))
}

// sendHeartbeat sends an empty Append to a voter that is installing a snapshot,
// so that it does not start an election. The Append refers to the last entry
// that the voter is known to hold and commits nothing after it.
func (n *Node) sendHeartbeat(to NodeID, p *progress) {
	t, ok := n.log.term(p.matchIndex)
	if !ok {
		return
	}
	n.send(Message{Kind: Append, To: to, Index: p.matchIndex, LogTerm: t, Commit: min(n.commitIndex, p.matchIndex)})
}

// snapshotResendHeartbeats is the number of heartbeats after which a snapshot
// that has not been confirmed is sent again.
const snapshotResendHeartbeats = 20

func (n *Node) sendSnapshot(to NodeID, p *progress) {
	s := n.snapshot
	n.send(Message{Kind: InstallSnapshot, To: to, Snapshot: &s})
	p.heartbeatsToResend = snapshotResendHeartbeats
}

func limitAppendSize(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxAppendBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (n *Node) handleAppend(m Message) {
	n.becomeFollower(m.Term, m.From)
	if m.Index < n.commitIndex {
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.commitIndex})
		return
	}
	t, ok := n.log.term(m.Index)
	if !ok || t != m.LogTerm {
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: min(m.Index-1, n.log.lastIndex())})
		return
	}
	for _, e := range m.Entries {
		n.mergeEntry(e)
	}
	last := m.Index + Index(len(m.Entries))
	n.commitIndex = max(n.commitIndex, min(m.Commit, last))
	n.send(Message{Kind: AppendReply, To: m.From, Index: last})
}

// mergeEntry appends e unless the log already holds it. An entry of another term
// at the same index is dropped first, together with all that follow it.
func (n *Node) mergeEntry(e Entry) {
	t, ok := n.log.term(e.Index)
	if ok && t == e.Term {
		return
	}
	if ok {
		n.log.truncateFrom(e.Index)
		for len(n.voterSets) > 1 && n.voterSets[len(n.voterSets)-1].index >= e.Index {
			n.voterSets = n.voterSets[:len(n.voterSets)-1]
		}
	}
	n.appendEntry(e)
}

func (n *Node) handleInstallSnapshot(m Message) {
	n.becomeFollower(m.Term, m.From)
	s := m.Snapshot
	if s == nil || s.Index <= n.commitIndex {
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.commitIndex})
		return
	}
	n.log.reset(s.Index, s.Term)
	n.snapshot = *s
	n.commitIndex, n.deliveredIndex, n.persistedIndex = s.Index, s.Index, s.Index
	n.firstUnpersisted = 0
	n.voterSets = nil
	n.addVoterSet(newVoterSet(s.Index, s.Voters))
	n.output.Snapshot = s
	n.output.CommittedEntries = nil
	n.send(Message{Kind: AppendReply, To: m.From, Index: s.Index})
}

func (n *Node) handleAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	if m.Reject {
		p.heartbeatsToResend = 0
		p.nextIndex = max(p.matchIndex, min(m.Index, n.log.lastIndex())) + 1
		n.sendAppend(m.From, p, true)
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.heartbeatsToResend = 0
		n.advanceCommit()
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.sendAppend(m.From, p, false)
}

// advanceCommit moves the commit index to the newest entry that a quorum has persisted,
// if that entry is of the current term. It completes an exchange of voters that is
// committed. A leader that is no longer a voter steps down once the change that removed
// it is committed.
func (n *Node) advanceCommit() {
	set := n.voterSet()
	i := n.persistedByMajority(set.voters)
	if set.isJoint() {
		i = min(i, n.persistedByMajority(set.previous))
	}
	t, ok := n.log.term(i)
	if i <= n.commitIndex || !ok || t != n.hardState.Term {
		return
	}
	n.commitIndex = i
	n.broadcastAppend(true)
	switch {
	case set.index > n.commitIndex:
	case set.isJoint():
		// It cannot fail on a leader.
		_, _, _ = n.propose(EntryVoters, encodeVoters(set.voters))
	case !set.contains(n.ID):
		n.Resign()
	}
}

// persistedByMajority returns the newest entry that a majority of the voters has
// persisted.
func (n *Node) persistedByMajority(voters []NodeID) Index {
	if len(voters) == 0 {
		return 0
	}
	var persisted []Index
	for _, id := range voters {
		switch p := n.progress[id]; {
		case id == n.ID:
			persisted = append(persisted, n.persistedIndex)
		case p != nil:
			persisted = append(persisted, p.matchIndex)
		default:
			persisted = append(persisted, 0)
		}
	}
	slices.Sort(persisted)
	return persisted[len(persisted)-majority(len(persisted))]
}
