// Package limiter learns how many requests a replica bears at once.
//
// A replica that has just started is cold: it falls over under a load that it
// carries easily an hour later. A Ramp starts at the cold limit, grows with
// each success while the limit is in use and first tokens come as fast as before,
// and falls back when failures or slow first tokens show that the replica has
// turned cold again.
package limiter

import "time"

// Ramp is the limit of one replica. Exported fields are set before use; the
// zero value of the others is a cold replica.
type AdaptiveLimit struct {
	// Cold is the limit after a start, Warm the limit that the operator
	// declared. Both are numbers of concurrent requests.
	ColdLimit uint32
	WarmLimit uint32

	limit float64
	// usual is a moving average of the time to the first token.
	avgFirstToken time.Duration
	// best is the lowest average since the start.
	minAvgFirstToken time.Duration
	consecutiveSlow  int
}

const (
	// slowFactor times the usual first-token time counts as slow.
	slowFactor = 4
	// slowFloor is the first-token time below which nothing is slow.
	slowFloor = 100 * time.Millisecond
	// slowInARow slow answers mean that the replica is cold again.
	slowAnswersToReset = 3
	// usualShare is the weight of old values in the moving average.
	averageWeight = 0.9
	// growFactor times the best average first-token time is the most at which
	// the limit still grows.
	saturationFactor = 1.2
	// growStep is added to the limit by each success.
	successIncrement = 0.25
	// bestDecay is the share by which the best average moves towards the
	// present one at each success, so that one lucky moment does not bind for
	// ever.
	minAvgDecay = 0.005
	// strainedDecay is the same while the replica is strained: slow, since the
	// strain is most likely load, but not zero, since prompts may have become
	// longer for good.
	saturatedMinAvgDecay = 0.0002
	// failureFactor multiplies the limit at each failure.
	failureBackoff = 0.5
)

// Limit returns the number of requests that may run now.
func (r *AdaptiveLimit) Limit() uint32 {
	return uint32(r.fractionalLimit())
}

// exact returns the limit with its fraction.
func (r *AdaptiveLimit) fractionalLimit() float64 {
	return max(r.limit, float64(min(r.ColdLimit, r.WarmLimit)))
}

// Restart makes the replica cold.
func (r *AdaptiveLimit) Reset() {
	r.limit = 0
	r.avgFirstToken = 0
	r.minAvgFirstToken = 0
	r.consecutiveSlow = 0
}

// Success notes a complete answer whose first token took d while running
// requests, this one included, were on the replica. The limit grows by about
// a quarter per limit's worth of answers, and only while it is being used.
func (r *AdaptiveLimit) RecordSuccess(d time.Duration, running uint32) {
	if r.isSlow(d) {
		r.consecutiveSlow++
		if r.consecutiveSlow >= slowAnswersToReset {
			r.Reset()
		}
		return
	}
	r.consecutiveSlow = 0
	r.updateAverage(d)
	limit := r.fractionalLimit()
	if float64(running)*2 >= limit && !r.isSaturated() {
		r.limit = min(limit+successIncrement, float64(r.WarmLimit))
	}
}

// Failure notes a request that the replica failed or refused.
func (r *AdaptiveLimit) RecordFailure() {
	r.limit = r.fractionalLimit() * failureBackoff
}

func (r *AdaptiveLimit) isSlow(d time.Duration) bool {
	return r.avgFirstToken > 0 && d > slowFloor && d > slowFactor*r.avgFirstToken
}

// isStrained reports whether first tokens take longer than at the replica's
// best, which means that it bears no more.
func (r *AdaptiveLimit) isSaturated() bool {
	return r.avgFirstToken > slowFloor && float64(r.avgFirstToken) > saturationFactor*float64(r.minAvgFirstToken)
}

func (r *AdaptiveLimit) updateAverage(d time.Duration) {
	if r.avgFirstToken == 0 {
		r.avgFirstToken = d
	}
	r.avgFirstToken = time.Duration(averageWeight*float64(r.avgFirstToken) + (1-averageWeight)*float64(d))
	if r.minAvgFirstToken == 0 || r.avgFirstToken < r.minAvgFirstToken {
		r.minAvgFirstToken = r.avgFirstToken
	}
	decay := minAvgDecay
	if r.isSaturated() {
		decay = saturatedMinAvgDecay
	}
	r.minAvgFirstToken += time.Duration(decay * float64(r.avgFirstToken-r.minAvgFirstToken))
}

// Budget bounds retries to a share of the requests, so that a failing service
// is not flooded. Its zero value allows Burst retries at first.
type RetryBudget struct {
	// Share is the number of retries earned by each request.
	RetriesPerRequest float64
	// Burst is the greatest number of retries saved up.
	MaxSaved float64

	spent float64
}

// Request notes a first try.
func (b *RetryBudget) RecordRequest() { b.spent = max(0, b.spent-b.RetriesPerRequest) }

// Retry reports whether one more retry is allowed, and takes it.
func (b *RetryBudget) AllowRetry() bool {
	if b.spent+1 > b.MaxSaved {
		return false
	}
	b.spent++
	return true
}

// Window bounds repeats in any span of time: at most Ratio times the requests of
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
	index    int64
	requests int
	retries  int
}

func (w *RetryWindow) bucketAt(now time.Time) *windowBucket {
	width := max(int64(w.Span)/windowBuckets, 1)
	n := now.UnixNano() / width
	b := &w.buckets[n%windowBuckets]
	if b.index != n {
		*b = windowBucket{index: n}
	}
	return b
}

// Request notes a first try.
func (w *RetryWindow) RecordRequest(now time.Time) { w.bucketAt(now).requests++ }

// Repeat reports whether one more repeat is allowed now, and counts it.
func (w *RetryWindow) AllowRetry(now time.Time) bool {
	if !w.allowsRetry(now) {
		return false
	}
	w.bucketAt(now).retries++
	return true
}

// allows reports whether one more repeat is allowed now.
func (w *RetryWindow) allowsRetry(now time.Time) bool {
	last := w.bucketAt(now).index
	requests, repeats := 0, 0
	for _, b := range w.buckets {
		if b.index > last-windowBuckets {
			requests += b.requests
			repeats += b.retries
		}
	}
	return float64(repeats+1) <= w.Ratio*float64(requests)+w.Slack
}
