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
	stillPasses = 2
	stillSlack  = 40 * time.Millisecond
	// usualPasses is how many times the predicted pass the mean pause between two
	// events is on a server as fast as declared: it reads prompts meanwhile.
	usualPasses = 1.5
	// paceWeight is the weight of one pause in that mean, and mostPace bounds it.
	paceWeight = 0.1
	mostPace   = 10
	// longestFactor times the longest pause that was usual lately is the least
	// silence that counts: prompts of other fronts are read that this one has not
	// heard of. That pause counts half after longestHalf.
	longestFactor = 1.25
	longestHalf   = 10 * time.Second
)

// pauseMeter keeps the longest pause between two events at the groups of a model.
type pauseMeter struct {
	longest time.Duration
	at      time.Time
}

func (p *pauseMeter) now(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	return time.Duration(float64(p.longest) * math.Exp2(-now.Sub(p.at).Seconds()/longestHalf.Seconds()))
}

func (p *pauseMeter) note(now time.Time, pause time.Duration) {
	if pause >= p.now(now) {
		p.longest, p.at = pause, now
	}
}

// RecordResume tells that this process did not run until now, so that silence until now
// says nothing of servers.
func (c *Chooser) RecordResume(now time.Time) { c.awake = now }

// IsStalled reports whether a group seems to stand still: this front has running
// answers there, and none had an event for much longer than a pass should take.
func (c *Chooser) IsStalled(now time.Time, id identifier.Server) bool {
	w := c.work[id]
	if w == nil || w.writing <= 0 {
		return false
	}
	since := w.answered
	if c.awake.After(since) {
		since = c.awake
	}
	silence := now.Sub(since)
	if silence <= stillSlack {
		return false
	}
	bound, ok := c.stillBound(now, id, w)
	return ok && silence > bound
}

func (c *Chooser) stillBound(now time.Time, id identifier.Server, w *work) (time.Duration, bool) {
	e, m := c.modelAt(id)
	if e == nil {
		return 0, false
	}
	pass := float64(c.passAt(e, m, w)) * w.slowness()
	bound := time.Duration(stillPasses*pass) + e.PrefillTime(m, w.unread+w.othersUnread) + stillSlack
	longest := float64(c.pauses[m.Name].now(now)) * longestFactor
	return max(bound, time.Duration(longest)), true
}

// slowness is how many times longer than declared a server's passes take.
func (w *work) slowness() float64 { return max(w.pace/usualPasses, 1) }

// modelAt returns the engine and the model of a group's head, or nil.
func (c *Chooser) modelAt(id identifier.Server) (*cataloger.Engine, cataloger.Model) {
	s, svc := c.byID[id], c.serviceOf(id)
	if svc == nil || svc.Engine == nil || len(s.Models) == 0 {
		return nil, cataloger.Model{}
	}
	m, known := svc.Engine.Model(s.Models[0])
	if !known {
		return nil, m
	}
	return svc.Engine, m
}

func (c *Chooser) passAt(e *cataloger.Engine, m cataloger.Model, w *work) time.Duration {
	return e.PassTime(m, min(w.running+w.othersRunning, e.Slots))
}

// RecordGap notes the pause between two events of one answer.
func (c *Chooser) RecordGap(now time.Time, id identifier.Server, pause time.Duration) {
	e, m := c.modelAt(id)
	if e == nil {
		return
	}
	w := c.at(id)
	pass := c.passAt(e, m, w)
	if pass <= 0 {
		return
	}
	if w.pace == 0 {
		w.pace = usualPasses
	}
	w.pace += paceWeight * (min(float64(pause)/float64(pass), mostPace) - w.pace)
	if longest := e.MaxPassTime(m); longest > 0 && float64(pause) > float64(longest)*w.slowness() {
		// It is none of its passes.
		return
	}
	if c.pauses == nil {
		c.pauses = map[string]*pauseMeter{}
	}
	if c.pauses[m.Name] == nil {
		c.pauses[m.Name] = &pauseMeter{}
	}
	c.pauses[m.Name].note(now, pause)
}
