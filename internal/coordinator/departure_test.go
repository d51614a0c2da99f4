package coordinator_test

import (
	"context"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// TestAcknowledgedDepartureOutlivesCoreProcess guards against departures that only the core process
// knows that has acknowledged them, and that are lost with it.
func TestAcknowledgedDepartureOutlivesCoreProcess(t *testing.T) {
	server := func(id identifier.Server, sequence uint64) tracker.Server {
		return tracker.Server{ID: id, Service: "svc", Address: string(id) + ":1", Domain: "zc", Incarnation: 5, Sequence: sequence, LastHeartbeatAt: time.Now()}
	}
	runInSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		time.Sleep(2 * time.Second)
		leave := map[identifier.Server]func(core string){
			"gone": func(core string) {
				if err := s.coreNamed(core).HandleLeave(context.Background(), "gone", 5); err != nil {
					t.Error(err)
				}
			},
			"draining": func(core string) {
				next := server("draining", 9)
				next.Draining = true
				s.coreNamed(core).HandleAnnouncement(context.Background(), next)
			},
		}
		for id := range leave {
			s.coreNamed("c").HandleAnnouncement(context.Background(), server(id, 1))
		}
		time.Sleep(time.Second)
		for id, say := range leave {
			say("b")
			s.killCores("b")
			s.startCore("b", false)
			time.Sleep(contactTime)
			for _, known := range f.Snapshot().Servers {
				if known.ID == id && known.Usable() {
					t.Errorf("%s gets requests %s after its departure was acknowledged", id, contactTime)
				}
			}
		}
	})
}
