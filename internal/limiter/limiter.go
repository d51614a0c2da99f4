// Package limiter limits the concurrent requests to a replica, that is, to a replica
// group of a service, and limits retries.
//
// A replica that has just started is cold: it fails under a load that it handles
// easily an hour later. An AdaptiveLimit starts at the cold limit. It grows with
// each success while the limit is in use and the time to the first token does not
// rise, and falls back when failures or slow first tokens show that the replica is
// cold again.
package limiter

import "time"

// AdaptiveLimit is the concurrency limit of one replica. Exported fields are set
// before use; the zero value of the others stands for a cold replica.
type AdaptiveLimit struct {
	// ColdLimit is the limit after a start, WarmLimit the limit that the operator
	// declared. Both are numbers of concurrent requests.
	ColdLimit uint32
	WarmLimit uint32

	limit float64
	// avgFirstToken is a moving average of the time to the first token.
	avgFirstToken time.Duration
	// minAvgFirstToken is the lowest such average since the start. It slowly moves
	// towards the current average.
	minAvgFirstToken time.Duration
	consecutiveSlow  int
}

const (
	// slowFactor times the average time to the first token is the threshold above
	// which a response is slow.
	slowFactor = 4
	// slowFloor is the time to the first token up to which no response is slow and no
	// replica saturated.
	slowFloor = 100 * time.Millisecond
	// slowResponsesToReset consecutive slow responses mean that the replica is cold
	// again.
	slowResponsesToReset = 3
	// averageWeight is the weight of the old value in the moving average.
	averageWeight = 0.9
	// saturationFactor times minAvgFirstToken is the average time to the first token
	// up to which the limit still grows.
	saturationFactor = 1.2
	// successIncrement is added to the limit by each success.
	successIncrement = 0.25
	// minAvgDecay is the fraction by which the lowest average moves towards the
	// current one at each success, so that one unusually fast moment does not
	// restrict the limit forever.
	minAvgDecay = 0.005
	// saturatedMinAvgDecay replaces minAvgDecay while the replica is saturated. It
	// is small because the cause is most likely load, but not zero because prompts
	// may have become longer permanently.
	saturatedMinAvgDecay = 0.0002
	// failureBackoff is the factor by which each failure reduces the limit.
	failureBackoff = 0.5
)

// Limit returns the number of requests that may run concurrently now.
func (l *AdaptiveLimit) Limit() uint32 {
	return uint32(l.fractionalLimit())
}

// fractionalLimit returns the limit before it is rounded down.
func (l *AdaptiveLimit) fractionalLimit() float64 {
	return max(l.limit, float64(min(l.ColdLimit, l.WarmLimit)))
}

// Reset returns to the cold limit and discards the measured times.
func (l *AdaptiveLimit) Reset() {
	l.limit = 0
	l.avgFirstToken = 0
	l.minAvgFirstToken = 0
	l.consecutiveSlow = 0
}

// RecordSuccess records a complete response and the time to its first token. The
// argument running is the number of requests that the replica ran, this one included.
// The limit grows by about a quarter per limit's worth of responses, and only while
// at least half of it is in use.
func (l *AdaptiveLimit) RecordSuccess(firstToken time.Duration, running uint32) {
	if l.isSlow(firstToken) {
		l.consecutiveSlow++
		if l.consecutiveSlow >= slowResponsesToReset {
			l.Reset()
		}
		return
	}
	l.consecutiveSlow = 0
	l.updateAverage(firstToken)
	limit := l.fractionalLimit()
	if float64(running)*2 >= limit && !l.isSaturated() {
		l.limit = min(limit+successIncrement, float64(l.WarmLimit))
	}
}

// RecordFailure records that the replica failed or refused a request.
func (l *AdaptiveLimit) RecordFailure() {
	l.limit = l.fractionalLimit() * failureBackoff
}

func (l *AdaptiveLimit) isSlow(firstToken time.Duration) bool {
	return l.avgFirstToken > 0 && firstToken > slowFloor && firstToken > slowFactor*l.avgFirstToken
}

// isSaturated reports whether first tokens take clearly longer than in the lowest
// average, which means that the replica cannot handle more requests.
func (l *AdaptiveLimit) isSaturated() bool {
	return l.avgFirstToken > slowFloor && float64(l.avgFirstToken) > saturationFactor*float64(l.minAvgFirstToken)
}

func (l *AdaptiveLimit) updateAverage(firstToken time.Duration) {
	if l.avgFirstToken == 0 {
		l.avgFirstToken = firstToken
	}
	l.avgFirstToken = time.Duration(averageWeight*float64(l.avgFirstToken) + (1-averageWeight)*float64(firstToken))
	if l.minAvgFirstToken == 0 || l.avgFirstToken < l.minAvgFirstToken {
		l.minAvgFirstToken = l.avgFirstToken
	}
	decay := minAvgDecay
	if l.isSaturated() {
		decay = saturatedMinAvgDecay
	}
	l.minAvgFirstToken += time.Duration(decay * float64(l.avgFirstToken-l.minAvgFirstToken))
}
