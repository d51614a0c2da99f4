package coordinator

import (
	"cmp"
	"context"
	"errors"
	"io/fs"
	"maps"
	"slices"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/journaler"
	"trefoilhead.org/trefoilhead/internal/marshaler"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

const (
	departureFolder   = "departures"
	departureFileName = "departures"
	// maxKeptDepartures bounds the departures that are written to the disk. The latest ones count.
	maxKeptDepartures = 4096
	// maxWaitingSaves is the number of calls of save that can be queued during a write.
	maxWaitingSaves = 256
)

// departureFile keeps the departures of servers on disk, so that what was acknowledged outlives a restart
// of all core processes. Departures of several processes are merged in any order and more than once,
// so each process writes its own file, without agreement.
type departureFile struct {
	fileSystem journaler.FileSystem
	logger     log.Logger
	// collect returns what is to be written: the latest start time that a departure has named, by server.
	collect func() map[identifier.Server]uint64

	requests chan chan<- error
	written  map[identifier.Server]uint64
	failing  bool
}

// load returns what an earlier run has written.
func (d *departureFile) load() (map[identifier.Server]uint64, error) {
	data, err := d.fileSystem.ReadFile(departureFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var goneUpTo map[identifier.Server]uint64
	return goneUpTo, marshaler.Unmarshal(data, &goneUpTo)
}

// save returns once the departures that were known at the call are on disk, or with an error.
func (d *departureFile) save(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case d.requests <- done:
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return Error.New("the departures are not on disk yet: %v", ctx.Err())
	}
}

// saveSoon lets the departures be written. It never blocks.
func (d *departureFile) saveSoon() {
	select {
	case d.requests <- make(chan error, 1):
	default:
		// A write is about to begin.
	}
}

// run writes the file until ctx ends. One write serves all calls that came before it began.
func (d *departureFile) run(ctx context.Context) {
	for {
		var waiting []chan<- error
		select {
		case <-ctx.Done():
			return
		case done := <-d.requests:
			waiting = append(waiting, done)
		}
		for len(d.requests) > 0 {
			waiting = append(waiting, <-d.requests)
		}
		err := d.write()
		if failing := err != nil; failing != d.failing {
			d.failing = failing
			_ = level.Info(d.logger).Log("msg", "the departures of servers can be written to the disk", "ok", !failing, "err", err)
		}
		for _, done := range waiting {
			done <- err
		}
	}
}

func (d *departureFile) write() error {
	goneUpTo := d.collect()
	if maps.Equal(goneUpTo, d.written) {
		return nil
	}
	data, err := marshaler.Marshal(goneUpTo)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := journaler.ReplaceFile(d.fileSystem, departureFileName, data); err != nil {
		return Error.Wrap(err)
	}
	d.written = goneUpTo
	return nil
}

// initDepartures records the departures that an earlier run of this process has written.
func (c *Coordinator) initDepartures() {
	c.departureFile = departureFile{
		fileSystem: c.dataFolder(departureFolder), logger: c.Logger, collect: c.departedServers,
		requests: make(chan chan<- error, maxWaitingSaves),
	}
	goneUpTo, err := c.departureFile.load()
	if err != nil {
		_ = level.Error(c.Logger).Log("msg", "the departures of servers that an earlier run has written are lost", "err", err)
	}
	for id, start := range goneUpTo {
		c.registry.MarkGone(c.startedAt, id, start)
		c.unreported[id] = true
	}
}

// departedServers returns the start times up to which servers are gone.
func (c *Coordinator) departedServers() map[identifier.Server]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	departed := slices.DeleteFunc(c.registry.All(), func(s *tracker.Server) bool { return s.GoneUpTo == 0 })
	slices.SortFunc(departed, func(a, b *tracker.Server) int {
		return cmp.Compare(b.LastHeartbeatAt.UnixNano(), a.LastHeartbeatAt.UnixNano())
	})
	out := map[identifier.Server]uint64{}
	for _, s := range departed[:min(len(departed), maxKeptDepartures)] {
		out[s.ID] = s.GoneUpTo
	}
	return out
}
