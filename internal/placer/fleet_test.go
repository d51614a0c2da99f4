package placer

import (
	"fmt"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// fleet is a set of fake engines behind a network that loses, repeats and
// delays orders and announcements, up to the longest life of an order.
type fleet struct {
	now     time.Time
	placer  Placer
	epoch   identifier.Epoch
	engines map[identifier.VM]*fakeEngine
	flying  []flight
	life    time.Duration
	load    time.Duration
	silence time.Duration
	// store is the number of engines that the weights store feeds at full
	// speed; 0 means any number.
	store  int
	faults []string
	// roll returns a number from 0 to n-1; it decides what the network does.
	roll func(n int) int
	// chaos is the number of orders in a hundred that meet a fault.
	chaos int
	loads map[identifier.Group]uint32
	// shown are the groups that entries know of.
	shown []GroupInfo
	// events are due at their times.
	events []event
	orders int
	joins  int
}

// fakeEngine is one engine as it really is.
type fakeEngine struct {
	s      Server
	dead   bool
	paused bool
	dark   bool
	heard  time.Time
	// left is how much of the loading is still to be done.
	left     time.Duration
	reported bool
	// sent lists announcements under way.
	sent []announcement
}

type event struct {
	at time.Time
	do func()
}

type announcement struct {
	s  Server
	at time.Time
}

// flight is an order or its answer under way.
type flight struct {
	order Order
	at    time.Time
	// back is set on answers; lost ones are not answered.
	back  bool
	reply OrderResult
	quiet bool
}

const fleetStep = 200 * time.Millisecond

func newFleet(roll func(int) int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), epoch: 1, engines: map[identifier.VM]*fakeEngine{},
		life: 10 * time.Second, load: 30 * time.Second, silence: 3 * time.Second, roll: roll,
		loads: map[identifier.Group]uint32{},
	}
	f.placer.Domain = "d"
	f.placer.Policy = Policy{MaxOrderLifetime: f.life}
	f.placer.BeginTerm(f.now, f.epoch)
	f.placer.SetEntryVMs([]identifier.VM{"entry-1", "entry-2"})
	return f
}

