// Package replicator keeps a log of commands identical on a set of voters.
//
// It is the Raft algorithm as a core without input or output: a caller feeds a
// Node with ticks, messages and proposals, and takes from it an Output that
// says what to store, what to send and what to apply, in that order. One Node
// is one voter of one log; a process runs several logs by running several
// Nodes.
//
// Elections use a pre-vote round, so that a voter that was cut off comes back
// without forcing an election. A leader that hears from no majority during one
// election timeout steps down. Voters are added and removed one at a time
// through the log itself.
package replicator

import "fmt"

// NodeID names one voter together with the disk that holds its promises. A
// voter that lost its disk comes back under another NodeID.
type NodeID string

// Term numbers the reigns of leaders; at most one leader exists per term.
type Term uint64

// Index numbers log entries from 1.
type Index uint64

// EntryKind tells what the data of an entry means.
type EntryKind uint32

// Kinds of entry.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryVoters carries a new set of voters.
	EntryVoters
	// EntryNoOp is written by each new leader to commit earlier terms.
	EntryNoOp
)

// Entry is one place of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// MessageKind tells which step of the protocol a Message belongs to.
type MessageKind uint32

// Kinds of message.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	InstallSnapshot
)

// Message goes from one voter to another.
type Message struct {
	Kind MessageKind
	From NodeID
	To   NodeID
	Term Term
	// Index is the entry before Entries in an Append, the last log entry in a
	// vote request, and the highest matching entry in an AppendReply.
	Index   Index
	LogTerm Term
	Commit  Index
	Reject  bool
	Entries []Entry
	// Snapshot is set on InstallSnapshot.
	Snapshot *Snapshot
}

// Snapshot is the state after applying every entry up to Index.
type Snapshot struct {
	Index  Index
	Term   Term
	Voters []NodeID
	Data   []byte
}

// HardState is the part of a voter's state, besides the log, that has to
// survive a restart.
type HardState struct {
	Term Term
	Vote NodeID
	// Commit is stored only by a Node with KeepCommit.
	Commit Index
}

// Role is what a Node does in its present term.
type Role int

// Roles of a Node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
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

// Output is what the caller has to do after feeding a Node. The order matters:
// State, Snapshot and Entries are stored and synced first, then Messages are
// sent, then Snapshot and Committed are applied.
type Output struct {
	// State is set when it has changed.
	State *HardState
	// Snapshot replaces the whole log when set.
	Snapshot *Snapshot
	// Entries replace whatever the stored log holds from the first one's index
	// on.
	Entries          []Entry
	Messages         []Message
	CommittedEntries []Entry
}

// IsEmpty reports whether there is nothing to do.
func (o Output) IsEmpty() bool {
	return o.State == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.CommittedEntries) == 0
}
