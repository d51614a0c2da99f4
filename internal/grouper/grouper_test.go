package grouper

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// TestMain sets a fixed seed unless one is given, so that runs are reproducible.
// Otherwise rapid draws a new seed for each run.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var testModels = []cataloger.Model{
	{Name: "big", GroupSize: 4, TimeFactor: 1, DeclaredShare: 0.5, LoadTime: 16 * time.Second, WarmStartTime: 1600 * time.Millisecond},
	{Name: "small", GroupSize: 3, TimeFactor: 0.6, DeclaredShare: 0.5, LoadTime: 12 * time.Second, WarmStartTime: 1100 * time.Millisecond},
}

// TestScripts runs the files under testdata/scripts. Their commands change the
// fleet or advance the simulated time. The output of "run" is the decisions of the
// Grouper meanwhile, with their time since the start in seconds; that of "serving"
// is the number of serving groups by model.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var f *fleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fleet" {
				f = parseFleet(t, d)
				return ""
			}
			return f.runCommand(t, d)
		})
		if f != nil && len(f.violations) > 0 {
			t.Errorf("rules broken: %s", strings.Join(f.violations, "; "))
		}
	})
}

// parseFleet makes a fleet from arguments: f1=9 adds 9 engines to fabric domain f1,
// and models=big leaves out all other models.
func parseFleet(t *testing.T, d *datadriven.TestData) *fleet {
	models := testModels
	counts := map[identifier.FabricDomain]int{}
	for _, a := range d.CmdArgs {
		if a.Key == "models" {
			models = slices.DeleteFunc(slices.Clone(testModels), func(m cataloger.Model) bool { return m.Name != a.Vals[0] })
			continue
		}
		n, err := strconv.Atoi(a.Vals[0])
		if err != nil {
			t.Fatal(err)
		}
		counts[identifier.FabricDomain(a.Key)] = n
	}
	return newFleet(t, models, counts)
}

func (f *fleet) runCommand(t *testing.T, d *datadriven.TestData) string {
	f.log = nil
	for _, a := range d.CmdArgs {
		switch d.Cmd {
		case "run":
			span, err := time.ParseDuration(a.Key)
			if err != nil {
				t.Fatal(err)
			}
			f.run(span)
		case "unanswered":
			n, err := strconv.Atoi(a.Key)
			if err != nil {
				t.Fatal(err)
			}
			f.unansweredOrders = n
		case "traffic":
			f.demand = map[string]float64{"big": 1, "small": 1}
		case "out":
			f.evacuated[identifier.FailureDomain(a.Key)] = true
		case "back":
			delete(f.evacuated, identifier.FailureDomain(a.Key))
		case "add":
			f.addEngine(identifier.FabricDomain(a.Key))
		default:
			for _, e := range f.findEngines(a.Key) {
				f.disturb(t, d.Cmd, e)
			}
		}
	}
	switch d.Cmd {
	case "holder":
		f.term++
		f.grouper.BeginTerm(f.now, f.term, false, f.startedAt)
	case "empty_holder":
		f.term++
		f.registry = tracker.Registry{SilenceTimeout: silenceTimeout}
		f.grouper.BeginTerm(f.now, f.term, false, f.now)
	case "serving":
		s := f.servingGroups()
		var parts []string
		for _, m := range slices.Sorted(maps.Keys(s)) {
			parts = append(parts, fmt.Sprintf("%s=%d", m, s[m]))
		}
		return strings.Join(parts, " ")
	}
	return strings.Join(f.log, "\n")
}

// findEngines returns the engines that a name stands for: an id stands for that
// engine, head@f1 and member@f1 for the head and the next member of the first open
// group in fabric domain f1, and all@f1 for all engines there.
func (f *fleet) findEngines(name string) []*engine {
	what, at, found := strings.Cut(name, "@")
	if !found {
		return []*engine{f.engines[identifier.Server(name)]}
	}
	var out []*engine
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if string(e.fabric) != at {
			continue
		}
		inGroup := e.alive && f.engines[headOf(e)] != nil && f.engines[headOf(e)].membership.State == tracker.StateOpen
		switch {
		case what == "all":
			out = append(out, e)
		case what == "head" && inGroup && e.membership.Rank == 0 && len(out) == 0:
			out = append(out, e)
		case what == "member" && inGroup && e.membership.Rank == 1 && len(out) == 0:
			out = append(out, e)
		}
	}
	return out
}

