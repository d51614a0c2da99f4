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
	// pushTime is the time in which changes are gathered into one push.
	pushTime = 100 * time.Millisecond
	// pushFanout is the number of random peers that get each push.
	pushFanout = 4
	// cutOffAge is the age of the last word from the log's quorum after which
	// a process says that it is cut off.
	cutOffAge = 8 * time.Second
	// logAge bounds how old the state of a voter that knows a leader may be:
	// two election timeouts at the default tick.
	logAge = 2 * time.Second
)

// gossip is the state of spreading the configuration.
type gossip struct {
	mu sync.Mutex
	// pushed is the last revision that was pushed on.
	pushed identifier.Revision
	// confirmed is when the state was last known to be that of a quorum.
	confirmed time.Time
	// caughtUp is set once this process knows a configuration to serve by.
	caughtUp bool
}

// configMachine is the state machine of the configuration log. What it accepts
// comes into force through Server.follow, like a change from a peer.
type configMachine struct{ s *Server }

// Apply implements driver.StateMachine.
func (m configMachine) Apply(data []byte) []byte {
	result := m.s.logged.Apply(data)
	m.s.witness.noteVotes(time.Now(), &m.s.logged)
	m.s.catchUpWithLog()
	return result
}

// PrepareSnapshot implements driver.StateMachine. The state is small enough to be serialized
// at once.
func (m configMachine) PrepareSnapshot() func() []byte {
	data := m.s.logged.Snapshot()
	return func() []byte { return data }
}

// Restore implements driver.StateMachine.
func (m configMachine) Restore(data []byte) error {
	if err := m.s.logged.Restore(data); err != nil {
		return err
	}
	m.s.catchUpWithLog()
	return nil
}

// catchUpWithLog brings into force what the log has accepted.
func (s *Server) catchUpWithLog() {
	changes, ok := s.logged.ChangesSince(s.config.Revision())
	if !ok {
		s.replaceConfig(s.logged.Snapshot())
		return
	}
	s.follow(changes)
}

func (s *Server) follow(changes []recorder.AcceptedChange) {
	took := false
	for _, c := range changes {
		if s.config.ApplyAccepted(c) == nil {
			took = true
		}
	}
	if took {
		s.configChanged()
	}
}

func (s *Server) replaceConfig(data []byte) {
	if err := s.config.ReplaceIfNewer(data); err != nil {
		_ = level.Warn(s.Logger).Log("part", "config", "msg", "state from a peer refused", "err", err)
		return
	}
	s.configChanged()
}

func (s *Server) configChanged() {
	s.locator.SetConfig(s.config.View())
	if s.logs[configLog] == nil {
		return
	}
	// What a voter takes from its own disk is all that it ever served by.
	s.gossip.mu.Lock()
	s.gossip.caughtUp = true
	s.gossip.mu.Unlock()
}

// confirm notes that this process's state was that of a quorum age ago. A
// process without a disk serves by a state that was confirmed after its start:
// that is no older than any that it served by before. When no such state can be
// had for long, because the failure domain is cut off, it serves by what its
// peers serve by.
func (s *Server) confirm(now time.Time, age time.Duration) {
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	if at := now.Add(-age); at.After(s.gossip.confirmed) {
		s.gossip.confirmed = at
	}
	if s.gossip.confirmed.After(s.started) || now.Sub(s.started) > cutOffAge {
		s.gossip.caughtUp = true
	}
}

// quorumAge returns the time since the state was last confirmed.
func (s *Server) quorumAge(now time.Time) time.Duration {
	if d := s.logs[configLog]; d != nil {
		if st := d.Status(); st.Leader != "" && !st.Probing {
			s.confirm(now, logAge)
		}
	}
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	if s.gossip.confirmed.IsZero() {
		return time.Hour
	}
	return now.Sub(s.gossip.confirmed)
}

// cutOff reports whether this process has lost touch with the quorum.
func (s *Server) cutOff() bool { return s.quorumAge(time.Now()) > cutOffAge }

func (s *Server) caughtUp() bool {
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	return s.gossip.caughtUp
}

// pullConfig asks a random peer for what this process lacks.
func (s *Server) pullConfig(ctx context.Context) {
	peer, ok := s.randomPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.SilenceTimeout)
	defer cancel()
	answer, err := s.linker.Call(ctx, peer, &peerv1.Envelope{Pull: &peerv1.Pull{Revision: uint64(s.config.Revision())}})
	if err == nil && answer.GetDelta() != nil {
		s.takeDelta(answer.GetDelta())
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
	from := s.gossip.pushed
	s.gossip.pushed = revision
	s.gossip.mu.Unlock()
	if from == revision {
		return
	}
	delta := s.delta(from)
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

// delta returns what a process at revision r lacks.
func (s *Server) delta(r identifier.Revision) *peerv1.Delta {
	d := &peerv1.Delta{
		Revision:    uint64(s.config.Revision()),
		QuorumAgeMs: uint64(s.quorumAge(time.Now()).Milliseconds()),
		Serves:      s.caughtUp(),
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

func (s *Server) takeDelta(d *peerv1.Delta) {
	if len(d.GetState()) > 0 {
		s.replaceConfig(d.GetState())
	}
	var changes []recorder.AcceptedChange
	for _, c := range d.GetChanges() {
		changes = append(changes, recorder.AcceptedChange{Revision: identifier.Revision(c.GetRevision()), Data: c.GetData()})
	}
	s.follow(changes)
	if d.GetServes() && uint64(s.config.Revision()) >= d.GetRevision() {
		s.confirm(time.Now(), time.Duration(d.GetQuorumAgeMs())*time.Millisecond)
	}
}
