//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

func init() { cases["groups"] = playGroups }

const (
	// groupSize is the size of the model's groups, and enginesPerZone the number of replicas in
	// each zone, all in one fabric domain.
	groupSize      = 3
	enginesPerZone = 9
)

// playGroups: a zone is taken back. Three replicas leave their orders to join unanswered and
// carry them out late. The core process that gave them is restarted as planned.
func playGroups(s *stage) (bool, error) {
	s.withEngines = true
	if err := s.startSystem(); err != nil {
		return false, err
	}
	f, err := s.startEngines(enginesPerZone)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if _, err := s.startServer("i-1", "zone-1"); err != nil {
		return false, err
	}
	if err := s.publish(); err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	for z := 1; z <= 3; z++ {
		if err := f.awaitGroups(fmt.Sprintf("zone-%d", z), "open", enginesPerZone/groupSize, 30*time.Second); err != nil {
			return false, err
		}
	}
	go s.callers(60)
	s.sleep(5 * time.Second)
	zone := "zone-1"
	path, cores := s.names["evacuate_path"]+zone, s.of("core")
	groups := f.groupsIn(zone, "open")
	if _, err := s.order(http.MethodPost, path, nil, cores...); err != nil {
		return false, err
	}
	if err := f.awaitGroups(zone, "ready", enginesPerZone/groupSize, 15*time.Second); err != nil {
		return false, err
	}
	s.sleep(3 * time.Second)
	var names []string
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	s.note("groups of %s before it was evacuated: %v", zone, groups)
	if s.trouble {
		f.mu.Lock()
		for _, id := range groups[names[0]] {
			f.late[id] = true
		}
		f.mu.Unlock()
	}
	leader, _, err := s.findLeader()
	if err != nil {
		return false, err
	}
	if _, err := s.order(http.MethodDelete, path, nil, cores...); err != nil {
		return false, err
	}
	if s.trouble {
		for start := time.Now(); ; s.sleep(10 * time.Millisecond) {
			f.mu.Lock()
			n := f.lateJoins
			f.mu.Unlock()
			if n >= groupSize {
				break
			}
			if time.Since(start) > 5*time.Second {
				return false, fmt.Errorf("only %d orders to join came", n)
			}
		}
	}
	s.sleep(100 * time.Millisecond)
	s.restart(leader)
	f.mu.Lock()
	f.late = map[string]bool{}
	f.mu.Unlock()
	s.sleep(f.lateTime + 3*time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.twice {
		s.note("CHECK %s", t)
	}
	s.note("CHECK %d joins of another group were taken while the head of the own group was open", len(f.twice))
	return len(f.twice) > 0, nil
}

// findLeader returns the core process that leads, and the others.
func (s *stage) findLeader() (*process, []*process, error) {
	for range 40 {
		var leader *process
		var others []*process
		for _, p := range s.of("core") {
			leads, err := s.leads(p)
			if err != nil {
				return nil, nil, err
			}
			if leads && leader == nil {
				leader = p
			} else {
				others = append(others, p)
			}
		}
		if leader != nil {
			return leader, others, nil
		}
		s.sleep(100 * time.Millisecond)
	}
	return nil, nil, fmt.Errorf("no core process leads")
}
