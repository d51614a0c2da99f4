package coordinator

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/grouper"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// placement is the leader's part: the groups and the orders under way.
type placement struct {
	grouper grouper.Grouper
	// term is the term of the Grouper's present authority, 0 for none.
	term    replicator.Term
	samples []demandSample
	// lastDemand is the demand that the last step went by.
	lastDemand map[string]float64
	// surveyed is when the groups were last counted for the log.
	surveyed time.Time
}

// demandSample is the sum of what all callers had asked for at one time.
type demandSample struct {
	at     time.Time
	engine map[string]uint64
}

// Bounds of placement.
const (
	// orderBound is how long an order may stay unanswered.
	orderBound = 300 * time.Millisecond
	// demandPace and demandSpan say how often and over how long demand is
	// measured.
	demandPace = time.Second
	demandSpan = 5 * time.Second
	// surveyPace is the time between two counts of the groups in the log.
	surveyPace = time.Second
	// startSpan is how long after its start a process of a first start may
	// assume that no group exists.
	startSpan = 5 * time.Second
)

// place lets the Grouper decide when this process has authority, and sends its
// orders.
func (c *Coordinator) place(ctx context.Context, now time.Time) {
	term, ok := c.authority()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.placement
	if !ok {
		if p.term != 0 {
			_ = level.Info(c.Logger).Log("msg", "placement authority is lost", "term", p.term)
		}
		p.term = 0
		return
	}
	if c.catalog == nil {
		return
	}
	if p.term != term {
		first := c.Settings.FirstStart && term <= maxFirstTerm && now.Sub(c.started) < startSpan
		p.grouper.BeginTerm(now, uint64(term), first, c.started)
		p.term = term
		p.samples = nil
		_ = level.Info(c.Logger).Log("msg", "placement authority is held", "term", term, "first_start", first)
	}
	orders, notes := p.grouper.Step(now, c.placementView(now))
	for _, n := range notes {
		_ = level.Info(c.Logger).Log("msg", n.Message, "group", n.Group.ID, "model", n.Group.Model, "fabric", n.Group.Fabric,
			"members", joinServers(n.Group.Members), "phase", n.Group.Phase, "reason", n.Group.Reason)
	}
	if now.Sub(p.surveyed) >= surveyPace {
		p.surveyed = now
		c.logSurvey()
	}
	for _, o := range orders {
		go c.carry(ctx, term, o)
	}
}

// logSurvey writes a count of groups and servers. The caller holds mu.
func (c *Coordinator) logSurvey() {
	models, blank, unusable := c.placement.grouper.Survey()
	for _, m := range models {
		_ = level.Info(c.Logger).Log("msg", "survey", "model", m.Model, "serving", m.Serving, "forming", m.Forming,
			"ending", m.Ending, "spare", m.Spare, "loading", m.Loading, "blank", blank, "unusable", unusable,
			"demand_ms", int(1000*c.placement.lastDemand[m.Model]))
	}
}

// placementView collects what the Grouper goes by. The caller holds mu.
func (c *Coordinator) placementView(now time.Time) grouper.View {
	state, _ := c.keeper.State()
	v := grouper.View{
		Registry: &c.registry, Catalog: c.catalog, Evacuated: map[identifier.FailureDomain]bool{},
		Suspicions: map[identifier.Server]grouper.Suspicion{}, Demand: c.demand(now), ReportLag: c.reportLag(),
	}
	for _, d := range state.Evacuated {
		v.Evacuated[d] = true
	}
	for id, d := range c.allDoubts(now) {
		v.Suspicions[id] = grouper.Suspicion{
			SinceLastAnswer: time.Duration(d.GetAnsweredAgoMs()) * time.Millisecond,
			FailedConnects:  int(d.GetUnreachable()), StalledRequests: int(d.GetStalled()),
		}
	}
	return v
}

// reportLag is by how much an answer that a front has had may be missing in the
// sum of all reports: fronts report with each pull, core processes with each
// hello. The caller holds mu.
func (c *Coordinator) reportLag() time.Duration {
	longest := time.Duration(0)
	for _, f := range c.fronts {
		longest = max(longest, f.wait)
	}
	return longest + helloPace + step
}

// demand returns the engine time asked for in each second by model, in seconds,
// over the last span. The caller holds mu.
func (c *Coordinator) demand(now time.Time) map[string]float64 {
	p := &c.placement
	if len(p.samples) == 0 || now.Sub(p.samples[len(p.samples)-1].at) >= demandPace {
		sum := demandBook{}
		sum.add(c.served.encode())
		for _, peer := range c.peers {
			sum.add(peer.hello.GetDemands())
		}
		s := demandSample{at: now, engine: map[string]uint64{}}
		for _, d := range sum {
			s.engine[d.GetModel()] += d.GetEngineMs()
		}
		p.samples = append(p.samples, s)
		for len(p.samples) > 2 && now.Sub(p.samples[1].at) >= demandSpan {
			p.samples = p.samples[1:]
		}
	}
	first, last := p.samples[0], p.samples[len(p.samples)-1]
	span := last.at.Sub(first.at).Seconds()
	if span <= 0 {
		return nil
	}
	out := map[string]float64{}
	for model, ms := range last.engine {
		// A core process that restarted counts from 0 again.
		if ms > first.engine[model] {
			out[model] = float64(ms-first.engine[model]) / 1000 / span
		}
	}
	p.lastDemand = out
	return out
}

// carry sends one order and gives its end to the Grouper, if that is still the
// one that decided it.
func (c *Coordinator) carry(ctx context.Context, term replicator.Term, o grouper.Order) {
	bounded, cancel := context.WithTimeout(ctx, orderBound)
	defer cancel()
	begun := time.Now()
	outcome := c.OrderSender.SendOrder(bounded, o)
	c.orders[outcome].Inc(1)
	c.orderTime.Update(time.Since(begun).Milliseconds())
	_ = level.Info(c.Logger).Log("msg", "order", "action", o.Action, "server", o.Server, "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "cut", o.CutRequests, "outcome", outcome, "took", time.Since(begun), "reason", o.Reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.placement.term == term {
		c.placement.grouper.HandleOutcome(time.Now(), o, outcome)
	}
}

func joinServers(ids []identifier.Server) string {
	out := ""
	for i, id := range ids {
		if i > 0 {
			out += ","
		}
		out += string(id)
	}
	return out
}
