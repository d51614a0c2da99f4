//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// playLeaving: a server that leaves is partitioned from the core, so only its answers say that
// it leaves.
func playLeaving(s *stage) (bool, error) {
	if err := s.startSystem(); err != nil {
		return false, err
	}
	var leaving *server
	for i := 1; i <= 5; i++ {
		v, err := s.startServer(fmt.Sprintf("i-%d", i), fmt.Sprintf("zone-%d", 1+i%3))
		if err != nil {
			return false, err
		}
		leaving = v
	}
	if err := s.publish(); err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	go s.callers(100)
	s.sleep(contactTime + 2*time.Second)
	if s.trouble {
		leaving.mu.Lock()
		leaving.quiet = true
		leaving.mu.Unlock()
		s.note("DISRUPTION %s is partitioned from the core, not from the fronts", leaving.id)
		s.sleep(500 * time.Millisecond)
	}
	leaving.mu.Lock()
	leaving.state, leaving.leaving = "draining", true
	leaving.mu.Unlock()
	s.note("LEAVES %s", leaving.id)
	s.sleep(drainTime + lingerTime)
	if s.trouble {
		s.note("the departure of %s finds no way to the core", leaving.id)
	} else {
		leaving.mu.Lock()
		leaving.quiet = true
		leaving.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, _ = s.control(ctx, s.of("core")[0], http.MethodDelete, s.names["replicas_path"]+leaving.id, nil)
		cancel()
	}
	leaving.exit()
	s.note("EXIT %s exits", leaving.id)
	s.sleep(time.Second)
	late, lost := s.countLate(leaving)
	s.note("CHECK %d requests reached %s through a front that had passed on an answer of a leaving server more than %s before they were sent; %d of those that may run once were lost at its exit", late, leaving.id, drainTime, lost)
	return late > 0, nil
}

// countLate counts the requests that reached a server through a front that had passed on an
// answer with the header of a leaving server for longer than drainTime when they were sent.
func (s *stage) countLate(v *server) (late, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	toldAt := map[*process]time.Time{}
	for _, q := range s.sent {
		if t, ok := toldAt[q.front]; q.toldLeaving && (!ok || q.answeredAt.Before(t)) {
			toldAt[q.front] = q.answeredAt
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.runs {
		q := s.sent[r.id]
		if q == nil {
			continue
		}
		if t, ok := toldAt[q.front]; ok && q.sentAt.After(t.Add(drainTime)) {
			late++
			if q.kind == "confirm" && q.status != http.StatusOK {
				lost++
			}
		}
	}
	return late, lost
}
