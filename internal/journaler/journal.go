// Package journaler stores what a replicator.Node has to remember.
//
// A Journal is a write-ahead log of checksummed records in numbered segment
// files beside one snapshot file. Every Save writes one record and syncs it
// before it returns, so a crash can only break the newest record, which nobody
// was told of. A broken record with an intact one behind it therefore means
// damaged storage, and Open refuses it instead of losing promises.
package journaler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/replicator"
)

// Error is the class of every error of this package.
var Error = errs.Class("journal")

// File names.
const (
	segmentPrefix = "segment_"
	snapshotName  = "snapshot"
	temporaryName = "snapshot_new"
	identityName  = "identity"
	identityDraft = "identity_new"
)

// Journal is the storage of one voter of one log. Files is set before Open.
type Journal struct {
	FileSystem FileSystem

	segment  uint64
	sequence uint64
	file     File
	state    replicator.HardState
	// broken is the first failed write; nothing is written after it, since
	// what a failed sync left on the disk is unknown.
	broken error
}

// Recovery tells what Open found.
type Recovery struct {
	Segments      int
	Records       int
	Entries       int
	DroppedBytes  int
	SnapshotIndex replicator.Index
}

// String describes the recovery in one short sentence.
func (r Recovery) String() string {
	return fmt.Sprintf("snapshot at %d, %d entries in %d records of %d segments, dropped %d bytes of an unfinished write",
		r.SnapshotIndex, r.Entries, r.Records, r.Segments, r.DroppedBytes)
}

// Open reads what is stored and prepares to append to it.
func (j *Journal) Open() (replicator.PersistedState, Recovery, error) {
	var s replicator.PersistedState
	var rec Recovery
	names, err := j.FileSystem.List()
	if err != nil {
		return s, rec, Error.Wrap(err)
	}
	if s.Snapshot, err = j.readSnapshot(names); err != nil {
		return s, rec, err
	}
	rec.SnapshotIndex = s.Snapshot.Index
	segments, err := segmentNumbers(names)
	if err != nil {
		return s, rec, err
	}
	rec.Segments = len(segments)
	if err := j.readSegments(segments, names, &s, &rec); err != nil {
		return s, rec, err
	}
	if s.Entries, err = entriesFollowing(s.Entries, s.Snapshot); err != nil {
		return s, rec, err
	}
	rec.Entries = len(s.Entries)
	j.state = s.State
	return s, rec, j.startSegment(segments, s)
}

// readSegments replays the newest segment whose first record is intact. That
// record repeats all that is still needed, so older segments do not count.
func (j *Journal) readSegments(segments []uint64, names []string, s *replicator.PersistedState, rec *Recovery) error {
	for _, number := range slices.Backward(segments) {
		used, err := j.readSegment(number, s, rec)
		if used || err != nil {
			return err
		}
	}
	if slices.Contains(names, identityName) || slices.Contains(names, snapshotName) {
		return Error.New("no segment is intact, though the voter has stored promises before")
	}
	return nil
}

func segmentNumbers(names []string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, segmentPrefix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return nil, Error.New("%s is not a segment name", name)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}

func segmentName(n uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, n) }

func (j *Journal) readSnapshot(names []string) (replicator.Snapshot, error) {
	var s replicator.Snapshot
	for _, name := range names {
		if name != snapshotName {
			continue
		}
		b, err := j.FileSystem.ReadFile(name)
		if err != nil {
			return s, Error.Wrap(err)
		}
		body, rest, ok := unframe(b)
		if !ok || len(rest) != 0 {
			return s, Error.New("the snapshot file is damaged")
		}
		return s, Error.Wrap(cbor.Unmarshal(body, &s))
	}
	return s, nil
}

// readSegment replays one segment and reports whether it held anything.
func (j *Journal) readSegment(number uint64, s *replicator.PersistedState, rec *Recovery) (bool, error) {
	b, err := j.FileSystem.ReadFile(segmentName(number))
	if err != nil {
		return false, Error.Wrap(err)
	}
	records, left := decodeRecords(b)
	if left > 0 && holdsRecord(b[len(b)-left:]) {
		return false, Error.New("%s is damaged at byte %d, before synced records", segmentName(number), len(b)-left)
	}
	rec.DroppedBytes += left
	rec.Records += len(records)
	for _, r := range records {
		if err := j.replay(r, s); err != nil {
			return false, err
		}
	}
	return len(records) > 0, nil
}

func (j *Journal) replay(r record, s *replicator.PersistedState) error {
	if r.Sequence <= j.sequence {
		return Error.New("record %d follows record %d", r.Sequence, j.sequence)
	}
	j.sequence = r.Sequence
	if r.State != nil {
		s.State = *r.State
	}
	if len(r.Entries) == 0 {
		return nil
	}
	s.Entries = append(entriesBefore(s.Entries, r.Entries[0].Index), r.Entries...)
	return nil
}

