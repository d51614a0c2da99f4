package chooser

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// group replays a group that runs 26 answers, three of them of this front, with
// an event of each in every pass.
type stallScenario struct {
	*Chooser
	now      time.Time
	passTime time.Duration
}

func newStallScenario(t *testing.T) *stallScenario {
	t.Helper()
	g := &stallScenario{Chooser: newTestChooser(t, 0, []*tracker.Server{rank0Server(0), rank0Server(3)}), now: testStart}
	for range 3 {
		g.RecordSent(g.now, "s0", 1460)
		g.RecordFirstEvent(g.now, "s0", 1460)
	}
	g.SetOtherLoads(map[identifier.Server]Load{"s0": {Running: 23}})
	e, m := g.engineAndModel("s0")
	g.passTime = g.predictedPassTime(e, m, g.stateOf("s0"))
	return g
}

// run lets passes go by that each take that long.
func (g *stallScenario) runPasses(passes int, each time.Duration) (stood bool) {
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
func (g *stallScenario) timeToStallDetection() time.Duration {
	from := g.now
	for ; g.now.Sub(from) < time.Second; g.now = g.now.Add(time.Millisecond) {
		if g.IsStalled(g.now, "s0") {
			return g.now.Sub(from)
		}
	}
	return time.Second
}

func TestStallIsDetectedWithinGapObjective(t *testing.T) {
	const pauseObjective = 300 * time.Millisecond
	g := newStallScenario(t)
	if g.runPasses(100, g.passTime) {
		t.Error("a group that moves counts as standing still")
	}
	if after := g.timeToStallDetection(); after > pauseObjective*2/3 || after < 2*g.passTime {
		t.Errorf("found after %s, passes take %s", after, g.passTime)
	}
	a := testRequest()
	for range 50 {
		if got := g.Choose(g.now, a); got.Server == nil || got.Server.ID != "s3" {
			t.Fatalf("got %+v while s0 stands still", got)
		}
	}
}

func TestNoFalseStallDetection(t *testing.T) {
	for name, test := range map[string]func(g *stallScenario) bool{
		"prompts of other fronts are read": func(g *stallScenario) bool {
			g.SetOtherLoads(map[identifier.Server]Load{"s0": {Running: 26, PendingPromptTokens: 7 * 2048}})
			return g.runPasses(1, g.passTime+280*time.Millisecond)
		},
		"prompts are read that this front has not heard of": func(g *stallScenario) bool {
			// It was so before.
			g.runPasses(1, g.passTime+250*time.Millisecond)
			g.runPasses(5, g.passTime)
			return g.runPasses(1, g.passTime+250*time.Millisecond)
		},
		"the same, and the catalog does not say how much a step reads": func(g *stallScenario) bool {
			e, _ := g.engineAndModel("s0")
			e.Chunk = 0
			g.runPasses(1, g.passTime+250*time.Millisecond)
			g.runPasses(5, g.passTime)
			return g.runPasses(1, g.passTime+250*time.Millisecond)
		},
		"slower than declared": func(g *stallScenario) bool {
			// It may be taken for standing still at first.
			g.runPasses(40, 4*g.passTime)
			return g.runPasses(40, 4*g.passTime)
		},
		"the process did not run": func(g *stallScenario) bool {
			g.now = g.now.Add(2 * time.Second)
			g.RecordResume(g.now)
			return g.runPasses(1, g.passTime)
		},
		"no answer of this front runs": func(g *stallScenario) bool {
			for range 3 {
				g.RecordEnd("s0", 1460, true)
			}
			return g.timeToStallDetection() < time.Second
		},
		"the only answer has no event yet": func(g *stallScenario) bool {
			for range 3 {
				g.RecordEnd("s0", 1460, true)
			}
			g.RecordSent(g.now, "s0", 1460)
			return g.timeToStallDetection() < time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newStallScenario(t)
			g.runPasses(10, g.passTime)
			if test(g) {
				t.Error("the group counts as standing still")
			}
		})
	}
}
