package server

import (
	"context"
	"time"

	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/leaser"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// HandlePeerMessage implements linker.Handler.
func (s *Server) HandlePeerMessage(ctx context.Context, from identifier.VM, e *peerv1.Envelope) (*peerv1.Envelope, error) {
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
	case e.GetEvidenceReport() != nil:
		s.mergeEvidence(e.GetEvidenceReport())
		return nil, nil
	case e.GetViewAsk():
		return &peerv1.Envelope{PlacementView: s.currentView()}, nil
	case e.GetIdentity() != nil:
		return s.handleIdentity(e.GetIdentity())
	}
	return nil, Error.New("the message is of no known kind")
}

// currentView returns the placement view that this entry uses, or an empty one if
// it has none.
func (s *Server) currentView() *peerv1.PlacementView {
	view, _ := s.locator.View(time.Now())
	if view == nil {
		view = &peerv1.PlacementView{FailureDomain: string(s.Settings.FailureDomain)}
	}
	return view
}

func (s *Server) handleIdentity(query *peerv1.Identity) (*peerv1.Envelope, error) {
	d := s.logs[query.GetLog()]
	if d == nil {
		return nil, Error.New("this process holds no log %q", query.GetLog())
	}
	return &peerv1.Envelope{Identity: &peerv1.Identity{Log: query.GetLog(), Id: string(d.Status().ID)}}, nil
}

func (s *Server) handleLeaseRequest(from identifier.VM, req *peerv1.LeaseAsk) (*peerv1.Envelope, error) {
	if identifier.FailureDomain(req.GetFailureDomain()) != s.Settings.FailureDomain || identifier.VM(req.GetVmId()) != from {
		return nil, Error.New("the lease is not of this failure domain")
	}
	reply := s.lease.handleRequest(time.Now(), leaser.Request{
		Holder: from, Epoch: identifier.Epoch(req.GetEpoch()),
		Duration: time.Duration(req.GetDurationMs()) * time.Millisecond, Round: req.GetRound(),
	})
	return &peerv1.Envelope{LeaseGrant: &peerv1.LeaseGrant{
		Granted: reply.Granted, Epoch: uint64(reply.Epoch), Holder: string(reply.Holder), Round: reply.Round,
	}}, nil
}

func encodeLeaseRequest(d identifier.FailureDomain, req leaser.Request) *peerv1.LeaseAsk {
	return &peerv1.LeaseAsk{
		FailureDomain: string(d), VmId: string(req.Holder), Epoch: uint64(req.Epoch),
		DurationMs: uint32(req.Duration.Milliseconds()), Round: req.Round,
	}
}

func decodeLeaseReply(g *peerv1.LeaseGrant) leaser.Reply {
	return leaser.Reply{
		Granted: g.GetGranted(), Epoch: identifier.Epoch(g.GetEpoch()), Holder: identifier.VM(g.GetHolder()), Round: g.GetRound(),
	}
}
