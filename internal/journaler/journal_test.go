package journaler

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/seeder"

	"trefoilhead.org/trefoilhead/internal/replicator"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

// expectedState is the state that a journal should hold.
type expectedState struct {
	State    replicator.HardState
	Snapshot replicator.Snapshot
	Entries  []replicator.Entry
}

func (e expectedState) afterSave(o replicator.Output) expectedState {
	if o.State != nil {
		e.State = *o.State
	}
	if o.Snapshot != nil {
		e.Snapshot, e.Entries = *o.Snapshot, nil
	}
	if len(o.Entries) > 0 {
		first := o.Entries[0].Index
		kept := slices.DeleteFunc(slices.Clone(e.Entries), func(x replicator.Entry) bool { return x.Index >= first })
		e.Entries = slices.Concat(kept, o.Entries)
	}
	return e
}

func (e expectedState) equals(s replicator.PersistedState) bool {
	sameEntries := len(e.Entries) == 0 && len(s.Entries) == 0 || reflect.DeepEqual(e.Entries, s.Entries)
	return e.State == s.State && e.Snapshot.Index == s.Snapshot.Index && e.Snapshot.Term == s.Snapshot.Term && sameEntries
}

func testEntry(i replicator.Index, t replicator.Term) replicator.Entry {
	return replicator.Entry{Index: i, Term: t, Data: fmt.Appendf(nil, "entry %d of term %d", i, t)}
}

// allowedAfterFailedSave returns the states that a journal may hold after saving o
// has failed: none of o, all of it, or the hard state without the snapshot, since
// the hard state is stored first.
func (e expectedState) allowedAfterFailedSave(o replicator.Output) []expectedState {
	if o.State != nil && o.Snapshot != nil {
		stateOnly := e.afterSave(replicator.Output{State: o.State})
		return []expectedState{e, stateOnly, stateOnly.afterSave(o)}
	}
	return []expectedState{e, e.afterSave(o)}
}

// scriptedOutputs returns outputs that cover every kind of write: votes, appended
// and overwritten entries, a snapshot that the voter takes and one from a leader.
func scriptedOutputs() []replicator.Output {
	return []replicator.Output{
		{State: &replicator.HardState{Term: 1, Vote: "a"}},
		{Entries: []replicator.Entry{testEntry(1, 1), testEntry(2, 1), testEntry(3, 1)}},
		{State: &replicator.HardState{Term: 2, Vote: "b"}, Entries: []replicator.Entry{testEntry(2, 2)}},
		{Entries: []replicator.Entry{testEntry(3, 2), testEntry(4, 2)}},
		{Snapshot: &replicator.Snapshot{Index: 3, Term: 2, Data: []byte("three")}, Entries: []replicator.Entry{testEntry(4, 2)}},
		{Entries: []replicator.Entry{testEntry(5, 2)}},
		{State: &replicator.HardState{Term: 3}, Snapshot: &replicator.Snapshot{Index: 9, Term: 3, Data: []byte("nine")}},
		{Entries: []replicator.Entry{testEntry(10, 3)}},
	}
}

// saveScriptedOutputs opens a journal and saves the scripted outputs until a save
// fails. It returns the states that Open may find afterwards, starting with the
// acknowledged one.
func saveScriptedOutputs(d *fakeFolder) []expectedState {
	var acked expectedState
	j := &Journal{FileSystem: d}
	if _, _, err := j.Open(); err != nil {
		return []expectedState{acked}
	}
	for _, o := range scriptedOutputs() {
		if j.Save(o) != nil {
			return acked.allowedAfterFailedSave(o)
		}
		acked = acked.afterSave(o)
	}
	return []expectedState{acked}
}

// TestCrashAtEveryOperation crashes at each file operation in turn, with each
// combination of unsynced data that survives, and a second time during recovery.
// The recovered state must contain everything that was acknowledged.
func TestCrashAtEveryOperation(t *testing.T) {
	uncrashed := newFakeFolder()
	saveScriptedOutputs(uncrashed)
	for op := 1; op <= uncrashed.opCount; op++ {
		for _, files := range []unsyncedData{unsyncedLost, unsyncedHalfKept, unsyncedKept} {
			for _, folder := range []unsyncedData{unsyncedLost, unsyncedKept} {
				d := newFakeFolder()
				d.crashAtOp = op
				allowed := saveScriptedOutputs(d)
				checkRecoveryAfterSecondCrash(t, fmt.Sprintf("crash at operation %d, unsynced data %d, unsynced names %d", op, files, folder), d.afterCrash(files, folder), allowed)
			}
		}
	}
}

func checkRecoveryAfterSecondCrash(t *testing.T, name string, d *fakeFolder, allowed []expectedState) {
	t.Helper()
	for op := 1; op <= 8; op++ {
		crashing := d.afterCrash(unsyncedKept, unsyncedKept)
		crashing.crashAtOp = op
		_, _, _ = (&Journal{FileSystem: crashing}).Open()
		for _, files := range []unsyncedData{unsyncedLost, unsyncedHalfKept} {
			found, _, err := (&Journal{FileSystem: crashing.afterCrash(files, unsyncedLost)}).Open()
			if err != nil {
				t.Fatalf("%s, second crash at operation %d: %v", name, op, err)
			}
			if !containsState(allowed, found) {
				t.Fatalf("%s, second crash at operation %d: found %+v, want one of %+v", name, op, found, allowed)
			}
		}
	}
}

