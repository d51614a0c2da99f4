package encoder

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// EncodeServer converts the state of a backend server to its wire form. Points in
// time become durations relative to now, because the clocks of VMs differ.
func EncodeServer(now time.Time, s *tracker.Server) *peerv1.ServerState {
	out := &peerv1.ServerState{
		Id: string(s.ID), Service: string(s.Service), Address: s.Address, FailureDomain: string(s.Domain),
		FabricDomain: string(s.Fabric), SoftwareVersion: s.SoftwareVersion, Slots: uint32(s.Slots), Draining: s.Draining,
		BornMs: s.Incarnation, Sequence: s.Sequence, Staged: s.StagedModels, Models: s.LoadedModels, Gone: s.Gone, Silent: s.Silent,
		HeardAgoMs: uint64(max(now.Sub(s.LastHeartbeatAt), 0).Milliseconds()),
		ColdMs:     uint64(max(s.ColdUntil.Sub(now), 0).Milliseconds()),
		Leaving:    s.Leaving, GonePresumed: s.GonePresumed, Reinstatements: s.Reinstatements,
		GoneUpToMs: s.GoneUpTo, LeavingUpToMs: s.LeavingUpTo,
	}
	if m := s.Membership; m != (tracker.Membership{}) {
		out.Membership = &peerv1.Membership{
			Group: string(m.Group), Epoch: m.Epoch, Rank: uint32(m.Rank), State: string(m.State),
		}
	}
	return out
}

// DecodeServer is the inverse of EncodeServer, except that Superseded is not part
// of the message. now is the time at which the message arrived.
func DecodeServer(now time.Time, in *peerv1.ServerState) tracker.Server {
	s := tracker.Server{
		ID: identifier.Server(in.GetId()), Service: identifier.Service(in.GetService()), Address: in.GetAddress(),
		Domain: identifier.FailureDomain(in.GetFailureDomain()), Fabric: identifier.FabricDomain(in.GetFabricDomain()),
		SoftwareVersion: in.GetSoftwareVersion(), Slots: int(in.GetSlots()), Draining: in.GetDraining(), Incarnation: in.GetBornMs(),
		Sequence: in.GetSequence(), StagedModels: in.GetStaged(), LoadedModels: in.GetModels(), Gone: in.GetGone(), Silent: in.GetSilent(),
		LastHeartbeatAt: now.Add(-milliseconds(in.GetHeardAgoMs())), Leaving: in.GetLeaving(),
		GonePresumed: in.GetGonePresumed(), Reinstatements: in.GetReinstatements(),
		GoneUpTo: in.GetGoneUpToMs(), LeavingUpTo: in.GetLeavingUpToMs(),
	}
	if in.GetColdMs() > 0 {
		s.ColdUntil = now.Add(milliseconds(in.GetColdMs()))
	}
	if m := in.GetMembership(); m != nil {
		s.Membership = tracker.Membership{
			Group: identifier.Group(m.GetGroup()), Epoch: m.GetEpoch(), Rank: int(m.GetRank()),
			State: tracker.GroupState(m.GetState()),
		}
	}
	return s
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
