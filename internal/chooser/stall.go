package chooser

import (
	"math"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

// A group of an engine that lost a member goes on accepting requests, but nothing
// moves until it says so itself seconds later. Every running answer gets an event
// with each pass of the engine, so a front whose answers at one group are all
// silent for much longer than a pass knows before anybody else.

const (
	// stillPasses times the predicted pass, the time to read all prompts that wait
	// there, and stillSlack for the network and this process, is a silence that
	// counts. Other values brought nothing (docs/MEASUREMENTS.md).
	stallPasses = 2
	stallMargin = 40 * time.Millisecond
	// usualPasses is how many times the predicted pass the mean pause between two
	// events is on a server as fast as declared: it reads prompts meanwhile.
	typicalGapPasses = 1.5
	// paceWeight is the weight of one pause in that mean, and mostPace bounds it.
	gapAverageWeight = 0.1
	maxGapPasses     = 10
	// longestFactor times the longest pause that was usual lately is the least
	// silence that counts: prompts of other fronts are read that this one has not
	// heard of. That pause counts half after longestHalf.
	peakGapFactor   = 1.25
	peakGapHalfLife = 10 * time.Second
)

// pauseMeter keeps the longest pause between two events at the groups of a model.
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

func (p *decayingPeak) observe(now time.Time, pause time.Duration) {
	if pause >= p.decayed(now) {
		p.peak, p.peakAt = pause, now
	}
}

// Woke tells that this process did not run until now, so that silence until now
// says nothing of servers.
func (c *Chooser) RecordResume(now time.Time) { c.resumedAt = now }

// Stands reports whether a group seems to stand still: this front has running
// answers there, and none had an event for much longer than a pass should take.
func (c *Chooser) IsStalled(now time.Time, id identifier.Server) bool {
	w := c.stateByID[id]
	if w == nil || w.ownGenerating <= 0 {
		return false
	}
	since := w.lastResponseAt
	if c.resumedAt.After(since) {
		since = c.resumedAt
	}
	silence := now.Sub(since)
	if silence <= stallMargin {
		return false
	}
	bound, ok := c.stallThreshold(now, id, w)
	return ok && silence > bound
}

func (c *Chooser) stallThreshold(now time.Time, id identifier.Server, w *serverState) (time.Duration, bool) {
	e, m := c.engineAndModel(id)
	if e == nil {
		return 0, false
	}
	pass := float64(c.predictedPassTime(e, m, w)) * w.slowdown()
	bound := time.Duration(stallPasses*pass) + e.ReadTime(m, w.ownPendingTokens+w.othersPendingTokens) + stallMargin
	longest := float64(c.peakGapByModel[m.Name].decayed(now)) * peakGapFactor
	return max(bound, time.Duration(longest)), true
}

// slowness is how many times longer than declared a server's passes take.
func (w *serverState) slowdown() float64 { return max(w.avgGapPasses/typicalGapPasses, 1) }

// modelAt returns the engine and the model of a group's head, or nil.
func (c *Chooser) engineAndModel(id identifier.Server) (*cataloger.Engine, cataloger.Model) {
	s, svc := c.serverByID[id], c.serviceOf(id)
	if svc == nil || svc.Engine == nil || len(s.Models) == 0 {
		return nil, cataloger.Model{}
	}
	m, known := svc.Engine.Model(s.Models[0])
	if !known {
		return nil, m
	}
	return svc.Engine, m
}

func (c *Chooser) predictedPassTime(e *cataloger.Engine, m cataloger.Model, w *serverState) time.Duration {
	return e.PassTime(m, min(w.ownRunning+w.othersRunning, e.Slots))
}

// Paused notes the pause between two events of one answer.
func (c *Chooser) RecordGap(now time.Time, id identifier.Server, pause time.Duration) {
	e, m := c.engineAndModel(id)
	if e == nil {
		return
	}
	w := c.stateOf(id)
	pass := c.predictedPassTime(e, m, w)
	if pass <= 0 {
		return
	}
	if w.avgGapPasses == 0 {
		w.avgGapPasses = typicalGapPasses
	}
	w.avgGapPasses += gapAverageWeight * (min(float64(pause)/float64(pass), maxGapPasses) - w.avgGapPasses)
	if longest := e.LongestPass(m); longest > 0 && float64(pause) > float64(longest)*w.slowdown() {
		// It is none of its passes.
		return
	}
	if c.peakGapByModel == nil {
		c.peakGapByModel = map[string]*decayingPeak{}
	}
	if c.peakGapByModel[m.Name] == nil {
		c.peakGapByModel[m.Name] = &decayingPeak{}
	}
	c.peakGapByModel[m.Name].observe(now, pause)
}
