package server

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/emulator"
)

// relayingEntry returns an entry of a failure domain that owns none of its groups of engines.
func (w *testCluster) relayingEntry(domain string) *testEntry {
	w.t.Helper()
	for vm, e := range w.entries {
		if !strings.HasPrefix(vm, "entry-"+domain) {
			continue
		}
		owned := 0
		for _, g := range e.server.locator.OwnedGroups() {
			if g.GetService() == "chat" {
				owned++
			}
		}
		if owned == 0 {
			return e
		}
	}
	w.t.Fatalf("every entry of %s owns a group", domain)
	return nil
}

// TestStopKeepsAnswersOnTheirWay guards against a planned stop that cuts off answers which the
// entry only relays, from the owner of a group to an entry of another failure domain.
func TestStopKeepsAnswersOnTheirWay(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		const streams = 5
		w.setFaults("engine", emulator.Faults{TimeFactor: 30})
		// Requests at domain a go to an entry of domain b, since no other domain serves.
		w.setEvacuated("a", true)
		w.setEvacuated("c", true)
		time.Sleep(3 * time.Second)
		answers := make(chan response, streams)
		for range streams {
			go func() { answers <- w.sendChatUntil("entry-a-1", true, time.Minute) }()
		}
		time.Sleep(4 * time.Second)
		e := w.relayingEntry("b")
		e.stop()
		for range streams {
			if r := <-answers; !r.complete || r.status != http.StatusOK {
				t.Errorf("an answer was cut off: %s", r)
			}
		}
		if err := <-e.done; err != nil {
			t.Error(err)
		}
	})
}
