package replicator

import (
	"errors"
	"math/rand/v2"
	"slices"
)

// Errors that Propose returns. Each means that nothing was appended.
var (
	ErrNotLeader          = errors.New("this voter does not lead the log")
	ErrVoterChangePending = errors.New("another change of voters is not committed yet")
)

// Sizes of one Append message.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
)

// Node is one voter. Exported fields are set before Start and not changed
// afterwards.
type Node struct {
	ID NodeID
	// ElectionTicks is the least number of ticks without a leader before an
	// election; the limit is drawn between it and twice as many.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats.
	HeartbeatTicks int
	// EarlyElectionTicks is how many ticks after Start an election may come early. Until
	// a leader is heard, this Node asks for pre-votes every few ticks, and holds
	// the election if every voter grants one: then none of them knows a leader. 0
	// turns this off.
	EarlyElectionTicks int
	// Rand draws election limits.
	Rand *rand.Rand
	// PersistCommit stores the commit index before entries are handed out, so
	// that a restarted voter knows at once all that it had applied.
	PersistCommit bool

	role   Role
	state  HardState
	leader NodeID
	log    entryLog
	commit Index
	// saved is the last entry known to be synced here.
	saved Index
	// handed is the last committed entry put into an Output.
	handed   Index
	snapshot Snapshot
	// changes lists every set of voters in the log, oldest first.
	changes []voterChange

	elapsed       int
	electionLimit int
	// eagerLeft counts the ticks in which an election may come early, eagerNext
	// those to the next early pre-vote. Eager is set while one is under way.
	eagerLeft int
	eagerNext int
	eager     bool
	votes     map[NodeID]bool
	progress  map[NodeID]*progress
	blank     Index

	out          Output
	stateChanged bool
	unsavedFrom  Index
}

type voterChange struct {
	index  Index
	voters []NodeID
}

// progress is what a leader knows of one other voter.
type progress struct {
	match  Index
	next   Index
	recent bool
	// installing counts the heartbeats left before a snapshot is sent again.
	installing int
}

// PersistedState is what a voter finds on its disk, or the starting voters of a new
// log in Snapshot.Voters.
type PersistedState struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// BootstrapState returns what each of the first voters of a new log begins with: an
// entry that names them. All of them have to name the same voters.
func BootstrapState(voters []NodeID) PersistedState {
	const firstTerm = 1
	return PersistedState{
		State:   HardState{Term: firstTerm},
		Entries: []Entry{{Index: 1, Term: firstTerm, Kind: EntryVoters, Data: encodeVoters(voters)}},
	}
}

// ShortenElectionTimeout brings the next election forward. It is used on a new log, where
// nobody can lead yet.
func (n *Node) ShortenElectionTimeout() { n.electionLimit = 1 + n.Rand.IntN(max(n.ElectionTicks/2, 1)) }

// Start loads what was stored. It is called once, before any other method.
func (n *Node) Start(s PersistedState) {
	n.state = s.State
	n.snapshot = s.Snapshot
	n.log.reset(s.Snapshot.Index, s.Snapshot.Term)
	n.changes = []voterChange{{index: s.Snapshot.Index, voters: s.Snapshot.Voters}}
	n.commit = s.Snapshot.Index
	n.handed = s.Snapshot.Index
	for _, e := range s.Entries {
		n.log.entries = append(n.log.entries, e)
		n.noteVoters(e)
	}
	n.saved = n.log.last()
	n.commit = min(max(n.commit, s.State.Commit), n.log.last())
	n.follow(n.state.Term, "")
	if n.EarlyElectionTicks > 0 {
		n.eagerLeft, n.eagerNext = n.EarlyElectionTicks, n.eagerPause()
	}
}

// eagerMost is the longest pause between two early pre-votes, in ticks: a tick is
// longer than a round trip.
const eagerMost = 3

// eagerPause draws the ticks to the next early pre-vote.
func (n *Node) eagerPause() int { return 1 + n.Rand.IntN(eagerMost) }

// Role returns what this voter does now.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the present term, or an empty id.
func (n *Node) Leader() NodeID { return n.leader }

// Term returns the present term.
func (n *Node) Term() Term { return n.state.Term }

// CommitIndex returns the last entry known to be committed.
func (n *Node) CommitIndex() Index { return n.commit }

// LastIndex returns the last entry of the log, committed or not.
func (n *Node) LastIndex() Index { return n.log.last() }

// FirstIndex returns the first entry that is not covered by the snapshot.
func (n *Node) FirstIndex() Index { return n.log.first() }

// HasCommittedInTerm reports whether this Node leads and has committed an entry of its
// term.
func (n *Node) HasCommittedInTerm() bool { return n.role == Leader && n.commit >= n.blank }

// Voters returns the newest set of voters in the log.
func (n *Node) Voters() []NodeID { return n.changes[len(n.changes)-1].voters }

// Tick tells that one unit of time has passed.
func (n *Node) Tick() {
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.electionLimit && n.isVoter() {
		n.campaign(PreCandidate)
		return
	}
	n.tickEager()
}

// tickEager asks for an early pre-vote when its time has come. The ordinary
// election limit goes on meanwhile.
func (n *Node) tickEager() {
	if n.eagerLeft == 0 || n.role == Candidate {
		return
	}
	n.eagerLeft--
	n.eagerNext--
	// An ordinary pre-vote gets the time for its answers.
	asked := n.role == PreCandidate && !n.eager && n.elapsed < eagerMost
	if n.eagerNext > 0 || asked || !n.isVoter() {
		return
	}
	n.eagerNext = n.eagerPause()
	n.eager = true
	n.askPreVotes()
}

// isVoter reports whether this Node is among the voters.
func (n *Node) isVoter() bool { return slices.Contains(n.Voters(), n.ID) }

