package server

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// TestViewDiffsMerge changes an authority's groups at random while an entry
// reports at random steps, also across new epochs. After each reply, the entry must
// have the authority's view, whichever versions it missed.
func TestViewDiffsMerge(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	a := &authority{epoch: 1, changedAtVersion: map[string]uint64{}, removedAtVersion: map[string]uint64{}}
	groups := map[int]*peerv1.GroupView{}
	var entry reportState
	epoch, diffs := uint64(0), 0
	for step := range 3000 {
		id := r.IntN(40)
		switch r.IntN(3) {
		case 0:
			delete(groups, id)
		default:
			groups[id] = &peerv1.GroupView{Id: fmt.Sprintf("g%02d", id), Reason: fmt.Sprint(step)}
		}
		next := &peerv1.PlacementView{Full: true, Authority: "a", Version: a.viewVersion + 1}
		for i := range 40 {
			if g := groups[i]; g != nil {
				next.Groups = append(next.Groups, g)
			}
		}
		a.viewVersion++
		a.recordChangedGroups(next)
		a.view = next
		if r.IntN(500) == 0 {
			a.epoch++
		}
		if r.IntN(4) != 0 {
			continue
		}
		reply := &peerv1.PlacementView{Authority: "a", Version: a.viewVersion}
		a.addGroupChanges(reply, entry.view.GetVersion(), epoch)
		if reply.Since != 0 {
			diffs++
		}
		if !entry.mergeView(reply) {
			t.Fatalf("step %d: the reply does not match the view", step)
		}
		epoch = uint64(a.epoch)
		if !proto.Equal(&peerv1.PlacementView{Groups: entry.view.Groups}, &peerv1.PlacementView{Groups: next.Groups}) {
			t.Fatalf("step %d: the entry has %v, the authority has %v", step, entry.view.Groups, next.Groups)
		}
	}
	if diffs < 500 {
		t.Errorf("only %d replies were differences", diffs)
	}
}

// TestViewVersionIgnoresLoads checks that the version of the placement view stays
// the same while only loads change, also at the entry that is the authority: it
// shares the view with the authority and must not change it.
func TestViewVersionIgnoresLoads(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		time.Sleep(5 * time.Second)
		versions := map[identifier.VM]uint64{}
		for vm, e := range w.entries {
			view, _ := e.server.locator.View(time.Now())
			versions[identifier.VM(vm)] = view.GetVersion()
		}
		for i := range 50 {
			w.checkComplete(w.sendChat(fmt.Sprintf("entry-%s-1", testDomains[i%3])))
		}
		for vm, e := range w.entries {
			view, _ := e.server.locator.View(time.Now())
			if view.GetVersion() != versions[identifier.VM(vm)] {
				t.Errorf("the view at %s went from version %d to %d while only loads changed", vm, versions[identifier.VM(vm)], view.GetVersion())
			}
		}
	})
}
