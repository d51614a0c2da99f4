package server

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	"trefoilhead.org/trefoilhead/internal/claimer"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

func TestGracefulStop(t *testing.T) {
	// Stops an entry while streams run through it, both as the callers' entry and
	// as the owner of the stream's group. All streams must complete.
	withCluster(t, 2, func(w *testCluster) {
		const streams = 8
		done := make(chan response, streams)
		for i := range streams {
			go func() { done <- w.sendChat(fmt.Sprintf("entry-a-%d", i%2+1)) }()
		}
		time.Sleep(150 * time.Millisecond)
		e := w.entries["entry-a-2"]
		e.stop()
		for range streams {
			w.checkComplete(<-done)
		}
		if err := <-e.done; err != nil {
			t.Error(err)
		}
		w.startEntry("entry-a-2")
		time.Sleep(20 * time.Second)
		w.checkComplete(w.sendChat("entry-a-2"))
	})
}

func TestDiskLost(t *testing.T) {
	// Deletes the disk of a voter. It must come back as a non-voter, and operators
	// must be able to make it a voter again, with or without removing the old one first.
	t.Run("removed, then added", func(t *testing.T) { checkDiskLost(t, []bool{true, false}) })
	t.Run("exchanged", func(t *testing.T) { checkDiskLost(t, []bool{false}) })
}

func checkDiskLost(t *testing.T, removals []bool) {
	t.Helper()
	withCluster(t, 1, func(w *testCluster) {
		w.killEntry("entry-b-1")
		if err := os.RemoveAll(filepath.Join(w.dataFolder, "entry-b-1")); err != nil {
			t.Fatal(err)
		}
		w.startEntry("entry-b-1")
		time.Sleep(10 * time.Second)
		status := w.entries["entry-b-1"].server.logs[configLog].Status()
		if status.ID == "entry-b-1" || len(status.Voters) != 0 {
			t.Fatalf("a voter that lost its disk came back as %+v", status)
		}
		leader := string(w.entries["entry-a-1"].server.leaderOf(configLog))
		for _, remove := range removals {
			w.changeVoter("entry-b-1", remove)
			time.Sleep(5 * time.Second)
		}
		if leader == "" {
			t.Fatal("no leader")
		}
		status = w.entries["entry-b-1"].server.logs[configLog].Status()
		if len(status.Voters) != 3 || status.Leader == "" {
			t.Errorf("the process with the new disk is not a voter: %+v", status)
		}
		w.setEvacuated("c", true)
	})
}

func (w *testCluster) changeVoter(vm string, remove bool) {
	// Sends the call to all entries in turn, since only a process that leads both
	// logs accepts it.
	w.t.Helper()
	var err error
	for range 20 {
		for entry := range w.entries {
			_, err = w.operatorClient(entry).ChangeVoter(context.Background(), connect.NewRequest(&trefoilheadv1.ChangeVoterRequest{VmId: vm, Remove: remove}))
			if err == nil {
				return
			}
		}
		time.Sleep(time.Second)
	}
	w.t.Fatal(err)
}

func TestRestartOfEverything(t *testing.T) {
	// Kills all entries and starts them again. They must have the last
	// configuration and serve with it. The groups should go on without being formed
	// again, but the test checks only that all of them serve.
	withCluster(t, 2, func(w *testCluster) {
		for i := range 50 {
			w.setEvacuated("c", i%2 == 0)
		}
		time.Sleep(3 * time.Second)
		for vm := range w.entries {
			w.killEntry(vm)
		}
		for _, p := range w.peers {
			w.startEntry(string(p.VM))
		}
		time.Sleep(time.Second)
		w.waitForGroups(6)
		for vm, e := range w.entries {
			if r := e.server.config.Revision(); r != 51 {
				t.Errorf("%s came back with revision %d, not 51", vm, r)
			}
			w.checkComplete(w.sendChat(vm))
		}
	})
}

func TestRolloutCutsNothing(t *testing.T) {
	// Changes the declared model version while streams run. Every stream must
	// complete, and all groups must end up with the new version.
	withCluster(t, 2, func(w *testCluster) {
		responses := make(chan response)
		stop := make(chan struct{})
		const callers = 12
		for i := range callers {
			go func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						responses <- response{}
						return
					case <-time.After(time.Duration(37*i+11*n%50) * time.Millisecond):
						responses <- w.sendChat(fmt.Sprintf("entry-%s-%d", testDomains[i%3], n%2+1))
					}
				}
			}()
		}
		w.declare("2")
		end := time.Now().Add(3 * time.Minute)
		completed := 0
		for time.Now().Before(end) {
			w.checkComplete(<-responses)
			completed++
		}
		close(stop)
		for running := callers; running > 0; {
			if r := <-responses; r.mark == "" {
				running--
			}
		}
		if completed < 500 {
			t.Errorf("only %d responses during the rollout", completed)
		}
		for _, d := range testDomains {
			view, _ := w.entries[fmt.Sprintf("entry-%s-1", d)].server.locator.View(time.Now())
			for _, g := range view.GetGroups() {
				if g.GetService() == "chat" && (g.GetVersion() != "2" || !g.GetServing()) {
					t.Errorf("group %s has version %s and is %s: %s", g.GetId(), g.GetVersion(), g.GetState(), g.GetReason())
				}
			}
		}
	})
}

