package grouper

import (
	"fmt"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// TestLargeAndSmallGroupsShareTheServers starts a fleet with a model that needs
// groups of 16 servers and one that needs groups of 4. Both must get groups by
// their declared shares of the servers, and each fabric domain with large groups
// must keep spares for them.
func TestLargeAndSmallGroupsShareTheServers(t *testing.T) {
	models := []cataloger.Model{
		{Name: "big", GroupSize: 16, TimeFactor: 1, DeclaredShare: 0.5, LoadTime: 16 * time.Second, WarmStartTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 4, TimeFactor: 0.6, DeclaredShare: 0.5, LoadTime: 12 * time.Second, WarmStartTime: 1100 * time.Millisecond},
	}
	counts := map[identifier.FabricDomain]int{}
	for i := range 8 {
		counts[identifier.FabricDomain(fmt.Sprintf("f%d", i))] = 37
	}
	f := newFleet(t, models, counts)
	f.catalog.Services[0].Engine.FullSpeedLoads = 37
	f.run(100 * time.Second)
	const servers = 8 * 37
	serversForBig := 0
	for fabric := range counts {
		big, spare := 0, 0
		for _, e := range f.findEngines("all@" + string(fabric)) {
			head := f.engines[headOf(e)]
			switch open := head != nil && head.membership.State == tracker.StateOpen && head.membership.Epoch == e.membership.Epoch; {
			case !open && e.staged == "big":
				spare++
			case open && e.membership.Rank == 0 && e.lastModel == "big":
				big++
			}
		}
		if want := spareTarget(models[0], big); spare < want {
			t.Errorf("%s has %d large groups and %d spares for them, want %d", fabric, big, spare, want)
		}
		serversForBig += big*models[0].GroupSize + spare
	}
	// Half of the servers, with a tolerance for those that are left over in each
	// fabric domain.
	if share := float64(serversForBig) / servers; share < 0.4 || share > 0.6 {
		t.Errorf("%.2f of the servers are there for the large model, whose share is 0.5", share)
	}
	if got := f.servingGroups(); got["big"] == 0 || got["small"] == 0 {
		t.Errorf("serving: %v", got)
	}
}
