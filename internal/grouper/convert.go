package grouper

import (
	"slices"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// Conversion of spares. Losses leave servers behind that have the weights of a model
// but are too few in their fabric domain for a whole group of it. While callers ask
// for much more of another model than its groups can serve, such spares load the
// weights of that model instead.

const (
	// minConversionRatio is the demand per group of the model in demand, in multiples of
	// that of the model whose weights are replaced, from which on spares are converted.
	// A load takes long, so a short peak must not cause one.
	minConversionRatio = 1.5
	// keptSpares is how many spares of a model stay in a fabric domain with a group of
	// it.
	keptSpares = 1
)

// conversion is a spare that is to load the weights of another model.
type conversion struct {
	server *tracker.Server
	pool   *fabricPool
	model  cataloger.Model
	// value is the demand per group of the model, divided by the loads that its next
	// group in the fabric domain needs.
	value float64
}

// convertSpares orders spares to load the weights of a model in demand, where enough
// of them are left over for a whole group of it.
func (g *Grouper) convertSpares(fs []*fabricPool) {
	if g.beforeFirstRequest() {
		return
	}
	for {
		var best conversion
		for _, f := range fs {
			for _, m := range f.engine.Models {
				if c := g.conversionFor(fs, f, m); c.value > best.value {
					best = c
				}
			}
		}
		if best.server == nil || !g.mayStartLoads(best.pool.engine, 1) {
			return
		}
		s := best.server
		best.pool.free = slices.DeleteFunc(best.pool.free, func(o *tracker.Server) bool { return o == s })
		if g.sendOrder(s, Order{Action: ActionStage, Model: best.model.Name, Reason: "spare of a model in less demand"}) {
			g.recordLoadStart(s, best.model)
		}
	}
}

// conversionFor returns the next conversion for a group of model m in a fabric domain.
// Its value is 0 if there is none.
func (g *Grouper) conversionFor(fs []*fabricPool, f *fabricPool, m cataloger.Model) conversion {
	demand := g.plannedDemandPerGroup(fs, f, m)
	var server *tracker.Server
	convertible := 0
	for _, o := range f.engine.Models {
		if o.Name == m.Name || demand < minConversionRatio*g.plannedDemandPerGroup(fs, f, o) {
			continue
		}
		left := f.leftOver(g, o)
		if f.hasGroup(o.Name) {
			left -= max(spareTarget(o, f.countGroups(o.Name)), keptSpares)
		}
		spares := g.idleSpares(f, o)
		if n := min(left, len(spares)); n > 0 {
			server = spares[0]
			convertible += n
		}
	}
	missing := m.GroupSize - f.leftOver(g, m)
	if server == nil || missing < 1 || missing > convertible {
		return conversion{}
	}
	return conversion{server: server, pool: f, model: m, value: demand / float64(missing)}
}

// plannedDemandPerGroup returns the demand per group of a model if one group were added
// to those that it has and those planned in all fabric domains.
func (g *Grouper) plannedDemandPerGroup(fs []*fabricPool, f *fabricPool, m cataloger.Model) float64 {
	planned := 0
	for _, o := range fs {
		if o.service == f.service {
			planned += max(o.planned[m.Name], 0)
		}
	}
	return g.demandPerGroup(f.service, f.engine, m, planned)
}

// leftOver counts the ungrouped servers of a fabric domain that have or load the weights
// of a model and that no planned group needs.
func (f *fabricPool) leftOver(g *Grouper, m cataloger.Model) int {
	c := g.capacityOf(f)
	return max(c.staged[m.Name]-f.planned[m.Name]*m.GroupSize, 0)
}

// idleSpares returns the free servers of a fabric domain that have the weights of a
// model.
func (g *Grouper) idleSpares(f *fabricPool, m cataloger.Model) []*tracker.Server {
	var out []*tracker.Server
	for _, s := range f.free {
		if g.records[s.ID].loadingModel == "" && g.weightsOf(s) == m.Name {
			out = append(out, s)
		}
	}
	return out
}
