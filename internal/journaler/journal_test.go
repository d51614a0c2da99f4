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

// expected is what a journal should hold, kept as plain values.
type expected struct {
	State    replicator.HardState
	Snapshot replicator.Snapshot
	Entries  []replicator.Entry
}

func (e expected) after(o replicator.Output) expected {
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

func (e expected) equal(s replicator.PersistedState) bool {
	sameEntries := len(e.Entries) == 0 && len(s.Entries) == 0 || reflect.DeepEqual(e.Entries, s.Entries)
	return e.State == s.State && e.Snapshot.Index == s.Snapshot.Index && e.Snapshot.Term == s.Snapshot.Term && sameEntries
}

func entry(i replicator.Index, t replicator.Term) replicator.Entry {
	return replicator.Entry{Index: i, Term: t, Data: fmt.Appendf(nil, "entry %d of term %d", i, t)}
}

// steps returns the states that saving o goes through: a term is stored before
// the snapshot that came with it.
func (e expected) steps(o replicator.Output) []expected {
	if o.State != nil && o.Snapshot != nil {
		term := e.after(replicator.Output{State: o.State})
		return []expected{e, term, term.after(o)}
	}
	return []expected{e, e.after(o)}
}

// script is a run with every kind of write: votes, appends, an overwritten
// tail, a local snapshot and one taken over from a leader.
func script() []replicator.Output {
	return []replicator.Output{
		{State: &replicator.HardState{Term: 1, Vote: "a"}},
		{Entries: []replicator.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}},
		{State: &replicator.HardState{Term: 2, Vote: "b"}, Entries: []replicator.Entry{entry(2, 2)}},
		{Entries: []replicator.Entry{entry(3, 2), entry(4, 2)}},
		{Snapshot: &replicator.Snapshot{Index: 3, Term: 2, Data: []byte("three")}, Entries: []replicator.Entry{entry(4, 2)}},
		{Entries: []replicator.Entry{entry(5, 2)}},
		{State: &replicator.HardState{Term: 3}, Snapshot: &replicator.Snapshot{Index: 9, Term: 3, Data: []byte("nine")}},
		{Entries: []replicator.Entry{entry(10, 3)}},
	}
}

// runScript opens a journal and saves outputs until one fails. It returns the
// states that may be found afterwards, the acknowledged one first.
func runScript(d *fakeFolder) []expected {
	var acked expected
	j := &Journal{FileSystem: d}
	if _, _, err := j.Open(); err != nil {
		return []expected{acked}
	}
	for _, o := range script() {
		if j.Save(o) != nil {
			return acked.steps(o)
		}
		acked = acked.after(o)
	}
	return []expected{acked}
}

// TestCrashAtEveryOperation stops the machine at each operation in turn, with
// each way in which unsynced data may survive, and again during the recovery.
// What was acknowledged is always there.
func TestCrashAtEveryOperation(t *testing.T) {
	whole := newFakeFolder()
	runScript(whole)
	for stop := 1; stop <= whole.ops; stop++ {
		for _, files := range []survival{nothing, half, everything} {
			for _, folder := range []survival{nothing, everything} {
				d := newFakeFolder()
				d.stopAt = stop
				allowed := runScript(d)
				checkRecovery(t, fmt.Sprintf("stop at %d, files %d, folder %d", stop, files, folder), d.restart(files, folder), allowed)
			}
		}
	}
}

func checkRecovery(t *testing.T, name string, d *fakeFolder, allowed []expected) {
	t.Helper()
	for again := 1; again <= 8; again++ {
		once := d.restart(everything, everything)
		once.stopAt = again
		_, _, _ = (&Journal{FileSystem: once}).Open()
		for _, files := range []survival{nothing, half} {
			found, _, err := (&Journal{FileSystem: once.restart(files, nothing)}).Open()
			if err != nil {
				t.Fatalf("%s, again at %d: %v", name, again, err)
			}
			if !slices.ContainsFunc(allowed, func(e expected) bool { return e.equal(found) }) {
				t.Fatalf("%s, again at %d: found %+v, want one of %+v", name, again, found, allowed)
			}
		}
	}
}

