package chooser

import (
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
	// counts.
	stillPasses = 2
	stillSlack  = 40 * time.Millisecond
	// usualPasses is how many times the predicted pass the mean pause between two
	// events is on a server as fast as declared: it reads prompts meanwhile.
	usualPasses = 1.5
	// paceWeight is the weight of one pause in that mean.
	paceWeight = 0.1
)

// Woke tells that this process did not run until now, so that silence until now
// says nothing of servers.
func (c *Chooser) Woke(now time.Time) { c.awake = now }

// Stands reports whether a group seems to stand still: this front has running
// answers there, and none had an event for much longer than a pass should take.
func (c *Chooser) Stands(now time.Time, id identifier.Server) bool {
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
	bound, ok := c.stillBound(id, w)
	return ok && silence > bound
}

func (c *Chooser) stillBound(id identifier.Server, w *work) (time.Duration, bool) {
	e, m := c.modelAt(id)
	if e == nil {
		return 0, false
	}
	pass := c.passAt(e, m, w)
	slowness := max(w.pace/usualPasses, 1)
	unread := w.unread + w.othersUnread
	return time.Duration(stillPasses*slowness*float64(pass)) + e.ReadTime(m, unread) + stillSlack, true
}

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
	return passTime(e, m, min(w.running+w.othersRunning, e.Slots))
}

// Paused notes the pause between two events of one answer.
func (c *Chooser) Paused(id identifier.Server, pause time.Duration) {
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
	w.pace += paceWeight * (float64(pause)/float64(pass) - w.pace)
}
