// Package reloader notices that a settings file has changed.
package reloader

import (
	"context"
	"os"
	"time"
)

// pace is the time between two looks at the file: settings may change without a
// signal.
const pace = time.Second

// Watch calls changed whenever the file has another time of change or size, and
// whenever a signal arrives, until ctx ends.
func Watch(ctx context.Context, name string, signals <-chan os.Signal, changed func()) {
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	last := stamp(name)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = stamp(name)
			changed()
		case <-ticker.C:
			if now := stamp(name); now != last {
				last = now
				changed()
			}
		}
	}
}

// fileStamp tells two states of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

// stamp returns the zero value for a file that cannot be read; it may be about
// to be replaced.
func stamp(name string) fileStamp {
	info, err := os.Stat(name)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
