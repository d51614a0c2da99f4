package coordinator_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var crashSeeds = flag.Uint64("crash.seeds", 6, "number of seeds of TestRequestsThatCrashServersAreStopped")

// crashSystem is a system that serves requests with three core processes, several
// fronts and twelve engines.
type crashSystem struct {
	*system
	fleet   *crashFleet
	callers *crashCallers
}

func runInCrashSystem(t *testing.T, seed uint64, fronts int, test func(cs *crashSystem)) {
	t.Helper()
	runInSystem(t, func(s *system) {
		cs := &crashSystem{system: s, fleet: newCrashFleet(s, seed)}
		cs.callers = newCrashCallers(s, cs.fleet, seed)
		if err := s.coreNamed("a").PublishCatalog(context.Background(), []byte(`{"Version":1,"Serving":true}`)); err != nil {
			t.Fatal(err)
		}
		for i := range fronts {
			s.startFrontNamed(fmt.Sprintf("f%d", i), partsDialect{})
		}
		for _, m := range crashModels {
			for i := range 6 {
				cs.fleet.startEngine(m, "z"+initialCores[i%len(initialCores)])
			}
		}
		time.Sleep(2 * time.Second)
		test(cs)
		cs.callers.wg.Wait()
		cs.fleet.stop()
		time.Sleep(crashRestartTime + crashHeartbeat)
	})
}

// TestRequestsThatCrashServersAreStopped guards against requests that crash one server
// after the other. Each seed plays one or two crashing parts of prompts among sound
// requests that share their callers and other parts, servers that crash for other
// reasons, and restarts and partitions of fronts and core processes.
func TestRequestsThatCrashServersAreStopped(t *testing.T) {
	for seed := range *crashSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runInCrashSystem(t, seed, 5, func(cs *crashSystem) { cs.playCrashes(seed) })
		})
	}
}

func (cs *crashSystem) playCrashes(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	parts := []string{"crash-1", "crash-2"}[:1+random.IntN(2)]
	before := time.Now()
	cs.callers.sendMixed(6*time.Second, 60, 0)
	for _, p := range parts {
		cs.fleet.setCrashing(p, true)
	}
	faultsAt := time.Now()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		cs.injectFaults(random, stop)
	}()
	cs.callers.sendMixed(25*time.Second, 60, 0.08, parts...)
	close(stop)
	<-done
	cs.callers.wg.Wait()
	cs.callers.checkRules(before, faultsAt, time.Now(), parts...)
}

// injectFaults crashes servers and restarts or partitions processes until stop is
// closed.
func (cs *crashSystem) injectFaults(random *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+random.IntN(2500)) * time.Millisecond):
		}
		front := fmt.Sprintf("f%d", random.IntN(5))
		core := initialCores[random.IntN(len(initialCores))]
		switch random.IntN(5) {
		case 0, 1:
			cs.fleet.crashRandomEngine()
		case 2:
			cs.killFront(front)
			cs.startFrontNamed(front, partsDialect{})
		case 3:
			cs.killCores(core)
			cs.startCore(core, false)
		case 4:
			for _, other := range initialCores {
				if other != core {
					cs.net.SetPartitioned(core, other, true)
				}
			}
			time.Sleep(time.Second)
			for _, other := range initialCores {
				if other != core {
					cs.net.SetPartitioned(core, other, false)
				}
			}
		}
	}
}
