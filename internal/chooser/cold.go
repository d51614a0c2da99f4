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
)

// coldRateAllows reports whether this front's share of a cold server's request
// rate allows one more request now. It is always true for a warm server.
func (c *Chooser) coldRateAllows(now time.Time, s *tracker.Server, svc *cataloger.Service) bool {
	if svc.ColdRequestsPerSecond <= 0 || !s.IsCold(now) {
		return true
	}
	st := c.stateOf(s.ID)
	if s.ColdUntil.Sub(st.coldUntil) > coldEndTolerance {
		// All fronts learn of the cold start at the same time. A random phase
		// spreads their first requests.
		phase := time.Duration(c.Rand.Int64N(int64(c.coldSendInterval(svc))))
		st.nextColdSendAt = now.Add(phase)
	}
	st.coldUntil = s.ColdUntil
	return !now.Before(st.nextColdSendAt)
}

// coldSendInterval returns the time between two requests of this front to a cold
// server.
func (c *Chooser) coldSendInterval(svc *cataloger.Service) time.Duration {
	maxRate := svc.ColdRequestsPerSecond*max(c.ColdOvershoot, 1) + c.ColdSlack
	// The fronts' phases are random, so at a mean rate of m some seconds get up to
	// m plus deviations times the square root of m. The rate is set so that this
	// sum equals maxRate.
	const deviations = 3
	sqrtRate := (math.Sqrt(deviations*deviations+4*maxRate) - deviations) / 2
	rate := sqrtRate * sqrtRate / float64(max(c.FrontCount, 1))
	return time.Duration(float64(time.Second) / rate)
}
