package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Placer is the state of one failure domain's placement. Exported fields are
// set before Begin.
type Placer struct {
	Domain identifier.FailureDomain
	Policy Policy

	epoch   identifier.Epoch
	orders  uint32
	learned time.Time
	adopted bool
	vms     map[identifier.VM]*machine
	// sorted lists vms by id.
	sorted  []*machine
	groups  map[identifier.Group]*group
	wants   []ServiceSpec
	drained map[identifier.VM]bool
	// quiet holds the stopped groups that have no request left.
	quiet   map[identifier.Group]bool
	entries []identifier.VM
	out     []Order
}

// machine is what is known of one VM with an engine or plain service.
type machine struct {
	server Server
	lost   bool
	lostAt time.Time
	group  identifier.Group
	// pending is the order that has no answer yet.
	pending *Order
	// orderedAt is when the pending order was sent.
	orderedAt time.Time
	// unsettled is the time until which an earlier order may still arrive.
	unsettled time.Time
	// doubted is set until the engine was asked what it runs after that time.
	doubted bool
	held    time.Time
	flaps   int
	flapAt  time.Time
}

type group struct {
	info    GroupInfo
	want    ServiceSpec
	members []member
	since   time.Time
	// missing is when the first missing member was noticed; zero when whole.
	missing time.Time
	// adopted groups may have had an owner under the earlier authority.
	adopted bool
}

type member struct {
	vm          identifier.VM
	incarnation identifier.Incarnation
	// joined is set when the join order was accepted, answered when the fate
	// of some order to this member is known.
	joined   bool
	answered bool
}

// BeginTerm starts a term as authority with nothing known but the epoch.
func (p *Placer) BeginTerm(now time.Time, e identifier.Epoch) {
	p.Policy.FillDefaults()
	p.epoch, p.orders = e, 0
	p.learned = now.Add(p.Policy.LearningPeriod)
	p.adopted = false
	p.vms = map[identifier.VM]*machine{}
	p.sorted = nil
	p.groups = map[identifier.Group]*group{}
	p.quiet = nil
	p.drained = map[identifier.VM]bool{}
	p.out = nil
}

// SetEpoch raises the epoch of later orders, after the lease was won anew.
func (p *Placer) SetEpoch(e identifier.Epoch) {
	if e > p.epoch {
		p.epoch, p.orders = e, 0
	}
}

// SetServices replaces the declared services.
func (p *Placer) SetServices(wants []ServiceSpec) {
	p.wants = slices.Clone(wants)
	slices.SortStableFunc(p.wants, func(a, b ServiceSpec) int { return b.Priority - a.Priority })
}

// SetDrainedVMs replaces the set of backend servers that operators have taken out.
func (p *Placer) SetDrainedVMs(vms map[identifier.VM]bool) { p.drained = vms }

// SetEntryVMs replaces the list of entry VMs that may own groups.
func (p *Placer) SetEntryVMs(entries []identifier.VM) { p.entries = entries }

// SetQuiescedGroups replaces the set of groups that have no request left and get none:
// every entry has said so after it had heard that the group stopped serving.
func (p *Placer) SetQuiescedGroups(quiet map[identifier.Group]bool) { p.quiet = quiet }

// HandleAnnouncement takes an announcement.
func (p *Placer) HandleAnnouncement(now time.Time, s Server) {
	m := p.vms[s.VM]
	if m == nil {
		m = &machine{}
		if !s.HonoursFencing {
			// An earlier authority's order may be under way.
			m.unsettled = p.learned.Add(p.Policy.MaxOrderLifetime - p.Policy.LearningPeriod)
			m.doubted = true
		}
		p.vms[s.VM] = m
		i, _ := slices.BinarySearchFunc(p.sorted, s.VM, func(m *machine, vm identifier.VM) int {
			return strings.Compare(string(m.server.VM), string(vm))
		})
		m.server.VM = s.VM
		p.sorted = slices.Insert(p.sorted, i, m)
	}
	if s.Incarnation < m.server.Incarnation {
		return
	}
	if s.Incarnation == m.server.Incarnation && s.Sequence < m.server.Sequence {
		return
	}
	if m.lost {
		p.noteReturn(now, m)
	}
	if s.Incarnation > m.server.Incarnation && m.pending != nil {
		p.settle(m, OrderResult{Order: *m.pending})
	}
	m.server = s
}

