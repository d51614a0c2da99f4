package placer

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// TestGroupWhoseMembersReturnOneByOneServesAgain guards against releasing a group at work because
// its members, all of which were out of reach, announce themselves again one after the other.
func TestGroupWhoseMembersReturnOneByOneServesAgain(t *testing.T) {
	f := newFleet(func(int) int { return 0 })
	f.addEngines("x", 3, func(int) bool { return true })
	f.placer.SetServices([]ServiceSpec{{Service: "chat", Model: "m", Version: "1", Replicas: 1, VMsPerReplica: 3, Concurrency: 8, ColdConcurrency: 2}})
	f.run(time.Minute)
	if f.servingCount("chat") != 1 {
		t.Fatal("no group serves")
	}
	id := f.placer.Groups()[0].ID
	f.setUnreachable("x", true)
	f.run(20 * time.Second)
	f.engines["x-00"].unreachable = false
	f.run(800 * time.Millisecond)
	f.engines["x-01"].unreachable = false
	f.run(800 * time.Millisecond)
	f.engines["x-02"].unreachable = false
	f.run(2 * time.Second)
	if f.servingCount("chat") != 1 || f.placer.Groups()[0].ID != id {
		t.Errorf("the group was released: %+v", f.placer.Groups())
	}
	for _, vm := range []identifier.VM{"x-00", "x-01", "x-02"} {
		if g := f.engines[vm].server.Group; g != id {
			t.Errorf("%s is in group %q", vm, g)
		}
	}
	// A member that does not return is still noticed after the grace period.
	f.setUnreachable("x", true)
	f.run(20 * time.Second)
	f.engines["x-00"].unreachable = false
	f.run(time.Second)
	if len(f.placer.Groups()) != 1 || f.placer.Groups()[0].ID != id {
		t.Errorf("the group was released too early: %+v", f.placer.Groups())
	}
	f.run(4 * time.Second)
	if n := len(f.placer.Groups()); n != 0 && f.placer.Groups()[0].State == GroupSuspended {
		t.Errorf("the group was not released: %+v", f.placer.Groups())
	}
}
