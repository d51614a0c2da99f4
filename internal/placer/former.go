package placer

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// reconcileService brings one service towards its declared replicas.
func (p *Placer) reconcileService(now time.Time, w ServiceSpec) {
	current, outdated := p.activeGroups(w)
	for len(current)+len(outdated) < w.Replicas {
		g := p.formGroup(now, w)
		if g == nil {
			if p.chooseVMs(now, w) == nil {
				p.preemptFor(w)
			}
			return
		}
		current = append(current, g)
	}
	if extra := len(current) + len(outdated) - w.Replicas; extra > 0 {
		p.drainSurplus(append(slices.Clone(outdated), current...), extra)
		return
	}
	p.replaceOutdated(now, w, outdated)
}

// activeGroups returns the service's groups that serve or will, split by whether
// they run the declared model and version.
func (p *Placer) activeGroups(w ServiceSpec) (current, outdated []*group) {
	for _, g := range p.sortedGroups() {
		if g.info.Service != w.Service || g.info.State != GroupForming && g.info.State != GroupServing {
			continue
		}
		if g.info.Model == w.Model && g.info.Version == w.Version && slices.Equal(g.info.Adapters, w.Adapters) {
			current = append(current, g)
		} else {
			outdated = append(outdated, g)
		}
	}
	return current, outdated
}

