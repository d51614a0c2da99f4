package coordinator_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// TestOddNamesDoNotStopProcesses guards against names that are no UTF-8, of a caller's model or
// prompt, a server or a failure domain, after which the processes can't read each other's messages
// any more.
func TestOddNamesDoNotStopProcesses(t *testing.T) {
	const odd = "\xff\xfe"
	for name, plant := range map[string]func(cs *crashSystem){
		"model of a request": func(cs *crashSystem) { cs.sendOdd("Model", odd, "Parts", "a,b") },
		"part of a prompt that crashes a server": func(cs *crashSystem) {
			cs.fleet.setCrashing(odd, true)
			cs.sendOdd("Model", "m1", "Parts", odd+",own")
			cs.fleet.setCrashing(odd, false)
		},
		"server": func(cs *crashSystem) {
			for _, c := range initialCores {
				cs.coreNamed(c).HandleAnnouncement(context.Background(), tracker.Server{
					ID: odd, Service: odd, Address: odd, Domain: odd, Fabric: odd, SoftwareVersion: odd, Incarnation: 1, Sequence: 1, LastHeartbeatAt: time.Now(),
					StagedModels: []string{odd}, LoadedModels: []string{odd}, Membership: tracker.Membership{Group: odd, State: odd},
				})
			}
		},
		"server that leaves": func(cs *crashSystem) {
			for _, c := range initialCores {
				// Without a start time the departure of an unknown server is refused.
				_ = cs.coreNamed(c).HandleLeave(context.Background(), odd, 0)
				if err := cs.coreNamed(c).HandleLeave(context.Background(), odd, 7); err != nil {
					cs.t.Error(err)
				}
			}
		},
		"failure domain": func(cs *crashSystem) {
			if err := cs.coreNamed("a").SetEvacuated(context.Background(), identifier.FailureDomain(odd), true); err != nil {
				cs.t.Errorf("evacuation: %v", err)
			}
			time.Sleep(time.Second)
			if e := cs.fronts["f0"].front.Snapshot().Evacuated; !slices.Contains(e, odd) {
				cs.t.Errorf("the evacuation was acknowledged, but %q are evacuated", e)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runInCrashSystem(t, 1, 2, func(cs *crashSystem) {
				plant(cs)
				time.Sleep(10 * time.Second)
				cs.mustPublish(2, "second")
				time.Sleep(3 * time.Second)
				for _, f := range cs.runningFronts() {
					if v := cs.fronts[f].front.Snapshot().Catalog; v != 2 || !cs.fronts[f].front.Ready() {
						t.Errorf("%s has catalog version %d, ready %v", f, v, cs.fronts[f].front.Ready())
					}
				}
				cs.killCores("b", "c")
				cs.startCore("b", false)
				cs.startCore("c", false)
				time.Sleep(5 * time.Second)
				cs.mustPublish(3, "third")
			})
		})
	}
}

// sendOdd sends a request for a model to the first front. header holds names and values in turn.
func (cs *crashSystem) sendOdd(header ...string) {
	resp, err := cs.callers.do("POST", "f0", "m1", "odd", crashTeams[0], header...)
	if err != nil {
		cs.t.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
