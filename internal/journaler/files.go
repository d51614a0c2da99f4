package journaler

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
)

// File is a file that is open for sequential writing.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// FileSystem is the file operations that a Journal needs. All file names are
// relative to the journal's folder.
type FileSystem interface {
	// Create creates an empty file or truncates an existing one.
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files in the folder, sorted.
	List() ([]string, error)
	// SyncFolder makes created, renamed and removed names survive a crash.
	SyncFolder() error
}

// replacementSuffix ends the name of the file that ReplaceFile writes before it renames it.
const replacementSuffix = ".new"

// ReplaceFile writes a file so that after a crash it holds either what it held before or data. Once it has
// returned nil, data survives a loss of power.
func ReplaceFile(fs FileSystem, name string, data []byte) error {
	// List creates the folder.
	if _, err := fs.List(); err != nil {
		return err
	}
	next := name + replacementSuffix
	f, err := fs.Create(next)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		// The unfinished file would only take room.
		return errors.Join(err, fs.Remove(next))
	}
	if err := fs.Rename(next, name); err != nil {
		return err
	}
	return fs.SyncFolder()
}

// OSFolder is a FileSystem on a folder of the operating system. Its value is the
// path of the folder.
type OSFolder string

// Create implements FileSystem.
func (d OSFolder) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// ReadFile implements FileSystem.
func (d OSFolder) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Rename implements FileSystem.
func (d OSFolder) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements FileSystem.
func (d OSFolder) Remove(name string) error { return os.Remove(d.path(name)) }

// List implements FileSystem. It creates the folder if it does not exist.
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

// SyncFolder implements FileSystem.
func (d OSFolder) SyncFolder() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

func (d OSFolder) path(name string) string { return filepath.Join(string(d), name) }
