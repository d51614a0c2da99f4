package grouper

import (
	"cmp"
	"slices"
)

// ModelCounts counts the servers of one model and the groups that they form.
type ModelCounts struct {
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
func (g *Grouper) Survey() (models []ModelCounts, blank, unusable int) {
	at := map[string]*ModelCounts{}
	count := func(model string) *ModelCounts {
		c := at[model]
		if c == nil {
			c = &ModelCounts{Model: model}
			at[model] = c
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
	slices.SortFunc(models, func(a, b ModelCounts) int { return cmp.Compare(a.Model, b.Model) })
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
