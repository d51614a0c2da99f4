package replicator

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/seeder"
)

var histories = flag.Int("histories", 40, "number of random histories to check")

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

// TestScenarios runs the scripts in testdata. Each starts with the command voters,
// which creates a cluster; the other commands print a summary of it. The command
// eager sets the EarlyElectionTicks of voters that start after it.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c *cluster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "voters" {
				c = newCluster(7, nodeIDs(d.CmdArgs)...)
				return "ok"
			}
			return c.runCommand(t, d)
		})
	})
}

func nodeIDs(args []datadriven.CmdArg) []NodeID {
	var ids []NodeID
	for _, a := range args {
		ids = append(ids, NodeID(a.Key))
	}
	return ids
}

// runCommand executes a command of a scenario and returns its output.
func (c *cluster) runCommand(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	ids := nodeIDs(d.CmdArgs)
	switch d.Cmd {
	case "run":
		n, err := strconv.Atoi(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		c.run(n)
	case "propose":
		leader := c.leader()
		if leader == "" {
			return "no leader"
		}
		if _, _, err := c.voters[leader].node.Propose([]byte(d.CmdArgs[0].Key)); err != nil {
			return err.Error()
		}
		c.processOutput(leader)
	case "voters_become":
		if _, _, err := c.voters[c.leader()].node.ProposeVoters(ids); err != nil {
			return err.Error()
		}
		c.processOutput(c.leader())
	case "eager":
		n, err := strconv.Atoi(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		c.earlyElectionTicks = n
	case "mark_lost":
		for _, v := range c.voters {
			v.node.MarkLost(ids[0])
		}
	case "join":
		c.add(ids[0], nil)
	case "learners":
		c.voters[c.leader()].node.SetLearners(ids)
	case "resign":
		leader := c.leader()
		c.voters[leader].node.Resign()
		c.processOutput(leader)
	case "remove":
		delete(c.voters, ids[0])
	default:
		c.setFaults(t, d.Cmd, ids)
	}
	return c.summary()
}

func (c *cluster) setFaults(t *testing.T, cmd string, ids []NodeID) {
	t.Helper()
	for _, id := range ids {
		switch cmd {
		case "cut":
			c.partitioned[id] = true
		case "reach":
			delete(c.partitioned, id)
		case "crash":
			c.crash(id)
		case "boot":
			c.start(id)
		case "pause":
			c.voters[id].paused = true
		case "resume":
			c.voters[id].paused = false
		case "compact":
			c.compact(id, 0)
		default:
			t.Fatalf("unknown command %s", cmd)
		}
	}
}

// summary returns one line per voter with its role, its term, its snapshot's index
// and the commands applied since it started or installed a snapshot, and one line
// per violation seen so far.
func (c *cluster) summary() string {
	var b strings.Builder
	for _, id := range c.ids() {
		v := c.voters[id]
		state := v.node.Role().String()
		if v.crashed {
			state = "down"
		}
		var commands []string
		for _, e := range v.applied {
			if e.Kind == EntryCommand {
				commands = append(commands, string(e.Data))
			}
		}
		fmt.Fprintf(&b, "%s: %s, term %d, snapshot %d, applied %v\n", id, state, v.node.Term(), v.disk.Snapshot.Index, commands)
	}
	for _, violation := range c.violations {
		fmt.Fprintf(&b, "VIOLATION: %s\n", violation)
	}
	return b.String()
}

// registerOp is a write to or a read of the register that the log replicates in
// random histories.
type registerOp struct {
	write bool
	value int
}

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		op := input.(registerOp)
		if op.write {
			return true, op.value
		}
		return output.(int) == state.(int), state
	},
}

// pendingOp is an operation whose entry has been proposed but not yet committed.
type pendingOp struct {
	op        registerOp
	client    int
	startStep int64
	index     Index
	term      Term
	leader    NodeID
}

