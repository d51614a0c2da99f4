package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// peer is what this process knows of another core process.
type peer struct {
	// lastHelloAt is when its last hello arrived; zero before the first. Since heardSince its
	// hellos have come without a longer pause, all with the same voter id.
	lastHelloAt     time.Time
	heardSince      time.Time
	lastHello       *peerv1.CoreHello
	lastHelloSentAt time.Time
}

// Timeouts of core processes.
const (
	// peerLiveTimeout is how long after its last hello a peer counts as live.
	peerLiveTimeout = 1500 * time.Millisecond
	// peerForgetTimeout is how long after its last hello a peer that is not a
	// voter is remembered.
	peerForgetTimeout = time.Minute
)

// HandlePeerMessage implements linker.Handler.
func (c *Coordinator) HandlePeerMessage(ctx context.Context, from identifier.VM, e *peerv1.Envelope) (*peerv1.Envelope, error) {
	switch {
	case e.GetLog() != nil:
		c.driver.Deliver(encoder.DecodeLogMessage(e.GetLog()))
		return nil, nil
	case e.GetServerReports() != nil:
		return nil, c.handleServerReports(ctx, e.GetServerReports())
	case e.GetCoreHello() != nil:
		c.handleHello(from, e.GetCoreHello())
		return nil, nil
	case e.GetProposal() != nil:
		result, err := c.driver.Propose(ctx, e.GetProposal().GetData())
		if err != nil {
			return nil, err
		}
		return &peerv1.Envelope{ProposalResult: &peerv1.ProposalResult{Result: result}}, nil
	case e.GetTermAsk() != nil:
		st := c.driver.Status()
		return &peerv1.Envelope{TermState: &peerv1.TermState{
			Term: uint64(st.Term), Leader: string(st.Leader), VoterId: string(st.ID), LeaderId: string(st.LeaderID),
		}}, nil
	case e.GetLeaveAsk() != nil:
		return c.handleLeaveAsk(from, e.GetLeaveAsk())
	case e.GetReadAsk() != nil:
		return c.handleReadAsk(ctx, e.GetReadAsk())
	case e.GetFrontPull() != nil:
		return c.handlePull(ctx, from, e.GetFrontPull()), nil
	}
	return nil, Error.New("the message is of no known kind")
}

// AddSeeds adds the seeds of changed settings to the known core processes. It
// removes none.
func (c *Coordinator) AddSeeds(set *configurer.NodeSettings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range SeedPeers(set) {
		if vm != c.self && c.peers[vm] == nil {
			c.peers[vm] = &peer{}
		}
	}
}

// handleServerReports records what another core process has heard of servers. If that one waits for it, it
// returns once the departures among them are on disk.
func (c *Coordinator) handleServerReports(ctx context.Context, r *peerv1.ServerReports) error {
	now := time.Now()
	departed := false
	c.mu.Lock()
	for _, in := range r.GetServers() {
		s := encoder.DecodeServer(now, in)
		known := c.registry.Get(s.ID)
		departed = departed || s.GoneUpTo > 0 && (known == nil || known.GoneUpTo < s.GoneUpTo)
		c.updateServer(s, c.registry.Apply)
	}
	c.mu.Unlock()
	switch {
	case r.GetKeep():
		ctx, cancel := context.WithTimeout(ctx, departureShareTimeout)
		defer cancel()
		return c.departureFile.save(ctx)
	case departed:
		c.departureFile.saveSoon()
	}
	return nil
}

func (c *Coordinator) handleHello(from identifier.VM, h *peerv1.CoreHello) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[from]
	if p == nil {
		p = &peer{}
		c.peers[from] = p
	}
	now := time.Now()
	if now.Sub(p.lastHelloAt) > peerLiveTimeout {
		_ = level.Info(c.Logger).Log("msg", "receiving hellos from core process", "peer", from, "voter_id", h.GetVoterId(),
			"failure_domain", h.GetFailureDomain())
		// The peer may have missed reports while this process did not count it as
		// live.
		c.markAllUnreported()
	}
	if h.GetLeaving() && !p.lastHello.GetLeaving() {
		_ = level.Info(c.Logger).Log("msg", "core process is about to stop", "peer", from, "voter_id", h.GetVoterId())
		c.replanVoters()
	}
	if now.Sub(p.lastHelloAt) > peerLiveTimeout || h.GetVoterId() != p.lastHello.GetVoterId() {
		p.heardSince = now
	}
	p.lastHelloAt, p.lastHello = now, h
	c.recordFrontIDs(now, h.GetFrontIds())
	c.mergeEvidence(now, h.GetEvidence())
	c.mergeLimits(now, from, h.GetLimits())
	c.driver.MarkReplaced(from, replicator.NodeID(h.GetVoterId()))
	for _, k := range h.GetKnown() {
		vm := identifier.VM(k)
		if vm != c.self && c.peers[vm] == nil {
			c.peers[vm] = &peer{}
		}
	}
}

// markAllUnreported queues every server to be reported to the peers again. The
// caller must hold mu.
func (c *Coordinator) markAllUnreported() {
	for _, s := range c.registry.All() {
		c.unreported[s.ID] = true
	}
}

// livePeers returns the peers whose last hello is recent. The caller must hold mu.
func (c *Coordinator) livePeers(now time.Time) []identifier.VM {
	var vms []identifier.VM
	for vm, p := range c.peers {
		if now.Sub(p.lastHelloAt) <= peerLiveTimeout {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// sendHellos sends every peer a hello, which shows that this process is live and
// carries the reports of its fronts. It sends less often to peers that are not
// live, and forgets those that have been silent for long.
func (c *Coordinator) sendHellos(now time.Time) {
	h, to := c.nextHello(now)
	for _, vm := range to {
		c.linker.Send(vm, &peerv1.Envelope{CoreHello: h})
	}
}

// nextHello returns the next hello and the peers to which it is due.
func (c *Coordinator) nextHello(now time.Time) (*peerv1.CoreHello, []identifier.VM) {
	st := c.driver.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range st.Members() {
		vm := driver.VMOf(v)
		if vm != c.self && c.peers[vm] == nil {
			c.peers[vm] = &peer{}
		}
	}
	h := &peerv1.CoreHello{
		Address: string(c.self), VoterId: string(st.ID), FailureDomain: string(c.Settings.FailureDomain),
		Fronts: uint32(c.countLocalFronts(now)), Loads: c.localLoads(now), Doubts: c.localSuspicions(now), Demands: c.localDemand.encode(),
		Evidence: c.helloEvidence(now), Leaving: c.leaving, Newcomer: c.isNewcomer(&st),
	}
	c.addLimits(now, h)
	c.addFrontIDs(now, h)
	var to []identifier.VM
	for vm, p := range c.peers {
		if !p.lastHelloAt.IsZero() && now.Sub(p.lastHelloAt) > peerForgetTimeout && !isVoter(&st, vm) {
			delete(c.peers, vm)
			continue
		}
		if !p.lastHelloAt.IsZero() && now.Sub(p.lastHelloAt) > peerLiveTimeout && now.Sub(p.lastHelloSentAt) < time.Second {
			continue
		}
		p.lastHelloSentAt = now
		to = append(to, vm)
		if now.Sub(p.lastHelloAt) <= peerLiveTimeout {
			h.Known = append(h.Known, string(vm))
		}
	}
	return h, to
}

func isVoter(st *driver.Status, vm identifier.VM) bool {
	return slices.ContainsFunc(st.Members(), func(v replicator.NodeID) bool { return driver.VMOf(v) == vm })
}
