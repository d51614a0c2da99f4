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

// twoServices declares three groups of three VMs and one group of two VMs.
func twoServices() []ServiceSpec {
	return []ServiceSpec{
		{Service: "chat", Model: "m", Version: "1", Replicas: 3, VMsPerReplica: 3, Priority: 1, Concurrency: 8, ColdConcurrency: 2},
		{Service: "gold", Model: "g", Version: "1", Replicas: 1, VMsPerReplica: 2, Priority: 9, Concurrency: 8, ColdConcurrency: 2},
	}
}

// TestFleet applies random disturbances and network faults to a fleet. It checks
// the invariants after every step and requires that all declared groups serve
// again after the disturbances have ended.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := newFleet(random.IntN)
		f.faultPercent = 20
		f.addEngines("x", 8, func(i int) bool { return i%2 == 0 })
		f.addEngines("y", 7, func(i int) bool { return i%3 == 0 })
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
			"dark":    func(t *rapid.T) { f.setUnreachable("x", rapid.Bool().Draw(t, "dark")) },
			"leader":  func(*rapid.T) { f.replaceAuthority() },
			"upgrade": func(t *rapid.T) { f.setChatVersion(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")) },
			"wait":    func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second) },
			"": func(t *rapid.T) {
				f.step()
				if len(f.violations) > 0 {
					t.Fatal(strings.Join(f.violations, "\n"))
				}
			},
		})
		f.endDisturbances()
		if f.servingCount("chat") != 3 || f.servingCount("gold") != 1 || len(f.violations) > 0 {
			t.Fatalf("after the disturbances chat has %d of 3 groups and gold %d of 1\n%s\n%v",
				f.servingCount("chat"), f.servingCount("gold"), f.describe(), f.violations)
		}
	})
}

// TestLoadingVMsAreLimited forms all groups of a new fleet, in which no VM has any
// weights. It requires that no more VMs load at the same time than the policy
// allows, that the service with the higher priority serves first, and that all
// declared groups serve in the end.
func TestLoadingVMsAreLimited(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)).IntN)
	f.placer.Policy.MaxLoadingVMs = 4
	f.addEngines("x", 14, func(int) bool { return true })
	f.placer.SetServices(twoServices())
	maxLoading, firstGold, firstChat := 0, time.Time{}, time.Time{}
	for range 1500 {
		f.step()
		loading := 0
		for _, e := range f.engines {
			loading += boolToInt(e.server.State == EngineLoading)
		}
		maxLoading = max(maxLoading, loading)
		if firstGold.IsZero() && f.servingCount("gold") > 0 {
			firstGold = f.now
		}
		if firstChat.IsZero() && f.servingCount("chat") > 0 {
			firstChat = f.now
		}
	}
	if maxLoading > 4 {
		t.Errorf("%d VMs loaded at once, more than 4", maxLoading)
	}
	if f.servingCount("chat") != 3 || f.servingCount("gold") != 1 || firstChat.Before(firstGold) {
		t.Errorf("gold serves from %v, chat from %v\n%s", firstGold, firstChat, f.describe())
	}
}

func (f *fleet) setUnreachable(fabric identifier.FabricDomain, unreachable bool) {
	for _, e := range f.engines {
		if e.server.FabricDomain == fabric {
			e.unreachable = unreachable
		}
	}
}

func (f *fleet) setChatVersion(version string) {
	specs := twoServices()
	specs[0].Version = version
	f.placer.SetServices(specs)
}

// endDisturbances ends all disturbances and network faults, restarts dead engines
// and waits until the hold-downs have expired.
func (f *fleet) endDisturbances() {
	f.faultPercent = 0
	for _, e := range f.engines {
		e.unreachable, e.paused = false, false
		if e.dead {
			f.restart(e)
		}
	}
	f.run(15 * time.Minute)
}

// describe lists the groups and the stranded VMs.
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

// TestScenarios runs the scripts in testdata and compares the groups and stranded
// VMs after each command.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFleet(rand.New(rand.NewPCG(1, 1)).IntN)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			f.runCommand(t, d)
			return f.describe() + strings.Join(f.violations, "\n")
		})
	})
}

func (f *fleet) runCommand(t *testing.T, d *datadriven.TestData) {
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
		f.addEngines(identifier.FabricDomain(arg(0)), number(1), func(int) bool { return arg(2) == "fenced" })
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
		f.setUnreachable(identifier.FabricDomain(arg(0)), true)
	case "light":
		f.setUnreachable(identifier.FabricDomain(arg(0)), false)
	case "new_authority":
		f.replaceAuthority()
	case "running":
		f.runningRequests[identifier.Group(arg(0))] = uint32(number(1))
	case "drain":
		f.placer.SetDrainedVMs(map[identifier.VM]bool{identifier.VM(arg(0)): true})
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}

// TestLimitsFollowAnnouncedConcurrency announces and declares different limits. It
// requires that the lower of the two applies, also to the cold limit, and that the
// limits follow a change of either.
func TestLimitsFollowAnnouncedConcurrency(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)).IntN)
	f.addEngines("x", 2, func(int) bool { return true })
	spec := ServiceSpec{Service: "chat", Model: "m", Version: "1", Replicas: 1, VMsPerReplica: 2, Concurrency: 8, ColdConcurrency: 4}
	f.placer.SetServices([]ServiceSpec{spec})
	for _, c := range []struct{ announced, declared, warm, cold uint32 }{
		{0, 8, 8, 4}, {20, 8, 8, 4}, {3, 8, 3, 3}, {20, 16, 16, 4},
	} {
		for _, e := range f.engines {
			e.server.Concurrency = c.announced
		}
		spec.Concurrency = c.declared
		f.placer.SetServices([]ServiceSpec{spec})
		f.run(time.Minute)
		groups := f.placer.Groups()
		if len(groups) != 1 || groups[0].Concurrency != c.warm || groups[0].ColdConcurrency != c.cold {
			t.Errorf("announced %d, declared %d: groups are %+v, want limits %d and %d", c.announced, c.declared, groups, c.warm, c.cold)
		}
	}
}
