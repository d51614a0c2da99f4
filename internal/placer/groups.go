package placer

import (
	"fmt"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// stepGroup moves one group on in its life.
func (p *Placer) stepGroup(now time.Time, g *group) {
	if g.info.State == GroupReleasing {
		p.stepReleasing(now, g)
		return
	}
	missing, gone := p.inspect(g)
	switch {
	case gone != "":
		p.breakGroup(now, g, gone)
	case missing > 0:
		p.suspend(now, g, missing)
	default:
		p.stepWhole(now, g)
	}
}

// inspect counts the members that are silent, and returns why the group is
// past hope: a member that restarted or says that it is elsewhere.
func (p *Placer) inspect(g *group) (missing int, gone string) {
	for _, mb := range g.members {
		m := p.vms[mb.vm]
		switch {
		case m == nil:
			return 0, fmt.Sprintf("%s was never heard from", mb.vm)
		case m.lost:
			missing++
		case m.server.Incarnation != mb.incarnation:
			return 0, fmt.Sprintf("%s has restarted", mb.vm)
		case mb.joined && m.pending == nil && m.server.Group != g.info.ID:
			return 0, fmt.Sprintf("%s says that it is in group %q", mb.vm, m.server.Group)
		}
	}
	return missing, ""
}

// suspend stops a group that misses members and rebuilds it after a while.
func (p *Placer) suspend(now time.Time, g *group, missing int) {
	if g.missing.IsZero() {
		g.missing = now
	}
	g.info.State = GroupSuspended
	g.info.Reason = fmt.Sprintf("%d of %d members are silent", missing, len(g.members))
	grace := p.Policy.PartialLossGrace
	if missing == len(g.members) {
		grace = p.Policy.TotalLossGrace
	}
	if now.Sub(g.missing) >= grace {
		p.breakGroup(now, g, g.info.Reason)
	}
}

// stepWhole handles a group whose members are all heard from.
func (p *Placer) stepWhole(now time.Time, g *group) {
	if !g.missing.IsZero() {
		g.missing = time.Time{}
		g.info.State = GroupForming
		g.info.Incarnation++
	}
	if p.anyDrained(g) {
		p.drain(g, "operators have taken a member out")
	}
	if p.anyLeaving(g) {
		p.drain(g, "a member says that it is leaving")
	}
	switch g.info.State {
	case GroupForming:
		p.stepForming(now, g)
	case GroupDraining:
		if p.quiet[g.info.ID] {
			p.breakGroup(now, g, g.info.Reason)
		}
	}
}

func (p *Placer) anyDrained(g *group) bool {
	return slices.ContainsFunc(g.members, func(mb member) bool { return p.drained[mb.vm] })
}

func (p *Placer) anyLeaving(g *group) bool {
	return slices.ContainsFunc(g.members, func(mb member) bool {
		return p.vms[mb.vm].server.State == EngineLeaving
	})
}

func (p *Placer) drain(g *group, reason string) {
	if g.info.State != GroupReleasing {
		g.info.State, g.info.Reason = GroupDraining, reason
	}
}

func (p *Placer) stepForming(now time.Time, g *group) {
	waiting := 0
	for _, mb := range g.members {
		s := p.vms[mb.vm].server
		if !mb.joined || s.Group != g.info.ID || s.GroupFencingToken != g.info.FencingToken || s.State != EngineReady {
			waiting++
		}
	}
	if waiting == 0 {
		g.info.State, g.info.Reason = GroupServing, ""
		g.since = now
		return
	}
	g.info.Reason = fmt.Sprintf("%d of %d members are not ready", waiting, len(g.members))
	if now.Sub(g.since) > p.Policy.LoadTimeout {
		p.breakGroup(now, g, "loading took too long")
	}
}

// breakGroup stops a group for good and starts to release its members.
func (p *Placer) breakGroup(now time.Time, g *group, reason string) {
	g.info.State, g.info.Reason = GroupReleasing, reason
	p.stepReleasing(now, g)
}

// stepReleasing frees the members that have certainly left and removes the
// group when none is left.
func (p *Placer) stepReleasing(now time.Time, g *group) {
	g.members = slices.DeleteFunc(g.members, func(mb member) bool { return p.released(now, g, mb) })
	if len(g.members) == 0 {
		delete(p.groups, g.info.ID)
	}
}

// released reports whether a member is out of the group. A silent VM is let go
// at once: whatever it says when it comes back is judged then.
func (p *Placer) released(now time.Time, g *group, mb member) bool {
	m := p.vms[mb.vm]
	if m == nil {
		return true
	}
	left := m.pending == nil && mb.answered && m.server.Group != g.info.ID
	if m.lost || m.server.Incarnation != mb.incarnation || left {
		m.group = ""
		return true
	}
	if m.pending == nil {
		p.send(now, m, Order{Action: ActionLeave, Group: g.info.ID})
	}
	return false
}

// releaseStrays tells engines to leave groups that are not in the books.
func (p *Placer) releaseStrays(now time.Time) {
	for _, m := range p.sorted {
		s := m.server
		if s.Kind != KindEngine || m.lost || m.pending != nil || s.Group == "" || s.State == EngineLeaving {
			continue
		}
		if m.group == "" || m.group != s.Group && p.groups[m.group] == nil {
			m.group = ""
			p.send(now, m, Order{Action: ActionLeave, Group: s.Group})
		}
	}
}

// checkDoubted asks idle engines what they run, once no earlier order can reach
// them any more.
func (p *Placer) checkDoubted(now time.Time) {
	for _, m := range p.sorted {
		s := m.server
		idle := s.Kind == KindEngine && !m.lost && m.pending == nil && m.group == "" && s.Group == ""
		if idle && m.doubted && !now.Before(m.unsettled) {
			p.send(now, m, Order{Action: ActionCheck})
		}
	}
}

// stepPlain keeps one group of one member for each plain backend server. In an
// authority's first step the servers may have owners from before.
func (p *Placer) stepPlain(now time.Time, first bool) {
	for _, m := range p.sorted {
		s := m.server
		if s.Kind == KindEngine {
			continue
		}
		id := identifier.NewGroup(identifier.Service(s.Kind), p.Domain, 0) + identifier.Group("/"+s.VM)
		w, declared := p.want(identifier.Service(s.Kind))
		g := p.groups[id]
		switch {
		case m.lost || !declared:
			delete(p.groups, id)
		case g == nil || g.info.Incarnation != s.Incarnation:
			p.groups[id] = newPlainGroup(now, id, w, s)
			p.groups[id].adopted = first
		}
		if g := p.groups[id]; g != nil {
			p.stepPlainDrain(g, m)
		}
	}
}

func newPlainGroup(now time.Time, id identifier.Group, w ServiceSpec, s Server) *group {
	return &group{
		want: w, since: now,
		members: []member{{vm: s.VM, incarnation: s.Incarnation, joined: true}},
		info: GroupInfo{
			ID: id, Service: w.Service, FabricDomain: s.FabricDomain, Members: []identifier.VM{s.VM},
			Address: s.Address, State: GroupServing, Incarnation: s.Incarnation,
		},
	}
}

func (p *Placer) stepPlainDrain(g *group, m *machine) {
	switch {
	case p.drained[m.server.VM]:
		g.info.State, g.info.Reason = GroupDraining, "operators have taken the server out"
	case m.server.State == EngineLeaving:
		g.info.State, g.info.Reason = GroupDraining, "the server says that it is leaving"
	default:
		g.info.State, g.info.Reason = GroupServing, ""
	}
}
