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

// witnessVM represents the configuration log as a voter in a failure domain with
// an even number of entry VMs. It is not a valid VM id, so no VM can have it.
const witnessVM identifier.VM = "~witness"

// witnessState records when this process applied the log's last vote for each
// failure domain. The vote was cast no later than that, so its lease has expired
// once a lease duration has passed since then.
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
		if n := state.LastPlacementVote(d).VoteCount; n != w.voteCounts[d] {
			w.voteCounts[d], w.appliedAt[d] = n, now
		}
	}
}

// hasLeaseExpired reports whether the lease of the last vote has certainly
// expired. Without a recorded vote the lease counts from the start of the process.
func (w *witnessState) hasLeaseExpired(now time.Time, d identifier.FailureDomain, lease time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	appliedAt, ok := w.appliedAt[d]
	if !ok {
		appliedAt = w.startTime
	}
	return now.Sub(appliedAt) > lease
}

// requestWitnessVote requests the vote of the configuration log from the log's
// leader, or from each other voter in turn if the leader is unknown.
func (s *Server) requestWitnessVote(ctx context.Context, req leaser.Request) (leaser.Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, s.voteTimeout())
	defer cancel()
	msg := encodeLeaseRequest(s.Settings.FailureDomain, req)
	for _, vm := range s.proposalTargets(configLog) {
		var reply *peerv1.Envelope
		var err error
		if vm == s.Settings.VM {
			reply, err = s.handleWitnessRequest(ctx, vm, msg)
		} else {
			reply, err = s.linker.Call(ctx, vm, &peerv1.Envelope{WitnessAsk: msg})
		}
		if err == nil && reply.GetLeaseGrant() != nil {
			return decodeLeaseReply(reply.GetLeaseGrant()), true
		}
	}
	return leaser.Reply{}, false
}

// handleWitnessRequest casts the configuration log's vote if this process leads
// the log. It refuses while another holder may still have the lease.
func (s *Server) handleWitnessRequest(ctx context.Context, from identifier.VM, req *peerv1.LeaseAsk) (*peerv1.Envelope, error) {
	if s.leaderOf(configLog) != s.Settings.VM || identifier.VM(req.GetVmId()) != from {
		return nil, Error.New("this process does not lead the log")
	}
	d := identifier.FailureDomain(req.GetFailureDomain())
	last := s.loggedConfig.LastPlacementVote(d)
	refused := &peerv1.Envelope{LeaseGrant: &peerv1.LeaseGrant{Epoch: uint64(last.Epoch), Holder: string(last.Holder), Round: req.GetRound()}}
	heldByOther := last.Holder != "" && last.Holder != from
	switch {
	case identifier.Epoch(req.GetEpoch()) < last.Epoch, heldByOther && identifier.Epoch(req.GetEpoch()) == last.Epoch:
		return refused, nil
	case last.Holder != from && !s.witness.hasLeaseExpired(time.Now(), d, s.Settings.Timing.PlacementLeaseDuration):
		return refused, nil
	}
	data, err := json.Marshal(recorder.Change{PlacementVote: &recorder.PlacementVote{
		FailureDomain: d, Holder: from, Epoch: identifier.Epoch(req.GetEpoch()), VoteCount: last.VoteCount,
	}})
	if err != nil {
		return nil, err
	}
	result, err := s.proposeLocally(ctx, configLog, data)
	if err != nil {
		return nil, err
	}
	var out recorder.Outcome
	if err := json.Unmarshal(result, &out); err != nil || out.Code != recorder.OutcomeAccepted {
		return refused, err
	}
	return &peerv1.Envelope{LeaseGrant: &peerv1.LeaseGrant{Granted: true, Epoch: req.GetEpoch(), Holder: string(from), Round: req.GetRound()}}, nil
}
