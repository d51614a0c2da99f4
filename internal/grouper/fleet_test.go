package grouper

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// Times of the fleet. The engine's are those of the platform's pages.
const (
	tick       = 50 * time.Millisecond
	beat       = 1200 * time.Millisecond
	silence    = 3 * time.Second
	quickJoin  = 200 * time.Millisecond
	openTime   = 300 * time.Millisecond
	standStill = 6 * time.Second
	testFabric = "f1"
)

// engine is a backend server that keeps the platform's rules for groups.
type engine struct {
	id      identifier.Server
	fabric  identifier.FabricDomain
	domain  identifier.FailureDomain
	born    uint64
	alive   bool
	cut     bool // from the core
	far     bool // from the fronts too
	resets  bool // a cut that answers with resets
	leaving bool
	gone    bool

	member   tracker.Membership
	members  []identifier.Server
	readyAt  time.Time
	openAt   time.Time
	staged   string
	staging  string
	stagedAt time.Time
	last     string // the model of the last group
	sequence uint64
	said     time.Time
	changed  bool
	// brokenSince is when the head's group lost a member.
	brokenSince time.Time
	// ready holds the epochs in which the engine was ready once, also in an
	// earlier life: the rules excuse a member that was ready and is lost.
	ready map[uint64]bool
	late  []lateOrder
	// answered is when a front last had an event of the engine.
	answered time.Time
}

type lateOrder struct {
	at    time.Time
	order Order
}

// failer is the part of testing.TB that rapid's tests have too.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// fleet runs a Grouper against engines and checks the rules on the engines'
// side.
type fleet struct {
	// pass is the time of a pass of every group, and reportLag how old the fronts'
	// reports are.
	pass      time.Duration
	reportLag time.Duration
	now       time.Time
	start     time.Time
	engines   map[identifier.Server]*engine
	order     []identifier.Server
	registry  tracker.Registry
	catalog   *cataloger.Catalog
	grouper   Grouper
	term      uint64
	// unanswered is how many of the next orders get no answer and are carried
	// out late.
	unanswered int
	lateBy     time.Duration
	outs       map[identifier.FailureDomain]bool
	demand     map[string]float64
	// callersSince is when the first request came.
	callersSince time.Time
	broken       []string
	loads        []time.Time
	log          []string
	outcomes     []outcomeOf
}

type outcomeOf struct {
	order   Order
	outcome Outcome
}

func newFleet(t failer, models []cataloger.Model, counts map[identifier.FabricDomain]int) *fleet {
	t.Helper()
	f := &fleet{
		now: time.Unix(1_000_000, 0), engines: map[identifier.Server]*engine{}, term: 1,
		outs: map[identifier.FailureDomain]bool{}, demand: map[string]float64{}, lateBy: 3 * time.Second,
	}
	f.start = f.now
	f.registry.SilenceTimeout = silence
	f.catalog = &cataloger.Catalog{Version: 1, Services: []cataloger.Service{{
		Name: "llm", Engine: &cataloger.Engine{
			Slots: 26, StepsPerPass: 7, StepTime: 6 * time.Millisecond, PrefillTokensPerSecond: 50000,
			MaxLoadsPerSecond: 4.5, FullSpeedLoads: 6, Models: models,
		},
	}}}
	if err := f.catalog.Index(); err != nil {
		t.Fatal(err)
	}
	for fabric, n := range counts {
		for range n {
			f.add(fabric)
		}
	}
	f.grouper.Policy.StallTimeout = standStill
	f.grouper.BeginTerm(f.now, f.term, true, f.now)
	return f
}

// add brings a new engine up. Fabric domain f1 lies in failure domain z1.
func (f *fleet) add(fabric identifier.FabricDomain) {
	id := identifier.Server(fmt.Sprintf("%s-%02d", fabric, len(f.engines)))
	e := &engine{
		id: id, fabric: fabric, domain: identifier.FailureDomain(strings.Replace(string(fabric), "f", "z", 1)),
		born: uint64(f.now.UnixMilli()) + uint64(len(f.engines)), alive: true, changed: true, ready: map[uint64]bool{},
	}
	f.engines[id] = e
	f.order = append(f.order, id)
	slices.Sort(f.order)
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		f.step()
	}
}

