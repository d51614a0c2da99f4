package server

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"trefoilhead.org/trefoilhead/internal/claimer"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// proposeRetryInterval is the delay before a proposal is retried.
const proposeRetryInterval = 100 * time.Millisecond

// errNoQuorum reports that no leader of a log could be reached in time. The
// proposal may have been accepted nevertheless.
var errNoQuorum = errors.New("the control quorum cannot be reached from here")

// propose appends a command to a log, through this process or any voter, and
// retries until it gets the command's result or ctx ends. A command may be
// appended more than once, so state machines must recognize duplicates.
func (s *Server) propose(ctx context.Context, logName string, data []byte) ([]byte, error) {
	for ctx.Err() == nil {
		for _, vm := range s.proposalTargets(logName) {
			result, err := s.proposeVia(ctx, vm, logName, data)
			if err == nil {
				return result, nil
			}
			if ctx.Err() != nil {
				return nil, errNoQuorum
			}
		}
		sleep(ctx, proposeRetryInterval)
	}
	return nil, errNoQuorum
}

// proposalTargets lists the voters to send a proposal to: only the leader if it
// is known, else all other voters with a random one first.
func (s *Server) proposalTargets(logName string) []identifier.VM {
	var targets []identifier.VM
	if d := s.logs[logName]; d != nil {
		if st := d.Status(); st.Leader != "" {
			return []identifier.VM{st.Leader}
		}
	}
	for _, p := range s.Settings.Peers {
		if p.Voter && p.VM != s.Settings.VM {
			targets = append(targets, p.VM)
		}
	}
	if len(targets) > 1 {
		i := s.random.IntN(len(targets))
		targets[0], targets[i] = targets[i], targets[0]
	}
	return targets
}

func (s *Server) proposeVia(ctx context.Context, vm identifier.VM, logName string, data []byte) ([]byte, error) {
	if vm == s.Settings.VM {
		return s.proposeLocally(ctx, logName, data)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.SilenceTimeout)
	defer cancel()
	reply, err := s.linker.Call(ctx, vm, &peerv1.Envelope{Proposal: &peerv1.Proposal{Log: logName, Data: data}})
	if err != nil {
		return nil, err
	}
	return reply.GetProposalResult().GetResult(), nil
}

func (s *Server) proposeLocally(ctx context.Context, logName string, data []byte) ([]byte, error) {
	d := s.logs[logName]
	if d == nil {
		return nil, driver.ErrNotLeader
	}
	return d.Propose(ctx, data)
}

// handleProposal appends a peer's command to a log. A voter that is not the
// leader forwards it once to the leader, unless it came from there.
func (s *Server) handleProposal(ctx context.Context, from identifier.VM, p *peerv1.Proposal) (*peerv1.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.SilenceTimeout)
	defer cancel()
	result, err := s.proposeLocally(ctx, p.GetLog(), p.GetData())
	if errors.Is(err, driver.ErrNotLeader) {
		leader := s.leaderOf(p.GetLog())
		if leader == "" || leader == from || leader == s.Settings.VM {
			return nil, err
		}
		result, err = s.proposeVia(ctx, leader, p.GetLog(), p.GetData())
	}
	if err != nil {
		return nil, err
	}
	return &peerv1.Envelope{ProposalResult: &peerv1.ProposalResult{Result: result}}, nil
}

func (s *Server) leaderOf(logName string) identifier.VM {
	if d := s.logs[logName]; d != nil {
		return d.Status().Leader
	}
	return ""
}

// claimRunner runs the relayer's commands through the claims log.
type claimRunner struct{ s *Server }

// RunCommand implements relayer.ClaimsLog.
func (c claimRunner) RunCommand(ctx context.Context, cmd claimer.Command) (claimer.Outcome, error) {
	var o claimer.Outcome
	data, err := json.Marshal(cmd)
	if err != nil {
		return o, err
	}
	result, err := c.s.propose(ctx, claimsLog, data)
	if err != nil {
		return o, err
	}
	return o, json.Unmarshal(result, &o)
}

// logSender sends the messages of the replicated logs to peers over the links.
type logSender struct{ l *linker.Linker }

// SendLogMessage implements driver.Sender.
func (s logSender) SendLogMessage(to identifier.VM, logName string, m replicator.Message) {
	s.l.Send(to, &peerv1.Envelope{Log: encoder.EncodeLogMessage(logName, m)})
}