// MarkLost tells that no entry has heard from a VM within the silence bound.
func (p *Placer) MarkLost(now time.Time, vm identifier.VM) {
	if m := p.vms[vm]; m != nil && !m.lost {
		m.lost, m.lostAt = true, now
	}
}

// noteReturn holds a VM back that keeps being lost.
func (p *Placer) noteReturn(now time.Time, m *machine) {
	m.lost = false
	for m.flaps > 0 && now.Sub(m.flapAt) > p.Policy.FlapDecayPeriod {
		m.flaps--
		m.flapAt = m.flapAt.Add(p.Policy.FlapDecayPeriod)
	}
	hold := min(p.Policy.FlapHoldDown<<min(m.flaps, 10), p.Policy.MaxFlapHoldDown)
	m.flaps++
	m.flapAt = now
	m.held = now.Add(hold)
}

// HandleOrderResult takes the end of an order that Step returned.
func (p *Placer) HandleOrderResult(now time.Time, r OrderResult) {
	m := p.vms[r.Order.VM]
	if m == nil || m.pending == nil || m.pending.FencingToken != r.Order.FencingToken {
		return
	}
	p.settle(m, r)
	g := p.groups[r.Order.Group]
	if g == nil {
		return
	}
	mb := g.member(r.Order.VM)
	if mb != nil && r.Answered {
		mb.answered = true
	}
	if r.Order.Action != ActionJoin {
		return
	}
	if !r.Accepted {
		reason := r.Reason
		if !r.Answered {
			reason = "no answer to the join order"
		}
		p.breakGroup(now, g, string(r.Order.VM)+": "+reason)
		return
	}
	if mb != nil {
		mb.joined = true
	}
}

func (g *group) member(vm identifier.VM) *member {
	for i := range g.members {
		if g.members[i].vm == vm {
			return &g.members[i]
		}
	}
	return nil
}

// settle ends the pending order of m and notes how long it may still arrive.
func (p *Placer) settle(m *machine, r OrderResult) {
	late := r.Order.Action == ActionJoin || r.Order.Action == ActionLeave && !r.Answered
	if late && !m.server.HonoursFencing {
		m.unsettled = later(m.unsettled, m.orderedAt.Add(p.Policy.MaxOrderLifetime))
		m.doubted = true
	}
	if r.Order.Action == ActionCheck {
		m.doubted = !r.Answered
	}
	m.pending = nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Step decides and returns the orders to send now.
func (p *Placer) Step(now time.Time) []Order {
	if now.Before(p.learned) {
		return nil
	}
	first := !p.adopted
	if first {
		p.adopt(now)
		p.adopted = true
	}
	p.expireOrders(now)
	for _, g := range p.sortedGroups() {
		if !g.want.Plain {
			p.stepGroup(now, g)
		}
	}
	p.releaseStrays(now)
	p.checkDoubted(now)
	p.stepPlain(now, first)
	for _, w := range p.byNeed() {
		p.fulfil(now, w)
	}
	p.drainUnwanted(now)
	p.assignOwners()
	p.setLimits()
	out := p.out
	p.out = nil
	return out
}

// IsInitialized reports whether the books are complete enough to be shown: an
// authority that has just begun does not know the groups that serve.
func (p *Placer) IsInitialized() bool { return p.adopted }

// byNeed returns the model services in the order in which they may form groups:
// by priority, and among equals first the one with the smallest share of its
// replicas in service.
func (p *Placer) byNeed() []ServiceSpec {
	serving := map[identifier.Service]int{}
	for _, g := range p.groups {
		serving[g.info.Service] += boolRank(g.info.State == GroupServing || g.info.State == GroupForming)
	}
	share := func(w ServiceSpec) float64 { return float64(serving[w.Service]) / float64(max(w.Replicas, 1)) }
	var order []ServiceSpec
	for _, w := range p.wants {
		if !w.Plain {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b ServiceSpec) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(share(a), share(b)))
	})
	return order
}