func (f *fleet) step() {
	for _, id := range f.order {
		f.live(f.engines[id])
	}
	f.announce()
	f.registry.ExpireServers(f.now)
	ended := f.outcomes
	f.outcomes = nil
	for _, o := range ended {
		f.grouper.HandleOutcome(f.now, o.order, o.outcome)
	}
	orders, notes := f.grouper.Step(f.now, View{
		Registry: &f.registry, Catalog: f.catalog, Evacuated: f.outs, Suspicions: f.doubts(), Demand: f.demand,
		ReportLag: f.reportLag,
	})
	for _, n := range notes {
		f.logf("%s %s %s", n.Message, n.Group.Model, strings.Join(names(n.Group.Members), ","))
	}
	for _, o := range orders {
		f.outcomes = append(f.outcomes, outcomeOf{o, f.deliver(o)})
		f.logOrder(o)
	}
}

func names(ids []identifier.Server) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

// verbose adds every order to the log; the scripts leave them out.
var verbose = flag.Bool("fleet.orders", false, "print every order of a fleet that broke a rule")

func (f *fleet) logOrder(o Order) {
	if *verbose {
		f.logf("order %s %s %s: %s (%s)", o.Action, o.Server, o.Group, f.outcomes[len(f.outcomes)-1].outcome, o.Reason)
	}
}

func (f *fleet) logf(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf("%6.2f ", f.now.Sub(f.start).Seconds())+fmt.Sprintf(format, args...))
}

// deliver carries an order to its engine, now, late or never.
func (f *fleet) deliver(o Order) Outcome {
	e := f.engines[o.Server]
	switch {
	case !e.alive && !e.gone:
		return OutcomeUnanswered
	case e.gone && !e.alive:
		return OutcomeAbsent
	case e.cut && e.resets:
		return OutcomeAbsent
	case e.cut:
		return OutcomeUnanswered
	case f.unanswered > 0:
		f.unanswered--
		e.late = append(e.late, lateOrder{f.now.Add(f.lateBy), o})
		return OutcomeUnanswered
	}
	return f.carry(e, o)
}

// carry is the engine's side of an order.
func (f *fleet) carry(e *engine, o Order) Outcome {
	m := &e.member
	same := m.Group == o.Group && m.Epoch == o.Epoch
	switch o.Action {
	case ActionProbe:
		return OutcomeDone
	case ActionStage:
		e.staging, e.stagedAt = o.Model, f.now.Add(f.loadTime(o.Model))
		f.loads = append(f.loads, f.now)
		return OutcomeAccepted
	case ActionJoin:
		return f.join(e, o)
	case ActionOpen:
		if !same || m.State != tracker.StateReady {
			return OutcomeUnfit
		}
		e.openAt = f.now.Add(openTime)
		return OutcomeAccepted
	case ActionClose:
		if !same {
			return OutcomeUnfit
		}
		if m.State == tracker.StateOpen || !e.openAt.IsZero() {
			m.State, e.openAt, e.changed = tracker.StateReady, time.Time{}, true
		}
		return OutcomeDone
	case ActionLeave:
		if !same {
			return OutcomeUnfit
		}
		*m, e.openAt, e.changed = tracker.Membership{}, time.Time{}, true
		return OutcomeDone
	}
	return OutcomeUnfit
}

func (f *fleet) model(name string) cataloger.Model {
	m, _ := f.catalog.Services[0].Engine.Model(name)
	return m
}

func (f *fleet) loadTime(name string) time.Duration { return f.model(name).LoadTime }

func (f *fleet) join(e *engine, o Order) Outcome {
	m := &e.member
	if o.Epoch < m.Epoch {
		return OutcomeFenced
	}
	if m.Group == o.Group && m.Epoch == o.Epoch {
		return OutcomeDone
	}
	f.checkTwo(e, o)
	took := f.model(o.Model).LoadTime
	switch {
	case e.last == o.Model:
		took = quickJoin
	case e.staged == o.Model:
		took = f.model(o.Model).WarmStartTime
	case e.staging == o.Model:
		took = max(e.stagedAt.Sub(f.now), 0) + f.model(o.Model).WarmStartTime
	default:
		f.loads = append(f.loads, f.now)
		e.staging, e.stagedAt = o.Model, f.now.Add(took)
	}
	*m = tracker.Membership{
		Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: tracker.StateJoining,
	}
	e.members, e.readyAt, e.openAt, e.changed = o.Members, f.now.Add(took), time.Time{}, true
	e.brokenSince = time.Time{}
	e.last = o.Model
	return OutcomeAccepted
}

// checkTwo checks that the head of an engine's group does not serve while the
// engine joins another one.
func (f *fleet) checkTwo(e *engine, o Order) {
	if e.member.Group == "" || len(e.members) == 0 {
		return
	}
	head := f.engines[e.members[0]]
	if head == e || !head.alive || head.member.Group != e.member.Group || head.member.Epoch != e.member.Epoch {
		return
	}
	if s := head.member.State; s == tracker.StateOpen || s == tracker.StateClosing {
		f.broken = append(f.broken, fmt.Sprintf("%s joined %s while the head %s of %s was %s",
			e.id, o.Group, head.id, e.member.Group, s))
	}
}

