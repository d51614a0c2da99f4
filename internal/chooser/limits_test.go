package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// limitServers lets servers name a rate, with so many permits each for this front.
func limitServers(c *Chooser, now time.Time, rate throttler.Rate, permits int, ids ...identifier.Server) {
	c.Allowance.Rand = rand.New(rand.NewPCG(1, 1))
	var grants []throttler.Grant
	for _, id := range ids {
		c.Allowance.Ledger.Observe(now, id, 0, now, throttler.Statement{Kind: throttler.NamedLimit, Rate: rate})
		grants = append(grants, throttler.Grant{Server: id, Permits: permits, Lifetime: time.Second})
	}
	c.Allowance.RecordContact(now, now, grants)
}

func TestLimitedServerIsChosenOnlyWithPermit(t *testing.T) {
	c := newTestChooser(t, 0, []*tracker.Server{headServer(1), headServer(2)})
	limitServers(c, testStart, 4, 2, "s1")
	chosen := map[identifier.Server]int{}
	for range 100 {
		got := c.Choose(testStart, testRequest())
		c.TakePermit(testStart, got.Server)
		chosen[got.Server.ID]++
	}
	if chosen["s1"] != 2 || chosen["s2"] != 98 {
		t.Errorf("chosen: %v, want s1 as often as it has permits", chosen)
	}
}

// TestPermitIsUsedAmongManyServers guards against permits that expire because their server is
// one of many candidates.
func TestPermitIsUsedAmongManyServers(t *testing.T) {
	var servers []*tracker.Server
	for i := range 30 {
		servers = append(servers, headServer(3*i))
	}
	c := newTestChooser(t, 0, servers)
	limitServers(c, testStart, 4, 1, "s87")
	for range 20 {
		if got := c.Choose(testStart, testRequest()); got.Server.ID != "s87" {
			t.Fatalf("%s is chosen although s87 is as fast", got.Server.ID)
		}
	}
}

// TestRefusedCallersComeBackOneByOne guards against callers who are told to come back at the
// same time, or before a server can take them.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	c := newTestChooser(t, 0, []*tracker.Server{headServer(1), headServer(2)})
	c.Allowance.Fronts = 4
	limitServers(c, testStart, 2, 0, "s1", "s2")
	// This front may send one request a second.
	last := time.Duration(0)
	for i := range 10 {
		got := c.RecordRefusal(testStart, testRequest(), c.Choose(testStart, testRequest()))
		if got.Reason != Limited || got.Limited != 2 {
			t.Fatalf("got %+v", got)
		}
		if i > 0 && got.RetryAfter-last != time.Second {
			t.Errorf("caller %d comes back %s after the one before", i, got.RetryAfter-last)
		}
		last = got.RetryAfter
	}
	if last > maxLimitedRetryAfter {
		t.Errorf("the last one comes back after %s", last)
	}
}

// TestSuspectLimitedServerIsNotForgotten guards against a refusal that says that there is no
// server, although one has named a rate.
func TestSuspectLimitedServerIsNotForgotten(t *testing.T) {
	c := newTestChooser(t, 0, []*tracker.Server{headServer(1)})
	limitServers(c, testStart, 2, 0, "s1")
	if got := c.Choose(testStart, testRequest()); got.Reason != Limited {
		t.Errorf("reason %q", got.Reason)
	}
	c.RecordFailure(testStart, "s1")
	if got := c.Choose(testStart, testRequest()); got.Reason != Limited {
		t.Errorf("suspect: reason %q", got.Reason)
	}
}
