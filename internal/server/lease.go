package server

import (
	"context"
	"sync"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/leaser"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// leaseState is this process's part in choosing its failure domain's placement
// authority.
type leaseState struct {
	mu        sync.Mutex
	voter     leaser.Voter
	candidate leaser.Candidate
	// holder is the last authority that this voter promised itself to.
	holder identifier.VM
}

func (s *Server) initLease() {
	var voters []identifier.VM
	for _, p := range s.Settings.Peers {
		if p.FailureDomain == s.Settings.FailureDomain {
			voters = append(voters, p.VM)
		}
	}
	now := time.Now()
	l := &s.lease
	l.voter = leaser.Voter{MaxLease: s.Settings.Timing.PlacementLease}
	l.voter.Start(now)
	l.candidate = leaser.Candidate{VM: s.Settings.VM, Voters: voters, Lease: s.Settings.Timing.PlacementLease}
	// Epochs start near the wall clock, so that a domain whose processes all
	// restarted does not begin below the numbers it used before. Engines tell
	// of higher ones.
	l.candidate.Observe(identifier.Epoch(uint32(now.Unix())))
	l.candidate.Delay(now, time.Duration(s.random.IntN(int(s.Settings.Timing.Heartbeat))))
}

func (l *leaseState) answer(now time.Time, a leaser.Ask) leaser.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.voter.Answer(now, a)
	if g.Granted {
		l.holder = a.Holder
	}
	l.candidate.Observe(g.Epoch)
	return g
}

// holds reports whether this process is the authority, and its epoch.
func (l *leaseState) holds(now time.Time) (identifier.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.Epoch(), l.candidate.Holds(now)
}

func (l *leaseState) knownHolder() identifier.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

func (l *leaseState) observe(e identifier.Epoch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate.Observe(e)
}

func (l *leaseState) resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate.Resign()
}

// renewLease asks the domain's voters for the lease when it is this process's
// turn.
func (s *Server) renewLease(ctx context.Context) {
	if s.leaving.Load() || s.locator.EntryDrained() {
		return
	}
	now := time.Now()
	s.lease.mu.Lock()
	ask, ok := s.lease.candidate.Ask(now)
	s.lease.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.PlacementLease/4)
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range s.lease.candidate.Voters {
		wg.Go(func() { s.askVoter(ctx, vm, ask) })
	}
	wg.Wait()
	if _, held := s.lease.holds(time.Now()); !held {
		s.lease.mu.Lock()
		wait := time.Duration(s.random.IntN(int(s.Settings.Timing.PlacementLease / 2)))
		s.lease.candidate.Delay(time.Now(), wait)
		s.lease.mu.Unlock()
	}
}

func (s *Server) askVoter(ctx context.Context, vm identifier.VM, ask leaser.Ask) {
	var g leaser.Grant
	if vm == s.Settings.VM {
		g = s.lease.answer(time.Now(), ask)
	} else {
		answer, err := s.linker.Call(ctx, vm, &peerv1.Envelope{LeaseAsk: &peerv1.LeaseAsk{
			FailureDomain: string(s.Settings.FailureDomain), VmId: string(s.Settings.VM),
			Epoch: uint64(ask.Epoch), DurationMs: uint32(ask.Duration.Milliseconds()),
		}})
		if err != nil || answer.GetLeaseGrant() == nil {
			return
		}
		a := answer.GetLeaseGrant()
		g = leaser.Grant{Granted: a.GetGranted(), Epoch: identifier.Epoch(a.GetEpoch()), Holder: identifier.VM(a.GetHolder())}
	}
	s.lease.mu.Lock()
	defer s.lease.mu.Unlock()
	s.lease.candidate.Hear(time.Now(), vm, g)
}
