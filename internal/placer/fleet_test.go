package placer

import (
	"fmt"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// fleet is a simulation of a placer and its fake engines. The network between
// them loses, duplicates and delays orders, by up to the maximum lifetime of an
// order, and delays announcements.
type fleet struct {
	now            time.Time
	placer         Placer
	epoch          identifier.Epoch
	engines        map[identifier.VM]*fakeEngine
	inFlight       []orderMessage
	orderLifetime  time.Duration
	loadTime       time.Duration
	silenceTimeout time.Duration
	// fullSpeedLoads is the number of engines that the weights store serves at full
	// speed; 0 means no limit.
	fullSpeedLoads int
	violations     []string
	// random returns a number from 0 to n-1. It selects the network faults.
	random func(n int) int
	// faultPercent is the percentage of orders and announcements that are hit by
	// a network fault.
	faultPercent    int
	runningRequests map[identifier.Group]uint32
	// publishedGroups are the groups that entry VMs know of.
	publishedGroups []GroupInfo
	// events are the scheduled functions that have not run yet.
	events     []event
	orderCount int
	joinCount  int
}

// fakeEngine is an engine with its actual state, which the placer learns from
// announcements only.
type fakeEngine struct {
	server        Server
	dead          bool
	paused        bool
	unreachable   bool
	lastAnnounced time.Time
	// loadTimeLeft is the remaining time of loading at full speed.
	loadTimeLeft time.Duration
	reportedLost bool
	// announcements are sent but have not arrived yet.
	announcements []announcement
}

type event struct {
	due time.Time
	run func()
}

type announcement struct {
	server    Server
	arrivesAt time.Time
}

// orderMessage is an order or its result in flight.
type orderMessage struct {
	order     Order
	arrivesAt time.Time
	// isResult means that the message is the result of the order. An unanswered
	// order arrives, but its result is lost.
	isResult   bool
	result     OrderResult
	unanswered bool
}

const fleetStep = 200 * time.Millisecond

func newFleet(random func(int) int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), epoch: 1, engines: map[identifier.VM]*fakeEngine{},
		orderLifetime: 10 * time.Second, loadTime: 30 * time.Second, silenceTimeout: 3 * time.Second, random: random,
		runningRequests: map[identifier.Group]uint32{},
	}
	f.placer.Domain = "d"
	f.placer.Policy = Policy{MaxOrderLifetime: f.orderLifetime}
	f.placer.BeginTerm(f.now, f.epoch)
	f.placer.SetEntryVMs([]identifier.VM{"entry-1", "entry-2"})
	return f
}

func (f *fleet) addEngines(fabric identifier.FabricDomain, n int, honoursFencing func(i int) bool) {
	for i := range n {
		vm := identifier.VM(fmt.Sprintf("%s-%02d", fabric, i))
		f.engines[vm] = &fakeEngine{lastAnnounced: f.now, server: Server{
			VM: vm, FabricDomain: fabric, Accelerators: 8, Kind: KindEngine, Incarnation: 1,
			HonoursFencing: honoursFencing(i), Address: "http://" + string(vm), State: EngineIdle,
		}}
	}
}

