package grouper

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// epochCounterBits is the number of low bits of an epoch that count the groups of one
// term. The bits above them hold the fencing token of the term, so that the epochs
// of a later term are higher.
const epochCounterBits = 20

// Grouper decides the placement for a process while it holds the placement
// authority, the permission to send orders. Policy is set before BeginTerm. It is not
// safe for concurrent use.
type Grouper struct {
	Policy Policy

	fencingToken uint64
	epochsUsed   uint64
	// firstStart is set while no other process can have formed a group and no
	// caller has sent a request. Groups are planned from learningEnds on.
	firstStart   bool
	learningEnds time.Time
	// heardSince is when this term began, or zero if no other process can have formed a group before.
	heardSince time.Time
	// arrivalsDeadline is when a first start stops postponing learningEnds for
	// servers that have just announced themselves.
	arrivalsDeadline time.Time
	groups           map[identifier.Group]*group
	// ended holds the groups that servers may still announce although they have
	// ended, with the time of their end. A group that only warms up a spare server is
	// in it from its start.
	ended map[identifier.Group]time.Time
	// orphans holds the announced groups whose head is not known, and when each of
	// them was first seen so.
	orphans map[identifier.Group]time.Time
	records map[identifier.Server]*serverRecord
	loads   loadLimiter
	// typicalSlowdowns holds the results of typicalSlowdown in this step.
	typicalSlowdowns map[identifier.Service]float64

	view      View
	now       time.Time
	orders    []Order
	decisions []Decision
}

// group is a replica group that this Grouper formed or adopted.
//
// Its present phase began at phaseSince; the changes from PhaseForming to
// PhaseOpening and from PhaseAbandoned back to PhaseServing leave that as it was.
// If cutRequests is set, the end of the group does not wait for running requests.
type group struct {
	info    GroupInfo
	service identifier.Service
	model   cataloger.Model
	// incarnations holds, in the order of the members, the incarnation of each that
	// was ordered to join. A member with another one has restarted.
	incarnations []uint64
	// addresses holds those of the members when they were ordered to join, in the same order.
	addresses  []string
	phaseSince time.Time
	// formDeadline is when the group is given up unless it serves by then.
	formDeadline time.Time
	cutRequests  bool
	// openOrderExpires is until when an open order whose outcome was
	// OutcomeUnanswered may be executed.
	openOrderExpires time.Time
	// headSilentSince is when the head was found silent, or when requests last
	// showed that it responds nevertheless. It is zero while the head is not silent.
	headSilentSince time.Time
	// stalledSince is when requests at the head were first found to make no progress
	// since its last response, or zero.
	stalledSince time.Time
	// silenceCountsAt is when silent members count again as evidence against the group.
	silenceCountsAt time.Time
	// headClosed is set once the head has confirmed that it does not serve, headLeft
	// once it has confirmed that it has left the group, or another server has replied at its
	// address.
	headClosed bool
	headLeft   bool
	// unansweredCloses counts the close orders since the end began whose outcome
	// was OutcomeUnanswered.
	unansweredCloses int
	// leftMembers holds the members of an abandoned group that have left it.
	leftMembers map[identifier.Server]bool
	// memberSilentAt holds when members of an abandoned group were last silent.
	memberSilentAt map[identifier.Server]time.Time
	// adopted is set if an earlier holder of the placement authority formed the group.
	adopted bool
}

// serverRecord is what the Grouper remembers of one incarnation of a backend server
// beyond its announcements. The outcome of pendingOrder is not known yet; without
// such an order it is nil.
type serverRecord struct {
	incarnation  uint64
	pendingOrder *Order
	// nextOrderAt is the earliest time for the next order.
	nextOrderAt time.Time
	// lastAccepted is the last order that was accepted or done, at lastAcceptedAt.
	lastAccepted   Order
	lastAcceptedAt time.Time
	// excludedUntil keeps the server out of new groups until that time.
	excludedUntil time.Time
	// silentAt is until when the server was silent before it was heard in this term.
	silentAt time.Time
	// absentAt is when an order last found that no process listens at the server's
	// address.
	absentAt time.Time
	// loadingModel is the model whose weights the server copies from the weight
	// store, until loadDeadline at most. It is empty if it copies none.
	loadingModel string
	loadDeadline time.Time
	// probeFailedAt is when the server last did not respond to a probe, and probedAt
	// when it was last probed. probeDue keeps the server out of new groups until it
	// has been probed.
	probeFailedAt time.Time
	// isUnreachable is set if no connection for that probe could be opened.
	isUnreachable bool
	probedAt      time.Time
	probeDue      bool
	probePending  bool
	// slowdown is Reply.Slowdown of the last probe.
	slowdown float64
	// hasEnded is set if the last probe showed that an incarnation which had joined a group has ended: the
	// server at its address is another one, or has accepted no order since its start.
	hasEnded bool
}

