// Package tracker keeps the latest state that each backend server has announced.
//
// A server repeats its announcement in heartbeats, and announces when it leaves.
// Announcements may arrive late, more than once, out of order and over several
// paths. A Registry orders them by the start time of the server, which identifies
// one incarnation (one run of the server's process), and by the sequence number
// within that incarnation. Processes that have received the same announcements
// therefore hold the same state. Every change gets a revision number, so that
// another process can ask for the changes that it lacks. The package does no I/O and
// reads no clock.
package tracker

import (
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// GroupState is the state of a backend server within its replica group, as the
// server announces it.
type GroupState string

// Group states: joining until the server has loaded the model, ready from then on
// and after the group was closed, open while the group takes requests, closing
// while its last requests end, and broken once the head has found that a member is
// lost.
const (
	StateJoining GroupState = "joining"
	StateReady   GroupState = "ready"
	StateOpen    GroupState = "open"
	StateClosing GroupState = "closing"
	StateBroken  GroupState = "broken"
)

// Membership is a backend server's place in a replica group. The zero value
// means that it is in no group.
type Membership struct {
	Group identifier.Group
	// Epoch grows with each group that a server joins.
	Epoch uint64
	// Rank is the position among the members. Rank 0, the head, takes the group's
	// requests.
	Rank  int
	State GroupState
}

// Server is the state that one backend server announced last. Leaving, Superseded, Silent
// and LastHeartbeatAt are not part of an announcement: the receivers determine them.
// Tags keep the names that fields have in the JSON state dump.
type Server struct {
	ID      identifier.Server
	Service identifier.Service
	Address string
	Domain  identifier.FailureDomain
	Fabric  identifier.FabricDomain
	// SoftwareVersion is the version of the server's program.
	SoftwareVersion string `json:"Software"`
	Slots           int
	Draining        bool
	// ColdUntil is when the cold phase ends, during which the server can handle fewer
	// requests than when it is warm.
	ColdUntil time.Time
	// Incarnation identifies the present run of the server's process. It is the Unix
	// time of the server's start in milliseconds, so a later run has a higher one.
	Incarnation uint64 `json:"Born"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
	// StagedModels lists the models whose weights are on the server's host,
	// LoadedModels those that the server has loaded since its start.
	StagedModels []string `json:"Staged"`
	LoadedModels []string `json:"Models"`
	Membership   Membership
	// Leaving is set once an answer of this incarnation has said that the server leaves. No later
	// announcement of the incarnation takes that back.
	Leaving bool
	// Gone is set once the server has announced that it leaves for good, after which
	// it may still serve requests for a while, or once it is superseded.
	Gone bool
	// GonePresumed is set if Gone follows from a message that names no incarnation or a later one, or
	// from one of another server. Heartbeats that go on take it back.
	GonePresumed bool
	// GoneUpTo is the latest start time that a departure of the server has named, and LeavingUpTo that of
	// the latest incarnation that has said in an answer that it leaves. They hold for every incarnation
	// up to that start time, also for one whose heartbeat has not come yet.
	GoneUpTo    uint64
	LeavingUpTo uint64
	// Reinstatements is how often heartbeats have taken back that the server is gone or has started
	// anew. It orders states of a server before Incarnation does.
	Reinstatements uint32
	// Superseded is set once another server with a later start time has announced the
	// same address, so that the process of this one must have ended.
	Superseded bool `json:"Dead"`
	// Silent is set while no heartbeat has arrived for longer than the registry's
	// SilenceTimeout.
	Silent bool
	// LastHeartbeatAt is when any process last received a heartbeat from the server,
	// or its announcement that it leaves.
	LastHeartbeatAt time.Time `json:"HeardAt"`
}

// Usable reports whether new work may be assigned to the server.
func (s *Server) Usable() bool { return !s.IsDraining() && !s.Gone }

// IsDraining reports whether the server has said that it is about to leave, in an announcement
// or in an answer.
func (s *Server) IsDraining() bool { return s.Draining || s.Leaving }

// Serving reports whether the server is the head of an open group and takes new
// requests.
func (s *Server) Serving() bool {
	return s.Usable() && s.Membership.Rank == 0 && s.Membership.State == StateOpen
}

// HasStaged reports whether the weights of a model are on the server's host.
func (s *Server) HasStaged(model string) bool { return slices.Contains(s.StagedModels, model) }

// IsCold reports whether the server is in its cold phase.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// coldUntilTolerance is the largest difference between two values of ColdUntil
// that does not count as a change. Servers announce the remaining time, so the
// computed end shifts by the transit time of each announcement.
const coldUntilTolerance = 500 * time.Millisecond

// equalState reports whether o announces the same state, whatever its sequence
// and time.
func (s *Server) equalState(o *Server) bool {
	cold := s.ColdUntil.Sub(o.ColdUntil).Abs() <= coldUntilTolerance ||
		!s.ColdUntil.After(s.LastHeartbeatAt) && !o.ColdUntil.After(o.LastHeartbeatAt)
	return cold && s.Service == o.Service && s.Address == o.Address && s.Domain == o.Domain &&
		s.Fabric == o.Fabric && s.SoftwareVersion == o.SoftwareVersion && s.Slots == o.Slots &&
		s.Draining == o.Draining && s.Leaving == o.Leaving && s.Incarnation == o.Incarnation && s.Membership == o.Membership &&
		s.Gone == o.Gone && s.Reinstatements == o.Reinstatements && s.GoneUpTo == o.GoneUpTo && s.LeavingUpTo == o.LeavingUpTo &&
		slices.Equal(s.StagedModels, o.StagedModels) && slices.Equal(s.LoadedModels, o.LoadedModels)
}

// applyStatements marks the incarnation that s describes as gone or leaving if a statement holds for it.
func (s *Server) applyStatements() {
	if s.GoneUpTo > 0 && s.Incarnation <= s.GoneUpTo {
		// A later incarnation that has left shows that this one has ended, if its start is dated right.
		s.GonePresumed = s.Incarnation < s.GoneUpTo && (s.GonePresumed || !s.Gone)
		s.Gone = true
	}
	if s.LeavingUpTo > 0 && s.Incarnation <= s.LeavingUpTo {
		s.Leaving = true
	}
}

// mergeStatements adds the statements that o holds, and reports whether s did not have them.
func (s *Server) mergeStatements(o *Server) bool {
	if o.GoneUpTo <= s.GoneUpTo && o.LeavingUpTo <= s.LeavingUpTo {
		return false
	}
	s.GoneUpTo, s.LeavingUpTo = max(s.GoneUpTo, o.GoneUpTo), max(s.LeavingUpTo, o.LeavingUpTo)
	s.applyStatements()
	return true
}

// Registry holds the known backend servers. The zero value is an empty registry
// with a SilenceTimeout of 0. It is not safe for concurrent use.
type Registry struct {
	// SilenceTimeout is the time without a heartbeat after which a server counts as
	// silent.
	SilenceTimeout time.Duration
	// ReuseTime is the least time between the end of a server and the start of another one at its address.
	// One that was heard later than that before another one announced its address still runs, or its last
	// heartbeat came late; it counts as ended once it has not been heard for ReuseTime.
	ReuseTime time.Duration
	// IsNamed reports whether the configuration names a service; nil means that it names all.
	// What announces itself for another service is not a server of the system, and its address
	// says nothing about the servers that are.
	IsNamed func(identifier.Service) bool

	servers  map[identifier.Server]*entry
	revision uint64
	// isContested is set if a server was heard too recently to have been succeeded at its address.
	isContested bool
}

// entry is a server and the revision of its last change.
type entry struct {
	server   Server
	revision uint64
	// contender is an incarnation that goes on to send heartbeats though it counts as ended.
	contender contender
}

// entryRetention is how long a server is kept after its last heartbeat, so that
// delayed announcements do not bring back one that is gone or silent.
const entryRetention = 3 * time.Minute

// Revision returns the number of the last change.
func (g *Registry) Revision() uint64 { return g.revision }

// AdvanceRevision counts a change of other data that followers pull together with
// the servers.
func (g *Registry) AdvanceRevision() { g.revision++ }

// Get returns a server, or nil if it is not known. The result must not be
// modified.
func (g *Registry) Get(id identifier.Server) *Server {
	if e := g.servers[id]; e != nil {
		return &e.server
	}
	return nil
}

// All returns every server, ordered by id. The results must not be modified.
func (g *Registry) All() []*Server {
	all := make([]*Server, 0, len(g.servers))
	for _, e := range g.servers {
		all = append(all, &e.server)
	}
	slices.SortFunc(all, func(a, b *Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// ChangedSince returns the servers that changed after a revision, in any order.
func (g *Registry) ChangedSince(revision uint64) []*Server {
	var out []*Server
	for _, e := range g.servers {
		if e.revision > revision {
			out = append(out, &e.server)
		}
	}
	return out
}

// Announce stores an announcement that the server itself has sent. It does the same as Apply,
// and takes back that an incarnation has ended if it goes on to announce itself.
func (g *Registry) Announce(s Server) (changed bool) {
	e := g.servers[s.ID]
	switch {
	case e == nil:
		return g.Apply(s)
	case g.isNamed(e.server.Service) && !g.isNamed(s.Service):
		// A program that is no server of the system has the id of one.
		return false
	}
	s.Reinstatements = e.server.Reinstatements
	if g.isContended(&e.server, &s) && e.contender.announce(&s) {
		s.Reinstatements++
	}
	return g.Apply(s)
}

// Apply stores the state of a server as it or another process announced it, and reports whether
// that changed more than the sequence and the time. It drops a state that is older than the
// known one.
func (g *Registry) Apply(s Server) (changed bool) {
	e := g.servers[s.ID]
	if e == nil {
		if g.servers == nil {
			g.servers = map[identifier.Server]*entry{}
		}
		s.applyStatements()
		g.servers[s.ID] = &entry{server: s}
		g.markChanged(g.servers[s.ID])
		g.markSuperseded(&s)
		return true
	}
	old := &e.server
	switch {
	case s.Reinstatements < old.Reinstatements:
		return false
	case s.Reinstatements > old.Reinstatements:
		s.Silent = false
		s.applyStatements()
		*old, e.contender = s, contender{}
		g.markChanged(e)
		g.markSuperseded(&s)
		return true
	}
	stated := old.mergeStatements(&s)
	changed = g.applyAnnouncement(e, s)
	if stated && !changed {
		g.markChanged(e)
	}
	return stated || changed
}

// applyAnnouncement stores what s announces about its incarnation, unless that is older than the known
// state. The statements that s holds are known already.
func (g *Registry) applyAnnouncement(e *entry, s Server) (changed bool) {
	old := &e.server
	departed := false
	if s.Incarnation == old.Incarnation {
		departed = s.Leaving && !old.Leaving
		s.Leaving = s.Leaving || old.Leaving
	}
	if g.isOutdated(old, &s) {
		if departed {
			old.Leaving = true
			g.markChanged(e)
		}
		return departed
	}
	if s.Incarnation == old.Incarnation && s.Sequence < old.Sequence {
		// The process that recorded the departure knows less of the server than this one.
		changed = departed || !old.Gone
		old.GonePresumed = s.GonePresumed && (old.GonePresumed || !old.Gone)
		old.Gone, old.Leaving = true, s.Leaving
		if changed {
			g.markChanged(e)
		}
		return changed
	}
	if s.LastHeartbeatAt.Before(old.LastHeartbeatAt) {
		s.LastHeartbeatAt = old.LastHeartbeatAt
	}
	s.Silent, s.Superseded = false, s.Incarnation == old.Incarnation && old.Superseded
	s.GoneUpTo, s.LeavingUpTo = old.GoneUpTo, old.LeavingUpTo
	s.applyStatements()
	changed = old.Silent || !s.equalState(old)
	*old = s
	if changed {
		g.markChanged(e)
		g.markSuperseded(&s)
	}
	return changed
}

// isOutdated reports whether an announcement is older than the known state, or is the same over
// another path.
func (g *Registry) isOutdated(old, s *Server) bool {
	switch {
	case s.Incarnation < old.Incarnation:
		return true
	case s.Incarnation > old.Incarnation:
		return false
	case old.Gone && !s.Gone:
		// A server that is gone does not come back in the same incarnation.
		return true
	case s.Sequence < old.Sequence && !s.Gone:
		return true
	}
	// The same announcement over another path, possibly much later.
	return s.Sequence == old.Sequence && s.Gone == old.Gone
}

// MarkLeaving records that an incarnation of a server has said in an answer that it leaves, and
// reports whether that was not known. The incarnation need not have announced itself yet.
func (g *Registry) MarkLeaving(now time.Time, id identifier.Server, incarnation uint64) (changed bool) {
	e := g.servers[id]
	switch {
	case e == nil && incarnation == 0:
		return false
	case e == nil:
		return g.Apply(Server{ID: id, Incarnation: incarnation, LeavingUpTo: incarnation, LastHeartbeatAt: now})
	case incarnation > e.server.Incarnation || incarnation == e.server.Incarnation && incarnation > 0:
		changed = e.server.mergeStatements(&Server{LeavingUpTo: incarnation})
	case incarnation == e.server.Incarnation:
		changed = !e.server.Leaving
		e.server.Leaving = true
	}
	if changed {
		g.markChanged(e)
	}
	return changed
}

// markSuperseded marks other servers at the address of s that started before s as
// gone and superseded, unless they were heard after they must have ended.
func (g *Registry) markSuperseded(s *Server) {
	if s.Gone || s.Address == "" || !g.isNamed(s.Service) {
		return
	}
	for _, e := range g.servers {
		o := &e.server
		if o.ID == s.ID || o.Address != s.Address || o.Superseded || o.Incarnation >= s.Incarnation {
			continue
		}
		if s.LastHeartbeatAt.Sub(o.LastHeartbeatAt) < g.ReuseTime {
			g.isContested = true
			continue
		}
		o.GonePresumed = o.GonePresumed || !o.Gone
		o.Gone, o.Superseded = true, true
		g.markChanged(e)
	}
}

func (g *Registry) isNamed(service identifier.Service) bool {
	return g.IsNamed == nil || g.IsNamed(service)
}

// RecheckAddresses marks the servers that are superseded at their address, after IsNamed has
// changed or time has passed.
func (g *Registry) RecheckAddresses() {
	g.isContested = false
	newest := map[string]*Server{}
	for _, e := range g.servers {
		s := &e.server
		if !s.Gone && !s.Silent && g.isNamed(s.Service) && (newest[s.Address] == nil || newest[s.Address].Incarnation < s.Incarnation) {
			newest[s.Address] = s
		}
	}
	for _, e := range g.servers {
		if n := newest[e.server.Address]; n != nil && n.ID != e.server.ID && n.Incarnation > e.server.Incarnation && !e.server.Superseded {
			g.markSuperseded(n)
		}
	}
}

func (g *Registry) markChanged(e *entry) {
	g.revision++
	e.revision = g.revision
}

// MarkGone records that a server has announced that it leaves for good, and reports whether that was not
// known. If the announcement named an incarnation, that one and all earlier ones are gone, whatever
// was heard of them. If it did not, incarnation is 0, and the incarnation that is known is presumed to be gone.
func (g *Registry) MarkGone(now time.Time, id identifier.Server, incarnation uint64) (changed bool) {
	e := g.servers[id]
	switch {
	case e == nil && incarnation == 0:
		return false
	case e == nil:
		return g.Apply(Server{ID: id, Incarnation: incarnation, Gone: true, GoneUpTo: incarnation, LastHeartbeatAt: now})
	case incarnation == 0 && e.server.Gone:
		return false
	case incarnation == 0:
		e.server.Gone, e.server.GonePresumed = true, true
	case !e.server.mergeStatements(&Server{GoneUpTo: incarnation}):
		return false
	}
	if e.server.Gone {
		e.server.LastHeartbeatAt = now
	}
	g.markChanged(e)
	return true
}

// ExpireServers marks servers as silent whose last heartbeat is longer ago than
// SilenceTimeout, and removes those whose last one is longer ago than
// entryRetention. It returns the ids newly marked as silent, in ascending order.
func (g *Registry) ExpireServers(now time.Time) []identifier.Server {
	if g.isContested {
		g.RecheckAddresses()
	}
	var silent []identifier.Server
	for id, e := range g.servers {
		silence := now.Sub(e.server.LastHeartbeatAt)
		switch {
		case silence > entryRetention:
			delete(g.servers, id)
		case silence > g.SilenceTimeout && !e.server.Silent && !e.server.Gone:
			e.server.Silent = true
			g.markChanged(e)
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// ReplaceServer stores a server as another registry holds it, unless the known
// state is newer. It is for processes that follow the registries of others.
func (g *Registry) ReplaceServer(s Server) {
	if g.servers == nil {
		g.servers = map[identifier.Server]*entry{}
	}
	if e := g.servers[s.ID]; e != nil {
		old := e.server
		switch {
		case s.Reinstatements < old.Reinstatements:
			return
		case s.Reinstatements == old.Reinstatements:
			next, isNewer := newerState(old, s)
			stated := old.mergeStatements(&s)
			if !isNewer && !stated {
				return
			}
			next.mergeStatements(&old)
			s = next
		}
	}
	s.applyStatements()
	// A new entry keeps the results of earlier calls of All and Get unchanged.
	e := &entry{server: s}
	g.servers[s.ID] = e
	g.markChanged(e)
}

// newerState returns what two states of a server with the same number of reinstatements announce of its latest
// incarnation, and whether s adds to that.
func newerState(old, s Server) (next Server, isNewer bool) {
	switch {
	case s.Incarnation < old.Incarnation:
		return old, false
	case s.Incarnation > old.Incarnation:
		return s, true
	}
	leaving, gone := s.Leaving || old.Leaving, s.Gone || old.Gone
	next, isNewer = s, true
	if s.Sequence < old.Sequence || old.Gone && !s.Gone {
		next, isNewer = old, leaving != old.Leaving || gone != old.Gone
	}
	next.Leaving, next.Gone = leaving, gone
	return next, isNewer
}

// RemoveServer deletes a server, so that any later announcement adds it anew.
func (g *Registry) RemoveServer(id identifier.Server) { delete(g.servers, id) }
