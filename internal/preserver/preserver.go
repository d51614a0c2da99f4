// Package preserver keeps evidence about requests that crash backend servers in a file, so that
// it outlives a restart of all processes.
//
// Evidence of several processes is merged in any order and more than once, so each process
// that has a disk writes its own file, without agreement. A file that is lost or older than
// that of another process does no harm.
package preserver

import (
	"context"
	"errors"
	"io/fs"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/marshaler"

	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/journaler"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Error is the class of every error of this package.
var Error = errs.Class("evidence file")

const (
	fileName = "evidence"
	// saveInterval is the shortest time between two writes.
	saveInterval = 200 * time.Millisecond
	// maxRestartTime is the longest time between the last write and the next start that
	// ages the evidence. A step of the time of day must not make it too old.
	maxRestartTime = time.Minute
)

// Content is what a file holds.
type Content struct {
	Evidence   []isolator.Evidence
	Isolations []isolator.Isolation
}

// file is the encoding of Content. Times in Evidence are ages at SavedAt, which is a Unix time
// in milliseconds.
type file struct {
	SavedAt    int64                   `cbor:"saved_at"`
	Evidence   []*peerv1.CrashEvidence `cbor:"evidence"`
	Isolations []*peerv1.Isolation     `cbor:"isolations"`
}

// Preserver writes a file whenever its content has changed. Exported fields are set before Init.
type Preserver struct {
	FileSystem journaler.FileSystem
	Logger     log.Logger
	// Collect returns what is to be written.
	Collect func() Content

	changed  chan struct{}
	revision atomic.Uint64
	// failing is set while writes fail.
	failing bool
}

// Init prepares the Preserver and returns what an earlier process has written.
func (p *Preserver) Init(now time.Time) Content {
	p.changed = make(chan struct{}, 1)
	c, err := p.load(now)
	if err != nil {
		_ = level.Error(p.Logger).Log("msg", "the evidence about crashes of an earlier run is lost", "err", err)
	}
	return c
}

func (p *Preserver) load(now time.Time) (Content, error) {
	data, err := p.FileSystem.ReadFile(fileName)
	if errors.Is(err, fs.ErrNotExist) {
		return Content{}, nil
	}
	if err != nil {
		return Content{}, Error.Wrap(err)
	}
	var f file
	if err := marshaler.Unmarshal(data, &f); err != nil {
		return Content{}, Error.Wrap(err)
	}
	savedAgo := min(max(now.Sub(time.UnixMilli(f.SavedAt)), 0), maxRestartTime)
	c := Content{Isolations: encoder.DecodeIsolations(f.Isolations)}
	for _, e := range f.Evidence {
		c.Evidence = append(c.Evidence, encoder.DecodeEvidence(now.Add(-savedAgo), e))
	}
	return c, nil
}

// NotifyChanged tells the Preserver the revision of the content. It does not block.
func (p *Preserver) NotifyChanged(revision uint64) {
	if p.revision.Swap(revision) != revision {
		p.notify()
	}
}

func (p *Preserver) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Run writes the file after each change until ctx ends, and again while that fails.
func (p *Preserver) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.changed:
		}
		p.save(time.Now())
		if p.failing {
			p.notify()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(saveInterval):
		}
	}
}

// save writes the file and logs when it begins or ceases to fail.
func (p *Preserver) save(now time.Time) {
	err := p.write(now)
	if failing := err != nil; failing != p.failing {
		p.failing = failing
		if failing {
			_ = level.Error(p.Logger).Log("msg", "evidence about crashes cannot be written and would not outlive a restart of all processes", "err", err)
		} else {
			_ = level.Info(p.Logger).Log("msg", "evidence about crashes is written again")
		}
	}
}

func (p *Preserver) write(now time.Time) error {
	c := p.Collect()
	data, err := marshaler.Marshal(file{
		SavedAt: now.UnixMilli(), Evidence: encoder.EncodeEvidence(now, c.Evidence), Isolations: encoder.EncodeIsolations(c.Isolations),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(journaler.ReplaceFile(p.FileSystem, fileName, data))
}
