package replicator

import "slices"

// Step feeds one message from another voter.
func (n *Node) Step(m Message) {
	if m.To != n.ID {
		return
	}
	switch m.Kind {
	case PreVote:
		n.answerPreVote(m)
		return
	case Vote:
		if n.hasLiveLeader() && m.Term > n.state.Term {
			// A live leader is not unseated by a voter that lost touch.
			return
		}
	case PreVoteReply:
		n.countVote(m, PreCandidate)
		return
	}
	if m.Term < n.state.Term {
		n.answerOldTerm(m)
		return
	}
	if m.Term > n.state.Term {
		n.follow(m.Term, "")
	}
	switch m.Kind {
	case Vote:
		n.answerVote(m)
	case VoteReply:
		n.countVote(m, Candidate)
	case Append:
		n.acceptAppend(m)
	case AppendReply:
		n.noteAppendReply(m)
	case InstallSnapshot:
		n.acceptSnapshot(m)
	}
}

// answerOldTerm tells a leader of an earlier term that its term is over.
func (n *Node) answerOldTerm(m Message) {
	if m.Kind == Append || m.Kind == InstallSnapshot {
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: n.log.last()})
	}
}

// hasLiveLeader reports whether a leader was heard within the least election
// timeout.
func (n *Node) hasLiveLeader() bool {
	return n.leader != "" && n.elapsed < n.ElectionTicks
}

// campaign asks the other voters for a pre-vote or a vote.
func (n *Node) campaign(as Role) {
	n.eager = false
	n.resetElection()
	if as == PreCandidate {
		n.askPreVotes()
		return
	}
	n.setState(n.state.Term+1, n.ID)
	n.askVotes(Candidate, Vote, n.state.Term)
}

func (n *Node) askPreVotes() { n.askVotes(PreCandidate, PreVote, n.state.Term+1) }

func (n *Node) askVotes(as Role, kind MessageKind, term Term) {
	n.role = as
	n.leader = ""
	n.votes = map[NodeID]bool{n.ID: true}
	n.progress = nil
	if n.wonVotes() {
		n.winRound()
		return
	}
	for _, id := range n.Voters() {
		if id == n.ID {
			continue
		}
		n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
	}
}

func (n *Node) answerPreVote(m Message) {
	ok := m.Term > n.state.Term && !n.hasLiveLeader() && n.role != Leader &&
		n.log.upToDate(m.Index, m.LogTerm)
	term := m.Term
	if !ok {
		term = n.state.Term
	}
	n.send(Message{Kind: PreVoteReply, To: m.From, Term: term, Reject: !ok})
}

func (n *Node) answerVote(m Message) {
	free := n.state.Vote == "" || n.state.Vote == m.From
	ok := free && n.leader == "" && n.log.upToDate(m.Index, m.LogTerm)
	if ok {
		n.setState(n.state.Term, m.From)
		n.resetElection()
	}
	n.send(Message{Kind: VoteReply, To: m.From, Reject: !ok})
}

func (n *Node) countVote(m Message, as Role) {
	if as == PreCandidate && m.Reject && m.Term > n.state.Term {
		n.follow(m.Term, "")
		return
	}
	wanted := n.state.Term
	if as == PreCandidate {
		wanted++
	}
	if n.role != as || m.Reject || m.Term != wanted {
		return
	}
	if !slices.Contains(n.Voters(), m.From) {
		return
	}
	n.votes[m.From] = true
	if n.wonVotes() {
		n.winRound()
	}
}

func (n *Node) wonVotes() bool {
	count := 0
	for _, id := range n.Voters() {
		if n.votes[id] {
			count++
		}
	}
	if n.eager {
		return count == len(n.Voters())
	}
	return count >= majority(len(n.Voters()))
}

func (n *Node) winRound() {
	if n.role == PreCandidate {
		n.campaign(Candidate)
		return
	}
	n.role = Leader
	n.leader = n.ID
	n.eagerLeft = 0
	n.elapsed = 0
	n.progress = map[NodeID]*progress{}
	n.trackVoters()
	n.blank = n.log.last() + 1
	n.appendEntry(Entry{Index: n.blank, Term: n.state.Term, Kind: EntryNoOp})
	n.broadcast(true)
}

