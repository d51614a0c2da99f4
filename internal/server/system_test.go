package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"

	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func TestAnswersAreWhole(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		for i := range 30 {
			w.checkComplete(w.sendChat(fmt.Sprintf("entry-%s-1", testDomains[i%3])))
		}
	})
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		first := w.sendBooking("entry-a-1", "once")
		second := w.sendBooking("entry-b-1", "once")
		if !first.complete || second.body != first.body || w.runCount("once") != 1 {
			t.Errorf("ran %d times; %s; %s", w.runCount("once"), first, second)
		}
		other := w.send("entry-c-1", "/services/booking/bookings", "another body", "other", "k")
		if other.refusal == nil || other.refusal.Code != refuser.KeyReused || w.runCount("other") != 0 {
			t.Errorf("a reused key was not refused: %s", other)
		}
	})
}

// TestLostAnswerIsNotRunAgain checks that a keyed request does not run a second
// time when it is resent after the backend server ran it and lost the response.
func TestLostAnswerIsNotRunAgain(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		w.setFaults("booking", emulator.Faults{LoseResponses: true})
		first := w.sendBooking("entry-a-1", "lost")
		if first.refusal == nil || first.refusal.Statement != refuser.MayHaveRun {
			t.Errorf("the refusal after a lost response does not state that the request may have run: %s", first)
		}
		w.setFaults("booking", emulator.Faults{})
		second := w.sendBooking("entry-b-1", "lost")
		if second.refusal == nil || second.refusal.Code != refuser.KeyRunning || w.runCount("lost") != 1 {
			t.Errorf("after a lost response the resent request got %s; it ran %d times", second, w.runCount("lost"))
		}
	})
}

// TestFailingServerIsEjected checks that one booking server that fails every
// request soon receives only occasional requests, while two others work.
func TestFailingServerIsEjected(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		w.startBackend("booking-a-2", "a", "booking")
		w.startBackend("booking-a-3", "a", "booking")
		time.Sleep(10 * time.Second)
		w.backends["booking-a-2"].server.SetFaults(emulator.Faults{LoseResponses: true})
		failed := 0
		const requests = 300
		for i := range requests {
			r := w.send("entry-a-1", "/services/booking/bookings", "x", fmt.Sprint("plain-", i), "")
			if !r.complete {
				failed++
			}
			time.Sleep(100 * time.Millisecond)
		}
		// Five failures eject the server; it is tried once more after being ejected
		// for 5, 10, 20 and 40 seconds. A request that was already running may fail
		// in addition to each.
		if failed > 12 {
			t.Errorf("%d of %d requests reached the failing server", failed, requests)
		}
		if failed == 0 {
			t.Error("the failing server was never tried")
		}
	})
}

func (w *testCluster) setFaults(prefix string, f emulator.Faults) {
	for vm, b := range w.backends {
		if len(vm) >= len(prefix) && vm[:len(prefix)] == prefix {
			b.server.SetFaults(f)
		}
	}
}

// TestEntryDiesBetweenClaimAndAnswer checks that a keyed request runs once when
// the entry that claimed its key is killed while the request runs, and the caller
// resends it through another entry.
func TestEntryDiesBetweenClaimAndAnswer(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		w.setFaults("booking", emulator.Faults{TimeFactor: 40})
		done := make(chan response, 1)
		go func() { done <- w.sendBooking("entry-a-1", "dies") }()
		time.Sleep(time.Second)
		w.killEntry("entry-a-1")
		<-done
		w.setFaults("booking", emulator.Faults{})
		for range 10 {
			r := w.sendBooking("entry-b-1", "dies")
			w.checkStatement(r)
			time.Sleep(time.Second)
		}
		if n := w.runCount("dies"); n != 1 {
			t.Errorf("the request ran %d times", n)
		}
	})
}

// TestBrokenStreamEndsWithAnError checks that a stream that breaks at the engine
// after three tokens does not look complete to the caller.
func TestBrokenStreamEndsWithAnError(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		w.setFaults("engine", emulator.Faults{CutAfterTokens: 3})
		r := w.sendChat("entry-a-1")
		if r.complete || r.tokens != 3 {
			t.Errorf("a cut stream looks complete: %s", r)
		}
		if r.err == nil {
			t.Errorf("a cut stream ended normally: %s", r)
		}
	})
}

// TestMemberLost pauses and disconnects one member of a group. After
// maxDetectionTime the group must receive no new requests, every request must get a
// complete response, and the group must be formed again with the spare engine.
func TestMemberLost(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		w.backends["engine-a-1"].server.SetFaults(emulator.Faults{Paused: true})
		w.network.Kill("engine-a-1")
		time.Sleep(maxDetectionTime)
		before := w.backends["engine-a-2"].server.RunCounts()
		for range 20 {
			w.checkComplete(w.sendChat("entry-a-1"))
			w.checkComplete(w.sendChat("entry-a-2"))
		}
		if after := w.backends["engine-a-2"].server.RunCounts(); len(after) != len(before) && w.inSameGroup("engine-a-1", "engine-a-2") {
			t.Errorf("a group that lost a member got %d requests", len(after)-len(before))
		}
		w.eventually(time.Minute, "the group is formed again", func() bool { return w.servingGroupsIn("a") == 2 })
	})
}

// maxDetectionTime is the time after which no request is sent to a group with a
// lost member: the silence timeout and one heartbeat for the report.
const maxDetectionTime = 5 * time.Second

