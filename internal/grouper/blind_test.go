package grouper

import (
	"strings"
	"testing"
	"time"
)

// TestCoreProcessesThatStoodStill guards against cutting off the requests of groups whose
// members seem silent, because the core processes stood still themselves and no front process
// has reported to them since.
func TestCoreProcessesThatStoodStill(t *testing.T) {
	f := newServingFleet(t, 9)
	f.answerTime = 2 * time.Second
	// Their heartbeats are spread over time, those of the heads come first.
	for i, id := range f.engineIDs {
		f.engines[id].lastHeartbeatAt = f.now.Add(time.Duration(-1-(i+5)%7) * 150 * time.Millisecond)
	}
	f.frozenUntil = f.now.Add(4 * time.Second)
	f.run(10 * time.Second)
	f.failOnCuts(t)
	if len(f.log) > 0 {
		t.Errorf("groups were changed:\n%s", strings.Join(f.log, "\n"))
	}
}

// TestPartitionHealsServerByServer guards against ending a group that goes on working behind a
// network partition, when its servers announce themselves again one after the other.
func TestPartitionHealsServerByServer(t *testing.T) {
	for _, first := range []int{0, 1, 3} {
		f := newServingFleet(t, 5)
		members := f.openHeads()[0].members
		for _, id := range members {
			f.disturb(t, "cut_far", f.engines[id])
		}
		f.run(10 * time.Second)
		f.log = nil
		for i := range members {
			f.engines[members[(first+i)%len(members)]].cutFromFronts = false
		}
		for i := range members {
			f.disturb(t, "heal", f.engines[members[(first+i)%len(members)]])
			f.run(350 * time.Millisecond)
		}
		f.run(10 * time.Second)
		f.failOnCuts(t)
		if !f.isComplete(f.engines[members[0]]) {
			t.Errorf("the group has lost members when member %d was heard first:\n%s", first, strings.Join(f.log, "\n"))
		}
	}
}

// TestProbesOfCoreProcessesThatStoodStill guards against taking members for lost because the
// core processes stood still while the responses to their probes came.
func TestProbesOfCoreProcessesThatStoodStill(t *testing.T) {
	f := newServingFleet(t, 5)
	f.answerTime = 2 * time.Second
	f.openHeads()[0].pausedUntil = f.now.Add(900 * time.Millisecond)
	f.unansweredOrders, f.lateOrderDelay = testModels[0].GroupSize, time.Second
	f.run(500 * time.Millisecond)
	f.frozenUntil = f.now.Add(800 * time.Millisecond)
	f.run(10 * time.Second)
	f.failOnCuts(t)
	if len(f.log) > 0 || f.unansweredOrders > 0 {
		t.Errorf("%d members were not probed; groups were changed:\n%s", f.unansweredOrders, strings.Join(f.log, "\n"))
	}
}