// setLimits gives each group the declared limits, or the lower one that its
// first member announced.
func (p *Placer) setLimits() {
	for _, g := range p.groups {
		w, declared := p.want(g.info.Service)
		if !declared || len(g.info.Members) == 0 {
			continue
		}
		warm := w.Concurrency
		if m := p.vms[g.info.Members[0]]; m != nil && m.server.Concurrency > 0 {
			warm = min(warm, m.server.Concurrency)
		}
		g.info.Concurrency, g.info.ColdConcurrency = warm, min(w.ColdConcurrency, warm)
	}
}

// adopt takes over the groups that engines say they are in.
func (p *Placer) adopt(now time.Time) {
	for _, m := range p.sorted {
		s := m.server
		if s.Kind != KindEngine || s.Group == "" || p.groups[s.Group] != nil {
			continue
		}
		p.adoptGroup(now, s)
	}
}

func (p *Placer) adoptGroup(now time.Time, s Server) {
	g := &group{since: now, adopted: true}
	for _, vm := range s.GroupMembers {
		m := p.vms[vm]
		if m == nil || m.server.Group != s.Group || m.server.GroupFencingToken != s.GroupFencingToken {
			// Not whole: releaseStrays sends its members away.
			return
		}
		g.members = append(g.members, member{vm: vm, incarnation: m.server.Incarnation, joined: true, answered: true})
	}
	if len(g.members) == 0 {
		return
	}
	w, _ := p.want(s.Group.Service())
	g.want = w
	g.info = GroupInfo{
		ID: s.Group, Service: s.Group.Service(), FabricDomain: s.FabricDomain,
		Members: s.GroupMembers, FencingToken: s.GroupFencingToken, Model: s.Model, Version: s.Version,
		Adapters: s.Adapters, State: GroupForming, Reason: "taken over from the earlier authority",
		Address: p.vms[g.members[0].vm].server.Address,
	}
	for _, mb := range g.members {
		p.vms[mb.vm].group = s.Group
	}
	p.groups[s.Group] = g
}

func (p *Placer) want(s identifier.Service) (ServiceSpec, bool) {
	for _, w := range p.wants {
		if w.Service == s {
			return w, true
		}
	}
	return ServiceSpec{}, false
}

// expireOrders gives up orders that were not answered in time.
func (p *Placer) expireOrders(now time.Time) {
	for _, m := range p.sorted {
		if m.pending != nil && now.Sub(m.orderedAt) > p.Policy.OrderTimeout {
			p.HandleOrderResult(now, OrderResult{Order: *m.pending})
		}
	}
}

func (p *Placer) sortedGroups() []*group {
	gs := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		gs = append(gs, g)
	}
	slices.SortFunc(gs, func(a, b *group) int { return strings.Compare(string(a.info.ID), string(b.info.ID)) })
	return gs
}

// send queues an order for m.
func (p *Placer) send(now time.Time, m *machine, o Order) {
	o.VM, o.Address, o.Incarnation = m.server.VM, m.server.Address, m.server.Incarnation
	if o.FencingToken == 0 {
		o.FencingToken = p.nextFence()
	}
	m.pending, m.orderedAt = &o, now
	p.out = append(p.out, o)
}

func (p *Placer) nextFence() identifier.FencingToken {
	p.orders++
	return identifier.NewFencingToken(p.epoch, p.orders)
}