// TestDamageIsRefused flips one byte of each synced record but the last.
func TestDamageIsRefused(t *testing.T) {
	d := newFakeFolder()
	runScript(d)
	name := segmentName(3)
	records, _ := decodeRecords(d.files[name].data)
	if len(records) < 2 {
		t.Fatalf("the last segment holds %d records, too few for this test", len(records))
	}
	size := len(frameOf(t, records[0]))
	for i := range size {
		broken := d.restart(everything, everything)
		broken.files[name].data[i] ^= 0x40
		if _, _, err := (&Journal{FileSystem: broken}).Open(); err == nil {
			t.Fatalf("damage at byte %d was not noticed", i)
		}
	}
}

func frameOf(t *testing.T, r record) []byte {
	t.Helper()
	b, err := encodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestLostSegmentIsRefused removes the log of a voter that has an identity.
func TestLostSegmentIsRefused(t *testing.T) {
	d := newFakeFolder()
	j := &Journal{FileSystem: d}
	if _, _, err := j.Open(); err != nil {
		t.Fatal(err)
	}
	if err := j.SaveIdentity("a"); err != nil {
		t.Fatal(err)
	}
	delete(d.files, segmentName(1))
	if _, _, err := (&Journal{FileSystem: d}).Open(); err == nil {
		t.Fatal("a voter that lost its promises was opened")
	}
}

// TestNothingAfterFailedSync requires that a journal whose sync failed takes no
// further writes.
func TestNothingAfterFailedSync(t *testing.T) {
	d := newFakeFolder()
	j := &Journal{FileSystem: d}
	if _, _, err := j.Open(); err != nil {
		t.Fatal(err)
	}
	d.stopAt = d.ops + 2
	o := replicator.Output{Entries: []replicator.Entry{entry(1, 1)}}
	if j.Save(o) == nil {
		t.Fatal("the failed sync was not reported")
	}
	d.stopped = false
	if j.Save(o) == nil {
		t.Fatal("a write was taken after a failed sync")
	}
}

// TestFolder runs random saves and restarts on a real folder against plain
// values.
func TestFolder(t *testing.T) {
	root := t.TempDir()
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		folder := OSFolder(filepath.Join(root, fmt.Sprint(n)))
		j := &Journal{FileSystem: folder}
		if _, _, err := j.Open(); err != nil {
			t.Fatal(err)
		}
		var want expected
		save := func(t *rapid.T, o replicator.Output) {
			if err := j.Save(o); err != nil {
				t.Fatal(err)
			}
			want = want.after(o)
		}
		last := func() replicator.Index { return want.Snapshot.Index + replicator.Index(len(want.Entries)) }
		t.Repeat(map[string]func(*rapid.T){
			"vote": func(t *rapid.T) {
				save(t, replicator.Output{State: &replicator.HardState{Term: want.State.Term + 1, Vote: "v"}})
			},
			"append": func(t *rapid.T) {
				from := last() + 1 - replicator.Index(rapid.IntRange(0, len(want.Entries)).Draw(t, "overwritten"))
				save(t, replicator.Output{Entries: []replicator.Entry{entry(from, want.State.Term+1), entry(from+1, want.State.Term+1)}})
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
				if err != nil || !want.equal(found) {
					t.Fatalf("found %+v, want %+v, error %v", found, want, err)
				}
			},
		})
		_ = j.Close()
	})
}

// measure runs the measurement, which prints figures.
var measure = flag.Bool("measure", false, "measure bytes and times on a real folder")

// TestMeasureJournal measures the bytes that a change of 350 bytes takes, one
// synced save, and a restart after 1,000 and 4,000 changes.
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
