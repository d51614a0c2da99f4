package throttler

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func named(rate Rate) Statement { return Statement{Kind: NamedLimit, Rate: rate} }

// TestLimitEndsOnlyWithLaterRequest guards against answers to requests that were sent before
// the limit was named: they name none and must not end it.
func TestLimitEndsOnlyWithLaterRequest(t *testing.T) {
	var l Ledger
	if c := l.Observe(at(0), "s", 1, at(-50), named(4)); c != Began {
		t.Errorf("change %v, want Began", c)
	}
	if c := l.Observe(at(2000), "s", 1, at(-100), Statement{}); c != Unchanged || l.Get("s", 1) == nil {
		t.Errorf("an answer to an earlier request: change %v, limit %v", c, l.Get("s", 1))
	}
	if c := l.Observe(at(2100), "s", 1, at(2000), Statement{}); c != Ended || l.Get("s", 1) != nil {
		t.Errorf("an answer to a later request: change %v, limit %v", c, l.Get("s", 1))
	}
}

func TestLimitOfAnotherIncarnation(t *testing.T) {
	var l Ledger
	l.Observe(at(0), "s", 1, at(0), named(4))
	if l.Get("s", 2) != nil {
		t.Error("the limit holds for a restarted server")
	}
	l.Observe(at(10), "s", 2, at(0), named(2))
	if c := l.Merge(Limit{Server: "s", Incarnation: 1, Rate: 4, NamedAt: at(50)}); c != Unchanged || l.Get("s", 2).Rate != 2 {
		t.Errorf("a report about the former incarnation: change %v", c)
	}
}

func TestRateChangesAndReturns(t *testing.T) {
	var l Ledger
	l.Observe(at(0), "s", 1, at(0), named(4))
	if c := l.Observe(at(10), "s", 1, at(0), named(2)); c != RateChanged || l.Get("s", 1).Rate != 2 {
		t.Errorf("change %v", c)
	}
	l.Observe(at(2000), "s", 1, at(1500), Statement{})
	if c := l.Observe(at(2100), "s", 1, at(2000), named(3)); c != Began || l.Get("s", 1).FirstNamedAt != at(2100) {
		t.Errorf("change %v, %+v", c, l.Get("s", 1))
	}
	if c := l.Observe(at(2200), "s", 1, at(2100), Statement{Kind: UnreadableLimit}); c != Unchanged {
		t.Errorf("an unreadable limit: change %v", c)
	}
}

// TestMergeInAnyOrder merges the same observations in two orders, some of them twice.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limits []Limit
		for i := range rapid.IntRange(1, 8).Draw(t, "count") {
			limits = append(limits, Limit{
				Server: "s", Incarnation: 1, Rate: Rate(i), FirstNamedAt: at(0),
				NamedAt:       at(rapid.IntRange(0, 50).Draw(t, "named")*100 + i),
				UnnamedSentAt: at(rapid.IntRange(0, 50).Draw(t, "unnamed") * 100),
			})
		}
		var a, b Ledger
		for _, l := range limits {
			a.Merge(l)
		}
		for _, i := range rapid.Permutation(append(limits, limits[0])).Draw(t, "order") {
			b.Merge(i)
		}
		x, y := a.Get("s", 1), b.Get("s", 1)
		if (x == nil) != (y == nil) || x != nil && (x.Rate != y.Rate || x.NamedAt != y.NamedAt) {
			t.Fatalf("%+v and %+v", x, y)
		}
	})
}

func TestChangedSince(t *testing.T) {
	var l Ledger
	l.Observe(at(0), "a", 1, at(0), named(4))
	l.Observe(at(0), "b", 1, at(0), named(4))
	rev := l.Revision()
	l.Observe(at(10), "b", 1, at(0), named(4))
	if got := l.ChangedSince(rev); len(got) != 0 {
		t.Errorf("a limit that was named again at once is news: %v", got)
	}
	l.Observe(at(1000), "b", 1, at(990), named(4))
	if got := l.ChangedSince(rev); len(got) != 1 || got[0].Server != "b" {
		t.Errorf("changed: %v", got)
	}
	l.Expire(at(20000), func(id identifier.Server) bool { return id == "a" })
	if got := l.Limits(); len(got) != 1 || got[0].Server != "a" {
		t.Errorf("limits: %v", got)
	}
}
