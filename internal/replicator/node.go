package replicator

import (
	"errors"
	"math/rand/v2"
	"slices"
)

// Errors of Propose and ProposeVoters. After each of them nothing was appended.
var (
	ErrNotLeader          = errors.New("this voter does not lead the log")
	ErrVoterChangePending = errors.New("another change of voters is not committed yet")
)

// Limits of the entries in one Append message. An entry that is larger than
// maxAppendBytes is sent alone.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
)

// Node is one voter of one log. Exported fields are set before Start and not
// changed afterwards. A Node is not safe for concurrent use.
type Node struct {
	ID NodeID
	// ElectionTicks is the minimum election timeout in ticks. Each timeout is
	// drawn at random between it and twice as many ticks.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats in ticks.
	HeartbeatTicks int
	// EarlyElectionTicks is the number of ticks after Start in which an election
	// may be held before the election timeout. During these ticks, until it hears
	// from a leader, the Node requests pre-votes every few ticks. It holds an
	// election if every voter that is not known to be lost grants its pre-vote, since
	// then no voter knows a leader. Once a heartbeat of a live leader would have
	// arrived, a majority is enough. 0 disables early elections.
	EarlyElectionTicks int
	// Rand draws election timeouts and the intervals between early pre-votes.
	Rand *rand.Rand
	// PersistCommit persists the commit index before committed entries are put
	// into an Output, so that a restarted voter can immediately apply again
	// everything that it had applied before.
	PersistCommit bool

	role        Role
	hardState   HardState
	leader      NodeID
	log         entryLog
	commitIndex Index
	// persistedIndex is the last entry known to be synced to this voter's disk.
	persistedIndex Index
	// deliveredIndex is the last committed entry that was put into an Output.
	deliveredIndex Index
	snapshot       Snapshot
	// voterSets holds every set of voters in the log, oldest first. The first one
	// is in effect at the start of the log.
	voterSets []voterSet
	// hasBeenVoter is set once this Node was in one of them.
	hasBeenVoter bool

	elapsedTicks    int
	electionTimeout int
	// earlyTicksLeft is the number of EarlyElectionTicks that remain,
	// ticksToEarlyPreVote the number of ticks until the next early pre-vote. earlyPreVote is set during
	// an early pre-vote round.
	earlyTicksLeft      int
	ticksToEarlyPreVote int
	earlyPreVote        bool
	// lost holds the voters that will never run again.
	lost      map[NodeID]bool
	votes     map[NodeID]bool
	progress  map[NodeID]*progress
	noOpIndex Index
	// learners get the log from this Node while it leads, without being voters.
	learners []NodeID
	// commitAtHeartbeat is the commit index at the leader's last heartbeat.
	commitAtHeartbeat Index

	output           Output
	hardStateChanged bool
	firstUnpersisted Index
}

// PersistedState is the state that a voter reads from its disk. In a new log it
// may hold just the initial voters, in Snapshot.Voters.
type PersistedState struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// BootstrapState returns the state in which each initial voter of a new log
// starts: one entry that holds the initial voters. They must be the same on all
// of them.
func BootstrapState(voters []NodeID) PersistedState {
	const firstTerm = 1
	return PersistedState{
		State:   HardState{Term: firstTerm},
		Entries: []Entry{{Index: 1, Term: firstTerm, Kind: EntryVoters, Data: encodeVoters(voters)}},
	}
}

// ShortenElectionTimeout shortens the current election timeout to at most half
// of ElectionTicks. It is meant for a new log, which cannot have a leader yet.
func (n *Node) ShortenElectionTimeout() {
	n.electionTimeout = 1 + n.Rand.IntN(max(n.ElectionTicks/2, 1))
}

