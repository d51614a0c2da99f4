//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { plays["15"] = coreRestart }

// coreRestart plays a backend server whose departure is acknowledged. Then all core processes are killed and start again
// within a second, and a heartbeat that the server sent before it left arrives seconds late.
func coreRestart(s *system, trouble bool) (string, error) {
	const key = "ordinary-key-1"
	if err := s.startAll(); err != nil {
		return "", err
	}
	if _, err := s.publish(15*time.Second, s.cores, 1, key); err != nil {
		return "", err
	}
	var backends []*backend
	for i := range 3 {
		b := s.newBackend(fmt.Sprintf("i-%d", i+1), s.address(7+i, s.callersPort), fmt.Sprintf("z%d", i+1))
		if err := b.listen(); err != nil {
			return "", err
		}
		b.beat()
		backends = append(backends, b)
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	var callers []*caller
	for i, f := range s.fronts {
		c := s.newCaller(fmt.Sprintf("c%d", i+1), f, "/read/x", key)
		c.run(50 * time.Millisecond)
		callers = append(callers, c)
	}
	time.Sleep(2 * time.Second)

	leaver := backends[0]
	var mu sync.Mutex
	ranAt := map[string]time.Time{}
	leaver.onRun = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		ranAt[id] = time.Now()
	}
	leaver.stopBeat()
	path := s.words["servers_path"] + leaver.id
	beat := leaver.heartbeat()
	s.log("server %s sends its last heartbeat, which is held up on its way", leaver.id)
	departure := []byte(strings.ReplaceAll(s.words["departure"], "BORN", strconv.FormatInt(leaver.born, 10)))
	status, _ := s.call(http.MethodDelete, s.cores[1].control(), path, departure, time.Second)
	acknowledgedAt := time.Now()
	s.log("the departure of %s is answered: %d", leaver.id, status)
	if status != http.StatusOK {
		return "", fmt.Errorf("the departure was answered with %d", status)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, c := range s.cores {
			c.kill()
			s.log("%s is killed", c.name)
		}
		time.Sleep(500 * time.Millisecond)
		for _, c := range s.cores {
			if err := c.start(false); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(time.Until(acknowledgedAt.Add(6 * time.Second)))
	status, _ = s.call(http.MethodPut, s.cores[0].control(), path, beat, time.Second)
	s.log("the late heartbeat of %s arrives, and is answered: %d", leaver.id, status)
	time.Sleep(6 * time.Second)
	for _, c := range callers {
		c.halt()
	}
	mu.Lock()
	defer mu.Unlock()
	late, longestAfter := 0, time.Duration(0)
	for id := range ranAt {
		for _, c := range callers {
			if sentAt, ok := c.sent(id); ok && sentAt.Sub(acknowledgedAt) > drainTime {
				late++
				longestAfter = max(longestAfter, sentAt.Sub(acknowledgedAt))
			}
		}
	}
	s.log("requests that ran at %s since it sent its departure: %d, of these sent later than %s after the acknowledgement: %d", leaver.id, len(ranAt), drainTime, late)
	if late > 0 {
		return fmt.Sprintf("%d requests reached %s though they were sent more than %s after its departure was acknowledged, the last one %.1f s after", late, leaver.id, drainTime, longestAfter.Seconds()), nil
	}
	return "", nil
}
