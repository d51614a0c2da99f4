// Package tracker keeps what backend servers announce of themselves.
//
// Announcements arrive late, twice, out of order and by several ways. A Registry
// orders them by the start of the server and by the sequence within one life, so
// that every process that has heard the same announcements holds the same state.
// It also numbers its changes, so that another process can ask for those that it
// lacks. It is a core without input or output.
package tracker

import (
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// GroupState is where a backend server is in the life of its replica group.
type GroupState string

// Group states.
const (
	StateJoining GroupState = "joining"
	StateReady   GroupState = "ready"
	StateOpen    GroupState = "open"
	StateClosing GroupState = "closing"
	StateBroken  GroupState = "broken"
)

// Membership is a backend server's place in a replica group. The zero value
// means that it is in none.
type Membership struct {
	Group identifier.Group
	// Epoch grows with each group that a server joins.
	Epoch uint64
	// Rank is 0 for the member that takes the group's requests.
	Rank  int
	State GroupState
}

// Server is what one backend server announced last.
type Server struct {
	ID      identifier.Server
	Service identifier.Service
	Address string
	Domain  identifier.FailureDomain
	Fabric  identifier.FabricDomain
	// Software is the version of the server's program.
	Software string
	Slots    int
	Draining bool
	// ColdUntil is when the server stops being cold.
	ColdUntil time.Time
	// Born is the Unix time of the server's start in milliseconds.
	Born uint64
	// Sequence orders the announcements of one life.
	Sequence uint64
	// Staged are the models on the server's host, Models the loaded ones.
	Staged     []string
	Models     []string
	Membership Membership
	// Gone is set once the server said that it leaves; it may serve for a while
	// yet.
	Gone bool
	// Dead is set once a later server has announced the same address.
	Dead bool
	// Silent is set while nothing was heard for longer than the bound.
	Silent bool
	// HeardAt is when the server was heard last by any process.
	HeardAt time.Time
}

// Usable reports whether new work may go to the server.
func (s *Server) Usable() bool { return !s.Draining && !s.Gone }

// Serving reports whether the server takes the requests of an open group.
func (s *Server) Serving() bool {
	return s.Usable() && s.Membership.Rank == 0 && s.Membership.State == StateOpen
}

// HasStaged reports whether the weights of a model are on the server's host.
func (s *Server) HasStaged(model string) bool { return slices.Contains(s.Staged, model) }

// IsCold reports whether the server is cold.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// coldSlack is the difference of two statements of the end of a cold start that
// is no change: the time that an announcement takes on its way.
const coldSlack = 500 * time.Millisecond

// sameAs reports whether o says the same but for when it was said.
func (s *Server) sameAs(o *Server) bool {
	cold := s.ColdUntil.Sub(o.ColdUntil).Abs() <= coldSlack ||
		!s.ColdUntil.After(s.HeardAt) && !o.ColdUntil.After(o.HeardAt)
	return cold && s.Service == o.Service && s.Address == o.Address && s.Domain == o.Domain &&
		s.Fabric == o.Fabric && s.Software == o.Software && s.Slots == o.Slots &&
		s.Draining == o.Draining && s.Born == o.Born && s.Membership == o.Membership &&
		s.Gone == o.Gone && slices.Equal(s.Staged, o.Staged) && slices.Equal(s.Models, o.Models)
}

// Registry holds the backend servers. Its zero value is empty; it is not safe
// for concurrent use.
type Registry struct {
	// SilenceTimeout is the time after which a server that was not heard counts as
	// silent.
	SilenceTimeout time.Duration

	servers  map[identifier.Server]*entry
	revision uint64
}

type entry struct {
	server   Server
	revision uint64
}

// forgetAfter is how long a server that is gone or silent is remembered, so that
// announcements which were held up do not bring it back.
const forgetAfter = 3 * time.Minute

// Revision numbers the last change.
func (g *Registry) Revision() uint64 { return g.revision }

// AdvanceRevision counts a change of something else that is followed together with the
// servers.
func (g *Registry) AdvanceRevision() { g.revision++ }

// Get returns a server, or nil. The result must not be changed.
func (g *Registry) Get(id identifier.Server) *Server {
	if e := g.servers[id]; e != nil {
		return &e.server
	}
	return nil
}

// All returns every server by id. The results must not be changed.
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

// ChangedSince returns the servers that changed after a revision.
func (g *Registry) ChangedSince(revision uint64) []*Server {
	var out []*Server
	for _, e := range g.servers {
		if e.revision > revision {
			out = append(out, &e.server)
		}
	}
	return out
}

// Apply takes an announcement, and reports whether it changed anything but the
// time. An older one than that known is dropped.
func (g *Registry) Apply(s Server) (changed bool) {
	e := g.servers[s.ID]
	if e == nil {
		if g.servers == nil {
			g.servers = map[identifier.Server]*entry{}
		}
		g.servers[s.ID] = &entry{server: s}
		g.touch(g.servers[s.ID])
		g.supersede(&s)
		return true
	}
	old := &e.server
	switch {
	case s.Born < old.Born:
		return false
	case s.Born == old.Born && old.Gone && !s.Gone:
		// One that left does not come back in the same life.
		return false
	case s.Born == old.Born && s.Sequence < old.Sequence && !s.Gone:
		return false
	case s.Born == old.Born && s.Sequence == old.Sequence && s.Gone == old.Gone:
		// The same announcement by another way, however long ago it was made.
		return false
	}
	if s.HeardAt.Before(old.HeardAt) {
		s.HeardAt = old.HeardAt
	}
	s.Silent, s.Dead = false, s.Born == old.Born && old.Dead
	changed = old.Silent || !s.sameAs(old)
	*old = s
	if changed {
		g.touch(e)
		g.supersede(&s)
	}
	return changed
}

// supersede marks servers gone whose address a later one has.
func (g *Registry) supersede(s *Server) {
	if s.Gone || s.Address == "" {
		return
	}
	for _, e := range g.servers {
		o := &e.server
		if o.ID != s.ID && o.Address == s.Address && !o.Dead && o.Born < s.Born {
			o.Gone, o.Dead = true, true
			g.touch(e)
		}
	}
}

func (g *Registry) touch(e *entry) {
	g.revision++
	e.revision = g.revision
}

// MarkGone notes that a server said that it leaves. Born is 0 when it did not say
// which of its lives ends.
func (g *Registry) MarkGone(now time.Time, id identifier.Server, born uint64) (changed bool) {
	e := g.servers[id]
	if e == nil {
		return g.Apply(Server{ID: id, Born: born, Gone: true, HeardAt: now})
	}
	if e.server.Gone || born != 0 && born < e.server.Born {
		return false
	}
	e.server.Gone = true
	e.server.HeardAt = now
	g.touch(e)
	return true
}

// ExpireServers marks the servers silent that were not heard for the bound, forgets
// those that are long gone, and returns the ids newly marked.
func (g *Registry) ExpireServers(now time.Time) []identifier.Server {
	var silent []identifier.Server
	for id, e := range g.servers {
		quiet := now.Sub(e.server.HeardAt)
		switch {
		case quiet > forgetAfter:
			delete(g.servers, id)
		case quiet > g.SilenceTimeout && !e.server.Silent && !e.server.Gone:
			e.server.Silent = true
			g.touch(e)
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// ReplaceServer takes a server as another registry has it, unless what is known is
// newer. It is used by a process that follows other registries.
func (g *Registry) ReplaceServer(s Server) {
	if g.servers == nil {
		g.servers = map[identifier.Server]*entry{}
	}
	if e := g.servers[s.ID]; e != nil {
		old := &e.server
		if s.Born < old.Born || s.Born == old.Born && (s.Sequence < old.Sequence || old.Gone && !s.Gone) {
			return
		}
	}
	// A new entry leaves what All has handed out as it was.
	e := &entry{server: s}
	g.servers[s.ID] = e
	g.touch(e)
}

// RemoveServer forgets a server.
func (g *Registry) RemoveServer(id identifier.Server) { delete(g.servers, id) }
