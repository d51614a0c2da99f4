package server

import (
	"context"
	"time"

	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/leaser"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// HandlePeer implements linker.Handler.
func (s *Server) HandlePeer(ctx context.Context, from identifier.VM, e *peerv1.Envelope) (*peerv1.Envelope, error) {
	switch {
	case e.GetLog() != nil:
		if d := s.logs[e.GetLog().GetLog()]; d != nil {
			d.Deliver(encoder.DecodeLogMessage(e.GetLog()))
		}
		return nil, nil
	case e.GetProposal() != nil:
		return s.handleProposal(ctx, from, e.GetProposal())
	case e.GetPull() != nil:
		return &peerv1.Envelope{Delta: s.configDelta(identifier.Revision(e.GetPull().GetRevision()))}, nil
	case e.GetDelta() != nil:
		s.applyDelta(e.GetDelta())
		return nil, nil
	case e.GetEntryReport() != nil:
		return s.handleReport(e.GetEntryReport())
	case e.GetLeaseAsk() != nil:
		return s.handleLeaseRequest(from, e.GetLeaseAsk())
	case e.GetWitnessAsk() != nil:
		return s.handleWitnessRequest(ctx, from, e.GetWitnessAsk())
	case e.GetDigest() != nil:
		s.locator.SetDigest(time.Now(), e.GetDigest(), true)
		return nil, nil
	case e.GetViewAsk():
		return &peerv1.Envelope{PlacementView: s.currentView()}, nil
	case e.GetIdentity() != nil:
		return s.handleIdentity(e.GetIdentity())
	}
	return nil, Error.New("the message is of no known kind")
}

// currentView returns the placement view that this entry goes by, or an empty
// one.
func (s *Server) currentView() *peerv1.PlacementView {
	view, _ := s.locator.View(time.Now())
	if view == nil {
		view = &peerv1.PlacementView{FailureDomain: string(s.Settings.FailureDomain)}
	}
	return view
}

func (s *Server) handleIdentity(q *peerv1.Identity) (*peerv1.Envelope, error) {
	d := s.logs[q.GetLog()]
	if d == nil {
		return nil, Error.New("this process holds no log %q", q.GetLog())
	}
	return &peerv1.Envelope{Identity: &peerv1.Identity{Log: q.GetLog(), Id: string(d.Status().ID)}}, nil
}

func (s *Server) handleLeaseRequest(from identifier.VM, a *peerv1.LeaseAsk) (*peerv1.Envelope, error) {
	if identifier.FailureDomain(a.GetFailureDomain()) != s.Settings.FailureDomain || identifier.VM(a.GetVmId()) != from {
		return nil, Error.New("the lease is not of this failure domain")
	}
	g := s.lease.handleRequest(time.Now(), leaser.Request{
		Holder: from, Epoch: identifier.Epoch(a.GetEpoch()),
		Duration: time.Duration(a.GetDurationMs()) * time.Millisecond, Round: a.GetRound(),
	})
	return &peerv1.Envelope{LeaseGrant: &peerv1.LeaseGrant{
		Granted: g.Granted, Epoch: uint64(g.Epoch), Holder: string(g.Holder), Round: g.Round,
	}}, nil
}

func encodeLeaseRequest(d identifier.FailureDomain, a leaser.Request) *peerv1.LeaseAsk {
	return &peerv1.LeaseAsk{
		FailureDomain: string(d), VmId: string(a.Holder), Epoch: uint64(a.Epoch),
		DurationMs: uint32(a.Duration.Milliseconds()), Round: a.Round,
	}
}

func decodeLeaseReply(g *peerv1.LeaseGrant) leaser.Reply {
	return leaser.Reply{
		Granted: g.GetGranted(), Epoch: identifier.Epoch(g.GetEpoch()), Holder: identifier.VM(g.GetHolder()), Round: g.GetRound(),
	}
}