func (f *fleet) vms() []identifier.VM {
	var vms []identifier.VM
	for vm := range f.engines {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// step advances the clock by fleetStep, runs the events that are due, and steps
// the engines, the network and the placer.
func (f *fleet) step() {
	f.now = f.now.Add(fleetStep)
	f.events = slices.DeleteFunc(f.events, func(e event) bool {
		if e.due.After(f.now) {
			return false
		}
		e.run()
		return true
	})
	for _, vm := range f.vms() {
		f.stepEngine(f.engines[vm])
	}
	f.deliverMessages()
	quiesced := map[identifier.Group]bool{}
	for _, g := range f.placer.Groups() {
		quiesced[g.ID] = g.State != GroupServing && f.runningRequests[g.ID] == 0
	}
	f.placer.SetQuiescedGroups(quiesced)
	for _, o := range f.placer.Step(f.now) {
		f.orderCount++
		if o.Action == ActionJoin {
			f.joinCount++
		}
		f.sendOrder(o)
	}
	f.checkInvariants()
}

// schedule runs a function after the duration d.
func (f *fleet) schedule(d time.Duration, run func()) {
	f.events = append(f.events, event{f.now.Add(d), run})
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func (f *fleet) stepEngine(e *fakeEngine) {
	if e.isSilent() {
		if f.now.Sub(e.lastAnnounced) > f.silenceTimeout && !e.reportedLost {
			e.reportedLost = true
			f.placer.MarkLost(f.now, e.server.VM)
		}
		return
	}
	if e.server.State == EngineLoading {
		e.loadTimeLeft -= f.loadProgress()
		if e.loadTimeLeft <= 0 {
			e.server.State = EngineReady
		}
	}
	if f.now.Sub(e.lastAnnounced) < time.Second && !e.reportedLost {
		return
	}
	e.server.Sequence++
	delay := time.Duration(0)
	if f.random(100) < f.faultPercent {
		delay = time.Duration(f.random(2000)) * time.Millisecond
	}
	e.announcements = append(e.announcements, announcement{e.server, f.now.Add(delay)})
	e.lastAnnounced, e.reportedLost = f.now, false
}

// loadProgress returns by how much the loading of one engine advances in a step.
// The store serves up to fullSpeedLoads engines at full speed; more engines share
// that throughput.
func (f *fleet) loadProgress() time.Duration {
	loading := 0
	for _, e := range f.engines {
		if e.server.State == EngineLoading && !e.isSilent() {
			loading++
		}
	}
	if f.fullSpeedLoads == 0 || loading <= f.fullSpeedLoads {
		return fleetStep
	}
	return fleetStep * time.Duration(f.fullSpeedLoads) / time.Duration(loading)
}

func (e *fakeEngine) isSilent() bool { return e.dead || e.paused || e.unreachable }

// restart restarts an engine as a new process with empty state.
func (f *fleet) restart(e *fakeEngine) {
	e.server.Incarnation++
	e.server.Group, e.server.GroupFencingToken, e.server.GroupMembers, e.server.State = "", 0, nil, EngineIdle
	e.server.Model, e.server.Version, e.server.HighestFencingToken, e.server.Sequence = "", "", 0, 0
	e.dead, e.paused = false, false
}

func (f *fleet) sendOrder(o Order) {
	msg := orderMessage{order: o, arrivesAt: f.now}
	if f.random(100) < f.faultPercent {
		switch f.random(4) {
		case 0:
			msg.arrivesAt = f.now.Add(time.Duration(f.random(int(f.orderLifetime.Milliseconds()))) * time.Millisecond)
		case 1:
			msg.unanswered = true
		case 2:
			duplicate := msg
			duplicate.unanswered = true
			duplicate.arrivesAt = f.now.Add(time.Duration(f.random(int(f.orderLifetime.Milliseconds()))) * time.Millisecond)
			f.inFlight = append(f.inFlight, duplicate)
		case 3:
			return
		}
	}
	f.inFlight = append(f.inFlight, msg)
}

func (f *fleet) deliverMessages() {
	for _, vm := range f.vms() {
		e := f.engines[vm]
		e.announcements = slices.DeleteFunc(e.announcements, func(a announcement) bool {
			if a.arrivesAt.After(f.now) {
				return false
			}
			f.placer.HandleAnnouncement(f.now, a.server)
			return true
		})
	}
	messages := f.inFlight
	f.inFlight = nil
	for _, msg := range messages {
		switch {
		case msg.arrivesAt.After(f.now):
			f.inFlight = append(f.inFlight, msg)
		case msg.isResult:
			f.placer.HandleOrderResult(f.now, msg.result)
		default:
			f.deliverOrder(msg)
		}
	}
}

// deliverOrder makes an engine execute an order. An engine that ignores fencing
// tokens executes every order, even one that is older than its last.
func (f *fleet) deliverOrder(msg orderMessage) {
	o := msg.order
	e := f.engines[o.VM]
	if e.isSilent() {
		return
	}
	reason := ""
	if o.Action != ActionCheck {
		reason = e.rejectReason(o)
	}
	if reason == "" && o.Action != ActionCheck {
		f.executeOrder(e, o)
	}
	if msg.unanswered {
		return
	}
	e.server.Sequence++
	e.announcements = append(e.announcements, announcement{e.server, f.now})
	f.inFlight = append(f.inFlight, orderMessage{
		isResult: true, arrivesAt: f.now, result: OrderResult{Order: o, Responded: true, Accepted: reason == "", Reason: reason},
	})
}

func (e *fakeEngine) rejectReason(o Order) string {
	switch {
	case e.server.HonoursFencing && o.FencingToken < e.server.HighestFencingToken:
		return "outdated fence"
	case e.server.HonoursFencing && o.Incarnation != e.server.Incarnation:
		return "different incarnation"
	case e.server.HonoursFencing && o.Action == ActionJoin && e.server.Group != "" && e.server.Group != o.Group:
		return "in another group"
	}
	return ""
}

// executeOrder executes an order. The placer must prevent that a join order
// reaches an engine in another group, since the engine would then belong to both
// groups. A duplicated leave order is no violation: it may break a group, as the
// loss of a member does, but it cannot put an engine into two groups.
func (f *fleet) executeOrder(e *fakeEngine, o Order) {
	if o.Action == ActionJoin && e.server.Group != "" && e.server.Group != o.Group {
		f.recordViolation("join %s reached %s, which is in %s", o.Group, e.server.VM, e.server.Group)
	}
	e.server.HighestFencingToken = max(e.server.HighestFencingToken, o.FencingToken)
	if o.Action == ActionLeave {
		e.server.Group, e.server.GroupFencingToken, e.server.GroupMembers, e.server.State = "", 0, nil, EngineIdle
		return
	}
	if e.server.Group == o.Group {
		return
	}
	e.loadTimeLeft = f.loadTime
	e.server.Group, e.server.GroupFencingToken, e.server.GroupMembers, e.server.State = o.Group, o.FencingToken, o.Members, EngineLoading
	e.server.Model, e.server.Version = o.Model, o.Version
}

// replaceAuthority replaces the placer by that of a new authority with empty
// state, as after the loss of the VM of the previous authority.
func (f *fleet) replaceAuthority() {
	f.epoch++
	f.publishedGroups = f.placer.Groups()
	specs := f.placer.services
	f.placer = Placer{Domain: f.placer.Domain, Policy: f.placer.Policy}
	f.placer.BeginTerm(f.now, f.epoch)
	f.placer.SetServices(specs)
	f.placer.SetEntryVMs([]identifier.VM{"entry-1", "entry-2"})
	for _, e := range f.engines {
		// Entry VMs report all backend servers to a new authority.
		e.reportedLost = false
		e.lastAnnounced = f.now.Add(-time.Second)
	}
}

// checkInvariants checks the placer's groups and the actual state of the engines
// against the invariants of the package.
func (f *fleet) checkInvariants() {
	serving := map[identifier.VM]identifier.Group{}
	for _, g := range f.placer.Groups() {
		if g.State != GroupServing {
			continue
		}
		for _, vm := range g.Members {
			f.checkMember(g, vm, serving)
		}
	}
	f.checkMembership()
}

// checkMember requires that a member of a serving group is in no other serving
// group and has not been silent for longer than the silence timeout and two steps.
func (f *fleet) checkMember(g GroupInfo, vm identifier.VM, serving map[identifier.VM]identifier.Group) {
	if other, ok := serving[vm]; ok {
		f.recordViolation("%s is in serving groups %s and %s", vm, other, g.ID)
	}
	serving[vm] = g.ID
	e := f.engines[vm]
	const maxSilence = 3*time.Second + 2*fleetStep
	if e.isSilent() && f.now.Sub(e.lastAnnounced) > maxSilence {
		f.recordViolation("%s serves, but %s has been silent for %s", g.ID, vm, f.now.Sub(e.lastAnnounced))
	}
}

// checkMembership requires that no engine is listed as a member by two complete
// groups. A group is complete when every listed member is alive and in the group.
func (f *fleet) checkMembership() {
	groupOf := map[identifier.VM]identifier.Group{}
	for _, vm := range f.vms() {
		s := f.engines[vm].server
		if s.Group == "" || f.engines[vm].dead || !f.isComplete(s) {
			continue
		}
		for _, m := range s.GroupMembers {
			if other, ok := groupOf[m]; ok && other != s.Group {
				f.recordViolation("%s belongs to %s and %s at once", m, other, s.Group)
			}
			groupOf[m] = s.Group
		}
	}
}

func (f *fleet) isComplete(s Server) bool {
	for _, m := range s.GroupMembers {
		if e := f.engines[m]; e == nil || e.dead || e.server.Group != s.Group {
			return false
		}
	}
	return true
}

func (f *fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%s: ", f.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

// servingCount returns the number of serving groups of the service s.
func (f *fleet) servingCount(s identifier.Service) int {
	n := 0
	for _, g := range f.placer.Groups() {
		if g.Service == s && g.State == GroupServing {
			n++
		}
	}
	return n
}
