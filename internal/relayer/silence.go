package relayer

import (
	"context"
	"time"
)

// silenceWatch cancels an exchange whose other end sends nothing for too long. It counts the time
// in which the exchange waits for data, but none in which nobody reads: what the other end has
// sent then is still in the connection.
type silenceWatch struct {
	request *Request
	timer   *time.Timer
	// left is how long the other end may go on to be silent, as of startedAt.
	left      time.Duration
	startedAt time.Time
}

// newSilenceWatch returns a watch that counts from now on.
func newSilenceWatch(r *Request, timeout time.Duration, cancel context.CancelFunc) *silenceWatch {
	now := time.Now()
	return &silenceWatch{request: r, left: timeout, startedAt: now, timer: time.AfterFunc(r.silenceTimeout(now, timeout), cancel)}
}

// resume goes on to count after pause.
func (w *silenceWatch) resume() {
	w.startedAt = time.Now()
	w.timer.Reset(w.request.silenceTimeout(w.startedAt, w.left))
}

// pause stops counting. It returns false if the exchange has been cancelled.
func (w *silenceWatch) pause() bool {
	w.left -= time.Since(w.startedAt)
	return w.timer.Stop()
}

// recordProgress makes the timeout count from the next resume on.
func (w *silenceWatch) recordProgress(timeout time.Duration) { w.left = timeout }
