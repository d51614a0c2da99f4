package chooser

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// stallScenario simulates a group that runs 26 answers, three of them of this
// front, and sends an event of each answer in every pass.
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

// runPasses simulates passes of the given duration. It reports whether the group
// was found stalled at any time.
func (g *stallScenario) runPasses(passes int, duration time.Duration) (stalled bool) {
	for range passes {
		end := g.now.Add(duration)
		for ; g.now.Before(end); g.now = g.now.Add(time.Millisecond) {
			stalled = stalled || g.IsStalled(g.now, "s0")
		}
		for range 3 {
			g.RecordGap(g.now, "s0", duration)
			g.RecordResponse(g.now, "s0")
		}
	}
	return stalled
}

// timeToStallDetection returns the silence after which the group is found stalled,
// or a second if it is not.
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
	const gapObjective = 300 * time.Millisecond
	g := newStallScenario(t)
	if g.runPasses(100, g.passTime) {
		t.Error("a group that makes progress is reported as stalled")
	}
	if after := g.timeToStallDetection(); after > gapObjective*2/3 || after < 2*g.passTime {
		t.Errorf("stall found after %s, passes take %s", after, g.passTime)
	}
	r := testRequest()
	for range 50 {
		if got := g.Choose(g.now, r); got.Server == nil || got.Server.ID != "s3" {
			t.Fatalf("got %+v while s0 is stalled", got)
		}
	}
}

func TestNoFalseStallDetection(t *testing.T) {
	for name, test := range map[string]func(g *stallScenario) bool{
		"prefill of prompts of other fronts": func(g *stallScenario) bool {
			g.SetOtherLoads(map[identifier.Server]Load{"s0": {Running: 26, PendingPromptTokens: 7 * 2048}})
			return g.runPasses(1, g.passTime+280*time.Millisecond)
		},
		"prefill of prompts that this front does not know of": func(g *stallScenario) bool {
			// An equally long gap was seen before.
			g.runPasses(1, g.passTime+250*time.Millisecond)
			g.runPasses(5, g.passTime)
			return g.runPasses(1, g.passTime+250*time.Millisecond)
		},
		"the same, and the catalog declares no prefill chunks": func(g *stallScenario) bool {
			e, _ := g.engineAndModel("s0")
			e.PrefillChunk = 0
			g.runPasses(1, g.passTime+250*time.Millisecond)
			g.runPasses(5, g.passTime)
			return g.runPasses(1, g.passTime+250*time.Millisecond)
		},
		"slower than declared": func(g *stallScenario) bool {
			// It may be found stalled until the average has adapted.
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
				t.Error("the group is reported as stalled")
			}
		})
	}
}
