package grouper

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// newServingFleet returns a fleet of one model whose groups serve requests.
func newServingFleet(t *testing.T, engines int) *fleet {
	t.Helper()
	f := newFleet(t, testModels[:1], map[identifier.FabricDomain]int{"f1": engines})
	f.run(45 * time.Second)
	f.demand = map[string]float64{testModels[0].Name: 2}
	f.run(5 * time.Second)
	if n := f.servingGroups()[testModels[0].Name]; n != engines/testModels[0].GroupSize {
		t.Fatalf("%d groups serve", n)
	}
	f.log = nil
	return f
}

func (f *fleet) failOnCuts(t *testing.T) {
	t.Helper()
	for _, c := range f.cutsAtWork {
		t.Error("requests of a group at work were cut off: " + c)
	}
	for _, v := range f.violations {
		t.Error(v)
	}
	if t.Failed() {
		t.Log("\n" + strings.Join(f.log, "\n"))
	}
}

// TestPausingHeadsKeepTheirRequests guards against groups that are closed, and whose requests
// are cut off, because their heads pause for up to 1.2 s between events, while all members
// respond.
func TestPausingHeadsKeepTheirRequests(t *testing.T) {
	f := newServingFleet(t, 9)
	random := rand.New(rand.NewPCG(1, 1))
	for end := f.now.Add(2 * time.Minute); f.now.Before(end); {
		heads := f.openHeads()
		pause := time.Duration(300+random.IntN(901)) * time.Millisecond
		heads[random.IntN(len(heads))].pausedUntil = f.now.Add(pause)
		f.run(pause + time.Duration(random.IntN(2000))*time.Millisecond)
	}
	if len(f.log) > 0 {
		t.Errorf("groups were changed:\n%s", strings.Join(f.log, "\n"))
	}
	f.failOnCuts(t)
}

// TestSilentHeadIsReplaced checks that a group whose members all respond is replaced once its
// head has sent nothing for as long as a group at a standstill takes to break.
func TestSilentHeadIsReplaced(t *testing.T) {
	f := newServingFleet(t, 5)
	f.openHeads()[0].pausedUntil = f.now.Add(maxHeadSilence + 2*time.Second)
	f.run(maxHeadSilence)
	f.failOnCuts(t)
	f.run(2 * time.Second)
	if len(f.cutsAtWork) != 1 {
		t.Errorf("%d groups were ended:\n%s", len(f.cutsAtWork), strings.Join(f.log, "\n"))
	}
}

// TestFirstRequestAfterIdleTimeIsNotCutOff guards against cutting off the first requests of a
// head that had none for long. Its last response is old, and it reads a long prompt.
func TestFirstRequestAfterIdleTimeIsNotCutOff(t *testing.T) {
	f := newServingFleet(t, 5)
	head := f.openHeads()[0]
	// The fleet reports no stalled request before the last response is 400 ms old.
	head.lastResponseAt = f.now.Add(-time.Hour)
	head.pausedUntil = f.now.Add(2 * time.Second)
	f.run(4 * time.Second)
	f.failOnCuts(t)
}

// TestSlowGroupFinishesItsRequests guards against cutting off the requests of a group that a
// slow member holds up: it is at work.
func TestSlowGroupFinishesItsRequests(t *testing.T) {
	f := newServingFleet(t, 9)
	f.answerTime = 3 * time.Second
	f.findEngines("member@f1")[0].slowdown = 12
	f.run(10 * time.Second)
	f.failOnCuts(t)
	if n := f.servingGroups()[testModels[0].Name]; n != 2 {
		t.Errorf("%d groups serve", n)
	}
}

// TestLostProbesKeepRequests guards against cutting off the requests of a head that goes on
// after a pause because members did not respond to their probes.
func TestLostProbesKeepRequests(t *testing.T) {
	f := newServingFleet(t, 5)
	f.openHeads()[0].pausedUntil = f.now.Add(600 * time.Millisecond)
	f.unansweredOrders, f.lateOrderDelay = testModels[0].GroupSize, time.Second
	f.run(3 * time.Second)
	if f.unansweredOrders > 0 {
		t.Error("not every member was probed")
	}
	f.failOnCuts(t)
}

// openHeads returns the heads that serve.
func (f *fleet) openHeads() []*engine {
	var heads []*engine
	for _, id := range f.engineIDs {
		if e := f.engines[id]; e.alive && e.membership.Rank == 0 && e.membership.State == tracker.StateOpen {
			heads = append(heads, e)
		}
	}
	return heads
}
