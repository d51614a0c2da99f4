package chooser

import (
	"math"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// Request rate of cold servers, which all fronts share.
const (
	// coldEndTolerance is how far apart two announced ends of the same cold start
	// may be. A larger difference means a new cold start.
	coldEndTolerance = time.Second
	// coldSlotWindow is how long a front may use its turn to send a request to a cold
	// server.
	coldSlotWindow = 500 * time.Millisecond
	// coldRatePeriod is the time in which the requests to a cold server are counted.
	coldRatePeriod = time.Second
	// minSendInterval is the shortest time between two requests of a front that share a rate.
	minSendInterval = time.Microsecond
	// coldDeviations is the number of standard deviations by which the requests in one
	// period may exceed their mean.
	coldDeviations = 3
)

// coldRateAllows reports whether this front's share of a cold server's request
// rate allows one more request now. It is always true for a warm server.
func (c *Chooser) coldRateAllows(now time.Time, s *tracker.Server, svc *cataloger.Service) bool {
	if svc.ColdRequestsPerSecond <= 0 || !s.IsCold(now) {
		return true
	}
	if c.FrontCount <= 0 {
		return false
	}
	st := c.stateOf(s.ID)
	interval := c.coldSendInterval(svc)
	window := min(coldSlotWindow, interval)
	if s.ColdUntil.Sub(st.coldUntil) > coldEndTolerance {
		// All fronts learn of the cold start at the same time. New random phases
		// spread their first requests. Turns before the start of this process belonged to a
		// former run of it.
		begin := now.Add(-window)
		if begin.Before(c.StartedAt) {
			begin = c.StartedAt
		}
		st.coldSlots.Begin(c.Rand, begin, interval)
	}
	st.coldUntil = s.ColdUntil
	return st.coldSlots.IsOpen(now, c.Rand, interval, window)
}

// coldSendInterval returns the time between two requests of this front to a cold
// server.
func (c *Chooser) coldSendInterval(svc *cataloger.Service) time.Duration {
	fronts := float64(c.FrontCount)
	highest := svc.ColdRequestsPerSecond*max(c.ColdOvershoot, 1) + c.ColdSlack
	// The fronts' phases are random, so the number of requests in a period varies. Its
	// standard deviation is at most the root of the mean, and half the root of the number of
	// fronts, because each front sends one of two numbers.
	root := (math.Sqrt(coldDeviations*coldDeviations+4*highest) - coldDeviations) / 2
	mean := max(root*root, highest-coldDeviations*math.Sqrt(fronts)/2)
	// The mean includes the slots that are open when the period begins, at most one a front.
	rate := max(mean/(coldRatePeriod+coldSlotWindow).Seconds(), mean-fronts)
	return max(time.Duration(float64(time.Second)/rate*fronts), minSendInterval)
}
