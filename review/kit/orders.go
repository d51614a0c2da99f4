//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["orders"] = playOrders }

const (
	// manyRoutes is the number of routes by which the config grows.
	manyRoutes = 350
	// orderRounds is how often the case is tried in one play.
	orderRounds = 14
)

// playOrders: the operator publishes a config with many routes and evacuates a zone as soon as
// that is acknowledged.
func playOrders(s *stage) (bool, error) {
	s.frontsPerZone = 3
	if err := s.startSystem(); err != nil {
		return false, err
	}
	var emptied *server
	// The fronts of the second zone use the servers of both others.
	for i, zone := range []string{"zone-1", "zone-3"} {
		v, err := s.startServer(fmt.Sprintf("i-%d", i+1), zone)
		if err != nil {
			return false, err
		}
		emptied = v
	}
	if err := s.publish(); err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	go s.callers(180)
	s.sleep(contactTime)
	path, cores := s.names["evacuate_path"]+emptied.zone, s.of("core")
	version := firstVersion
	for i := 1; i <= orderRounds && time.Since(s.startedAt) < 92*time.Second; i++ {
		if s.trouble {
			version += 4
			if _, err := s.order(http.MethodPut, s.names["config_path"], s.config(version, manyRoutes*i), cores[i%3]); err != nil {
				return false, err
			}
		}
		s.sleep(time.Duration(i%3) * 2 * time.Millisecond)
		ackedAt, err := s.order(http.MethodPost, path, nil, cores[(i+1)%3])
		if err != nil {
			return false, err
		}
		s.note("ACK the evacuation of %s", emptied.zone)
		from := ackedAt.Add(evacuateTime)
		s.sleep(time.Until(from.Add(1200 * time.Millisecond)))
		fronts := map[string]int{}
		for _, r := range emptied.runsSince(from) {
			if q := s.request(r.id); q != nil && q.sentAt.After(from) {
				fronts[q.front.name]++
			}
		}
		s.note("ROUND %d: requests sent later than %s after the ack reached the zone, by front: %v", i, evacuateTime, fronts)
		if len(fronts) > 0 {
			return true, s.showCause(emptied)
		}
		if _, err := s.order(http.MethodDelete, path, nil, cores[i%3]); err != nil {
			return false, err
		}
		s.sleep(500 * time.Millisecond)
	}
	return false, nil
}

// showCause notes how requests go on, and that they end once the list of servers has changed.
// It decides nothing.
func (s *stage) showCause(emptied *server) error {
	now := time.Now()
	s.sleep(5 * time.Second)
	s.note("AFTER 5 s more, with nothing changed: %d requests more have reached the zone", len(emptied.runsSince(now)))
	if _, err := s.startServer("i-3", "zone-1"); err != nil {
		return err
	}
	s.sleep(time.Second)
	now = time.Now()
	s.sleep(5 * time.Second)
	s.note("AFTER 5 s more, with a server added in another zone: %d requests more have reached the zone", len(emptied.runsSince(now)))
	return nil
}
