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
	s := &stallScenario{Chooser: newTestChooser(t, 0, []*tracker.Server{headServer(0), headServer(3)}), now: testStart}
	for range 3 {
		s.RecordSent(s.now, "s0", 1460)
		s.RecordFirstEvent(s.now, "s0", 1460)
	}
	s.SetOtherLoads(map[identifier.Server]Load{"s0": {Running: 23}})
	e, m := s.engineAndModel("s0")
	s.passTime = s.predictedPassTime(e, m, s.stateOf("s0"))
	return s
}

// runPasses simulates passes of the given duration. It reports whether the group
// was reported as stalled at any time.
func (s *stallScenario) runPasses(passes int, duration time.Duration) (stalled bool) {
	for range passes {
		end := s.now.Add(duration)
		for ; s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
			stalled = stalled || s.IsStalled(s.now, "s0")
		}
		for range 3 {
			s.RecordGap(s.now, "s0", duration)
			s.RecordResponse(s.now, "s0")
		}
	}
	return stalled
}

// timeToStallDetection returns the silence after which the group is reported as
// stalled, or a second if it is not.
func (s *stallScenario) timeToStallDetection() time.Duration {
	from := s.now
	for ; s.now.Sub(from) < time.Second; s.now = s.now.Add(time.Millisecond) {
		if s.IsStalled(s.now, "s0") {
			return s.now.Sub(from)
		}
	}
	return time.Second
}

func TestStallIsDetectedWithinGapObjective(t *testing.T) {
	const gapObjective = 300 * time.Millisecond
	s := newStallScenario(t)
	if s.runPasses(100, s.passTime) {
		t.Error("a group that makes progress is reported as stalled")
	}
	if after := s.timeToStallDetection(); after > gapObjective*2/3 || after < 2*s.passTime {
		t.Errorf("stall found after %s, passes take %s", after, s.passTime)
	}
	r := testRequest()
	for range 50 {
		if got := s.Choose(s.now, r); got.Server == nil || got.Server.ID != "s3" {
			t.Fatalf("got %+v while s0 is stalled", got)
		}
	}
}

func TestNoFalseStallDetection(t *testing.T) {
	for name, test := range map[string]func(s *stallScenario) bool{
		"prefill of prompts of other fronts": func(s *stallScenario) bool {
			s.SetOtherLoads(map[identifier.Server]Load{"s0": {Running: 26, PendingPromptTokens: 7 * 2048}})
			return s.runPasses(1, s.passTime+280*time.Millisecond)
		},
		"prefill of prompts that this front does not know of": func(s *stallScenario) bool {
			// An equally long gap was seen before.
			s.runPasses(1, s.passTime+250*time.Millisecond)
			s.runPasses(5, s.passTime)
			return s.runPasses(1, s.passTime+250*time.Millisecond)
		},
		"the same, and the catalog declares no prefill chunks": func(s *stallScenario) bool {
			e, _ := s.engineAndModel("s0")
			e.PrefillChunk = 0
			s.runPasses(1, s.passTime+250*time.Millisecond)
			s.runPasses(5, s.passTime)
			return s.runPasses(1, s.passTime+250*time.Millisecond)
		},
		"slower than declared": func(s *stallScenario) bool {
			// It may be reported as stalled until the average has adapted.
			s.runPasses(40, 4*s.passTime)
			return s.runPasses(40, 4*s.passTime)
		},
		"the process did not run": func(s *stallScenario) bool {
			s.now = s.now.Add(2 * time.Second)
			s.RecordResume(s.now)
			return s.runPasses(1, s.passTime)
		},
		"no answer of this front runs": func(s *stallScenario) bool {
			for range 3 {
				s.RecordEnd("s0", 1460, true)
			}
			return s.timeToStallDetection() < time.Second
		},
		"the only answer has no event yet": func(s *stallScenario) bool {
			for range 3 {
				s.RecordEnd("s0", 1460, true)
			}
			s.RecordSent(s.now, "s0", 1460)
			return s.timeToStallDetection() < time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStallScenario(t)
			s.runPasses(10, s.passTime)
			if test(s) {
				t.Error("the group is reported as stalled")
			}
		})
	}
}
