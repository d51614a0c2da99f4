package coordinator_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

func TestFrontFollows(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		time.Sleep(2 * time.Second)
		if !f.Ready() || f.Snapshot().Catalog != 1 {
			t.Fatalf("ready %v, catalog %d", f.Ready(), f.Snapshot().Catalog)
		}
		s.mustPublish(2, "b")
		// A deployment gives 2 s from the acknowledgement.
		time.Sleep(2 * time.Second)
		if f.Snapshot().Catalog != 2 {
			t.Errorf("2 s after the acknowledgement the front has catalog %d", f.Snapshot().Catalog)
		}
		s.kill("a")
		time.Sleep(5 * time.Second)
		if !f.Ready() {
			t.Error("the front is not ready though two core processes live")
		}
	})
}

// TestKeysExpireWithoutNews cuts a front off and suspends nothing else: keys that
// were taken away meanwhile must not be honoured once their bound is over.
func TestKeysExpireWithoutNews(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		time.Sleep(2 * time.Second)
		for _, c := range firstCores {
			s.net.SetPartitioned("f", c, true)
		}
		cut := time.Now()
		s.mustPublish(2, "a")
		for time.Since(cut) < 8*time.Second {
			time.Sleep(100 * time.Millisecond)
			if f.Ready() && time.Since(cut) > 5*time.Second {
				t.Fatalf("ready %s after the cut", time.Since(cut))
			}
		}
		for _, c := range firstCores {
			s.net.SetPartitioned("f", c, false)
		}
		time.Sleep(4 * time.Second)
		if !f.Ready() || f.Snapshot().Catalog != 2 {
			t.Errorf("after the cut: ready %v, catalog %d", f.Ready(), f.Snapshot().Catalog)
		}
	})
}

// TestFrontLeavesHalfOfACut cuts the core process that a front follows off from
// the others only. The front has to find one that still has news.
func TestFrontLeavesHalfOfACut(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		time.Sleep(2 * time.Second)
		for _, cut := range firstCores {
			for _, other := range firstCores {
				if other != cut {
					s.net.SetPartitioned(cut, other, true)
				}
			}
			time.Sleep(6 * time.Second)
			if !f.Ready() {
				t.Errorf("with %s cut off the front is not ready", cut)
			}
			for _, other := range firstCores {
				if other != cut {
					s.net.SetPartitioned(cut, other, false)
				}
			}
			time.Sleep(3 * time.Second)
		}
	})
}

func TestAnnouncementReachesFronts(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		time.Sleep(2 * time.Second)
		s.cores["c"].core.HandleAnnouncement(tracker.Server{
			ID: "i-1", Service: "llm", Address: "i-1:1", Domain: "zc", Born: 5, Sequence: 1, HeardAt: time.Now(),
		})
		time.Sleep(500 * time.Millisecond)
		if got := f.Snapshot().Servers; len(got) != 1 || got[0].ID != "i-1" || !got[0].Usable() {
			t.Fatalf("servers: %v", got)
		}
		s.cores["a"].core.HandleLeave("i-1", 5)
		// A leaver must get nothing new 2 s after the acknowledgement.
		time.Sleep(time.Second)
		if got := f.Snapshot().Servers; len(got) != 1 || got[0].Usable() {
			t.Errorf("a server that left: %v", got)
		}
	})
}

// TestFrontKeepsServersWhileCoresRestart restarts all core processes. Their
// registries are empty then, and the front has to go on with the servers that it
// knows until these can have announced themselves again.
func TestFrontKeepsServersWhileCoresRestart(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		beat := func(sequence uint64) {
			s.cores["c"].core.HandleAnnouncement(tracker.Server{
				ID: "i-1", Service: "llm", Address: "i-1:1", Domain: "zc", Born: 5, Sequence: sequence, HeardAt: time.Now(),
			})
		}
		beat(1)
		time.Sleep(2 * time.Second)
		s.kill(firstCores...)
		for _, name := range firstCores {
			s.startCore(name, false)
		}
		usable := func() bool {
			got := f.Snapshot().Servers
			return len(got) == 1 && got[0].Usable() && !got[0].Silent
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if !usable() {
				t.Fatalf("servers: %v", f.Snapshot().Servers)
			}
		}
		beat(2)
		time.Sleep(5 * time.Second)
		if got := f.Snapshot().Servers; len(got) != 1 {
			t.Errorf("a server that was heard again is lost: %v", got)
		}
		s.kill(firstCores...)
		for _, name := range firstCores {
			s.startCore(name, false)
		}
		time.Sleep(6 * time.Second)
		if got := f.Snapshot().Servers; len(got) != 0 {
			t.Errorf("a server that was not heard again is kept: %v", got)
		}
	})
}

// TestFrontForgetsNoEvacuation lets the only core process that a front reaches
// come back with an empty disk. What it does not know must not be taken for news;
// found by seeds 8 and 9 of the soak.
func TestFrontForgetsNoEvacuation(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		if err := s.cores["b"].core.SetEvacuated(context.Background(), "z1", true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		s.kill(firstCores...)
		s.newDisk("a")
		s.startCore("a", false)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if out := f.Snapshot().Evacuated; !slices.Equal(out, []identifier.FailureDomain{"z1"}) {
				t.Fatalf("the front takes %v for taken out", out)
			}
		}
	})
}
