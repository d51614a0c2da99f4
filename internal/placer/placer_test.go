package placer

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/seeder"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

// twoServices wants three groups of three and one group of two.
func twoServices() []ServiceSpec {
	return []ServiceSpec{
		{Service: "chat", Model: "m", Version: "1", Replicas: 3, VMsPerReplica: 3, Priority: 1, Concurrency: 8, ColdConcurrency: 2},
		{Service: "gold", Model: "g", Version: "1", Replicas: 1, VMsPerReplica: 2, Priority: 9, Concurrency: 8, ColdConcurrency: 2},
	}
}

// TestFleet disturbs a fleet at random, checks the engines at every step, and
// requires that everything serves again once the disturbances end.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := newFleet(random.IntN)
		f.chaos = 20
		f.add("x", 8, func(i int) bool { return i%2 == 0 })
		f.add("y", 7, func(i int) bool { return i%3 == 0 })
		f.placer.SetServices(twoServices())
		f.run(70 * time.Second)
		pick := func(t *rapid.T) *fakeEngine {
			return f.engines[rapid.SampledFrom(f.vms()).Draw(t, "vm")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"die":     func(t *rapid.T) { pick(t).dead = true },
			"pause":   func(t *rapid.T) { pick(t).paused = true },
			"resume":  func(t *rapid.T) { pick(t).paused = false },
			"restart": func(t *rapid.T) { f.restart(pick(t)) },
			"dark":    func(t *rapid.T) { f.setDark("x", rapid.Bool().Draw(t, "dark")) },
			"leader":  func(*rapid.T) { f.takeOver() },
			"upgrade": func(t *rapid.T) { f.upgrade(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")) },
			"wait":    func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second) },
			"": func(t *rapid.T) {
				f.step()
				if len(f.faults) > 0 {
					t.Fatal(strings.Join(f.faults, "\n"))
				}
			},
		})
		f.settle()
		if f.serving("chat") != 3 || f.serving("gold") != 1 || len(f.faults) > 0 {
			t.Fatalf("after the disturbances chat has %d of 3 groups and gold %d of 1\n%s\n%v",
				f.serving("chat"), f.serving("gold"), f.describe(), f.faults)
		}
	})
}

// TestLoadingIsBounded restarts every VM at once. No more VMs load than the
// policy allows, the service with the higher priority is served first, and in
// the end everything serves.
func TestLoadingIsBounded(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)).IntN)
	f.placer.Policy.MaxLoadingVMs = 4
	f.add("x", 14, func(int) bool { return true })
	f.placer.SetServices(twoServices())
	most, firstGold, firstChat := 0, time.Time{}, time.Time{}
	for range 1500 {
		f.step()
		loading := 0
		for _, e := range f.engines {
			loading += boolRank(e.s.State == EngineLoading)
		}
		most = max(most, loading)
		if firstGold.IsZero() && f.serving("gold") > 0 {
			firstGold = f.now
		}
		if firstChat.IsZero() && f.serving("chat") > 0 {
			firstChat = f.now
		}
	}
	if most > 4 {
		t.Errorf("%d VMs loaded at once, more than 4", most)
	}
	if f.serving("chat") != 3 || f.serving("gold") != 1 || firstChat.Before(firstGold) {
		t.Errorf("gold serves from %v, chat from %v\n%s", firstGold, firstChat, f.describe())
	}
}

func (f *fleet) setDark(fabric identifier.FabricDomain, dark bool) {
	for _, e := range f.engines {
		if e.s.FabricDomain == fabric {
			e.dark = dark
		}
	}
}

func (f *fleet) upgrade(version string) {
	wants := twoServices()
	wants[0].Version = version
	f.placer.SetServices(wants)
}

// settle ends all disturbances and waits until holds have run out.
func (f *fleet) settle() {
	f.chaos = 0
	for _, e := range f.engines {
		e.dark, e.paused = false, false
		if e.dead {
			f.restart(e)
		}
	}
	f.run(15 * time.Minute)
}

// describe tells where every group and idle VM is.
func (f *fleet) describe() string {
	var b strings.Builder
	for _, g := range f.placer.Groups() {
		fmt.Fprintf(&b, "%s %s %v %s\n", g.ID, g.State, g.Members, g.Reason)
	}
	for _, s := range f.placer.StrandedVMs(f.now) {
		fmt.Fprintf(&b, "stranded %s: %s\n", s.VM, s.Reason)
	}
	return b.String()
}

// TestScenarios runs the scripts under testdata.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFleet(rand.New(rand.NewPCG(1, 1)).IntN)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			f.command(t, d)
			return f.describe() + strings.Join(f.faults, "\n")
		})
	})
}

func (f *fleet) command(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	arg := func(i int) string { return d.CmdArgs[i].Key }
	number := func(i int) int {
		n, err := strconv.Atoi(arg(i))
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	switch d.Cmd {
	case "engines":
		f.add(identifier.FabricDomain(arg(0)), number(1), func(int) bool { return arg(2) == "fenced" })
	case "want":
		f.placer.SetServices([]ServiceSpec{{Service: "chat", Model: "m", Version: arg(0), Replicas: number(1), VMsPerReplica: number(2)}})
	case "seconds":
		f.run(time.Duration(number(0)) * time.Second)
	case "die":
		f.engines[identifier.VM(arg(0))].dead = true
	case "pause":
		f.engines[identifier.VM(arg(0))].paused = true
	case "resume":
		f.engines[identifier.VM(arg(0))].paused = false
	case "restart":
		f.restart(f.engines[identifier.VM(arg(0))])
	case "dark":
		f.setDark(identifier.FabricDomain(arg(0)), true)
	case "light":
		f.setDark(identifier.FabricDomain(arg(0)), false)
	case "new_authority":
		f.takeOver()
	case "running":
		f.loads[identifier.Group(arg(0))] = uint32(number(1))
	case "drain":
		f.placer.SetDrainedVMs(map[identifier.VM]bool{identifier.VM(arg(0)): true})
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}

// TestLimitsFollowTheAnnounced lets an engine announce that it bears less than
// declared. The lower number counts, also for the cold limit, and a change of
// either is followed.
func TestLimitsFollowTheAnnounced(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)).IntN)
	f.add("x", 2, func(int) bool { return true })
	want := ServiceSpec{Service: "chat", Model: "m", Version: "1", Replicas: 1, VMsPerReplica: 2, Concurrency: 8, ColdConcurrency: 4}
	f.placer.SetServices([]ServiceSpec{want})
	for _, c := range []struct{ announced, declared, warm, cold uint32 }{
		{0, 8, 8, 4}, {20, 8, 8, 4}, {3, 8, 3, 3}, {20, 16, 16, 4},
	} {
		for _, e := range f.engines {
			e.s.Concurrency = c.announced
		}
		want.Concurrency = c.declared
		f.placer.SetServices([]ServiceSpec{want})
		f.run(time.Minute)
		groups := f.placer.Groups()
		if len(groups) != 1 || groups[0].Concurrency != c.warm || groups[0].ColdConcurrency != c.cold {
			t.Errorf("announced %d, declared %d: groups are %+v, want limits %d and %d", c.announced, c.declared, groups, c.warm, c.cold)
		}
	}
}
