// Package driver runs one voter of a replicated log. It connects a
// replicator.Node to a journal, the clock, the other voters and a state machine.
//
// One goroutine owns the Node. It passes all queued input to the Node, persists
// the resulting output with a single sync, and then sends messages and applies
// committed entries. Proposals that arrive during a sync share the next one.
package driver

import (
	"context"
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
// certainly not in the log. After ErrUnknown it may or may not be.
var (
	ErrNotLeader   = errs.New("this process does not lead the log")
	ErrOverwritten = errs.New("another entry took the command's place")
	ErrUnknown     = errs.New("the outcome is not known")
)

// StateMachine is the replicated state to which committed commands are applied.
type StateMachine interface {
	// Apply applies one command and returns its result.
	Apply(data []byte) []byte
	// PrepareSnapshot returns a function that serializes the state as of this
	// call. The function runs concurrently with later calls of Apply.
	PrepareSnapshot() func() []byte
	// Restore replaces the whole state by a serialized one.
	Restore(data []byte) error
}

// Sender sends messages to other voters without blocking. Messages may be lost,
// duplicated and reordered.
type Sender interface {
	SendLogMessage(to identifier.VM, logName string, m replicator.Message)
}

// Message kinds in addition to those of package replicator. A voter with an empty
// data folder uses them to find out whether the log is new or its disk was lost.
const (
	probeRequest replicator.MessageKind = 100
	probeReply   replicator.MessageKind = 101
)

// Limits of the log's size and timeouts in ticks.
const (
	// defaultSnapshotMinEntries is the default of Driver.SnapshotMinEntries.
	defaultSnapshotMinEntries = 4096
	// snapshotSizeFactor times the size of the last snapshot is the minimum size
	// of the entries applied before the next one, so that a large state is not
	// rewritten after few changes.
	snapshotSizeFactor = 2
	// defaultTrailingEntries is the default of Driver.TrailingEntries.
	defaultTrailingEntries = 1024
	inboxLength            = 4096
	electionTicks          = 10
	heartbeatTicks         = 4
	// earlyElectionTicks covers the differences between the start times of
	// processes that are started together.
	earlyElectionTicks = 2 * electionTicks
)

// Driver runs one voter of one log. Exported fields are set before Init.
type Driver struct {
	Name          string
	VM            identifier.VM
	InitialVoters []identifier.VM
	Journal       *journaler.Journal
	StateMachine  StateMachine
	Sender        Sender
	Logger        log.Logger
	TickInterval  time.Duration
	// PersistCommit persists the commit index, so that a restarted voter can
	// immediately apply again everything that it had applied before.
	PersistCommit bool
	// EarlyElections allows an election before the election timeout after all
	// voters have restarted.
	EarlyElections bool
	// Rand draws election timeouts, probe nonces and disk ids. Only Run uses it.
	Rand *rand.Rand
	// StartMode determines what a voter with an empty data folder does.
	StartMode StartMode
	// SnapshotMinEntries is the minimum number of entries applied between two
	// snapshots. TrailingEntries is the number of entries before a snapshot that
	// stay in memory for voters that lag. 0 means the default.
	SnapshotMinEntries replicator.Index
	TrailingEntries    replicator.Index

	inbox   chan any
	node    *replicator.Node
	pending map[replicator.Index][]pendingProposal
	probe   *logProbe
	// learners are the ids that were passed to SetLearners.
	learners          []replicator.NodeID
	status            lockedStatus
	appliedIndex      replicator.Index
	lastSnapshotIndex replicator.Index
	// bytesSinceSnapshot is the size of the entries applied since the last
	// snapshot, lastSnapshotBytes the size of that snapshot.
	bytesSinceSnapshot int
	lastSnapshotBytes  int
	// serializing is set while a goroutine serializes the state for a snapshot.
	serializing bool
	// storageErr is a failure of the journal outside processOutput.
	storageErr error
	// refused is set while the disk refuses writes.
	refused *refusedWrite
}

// StartMode determines what a voter does whose data folder is empty.
type StartMode int

// Start modes.
const (
	// ProbeVoters finds out from the other initial voters whether the log is new.
	ProbeVoters StartMode = iota
	// BootstrapLog starts a new log with the initial voters. It is safe only if
	// no voter of the log has ever started.
	BootstrapLog
	// JoinLog starts under a new NodeID, which is not a voter until it is added to
	// the log's voters.
	JoinLog
)

// Init prepares the driver for calls of Deliver and Propose. It must be called
// before Run.
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

// Run recovers the log from disk and runs the voter until ctx is done, the journal is
// damaged or the state machine rejects a snapshot. While the disk refuses writes, the voter
// takes no part in the log.
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
			if err := d.tick(); err != nil {
				return err
			}
		case item := <-d.inbox:
			d.handleInboxItem(item)
			d.drainInbox()
		}
		if err := d.processOutput(); err != nil {
			return err
		}
		d.startSnapshotIfDue(ctx)
	}
}

