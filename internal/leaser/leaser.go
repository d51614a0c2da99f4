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

// Ask is a request for a vote or its renewal. A Duration of 0 gives the vote
// back.
type Ask struct {
	Holder   identifier.VM
	Epoch    identifier.Epoch
	Duration time.Duration
	// Round tells the candidate's rounds of asking apart.
	Round uint64
}

// Grant is the answer to an Ask. A refused one carries the highest epoch that
// the voter knows and the holder it has promised itself to.
type Grant struct {
	Granted bool
	Epoch   identifier.Epoch
	Holder  identifier.VM
	// Round is that of the Ask.
	Round uint64
}

// Voter is one entry VM's promise. Start is called before Answer.
type Voter struct {
	// MaxLease bounds the duration of every lease.
	MaxLease time.Duration

	silentUntil time.Time
	epoch       identifier.Epoch
	holder      identifier.VM
	until       time.Time
}

// Start begins the time in which nothing is granted.
func (v *Voter) Start(now time.Time) { v.silentUntil = now.Add(v.MaxLease) }

// Answer decides on an Ask that arrived now.
func (v *Voter) Answer(now time.Time, a Ask) Grant {
	refused := Grant{Epoch: v.epoch, Holder: v.holder, Round: a.Round}
	held := now.Before(v.until)
	if !held {
		refused.Holder = ""
	}
	switch {
	case now.Before(v.silentUntil), a.Duration > v.MaxLease, a.Epoch < v.epoch:
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
	return Grant{Granted: true, Epoch: a.Epoch, Holder: a.Holder, Round: a.Round}
}

// Candidate is one entry VM's attempt to become or stay the authority.
type Candidate struct {
	VM     identifier.VM
	Voters []identifier.VM
	// Lease is the duration asked for.
	Lease time.Duration

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

// Holds reports whether this VM is the authority now.
func (c *Candidate) Holds(now time.Time) bool { return now.Before(c.until) }

// Epoch returns the epoch of the lease that was won last.
func (c *Candidate) Epoch() identifier.Epoch { return c.epoch }

// Observe notes an epoch that was used before, as told by a voter or an
// engine. A holder with a lower one asks for a higher one at its next turn.
func (c *Candidate) Observe(e identifier.Epoch) { c.highest = max(c.highest, e) }

// Ask starts a round of asking, and reports false when it is not yet time: a
// holder renews at every turn, another VM waits while a holder is known.
func (c *Candidate) Ask(now time.Time) (Ask, bool) {
	if !c.Holds(now) && now.Before(c.notAgain) {
		return Ask{}, false
	}
	if !c.Holds(now) || c.epoch < c.highest {
		c.highest++
		c.asking = c.highest
	}
	c.asked = now
	c.round++
	c.granted = map[identifier.VM]bool{}
	return Ask{Holder: c.VM, Epoch: c.asking, Duration: c.Lease, Round: c.round}, true
}

// Hear takes a voter's answer to the last Ask.
func (c *Candidate) Hear(now time.Time, from identifier.VM, g Grant) {
	c.Observe(g.Epoch)
	if !g.Granted {
		if g.Holder != "" && g.Holder != c.VM {
			c.notAgain = now.Add(c.Lease / 2)
		}
		return
	}
	if g.Epoch != c.asking || g.Round != c.round || c.granted == nil {
		return
	}
	c.granted[from] = true
	if c.votes() > len(c.Voters)/2 {
		c.epoch = c.asking
		c.until = c.asked.Add(c.Lease)
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

// LacksOne reports whether one more vote would win the present round.
func (c *Candidate) LacksOne() bool { return c.votes() == len(c.Voters)/2 }

// Abandon ends a round that was not won: later grants do not count. The Ask
// that it returns gives the votes back, so that another candidate need not wait
// until they run out.
func (c *Candidate) Abandon() Ask {
	c.granted = nil
	return Ask{Holder: c.VM, Epoch: c.asking, Round: c.round}
}

// Won reports whether the round that a began has won a majority.
func (c *Candidate) Won(a Ask) bool {
	return a.Round == c.round && c.epoch == a.Epoch && c.votes() > len(c.Voters)/2
}

// Delay makes the candidate wait before its next Ask as a non-holder.
func (c *Candidate) Delay(now time.Time, d time.Duration) { c.notAgain = now.Add(d) }

// Resign gives the lease up at once; nothing may be ordered afterwards.
func (c *Candidate) Resign() { c.until = time.Time{} }
