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
	// heard is when its last hello came; zero before the first.
	heard  time.Time
	hello  *peerv1.CoreHello
	tested time.Time
}

// Bounds on peers.
const (
	// peerLive is how long after its last hello a peer counts as live.
	peerLive = 1500 * time.Millisecond
	// peerForgotten is how long a peer that is no voter is remembered.
	peerForgotten = time.Minute
	// voterLost is how long a voter must be unheard before it is removed, if
	// enough others live.
	voterLost = 10 * time.Second
	// leastVoters is the number of live voters without which none is removed.
	leastVoters = 3
)

// HandlePeer implements linker.Handler.
func (c *Coordinator) HandlePeer(ctx context.Context, from identifier.VM, e *peerv1.Envelope) (*peerv1.Envelope, error) {
	switch {
	case e.GetLog() != nil:
		c.driver.Deliver(encoder.DecodeLogMessage(e.GetLog()))
		return nil, nil
	case e.GetServerReports() != nil:
		c.takeReports(e.GetServerReports())
		return nil, nil
	case e.GetCoreHello() != nil:
		c.takeHello(from, e.GetCoreHello())
		return nil, nil
	case e.GetProposal() != nil:
		result, err := c.driver.Propose(ctx, e.GetProposal().GetData())
		if err != nil {
			return nil, err
		}
		return &peerv1.Envelope{ProposalResult: &peerv1.ProposalResult{Result: result}}, nil
	case e.GetTermAsk() != nil:
		st := c.driver.Status()
		return &peerv1.Envelope{TermState: &peerv1.TermState{Term: uint64(st.Term), Leader: string(st.Leader)}}, nil
	case e.GetReadAsk() != nil:
		return c.answerRead(ctx, e.GetReadAsk())
	case e.GetFrontPull() != nil:
		return c.answerPull(ctx, from, e.GetFrontPull()), nil
	}
	return nil, Error.New("the message is of no known kind")
}

// AddSeeds adds the seeds of changed settings to the known core processes.
func (c *Coordinator) AddSeeds(set *configurer.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range SeedPeers(set) {
		if vm != c.self && c.peers[vm] == nil {
			c.peers[vm] = &peer{}
		}
	}
}

func (c *Coordinator) takeReports(r *peerv1.ServerReports) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range r.GetServers() {
		c.hear(encoder.DecodeServer(now, s))
	}
}

func (c *Coordinator) takeHello(from identifier.VM, h *peerv1.CoreHello) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[from]
	if p == nil {
		p = &peer{}
		c.peers[from] = p
	}
	now := time.Now()
	if now.Sub(p.heard) > peerLive {
		_ = level.Info(c.Logger).Log("msg", "core process is heard", "peer", from, "voter_id", h.GetVoterId(),
			"failure_domain", h.GetFailureDomain())
		// It may have missed reports.
		c.resendAll()
	}
	p.heard, p.hello = now, h
	for _, k := range h.GetKnown() {
		vm := identifier.VM(k)
		if vm != c.self && c.peers[vm] == nil {
			c.peers[vm] = &peer{}
		}
	}
}

// resendAll reports every server to the peers once more. The caller holds mu.
func (c *Coordinator) resendAll() {
	for _, s := range c.registry.All() {
		c.unsent[s.ID] = true
	}
}

