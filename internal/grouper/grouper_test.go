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

// TestMain makes plain runs repeat: rapid draws a new seed otherwise.
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

// TestScripts runs the files under testdata/scripts. Commands change the fleet or let
// time pass; the output of "run" is what the Grouper decided meanwhile, that of
// "serving" the groups that serve.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var f *fleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fleet" {
				f = fleetOf(t, d)
				return ""
			}
			return f.command(t, d)
		})
		if f != nil && len(f.broken) > 0 {
			t.Errorf("broken: %s", strings.Join(f.broken, "; "))
		}
	})
}

// fleetOf makes a fleet from arguments like f1=9; models=big takes one model.
func fleetOf(t *testing.T, d *datadriven.TestData) *fleet {
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

func (f *fleet) command(t *testing.T, d *datadriven.TestData) string {
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
			f.unanswered = n
		case "traffic":
			f.demand = map[string]float64{"big": 1, "small": 1}
		case "out":
			f.outs[identifier.FailureDomain(a.Key)] = true
		case "back":
			delete(f.outs, identifier.FailureDomain(a.Key))
		case "add":
			f.add(identifier.FabricDomain(a.Key))
		default:
			for _, e := range f.find(a.Key) {
				f.disturb(t, d.Cmd, e)
			}
		}
	}
	switch d.Cmd {
	case "holder":
		f.term++
		f.grouper.BeginTerm(f.now, f.term, false, f.start)
	case "empty_holder":
		f.term++
		f.registry = tracker.Registry{SilenceTimeout: silence}
		f.grouper.BeginTerm(f.now, f.term, false, f.now)
	case "serving":
		s := f.serving()
		var parts []string
		for _, m := range slices.Sorted(maps.Keys(s)) {
			parts = append(parts, fmt.Sprintf("%s=%d", m, s[m]))
		}
		return strings.Join(parts, " ")
	}
	return strings.Join(f.log, "\n")
}

// find returns the engine of a name, "head" or "member" of the first group of a
// fabric domain as in head@f1, or all engines of one as in all@f1.
func (f *fleet) find(name string) []*engine {
	what, at, found := strings.Cut(name, "@")
	if !found {
		return []*engine{f.engines[identifier.Server(name)]}
	}
	var out []*engine
	for _, id := range f.order {
		e := f.engines[id]
		if string(e.fabric) != at {
			continue
		}
		inGroup := e.alive && f.engines[firstOf(e)] != nil && f.engines[firstOf(e)].member.State == tracker.StateOpen
		switch {
		case what == "all":
			out = append(out, e)
		case what == "head" && inGroup && e.member.Rank == 0 && len(out) == 0:
			out = append(out, e)
		case what == "member" && inGroup && e.member.Rank == 1 && len(out) == 0:
			out = append(out, e)
		}
	}
	return out
}

func firstOf(e *engine) identifier.Server {
	if len(e.members) == 0 || e.member.Group == "" {
		return ""
	}
	return e.members[0]
}

func (f *fleet) disturb(t failer, cmd string, e *engine) {
	switch cmd {
	case "kill":
		e.alive = false
	case "reboot":
		*e = engine{
			id: e.id, fabric: e.fabric, domain: e.domain, born: uint64(f.now.UnixMilli()), alive: true, changed: true,
			staged: e.staged, ready: e.ready,
		}
	case "cut":
		e.cut = true
	case "cut_far":
		e.cut, e.far = true, true
	case "cut_reset":
		e.cut, e.far, e.resets = true, true, true
	case "heal":
		e.cut, e.far, e.resets, e.changed = false, false, false, true
	case "drain":
		e.leaving, e.changed = true, true
	case "depart":
		e.gone = true
		f.registry.MarkGone(f.now, e.id, e.born)
	default:
		t.Fatalf("unknown command %s", cmd)
	}
}

// TestLongPassesAreNoStandstill replays a large model on a grown deployment: its
// groups read many long prompts between two events, and 79 fronts report with a
// lag. When such a group was closed, its requests made the passes of the others
// longer, which were closed in turn.
func TestLongPassesAreNoStandstill(t *testing.T) {
	f := newFleet(t, testModels[:1], map[identifier.FabricDomain]int{"f1": 9})
	e := f.catalog.Services[0].Engine
	e.PrefillChunk = 2048
	f.run(45 * time.Second)
	f.demand = map[string]float64{testModels[0].Name: 2}
	before := f.serving()[testModels[0].Name]
	f.pass, f.reportLag = e.MaxPassTime(testModels[0]), 230*time.Millisecond
	f.log = nil
	f.run(20 * time.Second)
	if len(f.log) > 0 || f.serving()[testModels[0].Name] != before {
		t.Errorf("groups were closed:\n%s", strings.Join(f.log, "\n"))
	}
	for _, member := range f.find("member@f1") {
		f.disturb(t, "kill", member)
	}
	f.run(f.pass + f.reportLag + 500*time.Millisecond)
	if len(f.log) == 0 {
		t.Error("a group that lost a member was not closed in time")
	}
}

