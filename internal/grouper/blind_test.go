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
