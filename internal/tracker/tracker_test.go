package tracker

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

var start = time.Unix(1000, 0)

func server(id string, born, sequence uint64) Server {
	return Server{
		ID: identifier.Server(id), Service: "llm", Address: id + ":1", Domain: "z", Born: born, Sequence: sequence,
		HeardAt: start,
	}
}

func TestLateAnnouncementsAreDropped(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	s := server("a", 10, 5)
	if !g.Apply(s) {
		t.Fatal("the first announcement changed nothing")
	}
	old := server("a", 10, 4)
	old.Draining = true
	if g.Apply(old) || g.Get("a").Draining {
		t.Error("an announcement that was overtaken was taken")
	}
	earlier := server("a", 9, 99)
	if g.Apply(earlier) {
		t.Error("an announcement of an earlier life was taken")
	}
	again := server("a", 11, 1)
	if !g.Apply(again) || g.Get("a").Sequence != 1 {
		t.Error("a new life under the same id was not taken")
	}
}

func TestRepeatedAnnouncementIsNoChange(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	g.Apply(server("a", 10, 5))
	r := g.Revision()
	next := server("a", 10, 6)
	next.HeardAt = start.Add(time.Second)
	if g.Apply(next) || g.Revision() != r {
		t.Error("the same state counted as a change")
	}
	if !g.Get("a").HeardAt.Equal(next.HeardAt) {
		t.Error("the time of the last announcement was not noted")
	}
}

func TestLeaverStaysGone(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	g.Apply(server("a", 10, 5))
	if !g.MarkGone(start, "a", 10) {
		t.Fatal("the leave changed nothing")
	}
	g.Apply(server("a", 10, 6))
	if !g.Get("a").Gone {
		t.Error("a heartbeat that was held up brought a server back")
	}
	g.Apply(server("a", 20, 1))
	if g.Get("a").Gone {
		t.Error("a new life is taken for gone")
	}
	if g.MarkGone(start, "a", 10) {
		t.Error("a late leave of an earlier life ended a later one")
	}
}

func TestAddressIsTakenOver(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	old := server("a", 10, 5)
	g.Apply(old)
	later := server("b", 20, 1)
	later.Address = old.Address
	g.Apply(later)
	if a := g.Get("a"); !a.Gone || !a.Dead {
		t.Error("a server whose address another one has is not dead")
	}
	// A heartbeat of the dead one that was held up by a cut.
	old.Sequence = 6
	g.Apply(old)
	if g.Get("a").Usable() || !g.Get("b").Usable() {
		t.Error("a late heartbeat took the address back")
	}
}

func TestSilence(t *testing.T) {
	g := &Registry{SilenceTimeout: 3 * time.Second}
	g.Apply(server("a", 10, 5))
	if ids := g.ExpireServers(start.Add(3 * time.Second)); len(ids) != 0 {
		t.Errorf("%v are silent too soon", ids)
	}
	if ids := g.ExpireServers(start.Add(3100 * time.Millisecond)); len(ids) != 1 {
		t.Errorf("silent are %v", ids)
	}
	back := server("a", 10, 6)
	back.HeardAt = start.Add(4 * time.Second)
	if !g.Apply(back) || g.Get("a").Silent {
		t.Error("a server that was heard again is still silent")
	}
}

// TestSameAnnouncementIsNoNews has another process report what it heard long ago.
// The server stays silent.
func TestSameAnnouncementIsNoNews(t *testing.T) {
	g := &Registry{SilenceTimeout: 3 * time.Second}
	s := server("a", 10, 5)
	g.Apply(s)
	g.ExpireServers(start.Add(40 * time.Second))
	r := g.Revision()
	s.HeardAt = start.Add(5 * time.Millisecond)
	if g.Apply(s) || !g.Get("a").Silent || g.Revision() != r {
		t.Error("a repeated report of an old announcement counted as news")
	}
	s.Gone = true
	if !g.Apply(s) || !g.Get("a").Gone {
		t.Error("a report that the server has left was dropped")
	}
}

func TestSinceGivesWhatChanged(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	g.Apply(server("a", 10, 5))
	r := g.Revision()
	g.Apply(server("b", 10, 5))
	if got := g.ChangedSince(r); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("changed since: %v", got)
	}
	if got := g.ChangedSince(0); len(got) != 2 {
		t.Errorf("all: %v", got)
	}
}

func TestColdEndMovesLittle(t *testing.T) {
	g := &Registry{SilenceTimeout: time.Second}
	s := server("a", 10, 5)
	s.ColdUntil = start.Add(3 * time.Second)
	g.Apply(s)
	s.Sequence, s.ColdUntil = 6, start.Add(3200*time.Millisecond)
	if g.Apply(s) {
		t.Error("the delay of a heartbeat counted as a change")
	}
	s.Sequence, s.ColdUntil = 7, start.Add(8*time.Second)
	if !g.Apply(s) {
		t.Error("a server that turned cold again was not noted")
	}
}
