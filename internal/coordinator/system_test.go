package coordinator_test

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/grouper"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

func TestEveryCoreAcceptsAndServesCatalogs(t *testing.T) {
	runInSystem(t, func(s *system) {
		for i, name := range initialCores {
			v := cataloger.Version(10 * (i + 1))
			s.mustPublish(v, name)
			for _, other := range initialCores {
				s.expectVersion(other, v)
			}
		}
		s.mustPublish(5, "a")
		s.expectVersion("b", 30)
		err := s.cores["a"].core.PublishCatalog(context.Background(), []byte(`{"Version":40,"Invalid":true}`))
		if !coordinator.ErrInvalidCatalog.Has(err) {
			t.Errorf("an invalid catalog got %v", err)
		}
		s.expectVersion("c", 30)
	})
}

func TestCatalogSurvivesCoreRestarts(t *testing.T) {
	runInSystem(t, func(s *system) {
		v := cataloger.Version(0)
		for range 2 {
			for _, name := range initialCores {
				v++
				s.mustPublish(v, name)
				s.killCores(name)
				for _, other := range s.runningCores() {
					s.expectVersion(other, v)
				}
				v++
				s.mustPublish(v, "b")
				s.startCore(name, false)
				s.expectVersion(name, v)
			}
		}
	})
}

// TestDiskLostAfterAck guards against the loss of an acknowledged catalog. All
// running processes stop right after an acknowledgement, and one loses its disk.
// The process with the empty disk and one that missed the catalog must not form a
// quorum.
func TestDiskLostAfterAck(t *testing.T) {
	for _, wiped := range initialCores {
		for _, lagging := range initialCores {
			if lagging == wiped {
				continue
			}
			t.Run(wiped+" wiped, "+lagging+" lags", func(t *testing.T) {
				runInSystem(t, func(s *system) {
					s.mustPublish(1, "a")
					s.killCores(lagging)
					s.mustPublish(2, wiped)
					s.killCores(s.runningCores()...)
					s.replaceDisk(wiped)
					s.startCore(wiped, false)
					s.startCore(lagging, false)
					if s.publish(9, lagging) {
						t.Error("a wiped and a lagging process alone acknowledge a catalog")
					}
					if got, err := s.cores[lagging].core.CurrentCatalog(context.Background()); err == nil {
						t.Errorf("a wiped and a lagging process alone confirm %q as current", got)
					}
					for _, name := range initialCores {
						if name != wiped && name != lagging {
							s.startCore(name, false)
						}
					}
					for _, name := range initialCores {
						s.expectVersion(name, 2)
					}
					time.Sleep(5 * time.Second)
					s.mustPublish(3, wiped)
					s.killCores(lagging)
					s.expectVersion(wiped, 3)
				})
			})
		}
	}
}

func TestStateSurvivesRestartOfAllCores(t *testing.T) {
	runInSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		if err := s.cores["b"].core.SetEvacuated(context.Background(), "z1", true); err != nil {
			t.Fatal(err)
		}
		s.killCores(initialCores...)
		for _, name := range initialCores {
			s.startCore(name, false)
		}
		s.expectVersion("a", 1)
		f := s.startFront()
		time.Sleep(3 * time.Second)
		if got := f.Snapshot().Evacuated; !slices.Equal(got, []identifier.FailureDomain{"z1"}) {
			t.Errorf("evacuated domains after the restart: %v", got)
		}
	})
}

func TestCoreReplacedAtNewAddress(t *testing.T) {
	runInSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		s.killCores("c")
		s.startCore("d", false)
		// The replacement becomes a voter once it has caught up, and the killed
		// process is removed from the voters after a long silence.
		time.Sleep(15 * time.Second)
		s.expectVersion("d", 1)
		s.killCores("a")
		s.mustPublish(2, "d")
		s.expectVersion("b", 2)
		s.startCore("a", false)
		s.expectVersion("a", 2)
	})
}

func TestIsolatedCoreRefusesReads(t *testing.T) {
	runInSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		for _, isolated := range initialCores {
			for _, other := range initialCores {
				if other != isolated {
					s.net.SetPartitioned(isolated, other, true)
				}
			}
			time.Sleep(4 * time.Second)
			other := initialCores[boolToInt(isolated == initialCores[0])]
			v := cataloger.Version(10 + slices.Index(initialCores, isolated))
			s.mustPublish(v, other)
			if got, err := s.cores[isolated].core.CurrentCatalog(context.Background()); err == nil {
				t.Errorf("%s reads %q although it is isolated", isolated, got)
			}
			for _, o := range initialCores {
				if o != isolated {
					s.net.SetPartitioned(isolated, o, false)
				}
			}
			time.Sleep(3 * time.Second)
			s.expectVersion(isolated, v)
		}
	})
}

// TestStateKeepsFieldNamesInDump guards the field names that operators read in the
// JSON dump, some of which differ from the Go names.
func TestStateKeepsFieldNamesInDump(t *testing.T) {
	data, err := json.Marshal(coordinator.State{
		Settings: configurer.NodeSettings{PeerAddress: "a:1"}, Log: driver.Status{Term: 2}, Catalog: 3,
		Evacuated: []identifier.FailureDomain{"z"}, HasAuthority: true, Groups: []grouper.GroupInfo{{ID: "g"}},
		Servers: []tracker.Server{{ID: "i-1"}}, LivePeers: []identifier.VM{"b:1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	want := []string{"Catalog", "CrashEvidence", "Evacuated", "Groups", "Isolations", "Leads", "Limits", "Log", "Peers", "Permits", "Servers", "Settings"}
	if got := slices.Sorted(maps.Keys(fields)); !slices.Equal(got, want) {
		t.Errorf("JSON fields of State: %q rather than %q", got, want)
	}
}
