package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

func life(incarnation uint64) tracker.Server {
	return tracker.Server{
		ID: "s", Service: "svc", Address: "s:1", Domain: "zc", Incarnation: incarnation, Sequence: 1, LastHeartbeatAt: time.Now(),
	}
}

// expectUnused checks for a time that no front uses the server.
func (s *system) expectUnused(span time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, name := range s.runningFronts() {
			for _, known := range s.fronts[name].front.Snapshot().Servers {
				if known.Usable() {
					s.t.Fatalf("%s uses %s, started at %d, though its departure was acknowledged", name, known.ID, known.Incarnation)
				}
			}
		}
	}
}

func (s *system) expectUsed(incarnation uint64) {
	s.t.Helper()
	for _, name := range s.runningFronts() {
		servers := s.fronts[name].front.Snapshot().Servers
		if len(servers) != 1 || !servers[0].Usable() || servers[0].Incarnation != incarnation {
			s.t.Errorf("%s does not use the life that started at %d: %+v", name, incarnation, servers)
		}
	}
}

// TestLateHeartbeatDoesNotTakeDepartureBack guards against a server that gets requests again because the first
// heartbeat of its life comes after the departure of that life was acknowledged.
func TestLateHeartbeatDoesNotTakeDepartureBack(t *testing.T) {
	for _, known := range []bool{true, false} {
		for _, late := range []string{"a", "b", "c"} {
			t.Run(fmt.Sprintf("former life known %t, heartbeat to %s", known, late), func(t *testing.T) {
				t.Parallel()
				runInSystem(t, func(s *system) {
					s.mustPublish(1, "a")
					s.startFront()
					if known {
						s.coreNamed("a").HandleAnnouncement(context.Background(), life(5))
					}
					time.Sleep(2 * time.Second)
					if err := s.coreNamed("b").HandleLeave(context.Background(), "s", 6); err != nil {
						t.Fatal(err)
					}
					time.Sleep(1500 * time.Millisecond)
					s.coreNamed(late).HandleAnnouncement(context.Background(), life(6))
					time.Sleep(drainTime - 1500*time.Millisecond)
					s.expectUnused(6 * time.Second)
					s.coreNamed(late).HandleAnnouncement(context.Background(), life(7))
					time.Sleep(time.Second)
					s.expectUsed(7)
				})
			})
		}
	}
}

// TestDepartureOutlivesRestartOfAllCores guards against a departure that is acknowledged and forgotten, because
// all core processes are killed and a heartbeat of that life comes late.
func TestDepartureOutlivesRestartOfAllCores(t *testing.T) {
	for _, restartFronts := range []bool{false, true} {
		t.Run(fmt.Sprintf("fronts too %t", restartFronts), func(t *testing.T) {
			t.Parallel()
			runInSystem(t, func(s *system) {
				s.mustPublish(1, "a")
				s.startFront()
				s.coreNamed("a").HandleAnnouncement(context.Background(), life(5))
				time.Sleep(2 * time.Second)
				if err := s.coreNamed("b").HandleLeave(context.Background(), "s", 5); err != nil {
					t.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond)
				s.killCores(initialCores...)
				if restartFronts {
					s.killFront("f")
				}
				time.Sleep(500 * time.Millisecond)
				for _, name := range initialCores {
					s.startCore(name, false)
				}
				if restartFronts {
					s.startFront()
				}
				time.Sleep(5 * time.Second)
				for _, name := range initialCores {
					s.coreNamed(name).HandleAnnouncement(context.Background(), life(5))
				}
				s.expectUnused(6 * time.Second)
				s.coreNamed("c").HandleAnnouncement(context.Background(), life(6))
				time.Sleep(time.Second)
				s.expectUsed(6)
			})
		})
	}
}

// TestRepeatedDepartureIsAcknowledgedOnceOthersKnow guards against a departure call that is acknowledged at
// once while the first one is still being passed on.
func TestRepeatedDepartureIsAcknowledgedOnceOthersKnow(t *testing.T) {
	for name, leave := range map[string]func(c *coordinator.Coordinator){
		"gone": func(c *coordinator.Coordinator) { _ = c.HandleLeave(context.Background(), "s", 5) },
		"draining": func(c *coordinator.Coordinator) {
			draining := life(5)
			draining.Sequence, draining.Draining = 2, true
			c.HandleAnnouncement(context.Background(), draining)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInSystem(t, func(s *system) {
				s.mustPublish(1, "a")
				s.coreNamed("a").HandleAnnouncement(context.Background(), life(5))
				time.Sleep(2 * time.Second)
				// The others count as live for a while.
				s.cutCore("a", true)
				began := time.Now()
				go leave(s.coreNamed("a"))
				time.Sleep(20 * time.Millisecond)
				leave(s.coreNamed("a"))
				if took := time.Since(began); took < 200*time.Millisecond {
					t.Errorf("the second call was acknowledged %s after the first one, before another process could know", took)
				}
			})
		})
	}
}

// TestDepartureThatNoDiskHoldsIsRefused guards against an acknowledgement that rests on memory only.
func TestDepartureThatNoDiskHoldsIsRefused(t *testing.T) {
	runInSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		s.coreNamed("a").HandleAnnouncement(context.Background(), life(5))
		time.Sleep(2 * time.Second)
		for _, name := range initialCores {
			s.setDiskFull(name, true)
		}
		if err := s.coreNamed("a").HandleLeave(context.Background(), "s", 5); !errors.Is(err, coordinator.ErrNotKept) {
			t.Errorf("with all disks full the call returned %v", err)
		}
		s.setDiskFull("c", false)
		if err := s.coreNamed("a").HandleLeave(context.Background(), "s", 5); err != nil {
			t.Errorf("with one disk that accepts writes the call returned %v", err)
		}
	})
}

// TestAnswerOfUnknownLifeIsKept guards against a server that gets requests again because it has said in an answer
// that it leaves before the core process has heard of its present life.
func TestAnswerOfUnknownLifeIsKept(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("former life known %t", known), func(t *testing.T) {
			runInSystem(t, func(s *system) {
				s.mustPublish(1, "a")
				s.startFront()
				if known {
					s.coreNamed("a").HandleAnnouncement(context.Background(), life(5))
				}
				time.Sleep(2 * time.Second)
				said := &peerv1.FrontPull{Departures: []*peerv1.Departure{{Id: "s", BornMs: 6}}}
				_, err := s.coreNamed("b").HandlePeerMessage(context.Background(), identifier.VM("other:7"), &peerv1.Envelope{FrontPull: said})
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				s.coreNamed("c").HandleAnnouncement(context.Background(), life(6))
				s.expectUnused(6 * time.Second)
			})
		})
	}
}
