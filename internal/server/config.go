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

// Spread of configuration changes.
const (
	// pushInterval is the time in which changes are gathered into one push.
	pushInterval = 100 * time.Millisecond
	// pushFanout is the number of random peers that get each push.
	pushFanout = 4
	// maxQuorumAge is the age of the last word from the log's quorum after which
	// a process says that it is cut off.
	maxQuorumAge = 8 * time.Second
	// maxVoterStateAge bounds how old the state of a voter that knows a leader may be:
	// two election timeouts at the default tick.
	maxVoterStateAge = 2 * time.Second
)

// gossipState is the state of spreading the configuration.
type gossipState struct {
	mu sync.Mutex
	// pushedRevision is the last revision that was pushed on.
	pushedRevision identifier.Revision
	// confirmedAt is when the state was last known to be that of a quorum.
	confirmedAt time.Time
	// configReady is set once this process knows a configuration to serve by.
	configReady bool
}

// configMachine is the state machine of the configuration log. What it accepts
// comes into force through Server.applyChanges, like a change from a peer.
type configMachine struct{ s *Server }

// Apply implements driver.StateMachine.
func (m configMachine) Apply(data []byte) []byte {
	result := m.s.loggedConfig.Apply(data)
	m.s.witness.recordVotes(time.Now(), &m.s.loggedConfig)
	m.s.applyLoggedConfig()
	return result
}

// PrepareSnapshot implements driver.StateMachine. The state is small enough to be serialized
// at once.
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

// applyLoggedConfig brings into force what the log has accepted.
func (s *Server) applyLoggedConfig() {
	changes, ok := s.loggedConfig.Since(s.config.Revision())
	if !ok {
		s.replaceConfig(s.loggedConfig.Snapshot())
		return
	}
	s.applyChanges(changes)
}

func (s *Server) applyChanges(changes []recorder.Accept) {
	took := false
	for _, c := range changes {
		if s.config.Follow(c) == nil {
			took = true
		}
	}
	if took {
		s.handleConfigChange()
	}
}

func (s *Server) replaceConfig(data []byte) {
	if err := s.config.Replace(data); err != nil {
		_ = level.Warn(s.Logger).Log("part", "config", "msg", "state from a peer refused", "err", err)
		return
	}
	s.handleConfigChange()
}

func (s *Server) handleConfigChange() {
	s.locator.SetConfig(s.config.View())
	if s.logs[configLog] == nil {
		return
	}
	// What a voter takes from its own disk is all that it ever served by.
	s.gossip.mu.Lock()
	s.gossip.configReady = true
	s.gossip.mu.Unlock()
}

// confirmConfig notes that this process's state was that of a quorum age ago. A
// process without a disk serves by a state that was confirmed after its start:
// that is no older than any that it served by before. When no such state can be
// had for long, because the failure domain is cut off, it serves by what its
// peers serve by.
func (s *Server) confirmConfig(now time.Time, age time.Duration) {
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	if at := now.Add(-age); at.After(s.gossip.confirmedAt) {
		s.gossip.confirmedAt = at
	}
	if s.gossip.confirmedAt.After(s.startTime) || now.Sub(s.startTime) > maxQuorumAge {
		s.gossip.configReady = true
	}
}

// quorumAge returns the time since the state was last confirmed.
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

// isCutOff reports whether this process has lost touch with the quorum.
func (s *Server) isCutOff() bool { return s.quorumAge(time.Now()) > maxQuorumAge }

func (s *Server) isConfigReady() bool {
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	return s.gossip.configReady
}

// pullConfig asks a random peer for what this process lacks.
func (s *Server) pullConfig(ctx context.Context) {
	peer, ok := s.randomPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.Silence)
	defer cancel()
	answer, err := s.linker.Call(ctx, peer, &peerv1.Envelope{Pull: &peerv1.Pull{Revision: uint64(s.config.Revision())}})
	if err == nil && answer.GetDelta() != nil {
		s.applyDelta(answer.GetDelta())
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

// pushConfig sends new changes to a few random peers, which pass them on.
func (s *Server) pushConfig() {
	revision := s.config.Revision()
	s.gossip.mu.Lock()
	from := s.gossip.pushedRevision
	s.gossip.pushedRevision = revision
	s.gossip.mu.Unlock()
	if from == revision {
		return
	}
	delta := s.configDelta(from)
	if delta.State != nil {
		// Peers that lack so much pull it.
		return
	}
	for range pushFanout {
		if peer, ok := s.randomPeer(); ok {
			s.linker.Send(peer, &peerv1.Envelope{Delta: delta})
		}
	}
}

// configDelta returns what a process at revision r lacks.
func (s *Server) configDelta(r identifier.Revision) *peerv1.Delta {
	d := &peerv1.Delta{
		Revision:    uint64(s.config.Revision()),
		QuorumAgeMs: uint64(s.quorumAge(time.Now()).Milliseconds()),
		Serves:      s.isConfigReady(),
	}
	changes, ok := s.config.Since(r)
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
	var changes []recorder.Accept
	for _, c := range d.GetChanges() {
		changes = append(changes, recorder.Accept{Revision: identifier.Revision(c.GetRevision()), Data: c.GetData()})
	}
	s.applyChanges(changes)
	if d.GetServes() && uint64(s.config.Revision()) >= d.GetRevision() {
		s.confirmConfig(time.Now(), time.Duration(d.GetQuorumAgeMs())*time.Millisecond)
	}
}
