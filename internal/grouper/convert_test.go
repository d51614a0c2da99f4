package grouper

import (
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

// TestSparesFollowDemand replays a load in which losses leave spares of a large model
// behind, too few for a group, while callers ask for more and more of a small one. Two
// of the spares must serve the small model soon after a load, one stays a spare, and a
// demand that is only a little higher must not cause loads.
func TestSparesFollowDemand(t *testing.T) {
	models := []cataloger.Model{
		{Name: "large", GroupSize: 4, TimeFactor: 1, DeclaredShare: 0.5, LoadTime: 16 * time.Second, WarmStartTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 2, TimeFactor: 0.6, DeclaredShare: 0.5, LoadTime: 12 * time.Second, WarmStartTime: 1100 * time.Millisecond},
	}
	f := newFleet(t, models, map[identifier.FabricDomain]int{"f1": 8, "f2": 8})
	f.run(45 * time.Second)
	f.demand = map[string]float64{"large": 2, "small": 4.5}
	f.run(5 * time.Second)
	before := f.servingGroups()
	if before["large"] != 2 || before["small"] != 4 {
		t.Fatalf("serving before: %v", before)
	}
	for _, e := range append(f.findEngines("head@f1"), f.findEngines("head@f2")...) {
		if e.lastModel == "large" {
			f.disturb(t, "kill", e)
		}
	}
	loads := len(f.loadStarts)
	f.run(20 * time.Second)
	if n := len(f.loadStarts) - loads; n != 0 {
		t.Errorf("%d loads began although the demand for the small model is not much higher", n)
	}
	f.demand = map[string]float64{"large": 1, "small": 6}
	f.run(20 * time.Second)
	if got := f.servingGroups(); got["small"] != 5 || got["large"] != 1 {
		t.Errorf("serving: %v\n%s", got, strings.Join(f.log, "\n"))
	}
	if n := len(f.loadStarts) - loads; n != 2 {
		t.Errorf("%d loads began, want 2", n)
	}
	for _, v := range f.violations {
		t.Error(v)
	}
}
