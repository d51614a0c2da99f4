// Package router chooses where a request goes, from lagged and partial
// knowledge.
//
// An entry knows the groups of its own failure domain, with loads that are up
// to a second old, and a digest of every other domain. It prefers a group that
// is likely to have the prompt's prefix cached, as long as that group is not
// loaded far above the average; the local domain goes before others, and a
// remote domain is asked only for what the local one cannot take.
package router

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Candidate is a group that may take a request.
type Candidate struct {
	Group identifier.Group
	Owner identifier.VM
	// ReportedRunning and Limit are the owner's last report.
	ReportedRunning uint32
	Limit           uint32
	// RunningDelta is the change in the number of requests that this entry has running
	// there since the report.
	RunningDelta int64
}

// load returns the share of the limit in use; more than 1 is a queue.
func (c Candidate) load() float64 {
	running := float64(c.EstimateRunning())
	if c.Limit == 0 {
		return running + 1
	}
	return running / float64(c.Limit)
}

// EstimateRunning returns the number of requests running there now, as far as this
// entry can tell.
func (c Candidate) EstimateRunning() uint32 {
	return uint32(max(int64(c.ReportedRunning)+c.RunningDelta, 0))
}

// PrefixHash is a hash of the start of a prompt; 0 means that there is none.
type PrefixHash uint64

// prefixBytes is how much of a prompt decides where it is likely cached.
const prefixBytes = 1024

// NewPrefixHash returns the prefix hash of a prompt.
func NewPrefixHash(prompt string) PrefixHash {
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	return PrefixHash(xxhash.Sum64String(prompt))
}

// Policy picks one of the candidates. It returns -1 when there is none.
type Policy interface {
	Pick(candidates []Candidate, p PrefixHash) int
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (r *RoundRobin) Pick(cs []Candidate, _ PrefixHash) int {
	if len(cs) == 0 {
		return -1
	}
	r.next++
	return r.next % len(cs)
}

// LeastLoaded takes the candidate with the smallest share of its limit in use.
type LeastLoaded struct{}

// Pick implements Policy.
func (LeastLoaded) Pick(cs []Candidate, _ PrefixHash) int {
	best := -1
	for i, c := range cs {
		if best < 0 || c.load() < cs[best].load() {
			best = i
		}
	}
	return best
}

// TwoChoices takes the less loaded of two random candidates.
type TwoChoices struct{ Rand *rand.Rand }

// Pick implements Policy.
func (t TwoChoices) Pick(cs []Candidate, _ PrefixHash) int {
	if len(cs) == 0 {
		return -1
	}
	a, b := t.Rand.IntN(len(cs)), t.Rand.IntN(len(cs))
	if cs[b].load() < cs[a].load() {
		return b
	}
	return a
}

// PrefixAffinity takes the candidate that the prefix hashes to, unless its
// load is above Bound times the average; then the next in the prefix's own
// order. A prefix that was not seen lately is cached nowhere, so such a request
// takes the candidates in turn, which spreads load more evenly than hashing.
type PrefixAffinity struct {
	// MaxRelativeLoad is the factor above the average load that affinity may cost.
	MaxRelativeLoad float64

	turn RoundRobin
	// recent and older are two generations of prefixes seen.
	recent map[PrefixHash]bool
	older  map[PrefixHash]bool
}

// generationSize bounds the prefixes of one generation.
const generationSize = 8192

// seen reports whether a prefix was seen lately, and notes it.
func (a *PrefixAffinity) seen(p PrefixHash) bool {
	known := a.recent[p] || a.older[p]
	if a.recent == nil || len(a.recent) >= generationSize {
		a.recent, a.older = map[PrefixHash]bool{}, a.recent
	}
	a.recent[p] = true
	return known
}

// affinitySlack is added to the load bound, so that an idle service does not
// scatter its first requests.
const affinitySlack = 0.1

// Pick implements Policy.
func (a *PrefixAffinity) Pick(cs []Candidate, p PrefixHash) int {
	if p == 0 || !a.seen(p) {
		return a.turn.Pick(cs, p)
	}
	total := 0.0
	for _, c := range cs {
		total += c.load()
	}
	bound := a.MaxRelativeLoad*total/float64(max(len(cs), 1)) + affinitySlack
	best, bestHash := -1, uint64(0)
	for i, c := range cs {
		if c.load() > bound {
			continue
		}
		if h := pairHash(p, c.Group); best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	if best < 0 {
		return LeastLoaded{}.Pick(cs, p)
	}
	return best
}

func pairHash(p PrefixHash, g identifier.Group) uint64 {
	h := xxhash.NewWithSeed(uint64(p))
	_, _ = h.WriteString(string(g))
	return h.Sum64()
}

// DomainLoad is the digest of one failure domain for one service.
type DomainLoad struct {
	Domain        identifier.FailureDomain
	ServingGroups uint32
	Running       uint32
	Limit         uint32
	Drained       bool
	Stale         bool
}

// spillLoad is the share of the local limit in use above which requests may go
// to another domain.
const spillLoad = 1.0

// PickDomain returns the domain for a request: the local one while it has
// room, then the one with most free room, then the local one again if it
// serves at all. The second value is false when no domain serves.
func PickDomain(local identifier.FailureDomain, domains []DomainLoad, tried map[identifier.FailureDomain]bool) (identifier.FailureDomain, bool) {
	var best *DomainLoad
	for i := range domains {
		d := &domains[i]
		if d.ServingGroups == 0 || d.Drained || d.Stale || tried[d.Domain] {
			continue
		}
		if d.Domain == local && d.used() < spillLoad {
			return local, true
		}
		if best == nil || d.free() > best.free() || d.free() == best.free() && d.Domain == local {
			best = d
		}
	}
	if best == nil {
		return "", false
	}
	return best.Domain, true
}

func (d DomainLoad) used() float64 { return float64(d.Running) / float64(max(d.Limit, 1)) }

func (d DomainLoad) free() int64 { return int64(d.Limit) - int64(d.Running) }
