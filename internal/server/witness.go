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

// witnessState notes when this process applied the log's last vote for each domain.
// A vote may have been cast earlier, never later, so waiting one lease from
// then on is always long enough.
type witnessState struct {
	mu             sync.Mutex
	startTime      time.Time
	failureDomains []identifier.FailureDomain
	voteCounts     map[identifier.FailureDomain]uint64
	appliedAt      map[identifier.FailureDomain]time.Time
}

func (s *Server) initWitness() {
	w := &s.witness
	w.startTime = time.Now()
	w.voteCounts = map[identifier.FailureDomain]uint64{}
	w.appliedAt = map[identifier.FailureDomain]time.Time{}
	seen := map[identifier.FailureDomain]bool{}
	for _, p := range s.Settings.Peers {
		if !seen[p.FailureDomain] {
			w.failureDomains = append(w.failureDomains, p.FailureDomain)
		}
		seen[p.FailureDomain] = true
	}
}

func (w *witnessState) recordVotes(now time.Time, state *recorder.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.failureDomains {
		if n := state.Vote(d).After; n != w.voteCounts[d] {
			w.voteCounts[d], w.appliedAt[d] = n, now
		}
	}
}

// hasLeaseExpired reports whether any promise to another holder has certainly run out.
func (w *witnessState) hasLeaseExpired(now time.Time, d identifier.FailureDomain, lease time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, ok := w.appliedAt[d]
	if !ok {
		last = w.startTime
	}
	return now.Sub(last) > lease
}

// requestWitnessVote asks the configuration log for its vote, at its leader.
func (s *Server) requestWitnessVote(ctx context.Context, ask leaser.Request) (leaser.Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, s.voteTimeout())
	defer cancel()
	wire := encodeLeaseRequest(s.Settings.FailureDomain, ask)
	for _, vm := range s.proposalTargets(configLog) {
		var answer *peerv1.Envelope
		var err error
		if vm == s.Settings.VM {
			answer, err = s.handleWitnessRequest(ctx, vm, wire)
		} else {
			answer, err = s.linker.Call(ctx, vm, &peerv1.Envelope{WitnessAsk: wire})
		}
		if err == nil && answer.GetLeaseGrant() != nil {
			return decodeLeaseReply(answer.GetLeaseGrant()), true
		}
	}
	return leaser.Reply{}, false
}

// handleWitnessRequest votes, if this process leads the configuration log.
func (s *Server) handleWitnessRequest(ctx context.Context, from identifier.VM, a *peerv1.LeaseAsk) (*peerv1.Envelope, error) {
	if s.leaderOf(configLog) != s.Settings.VM || identifier.VM(a.GetVmId()) != from {
		return nil, Error.New("this process does not lead the log")
	}
	d := identifier.FailureDomain(a.GetFailureDomain())
	last := s.loggedConfig.Vote(d)
	refused := &peerv1.Envelope{LeaseGrant: &peerv1.LeaseGrant{Epoch: uint64(last.Epoch), Holder: string(last.Holder), Round: a.GetRound()}}
	other := last.Holder != "" && last.Holder != from
	switch {
	case identifier.Epoch(a.GetEpoch()) < last.Epoch, other && identifier.Epoch(a.GetEpoch()) == last.Epoch:
		return refused, nil
	case last.Holder != from && !s.witness.hasLeaseExpired(time.Now(), d, s.Settings.Timing.PlacementLease):
		return refused, nil
	}
	data, err := json.Marshal(recorder.Change{Witness: &recorder.Vote{
		Domain: d, Holder: from, Epoch: identifier.Epoch(a.GetEpoch()), After: last.After,
	}})
	if err != nil {
		return nil, err
	}
	result, err := s.proposeLocally(ctx, configLog, data)
	if err != nil {
		return nil, err
	}
	var out recorder.Outcome
	if err := json.Unmarshal(result, &out); err != nil || out.Code != recorder.Accepted {
		return refused, err
	}
	return &peerv1.Envelope{LeaseGrant: &peerv1.LeaseGrant{Granted: true, Epoch: a.GetEpoch(), Holder: string(from), Round: a.GetRound()}}, nil
}
