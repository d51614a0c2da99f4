package grouper

import (
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

// TestPlannedEndWaitsForLongRequests guards against cutting off the requests of an evacuated
// group 8 s after its close order, although their route allows them more.
func TestPlannedEndWaitsForLongRequests(t *testing.T) {
	f := newServingFleet(t, 4)
	f.catalog.Routes = []cataloger.Route{
		{Name: "short", Timeout: 3 * time.Second, Targets: []cataloger.Target{{Service: "llm", Weight: 1}}},
		{Name: "long", Timeout: 20 * time.Second, Targets: []cataloger.Target{{Service: "llm", Weight: 1}}},
		{Name: "other", Timeout: time.Minute, Targets: []cataloger.Target{{Service: "plain", Weight: 1}}},
	}
	f.answerTime = 15 * time.Second
	f.evacuated["z1"] = true
	f.run(16 * time.Second)
	f.failOnCuts(t)
	if len(f.grouper.Groups()) > 0 {
		t.Error("the group has not ended")
	}
	delete(f.evacuated, "z1")
	f.run(5 * time.Second)
	f.answerTime = time.Minute
	f.evacuated["z1"] = true
	f.run(19 * time.Second)
	f.failOnCuts(t)
	f.run(2 * time.Second)
	if len(f.cutsAtWork) != 1 || len(f.grouper.Groups()) > 0 {
		t.Errorf("%d groups were cut, %d are left after the time limit of every request", len(f.cutsAtWork), len(f.grouper.Groups()))
	}
}

// TestPlannedEndWaitsWhileMemberIsSilent guards against cutting off the requests of a group that
// is closed because a member drains, when another member is out of reach of the core processes
// but at work.
func TestPlannedEndWaitsWhileMemberIsSilent(t *testing.T) {
	f := newServingFleet(t, 5)
	members := f.engines[f.openHeads()[0].members[0]].members
	f.answerTime = 6 * time.Second
	f.disturb(t, "drain", f.engines[members[1]])
	f.disturb(t, "cut", f.engines[members[2]])
	f.run(7 * time.Second)
	f.failOnCuts(t)
}

// TestPlannedEndOfStalledGroup checks that a group which loses a member while it is being closed
// does not wait for requests that make no progress.
func TestPlannedEndOfStalledGroup(t *testing.T) {
	f := newServingFleet(t, 5)
	members := f.openHeads()[0].members
	f.answerTime = 7 * time.Second
	f.disturb(t, "drain", f.engines[members[1]])
	f.run(time.Second)
	f.disturb(t, "kill", f.engines[members[2]])
	f.disturb(t, "depart", f.engines[members[2]])
	f.run(time.Second)
	if len(f.grouper.Groups()) > 0 {
		t.Errorf("the group has not ended: %v", f.grouper.Groups())
	}
	f.failOnCuts(t)
}

// TestGroupThatHasJustOpenedIsNotCutOff guards against cutting off the first requests of a group
// whose zone is evacuated at the moment at which its head opens.
func TestGroupThatHasJustOpenedIsNotCutOff(t *testing.T) {
	f := newFleet(t, testModels[:1], map[identifier.FabricDomain]int{"f1": 4})
	f.demand, f.answerTime = map[string]float64{testModels[0].Name: 2}, time.Second
	opens := func(e *engine) bool { return !e.opensAt.IsZero() && !f.now.Add(tick).Before(e.opensAt) }
	for !slices.ContainsFunc(f.findEngines("all@f1"), opens) {
		f.run(tick)
	}
	f.evacuated["z1"] = true
	f.run(3 * time.Second)
	f.failOnCuts(t)
}
