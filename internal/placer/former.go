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

// fulfil brings one service towards its declared replicas.
func (p *Placer) fulfil(now time.Time, w ServiceSpec) {
	current, outdated := p.counted(w)
	for len(current)+len(outdated) < w.Replicas {
		g := p.form(now, w)
		if g == nil {
			if p.choose(now, w) == nil {
				p.preempt(w)
			}
			return
		}
		current = append(current, g)
	}
	if extra := len(current) + len(outdated) - w.Replicas; extra > 0 {
		p.drainExtra(append(slices.Clone(outdated), current...), extra)
		return
	}
	p.rollOut(now, w, outdated)
}

// counted returns the service's groups that serve or will, split by whether
// they run the declared model and version.
func (p *Placer) counted(w ServiceSpec) (current, outdated []*group) {
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

// drainExtra stops groups that are not needed, those that do not serve yet
// first.
func (p *Placer) drainExtra(groups []*group, extra int) {
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Compare(boolRank(a.info.State == GroupServing), boolRank(b.info.State == GroupServing))
	})
	for _, g := range groups[:extra] {
		p.drain(g, "more replicas than declared")
	}
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// rollOut replaces outdated groups one at a time. A new group is formed beside
// the old ones when VMs are free; otherwise one old group is stopped, and only
// while every other group serves.
func (p *Placer) rollOut(now time.Time, w ServiceSpec, outdated []*group) {
	if len(outdated) == 0 || p.inTransition(w) {
		return
	}
	if p.form(now, w) == nil {
		p.drain(outdated[0], "replaced by version "+w.Version)
	}
}

// inTransition reports whether any group of the service is not serving.
func (p *Placer) inTransition(w ServiceSpec) bool {
	for _, g := range p.groups {
		if g.info.Service == w.Service && g.info.State != GroupServing {
			return true
		}
	}
	return false
}

// drainUnwanted stops the groups of services that are no longer declared.
func (p *Placer) drainUnwanted(time.Time) {
	for _, g := range p.sortedGroups() {
		if _, ok := p.want(g.info.Service); !ok && (g.info.State == GroupServing || g.info.State == GroupForming) {
			p.drain(g, "the service is not declared")
		}
	}
}

// form starts one group of w, or returns nil when no fabric domain has enough
// free VMs.
func (p *Placer) form(now time.Time, w ServiceSpec) *group {
	chosen := p.choose(now, w)
	if chosen == nil || !p.mayLoad(chosen, w) {
		return nil
	}
	fence := p.nextFence()
	g := &group{want: w, since: now}
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
		m.group = g.info.ID
		p.send(now, m, Order{
			FencingToken: fence, Action: ActionJoin, Group: g.info.ID, Members: g.info.Members, MemberAddresses: addresses,
			Rank: rank, Model: w.Model, Version: w.Version, Adapters: w.Adapters,
		})
	}
	p.groups[g.info.ID] = g
	return g
}

// mayLoad reports whether the weights that the chosen VMs lack may be loaded
// now. One group may always load, however many VMs it needs.
func (p *Placer) mayLoad(chosen []*machine, w ServiceSpec) bool {
	missing := 0
	for _, m := range chosen {
		missing += boolRank(!m.holds(w))
	}
	loading := p.loading()
	return missing == 0 || loading == 0 || loading+missing <= p.Policy.MaxLoadingVMs
}

// loading counts the VMs that load weights for a group.
func (p *Placer) loading() int {
	n := 0
	for _, g := range p.groups {
		if g.info.State != GroupForming {
			continue
		}
		for _, mb := range g.members {
			n += boolRank(p.vms[mb.vm].server.State != EngineReady)
		}
	}
	return n
}

// choose picks the VMs for a group of w from the fabric domain that suits
// best: most weights already there, then fewest groups of the service, then
// fewest VMs left over.
func (p *Placer) choose(now time.Time, w ServiceSpec) []*machine {
	free := map[identifier.FabricDomain][]*machine{}
	for _, m := range p.sorted {
		if p.busy(now, m) == "" && m.server.Accelerators >= w.AcceleratorsPerVM {
			free[m.server.FabricDomain] = append(free[m.server.FabricDomain], m)
		}
	}
	var best []*machine
	var bestScore score
	for fabric, ms := range free {
		if len(ms) < w.VMsPerReplica {
			continue
		}
		slices.SortStableFunc(ms, func(a, b *machine) int {
			return cmp.Or(cmp.Compare(boolRank(b.holds(w)), boolRank(a.holds(w))),
				cmp.Compare(a.server.Accelerators, b.server.Accelerators))
		})
		s := p.score(w, fabric, ms)
		if best == nil || s.compare(bestScore) < 0 {
			best, bestScore = ms[:w.VMsPerReplica], s
		}
	}
	return best
}

