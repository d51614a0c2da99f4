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

// epochBits is the part of an epoch that counts the groups of one term.
const epochBits = 20

// Grouper is the placement of one holder of authority. Policy is set before
// Begin.
type Grouper struct {
	Policy Policy

	fence  uint64
	formed uint64
	// first is set while no group can have been formed by others and no caller
	// has come.
	first   bool
	learned time.Time
	// arrivalsEnd is until when a first start waits for more servers.
	arrivalsEnd time.Time
	groups      map[identifier.Group]*group
	// ended holds the groups that are over but may still be announced, and since
	// when.
	ended map[identifier.Group]time.Time
	// orphans holds the announced groups of which no head is known, and since
	// when.
	orphans map[identifier.Group]time.Time
	vms     map[identifier.Server]*vm
	loads   loadLimit

	view  View
	now   time.Time
	out   []Order
	notes []Decision
}

type group struct {
	info    GroupInfo
	service identifier.Service
	model   cataloger.Model
	// born holds the start of each member's life that joined.
	born  []uint64
	since time.Time
	// deadline is when a group that forms is given up.
	deadline time.Time
	cut      bool
	// openDoubt is the time until which an unanswered open order may be
	// carried out.
	openDoubt time.Time
	// headSilent is when the head was found silent.
	headSilent time.Time
	// closed is set once the head has said that it does not serve, headLeft once
	// it has left the group.
	closed   bool
	headLeft bool
	// unheeded counts close orders without an answer.
	unheeded int
	// left holds the members of an abandoned group that have left.
	left map[identifier.Server]bool
	// adopted groups were formed by an earlier holder.
	adopted bool
}

// vm is what the Grouper keeps of one backend server.
type vm struct {
	born    uint64
	pending *Order
	// nextTry is the earliest time for the next order.
	nextTry time.Time
	// accepted is the last order that was accepted, and acceptedAt when.
	accepted   Order
	acceptedAt time.Time
	// held keeps the server out of new groups until that time.
	held time.Time
	// absentAt is when nobody listened at the server's address.
	absentAt time.Time
	// staging is the model that is being loaded, and until when at most.
	staging      string
	stagingUntil time.Time
	// deadAt is when the server did not answer a probe.
	deadAt time.Time
	probed time.Time
}

// BeginTerm starts a term of authority. Fence is the number of its orders; first
// tells that no group can have been formed before. Listening is since when the
// registry has been filled.
func (g *Grouper) BeginTerm(now time.Time, fence uint64, first bool, listening time.Time) {
	g.Policy.fill()
	g.fence, g.formed, g.first = fence, 0, first
	g.learned = listening.Add(g.Policy.LearningPeriod)
	if first {
		// Until no more servers announce themselves, so that groups of all sizes
		// find theirs.
		g.learned = now.Add(g.Policy.HeartbeatInterval)
		g.arrivalsEnd = now.Add(arrivalBeats * g.Policy.HeartbeatInterval)
	}
	g.groups = map[identifier.Group]*group{}
	g.ended = map[identifier.Group]time.Time{}
	g.orphans = map[identifier.Group]time.Time{}
	g.vms = map[identifier.Server]*vm{}
	g.loads = loadLimit{}
	if !first {
		// Loads that earlier holders started are not known.
		g.loads.blind = now
	}
	g.out, g.notes = nil, nil
}

// Groups lists the groups by id.
func (g *Grouper) Groups() []GroupInfo {
	infos := make([]GroupInfo, 0, len(g.groups))
	for _, gr := range g.sorted() {
		infos = append(infos, gr.info)
	}
	return infos
}

func (g *Grouper) sorted() []*group {
	all := make([]*group, 0, len(g.groups))
	for _, gr := range g.groups {
		all = append(all, gr)
	}
	slices.SortFunc(all, func(a, b *group) int { return cmp.Compare(a.info.Epoch, b.info.Epoch) })
	return all
}

