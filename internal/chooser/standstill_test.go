package chooser

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// group replays a group that runs 26 answers, three of them of this front, with
// an event of each in every pass.
type group struct {
	*Chooser
	now  time.Time
	pass time.Duration
}

func newGroup(t *testing.T) *group {
	t.Helper()
	g := &group{Chooser: newFront(t, 0, []*tracker.Server{head(0), head(3)}), now: start}
	for range 3 {
		g.RecordSent(g.now, "s0", 1460)
		g.RecordFirstEvent(g.now, "s0", 1460)
	}
	g.SetOtherLoads(map[identifier.Server]Load{"s0": {Running: 23}})
	e, m := g.modelAt("s0")
	g.pass = g.passAt(e, m, g.at("s0"))
	return g
}

// run lets passes go by that each take that long.
func (g *group) run(passes int, each time.Duration) (stood bool) {
	for range passes {
		end := g.now.Add(each)
		for ; g.now.Before(end); g.now = g.now.Add(time.Millisecond) {
			stood = stood || g.IsStalled(g.now, "s0")
		}
		for range 3 {
			g.RecordGap(g.now, "s0", each)
			g.RecordResponse(g.now, "s0")
		}
	}
	return stood
}

// standsAfter returns the silence after which the group counts as standing still.
func (g *group) standsAfter() time.Duration {
	from := g.now
	for ; g.now.Sub(from) < time.Second; g.now = g.now.Add(time.Millisecond) {
		if g.IsStalled(g.now, "s0") {
			return g.now.Sub(from)
		}
	}
	return time.Second
}

func TestStandstillIsSeenBeforeThePauseIsTooLong(t *testing.T) {
	const pauseObjective = 300 * time.Millisecond
	g := newGroup(t)
	if g.run(100, g.pass) {
		t.Error("a group that moves counts as standing still")
	}
	if after := g.standsAfter(); after > pauseObjective*2/3 || after < 2*g.pass {
		t.Errorf("found after %s, passes take %s", after, g.pass)
	}
	a := ask()
	for range 50 {
		if got := g.Choose(g.now, a); got.Server == nil || got.Server.ID != "s3" {
			t.Fatalf("got %+v while s0 stands still", got)
		}
	}
}

func TestStandstillIsNotSeenWhereThereIsNone(t *testing.T) {
	for name, test := range map[string]func(g *group) bool{
		"prompts of other fronts are read": func(g *group) bool {
			g.SetOtherLoads(map[identifier.Server]Load{"s0": {Running: 26, PendingPromptTokens: 7 * 2048}})
			return g.run(1, g.pass+280*time.Millisecond)
		},
		"prompts are read that this front has not heard of": func(g *group) bool {
			// It was so before.
			g.run(1, g.pass+250*time.Millisecond)
			g.run(5, g.pass)
			return g.run(1, g.pass+250*time.Millisecond)
		},
		"the same, and the catalog does not say how much a step reads": func(g *group) bool {
			e, _ := g.modelAt("s0")
			e.PrefillChunk = 0
			g.run(1, g.pass+250*time.Millisecond)
			g.run(5, g.pass)
			return g.run(1, g.pass+250*time.Millisecond)
		},
		"slower than declared": func(g *group) bool {
			// It may be taken for standing still at first.
			g.run(40, 4*g.pass)
			return g.run(40, 4*g.pass)
		},
		"the process did not run": func(g *group) bool {
			g.now = g.now.Add(2 * time.Second)
			g.RecordResume(g.now)
			return g.run(1, g.pass)
		},
		"no answer of this front runs": func(g *group) bool {
			for range 3 {
				g.RecordEnd("s0", 1460, true)
			}
			return g.standsAfter() < time.Second
		},
		"the only answer has no event yet": func(g *group) bool {
			for range 3 {
				g.RecordEnd("s0", 1460, true)
			}
			g.RecordSent(g.now, "s0", 1460)
			return g.standsAfter() < time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			g.run(10, g.pass)
			if test(g) {
				t.Error("the group counts as standing still")
			}
		})
	}
}
