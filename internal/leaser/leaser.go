// Package leaser implements the lease that makes one entry VM of a failure domain
// its placement authority, which is the only one that may place replica groups
// there.
//
// The voters are the entry VMs of the domain. If their number is even, the caller
// adds one more voter to Candidate.Voters. A VM holds the lease while a majority of
// the voters has granted it an unexpired lease. The grants of a majority of the entry
// VMs suffice, so other domains need not be reachable.
//
// Grants expire, so a voter needs no disk: after a start it grants nothing until
// every grant that it may have given before has expired. All times are monotonic and
// local to one process. The holder's lease starts before it sends its requests and
// the voter's grant when it replies, so the lease always expires on the holder
// first.
package leaser

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Request asks a voter to grant or renew a lease. With a Duration of 0 it gives an
// earlier grant back to the voter.
type Request struct {
	Holder   identifier.VM
	Epoch    identifier.Epoch
	Duration time.Duration
	// Round numbers the rounds of requests of a candidate.
	Round uint64
}

// Reply is a voter's reply to a Request. If Granted is not set, Epoch is the
// highest epoch that the voter knows, and Holder the VM that holds its unexpired
// grant, if any.
type Reply struct {
	Granted bool
	Epoch   identifier.Epoch
	Holder  identifier.VM
	// Round is the Round of the Request.
	Round uint64
}

// Voter is the voting side of an entry VM. It never grants the lease to a VM while
// its grant to another one is unexpired. Start is called before HandleRequest.
type Voter struct {
	// MaxLeaseDuration is the longest duration that is granted.
	MaxLeaseDuration time.Duration

	noGrantsBefore time.Time
	epoch          identifier.Epoch
	holder         identifier.VM
	leaseExpiry    time.Time
}

// Start starts the time in which no lease is granted, because a grant from before
// the start may not have expired yet.
func (v *Voter) Start(now time.Time) { v.noGrantsBefore = now.Add(v.MaxLeaseDuration) }

// HandleRequest grants or refuses a request that arrived at time now. The reply to
// a request that gives a grant back is not Granted.
func (v *Voter) HandleRequest(now time.Time, r Request) Reply {
	refused := Reply{Epoch: v.epoch, Holder: v.holder, Round: r.Round}
	held := now.Before(v.leaseExpiry)
	if !held {
		refused.Holder = ""
	}
	switch {
	case now.Before(v.noGrantsBefore), r.Duration > v.MaxLeaseDuration, r.Epoch < v.epoch:
		return refused
	case held && v.holder != r.Holder:
		return refused
	case r.Epoch == v.epoch && v.holder != "" && v.holder != r.Holder:
		return refused
	}
	v.epoch, v.holder, v.leaseExpiry = r.Epoch, r.Holder, now.Add(r.Duration)
	if r.Duration == 0 {
		return refused
	}
	return Reply{Granted: true, Epoch: r.Epoch, Holder: r.Holder, Round: r.Round}
}

// Candidate is the requesting side of an entry VM. It requests the lease from all
// voters in numbered rounds.
type Candidate struct {
	VM     identifier.VM
	Voters []identifier.VM
	// LeaseDuration is the requested duration of the lease.
	LeaseDuration time.Duration

	// leaseEpoch is the epoch of the last lease that was won, roundEpoch the one
	// requested in the last round.
	leaseEpoch     identifier.Epoch
	roundEpoch     identifier.Epoch
	highestEpoch   identifier.Epoch
	roundStart     time.Time
	round          uint64
	grantedBy      map[identifier.VM]bool
	leaseExpiry    time.Time
	nextRoundAfter time.Time
}

// HoldsLease reports whether this VM holds the lease at time now.
func (c *Candidate) HoldsLease(now time.Time) bool { return now.Before(c.leaseExpiry) }

// Epoch returns the epoch of the last lease that was won.
func (c *Candidate) Epoch() identifier.Epoch { return c.leaseEpoch }

// ObserveEpoch records an epoch already in use that a voter or an engine reported.
// A holder with a lower epoch requests a higher one in its next round.
func (c *Candidate) ObserveEpoch(e identifier.Epoch) { c.highestEpoch = max(c.highestEpoch, e) }

// StartRound starts a round and returns the request to send to all voters. It
// returns false if no round is due. For the holder a round is always due, to renew
// its lease; another VM waits after learning of a holder or after DelayNextRound.
func (c *Candidate) StartRound(now time.Time) (Request, bool) {
	if !c.HoldsLease(now) && now.Before(c.nextRoundAfter) {
		return Request{}, false
	}
	if !c.HoldsLease(now) || c.leaseEpoch < c.highestEpoch {
		c.highestEpoch++
		c.roundEpoch = c.highestEpoch
	}
	c.roundStart = now
	c.round++
	c.grantedBy = map[identifier.VM]bool{}
	return Request{Holder: c.VM, Epoch: c.roundEpoch, Duration: c.LeaseDuration, Round: c.round}, true
}

// HandleReply handles a voter's reply. Grants of earlier rounds are ignored, since
// they would extend the lease beyond what the voter granted.
func (c *Candidate) HandleReply(now time.Time, from identifier.VM, r Reply) {
	c.ObserveEpoch(r.Epoch)
	if !r.Granted {
		if r.Holder != "" && r.Holder != c.VM {
			c.nextRoundAfter = now.Add(c.LeaseDuration / 2)
		}
		return
	}
	if r.Epoch != c.roundEpoch || r.Round != c.round || c.grantedBy == nil {
		return
	}
	c.grantedBy[from] = true
	if c.voteCount() > len(c.Voters)/2 {
		c.leaseEpoch = c.roundEpoch
		c.leaseExpiry = c.roundStart.Add(c.LeaseDuration)
	}
}

func (c *Candidate) voteCount() int {
	votes := 0
	for _, v := range c.Voters {
		if c.grantedBy[v] {
			votes++
		}
	}
	return votes
}

// IsOneVoteShort reports whether one more grant would win the current round.
func (c *Candidate) IsOneVoteShort() bool { return c.voteCount() == len(c.Voters)/2 }

// AbandonRound ends a round that was not won, so that later grants are ignored.
// The request that it returns gives the grants back to the voters, so that another
// candidate need not wait until they expire.
func (c *Candidate) AbandonRound() Request {
	c.grantedBy = nil
	return Request{Holder: c.VM, Epoch: c.roundEpoch, Round: c.round}
}

// HasWonRound reports whether r is the request of the current round and a majority
// has granted it.
func (c *Candidate) HasWonRound(r Request) bool {
	return r.Round == c.round && c.leaseEpoch == r.Epoch && c.voteCount() > len(c.Voters)/2
}

// DelayNextRound delays the next round of a candidate that is not the holder.
func (c *Candidate) DelayNextRound(now time.Time, d time.Duration) { c.nextRoundAfter = now.Add(d) }

// ResignLease gives up the lease immediately. The VM may order no placement
// afterwards.
func (c *Candidate) ResignLease() { c.leaseExpiry = time.Time{} }
