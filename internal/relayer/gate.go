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

// gate admits requests to one group that this entry owns.
type gate struct {
	mu   sync.Mutex
	ramp limiter.AdaptiveLimit
	hold locator.Ownership
	// doubted is when doubt about other owners began; zero without doubt.
	doubted time.Time
	// foreign is when the replica last reported requests that are not from
	// here.
	foreign time.Time
	// doubtTime is how long nothing foreign must have been seen before a
	// doubted owner uses the whole limit.
	doubtTime time.Duration
	// peak and lastPeak are the most requests that ran in the present and the
	// previous span of peakTime.
	peak     uint32
	lastPeak uint32
	peakFrom time.Time
	running  uint32
	queue    sharer.Queue[chan verdict]
	// maxQueue bounds all waiting requests.
	maxQueue    int
	incarnation identifier.Incarnation
	address     string
	// usual is a moving average of how long a request takes.
	usual time.Duration
}

// usualWeight is the weight of old values in the average duration.
const usualWeight = 0.9

// limit returns the number of requests that may run now.
func (g *gate) limit() uint32 {
	l := g.ramp.Limit()
	switch {
	case g.hold == locator.OwnershipNone:
		return 0
	case g.hold == locator.OwnershipUncertain && g.maybeShared(time.Now()):
		return (l + 1) / 2
	}
	return l
}

// maybeShared reports whether another owner may be sending to the replica. Two
// owners in doubt use half the limit each. One alone goes back to the whole
// limit after the replica has reported no foreign requests for a while.
func (g *gate) maybeShared(now time.Time) bool {
	return now.Sub(g.doubted) < g.doubtTime || now.Sub(g.foreign) < g.doubtTime
}

const (
	// peakTime covers the lag of a load report.
	peakTime = 3 * time.Second
	// foreignSlack is the number of requests by which a report may exceed the
	// peak without meaning another owner.
	foreignSlack = 1
)

// observe compares the replica's report of running requests with this gate's
// own.
func (g *gate) observe(now time.Time, reported uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.peakFrom) > peakTime {
		g.lastPeak, g.peak, g.peakFrom = g.peak, g.running, now
	}
	if reported > max(g.peak, g.lastPeak)+foreignSlack {
		g.foreign = now
	}
}

// admit waits until the request may run. The caller calls done afterwards if
// and only if admit returned nil.
func (g *gate) admit(ctx context.Context, r *Request, wait time.Duration) *refuser.Refusal {
	g.mu.Lock()
	if g.running < g.limit() && g.queue.Len() == 0 {
		g.start()
		g.mu.Unlock()
		return nil
	}
	expected := g.expectedWait(r)
	if expected > wait || g.queue.Len() >= g.maxQueue && !g.crowdOut(r.Team) {
		g.mu.Unlock()
		return refuser.New(refuser.Overloaded, refuser.NotRun, "the replica's queue is too long for the team").WithRetryAfter(max(expected, time.Second))
	}
	it := &sharer.Item[chan verdict]{Team: r.Team, Weight: r.TeamWeight, Cost: r.Cost, Value: make(chan verdict, 1)}
	if !g.queue.Push(it) {
		g.mu.Unlock()
		return refuser.New(refuser.Overloaded, refuser.NotRun, "the team has too many requests waiting").WithRetryAfter(max(expected, time.Second))
	}
	g.mu.Unlock()
	return g.wait(ctx, it, wait)
}

func (g *gate) wait(ctx context.Context, it *sharer.Item[chan verdict], wait time.Duration) *refuser.Refusal {
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
	g.done(RequestResult{Inconclusive: true})
	return why
}

// verdict is what became of a waiting request.
type verdict int

// Verdicts.
const (
	admitted verdict = iota
	turnedAway
	crowdedOut
)

// refusal returns the refusal that belongs to a verdict, or nil.
func (v verdict) refusal() *refuser.Refusal {
	switch v {
	case turnedAway:
		return refuser.New(refuser.Moved, refuser.NotRun, "the replica stopped serving").WithRetryAfter(time.Second)
	case crowdedOut:
		return refuser.New(refuser.Overloaded, refuser.NotRun, "the team has more waiting than its share").WithRetryAfter(time.Second)
	}
	return nil
}

// crowdOut makes room in a full queue at the cost of a team that has more
// waiting than its share.
func (g *gate) crowdOut(team identifier.Team) bool {
	last := g.queue.EvictFor(team)
	if last == nil {
		return false
	}
	last.Value <- crowdedOut
	return true
}

// expectedWait estimates how long a new request would wait.
func (g *gate) expectedWait(r *Request) time.Duration {
	limit := g.limit()
	if limit == 0 {
		return time.Duration(1<<62 - 1)
	}
	return g.usual * time.Duration(g.queue.EstimatePosition(r.Team, r.TeamWeight)+1) / time.Duration(limit)
}

// RequestResult is how a request at a backend server ended.
type RequestResult struct {
	// Inconclusive is set when the request did not reach the server.
	Inconclusive     bool
	Failed           bool
	TimeToFirstToken time.Duration
	Duration         time.Duration
}

// done gives the place of a request back.
func (g *gate) done(r RequestResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := g.running
	g.running--
	switch {
	case r.Failed:
		g.ramp.RecordFailure()
	case !r.Inconclusive:
		g.ramp.RecordSuccess(r.TimeToFirstToken, running)
		g.noteUsual(r.Duration)
	}
	g.admitWaiting()
}

func (g *gate) noteUsual(d time.Duration) {
	if g.usual == 0 {
		g.usual = d
		return
	}
	g.usual = time.Duration(usualWeight*float64(g.usual) + (1-usualWeight)*float64(d))
}

func (g *gate) start() {
	g.running++
	g.peak = max(g.peak, g.running)
}

func (g *gate) admitWaiting() {
	for g.running < g.limit() && g.queue.Len() > 0 {
		g.start()
		g.queue.Pop().Value <- admitted
	}
}

// update takes over what the authority says of the group.
func (g *gate) update(hold locator.Ownership, inc identifier.Incarnation, address string, cold, warm uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnation != inc || g.address != address {
		g.ramp.Reset()
	}
	g.incarnation, g.address = inc, address
	g.ramp.ColdLimit, g.ramp.WarmLimit = cold, warm
	if hold == locator.OwnershipUncertain && g.hold != hold {
		g.doubted = time.Now()
	}
	g.hold = hold
	if hold == locator.OwnershipNone {
		g.turnAway()
	}
	g.admitWaiting()
}

// turnAway refuses every waiting request.
func (g *gate) turnAway() {
	for it := g.queue.Pop(); it != nil; it = g.queue.Pop() {
		it.Value <- turnedAway
	}
}

// GroupStatus is the state of one gate for reports and the state dump.
type GroupStatus struct {
	Group   identifier.Group `json:"group"`
	Running uint32           `json:"running"`
	Waiting int              `json:"waiting"`
	Limit   uint32           `json:"limit"`
}

func (g *gate) status(id identifier.Group) GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GroupStatus{Group: id, Running: g.running, Waiting: g.queue.Len(), Limit: g.limit()}
}
