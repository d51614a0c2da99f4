package coordinator_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

func TestEveryProcessTakesAndReadsCatalogs(t *testing.T) {
	inSystem(t, func(s *system) {
		for i, name := range firstCores {
			v := cataloger.Version(10 * (i + 1))
			s.mustPublish(v, name)
			for _, other := range firstCores {
				s.expect(other, v)
			}
		}
		s.mustPublish(5, "a")
		s.expect("b", 30)
		err := s.cores["a"].core.PublishCatalog(context.Background(), []byte(`{"Version":40,"Invalid":true}`))
		if !coordinator.ErrInvalidCatalog.Has(err) {
			t.Errorf("an invalid catalog got %v", err)
		}
		s.expect("c", 30)
	})
}

func TestKilledProcessesLoseNothing(t *testing.T) {
	inSystem(t, func(s *system) {
		v := cataloger.Version(0)
		for range 2 {
			for _, name := range firstCores {
				v++
				s.mustPublish(v, name)
				s.kill(name)
				for _, other := range s.live() {
					s.expect(other, v)
				}
				v++
				s.mustPublish(v, "b")
				s.startCore(name, false)
				s.expect(name, v)
			}
		}
	})
}

// TestDiskLostAfterAck wipes each process right after an acknowledgement, while
// the others lose power too. The empty disk must not help a process that lags to
// a majority.
func TestDiskLostAfterAck(t *testing.T) {
	for _, wiped := range firstCores {
		for _, lags := range firstCores {
			if lags == wiped {
				continue
			}
			t.Run(wiped+" wiped, "+lags+" lags", func(t *testing.T) {
				inSystem(t, func(s *system) {
					s.mustPublish(1, "a")
					s.kill(lags)
					s.mustPublish(2, wiped)
					s.kill(s.live()...)
					s.newDisk(wiped)
					s.startCore(wiped, false)
					s.startCore(lags, false)
					if s.publish(9, lags) {
						t.Error("a wiped and a lagging process alone acknowledge a catalog")
					}
					if got, err := s.cores[lags].core.CurrentCatalog(context.Background()); err == nil {
						t.Errorf("a wiped and a lagging process alone are sure of %q", got)
					}
					for _, name := range firstCores {
						if name != wiped && name != lags {
							s.startCore(name, false)
						}
					}
					for _, name := range firstCores {
						s.expect(name, 2)
					}
					time.Sleep(5 * time.Second)
					s.mustPublish(3, wiped)
					s.kill(lags)
					s.expect(wiped, 3)
				})
			})
		}
	}
}

func TestEverythingRestarts(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		if err := s.cores["b"].core.SetEvacuated(context.Background(), "z1", true); err != nil {
			t.Fatal(err)
		}
		s.kill(firstCores...)
		for _, name := range firstCores {
			s.startCore(name, false)
		}
		s.expect("a", 1)
		f := s.startFront()
		time.Sleep(3 * time.Second)
		if out := f.Snapshot().Evacuated; !slices.Equal(out, []identifier.FailureDomain{"z1"}) {
			t.Errorf("taken out after the restart: %v", out)
		}
	})
}

func TestReplacementAtAnotherAddress(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		s.kill("c")
		s.startCore("d", false)
		// The replacement takes part once it has caught up, and the lost process
		// is removed when it was long unheard.
		time.Sleep(15 * time.Second)
		s.expect("d", 1)
		s.kill("a")
		s.mustPublish(2, "d")
		s.expect("b", 2)
		s.startCore("a", false)
		s.expect("a", 2)
	})
}

func TestCutOffProcessIsNotSure(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		for _, cut := range firstCores {
			for _, other := range firstCores {
				if other != cut {
					s.net.SetPartitioned(cut, other, true)
				}
			}
			time.Sleep(4 * time.Second)
			other := firstCores[b2i(cut == firstCores[0])]
			v := cataloger.Version(10 + slices.Index(firstCores, cut))
			s.mustPublish(v, other)
			if got, err := s.cores[cut].core.CurrentCatalog(context.Background()); err == nil {
				t.Errorf("%s, cut off, reads %q", cut, got)
			}
			for _, o := range firstCores {
				if o != cut {
					s.net.SetPartitioned(cut, o, false)
				}
			}
			time.Sleep(3 * time.Second)
			s.expect(cut, v)
		}
	})
}
