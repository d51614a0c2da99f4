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
	// EagerTicks is how many ticks after Start an election may come early. Until
	// a leader is heard, this Node asks for pre-votes every few ticks, and holds
	// the election if every voter grants one: then none of them knows a leader. 0
	// turns this off.
	EarlyElectionTicks int
	// Rand draws election limits.
	Rand *rand.Rand
	// KeepCommit stores the commit index before entries are handed out, so
	// that a restarted voter knows at once all that it had applied.
	PersistCommit bool

	role        Role
	hardState   HardState
	leader      NodeID
	log         entryLog
	commitIndex Index
	// saved is the last entry known to be synced here.
	persistedIndex Index
	// handed is the last committed entry put into an Output.
	deliveredIndex Index
	snapshot       Snapshot
	// changes lists every set of voters in the log, oldest first.
	voterSets []voterSet

	elapsedTicks    int
	electionTimeout int
	// eagerLeft counts the ticks in which an election may come early, eagerNext
	// those to the next early pre-vote. Eager is set while one is under way.
	earlyTicksLeft      int
	ticksToEarlyPreVote int
	earlyPreVote        bool
	votes               map[NodeID]bool
	progress            map[NodeID]*progress
	noOpIndex           Index

	output           Output
	hardStateChanged bool
	firstUnpersisted Index
}

type voterSet struct {
	index  Index
	voters []NodeID
}

// progress is what a leader knows of one other voter.
type progress struct {
	matchIndex     Index
	nextIndex      Index
	recentlyActive bool
	// installing counts the heartbeats left before a snapshot is sent again.
	heartbeatsToResend int
}

// Stored is what a voter finds on its disk, or the starting voters of a new
// log in Snapshot.Voters.
type PersistedState struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// NewStored returns what each of the first voters of a new log begins with: an
// entry that names them. All of them have to name the same voters.
func BootstrapState(voters []NodeID) PersistedState {
	const firstTerm = 1
	return PersistedState{
		State:   HardState{Term: firstTerm},
		Entries: []Entry{{Index: 1, Term: firstTerm, Kind: EntryVoters, Data: encodeVoters(voters)}},
	}
}

// Hasten brings the next election forward. It is used on a new log, where
// nobody can lead yet.
func (n *Node) ShortenElectionTimeout() {
	n.electionTimeout = 1 + n.Rand.IntN(max(n.ElectionTicks/2, 1))
}

// Start loads what was stored. It is called once, before any other method.
func (n *Node) Start(s PersistedState) {
	n.hardState = s.State
	n.snapshot = s.Snapshot
	n.log.reset(s.Snapshot.Index, s.Snapshot.Term)
	n.voterSets = []voterSet{{index: s.Snapshot.Index, voters: s.Snapshot.Voters}}
	n.commitIndex = s.Snapshot.Index
	n.deliveredIndex = s.Snapshot.Index
	for _, e := range s.Entries {
		n.log.entries = append(n.log.entries, e)
		n.recordVoterSet(e)
	}
	n.persistedIndex = n.log.lastIndex()
	n.commitIndex = min(max(n.commitIndex, s.State.Commit), n.log.lastIndex())
	n.becomeFollower(n.hardState.Term, "")
	if n.EarlyElectionTicks > 0 {
		n.earlyTicksLeft, n.ticksToEarlyPreVote = n.EarlyElectionTicks, n.drawEarlyPreVoteInterval()
	}
}

// eagerMost is the longest pause between two early pre-votes, in ticks: a tick is
// longer than a round trip.
const maxEarlyPreVoteInterval = 3

// eagerPause draws the ticks to the next early pre-vote.
func (n *Node) drawEarlyPreVoteInterval() int { return 1 + n.Rand.IntN(maxEarlyPreVoteInterval) }

// Role returns what this voter does now.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the present term, or an empty id.
func (n *Node) Leader() NodeID { return n.leader }

// Term returns the present term.
func (n *Node) Term() Term { return n.hardState.Term }

// Commit returns the last entry known to be committed.
func (n *Node) CommitIndex() Index { return n.commitIndex }

// LastIndex returns the last entry of the log, committed or not.
func (n *Node) LastIndex() Index { return n.log.lastIndex() }

// FirstIndex returns the first entry that is not covered by the snapshot.
func (n *Node) FirstIndex() Index { return n.log.firstIndex() }

// Settled reports whether this Node leads and has committed an entry of its
// term.
func (n *Node) HasCommittedInTerm() bool { return n.role == Leader && n.commitIndex >= n.noOpIndex }

// Voters returns the newest set of voters in the log.
func (n *Node) Voters() []NodeID { return n.voterSets[len(n.voterSets)-1].voters }

// Tick tells that one unit of time has passed.
func (n *Node) Tick() {
	n.elapsedTicks++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsedTicks >= n.electionTimeout && n.isVoter() {
		n.campaign(PreCandidate)
		return
	}
	n.tickEarlyElection()
}

// tickEager asks for an early pre-vote when its time has come. The ordinary
// election limit goes on meanwhile.
func (n *Node) tickEarlyElection() {
	if n.earlyTicksLeft == 0 || n.role == Candidate {
		return
	}
	n.earlyTicksLeft--
	n.ticksToEarlyPreVote--
	// An ordinary pre-vote gets the time for its answers.
	asked := n.role == PreCandidate && !n.earlyPreVote && n.elapsedTicks < maxEarlyPreVoteInterval
	if n.ticksToEarlyPreVote > 0 || asked || !n.isVoter() {
		return
	}
	n.ticksToEarlyPreVote = n.drawEarlyPreVoteInterval()
	n.earlyPreVote = true
	n.requestPreVotes()
}

