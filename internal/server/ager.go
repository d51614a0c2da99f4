package server

import (
	"context"
	"encoding/json"
	"time"

	"trefoilhead.org/trefoilhead/internal/claimer"
)

// claimTick is the time between two ticks of the claims' clock.
const claimTick = time.Minute

// ager measures the time that the claims' clock is given.
type ager struct {
	// last is when this process last ticked as the leader; zero while another
	// leads.
	last time.Time
}

// tickClaims ages the claims by the time that has passed since this process's
// last tick, if it has led the log since then. Time without a leader is lost,
// which only keeps claims for longer.
func (s *Server) tickClaims(ctx context.Context) {
	now := time.Now()
	if s.leaderOf(claimsLog) != s.Settings.VM {
		s.ager.last = time.Time{}
		return
	}
	last := s.ager.last
	s.ager.last = now
	if last.IsZero() {
		return
	}
	// A process that was paused may have lost the lead and won it again.
	elapsed := min(now.Sub(last), 2*claimTick)
	data, err := json.Marshal(claimer.Command{Action: claimer.ActionTick, Elapsed: elapsed.Milliseconds()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.SilenceTimeout)
	defer cancel()
	if _, err := s.proposeHere(ctx, claimsLog, data); err != nil {
		s.ager.last = time.Time{}
	}
}
