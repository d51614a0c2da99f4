//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["evacuation"] = playEvacuation }

// rounds is how often the case is tried in one play.
const rounds = 7

// frozenTime is how long a machine of the core stands still.
const frozenTime = 4 * time.Second

// playEvacuation: the operator takes a zone back. The core process that it asks first stands
// still, so after a second it asks another one, which acknowledges. Then it empties the zone
// again, and that is acknowledged too. When the first one wakes, it carries out the old order.
func playEvacuation(s *stage) (bool, error) {
	if err := s.startSystem(); err != nil {
		return false, err
	}
	var emptied *server
	for i := 1; i <= 3; i++ {
		v, err := s.startServer(fmt.Sprintf("i-%d", i), fmt.Sprintf("zone-%d", i))
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
	go s.callers(60)
	s.sleep(contactTime)
	path := s.names["evacuate_path"] + emptied.zone
	broken := 0
	for i := 1; i <= rounds && time.Since(s.startedAt) < 92*time.Second; i++ {
		n, err := s.emptyTwice(path, emptied)
		if err != nil {
			return false, err
		}
		s.note("ROUND %d: %d requests sent later than %s after the ack reached the zone", i, n, evacuateTime)
		if n > 0 {
			broken++
			break
		}
		if _, err := s.order(http.MethodDelete, path, nil, s.of("core")...); err != nil {
			return false, err
		}
		s.sleep(time.Second)
	}
	return broken > 0, nil
}

func (s *stage) emptyTwice(path string, emptied *server) (int, error) {
	cores := s.of("core")
	if _, err := s.order(http.MethodPost, path, nil, cores...); err != nil {
		return 0, err
	}
	s.sleep(contactTime)
	first, others, err := s.splitCore()
	if err != nil {
		return 0, err
	}
	order := append([]*process{first}, others...)
	if s.trouble {
		_ = first.cmd.Process.Signal(syscall.SIGSTOP)
		s.note("DISRUPTION %s stands still for %s", first.name, frozenTime)
		p := first
		time.AfterFunc(frozenTime, func() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			s.note("DISRUPTION %s wakes", p.name)
		})
	}
	if _, err := s.order(http.MethodDelete, path, nil, order...); err != nil {
		return 0, err
	}
	s.sleep(2 * time.Second)
	ackedAt, err := s.order(http.MethodPost, path, nil, others...)
	if err != nil {
		return 0, err
	}
	s.note("ACK the evacuation of %s", emptied.zone)
	from := ackedAt.Add(evacuateTime)
	s.sleep(time.Until(from.Add(1500 * time.Millisecond)))
	n := 0
	for _, r := range emptied.runsSince(from) {
		if q := s.request(r.id); q != nil && q.sentAt.After(from) {
			n++
		}
	}
	return n, nil
}

// splitCore returns a core process that doesn't lead, and the others.
func (s *stage) splitCore() (*process, []*process, error) {
	leader, others, err := s.findLeader()
	if err != nil {
		return nil, nil, err
	}
	return others[0], []*process{others[1], leader}, nil
}

// leads reports whether a core process holds the placement authority.
func (s *stage) leads(p *process) (bool, error) {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/dump", p.ip, portMetrics))
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	var dump struct{ Leads bool }
	err = json.NewDecoder(resp.Body).Decode(&dump)
	return dump.Leads, err
}
