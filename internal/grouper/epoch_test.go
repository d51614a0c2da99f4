package grouper

import (
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// TestEpochsAreUniqueWithinTerm guards against two groups of one epoch. A holder of
// the placement authority whose quorum is unreachable for a moment loses the
// authority and gets it back in the same term. The groups that it then forms must
// not get the epochs of its earlier ones, since those groups may still serve.
func TestEpochsAreUniqueWithinTerm(t *testing.T) {
	f := newFleet(t, testModels[:1], map[identifier.FabricDomain]int{"f1": 4})
	f.run(45 * time.Second)
	earlier := f.grouper.Groups()
	if len(earlier) == 0 {
		t.Fatal("no group was formed")
	}
	f.grouper.BeginTerm(f.now, f.term, false, f.startedAt)
	for range 4 {
		f.addEngine("f1")
	}
	f.run(45 * time.Second)
	for _, g := range f.grouper.Groups() {
		for _, old := range earlier {
			if g.Epoch == old.Epoch && !slices.Equal(g.Members, old.Members) {
				t.Errorf("epoch %d was used for %v and then for %v", g.Epoch, old.Members, g.Members)
			}
		}
	}
	for _, v := range f.violations {
		t.Error(v)
	}
}
