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
	"trefoilhead.org/trefoilhead/internal/throttler"
)

// admissionController limits the concurrent requests to one group that this entry
// owns, and queues the others.
type admissionController struct {
	mu            sync.Mutex
	adaptiveLimit limiter.AdaptiveLimit
	ownership     locator.Ownership
	// uncertainSince is when ownership last became OwnershipUncertain. It is zero if
	// that never happened.
	uncertainSince time.Time
	// lastExcessAt is when the backend server last announced more running requests
	// than this owner had sent it, a sign that another owner sends requests too.
	lastExcessAt time.Time
	// halfLimitTime is how long an owner with OwnershipUncertain uses half of the limit
	// after uncertainSince and after lastExcessAt.
	halfLimitTime time.Duration
	// currentPeak and previousPeak are the highest numbers of requests that ran at
	// once in the current and in the previous peakWindow.
	currentPeak      uint32
	previousPeak     uint32
	currentPeakStart time.Time
	running          uint32
	queue            sharer.Queue[chan queueOutcome]
	// maxQueueLength limits the waiting requests of all teams together.
	maxQueueLength int
	incarnation    identifier.Incarnation
	address        string
	// avgDuration is a moving average of the duration of a request.
	avgDuration time.Duration
	// namedLimit is the request rate that the backend server names, nil if it names none.
	// bucket keeps the requests of this owner to it, and wake admits waiting requests when
	// it allows the next one.
	namedLimit *throttler.Limit
	bucket     throttler.Bucket
	wake       *time.Timer
}

// averageWeight is the weight of the old value in the moving average of avgDuration.
const averageWeight = 0.9

// currentLimit returns the number of requests that may run concurrently now.
func (c *admissionController) currentLimit() uint32 {
	l := c.adaptiveLimit.Limit()
	switch {
	case c.ownership == locator.OwnershipNone:
		return 0
	case c.ownership == locator.OwnershipUncertain && c.mayHaveOtherOwner(time.Now()):
		return (l + 1) / 2
	}
	return l
}

// rateLimit returns the request rate that this owner keeps, and false if there is none. Two
// owners use half of the rate each.
func (c *admissionController) rateLimit() (throttler.Rate, bool) {
	if c.namedLimit == nil || !c.namedLimit.InForce() {
		return 0, false
	}
	r := throttler.PermitRate(c.namedLimit.Rate)
	if c.ownership == locator.OwnershipUncertain && c.mayHaveOtherOwner(time.Now()) {
		r /= 2
	}
	return r, true
}

// setNamedLimit replaces what is known of the request rate that the backend server names.
func (c *admissionController) setNamedLimit(l *throttler.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.namedLimit = l
	c.admitWaiting()
}

// returnRate takes back what tryTakeSlot counted for a request that did not reach the backend
// server.
func (c *admissionController) returnRate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, limited := c.rateLimit(); limited {
		c.bucket.Return()
	}
}

// currentIncarnation returns the incarnation of the backend server as of the last view.
func (c *admissionController) currentIncarnation() identifier.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}

// mayHaveOtherOwner reports whether another owner may be sending requests to the
// group. Two owners with OwnershipUncertain use half of the limit each. A single one
// returns to the full limit when the backend server has announced no requests of
// another owner for halfLimitTime.
func (c *admissionController) mayHaveOtherOwner(now time.Time) bool {
	return now.Sub(c.uncertainSince) < c.halfLimitTime || now.Sub(c.lastExcessAt) < c.halfLimitTime
}

const (
	// peakWindow is longer than the delay of an announcement, so that an announcement
	// counts only requests that ran in the current or the previous window.
	peakWindow = 3 * time.Second
	// excessSlack is the number of requests by which an announcement may exceed the
	// peak without being taken as a sign of another owner.
	excessSlack = 1
)

// checkAnnouncedRunning sets lastExcessAt if the backend server announced more running
// requests than this owner had sent it.
func (c *admissionController) checkAnnouncedRunning(now time.Time, announced uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.currentPeakStart) > peakWindow {
		c.previousPeak, c.currentPeak, c.currentPeakStart = c.currentPeak, c.running, now
	}
	if announced > max(c.currentPeak, c.previousPeak)+excessSlack {
		c.lastExcessAt = now
	}
}

