package placer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// measure runs the measurements, which print figures.
var measure = flag.Bool("measure", false, "run the measurements on simulated time")

// only picks the disturbances whose names contain it.
var only = flag.String("disturbance", "", "measure only the disturbances whose names contain this")

// siteWant is the size of one failure domain of either user: 17 groups of 4
// VMs.
var siteWant = ServiceSpec{
	Service: "chat", Model: "m", Version: "1", Replicas: 17, VMsPerReplica: 4, AcceleratorsPerVM: 8, Concurrency: 64, ColdConcurrency: 8,
}

// plainPolicy rebuilds a group from any free VMs at once, and remembers
// nothing of VMs that come and go.
func plainPolicy() Policy {
	return Policy{
		MaxOrderLifetime: 10 * time.Second, PartialLossGrace: time.Nanosecond, TotalLossGrace: time.Nanosecond,
		FlapHoldDown: time.Nanosecond, MaxFlapHoldDown: time.Nanosecond, MaxLoadingVMs: 1 << 20,
	}
}

// newSite returns a fleet with six fabric domains of 12 VMs, of which every
// second one has a thirteenth.
func newSite(p Policy, honours bool, seed uint64) *fleet {
	f := newFleet(rand.New(rand.NewPCG(seed, 1)).IntN)
	if p.MaxOrderLifetime != 0 {
		f.placer.Policy = p
		f.placer.Policy.FillDefaults()
	}
	f.load = time.Minute
	f.store = 16
	for i := range 6 {
		fabric := identifier.FabricDomain(fmt.Sprint("f", i))
		f.add(fabric, 12+i%2, func(int) bool { return honours })
	}
	f.placer.SetServices([]ServiceSpec{siteWant})
	f.run(10 * time.Minute)
	return f
}

// outcome adds up what a disturbance cost.
type outcome struct {
	accelSeconds float64
	// perFailure lists the group-seconds of each repetition.
	perFailure []float64
	joins      int
}

// costs runs the fleet and adds up the seconds in which declared groups did
// not serve and in which accelerators of live VMs worked in no group beyond
// the spares.
func (f *fleet) costs(d time.Duration, want int) (groups, accels float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		groups += float64(max(want-f.reallyServing(), 0)) * fleetStep.Seconds()
		accels += float64(f.idleAccelerators()) * fleetStep.Seconds()
	}
	return groups, accels
}

// reallyServing counts serving groups whose members are all alive.
func (f *fleet) reallyServing() int {
	n := 0
	if f.placer.IsInitialized() {
		f.shown = f.placer.Groups()
	}
	for _, g := range f.shown {
		dead := slices.ContainsFunc(g.Members, func(vm identifier.VM) bool { return f.engines[vm].silent() })
		if g.State == GroupServing && !dead {
			n++
		}
	}
	return n
}

func (f *fleet) idleAccelerators() uint32 {
	working := map[identifier.VM]bool{}
	for _, g := range f.placer.Groups() {
		for _, vm := range g.Members {
			working[vm] = working[vm] || g.State == GroupServing
		}
	}
	idle := uint32(0)
	for vm, e := range f.engines {
		if !e.silent() && !working[vm] {
			idle += e.s.Accelerators
		}
	}
	return idle
}

