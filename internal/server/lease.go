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

// leaseState is this process's voter and candidate in the election of its failure
// domain's placement authority.
type leaseState struct {
	mu        sync.Mutex
	voter     leaser.Voter
	candidate leaser.Candidate
	// grantedTo is the candidate that this voter last granted the lease to.
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
	l.voter = leaser.Voter{MaxLeaseDuration: s.Settings.Timing.PlacementLeaseDuration}
	l.voter.Start(now)
	l.candidate = leaser.Candidate{VM: s.Settings.VM, Voters: voters, LeaseDuration: s.Settings.Timing.PlacementLeaseDuration}
	// Epochs start at the wall clock's seconds, so that a failure domain whose
	// processes all restarted does not reuse lower epochs than before. Engines
	// report the highest epoch they have seen, in case that is higher still.
	l.candidate.ObserveEpoch(identifier.Epoch(uint32(now.Unix())))
	l.candidate.DelayNextRound(now, time.Duration(s.random.IntN(int(s.Settings.Timing.HeartbeatInterval))))
}

func (l *leaseState) handleRequest(now time.Time, req leaser.Request) leaser.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := l.voter.HandleRequest(now, req)
	if reply.Granted {
		l.grantedTo = req.Holder
	}
	l.candidate.ObserveEpoch(reply.Epoch)
	return reply
}

// holdsLease returns this process's epoch and whether it holds the lease.
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

// renewLease runs one round of votes to acquire or renew the lease, if a round is
// due. If the round fails, it releases the votes and delays the next round by a
// random time. An entry that is shutting down or drained runs no rounds.
func (s *Server) renewLease(ctx context.Context) {
	if s.shuttingDown.Load() || s.locator.IsEntryVMDrained() {
		return
	}
	now := time.Now()
	s.lease.mu.Lock()
	req, ok := s.lease.candidate.StartRound(now)
	s.lease.mu.Unlock()
	if !ok {
		return
	}
	s.requestVotes(ctx, req)
	if s.lease.hasWonRound(req) {
		return
	}
	if s.hasWitness() && s.lease.isOneVoteShort() {
		if reply, ok := s.requestWitnessVote(ctx, req); ok {
			s.lease.handleReply(witnessVM, reply)
		}
	}
	if s.lease.hasWonRound(req) {
		return
	}
	s.lease.mu.Lock()
	delay := time.Duration(s.random.IntN(int(s.Settings.Timing.PlacementLeaseDuration)))
	s.lease.candidate.DelayNextRound(time.Now(), delay)
	release := s.lease.candidate.AbandonRound()
	s.lease.mu.Unlock()
	s.requestVotes(ctx, release)
}

// voteTimeout returns the time limit for each step of a round. It is short enough
// that the witness can still be asked if voters do not reply.
func (s *Server) voteTimeout() time.Duration { return s.Settings.Timing.PlacementLeaseDuration / 5 }

func (s *Server) requestVotes(ctx context.Context, req leaser.Request) {
	ctx, cancel := context.WithTimeout(ctx, s.voteTimeout())
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range s.lease.candidate.Voters {
		if vm == witnessVM {
			continue
		}
		wg.Go(func() { s.requestVote(ctx, vm, req) })
	}
	wg.Wait()
}

func (s *Server) requestVote(ctx context.Context, vm identifier.VM, req leaser.Request) {
	var reply leaser.Reply
	if vm == s.Settings.VM {
		reply = s.lease.handleRequest(time.Now(), req)
	} else {
		resp, err := s.linker.Call(ctx, vm, &peerv1.Envelope{LeaseAsk: encodeLeaseRequest(s.Settings.FailureDomain, req)})
		if err != nil || resp.GetLeaseGrant() == nil {
			return
		}
		reply = decodeLeaseReply(resp.GetLeaseGrant())
	}
	s.lease.handleReply(vm, reply)
}

func (l *leaseState) handleReply(from identifier.VM, reply leaser.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate.HandleReply(time.Now(), from, reply)
}

func (l *leaseState) isOneVoteShort() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.IsOneVoteShort()
}

// hasWonRound reports whether the round of votes that req started has won the
// lease.
func (l *leaseState) hasWonRound(req leaser.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.HasWonRound(req)
}

func (s *Server) hasWitness() bool { return slices.Contains(s.lease.candidate.Voters, witnessVM) }
