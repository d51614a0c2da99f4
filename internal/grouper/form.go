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

// fabricPool holds the servers and groups of one service in one fabric domain.
// Groups never span fabric domains.
type fabricPool struct {
	domain  identifier.FabricDomain
	service identifier.Service
	engine  *cataloger.Engine
	// live holds all live servers, ungrouped those of them that are in no group and
	// not slow, and free those of them that a new group may take now.
	live      []*tracker.Server
	ungrouped []*tracker.Server
	free      []*tracker.Server
	groups    []*group
	// planned is the number of groups still to be formed, by model.
	planned map[string]int
}

// fabricPools distributes the groups and the live servers of engine services by
// service and fabric domain.
func (g *Grouper) fabricPools() []*fabricPool {
	type key struct {
		domain  identifier.FabricDomain
		service identifier.Service
	}
	grouped := g.groupedServers()
	byKey := map[key]*fabricPool{}
	var all []*fabricPool
	pool := func(k key) *fabricPool {
		f := byKey[k]
		if f == nil {
			f = &fabricPool{domain: k.domain, service: k.service, engine: g.engine(k.service)}
			byKey[k] = f
			all = append(all, f)
		}
		return f
	}
	for _, gr := range g.sortedGroups() {
		f := pool(key{gr.info.Fabric, gr.service})
		f.groups = append(f.groups, gr)
	}
	for _, s := range g.view.Registry.All() {
		if g.engine(s.Service) == nil || !g.isLive(s) {
			continue
		}
		f := pool(key{s.Fabric, s.Service})
		f.live = append(f.live, s)
		if grouped[s.ID] || g.isSlow(s) {
			continue
		}
		f.ungrouped = append(f.ungrouped, s)
		if g.isFree(s) {
			f.free = append(f.free, s)
		}
	}
	all = slices.DeleteFunc(all, func(f *fabricPool) bool { return f.engine == nil })
	slices.SortFunc(all, func(a, b *fabricPool) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.domain, b.domain))
	})
	return all
}

// groupedServers returns the servers that are in a group and have not left it.
func (g *Grouper) groupedServers() map[identifier.Server]bool {
	grouped := map[identifier.Server]bool{}
	for _, gr := range g.groups {
		for _, id := range gr.info.Members {
			if !gr.leftMembers[id] {
				grouped[id] = true
			}
		}
	}
	return grouped
}

func (g *Grouper) isLive(s *tracker.Server) bool {
	return s.Usable() && !s.Silent && !g.view.Evacuated[s.Domain] &&
		!g.failedProbe(s) && !g.records[s.ID].absentAt.After(s.LastHeartbeatAt)
}

// isFree reports whether a live server in no group may join one now. It does not before its present state is known:
// a former holder of the placement authority, on the other side of a cut, may have made it join a group.
func (g *Grouper) isFree(s *tracker.Server) bool {
	r := g.records[s.ID]
	if r.pendingOrder != nil || r.probeDue || g.now.Before(r.excludedUntil) {
		return false
	}
	if !s.LastHeartbeatAt.After(g.heardSince) || g.now.Before(r.silentAt.Add(g.returnDelay())) {
		return false
	}
	ms := s.Membership
	if ms.Group != "" && g.ended[ms.Group].IsZero() {
		// It announces a group that was not adopted yet.
		return false
	}
	return ms.Rank != 0 || ms.State != tracker.StateOpen && ms.State != tracker.StateClosing
}

// returnDelay is how long a server that was silent when the term began is heard before it is free. The first heartbeat after a
// cut may be one that the cut has held.
func (g *Grouper) returnDelay() time.Duration { return g.Policy.HeartbeatInterval * 3 / 2 }

// formPlanned starts to form those groups planned for a fabric domain for which
// there are free servers.
func (g *Grouper) formPlanned(f *fabricPool) {
	for {
		m, members, loads := g.chooseGroup(f)
		if members == nil {
			return
		}
		if loads > 0 && !g.mayStartLoads(f.engine, loads) {
			return
		}
		f.planned[m.Name]--
		g.formGroup(f, m, members, loads)
	}
}

