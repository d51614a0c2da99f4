// Package logger writes log lines without blocking the caller.
//
// Lines go into a queue of limited size, and one goroutine writes them to the output.
// When the output is too slow, the queue fills up, and further lines are omitted and
// counted. The next line that fits into the queue is preceded by a line with the count.
package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the queue.
const (
	// maxQueuedBytes is the largest size of the queue.
	maxQueuedBytes = 1 << 20
	// flushTimeout is how long Close waits until the queued lines are written.
	flushTimeout = 500 * time.Millisecond
)

// Writer is an io.Writer that takes one whole line per Write. Out is set before the first
// Write.
type Writer struct {
	Out io.Writer

	mu              sync.Mutex
	queueChanged    *sync.Cond
	queue           []byte
	unreportedLines int
	closed          bool
	started         bool
	done            chan struct{}
	omittedLines    atomic.Int64
}

// Write queues a line, or omits it if the queue is full or the Writer closed. It never
// waits for the output and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startOnce()
	if len(w.queue)+len(line) > maxQueuedBytes || w.closed {
		w.unreportedLines++
		w.omittedLines.Add(1)
		return len(line), nil
	}
	if w.unreportedLines > 0 {
		w.queue = fmt.Appendf(w.queue, "level=warn msg=\"log lines were omitted\" lines=%d\n", w.unreportedLines)
		w.unreportedLines = 0
	}
	w.queue = append(w.queue, line...)
	w.queueChanged.Signal()
	return len(line), nil
}

// startOnce starts the goroutine that writes the lines, on its first call. The caller
// holds mu.
func (w *Writer) startOnce() {
	if w.started {
		return
	}
	w.started = true
	w.queueChanged = sync.NewCond(&w.mu)
	w.done = make(chan struct{})
	go w.writeQueued()
}

func (w *Writer) writeQueued() {
	defer close(w.done)
	var lines []byte
	for {
		w.mu.Lock()
		for len(w.queue) == 0 && !w.closed {
			w.queueChanged.Wait()
		}
		if len(w.queue) == 0 {
			w.mu.Unlock()
			return
		}
		lines, w.queue = w.queue, lines[:0]
		w.mu.Unlock()
		if _, err := w.Out.Write(lines); err != nil {
			// The error can't be logged, since the log itself fails. Only the
			// count of omitted lines shows it.
			w.omittedLines.Add(1)
		}
	}
}

// OmittedLines returns the number of lines that were omitted. A failed write to the
// output counts as one, however many lines it held.
func (w *Writer) OmittedLines() int64 { return w.omittedLines.Load() }

// Close stops the Writer and waits until the queued lines are written, but no longer than
// flushTimeout. Later lines are omitted.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.started || w.closed {
		w.closed = true
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.queueChanged.Signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}
