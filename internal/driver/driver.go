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

// Machine is the state that the log's commands change.
type StateMachine interface {
	// Apply runs one command and returns its result.
	Apply(data []byte) []byte
	// Freeze returns a function that serializes the state as it is now. The
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
	probeRequest replicator.MessageKind = 100
	probeReply   replicator.MessageKind = 101
)

// Bounds of the log's size.
const (
	// defaultSnapshotEvery is the least number of applied entries between two
	// snapshots.
	defaultSnapshotMinEntries = 4096
	// snapshotShare times the size of the last snapshot is the least size of
	// the commands between two, so that a large state is not written again and
	// again.
	snapshotSizeFactor = 2
	// defaultTrailing entries stay in memory behind a snapshot for lagging voters.
	defaultTrailingEntries = 1024
	inboxLength            = 4096
	electionTicks          = 10
	heartbeatTicks         = 4
	// eagerTicks covers the time by which processes that are started together
	// differ.
	earlyElectionTicks = 2 * electionTicks
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
	// KeepCommit makes a restarted voter know at once all that it had applied.
	PersistCommit bool
	// Eager lets the voters elect early after a restart of all of them.
	EarlyElections bool
	// Rand draws election limits; it is used by Run only.
	Rand *rand.Rand
	// Start says what a voter with an empty data folder does.
	StartMode StartMode
	// SnapshotEvery is the least number of applied entries between two
	// snapshots; Trailing entries stay in memory behind one for lagging voters.
	SnapshotMinEntries replicator.Index
	TrailingEntries    replicator.Index

	inbox             chan any
	node              *replicator.Node
	pending           map[replicator.Index][]pendingProposal
	probing           *logProbe
	status            lockedStatus
	appliedIndex      replicator.Index
	lastSnapshotIndex replicator.Index
	// appliedBytes counts the commands applied since the last snapshot, of
	// snapshotBytes.
	bytesSinceSnapshot int
	lastSnapshotBytes  int
	// freezing is set while a state is being serialized.
	serializing bool
	// failed is set when storage failed outside flush.
	storageErr error
}

// StartMode says what a voter does that finds its data folder empty.
type StartMode int

// Ways to start.
const (
	// AskVoters asks the other first voters whether the log is new.
	ProbeVoters StartMode = iota
	// NewLog starts the log with the first voters. It may be chosen only when
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

type pendingProposal struct {
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
		d.SnapshotMinEntries = defaultSnapshotMinEntries
	}
	if d.TrailingEntries == 0 {
		d.TrailingEntries = defaultTrailingEntries
	}
	d.inbox = make(chan any, inboxLength)
	d.pending = map[replicator.Index][]pendingProposal{}
	d.Logger = log.With(d.Logger, "part", "log", "log", d.Name)
}

// Run recovers the log and runs it until ctx ends or the disk fails.
func (d *Driver) Run(ctx context.Context) error {
	if err := d.recoverLog(); err != nil {
		return err
	}
	defer func() { _ = d.Journal.Close() }()
	defer d.failAllProposals()
	ticker := time.NewTicker(d.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.tick()
		case m := <-d.inbox:
			d.handleInboxItem(m)
			d.drainInbox()
		}
		if err := d.processOutput(); err != nil {
			return err
		}
		d.startSnapshotIfDue(ctx)
	}
}

// drain takes what has arrived meanwhile, so that one sync serves all of it.
func (d *Driver) drainInbox() {
	for range inboxLength {
		select {
		case m := <-d.inbox:
			d.handleInboxItem(m)
		default:
			return
		}
	}
}

func (d *Driver) recoverLog() error {
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
		d.node.EarlyElectionTicks = earlyElectionTicks
	}
	if stored.Snapshot.Index == 0 && isFirstDiskID(id) {
		stored.Snapshot.Voters = d.initialVoters()
	}
	if stored.Snapshot.Index > 0 {
		if err := d.StateMachine.Restore(stored.Snapshot.Data); err != nil {
			return err
		}
	}
	d.appliedIndex = stored.Snapshot.Index
	d.lastSnapshotIndex = stored.Snapshot.Index
	d.lastSnapshotBytes = len(stored.Snapshot.Data)
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
		d.startWithoutData()
	}
	d.publishStatus()
	return d.processOutput()
}