// isVoter reports whether this Node is among the voters.
func (n *Node) isVoter() bool { return slices.Contains(n.Voters(), n.ID) }

func (n *Node) tickLeader() {
	if n.elapsedTicks%n.HeartbeatTicks == 0 {
		n.broadcastAppend(true)
	}
	if n.elapsedTicks < n.ElectionTicks {
		return
	}
	n.elapsedTicks = 0
	heard := 0
	for _, id := range n.Voters() {
		if id == n.ID {
			heard++
			continue
		}
		if p := n.progress[id]; p != nil && p.recentlyActive {
			heard++
			p.recentlyActive = false
		}
	}
	if heard < majority(len(n.Voters())) {
		n.becomeFollower(n.hardState.Term, "")
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
	if n.role == Leader && (n.voterSets[len(n.voterSets)-1].index > n.commitIndex || n.commitIndex < n.noOpIndex) {
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
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	n.appendEntry(e)
	n.broadcastAppend(false)
	return e.Index, e.Term, nil
}

func (n *Node) appendEntry(e Entry) {
	n.log.entries = append(n.log.entries, e)
	n.markUnpersisted(e.Index)
	n.recordVoterSet(e)
}

func (n *Node) markUnpersisted(i Index) {
	if n.firstUnpersisted == 0 || i < n.firstUnpersisted {
		n.firstUnpersisted = i
	}
	if n.persistedIndex >= i {
		n.persistedIndex = i - 1
	}
}

func (n *Node) recordVoterSet(e Entry) {
	if e.Kind != EntryVoters {
		return
	}
	voters := decodeVoters(e.Data)
	n.voterSets = append(n.voterSets, voterSet{index: e.Index, voters: voters})
	if n.role == Leader {
		n.updateProgress()
	}
}

// trackVoters makes the leader's progress table match the voters.
func (n *Node) updateProgress() {
	for _, id := range n.Voters() {
		if id != n.ID && n.progress[id] == nil {
			n.progress[id] = &progress{nextIndex: n.log.lastIndex() + 1, recentlyActive: true}
		}
	}
	for id := range n.progress {
		if !slices.Contains(n.Voters(), id) {
			delete(n.progress, id)
		}
	}
}

// Saved tells that every entry handed out so far with an index up to i is
// synced here.
func (n *Node) MarkPersisted(i Index) {
	if i > n.persistedIndex && i <= n.log.lastIndex() {
		n.persistedIndex = i
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact replaces the log up to snapshot index i by data, and keeps trailing
// entries for followers that lag a little. It returns the snapshot to store.
func (n *Node) Compact(i Index, data []byte, trailing Index) (Snapshot, bool) {
	t, ok := n.log.term(i)
	if !ok || i > n.deliveredIndex || i <= n.snapshot.Index {
		return Snapshot{}, false
	}
	n.snapshot = Snapshot{Index: i, Term: t, Voters: n.votersAt(i), Data: data}
	if i > trailing {
		n.log.compactUpTo(i - trailing)
	}
	n.dropVoterSetsBefore(n.log.baseIndex)
	return n.snapshot, true
}

func (n *Node) votersAt(i Index) []NodeID {
	voters := n.voterSets[0].voters
	for _, c := range n.voterSets {
		if c.index <= i {
			voters = c.voters
		}
	}
	return voters
}

// dropChangesBefore keeps the newest set of voters at or before i and all
// later ones.
func (n *Node) dropVoterSetsBefore(i Index) {
	for len(n.voterSets) > 1 && n.voterSets[1].index <= i {
		n.voterSets = n.voterSets[1:]
	}
}

// Take returns what has to be done and clears it.
func (n *Node) TakeOutput() Output {
	if n.PersistCommit && n.commitIndex > n.hardState.Commit {
		n.hardState.Commit = n.commitIndex
		n.hardStateChanged = true
	}
	if n.hardStateChanged {
		s := n.hardState
		n.output.State = &s
		n.hardStateChanged = false
	}
	if n.firstUnpersisted != 0 {
		n.output.Entries = slices.Clone(n.log.slice(n.firstUnpersisted, n.log.lastIndex()))
		n.firstUnpersisted = 0
	}
	if n.commitIndex > n.deliveredIndex {
		n.output.CommittedEntries = slices.Clone(n.log.slice(n.deliveredIndex+1, n.commitIndex))
		n.deliveredIndex = n.commitIndex
	}
	out := n.output
	n.output = Output{}
	return out
}

func (n *Node) send(m Message) {
	m.From = n.ID
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.output.Messages = append(n.output.Messages, m)
}

func (n *Node) setHardState(t Term, vote NodeID) {
	if n.hardState.Term == t && n.hardState.Vote == vote {
		return
	}
	n.hardState.Term, n.hardState.Vote = t, vote
	n.hardStateChanged = true
}

// follow makes this Node a follower of leader, which may be unknown, in term t.
func (n *Node) becomeFollower(t Term, leader NodeID) {
	if t > n.hardState.Term {
		n.setHardState(t, "")
	}
	n.role = Follower
	n.leader = leader
	if leader != "" {
		n.earlyTicksLeft = 0
	}
	n.earlyPreVote = false
	n.votes = nil
	n.progress = nil
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	n.elapsedTicks = 0
	n.electionTimeout = n.ElectionTicks + n.Rand.IntN(n.ElectionTicks)
}

func majority(voters int) int { return voters/2 + 1 }

// EntriesAfter returns the entries after i, committed or not.
func (n *Node) EntriesAfter(i Index) []Entry {
	return slices.Clone(n.log.slice(i+1, n.log.lastIndex()))
}
