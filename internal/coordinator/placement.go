package coordinator

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/grouper"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// placement is the state of the leader's placement of replica groups.
type placement struct {
	grouper grouper.Grouper
	// term is the log term in which this process last held the placement
	// authority, 0 if it never did. held is set while it holds the authority.
	term          replicator.Term
	held          bool
	demandSamples []demandSample
	// lastDemand is the demand that measureDemand computed last, for logSurvey.
	lastDemand map[string]float64
	// lastSurveyAt is when the counts of groups and servers were last logged.
	lastSurveyAt time.Time
}

// demandSample is the total demand of all callers up to one point in time, as
// engine milliseconds by model.
type demandSample struct {
	takenAt  time.Time
	engineMS map[string]uint64
}

// Intervals and timeouts of placement.
const (
	// orderTimeout is how long the process waits for the response to an order.
	orderTimeout = 300 * time.Millisecond
	// demandSampleInterval is the time between two demand samples, demandWindow
	// the time over which the rate of demand is measured.
	demandSampleInterval = time.Second
	demandWindow         = 5 * time.Second
	// surveyInterval is the time between two log lines that count the groups.
	surveyInterval = time.Second
	// firstStartWindow is how long after its start a process of a system that
	// starts for the first time may assume that no replica group exists.
	firstStartWindow = 5 * time.Second
)

// runPlacement runs one step of the Grouper while this process holds placement
// authority, and sends the orders that the step returns.
func (c *Coordinator) runPlacement(ctx context.Context, now time.Time) {
	term, ok := c.authorityTerm()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.placement
	if !ok {
		if p.held {
			_ = level.Info(c.Logger).Log("msg", "placement authority is lost", "term", p.term)
		}
		p.held = false
		return
	}
	if c.catalog == nil {
		return
	}
	if p.term != term {
		firstStart := c.Settings.FirstStart && term <= maxFirstStartTerm && now.Sub(c.startedAt) < firstStartWindow
		p.grouper.BeginTerm(now, uint64(term), firstStart, c.startedAt)
		p.term, p.held = term, true
		p.demandSamples = nil
		_ = level.Info(c.Logger).Log("msg", "placement authority is held", "term", term, "first_start", firstStart)
	}
	if !p.held {
		// No other process can have held the authority since, because it would have
		// been in a later term. So what the Grouper knows of its groups still holds.
		p.held = true
		_ = level.Info(c.Logger).Log("msg", "placement authority is held again", "term", term)
	}
	orders, decisions := p.grouper.Step(now, c.grouperView(now))
	for _, d := range decisions {
		_ = level.Info(c.Logger).Log("msg", d.Message, "group", d.Group.ID, "model", d.Group.Model, "fabric", d.Group.Fabric,
			"members", joinIDs(d.Group.Members), "phase", d.Group.Phase, "reason", d.Group.Reason)
	}
	if now.Sub(p.lastSurveyAt) >= surveyInterval {
		p.lastSurveyAt = now
		c.logSurvey()
	}
	for _, o := range orders {
		go c.sendOrder(ctx, term, o)
	}
}

// logSurvey logs the counts of groups and servers by model. The caller must hold
// mu.
func (c *Coordinator) logSurvey() {
	models, blank, unusable := c.placement.grouper.Survey()
	for _, m := range models {
		_ = level.Info(c.Logger).Log("msg", "survey", "model", m.Model, "size", m.GroupSize, "serving", m.Serving, "forming", m.Forming,
			"ending", m.Ending, "spare", m.Spare, "loading", m.Loading, "blank", blank, "unusable", unusable,
			"demand_ms", int(1000*c.placement.lastDemand[m.Model]))
	}
}

