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

// TestScenarios runs the scripts under testdata.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c *cluster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "voters" {
				c = newCluster(7, nodeIDs(d.CmdArgs)...)
				return "ok"
			}
			return c.command(t, d)
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

// command runs one line of a scenario.
func (c *cluster) command(t *testing.T, d *datadriven.TestData) string {
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
		if _, _, err := c.nodes[leader].node.Propose([]byte(d.CmdArgs[0].Key)); err != nil {
			return err.Error()
		}
		c.flush(leader)
	case "voters_become":
		if _, _, err := c.nodes[c.leader()].node.ProposeVoters(ids); err != nil {
			return err.Error()
		}
		c.flush(c.leader())
	case "eager":
		n, err := strconv.Atoi(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		c.eager = n
	case "join":
		c.add(ids[0], nil)
	case "remove":
		delete(c.nodes, ids[0])
	default:
		c.disturb(t, d.Cmd, ids)
	}
	return c.summary()
}

func (c *cluster) disturb(t *testing.T, cmd string, ids []NodeID) {
	t.Helper()
	for _, id := range ids {
		switch cmd {
		case "cut":
			c.cut[id] = true
		case "reach":
			delete(c.cut, id)
		case "crash":
			c.crash(id)
		case "boot":
			c.boot(id)
		case "pause":
			c.nodes[id].paused = true
		case "resume":
			c.nodes[id].paused = false
		case "compact":
			c.compact(id, 0)
		default:
			t.Fatalf("unknown command %s", cmd)
		}
	}
}

// summary tells how many leaders there are, of what term, and what each voter
// has applied.
func (c *cluster) summary() string {
	var b strings.Builder
	for _, id := range c.ids() {
		v := c.nodes[id]
		state := v.node.Role().String()
		if v.down {
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
	for _, f := range c.faults {
		fmt.Fprintf(&b, "FAULT: %s\n", f)
	}
	return b.String()
}

// registerOp is one operation on the register that histories are checked on.
type registerOp struct {
	write bool
	value int
}

var register = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		op := input.(registerOp)
		if op.write {
			return true, op.value
		}
		return output.(int) == state.(int), state
	},
}

// call is an operation that waits for its entry to be committed.
type call struct {
	op     registerOp
	client int
	start  int64
	index  Index
	term   Term
	leader NodeID
}

// TestHistories checks that operations on a register kept in the log are
// linearizable while voters crash, pause and are cut off and messages are
// lost, repeated and reordered, and that logs never disagree.
func TestHistories(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkHistory(t, seed, 0) })
		t.Run(fmt.Sprintf("%d, early elections", seed), func(t *testing.T) { checkHistory(t, seed, 20) })
	}
}

func checkHistory(t *testing.T, seed uint64, eagerTicks int) {
	t.Helper()
	h := &history{c: newCluster(seed, "a", "b", "c", "d", "e"), rand: rand.New(rand.NewPCG(seed, 3))}
	h.c.eager = eagerTicks
	h.run(1500)
	for _, f := range h.c.faults {
		t.Error(f)
	}
	if len(h.ended) < 20 {
		t.Errorf("only %d operations ended", len(h.ended))
	}
	if !porcupine.CheckOperations(register, h.ended) {
		t.Error("the history is not linearizable")
	}
	h.checkConverged(t)
}

type history struct {
	c     *cluster
	rand  *rand.Rand
	now   int64
	next  int
	open  []call
	ended []porcupine.Operation
}

func (h *history) run(steps int) {
	for range steps {
		h.now++
		h.disturb()
		h.propose()
		h.c.tick()
		h.collect()
	}
	h.c.heal()
	for range 200 {
		h.now++
		h.c.tick()
		h.collect()
	}
	// A write without an answer may have taken effect at any time.
	for _, o := range h.open {
		if o.op.write {
			h.end(o, 0, h.now+1)
		}
	}
}

func (h *history) disturb() {
	ids := h.c.ids()
	id := ids[h.rand.IntN(len(ids))]
	switch h.rand.IntN(60) {
	case 0:
		h.c.crash(id)
	case 1:
		h.c.cut[id] = true
	case 2:
		h.c.nodes[id].paused = true
	case 3:
		h.c.lossy = h.rand.Float64() * 0.2
	case 4, 5, 6:
		h.c.heal()
	case 7, 8:
		if v := h.c.nodes[id]; !v.down {
			h.c.compact(id, Index(h.rand.IntN(8)))
		}
	}
}

