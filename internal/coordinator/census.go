package coordinator

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/counter"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/keeper"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Timing of the number of fronts by which bounds over all of them are divided.
const (
	// ShareLease is how long after a quorum last confirmed its core process a front may use its
	// part of what fronts share.
	ShareLease = 40 * time.Second
	// censusInterval is how often processes tell each other which fronts they have seen, if that
	// has not changed.
	censusInterval = 5 * time.Second
	// countInterval is how often the number in the log may change.
	countInterval = 500 * time.Millisecond
)

// census is what a core process knows of the fronts of the system.
type census struct {
	// own holds the fronts that pull from this process, and all those that any process has seen.
	own, all counter.Census
	// lastSent holds the fronts that the other processes were told of at lastSentAt.
	lastSent   []counter.ID
	lastSentAt time.Time
	// leadsSince is when this process was first seen to lead in term. Only runLoop uses these and
	// lastProposedAt.
	leadsSince     time.Time
	term           replicator.Term
	lastProposedAt time.Time
	// proposing is set while a number is being proposed to the log.
	proposing atomic.Bool
}

// init sets how long a front counts after it was last seen: until a window of the retry budgets
// after a front that is cut off has stopped to use its part, and the delay of reports.
func (c *census) init(retryWindow time.Duration) {
	ttl := ShareLease + retryWindow + 2*censusInterval
	c.own.TTL, c.all.TTL = ttl, ttl
}

// countFronts returns the number of fronts that share the bounds of the system, or 0 if the log
// holds none. A restart of all processes or a partition does not reduce it. The caller must hold
// mu.
func (c *Coordinator) countFronts(now time.Time) int {
	state, _ := c.keeper.State()
	if state.Fronts == 0 {
		return 0
	}
	return max(state.Fronts, c.census.all.Count(now))
}

// recordPull records that a front pulls from this process. The caller must hold mu.
func (c *Coordinator) recordPull(now time.Time, from identifier.VM) {
	c.census.own.Record(now, counter.NewID(from))
	c.census.all.Record(now, counter.NewID(from))
}

// addFrontIDs adds the fronts that pull from this process to a hello, if they have changed or
// were last sent a while ago. The caller must hold mu.
func (c *Coordinator) addFrontIDs(now time.Time, h *peerv1.CoreHello) {
	k := &c.census
	ids := k.own.SeenWithin(now, frontReportTTL)
	if now.Sub(k.lastSentAt) < censusInterval && slices.Equal(ids, k.lastSent) {
		return
	}
	k.lastSent, k.lastSentAt = ids, now
	k.own.Expire(now)
	for _, id := range ids {
		h.FrontIds = append(h.FrontIds, uint32(id))
	}
}

// recordFrontIDs records the fronts that another process has seen. The caller must hold mu.
func (c *Coordinator) recordFrontIDs(now time.Time, ids []uint32) {
	for _, id := range ids {
		c.census.all.Record(now, counter.ID(id))
	}
}

// runCensus lets the leader propose the number of fronts to the log when it has changed. A process
// reduces it only after it has led for as long as a front counts, since before it may not have
// heard of all.
func (c *Coordinator) runCensus(ctx context.Context, now time.Time) {
	st, k := c.driver.Status(), &c.census
	if !st.CommittedInTerm {
		return
	}
	if st.Term != k.term {
		k.term, k.leadsSince = st.Term, now
	}
	if k.proposing.Load() || now.Sub(k.lastProposedAt) < countInterval {
		return
	}
	state, _ := c.keeper.State()
	c.mu.Lock()
	n := k.all.Count(now)
	c.mu.Unlock()
	if n == state.Fronts || n < state.Fronts && (n == 0 || now.Sub(k.leadsSince) < k.all.TTL) {
		return
	}
	k.lastProposedAt = now
	data, err := keeper.Command{CountFronts: n}.Encode()
	if err != nil {
		_ = level.Error(c.Logger).Log("msg", "cannot encode the number of fronts", "err", err)
		return
	}
	k.proposing.Store(true)
	go func() {
		defer k.proposing.Store(false)
		proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		_, err := c.driver.Propose(proposeCtx, data)
		_ = level.Info(c.Logger).Log("msg", "proposed the number of fronts", "fronts", n, "was", state.Fronts, "err", err)
	}()
}