// Step decides. It returns the orders to send now and what was decided.
func (g *Grouper) Step(now time.Time, v View) ([]Order, []Decision) {
	g.now, g.view = now, v
	if len(v.Demand) > 0 {
		g.first = false
	}
	g.noteServers()
	g.adopt()
	for _, gr := range g.sorted() {
		g.stepGroup(gr)
	}
	if !now.Before(g.learned) {
		fs := g.fabrics()
		g.plan(fs)
		for _, f := range fs {
			g.form(f)
		}
		fs = g.fabrics()
		g.plan(fs)
		for _, f := range fs {
			g.warmSpares(f)
		}
		g.stageSpares(fs)
	}
	g.forgetEnded()
	out, notes := g.out, g.notes
	g.out, g.notes = nil, nil
	return out, notes
}

// HandleOutcome takes the end of an order that Step returned.
func (g *Grouper) HandleOutcome(now time.Time, o Order, outcome Outcome) {
	m := g.vms[o.Server]
	if m == nil || m.pending == nil || m.pending.Action != o.Action || m.pending.Epoch != o.Epoch {
		return
	}
	m.pending = nil
	m.nextTry = now.Add(orderRetry)
	if outcome == OutcomeAbsent {
		m.absentAt = now
	}
	gr := g.groups[o.Group]
	switch {
	case o.Action == ActionProbe:
		m.nextTry = now
		if outcome == OutcomeUnanswered || outcome == OutcomeAbsent {
			m.deadAt = now
		}
	case outcome == OutcomeAccepted || outcome == OutcomeDone:
		m.nextTry = now
		m.accepted, m.acceptedAt = o, now
		g.noteDone(gr, o, outcome)
	case o.Action == ActionOpen && outcome == OutcomeUnanswered && gr != nil:
		gr.openDoubt = now.Add(orderLife)
	case o.Action == ActionClose && outcome == OutcomeUnanswered && gr != nil:
		gr.unheeded++
	case (o.Action == ActionClose || o.Action == ActionLeave) && outcome == OutcomeUnfit:
		// The server is not in that group and epoch.
		g.noteDone(gr, o, OutcomeDone)
	case o.Action == ActionStage:
		m.staging = ""
		m.held = now.Add(holdAfterFailure)
	case o.Action == ActionJoin && outcome != OutcomeUnanswered:
		m.held = now.Add(holdAfterFailure)
		if gr != nil && gr.info.Phase == PhaseForming {
			g.dissolve(gr, fmt.Sprintf("%s: the join order was %s", o.Server, outcome))
		}
	}
}

// noteDone notes what an order to a group's head has changed for good.
func (g *Grouper) noteDone(gr *group, o Order, outcome Outcome) {
	if gr == nil || gr.info.Members[0] != o.Server {
		return
	}
	switch {
	case o.Action == ActionClose && outcome == OutcomeDone:
		gr.closed = true
	case o.Action == ActionLeave:
		gr.headLeft = true
	}
}

// seemsDead reports whether a server did not answer a probe and was not heard
// since.
func (g *Grouper) seemsDead(s *tracker.Server) bool {
	m := g.vms[s.ID]
	return m.deadAt.After(s.HeardAt) && g.now.Sub(m.deadAt) < silentHead
}

// noteServers brings the Grouper's own records in line with the registry.
func (g *Grouper) noteServers() {
	for _, s := range g.view.Registry.All() {
		m := g.vms[s.ID]
		if m == nil || m.born != s.Born {
			g.vms[s.ID] = &vm{born: s.Born}
			if g.first && g.now.Before(g.arrivalsEnd) && g.learned.Before(g.now.Add(arrivalPause)) {
				g.learned = g.now.Add(arrivalPause)
			}
			continue
		}
		if m.staging != "" && (s.HasStaged(m.staging) || g.now.After(m.stagingUntil)) {
			m.staging = ""
		}
	}
	for id := range g.vms {
		if g.view.Registry.Get(id) == nil {
			delete(g.vms, id)
		}
	}
}