// BeginTerm starts a term of the placement authority and drops the state of the
// last one. All orders carry the fencing token, which is higher than those of
// earlier terms. If first is set, no group can have been formed before. The
// registry has received announcements since listeningSince.
func (g *Grouper) BeginTerm(now time.Time, fencingToken uint64, first bool, listeningSince time.Time) {
	g.Policy.fillDefaults()
	if g.fencingToken != fencingToken {
		// Within one term epochs go on, because groups of earlier epochs may serve.
		g.epochsUsed = 0
	}
	g.fencingToken, g.firstStart = fencingToken, first
	g.learningEnds, g.heardSince = listeningSince.Add(g.Policy.LearningPeriod), now
	if first {
		g.heardSince = time.Time{}
		// Wait until no more servers announce themselves, so that there are enough
		// for groups of every size.
		g.learningEnds = now.Add(g.Policy.HeartbeatInterval)
		g.arrivalsDeadline = now.Add(maxArrivalHeartbeats * g.Policy.HeartbeatInterval)
	}
	g.groups = map[identifier.Group]*group{}
	g.ended = map[identifier.Group]time.Time{}
	g.orphans = map[identifier.Group]time.Time{}
	g.records = map[identifier.Server]*serverRecord{}
	g.loads = loadLimiter{}
	if !first {
		// Loads that earlier holders of the authority started are not known.
		g.loads.historyStart = now
	}
	g.orders, g.decisions = nil, nil
}

// Groups lists the groups in the order of their epochs.
func (g *Grouper) Groups() []GroupInfo {
	infos := make([]GroupInfo, 0, len(g.groups))
	for _, gr := range g.sortedGroups() {
		infos = append(infos, gr.info)
	}
	return infos
}

func (g *Grouper) sortedGroups() []*group {
	all := make([]*group, 0, len(g.groups))
	for _, gr := range g.groups {
		all = append(all, gr)
	}
	slices.SortFunc(all, func(a, b *group) int { return cmp.Compare(a.info.Epoch, b.info.Epoch) })
	return all
}

// Step plans groups and compares them with the announced state. It returns the
// orders to send now, and the decisions for the log.
func (g *Grouper) Step(now time.Time, v View) ([]Order, []Decision) {
	suspended := now.Sub(g.now) > maxStepInterval
	g.now, g.view = now, v
	g.typicalSlowdowns = map[identifier.Service]float64{}
	if len(v.Demand) > 0 {
		g.firstStart = false
	}
	if suspended {
		for _, gr := range g.groups {
			gr.silenceCountsAt = now.Add(g.Policy.LearningPeriod)
			gr.stalledSince = time.Time{}
		}
	}
	g.syncRecords()
	g.adoptAnnouncedGroups()
	for _, gr := range g.sortedGroups() {
		g.stepGroup(gr)
	}
	g.probeIdleServers()
	if !now.Before(g.learningEnds) {
		fs := g.fabricPools()
		g.planGroups(fs)
		for _, f := range fs {
			g.formPlanned(f)
		}
		fs = g.fabricPools()
		g.planGroups(fs)
		for _, f := range fs {
			g.warmSpares(f)
		}
		g.stageSpares(fs)
		g.convertSpares(fs)
	}
	g.forgetEndedGroups()
	orders, decisions := g.orders, g.decisions
	g.orders, g.decisions = nil, nil
	return orders, decisions
}

