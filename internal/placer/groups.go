package placer

import (
	"fmt"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// stepGroup updates the state of one group of engines.
func (p *Placer) stepGroup(now time.Time, g *group) {
	if g.info.State == GroupReleasing {
		p.stepReleasing(now, g)
		return
	}
	lost, failure := p.inspectMembers(g)
	switch {
	case failure != "":
		p.releaseGroup(now, g, failure)
	case lost > 0:
		p.suspendGroup(now, g, lost)
	default:
		p.stepComplete(now, g)
	}
}

// inspectMembers counts the lost members. If the group cannot recover, because a
// member is unknown, has restarted or announces another group, it returns the
// reason as failure.
func (p *Placer) inspectMembers(g *group) (lost int, failure string) {
	for _, mb := range g.members {
		m := p.vms[mb.vm]
		switch {
		case m == nil:
			return 0, fmt.Sprintf("%s was never heard from", mb.vm)
		case m.lost:
			lost++
		case m.server.Incarnation != mb.incarnation:
			return 0, fmt.Sprintf("%s has restarted", mb.vm)
		case mb.joinAccepted && m.pendingOrder == nil && m.server.Group != g.info.ID:
			return 0, fmt.Sprintf("%s says that it is in group %q", mb.vm, m.server.Group)
		}
	}
	return lost, ""
}

// suspendGroup suspends a group that has lost members, and releases it when they
// have not returned within the grace period.
func (p *Placer) suspendGroup(now time.Time, g *group, lost int) {
	allLost := lost == len(g.members)
	if g.membersLostSince.IsZero() || g.allMembersLost && !allLost {
		// Members that were all out of reach announce themselves one after the other.
		g.membersLostSince = now
	}
	g.allMembersLost = allLost
	g.info.State = GroupSuspended
	g.info.Reason = fmt.Sprintf("%d of %d members are silent", lost, len(g.members))
	grace := p.Policy.PartialLossGrace
	if allLost {
		grace = p.Policy.TotalLossGrace
	}
	if now.Sub(g.membersLostSince) >= grace {
		p.releaseGroup(now, g, g.info.Reason)
	}
}

// stepComplete updates a group that has no lost members.
func (p *Placer) stepComplete(now time.Time, g *group) {
	if !g.membersLostSince.IsZero() {
		g.membersLostSince, g.allMembersLost = time.Time{}, false
		g.info.State = GroupForming
		g.info.Incarnation++
	}
	if p.hasDrainedMember(g) {
		p.drainGroup(g, "operators have taken a member out")
	}
	if p.hasLeavingMember(g) {
		p.drainGroup(g, "a member says that it is leaving")
	}
	switch g.info.State {
	case GroupForming:
		p.stepForming(now, g)
	case GroupDraining:
		if p.quiescedGroups[g.info.ID] {
			p.releaseGroup(now, g, g.info.Reason)
		}
	}
}

func (p *Placer) hasDrainedMember(g *group) bool {
	return slices.ContainsFunc(g.members, func(mb member) bool { return p.drainedVMs[mb.vm] })
}

func (p *Placer) hasLeavingMember(g *group) bool {
	return slices.ContainsFunc(g.members, func(mb member) bool {
		return p.vms[mb.vm].server.State == EngineLeaving
	})
}

func (p *Placer) drainGroup(g *group, reason string) {
	if g.info.State != GroupReleasing {
		g.info.State, g.info.Reason = GroupDraining, reason
	}
}

func (p *Placer) stepForming(now time.Time, g *group) {
	notReady := 0
	for _, mb := range g.members {
		s := p.vms[mb.vm].server
		if !mb.joinAccepted || s.Group != g.info.ID || s.GroupFencingToken != g.info.FencingToken || s.State != EngineReady {
			notReady++
		}
	}
	if notReady == 0 {
		g.info.State, g.info.Reason = GroupServing, ""
		g.loadTimeoutStart = now
		return
	}
	g.info.Reason = fmt.Sprintf("%d of %d members are not ready", notReady, len(g.members))
	if now.Sub(g.loadTimeoutStart) > p.Policy.LoadTimeout {
		p.releaseGroup(now, g, "loading took too long")
	}
}

// releaseGroup stops a group permanently and starts to release its members.
func (p *Placer) releaseGroup(now time.Time, g *group, reason string) {
	g.info.State, g.info.Reason = GroupReleasing, reason
	p.stepReleasing(now, g)
}

// stepReleasing drops the members that are known to have left the group, and
// deletes the group when none remains.
func (p *Placer) stepReleasing(now time.Time, g *group) {
	g.members = slices.DeleteFunc(g.members, func(mb member) bool { return p.releaseMember(now, g, mb) })
	if len(g.members) == 0 {
		delete(p.groups, g.info.ID)
	}
}

// releaseMember frees a member that has left the group or restarted and returns
// true; otherwise it orders the member to leave. A lost VM is freed at once:
// whether it can join a group again is decided when it returns.
func (p *Placer) releaseMember(now time.Time, g *group, mb member) bool {
	m := p.vms[mb.vm]
	if m == nil {
		return true
	}
	hasLeft := m.pendingOrder == nil && mb.responded && m.server.Group != g.info.ID
	if m.lost || m.server.Incarnation != mb.incarnation || hasLeft {
		m.groupID = ""
		return true
	}
	if m.pendingOrder == nil {
		p.queueOrder(now, m, Order{Action: ActionLeave, Group: g.info.ID})
	}
	return false
}

// sendLeaveToStrays orders engines to leave groups that the placer does not know.
func (p *Placer) sendLeaveToStrays(now time.Time) {
	for _, m := range p.sortedVMs {
		s := m.server
		if s.Kind != KindEngine || m.lost || m.pendingOrder != nil || s.Group == "" || s.State == EngineLeaving {
			continue
		}
		if m.groupID == "" || m.groupID != s.Group && p.groups[m.groupID] == nil {
			m.groupID = ""
			p.queueOrder(now, m, Order{Action: ActionLeave, Group: s.Group})
		}
	}
}

// checkIdleEngines asks the idle engines that need a check what they run, once no
// earlier order can arrive any more.
func (p *Placer) checkIdleEngines(now time.Time) {
	for _, m := range p.sortedVMs {
		s := m.server
		idle := s.Kind == KindEngine && !m.lost && m.pendingOrder == nil && m.groupID == "" && s.Group == ""
		if idle && m.needsCheck && !now.Before(m.lateOrdersUntil) {
			p.queueOrder(now, m, Order{Action: ActionCheck})
		}
	}
}

// stepPlainServices maintains a group of one member for each backend server of a
// plain service. Groups created in the first step of a term may have had an owner
// under the previous authority.
func (p *Placer) stepPlainServices(now time.Time, firstStep bool) {
	for _, m := range p.sortedVMs {
		s := m.server
		if s.Kind == KindEngine {
			continue
		}
		id := identifier.NewGroup(identifier.Service(s.Kind), p.Domain, 0) + identifier.Group("/"+s.VM)
		spec, declared := p.serviceSpec(identifier.Service(s.Kind))
		g := p.groups[id]
		switch {
		case m.lost || !declared:
			delete(p.groups, id)
		case g == nil || g.info.Incarnation != s.Incarnation:
			p.groups[id] = newPlainGroup(now, id, spec, s)
			p.groups[id].adopted = firstStep
		}
		if g := p.groups[id]; g != nil {
			p.updatePlainState(g, m)
		}
	}
}

func newPlainGroup(now time.Time, id identifier.Group, spec ServiceSpec, s Server) *group {
	return &group{
		spec: spec, loadTimeoutStart: now,
		members: []member{{vm: s.VM, incarnation: s.Incarnation, joinAccepted: true}},
		info: GroupInfo{
			ID: id, Service: spec.Service, FabricDomain: s.FabricDomain, Members: []identifier.VM{s.VM},
			Address: s.Address, State: GroupServing, Incarnation: s.Incarnation,
		},
	}
}

func (p *Placer) updatePlainState(g *group, m *vmState) {
	switch {
	case p.drainedVMs[m.server.VM]:
		g.info.State, g.info.Reason = GroupDraining, "operators have taken the server out"
	case m.server.State == EngineLeaving:
		g.info.State, g.info.Reason = GroupDraining, "the server says that it is leaving"
	default:
		g.info.State, g.info.Reason = GroupServing, ""
	}
}