// drainInbox handles everything that is queued in the inbox, so that a single
// sync covers all of it.
func (d *Driver) drainInbox() {
	for range inboxLength {
		select {
		case item := <-d.inbox:
			d.handleInboxItem(item)
		default:
			return
		}
	}
}

// recoverLog reads the log from disk and starts the voter.
func (d *Driver) recoverLog() error {
	stored, rec, err := d.Journal.Open()
	if err != nil && !journaler.RefusedError.Has(err) {
		return err
	}
	_ = level.Info(d.Logger).Log("msg", "recovered from disk", "found", rec)
	opened := func() error {
		// Recover does what Open could not, so the error of Open counts once.
		defer func() { err = nil }()
		return err
	}
	return d.persist(opened, func() error { return d.startVoter(stored) })
}

func (d *Driver) startVoter(stored replicator.PersistedState) error {
	id := d.Journal.NodeID()
	d.node = &replicator.Node{
		ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: d.Rand,
		PersistCommit: d.PersistCommit,
	}
	if d.EarlyElections {
		d.node.EarlyElectionTicks = earlyElectionTicks
	}
	if stored.Snapshot.Index == 0 && isFirstDiskID(id) {
		stored.Snapshot.Voters = d.initialVoterIDs()
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
		// The process stopped after startWithNodeID stored the first entry of a
		// new log and before it stored the NodeID.
		d.node.ID = replicator.NodeID(d.VM)
		return d.persist(func() error { return d.Journal.SaveNodeID(d.node.ID) }, d.processOutput)
	default:
		d.startWithoutData()
	}
	d.publishStatus()
	return d.processOutput()
}

func (d *Driver) initialVoterIDs() []replicator.NodeID {
	ids := make([]replicator.NodeID, len(d.InitialVoters))
	for i, v := range d.InitialVoters {
		ids[i] = replicator.NodeID(v)
	}
	slices.Sort(ids)
	return ids
}

func (d *Driver) tick() error {
	switch {
	case d.refused != nil:
		return d.retryWrite()
	case d.probe != nil:
		d.sendProbes()
	default:
		d.node.Tick()
	}
	return nil
}

func (d *Driver) handleInboxItem(item any) {
	if d.refused != nil {
		d.handleWhileRefused(item)
		return
	}
	switch item := item.(type) {
	case replicator.Message:
		d.handleMessage(item)
	case proposal:
		d.handleProposal(item)
	case lostVoter:
		d.node.MarkLost(replicator.NodeID(item))
	case learnerSet:
		d.learners = item
		d.node.SetLearners(item)
	case resignation:
		d.resign()
	case serializedState:
		if err := d.storeSnapshot(item); err != nil {
			d.storageErr = err
		}
	}
}

func (d *Driver) resign() {
	if d.node.Role() == replicator.Leader {
		_ = level.Info(d.Logger).Log("msg", "gives up the lead", "term", d.node.Term())
	}
	d.node.Resign()
}

