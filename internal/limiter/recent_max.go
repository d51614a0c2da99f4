package limiter

import "time"

// RecentMax keeps the highest of the numbers that were recorded within TTL. A number that
// many processes divide a bound by must not fall because one of them knows less for a moment.
type RecentMax struct {
	TTL time.Duration

	highest   int
	highestAt time.Time
	// next is the highest number since highestAt that is lower than highest.
	next   int
	nextAt time.Time
}

// Record records a number and returns the highest recent one.
func (r *RecentMax) Record(now time.Time, n int) int {
	if now.Sub(r.highestAt) > r.TTL {
		r.highest, r.highestAt, r.next = r.next, r.nextAt, 0
		if now.Sub(r.highestAt) > r.TTL {
			r.highest = 0
		}
	}
	switch {
	case n >= r.highest:
		r.highest, r.highestAt, r.next = n, now, 0
	case n >= r.next:
		r.next, r.nextAt = n, now
	}
	return r.highest
}
