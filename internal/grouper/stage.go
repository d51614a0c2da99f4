package grouper

import (
	"fmt"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// idle reports whether no caller has asked for anything yet. Until then loads
// cost nobody anything.
func (g *Grouper) idle() bool { return len(g.view.Demand) == 0 && g.first }

// loadPenalty outweighs any difference in need: forming without a load takes a
// tenth of the time.
const loadPenalty = 1000

const (
	// idleCrowd is how many times the loads that run at full speed run at once
	// while there are no callers.
	idleCrowd = 3
	// spareValue is the worth of the first spare for a model, as a part of a
	// group.
	spareValue = 0.8
	// idleValue is the worth of more weights while loads cost nothing.
	idleValue = 0.01
)

// mayLoad reports whether n more loads may start now. Before there are callers
// the store's declared rate does not bind.
func (g *Grouper) mayLoad(e *cataloger.Engine, n int) bool {
	if e.FullSpeedLoads > 0 && float64(g.loading()) >= g.crowd()*float64(e.FullSpeedLoads) {
		return false
	}
	return g.idle() || g.loads.allow(g.now, n, e)
}

// crowd is how many times the loads that run at full speed may run at once. The
// store's whole speed stays the same, so more only make sense while nobody waits
// for the first ones.
func (g *Grouper) crowd() float64 {
	if g.idle() {
		return idleCrowd
	}
	return 1
}

// startLoad notes that a server loads weights from now on.
func (g *Grouper) startLoad(s *tracker.Server, m cataloger.Model) {
	vm := g.vms[s.ID]
	vm.staging = m.Name
	vm.stagingUntil = g.now.Add(g.loadTime(g.engine(s.Service), m) + formSlack)
	g.loads.note(g.now)
}

// loadTime is the longest time that a load should take while as many run as do.
func (g *Grouper) loadTime(e *cataloger.Engine, m cataloger.Model) time.Duration {
	crowd := float64(g.loading()+1) / float64(max(e.FullSpeedLoads, 1))
	return time.Duration(float64(m.LoadTime) * max(crowd, 1))
}

// loading counts the loads that run.
func (g *Grouper) loading() int {
	n := 0
	for _, m := range g.vms {
		if m.staging != "" {
			n++
		}
	}
	return n
}

// stageSpares loads weights onto free servers that have none, where that helps
// most, so that they can replace a lost member at once or complete a group.
func (g *Grouper) stageSpares(fs []*fabric) {
	for {
		var at *fabric
		var model cataloger.Model
		most := 0.0
		for _, f := range fs {
			if g.blank(f) == nil {
				continue
			}
			for _, m := range f.engine.Models {
				if v := g.stageValue(f, m); v > most {
					at, model, most = f, m, v
				}
			}
		}
		if at == nil || !g.mayLoad(at.engine, 1) {
			return
		}
		s := g.blank(at)
		if !g.send(s, Order{Action: ActionStage, Model: model.Name, Reason: "spare without weights"}) {
			g.vms[s.ID].held = g.now.Add(orderRetry)
			at.free = slices.DeleteFunc(at.free, func(o *tracker.Server) bool { return o == s })
			continue
		}
		g.startLoad(s, model)
	}
}

// warmSpares makes free servers that have weights on their host join a group of
// their own, which is never opened. A server that has been in a group of a model
// since its start joins the next one of that model much sooner.
func (g *Grouper) warmSpares(f *fabric) {
	for _, s := range f.free {
		if len(s.Staged) == 0 || g.vms[s.ID].staging != "" {
			continue
		}
		m, ok := f.engine.Model(s.Staged[len(s.Staged)-1])
		if !ok || slices.Contains(s.Models, m.Name) || !f.has(m.Name) {
			continue
		}
		g.formed++
		epoch := g.fence<<epochBits | g.formed
		id := identifier.Group(fmt.Sprintf("w%d", epoch))
		if g.send(s, Order{
			Action: ActionJoin, Group: id, Epoch: epoch, Model: m.Name, Members: []identifier.Server{s.ID},
			Reason: "spare is to be warm",
		}) {
			g.ended[id] = g.now
			g.vms[s.ID].held = g.now.Add(m.WarmStartTime)
		}
	}
}

// has reports whether the fabric domain has groups of a model.
func (f *fabric) has(model string) bool {
	return slices.ContainsFunc(f.groups, func(gr *group) bool { return gr.info.Model == model })
}

// blank returns a free server of a fabric domain that has no weights and loads
// none, or nil.
func (g *Grouper) blank(f *fabric) *tracker.Server {
	for _, s := range f.free {
		if len(s.Staged) == 0 && g.vms[s.ID].staging == "" {
			return s
		}
	}
	return nil
}

// stageValue is the worth of one more free server with the weights of a model in
// a fabric domain: its part of the next planned group, or the group that it will
// save.
func (g *Grouper) stageValue(f *fabric, m cataloger.Model) float64 {
	staged := 0
	for _, s := range f.unbound {
		if g.weightsOf(s) == m.Name {
			staged++
		}
	}
	value := 0.0
	if planned := f.planned[m.Name] * m.GroupSize; planned > staged {
		value = 1 / float64(min(planned-staged, m.GroupSize))
	} else if f.has(m.Name) && staged-planned < max(spares(m, f.count(m.Name)), 1) {
		value = spareValue
	} else if g.idle() {
		value = idleValue
	}
	return value * g.need(f.service, f.engine, m, 0)
}

// loadLimit bounds the loads that start.
type loadLimit struct {
	starts []time.Time
	// blind is when a holder began that does not know of earlier loads. Within a
	// window after it no more start than run at full speed.
	blind time.Time
}

func (l *loadLimit) note(now time.Time) { l.starts = append(l.starts, now) }

// allow reports whether n more loads may start.
func (l *loadLimit) allow(now time.Time, n int, e *cataloger.Engine) bool {
	l.starts = slices.DeleteFunc(l.starts, func(t time.Time) bool { return now.Sub(t) >= loadWindow })
	if now.Sub(l.blind) < loadWindow && len(l.starts)+n > max(e.FullSpeedLoads, 1) {
		return false
	}
	return e.MaxLoadsPerSecond <= 0 || float64(len(l.starts)+n) <= e.MaxLoadsPerSecond*loadWindow.Seconds()
}
