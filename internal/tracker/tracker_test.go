package tracker

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

var startTime = time.Unix(1000, 0)

func newServer(id string, incarnation, sequence uint64) Server {
	return Server{
		ID: identifier.Server(id), Service: "llm", Address: id + ":1", Domain: "z", Incarnation: incarnation, Sequence: sequence,
		LastHeartbeatAt: startTime,
	}
}

func TestOutdatedAnnouncementsAreDropped(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	s := newServer("a", 10, 5)
	if !g.Apply(s) {
		t.Fatal("the first announcement changed nothing")
	}
	old := newServer("a", 10, 4)
	old.Draining = true
	if g.Apply(old) || g.Get("a").Draining {
		t.Error("an announcement that was overtaken by a later one was stored")
	}
	earlier := newServer("a", 9, 99)
	if g.Apply(earlier) {
		t.Error("an announcement of an earlier incarnation was stored")
	}
	again := newServer("a", 11, 1)
	if !g.Apply(again) || g.Get("a").Sequence != 1 {
		t.Error("an announcement of a later incarnation was not stored")
	}
}

func TestUnchangedStateKeepsRevision(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	g.Apply(newServer("a", 10, 5))
	r := g.Revision()
	next := newServer("a", 10, 6)
	next.LastHeartbeatAt = startTime.Add(time.Second)
	if g.Apply(next) || g.Revision() != r {
		t.Error("the same state counted as a change")
	}
	if !g.Get("a").LastHeartbeatAt.Equal(next.LastHeartbeatAt) {
		t.Error("the time of the last announcement was not recorded")
	}
}

func TestGoneServerStaysGone(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	g.Apply(newServer("a", 10, 5))
	if !g.MarkGone(startTime, "a", 10) {
		t.Fatal("the announcement that the server leaves changed nothing")
	}
	g.Apply(newServer("a", 10, 6))
	if !g.Get("a").Gone {
		t.Error("a delayed heartbeat brought a server back")
	}
	g.Apply(newServer("a", 20, 1))
	if g.Get("a").Gone {
		t.Error("a restarted server counts as gone")
	}
	if g.MarkGone(startTime, "a", 10) {
		t.Error("a delayed announcement that an earlier incarnation leaves marked a later one as gone")
	}
}

func TestServerIsSupersededAtItsAddress(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	old := newServer("a", 10, 5)
	g.Apply(old)
	later := newServer("b", 20, 1)
	later.Address = old.Address
	g.Apply(later)
	if a := g.Get("a"); !a.Gone || !a.Superseded {
		t.Error("a server is not superseded although a later one has announced its address")
	}
	// A heartbeat of the superseded server, delayed by a network partition.
	old.Sequence = 6
	g.Apply(old)
	if g.Get("a").Usable() || !g.Get("b").Usable() {
		t.Error("a delayed heartbeat took the address back")
	}
}

// TestForeignServiceSupersedesNobody guards against a head that counts as ended, and whose members join
// other groups, because a program that is no server of the system has announced its address.
func TestForeignServiceSupersedesNobody(t *testing.T) {
	named := map[identifier.Service]bool{"llm": true}
	g := &Registry{SilenceTimeout: time.Second, IsNamed: func(s identifier.Service) bool { return named[s] }}
	g.Apply(newServer("a", 10, 5))
	foreign := newServer("b", 20, 1)
	foreign.Address, foreign.Service = "a:1", "node-exporter"
	g.Apply(foreign)
	g.RecheckAddresses()
	sameID := newServer("a", 30, 1)
	sameID.Service = "node-exporter"
	g.Announce(sameID)
	if a := g.Get("a"); !a.Usable() || a.Incarnation != 10 {
		t.Errorf("a service that nobody names has made the server %+v", a)
	}
	named["node-exporter"] = true
	g.RecheckAddresses()
	if a := g.Get("a"); !a.Gone || !a.Superseded || !g.Get("b").Usable() {
		t.Errorf("once the service is named, the servers are %+v and %+v", a, g.Get("b"))
	}
}