func (f *fleet) add(fabric identifier.FabricDomain, n int, honours func(i int) bool) {
	for i := range n {
		vm := identifier.VM(fmt.Sprintf("%s-%02d", fabric, i))
		f.engines[vm] = &fakeEngine{heard: f.now, s: Server{
			VM: vm, FabricDomain: fabric, Accelerators: 8, Kind: KindEngine, Incarnation: 1,
			HonoursFencing: honours(i), Address: "http://" + string(vm), State: EngineIdle,
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

// step advances the clock and everything on it once.
func (f *fleet) step() {
	f.now = f.now.Add(fleetStep)
	f.events = slices.DeleteFunc(f.events, func(e event) bool {
		if e.at.After(f.now) {
			return false
		}
		e.do()
		return true
	})
	for _, vm := range f.vms() {
		f.stepEngine(f.engines[vm])
	}
	f.deliver()
	quiet := map[identifier.Group]bool{}
	for _, g := range f.placer.Groups() {
		quiet[g.ID] = g.State != GroupServing && f.loads[g.ID] == 0
	}
	f.placer.SetQuiescedGroups(quiet)
	for _, o := range f.placer.Step(f.now) {
		f.orders++
		if o.Action == ActionJoin {
			f.joins++
		}
		f.send(o)
	}
	f.check()
}

// later does something after a while.
func (f *fleet) later(d time.Duration, do func()) {
	f.events = append(f.events, event{f.now.Add(d), do})
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func (f *fleet) stepEngine(e *fakeEngine) {
	if e.silent() {
		if f.now.Sub(e.heard) > f.silence && !e.reported {
			e.reported = true
			f.placer.MarkLost(f.now, e.s.VM)
		}
		return
	}
	if e.s.State == EngineLoading {
		e.left -= f.loadStep()
		if e.left <= 0 {
			e.s.State = EngineReady
		}
	}
	if f.now.Sub(e.heard) < time.Second && !e.reported {
		return
	}
	e.s.Sequence++
	delay := time.Duration(0)
	if f.roll(100) < f.chaos {
		delay = time.Duration(f.roll(2000)) * time.Millisecond
	}
	e.sent = append(e.sent, announcement{e.s, f.now.Add(delay)})
	e.heard, e.reported = f.now, false
}

// loadStep is how far one engine's loading gets in a step: the store feeds a
// number of engines at full speed and shares that among more.
func (f *fleet) loadStep() time.Duration {
	loading := 0
	for _, e := range f.engines {
		if e.s.State == EngineLoading && !e.silent() {
			loading++
		}
	}
	if f.store == 0 || loading <= f.store {
		return fleetStep
	}
	return fleetStep * time.Duration(f.store) / time.Duration(loading)
}

func (e *fakeEngine) silent() bool { return e.dead || e.paused || e.dark }

// restart brings an engine back as a new process.
func (f *fleet) restart(e *fakeEngine) {
	e.s.Incarnation++
	e.s.Group, e.s.GroupFencingToken, e.s.GroupMembers, e.s.State = "", 0, nil, EngineIdle
	e.s.Model, e.s.Version, e.s.HighestFencingToken, e.s.Sequence = "", "", 0, 0
	e.dead, e.paused = false, false
}

func (f *fleet) send(o Order) {
	fl := flight{order: o, at: f.now}
	if f.roll(100) < f.chaos {
		switch f.roll(4) {
		case 0:
			fl.at = f.now.Add(time.Duration(f.roll(int(f.life.Milliseconds()))) * time.Millisecond)
		case 1:
			fl.quiet = true
		case 2:
			again := fl
			again.quiet = true
			again.at = f.now.Add(time.Duration(f.roll(int(f.life.Milliseconds()))) * time.Millisecond)
			f.flying = append(f.flying, again)
		case 3:
			return
		}
	}
	f.flying = append(f.flying, fl)
}

func (f *fleet) deliver() {
	for _, vm := range f.vms() {
		e := f.engines[vm]
		e.sent = slices.DeleteFunc(e.sent, func(a announcement) bool {
			if a.at.After(f.now) {
				return false
			}
			f.placer.HandleAnnouncement(f.now, a.s)
			return true
		})
	}
	flying := f.flying
	f.flying = nil
	for _, fl := range flying {
		switch {
		case fl.at.After(f.now):
			f.flying = append(f.flying, fl)
		case fl.back:
			f.placer.HandleOrderResult(f.now, fl.reply)
		default:
			f.arrive(fl)
		}
	}
}

// arrive lets an engine carry an order out. One that ignores fencing numbers
// obeys every order, whatever it was told before.
func (f *fleet) arrive(fl flight) {
	o := fl.order
	e := f.engines[o.VM]
	if e.silent() {
		return
	}
	reason := ""
	if o.Action != ActionCheck {
		reason = e.judge(o)
	}
	if reason == "" && o.Action != ActionCheck {
		f.carryOut(e, o)
	}
	if fl.quiet {
		return
	}
	e.s.Sequence++
	e.sent = append(e.sent, announcement{e.s, f.now})
	f.flying = append(f.flying, flight{
		back: true, at: f.now, reply: OrderResult{Order: o, Answered: true, Accepted: reason == "", Reason: reason},
	})
}

func (e *fakeEngine) judge(o Order) string {
	switch {
	case e.s.HonoursFencing && o.FencingToken < e.s.HighestFencingToken:
		return "old fence"
	case e.s.HonoursFencing && o.Incarnation != e.s.Incarnation:
		return "other incarnation"
	case e.s.HonoursFencing && o.Action == ActionJoin && e.s.Group != "" && e.s.Group != o.Group:
		return "in another group"
	}
	return ""
}

// carryOut obeys an order. A join that reaches an engine in another group is
// the fault that the placer has to prevent: the engine would belong to both. A
// repeated leave order may cost a group, like the loss of a member, but it
// never joins two groups.
func (f *fleet) carryOut(e *fakeEngine, o Order) {
	if o.Action == ActionJoin && e.s.Group != "" && e.s.Group != o.Group {
		f.fault("join %s reached %s, which is in %s", o.Group, e.s.VM, e.s.Group)
	}
	e.s.HighestFencingToken = max(e.s.HighestFencingToken, o.FencingToken)
	if o.Action == ActionLeave {
		e.s.Group, e.s.GroupFencingToken, e.s.GroupMembers, e.s.State = "", 0, nil, EngineIdle
		return
	}
	if e.s.Group == o.Group {
		return
	}
	e.left = f.load
	e.s.Group, e.s.GroupFencingToken, e.s.GroupMembers, e.s.State = o.Group, o.FencingToken, o.Members, EngineLoading
	e.s.Model, e.s.Version = o.Model, o.Version
}

// takeOver makes a new authority with empty books, as after the loss of the
// old one's VM.
func (f *fleet) takeOver() {
	f.epoch++
	f.shown = f.placer.Groups()
	wants := f.placer.wants
	f.placer = Placer{Domain: f.placer.Domain, Policy: f.placer.Policy}
	f.placer.BeginTerm(f.now, f.epoch)
	f.placer.SetServices(wants)
	f.placer.SetEntryVMs([]identifier.VM{"entry-1", "entry-2"})
	for _, e := range f.engines {
		// Entries report everything to a new authority.
		e.reported = false
		e.heard = f.now.Add(-time.Second)
	}
}

// check holds the engines themselves against what must always be true.
func (f *fleet) check() {
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

// checkMember requires that a member of a serving group is not known to be
// missing, and is in that group itself unless it fell silent just now.
func (f *fleet) checkMember(g GroupInfo, vm identifier.VM, serving map[identifier.VM]identifier.Group) {
	if other, ok := serving[vm]; ok {
		f.fault("%s is in serving groups %s and %s", vm, other, g.ID)
	}
	serving[vm] = g.ID
	e := f.engines[vm]
	const bound = 3*time.Second + 2*fleetStep
	if e.silent() && f.now.Sub(e.heard) > bound {
		f.fault("%s serves, but %s has been silent for %s", g.ID, vm, f.now.Sub(e.heard))
	}
}

// checkMembership requires that no engine that is in a whole group is listed
// as a member by an engine of another whole group.
func (f *fleet) checkMembership() {
	whole := map[identifier.VM]identifier.Group{}
	for _, vm := range f.vms() {
		s := f.engines[vm].s
		if s.Group == "" || f.engines[vm].dead || !f.isWhole(s) {
			continue
		}
		for _, m := range s.GroupMembers {
			if other, ok := whole[m]; ok && other != s.Group {
				f.fault("%s belongs to %s and %s at once", m, other, s.Group)
			}
			whole[m] = s.Group
		}
	}
}

func (f *fleet) isWhole(s Server) bool {
	for _, m := range s.GroupMembers {
		if e := f.engines[m]; e == nil || e.dead || e.s.Group != s.Group {
			return false
		}
	}
	return true
}

func (f *fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf("%s: ", f.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

// serving returns the number of serving groups of a service.
func (f *fleet) serving(s identifier.Service) int {
	n := 0
	for _, g := range f.placer.Groups() {
		if g.Service == s && g.State == GroupServing {
			n++
		}
	}
	return n
}
