package journaler

import (
	"errors"
	"io/fs"
	"slices"
)

var errCrash = errors.New("the machine has stopped")

// survival tells how much of what was not synced a crash leaves.
type survival int

const (
	nothing survival = iota
	half
	everything
)

// fakeFolder is a Files in memory that stops at a chosen operation and then
// loses what was not synced.
type fakeFolder struct {
	// stopAt is the number of the operation that fails; 0 means none.
	stopAt  int
	ops     int
	stopped bool
	files   map[string]*fakeFile
	// synced is the folder as of its last sync.
	synced map[string]*fakeFile
}

type fakeFile struct {
	data   []byte
	synced int
}

func newFakeFolder() *fakeFolder {
	return &fakeFolder{files: map[string]*fakeFile{}, synced: map[string]*fakeFile{}}
}

// step counts an operation, and reports whether the machine still runs.
func (d *fakeFolder) step() error {
	d.ops++
	if d.ops == d.stopAt {
		d.stopped = true
	}
	if d.stopped {
		return errCrash
	}
	return nil
}

func (d *fakeFolder) Create(name string) (File, error) {
	if err := d.step(); err != nil {
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
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *fakeFolder) Remove(name string) error {
	if err := d.step(); err != nil {
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
	if err := d.step(); err != nil {
		return err
	}
	d.synced = map[string]*fakeFile{}
	for name, f := range d.files {
		d.synced[name] = f
	}
	return nil
}

type fakeHandle struct {
	d *fakeFolder
	f *fakeFile
}

func (h *fakeHandle) Write(p []byte) (int, error) {
	err := h.d.step()
	if err != nil {
		// The stop may come in the middle of the write.
		h.f.data = append(h.f.data, p[:len(p)/2]...)
		return 0, err
	}
	h.f.data = append(h.f.data, p...)
	return len(p), nil
}

func (h *fakeHandle) Sync() error {
	if err := h.d.step(); err != nil {
		return err
	}
	h.f.synced = len(h.f.data)
	return nil
}

func (h *fakeHandle) Close() error { return nil }

// restart returns the folder as it is found after the stop.
func (d *fakeFolder) restart(files, folder survival) *fakeFolder {
	out := newFakeFolder()
	names := d.synced
	if folder == everything {
		names = d.files
	}
	for name, f := range names {
		keep := f.synced
		switch files {
		case half:
			keep += (len(f.data) - f.synced) / 2
		case everything:
			keep = len(f.data)
		}
		g := &fakeFile{data: slices.Clone(f.data[:keep]), synced: keep}
		out.files[name], out.synced[name] = g, g
	}
	return out
}