func TestAuthorityDies(t *testing.T) {
	// Kills the placement authority of a failure domain, which also owns groups.
	// Every request through the other entries must complete meanwhile, and the
	// groups must go on serving under the next authority.
	withCluster(t, 2, func(w *testCluster) {
		authority := string(w.entries["entry-a-1"].server.lease.knownHolder())
		other := "entry-a-1"
		if authority == other {
			other = "entry-a-2"
		}
		w.killEntry(authority)
		for span := range 20 {
			before := w.runCountIn("a")
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				w.checkComplete(w.sendChat(other))
				w.checkComplete(w.sendChat("entry-b-1"))
			}
			if w.runCountIn("a") == before {
				t.Errorf("the domain's own groups ran nothing from second %d to %d", 2*span, 2*span+2)
			}
		}
		serving := 0
		view, _ := w.entries[other].server.locator.View(time.Now())
		for _, g := range view.GetGroups() {
			if g.GetServing() && g.GetService() == "chat" && g.GetOwner() == other {
				serving++
			}
		}
		if serving != 2 {
			t.Errorf("%d of 2 groups serve under the next authority: %v", serving, view.GetGroups())
		}
	})
}

func TestManyClaimsSurviveARestart(t *testing.T) {
	// Makes more claims than one snapshot covers, restarts all entries and resends
	// some of the requests. Each must get its stored response.
	withCluster(t, 1, func(w *testCluster) {
		const claims = 2600
		log := claimRunner{w.entries["entry-a-1"].server}
		for i := range claims {
			c := claimer.Command{Action: claimer.ActionBegin, Key: claimer.Key{Team: "t", Value: fmt.Sprint(i)}, Attempt: fmt.Sprint(i), Retention: 1 << 40}
			if o, err := log.RunCommand(context.Background(), c); err != nil || o.Verdict != claimer.VerdictGranted {
				t.Fatalf("claim %d: %v, %v", i, o, err)
			}
			c.Action, c.Response = claimer.ActionFinish, &claimer.Response{Status: 201, Body: []byte(fmt.Sprint(i))}
			if o, err := log.RunCommand(context.Background(), c); err != nil || o.Verdict != claimer.VerdictApplied {
				t.Fatalf("finishing %d: %v, %v", i, o, err)
			}
		}
		time.Sleep(time.Second)
		if first := w.entries["entry-a-1"].server.logs[claimsLog].Status().FirstIndex; first == 1 {
			t.Error("no snapshot was taken")
		}
		for vm := range w.entries {
			w.killEntry(vm)
		}
		for _, p := range w.peers {
			w.startEntry(string(p.VM))
		}
		time.Sleep(10 * time.Second)
		log = claimRunner{w.entries["entry-b-1"].server}
		for i := 0; i < claims; i += 100 {
			c := claimer.Command{Action: claimer.ActionBegin, Key: claimer.Key{Team: "t", Value: fmt.Sprint(i)}, Attempt: "again"}
			o, err := log.RunCommand(context.Background(), c)
			if err != nil || o.Verdict != claimer.VerdictFinished || string(o.Response.Body) != fmt.Sprint(i) {
				t.Errorf("claim %d after the restart: %v, %v", i, o, err)
			}
		}
	})
}

func TestRestartDoesNotGoBack(t *testing.T) {
	// Restarts an entry without a disk while it can reach only a peer that missed
	// the last change. The entry must not serve with the peer's older configuration,
	// since it served with a newer one before the restart.
	withCluster(t, 2, func(w *testCluster) {
		setIsolated := func(vm string, except string, isolated bool) {
			for other := range w.hosts(func(identifier.FailureDomain) bool { return true }) {
				if other != vm && other != except {
					w.network.SetPartitioned(vm, other, isolated)
				}
			}
		}
		setIsolated("entry-c-2", "", true)
		w.setEvacuated("b", true)
		time.Sleep(5 * time.Second)
		if a, c := w.configRevision("entry-a-2"), w.configRevision("entry-c-2"); a != 2 || c != 1 {
			t.Fatalf("the revisions are %d and %d, want 2 and 1", a, c)
		}
		setIsolated("entry-a-2", "entry-c-2", true)
		w.network.SetPartitioned("entry-a-2", "entry-c-2", false)
		w.killEntry("entry-a-2")
		w.startEntry("entry-a-2")
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			// As if the random choice of a peer to pull from were the lagging one.
			w.entries["entry-a-2"].server.applyDelta(w.entries["entry-c-2"].server.configDelta(0))
			if s := w.entries["entry-a-2"].server; s.isConfigReady() && s.config.Revision() < 2 {
				t.Fatalf("the entry serves with revision %d after it had served with 2", s.config.Revision())
			}
		}
		setIsolated("entry-a-2", "", false)
		setIsolated("entry-c-2", "", false)
		w.eventually(15*time.Second, "the entry serves with the last revision", func() bool {
			return w.entries["entry-a-2"].server.isConfigReady() && w.configRevision("entry-a-2") == 2
		})
	})
}

func (w *testCluster) configRevision(vm string) identifier.Revision {
	return w.entries[vm].server.config.Revision()
}

func TestClaimsExpire(t *testing.T) {
	// A finished claim must be replayed within its retention and be removed some
	// time after, even if a voter restarts meanwhile and the leader changes.
	withCluster(t, 1, func(w *testCluster) {
		const retention = 4 * time.Minute
		for _, e := range w.entries {
			e.server.relayer.Limits.ClaimRetention = retention
		}
		if r := w.sendBooking("entry-a-1", "aged"); !r.complete {
			t.Fatal(r)
		}
		time.Sleep(retention / 2)
		w.killEntry("entry-b-1")
		w.startEntry("entry-b-1")
		time.Sleep(retention/2 - time.Minute)
		if r := w.sendBooking("entry-a-1", "aged"); !r.complete || w.runCount("aged") != 1 {
			t.Errorf("within the retention the request ran %d times: %s", w.runCount("aged"), r)
		}
		time.Sleep(retention)
		if n := w.entries["entry-a-1"].server.claims.Count(); n != 0 {
			t.Errorf("%d claims are kept long after their retention", n)
		}
	})
}
