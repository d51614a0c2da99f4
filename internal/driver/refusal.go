package driver

import (
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/journaler"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// writeRetryInterval is the time between two attempts at a write that the disk refuses.
const writeRetryInterval = 200 * time.Millisecond

// refusedWrite is a write that the disk has refused, for example because it is full. Until it
// succeeds the voter takes no part in the log: what it would say in votes and
// acknowledgements would have to be on disk first.
type refusedWrite struct {
	since   time.Time
	nextTry time.Time
	write   func() error
	// then is what depends on the write.
	then func() error
	// serialized is a state that was serialized meanwhile.
	serialized *serializedState
}

// persist runs write, which stores something in the journal, and then what depends on it. If
// the disk refuses the write, the voter steps back, and both run later.
func (d *Driver) persist(write, then func() error) error {
	err := write()
	switch {
	case err == nil:
		return then()
	case !journaler.RefusedError.Has(err):
		return err
	}
	_ = level.Error(d.Logger).Log("msg", "the disk refuses writes; this voter takes no part in the log until it accepts them", "err", err)
	now := time.Now()
	d.refused = &refusedWrite{since: now, nextTry: now.Add(writeRetryInterval), write: write, then: then}
	if d.node != nil {
		d.node.StepDown()
	}
	d.failAllProposals()
	d.publishStatus()
	return nil
}

// retryWrite attempts a refused write again when it is due.
func (d *Driver) retryWrite() error {
	r, now := d.refused, time.Now()
	if now.Before(r.nextTry) {
		return nil
	}
	r.nextTry = now.Add(writeRetryInterval)
	err := d.Journal.Recover()
	if err == nil {
		err = r.write()
	}
	switch {
	case journaler.RefusedError.Has(err):
		_ = level.Debug(d.Logger).Log("msg", "the disk still refuses writes", "err", err)
		return nil
	case err != nil:
		return err
	}
	_ = level.Info(d.Logger).Log("msg", "the disk accepts writes again; this voter takes part in the log", "refused_for", now.Sub(r.since))
	d.refused = nil
	if err := r.then(); err != nil || d.refused != nil || r.serialized == nil {
		return err
	}
	return d.storeSnapshot(*r.serialized)
}

// handleWhileRefused handles an item of the inbox while the disk refuses writes.
func (d *Driver) handleWhileRefused(item any) {
	switch item := item.(type) {
	case proposal:
		item.done <- result{err: ErrNotLeader}
	case lostVoter:
		if d.node != nil {
			d.node.MarkLost(replicator.NodeID(item))
		}
	case serializedState:
		d.refused.serialized = &item
	}
}