// holds reports whether the VM has the weights of w already.
func (m *machine) holds(w ServiceSpec) bool {
	return m.server.Model == w.Model && m.server.Version == w.Version
}

// score ranks fabric domains; the lower one is better.
type score struct {
	unloaded int
	groups   int
	left     int
	fabric   identifier.FabricDomain
}

func (p *Placer) score(w ServiceSpec, fabric identifier.FabricDomain, ms []*machine) score {
	s := score{left: (len(ms) - w.VMsPerReplica) % w.VMsPerReplica, fabric: fabric}
	for _, m := range ms[:w.VMsPerReplica] {
		s.unloaded += boolRank(!m.holds(w))
	}
	for _, g := range p.groups {
		if g.info.Service == w.Service && g.info.FabricDomain == fabric {
			s.groups++
		}
	}
	return s
}

func (s score) compare(o score) int {
	return cmp.Or(cmp.Compare(s.unloaded, o.unloaded), cmp.Compare(s.groups, o.groups),
		cmp.Compare(s.left, o.left), strings.Compare(string(s.fabric), string(o.fabric)))
}

// busy returns why a VM cannot join a group now, or an empty string.
func (p *Placer) busy(now time.Time, m *machine) string {
	s := m.server
	switch {
	case s.Kind != KindEngine:
		return "serves a plain service"
	case m.lost:
		return "silent"
	case p.drained[s.VM]:
		return "taken out by operators"
	case m.group != "":
		return fmt.Sprintf("in group %s", m.group)
	case m.pending != nil:
		return fmt.Sprintf("waits for the answer to a %s order", m.pending.Action)
	case s.Group != "":
		return fmt.Sprintf("still says that it is in group %s", s.Group)
	case s.State != EngineIdle:
		return fmt.Sprintf("its engine is %s", s.State)
	case now.Before(m.unsettled):
		return fmt.Sprintf("an earlier order may arrive for another %s", m.unsettled.Sub(now).Round(time.Second))
	case m.doubted:
		return "has to say what it runs first"
	case now.Before(m.held):
		return fmt.Sprintf("held for another %s after %d losses", m.held.Sub(now).Round(time.Second), m.flaps)
	}
	return ""
}

// preempt drains one group of the least important service below w's priority,
// if its VMs could serve w and none is draining already.
func (p *Placer) preempt(w ServiceSpec) {
	var victim *group
	for _, g := range p.sortedGroups() {
		if g.info.State == GroupDraining || g.info.State == GroupReleasing {
			return
		}
		if g.want.Plain || len(g.members) < w.VMsPerReplica || g.want.Priority >= w.Priority {
			continue
		}
		if victim == nil || g.want.Priority < victim.want.Priority {
			victim = g
		}
	}
	if victim != nil {
		p.drain(victim, fmt.Sprintf("makes room for %s", w.Service))
	}
}

// assignOwners gives each group an entry VM. A group keeps its owner while
// that lives.
func (p *Placer) assignOwners() {
	if len(p.entries) == 0 {
		return
	}
	for _, g := range p.groups {
		if !slices.Contains(p.entries, g.info.Owner) {
			g.info.FirstOwner = g.info.Owner == "" && !g.adopted
			g.info.Owner = rendezvous(g.info.ID, p.entries)
		}
	}
}

// rendezvous returns the entry with the highest hash of group and entry, so
// that the loss of one entry moves only its own groups.
func rendezvous(id identifier.Group, entries []identifier.VM) identifier.VM {
	var best identifier.VM
	var bestHash uint64
	for _, e := range entries {
		h := fnv.New64a()
		_, _ = h.Write([]byte(id))
		_, _ = h.Write([]byte(e))
		if sum := mix(h.Sum64()); best == "" || sum > bestHash {
			best, bestHash = e, sum
		}
	}
	return best
}

// mix spreads the bits of an FNV hash, whose last bytes barely reach its top.
func mix(h uint64) uint64 {
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
	for _, m := range p.sorted {
		if m.server.Kind != KindEngine {
			continue
		}
		g := p.groups[m.group]
		if g != nil && g.info.State == GroupServing {
			continue
		}
		reason := p.busy(now, m)
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
	for _, m := range p.sorted {
		if m.lost {
			all = append(all, m.server.VM)
		}
	}
	return all
}