func headOf(e *engine) identifier.Server {
	if len(e.members) == 0 || e.membership.Group == "" {
		return ""
	}
	return e.members[0]
}

func (f *fleet) disturb(t testFailer, cmd string, e *engine) {
	switch cmd {
	case "kill":
		e.alive = false
	case "reboot":
		*e = engine{
			id: e.id, fabric: e.fabric, domain: e.domain, incarnation: uint64(f.now.UnixMilli()), alive: true, changed: true,
			staged: e.staged, readyEpochs: e.readyEpochs,
		}
	case "cut":
		e.cutFromCore = true
	case "cut_far":
		e.cutFromCore, e.cutFromFronts = true, true
	case "cut_reset":
		e.cutFromCore, e.cutFromFronts, e.resetsConnections = true, true, true
	case "heal":
		e.cutFromCore, e.cutFromFronts, e.resetsConnections, e.changed = false, false, false, true
	case "drain":
		e.draining, e.changed = true, true
	case "depart":
		e.gone = true
		f.registry.MarkGone(f.now, e.id, e.incarnation)
	default:
		t.Fatalf("unknown command %s", cmd)
	}
}

// TestLongPassesDoNotCountAsStalled guards against closing healthy groups whose
// events are far apart, as happened with a large model on a large deployment: its
// groups read many long prompts between two events, and the reports of 79 front
// processes lag. The requests of a closed group made the passes of the other groups
// longer, which were then closed in turn.
func TestLongPassesDoNotCountAsStalled(t *testing.T) {
	f := newFleet(t, testModels[:1], map[identifier.FabricDomain]int{"f1": 9})
	e := f.catalog.Services[0].Engine
	e.PrefillChunk = 2048
	f.run(45 * time.Second)
	f.demand = map[string]float64{testModels[0].Name: 2}
	before := f.servingGroups()[testModels[0].Name]
	f.passTime, f.reportLag = e.MaxPassTime(testModels[0]), 230*time.Millisecond
	f.log = nil
	f.run(20 * time.Second)
	if len(f.log) > 0 || f.servingGroups()[testModels[0].Name] != before {
		t.Errorf("groups were closed:\n%s", strings.Join(f.log, "\n"))
	}
	for _, member := range f.findEngines("member@f1") {
		f.disturb(t, "kill", member)
	}
	f.run(f.passTime + f.reportLag + 500*time.Millisecond)
	if len(f.log) == 0 {
		t.Error("a group that lost a member was not closed in time")
	}
}

// TestRulesHold applies random disturbances to a fleet. Whatever happens, no server
// joins a second group while the head of its first serves, no group opens before
// every member is ready, no request of a group at work is cut off, and loads stay within
// their rate. Once the disturbances end, groups serve.
func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, testModels, map[identifier.FabricDomain]int{"f1": 9, "f2": 9})
		f.run(2 * time.Second)
		f.demand = map[string]float64{"big": 1, "small": 1}
		f.firstRequestAt = f.now
		f.answerTime = time.Duration(rapid.IntRange(0, 200).Draw(t, "answer")) * tick
		for range rapid.IntRange(5, 25).Draw(t, "disturbances") {
			f.drawDisturbance(t)
			f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
			f.failOnViolations(t)
		}
		for _, id := range f.engineIDs {
			f.disturb(t, "heal", f.engines[id])
		}
		f.unansweredOrders = 0
		clear(f.evacuated)
		f.run(90 * time.Second)
		f.failOnViolations(t)
		f.checkLoadRate(t)
		f.checkServersUsed(t)
	})
}

