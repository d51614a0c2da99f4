package grouper

import (
	"slices"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// TestSlowMemberIsReplaced replays a load in which one member of a group works 12
// times as long as declared while it responds to everything. The group must be formed
// without it once, not closed and formed again from the same members each second, and
// the member must be used again after it has recovered.
func TestSlowMemberIsReplaced(t *testing.T) {
	f := newFleet(t, testModels[:1], map[identifier.FabricDomain]int{"f1": 9, "f2": 4})
	f.run(45 * time.Second)
	f.demand = map[string]float64{testModels[0].Name: 2}
	f.run(5 * time.Second)
	before := f.servingGroups()[testModels[0].Name]
	slow := f.findEngines("member@f1")[0]
	slow.slowdown = 12
	f.log = nil
	f.run(10 * time.Second)
	closed := 0
	for _, line := range f.log {
		if strings.Contains(line, "group is being closed") {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("groups were closed %d times:\n%s", closed, strings.Join(f.log, "\n"))
	}
	if n := f.servingGroups()[testModels[0].Name]; n != before || f.isGrouped(slow) {
		t.Errorf("%d of %d groups serve, slow server in a group: %v", n, before, f.isGrouped(slow))
	}
	slow.slowdown = 1
	f.run(2 * time.Second)
	f.disturb(t, "kill", f.findEngines("head@f1")[0])
	f.run(10 * time.Second)
	if n := f.servingGroups()[testModels[0].Name]; n != before || !f.isGrouped(slow) {
		t.Errorf("after the recovery %d of %d groups serve, recovered server in a group: %v", n, before, f.isGrouped(slow))
	}
	for _, v := range f.violations {
		t.Error(v)
	}
}

// TestUniformlySlowServersServe checks that servers which are all slower than declared
// still form groups.
func TestUniformlySlowServersServe(t *testing.T) {
	f := newFleet(t, testModels[:1], map[identifier.FabricDomain]int{"f1": 8})
	for _, e := range f.engines {
		e.slowdown = 4
	}
	f.run(45 * time.Second)
	f.demand = map[string]float64{testModels[0].Name: 2}
	f.run(20 * time.Second)
	if n := f.servingGroups()[testModels[0].Name]; n != 2 {
		t.Errorf("%d of 2 groups serve:\n%s", n, strings.Join(f.log, "\n"))
	}
}

func (f *fleet) isGrouped(e *engine) bool {
	return slices.ContainsFunc(f.grouper.Groups(), func(g GroupInfo) bool { return slices.Contains(g.Members, e.id) })
}
