package router

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Ejector keeps groups that fail again and again out of the choice for a while.
// It never takes out more than half of a service's groups, so that a fault that
// all share does not empty the service. Its zero value is ready; it is not safe
// for concurrent use.
type Ejector struct {
	groups map[identifier.Group]*record
}

type record struct {
	failures int
	until    time.Time
}

const (
	// ejectAfter failures in a row take a group out.
	ejectAfter = 5
	// ejectTime is how long a group is out at first; afterwards one failure
	// takes it out for twice as long, up to ejectLimit, until it succeeds.
	ejectTime  = 5 * time.Second
	ejectLimit = time.Minute
	// keptShare is the least share of the candidates that stays.
	keptShare = 0.5
)

// RecordResult takes the end of a request at a group.
func (e *Ejector) RecordResult(now time.Time, g identifier.Group, failed bool) {
	if !failed {
		delete(e.groups, g)
		return
	}
	if e.groups == nil {
		e.groups = map[identifier.Group]*record{}
	}
	r := e.groups[g]
	if r == nil {
		r = &record{}
		e.groups[g] = r
	}
	r.failures++
	if r.failures >= ejectAfter {
		const maxDoublings = 10
		doublings := min(r.failures-ejectAfter, maxDoublings)
		r.until = now.Add(min(ejectTime<<doublings, ejectLimit))
	}
}

// Filter returns the candidates that are not out.
func (e *Ejector) Filter(now time.Time, cs []Candidate) []Candidate {
	if len(e.groups) == 0 {
		return cs
	}
	kept := make([]Candidate, 0, len(cs))
	for _, c := range cs {
		if r := e.groups[c.Group]; r == nil || !now.Before(r.until) {
			kept = append(kept, c)
		}
	}
	if float64(len(kept)) < keptShare*float64(len(cs)) {
		return cs
	}
	return kept
}

// RetainGroups drops what is known of groups that are not among those given.
func (e *Ejector) RetainGroups(known map[identifier.Group]bool) {
	for g := range e.groups {
		if !known[g] {
			delete(e.groups, g)
		}
	}
}