// broadcast sends to each voter what it lacks; with heartbeat set, also to
// those that lack nothing.
func (n *Node) broadcast(heartbeat bool) {
	for _, id := range n.Voters() {
		if p := n.progress[id]; p != nil {
			n.sendAppend(id, p, heartbeat)
		}
	}
}

func (n *Node) sendAppend(to NodeID, p *progress, heartbeat bool) {
	if p.installing > 0 {
		if heartbeat {
			p.installing--
		}
		n.sendHeartbeat(to, p)
		return
	}
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(to, p)
		return
	}
	entries := limitBytes(n.log.slice(p.next, p.next+maxAppendEntries-1))
	if len(entries) == 0 && !heartbeat {
		return
	}
	n.send(Message{
		Kind: Append, To: to, Index: p.next - 1, LogTerm: prevTerm,
		Commit: n.commit, Entries: slices.Clone(entries),
	})
	p.next += Index(len(entries))
}

// sendHeartbeat keeps a voter that is taking a snapshot from calling an
// election. It claims no more than the voter is known to hold.
func (n *Node) sendHeartbeat(to NodeID, p *progress) {
	t, ok := n.log.term(p.match)
	if !ok {
		return
	}
	n.send(Message{Kind: Append, To: to, Index: p.match, LogTerm: t, Commit: min(n.commit, p.match)})
}

// installHeartbeats is how many heartbeats a snapshot may take before it is
// sent again.
const installHeartbeats = 20

func (n *Node) sendSnapshot(to NodeID, p *progress) {
	s := n.snapshot
	n.send(Message{Kind: InstallSnapshot, To: to, Snapshot: &s})
	p.installing = installHeartbeats
}

func limitBytes(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxAppendBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (n *Node) acceptAppend(m Message) {
	n.follow(m.Term, m.From)
	if m.Index < n.commit {
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.commit})
		return
	}
	t, ok := n.log.term(m.Index)
	if !ok || t != m.LogTerm {
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: min(m.Index-1, n.log.last())})
		return
	}
	for _, e := range m.Entries {
		n.mergeEntry(e)
	}
	last := m.Index + Index(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	n.send(Message{Kind: AppendReply, To: m.From, Index: last})
}

// mergeEntry appends e, dropping a conflicting tail first.
func (n *Node) mergeEntry(e Entry) {
	t, ok := n.log.term(e.Index)
	if ok && t == e.Term {
		return
	}
	if ok {
		n.log.truncate(e.Index)
		for len(n.changes) > 1 && n.changes[len(n.changes)-1].index >= e.Index {
			n.changes = n.changes[:len(n.changes)-1]
		}
	}
	n.appendEntry(e)
}

func (n *Node) acceptSnapshot(m Message) {
	n.follow(m.Term, m.From)
	s := m.Snapshot
	if s == nil || s.Index <= n.commit {
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.commit})
		return
	}
	n.log.reset(s.Index, s.Term)
	n.snapshot = *s
	n.commit, n.handed, n.saved = s.Index, s.Index, s.Index
	n.unsavedFrom = 0
	n.changes = []voterChange{{index: s.Index, voters: s.Voters}}
	n.out.Snapshot = s
	n.out.CommittedEntries = nil
	n.send(Message{Kind: AppendReply, To: m.From, Index: s.Index})
}

func (n *Node) noteAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recent = true
	if m.Reject {
		p.installing = 0
		p.next = max(p.match, min(m.Index, n.log.last())) + 1
		n.sendAppend(m.From, p, true)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.installing = 0
		n.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	n.sendAppend(m.From, p, false)
}

// advanceCommit commits the newest entry of this term that a majority holds.
func (n *Node) advanceCommit() {
	var held []Index
	for _, id := range n.Voters() {
		switch p := n.progress[id]; {
		case id == n.ID:
			held = append(held, n.saved)
		case p != nil:
			held = append(held, p.match)
		default:
			held = append(held, 0)
		}
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	i := held[len(held)-majority(len(held))]
	t, ok := n.log.term(i)
	if i <= n.commit || !ok || t != n.state.Term {
		return
	}
	n.commit = i
	n.broadcast(true)
	if !slices.Contains(n.Voters(), n.ID) && n.commit >= n.changes[len(n.changes)-1].index {
		n.follow(n.state.Term, "")
	}
}