func (w *testCluster) inSameGroup(a, b string) bool {
	view, _ := w.entries["entry-a-1"].server.locator.View(time.Now())
	for _, g := range view.GetGroups() {
		found := 0
		for _, m := range g.GetMembers() {
			if m == a || m == b {
				found++
			}
		}
		if found == 2 {
			return true
		}
	}
	return false
}

// TestFailureDomainTakenOut evacuates a failure domain: no request may fail, after
// a few seconds the domain must receive no new requests, and it must be used again
// after it is returned to service.
func TestFailureDomainTakenOut(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		stream := make(chan response, 1)
		go func() { stream <- w.sendChat("entry-c-1") }()
		time.Sleep(150 * time.Millisecond)
		w.setEvacuated("c", true)
		w.checkComplete(<-stream)
		for range 10 {
			w.checkComplete(w.sendChat("entry-c-1"))
			w.checkComplete(w.sendChat("entry-a-2"))
		}
		time.Sleep(3 * time.Second)
		before := w.runCountIn("c")
		for range 10 {
			w.checkComplete(w.sendChat("entry-c-2"))
		}
		if n := w.runCountIn("c") - before; n != 0 {
			t.Errorf("the domain got %d requests after it was evacuated", n)
		}
		w.setEvacuated("c", false)
		time.Sleep(3 * time.Second)
		w.checkComplete(w.sendChat("entry-c-1"))
		if w.runCountIn("c") == before {
			t.Error("the domain is not used after it was returned to service")
		}
	})
}

func (w *testCluster) setEvacuated(d identifier.FailureDomain, evacuated bool) {
	w.t.Helper()
	w.setEvacuatedVia("entry-a-1", d, evacuated)
}

func (w *testCluster) setEvacuatedVia(entry string, d identifier.FailureDomain, evacuated bool) {
	w.t.Helper()
	w.setDrainVia(entry, &trefoilheadv1.Drain{Kind: "failure_domain", Id: string(d)}, evacuated)
}

func (w *testCluster) setDrainVia(entry string, target *trefoilheadv1.Drain, drained bool) {
	w.t.Helper()
	ctx := context.Background()
	op := w.operatorClient(entry)
	current, err := op.Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		w.t.Fatal(err)
	}
	_, err = op.SetDrain(ctx, connect.NewRequest(&trefoilheadv1.SetDrainRequest{
		RequestId: fmt.Sprintf("drain-%d", current.Msg.GetRevision()), ExpectedRevision: current.Msg.GetRevision(),
		Drained: drained, Target: target,
	}))
	if err != nil {
		w.t.Fatal(err)
	}
}

// TestCutOffDomain disconnects a failure domain from the others. The domain must
// go on serving, report that it is cut off, refuse what needs the quorum with a
// correct statement, and form a group that loses a member again.
func TestCutOffDomain(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		w.partitionDomain("c", true)
		time.Sleep(15 * time.Second)
		for range 10 {
			w.checkComplete(w.sendChat("entry-c-1"))
			w.checkComplete(w.sendChat("entry-a-1"))
		}
		r := w.sendBooking("entry-c-1", "cut")
		if r.refusal == nil || r.refusal.Code != refuser.ClaimUnavailable || w.runCount("cut") != 0 {
			t.Errorf("a keyed request in the cut-off domain got %s", r)
		}
		get, err := w.operatorClient("entry-c-2").Get(context.Background(), connect.NewRequest(&trefoilheadv1.GetRequest{}))
		if err != nil || !get.Msg.GetCutOff() || get.Msg.GetRevision() != 1 {
			t.Errorf("the cut-off domain reports %v, error %v", get, err)
		}
		w.setEvacuated("b", true)
		w.network.Kill("engine-c-1")
		w.backends["engine-c-1"].server.SetFaults(emulator.Faults{Paused: true})
		time.Sleep(maxDetectionTime)
		w.eventually(time.Minute, "the cut-off domain forms its group again", func() bool { return w.servingGroupsIn("c") == 2 })
		w.partitionDomain("c", false)
		w.eventually(10*time.Second, "the evacuation takes effect in the reconnected domain", func() bool {
			return w.entries["entry-c-2"].server.locator.IsDomainEvacuated("b")
		})
		if r.refusal != nil && r.refusal.Statement != refuser.MayHaveRun {
			t.Errorf("the cut-off domain claims to know that no earlier attempt ran: %s", r)
		}
		if again := w.sendBooking("entry-c-1", "cut"); !again.complete || w.runCount("cut") != 1 {
			t.Errorf("after the domain was reconnected the same key got %s; it ran %d times", again, w.runCount("cut"))
		}
	})
}

// TestBlackholedConnections makes the network drop all data on every open
// connection of an entry, while new connections work. Refusals must state
// correctly whether requests ran, and soon all requests must complete again.
func TestBlackholedConnections(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		for range 5 {
			w.checkComplete(w.sendChat("entry-a-1"))
		}
		for other := range w.hosts(func(identifier.FailureDomain) bool { return true }) {
			w.network.BlackholeConnections("entry-a-1", other)
		}
		for range 5 {
			w.checkStatement(w.sendChat("entry-a-1"))
		}
		time.Sleep(10 * time.Second)
		for range 5 {
			w.checkComplete(w.sendChat("entry-a-1"))
		}
	})
}
