// Package replicator implements the Raft consensus algorithm, which keeps a log
// of commands identical on a set of voters.
//
// The package does no I/O. The caller passes ticks, messages and proposals to a
// Node and takes an Output from it that lists what to persist, what to send and
// what to apply, in that order. A Node is one voter of one log; a process that
// takes part in several logs runs one Node per log.
//
// Elections start with a pre-vote round, so that a voter that returns from a
// network partition does not force an election. A leader that does not hear
// from a majority within one election timeout steps down. Voters are added, removed and
// exchanged one at a time, by entries of the log itself.
package replicator

import "fmt"

// NodeID identifies a voter together with the disk that holds its term, vote and
// log. A voter that has lost its disk returns with a new NodeID, because it may
// have voted in a term that it no longer remembers.
type NodeID string

// Term is an election term. Each term has at most one leader.
type Term uint64

// Index is the position of an entry in the log, counted from 1.
type Index uint64

// EntryKind determines how the data of an entry is interpreted.
type EntryKind uint32

// Entry kinds.
const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryVoters holds a new set of voters.
	EntryVoters
	// EntryNoOp holds no data. Each new leader appends one, because committing
	// an entry of its own term also commits the entries of earlier terms.
	EntryNoOp
)

// Entry is one entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// MessageKind is the protocol request or reply that a Message carries.
type MessageKind uint32

// Message kinds.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	InstallSnapshot
	// Resignation is the last message of a leader that has stepped down.
	Resignation
)

// Message is sent from one voter to another.
type Message struct {
	Kind MessageKind
	From NodeID
	To   NodeID
	Term Term
	// Index is the index of the entry before Entries in an Append, of the last
	// log entry in a vote request, and of the highest matching entry in an
	// AppendReply. In a rejecting AppendReply it is the highest index at which
	// the two logs may still match. A Resignation rejects all voters but the one that
	// is to hold an election first. LogTerm is the term of the entry at Index,
	// Commit the commit index of a leader.
	Index   Index
	LogTerm Term
	Commit  Index
	Reject  bool
	Entries []Entry
	// Snapshot is set only on an InstallSnapshot.
	Snapshot *Snapshot
}

// Snapshot is the state machine's state after applying every entry up to and
// including Index.
type Snapshot struct {
	Index Index
	Term  Term
	// Voters holds the voters at Index, and marks those that an exchange adds and removes.
	Voters []NodeID
	Data   []byte
}

// HardState is the part of a voter's state, besides the log and the snapshot,
// that must survive a restart.
type HardState struct {
	Term Term
	Vote NodeID
	// Commit is the commit index. It is set only with Node.PersistCommit.
	Commit Index
}

// Role is the role of a Node in its current term.
type Role int

// Node roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case with underscores.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre_candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return fmt.Sprintf("role_%d", int(r))
}

// Output is the work that a Node leaves to its caller. The order matters: State,
// Snapshot and Entries are written and synced first, then Messages are sent,
// then Snapshot and CommittedEntries are applied to the state machine.
type Output struct {
	// State is the hard state to persist; nil if it has not changed.
	State *HardState
	// Snapshot, if set, replaces the whole log and the state machine's state.
	Snapshot *Snapshot
	// Entries are to be persisted. They replace all stored entries from the
	// index of the first one on.
	Entries          []Entry
	Messages         []Message
	CommittedEntries []Entry
}

// IsEmpty reports whether o contains no work.
func (o Output) IsEmpty() bool {
	return o.State == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.CommittedEntries) == 0
}
