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

	epoch         identifier.Epoch
	orderCount    uint32
	learningUntil time.Time
	initialized   bool
	vms           map[identifier.VM]*vmState
	// sortedVMs lists vms by id.
	sortedVMs  []*vmState
	groups     map[identifier.Group]*group
	services   []ServiceSpec
	drainedVMs map[identifier.VM]bool
	// quiescedGroups holds the stopped groups that have no request left.
	quiescedGroups map[identifier.Group]bool
	entryVMs       []identifier.VM
	queuedOrders   []Order
}

// vmState is what is known of one VM with an engine or plain service.
type vmState struct {
	server  Server
	lost    bool
	lostAt  time.Time
	groupID identifier.Group
	// pendingOrder is the order that has no answer yet.
	pendingOrder *Order
	// pendingSince is when the pending order was sent.
	pendingSince time.Time
	// lateOrdersUntil is the time until which an earlier order may still arrive.
	lateOrdersUntil time.Time
	// needsCheck is set until the engine was asked what it runs after that time.
	needsCheck     bool
	holdDownUntil  time.Time
	flapCount      int
	flapDecayStart time.Time
}

type group struct {
	info             GroupInfo
	spec             ServiceSpec
	members          []member
	loadTimeoutStart time.Time
	// missingSince is when the first missing member was noticed; zero when whole.
	missingSince time.Time
	// adopted groups may have had an owner under the earlier authority.
	adopted bool
}

type member struct {
	vm          identifier.VM
	incarnation identifier.Incarnation
	// joinAccepted is set when the join order was accepted, answered when the fate
	// of some order to this member is known.
	joinAccepted  bool
	orderAnswered bool
}

// BeginTerm starts a term as authority with nothing known but the epoch.
func (p *Placer) BeginTerm(now time.Time, e identifier.Epoch) {
	p.Policy.FillDefaults()
	p.epoch, p.orderCount = e, 0
	p.learningUntil = now.Add(p.Policy.LearningPeriod)
	p.initialized = false
	p.vms = map[identifier.VM]*vmState{}
	p.sortedVMs = nil
	p.groups = map[identifier.Group]*group{}
	p.quiescedGroups = nil
	p.drainedVMs = map[identifier.VM]bool{}
	p.queuedOrders = nil
}

// SetEpoch raises the epoch of later orders, after the lease was won anew.
func (p *Placer) SetEpoch(e identifier.Epoch) {
	if e > p.epoch {
		p.epoch, p.orderCount = e, 0
	}
}

// SetServices replaces the declared services.
func (p *Placer) SetServices(wants []ServiceSpec) {
	p.services = slices.Clone(wants)
	slices.SortStableFunc(p.services, func(a, b ServiceSpec) int { return b.Priority - a.Priority })
}

// SetDrainedVMs replaces the set of backend servers that operators have taken out.
func (p *Placer) SetDrainedVMs(vms map[identifier.VM]bool) { p.drainedVMs = vms }

// SetEntryVMs replaces the list of entry VMs that may own groups.
func (p *Placer) SetEntryVMs(entries []identifier.VM) { p.entryVMs = entries }

// SetQuiescedGroups replaces the set of groups that have no request left and get none:
// every entry has said so after it had heard that the group stopped serving.
func (p *Placer) SetQuiescedGroups(quiet map[identifier.Group]bool) { p.quiescedGroups = quiet }

