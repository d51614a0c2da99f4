package server

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Parameters of the gossip of configuration changes.
const (
	// pushInterval is the period over which changes are batched into one push.
	pushInterval = 100 * time.Millisecond
	// pushFanout is the number of random peers that each push is sent to.
	pushFanout = 4
	// maxQuorumAge is the time without a confirmation by the log's quorum after
	// which a process reports that it is cut off.
	maxQuorumAge = 8 * time.Second
	// maxVoterStateAge bounds the age of the configuration of a voter that knows
	// a leader: two election timeouts at the default tick.
	maxVoterStateAge = 2 * time.Second
)

// gossipState is what a process keeps to exchange the configuration with peers.
type gossipState struct {
	mu sync.Mutex
	// pushedRevision is the last revision that was pushed to peers.
	pushedRevision identifier.Revision
	// confirmedAt is the last time at which the configuration is known to have
	// matched that of a quorum.
	confirmedAt time.Time
	// configReady is set once the configuration may be used to serve requests.
	configReady bool
}

// configMachine is the state machine of the configuration log. The changes that
// it accepts take effect through Server.applyChanges, like a change from a peer.
type configMachine struct{ s *Server }

// Apply implements driver.StateMachine.
func (m configMachine) Apply(data []byte) []byte {
	result := m.s.loggedConfig.Apply(data)
	m.s.witness.recordVotes(time.Now(), &m.s.loggedConfig)
	m.s.applyLoggedConfig()
	return result
}

// PrepareSnapshot implements driver.StateMachine. It serializes the state
// immediately, since the state is small.
func (m configMachine) PrepareSnapshot() func() []byte {
	data := m.s.loggedConfig.Snapshot()
	return func() []byte { return data }
}

// Restore implements driver.StateMachine.
func (m configMachine) Restore(data []byte) error {
	if err := m.s.loggedConfig.Restore(data); err != nil {
		return err
	}
	m.s.applyLoggedConfig()
	return nil
}

// applyLoggedConfig puts into effect the changes that the log has accepted.
func (s *Server) applyLoggedConfig() {
	changes, ok := s.loggedConfig.ChangesSince(s.config.Revision())
	if !ok {
		s.replaceConfig(s.loggedConfig.Snapshot())
		return
	}
	s.applyChanges(changes)
}

func (s *Server) applyChanges(changes []recorder.AcceptedChange) {
	changed := false
	for _, c := range changes {
		if s.config.ApplyAccepted(c) == nil {
			changed = true
		}
	}
	if changed {
		s.handleConfigChange()
	}
}

func (s *Server) replaceConfig(data []byte) {
	if err := s.config.ReplaceIfNewer(data); err != nil {
		_ = level.Warn(s.Logger).Log("part", "config", "msg", "cannot load a configuration snapshot", "err", err)
		return
	}
	s.handleConfigChange()
}

func (s *Server) handleConfigChange() {
	s.locator.SetConfig(s.config.View())
	if s.logs[configLog] == nil {
		return
	}
	// A voter's disk holds every configuration that it has ever used, so the one
	// it restores is not older than the last one it used.
	s.gossip.mu.Lock()
	s.gossip.configReady = true
	s.gossip.mu.Unlock()
}

// confirmConfig records that the configuration here matched that of a quorum at
// the time now-age. A process without a disk serves only once a time after its
// start is confirmed, so that its configuration is not older than the one that it
// used before a restart. If the failure domain is cut off, no such confirmation
// comes; after maxQuorumAge the process then uses its peers' configuration.
func (s *Server) confirmConfig(now time.Time, age time.Duration) {
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	if confirmed := now.Add(-age); confirmed.After(s.gossip.confirmedAt) {
		s.gossip.confirmedAt = confirmed
	}
	if s.gossip.confirmedAt.After(s.startTime) || now.Sub(s.startTime) > maxQuorumAge {
		s.gossip.configReady = true
	}
}

// quorumAge returns the time since the configuration was last confirmed, and an
// hour if it never was.
func (s *Server) quorumAge(now time.Time) time.Duration {
	if d := s.logs[configLog]; d != nil {
		if st := d.Status(); st.Leader != "" && !st.Probing {
			s.confirmConfig(now, maxVoterStateAge)
		}
	}
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	if s.gossip.confirmedAt.IsZero() {
		return time.Hour
	}
	return now.Sub(s.gossip.confirmedAt)
}

// isCutOff reports whether the log's quorum has not confirmed the configuration
// for longer than maxQuorumAge.
func (s *Server) isCutOff() bool { return s.quorumAge(time.Now()) > maxQuorumAge }

func (s *Server) isConfigReady() bool {
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	return s.gossip.configReady
}

// pullConfig requests from a random peer the changes that are missing here.
func (s *Server) pullConfig(ctx context.Context) {
	peer, ok := s.randomPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.SilenceTimeout)
	defer cancel()
	reply, err := s.linker.Call(ctx, peer, &peerv1.Envelope{Pull: &peerv1.Pull{Revision: uint64(s.config.Revision())}})
	if err == nil && reply.GetDelta() != nil {
		s.applyDelta(reply.GetDelta())
	}
}

func (s *Server) randomPeer() (identifier.VM, bool) {
	peers := s.Settings.Peers
	if len(peers) < 2 {
		return "", false
	}
	for {
		p := peers[s.random.IntN(len(peers))]
		if p.VM != s.Settings.VM {
			return p.VM, true
		}
	}
}

// pushConfig sends new changes to a few random peers, which push them further.
func (s *Server) pushConfig() {
	revision := s.config.Revision()
	s.gossip.mu.Lock()
	pushed := s.gossip.pushedRevision
	s.gossip.pushedRevision = revision
	s.gossip.mu.Unlock()
	if pushed == revision {
		return
	}
	delta := s.configDelta(pushed)
	if delta.State != nil {
		// The changes since the last push are no longer in the history; peers
		// that lack them pull the whole state.
		return
	}
	for range pushFanout {
		if peer, ok := s.randomPeer(); ok {
			s.linker.Send(peer, &peerv1.Envelope{Delta: delta})
		}
	}
}

// configDelta returns the changes after revision r, or the whole state if the
// history does not reach back that far.
func (s *Server) configDelta(r identifier.Revision) *peerv1.Delta {
	d := &peerv1.Delta{
		Revision:    uint64(s.config.Revision()),
		QuorumAgeMs: uint64(s.quorumAge(time.Now()).Milliseconds()),
		Serves:      s.isConfigReady(),
	}
	changes, ok := s.config.ChangesSince(r)
	if !ok {
		d.State = s.config.Snapshot()
		return d
	}
	for _, c := range changes {
		d.Changes = append(d.Changes, &peerv1.Change{Revision: uint64(c.Revision), Data: c.Data})
	}
	return d
}

func (s *Server) applyDelta(d *peerv1.Delta) {
	if len(d.GetState()) > 0 {
		s.replaceConfig(d.GetState())
	}
	var changes []recorder.AcceptedChange
	for _, c := range d.GetChanges() {
		changes = append(changes, recorder.AcceptedChange{Revision: identifier.Revision(c.GetRevision()), Data: c.GetData()})
	}
	s.applyChanges(changes)
	if d.GetServes() && uint64(s.config.Revision()) >= d.GetRevision() {
		s.confirmConfig(time.Now(), time.Duration(d.GetQuorumAgeMs())*time.Millisecond)
	}
}