// disturbances are the cases that are measured. Each gets a fleet that serves
// whole and a random engine of a serving group.
var disturbances = []struct {
	name string
	run  func(f *fleet, victims []identifier.VM)
}{
	{"one member lost", func(f *fleet, v []identifier.VM) { f.engines[v[0]].dead = true }},
	{"member of the repair lost", func(f *fleet, v []identifier.VM) {
		f.engines[v[0]].dead = true
		f.later(80*time.Second, func() { f.engines[f.newest()].dead = true })
	}},
	{"member pauses 4 s", func(f *fleet, v []identifier.VM) {
		f.engines[v[0]].paused = true
		f.later(4*time.Second, func() { f.engines[v[0]].paused = false })
	}},
	{"member flaps 6 times", func(f *fleet, v []identifier.VM) {
		for i := range 6 {
			f.later(time.Duration(i)*40*time.Second, func() { f.engines[v[0]].paused = true })
			f.later(time.Duration(i)*40*time.Second+10*time.Second, func() { f.engines[v[0]].paused = false })
		}
	}},
	{"fabric dark 5 minutes", func(f *fleet, v []identifier.VM) {
		fabric := f.engines[v[0]].s.FabricDomain
		f.setDark(fabric, true)
		f.later(5*time.Minute, func() { f.setDark(fabric, false) })
	}},
	{"leader lost with a member", func(f *fleet, v []identifier.VM) {
		f.engines[v[0]].dead = true
		f.takeOver()
	}},
	{"all VMs restart at once", func(f *fleet, _ []identifier.VM) {
		for _, vm := range f.vms() {
			f.restart(f.engines[vm])
		}
	}},
	{"rolling restart", func(f *fleet, _ []identifier.VM) {
		for i, vm := range f.vms() {
			f.later(time.Duration(i)*15*time.Second, func() { f.restart(f.engines[vm]) })
		}
	}},
}

// TestMeasureDisturbances compares the policy with the plain one.
func TestMeasureDisturbances(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	const repeats = 3
	for _, honours := range []bool{true, false} {
		for _, d := range disturbances {
			if !strings.Contains(d.name, *only) {
				continue
			}
			for _, plain := range []bool{true, false} {
				var o outcome
				for seed := range uint64(repeats) {
					o.measure(t, seed, d.run, honours, plain)
				}
				slices.Sort(o.perFailure)
				fmt.Printf("fenced %-5t plain %-5t %-26s group-seconds lost median %6.0f most %6.0f  accelerator-seconds idle %8.0f  joins %5.1f\n",
					honours, plain, d.name, o.perFailure[repeats/2], o.perFailure[repeats-1],
					o.accelSeconds/repeats, float64(o.joins)/repeats)
			}
		}
	}
}

// measure adds one disturbance of one fleet.
func (o *outcome) measure(t *testing.T, seed uint64, disturb func(*fleet, []identifier.VM), honours, plain bool) {
	t.Helper()
	var policy Policy
	if plain {
		policy = plainPolicy()
	}
	f := newSite(policy, honours, seed)
	joins := f.joins
	disturb(f, f.victims(seed))
	g, a := f.costs(20*time.Minute, siteWant.Replicas)
	o.accelSeconds += a
	o.joins += f.joins - joins
	o.perFailure = append(o.perFailure, g)
	if len(f.faults) > 0 {
		t.Fatal(f.faults)
	}
}

// newest returns a member of the group that was formed last.
func (f *fleet) newest() identifier.VM {
	var last GroupInfo
	for _, g := range f.placer.Groups() {
		if g.FencingToken > last.FencingToken {
			last = g
		}
	}
	return last.Members[0]
}

// victims returns two engines of one serving group.
func (f *fleet) victims(seed uint64) []identifier.VM {
	groups := f.placer.Groups()
	return groups[seed%uint64(len(groups))].Members[:2]
}

// BenchmarkStep measures one decision over all groups of a failure domain.
func BenchmarkStep(b *testing.B) {
	for _, groups := range []int{17, 84, 168, 840} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			f := newFleet(rand.New(rand.NewPCG(1, 1)).IntN)
			for i := range (groups + 9) / 10 {
				f.add(identifier.FabricDomain(fmt.Sprint("f", i)), 42, func(int) bool { return true })
			}
			f.placer.Policy.MaxLoadingVMs = 1 << 20
			w := siteWant
			w.Replicas = groups
			f.placer.SetServices([]ServiceSpec{w})
			f.run(2 * time.Minute)
			if f.serving(w.Service) != groups {
				b.Fatalf("%d of %d groups serve", f.serving(w.Service), groups)
			}
			for b.Loop() {
				f.now = f.now.Add(fleetStep)
				f.placer.Step(f.now)
			}
		})
	}
}
