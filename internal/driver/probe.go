package driver

import (
	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// forgottenVote fills the vote of a voter whose disk is empty, so that it does
// not vote again in a term in which it may have voted before.
const forgottenVote replicator.NodeID = "~forgotten"

// probeRound finds out whether an empty data folder belongs to a new log or to
// a voter that lost its disk. The log is new if every other voter answers that
// it holds no entry. Otherwise this process takes a new identity, which is no
// voter until operators add it.
type probeRound struct {
	// nonce tells this round's answers from those to an earlier process.
	nonce replicator.Index
	empty map[identifier.VM]bool
	term  replicator.Term
}

// startEmpty settles the identity of a voter whose data folder is empty.
func (d *Driver) startEmpty() {
	d.probing = &probeRound{}
	switch d.StartMode {
	case BootstrapLog:
		d.settleProbe(replicator.NodeID(d.VM), replicator.BootstrapState(d.firstVoters()))
		d.node.ShortenElectionTimeout()
	case JoinLog:
		d.settleProbe(newDiskID(d.VM, d.Rand), replicator.PersistedState{})
	default:
		d.startProbe()
	}
}

func (d *Driver) startProbe() {
	d.probing = &probeRound{
		nonce: replicator.Index(d.Rand.Uint64()),
		empty: map[identifier.VM]bool{},
	}
	d.decideProbe()
	if d.probing != nil {
		_ = level.Info(d.Logger).Log("msg", "data folder is empty, asking the other voters")
	}
}

func (d *Driver) sendProbes() {
	for _, v := range d.Voters {
		if v != d.VM && !d.probing.empty[v] {
			d.Sender.SendLogMessage(v, d.Name, replicator.Message{
				Kind: probe, From: replicator.NodeID(d.VM), To: replicator.NodeID(v), Index: d.probing.nonce,
			})
		}
	}
}

// answerProbe tells whether this voter's log is empty. Reject means that it is
// not. A voter that is probing itself knows no term.
func (d *Driver) answerProbe(m replicator.Message) {
	d.Sender.SendLogMessage(VMOf(m.From), d.Name, replicator.Message{
		Kind: probeReply, From: replicator.NodeID(d.VM), To: m.From,
		Index: m.Index, Term: d.node.Term(), Reject: d.node.LastIndex() > 0,
	})
}

func (d *Driver) hearProbe(m replicator.Message) {
	if d.probing == nil || m.Index != d.probing.nonce {
		return
	}
	if m.Reject {
		d.settleProbe(newDiskID(d.VM, d.Rand), replicator.PersistedState{})
		return
	}
	d.probing.empty[VMOf(m.From)] = true
	d.probing.term = max(d.probing.term, m.Term)
	d.decideProbe()
}

func (d *Driver) decideProbe() {
	for _, v := range d.Voters {
		if v != d.VM && !d.probing.empty[v] {
			return
		}
	}
	first := replicator.PersistedState{Snapshot: replicator.Snapshot{Voters: d.firstVoters()}}
	if d.probing.term > 0 {
		first.State = replicator.HardState{Term: d.probing.term, Vote: forgottenVote}
	}
	d.settleProbe(replicator.NodeID(d.VM), first)
}

func (d *Driver) settleProbe(id replicator.NodeID, s replicator.PersistedState) {
	d.probing = nil
	if err := d.Journal.Save(replicator.Output{State: &s.State, Entries: s.Entries}); err != nil {
		d.failed = err
		return
	}
	if err := d.Journal.SaveIdentity(id); err != nil {
		d.failed = err
		return
	}
	d.node.ID = id
	d.node.Start(s)
	_ = level.Info(d.Logger).Log("msg", "identity settled", "id", id)
}
