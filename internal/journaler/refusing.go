package journaler

import (
	"io/fs"
	"os"
	"syscall"
)

// RefusingFolder is an OSFolder that refuses all writes, as one on a full disk does, while the file
// While exists. It is meant for tests.
type RefusingFolder struct {
	OSFolder
	While string
}

// refuse returns an error while writes are refused.
func (d RefusingFolder) refuse(op, name string) error {
	if _, err := os.Stat(d.While); err == nil {
		return &fs.PathError{Op: op, Path: d.path(name), Err: syscall.ENOSPC}
	}
	return nil
}

// Create implements FileSystem.
func (d RefusingFolder) Create(name string) (File, error) {
	if err := d.refuse("create", name); err != nil {
		return nil, err
	}
	f, err := d.OSFolder.Create(name)
	if err != nil {
		return nil, err
	}
	return refusingFile{f, d, name}, nil
}

// Rename implements FileSystem.
func (d RefusingFolder) Rename(from, to string) error {
	if err := d.refuse("rename", from); err != nil {
		return err
	}
	return d.OSFolder.Rename(from, to)
}

// List implements FileSystem. It cannot create the folder while writes are refused.
func (d RefusingFolder) List() ([]string, error) {
	if _, err := os.Stat(string(d.OSFolder)); err != nil {
		if err := d.refuse("mkdir", ""); err != nil {
			return nil, err
		}
	}
	return d.OSFolder.List()
}

type refusingFile struct {
	File
	folder RefusingFolder
	name   string
}

// Write implements File. Half of the bytes fit before the disk is full.
func (f refusingFile) Write(p []byte) (int, error) {
	err := f.folder.refuse("write", f.name)
	if err == nil {
		return f.File.Write(p)
	}
	n, writeErr := f.File.Write(p[:len(p)/2])
	if writeErr != nil {
		err = writeErr
	}
	return n, err
}
