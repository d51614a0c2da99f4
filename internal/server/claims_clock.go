package server

import (
	"context"
	"encoding/json"
	"time"

	"trefoilhead.org/trefoilhead/internal/claimer"
)

// claimTickInterval is the period at which the leader advances the clock of the
// claims log.
const claimTickInterval = time.Minute

// claimsClock measures the elapsed time by which the leader advances the clock
// of the claims log.
type claimsClock struct {
	// lastTick is when this process, as the leader, last advanced the clock; zero
	// while another process leads.
	lastTick time.Time
}

// tickClaimsClock advances the clock of the claims log by the time since this
// process's last tick, if it has led the log since then. Time without a leader
// is not counted, which only keeps claims for longer.
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
	// A paused process may have lost the leadership and won it again meanwhile,
	// so another leader may have counted part of this time already.
	elapsed := min(now.Sub(last), 2*claimTickInterval)
	data, err := json.Marshal(claimer.Command{Action: claimer.ActionTick, Elapsed: elapsed.Milliseconds()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.SilenceTimeout)
	defer cancel()
	if _, err := s.proposeLocally(ctx, claimsLog, data); err != nil {
		s.claimsClock.lastTick = time.Time{}
	}
}
