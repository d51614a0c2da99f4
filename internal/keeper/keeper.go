// Package keeper implements the state machine of the replicated catalog log. Its
// state is the current catalog, as the operator sent it, the failure domains that
// operators have taken out of service, the requests that are kept from backend
// servers because servers crash under them, and the number of fronts by which bounds over all
// of them are divided.
//
// A catalog replaces the current one only if its version is higher, so a command
// that is applied twice and a catalog that arrives after a newer one have no
// effect. All replicas of the log apply the same commands and reach the same state.
package keeper

import (
	"slices"
	"sync"

	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/marshaler"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
)

// Error is the class of every error of this package.
var Error = errs.Class("catalog state")

// Command is a log entry: an operator's call, or a decision about the requests that are
// kept from backend servers. Exactly one field is set: Evacuate takes a failure domain out
// of service, Reinstate brings it back; Isolate puts an Isolation in force in place of one
// with the same key, Release ends the one with its key; CountFronts sets the number of fronts.
type Command struct {
	Publish   *Publish                 `cbor:"publish,omitempty"`
	Evacuate  identifier.FailureDomain `cbor:"evacuate,omitempty"`
	Reinstate identifier.FailureDomain `cbor:"return,omitempty"`
	Isolate   *isolator.Isolation      `cbor:"isolate,omitempty"`
	Release   *isolator.Key            `cbor:"release,omitempty"`
	// IfEvacuations is the EvacuationCount on which Evacuate and Reinstate were decided. With
	// another one they have no effect: a command that comes late must not undo a newer one.
	IfEvacuations *uint64 `cbor:"if_evacuations,omitempty"`

	CountFronts int `cbor:"count_fronts,omitempty"`
}

// Publish holds a catalog that was validated before it was proposed.
type Publish struct {
	Version cataloger.Version `cbor:"version"`
	Data    []byte            `cbor:"data"`
}

// Encode returns the command as the data of a log entry.
func (c Command) Encode() ([]byte, error) {
	b, err := marshaler.Marshal(c)
	return b, Error.Wrap(err)
}

// Snapshot is the whole state of a Keeper.
type Snapshot struct {
	Version cataloger.Version `cbor:"version"`
	Data    []byte            `cbor:"data"`
	// Evacuated lists the failure domains out of service, in ascending order.
	Evacuated []identifier.FailureDomain `cbor:"evacuated"`
	// EvacuationCount counts the changes of Evacuated.
	EvacuationCount uint64 `cbor:"evacuations,omitempty"`
	// Isolations lists the requests that are kept from backend servers.
	Isolations []isolator.Isolation `cbor:"isolations,omitempty"`
	// Fronts is the number of fronts; 0 means that it was never counted.
	Fronts int `cbor:"fronts,omitempty"`
	// ChangeCount counts the changes of the state, but for those of Fronts. All replicas of
	// the log count alike, so of two states the one with the lower count is older.
	ChangeCount uint64 `cbor:"changes"`
}

// Keeper holds the current state. Its zero value is the empty state. It is safe
// for concurrent use and implements driver.StateMachine.
type Keeper struct {
	mu      sync.Mutex
	state   Snapshot
	changed chan struct{}
}

// State returns the current state and a channel that is closed at the next change.
// The caller must not modify the slices of the state.
func (k *Keeper) State() (Snapshot, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.state, k.changed
}

// resultOutdated is the result of a command that was decided on an older state.
const resultOutdated = "the command was decided on an older state"

// Apply implements driver.StateMachine. Every command that can be decoded, and was not decided on an
// older state, is accepted with an empty result; for any other entry, the result is the error text.
func (k *Keeper) Apply(data []byte) []byte {
	var c Command
	if err := marshaler.Unmarshal(data, &c); err != nil {
		// The state stays the same on all replicas, because they decode the same
		// bytes and so all of them skip the entry.
		return []byte(err.Error())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.IfEvacuations != nil && *c.IfEvacuations != k.state.EvacuationCount {
		return []byte(resultOutdated)
	}
	switch {
	case c.Publish != nil:
		k.publish(*c.Publish)
	case c.Evacuate != "":
		k.setEvacuated(c.Evacuate, true)
	case c.Reinstate != "":
		k.setEvacuated(c.Reinstate, false)
	case c.Isolate != nil:
		k.setIsolation(c.Isolate.Key, c.Isolate)
	case c.Release != nil:
		k.setIsolation(*c.Release, nil)
	case c.CountFronts > 0:
		k.state.Fronts = c.CountFronts
	}
	return nil
}

func (k *Keeper) publish(p Publish) {
	if p.Version <= k.state.Version {
		return
	}
	k.state.Version, k.state.Data = p.Version, p.Data
	k.recordChange()
}

func (k *Keeper) setEvacuated(d identifier.FailureDomain, evacuated bool) {
	i, found := slices.BinarySearch(k.state.Evacuated, d)
	if found == evacuated {
		return
	}
	// Callers of State may still read the old slice, so it is not modified.
	next := slices.Clone(k.state.Evacuated)
	if evacuated {
		next = slices.Insert(next, i, d)
	} else {
		next = slices.Delete(next, i, i+1)
	}
	k.state.Evacuated = next
	k.state.EvacuationCount++
	k.recordChange()
}

// setIsolation replaces the Isolation with a key, or removes it if next is nil.
func (k *Keeper) setIsolation(key isolator.Key, next *isolator.Isolation) {
	i := slices.IndexFunc(k.state.Isolations, func(i isolator.Isolation) bool { return i.Key == key })
	if i < 0 && next == nil || i >= 0 && next != nil && k.state.Isolations[i].Equal(next) {
		return
	}
	// Callers of State may still read the old slice, so it is not modified.
	isolations := slices.Clone(k.state.Isolations)
	switch {
	case next == nil:
		isolations = slices.Delete(isolations, i, i+1)
	case i < 0:
		isolations = append(isolations, *next)
	default:
		isolations[i] = *next
	}
	k.state.Isolations = isolations
	k.recordChange()
}

// recordChange counts a change and notifies those that wait for one. The caller
// must hold mu.
func (k *Keeper) recordChange() {
	k.state.ChangeCount++
	k.notifyChanged()
}

func (k *Keeper) notifyChanged() {
	if k.changed != nil {
		close(k.changed)
	}
	k.changed = make(chan struct{})
}

// PrepareSnapshot implements driver.StateMachine. The copy of the state that it
// takes can be encoded during later changes, because these never modify a slice in
// place.
func (k *Keeper) PrepareSnapshot() func() []byte {
	k.mu.Lock()
	s := k.state
	k.mu.Unlock()
	return func() []byte {
		b, err := marshaler.Marshal(s)
		if err != nil {
			// Numbers, strings and byte slices can always be encoded.
			panic(err)
		}
		return b
	}
}

// Restore implements driver.StateMachine.
func (k *Keeper) Restore(data []byte) error {
	var s Snapshot
	if err := marshaler.Unmarshal(data, &s); err != nil {
		return Error.Wrap(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	k.notifyChanged()
	return nil
}
