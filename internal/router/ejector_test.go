package router

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

func TestEjectorTakesOutAndBringsBack(t *testing.T) {
	var e Ejector
	now := time.Unix(0, 0)
	cs := candidates(4)
	for i := range ejectAfter {
		if got := len(e.Filter(now, cs)); got != 4 {
			t.Errorf("after %d failures %d of 4 groups are left", i, got)
		}
		e.RecordResult(now, "g1", true)
	}
	for _, c := range e.Filter(now, cs) {
		if c.Group == "g1" {
			t.Error("a failing group is still in the choice")
		}
	}
	now = now.Add(ejectTime)
	if got := len(e.Filter(now, cs)); got != 4 {
		t.Errorf("after the time out %d of 4 groups are left", got)
	}
	e.RecordResult(now, "g1", true)
	if got := len(e.Filter(now, cs)); got != 3 {
		t.Errorf("a group that fails again is not out at once: %d left", got)
	}
	e.RecordResult(now, "g1", false)
	if got := len(e.Filter(now, cs)); got != 4 {
		t.Errorf("a group that succeeds is still out: %d left", got)
	}
}

func TestEjectorNeverEmptiesAService(t *testing.T) {
	var e Ejector
	now := time.Unix(0, 0)
	cs := candidates(5)
	for _, c := range cs {
		for range ejectAfter {
			e.RecordResult(now, c.Group, true)
		}
		if got := len(e.Filter(now, cs)); got < 3 {
			t.Errorf("only %d of 5 groups are left", got)
		}
	}
	e.RetainGroups(map[identifier.Group]bool{"g0": true})
	if len(e.groups) != 1 {
		t.Errorf("%d groups are remembered, want 1", len(e.groups))
	}
}