// admit waits until the request may run, for at most wait. The caller must call
// releaseSlot afterwards if and only if admit returns nil.
func (c *admissionController) admit(ctx context.Context, r *Request, wait time.Duration) *refuser.Refusal {
	c.mu.Lock()
	if c.queue.Len() == 0 && c.tryTakeSlot() {
		c.mu.Unlock()
		return nil
	}
	if rate, limited := c.rateLimit(); limited {
		if until := c.bucket.Wait(time.Now(), rate, c.queue.EstimatePosition(r.Team, r.TeamWeight)+1); until > min(wait, maxRateWait) {
			c.mu.Unlock()
			return refuser.New(refuser.RateLimited, refuser.NotRun, "the replica takes no more requests a second").WithRetryAfter(until)
		}
	}
	expected := c.expectedWait(r)
	if expected > wait || c.queue.Len() >= c.maxQueueLength && !c.evictFor(r.Team) {
		c.mu.Unlock()
		return refuser.New(refuser.Overloaded, refuser.NotRun, "the replica's queue is too long for the team").WithRetryAfter(max(expected, time.Second))
	}
	it := &sharer.Item[chan queueOutcome]{Team: r.Team, Weight: r.TeamWeight, Cost: r.Cost, Value: make(chan queueOutcome, 1)}
	if !c.queue.Push(it) {
		c.mu.Unlock()
		return refuser.New(refuser.Overloaded, refuser.NotRun, "the team has too many requests waiting").WithRetryAfter(max(expected, time.Second))
	}
	c.scheduleWake()
	c.mu.Unlock()
	return c.waitInQueue(ctx, it, wait)
}

// maxRateWait is how long a request waits for a backend server whose request rate is used
// up. Other groups are tried instead of a longer wait.
const maxRateWait = 500 * time.Millisecond

// tryTakeSlot takes a slot if the concurrency limit and the request rate allow that. The
// caller holds mu.
func (c *admissionController) tryTakeSlot() bool {
	if c.running >= c.currentLimit() {
		return false
	}
	if rate, limited := c.rateLimit(); limited && !c.bucket.Take(time.Now(), rate) {
		return false
	}
	c.takeSlot()
	return true
}

// scheduleWake lets waiting requests be admitted when the request rate allows the next one.
// The caller holds mu.
func (c *admissionController) scheduleWake() {
	rate, limited := c.rateLimit()
	if !limited || c.queue.Len() == 0 || c.running >= c.currentLimit() {
		return
	}
	if c.wake != nil {
		c.wake.Stop()
	}
	c.wake = time.AfterFunc(c.bucket.Wait(time.Now(), rate, 1), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.admitWaiting()
	})
}

func (c *admissionController) waitInQueue(ctx context.Context, it *sharer.Item[chan queueOutcome], wait time.Duration) *refuser.Refusal {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var refusal *refuser.Refusal
	select {
	case o := <-it.Value:
		return o.refusal()
	case <-timer.C:
		refusal = refuser.New(refuser.Overloaded, refuser.NotRun, "no place became free in time").WithRetryAfter(time.Second)
	case <-ctx.Done():
		refusal = refuser.New(refuser.Cancelled, refuser.NotRun, "the caller gave up while waiting")
	}
	c.mu.Lock()
	removed := c.queue.Remove(it)
	c.mu.Unlock()
	if removed {
		return refusal
	}
	// The request left the queue just before the wait ended, so its outcome is already
	// in the channel.
	if o := <-it.Value; o != admitted {
		return o.refusal()
	}
	if ctx.Err() == nil {
		return nil
	}
	c.releaseSlot(RequestResult{Inconclusive: true})
	return refusal
}

// queueOutcome is how a request left the queue. A rejected request waited for a group
// that this entry no longer owns; an evicted one made room for another team; a withheld one waited
// for a server that wants no requests any more.
type queueOutcome int

// Values of queueOutcome.
const (
	admitted queueOutcome = iota
	rejected
	evicted
	withheld
)

// refusal returns the refusal for the outcome, or nil if the request was admitted.
func (o queueOutcome) refusal() *refuser.Refusal {
	switch o {
	case rejected:
		return refuser.New(refuser.Moved, refuser.NotRun, "the replica stopped serving").WithRetryAfter(time.Second)
	case withheld:
		return refuser.New(refuser.AskedToWait, refuser.NotRun, "the replica wants no requests").WithRetryAfter(time.Second)
	case evicted:
		return refuser.New(refuser.Overloaded, refuser.NotRun, "the team has more waiting than its share").WithRetryAfter(time.Second)
	}
	return nil
}

// evictFor makes room for a request of a team in a full queue by evicting a request of
// a team that has more waiting requests than its share. It returns false if no other
// team has.
func (c *admissionController) evictFor(team identifier.Team) bool {
	last := c.queue.EvictFor(team)
	if last == nil {
		return false
	}
	last.Value <- evicted
	return true
}

