package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/keeper"
	"trefoilhead.org/trefoilhead/internal/preserver"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

const (
	evidenceFolder = "isolator"
	// maxSavedEvidence bounds the evidence that is written to the disk.
	maxSavedEvidence = 128
)

// initPreserver merges the evidence that an earlier run of this process has written.
func (c *Coordinator) initPreserver() {
	c.preserver = preserver.Preserver{
		FileSystem: c.dataFolder(evidenceFolder), Logger: c.Logger,
		Collect: func() preserver.Content {
			c.mu.Lock()
			defer c.mu.Unlock()
			return preserver.Content{Evidence: c.ledger.Snapshot(maxSavedEvidence)}
		},
	}
	for _, e := range c.preserver.Init(c.startedAt).Evidence {
		c.ledger.Merge(c.startedAt, e)
	}
}

// mergeEvidence adds the evidence of another process. The caller must hold mu.
func (c *Coordinator) mergeEvidence(now time.Time, in []*peerv1.CrashEvidence) {
	for _, m := range in {
		c.ledger.Merge(now, encoder.DecodeEvidence(now, m))
	}
}

// helloEvidence returns the evidence for the next hello. The caller must hold mu.
func (c *Coordinator) helloEvidence(now time.Time) []*peerv1.CrashEvidence {
	sent, current := c.helloEvidenceCursor.Sent(), c.ledger.Revision()
	return encoder.EncodeEvidence(now, c.ledger.SharedSince(c.helloEvidenceCursor.Next(now, current), sent))
}

// runIsolation forgets old evidence and, on the leader, decides which requests are kept
// from backend servers.
func (c *Coordinator) runIsolation(ctx context.Context, now time.Time) {
	state, _ := c.keeper.State()
	c.mu.Lock()
	isolator.Seed(now, &c.ledger, state.Isolations)
	c.ledger.Expire(now, state.Isolations)
	c.preserver.NotifyChanged(c.ledger.Revision())
	c.mu.Unlock()
	if !c.driver.Status().CommittedInTerm || c.isolating.Load() {
		return
	}
	c.mu.Lock()
	change, ok := c.decider.Decide(now, &c.ledger, state.Isolations)
	if ok {
		c.logIsolation(now, change)
	}
	c.mu.Unlock()
	if !ok {
		return
	}
	data, err := keeper.Command{Isolate: change.Set, Release: change.Release}.Encode()
	if err != nil {
		_ = level.Error(c.Logger).Log("msg", "cannot encode an isolation", "err", err)
		return
	}
	c.isolating.Store(true)
	go func() {
		defer c.isolating.Store(false)
		proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := c.driver.Propose(proposeCtx, data); err != nil {
			// The decision is made again while its reasons last.
			_ = level.Info(c.Logger).Log("msg", "an isolation was not accepted by the log", "err", err)
		}
	}()
}

// logIsolation logs a decision with the evidence for it. The caller must hold mu.
func (c *Coordinator) logIsolation(now time.Time, change isolator.Change) {
	key, action := change.Release, "ends"
	var traits isolator.Traits
	if change.Set != nil {
		key, action, traits = &change.Set.Key, "is decided", change.Set.Traits
	}
	parts := make([]string, 0, len(traits.Parts))
	for _, p := range traits.Parts {
		parts = append(parts, string(p))
	}
	var crashes int
	var sinceSound, sinceOthersSound time.Duration
	if e := c.ledger.Get(*key); e != nil {
		crashes = len(e.Crashes)
		sinceSound, sinceOthersSound = ageOf(now, e.SoundAt), ageOf(now, e.OthersSoundAt)
	}
	_ = level.Info(c.Logger).Log("msg", "isolation "+action, "service", key.Service, "part", key.Part, "digest", key.Request.Short(), "parts", strings.Join(parts, ","),
		"team", traits.Team, "model", traits.Model, "reason", change.Reason, "crashes", crashes, "sound_ago", sinceSound,
		"others_sound_ago", sinceOthersSound)
}

// ageOf returns how long ago a time was, or -1 for the zero time.
func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}
