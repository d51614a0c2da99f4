// Package reloader watches a settings file and reports when it has to be reloaded.
package reloader

import (
	"context"
	"os"
	"time"
)

// pollInterval is the time between two checks of the file. The file is polled because
// settings may change without a signal to the process.
const pollInterval = time.Second

// Watch calls onChange when the modification time or size of the file has changed, and
// for each signal, until ctx ends.
func Watch(ctx context.Context, name string, signals <-chan os.Signal, onChange func()) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := readFileVersion(name)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = readFileVersion(name)
			onChange()
		case <-ticker.C:
			if current := readFileVersion(name); current != last {
				last = current
				onChange()
			}
		}
	}
}

// fileVersion holds the attributes of a file that are compared to detect a change.
type fileVersion struct {
	modifiedAt time.Time
	size       int64
}

// readFileVersion returns the zero value for a file that does not exist or cannot be
// read: the file may be about to be replaced, so that is no error.
func readFileVersion(name string) fileVersion {
	info, err := os.Stat(name)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}
