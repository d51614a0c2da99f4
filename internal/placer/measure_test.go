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

// measure enables the measurements, which print their results.
var measure = flag.Bool("measure", false, "run the measurements on simulated time")

// disturbanceFilter restricts the measurement to the disturbances whose names
// contain it.
var disturbanceFilter = flag.String("disturbance", "", "measure only the disturbances whose names contain this")

// siteService has the size of one failure domain at each of the two users of the
// project: 17 groups of 4 VMs.
var siteService = ServiceSpec{
	Service: "chat", Model: "m", Version: "1", Replicas: 17, VMsPerReplica: 4, AcceleratorsPerVM: 8, Concurrency: 64, ColdConcurrency: 8,
}

// baselinePolicy releases a group as soon as a member is lost, has no hold-down
// for VMs that keep being lost, and does not limit the number of loading VMs.
func baselinePolicy() Policy {
	return Policy{
		MaxOrderLifetime: 10 * time.Second, PartialLossGrace: time.Nanosecond, TotalLossGrace: time.Nanosecond,
		FlapHoldDown: time.Nanosecond, MaxFlapHoldDown: time.Nanosecond, MaxLoadingVMs: 1 << 20,
	}
}

// newSiteFleet returns a fleet of six fabric domains, half with 12 and half with
// 13 VMs, after it has run for 10 minutes to form its groups.
func newSiteFleet(p Policy, honoursFencing bool, seed uint64) *fleet {
	f := newFleet(rand.New(rand.NewPCG(seed, 1)).IntN)
	if p.MaxOrderLifetime != 0 {
		f.placer.Policy = p
		f.placer.Policy.FillDefaults()
	}
	f.loadTime = time.Minute
	f.fullSpeedLoads = 16
	for i := range 6 {
		fabric := identifier.FabricDomain(fmt.Sprint("f", i))
		f.addEngines(fabric, 12+i%2, func(int) bool { return honoursFencing })
	}
	f.placer.SetServices([]ServiceSpec{siteService})
	f.run(10 * time.Minute)
	return f
}

// disturbanceCost sums up the costs of all repetitions of a disturbance.
type disturbanceCost struct {
	idleAcceleratorSeconds float64
	// groupSeconds lists the lost group-seconds of each repetition.
	groupSeconds []float64
	joinCount    int
}

// measureCosts runs the fleet and sums up the seconds in which declared groups did
// not serve, and those in which accelerators of live VMs were in no serving group.
// The latter include the accelerators of spare VMs.
func (f *fleet) measureCosts(d time.Duration, declared int) (groupSeconds, acceleratorSeconds float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		groupSeconds += float64(max(declared-f.servingWithLiveMembers(), 0)) * fleetStep.Seconds()
		acceleratorSeconds += float64(f.idleAccelerators()) * fleetStep.Seconds()
	}
	return groupSeconds, acceleratorSeconds
}

