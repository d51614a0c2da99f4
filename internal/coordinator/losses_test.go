package coordinator_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/seeder"
)

// catchUpTime is how long after its start a process may be lost again, and how long after the
// start of its successor a process that is gone stops counting.
const catchUpTime = 4 * time.Second

// deployment is a set of core processes and what it has to bear.
type deployment struct {
	// domains holds the failure domain of each core process.
	domains []identifier.FailureDomain
	// losses is how many processes may be lost at the same time.
	losses int
	// even is set if each failure domain has the same number of processes.
	even bool
}

var deployments = []deployment{
	{domains: []identifier.FailureDomain{"z1", "z2", "z3"}, losses: 1, even: true},
	{domains: []identifier.FailureDomain{"z1", "z1", "z2", "z2", "z3"}, losses: 2},
	{domains: []identifier.FailureDomain{"z1", "z1", "z2", "z2", "z3", "z3"}, losses: 2, even: true},
}

// runDeployment runs a test in a system with the core processes c1, c2 and so on.
func runDeployment(t *testing.T, d deployment, test func(s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stopAll()
		s.toleratedLosses = d.losses
		for i := range d.domains {
			s.domains[coreName(i+1)] = d.domains[i]
		}
		s.listSeeds()
		for i := range d.domains {
			s.startCore(coreName(i+1), true)
		}
		s.mustPublish(1, "c1")
		time.Sleep(2 * catchUpTime)
		test(s)
	})
}

func coreName(n int) string { return fmt.Sprintf("c%d", n) }

// seedCount is the number of seeds in the settings of a process.
const seedCount = 3

// listSeeds sets the seeds of processes that start from now on: the first core processes that
// have not been replaced.
func (s *system) listSeeds() {
	s.seeds = nil
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if len(s.seeds) < seedCount {
			s.seeds = append(s.seeds, name+":8")
		}
	}
}

// startSuccessor starts a new core process in the failure domain of another one, which is or
// will be gone.
func (s *system) startSuccessor(of string) string {
	name := coreName(len(s.cores) + 1)
	s.domains[name] = s.domains[of]
	delete(s.domains, of)
	s.listSeeds()
	s.startCore(name, false)
	return name
}

// loseDisk ends a core process, which comes back after some time with an empty disk.
func (s *system) loseDisk(name string, downTime time.Duration) {
	s.killCores(name)
	time.Sleep(downTime)
	s.replaceDisk(name)
	s.startCore(name, false)
}

// expectCoreGoesOn checks that a catalog is acknowledged, and that all core processes return it.
func (s *system) expectCoreGoesOn() {
	s.t.Helper()
	s.lastVersion++
	s.mustPublish(s.lastVersion, s.runningCores()[0])
	s.acknowledged = s.lastVersion
	for _, core := range s.runningCores() {
		s.expectVersion(core, s.lastVersion)
	}
}

// expectNothingOlder checks that each core process returns a catalog, and none that is older than
// the newest that was acknowledged.
func (s *system) expectNothingOlder() {
	s.t.Helper()
	for _, name := range s.runningCores() {
		var got testCatalog
		data, err := s.readCatalog(name)
		if err == nil {
			err = json.Unmarshal(data, &got)
		}
		if err != nil || got.Version < s.acknowledged {
			s.t.Errorf("%s reads %q, %v; version %d was acknowledged", name, data, err, s.acknowledged)
		}
	}
}

// TestDiskLostAfterPlannedReplacement guards against a core that never comes back, because a
// process that has ended as planned still counts when another one loses its disk.
func TestDiskLostAfterPlannedReplacement(t *testing.T) {
	for n := range 3 {
		for _, signalled := range []bool{true, false} {
			for _, gap := range []time.Duration{0, time.Second, 3 * time.Second} {
				t.Run(fmt.Sprintf("c%d, SIGTERM %t, %s", n+1, signalled, gap), func(t *testing.T) {
					t.Parallel()
					runDeployment(t, deployments[0], func(s *system) {
						replaced, lost := coreName(n+1), coreName((n+1)%3+1)
						s.startSuccessor(replaced)
						time.Sleep(2 * catchUpTime)
						if signalled {
							s.cores[replaced].core.Leave()
						}
						s.killCores(replaced)
						time.Sleep(gap)
						s.loseDisk(lost, 3*time.Second)
						time.Sleep(catchUpTime)
						s.expectCoreGoesOn()
					})
				})
			}
		}
	}
}

