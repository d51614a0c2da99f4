package server

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/emulator"
)

// TestStalledStreamWithStrayBytesEnds guards against streams that never end because a
// stalled server sends a byte now and then.
func TestStalledStreamWithStrayBytesEnds(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		for _, b := range w.backends {
			b.server.SetFaults(emulator.Faults{DripAfterTokens: 3})
		}
		startedAt := time.Now()
		done := make(chan response, 1)
		go func() { done <- w.sendChat("entry-a-1") }()
		limit := w.entries["entry-a-1"].settings.Timing.InterTokenTimeout + 5*time.Second
		select {
		case r := <-done:
			if r.complete {
				t.Errorf("a stalled stream looks complete: %+v", r)
			}
		case <-time.After(limit):
			t.Errorf("the stream has not ended after %s", time.Since(startedAt))
			w.network.Kill(callerHost)
			<-done
		}
	})
}
