package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
)

// stage is how far a request has come.
type stage int32

const (
	// stageChecking means that the header is being checked.
	stageChecking stage = iota
	// stageReading means that the caller's body is being read.
	stageReading
	// stageChoosing means that a server is being chosen.
	stageChoosing
	// stageSending means that a connection is being opened or the request written.
	stageSending
	// stageAwaiting means that the server has the request and has sent no header.
	stageAwaiting
	// stageAnswering means that the server's answer is being read and forwarded.
	stageAnswering
)

// String returns the stage in lower case.
func (s stage) String() string {
	switch s {
	case stageChecking:
		return "checking"
	case stageReading:
		return "reading"
	case stageChoosing:
		return "choosing"
	case stageSending:
		return "sending"
	case stageAwaiting:
		return "awaiting"
	case stageAnswering:
		return "answering"
	}
	return "stage_" + strconv.Itoa(int(s))
}

// currentStage returns how far the request has come. Any goroutine may call it.
func (q *request) currentStage() stage { return stage(q.stage.Load()) }

// track adds the request to those in flight, which EndRequests ends, and returns the function that
// removes it.
func (q *request) track() (untrack func()) {
	ctx, cancel := context.WithCancel(q.r.Context())
	q.ctx, q.cancel = ctx, cancel
	q.f.mu.Lock()
	q.f.requests[q] = struct{}{}
	q.f.mu.Unlock()
	return func() {
		q.f.mu.Lock()
		delete(q.f.requests, q)
		q.f.mu.Unlock()
		cancel()
	}
}

// EndRequests ends the requests in flight, since the process is about to end. Each that has no answer yet gets a
// final one: 503 if no server can have run it, otherwise 502. Answers that are being forwarded break off.
func (f *Forwarder) EndRequests() {
	f.ending.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	for q := range f.requests {
		_ = level.Warn(f.Logger).Log("msg", "request is ended with the process", "id", q.info.ID, "stage", q.currentStage(),
			"received_ago_ms", time.Since(q.receivedAt).Milliseconds())
		q.cancel()
		if q.currentStage() == stageReading {
			q.endReading()
		}
	}
}

// endLateReading ends the reading of bodies that take longer than their request may. The caller holds mu.
func (f *Forwarder) endLateReading(now time.Time) {
	for q := range f.requests {
		if q.currentStage() == stageReading && now.After(q.deadline) {
			q.endReading()
		}
	}
}

// endReading makes the reading of the body fail.
func (q *request) endReading() {
	if err := http.NewResponseController(q.w).SetReadDeadline(time.Now()); err != nil && !errors.Is(err, http.ErrNotSupported) {
		_ = level.Info(q.f.Logger).Log("msg", "cannot end the reading of a request", "id", q.info.ID, "err", err)
	}
}
