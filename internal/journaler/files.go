package journaler

import (
	"os"
	"path/filepath"
	"slices"
)

// File is an open file that is written from its start to its end.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// FileSystem is the part of a file system that a Journal needs. Names are relative
// to one folder.
type FileSystem interface {
	// Create makes an empty file, replacing one of that name.
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncFolder makes creations, renames and removals last.
	SyncFolder() error
}

// OSFolder is a Files on the folder of the operating system that it names.
type OSFolder string

// Create implements Files.
func (d OSFolder) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// ReadFile implements Files.
func (d OSFolder) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Rename implements Files.
func (d OSFolder) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements Files.
func (d OSFolder) Remove(name string) error { return os.Remove(d.path(name)) }

// List implements Files. It creates the folder when it is missing.
func (d OSFolder) List() ([]string, error) {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncFolder implements Files.
func (d OSFolder) SyncFolder() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

func (d OSFolder) path(name string) string { return filepath.Join(string(d), name) }