// TestHistories checks that operations on a replicated register are linearizable
// and that voters never commit different entries, while voters crash, pause and are
// partitioned and messages are lost, duplicated and reordered. Every seed is run
// without and with early elections.
func TestHistories(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkHistory(t, seed, 0) })
		t.Run(fmt.Sprintf("%d, early elections", seed), func(t *testing.T) { checkHistory(t, seed, 20) })
	}
}

func checkHistory(t *testing.T, seed uint64, earlyElectionTicks int) {
	t.Helper()
	h := &history{cluster: newCluster(seed, "a", "b", "c", "d", "e"), rand: rand.New(rand.NewPCG(seed, 3))}
	h.cluster.earlyElectionTicks = earlyElectionTicks
	h.run(1500)
	for _, violation := range h.cluster.violations {
		t.Error(violation)
	}
	if len(h.completed) < 20 {
		t.Errorf("only %d operations completed", len(h.completed))
	}
	if !porcupine.CheckOperations(registerModel, h.completed) {
		t.Error("the history is not linearizable")
	}
	h.checkConverged(t)
}

type history struct {
	cluster   *cluster
	rand      *rand.Rand
	step      int64
	opCount   int
	pending   []pendingOp
	completed []porcupine.Operation
	// unknown holds the operations whose leader has lost its disk.
	unknown []pendingOp
	// disks is nil if no disk is lost.
	disks *diskLosses
}

func (h *history) run(steps int) {
	for range steps {
		h.step++
		h.injectFault()
		h.proposeRandomOp()
		h.tick()
	}
	h.cluster.clearFaults()
	if h.disks != nil {
		h.disks.ended = true
	}
	for range 200 {
		h.step++
		h.tick()
	}
	// A pending write may have taken effect at any time, so it counts as one that
	// completes after all others.
	for _, o := range slices.Concat(h.pending, h.unknown) {
		if o.op.write {
			h.complete(o, 0, h.step+1)
		}
	}
}

func (h *history) tick() {
	h.cluster.tick()
	completed := len(h.completed)
	h.collectResults()
	if h.disks != nil {
		h.disks.step(len(h.completed) > completed)
	}
}

func (h *history) injectFault() {
	ids := h.cluster.ids()
	id := ids[h.rand.IntN(len(ids))]
	switch h.rand.IntN(60) {
	case 0:
		h.cluster.crash(id)
	case 1:
		h.cluster.partitioned[id] = true
	case 2:
		h.cluster.voters[id].paused = true
	case 3:
		h.cluster.lossRate = h.rand.Float64() * 0.2
	case 4, 5, 6:
		h.cluster.clearFaults()
	case 7, 8:
		if v := h.cluster.voters[id]; !v.crashed {
			h.cluster.compact(id, Index(h.rand.IntN(8)))
		}
	}
}

func (h *history) proposeRandomOp() {
	if h.rand.IntN(4) != 0 || len(h.pending) >= 6 {
		return
	}
	// Any voter that considers itself leader may accept the operation.
	ids := h.cluster.ids()
	id := ids[h.rand.IntN(len(ids))]
	v := h.cluster.voters[id]
	if v.crashed || v.paused || v.node.Role() != Leader {
		return
	}
	h.opCount++
	op := registerOp{write: h.rand.IntN(2) == 0, value: h.opCount}
	index, term, err := v.node.Propose(fmt.Appendf(nil, "%t %d", op.write, op.value))
	if err != nil {
		return
	}
	h.pending = append(h.pending, pendingOp{op: op, client: h.opCount, startStep: h.step, index: index, term: term, leader: id})
	h.cluster.processOutput(id)
}

