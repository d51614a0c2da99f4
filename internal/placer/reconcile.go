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

// reconcileService forms, drains or replaces groups to bring one service closer
// to its declared replicas.
func (p *Placer) reconcileService(now time.Time, spec ServiceSpec) {
	current, outdated := p.activeGroups(spec)
	for len(current)+len(outdated) < spec.Replicas {
		g := p.formGroup(now, spec)
		if g == nil {
			if p.chooseVMs(now, spec) == nil {
				p.preemptFor(spec)
			}
			return
		}
		current = append(current, g)
	}
	if surplus := len(current) + len(outdated) - spec.Replicas; surplus > 0 {
		p.drainSurplus(append(slices.Clone(outdated), current...), surplus)
		return
	}
	p.replaceOutdated(now, spec, outdated)
}

// activeGroups returns the groups of the service that serve or are forming, split
// by whether they run the declared model, version and adapters.
func (p *Placer) activeGroups(spec ServiceSpec) (current, outdated []*group) {
	for _, g := range p.sortedGroups() {
		if g.info.Service != spec.Service || g.info.State != GroupForming && g.info.State != GroupServing {
			continue
		}
		if g.info.Model == spec.Model && g.info.Version == spec.Version && slices.Equal(g.info.Adapters, spec.Adapters) {
			current = append(current, g)
		} else {
			outdated = append(outdated, g)
		}
	}
	return current, outdated
}

// drainSurplus drains the given number of groups, starting with those that do not
// serve yet.
func (p *Placer) drainSurplus(groups []*group, surplus int) {
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Compare(boolToInt(a.info.State == GroupServing), boolToInt(b.info.State == GroupServing))
	})
	for _, g := range groups[:surplus] {
		p.drainGroup(g, "more replicas than declared")
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// replaceOutdated replaces outdated groups one at a time, and only while every
// group of the service serves. It forms a new group next to the old ones, or
// drains one old group if it can form none.
func (p *Placer) replaceOutdated(now time.Time, spec ServiceSpec, outdated []*group) {
	if len(outdated) == 0 || p.hasGroupInTransition(spec) {
		return
	}
	if p.formGroup(now, spec) == nil {
		p.drainGroup(outdated[0], "replaced by version "+spec.Version)
	}
}

// hasGroupInTransition reports whether any group of the service is not serving.
func (p *Placer) hasGroupInTransition(spec ServiceSpec) bool {
	for _, g := range p.groups {
		if g.info.Service == spec.Service && g.info.State != GroupServing {
			return true
		}
	}
	return false
}

// drainUndeclared drains the groups of services that are no longer declared.
func (p *Placer) drainUndeclared(time.Time) {
	for _, g := range p.sortedGroups() {
		if _, ok := p.serviceSpec(g.info.Service); !ok && (g.info.State == GroupServing || g.info.State == GroupForming) {
			p.drainGroup(g, "the service is not declared")
		}
	}
}

// formGroup starts to form one group of spec. It returns nil when no fabric domain
// has enough free VMs or when too many VMs are loading weights.
func (p *Placer) formGroup(now time.Time, spec ServiceSpec) *group {
	chosen := p.chooseVMs(now, spec)
	if chosen == nil || !p.mayLoadWeights(chosen, spec) {
		return nil
	}
	token := p.nextFencingToken()
	g := &group{spec: spec, loadTimeoutStart: now}
	g.info = GroupInfo{
		ID: identifier.NewGroup(spec.Service, p.Domain, token), Service: spec.Service,
		FabricDomain: chosen[0].server.FabricDomain, FencingToken: token, Model: spec.Model,
		Version: spec.Version, Adapters: spec.Adapters, State: GroupForming, Reason: "joining",
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
			FencingToken: token, Action: ActionJoin, Group: g.info.ID, Members: g.info.Members, MemberAddresses: addresses,
			Rank: rank, Model: spec.Model, Version: spec.Version, Adapters: spec.Adapters,
		})
	}
	p.groups[g.info.ID] = g
	return g
}

// mayLoadWeights reports whether the chosen VMs may load the weights that they
// lack now. If no VM is loading, a group may load however many VMs it has.
func (p *Placer) mayLoadWeights(chosen []*vmState, spec ServiceSpec) bool {
	missing := 0
	for _, m := range chosen {
		missing += boolToInt(!m.hasWeights(spec))
	}
	loading := p.countLoadingVMs()
	return missing == 0 || loading == 0 || loading+missing <= p.Policy.MaxLoadingVMs
}

// countLoadingVMs returns the number of members of forming groups that are not
// ready yet.
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

