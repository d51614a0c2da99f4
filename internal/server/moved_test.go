package server

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

// openSlowAnswers opens a stream at each entry of domain a, whose servers take 150 s for it.
func (w *testCluster) openSlowAnswers() chan response {
	w.slowServers("engine")
	answers := make(chan response, 2)
	for _, entry := range []string{"entry-a-1", "entry-a-2"} {
		go func() { answers <- w.sendChatUntil(entry, true, 5*time.Minute) }()
	}
	time.Sleep(time.Second)
	return answers
}

// checkSlowAnswers requires whole answers.
func (w *testCluster) checkSlowAnswers(answers chan response) {
	w.t.Helper()
	for range cap(answers) {
		if r := <-answers; !r.complete || r.status != http.StatusOK {
			w.t.Errorf("an answer was given up: %s", r)
		}
	}
}

// TestAnswersOutliveTheirGroups guards against answers that an entry gives up when a group that
// works on them loses a member and is dissolved.
func TestAnswersOutliveTheirGroups(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		answers := w.openSlowAnswers()
		view, _ := w.entries["entry-a-1"].server.locator.View(time.Now())
		for _, g := range view.GetGroups() {
			if g.GetService() == "chat" {
				lost := g.GetMembers()[1]
				w.backends[lost].server.SetFaults(emulator.Faults{Paused: true})
				w.network.Kill(lost)
			}
		}
		w.checkSlowAnswers(answers)
	})
}

// TestAnswersOutliveTheirOwners guards against answers that are given up when their group gets
// another owner.
func TestAnswersOutliveTheirOwners(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		answers := w.openSlowAnswers()
		moved := false
		for _, vm := range []string{"entry-a-1", "entry-a-2"} {
			before := w.ownersIn("a")
			drain := &trefoilheadv1.Drain{Kind: recorder.DrainEntryVM, Id: vm}
			w.setDrainVia("entry-b-1", drain, true)
			time.Sleep(20 * time.Second)
			moved = moved || w.ownersIn("a") != before
			w.setDrainVia("entry-b-1", drain, false)
			time.Sleep(20 * time.Second)
		}
		if !moved {
			t.Errorf("no group has had another owner: %s", w.ownersIn("a"))
		}
		w.checkSlowAnswers(answers)
	})
}

// ownersIn lists the owners of the groups of a failure domain.
func (w *testCluster) ownersIn(domain string) string {
	view, _ := w.entries["entry-"+domain+"-1"].server.locator.View(time.Now())
	var owners []string
	for _, g := range view.GetGroups() {
		owners = append(owners, g.GetId()+"="+g.GetOwner())
	}
	return strings.Join(owners, " ")
}
