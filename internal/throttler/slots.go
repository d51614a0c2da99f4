package throttler

import (
	"math/rand/v2"
	"time"
)

// Slots are the times at which one of several processes may send a request to a server, if
// each keeps to a part of the rate by itself: one in each interval, from a random phase on.
// A slot is lost if it is not used within a window, so that processes do not save up requests
// in a quiet time and send them together. The zero value has not begun.
type Slots struct {
	nextAt time.Time
}

// Begin draws the time of the first slot from the interval that begins at from.
func (s *Slots) Begin(rnd *rand.Rand, from time.Time, interval time.Duration) {
	s.nextAt = from.Add(time.Duration(rnd.Int64N(int64(interval))))
}

// HasBegun reports whether Begin was called since the last Reset.
func (s *Slots) HasBegun() bool { return !s.nextAt.IsZero() }

// IsOpen reports whether a request may be sent now.
func (s *Slots) IsOpen(now time.Time, rnd *rand.Rand, interval, window time.Duration) bool {
	if s.nextAt.Sub(now) > interval {
		// The interval has become shorter.
		s.Begin(rnd, now, interval)
	}
	if missed := now.Sub(s.nextAt) - window; missed > 0 {
		s.nextAt = s.nextAt.Add((missed/interval + 1) * interval)
	}
	return !now.Before(s.nextAt)
}

// Take uses up the open slot.
func (s *Slots) Take(interval time.Duration) { s.nextAt = s.nextAt.Add(interval) }

// Reset ends the slots.
func (s *Slots) Reset() { s.nextAt = time.Time{} }
