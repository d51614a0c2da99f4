package replicator

import (
	"slices"
	"strings"
)

// voterSeparator cannot occur in a NodeID; settings reject it.
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

// differByOne reports whether one of the sets is the other plus one voter.
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
