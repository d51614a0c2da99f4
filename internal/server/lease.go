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
	if len(voters)%2 == 0 {
		voters = append(voters, witnessVM)
	}
	now := time.Now()
	l := &s.lease
	l.voter = leaser.Voter{MaxLeaseDuration: s.Settings.Timing.PlacementLeaseDuration}
	l.voter.Start(now)
	l.candidate = leaser.Candidate{VM: s.Settings.VM, Voters: voters, LeaseDuration: s.Settings.Timing.PlacementLeaseDuration}
	// Epochs start near the wall clock, so that a domain whose processes all
	// restarted does not begin below the numbers it used before. Engines tell
	// of higher ones.
	l.candidate.ObserveEpoch(identifier.Epoch(uint32(now.Unix())))
	l.candidate.DelayNextRound(now, time.Duration(s.random.IntN(int(s.Settings.Timing.HeartbeatInterval))))
}

func (l *leaseState) answer(now time.Time, a leaser.Request) leaser.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.voter.HandleRequest(now, a)
	if g.Granted {
		l.holder = a.Holder
	}
	l.candidate.ObserveEpoch(g.Epoch)
	return g
}

// holds reports whether this process is the authority, and its epoch.
func (l *leaseState) holds(now time.Time) (identifier.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.Epoch(), l.candidate.HoldsLease(now)
}

func (l *leaseState) knownHolder() identifier.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

func (l *leaseState) observe(e identifier.Epoch) {
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
	if s.leaving.Load() || s.locator.IsEntryVMDrained() {
		return
	}
	now := time.Now()
	s.lease.mu.Lock()
	ask, ok := s.lease.candidate.StartRound(now)
	s.lease.mu.Unlock()
	if !ok {
		return
	}
	s.askVoters(ctx, ask)
	if s.lease.won(ask) {
		return
	}
	if s.hasWitness() && s.lease.lacksOne() {
		if g, ok := s.askWitness(ctx, ask); ok {
			s.lease.hear(witnessVM, g)
		}
	}
	if s.lease.won(ask) {
		return
	}
	s.lease.mu.Lock()
	wait := time.Duration(s.random.IntN(int(s.Settings.Timing.PlacementLeaseDuration)))
	s.lease.candidate.DelayNextRound(time.Now(), wait)
	back := s.lease.candidate.AbandonRound()
	s.lease.mu.Unlock()
	s.askVoters(ctx, back)
}

// voteTime returns how long one step of a round may take, so that silent
// voters leave time for the witness.
func (s *Server) voteTime() time.Duration { return s.Settings.Timing.PlacementLeaseDuration / 5 }

func (s *Server) askVoters(ctx context.Context, ask leaser.Request) {
	ctx, cancel := context.WithTimeout(ctx, s.voteTime())
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range s.lease.candidate.Voters {
		if vm == witnessVM {
			continue
		}
		wg.Go(func() { s.askVoter(ctx, vm, ask) })
	}
	wg.Wait()
}

func (s *Server) askVoter(ctx context.Context, vm identifier.VM, ask leaser.Request) {
	var g leaser.Reply
	if vm == s.Settings.VM {
		g = s.lease.answer(time.Now(), ask)
	} else {
		answer, err := s.linker.Call(ctx, vm, &peerv1.Envelope{LeaseAsk: encodeAsk(s.Settings.FailureDomain, ask)})
		if err != nil || answer.GetLeaseGrant() == nil {
			return
		}
		g = decodeGrant(answer.GetLeaseGrant())
	}
	s.lease.hear(vm, g)
}

func (l *leaseState) hear(from identifier.VM, g leaser.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate.HandleReply(time.Now(), from, g)
}

func (l *leaseState) lacksOne() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.IsOneVoteShort()
}

// won reports whether a round of asking has won the lease.
func (l *leaseState) won(a leaser.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.HasWonRound(a)
}

func (s *Server) hasWitness() bool { return slices.Contains(s.lease.candidate.Voters, witnessVM) }