// servingWithLiveMembers returns the number of published serving groups in which
// no member is silent.
func (f *fleet) servingWithLiveMembers() int {
	n := 0
	if f.placer.IsInitialized() {
		f.publishedGroups = f.placer.Groups()
	}
	for _, g := range f.publishedGroups {
		anySilent := slices.ContainsFunc(g.Members, func(vm identifier.VM) bool { return f.engines[vm].isSilent() })
		if g.State == GroupServing && !anySilent {
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
		if !e.isSilent() && !working[vm] {
			idle += e.server.Accelerators
		}
	}
	return idle
}

// disturbances are the measured cases. Each is applied to a fleet in which all
// declared groups serve; victims are two engines of one serving group.
var disturbances = []struct {
	name string
	run  func(f *fleet, victims []identifier.VM)
}{
	{"one member lost", func(f *fleet, v []identifier.VM) { f.engines[v[0]].dead = true }},
	{"member of the repair lost", func(f *fleet, v []identifier.VM) {
		f.engines[v[0]].dead = true
		f.schedule(80*time.Second, func() { f.engines[f.newestHead()].dead = true })
	}},
	{"member pauses 4 s", func(f *fleet, v []identifier.VM) {
		f.engines[v[0]].paused = true
		f.schedule(4*time.Second, func() { f.engines[v[0]].paused = false })
	}},
	{"member flaps 6 times", func(f *fleet, v []identifier.VM) {
		for i := range 6 {
			f.schedule(time.Duration(i)*40*time.Second, func() { f.engines[v[0]].paused = true })
			f.schedule(time.Duration(i)*40*time.Second+10*time.Second, func() { f.engines[v[0]].paused = false })
		}
	}},
	{"fabric dark 5 minutes", func(f *fleet, v []identifier.VM) {
		fabric := f.engines[v[0]].server.FabricDomain
		f.setUnreachable(fabric, true)
		f.schedule(5*time.Minute, func() { f.setUnreachable(fabric, false) })
	}},
	{"leader lost with a member", func(f *fleet, v []identifier.VM) {
		f.engines[v[0]].dead = true
		f.replaceAuthority()
	}},
	{"all VMs restart at once", func(f *fleet, _ []identifier.VM) {
		for _, vm := range f.vms() {
			f.restart(f.engines[vm])
		}
	}},
	{"rolling restart", func(f *fleet, _ []identifier.VM) {
		for i, vm := range f.vms() {
			f.schedule(time.Duration(i)*15*time.Second, func() { f.restart(f.engines[vm]) })
		}
	}},
}

// TestMeasureDisturbances measures the costs of each disturbance under the default
// policy and under baselinePolicy, which is printed as "plain".
func TestMeasureDisturbances(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	const repetitions = 3
	for _, honoursFencing := range []bool{true, false} {
		for _, d := range disturbances {
			if !strings.Contains(d.name, *disturbanceFilter) {
				continue
			}
			for _, baseline := range []bool{true, false} {
				var o disturbanceCost
				for seed := range uint64(repetitions) {
					o.addMeasurement(t, seed, d.run, honoursFencing, baseline)
				}
				slices.Sort(o.groupSeconds)
				fmt.Printf("fenced %-5t plain %-5t %-26s group-seconds lost median %6.0f most %6.0f  accelerator-seconds idle %8.0f  joins %5.1f\n",
					honoursFencing, baseline, d.name, o.groupSeconds[repetitions/2], o.groupSeconds[repetitions-1],
					o.idleAcceleratorSeconds/repetitions, float64(o.joinCount)/repetitions)
			}
		}
	}
}

// addMeasurement adds the costs of one disturbance of one fleet to the sums.
func (o *disturbanceCost) addMeasurement(t *testing.T, seed uint64, disturb func(*fleet, []identifier.VM), honoursFencing, baseline bool) {
	t.Helper()
	var policy Policy
	if baseline {
		policy = baselinePolicy()
	}
	f := newSiteFleet(policy, honoursFencing, seed)
	joins := f.joinCount
	disturb(f, f.victims(seed))
	groupSeconds, acceleratorSeconds := f.measureCosts(20*time.Minute, siteService.Replicas)
	o.idleAcceleratorSeconds += acceleratorSeconds
	o.joinCount += f.joinCount - joins
	o.groupSeconds = append(o.groupSeconds, groupSeconds)
	if len(f.violations) > 0 {
		t.Fatal(f.violations)
	}
}

// newestHead returns the head of the group that was formed last.
func (f *fleet) newestHead() identifier.VM {
	var newest GroupInfo
	for _, g := range f.placer.Groups() {
		if g.FencingToken > newest.FencingToken {
			newest = g
		}
	}
	return newest.Members[0]
}

// victims returns two engines of one serving group.
func (f *fleet) victims(seed uint64) []identifier.VM {
	groups := f.placer.Groups()
	return groups[seed%uint64(len(groups))].Members[:2]
}

// BenchmarkStep measures one call of Step for a failure domain in which all groups
// serve.
func BenchmarkStep(b *testing.B) {
	for _, groups := range []int{17, 84, 168, 840} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			f := newFleet(rand.New(rand.NewPCG(1, 1)).IntN)
			for i := range (groups + 9) / 10 {
				f.addEngines(identifier.FabricDomain(fmt.Sprint("f", i)), 42, func(int) bool { return true })
			}
			f.placer.Policy.MaxLoadingVMs = 1 << 20
			spec := siteService
			spec.Replicas = groups
			f.placer.SetServices([]ServiceSpec{spec})
			f.run(2 * time.Minute)
			if f.servingCount(spec.Service) != groups {
				b.Fatalf("%d of %d groups serve", f.servingCount(spec.Service), groups)
			}
			for b.Loop() {
				f.now = f.now.Add(fleetStep)
				f.placer.Step(f.now)
			}
		})
	}
}
