// Package driver runs one replicated log: it joins a replicator.Node with a
// journal, the clock, the links to the other voters and a state machine.
//
// One goroutine owns the Node. It takes everything that has arrived, lets the
// Node decide, stores the outcome with a single sync, then sends and applies.
// Proposals that arrive while a sync is running share the next one.
package driver

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/journaler"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// Error is the class of every error of this package.
var Error = errs.Class("log")

// Errors of Propose. After ErrNotLeader and ErrOverwritten the command is
// certainly not in the log; after ErrUnknown it may be.
var (
	ErrNotLeader   = errs.New("this process does not lead the log")
	ErrOverwritten = errs.New("another entry took the command's place")
	ErrUnknown     = errs.New("the outcome is not known")
)

// StateMachine is the state that the log's commands change.
type StateMachine interface {
	// Apply runs one command and returns its result.
	Apply(data []byte) []byte
	// PrepareSnapshot returns a function that serializes the state as it is now. The
	// function runs beside later calls of Apply.
	PrepareSnapshot() func() []byte
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Sender carries messages to other voters without waiting. Messages may be
// lost, repeated and reordered.
type Sender interface {
	SendLogMessage(to identifier.VM, logName string, m replicator.Message)
}

// Kinds of message beside the replicator's own, which a voter with an empty
// data folder uses to find out whether the log is as new as it is.
const (
	probe      replicator.MessageKind = 100
	probeReply replicator.MessageKind = 101
)

// Bounds of the log's size.
const (
	// defaultSnapshotEvery is the least number of applied entries between two
	// snapshots.
	defaultSnapshotEvery = 4096
	// snapshotShare times the size of the last snapshot is the least size of
	// the commands between two, so that a large state is not written again and
	// again.
	snapshotShare = 2
	// defaultTrailing entries stay in memory behind a snapshot for lagging voters.
	defaultTrailing = 1024
	inboxLength     = 4096
	electionTicks   = 10
	heartbeatTicks  = 4
	// eagerTicks covers the time by which processes that are started together
	// differ.
	eagerTicks = 2 * electionTicks
)

// Driver runs one log on one voter. Exported fields are set before Run.
type Driver struct {
	Name         string
	VM           identifier.VM
	Voters       []identifier.VM
	Journal      *journaler.Journal
	StateMachine StateMachine
	Sender       Sender
	Logger       log.Logger
	TickInterval time.Duration
	// PersistCommit makes a restarted voter know at once all that it had applied.
	PersistCommit bool
	// EarlyElections lets the voters elect early after a restart of all of them.
	EarlyElections bool
	// Rand draws election limits; it is used by Run only.
	Rand *rand.Rand
	// StartMode says what a voter with an empty data folder does.
	StartMode StartMode
	// SnapshotMinEntries is the least number of applied entries between two
	// snapshots; Trailing entries stay in memory behind one for lagging voters.
	SnapshotMinEntries replicator.Index
	TrailingEntries    replicator.Index

	inbox   chan any
	node    *replicator.Node
	waiting map[replicator.Index][]waiter
	probing *probeRound
	status  statusBox
	applied replicator.Index
	marked  replicator.Index
	// appliedBytes counts the commands applied since the last snapshot, of
	// snapshotBytes.
	appliedBytes  int
	snapshotBytes int
	// freezing is set while a state is being serialized.
	freezing bool
	// failed is set when storage failed outside flush.
	failed error
}

// StartMode says what a voter does that finds its data folder empty.
type StartMode int

// Ways to start.
const (
	// ProbeVoters asks the other first voters whether the log is new.
	ProbeVoters StartMode = iota
	// BootstrapLog starts the log with the first voters. It may be chosen only when
	// it is certain that no voter has started before.
	BootstrapLog
	// JoinLog takes a new identity, which is no voter until it is added.
	JoinLog
)

type proposal struct {
	data   []byte
	voters []replicator.NodeID
	done   chan result
}

type waiter struct {
	term replicator.Term
	done chan result
}

type result struct {
	index replicator.Index
	data  []byte
	err   error
}

// Init prepares the driver so that Deliver and Propose may be called. It is
// called before Run.
func (d *Driver) Init() {
	if d.SnapshotMinEntries == 0 {
		d.SnapshotMinEntries = defaultSnapshotEvery
	}
	if d.TrailingEntries == 0 {
		d.TrailingEntries = defaultTrailing
	}
	d.inbox = make(chan any, inboxLength)
	d.waiting = map[replicator.Index][]waiter{}
	d.Logger = log.With(d.Logger, "part", "log", "log", d.Name)
}

// Run recovers the log and runs it until ctx ends or the disk fails.
func (d *Driver) Run(ctx context.Context) error {
	if err := d.recover(); err != nil {
		return err
	}
	defer func() { _ = d.Journal.Close() }()
	defer d.abandon()
	ticker := time.NewTicker(d.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.tick()
		case m := <-d.inbox:
			d.take(m)
			d.drain()
		}
		if err := d.flush(); err != nil {
			return err
		}
		d.startSnapshot(ctx)
	}
}

