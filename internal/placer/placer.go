package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Placer is the placement state of one failure domain. Exported fields are set
// before BeginTerm.
type Placer struct {
	Domain identifier.FailureDomain
	Policy Policy

	epoch         identifier.Epoch
	orderCount    uint32
	learningUntil time.Time
	initialized   bool
	vms           map[identifier.VM]*vmState
	// sortedVMs holds the values of vms in the order of their ids.
	sortedVMs  []*vmState
	groups     map[identifier.Group]*group
	services   []ServiceSpec
	drainedVMs map[identifier.VM]bool
	// quiescedGroups holds the groups that are no longer serving and have no running
	// request.
	quiescedGroups map[identifier.Group]bool
	entryVMs       []identifier.VM
	queuedOrders   []Order
}

// vmState is the state of one VM that runs an engine or a plain service.
type vmState struct {
	server  Server
	lost    bool
	lostAt  time.Time
	groupID identifier.Group
	// pendingOrder is the order whose result is not known yet.
	pendingOrder *Order
	// pendingSince is when pendingOrder was sent.
	pendingSince time.Time
	// lateOrdersUntil is the time until which an earlier order may still arrive
	// at an engine that ignores fencing tokens.
	lateOrdersUntil time.Time
	// needsCheck is set until the engine has responded to a check order, which is
	// sent after lateOrdersUntil.
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
	// membersLostSince is when the first lost member was noticed, or when the first
	// member returned after all were lost. It is zero while no member is lost.
	membersLostSince time.Time
	allMembersLost   bool
	// adopted means that the group may have had an owner under the previous
	// authority.
	adopted bool
}

type member struct {
	vm          identifier.VM
	incarnation identifier.Incarnation
	// joinAccepted means that the member accepted the join order, responded that it
	// responded to any order of the group.
	joinAccepted bool
	responded    bool
}

// BeginTerm starts a term as the placement authority and discards all state of
// earlier terms.
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

// SetEpoch raises the epoch of later orders after the lease was acquired again
// during a term.
func (p *Placer) SetEpoch(e identifier.Epoch) {
	if e > p.epoch {
		p.epoch, p.orderCount = e, 0
	}
}

// SetServices replaces the declared services.
func (p *Placer) SetServices(specs []ServiceSpec) {
	p.services = slices.Clone(specs)
	slices.SortStableFunc(p.services, func(a, b ServiceSpec) int { return b.Priority - a.Priority })
}

// SetDrainedVMs replaces the set of backend servers drained by operators.
func (p *Placer) SetDrainedVMs(vms map[identifier.VM]bool) { p.drainedVMs = vms }

// SetEntryVMs replaces the list of live entry VMs, which may own groups.
func (p *Placer) SetEntryVMs(vms []identifier.VM) { p.entryVMs = vms }

// SetQuiescedGroups replaces the set of groups that have no running request and
// receive no new one. Every entry VM has to report this after it has learned
// that the group stopped serving.
func (p *Placer) SetQuiescedGroups(groups map[identifier.Group]bool) { p.quiescedGroups = groups }

