package replicator

import (
	"slices"
	"strings"
)

// voterSeparator separates the ids in the data of an EntryVoters entry. It cannot
// occur in a NodeID, because the settings are checked for it.
const voterSeparator = "\n"

// Marks before the ids of a joint set, of the voter that joins and of the one that
// leaves. Neither occurs in a NodeID.
const (
	joiningMark = "+"
	leavingMark = "!"
)

// voterSet is the set of voters that is in effect from an entry of the log on.
//
// A set that exchanges a voter for another one is joint: decisions need a majority of
// the voters before the exchange and a majority of those after it, so no two decisions
// are taken by voters without a common member. Once the joint set is committed, the
// leader appends the set after the exchange.
type voterSet struct {
	index  Index
	voters []NodeID
	// previous holds the voters before the exchange in a joint set, and nothing in others.
	previous []NodeID
}

func (s voterSet) isJoint() bool { return len(s.previous) > 0 }

// members returns the voters before and after the exchange.
func (s voterSet) members() []NodeID {
	ids := slices.Clone(s.voters)
	for _, id := range s.previous {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s voterSet) contains(id NodeID) bool {
	return slices.Contains(s.voters, id) || slices.Contains(s.previous, id)
}

func (s voterSet) isQuorum(has func(NodeID) bool) bool { return IsQuorum(s.voters, s.previous, has) }

// IsQuorum reports whether the voters for which has returns true may decide: they have
// to be a majority of voters and, if there are any, of the previous voters.
func IsQuorum(voters, previous []NodeID, has func(NodeID) bool) bool {
	return isMajority(voters, has) && (len(previous) == 0 || isMajority(previous, has))
}

func isMajority(voters []NodeID, has func(NodeID) bool) bool {
	count := 0
	for _, id := range voters {
		if has(id) {
			count++
		}
	}
	return count >= majority(len(voters))
}

// encode returns the members, those of a joint set with their marks, as a snapshot holds
// them.
func (s voterSet) encode() []NodeID {
	if !s.isJoint() {
		return s.voters
	}
	var ids []NodeID
	for _, id := range s.members() {
		switch {
		case !slices.Contains(s.previous, id):
			id = joiningMark + id
		case !slices.Contains(s.voters, id):
			id = leavingMark + id
		}
		ids = append(ids, id)
	}
	return ids
}

// newVoterSet returns the set that encode has encoded.
func newVoterSet(i Index, encoded []NodeID) voterSet {
	s := voterSet{index: i}
	isJoint := false
	for _, id := range encoded {
		name, joins := strings.CutPrefix(string(id), joiningMark)
		name, leaves := strings.CutPrefix(name, leavingMark)
		isJoint = isJoint || joins || leaves
		if !leaves {
			s.voters = append(s.voters, NodeID(name))
		}
		if !joins {
			s.previous = append(s.previous, NodeID(name))
		}
	}
	if !isJoint {
		s.previous = nil
	}
	return s
}

func encodeVoters(voters []NodeID) []byte {
	s := make([]string, len(voters))
	for i, v := range voters {
		s[i] = string(v)
	}
	return []byte(strings.Join(s, voterSeparator))
}

func decodeVoters(data []byte) []NodeID {
	if len(data) == 0 {
		return nil
	}
	var voters []NodeID
	for s := range strings.SplitSeq(string(data), voterSeparator) {
		voters = append(voters, NodeID(s))
	}
	return voters
}

// differByOne reports whether one set of voters equals the other plus exactly one
// voter. Sets that differ by more may have majorities without a common voter.
func differByOne(a, b []NodeID) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	if len(a)+1 != len(b) || len(a) == 0 {
		return false
	}
	for _, v := range a {
		if !slices.Contains(b, v) {
			return false
		}
	}
	return true
}

// isExchange reports whether b equals a with one voter exchanged for another one.
func isExchange(a, b []NodeID) bool {
	kept := 0
	for _, v := range b {
		if slices.Contains(a, v) {
			kept++
		}
	}
	return len(a) == len(b) && kept == len(a)-1
}