// drain takes what has arrived meanwhile, so that one sync serves all of it.
func (d *Driver) drain() {
	for range inboxLength {
		select {
		case m := <-d.inbox:
			d.take(m)
		default:
			return
		}
	}
}

func (d *Driver) recover() error {
	stored, rec, err := d.Journal.Open()
	if err != nil {
		return err
	}
	id, err := d.Journal.Identity()
	if err != nil {
		return err
	}
	_ = level.Info(d.Logger).Log("msg", "recovered", "found", rec)
	d.node = &replicator.Node{
		ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: d.Rand,
		PersistCommit: d.PersistCommit,
	}
	if d.EarlyElections {
		d.node.EarlyElectionTicks = eagerTicks
	}
	if stored.Snapshot.Index == 0 && isFirst(id) {
		stored.Snapshot.Voters = d.firstVoters()
	}
	if stored.Snapshot.Index > 0 {
		if err := d.StateMachine.Restore(stored.Snapshot.Data); err != nil {
			return err
		}
	}
	d.applied = stored.Snapshot.Index
	d.marked = stored.Snapshot.Index
	d.snapshotBytes = len(stored.Snapshot.Data)
	d.node.Start(stored)
	switch {
	case id != "":
	case len(stored.Entries) > 0:
		// A new log was started here, but its identity was not stored any more.
		d.node.ID = replicator.NodeID(d.VM)
		if err := d.Journal.SaveIdentity(d.node.ID); err != nil {
			return err
		}
	default:
		d.startEmpty()
	}
	d.publish()
	return d.flush()
}

func (d *Driver) firstVoters() []replicator.NodeID {
	ids := make([]replicator.NodeID, len(d.Voters))
	for i, v := range d.Voters {
		ids[i] = replicator.NodeID(v)
	}
	slices.Sort(ids)
	return ids
}

func (d *Driver) tick() {
	if d.probing != nil {
		d.sendProbes()
		return
	}
	d.node.Tick()
}

func (d *Driver) take(m any) {
	switch m := m.(type) {
	case replicator.Message:
		d.step(m)
	case proposal:
		d.propose(m)
	case frozen:
		if err := d.storeSnapshot(m); err != nil {
			d.failed = err
		}
	}
}

func (d *Driver) step(m replicator.Message) {
	switch {
	case m.Kind == probe:
		d.answerProbe(m)
	case m.Kind == probeReply:
		d.hearProbe(m)
	case d.probing == nil:
		d.node.Step(m)
	}
}

func (d *Driver) propose(p proposal) {
	if d.probing != nil {
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
		d.waiting[index] = append(d.waiting[index], waiter{term: term, done: p.done})
	}
}

// flush carries out what the Node asks for until it asks for nothing.
func (d *Driver) flush() error {
	if d.failed != nil {
		return d.failed
	}
	if d.probing != nil {
		return nil
	}
	for {
		out := d.node.TakeOutput()
		if out.IsEmpty() {
			break
		}
		if err := d.Journal.Save(out); err != nil {
			return err
		}
		if n := len(out.Entries); n > 0 {
			d.node.MarkPersisted(out.Entries[n-1].Index)
		}
		// Whoever asks for the status must not see an older term than the
		// messages that leave now.
		d.publish()
		for _, m := range out.Messages {
			d.Sender.SendLogMessage(VMOf(m.To), d.Name, m)
		}
		if err := d.apply(out); err != nil {
			return err
		}
	}
	d.publish()
	return nil
}