// HandleReply records the reply to an order that Step returned. It ignores replies
// to orders that are no longer pending.
func (g *Grouper) HandleReply(now time.Time, o Order, reply Reply) {
	r, outcome := g.records[o.Server], reply.Outcome
	if r != nil && o.Action == ActionProbe {
		r.recordProbe(now, reply)
		return
	}
	if r == nil || r.pendingOrder == nil || r.pendingOrder.Action != o.Action || r.pendingOrder.Epoch != o.Epoch {
		return
	}
	r.pendingOrder = nil
	r.nextOrderAt = now.Add(orderRetryDelay)
	switch outcome {
	case OutcomeAbsent:
		r.absentAt = now
	case OutcomeUnreachable:
		outcome = OutcomeUnanswered
	}
	gr := g.groups[o.Group]
	switch {
	case outcome == OutcomeAccepted || outcome == OutcomeDone:
		r.nextOrderAt = now
		r.lastAccepted, r.lastAcceptedAt, r.hasEnded = o, now, false
		g.recordHeadOrder(gr, o, outcome)
	case o.Action == ActionOpen && outcome == OutcomeUnanswered && gr != nil:
		gr.openOrderExpires = now.Add(maxOrderDelay)
	case o.Action == ActionClose && outcome == OutcomeUnanswered && gr != nil:
		gr.unansweredCloses++
	case o.Action == ActionLeave && (outcome == OutcomeUnfit || outcome == OutcomeMisdirected) && gr.isLeaving(o.Server):
		// The server is not in that group, or another one has its address.
		gr.leftMembers[o.Server] = true
	case (o.Action == ActionClose || o.Action == ActionLeave) && outcome == OutcomeUnfit:
		// The server is not in that group and epoch.
		g.recordHeadOrder(gr, o, OutcomeDone)
	case (o.Action == ActionClose || o.Action == ActionLeave) && outcome == OutcomeMisdirected && gr != nil && gr.info.Members[0] == o.Server:
		// Another server has the head's address, so the head has ended.
		gr.headLeft = true
	case o.Action == ActionStage:
		r.loadingModel = ""
		r.excludedUntil = now.Add(failureBackoff)
	case o.Action == ActionJoin && outcome != OutcomeUnanswered:
		r.excludedUntil = now.Add(failureBackoff)
		if gr != nil && gr.info.Phase == PhaseForming {
			g.removeGroup(gr, fmt.Sprintf("%s: the join order was %s", o.Server, outcome))
		}
	}
}

// isLeaving reports whether a server is a member, other than the head, of an abandoned group.
func (gr *group) isLeaving(id identifier.Server) bool {
	return gr != nil && gr.info.Phase == PhaseAbandoned && gr.info.Members[0] != id
}

// recordHeadOrder records that the head of a group has closed or left it.
func (g *Grouper) recordHeadOrder(gr *group, o Order, outcome Outcome) {
	if gr == nil || gr.info.Members[0] != o.Server {
		return
	}
	switch {
	case o.Action == ActionClose && outcome == OutcomeDone:
		gr.headClosed = true
	case o.Action == ActionLeave:
		gr.headLeft = true
	}
}

// failedProbe reports whether a server did not respond to a recent probe and no
// heartbeat has arrived from it since.
func (g *Grouper) failedProbe(s *tracker.Server) bool {
	r := g.records[s.ID]
	return r.probeFailedAt.After(s.LastHeartbeatAt) && g.now.Sub(r.probeFailedAt) < silentHeadTimeout
}

// syncRecords updates the records for servers that are new, have restarted, have
// ended a load or were removed from the registry.
func (g *Grouper) syncRecords() {
	for _, s := range g.view.Registry.All() {
		r := g.records[s.ID]
		if r == nil || r.incarnation != s.Incarnation {
			g.records[s.ID] = &serverRecord{incarnation: s.Incarnation}
			if g.firstStart && g.now.Before(g.arrivalsDeadline) && g.learningEnds.Before(g.now.Add(arrivalQuietPeriod)) {
				g.learningEnds = g.now.Add(arrivalQuietPeriod)
			}
			continue
		}
		if s.Silent && !s.LastHeartbeatAt.After(g.heardSince) {
			r.silentAt = g.now
		}
		if r.loadingModel != "" && (s.HasStaged(r.loadingModel) || g.now.After(r.loadDeadline)) {
			r.loadingModel = ""
		}
	}
	for id := range g.records {
		if g.view.Registry.Get(id) == nil {
			delete(g.records, id)
		}
	}
}

// adoptAnnouncedGroups adopts the groups that servers announce and that this holder
// of the placement authority did not form.
func (g *Grouper) adoptAnnouncedGroups() {
	parts := map[identifier.Group][]*tracker.Server{}
	for _, s := range g.view.Registry.All() {
		id := s.Membership.Group
		if id != "" && g.groups[id] == nil && g.ended[id].IsZero() && !s.Gone {
			parts[id] = append(parts[id], s)
		}
	}
	for id, members := range parts {
		g.adoptGroup(id, members)
	}
}

