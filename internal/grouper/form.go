package grouper

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// fabric is one fabric domain's share of one service.
type fabric struct {
	domain  identifier.FabricDomain
	service identifier.Service
	engine  *cataloger.Engine
	// servers are all that live, free those that a new group may take.
	servers []*tracker.Server
	free    []*tracker.Server
	groups  []*group
}

// fabrics sorts the servers that live into their fabric domains.
func (g *Grouper) fabrics() []*fabric {
	type key struct {
		domain  identifier.FabricDomain
		service identifier.Service
	}
	taken := map[identifier.Server]bool{}
	byKey := map[key]*fabric{}
	var all []*fabric
	at := func(k key) *fabric {
		f := byKey[k]
		if f == nil {
			f = &fabric{domain: k.domain, service: k.service, engine: g.engine(k.service)}
			byKey[k] = f
			all = append(all, f)
		}
		return f
	}
	for _, gr := range g.sorted() {
		for _, id := range gr.info.Members {
			if !gr.left[id] {
				taken[id] = true
			}
		}
		f := at(key{gr.info.Fabric, gr.service})
		f.groups = append(f.groups, gr)
	}
	for _, s := range g.view.Registry.All() {
		if g.engine(s.Service) == nil || !g.lives(s) {
			continue
		}
		f := at(key{s.Fabric, s.Service})
		f.servers = append(f.servers, s)
		if !taken[s.ID] && g.isFree(s) {
			f.free = append(f.free, s)
		}
	}
	all = slices.DeleteFunc(all, func(f *fabric) bool { return f.engine == nil })
	slices.SortFunc(all, func(a, b *fabric) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.domain, b.domain))
	})
	return all
}

func (g *Grouper) lives(s *tracker.Server) bool {
	return s.Usable() && !s.Silent && !g.view.Evacuated[s.Domain] &&
		!g.seemsDead(s) && !g.vms[s.ID].absentAt.After(s.HeardAt)
}

// isFree reports whether a server that is planned for no group may join one.
func (g *Grouper) isFree(s *tracker.Server) bool {
	m := g.vms[s.ID]
	if m.pending != nil || g.now.Before(m.held) {
		return false
	}
	ms := s.Membership
	if ms.Group != "" && g.ended[ms.Group].IsZero() {
		// Its group was not taken over yet.
		return false
	}
	return ms.Rank != 0 || ms.State != tracker.Open && ms.State != tracker.Closing
}

// form starts the groups that a fabric domain has room for.
func (g *Grouper) form(f *fabric) {
	for {
		m, members, loads := g.best(f)
		if members == nil {
			return
		}
		if loads > 0 && !g.mayLoad(f.engine, loads) {
			return
		}
		g.formGroup(f, m, members, loads)
	}
}

// idle reports whether no caller has asked for anything yet. Until then loads
// cost nobody anything.
func (g *Grouper) idle() bool { return len(g.view.Demand) == 0 && g.first }