// live lets an engine's time pass.
func (f *fleet) live(e *engine) {
	if !e.alive {
		return
	}
	for len(e.late) > 0 && !f.now.Before(e.late[0].at) {
		o := e.late[0].order
		e.late = e.late[1:]
		f.carry(e, o)
	}
	if e.staging != "" && !f.now.Before(e.stagedAt) {
		e.staged, e.staging, e.changed = e.staging, "", true
	}
	m := &e.member
	if m.State == tracker.StateJoining && !f.now.Before(e.readyAt) {
		m.State, e.changed = tracker.StateReady, true
		e.ready[m.Epoch] = true
	}
	if !e.openAt.IsZero() && !f.now.Before(e.openAt) {
		m.State, e.openAt, e.changed = tracker.StateOpen, time.Time{}, true
		f.checkWhole(e)
	}
	f.breakDown(e)
}

// checkWhole checks that a group that opens has as many members as its model
// needs, and that every one was ready.
func (f *fleet) checkWhole(head *engine) {
	if want := f.model(head.last).GroupSize; len(head.members) != want {
		f.broken = append(f.broken, fmt.Sprintf("%s opened with %d members of %d", head.member.Group, len(head.members), want))
	}
	for _, id := range head.members {
		if !f.engines[id].ready[head.member.Epoch] {
			f.broken = append(f.broken, fmt.Sprintf("%s opened before %s was ready", head.member.Group, id))
		}
	}
}

// whole reports whether every member of an open group is there.
func (f *fleet) whole(head *engine) bool {
	for _, id := range head.members {
		e := f.engines[id]
		if !e.alive || e.member.Group != head.member.Group || e.member.Epoch != head.member.Epoch {
			return false
		}
	}
	return true
}

// breakDown makes a head with a lost member say so after a while.
func (f *fleet) breakDown(e *engine) {
	if e.member.State != tracker.StateOpen {
		return
	}
	if f.whole(e) {
		e.brokenSince = time.Time{}
		return
	}
	if e.brokenSince.IsZero() {
		e.brokenSince = f.now
	}
	if f.now.Sub(e.brokenSince) >= standStill {
		e.member.State, e.changed = tracker.StateBroken, true
	}
}

func (f *fleet) announce() {
	for _, id := range f.order {
		e := f.engines[id]
		if !e.alive || e.cut || e.gone || !e.changed && f.now.Sub(e.said) < beat {
			continue
		}
		e.changed, e.said = false, f.now
		e.sequence++
		s := tracker.Server{
			ID: e.id, Service: "llm", Address: string(e.id), Domain: e.domain, Fabric: e.fabric, Born: e.born,
			Sequence: e.sequence, Draining: e.leaving, Membership: e.member, HeardAt: f.now,
		}
		if e.staged != "" {
			s.Staged = []string{e.staged}
		}
		if e.last != "" {
			s.Models = []string{e.last}
		}
		f.registry.Apply(s)
	}
}

// doubts is what the fronts' requests show: each open head has some.
func (f *fleet) doubts() map[identifier.Server]Suspicion {
	out := map[identifier.Server]Suspicion{}
	for _, id := range f.order {
		e := f.engines[id]
		announced := f.registry.Get(id)
		if announced == nil || announced.Membership.State != tracker.StateOpen || announced.Membership.Rank != 0 {
			continue
		}
		quiet := f.now.Sub(f.lastAnswer(e))
		d := Suspicion{SinceLastAnswer: max(quiet, 0)}
		if quiet > 400*time.Millisecond {
			d.StalledRequests = 3
		}
		if !e.alive || e.far {
			d.FailedConnects = 3
		}
		out[id] = d
	}
	return out
}

// lastAnswer is when the fronts last had an event of a head.
func (f *fleet) lastAnswer(e *engine) time.Time {
	if e.alive && !e.far && e.member.State == tracker.StateOpen && f.whole(e) {
		e.answered = f.now
		if f.pass > 0 {
			// The end of the last pass of which the reports can know.
			e.answered = f.now.Add(-f.reportLag).Truncate(f.pass)
		}
	}
	return e.answered
}

// serving lists the open and whole groups by model.
func (f *fleet) serving() map[string]int {
	out := map[string]int{}
	for _, e := range f.engines {
		if e.alive && e.member.State == tracker.StateOpen && e.member.Rank == 0 && f.whole(e) {
			out[e.last]++
		}
	}
	return out
}