func TestServersBecomeSilent(t *testing.T) {
	g := &Registry{SilenceTimeout: 3 * time.Second}
	g.Apply(newServer("a", 10, 5))
	if ids := g.ExpireServers(startTime.Add(3 * time.Second)); len(ids) != 0 {
		t.Errorf("%v became silent too soon", ids)
	}
	if ids := g.ExpireServers(startTime.Add(3100 * time.Millisecond)); len(ids) != 1 {
		t.Errorf("newly silent: %v", ids)
	}
	back := newServer("a", 10, 6)
	back.LastHeartbeatAt = startTime.Add(4 * time.Second)
	if !g.Apply(back) || g.Get("a").Silent {
		t.Error("a server that announced itself again is still silent")
	}
}

// TestSameAnnouncementIsNoNews has another process report an announcement that was
// already applied long ago. The server must stay silent.
func TestSameAnnouncementIsNoNews(t *testing.T) {
	g := &Registry{SilenceTimeout: 3 * time.Second}
	s := newServer("a", 10, 5)
	g.Apply(s)
	g.ExpireServers(startTime.Add(40 * time.Second))
	r := g.Revision()
	s.LastHeartbeatAt = startTime.Add(5 * time.Millisecond)
	if g.Apply(s) || !g.Get("a").Silent || g.Revision() != r {
		t.Error("a repeated report of an old announcement counted as a change")
	}
	s.Gone = true
	if !g.Apply(s) || !g.Get("a").Gone {
		t.Error("a report that the server has left was dropped")
	}
}

func TestChangedSince(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	g.Apply(newServer("a", 10, 5))
	r := g.Revision()
	g.Apply(newServer("b", 10, 5))
	if got := g.ChangedSince(r); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("changed since: %v", got)
	}
	if got := g.ChangedSince(0); len(got) != 2 {
		t.Errorf("changed since the beginning: %v", got)
	}
}

func TestSmallShiftOfColdUntilIsNoChange(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	// Servers announce the remaining time of the cold phase, so that ColdUntil
	// shifts by the transit time of each heartbeat.
	s := newServer("a", 10, 5)
	s.ColdUntil = startTime.Add(3 * time.Second)
	g.Apply(s)
	s.Sequence, s.ColdUntil = 6, startTime.Add(3200*time.Millisecond)
	if g.Apply(s) {
		t.Error("the transit of a heartbeat counted as a change")
	}
	s.Sequence, s.ColdUntil = 7, startTime.Add(8*time.Second)
	if !g.Apply(s) {
		t.Error("a server that became cold again did not count as a change")
	}
}

// TestServerKeepsFieldNamesInDump guards the field names that operators read in the
// JSON dump, some of which differ from the Go names.
func TestServerKeepsFieldNamesInDump(t *testing.T) {
	data, err := json.Marshal(Server{
		ID: "a", Service: "llm", Address: "a:1", Domain: "z", Fabric: "f", SoftwareVersion: "v1", Slots: 4, Draining: true,
		ColdUntil: startTime, Incarnation: 10, Sequence: 5, StagedModels: []string{"m"}, LoadedModels: []string{"m"},
		Membership: Membership{Group: "g", Epoch: 1, Rank: 2, State: StateOpen},
		Gone:       true, Superseded: true, Silent: true, LastHeartbeatAt: startTime,
	})
	if err != nil {
		t.Fatal(err)
	}
	var fields, membership map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(fields["Membership"], &membership); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"Address", "Born", "ColdUntil", "Dead", "Domain", "Draining", "Fabric", "Gone", "GonePresumed", "GoneUpTo", "HeardAt", "ID", "Leaving",
		"LeavingUpTo", "Membership", "Models", "Reinstatements", "Sequence", "Service", "Silent", "Slots", "Software", "Staged",
	}
	if got := slices.Sorted(maps.Keys(fields)); !slices.Equal(got, want) {
		t.Errorf("JSON fields of Server: %q rather than %q", got, want)
	}
	want = []string{"Epoch", "Group", "Rank", "State"}
	if got := slices.Sorted(maps.Keys(membership)); !slices.Equal(got, want) {
		t.Errorf("JSON fields of Membership: %q rather than %q", got, want)
	}
}
