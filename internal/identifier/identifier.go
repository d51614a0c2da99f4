// Package identifier defines the types of the ids and sequence numbers that trefoilhead's
// processes exchange. Each kind of id has its own type, so that the compiler rejects one
// that is used in place of another.
package identifier

import (
	"fmt"
	"strings"
)

// VM is the id of a virtual machine: an entry VM or a backend server's VM.
type VM string

// FailureDomain is the id of a set of VMs that fail or are cut off together.
type FailureDomain string

// FabricDomain is the id of a set of VMs that share a fast interconnect.
type FabricDomain string

// Region is the id of a set of failure domains near each other.
type Region string

// Server is the id of one backend server. The server may keep its id when it restarts.
type Server string

// Service is the id of a declared model service or plain service.
type Service string

// Team is the id of a group of callers that share limits.
type Team string

// PromptPart is the id of a part of a prompt. Requests whose prompts have a part in common
// name it by the same id.
type PromptPart string

// RequestDigest is a name for the content of a request, from which the content cannot be told.
// Requests with the same content have the same.
type RequestDigest string

// shortDigest is the length of a digest in logs.
const shortDigest = 16

// Short returns the beginning of the digest, for logs.
func (d RequestDigest) Short() string { return string(d[:min(len(d), shortDigest)]) }

// Group is the id of a replica group.
type Group string

// Revision is the number of an accepted configuration change, counted from 1.
type Revision uint64

// Incarnation identifies one run of a process. It is higher after each start.
type Incarnation uint64

// Epoch numbers the successive holders of a failure domain's placement lease. Each new
// holder has a higher one.
type Epoch uint64

// FencingToken numbers the orders of a placement authority. An engine that honours fencing
// refuses an order with a lower token than the highest one that it has accepted. The upper
// 32 bits hold the Epoch, the lower 32 a sequence number within it.
type FencingToken uint64

const fencingSequenceBits = 32

// NewFencingToken returns the fencing token of order n of epoch e.
func NewFencingToken(e Epoch, n uint32) FencingToken {
	return FencingToken(uint64(e)<<fencingSequenceBits | uint64(n))
}

// Epoch returns the epoch in which f was issued.
func (f FencingToken) Epoch() Epoch { return Epoch(f >> fencingSequenceBits) }

// String returns the epoch and the sequence number in decimal, separated by a dot.
func (f FencingToken) String() string { return fmt.Sprintf("%d.%d", f.Epoch(), uint32(f)) }

const groupSeparator = "/"

// NewGroup returns the id of the group that is formed by the order with fencing token f.
// The id contains the service.
func NewGroup(s Service, d FailureDomain, f FencingToken) Group {
	return Group(strings.Join([]string{string(s), string(d), f.String()}, groupSeparator))
}

// Service returns the service in the id of g.
func (g Group) Service() Service {
	s, _, _ := strings.Cut(string(g), groupSeparator)
	return Service(s)
}

// IsValid reports whether s is a valid id: 1 to 64 ASCII letters, digits, dots, dashes
// and underscores.
func IsValid(s string) bool {
	const maxIDBytes = 64
	if s == "" || len(s) > maxIDBytes {
		return false
	}
	for _, r := range s {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}
