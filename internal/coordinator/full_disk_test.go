package coordinator_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
)

// setDiskFull makes the disk of a host refuse writes, or accept them again.
func (s *system) setDiskFull(name string, full bool) {
	s.t.Helper()
	var err error
	if full {
		err = os.WriteFile(s.diskFullFile(name), nil, 0o600)
	} else {
		err = os.Remove(s.diskFullFile(name))
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// TestDisksFullInSeries guards against core processes that end at the first write that a full disk refuses.
// Never two disks are full at once, and none of the processes is started again.
func TestDisksFullInSeries(t *testing.T) {
	for name, times := range map[string]struct{ full, pause time.Duration }{
		"some seconds each":            {4 * time.Second, 2 * time.Second},
		"one right after the other":    {4 * time.Second, 0},
		"for a moment":                 {300 * time.Millisecond, 100 * time.Millisecond},
		"longer than a voter is given": {14 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runInSystem(t, func(s *system) {
				version := cataloger.Version(1)
				s.mustPublish(version, "a")
				for round := range 3 {
					for i, full := range initialCores {
						s.setDiskFull(full, true)
						for end := time.Now().Add(times.full); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
							version++
							s.mustPublish(version, initialCores[(i+round)%len(initialCores)])
						}
						s.setDiskFull(full, false)
						time.Sleep(times.pause)
					}
				}
				time.Sleep(4 * time.Second)
				for _, name := range initialCores {
					s.expectVersion(name, version)
					version++
					if err := s.cores[name].core.PublishCatalog(context.Background(), catalog(version)); err != nil {
						t.Errorf("%s refuses a catalog after all disks have room: %v", name, err)
					}
				}
				s.killCores(initialCores...)
				for _, name := range initialCores {
					s.startCore(name, false)
				}
				time.Sleep(2 * time.Second)
				for _, name := range initialCores {
					s.expectVersion(name, version)
				}
			})
		})
	}
}

// TestStartOnFullDisk guards against core processes that end because they start while their disk is full.
func TestStartOnFullDisk(t *testing.T) {
	for _, emptied := range []bool{false, true} {
		t.Run(fmt.Sprintf("emptied %v", emptied), func(t *testing.T) {
			runInSystem(t, func(s *system) {
				s.mustPublish(1, "a")
				s.killCores("b")
				if emptied {
					s.replaceDisk("b")
				}
				s.setDiskFull("b", true)
				s.startCore("b", false)
				time.Sleep(5 * time.Second)
				s.mustPublish(2, "a")
				s.setDiskFull("b", false)
				time.Sleep(4 * time.Second)
				s.killCores("a")
				s.mustPublish(3, "b")
				s.expectVersion("b", 3)
				s.expectVersion("c", 3)
			})
		})
	}
}

// TestFullDiskRefusesAtOnce guards against calls of operators that wait for a disk that is full.
func TestFullDiskRefusesAtOnce(t *testing.T) {
	runInSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		s.setDiskFull("a", true)
		s.mustPublish(2, "b")
		time.Sleep(time.Second)
		start := time.Now()
		if err := s.cores["a"].core.PublishCatalog(context.Background(), catalog(3)); err == nil {
			t.Error("a catalog was acknowledged by a process whose disk is full")
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("a catalog was refused after %v", took)
		}
	})
}

// TestNewFrontTakesNoStateOfFullDisk guards against fronts that start with an old catalog, because they get it from a
// core process whose disk is full.
func TestNewFrontTakesNoStateOfFullDisk(t *testing.T) {
	runInSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		time.Sleep(time.Second)
		s.setDiskFull("b", true)
		s.mustPublish(2, "a")
		time.Sleep(time.Second)
		s.mustPublish(3, "a")
		time.Sleep(500 * time.Millisecond)
		var fronts []string
		for i := range 12 {
			fronts = append(fronts, fmt.Sprintf("f%d", i))
			s.startFrontNamed(fronts[i], emptyDialect{})
		}
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for _, f := range fronts {
				if got := s.fronts[f].front.Snapshot().Catalog; got != 0 && got != 3 {
					t.Fatalf("%s has catalog %d", f, got)
				}
			}
		}
		for _, f := range fronts {
			if got := s.fronts[f].front.Snapshot().Catalog; got != 3 {
				t.Errorf("%s has catalog %d after 2 s", f, got)
			}
		}
	})
}
