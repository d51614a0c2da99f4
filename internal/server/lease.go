package server

import (
	"context"
	"slices"
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
	// grantedTo is the last authority that this voter promised itself to.
	grantedTo identifier.VM
}

func (s *Server) initLease() {
	var voters []identifier.VM
	for _, p := range s.Settings.Peers {
		if p.FailureDomain == s.Settings.FailureDomain {
			voters = append(voters, p.VM)
		}
	}
	if len(voters)%2 == 0 {
		voters = append(voters, witnessVM)
	}
	now := time.Now()
	l := &s.lease
	l.voter = leaser.Voter{MaxLeaseDuration: s.Settings.Timing.PlacementLease}
	l.voter.Start(now)
	l.candidate = leaser.Candidate{VM: s.Settings.VM, Voters: voters, LeaseDuration: s.Settings.Timing.PlacementLease}
	// Epochs start near the wall clock, so that a domain whose processes all
	// restarted does not begin below the numbers it used before. Engines tell
	// of higher ones.
	l.candidate.ObserveEpoch(identifier.Epoch(uint32(now.Unix())))
	l.candidate.DelayNextRound(now, time.Duration(s.random.IntN(int(s.Settings.Timing.Heartbeat))))
}

func (l *leaseState) handleRequest(now time.Time, a leaser.Request) leaser.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.voter.HandleRequest(now, a)
	if g.Granted {
		l.grantedTo = a.Holder
	}
	l.candidate.ObserveEpoch(g.Epoch)
	return g
}

// holdsLease reports whether this process is the authority, and its epoch.
func (l *leaseState) holdsLease(now time.Time) (identifier.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.Epoch(), l.candidate.HoldsLease(now)
}

func (l *leaseState) knownHolder() identifier.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantedTo
}

func (l *leaseState) observeEpoch(e identifier.Epoch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate.ObserveEpoch(e)
}

func (l *leaseState) resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate.ResignLease()
}

// renewLease asks the domain's voters for the lease when it is this process's
// turn.
func (s *Server) renewLease(ctx context.Context) {
	if s.shuttingDown.Load() || s.locator.EntryDrained() {
		return
	}
	now := time.Now()
	s.lease.mu.Lock()
	ask, ok := s.lease.candidate.StartRound(now)
	s.lease.mu.Unlock()
	if !ok {
		return
	}
	s.requestVotes(ctx, ask)
	if s.lease.hasWonRound(ask) {
		return
	}
	if s.hasWitness() && s.lease.isOneVoteShort() {
		if g, ok := s.requestWitnessVote(ctx, ask); ok {
			s.lease.handleReply(witnessVM, g)
		}
	}
	if s.lease.hasWonRound(ask) {
		return
	}
	s.lease.mu.Lock()
	wait := time.Duration(s.random.IntN(int(s.Settings.Timing.PlacementLease)))
	s.lease.candidate.DelayNextRound(time.Now(), wait)
	back := s.lease.candidate.AbandonRound()
	s.lease.mu.Unlock()
	s.requestVotes(ctx, back)
}

// voteTimeout returns how long one step of a round may take, so that silent
// voters leave time for the witness.
func (s *Server) voteTimeout() time.Duration { return s.Settings.Timing.PlacementLease / 5 }

func (s *Server) requestVotes(ctx context.Context, ask leaser.Request) {
	ctx, cancel := context.WithTimeout(ctx, s.voteTimeout())
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range s.lease.candidate.Voters {
		if vm == witnessVM {
			continue
		}
		wg.Go(func() { s.requestVote(ctx, vm, ask) })
	}
	wg.Wait()
}

func (s *Server) requestVote(ctx context.Context, vm identifier.VM, ask leaser.Request) {
	var g leaser.Reply
	if vm == s.Settings.VM {
		g = s.lease.handleRequest(time.Now(), ask)
	} else {
		answer, err := s.linker.Call(ctx, vm, &peerv1.Envelope{LeaseAsk: encodeLeaseRequest(s.Settings.FailureDomain, ask)})
		if err != nil || answer.GetLeaseGrant() == nil {
			return
		}
		g = decodeLeaseReply(answer.GetLeaseGrant())
	}
	s.lease.handleReply(vm, g)
}

func (l *leaseState) handleReply(from identifier.VM, g leaser.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate.HandleReply(time.Now(), from, g)
}

func (l *leaseState) isOneVoteShort() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.IsOneVoteShort()
}

// hasWonRound reports whether a round of asking has won the lease.
func (l *leaseState) hasWonRound(a leaser.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.HasWonRound(a)
}

func (s *Server) hasWitness() bool { return slices.Contains(s.lease.candidate.Voters, witnessVM) }
