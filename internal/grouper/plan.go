package grouper

import (
	"maps"
	"math"
	"slices"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// plan decides which groups the unbound servers of all fabric domains are to
// form. It goes by the models' needs alone, largest first, so that a model of
// large groups is not left without servers because smaller groups find theirs
// sooner.
func (g *Grouper) plan(fs []*fabric) {
	rooms := make([]room, len(fs))
	extra := map[identifier.Service]map[string]int{}
	for i, f := range fs {
		rooms[i] = g.roomOf(f)
		f.planned = map[string]int{}
		if extra[f.service] == nil {
			extra[f.service] = map[string]int{}
		}
	}
	for service, more := range extra {
		g.planService(service, fs, rooms, more)
	}
}

func (g *Grouper) planService(service identifier.Service, fs []*fabric, rooms []room, more map[string]int) {
	full := map[string]bool{}
	for {
		var model cataloger.Model
		need := math.Inf(-1)
		e := g.engine(service)
		for _, m := range e.Models {
			if n := g.need(service, e, m, more[m.Name]); !full[m.Name] && m.GroupSize > 0 && n > need {
				model, need = m, n
			}
		}
		if model.GroupSize == 0 {
			return
		}
		at := g.roomiest(service, fs, rooms, model)
		if at < 0 {
			full[model.Name] = true
			continue
		}
		rooms[at].take(model)
		fs[at].planned[model.Name]++
		more[model.Name]++
	}
}

// roomiest returns the fabric domain where a group of a model costs least: the
// fewest loads, then the model's part of the servers against that of others. It
// returns -1 when none has enough servers.
func (g *Grouper) roomiest(service identifier.Service, fs []*fabric, rooms []room, m cataloger.Model) int {
	at, best := -1, math.Inf(-1)
	loadCost := float64(loadPenalty)
	if g.idle() {
		// Loads cost nobody anything yet.
		loadCost = 0
	}
	for i, f := range fs {
		if f.service != service {
			continue
		}
		loads, ok := rooms[i].loads(m)
		if !ok || g.robsSpares(f, rooms[i], m) {
			continue
		}
		own, others := 0, 0
		for _, o := range f.engine.Models {
			n := f.planned[o.Name] + f.count(o.Name)
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

// robsSpares reports whether a group of model m would take servers that the
// larger groups of a fabric domain need as spares.
func (g *Grouper) robsSpares(f *fabric, before room, m cataloger.Model) bool {
	after := room{staged: maps.Clone(before.staged), blank: before.blank}
	after.take(m)
	for _, o := range f.engine.Models {
		if o.GroupSize <= m.GroupSize {
			continue
		}
		want := spares(o, f.count(o.Name)+f.planned[o.Name])
		if after.spare(o) < want && after.spare(o) < before.spare(o) {
			return true
		}
	}
	return false
}

// count returns the groups of a model in the fabric domain.
func (f *fabric) count(model string) int {
	n := 0
	for _, gr := range f.groups {
		if gr.info.Model == model && gr.counts() {
			n++
		}
	}
	return n
}

// spares returns how many free servers with the weights are worth more to the
// groups of a model than in a group of their own. A lost member without a spare
// costs its whole group for the time of a load.
func spares(m cataloger.Model, groups int) int {
	losses := lossRate * float64(groups*m.GroupSize) * m.LoadTime.Seconds()
	// The chance of more than n losses within a load, of a Poisson process.
	chance, term := 1-math.Exp(-losses), math.Exp(-losses)
	n := 0
	for chance*float64(m.GroupSize) >= spareWorth {
		n++
		term *= losses / float64(n)
		chance -= term
	}
	return n
}

// room is what a fabric domain has for new groups.
type room struct {
	// staged counts the servers by the weights that they have or load, blank
	// those without.
	staged map[string]int
	blank  int
}

func (g *Grouper) roomOf(f *fabric) room {
	r := room{staged: map[string]int{}}
	for _, s := range f.unbound {
		if w := g.weightsOf(s); w != "" {
			r.staged[w]++
		} else {
			r.blank++
		}
	}
	return r
}

// weightsOf returns the model whose weights a server has on its host or loads,
// or nothing.
func (g *Grouper) weightsOf(s *tracker.Server) string {
	if m := g.vms[s.ID].staging; m != "" {
		return m
	}
	if len(s.Staged) > 0 {
		return s.Staged[len(s.Staged)-1]
	}
	return ""
}

// loads returns how many servers a group of a model would have to load, and
// false when there are too few for it.
func (r *room) loads(m cataloger.Model) (int, bool) {
	missing := max(m.GroupSize-r.staged[m.Name], 0)
	return missing, missing <= r.blank
}

// spare returns the servers that could replace a member of a model's groups.
func (r *room) spare(m cataloger.Model) int { return r.staged[m.Name] + r.blank }

func (r *room) take(m cataloger.Model) {
	missing := max(m.GroupSize-r.staged[m.Name], 0)
	r.staged[m.Name] -= m.GroupSize - missing
	r.blank -= missing
}

const (
	// affinityWeight is how many times more a fabric domain takes to a model that
	// all its servers have.
	affinityWeight = 4
	// lossRate is the part of the servers whose loss in a second is prepared for.
	lossRate = 0.003
	// spareWorth is the number of servers whose work a spare has to save: its own,
	// and those that are left over when it is missing from a group.
	spareWorth = 2.5
	// leastDemand is the engine time asked for in a second, in seconds, from
	// which on the measurement goes before the declared shares.
	leastDemand = 1
)

// affinity is higher for a model that more of the fabric domain's servers have.
// Servers with the same weights can replace each other and leave fewer over, so
// each fabric domain keeps to few models.
func (f *fabric) affinity(model string) float64 {
	n := 0
	for _, s := range f.servers {
		if s.HasStaged(model) || slices.ContainsFunc(f.groups, func(gr *group) bool {
			return gr.info.Model == model && slices.Contains(gr.info.Members, s.ID)
		}) {
			n++
		}
	}
	return 1 + affinityWeight*float64(n)/float64(max(len(f.servers), 1))
}

// need is the engine time that is asked for per group of a model, if it had one
// more than it has and is planned to get.
func (g *Grouper) need(service identifier.Service, e *cataloger.Engine, m cataloger.Model, more int) float64 {
	groups := more
	for _, gr := range g.groups {
		if gr.service == service && gr.info.Model == m.Name && gr.counts() {
			groups++
		}
	}
	return g.demand(e, m) / float64(groups+1)
}

// counts reports whether a group serves or will.
func (gr *group) counts() bool {
	return gr.info.Phase == PhaseForming || gr.info.Phase == PhaseOpening || gr.info.Phase == PhaseServing
}

// demand is the engine time asked for by model, or its declared share while
// nothing was measured.
func (g *Grouper) demand(e *cataloger.Engine, m cataloger.Model) float64 {
	measured := 0.0
	for _, o := range e.Models {
		measured += g.view.Demand[o.Name]
	}
	// The declared share is one of servers.
	share := m.DeclaredShare / float64(max(m.GroupSize, 1))
	if measured < leastDemand {
		return share
	}
	return max(g.view.Demand[m.Name], share*leastDemand)
}
