package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
)

// diskLosses takes disks away from the voters of a cluster. A process without a disk starts
// again as a voter with another id and an empty log. Leaders replace the voters of lost disks,
// by one change at a time.
type diskLosses struct {
	cluster *cluster
	rand    *rand.Rand
	// most is how many disks may be lost at a time.
	most int
	// replacements holds the new voter for each one whose disk is lost and that has not been
	// replaced everywhere, and lost all voters whose disk was ever lost.
	replacements map[NodeID]NodeID
	lost         []NodeID
	// exchange replaces a voter by its replacement in one change, once that one has the log.
	exchange bool
	// ended is set once no more disks are lost.
	ended bool
}

// step may take disks away, and lets the leader replace voters. Right after an operation has
// completed, all others may lose power at the same moment.
func (d *diskLosses) step(completed bool) {
	// rarely is one in how many steps a disk is lost without an operation.
	const rarely = 150
	switch {
	case d.ended:
	case completed && d.rand.IntN(4) == 0:
		for range 1 + d.rand.IntN(d.most) {
			d.lose()
		}
		if d.rand.IntN(2) == 0 {
			for _, id := range d.cluster.ids() {
				d.cluster.crash(id)
			}
			d.restartAll()
		}
	case d.rand.IntN(rarely) == 0:
		d.lose()
	}
	for _, v := range d.cluster.voters {
		for _, id := range d.lost {
			v.node.MarkLost(id)
		}
	}
	d.replace()
}

// restartAll starts the crashed voters, except one now and then, which starts later.
func (d *diskLosses) restartAll() {
	for _, id := range d.cluster.ids() {
		if d.rand.IntN(5) > 0 {
			d.cluster.start(id)
		}
	}
}

// lose takes the disk of a random voter away, unless too many are lost already.
func (d *diskLosses) lose() {
	ids := d.cluster.ids()
	old := ids[d.rand.IntN(len(ids))]
	if len(d.replacements) >= d.most || slices.Contains(d.replacementIDs(), old) {
		return
	}
	fresh := NodeID(fmt.Sprintf("%c%d", old[0], len(d.lost)+1))
	delete(d.cluster.voters, old)
	d.cluster.add(fresh, nil)
	d.replacements[old] = fresh
	d.lost = append(d.lost, old)
}

func (d *diskLosses) replacementIDs() []NodeID {
	var ids []NodeID
	for _, fresh := range d.replacements {
		ids = append(ids, fresh)
	}
	return ids
}

// replace lets the leader propose the next change of voters. A replacement is complete once a
// leader has committed it and the new voter has everything that is committed.
func (d *diskLosses) replace() {
	leader := d.cluster.leader()
	if leader == "" || d.cluster.partitioned[leader] {
		return
	}
	n := d.cluster.voters[leader].node
	voters := slices.Clone(n.Voters())
	for old, fresh := range d.replacements {
		v := d.cluster.voters[fresh]
		isDone := !slices.Contains(voters, old) && slices.Contains(voters, fresh) && n.HasCommittedInTerm() &&
			v.node.CommitIndex() == n.CommitIndex() && n.CommitIndex() == n.LastIndex()
		if isDone {
			delete(d.replacements, old)
		}
	}
	if d.exchange {
		d.exchangeVoter(leader, n, voters)
		return
	}
	next := voters
	for _, id := range d.lost {
		if slices.Contains(voters, id) {
			next = slices.DeleteFunc(slices.Clone(voters), func(o NodeID) bool { return o == id })
			break
		}
	}
	if len(next) == len(voters) {
		for _, fresh := range d.replacementIDs() {
			if !slices.Contains(voters, fresh) {
				next = append(slices.Clone(voters), fresh)
				break
			}
		}
	}
	if len(next) == len(voters) {
		return
	}
	// It fails while an earlier change is not committed, and is proposed again then.
	if _, _, err := n.ProposeVoters(next); err == nil {
		d.cluster.processOutput(leader)
	}
}

// exchangeVoter lets the leader exchange a voter whose disk is lost for its replacement, or
// resign now and then.
func (d *diskLosses) exchangeVoter(leader NodeID, n *Node, voters []NodeID) {
	n.SetLearners(d.replacementIDs())
	defer d.cluster.processOutput(leader)
	if !d.ended && d.rand.IntN(100) == 0 {
		n.Resign()
		return
	}
	for old, fresh := range d.replacements {
		if i := slices.Index(voters, old); i >= 0 && n.HasCaughtUp(fresh) {
			next := slices.Clone(voters)
			next[i] = fresh
			// It fails while an earlier change is not complete, and is proposed again then.
			_, _, _ = n.ProposeVoters(next)
			return
		}
	}
}

// TestHistoriesWithExchangedVoters checks the same as TestHistoriesWithLostDisks while voters are
// replaced in one change and leaders resign.
func TestHistoriesWithExchangedVoters(t *testing.T) { checkHistoriesWithLostDisks(t, true) }

// TestHistoriesWithLostDisks checks the same as TestHistories while disks are lost, most often
// right after an operation has completed, together with the power of all other voters.
func TestHistoriesWithLostDisks(t *testing.T) { checkHistoriesWithLostDisks(t, false) }

func checkHistoriesWithLostDisks(t *testing.T, exchange bool) {
	t.Helper()
	for seed := range uint64(*histories) {
		for most, ids := range map[int][]NodeID{1: {"a", "b", "c"}, 2: {"a", "b", "c", "d", "e"}} {
			t.Run(fmt.Sprintf("%d, %d voters", seed, len(ids)), func(t *testing.T) {
				h := &history{cluster: newCluster(seed, ids...), rand: rand.New(rand.NewPCG(seed, 3))}
				h.cluster.earlyElectionTicks = 20
				h.disks = &diskLosses{cluster: h.cluster, rand: rand.New(rand.NewPCG(seed, 4)), most: most, exchange: exchange, replacements: map[NodeID]NodeID{}}
				h.run(1500)
				for _, violation := range h.cluster.violations {
					t.Error(violation)
				}
				if len(h.completed) < 20 || len(h.disks.lost) < 2 {
					t.Errorf("only %d operations completed and %d disks were lost", len(h.completed), len(h.disks.lost))
				}
				if !porcupine.CheckOperations(registerModel, h.completed) {
					t.Error("the history is not linearizable")
				}
				h.checkConverged(t)
			})
		}
	}
}
