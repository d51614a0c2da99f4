package coordinator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// TestDiskLostWhileAllOthersStop guards against the loss of an acknowledged catalog and
// evacuation when one core process loses its disk and all other processes, those without a
// disk too, stop at the same moment.
func TestDiskLostWhileAllOthersStop(t *testing.T) {
	for _, wiped := range initialCores {
		t.Run(wiped, func(t *testing.T) {
			runInSystem(t, func(s *system) {
				s.mustPublish(1, "a")
				var fronts []string
				for i := range 4 {
					fronts = append(fronts, fmt.Sprintf("f%d", i))
					s.startFrontNamed(fronts[i], emptyDialect{})
				}
				time.Sleep(2 * time.Second)
				if err := s.cores[wiped].core.SetEvacuated(context.Background(), "z1", true); err != nil {
					t.Fatal(err)
				}
				s.mustPublish(2, wiped)
				for _, f := range fronts {
					s.killFront(f)
				}
				s.killCores(initialCores...)
				s.replaceDisk(wiped)
				for _, c := range initialCores {
					s.startCore(c, false)
				}
				for _, f := range fronts {
					s.startFrontNamed(f, emptyDialect{})
				}
				for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					for name, h := range s.fronts {
						known := h.front.Snapshot()
						if known.Catalog != 0 && (known.Catalog != 2 || !slices.Contains(known.Evacuated, identifier.FailureDomain("z1"))) {
							t.Fatalf("%s has catalog %d and evacuations %v after the restart", name, known.Catalog, known.Evacuated)
						}
					}
				}
				for _, c := range initialCores {
					s.expectVersion(c, 2)
				}
				for name, h := range s.fronts {
					if got := h.front.Snapshot().Catalog; got != 2 {
						t.Errorf("%s has catalog %d 8 s after the restart", name, got)
					}
				}
			})
		})
	}
}