// HandleAnnouncement takes an announcement.
func (p *Placer) HandleAnnouncement(now time.Time, s Server) {
	m := p.vms[s.VM]
	if m == nil {
		m = &vmState{}
		if !s.HonoursFencing {
			// An earlier authority's order may be under way.
			m.lateOrdersUntil = p.learningUntil.Add(p.Policy.MaxOrderLifetime - p.Policy.LearningPeriod)
			m.needsCheck = true
		}
		p.vms[s.VM] = m
		i, _ := slices.BinarySearchFunc(p.sortedVMs, s.VM, func(m *vmState, vm identifier.VM) int {
			return strings.Compare(string(m.server.VM), string(vm))
		})
		m.server.VM = s.VM
		p.sortedVMs = slices.Insert(p.sortedVMs, i, m)
	}
	if s.Incarnation < m.server.Incarnation {
		return
	}
	if s.Incarnation == m.server.Incarnation && s.Sequence < m.server.Sequence {
		return
	}
	if m.lost {
		p.holdDownReturned(now, m)
	}
	if s.Incarnation > m.server.Incarnation && m.pendingOrder != nil {
		p.completeOrder(m, OrderResult{Order: *m.pendingOrder})
	}
	m.server = s
}

// MarkLost tells that no entry has heard from a VM within the silence bound.
func (p *Placer) MarkLost(now time.Time, vm identifier.VM) {
	if m := p.vms[vm]; m != nil && !m.lost {
		m.lost, m.lostAt = true, now
	}
}

// holdDownReturned holds a VM back that keeps being lost.
func (p *Placer) holdDownReturned(now time.Time, m *vmState) {
	m.lost = false
	for m.flapCount > 0 && now.Sub(m.flapDecayStart) > p.Policy.FlapDecayPeriod {
		m.flapCount--
		m.flapDecayStart = m.flapDecayStart.Add(p.Policy.FlapDecayPeriod)
	}
	hold := min(p.Policy.FlapHoldDown<<min(m.flapCount, 10), p.Policy.MaxFlapHoldDown)
	m.flapCount++
	m.flapDecayStart = now
	m.holdDownUntil = now.Add(hold)
}