// adopt takes over the groups that servers announce and that this holder did
// not form.
func (g *Grouper) adopt() {
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
		g.watchOrphan(id, members)
		return
	}
	serving := (head.Membership.State == tracker.StateOpen || head.Membership.State == tracker.StateClosing)
	model, known := g.modelOf(head)
	whole := known && len(members) == model.GroupSize && g.sameEpoch(members)
	if !serving && !whole && g.now.Before(g.learned) {
		return
	}
	doubt, doubted := g.view.Suspicions[head.ID]
	answers := doubted && doubt.SinceLastAnswer < g.Policy.HeartbeatInterval
	if serving && !whole && (g.now.Before(g.learned) || answers) {
		// The other members were not heard yet. While the head answers requests
		// they must be there.
		return
	}
	gr := &group{
		info: GroupInfo{
			ID: id, Epoch: head.Membership.Epoch, Model: model.Name, Fabric: head.Fabric,
			Phase: PhaseForming, Reason: "taken over from an earlier holder",
		},
		service: head.Service, model: model, since: g.now, adopted: true,
		deadline: g.now.Add(model.LoadTime + formSlack),
	}
	for _, s := range members {
		gr.info.Members = append(gr.info.Members, s.ID)
		gr.born = append(gr.born, s.Born)
	}
	g.groups[id] = gr
	switch {
	case serving:
		gr.info.Phase = PhaseServing
		gr.openDoubt = g.now.Add(orderLife)
		if !whole {
			g.end(gr, true, fmt.Sprintf("only %d members were heard of", len(members)))
		}
	case !whole:
		g.dissolve(gr, "the group of an earlier holder is not whole")
	default:
		// Its open order may be under way.
		gr.openDoubt = g.now.Add(orderLife)
	}
	g.note("group taken over", gr)
}

// watchOrphan handles members that announce a group of which no head is known.
// The head may serve where the core does not hear it, so the members stay as they
// are for a while; then they are sent away, and the head breaks by itself.
func (g *Grouper) watchOrphan(id identifier.Group, members []*tracker.Server) {
	since, known := g.orphans[id]
	if !known {
		g.orphans[id] = g.now
		return
	}
	if g.now.Sub(since) < silentHead || g.now.Before(g.learned) {
		return
	}
	for _, s := range members {
		g.send(s, Order{Action: ActionLeave, Group: id, Epoch: s.Membership.Epoch, Reason: "no head of its group is known"})
	}
}

func (g *Grouper) sameEpoch(members []*tracker.Server) bool {
	for i, s := range members {
		if s.Membership.Epoch != members[0].Membership.Epoch || s.Membership.Rank != i {
			return false
		}
	}
	return true
}

func (g *Grouper) modelOf(s *tracker.Server) (cataloger.Model, bool) {
	e := g.engine(s.Service)
	if e == nil || len(s.Models) == 0 {
		return cataloger.Model{}, false
	}
	return e.Model(s.Models[0])
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

// forgetEnded drops the records of ended groups that nobody announces any more.
func (g *Grouper) forgetEnded() {
	announced := map[identifier.Group]bool{}
	for _, s := range g.view.Registry.All() {
		announced[s.Membership.Group] = true
	}
	for id, at := range g.ended {
		if !announced[id] && g.now.Sub(at) > endedMemory {
			delete(g.ended, id)
		}
	}
	for id := range g.orphans {
		if !announced[id] {
			delete(g.orphans, id)
		}
	}
}

func (g *Grouper) note(text string, gr *group) {
	info := gr.info
	info.Members = slices.Clone(info.Members)
	g.notes = append(g.notes, Decision{Message: text, Group: info})
}

// send queues an order for a server unless one is under way or was sent just
// now, and reports whether it did.
func (g *Grouper) send(s *tracker.Server, o Order) bool {
	m := g.vms[s.ID]
	if m == nil || m.pending != nil || g.now.Before(m.nextTry) {
		return false
	}
	o.Server, o.Address, o.FencingToken = s.ID, s.Address, g.fence
	if m.accepted.Action == o.Action && m.accepted.Epoch == o.Epoch && m.accepted.CutRequests == o.CutRequests &&
		m.accepted.Model == o.Model && g.now.Sub(m.acceptedAt) < sameOrderPause {
		return false
	}
	m.pending = &o
	g.out = append(g.out, o)
	return true
}
