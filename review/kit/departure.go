//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["departure"] = func(s *stage) (bool, error) { return playDeparture(s, s.restart) }
	// The same with a kill in place of the planned stop.
	cases["departure-kill"] = func(s *stage) (bool, error) { return playDeparture(s, s.kill) }
}

// lingerTime is how long a server that leaves goes on serving after drainTime.
const lingerTime = 6 * time.Second

// playDeparture: a server announces its departure to a core process, which acknowledges it and
// is ended right after that.
func playDeparture(s *stage, end func(*process)) (bool, error) {
	if err := s.startSystem(); err != nil {
		return false, err
	}
	var leaving *server
	for i := 1; i <= 3; i++ {
		v, err := s.startServer(fmt.Sprintf("i-%d", i), fmt.Sprintf("zone-%d", i))
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
	if len(leaving.runsSince(s.startedAt)) == 0 {
		return false, fmt.Errorf("the server ran nothing before it left")
	}
	core := s.of("core")[1]
	leaving.mu.Lock()
	leaving.quiet = true
	leaving.mu.Unlock()
	s.note("server %s announces its departure to %s", leaving.id, core.name)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	status, err := s.control(ctx, core, http.MethodDelete, s.names["replicas_path"]+leaving.id, nil)
	ackedAt := time.Now()
	cancel()
	if err != nil {
		return false, err
	}
	if status != http.StatusOK {
		return false, fmt.Errorf("the departure was answered with %d", status)
	}
	from := ackedAt.Add(drainTime)
	if s.trouble {
		end(core)
		// The rule holds for machines in touch: contactTime after the last disruption, which is
		// the start of the process that was stopped.
		from = ackedAt.Add(restartDelay + 300*time.Millisecond + contactTime)
	}
	s.note("ACK %s acknowledged the departure of %s", core.name, leaving.id)
	s.sleep(time.Until(ackedAt.Add(drainTime + lingerTime)))
	leaving.exit()
	s.note("EXIT %s exits", leaving.id)
	s.sleep(time.Second)
	late, lost := 0, 0
	for _, r := range leaving.runsSince(from) {
		q := s.request(r.id)
		if q == nil || q.sentAt.Before(from) {
			continue
		}
		late++
		s.mu.Lock()
		if q.kind == "confirm" && q.status != http.StatusOK {
			lost++
		}
		s.mu.Unlock()
	}
	s.note("CHECK %d requests sent more than %.1f s after the ack reached %s; %d of those that may run once were lost at its exit", late, from.Sub(ackedAt).Seconds(), leaving.id, lost)
	return late > 0, nil
}