func entriesBefore(entries []replicator.Entry, i replicator.Index) []replicator.Entry {
	for n, e := range entries {
		if e.Index >= i {
			return entries[:n]
		}
	}
	return entries
}

// entriesFollowing returns the entries after the snapshot. Entries of another
// history than the snapshot's, which a crash while taking over a snapshot
// leaves behind, are dropped.
func entriesFollowing(entries []replicator.Entry, s replicator.Snapshot) ([]replicator.Entry, error) {
	for n, e := range entries {
		if e.Index == s.Index && e.Term != s.Term {
			return nil, nil
		}
		if e.Index <= s.Index {
			continue
		}
		if n == 0 && e.Index != s.Index+1 {
			return nil, Error.New("entry %d follows snapshot %d: entries between are missing", e.Index, s.Index)
		}
		return entries[n:], nil
	}
	return nil, nil
}

// startSegment writes what is still needed into a new segment and then removes
// the old ones. A crash in between leaves both, which read as the same state.
func (j *Journal) startSegment(old []uint64, s replicator.PersistedState) error {
	if len(old) > 0 {
		j.segment = old[len(old)-1]
	}
	j.segment++
	f, err := j.FileSystem.Create(segmentName(j.segment))
	if err != nil {
		return j.fail(err)
	}
	j.file = f
	if err := j.write(record{State: &s.State, Entries: s.Entries}); err != nil {
		return err
	}
	if err := j.FileSystem.SyncFolder(); err != nil {
		return j.fail(err)
	}
	for _, n := range old {
		if err := j.FileSystem.Remove(segmentName(n)); err != nil {
			return j.fail(err)
		}
	}
	return nil
}

// Save stores what an Output asks for and returns when it is synced. After an
// error the Journal takes nothing more.
func (j *Journal) Save(o replicator.Output) error {
	if o.State != nil {
		j.state = *o.State
	}
	if o.Snapshot != nil {
		// The term goes first: a snapshot must not be of a later term than it.
		if o.State != nil {
			if err := j.write(record{State: o.State}); err != nil {
				return err
			}
		}
		return j.SaveSnapshot(*o.Snapshot, o.Entries)
	}
	if o.State == nil && len(o.Entries) == 0 {
		return nil
	}
	return j.write(record{State: o.State, Entries: o.Entries})
}

// SaveSnapshot stores a snapshot and forgets every stored entry but those
// given, which have to follow it.
func (j *Journal) SaveSnapshot(s replicator.Snapshot, entries []replicator.Entry) error {
	if j.broken != nil {
		return j.broken
	}
	body, err := cbor.Marshal(s)
	if err != nil {
		return j.fail(err)
	}
	if err := j.replaceFile(temporaryName, snapshotName, frame(body)); err != nil {
		return err
	}
	old := j.segment
	_ = j.file.Close()
	entries, err = entriesFollowing(entries, s)
	if err != nil {
		return j.fail(err)
	}
	return j.startSegment([]uint64{old}, replicator.PersistedState{State: j.state, Entries: entries})
}

// replaceFile writes a whole file under a temporary name, syncs it and renames
// it.
func (j *Journal) replaceFile(temporary, name string, data []byte) error {
	f, err := j.FileSystem.Create(temporary)
	if err != nil {
		return j.fail(err)
	}
	if _, err := f.Write(data); err != nil {
		return j.fail(err)
	}
	if err := f.Sync(); err != nil {
		return j.fail(err)
	}
	if err := f.Close(); err != nil {
		return j.fail(err)
	}
	if err := j.FileSystem.Rename(temporary, name); err != nil {
		return j.fail(err)
	}
	if err := j.FileSystem.SyncFolder(); err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) write(r record) error {
	if j.broken != nil {
		return j.broken
	}
	j.sequence++
	r.Sequence = j.sequence
	b, err := encodeRecord(r)
	if err != nil {
		return j.fail(err)
	}
	if _, err := j.file.Write(b); err != nil {
		return j.fail(err)
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) fail(err error) error {
	j.broken = Error.Wrap(err)
	return j.broken
}

// Identity returns the voter's id that was stored with SaveIdentity, or an
// empty one.
func (j *Journal) Identity() (replicator.NodeID, error) {
	names, err := j.FileSystem.List()
	if err != nil {
		return "", Error.Wrap(err)
	}
	for _, name := range names {
		if name == identityName {
			b, err := j.FileSystem.ReadFile(name)
			return replicator.NodeID(b), Error.Wrap(err)
		}
	}
	return "", nil
}

// SaveIdentity stores the voter's id for as long as the folder lasts.
func (j *Journal) SaveIdentity(id replicator.NodeID) error {
	return j.replaceFile(identityDraft, identityName, []byte(id))
}

// Close closes the open segment. Everything saved is synced already.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return Error.Wrap(j.file.Close())
}
