package replicator

import (
	"slices"
	"strings"
)

// voterSeparator separates the ids in the data of an EntryVoters entry. It cannot
// occur in a NodeID, because the settings are checked for it.
const voterSeparator = "\n"

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