// mayLoad reports whether n more loads may start now. Before there are callers
// the store's declared rate does not bind.
func (g *Grouper) mayLoad(e *cataloger.Engine, n int) bool {
	if e.LoadsAtOnce > 0 && float64(g.loading()) >= g.crowd()*float64(e.LoadsAtOnce) {
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

// best chooses the model that is shortest of groups among those that the free
// servers can form, and the servers for it. Members that would have to load
// weights are taken only while there are no callers: later they would bind the
// others, which are of more use as spares.
func (g *Grouper) best(f *fabric) (cataloger.Model, []*tracker.Server, int) {
	var model cataloger.Model
	var members []*tracker.Server
	loads, need := 0, math.Inf(-1)
	for _, m := range f.engine.Models {
		ms, l := g.pick(f, m)
		if ms == nil || l > 0 && !(g.idle() && g.mayLoadFor(m, ms)) {
			continue
		}
		n := g.need(f.service, f.engine, m) * f.affinity(m.Name)
		if l > 0 {
			// Weights that are at hand serve at once.
			n -= loadPenalty
		}
		if n > need {
			model, members, loads, need = m, ms, l, n
		}
	}
	return model, members, loads
}

const (
	// idleCrowd is how many times the loads that run at full speed run at once
	// while there are no callers.
	idleCrowd = 3
	// affinityWeight is how many times more a fabric domain takes to a model that
	// all its servers have.
	affinityWeight = 4
	// spareValue is the worth of the first spare for a model, as a part of a
	// group.
	spareValue = 0.8
)

// loadPenalty outweighs any difference in need: forming without a load takes a
// tenth of the time.
const loadPenalty = 1000

// pick returns the free servers that would form a group soonest, and how many of
// them have to load the weights. It returns nil when there are too few.
func (g *Grouper) pick(f *fabric, m cataloger.Model) ([]*tracker.Server, int) {
	if m.Size < 1 || len(f.free) < m.Size {
		return nil, 0
	}
	free := slices.Clone(f.free)
	slices.SortStableFunc(free, func(a, b *tracker.Server) int {
		return cmp.Or(cmp.Compare(g.effort(a, m.Name), g.effort(b, m.Name)), cmp.Compare(a.ID, b.ID))
	})
	free = free[:m.Size]
	loads := 0
	for _, s := range free {
		if g.effort(s, m.Name) >= effortStaging {
			loads++
		}
	}
	return free, loads
}

// Efforts of joining a group of a model.
const (
	effortLast = iota
	effortStaged
	effortStaging
	effortLoad
	effortReplace
)

// effort orders servers by how soon they would be ready.
func (g *Grouper) effort(s *tracker.Server, model string) int {
	staging := g.vms[s.ID].staging
	switch {
	case staging == model:
		return effortStaging
	case staging != "":
		return effortReplace
	case slices.Contains(s.Models, model) && s.IsStaged(model):
		return effortLast
	case s.IsStaged(model):
		return effortStaged
	case len(s.Staged) == 0:
		return effortLoad
	}
	return effortReplace
}

// mayLoadFor reports whether a group that needs loads may be formed from these
// servers: those that have other weights or are loading them are left alone.
func (g *Grouper) mayLoadFor(m cataloger.Model, members []*tracker.Server) bool {
	return !slices.ContainsFunc(members, func(s *tracker.Server) bool { return g.effort(s, m.Name) == effortReplace })
}

// Census counts the servers of one model and the groups that they form.
type Census struct {
	Model   string
	Serving int
	Forming int
	Ending  int
	// Spare servers are free and have the weights, Loading ones are about to.
	Spare   int
	Loading int
}

// Survey counts groups and servers by model. Blank servers are free and have no
// weights; the others that live can not be used now.
func (g *Grouper) Survey() (models []Census, blank, unusable int) {
	at := map[string]*Census{}
	count := func(model string) *Census {
		c := at[model]
		if c == nil {
			c = &Census{Model: model}
			at[model] = c
		}
		return c
	}
	for _, gr := range g.groups {
		c := count(gr.info.Model)
		switch gr.info.Phase {
		case Serving:
			c.Serving++
		case Forming, Opening:
			c.Forming++
		default:
			c.Ending++
		}
	}
	for _, f := range g.fabrics() {
		unusable += len(f.servers) - len(f.free)
		for _, gr := range f.groups {
			unusable -= gr.present(f)
		}
		for _, s := range f.free {
			switch {
			case g.vms[s.ID].staging != "":
				count(g.vms[s.ID].staging).Loading++
			case len(s.Staged) > 0:
				count(s.Staged[len(s.Staged)-1]).Spare++
			default:
				blank++
			}
		}
	}
	for _, c := range at {
		models = append(models, *c)
	}
	slices.SortFunc(models, func(a, b Census) int { return cmp.Compare(a.Model, b.Model) })
	return models, blank, unusable
}

// present counts the members of a group that live.
func (gr *group) present(f *fabric) int {
	n := 0
	for _, s := range f.servers {
		if slices.Contains(gr.info.Members, s.ID) && !gr.left[s.ID] {
			n++
		}
	}
	return n
}

// need is the engine time that is asked for per group of a model.
func (g *Grouper) need(service identifier.Service, e *cataloger.Engine, m cataloger.Model) float64 {
	groups := 0
	for _, gr := range g.groups {
		if gr.service == service && gr.info.Model == m.Name && gr.counts() {
			groups++
		}
	}
	return g.demand(e, m) / float64(groups+1)
}

// counts reports whether a group serves or will.
func (gr *group) counts() bool {
	return gr.info.Phase == Forming || gr.info.Phase == Opening || gr.info.Phase == Serving
}

// demand is the engine time asked for by model, or its declared share while
// nothing was measured.
func (g *Grouper) demand(e *cataloger.Engine, m cataloger.Model) float64 {
	measured := 0.0
	for _, o := range e.Models {
		measured += g.view.Demand[o.Name]
	}
	if measured < 1 {
		return m.Share
	}
	return max(g.view.Demand[m.Name], m.Share/10)
}

func (g *Grouper) formGroup(f *fabric, m cataloger.Model, members []*tracker.Server, loads int) {
	g.formed++
	epoch := g.fence<<epochBits | g.formed
	gr := &group{
		info: Info{
			ID: identifier.Group(fmt.Sprintf("g%d", epoch)), Epoch: epoch, Model: m.Name, Fabric: f.domain,
			Phase: Forming, Reason: fmt.Sprintf("%d of %d members load", loads, m.Size),
		},
		service: f.service, model: m, since: g.now,
	}
	for _, s := range members {
		gr.info.Members = append(gr.info.Members, s.ID)
		gr.born = append(gr.born, s.Born)
		if g.effort(s, m.Name) >= effortLoad {
			g.startLoad(s, m)
		}
	}
	gr.deadline = g.now.Add(m.Warm + formSlack)
	if g.anyStaging(members) {
		gr.deadline = g.now.Add(g.loadTime(f.engine, m) + m.Warm + formSlack)
	}
	f.free = slices.DeleteFunc(f.free, func(s *tracker.Server) bool { return slices.Contains(gr.info.Members, s.ID) })
	f.groups = append(f.groups, gr)
	g.groups[gr.info.ID] = gr
	g.note("group is to be formed", gr)
	g.stepForming(gr)
}

func (g *Grouper) anyStaging(members []*tracker.Server) bool {
	return slices.ContainsFunc(members, func(s *tracker.Server) bool { return g.vms[s.ID].staging != "" })
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
	crowd := float64(g.loading()+1) / float64(max(e.LoadsAtOnce, 1))
	return time.Duration(float64(m.Load) * max(crowd, 1))
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
		if !g.send(s, Order{Action: Stage, Model: model.Name, Reason: "spare without weights"}) {
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
			Action: Join, Group: id, Epoch: epoch, Model: m.Name, Members: []identifier.Server{s.ID},
			Reason: "spare is to be warm",
		}) {
			g.ended[id] = g.now
			g.vms[s.ID].held = g.now.Add(m.Warm)
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
// a fabric domain: its part of the next group, or the group that it will save.
func (g *Grouper) stageValue(f *fabric, m cataloger.Model) float64 {
	staged, blank := 0, 0
	for _, s := range f.free {
		switch {
		case s.IsStaged(m.Name) || g.vms[s.ID].staging == m.Name:
			staged++
		case len(s.Staged) == 0 && g.vms[s.ID].staging == "":
			blank++
		}
	}
	value := 0.0
	if missing := m.Size - staged%m.Size; missing <= blank {
		value = 1 / float64(missing)
	}
	if staged == 0 {
		groups := 0
		for _, gr := range f.groups {
			if gr.info.Model == m.Name {
				groups++
			}
		}
		value = max(value, spareValue*min(float64(groups), 1))
	}
	return value * g.need(f.service, f.engine, m) * f.affinity(m.Name)
}

// affinity is higher for a model that more of the fabric domain's servers have.
// Servers with the same weights can replace each other and leave fewer over, so
// each fabric domain keeps to few models.
func (f *fabric) affinity(model string) float64 {
	n := 0
	for _, s := range f.servers {
		if s.IsStaged(model) || slices.ContainsFunc(f.groups, func(gr *group) bool {
			return gr.info.Model == model && slices.Contains(gr.info.Members, s.ID)
		}) {
			n++
		}
	}
	return 1 + affinityWeight*float64(n)/float64(max(len(f.servers), 1))
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
	if now.Sub(l.blind) < loadWindow && len(l.starts)+n > max(e.LoadsAtOnce, 1) {
		return false
	}
	return e.LoadsPerSecond <= 0 || float64(len(l.starts)+n) <= e.LoadsPerSecond*loadWindow.Seconds()
}
