package grouper

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// fabric is one fabric domain's share of one service.
type fabric struct {
	domain  identifier.FabricDomain
	service identifier.Service
	engine  *cataloger.Engine
	// servers are all that live, unbound those of no group, free those that a
	// new group may take now.
	servers []*tracker.Server
	unbound []*tracker.Server
	free    []*tracker.Server
	groups  []*group
	// planned is the number of groups still to be formed by model.
	planned map[string]int
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
		if taken[s.ID] {
			continue
		}
		f.unbound = append(f.unbound, s)
		if g.isFree(s) {
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
	return ms.Rank != 0 || ms.State != tracker.StateOpen && ms.State != tracker.StateClosing
}

// form starts the groups that are planned for a fabric domain and can begin.
func (g *Grouper) form(f *fabric) {
	for {
		m, members, loads := g.best(f)
		if members == nil {
			return
		}
		if loads > 0 && !g.mayLoad(f.engine, loads) {
			return
		}
		f.planned[m.Name]--
		g.formGroup(f, m, members, loads)
	}
}

// best chooses the planned group that is needed most among those that the free
// servers can form, and the servers for it. Members that would have to load
// weights are taken only while there are no callers: later they would bind the
// others, which are of more use as spares.
func (g *Grouper) best(f *fabric) (cataloger.Model, []*tracker.Server, int) {
	var model cataloger.Model
	var members []*tracker.Server
	loads, need := 0, math.Inf(-1)
	for _, m := range f.engine.Models {
		if f.planned[m.Name] <= 0 {
			continue
		}
		ms, l := g.pick(f, m)
		if ms == nil || l > 0 && (!g.idle() || !g.mayLoadFor(m, ms)) {
			continue
		}
		n := g.need(f.service, f.engine, m, 0)
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

// pick returns the free servers that would form a group soonest, and how many of
// them have to load the weights. It returns nil when there are too few.
func (g *Grouper) pick(f *fabric, m cataloger.Model) ([]*tracker.Server, int) {
	if m.GroupSize < 1 || len(f.free) < m.GroupSize {
		return nil, 0
	}
	free := slices.Clone(f.free)
	slices.SortStableFunc(free, func(a, b *tracker.Server) int {
		return cmp.Or(cmp.Compare(g.effort(a, m.Name), g.effort(b, m.Name)), cmp.Compare(a.ID, b.ID))
	})
	free = free[:m.GroupSize]
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
	case slices.Contains(s.Models, model) && s.HasStaged(model):
		return effortLast
	case s.HasStaged(model):
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

func (g *Grouper) formGroup(f *fabric, m cataloger.Model, members []*tracker.Server, loads int) {
	g.formed++
	epoch := g.fence<<epochBits | g.formed
	gr := &group{
		info: GroupInfo{
			ID: identifier.Group(fmt.Sprintf("g%d", epoch)), Epoch: epoch, Model: m.Name, Fabric: f.domain,
			Phase: PhaseForming, Reason: fmt.Sprintf("%d of %d members load", loads, m.GroupSize),
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
	gr.deadline = g.now.Add(m.WarmStartTime + formSlack)
	if g.anyStaging(members) {
		gr.deadline = g.now.Add(g.loadTime(f.engine, m) + m.WarmStartTime + formSlack)
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