// HandleAnnouncement updates the state of a VM from its announcement, unless the
// announcement is older than the last one.
func (p *Placer) HandleAnnouncement(now time.Time, s Server) {
	m := p.vms[s.VM]
	if m == nil {
		m = &vmState{}
		if !s.HonoursFencing {
			// An order of an earlier authority may still arrive.
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
		p.holdDown(now, m)
	}
	if s.Incarnation > m.server.Incarnation && m.pendingOrder != nil {
		p.completeOrder(m, OrderResult{Order: *m.pendingOrder})
	}
	m.server = s
}

// MarkLost records that no entry VM has received an announcement from the VM
// within the silence timeout.
func (p *Placer) MarkLost(now time.Time, vm identifier.VM) {
	if m := p.vms[vm]; m != nil && !m.lost {
		m.lost, m.lostAt = true, now
	}
}

// holdDown handles the return of a lost VM. It keeps the VM out of new groups
// for a time that grows with the number of its recent losses.
func (p *Placer) holdDown(now time.Time, m *vmState) {
	m.lost = false
	for m.flapCount > 0 && now.Sub(m.flapDecayStart) > p.Policy.FlapDecayPeriod {
		m.flapCount--
		m.flapDecayStart = m.flapDecayStart.Add(p.Policy.FlapDecayPeriod)
	}
	holdTime := min(p.Policy.FlapHoldDown<<min(m.flapCount, 10), p.Policy.MaxFlapHoldDown)
	m.flapCount++
	m.flapDecayStart = now
	m.holdDownUntil = now.Add(holdTime)
}

// HandleOrderResult handles the result of an order that Step returned.
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
	if mb != nil && r.Responded {
		mb.responded = true
	}
	if r.Order.Action != ActionJoin {
		return
	}
	if !r.Accepted {
		reason := r.Reason
		if !r.Responded {
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

// completeOrder clears the pending order of m. If the engine ignores fencing
// tokens, it records until when the order or a copy of it may still arrive.
func (p *Placer) completeOrder(m *vmState, r OrderResult) {
	mayArriveLate := r.Order.Action == ActionJoin || r.Order.Action == ActionLeave && !r.Responded
	if mayArriveLate && !m.server.HonoursFencing {
		m.lateOrdersUntil = laterTime(m.lateOrdersUntil, m.pendingSince.Add(p.Policy.MaxOrderLifetime))
		m.needsCheck = true
	}
	if r.Order.Action == ActionCheck {
		m.needsCheck = !r.Responded
	}
	m.pendingOrder = nil
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Step updates the groups and returns the orders to send now.
func (p *Placer) Step(now time.Time) []Order {
	if now.Before(p.learningUntil) {
		return nil
	}
	firstStep := !p.initialized
	if firstStep {
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
	p.stepPlainServices(now, firstStep)
	for _, spec := range p.modelServicesByNeed() {
		p.reconcileService(now, spec)
	}
	p.drainUndeclared(now)
	p.assignOwners()
	p.setConcurrencyLimits()
	orders := p.queuedOrders
	p.queuedOrders = nil
	return orders
}

// IsInitialized reports whether the placer has adopted the existing groups. An
// authority that has just begun its term does not know the serving groups yet,
// so its state must not be published.
func (p *Placer) IsInitialized() bool { return p.initialized }

// modelServicesByNeed returns the model services in the order in which they may
// form groups: by descending priority, then by the ascending share of declared
// replicas that are serving or forming.
func (p *Placer) modelServicesByNeed() []ServiceSpec {
	active := map[identifier.Service]int{}
	for _, g := range p.groups {
		active[g.info.Service] += boolToInt(g.info.State == GroupServing || g.info.State == GroupForming)
	}
	activeShare := func(spec ServiceSpec) float64 { return float64(active[spec.Service]) / float64(max(spec.Replicas, 1)) }
	var specs []ServiceSpec
	for _, spec := range p.services {
		if !spec.Plain {
			specs = append(specs, spec)
		}
	}
	slices.SortStableFunc(specs, func(a, b ServiceSpec) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(activeShare(a), activeShare(b)))
	})
	return specs
}

// setConcurrencyLimits sets the limits of each group to the declared ones, capped
// by the limit that the head, which is the member with rank 0, announced.
func (p *Placer) setConcurrencyLimits() {
	for _, g := range p.groups {
		spec, declared := p.serviceSpec(g.info.Service)
		if !declared || len(g.info.Members) == 0 {
			continue
		}
		limit := spec.Concurrency
		if m := p.vms[g.info.Members[0]]; m != nil && m.server.Concurrency > 0 {
			limit = min(limit, m.server.Concurrency)
		}
		g.info.Concurrency, g.info.ColdConcurrency = limit, min(spec.ColdConcurrency, limit)
	}
}

// adoptGroups takes over the groups that engines announce.
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
			// The group is incomplete; sendLeaveToStrays makes its members leave.
			return
		}
		g.members = append(g.members, member{vm: vm, incarnation: m.server.Incarnation, joinAccepted: true, responded: true})
	}
	if len(g.members) == 0 {
		return
	}
	spec, _ := p.serviceSpec(s.Group.Service())
	g.spec = spec
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
	for _, spec := range p.services {
		if spec.Service == s {
			return spec, true
		}
	}
	return ServiceSpec{}, false
}

// expireOrders ends orders without a response within OrderTimeout.
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

// queueOrder addresses an order to m and adds it to the result of the current or
// next Step.
func (p *Placer) queueOrder(now time.Time, m *vmState, o Order) {
	o.VM, o.Address, o.Incarnation = m.server.VM, m.server.Address, m.server.Incarnation
	if o.FencingToken == 0 {
		o.FencingToken = p.nextFencingToken()
	}
	m.pendingOrder, m.pendingSince = &o, now
	p.queuedOrders = append(p.queuedOrders, o)
}

func (p *Placer) nextFencingToken() identifier.FencingToken {
	p.orderCount++
	return identifier.NewFencingToken(p.epoch, p.orderCount)
}