// collectResults completes the operations whose entries the voter that accepted
// them has applied, and drops those whose entries were overwritten.
func (h *history) collectResults() {
	h.pending = slices.DeleteFunc(h.pending, func(o pendingOp) bool {
		v := h.cluster.voters[o.leader]
		if v == nil {
			h.unknown = append(h.unknown, o)
			return true
		}
		if v.crashed || o.index <= v.appliedBase || o.index > v.appliedBase+Index(len(v.applied)) {
			return false
		}
		if e := v.applied[o.index-v.appliedBase-1]; e.Term == o.term {
			h.complete(o, h.registerValueAt(o.index), h.step)
		}
		return true
	})
}

// registerValueAt returns the register's value after the entries up to index.
func (h *history) registerValueAt(index Index) int {
	value := 0
	for i := Index(1); i <= index; i++ {
		var write bool
		var n int
		if _, err := fmt.Sscanf(string(h.cluster.committedByIndex[i].Data), "%t %d", &write, &n); err == nil && write {
			value = n
		}
	}
	return value
}

func (h *history) complete(o pendingOp, output int, at int64) {
	h.completed = append(h.completed, porcupine.Operation{
		ClientId: o.client, Input: o.op, Output: output, Call: o.startStep, Return: at,
	})
}

// checkConverged checks that after all faults have ended there is a leader and
// every voter has its commit index.
func (h *history) checkConverged(t *testing.T) {
	t.Helper()
	leader := h.cluster.leader()
	if leader == "" {
		t.Fatal("no leader after all faults ended")
	}
	want := h.cluster.voters[leader].node.CommitIndex()
	for _, id := range h.cluster.ids() {
		if got := h.cluster.voters[id].node.CommitIndex(); got != want {
			t.Errorf("the commit index of %s is %d, that of the leader %d", id, got, want)
		}
	}
}

// TestEntryLogMatchesSlice runs random operations on an entryLog and on a plain
// slice, and compares the two.
func TestEntryLogMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l entryLog
		var want []Entry
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				e := Entry{Index: l.lastIndex() + 1, Term: Term(rapid.IntRange(1, 5).Draw(t, "term"))}
				l.entries = append(l.entries, e)
				want = append(want, e)
			},
			"truncate": func(t *rapid.T) {
				i := Index(rapid.IntRange(int(l.baseIndex)+1, int(l.lastIndex())+1).Draw(t, "from"))
				l.truncateFrom(i)
				want = slices.DeleteFunc(want, func(e Entry) bool { return e.Index >= i })
			},
			"compact": func(t *rapid.T) {
				l.compactUpTo(Index(rapid.IntRange(int(l.baseIndex), int(l.lastIndex())).Draw(t, "to")))
			},
			"": func(t *rapid.T) {
				if int(l.lastIndex()) != len(want) {
					t.Fatalf("the last index is %d, want %d", l.lastIndex(), len(want))
				}
				for _, e := range l.slice(1, l.lastIndex()) {
					if e.Term != want[e.Index-1].Term {
						t.Fatalf("entry %d has term %d, want %d", e.Index, e.Term, want[e.Index-1].Term)
					}
				}
			},
		})
	})
}

// TestAppendReplyConfirmsOnlyCheckedEntries sends a follower an Append that ends
// before the follower's last entry. The entries after it may differ from the
// leader's, so the follower must neither confirm nor commit them.
func TestAppendReplyConfirmsOnlyCheckedEntries(t *testing.T) {
	n := &Node{ID: "a", ElectionTicks: 10, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(1, 1))}
	n.Start(PersistedState{
		State:    HardState{Term: 1},
		Snapshot: Snapshot{Voters: []NodeID{"a", "b", "c"}},
		Entries:  []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}},
	})
	n.Step(Message{Kind: Append, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Commit: 3})
	out := n.TakeOutput()
	if len(out.Messages) != 1 || out.Messages[0].Index != 1 || out.Messages[0].Reject {
		t.Errorf("the reply is %+v, want one that confirms entries up to 1", out.Messages)
	}
	if n.CommitIndex() != 1 {
		t.Errorf("the commit index is %d, want 1", n.CommitIndex())
	}
}
