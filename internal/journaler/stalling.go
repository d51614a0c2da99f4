package journaler

import (
	"os"
	"time"
)

// StallingFolder is a FileSystem whose writes wait, as those of a disk that stalls, while the file
// While exists. It is meant for tests.
type StallingFolder struct {
	FileSystem
	While string
}

// stallPollInterval is the time between two looks whether the file While exists still.
const stallPollInterval = 20 * time.Millisecond

func (d StallingFolder) wait() {
	for {
		if _, err := os.Stat(d.While); err != nil {
			return
		}
		time.Sleep(stallPollInterval)
	}
}

// Create implements FileSystem.
func (d StallingFolder) Create(name string) (File, error) {
	d.wait()
	f, err := d.FileSystem.Create(name)
	if err != nil {
		return nil, err
	}
	return stallingFile{f, d}, nil
}

// Rename implements FileSystem.
func (d StallingFolder) Rename(from, to string) error {
	d.wait()
	return d.FileSystem.Rename(from, to)
}

type stallingFile struct {
	File
	folder StallingFolder
}

// Write implements File.
func (f stallingFile) Write(p []byte) (int, error) {
	f.folder.wait()
	return f.File.Write(p)
}