func (d *Driver) initialVoters() []replicator.NodeID {
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

func (d *Driver) handleInboxItem(m any) {
	switch m := m.(type) {
	case replicator.Message:
		d.handleMessage(m)
	case proposal:
		d.handleProposal(m)
	case serializedState:
		if err := d.storeSnapshot(m); err != nil {
			d.storageErr = err
		}
	}
}

func (d *Driver) handleMessage(m replicator.Message) {
	switch {
	case m.Kind == probeRequest:
		d.handleProbeRequest(m)
	case m.Kind == probeReply:
		d.handleProbeReply(m)
	case d.probing == nil:
		d.node.Step(m)
	}
}

func (d *Driver) handleProposal(p proposal) {
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
		d.pending[index] = append(d.pending[index], pendingProposal{term: term, done: p.done})
	}
}

// flush carries out what the Node asks for until it asks for nothing.
func (d *Driver) processOutput() error {
	if d.storageErr != nil {
		return d.storageErr
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
		d.publishStatus()
		for _, m := range out.Messages {
			d.Sender.SendLogMessage(VMOf(m.To), d.Name, m)
		}
		if err := d.applyOutput(out); err != nil {
			return err
		}
	}
	d.publishStatus()
	return nil
}

func (d *Driver) applyOutput(out replicator.Output) error {
	if out.Snapshot != nil {
		if err := d.StateMachine.Restore(out.Snapshot.Data); err != nil {
			return err
		}
		d.appliedIndex, d.lastSnapshotIndex = out.Snapshot.Index, out.Snapshot.Index
		d.failProposalsUpTo(d.appliedIndex)
	}
	for _, e := range out.CommittedEntries {
		var data []byte
		if e.Kind == replicator.EntryCommand {
			data = d.StateMachine.Apply(e.Data)
		}
		d.appliedIndex = e.Index
		d.bytesSinceSnapshot += len(e.Data)
		d.completeProposals(e, data)
	}
	return nil
}

func (d *Driver) completeProposals(e replicator.Entry, data []byte) {
	for _, w := range d.pending[e.Index] {
		if w.term == e.Term {
			w.done <- result{index: e.Index, data: data}
		} else {
			w.done <- result{err: ErrOverwritten}
		}
	}
	delete(d.pending, e.Index)
}

// loseWaitersUpTo answers proposals whose entries a snapshot has swallowed.
func (d *Driver) failProposalsUpTo(i replicator.Index) {
	for index, ws := range d.pending {
		if index > i {
			continue
		}
		for _, w := range ws {
			w.done <- result{err: ErrUnknown}
		}
		delete(d.pending, index)
	}
}

// abandon answers every proposal that is still waiting when Run ends.
func (d *Driver) failAllProposals() {
	d.failProposalsUpTo(^replicator.Index(0))
}

// frozen is a serialized state that is ready to be stored.
type serializedState struct {
	index replicator.Index
	data  []byte
}

// startSnapshot serializes the state beside the loop when the log has grown
// enough, so that a large state does not hold up elections.
func (d *Driver) startSnapshotIfDue(ctx context.Context) {
	if d.serializing || d.appliedIndex < d.lastSnapshotIndex+d.SnapshotMinEntries || d.bytesSinceSnapshot < snapshotSizeFactor*d.lastSnapshotBytes {
		return
	}
	d.serializing = true
	d.lastSnapshotIndex, d.bytesSinceSnapshot = d.appliedIndex, 0
	index, serialize := d.appliedIndex, d.StateMachine.PrepareSnapshot()
	go func() {
		select {
		case d.inbox <- serializedState{index: index, data: serialize()}:
		case <-ctx.Done():
		}
	}()
}

// storeSnapshot compacts the log behind a serialized state. A snapshot that a
// leader sent meanwhile makes it void.
func (d *Driver) storeSnapshot(f serializedState) error {
	d.serializing = false
	s, ok := d.node.Compact(f.index, f.data, d.TrailingEntries)
	if !ok {
		return nil
	}
	d.lastSnapshotBytes = len(s.Data)
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
	vm, _, _ := strings.Cut(string(id), diskIDSeparator)
	return identifier.VM(vm)
}

// diskSeparator stands between the VM and the disk in the NodeID of a voter
// that is not on its first disk. It cannot occur in a VM's id.
const diskIDSeparator = "~"

// isFirst reports whether id is that of a voter on its first disk.
func isFirstDiskID(id replicator.NodeID) bool {
	return id != "" && !strings.Contains(string(id), diskIDSeparator)
}

func newDiskID(vm identifier.VM, r *rand.Rand) replicator.NodeID {
	return replicator.NodeID(fmt.Sprintf("%s%s%016x", vm, diskIDSeparator, r.Uint64()))
}