// TestTwoDisksLostAfterTwoReplacements guards against a core that never comes back, because two
// processes that are gone still count when two others lose their disks.
func TestTwoDisksLostAfterTwoReplacements(t *testing.T) {
	for _, gone := range [][]string{{"c1", "c2"}, {"c3", "c4"}, {"c5", "c6"}, {"c2", "c5"}} {
		t.Run(fmt.Sprint(gone), func(t *testing.T) {
			t.Parallel()
			runDeployment(t, deployments[2], func(s *system) {
				s.killCores(gone...)
				time.Sleep(time.Second)
				for _, name := range gone {
					s.startSuccessor(name)
				}
				time.Sleep(catchUpTime + 500*time.Millisecond)
				var lost []string
				for _, name := range s.runningCores() {
					if !slices.Contains(gone, name) && len(lost) < 2 {
						lost = append(lost, name)
					}
				}
				s.killCores(lost...)
				time.Sleep(3 * time.Second)
				for _, name := range lost {
					s.replaceDisk(name)
					s.startCore(name, false)
				}
				time.Sleep(catchUpTime)
				s.expectCoreGoesOn()
			})
		})
	}
}

// TestAllowedLossesAreBorne guards against orders of losses, replacements and stops, each
// allowed at its moment, after which no catalog is acknowledged or an older one is returned.
func TestAllowedLossesAreBorne(t *testing.T) {
	for i, d := range deployments {
		t.Run(fmt.Sprintf("%d core processes", len(d.domains)), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				schedule := drawSchedule(rt, d)
				ok := t.Run("schedule", func(t *testing.T) {
					runDeployment(t, deployments[i], func(s *system) { s.play(schedule) })
				})
				if !ok {
					rt.Fatalf("schedule: %+v", schedule)
				}
			})
		})
	}
}

// loss is one loss of a schedule.
type loss struct {
	Kind lossKind
	// Victims are drawn from the running processes by these numbers.
	Victims []int
	// Gap is the time between two steps of a replacement, or the time that a process is down.
	Gap time.Duration
	// Pause is the time after the loss has stopped counting.
	Pause time.Duration
}

type lossKind string

// Kinds of losses.
const (
	// lossPlanned starts a successor, and stops the process once the successor has caught up.
	lossPlanned lossKind = "replaced as planned"
	// lossRemoved is the same without a signal to stop.
	lossRemoved lossKind = "removed after its successor has come"
	lossGone    lossKind = "gone, then a successor comes"
	// lossSuccessor lets the successor lose its disk soon after its start.
	lossSuccessor lossKind = "gone, and the successor loses its disk"
	lossDisk      lossKind = "its disk is lost"
	lossCut       lossKind = "cut off"
	lossRestart   lossKind = "stopped and started"
	lossKillAll   lossKind = "all killed and started"
	lossFull      lossKind = "its disk is full"
	// lossSplit splits all into two halves, in which disks are lost.
	lossSplit lossKind = "split, and disks are lost"
)

func drawSchedule(rt *rapid.T, d deployment) []loss {
	kinds := []lossKind{lossPlanned, lossGone, lossSuccessor, lossDisk, lossCut, lossRestart, lossKillAll, lossFull, lossSplit}
	if d.even {
		// Elsewhere nothing shows which process of a failure domain is about to be removed.
		kinds = append(kinds, lossRemoved)
	}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) loss {
		l := loss{
			Kind:  rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Gap:   time.Duration(rapid.IntRange(0, 60).Draw(rt, "gap")) * 100 * time.Millisecond,
			Pause: time.Duration(rapid.IntRange(0, 20).Draw(rt, "pause")) * 100 * time.Millisecond,
		}
		most := d.losses
		if l.Kind == lossRemoved {
			// The others don't learn which one of two in a failure domain is removed before it is.
			most = 1
		}
		for range rapid.IntRange(1, most).Draw(rt, "count") {
			l.Victims = append(l.Victims, rapid.IntRange(0, 100).Draw(rt, "victim"))
		}
		return l
	}), 2, 5).Draw(rt, "losses")
}

