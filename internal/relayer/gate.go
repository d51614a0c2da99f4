package relayer

import (
	"context"
	"sync"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/limiter"
	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/sharer"
)

// admissionController admits requests to one group that this entry owns.
type admissionController struct {
	mu            sync.Mutex
	adaptiveLimit limiter.AdaptiveLimit
	hold          locator.Hold
	// doubtedSince is when doubt about other owners began; zero without doubt.
	doubtedSince time.Time
	// lastExcessReport is when the replica last reported requests that are not from
	// here.
	lastExcessReport time.Time
	// halfLimitTime is how long nothing foreign must have been seen before a
	// doubted owner uses the whole limit.
	halfLimitTime time.Duration
	// currentPeak and lastPeak are the most requests that ran in the present and the
	// previous span of peakTime.
	currentPeak      uint32
	previousPeak     uint32
	currentPeakStart time.Time
	running          uint32
	queue            sharer.Queue[chan queueOutcome]
	// maxQueueLength bounds all waiting requests.
	maxQueueLength int
	incarnation    identifier.Incarnation
	address        string
	// avgDuration is a moving average of how long a request takes.
	avgDuration time.Duration
}

// averageWeight is the weight of old values in the average duration.
const averageWeight = 0.9

// currentLimit returns the number of requests that may run now.
func (g *admissionController) currentLimit() uint32 {
	l := g.adaptiveLimit.Limit()
	switch {
	case g.hold == locator.NoHold:
		return 0
	case g.hold == locator.DoubtedHold && g.mayHaveOtherOwner(time.Now()):
		return (l + 1) / 2
	}
	return l
}

// mayHaveOtherOwner reports whether another owner may be sending to the replica. Two
// owners in doubt use half the limit each. One alone goes back to the whole
// limit after the replica has reported no foreign requests for a while.
func (g *admissionController) mayHaveOtherOwner(now time.Time) bool {
	return now.Sub(g.doubtedSince) < g.halfLimitTime || now.Sub(g.lastExcessReport) < g.halfLimitTime
}

const (
	// peakWindow covers the lag of a load report.
	peakWindow = 3 * time.Second
	// excessSlack is the number of requests by which a report may exceed the
	// peak without meaning another owner.
	excessSlack = 1
)

// compareReport compares the replica's report of running requests with this gate's
// own.
func (g *admissionController) compareReport(now time.Time, reported uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.currentPeakStart) > peakWindow {
		g.previousPeak, g.currentPeak, g.currentPeakStart = g.currentPeak, g.running, now
	}
	if reported > max(g.currentPeak, g.previousPeak)+excessSlack {
		g.lastExcessReport = now
	}
}

// admit waits until the request may run. The caller calls done afterwards if
// and only if admit returned nil.
func (g *admissionController) admit(ctx context.Context, r *Request, wait time.Duration) *refuser.Refusal {
	g.mu.Lock()
	if g.running < g.currentLimit() && g.queue.Len() == 0 {
		g.takeSlot()
		g.mu.Unlock()
		return nil
	}
	expected := g.expectedWait(r)
	if expected > wait || g.queue.Len() >= g.maxQueueLength && !g.evictFor(r.Team) {
		g.mu.Unlock()
		return refuser.New(refuser.Overloaded, refuser.NotRun, "the replica's queue is too long for the team").WithRetryAfter(max(expected, time.Second))
	}
	it := &sharer.Item[chan queueOutcome]{Team: r.Team, Weight: r.TeamWeight, Cost: r.Cost, Value: make(chan queueOutcome, 1)}
	if !g.queue.Push(it) {
		g.mu.Unlock()
		return refuser.New(refuser.Overloaded, refuser.NotRun, "the team has too many requests waiting").WithRetryAfter(max(expected, time.Second))
	}
	g.mu.Unlock()
	return g.waitInQueue(ctx, it, wait)
}

