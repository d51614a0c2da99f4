package journaler

import (
	"fmt"
	"testing"

	"trefoilhead.org/trefoilhead/internal/replicator"
)

// maxRecoveries is more often than any disk in these tests refuses writes.
const maxRecoveries = 20

// saveThroughFullDisk opens a journal and saves the scripted outputs and an id, each again until the disk
// has room. It returns the states that Open may find after a crash, starting with the
// acknowledged one.
func saveThroughFullDisk(t *testing.T, d *fakeFolder) []expectedState {
	t.Helper()
	var acked expectedState
	j := &Journal{FileSystem: d}
	if _, _, err := j.Open(); err != nil && !RefusedError.Has(err) {
		t.Fatal(err)
	}
	untilSaved := func(save func() error) bool {
		for range maxRecoveries {
			err := j.Recover()
			if err == nil {
				err = save()
			}
			switch {
			case err == nil:
				return true
			case d.crashed:
				return false
			case !RefusedError.Has(err):
				t.Fatal(err)
			}
		}
		t.Fatalf("the journal has not recovered from a full disk in %d attempts: %v", maxRecoveries, j.writeErr)
		return false
	}
	if !untilSaved(func() error { return j.SaveNodeID("a") }) {
		return []expectedState{acked}
	}
	for _, o := range scriptedOutputs() {
		if !untilSaved(func() error { return j.Save(o) }) {
			return acked.allowedAfterFailedSave(o)
		}
		acked = acked.afterSave(o)
	}
	return []expectedState{acked}
}

// TestFullDiskAtEveryOperation guards against a journal that never accepts writes again, or that loses or
// changes what it has acknowledged, after its disk was full. The disk is full from each operation on, for
// different lengths of time; then the power fails.
func TestFullDiskAtEveryOperation(t *testing.T) {
	normal := newFakeFolder()
	saveThroughFullDisk(t, normal)
	for from := 1; from <= normal.opCount; from++ {
		for _, ops := range []int{1, 2, 3, 5, 12} {
			name := fmt.Sprintf("full from operation %d on, for %d", from, ops)
			d := newFakeFolder()
			d.fullFromOp, d.fullOps = from, ops
			allowed := saveThroughFullDisk(t, d)
			checkRecoveryAfterSecondCrash(t, name, d.afterCrash(unsyncedLost, unsyncedLost), allowed)
			for crash := from; crash <= d.opCount; crash++ {
				for _, files := range []unsyncedData{unsyncedLost, unsyncedHalfKept, unsyncedKept} {
					for _, folder := range []unsyncedData{unsyncedLost, unsyncedKept} {
						d := newFakeFolder()
						d.fullFromOp, d.fullOps, d.crashAtOp = from, ops, crash
						allowed := saveThroughFullDisk(t, d)
						found, _, err := (&Journal{FileSystem: d.afterCrash(files, folder)}).Open()
						if err != nil {
							t.Fatalf("%s, crash at %d: %v", name, crash, err)
						}
						if !containsState(allowed, found) {
							t.Fatalf("%s, crash at %d: found %+v, want one of %+v", name, crash, found, allowed)
						}
					}
				}
			}
		}
	}
}

func containsState(allowed []expectedState, found replicator.PersistedState) bool {
	for _, e := range allowed {
		if e.equals(found) {
			return true
		}
	}
	return false
}