// drainSurplus stops groups that are not needed, those that do not serve yet
// first.
func (p *Placer) drainSurplus(groups []*group, extra int) {
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Compare(boolToInt(a.info.State == GroupServing), boolToInt(b.info.State == GroupServing))
	})
	for _, g := range groups[:extra] {
		p.drainGroup(g, "more replicas than declared")
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// replaceOutdated replaces outdated groups one at a time. A new group is formed beside
// the old ones when VMs are free; otherwise one old group is stopped, and only
// while every other group serves.
func (p *Placer) replaceOutdated(now time.Time, w ServiceSpec, outdated []*group) {
	if len(outdated) == 0 || p.hasGroupInTransition(w) {
		return
	}
	if p.formGroup(now, w) == nil {
		p.drainGroup(outdated[0], "replaced by version "+w.Version)
	}
}

// hasGroupInTransition reports whether any group of the service is not serving.
func (p *Placer) hasGroupInTransition(w ServiceSpec) bool {
	for _, g := range p.groups {
		if g.info.Service == w.Service && g.info.State != GroupServing {
			return true
		}
	}
	return false
}

// drainUndeclared stops the groups of services that are no longer declared.
func (p *Placer) drainUndeclared(time.Time) {
	for _, g := range p.sortedGroups() {
		if _, ok := p.serviceSpec(g.info.Service); !ok && (g.info.State == GroupServing || g.info.State == GroupForming) {
			p.drainGroup(g, "the service is not declared")
		}
	}
}

// formGroup starts one group of w, or returns nil when no fabric domain has enough
// free VMs.
func (p *Placer) formGroup(now time.Time, w ServiceSpec) *group {
	chosen := p.chooseVMs(now, w)
	if chosen == nil || !p.mayLoadWeights(chosen, w) {
		return nil
	}
	fence := p.nextFencingToken()
	g := &group{spec: w, loadTimeoutStart: now}
	g.info = GroupInfo{
		ID: identifier.NewGroup(w.Service, p.Domain, fence), Service: w.Service,
		FabricDomain: chosen[0].server.FabricDomain, FencingToken: fence, Model: w.Model,
		Version: w.Version, Adapters: w.Adapters, State: GroupForming, Reason: "joining",
		Address: chosen[0].server.Address,
	}
	var addresses []string
	for _, m := range chosen {
		g.members = append(g.members, member{vm: m.server.VM, incarnation: m.server.Incarnation})
		g.info.Members = append(g.info.Members, m.server.VM)
		addresses = append(addresses, m.server.Address)
	}
	for rank, m := range chosen {
		m.groupID = g.info.ID
		p.queueOrder(now, m, Order{
			FencingToken: fence, Action: ActionJoin, Group: g.info.ID, Members: g.info.Members, MemberAddresses: addresses,
			Rank: rank, Model: w.Model, Version: w.Version, Adapters: w.Adapters,
		})
	}
	p.groups[g.info.ID] = g
	return g
}

// mayLoadWeights reports whether the weights that the chosen VMs lack may be loaded
// now. One group may always load, however many VMs it needs.
func (p *Placer) mayLoadWeights(chosen []*vmState, w ServiceSpec) bool {
	missing := 0
	for _, m := range chosen {
		missing += boolToInt(!m.hasWeights(w))
	}
	loading := p.countLoadingVMs()
	return missing == 0 || loading == 0 || loading+missing <= p.Policy.MaxLoadingVMs
}

// countLoadingVMs counts the VMs that load weights for a group.
func (p *Placer) countLoadingVMs() int {
	n := 0
	for _, g := range p.groups {
		if g.info.State != GroupForming {
			continue
		}
		for _, mb := range g.members {
			n += boolToInt(p.vms[mb.vm].server.State != EngineReady)
		}
	}
	return n
}

// chooseVMs picks the VMs for a group of w from the fabric domain that suits
// best: most weights already there, then fewest groups of the service, then
// fewest VMs left over.
func (p *Placer) chooseVMs(now time.Time, w ServiceSpec) []*vmState {
	free := map[identifier.FabricDomain][]*vmState{}
	for _, m := range p.sortedVMs {
		if p.unavailableReason(now, m) == "" && m.server.Accelerators >= w.AcceleratorsPerVM {
			free[m.server.FabricDomain] = append(free[m.server.FabricDomain], m)
		}
	}
	var best []*vmState
	var bestScore fabricScore
	for fabric, ms := range free {
		if len(ms) < w.VMsPerReplica {
			continue
		}
		slices.SortStableFunc(ms, func(a, b *vmState) int {
			return cmp.Or(cmp.Compare(boolToInt(b.hasWeights(w)), boolToInt(a.hasWeights(w))),
				cmp.Compare(a.server.Accelerators, b.server.Accelerators))
		})
		s := p.scoreFabricDomain(w, fabric, ms)
		if best == nil || s.compare(bestScore) < 0 {
			best, bestScore = ms[:w.VMsPerReplica], s
		}
	}
	return best
}

// hasWeights reports whether the VM has the weights of w already.
func (m *vmState) hasWeights(w ServiceSpec) bool {
	return m.server.Model == w.Model && m.server.Version == w.Version
}

// fabricScore ranks fabric domains; the lower one is better.
type fabricScore struct {
	missingWeights    int
	sameServiceGroups int
	leftoverVMs       int
	fabricDomain      identifier.FabricDomain
}

func (p *Placer) scoreFabricDomain(w ServiceSpec, fabric identifier.FabricDomain, ms []*vmState) fabricScore {
	s := fabricScore{leftoverVMs: (len(ms) - w.VMsPerReplica) % w.VMsPerReplica, fabricDomain: fabric}
	for _, m := range ms[:w.VMsPerReplica] {
		s.missingWeights += boolToInt(!m.hasWeights(w))
	}
	for _, g := range p.groups {
		if g.info.Service == w.Service && g.info.FabricDomain == fabric {
			s.sameServiceGroups++
		}
	}
	return s
}

func (s fabricScore) compare(o fabricScore) int {
	return cmp.Or(cmp.Compare(s.missingWeights, o.missingWeights), cmp.Compare(s.sameServiceGroups, o.sameServiceGroups),
		cmp.Compare(s.leftoverVMs, o.leftoverVMs), strings.Compare(string(s.fabricDomain), string(o.fabricDomain)))
}

// unavailableReason returns why a VM cannot join a group now, or an empty string.
func (p *Placer) unavailableReason(now time.Time, m *vmState) string {
	s := m.server
	switch {
	case s.Kind != KindEngine:
		return "serves a plain service"
	case m.lost:
		return "silent"
	case p.drainedVMs[s.VM]:
		return "taken out by operators"
	case m.groupID != "":
		return fmt.Sprintf("in group %s", m.groupID)
	case m.pendingOrder != nil:
		return fmt.Sprintf("waits for the answer to a %s order", m.pendingOrder.Action)
	case s.Group != "":
		return fmt.Sprintf("still says that it is in group %s", s.Group)
	case s.State != EngineIdle:
		return fmt.Sprintf("its engine is %s", s.State)
	case now.Before(m.lateOrdersUntil):
		return fmt.Sprintf("an earlier order may arrive for another %s", m.lateOrdersUntil.Sub(now).Round(time.Second))
	case m.needsCheck:
		return "has to say what it runs first"
	case now.Before(m.holdDownUntil):
		return fmt.Sprintf("held for another %s after %d losses", m.holdDownUntil.Sub(now).Round(time.Second), m.flapCount)
	}
	return ""
}

// preemptFor drains one group of the least important service below w's priority,
// if its VMs could serve w and none is draining already.
func (p *Placer) preemptFor(w ServiceSpec) {
	var victim *group
	for _, g := range p.sortedGroups() {
		if g.info.State == GroupDraining || g.info.State == GroupReleasing {
			return
		}
		if g.spec.Plain || len(g.members) < w.VMsPerReplica || g.spec.Priority >= w.Priority {
			continue
		}
		if victim == nil || g.spec.Priority < victim.spec.Priority {
			victim = g
		}
	}
	if victim != nil {
		p.drainGroup(victim, fmt.Sprintf("makes room for %s", w.Service))
	}
}

// assignOwners gives each group an entry VM. A group keeps its owner while
// that lives.
func (p *Placer) assignOwners() {
	if len(p.entryVMs) == 0 {
		return
	}
	for _, g := range p.groups {
		if !slices.Contains(p.entryVMs, g.info.Owner) {
			g.info.FirstOwner = g.info.Owner == "" && !g.adopted
			g.info.Owner = rendezvousOwner(g.info.ID, p.entryVMs)
		}
	}
}

// rendezvousOwner returns the entry with the highest hash of group and entry, so
// that the loss of one entry moves only its own groups.
func rendezvousOwner(id identifier.Group, entries []identifier.VM) identifier.VM {
	var best identifier.VM
	var bestHash uint64
	for _, e := range entries {
		h := fnv.New64a()
		_, _ = h.Write([]byte(id))
		_, _ = h.Write([]byte(e))
		if sum := mixBits(h.Sum64()); best == "" || sum > bestHash {
			best, bestHash = e, sum
		}
	}
	return best
}

// mixBits spreads the bits of an FNV hash, whose last bytes barely reach its top.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Groups returns every group, sorted by id.
func (p *Placer) Groups() []GroupInfo {
	var all []GroupInfo
	for _, g := range p.sortedGroups() {
		all = append(all, g.info)
	}
	return all
}

// StrandedVMs returns every engine VM that is in no serving group, and why.
func (p *Placer) StrandedVMs(now time.Time) []StrandedVM {
	var all []StrandedVM
	for _, m := range p.sortedVMs {
		if m.server.Kind != KindEngine {
			continue
		}
		g := p.groups[m.groupID]
		if g != nil && g.info.State == GroupServing {
			continue
		}
		reason := p.unavailableReason(now, m)
		if g != nil {
			reason = fmt.Sprintf("group %s is %s: %s", g.info.ID, g.info.State, g.info.Reason)
		}
		if reason == "" {
			reason = "free: no service needs it"
		}
		all = append(all, StrandedVM{VM: m.server.VM, Accelerators: m.server.Accelerators, Reason: reason})
	}
	return all
}

// LostVMs returns the VMs that count as lost, sorted.
func (p *Placer) LostVMs() []identifier.VM {
	var all []identifier.VM
	for _, m := range p.sortedVMs {
		if m.lost {
			all = append(all, m.server.VM)
		}
	}
	return all
}
