// Package identifier names the things that trefoilhead's processes talk about.
// Each id has a type of its own, so that the compiler keeps them apart.
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

// Server is the id of one backend server. It may keep its id over a restart.
type Server string

// Service is the id of a declared model service or plain service.
type Service string

// Team is the id of a group of callers that share limits.
type Team string

// Group is the id of a replica group.
type Group string

// Revision numbers accepted configuration changes from 1.
type Revision uint64

// Incarnation is a number that grows with each start of a process.
type Incarnation uint64

// Epoch numbers the holders of a failure domain's placement lease.
type Epoch uint64

// FencingToken is a fencing number: an Epoch in the upper 32 bits and a sequence
// within it in the lower 32.
type FencingToken uint64

const sequenceBits = 32

// NewFencingToken returns the fencing number of order n of epoch e.
func NewFencingToken(e Epoch, n uint32) FencingToken {
	return FencingToken(uint64(e)<<sequenceBits | uint64(n))
}

// Epoch returns the epoch that issued f.
func (f FencingToken) Epoch() Epoch { return Epoch(f >> sequenceBits) }

// String returns epoch and sequence as two decimal numbers.
func (f FencingToken) String() string { return fmt.Sprintf("%d.%d", f.Epoch(), uint32(f)) }

const groupSeparator = "/"

// NewGroup returns the id of the group that the order numbered f forms. The
// service can be read from it.
func NewGroup(s Service, d FailureDomain, f FencingToken) Group {
	return Group(strings.Join([]string{string(s), string(d), f.String()}, groupSeparator))
}

// Service returns the service that g belongs to.
func (g Group) Service() Service {
	s, _, _ := strings.Cut(string(g), groupSeparator)
	return Service(s)
}

// IsValid reports whether s may be an id: letters, digits, dots, dashes and
// underscores, at most 64 bytes.
func IsValid(s string) bool {
	const maxIDBytes = 64
	if s == "" || len(s) > maxIDBytes {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}
