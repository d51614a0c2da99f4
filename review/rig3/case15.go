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

func init() { plays["15"] = lateHeartbeat }

// lateHeartbeat plays a backend server that crashes, starts again under its id and is taken away at once. The only heartbeat of
// its new life arrives seconds late, after its departure was acknowledged.
func lateHeartbeat(s *system, trouble bool) (string, error) {
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

	first := backends[0]
	first.crash()
	s.log("server %s crashes", first.id)
	time.Sleep(2 * time.Second)

	second := s.newBackend(first.id, first.address, first.zone)
	var mu sync.Mutex
	ranAt := map[string]time.Time{}
	second.onRun = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		ranAt[id] = time.Now()
	}
	if err := second.listen(); err != nil {
		return "", err
	}
	path := s.words["servers_path"] + second.id
	beat := second.heartbeat()
	sendBeat := func() {
		status, _ := s.call(http.MethodPut, s.cores[0].control(), path, beat, 5*time.Second)
		s.log("the first heartbeat of the new life of %s is answered: %d", second.id, status)
	}
	if !trouble {
		sendBeat()
	}
	time.Sleep(500 * time.Millisecond)
	departure := []byte(strings.ReplaceAll(s.words["departure"], "BORN", strconv.FormatInt(second.born, 10)))
	status, _ := s.call(http.MethodDelete, s.cores[1].control(), path, departure, time.Second)
	acknowledgedAt := time.Now()
	s.log("the departure of %s is answered: %d", second.id, status)
	if status != http.StatusOK {
		return "", fmt.Errorf("the departure was answered with %d", status)
	}
	if trouble {
		time.Sleep(1500 * time.Millisecond)
		// It was sent 2 s ago, and held up on its way.
		sendBeat()
	}
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
	s.log("requests that ran at %s in its new life: %d, of these sent later than %s after the acknowledgement: %d", second.id, len(ranAt), drainTime, late)
	if late > 0 {
		return fmt.Sprintf("%d requests reached %s though they were sent more than %s after its departure was acknowledged, the last one %.1f s after", late, second.id, drainTime, longestAfter.Seconds()), nil
	}
	return "", nil
}