func (g *Grouper) adoptGroup(id identifier.Group, members []*tracker.Server) {
	slices.SortFunc(members, func(a, b *tracker.Server) int {
		return cmp.Compare(a.Membership.Rank, b.Membership.Rank)
	})
	head := members[0]
	if head.Membership.Rank != 0 {
		g.handleOrphan(id, members)
		return
	}
	serving := (head.Membership.State == tracker.StateOpen || head.Membership.State == tracker.StateClosing)
	model, known := g.modelOf(head)
	complete := known && len(members) == model.GroupSize && g.consistentMembers(members)
	if !serving && !complete && g.now.Before(g.learningEnds) {
		return
	}
	suspicion, found := g.view.Suspicions[head.ID]
	if serving && !complete && (g.now.Before(g.learningEnds) || g.responds(suspicion, found)) {
		// The other members may not have announced themselves yet. While the head
		// responds to requests, they must be running.
		return
	}
	gr := &group{
		info: GroupInfo{
			ID: id, Epoch: head.Membership.Epoch, Model: model.Name, Fabric: head.Fabric,
			Phase: PhaseForming, Reason: "adopted from an earlier holder",
		},
		service: head.Service, model: model, phaseSince: g.now, adopted: true,
		formDeadline: g.now.Add(model.LoadTime + formationSlack),
	}
	for _, s := range members {
		gr.info.Members = append(gr.info.Members, s.ID)
		gr.incarnations = append(gr.incarnations, s.Incarnation)
		gr.addresses = append(gr.addresses, s.Address)
	}
	g.groups[id] = gr
	switch {
	case serving:
		gr.info.Phase = PhaseServing
		gr.openOrderExpires = g.now.Add(maxOrderDelay)
		if !complete {
			// Without a report on the head, it is not known to be at a standstill.
			g.endGroup(gr, found, fmt.Sprintf("only %d members have announced themselves", len(members)))
		}
	case !complete:
		g.removeGroup(gr, "the group of an earlier holder is incomplete")
	default:
		// An open order of the earlier holder may still be executed.
		gr.openOrderExpires = g.now.Add(maxOrderDelay)
	}
	g.recordDecision("group is adopted", gr)
}

// handleOrphan handles members that announce a group whose head is not known. The
// head may serve although its announcements do not reach the core processes, so the
// members stay in the group for silentHeadTimeout. Then they are ordered to leave,
// and the head finds by itself that its group is broken.
func (g *Grouper) handleOrphan(id identifier.Group, members []*tracker.Server) {
	firstSeen, known := g.orphans[id]
	if !known {
		g.orphans[id] = g.now
		return
	}
	if g.now.Sub(firstSeen) < silentHeadTimeout || g.now.Before(g.learningEnds) {
		return
	}
	for _, s := range members {
		g.sendOrder(s, Order{Action: ActionLeave, Group: id, Epoch: s.Membership.Epoch, Reason: "no head of its group is known"})
	}
}

func (g *Grouper) consistentMembers(members []*tracker.Server) bool {
	for i, s := range members {
		if s.Membership.Epoch != members[0].Membership.Epoch || s.Membership.Rank != i {
			return false
		}
	}
	return true
}

func (g *Grouper) modelOf(s *tracker.Server) (cataloger.Model, bool) {
	e := g.engine(s.Service)
	if e == nil || len(s.LoadedModels) == 0 {
		return cataloger.Model{}, false
	}
	return e.Model(s.LoadedModels[0])
}

func (g *Grouper) engine(name identifier.Service) *cataloger.Engine {
	if g.view.Catalog == nil {
		return nil
	}
	if s := g.view.Catalog.Service(name); s != nil {
		return s.Engine
	}
	return nil
}

// forgetEndedGroups drops ended and orphaned groups that no server announces any
// more.
func (g *Grouper) forgetEndedGroups() {
	announced := map[identifier.Group]bool{}
	for _, s := range g.view.Registry.All() {
		announced[s.Membership.Group] = true
	}
	for id, endedAt := range g.ended {
		if !announced[id] && g.now.Sub(endedAt) > endedGroupRetention {
			delete(g.ended, id)
		}
	}
	for id := range g.orphans {
		if !announced[id] {
			delete(g.orphans, id)
		}
	}
}

func (g *Grouper) recordDecision(message string, gr *group) {
	info := gr.info
	info.Members = slices.Clone(info.Members)
	g.decisions = append(g.decisions, Decision{Message: message, Group: info})
}

// sendOrder queues an order for a server, and reports whether it did. It does not
// while another order to the server is pending or delayed, or shortly after the
// same order was accepted.
func (g *Grouper) sendOrder(s *tracker.Server, o Order) bool {
	r := g.records[s.ID]
	if r == nil || r.pendingOrder != nil || g.now.Before(r.nextOrderAt) {
		return false
	}
	o.Server, o.FencingToken = s.ID, g.fencingToken
	if o.Address == "" {
		o.Address = s.Address
	}
	if r.lastAccepted.Action == o.Action && r.lastAccepted.Epoch == o.Epoch && r.lastAccepted.CutRequests == o.CutRequests &&
		r.lastAccepted.Model == o.Model && g.now.Sub(r.lastAcceptedAt) < acceptedOrderRetryDelay {
		return false
	}
	r.pendingOrder = &o
	g.orders = append(g.orders, o)
	return true
}
