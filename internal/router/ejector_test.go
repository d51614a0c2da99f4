package router

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

func TestEjectorEjectsAndRestores(t *testing.T) {
	var e Ejector
	now := time.Unix(0, 0)
	cs := candidates(4)
	for i := range minEjectionFailures {
		if got := len(e.Filter(now, cs)); got != 4 {
			t.Errorf("after %d failures, %d of 4 groups remain", i, got)
		}
		e.RecordResult(now, "g1", true)
	}
	for _, c := range e.Filter(now, cs) {
		if c.Group == "g1" {
			t.Error("a failing group can still be chosen")
		}
	}
	now = now.Add(baseEjectionTime)
	if got := len(e.Filter(now, cs)); got != 4 {
		t.Errorf("after the ejection has ended, %d of 4 groups remain", got)
	}
	e.RecordResult(now, "g1", true)
	if got := len(e.Filter(now, cs)); got != 3 {
		t.Errorf("a group that fails again is not ejected at once: %d remain", got)
	}
	e.RecordResult(now, "g1", false)
	if got := len(e.Filter(now, cs)); got != 4 {
		t.Errorf("a group that succeeds is still ejected: %d remain", got)
	}
}

func TestEjectorNeverEmptiesAService(t *testing.T) {
	var e Ejector
	now := time.Unix(0, 0)
	cs := candidates(5)
	for _, c := range cs {
		for range minEjectionFailures {
			e.RecordResult(now, c.Group, true)
		}
		if got := len(e.Filter(now, cs)); got < 3 {
			t.Errorf("%d of 5 groups remain, at least 3 must", got)
		}
	}
	e.RetainGroups(map[identifier.Group]bool{"g0": true})
	if len(e.groups) != 1 {
		t.Errorf("%d groups have failure records, want 1", len(e.groups))
	}
}
