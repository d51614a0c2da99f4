package driver

import (
	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// unknownVote is stored as the vote of a voter whose disk is empty, in the highest
// term that other voters know. It equals no candidate's NodeID, so the voter does
// not vote a second time in a term in which it may have voted before.
const unknownVote replicator.NodeID = "~forgotten"

// logProbe is an exchange with the other initial voters that finds out whether an
// empty data folder belongs to a new log or to a voter that has lost its disk. The
// log is new if all of them reply that their logs are empty. If one is not, this
// process takes a new NodeID, which is not a voter until operators add it.
type logProbe struct {
	// nonce tells replies to this probe from those to an earlier process.
	nonce       replicator.Index
	emptyVoters map[identifier.VM]bool
	term        replicator.Term
}

// startWithoutData starts a voter whose data folder is empty, as StartMode says.
func (d *Driver) startWithoutData() {
	d.probe = &logProbe{}
	switch d.StartMode {
	case BootstrapLog:
		d.startWithNodeID(replicator.NodeID(d.VM), replicator.BootstrapState(d.initialVoterIDs()))
	case JoinLog:
		d.startWithNodeID(newNodeID(d.VM, d.Rand), replicator.PersistedState{})
	default:
		d.startProbe()
	}
}

func (d *Driver) startProbe() {
	d.probe = &logProbe{
		nonce:       replicator.Index(d.Rand.Uint64()),
		emptyVoters: map[identifier.VM]bool{},
	}
	d.finishProbeIfAllEmpty()
	if d.probe != nil {
		_ = level.Info(d.Logger).Log("msg", "data folder is empty; asking the other initial voters whether the log is new")
	}
}

func (d *Driver) sendProbes() {
	for _, v := range d.InitialVoters {
		if v != d.VM && !d.probe.emptyVoters[v] {
			d.Sender.SendLogMessage(v, d.Name, replicator.Message{
				Kind: probeRequest, From: replicator.NodeID(d.VM), To: replicator.NodeID(v), Index: d.probe.nonce,
			})
		}
	}
}

// handleProbeRequest replies whether this voter's log is empty; Reject means that
// it is not. A voter that is itself probing has no term yet and sends 0.
func (d *Driver) handleProbeRequest(m replicator.Message) {
	d.Sender.SendLogMessage(VMOf(m.From), d.Name, replicator.Message{
		Kind: probeReply, From: replicator.NodeID(d.VM), To: m.From,
		Index: m.Index, Term: d.node.Term(), Reject: d.node.LastIndex() > 0,
	})
}

func (d *Driver) handleProbeReply(m replicator.Message) {
	if d.probe == nil || m.Index != d.probe.nonce {
		return
	}
	if m.Reject {
		d.startWithNodeID(newNodeID(d.VM, d.Rand), replicator.PersistedState{})
		return
	}
	d.probe.emptyVoters[VMOf(m.From)] = true
	d.probe.term = max(d.probe.term, m.Term)
	d.finishProbeIfAllEmpty()
}

func (d *Driver) finishProbeIfAllEmpty() {
	for _, v := range d.InitialVoters {
		if v != d.VM && !d.probe.emptyVoters[v] {
			return
		}
	}
	first := replicator.PersistedState{Snapshot: replicator.Snapshot{Voters: d.initialVoterIDs()}}
	if d.probe.term > 0 {
		first.State = replicator.HardState{Term: d.probe.term, Vote: unknownVote}
	}
	d.startWithNodeID(replicator.NodeID(d.VM), first)
}

func (d *Driver) startWithNodeID(id replicator.NodeID, s replicator.PersistedState) {
	d.probe = nil
	write := func() error {
		if err := d.Journal.Save(replicator.Output{State: &s.State, Entries: s.Entries}); err != nil {
			return err
		}
		return d.Journal.SaveNodeID(id)
	}
	d.storageErr = d.persist(write, func() error {
		d.node.ID = id
		d.node.Start(s)
		if d.StartMode == BootstrapLog {
			d.node.ShortenElectionTimeout()
		}
		_ = level.Info(d.Logger).Log("msg", "voter started with an empty data folder", "id", id)
		return nil
	})
}
