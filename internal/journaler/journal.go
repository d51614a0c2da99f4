// Package journaler persists the state of a replicator.Node on disk.
//
// A Journal is a write-ahead log of checksummed records in numbered segment
// files, and one snapshot file. Each record is synced before Save returns, so a
// crash can damage only the newest record, which has not been acknowledged. A
// damaged record before an intact one therefore means that synced data was lost.
// Open returns an error in this case, because a voter that forgets its vote or
// its entries could break the log's consistency.
package journaler

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/marshaler"

	"trefoilhead.org/trefoilhead/internal/replicator"
)

// Error is the class of every error of this package. RefusedError is the class of those of
// writes that the disk has refused, after which Recover may succeed.
var (
	Error        = errs.Class("journal")
	RefusedError = errs.Class("refused write")
)

// File names.
const (
	segmentPrefix    = "segment_"
	snapshotName     = "snapshot"
	snapshotTempName = "snapshot_new"
	identityName     = "identity"
	identityTempName = "identity_new"
)

// Journal stores one voter of one log. FileSystem is set before Open.
type Journal struct {
	FileSystem FileSystem

	segmentNumber uint64
	lastSequence  uint64
	nodeID        replicator.NodeID
	segmentFile   File
	// stored is the state that is known to be on disk, without the snapshot.
	stored replicator.PersistedState
	// writeErr is the error of the first refused write. Nothing is written to the
	// segment after it, because what a failed write or sync leaves there is unknown.
	writeErr error
}

// Recovery summarizes what Open found on disk.
type Recovery struct {
	Segments      int
	Records       int
	Entries       int
	DroppedBytes  int
	SnapshotIndex replicator.Index
}

// String describes the recovery in one line.
func (r Recovery) String() string {
	return fmt.Sprintf("snapshot at %d, %d entries in %d records of %d segments, dropped %d bytes of an unfinished write",
		r.SnapshotIndex, r.Entries, r.Records, r.Segments, r.DroppedBytes)
}

// Open reads the stored state and starts a new segment for later writes. If only the
// latter fails, the state is returned together with a RefusedError, and Recover starts
// the segment later.
func (j *Journal) Open() (replicator.PersistedState, Recovery, error) {
	var s replicator.PersistedState
	var rec Recovery
	names, err := j.FileSystem.List()
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		// The folder cannot be created, so there is nothing to read.
		return s, rec, j.setWriteErr(err)
	case err != nil:
		return s, rec, Error.Wrap(err)
	}
	if slices.Contains(names, identityName) {
		id, err := j.FileSystem.ReadFile(identityName)
		if err != nil {
			return s, rec, Error.Wrap(err)
		}
		j.nodeID = replicator.NodeID(id)
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
	if s.Entries, err = entriesAfterSnapshot(s.Entries, s.Snapshot); err != nil {
		return s, rec, err
	}
	rec.Entries = len(s.Entries)
	j.stored = replicator.PersistedState{State: s.State, Entries: slices.Clone(s.Entries)}
	return s, rec, j.startSegment(segments, j.stored)
}

// readSegments replays the newest segment whose first record is intact. That
// record contains all state that is still needed, so older segments are ignored.
func (j *Journal) readSegments(segments []uint64, names []string, s *replicator.PersistedState, rec *Recovery) error {
	for _, number := range slices.Backward(segments) {
		found, err := j.readSegment(number, s, rec)
		if found || err != nil {
			return err
		}
	}
	if slices.Contains(names, identityName) || slices.Contains(names, snapshotName) {
		return Error.New("no segment is intact, though the voter has written segments before")
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
		return s, Error.Wrap(marshaler.Unmarshal(body, &s))
	}
	return s, nil
}

// readSegment replays one segment and reports whether it held an intact record.
func (j *Journal) readSegment(number uint64, s *replicator.PersistedState, rec *Recovery) (bool, error) {
	b, err := j.FileSystem.ReadFile(segmentName(number))
	if err != nil {
		return false, Error.Wrap(err)
	}
	records, left := decodeRecords(b)
	if left > 0 && containsLaterRecord(b[len(b)-left:]) {
		return false, Error.New("%s is damaged at byte %d, before synced records", segmentName(number), len(b)-left)
	}
	rec.DroppedBytes += left
	rec.Records += len(records)
	for _, r := range records {
		if err := j.replayRecord(r, s); err != nil {
			return false, err
		}
	}
	return len(records) > 0, nil
}

