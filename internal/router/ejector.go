package router

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Ejector temporarily ejects groups whose requests fail in succession. If more than
// half of the candidates of a service would be ejected, it ejects none, so that
// a failure that is common to all groups does not leave the service without any.
// The zero value is ready to use. It is not safe for concurrent use.
type Ejector struct {
	groups map[identifier.Group]*failureRecord
}

type failureRecord struct {
	consecutiveFailures int
	ejectedUntil        time.Time
}

const (
	// minEjectionFailures is the number of consecutive failures after which a group
	// is ejected.
	minEjectionFailures = 5
	// baseEjectionTime is the duration of the first ejection. Every further failure
	// ejects the group again for twice as long, up to maxEjectionTime, until a
	// request succeeds.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = time.Minute
	// minKeptShare is the share of the candidates that must remain for ejections to
	// take effect.
	minKeptShare = 0.5
)

// RecordResult records whether a request to a group failed. A success clears the
// failures of the group.
func (e *Ejector) RecordResult(now time.Time, g identifier.Group, failed bool) {
	if !failed {
		delete(e.groups, g)
		return
	}
	if e.groups == nil {
		e.groups = map[identifier.Group]*failureRecord{}
	}
	r := e.groups[g]
	if r == nil {
		r = &failureRecord{}
		e.groups[g] = r
	}
	r.consecutiveFailures++
	if r.consecutiveFailures >= minEjectionFailures {
		const maxDoublings = 10
		doublings := min(r.consecutiveFailures-minEjectionFailures, maxDoublings)
		r.ejectedUntil = now.Add(min(baseEjectionTime<<doublings, maxEjectionTime))
	}
}

// Filter returns the candidates that are not ejected, or all candidates if fewer
// than minKeptShare of them would remain.
func (e *Ejector) Filter(now time.Time, cs []Candidate) []Candidate {
	if len(e.groups) == 0 {
		return cs
	}
	kept := make([]Candidate, 0, len(cs))
	for _, c := range cs {
		if r := e.groups[c.Group]; r == nil || !now.Before(r.ejectedUntil) {
			kept = append(kept, c)
		}
	}
	if float64(len(kept)) < minKeptShare*float64(len(cs)) {
		return cs
	}
	return kept
}

// RetainGroups drops the failure records of all groups that are not in known.
func (e *Ejector) RetainGroups(known map[identifier.Group]bool) {
	for g := range e.groups {
		if !known[g] {
			delete(e.groups, g)
		}
	}
}
