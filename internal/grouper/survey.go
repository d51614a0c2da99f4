package grouper

import (
	"cmp"
	"slices"
)

// ModelCounts holds the numbers of groups and spare servers of one model.
type ModelCounts struct {
	Model string
	// GroupSize is the number of servers of a group.
	GroupSize int
	Serving   int
	Forming   int
	Ending    int
	// Spare counts the free servers that have the weights, Loading those that load
	// them.
	Spare   int
	Loading int
}

// Survey counts groups and servers by model. Blank counts the free servers without
// weights, and unusable the other live servers that are in no group but not free.
func (g *Grouper) Survey() (models []ModelCounts, blank, unusable int) {
	counts := map[string]*ModelCounts{}
	count := func(model string) *ModelCounts {
		c := counts[model]
		if c == nil {
			c = &ModelCounts{Model: model}
			counts[model] = c
		}
		return c
	}
	for _, gr := range g.groups {
		c := count(gr.info.Model)
		switch gr.info.Phase {
		case PhaseServing:
			c.Serving++
		case PhaseForming, PhaseOpening:
			c.Forming++
		default:
			c.Ending++
		}
	}
	for _, f := range g.fabricPools() {
		unusable += len(f.live) - len(f.free)
		for _, gr := range f.groups {
			unusable -= gr.countLiveMembers(f)
		}
		for _, s := range f.free {
			switch {
			case g.records[s.ID].loadingModel != "":
				count(g.records[s.ID].loadingModel).Loading++
			case len(s.StagedModels) > 0:
				count(s.StagedModels[len(s.StagedModels)-1]).Spare++
			default:
				blank++
			}
		}
	}
	for _, c := range counts {
		c.GroupSize = g.groupSize(c.Model)
		models = append(models, *c)
	}
	slices.SortFunc(models, func(a, b ModelCounts) int { return cmp.Compare(a.Model, b.Model) })
	return models, blank, unusable
}

// groupSize returns the number of servers of a group of a model, or 0 if no service has
// that model.
func (g *Grouper) groupSize(model string) int {
	if g.view.Catalog == nil {
		return 0
	}
	for _, s := range g.view.Catalog.Services {
		if s.Engine == nil {
			continue
		}
		if m, ok := s.Engine.Model(model); ok {
			return m.GroupSize
		}
	}
	return 0
}

// countLiveMembers counts the live members of a group that have not left it.
func (gr *group) countLiveMembers(f *fabricPool) int {
	n := 0
	for _, s := range f.live {
		if slices.Contains(gr.info.Members, s.ID) && !gr.leftMembers[s.ID] {
			n++
		}
	}
	return n
}
