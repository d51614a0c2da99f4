// Package logger writes log lines without ever holding up the work.
//
// Lines go into a queue of bounded size; one goroutine writes them. When the
// reader of the output is too slow the queue fills, and further lines are left
// out and counted. The count is written as soon as there is room again.
package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the queue.
const (
	// maxQueued is the size of the lines that wait, in bytes.
	maxQueued = 1 << 20
	// flushBound is how long Close waits for the output to take what is queued.
	flushBound = 500 * time.Millisecond
)

// Writer is an io.Writer of whole lines. Out is set before the first Write.
type Writer struct {
	Out io.Writer

	mu      sync.Mutex
	cond    *sync.Cond
	queue   []byte
	left    int
	closed  bool
	started bool
	done    chan struct{}
	omitted atomic.Int64
}

// Write implements io.Writer. It never waits for the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start()
	if len(w.queue)+len(line) > maxQueued || w.closed {
		w.left++
		w.omitted.Add(1)
		return len(line), nil
	}
	if w.left > 0 {
		w.queue = fmt.Appendf(w.queue, "level=warn msg=\"log lines were left out\" lines=%d\n", w.left)
		w.left = 0
	}
	w.queue = append(w.queue, line...)
	w.cond.Signal()
	return len(line), nil
}

// start begins to write at the first line. The caller holds mu.
func (w *Writer) start() {
	if w.started {
		return
	}
	w.started = true
	w.cond = sync.NewCond(&w.mu)
	w.done = make(chan struct{})
	go w.run()
}

func (w *Writer) run() {
	defer close(w.done)
	var lines []byte
	for {
		w.mu.Lock()
		for len(w.queue) == 0 && !w.closed {
			w.cond.Wait()
		}
		if len(w.queue) == 0 {
			w.mu.Unlock()
			return
		}
		lines, w.queue = w.queue, lines[:0]
		w.mu.Unlock()
		if _, err := w.Out.Write(lines); err != nil {
			// There is no other place to tell it; the count shows it.
			w.omitted.Add(1)
		}
	}
}

// OmittedLines returns the number of lines that were left out.
func (w *Writer) OmittedLines() int64 { return w.omitted.Load() }

// Close writes what is queued, unless the output does not take it in time.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.started || w.closed {
		w.closed = true
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.cond.Signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(flushBound):
	}
}