func (g *admissionController) waitInQueue(ctx context.Context, it *sharer.Item[chan queueOutcome], wait time.Duration) *refuser.Refusal {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var why *refuser.Refusal
	select {
	case v := <-it.Value:
		return v.refusal()
	case <-timer.C:
		why = refuser.New(refuser.Overloaded, refuser.NotRun, "no place became free in time").WithRetryAfter(time.Second)
	case <-ctx.Done():
		why = refuser.New(refuser.Cancelled, refuser.NotRun, "the caller gave up while waiting")
	}
	g.mu.Lock()
	removed := g.queue.Remove(it)
	g.mu.Unlock()
	if removed {
		return why
	}
	// Admitted or turned away at the same moment.
	if v := <-it.Value; v != admitted {
		return v.refusal()
	}
	if ctx.Err() == nil {
		return nil
	}
	g.releaseSlot(RequestResult{Inconclusive: true})
	return why
}

// queueOutcome is what became of a waiting request.
type queueOutcome int

// Verdicts.
const (
	admitted queueOutcome = iota
	rejected
	evicted
)

// refusal returns the refusal that belongs to a verdict, or nil.
func (v queueOutcome) refusal() *refuser.Refusal {
	switch v {
	case rejected:
		return refuser.New(refuser.Moved, refuser.NotRun, "the replica stopped serving").WithRetryAfter(time.Second)
	case evicted:
		return refuser.New(refuser.Overloaded, refuser.NotRun, "the team has more waiting than its share").WithRetryAfter(time.Second)
	}
	return nil
}

// evictFor makes room in a full queue at the cost of a team that has more
// waiting than its share.
func (g *admissionController) evictFor(team identifier.Team) bool {
	last := g.queue.CrowdOut(team)
	if last == nil {
		return false
	}
	last.Value <- evicted
	return true
}

// expectedWait estimates how long a new request would wait.
func (g *admissionController) expectedWait(r *Request) time.Duration {
	limit := g.currentLimit()
	if limit == 0 {
		return time.Duration(1<<62 - 1)
	}
	return g.avgDuration * time.Duration(g.queue.Ahead(r.Team, r.TeamWeight)+1) / time.Duration(limit)
}

// RequestResult is how a request at a backend server ended.
type RequestResult struct {
	// Inconclusive is set when the request did not reach the server.
	Inconclusive     bool
	Failed           bool
	TimeToFirstToken time.Duration
	Duration         time.Duration
}

// releaseSlot gives the place of a request back.
func (g *admissionController) releaseSlot(r RequestResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := g.running
	g.running--
	switch {
	case r.Failed:
		g.adaptiveLimit.RecordFailure()
	case !r.Inconclusive:
		g.adaptiveLimit.RecordSuccess(r.TimeToFirstToken, running)
		g.updateAvgDuration(r.Duration)
	}
	g.admitWaiting()
}

func (g *admissionController) updateAvgDuration(d time.Duration) {
	if g.avgDuration == 0 {
		g.avgDuration = d
		return
	}
	g.avgDuration = time.Duration(averageWeight*float64(g.avgDuration) + (1-averageWeight)*float64(d))
}

func (g *admissionController) takeSlot() {
	g.running++
	g.currentPeak = max(g.currentPeak, g.running)
}

func (g *admissionController) admitWaiting() {
	for g.running < g.currentLimit() && g.queue.Len() > 0 {
		g.takeSlot()
		g.queue.Pop().Value <- admitted
	}
}

// update takes over what the authority says of the group.
func (g *admissionController) update(hold locator.Hold, inc identifier.Incarnation, address string, cold, warm uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnation != inc || g.address != address {
		g.adaptiveLimit.Reset()
	}
	g.incarnation, g.address = inc, address
	g.adaptiveLimit.ColdLimit, g.adaptiveLimit.WarmLimit = cold, warm
	if hold == locator.DoubtedHold && g.hold != hold {
		g.doubtedSince = time.Now()
	}
	g.hold = hold
	if hold == locator.NoHold {
		g.rejectWaiting()
	}
	g.admitWaiting()
}

// rejectWaiting refuses every waiting request.
func (g *admissionController) rejectWaiting() {
	for it := g.queue.Pop(); it != nil; it = g.queue.Pop() {
		it.Value <- rejected
	}
}

// GroupStatus is the state of one gate for reports and the state dump.
type GroupStatus struct {
	Group   identifier.Group `json:"group"`
	Running uint32           `json:"running"`
	Waiting int              `json:"waiting"`
	Limit   uint32           `json:"limit"`
}

func (g *admissionController) status(id identifier.Group) GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GroupStatus{Group: id, Running: g.running, Waiting: g.queue.Len(), Limit: g.currentLimit()}
}
