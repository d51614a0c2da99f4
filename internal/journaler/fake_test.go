package journaler

import (
	"errors"
	"io/fs"
	"slices"
	"syscall"
)

var errSimulatedCrash = errors.New("simulated power loss")

// unsyncedData determines how much unsynced data survives a simulated crash.
type unsyncedData int

const (
	unsyncedLost unsyncedData = iota
	unsyncedHalfKept
	unsyncedKept
)

// fakeFolder is an in-memory FileSystem that simulates a crash at a chosen
// operation. That operation and all later ones fail; afterCrash returns what is
// left.
type fakeFolder struct {
	// crashAtOp is the number of the first operation that fails; 0 means none.
	crashAtOp int
	opCount   int
	crashed   bool
	// fullFromOp and fullOps are the first operation that a full disk refuses, and how many it
	// refuses. Names can be removed from a full disk.
	fullFromOp int
	fullOps    int
	files      map[string]*fakeFile
	// syncedFiles holds the names and files as of the last SyncFolder.
	syncedFiles map[string]*fakeFile
}

type fakeFile struct {
	data        []byte
	syncedBytes int
}

func newFakeFolder() *fakeFolder {
	return &fakeFolder{files: map[string]*fakeFile{}, syncedFiles: map[string]*fakeFile{}}
}

// countOp counts an operation and returns an error from the simulated crash on.
func (d *fakeFolder) countOp() error {
	d.opCount++
	if d.opCount == d.crashAtOp {
		d.crashed = true
	}
	if d.crashed {
		return errSimulatedCrash
	}
	if d.fullFromOp > 0 && d.opCount >= d.fullFromOp && d.opCount < d.fullFromOp+d.fullOps {
		return syscall.ENOSPC
	}
	return nil
}

func (d *fakeFolder) Create(name string) (File, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	f := &fakeFile{}
	d.files[name] = f
	return &fakeHandle{d, f}, nil
}

func (d *fakeFolder) ReadFile(name string) ([]byte, error) {
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *fakeFolder) Rename(from, to string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *fakeFolder) Remove(name string) error {
	if err := d.countOp(); err != nil && !errors.Is(err, syscall.ENOSPC) {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *fakeFolder) List() ([]string, error) {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *fakeFolder) SyncFolder() error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.syncedFiles = map[string]*fakeFile{}
	for name, f := range d.files {
		d.syncedFiles[name] = f
	}
	return nil
}

type fakeHandle struct {
	folder *fakeFolder
	file   *fakeFile
}

func (h *fakeHandle) Write(p []byte) (int, error) {
	err := h.folder.countOp()
	if err != nil {
		// A crash during a write leaves half of the data.
		h.file.data = append(h.file.data, p[:len(p)/2]...)
		return 0, err
	}
	h.file.data = append(h.file.data, p...)
	return len(p), nil
}

func (h *fakeHandle) Sync() error {
	if err := h.folder.countOp(); err != nil {
		return err
	}
	h.file.syncedBytes = len(h.file.data)
	return nil
}

func (h *fakeHandle) Close() error { return nil }

// afterCrash returns the folder as found after a crash. files determines what is
// left of unsynced data in files, folder what is left of unsynced names.
func (d *fakeFolder) afterCrash(files, folder unsyncedData) *fakeFolder {
	out := newFakeFolder()
	names := d.syncedFiles
	if folder == unsyncedKept {
		names = d.files
	}
	for name, f := range names {
		keptBytes := f.syncedBytes
		switch files {
		case unsyncedHalfKept:
			keptBytes += (len(f.data) - f.syncedBytes) / 2
		case unsyncedKept:
			keptBytes = len(f.data)
		}
		g := &fakeFile{data: slices.Clone(f.data[:keptBytes]), syncedBytes: keptBytes}
		out.files[name], out.syncedFiles[name] = g, g
	}
	return out
}
