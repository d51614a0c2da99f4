// Package limiter learns how many requests a replica bears at once.
//
// A replica that has just started is cold: it falls over under a load that it
// carries easily an hour later. A Ramp starts at the cold limit, grows with
// each success while the limit is in use and first tokens come as fast as before,
// and falls back when failures or slow first tokens show that the replica has
// turned cold again.
package limiter

import "time"

// AdaptiveLimit is the limit of one replica. Exported fields are set before use; the
// zero value of the others is a cold replica.
type AdaptiveLimit struct {
	// ColdLimit is the limit after a start, Warm the limit that the operator
	// declared. Both are numbers of concurrent requests.
	ColdLimit uint32
	WarmLimit uint32

	limit float64
	// usual is a moving average of the time to the first token.
	usual time.Duration
	// best is the lowest average since the start.
	best time.Duration
	slow int
}

const (
	// slowFactor times the usual first-token time counts as slow.
	slowFactor = 4
	// slowFloor is the first-token time below which nothing is slow.
	slowFloor = 100 * time.Millisecond
	// slowInARow slow answers mean that the replica is cold again.
	slowInARow = 3
	// usualShare is the weight of old values in the moving average.
	usualShare = 0.9
	// growFactor times the best average first-token time is the most at which
	// the limit still grows.
	growFactor = 1.2
	// growStep is added to the limit by each success.
	growStep = 0.25
	// bestDecay is the share by which the best average moves towards the
	// present one at each success, so that one lucky moment does not bind for
	// ever.
	bestDecay = 0.005
	// strainedDecay is the same while the replica is strained: slow, since the
	// strain is most likely load, but not zero, since prompts may have become
	// longer for good.
	strainedDecay = 0.0002
	// failureFactor multiplies the limit at each failure.
	failureFactor = 0.5
)

// Limit returns the number of requests that may run now.
func (r *AdaptiveLimit) Limit() uint32 {
	return uint32(r.exact())
}

// exact returns the limit with its fraction.
func (r *AdaptiveLimit) exact() float64 { return max(r.limit, float64(min(r.ColdLimit, r.WarmLimit))) }

// Reset makes the replica cold.
func (r *AdaptiveLimit) Reset() {
	r.limit = 0
	r.usual = 0
	r.best = 0
	r.slow = 0
}

// RecordSuccess notes a complete answer whose first token took d while running
// requests, this one included, were on the replica. The limit grows by about
// a quarter per limit's worth of answers, and only while it is being used.
func (r *AdaptiveLimit) RecordSuccess(d time.Duration, running uint32) {
	if r.isSlow(d) {
		r.slow++
		if r.slow >= slowInARow {
			r.Reset()
		}
		return
	}
	r.slow = 0
	r.noteUsual(d)
	limit := r.exact()
	if float64(running)*2 >= limit && !r.isStrained() {
		r.limit = min(limit+growStep, float64(r.WarmLimit))
	}
}

// RecordFailure notes a request that the replica failed or refused.
func (r *AdaptiveLimit) RecordFailure() {
	r.limit = r.exact() * failureFactor
}

func (r *AdaptiveLimit) isSlow(d time.Duration) bool {
	return r.usual > 0 && d > slowFloor && d > slowFactor*r.usual
}

// isStrained reports whether first tokens take longer than at the replica's
// best, which means that it bears no more.
func (r *AdaptiveLimit) isStrained() bool {
	return r.usual > slowFloor && float64(r.usual) > growFactor*float64(r.best)
}

func (r *AdaptiveLimit) noteUsual(d time.Duration) {
	if r.usual == 0 {
		r.usual = d
	}
	r.usual = time.Duration(usualShare*float64(r.usual) + (1-usualShare)*float64(d))
	if r.best == 0 || r.usual < r.best {
		r.best = r.usual
	}
	decay := bestDecay
	if r.isStrained() {
		decay = strainedDecay
	}
	r.best += time.Duration(decay * float64(r.usual-r.best))
}

// RetryBudget bounds retries to a share of the requests, so that a failing service
// is not flooded. Its zero value allows Burst retries at first.
type RetryBudget struct {
	// RetriesPerRequest is the number of retries earned by each request.
	RetriesPerRequest float64
	// MaxSaved is the greatest number of retries saved up.
	MaxSaved float64

	spent float64
}

// RecordRequest notes a first try.
func (b *RetryBudget) RecordRequest() { b.spent = max(0, b.spent-b.RetriesPerRequest) }

// AllowRetry reports whether one more retry is allowed, and takes it.
func (b *RetryBudget) AllowRetry() bool {
	if b.spent+1 > b.MaxSaved {
		return false
	}
	b.spent++
	return true
}

// RetryWindow bounds repeats in any span of time: at most Ratio times the requests of
// that span plus Slack. Exported fields may change between calls; the zero value
// allows nothing.
type RetryWindow struct {
	Ratio float64
	Slack float64
	Span  time.Duration

	buckets [windowBuckets]windowBucket
}

// windowBuckets is the number of parts that a span is counted in.
const windowBuckets = 20

type windowBucket struct {
	number   int64
	requests int
	repeats  int
}

func (w *RetryWindow) at(now time.Time) *windowBucket {
	width := max(int64(w.Span)/windowBuckets, 1)
	n := now.UnixNano() / width
	b := &w.buckets[n%windowBuckets]
	if b.number != n {
		*b = windowBucket{number: n}
	}
	return b
}

// RecordRequest notes a first try.
func (w *RetryWindow) RecordRequest(now time.Time) { w.at(now).requests++ }

// AllowRetry reports whether one more repeat is allowed now, and counts it.
func (w *RetryWindow) AllowRetry(now time.Time) bool {
	if !w.allows(now) {
		return false
	}
	w.at(now).repeats++
	return true
}

// allows reports whether one more repeat is allowed now.
func (w *RetryWindow) allows(now time.Time) bool {
	last := w.at(now).number
	requests, repeats := 0, 0
	for _, b := range w.buckets {
		if b.number > last-windowBuckets {
			requests += b.requests
			repeats += b.repeats
		}
	}
	return float64(repeats+1) <= w.Ratio*float64(requests)+w.Slack
}
