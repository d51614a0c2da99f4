package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// cluster simulates a set of voters and their network. It can lose, duplicate,
// delay and reorder messages, partition voters from the network, and crash and
// pause them. What an Output listed to persist survives a crash; all else is lost.
type cluster struct {
	rand     *rand.Rand
	voters   map[NodeID]*voter
	inFlight []Message
	// partitioned holds the voters that can neither send nor receive messages.
	partitioned map[NodeID]bool
	// lossRate is the fraction of messages that is lost. Twice as large a fraction
	// is duplicated.
	lossRate float64
	// earlyElectionTicks is the EarlyElectionTicks of voters that start.
	earlyElectionTicks int
	// leaderByTerm holds the leader seen in each term, to detect a second one.
	leaderByTerm map[Term]NodeID
	// committedByIndex holds the entry committed at each index, to detect voters
	// that commit another one there.
	committedByIndex map[Index]Entry
	violations       []string
}

// voter is a Node with its simulated disk and state machine. The state machine
// records the entries that it applied after index appliedBase.
type voter struct {
	node        *Node
	disk        PersistedState
	applied     []Entry
	appliedBase Index
	crashed     bool
	paused      bool
}

func newCluster(seed uint64, ids ...NodeID) *cluster {
	c := &cluster{
		rand: rand.New(rand.NewPCG(seed, 1)), voters: map[NodeID]*voter{}, partitioned: map[NodeID]bool{},
		leaderByTerm: map[Term]NodeID{}, committedByIndex: map[Index]Entry{},
	}
	for _, id := range ids {
		c.add(id, ids)
	}
	return c
}

func (c *cluster) add(id NodeID, voters []NodeID) {
	v := &voter{disk: PersistedState{Snapshot: Snapshot{Voters: voters}}}
	c.voters[id] = v
	c.start(id)
}

func (c *cluster) start(id NodeID) {
	v := c.voters[id]
	v.node = &Node{
		ID: id, ElectionTicks: 10, HeartbeatTicks: 2, EarlyElectionTicks: c.earlyElectionTicks, PersistCommit: true,
		Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 2)),
	}
	v.crashed, v.paused = false, false
	v.appliedBase = v.disk.Snapshot.Index
	v.applied = nil
	v.node.Start(PersistedState{State: v.disk.State, Snapshot: v.disk.Snapshot, Entries: slices.Clone(v.disk.Entries)})
	c.processOutput(id)
}

func (c *cluster) crash(id NodeID) { c.voters[id].crashed = true }

// processOutput persists, sends and applies a voter's Outputs until there are no
// more, and records the voter if it leads.
func (c *cluster) processOutput(id NodeID) {
	v := c.voters[id]
	for {
		out := v.node.TakeOutput()
		if out.IsEmpty() {
			break
		}
		v.store(out)
		if n := len(out.Entries); n > 0 {
			v.node.MarkPersisted(out.Entries[n-1].Index)
		}
		c.inFlight = append(c.inFlight, out.Messages...)
		c.apply(id, v, out)
	}
	if v.node.Role() == Leader {
		t := v.node.Term()
		if old, ok := c.leaderByTerm[t]; ok && old != id {
			c.violations = append(c.violations, fmt.Sprintf("term %d has two leaders, %s and %s", t, old, id))
		}
		c.leaderByTerm[t] = id
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
		v.appliedBase, v.applied = out.Snapshot.Index, nil
	}
	for _, e := range out.CommittedEntries {
		if want := v.appliedBase + Index(len(v.applied)) + 1; e.Index != want {
			c.violations = append(c.violations, fmt.Sprintf("%s applied entry %d, not %d", id, e.Index, want))
		}
		old, ok := c.committedByIndex[e.Index]
		if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
			c.violations = append(c.violations, fmt.Sprintf("%s applied %q at %d, others %q", id, e.Data, e.Index, old.Data))
		}
		c.committedByIndex[e.Index] = e
		v.applied = append(v.applied, e)
	}
}

// compact makes a voter snapshot everything that it has applied.
func (c *cluster) compact(id NodeID, trailing Index) {
	v := c.voters[id]
	i := v.appliedBase + Index(len(v.applied))
	s, ok := v.node.Compact(i, fmt.Appendf(nil, "state at %d", i), trailing)
	if !ok {
		return
	}
	v.disk.Snapshot = s
	v.disk.Entries = v.node.EntriesAfter(i)
}

func (c *cluster) tick() {
	for _, id := range c.ids() {
		if v := c.voters[id]; !v.crashed && !v.paused {
			v.node.Tick()
			c.processOutput(id)
		}
	}
	c.deliver()
}

// deliver passes the messages in flight to their receivers in random order, and
// loses, delays and duplicates some of them.
func (c *cluster) deliver() {
	messages := c.inFlight
	c.inFlight = nil
	c.rand.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for _, m := range messages {
		v := c.voters[m.To]
		if v == nil || v.crashed || c.partitioned[m.From] || c.partitioned[m.To] || c.rand.Float64() < c.lossRate {
			continue
		}
		if v.paused || c.lossRate > 0 && c.rand.Float64() < 0.2 {
			c.inFlight = append(c.inFlight, m)
			continue
		}
		if c.rand.Float64() < 2*c.lossRate {
			c.inFlight = append(c.inFlight, m)
		}
		v.node.Step(m)
		c.processOutput(m.To)
	}
}

func (c *cluster) ids() []NodeID {
	var ids []NodeID
	for id := range c.voters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// leader returns the running leader with the highest term, or an empty id.
func (c *cluster) leader() NodeID {
	var leader NodeID
	var term Term
	for _, id := range c.ids() {
		v := c.voters[id]
		if !v.crashed && !v.paused && v.node.Role() == Leader && v.node.Term() >= term {
			leader, term = id, v.node.Term()
		}
	}
	return leader
}

func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick()
	}
}

// clearFaults ends all network faults and pauses, and restarts crashed voters.
func (c *cluster) clearFaults() {
	c.lossRate = 0
	clear(c.partitioned)
	for _, id := range c.ids() {
		v := c.voters[id]
		v.paused = false
		if v.crashed {
			c.start(id)
		}
	}
}