func (d *Driver) apply(out replicator.Output) error {
	if out.Snapshot != nil {
		if err := d.StateMachine.Restore(out.Snapshot.Data); err != nil {
			return err
		}
		d.applied, d.marked = out.Snapshot.Index, out.Snapshot.Index
		d.loseWaitersUpTo(d.applied)
	}
	for _, e := range out.CommittedEntries {
		var data []byte
		if e.Kind == replicator.EntryCommand {
			data = d.StateMachine.Apply(e.Data)
		}
		d.applied = e.Index
		d.appliedBytes += len(e.Data)
		d.answer(e, data)
	}
	return nil
}

func (d *Driver) answer(e replicator.Entry, data []byte) {
	for _, w := range d.waiting[e.Index] {
		if w.term == e.Term {
			w.done <- result{index: e.Index, data: data}
		} else {
			w.done <- result{err: ErrOverwritten}
		}
	}
	delete(d.waiting, e.Index)
}

// loseWaitersUpTo answers proposals whose entries a snapshot has swallowed.
func (d *Driver) loseWaitersUpTo(i replicator.Index) {
	for index, ws := range d.waiting {
		if index > i {
			continue
		}
		for _, w := range ws {
			w.done <- result{err: ErrUnknown}
		}
		delete(d.waiting, index)
	}
}

// abandon answers every proposal that is still waiting when Run ends.
func (d *Driver) abandon() {
	d.loseWaitersUpTo(^replicator.Index(0))
}

// frozen is a serialized state that is ready to be stored.
type frozen struct {
	index replicator.Index
	data  []byte
}

// startSnapshot serializes the state beside the loop when the log has grown
// enough, so that a large state does not hold up elections.
func (d *Driver) startSnapshot(ctx context.Context) {
	if d.freezing || d.applied < d.marked+d.SnapshotMinEntries || d.appliedBytes < snapshotShare*d.snapshotBytes {
		return
	}
	d.freezing = true
	d.marked, d.appliedBytes = d.applied, 0
	index, serialize := d.applied, d.StateMachine.PrepareSnapshot()
	go func() {
		select {
		case d.inbox <- frozen{index: index, data: serialize()}:
		case <-ctx.Done():
		}
	}()
}

// storeSnapshot compacts the log behind a serialized state. A snapshot that a
// leader sent meanwhile makes it void.
func (d *Driver) storeSnapshot(f frozen) error {
	d.freezing = false
	s, ok := d.node.Compact(f.index, f.data, d.TrailingEntries)
	if !ok {
		return nil
	}
	d.snapshotBytes = len(s.Data)
	_ = level.Info(d.Logger).Log("msg", "snapshot taken", "index", s.Index, "bytes", len(s.Data))
	return d.Journal.SaveSnapshot(s, d.node.EntriesAfter(s.Index))
}

// Deliver hands over a message from another voter. It never blocks; a message
// that does not fit is lost, which the protocol allows.
func (d *Driver) Deliver(m replicator.Message) {
	select {
	case d.inbox <- m:
	default:
	}
}

// Propose appends a command and returns the state machine's result once it is
// committed. It fails with ErrNotLeader on any voter but the leader.
func (d *Driver) Propose(ctx context.Context, data []byte) ([]byte, error) {
	return d.submit(ctx, proposal{data: data, done: make(chan result, 1)})
}

// ProposeVoters replaces the set of voters by one that differs by one.
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

// VMOf returns the VM that a voter runs on.
func VMOf(id replicator.NodeID) identifier.VM {
	vm, _, _ := strings.Cut(string(id), diskSeparator)
	return identifier.VM(vm)
}

// diskSeparator stands between the VM and the disk in the NodeID of a voter
// that is not on its first disk. It cannot occur in a VM's id.
const diskSeparator = "~"

// isFirst reports whether id is that of a voter on its first disk.
func isFirst(id replicator.NodeID) bool {
	return id != "" && !strings.Contains(string(id), diskSeparator)
}

func newDiskID(vm identifier.VM, r *rand.Rand) replicator.NodeID {
	return replicator.NodeID(fmt.Sprintf("%s%s%016x", vm, diskSeparator, r.Uint64()))
}