func (h *history) propose() {
	if h.rand.IntN(4) != 0 || len(h.open) >= 6 {
		return
	}
	// Any voter that believes it leads may take the operation.
	ids := h.c.ids()
	id := ids[h.rand.IntN(len(ids))]
	v := h.c.nodes[id]
	if v.down || v.paused || v.node.Role() != Leader {
		return
	}
	h.next++
	op := registerOp{write: h.rand.IntN(2) == 0, value: h.next}
	index, term, err := v.node.Propose(fmt.Appendf(nil, "%t %d", op.write, op.value))
	if err != nil {
		return
	}
	h.open = append(h.open, call{op: op, client: h.next, start: h.now, index: index, term: term, leader: id})
	h.c.flush(id)
}

// collect ends the operations whose entries were applied where they were
// proposed, and drops those whose places other entries took.
func (h *history) collect() {
	h.open = slices.DeleteFunc(h.open, func(o call) bool {
		v := h.c.nodes[o.leader]
		if v.down || o.index <= v.base || o.index > v.base+Index(len(v.applied)) {
			return false
		}
		if e := v.applied[o.index-v.base-1]; e.Term == o.term {
			h.end(o, h.valueAt(o.index), h.now)
		}
		return true
	})
}

// valueAt returns the register after all writes up to index.
func (h *history) valueAt(index Index) int {
	value := 0
	for i := Index(1); i <= index; i++ {
		var write bool
		var n int
		if _, err := fmt.Sscanf(string(h.c.agreed[i].Data), "%t %d", &write, &n); err == nil && write {
			value = n
		}
	}
	return value
}

func (h *history) end(o call, output int, at int64) {
	h.ended = append(h.ended, porcupine.Operation{
		ClientId: o.client, Input: o.op, Output: output, Call: o.start, Return: at,
	})
}

// checkConverged requires that healed voters agree on everything.
func (h *history) checkConverged(t *testing.T) {
	t.Helper()
	leader := h.c.leader()
	if leader == "" {
		t.Fatal("no leader after healing")
	}
	want := h.c.nodes[leader].node.CommitIndex()
	for _, id := range h.c.ids() {
		if got := h.c.nodes[id].node.CommitIndex(); got != want {
			t.Errorf("%s has committed %d, the leader %d", id, got, want)
		}
	}
}

// TestEntryLog compares the entry log with a plain slice.
func TestEntryLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l entryLog
		var want []Entry
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				e := Entry{Index: l.last() + 1, Term: Term(rapid.IntRange(1, 5).Draw(t, "term"))}
				l.entries = append(l.entries, e)
				want = append(want, e)
			},
			"truncate": func(t *rapid.T) {
				i := Index(rapid.IntRange(int(l.base)+1, int(l.last())+1).Draw(t, "from"))
				l.truncate(i)
				want = slices.DeleteFunc(want, func(e Entry) bool { return e.Index >= i })
			},
			"compact": func(t *rapid.T) { l.compact(Index(rapid.IntRange(int(l.base), int(l.last())).Draw(t, "to"))) },
			"": func(t *rapid.T) {
				if int(l.last()) != len(want) {
					t.Fatalf("last is %d, want %d", l.last(), len(want))
				}
				for _, e := range l.slice(1, l.last()) {
					if e.Term != want[e.Index-1].Term {
						t.Fatalf("entry %d has term %d, want %d", e.Index, e.Term, want[e.Index-1].Term)
					}
				}
			},
		})
	})
}

// TestAckCoversOnlyWhatWasChecked sends a follower that holds a longer tail an
// append that ends before it. The tail may differ from the leader's, so the
// follower must not confirm it.
func TestAckCoversOnlyWhatWasChecked(t *testing.T) {
	n := &Node{ID: "a", ElectionTicks: 10, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(1, 1))}
	n.Start(PersistedState{
		State:    HardState{Term: 1},
		Snapshot: Snapshot{Voters: []NodeID{"a", "b", "c"}},
		Entries:  []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}},
	})
	n.Step(Message{Kind: Append, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Commit: 3})
	out := n.TakeOutput()
	if len(out.Messages) != 1 || out.Messages[0].Index != 1 || out.Messages[0].Reject {
		t.Errorf("the answer is %+v, want a confirmation up to entry 1", out.Messages)
	}
	if n.CommitIndex() != 1 {
		t.Errorf("committed up to %d, want 1", n.CommitIndex())
	}
}