func (n *Node) tickLeader() {
	if n.elapsed%n.HeartbeatTicks == 0 {
		n.broadcast(true)
	}
	if n.elapsed < n.ElectionTicks {
		return
	}
	n.elapsed = 0
	heard := 0
	for _, id := range n.Voters() {
		if id == n.ID {
			heard++
			continue
		}
		if p := n.progress[id]; p != nil && p.recent {
			heard++
			p.recent = false
		}
	}
	if heard < majority(len(n.Voters())) {
		n.follow(n.state.Term, "")
	}
}

// Propose appends a command when this Node leads, and returns its index and
// term. The command is committed only if an entry with both comes out of
// Output.CommittedEntries.
func (n *Node) Propose(data []byte) (Index, Term, error) {
	return n.propose(EntryCommand, data)
}

// ProposeVoters appends a new set of voters that differs by one from the
// present one.
func (n *Node) ProposeVoters(voters []NodeID) (Index, Term, error) {
	if n.role == Leader && (n.changes[len(n.changes)-1].index > n.commit || n.commit < n.blank) {
		return 0, 0, ErrVoterChangePending
	}
	if !differByOne(n.Voters(), voters) {
		return 0, 0, errors.New("voters have to change one at a time")
	}
	return n.propose(EntryVoters, encodeVoters(voters))
}

func (n *Node) propose(kind EntryKind, data []byte) (Index, Term, error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	e := Entry{Index: n.log.last() + 1, Term: n.state.Term, Kind: kind, Data: data}
	n.appendEntry(e)
	n.broadcast(false)
	return e.Index, e.Term, nil
}

func (n *Node) appendEntry(e Entry) {
	n.log.entries = append(n.log.entries, e)
	n.markUnsaved(e.Index)
	n.noteVoters(e)
}

func (n *Node) markUnsaved(i Index) {
	if n.unsavedFrom == 0 || i < n.unsavedFrom {
		n.unsavedFrom = i
	}
	if n.saved >= i {
		n.saved = i - 1
	}
}

func (n *Node) noteVoters(e Entry) {
	if e.Kind != EntryVoters {
		return
	}
	voters := decodeVoters(e.Data)
	n.changes = append(n.changes, voterChange{index: e.Index, voters: voters})
	if n.role == Leader {
		n.trackVoters()
	}
}

// trackVoters makes the leader's progress table match the voters.
func (n *Node) trackVoters() {
	for _, id := range n.Voters() {
		if id != n.ID && n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.last() + 1, recent: true}
		}
	}
	for id := range n.progress {
		if !slices.Contains(n.Voters(), id) {
			delete(n.progress, id)
		}
	}
}

// MarkPersisted tells that every entry handed out so far with an index up to i is
// synced here.
func (n *Node) MarkPersisted(i Index) {
	if i > n.saved && i <= n.log.last() {
		n.saved = i
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact replaces the log up to snapshot index i by data, and keeps trailing
// entries for followers that lag a little. It returns the snapshot to store.
func (n *Node) Compact(i Index, data []byte, trailing Index) (Snapshot, bool) {
	t, ok := n.log.term(i)
	if !ok || i > n.handed || i <= n.snapshot.Index {
		return Snapshot{}, false
	}
	n.snapshot = Snapshot{Index: i, Term: t, Voters: n.votersAt(i), Data: data}
	if i > trailing {
		n.log.compact(i - trailing)
	}
	n.dropChangesBefore(n.log.base)
	return n.snapshot, true
}

func (n *Node) votersAt(i Index) []NodeID {
	voters := n.changes[0].voters
	for _, c := range n.changes {
		if c.index <= i {
			voters = c.voters
		}
	}
	return voters
}

// dropChangesBefore keeps the newest set of voters at or before i and all
// later ones.
func (n *Node) dropChangesBefore(i Index) {
	for len(n.changes) > 1 && n.changes[1].index <= i {
		n.changes = n.changes[1:]
	}
}

// TakeOutput returns what has to be done and clears it.
func (n *Node) TakeOutput() Output {
	if n.PersistCommit && n.commit > n.state.Commit {
		n.state.Commit = n.commit
		n.stateChanged = true
	}
	if n.stateChanged {
		s := n.state
		n.out.State = &s
		n.stateChanged = false
	}
	if n.unsavedFrom != 0 {
		n.out.Entries = slices.Clone(n.log.slice(n.unsavedFrom, n.log.last()))
		n.unsavedFrom = 0
	}
	if n.commit > n.handed {
		n.out.CommittedEntries = slices.Clone(n.log.slice(n.handed+1, n.commit))
		n.handed = n.commit
	}
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) send(m Message) {
	m.From = n.ID
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	n.out.Messages = append(n.out.Messages, m)
}

func (n *Node) setState(t Term, vote NodeID) {
	if n.state.Term == t && n.state.Vote == vote {
		return
	}
	n.state.Term, n.state.Vote = t, vote
	n.stateChanged = true
}

// follow makes this Node a follower of leader, which may be unknown, in term t.
func (n *Node) follow(t Term, leader NodeID) {
	if t > n.state.Term {
		n.setState(t, "")
	}
	n.role = Follower
	n.leader = leader
	if leader != "" {
		n.eagerLeft = 0
	}
	n.eager = false
	n.votes = nil
	n.progress = nil
	n.resetElection()
}

func (n *Node) resetElection() {
	n.elapsed = 0
	n.electionLimit = n.ElectionTicks + n.Rand.IntN(n.ElectionTicks)
}

func majority(voters int) int { return voters/2 + 1 }

// EntriesAfter returns the entries after i, committed or not.
func (n *Node) EntriesAfter(i Index) []Entry {
	return slices.Clone(n.log.slice(i+1, n.log.last()))
}
