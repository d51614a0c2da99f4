// Package keeper is the state machine of the catalog log: the newest catalog as
// the operator sent it, and the failure domains that operators have taken out.
//
// The highest version wins, so commands that are repeated or overtaken change
// nothing, and every replica of the log ends in the same state.
package keeper

import (
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Error is the class of every error of this package.
var Error = errs.Class("catalog state")

// Command is one operator call as it stands in the log. Exactly one of Publish,
// Evacuate and Return is set.
type Command struct {
	Publish   *Publish                 `cbor:"publish,omitempty"`
	Evacuate  identifier.FailureDomain `cbor:"evacuate,omitempty"`
	Reinstate identifier.FailureDomain `cbor:"return,omitempty"`
}

// Publish carries a catalog that has been checked.
type Publish struct {
	Version cataloger.Version `cbor:"version"`
	Data    []byte            `cbor:"data"`
}

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	b, err := cbor.Marshal(c)
	return b, Error.Wrap(err)
}

// Snapshot is the whole state.
type Snapshot struct {
	Version cataloger.Version `cbor:"version"`
	Data    []byte            `cbor:"data"`
	// Evacuated is sorted.
	Evacuated []identifier.FailureDomain `cbor:"evacuated"`
	// ChangeCount counts the changes. It is the same on every replica of the log, so
	// it tells which of two states is older.
	ChangeCount uint64 `cbor:"changes"`
}

// Keeper holds the state. Its zero value is empty; it is safe for concurrent
// use and implements driver.StateMachine.
type Keeper struct {
	mu      sync.Mutex
	state   Snapshot
	changed chan struct{}
}

// State returns the state and a channel that is closed at its next change. The
// slices must not be written to.
func (k *Keeper) State() (Snapshot, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.state, k.changed
}

// Apply implements driver.StateMachine. It answers nothing: every command that can
// be read is accepted.
func (k *Keeper) Apply(data []byte) []byte {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		// All replicas read the same bytes, so all of them skip the entry.
		return []byte(err.Error())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case c.Publish != nil:
		k.publish(*c.Publish)
	case c.Evacuate != "":
		k.setEvacuated(c.Evacuate, true)
	case c.Reinstate != "":
		k.setEvacuated(c.Reinstate, false)
	}
	return nil
}

func (k *Keeper) publish(p Publish) {
	if p.Version <= k.state.Version {
		return
	}
	k.state.Version, k.state.Data = p.Version, p.Data
	k.signal()
}

func (k *Keeper) setEvacuated(d identifier.FailureDomain, out bool) {
	i, found := slices.BinarySearch(k.state.Evacuated, d)
	if found == out {
		return
	}
	// Readers hold the old slice, so a new one is made.
	next := slices.Clone(k.state.Evacuated)
	if out {
		next = slices.Insert(next, i, d)
	} else {
		next = slices.Delete(next, i, i+1)
	}
	k.state.Evacuated = next
	k.signal()
}

// signal counts a change and wakes those that wait for one.
func (k *Keeper) signal() {
	k.state.ChangeCount++
	k.wake()
}

func (k *Keeper) wake() {
	if k.changed != nil {
		close(k.changed)
	}
	k.changed = make(chan struct{})
}

// PrepareSnapshot implements driver.StateMachine.
func (k *Keeper) PrepareSnapshot() func() []byte {
	k.mu.Lock()
	s := k.state
	k.mu.Unlock()
	return func() []byte {
		b, err := cbor.Marshal(s)
		if err != nil {
			// A struct of numbers, strings and bytes always has an encoding.
			panic(err)
		}
		return b
	}
}

// Restore implements driver.StateMachine.
func (k *Keeper) Restore(data []byte) error {
	var s Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return Error.Wrap(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	k.wake()
	return nil
}
