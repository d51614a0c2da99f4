package throttler

import (
	"math"
	"time"
)

const (
	// bucketTime times its rate is how many requests a Bucket saves up.
	bucketTime = time.Second
	// rounding is the part of a request by which the sum of many short times may be wrong.
	rounding = 1e-6
)

// Bucket keeps the requests of a sole sender to a rate. Its zero value is full enough for one
// request.
type Bucket struct {
	tokens     float64
	advancedAt time.Time
}

func (b *Bucket) advance(now time.Time, r Rate) {
	if b.advancedAt.IsZero() {
		b.tokens, b.advancedAt = 1, now
		return
	}
	b.tokens = min(b.tokens+float64(r)*now.Sub(b.advancedAt).Seconds(), max(float64(r)*bucketTime.Seconds(), 1))
	b.advancedAt = now
}

// Take reports whether a request may be sent now, and counts it if so.
func (b *Bucket) Take(now time.Time, r Rate) bool {
	b.advance(now, r)
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}

// Return takes back a request that did not reach the server.
func (b *Bucket) Return() { b.tokens++ }

// Wait returns the time until so many requests may be sent.
func (b *Bucket) Wait(now time.Time, r Rate, requests int) time.Duration {
	b.advance(now, r)
	missing := float64(requests) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / float64(r) * float64(time.Second)))
}
