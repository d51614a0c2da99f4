// Package throttler keeps backend servers within the request rates that they name.
//
// A server in need states in its answers how many requests a second it takes from all
// processes together. A Ledger holds what is known of these limits. It is exchanged between
// processes, so that one answer is enough for all of them.
//
// Where several processes send requests to a server, each request needs a permit. An
// Allocator issues the permits of one core process, and an Allowance holds those of one
// front. Where a single process sends all requests, a Bucket is enough.
//
// The package does no I/O and reads no clock.
package throttler

import (
	"math"
	"strconv"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Rate is a number of requests a second.
type Rate float64

// StatementKind says whether an answer names a limit.
type StatementKind int

// Kinds of statements.
const (
	// NoLimit means that the answer names no limit.
	NoLimit StatementKind = iota
	// NamedLimit means that the answer names a limit.
	NamedLimit
	// UnreadableLimit means that the answer names a limit that cannot be read. It changes
	// nothing that is known.
	UnreadableLimit
)

// Statement is what one answer says about the rate that its server takes.
type Statement struct {
	Kind StatementKind
	// Rate is valid if Kind is NamedLimit.
	Rate Rate
}

// NewStatement returns the statement in the values of the header in which servers name their
// rate, a number of requests a second.
func NewStatement(values []string) Statement {
	if len(values) == 0 {
		return Statement{}
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
		return Statement{Kind: UnreadableLimit}
	}
	return Statement{Kind: NamedLimit, Rate: Rate(rate)}
}

// endMargin is how long after a limit was last named a request must have been sent for its
// answer to end the limit. It covers the delay of reports from other processes, whose times
// are late by it.
const endMargin = 500 * time.Millisecond

// Limit is what is known about the request rate of one incarnation of a server.
type Limit struct {
	Server      identifier.Server
	Incarnation identifier.Incarnation
	Rate        Rate
	// NamedAt is when an answer last named Rate, and FirstNamedAt when one first named a
	// rate since the limit is in force.
	FirstNamedAt, NamedAt time.Time
	// UnnamedSentAt is when a request was last sent whose answer named no limit.
	UnnamedSentAt time.Time

	revision uint64
	// sharedNamedAt is NamedAt as of the last change that counted as news.
	sharedNamedAt time.Time
}

// InForce reports whether the limit holds: no request that was sent after it was last named
// has been answered without it.
func (l *Limit) InForce() bool {
	return !l.NamedAt.IsZero() && !l.UnnamedSentAt.After(l.NamedAt.Add(endMargin))
}
