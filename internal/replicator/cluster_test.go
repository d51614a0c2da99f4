package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// cluster is a set of voters joined by a network that loses, repeats, delays
// and reorders messages, cuts voters off, and crashes and pauses them. Storage
// survives crashes exactly as far as an Output was stored.
type cluster struct {
	rand   *rand.Rand
	nodes  map[NodeID]*voter
	flying []Message
	// cut holds the voters that can neither send nor receive.
	cut map[NodeID]bool
	// lossy is the share of messages lost, twice that of messages repeated.
	lossy float64
	// eager is the EagerTicks of voters that boot.
	eager int
	// leaders notes the leader of each term, to catch a second one.
	leaders map[Term]NodeID
	// agreed is the command committed at each index by whoever came first.
	agreed map[Index]Entry
	faults []string
}

// voter is one Node with its disk and its state machine, which records the
// commands applied.
type voter struct {
	node    *Node
	disk    PersistedState
	applied []Entry
	base    Index
	down    bool
	paused  bool
}

func newCluster(seed uint64, ids ...NodeID) *cluster {
	c := &cluster{
		rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[NodeID]*voter{}, cut: map[NodeID]bool{},
		leaders: map[Term]NodeID{}, agreed: map[Index]Entry{},
	}
	for _, id := range ids {
		c.add(id, ids)
	}
	return c
}

func (c *cluster) add(id NodeID, voters []NodeID) {
	v := &voter{disk: PersistedState{Snapshot: Snapshot{Voters: voters}}}
	c.nodes[id] = v
	c.boot(id)
}

func (c *cluster) boot(id NodeID) {
	v := c.nodes[id]
	v.node = &Node{
		ID: id, ElectionTicks: 10, HeartbeatTicks: 2, EarlyElectionTicks: c.eager, PersistCommit: true,
		Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 2)),
	}
	v.down, v.paused = false, false
	v.base = v.disk.Snapshot.Index
	v.applied = nil
	v.node.Start(PersistedState{State: v.disk.State, Snapshot: v.disk.Snapshot, Entries: slices.Clone(v.disk.Entries)})
	c.flush(id)
}

func (c *cluster) crash(id NodeID) { c.nodes[id].down = true }

// flush carries out what a node asks for. A crash can come between storing and
// sending.
func (c *cluster) flush(id NodeID) {
	v := c.nodes[id]
	for {
		out := v.node.TakeOutput()
		if out.IsEmpty() {
			break
		}
		v.store(out)
		if n := len(out.Entries); n > 0 {
			v.node.MarkPersisted(out.Entries[n-1].Index)
		}
		c.flying = append(c.flying, out.Messages...)
		c.apply(id, v, out)
	}
	if v.node.Role() == Leader {
		t := v.node.Term()
		if old, ok := c.leaders[t]; ok && old != id {
			c.faults = append(c.faults, fmt.Sprintf("term %d has two leaders, %s and %s", t, old, id))
		}
		c.leaders[t] = id
	}
}

func (v *voter) store(out Output) {
	if out.State != nil {
		v.disk.State = *out.State
	}
	if out.Snapshot != nil {
		v.disk.Snapshot = *out.Snapshot
		v.disk.Entries = nil
	}
	if len(out.Entries) > 0 {
		first := out.Entries[0].Index
		v.disk.Entries = slices.DeleteFunc(v.disk.Entries, func(e Entry) bool { return e.Index >= first })
		v.disk.Entries = append(v.disk.Entries, out.Entries...)
	}
}

func (c *cluster) apply(id NodeID, v *voter, out Output) {
	if out.Snapshot != nil {
		v.base, v.applied = out.Snapshot.Index, nil
	}
	for _, e := range out.CommittedEntries {
		if want := v.base + Index(len(v.applied)) + 1; e.Index != want {
			c.faults = append(c.faults, fmt.Sprintf("%s applied entry %d, not %d", id, e.Index, want))
		}
		old, ok := c.agreed[e.Index]
		if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
			c.faults = append(c.faults, fmt.Sprintf("%s applied %q at %d, others %q", id, e.Data, e.Index, old.Data))
		}
		c.agreed[e.Index] = e
		v.applied = append(v.applied, e)
	}
}

// compact lets a voter take a snapshot of all that it has applied.
func (c *cluster) compact(id NodeID, trailing Index) {
	v := c.nodes[id]
	i := v.base + Index(len(v.applied))
	s, ok := v.node.Compact(i, fmt.Appendf(nil, "state at %d", i), trailing)
	if !ok {
		return
	}
	v.disk.Snapshot = s
	v.disk.Entries = v.node.EntriesAfter(i)
}

func (c *cluster) tick() {
	for _, id := range c.ids() {
		if v := c.nodes[id]; !v.down && !v.paused {
			v.node.Tick()
			c.flush(id)
		}
	}
	c.deliver()
}

// deliver hands over what is flying, in random order and with faults.
func (c *cluster) deliver() {
	flying := c.flying
	c.flying = nil
	c.rand.Shuffle(len(flying), func(i, j int) { flying[i], flying[j] = flying[j], flying[i] })
	for _, m := range flying {
		v := c.nodes[m.To]
		if v == nil || v.down || c.cut[m.From] || c.cut[m.To] || c.rand.Float64() < c.lossy {
			continue
		}
		if v.paused || c.lossy > 0 && c.rand.Float64() < 0.2 {
			c.flying = append(c.flying, m)
			continue
		}
		if c.rand.Float64() < 2*c.lossy {
			c.flying = append(c.flying, m)
		}
		v.node.Step(m)
		c.flush(m.To)
	}
}

func (c *cluster) ids() []NodeID {
	var ids []NodeID
	for id := range c.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// leader returns the leader of the highest term, or an empty id.
func (c *cluster) leader() NodeID {
	var best NodeID
	var term Term
	for _, id := range c.ids() {
		v := c.nodes[id]
		if !v.down && !v.paused && v.node.Role() == Leader && v.node.Term() >= term {
			best, term = id, v.node.Term()
		}
	}
	return best
}

func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick()
	}
}

// heal ends every fault.
func (c *cluster) heal() {
	c.lossy = 0
	clear(c.cut)
	for _, id := range c.ids() {
		v := c.nodes[id]
		v.paused = false
		if v.down {
			c.boot(id)
		}
	}
}