// chooseGroup chooses the planned group with the highest demand among those that
// the free servers can form. It returns its model, its members and how many of
// them have to load weights. Such members are taken only before the first request:
// later the other members would wait for them, although they are of more use as
// spares.
func (g *Grouper) chooseGroup(f *fabricPool) (cataloger.Model, []*tracker.Server, int) {
	var model cataloger.Model
	var members []*tracker.Server
	loads, highest := 0, math.Inf(-1)
	for _, m := range f.engine.Models {
		if f.planned[m.Name] <= 0 {
			continue
		}
		ms, l := g.pickMembers(f, m)
		if ms == nil || l > 0 && (!g.beforeFirstRequest() || !g.needsNoReplacement(m, ms)) {
			continue
		}
		d := g.demandPerGroup(f.service, f.engine, m, 0)
		if l > 0 {
			// A group whose members all have the weights serves much sooner.
			d -= loadPenalty
		}
		if d > highest {
			model, members, loads, highest = m, ms, l, d
		}
	}
	return model, members, loads
}

// pickMembers returns the free servers that would form a group soonest, and how
// many of them have to load the weights. It returns nil when there are too few.
func (g *Grouper) pickMembers(f *fabricPool, m cataloger.Model) ([]*tracker.Server, int) {
	if m.GroupSize < 1 || len(f.free) < m.GroupSize {
		return nil, 0
	}
	free := slices.Clone(f.free)
	slices.SortStableFunc(free, func(a, b *tracker.Server) int {
		return cmp.Or(cmp.Compare(g.joinEffort(a, m.Name), g.joinEffort(b, m.Name)), cmp.Compare(a.ID, b.ID))
	})
	free = free[:m.GroupSize]
	loads := 0
	for _, s := range free {
		if g.joinEffort(s, m.Name) >= effortLoading {
			loads++
		}
	}
	return free, loads
}

// What a server has to do to join a group of a model, in rising order of time. With
// effortWarm its host has the weights, and the server has loaded the model since
// its start. With effortStaged its host has the weights, with effortLoading it is
// loading them, and with effortLoad it has to load them. With effortReplace it has
// to load them as well, but has or loads the weights of another model.
const (
	effortWarm = iota
	effortStaged
	effortLoading
	effortLoad
	effortReplace
)

// joinEffort returns what a server has to do to join a group of a model. Servers
// with a lower effort are ready sooner.
func (g *Grouper) joinEffort(s *tracker.Server, model string) int {
	loading := g.records[s.ID].loadingModel
	switch {
	case loading == model:
		return effortLoading
	case loading != "":
		return effortReplace
	case slices.Contains(s.LoadedModels, model) && s.HasStaged(model):
		return effortWarm
	case s.HasStaged(model):
		return effortStaged
	case len(s.StagedModels) == 0:
		return effortLoad
	}
	return effortReplace
}

// needsNoReplacement reports whether none of the servers would have to replace the
// weights of another model, which it has or loads, to join a group.
func (g *Grouper) needsNoReplacement(m cataloger.Model, members []*tracker.Server) bool {
	return !slices.ContainsFunc(members, func(s *tracker.Server) bool { return g.joinEffort(s, m.Name) == effortReplace })
}

func (g *Grouper) formGroup(f *fabricPool, m cataloger.Model, members []*tracker.Server, loads int) {
	g.epochsUsed++
	epoch := g.fencingToken<<epochCounterBits | g.epochsUsed
	gr := &group{
		info: GroupInfo{
			ID: identifier.Group(fmt.Sprintf("g%d", epoch)), Epoch: epoch, Model: m.Name, Fabric: f.domain,
			Phase: PhaseForming, Reason: fmt.Sprintf("%d of %d members load", loads, m.GroupSize),
		},
		service: f.service, model: m, phaseSince: g.now,
	}
	for _, s := range members {
		gr.info.Members = append(gr.info.Members, s.ID)
		gr.incarnations = append(gr.incarnations, s.Incarnation)
		gr.addresses = append(gr.addresses, s.Address)
		if g.joinEffort(s, m.Name) >= effortLoad {
			g.recordLoadStart(s, m)
		}
	}
	gr.formDeadline = g.now.Add(m.WarmStartTime + formationSlack)
	if g.anyLoading(members) {
		gr.formDeadline = g.now.Add(g.maxLoadTime(f.engine, m) + m.WarmStartTime + formationSlack)
	}
	f.free = slices.DeleteFunc(f.free, func(s *tracker.Server) bool { return slices.Contains(gr.info.Members, s.ID) })
	f.groups = append(f.groups, gr)
	g.groups[gr.info.ID] = gr
	g.recordDecision("group is being formed", gr)
	g.stepForming(gr)
}

func (g *Grouper) anyLoading(members []*tracker.Server) bool {
	return slices.ContainsFunc(members, func(s *tracker.Server) bool { return g.records[s.ID].loadingModel != "" })
}
