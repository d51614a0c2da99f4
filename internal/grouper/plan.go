package grouper

import (
	"maps"
	"math"
	"slices"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// planGroups decides which groups the ungrouped servers of all fabric domains are
// to form. It plans one group at a time, for the model with the highest demand per
// group. Whether servers are free yet does not matter, so that a model of large
// groups is not left without servers because smaller groups find theirs sooner.
func (g *Grouper) planGroups(fs []*fabricPool) {
	capacities := make([]capacity, len(fs))
	plannedByService := map[identifier.Service]map[string]int{}
	for i, f := range fs {
		capacities[i] = g.capacityOf(f)
		f.planned = map[string]int{}
		if plannedByService[f.service] == nil {
			plannedByService[f.service] = map[string]int{}
		}
	}
	for service, planned := range plannedByService {
		g.planService(service, fs, capacities, planned)
	}
}

func (g *Grouper) planService(service identifier.Service, fs []*fabricPool, capacities []capacity, planned map[string]int) {
	unplaceable := map[string]bool{}
	for {
		var model cataloger.Model
		highest := math.Inf(-1)
		e := g.engine(service)
		for _, m := range e.Models {
			if d := g.demandPerGroup(service, e, m, planned[m.Name]); !unplaceable[m.Name] && m.GroupSize > 0 && d > highest {
				model, highest = m, d
			}
		}
		if model.GroupSize == 0 {
			return
		}
		at := g.cheapestPool(service, fs, capacities, model)
		if at < 0 {
			unplaceable[model.Name] = true
			continue
		}
		capacities[at].reserve(model)
		fs[at].planned[model.Name]++
		planned[model.Name]++
	}
}

// cheapestPool returns the index of the fabric domain where a group of a model
// costs least: above all the one with the fewest loads, then the one whose servers
// and groups belong most to this model rather than to others. It returns -1 when
// none has enough servers.
func (g *Grouper) cheapestPool(service identifier.Service, fs []*fabricPool, capacities []capacity, m cataloger.Model) int {
	at, best := -1, math.Inf(-1)
	loadCost := float64(loadPenalty)
	if g.beforeFirstRequest() {
		// No request waits for a load yet.
		loadCost = 0
	}
	for i, f := range fs {
		if f.service != service {
			continue
		}
		loads, ok := capacities[i].loadsNeeded(m)
		if !ok || g.takesSpares(f, capacities[i], m) {
			continue
		}
		own, others := 0, 0
		for _, o := range f.engine.Models {
			n := f.planned[o.Name] + f.countGroups(o.Name)
			if o.Name == m.Name {
				own = n
			} else {
				others += n
			}
		}
		score := -float64(loads)*loadCost + f.affinity(m.Name)*float64(1+own)/float64(1+others)
		if score > best {
			at, best = i, score
		}
	}
	return at
}

// takesSpares reports whether a group of model m would take servers that models of
// larger groups in the fabric domain need as spares.
func (g *Grouper) takesSpares(f *fabricPool, before capacity, m cataloger.Model) bool {
	after := capacity{staged: maps.Clone(before.staged), blank: before.blank}
	after.reserve(m)
	for _, o := range f.engine.Models {
		if o.GroupSize <= m.GroupSize {
			continue
		}
		target := spareTarget(o, f.countGroups(o.Name)+f.planned[o.Name])
		if after.spareCount(o) < target && after.spareCount(o) < before.spareCount(o) {
			return true
		}
	}
	return false
}

// countGroups counts the groups of a model in the fabric domain that serve or will.
func (f *fabricPool) countGroups(model string) int {
	n := 0
	for _, gr := range f.groups {
		if gr.info.Model == model && gr.isActive() {
			n++
		}
	}
	return n
}

// spareTarget returns how many free servers with the weights are worth more as
// spares for a model that has that many groups than as members of a further group.
// If a member is lost and there is no spare, its whole group does not serve for the
// time of a load.
func spareTarget(m cataloger.Model, groups int) int {
	losses := lossRate * float64(groups*m.GroupSize) * m.LoadTime.Seconds()
	// chance is the probability of more than n losses during a load, and term that
	// of exactly n, in a Poisson process.
	chance, term := 1-math.Exp(-losses), math.Exp(-losses)
	n := 0
	for chance*float64(m.GroupSize) >= minServersSaved {
		n++
		term *= losses / float64(n)
		chance -= term
	}
	return n
}

// capacity counts the servers of a fabric domain that are left for new groups.
type capacity struct {
	// staged counts the servers that have or load weights, by model, and blank
	// those without weights.
	staged map[string]int
	blank  int
}

func (g *Grouper) capacityOf(f *fabricPool) capacity {
	c := capacity{staged: map[string]int{}}
	for _, s := range f.ungrouped {
		if w := g.weightsOf(s); w != "" {
			c.staged[w]++
		} else {
			c.blank++
		}
	}
	return c
}

// weightsOf returns the model whose weights a server loads, else the one that was
// staged last on its host, else an empty string.
func (g *Grouper) weightsOf(s *tracker.Server) string {
	if model := g.records[s.ID].loadingModel; model != "" {
		return model
	}
	if len(s.StagedModels) > 0 {
		return s.StagedModels[len(s.StagedModels)-1]
	}
	return ""
}

// loadsNeeded returns how many servers would have to load the weights for a group
// of a model, and false when there are too few servers for it.
func (c *capacity) loadsNeeded(m cataloger.Model) (int, bool) {
	missing := max(m.GroupSize-c.staged[m.Name], 0)
	return missing, missing <= c.blank
}

// spareCount counts the servers that could replace a member of a model's groups.
func (c *capacity) spareCount(m cataloger.Model) int { return c.staged[m.Name] + c.blank }

func (c *capacity) reserve(m cataloger.Model) {
	missing := max(m.GroupSize-c.staged[m.Name], 0)
	c.staged[m.Name] -= m.GroupSize - missing
	c.blank -= missing
}

const (
	// affinityWeight is how much the affinity of a fabric domain for a model rises,
	// from 1, if all its servers have the model.
	affinityWeight = 4
	// lossRate is the fraction of the servers lost per second for which spares are
	// kept.
	lossRate = 0.003
	// minServersSaved is the expected number of servers whose work a spare has to
	// save: its own, and those that stay idle because it is missing from a group.
	minServersSaved = 2.5
	// minMeasuredDemand is the engine time asked for per second, in seconds, from
	// which on the measured demand counts instead of the declared shares.
	minMeasuredDemand = 1
)

// affinity is higher for a model that more of the fabric domain's servers have.
// Servers with the same weights can replace each other, and fewer of them are left
// over, so each fabric domain should hold few models.
func (f *fabricPool) affinity(model string) float64 {
	n := 0
	for _, s := range f.live {
		if s.HasStaged(model) || slices.ContainsFunc(f.groups, func(gr *group) bool {
			return gr.info.Model == model && slices.Contains(gr.info.Members, s.ID)
		}) {
			n++
		}
	}
	return 1 + affinityWeight*float64(n)/float64(max(len(f.live), 1))
}

// demandPerGroup returns the engine time asked for per group of a model, if one
// group were added to those that it has and the planned ones.
func (g *Grouper) demandPerGroup(service identifier.Service, e *cataloger.Engine, m cataloger.Model, planned int) float64 {
	groups := planned
	for _, gr := range g.groups {
		if gr.service == service && gr.info.Model == m.Name && gr.isActive() {
			groups++
		}
	}
	return g.modelDemand(e, m) / float64(groups+1)
}

// isActive reports whether a group serves or is being formed.
func (gr *group) isActive() bool {
	return gr.info.Phase == PhaseForming || gr.info.Phase == PhaseOpening || gr.info.Phase == PhaseServing
}

// modelDemand returns the engine time asked for of a model, or its declared share
// while less than minMeasuredDemand was measured.
func (g *Grouper) modelDemand(e *cataloger.Engine, m cataloger.Model) float64 {
	measured := 0.0
	for _, o := range e.Models {
		measured += g.view.Demand[o.Name]
	}
	// The declared share is a share of the servers, not of the groups.
	share := m.DeclaredShare / float64(max(m.GroupSize, 1))
	if measured < minMeasuredDemand {
		return share
	}
	return max(g.view.Demand[m.Name], share*minMeasuredDemand)
}
