package grouper

import (
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// Slow servers. A group runs at the pace of its slowest member, so one server whose
// steps take many times longer than declared makes a whole group stall. Such a server
// responds to everything. If its group were formed again from the same members, it
// would stall again and again. Therefore the members of a group whose requests stall
// state their pace in the reply to a probe. A group with a slow one is closed after its
// requests have ended, for it is at work, and slow servers are kept out of new groups
// until a later probe finds them fast.

const (
	// minSlowdown is the slowdown, in multiples of the typical one of the service, from
	// which on a server is kept out of groups.
	minSlowdown = 2.0
	// slowProbeInterval is the time between two probes of a slow server, and the least
	// time between two probes of any server.
	slowProbeInterval = time.Second
)

// probeStalledMembers probes every member of a group whose requests are stalled, to
// find a dead or slow one. It is not taken into another group before it has responded.
func (g *Grouper) probeStalledMembers(gr *group) {
	for i, id := range gr.info.Members {
		if s, r := g.view.Registry.Get(id), g.records[id]; s != nil && r != nil && g.probe(s, r, gr.addresses[i], "requests at its group are stalled") {
			r.probeDue = true
		}
	}
}

// probe sends a probe unless one is pending or the last one was recent. A probe
// changes nothing at the server, so it may overlap with an order. It reports whether it
// sent one.
func (g *Grouper) probe(s *tracker.Server, r *serverRecord, address, reason string) bool {
	if r.probePending || g.now.Sub(r.probedAt) < slowProbeInterval {
		return false
	}
	r.probePending, r.probedAt = true, g.now
	g.orders = append(g.orders, Order{
		Action: ActionProbe, Server: s.ID, Address: address, FencingToken: g.fencingToken, Reason: reason,
	})
	return true
}

// probeIdleServers probes the servers in no group whose pace is not known since their
// last group stalled, and the slow ones each slowProbeInterval.
func (g *Grouper) probeIdleServers() {
	grouped := g.groupedServers()
	for _, s := range g.view.Registry.All() {
		r := g.records[s.ID]
		if r == nil || grouped[s.ID] || s.Silent || !s.Usable() {
			continue
		}
		if r.probeDue || r.slowdown >= minSlowdown {
			g.probe(s, r, s.Address, "its pace is not known")
		}
	}
}

// recordProbe records the reply to a probe.
func (r *serverRecord) recordProbe(now time.Time, reply Reply) {
	r.probePending, r.probeDue, r.probeFailedAt = false, false, time.Time{}
	switch reply.Outcome {
	case OutcomeUnanswered, OutcomeAbsent, OutcomeUnreachable:
		r.probeFailedAt = now
	case OutcomeDone:
		r.slowdown = reply.Slowdown
	}
	r.hasEnded = reply.Outcome == OutcomeMisdirected || reply.Outcome == OutcomeDone && reply.HasNoOrders
	r.isUnreachable = reply.Outcome == OutcomeAbsent || reply.Outcome == OutcomeUnreachable
	if reply.Outcome == OutcomeAbsent {
		r.absentAt = now
	}
}

// isSlow reports whether a server was found much slower than the typical server of its
// service.
func (g *Grouper) isSlow(s *tracker.Server) bool {
	r := g.records[s.ID]
	return r.slowdown >= minSlowdown && r.slowdown >= minSlowdown*g.typicalSlowdown(s.Service)
}

// typicalSlowdown returns the median slowdown of the servers of a service, as of the
// first call in a step. Servers that were not probed count as fast as declared.
func (g *Grouper) typicalSlowdown(service identifier.Service) float64 {
	if typical, known := g.typicalSlowdowns[service]; known {
		return typical
	}
	all := []float64{}
	for _, s := range g.view.Registry.All() {
		if r := g.records[s.ID]; s.Service == service && r != nil && s.Usable() {
			all = append(all, max(r.slowdown, 1))
		}
	}
	typical := 1.0
	if len(all) > 0 {
		slices.Sort(all)
		typical = all[len(all)/2]
	}
	g.typicalSlowdowns[service] = typical
	return typical
}