func (f *fleet) failOnViolations(t *rapid.T) {
	broken := slices.Concat(f.violations, f.cutsAtWork)
	if len(broken) == 0 {
		return
	}
	if *printOrders {
		t.Log("\n" + strings.Join(f.log, "\n"))
	}
	t.Fatalf("rules broken: %s", strings.Join(broken, "; "))
}

func (f *fleet) drawDisturbance(t *rapid.T) {
	e := f.engines[rapid.SampledFrom(f.engineIDs).Draw(t, "server")]
	kind := rapid.SampledFrom([]string{
		"kill", "kill", "reboot", "cut", "cut_far", "cut_reset", "heal", "drain", "depart", "add",
		"zone_cut", "zone_reset", "zone_heal", "out", "back", "unanswered", "holder", "empty_holder",
		"pause", "freeze",
	}).Draw(t, "kind")
	zone := f.findEngines("all@" + string(e.fabric))
	switch kind {
	case "add":
		f.addEngine(e.fabric)
	case "zone_cut", "zone_reset", "zone_heal":
		for _, z := range zone {
			f.disturb(t, map[string]string{"zone_cut": "cut_far", "zone_reset": "cut_reset", "zone_heal": "heal"}[kind], z)
		}
	case "out":
		f.evacuated[e.domain] = true
	case "back":
		delete(f.evacuated, e.domain)
	case "pause":
		e.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(6, 24).Draw(t, "pause")) * tick)
	case "freeze":
		f.frozenUntil = f.now.Add(time.Duration(rapid.IntRange(4, 100).Draw(t, "freeze")) * tick)
	case "unanswered":
		f.unansweredOrders = rapid.IntRange(1, 4).Draw(t, "orders")
		f.lateOrderDelay = time.Duration(rapid.IntRange(40, 240).Draw(t, "late")) * tick
	case "holder":
		f.term++
		f.grouper.BeginTerm(f.now, f.term, false, f.startedAt)
	case "empty_holder":
		f.term++
		f.registry = tracker.Registry{SilenceTimeout: silenceTimeout}
		f.grouper.BeginTerm(f.now, f.term, false, f.now)
	case "reboot":
		if !e.gone {
			f.disturb(t, kind, e)
		}
	default:
		f.disturb(t, kind, e)
	}
}

// checkLoadRate checks that loads stay within the declared rate plus a tenth of it
// and three loads, which the platform tolerates. Loads that begin before the first
// request do not count, as the platform's protocol states.
func (f *fleet) checkLoadRate(t *rapid.T) {
	const rate, span, overshoot, slack = 4.5, 5.0, 1.1, 3
	f.loadStarts = slices.DeleteFunc(f.loadStarts, func(at time.Time) bool { return !at.After(f.firstRequestAt) })
	for i, at := range f.loadStarts {
		n := 0
		for _, o := range f.loadStarts[i:] {
			if o.Sub(at) <= time.Duration(span*float64(time.Second)) {
				n++
			}
		}
		if float64(n) > rate*span*overshoot+slack {
			t.Fatalf("%d loads began within %g s", n, span)
		}
	}
}

// checkServersUsed checks that a fabric domain has a group if enough of its servers
// have the weights of the same model.
func (f *fleet) checkServersUsed(t *rapid.T) {
	for _, fabric := range []string{"f1", "f2"} {
		staged := map[string]int{}
		for _, e := range f.findEngines("all@" + fabric) {
			if e.alive && !e.gone && !e.draining {
				staged[e.staged]++
			}
		}
		groups := 0
		for _, e := range f.findEngines("all@" + fabric) {
			if e.alive && e.membership.State == tracker.StateOpen && e.membership.Rank == 0 && f.isComplete(e) {
				groups++
			}
		}
		for _, m := range testModels {
			if staged[m.Name] >= m.GroupSize && groups == 0 {
				t.Fatalf("%s: %d servers have %s, but no group serves", fabric, staged[m.Name], m.Name)
			}
		}
	}
}
