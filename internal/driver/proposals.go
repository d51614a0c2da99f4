package driver

import (
	"context"
	"errors"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

type proposal struct {
	data   []byte
	voters []replicator.NodeID
	done   chan result
}

// lostVoter is the id of a voter that will never run again.
type lostVoter replicator.NodeID

// learnerSet holds the ids that get the log without being voters.
type learnerSet []replicator.NodeID

// resignation asks this voter to give up the lead.
type resignation struct{}

type pendingProposal struct {
	term replicator.Term
	done chan result
}

type result struct {
	index replicator.Index
	data  []byte
	err   error
}

// MarkReplaced records that the process on a VM runs under the given id, so that a
// voter of that VM with another id, whose disk is gone, will never run again. It never
// blocks.
func (d *Driver) MarkReplaced(vm identifier.VM, id replicator.NodeID) {
	if id == "" {
		return
	}
	st := d.Status()
	for _, v := range st.Members() {
		if VMOf(v) == vm && v != id {
			d.enqueue(lostVoter(v))
		}
	}
}

// Deliver queues a message from another voter. It never blocks: a message that
// does not fit into the inbox is dropped, which the protocol tolerates.
func (d *Driver) Deliver(m replicator.Message) { d.enqueue(m) }

func (d *Driver) enqueue(item any) {
	select {
	case d.inbox <- item:
	default:
	}
}

// Propose appends a command to the log and returns the state machine's result
// once it is committed and applied. Only the leader accepts commands; other
// voters return ErrNotLeader.
func (d *Driver) Propose(ctx context.Context, data []byte) ([]byte, error) {
	return d.submit(ctx, proposal{data: data, done: make(chan result, 1)})
}

// SetLearners sets the ids that get the log without being voters while this voter leads.
// It never blocks.
func (d *Driver) SetLearners(ids []replicator.NodeID) { d.enqueue(learnerSet(ids)) }

// Resign gives up the lead, if this voter has it, so that the others elect a leader at
// once. It never blocks.
func (d *Driver) Resign() { d.enqueue(resignation{}) }

// ProposeVoters replaces the set of voters by one that has exactly one voter more
// or less, or another one in place of one, and returns once the change is committed.
func (d *Driver) ProposeVoters(ctx context.Context, voters []replicator.NodeID) error {
	_, err := d.submit(ctx, proposal{voters: voters, done: make(chan result, 1)})
	return err
}

func (d *Driver) submit(ctx context.Context, p proposal) ([]byte, error) {
	select {
	case d.inbox <- p:
	case <-ctx.Done():
		return nil, ErrNotLeader
	}
	select {
	case r := <-p.done:
		return r.data, r.err
	case <-ctx.Done():
		return nil, ErrUnknown
	}
}

func (d *Driver) handleProposal(p proposal) {
	if d.probe != nil {
		p.done <- result{err: ErrNotLeader}
		return
	}
	var index replicator.Index
	var term replicator.Term
	var err error
	if p.voters != nil {
		index, term, err = d.node.ProposeVoters(p.voters)
	} else {
		index, term, err = d.node.Propose(p.data)
	}
	switch {
	case errors.Is(err, replicator.ErrNotLeader):
		p.done <- result{err: ErrNotLeader}
	case err != nil:
		p.done <- result{err: err}
	default:
		d.pending[index] = append(d.pending[index], pendingProposal{term: term, done: p.done})
	}
}

func (d *Driver) completeProposals(e replicator.Entry, data []byte) {
	for _, p := range d.pending[e.Index] {
		if p.term == e.Term {
			p.done <- result{index: e.Index, data: data}
		} else {
			p.done <- result{err: ErrOverwritten}
		}
	}
	delete(d.pending, e.Index)
}

// failProposalsUpTo completes the pending proposals up to index i with ErrUnknown.
// A snapshot that replaces their entries does not show if they were committed.
func (d *Driver) failProposalsUpTo(i replicator.Index) {
	for index, proposals := range d.pending {
		if index > i {
			continue
		}
		for _, p := range proposals {
			p.done <- result{err: ErrUnknown}
		}
		delete(d.pending, index)
	}
}

// failAllProposals completes all pending proposals with ErrUnknown when Run ends.
func (d *Driver) failAllProposals() {
	d.failProposalsUpTo(^replicator.Index(0))
}
