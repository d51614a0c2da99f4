package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Timeouts of a process that stops.
const (
	// leaveTimeout is how long it waits until another process is a voter in its place.
	leaveTimeout = 2 * time.Second
	// handoverTimeout is how long it waits until another leader is elected.
	handoverTimeout = time.Second
	leavePollDelay  = 10 * time.Millisecond
)

// Leave prepares the process for its end, while Run still serves. If it is a voter and
// another process can take its place, Leave waits for the exchange. If it leads, the others
// elect a leader at once.
func (c *Coordinator) Leave() {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.announceLeave(ctx)
	for ctx.Err() == nil && c.mayVote(ctx) {
		sleep(ctx, leavePollDelay)
	}
	c.driver.Resign()
	ctx, cancel = context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	for ctx.Err() == nil && c.awaitsLeader() {
		sleep(ctx, leavePollDelay)
	}
	st := c.driver.Status()
	_ = level.Info(c.Logger).Log("msg", "core process has left the log", "took", time.Since(began), "is_voter", st.IsVoter(st.ID), "leader", st.Leader)
}

// announceLeave tells the live core processes that this one is about to stop, and waits until
// they know.
func (c *Coordinator) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, to := c.nextHello(time.Now())
	var wg sync.WaitGroup
	for _, vm := range to {
		wg.Go(func() {
			if _, err := c.linker.Call(ctx, vm, &peerv1.Envelope{CoreHello: h}); err != nil {
				_ = level.Debug(c.Logger).Log("msg", "a core process was not told that this one is about to stop", "peer", vm, "err", err)
			}
		})
	}
	wg.Wait()
}

// mayVote reports whether this process is a voter that another one can replace, or may still
// become a voter.
func (c *Coordinator) mayVote(ctx context.Context) bool {
	st := c.driver.Status()
	switch st.Leader {
	case c.self:
		c.replanVoters()
		return c.hasSuccessor(&st)
	case "":
		return c.hasSuccessor(&st)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.linker.Call(callCtx, st.Leader, &peerv1.Envelope{LeaveAsk: &peerv1.LeaveAsk{Log: logName, VoterId: string(st.ID)}})
	if err != nil {
		return true
	}
	return reply.GetLeaveState().GetIsVoter() && c.hasSuccessor(&st)
}

// handleLeaveAsk replies whether a core process that is about to stop is a voter. A change
// that was planned before the process had said so is proposed by then.
func (c *Coordinator) handleLeaveAsk(from identifier.VM, a *peerv1.LeaveAsk) (*peerv1.Envelope, error) {
	c.replanVoters()
	c.votersMu.Lock()
	defer c.votersMu.Unlock()
	st := c.driver.Status()
	if !st.CommittedInTerm {
		return nil, driver.ErrNotLeader
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[from]; p == nil || !p.lastHello.GetLeaving() {
		return nil, Error.New("%s has not said that it stops", from)
	}
	return &peerv1.Envelope{LeaveState: &peerv1.LeaveState{IsVoter: st.IsVoter(replicator.NodeID(a.GetVoterId()))}}, nil
}

// hasSuccessor reports whether a live core process that goes on is not a voter.
func (c *Coordinator) hasSuccessor(st *driver.Status) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFree := func(vm identifier.VM) bool {
		h := c.peers[vm].lastHello
		return h.GetVoterId() != "" && !h.GetLeaving() && !st.IsVoter(replicator.NodeID(h.GetVoterId()))
	}
	return slices.ContainsFunc(c.livePeers(time.Now()), isFree)
}

// awaitsLeader reports whether this process leads still, or knows no leader though others
// are live.
func (c *Coordinator) awaitsLeader() bool {
	st := c.driver.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	return (st.Leader == "" || st.Leader == c.self) && !st.DiskRefuses && len(c.livePeers(time.Now())) > 0
}