// chooseVMs selects the VMs for a group of spec, all from one fabric domain. It
// prefers the fabric domain with the most VMs that have the weights loaded, then
// the one with the fewest groups of the service, then the one with the fewest
// VMs left over. It returns nil when no fabric domain has enough free VMs.
func (p *Placer) chooseVMs(now time.Time, spec ServiceSpec) []*vmState {
	free := map[identifier.FabricDomain][]*vmState{}
	for _, m := range p.sortedVMs {
		if p.unavailableReason(now, m) == "" && m.server.Accelerators >= spec.AcceleratorsPerVM {
			free[m.server.FabricDomain] = append(free[m.server.FabricDomain], m)
		}
	}
	var best []*vmState
	var bestScore fabricScore
	for fabric, ms := range free {
		if len(ms) < spec.VMsPerReplica {
			continue
		}
		slices.SortStableFunc(ms, func(a, b *vmState) int {
			return cmp.Or(cmp.Compare(boolToInt(b.hasWeights(spec)), boolToInt(a.hasWeights(spec))),
				cmp.Compare(a.server.Accelerators, b.server.Accelerators))
		})
		s := p.scoreFabricDomain(spec, fabric, ms)
		if best == nil || s.compare(bestScore) < 0 {
			best, bestScore = ms[:spec.VMsPerReplica], s
		}
	}
	return best
}

// hasWeights reports whether the VM has loaded the weights of spec.
func (m *vmState) hasWeights(spec ServiceSpec) bool {
	return m.server.Model == spec.Model && m.server.Version == spec.Version
}

// fabricScore ranks fabric domains for a new group; the lowest one is used.
type fabricScore struct {
	missingWeights    int
	sameServiceGroups int
	leftoverVMs       int
	fabricDomain      identifier.FabricDomain
}

func (p *Placer) scoreFabricDomain(spec ServiceSpec, fabric identifier.FabricDomain, ms []*vmState) fabricScore {
	s := fabricScore{leftoverVMs: (len(ms) - spec.VMsPerReplica) % spec.VMsPerReplica, fabricDomain: fabric}
	for _, m := range ms[:spec.VMsPerReplica] {
		s.missingWeights += boolToInt(!m.hasWeights(spec))
	}
	for _, g := range p.groups {
		if g.info.Service == spec.Service && g.info.FabricDomain == fabric {
			s.sameServiceGroups++
		}
	}
	return s
}

func (s fabricScore) compare(o fabricScore) int {
	return cmp.Or(cmp.Compare(s.missingWeights, o.missingWeights), cmp.Compare(s.sameServiceGroups, o.sameServiceGroups),
		cmp.Compare(s.leftoverVMs, o.leftoverVMs), strings.Compare(string(s.fabricDomain), string(o.fabricDomain)))
}

// unavailableReason returns why a VM cannot join a group now, or an empty string
// if it can.
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

// preemptFor makes room for spec by draining one group of the service with the
// lowest priority, provided that this is below the priority of spec, that the
// group has enough VMs for spec, and that no group is draining or releasing.
func (p *Placer) preemptFor(spec ServiceSpec) {
	var victim *group
	for _, g := range p.sortedGroups() {
		if g.info.State == GroupDraining || g.info.State == GroupReleasing {
			return
		}
		if g.spec.Plain || len(g.members) < spec.VMsPerReplica || g.spec.Priority >= spec.Priority {
			continue
		}
		if victim == nil || g.spec.Priority < victim.spec.Priority {
			victim = g
		}
	}
	if victim != nil {
		p.drainGroup(victim, fmt.Sprintf("makes room for %s", spec.Service))
	}
}

// assignOwners assigns an entry VM to each group as its owner. A group keeps its
// owner while that entry VM is live.
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

// rendezvousOwner selects the owner of a group by rendezvous hashing, so that the
// loss of one entry VM moves only the groups that it owned.
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

// mixBits distributes the bits of an FNV hash, in which the last input bytes
// barely affect the high bits.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Groups returns all groups, sorted by id.
func (p *Placer) Groups() []GroupInfo {
	var all []GroupInfo
	for _, g := range p.sortedGroups() {
		all = append(all, g.info)
	}
	return all
}

// StrandedVMs returns the engine VMs that are in no serving group, with the
// reason of each.
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

// LostVMs returns the ids of the lost VMs, sorted.
func (p *Placer) LostVMs() []identifier.VM {
	var all []identifier.VM
	for _, m := range p.sortedVMs {
		if m.lost {
			all = append(all, m.server.VM)
		}
	}
	return all
}