// Start loads the persisted state. It must be called before any other method.
func (n *Node) Start(s PersistedState) {
	n.hardState = s.State
	n.snapshot = s.Snapshot
	n.log.reset(s.Snapshot.Index, s.Snapshot.Term)
	n.voterSets, n.hasBeenVoter = nil, false
	n.addVoterSet(newVoterSet(s.Snapshot.Index, s.Snapshot.Voters))
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

// maxEarlyPreVoteInterval is the longest interval between two early pre-votes, in
// ticks. A tick is longer than a round trip, so replies arrive in between.
const maxEarlyPreVoteInterval = 3

// heartbeatSlackTicks is how much longer than a heartbeat interval it may take until a
// voter that has just started hears from a live leader, which has to connect to it.
const heartbeatSlackTicks = 2

// wouldHaveHeardLeader reports whether a live leader's heartbeat would have arrived
// since the start.
func (n *Node) wouldHaveHeardLeader() bool {
	return n.EarlyElectionTicks-n.earlyTicksLeft > n.HeartbeatTicks+heartbeatSlackTicks
}

// drawEarlyPreVoteInterval draws the ticks until the next early pre-vote.
func (n *Node) drawEarlyPreVoteInterval() int { return 1 + n.Rand.IntN(maxEarlyPreVoteInterval) }

// MarkLost records that a voter will never run again, since its disk is gone. Early
// elections do not wait for its pre-vote. They still need a majority of all voters.
func (n *Node) MarkLost(id NodeID) {
	if n.lost == nil {
		n.lost = map[NodeID]bool{}
	}
	n.lost[id] = true
}

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, or an empty id if unknown.
func (n *Node) Leader() NodeID { return n.leader }

// Term returns the current term.
func (n *Node) Term() Term { return n.hardState.Term }

// CommitIndex returns the index of the last entry known to be committed.
func (n *Node) CommitIndex() Index { return n.commitIndex }

// LastIndex returns the index of the last entry of the log, committed or not.
func (n *Node) LastIndex() Index { return n.log.lastIndex() }

// FirstIndex returns the index of the first entry that has not been compacted.
func (n *Node) FirstIndex() Index { return n.log.firstIndex() }

// HasCommittedInTerm reports whether this Node leads and has committed an entry
// of its term. Its commit index then covers everything that earlier leaders
// committed.
func (n *Node) HasCommittedInTerm() bool { return n.role == Leader && n.commitIndex >= n.noOpIndex }

// Voters returns the newest set of voters in the log, committed or not. While an
// exchange is under way these are the voters after it.
func (n *Node) Voters() []NodeID { return n.voterSet().voters }

// PreviousVoters returns the voters before the exchange that is under way, or nothing.
func (n *Node) PreviousVoters() []NodeID { return n.voterSet().previous }

func (n *Node) voterSet() voterSet { return n.voterSets[len(n.voterSets)-1] }

// HasBeenVoter reports whether this Node was in a set of voters since Start, or in one that
// its log held then.
func (n *Node) HasBeenVoter() bool { return n.hasBeenVoter }

// addVoterSet records a set of voters that an entry or a snapshot holds.
func (n *Node) addVoterSet(s voterSet) {
	n.voterSets = append(n.voterSets, s)
	n.hasBeenVoter = n.hasBeenVoter || s.contains(n.ID)
}

// Tick advances the Node's clock by one tick.
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

// tickEarlyElection requests early pre-votes when they are due. The election
// timeout keeps running meanwhile.
func (n *Node) tickEarlyElection() {
	if n.earlyTicksLeft == 0 {
		return
	}
	n.earlyTicksLeft--
	n.ticksToEarlyPreVote--
	// A regular pre-vote round is not interrupted before its replies can arrive.
	preVotePending := n.role == PreCandidate && !n.earlyPreVote && n.elapsedTicks < maxEarlyPreVoteInterval
	if n.ticksToEarlyPreVote > 0 || preVotePending || !n.isVoter() {
		return
	}
	n.ticksToEarlyPreVote = n.drawEarlyPreVoteInterval()
	n.earlyPreVote = true
	n.requestPreVotes()
}

// isVoter reports whether this Node is among the voters.
func (n *Node) isVoter() bool { return n.voterSet().contains(n.ID) }

func (n *Node) tickLeader() {
	if n.elapsedTicks%n.HeartbeatTicks == 0 {
		n.commitAtHeartbeat = n.commitIndex
		n.broadcastAppend(true)
	}
	if n.elapsedTicks < n.ElectionTicks {
		return
	}
	n.elapsedTicks = 0
	isActive := func(id NodeID) bool {
		p := n.progress[id]
		return id == n.ID || p != nil && p.recentlyActive
	}
	if !n.voterSet().isQuorum(isActive) {
		n.becomeFollower(n.hardState.Term, "")
		return
	}
	for _, p := range n.progress {
		p.recentlyActive = false
	}
}

// Propose appends a command if this Node leads, and returns the index and term of
// its entry. The command is committed once an entry with this index and term is
// in Output.CommittedEntries; an entry with another term means that it is lost.
func (n *Node) Propose(data []byte) (Index, Term, error) {
	return n.propose(EntryCommand, data)
}

// ProposeVoters appends a new set of voters, which must have one voter more or less
// than the current one, or another one in place of one. It takes effect as soon as it is
// appended; an exchange is complete once the set after it is committed too.
func (n *Node) ProposeVoters(voters []NodeID) (Index, Term, error) {
	if n.role == Leader && (n.voterSets[len(n.voterSets)-1].index > n.commitIndex || n.commitIndex < n.noOpIndex) {
		return 0, 0, ErrVoterChangePending
	}
	switch current := n.voterSet(); {
	case current.isJoint():
		return 0, 0, ErrVoterChangePending
	case differByOne(current.voters, voters):
		return n.propose(EntryVoters, encodeVoters(voters))
	case isExchange(current.voters, voters):
		return n.propose(EntryVoters, encodeVoters(voterSet{voters: voters, previous: current.voters}.encode()))
	}
	return 0, 0, errors.New("voters have to change one at a time")
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
	n.addVoterSet(newVoterSet(e.Index, decodeVoters(e.Data)))
	if n.role == Leader {
		n.updateProgress()
	}
}

// MarkPersisted tells the Node that the entries of its Outputs up to index i are
// synced to this voter's disk.
func (n *Node) MarkPersisted(i Index) {
	if i > n.persistedIndex && i <= n.log.lastIndex() {
		n.persistedIndex = i
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact makes data, the state machine's state at index i, the snapshot. It drops
// the entries up to i except the last trailing ones, which are kept for followers
// that lag slightly. It returns the snapshot to persist, or false if entry i has
// not been put into an Output or a snapshot covers it already.
func (n *Node) Compact(i Index, data []byte, trailing Index) (Snapshot, bool) {
	t, ok := n.log.term(i)
	if !ok || i > n.deliveredIndex || i <= n.snapshot.Index {
		return Snapshot{}, false
	}
	n.snapshot = Snapshot{Index: i, Term: t, Voters: n.votersAt(i).encode(), Data: data}
	if i > trailing {
		n.log.compactUpTo(i - trailing)
	}
	n.dropVoterSetsBefore(n.log.baseIndex)
	return n.snapshot, true
}

func (n *Node) votersAt(i Index) voterSet {
	set := n.voterSets[0]
	for _, s := range n.voterSets {
		if s.index <= i {
			set = s
		}
	}
	return set
}

// dropVoterSetsBefore drops all sets of voters that are older than the one in
// effect at entry i.
func (n *Node) dropVoterSetsBefore(i Index) {
	for len(n.voterSets) > 1 && n.voterSets[1].index <= i {
		n.voterSets = n.voterSets[1:]
	}
}

// TakeOutput returns the pending output and clears it.
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

// becomeFollower makes this Node a follower in term t. The leader is empty if it
// is not known.
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

// StepDown makes a leader or candidate a follower that knows no leader.
func (n *Node) StepDown() {
	if n.role != Follower {
		n.becomeFollower(n.hardState.Term, "")
	}
}

// Resign makes a leader a follower, as StepDown does, and tells the other voters not to wait
// for it. The voter with the newest log holds an election first.
func (n *Node) Resign() {
	if n.role != Leader {
		return
	}
	next := n.ID
	for _, id := range n.Voters() {
		p := n.progress[id]
		if p != nil && (next == n.ID || p.matchIndex > n.progress[next].matchIndex) {
			next = id
		}
	}
	for _, id := range n.voterSet().members() {
		if id != n.ID {
			n.send(Message{Kind: Resignation, To: id, Reject: id != next})
		}
	}
	n.becomeFollower(n.hardState.Term, "")
}

func (n *Node) resetElectionTimer() {
	n.elapsedTicks = 0
	n.electionTimeout = n.ElectionTicks + n.Rand.IntN(n.ElectionTicks)
}

func majority(voters int) int { return voters/2 + 1 }

// EntriesAfter returns the entries after index i, committed or not.
func (n *Node) EntriesAfter(i Index) []Entry {
	return slices.Clone(n.log.slice(i+1, n.log.lastIndex()))
}
