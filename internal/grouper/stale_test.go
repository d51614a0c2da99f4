package grouper

import (
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// TestStaleHeartbeatAfterCutFreesNoMember guards against a server that is ordered into another group after a cut has healed, because
// a heartbeat from the time before it joined its present group comes first. That group was formed by the former
// holder of the placement authority, on the other side of the cut, and its head serves.
func TestStaleHeartbeatAfterCutFreesNoMember(t *testing.T) {
	f := newFleet(t, testModels[:1], map[identifier.FabricDomain]int{"f1": 6})
	f.run(2 * time.Second)
	f.demand = map[string]float64{"big": 1}
	f.run(30 * time.Second)
	head := f.findEngines("head@f1")[0]
	members := slices.Clone(head.members)
	spare := f.engineIDs[slices.IndexFunc(f.engineIDs, func(id identifier.Server) bool {
		return !slices.Contains(members, id)
	})]
	stale := map[identifier.Server]tracker.Server{}
	for _, id := range members {
		stale[id] = *f.registry.Get(id)
	}
	// The cut begins. The former holder exchanges the last member for the spare and opens a group of a later epoch.
	for _, e := range f.findEngines("all@f1") {
		f.disturb(t, "cut", e)
	}
	next := append(slices.Clone(members[:3]), spare)
	order := Order{Group: "former", Epoch: head.membership.Epoch + 1, Model: "big", Members: next}
	f.executeOrder(head, Order{Action: ActionClose, Group: head.membership.Group, Epoch: head.membership.Epoch})
	for _, id := range next {
		order.Action, order.Server = ActionJoin, id
		f.executeOrder(f.engines[id], order)
	}
	f.run(5 * time.Second)
	order.Action, order.Server = ActionOpen, head.id
	f.executeOrder(head, order)
	f.term++
	f.grouper.BeginTerm(f.now, f.term, false, f.startedAt)
	f.run(5 * time.Second)
	if head.membership.State != tracker.StateOpen {
		t.Fatalf("the head is %s", head.membership.State)
	}
	// The cut heals: the head is heard first, and then heartbeats of two members that the cut has held.
	f.disturb(t, "heal", head)
	f.disturb(t, "heal", f.engines[spare])
	for _, id := range members[1:3] {
		late := stale[id]
		late.Sequence++
		late.LastHeartbeatAt, late.Silent = f.now, false
		f.registry.Announce(late)
		f.engines[id].sequence += 2
		f.engines[id].cutFromCore = false
		f.engines[id].changed = false
		f.engines[id].lastHeartbeatAt = f.now
	}
	for _, id := range f.engineIDs {
		if !slices.Contains(next, id) {
			f.disturb(t, "heal", f.engines[id])
		}
	}
	f.run(10 * time.Second)
	if len(f.violations) > 0 {
		t.Errorf("rules broken: %q", f.violations)
	}
}