// grouperView collects the input of a step of the Grouper. The caller must hold
// mu.
func (c *Coordinator) grouperView(now time.Time) grouper.View {
	state, _ := c.keeper.State()
	v := grouper.View{
		Registry: &c.registry, Catalog: c.catalog, Evacuated: map[identifier.FailureDomain]bool{},
		Suspicions: map[identifier.Server]grouper.Suspicion{}, Demand: c.measureDemand(now), ReportLag: c.reportLag(),
	}
	for _, d := range state.Evacuated {
		v.Evacuated[d] = true
	}
	for id, s := range c.allSuspicions(now) {
		v.Suspicions[id] = grouper.Suspicion{
			SinceLastResponse: time.Duration(s.GetAnsweredAgoMs()) * time.Millisecond,
			ConnectFailures:   int(s.GetUnreachable()), StalledRequests: int(s.GetStalled()),
		}
	}
	return v
}

// reportLag returns for how long a response that a front has received may be missing
// from allSuspicions: a front reports with each pull, and a core process passes the
// reports on with each hello. The caller must hold mu.
func (c *Coordinator) reportLag() time.Duration {
	longest := time.Duration(0)
	for _, f := range c.fronts {
		longest = max(longest, f.pullWait)
	}
	return longest + helloInterval + loopInterval
}

// measureDemand takes a demand sample if one is due, and returns the engine time
// requested per second over the demandWindow, in seconds by model. The caller must
// hold mu.
func (c *Coordinator) measureDemand(now time.Time) map[string]float64 {
	p := &c.placement
	if len(p.demandSamples) == 0 || now.Sub(p.demandSamples[len(p.demandSamples)-1].takenAt) >= demandSampleInterval {
		sum := demandTotals{}
		sum.add(c.localDemand.encode())
		for _, peer := range c.peers {
			sum.add(peer.lastHello.GetDemands())
		}
		s := demandSample{takenAt: now, engineMS: map[string]uint64{}}
		for _, d := range sum {
			s.engineMS[d.GetModel()] += d.GetEngineMs()
		}
		p.demandSamples = append(p.demandSamples, s)
		for len(p.demandSamples) > 2 && now.Sub(p.demandSamples[1].takenAt) >= demandWindow {
			p.demandSamples = p.demandSamples[1:]
		}
	}
	first, last := p.demandSamples[0], p.demandSamples[len(p.demandSamples)-1]
	span := last.takenAt.Sub(first.takenAt).Seconds()
	if span <= 0 {
		return nil
	}
	out := map[string]float64{}
	for model, ms := range last.engineMS {
		// The total may have decreased, because a core process that restarts counts
		// from 0 again.
		if ms > first.engineMS[model] {
			out[model] = float64(ms-first.engineMS[model]) / 1000 / span
		}
	}
	p.lastDemand = out
	return out
}

// sendOrder sends one order and passes the reply to the Grouper, unless this
// process has held the authority of a later term since. If the authority has run out
// since the order was decided on, because the process was paused for example, the order is
// not sent.
func (c *Coordinator) sendOrder(ctx context.Context, term replicator.Term, o grouper.Order) {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sentAt := time.Now()
	var reply grouper.Reply
	if current, ok := c.authorityTerm(); ok && current == term {
		reply = c.OrderSender.SendOrder(orderCtx, o)
	} else {
		_ = level.Info(c.Logger).Log("msg", "order is not sent, because the placement authority has run out", "server", o.Server, "term", term)
	}
	c.orderCounters[reply.Outcome].Inc(1)
	c.orderDuration.Update(time.Since(sentAt).Milliseconds())
	_ = level.Info(c.Logger).Log("msg", "order", "action", o.Action, "server", o.Server, "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "cut", o.CutRequests, "outcome", reply.Outcome, "slowdown", reply.Slowdown, "took", time.Since(sentAt), "reason", o.Reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.allocator.Charge(o.Server)
	if c.placement.term == term {
		c.placement.grouper.HandleReply(time.Now(), o, reply)
	}
}

func joinIDs[ID ~string](ids []ID) string {
	out := ""
	for i, id := range ids {
		if i > 0 {
			out += ","
		}
		out += string(id)
	}
	return out
}