// play plays a schedule. Each loss begins once the one before has stopped counting.
func (s *system) play(schedule []loss) {
	for _, l := range schedule {
		var victims []string
		for _, n := range l.Victims {
			running := slices.DeleteFunc(s.runningCores(), func(c string) bool { return slices.Contains(victims, c) })
			victims = append(victims, running[n%len(running)])
		}
		s.playLoss(l, victims)
		time.Sleep(l.Pause)
		s.expectNothingOlder()
		s.expectCoreGoesOn()
		if s.t.Failed() {
			s.t.Fatalf("after %+v of %v", l, victims)
		}
	}
}

func (s *system) playLoss(l loss, victims []string) {
	switch l.Kind {
	case lossPlanned, lossRemoved:
		for _, v := range victims {
			s.startSuccessor(v)
		}
		time.Sleep(catchUpTime)
		for _, v := range victims {
			if l.Kind == lossPlanned {
				s.cores[v].core.Leave()
			}
		}
		// It does not count any more, and the next loss may come at once.
		s.killCores(victims...)
		return
	case lossGone, lossSuccessor:
		s.killCores(victims...)
		time.Sleep(l.Gap)
		var successors []string
		for _, v := range victims {
			successors = append(successors, s.startSuccessor(v))
		}
		if l.Kind == lossSuccessor {
			time.Sleep(l.Gap / 2)
			for _, name := range successors {
				s.loseDisk(name, 500*time.Millisecond)
			}
		}
	case lossDisk, lossRestart:
		if l.Kind == lossRestart {
			for _, v := range victims {
				s.cores[v].core.Leave()
			}
		}
		s.killCores(victims...)
		time.Sleep(l.Gap)
		for _, v := range victims {
			if l.Kind == lossDisk {
				s.replaceDisk(v)
			}
			s.startCore(v, false)
		}
	case lossCut:
		for _, v := range victims {
			s.cutCore(v, true)
		}
		time.Sleep(l.Gap)
		for _, v := range victims {
			s.cutCore(v, false)
		}
	case lossFull:
		for _, v := range victims {
			s.setDiskFull(v, true)
		}
		time.Sleep(l.Gap)
		for _, v := range victims {
			s.setDiskFull(v, false)
		}
	case lossSplit:
		s.playSplit(l, victims)
		time.Sleep(recoveryTime)
	case lossKillAll:
		running := s.runningCores()
		s.killCores(running...)
		for _, name := range running {
			s.startCore(name, false)
		}
	}
	time.Sleep(catchUpTime)
}

// recoveryTime is how long after more losses than are borne service may be suspended.
const recoveryTime = 12 * time.Second

// playSplit splits the core processes into two halves. Meanwhile some lose their disks, and a
// catalog is sent, which may be acknowledged.
func (s *system) playSplit(l loss, victims []string) {
	var halves [2][]string
	for i, name := range s.runningCores() {
		half := (i + l.Victims[0]) >> (l.Victims[0] % 2) % 2
		halves[half] = append(halves[half], name)
	}
	setSplit := func(split bool) {
		for _, a := range halves[0] {
			for _, b := range halves[1] {
				s.net.SetPartitioned(a, b, split)
			}
		}
	}
	setSplit(true)
	time.Sleep(l.Gap / 2)
	// It is sent to one process only, so that the split does not last longer than it would.
	s.lastVersion++
	if s.cores[s.runningCores()[0]].core.PublishCatalog(s.t.Context(), catalog(s.lastVersion)) == nil {
		s.acknowledged = s.lastVersion
	}
	s.killCores(victims...)
	time.Sleep(l.Gap / 2)
	for _, v := range victims {
		s.replaceDisk(v)
		s.startCore(v, false)
	}
	time.Sleep(l.Gap / 2)
	setSplit(false)
}

// cutCore cuts a core process off from the others, or heals the cut.
func (s *system) cutCore(name string, cut bool) {
	for _, other := range s.runningCores() {
		if other != name {
			s.net.SetPartitioned(name, other, cut)
		}
	}
}

// schedulesInCI is the number of schedules that TestAllowedLossesAreBorne draws for each
// deployment without the flag -rapid.checks.
const schedulesInCI = "12"

func TestMain(m *testing.M) {
	os.Exit(seeder.Main(m, seeder.FlagDefault{Name: "rapid.checks", Value: schedulesInCI}))
}
