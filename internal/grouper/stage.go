package grouper

import (
	"fmt"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// beforeFirstRequest reports whether this is the first start and no caller has
// sent a request yet. Until then loads delay no request.
func (g *Grouper) beforeFirstRequest() bool { return len(g.view.Demand) == 0 && g.firstStart }

// loadPenalty outweighs any difference in demand: forming a group without a load
// takes a tenth of the time.
const loadPenalty = 1000

const (
	// idleLoadFactor multiplies the number of concurrent loads that run at full
	// speed, to give the limit of concurrent loads before the first request.
	idleLoadFactor = 3
	// spareStageValue is the value of the first spares of a model, as a fraction of
	// a group.
	spareStageValue = 0.8
	// idleStageValue is the value of further staged weights before the first
	// request, as a fraction of a group.
	idleStageValue = 0.01
)

// mayStartLoads reports whether n more loads may start now. Before the first
// request the declared rate of the weight store does not apply.
func (g *Grouper) mayStartLoads(e *cataloger.Engine, n int) bool {
	if e.FullSpeedLoads > 0 && float64(g.countLoads()) >= g.loadFactor()*float64(e.FullSpeedLoads) {
		return false
	}
	return g.beforeFirstRequest() || g.loads.allow(g.now, n, e)
}

// loadFactor multiplies the number of concurrent loads that run at full speed, to
// give the limit of concurrent loads. The total speed of the weight store stays the
// same, so more loads only make sense while no request waits for the first ones.
func (g *Grouper) loadFactor() float64 {
	if g.beforeFirstRequest() {
		return idleLoadFactor
	}
	return 1
}

// recordLoadStart records that a server starts to load the weights of a model.
func (g *Grouper) recordLoadStart(s *tracker.Server, m cataloger.Model) {
	r := g.records[s.ID]
	r.loadingModel = m.Name
	r.loadDeadline = g.now.Add(g.maxLoadTime(g.engine(s.Service), m) + formationSlack)
	g.loads.record(g.now)
}

// maxLoadTime returns the longest time that one more load should take, given the
// number of loads that run.
func (g *Grouper) maxLoadTime(e *cataloger.Engine, m cataloger.Model) time.Duration {
	slowdown := float64(g.countLoads()+1) / float64(max(e.FullSpeedLoads, 1))
	return time.Duration(float64(m.LoadTime) * max(slowdown, 1))
}

// countLoads counts the loads that run.
func (g *Grouper) countLoads() int {
	n := 0
	for _, r := range g.records {
		if r.loadingModel != "" {
			n++
		}
	}
	return n
}

// stageSpares orders free servers without weights to load some, where that has the
// highest value, so that they can replace a lost member at once or complete a
// group.
func (g *Grouper) stageSpares(fs []*fabricPool) {
	for {
		var pool *fabricPool
		var model cataloger.Model
		highest := 0.0
		for _, f := range fs {
			if g.blankServer(f) == nil {
				continue
			}
			for _, m := range f.engine.Models {
				if v := g.stageValue(f, m); v > highest {
					pool, model, highest = f, m, v
				}
			}
		}
		if pool == nil || !g.mayStartLoads(pool.engine, 1) {
			return
		}
		s := g.blankServer(pool)
		if !g.sendOrder(s, Order{Action: ActionStage, Model: model.Name, Reason: "spare without weights"}) {
			g.records[s.ID].excludedUntil = g.now.Add(orderRetryDelay)
			pool.free = slices.DeleteFunc(pool.free, func(o *tracker.Server) bool { return o == s })
			continue
		}
		g.recordLoadStart(s, model)
	}
}

// warmSpares makes each free server that has weights on its host join a group of
// its own, which is never opened. A server that has been in a group of a model
// since its start joins the next group of that model much sooner.
func (g *Grouper) warmSpares(f *fabricPool) {
	for _, s := range f.free {
		if len(s.StagedModels) == 0 || g.records[s.ID].loadingModel != "" {
			continue
		}
		m, ok := f.engine.Model(s.StagedModels[len(s.StagedModels)-1])
		if !ok || slices.Contains(s.LoadedModels, m.Name) || !f.hasGroup(m.Name) {
			continue
		}
		g.epochsUsed++
		epoch := g.fencingToken<<epochCounterBits | g.epochsUsed
		id := identifier.Group(fmt.Sprintf("w%d", epoch))
		if g.sendOrder(s, Order{
			Action: ActionJoin, Group: id, Epoch: epoch, Model: m.Name, Members: []identifier.Server{s.ID},
			Reason: "warm up the spare",
		}) {
			g.ended[id] = g.now
			g.records[s.ID].excludedUntil = g.now.Add(m.WarmStartTime)
		}
	}
}

// hasGroup reports whether the fabric domain has a group of a model.
func (f *fabricPool) hasGroup(model string) bool {
	return slices.ContainsFunc(f.groups, func(gr *group) bool { return gr.info.Model == model })
}

// blankServer returns a free server of a fabric domain that neither has nor loads
// weights, or nil.
func (g *Grouper) blankServer(f *fabricPool) *tracker.Server {
	for _, s := range f.free {
		if len(s.StagedModels) == 0 && g.records[s.ID].loadingModel == "" {
			return s
		}
	}
	return nil
}

// stageValue returns the value of one more ungrouped server with the weights of a
// model in a fabric domain: its part of the next planned group, or the group that
// it will save as a spare.
func (g *Grouper) stageValue(f *fabricPool, m cataloger.Model) float64 {
	staged := 0
	for _, s := range f.ungrouped {
		if g.weightsOf(s) == m.Name {
			staged++
		}
	}
	value := 0.0
	if planned := f.planned[m.Name] * m.GroupSize; planned > staged {
		value = 1 / float64(min(planned-staged, m.GroupSize))
	} else if f.hasGroup(m.Name) && staged-planned < max(spareTarget(m, f.countGroups(m.Name)), 1) {
		value = spareStageValue
	} else if g.beforeFirstRequest() {
		value = idleStageValue
	}
	return value * g.demandPerGroup(f.service, f.engine, m, 0)
}

// loadLimiter limits the rate at which loads start. It keeps the starts of the last
// loadRateWindow.
type loadLimiter struct {
	starts []time.Time
	// historyStart is when this holder of the placement authority began, if it does
	// not know of earlier loads. Within loadRateWindow after it, no more loads start
	// than run at full speed.
	historyStart time.Time
}

func (l *loadLimiter) record(now time.Time) { l.starts = append(l.starts, now) }

// allow reports whether n more loads may start now.
func (l *loadLimiter) allow(now time.Time, n int, e *cataloger.Engine) bool {
	l.starts = slices.DeleteFunc(l.starts, func(t time.Time) bool { return now.Sub(t) >= loadRateWindow })
	if now.Sub(l.historyStart) < loadRateWindow && len(l.starts)+n > max(e.FullSpeedLoads, 1) {
		return false
	}
	return e.MaxLoadsPerSecond <= 0 || float64(len(l.starts)+n) <= e.MaxLoadsPerSecond*loadRateWindow.Seconds()
}