func (j *Journal) replayRecord(r record, s *replicator.PersistedState) error {
	if r.Sequence <= j.lastSequence {
		return Error.New("record %d follows record %d, but its number must be higher", r.Sequence, j.lastSequence)
	}
	j.lastSequence = r.Sequence
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

// entriesAfterSnapshot returns the entries after the snapshot. It drops all
// entries if they conflict with the snapshot: a crash between storing a leader's
// snapshot and starting a new segment leaves such entries behind.
func entriesAfterSnapshot(entries []replicator.Entry, s replicator.Snapshot) ([]replicator.Entry, error) {
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

// startSegment writes all state that is still needed to a new segment and then
// removes the old ones. A crash in between leaves both; Open then reads the same
// state.
func (j *Journal) startSegment(old []uint64, s replicator.PersistedState) error {
	if len(old) > 0 {
		j.segmentNumber = max(j.segmentNumber, old[len(old)-1])
	}
	j.segmentNumber++
	if err := j.createSegment(s); err != nil {
		// The old segments still hold the state. The unfinished one would only take room.
		_ = j.FileSystem.Remove(segmentName(j.segmentNumber))
		return err
	}
	j.stored = s
	for _, n := range old {
		if err := j.FileSystem.Remove(segmentName(n)); err != nil {
			return j.setWriteErr(err)
		}
	}
	return nil
}

func (j *Journal) createSegment(s replicator.PersistedState) error {
	f, err := j.FileSystem.Create(segmentName(j.segmentNumber))
	if err != nil {
		return j.setWriteErr(err)
	}
	j.segmentFile = f
	if err := j.writeRecord(record{State: &s.State, Entries: s.Entries}); err != nil {
		return err
	}
	if err := j.FileSystem.SyncFolder(); err != nil {
		return j.setWriteErr(err)
	}
	return nil
}

// Recover makes the Journal accept writes again after one was refused. It writes the state
// of the last successful Save to a new segment and never touches the old one again, since
// a failed sync does not show which of its last bytes are on disk.
func (j *Journal) Recover() error {
	if j.writeErr == nil {
		return nil
	}
	_ = j.Close()
	j.segmentFile = nil
	names, err := j.FileSystem.List()
	if err != nil {
		return j.setWriteErr(err)
	}
	segments, err := segmentNumbers(names)
	if err != nil {
		return err
	}
	for _, name := range []string{snapshotTempName, identityTempName} {
		if slices.Contains(names, name) {
			_ = j.FileSystem.Remove(name)
		}
	}
	j.writeErr = nil
	return j.startSegment(segments, j.stored)
}

// Save stores the state, snapshot and entries of an Output and returns once they
// are synced. After a RefusedError all further writes fail until Recover has succeeded;
// the Output is then to be saved again.
func (j *Journal) Save(o replicator.Output) error {
	if o.Snapshot != nil {
		// The hard state is stored before the snapshot, so that a crash in
		// between does not leave a snapshot of a later term than the stored one.
		if o.State != nil {
			if err := j.append(record{State: o.State}); err != nil {
				return err
			}
		}
		return j.SaveSnapshot(*o.Snapshot, o.Entries)
	}
	if o.State == nil && len(o.Entries) == 0 {
		return nil
	}
	return j.append(record{State: o.State, Entries: o.Entries})
}

// append writes a record to the current segment and adds it to the stored state.
func (j *Journal) append(r record) error {
	if err := j.writeRecord(r); err != nil {
		return err
	}
	if r.State != nil {
		j.stored.State = *r.State
	}
	if len(r.Entries) > 0 {
		j.stored.Entries = append(entriesBefore(j.stored.Entries, r.Entries[0].Index), r.Entries...)
	}
	return nil
}

// SaveSnapshot stores a snapshot and replaces all stored entries by the given
// ones that follow it.
func (j *Journal) SaveSnapshot(s replicator.Snapshot, entries []replicator.Entry) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	body, err := marshaler.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	if entries, err = entriesAfterSnapshot(entries, s); err != nil {
		return err
	}
	if err := j.replaceFile(snapshotTempName, snapshotName, frame(body)); err != nil {
		return err
	}
	old := j.segmentNumber
	_ = j.segmentFile.Close()
	return j.startSegment([]uint64{old}, replicator.PersistedState{State: j.stored.State, Entries: slices.Clone(entries)})
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file and
// renames it.
func (j *Journal) replaceFile(temporary, name string, data []byte) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	f, err := j.FileSystem.Create(temporary)
	if err != nil {
		return j.setWriteErr(err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return j.setWriteErr(err)
	}
	if err := j.FileSystem.Rename(temporary, name); err != nil {
		return j.setWriteErr(err)
	}
	if err := j.FileSystem.SyncFolder(); err != nil {
		return j.setWriteErr(err)
	}
	return nil
}

func (j *Journal) writeRecord(r record) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	j.lastSequence++
	r.Sequence = j.lastSequence
	b, err := encodeRecord(r)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := j.segmentFile.Write(b); err != nil {
		return j.setWriteErr(err)
	}
	if err := j.segmentFile.Sync(); err != nil {
		return j.setWriteErr(err)
	}
	return nil
}

func (j *Journal) setWriteErr(err error) error {
	j.writeErr = Error.Wrap(RefusedError.Wrap(err))
	return j.writeErr
}

// NodeID returns the voter's id that Open has found or SaveNodeID has stored, or an empty
// id if none is stored.
func (j *Journal) NodeID() replicator.NodeID { return j.nodeID }

// SaveNodeID stores the voter's id permanently. A voter keeps its id until the
// folder is lost.
func (j *Journal) SaveNodeID(id replicator.NodeID) error {
	if err := j.replaceFile(identityTempName, identityName, []byte(id)); err != nil {
		return err
	}
	j.nodeID = id
	return nil
}

// Close closes the current segment. All saved data has been synced before.
func (j *Journal) Close() error {
	if j.segmentFile == nil {
		return nil
	}
	return Error.Wrap(j.segmentFile.Close())
}
