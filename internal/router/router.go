// Package router chooses the group and the failure domain for a request from
// delayed and partial load information.
//
// An entry VM knows the groups of its own failure domain, with loads that are up
// to a second old, and a digest of every other failure domain. It prefers a group
// that is likely to have the prefix of the prompt cached, unless the load of that
// group is far above the average. It prefers the local failure domain and uses a
// remote one only for requests that exceed the local capacity.
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
	// ReportedRunning and Limit are from the owner's latest load report.
	ReportedRunning uint32
	Limit           uint32
	// RunningDelta is the change since that report in the number of requests that
	// this entry VM has running in the group.
	RunningDelta int64
}

// utilization returns the running requests as a share of the limit. A value above 1
// means that requests are queued. Without a limit it returns a value of at least
// 1, so that such a group ranks as fully used.
func (c Candidate) utilization() float64 {
	running := float64(c.EstimateRunning())
	if c.Limit == 0 {
		return running + 1
	}
	return running / float64(c.Limit)
}

// EstimateRunning estimates the current number of running requests from the last
// report and the requests that this entry VM has started and finished since then.
func (c Candidate) EstimateRunning() uint32 {
	return uint32(max(int64(c.ReportedRunning)+c.RunningDelta, 0))
}

// PrefixHash is a hash of the start of a prompt; 0 means that there is no prompt.
type PrefixHash uint64

// hashedPrefixBytes is the length of the part of a prompt that is hashed. Prompts
// with the same hash are routed to the group that is likely to have them cached.
const hashedPrefixBytes = 1024

// NewPrefixHash hashes the first hashedPrefixBytes bytes of a prompt.
func NewPrefixHash(prompt string) PrefixHash {
	if len(prompt) > hashedPrefixBytes {
		prompt = prompt[:hashedPrefixBytes]
	}
	return PrefixHash(xxhash.Sum64String(prompt))
}

// Policy selects one of the candidates for a request. Pick returns its index, or
// -1 when there is no candidate.
type Policy interface {
	Pick(candidates []Candidate, p PrefixHash) int
}

// RoundRobin selects the candidates in turn.
type RoundRobin struct{ counter int }

// Pick implements Policy.
func (r *RoundRobin) Pick(cs []Candidate, _ PrefixHash) int {
	if len(cs) == 0 {
		return -1
	}
	r.counter++
	return r.counter % len(cs)
}

// LeastLoaded selects the candidate with the lowest utilization.
type LeastLoaded struct{}

// Pick implements Policy.
func (LeastLoaded) Pick(cs []Candidate, _ PrefixHash) int {
	best := -1
	for i, c := range cs {
		if best < 0 || c.utilization() < cs[best].utilization() {
			best = i
		}
	}
	return best
}

// TwoChoices selects the one of two random candidates with the lower utilization.
type TwoChoices struct{ Rand *rand.Rand }

// Pick implements Policy.
func (t TwoChoices) Pick(cs []Candidate, _ PrefixHash) int {
	if len(cs) == 0 {
		return -1
	}
	a, b := t.Rand.IntN(len(cs)), t.Rand.IntN(len(cs))
	if cs[b].utilization() < cs[a].utilization() {
		return b
	}
	return a
}

// PrefixAffinity selects a candidate by rendezvous hashing of the prefix among the
// candidates whose utilization is at most MaxRelativeLoad times the average. A
// prefix that was not seen recently is not cached by any group, so such requests
// use round robin, which distributes load more evenly than hashing.
type PrefixAffinity struct {
	// MaxRelativeLoad is the utilization, relative to the average, up to which a
	// candidate may be selected by its prefix.
	MaxRelativeLoad float64

	roundRobin RoundRobin
	// recent and previous are two generations of the prefixes that were seen. When
	// recent is full, it replaces previous.
	recent   map[PrefixHash]bool
	previous map[PrefixHash]bool
}

// maxGenerationSize is the maximum number of prefixes in one generation.
const maxGenerationSize = 8192

// recordPrefix records a prefix and reports whether it was seen recently.
func (a *PrefixAffinity) recordPrefix(p PrefixHash) bool {
	seen := a.recent[p] || a.previous[p]
	if a.recent == nil || len(a.recent) >= maxGenerationSize {
		a.recent, a.previous = map[PrefixHash]bool{}, a.recent
	}
	a.recent[p] = true
	return seen
}

// maxLoadSlack is added to the maximum utilization, so that the first requests to
// an idle service, where any request is above the average, still follow their
// prefix.
const maxLoadSlack = 0.1

// Pick implements Policy.
func (a *PrefixAffinity) Pick(cs []Candidate, p PrefixHash) int {
	if p == 0 || !a.recordPrefix(p) {
		return a.roundRobin.Pick(cs, p)
	}
	total := 0.0
	for _, c := range cs {
		total += c.utilization()
	}
	maxUtilization := a.MaxRelativeLoad*total/float64(max(len(cs), 1)) + maxLoadSlack
	best, bestHash := -1, uint64(0)
	for i, c := range cs {
		if c.utilization() > maxUtilization {
			continue
		}
		if h := rendezvousHash(p, c.Group); best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	if best < 0 {
		return LeastLoaded{}.Pick(cs, p)
	}
	return best
}

func rendezvousHash(p PrefixHash, g identifier.Group) uint64 {
	h := xxhash.NewWithSeed(uint64(p))
	_, _ = h.WriteString(string(g))
	return h.Sum64()
}

// DomainLoad is the load of one service in one failure domain.
type DomainLoad struct {
	Domain        identifier.FailureDomain
	ServingGroups uint32
	Running       uint32
	Limit         uint32
	Evacuated     bool
	Stale         bool
}

// maxLocalUtilization is the utilization of the local failure domain from which on
// requests may be sent to another failure domain.
const maxLocalUtilization = 1.0

// PickDomain returns the failure domain for a request: the local one while its
// utilization is below maxLocalUtilization, and otherwise the one with the most free
// capacity, or the local one if it has as much. Failure domains that are evacuated, have
// a stale digest or are in exclude are skipped. Another one that serves no group by its
// digest, or has sent none yet, is picked only if none is left: it may have formed
// groups since, and is asked before a request is refused. The second result is false
// when there is none either.
func PickDomain(local identifier.FailureDomain, domains []DomainLoad, exclude map[identifier.FailureDomain]bool) (identifier.FailureDomain, bool) {
	var best *DomainLoad
	for i := range domains {
		d := &domains[i]
		if d.ServingGroups == 0 || d.Evacuated || d.Stale || exclude[d.Domain] {
			continue
		}
		if d.Domain == local && d.utilization() < maxLocalUtilization {
			return local, true
		}
		if best == nil || d.freeCapacity() > best.freeCapacity() || d.freeCapacity() == best.freeCapacity() && d.Domain == local {
			best = d
		}
	}
	if best != nil {
		return best.Domain, true
	}
	for _, d := range domains {
		if d.Domain != local && !d.Evacuated && !d.Stale && !exclude[d.Domain] {
			return d.Domain, true
		}
	}
	return "", false
}

func (d DomainLoad) utilization() float64 { return float64(d.Running) / float64(max(d.Limit, 1)) }

func (d DomainLoad) freeCapacity() int64 { return int64(d.Limit) - int64(d.Running) }
