package chooser

import (
	"math"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Stall detection. A replica group that has lost a member keeps accepting requests
// but makes no progress, and reports the loss only seconds later. Each running
// answer gets an event in every pass of the engine. So a front detects the stall
// first: all its answers at the group are silent for much longer than a pass.

const (
	// A server is stalled after a silence of stallPasses times the predicted pass
	// time, plus the prefill time of all pending prompts, plus stallMargin for
	// delays in the network and this process (see docs/MEASUREMENTS.md).
	stallPasses = 2
	stallMargin = 40 * time.Millisecond
	// typicalGapPasses is the mean gap between two events, in predicted pass times,
	// on a server that is as fast as declared. It is above 1 because passes also
	// prefill prompts.
	typicalGapPasses = 1.5
	// gapAverageWeight is the weight of a new gap in the moving average, and
	// maxGapPasses is the upper limit of a gap that enters it.
	gapAverageWeight = 0.1
	maxGapPasses     = 10
	// A silence of up to peakGapFactor times the longest recent gap is never a
	// stall: the server may be prefilling prompts of other fronts that have not
	// been reported to this one. The longest gap decays by half in every
	// peakGapHalfLife.
	peakGapFactor   = 1.25
	peakGapHalfLife = 10 * time.Second
)

// decayingPeak keeps the longest gap between two events at the groups of a model. It
// decays exponentially, so that an old gap does not raise the threshold for good.
type decayingPeak struct {
	peak   time.Duration
	peakAt time.Time
}

func (p *decayingPeak) decayed(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	return time.Duration(float64(p.peak) * math.Exp2(-now.Sub(p.peakAt).Seconds()/peakGapHalfLife.Seconds()))
}

func (p *decayingPeak) observe(now time.Time, gap time.Duration) {
	if gap >= p.decayed(now) {
		p.peak, p.peakAt = gap, now
	}
}

// RecordResume records that this process did not run until now. The silence of
// servers up to now is then not evidence of a stall.
func (c *Chooser) RecordResume(now time.Time) { c.resumedAt = now }

// IsStalled reports whether a server's group seems to be stalled: this front has
// generating answers there, and none of them had an event for much longer than a
// pass should take.
func (c *Chooser) IsStalled(now time.Time, id identifier.Server) bool {
	st := c.stateByID[id]
	if st == nil || st.ownGenerating <= 0 {
		return false
	}
	since := st.lastResponseAt
	if c.resumedAt.After(since) {
		since = c.resumedAt
	}
	silence := now.Sub(since)
	if silence <= stallMargin {
		return false
	}
	threshold, ok := c.stallThreshold(now, id, st)
	return ok && silence > threshold
}

func (c *Chooser) stallThreshold(now time.Time, id identifier.Server, st *serverState) (time.Duration, bool) {
	e, m := c.engineAndModel(id)
	if e == nil {
		return 0, false
	}
	pass := float64(c.predictedPassTime(e, m, st)) * st.slowdown()
	threshold := time.Duration(stallPasses*pass) + e.PrefillTime(m, st.ownPendingTokens+st.othersPendingTokens) + stallMargin
	peakGap := float64(c.peakGapByModel[m.Name].decayed(now)) * peakGapFactor
	return max(threshold, time.Duration(peakGap)), true
}

// slowdown returns how many times longer than declared a server's passes take, at
// least 1.
func (st *serverState) slowdown() float64 { return max(st.avgGapPasses/typicalGapPasses, 1) }

// engineAndModel returns the engine and the model of a server. The engine is nil if
// the server runs no known model.
func (c *Chooser) engineAndModel(id identifier.Server) (*cataloger.Engine, cataloger.Model) {
	s, svc := c.serverByID[id], c.serviceOf(id)
	if svc == nil || svc.Engine == nil || len(s.LoadedModels) == 0 {
		return nil, cataloger.Model{}
	}
	m, known := svc.Engine.Model(s.LoadedModels[0])
	if !known {
		return nil, m
	}
	return svc.Engine, m
}

func (c *Chooser) predictedPassTime(e *cataloger.Engine, m cataloger.Model, st *serverState) time.Duration {
	return e.PassTime(m, min(st.ownRunning+st.othersRunning, e.Slots))
}

// RecordGap records the gap between two events of one answer.
func (c *Chooser) RecordGap(now time.Time, id identifier.Server, gap time.Duration) {
	e, m := c.engineAndModel(id)
	if e == nil {
		return
	}
	st := c.stateOf(id)
	pass := c.predictedPassTime(e, m, st)
	if pass <= 0 {
		return
	}
	if st.avgGapPasses == 0 {
		st.avgGapPasses = typicalGapPasses
	}
	st.avgGapPasses += gapAverageWeight * (min(float64(gap)/float64(pass), maxGapPasses) - st.avgGapPasses)
	if maxPass := e.MaxPassTime(m); maxPass > 0 && float64(gap) > float64(maxPass)*st.slowdown() {
		// The gap is longer than any pass of this server, so it must not raise the
		// stall threshold.
		return
	}
	if c.peakGapByModel == nil {
		c.peakGapByModel = map[string]*decayingPeak{}
	}
	if c.peakGapByModel[m.Name] == nil {
		c.peakGapByModel[m.Name] = &decayingPeak{}
	}
	c.peakGapByModel[m.Name].observe(now, gap)
}
