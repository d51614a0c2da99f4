package chooser

import "time"

// Retry delays of refused requests.
const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request
	// before jitter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minOutageRetryAfter and maxOutageRetryAfter bound the retry delay of a request that
	// is refused during an outage.
	minOutageRetryAfter = time.Second
	maxOutageRetryAfter = 2 * time.Second
	// maxWaitRetryAfter bounds the retry delay of a request that is refused because its servers
	// have asked to wait. It is longer than any caller waits.
	maxWaitRetryAfter = 30 * time.Second
	// minReturnRate, in requests a second, and minRequestWork bound the estimate of what servers
	// can do after a wait.
	minReturnRate  = 0.1
	minRequestWork = time.Millisecond
)

// jitteredRetryAfter returns a retry delay with random jitter, so that refused
// callers do not all retry at the same time. The argument excess is the time by
// which the prediction exceeds the latency budget.
func (c *Chooser) jitteredRetryAfter(excess time.Duration) time.Duration {
	base := min(max(excess, minRetryAfter), maxRetryAfter)
	return base + time.Duration(c.Rand.Int64N(int64(base)))
}

// OutageRetryAfter returns the retry delay of a request that is refused during an
// outage: while this front may not serve, no server serves the model, or none can be
// reached. Most outages take longer than any latency objective, so callers gain nothing
// by an early return, and are refused again. They return spread over time, because all
// of them together would overload the servers after the outage.
func (c *Chooser) OutageRetryAfter() time.Duration {
	return minOutageRetryAfter + time.Duration(c.Rand.Int64N(int64(maxOutageRetryAfter-minOutageRetryAfter)))
}