// livePeers returns the peers to report to. The caller holds mu.
func (c *Coordinator) livePeers(now time.Time) []identifier.VM {
	var vms []identifier.VM
	for vm, p := range c.peers {
		if now.Sub(p.heard) <= peerLive {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// sendHellos tells every peer that this process lives, and what its fronts do.
func (c *Coordinator) sendHellos(now time.Time) {
	st := c.driver.Status()
	c.mu.Lock()
	for _, v := range st.Voters {
		vm := driver.VMOf(v)
		if vm != c.self && c.peers[vm] == nil {
			c.peers[vm] = &peer{}
		}
	}
	h := &peerv1.CoreHello{
		Address: string(c.self), VoterId: string(st.ID), FailureDomain: string(c.Settings.FailureDomain),
		Fronts: uint32(c.countFronts(now)), Loads: c.ownLoads(now), Doubts: c.ownDoubts(now), Demands: c.served.encode(),
	}
	var to []identifier.VM
	for vm, p := range c.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) > peerForgotten && !isVoter(st.Voters, vm) {
			delete(c.peers, vm)
			continue
		}
		if !p.heard.IsZero() && now.Sub(p.heard) > peerLive && now.Sub(p.tested) < time.Second {
			continue
		}
		p.tested = now
		to = append(to, vm)
		if now.Sub(p.heard) <= peerLive {
			h.Known = append(h.Known, string(vm))
		}
	}
	c.mu.Unlock()
	for _, vm := range to {
		c.linker.Send(vm, &peerv1.Envelope{CoreHello: h})
	}
}

func isVoter(voters []replicator.NodeID, vm identifier.VM) bool {
	return slices.ContainsFunc(voters, func(v replicator.NodeID) bool { return driver.VMOf(v) == vm })
}

// membersLoop keeps the voters of the log in line with the core processes that
// live, while this process leads.
func (c *Coordinator) membersLoop(ctx context.Context) {
	ticker := time.NewTicker(membersPace)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		st := c.driver.Status()
		if !st.CommittedInTerm {
			continue
		}
		next, reason := c.nextVoters(time.Now(), st)
		if next == nil {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, callBound)
		err := c.driver.ProposeVoters(bounded, next)
		cancel()
		_ = level.Info(c.Logger).Log("msg", "voters change", "reason", reason, "voters", len(next), "err", err)
	}
}

// nextVoters returns a set of voters that is one step better than the present
// one, or nil.
func (c *Coordinator) nextVoters(now time.Time, st driver.Status) ([]replicator.NodeID, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	voterOf := map[identifier.VM]replicator.NodeID{c.self: st.ID}
	heard := map[identifier.VM]time.Time{c.self: now}
	for vm, p := range c.peers {
		heard[vm] = p.heard
		if now.Sub(p.heard) <= peerLive {
			voterOf[vm] = replicator.NodeID(p.hello.GetVoterId())
		}
	}
	return planVoters(now, c.started, st.Voters, voterOf, heard)
}

// planVoters decides one change of voters. voterOf holds the voter ids of the
// core processes that live, heard when each was heard last.
//
// A voter whose process lives under another id has lost its disk and goes first.
// Then processes that are no voters come in. A voter that was long unheard goes
// only while enough others live, so that a cut does not shrink the majority.
func planVoters(
	now, started time.Time, voters []replicator.NodeID,
	voterOf map[identifier.VM]replicator.NodeID, heard map[identifier.VM]time.Time,
) ([]replicator.NodeID, string) {
	live := 0
	for _, v := range voters {
		vm := driver.VMOf(v)
		id, lives := voterOf[vm]
		if lives && id != "" && id != v {
			return without(voters, v), "the voter's process lives under another id"
		}
		if lives && id == v {
			live++
		}
	}
	var join []replicator.NodeID
	for _, id := range voterOf {
		if id != "" && !slices.Contains(voters, id) {
			join = append(join, id)
		}
	}
	if len(join) > 0 {
		next := append(slices.Clone(voters), slices.Min(join))
		slices.Sort(next)
		return next, "a core process is no voter yet"
	}
	for _, v := range voters {
		vm := driver.VMOf(v)
		if _, lives := voterOf[vm]; lives || live < leastVoters {
			continue
		}
		last := heard[vm]
		if last.Before(started) {
			last = started
		}
		if now.Sub(last) >= voterLost {
			return without(voters, v), "the voter was not heard for long"
		}
	}
	return nil, ""
}

func without(voters []replicator.NodeID, v replicator.NodeID) []replicator.NodeID {
	return slices.DeleteFunc(slices.Clone(voters), func(o replicator.NodeID) bool { return o == v })
}