// TestOpenRefusesDamagedRecord damages each byte in turn of a synced record that
// is followed by others.
func TestOpenRefusesDamagedRecord(t *testing.T) {
	d := newFakeFolder()
	saveScriptedOutputs(d)
	name := segmentName(3)
	records, _ := decodeRecords(d.files[name].data)
	if len(records) < 2 {
		t.Fatalf("the last segment holds %d records, too few for this test", len(records))
	}
	size := len(mustEncodeRecord(t, records[0]))
	for i := range size {
		damaged := d.afterCrash(unsyncedKept, unsyncedKept)
		damaged.files[name].data[i] ^= 0x40
		if _, _, err := (&Journal{FileSystem: damaged}).Open(); err == nil {
			t.Fatalf("damage at byte %d was not detected", i)
		}
	}
}

func mustEncodeRecord(t *testing.T, r record) []byte {
	t.Helper()
	b, err := encodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestOpenRefusesMissingSegment removes the only segment of a voter that has
// stored its id, and so may have voted and acknowledged entries.
func TestOpenRefusesMissingSegment(t *testing.T) {
	d := newFakeFolder()
	j := &Journal{FileSystem: d}
	if _, _, err := j.Open(); err != nil {
		t.Fatal(err)
	}
	if err := j.SaveNodeID("a"); err != nil {
		t.Fatal(err)
	}
	delete(d.files, segmentName(1))
	if _, _, err := (&Journal{FileSystem: d}).Open(); err == nil {
		t.Fatal("Open did not report the missing segment")
	}
}

// TestSaveFailsAfterFailedSync checks that a journal accepts no writes after a
// failed sync.
func TestSaveFailsAfterFailedSync(t *testing.T) {
	d := newFakeFolder()
	j := &Journal{FileSystem: d}
	if _, _, err := j.Open(); err != nil {
		t.Fatal(err)
	}
	d.crashAtOp = d.opCount + 2
	o := replicator.Output{Entries: []replicator.Entry{testEntry(1, 1)}}
	if j.Save(o) == nil {
		t.Fatal("Save did not report the failed sync")
	}
	d.crashed = false
	if j.Save(o) == nil {
		t.Fatal("Save succeeded after a failed sync")
	}
}

// TestRandomSavesInOSFolder runs random saves and restarts in a real folder and
// compares what is recovered with the expected state.
func TestRandomSavesInOSFolder(t *testing.T) {
	root := t.TempDir()
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		folder := OSFolder(filepath.Join(root, fmt.Sprint(n)))
		j := &Journal{FileSystem: folder}
		if _, _, err := j.Open(); err != nil {
			t.Fatal(err)
		}
		var want expectedState
		save := func(t *rapid.T, o replicator.Output) {
			if err := j.Save(o); err != nil {
				t.Fatal(err)
			}
			want = want.afterSave(o)
		}
		last := func() replicator.Index { return want.Snapshot.Index + replicator.Index(len(want.Entries)) }
		t.Repeat(map[string]func(*rapid.T){
			"vote": func(t *rapid.T) {
				save(t, replicator.Output{State: &replicator.HardState{Term: want.State.Term + 1, Vote: "v"}})
			},
			"append": func(t *rapid.T) {
				from := last() + 1 - replicator.Index(rapid.IntRange(0, len(want.Entries)).Draw(t, "overwritten"))
				save(t, replicator.Output{Entries: []replicator.Entry{testEntry(from, want.State.Term+1), testEntry(from+1, want.State.Term+1)}})
			},
			"install": func(t *rapid.T) {
				i := last() + replicator.Index(rapid.IntRange(1, 5).Draw(t, "ahead"))
				save(t, replicator.Output{Snapshot: &replicator.Snapshot{Index: i, Term: 99}})
			},
			"restart": func(t *rapid.T) {
				if err := j.Close(); err != nil {
					t.Fatal(err)
				}
				j = &Journal{FileSystem: folder}
				found, _, err := j.Open()
				if err != nil || !want.equals(found) {
					t.Fatalf("found %+v, want %+v, error %v", found, want, err)
				}
			},
		})
		_ = j.Close()
	})
}

// measure enables TestMeasureJournal, which logs sizes and times.
var measure = flag.Bool("measure", false, "measure bytes and times on a real folder")

// TestMeasureJournal measures the bytes that a change of 350 bytes takes in the
// log, the duration of a synced save, and that of a restart after 1,000 and 4,000
// changes.
func TestMeasureJournal(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	const changeBytes = 350
	for _, n := range []int{1000, 4000} {
		folder := OSFolder(t.TempDir())
		j := &Journal{FileSystem: folder}
		if _, _, err := j.Open(); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		for i := range n {
			e := replicator.Entry{Index: replicator.Index(i + 1), Term: 1, Data: make([]byte, changeBytes)}
			if err := j.Save(replicator.Output{Entries: []replicator.Entry{e}}); err != nil {
				t.Fatal(err)
			}
		}
		save := time.Since(start) / time.Duration(n)
		data, err := folder.ReadFile(segmentName(1))
		if err != nil {
			t.Fatal(err)
		}
		start = time.Now()
		if _, _, err := (&Journal{FileSystem: folder}).Open(); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d changes of %d bytes: %d bytes each in the log, %v for one synced save, restart in %v",
			n, changeBytes, len(data)/n, save, time.Since(start))
	}
}