// TestRulesHold disturbs a fleet at random. Whatever happens, no server joins a
// second group while the head of its first serves, no group opens without every
// member ready, and loads keep their rate; once the disturbances end, groups
// serve.
func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, testModels, map[identifier.FabricDomain]int{"f1": 9, "f2": 9})
		f.run(2 * time.Second)
		f.demand = map[string]float64{"big": 1, "small": 1}
		f.callersSince = f.now
		for range rapid.IntRange(5, 25).Draw(t, "disturbances") {
			f.drawDisturbance(t)
			f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
			f.checkBroken(t)
		}
		for _, id := range f.order {
			f.disturb(t, "heal", f.engines[id])
		}
		f.unanswered = 0
		clear(f.outs)
		f.run(90 * time.Second)
		f.checkBroken(t)
		f.checkLoads(t)
		f.checkUse(t)
	})
}

func (f *fleet) checkBroken(t *rapid.T) {
	if len(f.broken) == 0 {
		return
	}
	if *verbose {
		t.Log("\n" + strings.Join(f.log, "\n"))
	}
	t.Fatalf("broken: %s", strings.Join(f.broken, "; "))
}

func (f *fleet) drawDisturbance(t *rapid.T) {
	e := f.engines[rapid.SampledFrom(f.order).Draw(t, "server")]
	kind := rapid.SampledFrom([]string{
		"kill", "kill", "reboot", "cut", "cut_far", "cut_reset", "heal", "drain", "depart", "add",
		"zone_cut", "zone_reset", "zone_heal", "out", "back", "unanswered", "holder", "empty_holder",
	}).Draw(t, "kind")
	zone := f.find("all@" + string(e.fabric))
	switch kind {
	case "add":
		f.add(e.fabric)
	case "zone_cut", "zone_reset", "zone_heal":
		for _, z := range zone {
			f.disturb(t, map[string]string{"zone_cut": "cut_far", "zone_reset": "cut_reset", "zone_heal": "heal"}[kind], z)
		}
	case "out":
		f.outs[e.domain] = true
	case "back":
		delete(f.outs, e.domain)
	case "unanswered":
		f.unanswered = rapid.IntRange(1, 4).Draw(t, "orders")
		f.lateBy = time.Duration(rapid.IntRange(40, 240).Draw(t, "late")) * tick
	case "holder":
		f.term++
		f.grouper.BeginTerm(f.now, f.term, false, f.start)
	case "empty_holder":
		f.term++
		f.registry = tracker.Registry{SilenceTimeout: silence}
		f.grouper.BeginTerm(f.now, f.term, false, f.now)
	case "reboot":
		if !e.gone {
			f.disturb(t, kind, e)
		}
	default:
		f.disturb(t, kind, e)
	}
}

// checkLoads checks the rate of loads: the declared one, with the platform's
// allowance of a tenth and three. Loads that begin before the first request do
// not count, as the platform's protocol says.
func (f *fleet) checkLoads(t *rapid.T) {
	const rate, span, overshoot, slack = 4.5, 5.0, 1.1, 3
	f.loads = slices.DeleteFunc(f.loads, func(at time.Time) bool { return !at.After(f.callersSince) })
	for i, at := range f.loads {
		n := 0
		for _, o := range f.loads[i:] {
			if o.Sub(at) <= time.Duration(span*float64(time.Second)) {
				n++
			}
		}
		if float64(n) > rate*span*overshoot+slack {
			t.Fatalf("%d loads began within %g s", n, span)
		}
	}
}

// checkUse checks that a fabric domain whose servers could form a group does.
func (f *fleet) checkUse(t *rapid.T) {
	for _, fabric := range []string{"f1", "f2"} {
		staged := map[string]int{}
		for _, e := range f.find("all@" + fabric) {
			if e.alive && !e.gone && !e.leaving {
				staged[e.staged]++
			}
		}
		groups := 0
		for _, e := range f.find("all@" + fabric) {
			if e.alive && e.member.State == tracker.StateOpen && e.member.Rank == 0 && f.whole(e) {
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