// expectedWait estimates how long a new request would wait.
func (c *admissionController) expectedWait(r *Request) time.Duration {
	limit := c.currentLimit()
	if limit == 0 {
		return time.Duration(1<<62 - 1)
	}
	return c.avgDuration * time.Duration(c.queue.EstimatePosition(r.Team, r.TeamWeight)+1) / time.Duration(limit)
}

// RequestResult tells how an admitted request ended.
type RequestResult struct {
	// Inconclusive is set when the request was not sent or its response not read to
	// the end. Unless Failed is set too, it then counts neither as success nor as
	// failure.
	Inconclusive     bool
	Failed           bool
	TimeToFirstToken time.Duration
	Duration         time.Duration
}

// releaseSlot records the result of an admitted request and frees its slot.
func (c *admissionController) releaseSlot(r RequestResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := c.running
	c.running--
	switch {
	case r.Failed:
		c.adaptiveLimit.RecordFailure()
	case !r.Inconclusive:
		c.adaptiveLimit.RecordSuccess(r.TimeToFirstToken, running)
		c.updateAvgDuration(r.Duration)
	}
	c.admitWaiting()
}

func (c *admissionController) updateAvgDuration(d time.Duration) {
	if c.avgDuration == 0 {
		c.avgDuration = d
		return
	}
	c.avgDuration = time.Duration(averageWeight*float64(c.avgDuration) + (1-averageWeight)*float64(d))
}

func (c *admissionController) takeSlot() {
	c.running++
	c.currentPeak = max(c.currentPeak, c.running)
}

func (c *admissionController) admitWaiting() {
	for c.queue.Len() > 0 && c.tryTakeSlot() {
		c.queue.Pop().Value <- admitted
	}
	c.scheduleWake()
}

// update applies the placement authority's current view of the group. A changed
// incarnation or address means that the backend server has restarted and is cold.
func (c *admissionController) update(ownership locator.Ownership, inc identifier.Incarnation, address string, cold, warm uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation != inc || c.address != address {
		c.adaptiveLimit.Reset()
	}
	c.incarnation, c.address = inc, address
	c.adaptiveLimit.ColdLimit, c.adaptiveLimit.WarmLimit = cold, warm
	if ownership == locator.OwnershipUncertain && c.ownership != ownership {
		c.uncertainSince = time.Now()
	}
	c.ownership = ownership
	if ownership == locator.OwnershipNone {
		c.rejectWaiting(rejected)
	}
	c.admitWaiting()
}

// rejectWaiting ends the wait of all requests in the queue with an outcome. The caller holds mu.
func (c *admissionController) rejectWaiting(o queueOutcome) {
	for it := c.queue.Pop(); it != nil; it = c.queue.Pop() {
		it.Value <- o
	}
}

// GroupStatus is the state of an admission controller for load reports and the state
// dump.
type GroupStatus struct {
	Group   identifier.Group `json:"group"`
	Running uint32           `json:"running"`
	Waiting int              `json:"waiting"`
	Limit   uint32           `json:"limit"`
	// PerSecond is the request rate that the backend server names, and PerSecondNamedAgo the
	// time since an answer last named it. Both are 0 if there is none.
	PerSecond         throttler.Rate `json:"limit_per_s"`
	PerSecondNamedAgo time.Duration  `json:"limit_named_ago"`
	// WaitLeft is the time in which the backend server wants no requests, because it has asked to
	// wait. Leaving is set if it wants none any more, because it leaves.
	WaitLeft time.Duration `json:"wait_left"`
	Leaving  bool          `json:"server_leaving"`
}

func (c *admissionController) status(id identifier.Group) GroupStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := GroupStatus{Group: id, Running: c.running, Waiting: c.queue.Len(), Limit: c.reportedLimit()}
	if _, limited := c.rateLimit(); limited {
		s.PerSecond, s.PerSecondNamedAgo = c.namedLimit.Rate, time.Since(c.namedLimit.NamedAt)
	}
	return s
}

// reportedLimit returns the concurrency limit or, if that is lower, the number of requests
// that run at the rate that the backend server names. Entries prefer other groups by it.
func (c *admissionController) reportedLimit() uint32 {
	limit := c.currentLimit()
	if rate, limited := c.rateLimit(); limited && c.avgDuration > 0 {
		limit = min(limit, max(uint32(float64(rate)*c.avgDuration.Seconds()), 1))
	}
	return limit
}
