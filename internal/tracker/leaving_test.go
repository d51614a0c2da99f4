package tracker

import (
	"testing"
	"time"
)

// TestAnnouncementsDoNotTakeDepartureBack guards against a server that gets requests again because
// of an announcement, although it has said in an answer that it leaves.
func TestAnnouncementsDoNotTakeDepartureBack(t *testing.T) {
	at := time.Unix(1000, 0)
	ready := func(incarnation, sequence uint64) Server {
		return Server{ID: "s", Service: "svc", Address: "a:1", Incarnation: incarnation, Sequence: sequence, LastHeartbeatAt: at}
	}
	leaving := func(incarnation, sequence uint64) Server {
		s := ready(incarnation, sequence)
		s.Leaving = true
		return s
	}
	for name, test := range map[string]struct {
		known, next Server
		usable      bool
	}{
		"a newer report":                        {leaving(1, 5), ready(1, 6), false},
		"an older report":                       {leaving(1, 5), ready(1, 4), false},
		"the same report":                       {leaving(1, 5), ready(1, 5), false},
		"a new run":                             {leaving(1, 5), ready(2, 1), true},
		"a departure in the same report":        {ready(1, 5), leaving(1, 5), false},
		"a departure in an older report":        {ready(1, 5), leaving(1, 2), false},
		"a departure of a former run":           {ready(2, 1), leaving(1, 9), true},
		"a departure in a newer report":         {ready(1, 5), leaving(1, 6), false},
		"a departure while it announces itself": {ready(1, 5), leaving(1, 5), false},
	} {
		applied, replaced := Registry{}, Registry{}
		applied.Apply(test.known)
		before := applied.Revision()
		changed := applied.Apply(test.next)
		if got := applied.Get("s").Usable(); got != test.usable || changed != (applied.Revision() > before) {
			t.Errorf("%s: Apply: usable %v, changed %v", name, got, changed)
		}
		replaced.ReplaceServer(test.known)
		earlier := replaced.Get("s")
		wasLeaving := earlier.Leaving
		replaced.ReplaceServer(test.next)
		if got := replaced.Get("s").Usable(); got != test.usable {
			t.Errorf("%s: ReplaceServer: usable %v", name, got)
		}
		if earlier.Leaving != wasLeaving {
			t.Errorf("%s: ReplaceServer changed an earlier result", name)
		}
	}
}

// TestDepartureOfAnotherRunIsIgnored guards against a restarted server that is left out because of
// an answer of its former run.
func TestDepartureOfAnotherRunIsIgnored(t *testing.T) {
	var g Registry
	now := time.Unix(1000, 0)
	g.Apply(Server{ID: "s", Incarnation: 2, Sequence: 1})
	if g.MarkLeaving(now, "s", 1) || g.MarkLeaving(now, "other", 0) || !g.Get("s").Usable() {
		t.Error("the departure of another run counts")
	}
	if !g.MarkLeaving(now, "s", 2) || g.MarkLeaving(now, "s", 2) || g.Get("s").Usable() {
		t.Error("the departure of this run does not count once")
	}
}

// TestDepartureRecordedByProcessThatKnowsLess guards against a server that gets requests although its
// departure was acknowledged, by a process that had not heard of it before or had missed reports.
func TestDepartureRecordedByProcessThatKnowsLess(t *testing.T) {
	known := Server{ID: "s", Service: "svc", Address: "a:1", Incarnation: 5, Sequence: 7, Membership: Membership{Group: "g", Epoch: 3, State: StateOpen}}
	var other Registry
	other.MarkGone(time.Unix(1000, 0), "s", 5)
	missed := known
	missed.Sequence, missed.Gone, missed.Membership = 4, true, Membership{}
	for name, departure := range map[string]Server{"had not heard of it": *other.Get("s"), "had missed reports": missed} {
		var applied, replaced Registry
		applied.Apply(known)
		if !applied.Apply(departure) || applied.Apply(departure) {
			t.Errorf("%s: Apply does not report the change once", name)
		}
		replaced.ReplaceServer(known)
		replaced.ReplaceServer(departure)
		for way, g := range map[string]*Registry{"Apply": &applied, "ReplaceServer": &replaced} {
			if got := g.Get("s"); got.Usable() || got.Service != "svc" || got.Membership != known.Membership {
				t.Errorf("%s, %s: %+v", name, way, got)
			}
		}
	}
}
