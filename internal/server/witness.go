package server

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/leaser"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// witnessVM stands for the configuration log among the voters of a failure
// domain with an even number of entry VMs. It is no valid id of a VM.
const witnessVM identifier.VM = "~witness"

// witness notes when this process applied the log's last vote for each domain.
// A vote may have been cast earlier, never later, so waiting one lease from
// then on is always long enough.
type witness struct {
	mu      sync.Mutex
	started time.Time
	domains []identifier.FailureDomain
	votes   map[identifier.FailureDomain]uint64
	applied map[identifier.FailureDomain]time.Time
}

func (s *Server) initWitness() {
	w := &s.witness
	w.started = time.Now()
	w.votes = map[identifier.FailureDomain]uint64{}
	w.applied = map[identifier.FailureDomain]time.Time{}
	seen := map[identifier.FailureDomain]bool{}
	for _, p := range s.Settings.Peers {
		if !seen[p.FailureDomain] {
			w.domains = append(w.domains, p.FailureDomain)
		}
		seen[p.FailureDomain] = true
	}
}

func (w *witness) noteVotes(now time.Time, state *recorder.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.domains {
		if n := state.LastPlacementVote(d).VoteCount; n != w.votes[d] {
			w.votes[d], w.applied[d] = n, now
		}
	}
}

// free reports whether any promise to another holder has certainly run out.
func (w *witness) free(now time.Time, d identifier.FailureDomain, lease time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, ok := w.applied[d]
	if !ok {
		last = w.started
	}
	return now.Sub(last) > lease
}

// askWitness asks the configuration log for its vote, at its leader.
func (s *Server) askWitness(ctx context.Context, ask leaser.Request) (leaser.Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, s.voteTime())
	defer cancel()
	wire := encodeAsk(s.Settings.FailureDomain, ask)
	for _, vm := range s.proposalOrder(configLog) {
		var answer *peerv1.Envelope
		var err error
		if vm == s.Settings.VM {
			answer, err = s.handleWitnessAsk(ctx, vm, wire)
		} else {
			answer, err = s.linker.Call(ctx, vm, &peerv1.Envelope{WitnessAsk: wire})
		}
		if err == nil && answer.GetLeaseGrant() != nil {
			return decodeGrant(answer.GetLeaseGrant()), true
		}
	}
	return leaser.Reply{}, false
}

// handleWitnessAsk votes, if this process leads the configuration log.
func (s *Server) handleWitnessAsk(ctx context.Context, from identifier.VM, a *peerv1.LeaseAsk) (*peerv1.Envelope, error) {
	if s.leaderOf(configLog) != s.Settings.VM || identifier.VM(a.GetVmId()) != from {
		return nil, Error.New("this process does not lead the log")
	}
	d := identifier.FailureDomain(a.GetFailureDomain())
	last := s.logged.LastPlacementVote(d)
	refused := &peerv1.Envelope{LeaseGrant: &peerv1.LeaseGrant{Epoch: uint64(last.Epoch), Holder: string(last.Holder), Round: a.GetRound()}}
	other := last.Holder != "" && last.Holder != from
	switch {
	case identifier.Epoch(a.GetEpoch()) < last.Epoch, other && identifier.Epoch(a.GetEpoch()) == last.Epoch:
		return refused, nil
	case last.Holder != from && !s.witness.free(time.Now(), d, s.Settings.Timing.PlacementLeaseDuration):
		return refused, nil
	}
	data, err := json.Marshal(recorder.Change{PlacementVote: &recorder.PlacementVote{
		FailureDomain: d, Holder: from, Epoch: identifier.Epoch(a.GetEpoch()), VoteCount: last.VoteCount,
	}})
	if err != nil {
		return nil, err
	}
	result, err := s.proposeHere(ctx, configLog, data)
	if err != nil {
		return nil, err
	}
	var out recorder.Outcome
	if err := json.Unmarshal(result, &out); err != nil || out.Code != recorder.OutcomeAccepted {
		return refused, err
	}
	return &peerv1.Envelope{LeaseGrant: &peerv1.LeaseGrant{Granted: true, Epoch: a.GetEpoch(), Holder: string(from), Round: a.GetRound()}}, nil
}