func (d *Driver) handleMessage(m replicator.Message) {
	switch {
	case m.Kind == probeRequest:
		d.handleProbeRequest(m)
	case m.Kind == probeReply:
		d.handleProbeReply(m)
	case d.probe == nil:
		d.node.Step(m)
	}
}

// processOutput persists, sends and applies the Node's output until there is no
// more.
func (d *Driver) processOutput() error {
	if d.storageErr != nil {
		return d.storageErr
	}
	if d.probe != nil || d.refused != nil {
		return nil
	}
	for {
		out := d.node.TakeOutput()
		if out.IsEmpty() {
			break
		}
		err := d.persist(func() error { return d.Journal.Save(out) }, func() error { return d.finishOutput(out) })
		if d.refused != nil {
			// Once the write succeeds, they would be those of a leader or candidate that has stepped down.
			out.Messages = nil
			return err
		}
		if err != nil {
			return err
		}
	}
	d.publishStatus()
	return nil
}

// finishOutput sends and applies an output that is persisted.
func (d *Driver) finishOutput(out replicator.Output) error {
	if n := len(out.Entries); n > 0 {
		d.node.MarkPersisted(out.Entries[n-1].Index)
	}
	// The status must be updated before the messages are sent, so that no
	// reader sees an older term in it than in these messages.
	d.publishStatus()
	for _, m := range out.Messages {
		d.Sender.SendLogMessage(VMOf(m.To), d.Name, m)
	}
	return d.applyOutput(out)
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

// serializedState is a state of the state machine that is ready to be stored.
type serializedState struct {
	index replicator.Index
	data  []byte
}

// startSnapshotIfDue serializes the state in another goroutine once the log has
// grown enough, so that serializing a large state does not delay elections.
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

// storeSnapshot stores a serialized state as a snapshot and compacts the log. It
// does nothing if a leader has sent a newer snapshot meanwhile.
func (d *Driver) storeSnapshot(state serializedState) error {
	d.serializing = false
	s, ok := d.node.Compact(state.index, state.data, d.TrailingEntries)
	if !ok {
		return nil
	}
	d.lastSnapshotBytes = len(s.Data)
	_ = level.Info(d.Logger).Log("msg", "took a snapshot of the state; storing it and compacting the log", "index", s.Index, "bytes", len(s.Data))
	entries := d.node.EntriesAfter(s.Index)
	return d.persist(func() error { return d.Journal.SaveSnapshot(s, entries) }, func() error { return nil })
}

// VMOf returns the VM on which a voter runs.
func VMOf(id replicator.NodeID) identifier.VM {
	vm, _, _ := strings.Cut(string(id), diskIDSeparator)
	return identifier.VM(vm)
}

// diskIDSeparator separates the VM from the disk id in the NodeID of a voter that
// is not on its first disk. It cannot occur in a VM's id.
const diskIDSeparator = "~"

// isFirstDiskID reports whether id belongs to a voter on its first disk, whose
// NodeID is just the VM's id.
func isFirstDiskID(id replicator.NodeID) bool {
	return id != "" && !strings.Contains(string(id), diskIDSeparator)
}

// A disk id is the time at which the disk was first used, in Unix milliseconds, and a random
// number.
const diskIDFormat = "%012x.%08x"

func newNodeID(vm identifier.VM, r *rand.Rand) replicator.NodeID {
	return replicator.NodeID(fmt.Sprintf("%s%s"+diskIDFormat, vm, diskIDSeparator, time.Now().UnixMilli(), r.Uint32()))
}

// DiskUsedSince returns when a voter has first used its disk, in Unix milliseconds by its own
// clock, or 0 if its id does not tell. Voters that began the log have no such time.
func DiskUsedSince(id replicator.NodeID) int64 {
	_, diskID, _ := strings.Cut(string(id), diskIDSeparator)
	var since int64
	var nonce uint32
	if _, err := fmt.Sscanf(diskID, diskIDFormat, &since, &nonce); err != nil {
		return 0
	}
	return since
}
