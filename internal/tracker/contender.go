package tracker

import "time"

// contender is an incarnation of a server that goes on to send heartbeats though the registry
// holds that it has ended. A heartbeat may be late, so one alone proves nothing. A server that has
// said that it leaves ends some seconds later, so heartbeats that go on for longer prove that
// the incarnation runs.
type contender struct {
	incarnation uint64
	// since is when the first heartbeat of the series arrived, sequence that of the last one.
	since    time.Time
	sequence uint64
	count    int
}

// Bounds of a series of heartbeats that proves that an incarnation runs.
const (
	// contenderTime is longer than a heartbeat may be late and than a server may go on after
	// it has said that it leaves.
	contenderTime       = 30 * time.Second
	contenderHeartbeats = 5
)

// announce adds a heartbeat, and reports whether the series proves that the incarnation runs.
func (c *contender) announce(s *Server) bool {
	switch {
	case c.incarnation != s.Incarnation || c.count == 0:
		*c = contender{incarnation: s.Incarnation, since: s.LastHeartbeatAt, sequence: s.Sequence, count: 1}
	case s.Sequence > c.sequence:
		c.sequence = s.Sequence
		c.count++
	}
	return c.count >= contenderHeartbeats && s.LastHeartbeatAt.Sub(c.since) >= contenderTime
}

// isContended reports whether heartbeats of s may prove that it is the present incarnation though
// the registry holds old: old is presumed to be gone, or a later incarnation than s and not heard
// any more, as after a step of the clock that dates the starts.
func (g *Registry) isContended(old, s *Server) bool {
	switch {
	case s.Gone:
		return false
	case s.Incarnation == old.Incarnation:
		return old.Gone && old.GonePresumed && !g.isSucceeded(old)
	case s.Incarnation < old.Incarnation:
		return old.Gone || old.Silent
	}
	return false
}

// isSucceeded reports whether a server with a later start is heard at the address of s.
func (g *Registry) isSucceeded(s *Server) bool {
	for _, e := range g.servers {
		o := &e.server
		if o.ID != s.ID && o.Address == s.Address && o.Incarnation > s.Incarnation && !o.Gone && !o.Silent && g.isNamed(o.Service) {
			return true
		}
	}
	return false
}