// HandleOrderResult takes the end of an order that Step returned.
func (p *Placer) HandleOrderResult(now time.Time, r OrderResult) {
	m := p.vms[r.Order.VM]
	if m == nil || m.pendingOrder == nil || m.pendingOrder.FencingToken != r.Order.FencingToken {
		return
	}
	p.completeOrder(m, r)
	g := p.groups[r.Order.Group]
	if g == nil {
		return
	}
	mb := g.member(r.Order.VM)
	if mb != nil && r.Answered {
		mb.orderAnswered = true
	}
	if r.Order.Action != ActionJoin {
		return
	}
	if !r.Accepted {
		reason := r.Reason
		if !r.Answered {
			reason = "no answer to the join order"
		}
		p.releaseGroup(now, g, string(r.Order.VM)+": "+reason)
		return
	}
	if mb != nil {
		mb.joinAccepted = true
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

// completeOrder ends the pending order of m and notes how long it may still arrive.
func (p *Placer) completeOrder(m *vmState, r OrderResult) {
	late := r.Order.Action == ActionJoin || r.Order.Action == ActionLeave && !r.Answered
	if late && !m.server.HonoursFencing {
		m.lateOrdersUntil = laterTime(m.lateOrdersUntil, m.pendingSince.Add(p.Policy.MaxOrderLifetime))
		m.needsCheck = true
	}
	if r.Order.Action == ActionCheck {
		m.needsCheck = !r.Answered
	}
	m.pendingOrder = nil
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Step decides and returns the orders to send now.
func (p *Placer) Step(now time.Time) []Order {
	if now.Before(p.learningUntil) {
		return nil
	}
	first := !p.initialized
	if first {
		p.adoptGroups(now)
		p.initialized = true
	}
	p.expireOrders(now)
	for _, g := range p.sortedGroups() {
		if !g.spec.Plain {
			p.stepGroup(now, g)
		}
	}
	p.sendLeaveToStrays(now)
	p.checkIdleEngines(now)
	p.stepPlainServices(now, first)
	for _, w := range p.modelServicesByNeed() {
		p.reconcileService(now, w)
	}
	p.drainUndeclared(now)
	p.assignOwners()
	p.setConcurrencyLimits()
	out := p.queuedOrders
	p.queuedOrders = nil
	return out
}

// IsInitialized reports whether the books are complete enough to be shown: an
// authority that has just begun does not know the groups that serve.
func (p *Placer) IsInitialized() bool { return p.initialized }

// modelServicesByNeed returns the model services in the order in which they may form groups:
// by priority, and among equals first the one with the smallest share of its
// replicas in service.
func (p *Placer) modelServicesByNeed() []ServiceSpec {
	serving := map[identifier.Service]int{}
	for _, g := range p.groups {
		serving[g.info.Service] += boolToInt(g.info.State == GroupServing || g.info.State == GroupForming)
	}
	share := func(w ServiceSpec) float64 { return float64(serving[w.Service]) / float64(max(w.Replicas, 1)) }
	var order []ServiceSpec
	for _, w := range p.services {
		if !w.Plain {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b ServiceSpec) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(share(a), share(b)))
	})
	return order
}

// setConcurrencyLimits gives each group the declared limits, or the lower one that its
// first member announced.
func (p *Placer) setConcurrencyLimits() {
	for _, g := range p.groups {
		w, declared := p.serviceSpec(g.info.Service)
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

// adoptGroups takes over the groups that engines say they are in.
func (p *Placer) adoptGroups(now time.Time) {
	for _, m := range p.sortedVMs {
		s := m.server
		if s.Kind != KindEngine || s.Group == "" || p.groups[s.Group] != nil {
			continue
		}
		p.adoptGroup(now, s)
	}
}

func (p *Placer) adoptGroup(now time.Time, s Server) {
	g := &group{loadTimeoutStart: now, adopted: true}
	for _, vm := range s.GroupMembers {
		m := p.vms[vm]
		if m == nil || m.server.Group != s.Group || m.server.GroupFencingToken != s.GroupFencingToken {
			// Not whole: releaseStrays sends its members away.
			return
		}
		g.members = append(g.members, member{vm: vm, incarnation: m.server.Incarnation, joinAccepted: true, orderAnswered: true})
	}
	if len(g.members) == 0 {
		return
	}
	w, _ := p.serviceSpec(s.Group.Service())
	g.spec = w
	g.info = GroupInfo{
		ID: s.Group, Service: s.Group.Service(), FabricDomain: s.FabricDomain,
		Members: s.GroupMembers, FencingToken: s.GroupFencingToken, Model: s.Model, Version: s.Version,
		Adapters: s.Adapters, State: GroupForming, Reason: "taken over from the earlier authority",
		Address: p.vms[g.members[0].vm].server.Address,
	}
	for _, mb := range g.members {
		p.vms[mb.vm].groupID = s.Group
	}
	p.groups[s.Group] = g
}

func (p *Placer) serviceSpec(s identifier.Service) (ServiceSpec, bool) {
	for _, w := range p.services {
		if w.Service == s {
			return w, true
		}
	}
	return ServiceSpec{}, false
}

// expireOrders gives up orders that were not answered in time.
func (p *Placer) expireOrders(now time.Time) {
	for _, m := range p.sortedVMs {
		if m.pendingOrder != nil && now.Sub(m.pendingSince) > p.Policy.OrderTimeout {
			p.HandleOrderResult(now, OrderResult{Order: *m.pendingOrder})
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

// queueOrder queues an order for m.
func (p *Placer) queueOrder(now time.Time, m *vmState, o Order) {
	o.VM, o.Address, o.Incarnation = m.server.VM, m.server.Address, m.server.Incarnation
	if o.FencingToken == 0 {
		o.FencingToken = p.nextFencingToken()
	}
	m.pendingOrder, m.pendingSince = &o, now
	p.queuedOrders = append(p.queuedOrders, o)
}

func (p *Placer) nextFencingToken() identifier.Fence {
	p.orderCount++
	return identifier.NewFence(p.epoch, p.orderCount)
}
