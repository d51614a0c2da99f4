package server

import (
	"context"
	"encoding/json"
	"time"

	"trefoilhead.org/trefoilhead/internal/claimer"
)

// claimTickInterval is the time between two ticks of the claims' clock.
const claimTickInterval = time.Minute

// claimsClock measures the time that the claims' clock is given.
type claimsClock struct {
	// lastTick is when this process last ticked as the leader; zero while another
	// leads.
	lastTick time.Time
}

// tickClaimsClock ages the claims by the time that has passed since this process's
// last tick, if it has led the log since then. Time without a leader is lost,
// which only keeps claims for longer.
func (s *Server) tickClaimsClock(ctx context.Context) {
	now := time.Now()
	if s.leaderOf(claimsLog) != s.Settings.VM {
		s.claimsClock.lastTick = time.Time{}
		return
	}
	last := s.claimsClock.lastTick
	s.claimsClock.lastTick = now
	if last.IsZero() {
		return
	}
	// A process that was paused may have lost the lead and won it again.
	elapsed := min(now.Sub(last), 2*claimTickInterval)
	data, err := json.Marshal(claimer.Command{Action: claimer.Tick, Elapsed: elapsed.Milliseconds()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.Silence)
	defer cancel()
	if _, err := s.proposeLocally(ctx, claimsLog, data); err != nil {
		s.claimsClock.lastTick = time.Time{}
	}
}
