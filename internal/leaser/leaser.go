// Package leaser decides which entry VM of a failure domain may place replica
// groups there.
//
// The entry VMs of a domain are the voters. One that holds an unexpired lease
// from a majority of them is the domain's placement authority, whether or not
// other domains can be reached. Promises are bounded in time, so a voter needs
// no disk: after a start it grants nothing until every promise that it may have
// forgotten has run out. All times are monotonic and local to one process; a
// holder counts its lease from before it asked, a voter from when it granted,
// so the holder's view always ends first.
package leaser

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Request is a request for a vote or its renewal. A Duration of 0 gives the vote
// back.
type Request struct {
	Holder   identifier.VM
	Epoch    identifier.Epoch
	Duration time.Duration
	// Round tells the candidate's rounds of asking apart.
	Round uint64
}

// Reply is the answer to an Ask. A refused one carries the highest epoch that
// the voter knows and the holder it has promised itself to.
type Reply struct {
	Granted bool
	Epoch   identifier.Epoch
	Holder  identifier.VM
	// Round is that of the Ask.
	Round uint64
}

// Voter is one entry VM's promise. Start is called before Answer.
type Voter struct {
	// MaxLeaseDuration bounds the duration of every lease.
	MaxLeaseDuration time.Duration

	silentUntil time.Time
	epoch       identifier.Epoch
	holder      identifier.VM
	until       time.Time
}

// Start begins the time in which nothing is granted.
func (v *Voter) Start(now time.Time) { v.silentUntil = now.Add(v.MaxLeaseDuration) }

// HandleRequest decides on an Ask that arrived now.
func (v *Voter) HandleRequest(now time.Time, a Request) Reply {
	refused := Reply{Epoch: v.epoch, Holder: v.holder, Round: a.Round}
	held := now.Before(v.until)
	if !held {
		refused.Holder = ""
	}
	switch {
	case now.Before(v.silentUntil), a.Duration > v.MaxLeaseDuration, a.Epoch < v.epoch:
		return refused
	case held && v.holder != a.Holder:
		return refused
	case a.Epoch == v.epoch && v.holder != "" && v.holder != a.Holder:
		return refused
	}
	v.epoch, v.holder, v.until = a.Epoch, a.Holder, now.Add(a.Duration)
	if a.Duration == 0 {
		return refused
	}
	return Reply{Granted: true, Epoch: a.Epoch, Holder: a.Holder, Round: a.Round}
}

// Candidate is one entry VM's attempt to become or stay the authority.
type Candidate struct {
	VM     identifier.VM
	Voters []identifier.VM
	// LeaseDuration is the duration asked for.
	LeaseDuration time.Duration

	// epoch is that of the last lease won, asking that of the last Ask.
	epoch    identifier.Epoch
	asking   identifier.Epoch
	highest  identifier.Epoch
	asked    time.Time
	round    uint64
	granted  map[identifier.VM]bool
	until    time.Time
	notAgain time.Time
}

// HoldsLease reports whether this VM is the authority now.
func (c *Candidate) HoldsLease(now time.Time) bool { return now.Before(c.until) }

// Epoch returns the epoch of the lease that was won last.
func (c *Candidate) Epoch() identifier.Epoch { return c.epoch }

// ObserveEpoch notes an epoch that was used before, as told by a voter or an
// engine. A holder with a lower one asks for a higher one at its next turn.
func (c *Candidate) ObserveEpoch(e identifier.Epoch) { c.highest = max(c.highest, e) }

// StartRound starts a round of asking, and reports false when it is not yet time: a
// holder renews at every turn, another VM waits while a holder is known.
func (c *Candidate) StartRound(now time.Time) (Request, bool) {
	if !c.HoldsLease(now) && now.Before(c.notAgain) {
		return Request{}, false
	}
	if !c.HoldsLease(now) || c.epoch < c.highest {
		c.highest++
		c.asking = c.highest
	}
	c.asked = now
	c.round++
	c.granted = map[identifier.VM]bool{}
	return Request{Holder: c.VM, Epoch: c.asking, Duration: c.LeaseDuration, Round: c.round}, true
}

// HandleReply takes a voter's answer to the last Ask.
func (c *Candidate) HandleReply(now time.Time, from identifier.VM, g Reply) {
	c.ObserveEpoch(g.Epoch)
	if !g.Granted {
		if g.Holder != "" && g.Holder != c.VM {
			c.notAgain = now.Add(c.LeaseDuration / 2)
		}
		return
	}
	if g.Epoch != c.asking || g.Round != c.round || c.granted == nil {
		return
	}
	c.granted[from] = true
	if c.votes() > len(c.Voters)/2 {
		c.epoch = c.asking
		c.until = c.asked.Add(c.LeaseDuration)
	}
}

func (c *Candidate) votes() int {
	votes := 0
	for _, v := range c.Voters {
		if c.granted[v] {
			votes++
		}
	}
	return votes
}

// IsOneVoteShort reports whether one more vote would win the present round.
func (c *Candidate) IsOneVoteShort() bool { return c.votes() == len(c.Voters)/2 }

// AbandonRound ends a round that was not won: later grants do not count. The Ask
// that it returns gives the votes back, so that another candidate need not wait
// until they run out.
func (c *Candidate) AbandonRound() Request {
	c.granted = nil
	return Request{Holder: c.VM, Epoch: c.asking, Round: c.round}
}

// HasWonRound reports whether the round that a began has won a majority.
func (c *Candidate) HasWonRound(a Request) bool {
	return a.Round == c.round && c.epoch == a.Epoch && c.votes() > len(c.Voters)/2
}

// DelayNextRound makes the candidate wait before its next Ask as a non-holder.
func (c *Candidate) DelayNextRound(now time.Time, d time.Duration) { c.notAgain = now.Add(d) }

// ResignLease gives the lease up at once; nothing may be ordered afterwards.
func (c *Candidate) ResignLease() { c.until = time.Time{} }
