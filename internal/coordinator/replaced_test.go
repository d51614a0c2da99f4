package coordinator_test

import (
	"fmt"
	"testing"
	"time"
)

// TestCoreProcessesReplacedInSeries guards against a core that never comes back, because its second
// process is lost while one that is gone for good still counts for the majority.
func TestCoreProcessesReplacedInSeries(t *testing.T) {
	// catchUpTime is how long after the start of a successor a deployment expects the loss of
	// another process to be borne.
	const catchUpTime = 4 * time.Second
	for name, secondLoss := range map[string]func(s *system){
		"replaced": func(s *system) {
			s.killCores("b")
			time.Sleep(2 * time.Second)
			s.startCore("e", false)
		},
		"its disk is lost": func(s *system) {
			s.killCores("b")
			time.Sleep(time.Second)
			s.replaceDisk("b")
			s.startCore("b", false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runInSystem(t, func(s *system) {
				s.mustPublish(1, "a")
				time.Sleep(2 * time.Second)
				s.killCores("a")
				time.Sleep(time.Second)
				s.startCore("d", false)
				time.Sleep(catchUpTime)
				s.mustPublish(2, "c")
				secondLoss(s)
				time.Sleep(catchUpTime)
				s.mustPublish(3, "c")
				for _, core := range s.runningCores() {
					s.expectVersion(core, 3)
				}
			})
		})
	}
}

// TestCoreProcessesReplacedAtAnyGap guards against a core that does not come back after its second process is lost at another
// moment than TestCoreProcessesReplacedInSeries plays, or because the first one that was lost led.
func TestCoreProcessesReplacedAtAnyGap(t *testing.T) {
	const catchUpTime = 4 * time.Second
	for _, first := range initialCores {
		for gap := time.Duration(0); gap <= 11*time.Second; gap += time.Second {
			t.Run(fmt.Sprintf("%s, %s after it had caught up", first, gap), func(t *testing.T) {
				t.Parallel()
				runInSystem(t, func(s *system) {
					s.mustPublish(1, "a")
					time.Sleep(2 * time.Second)
					s.killCores(first)
					time.Sleep(time.Second)
					s.startCore("d", false)
					time.Sleep(catchUpTime + gap)
					second := "b"
					if first == "b" {
						second = "c"
					}
					s.mustPublish(2, second)
					s.killCores(second)
					if gap%(2*time.Second) == 0 {
						time.Sleep(time.Second)
						s.replaceDisk(second)
						s.startCore(second, false)
					} else {
						time.Sleep(2 * time.Second)
						s.startCore("e", false)
					}
					time.Sleep(catchUpTime)
					s.mustPublish(3, "d")
					for _, core := range s.runningCores() {
						s.expectVersion(core, 3)
					}
				})
			})
		}
	}
}
