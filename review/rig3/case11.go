//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["11"] = manyModels }

// manyModels plays a client of a team that names another model in each request.
func manyModels(s *system, trouble bool) (string, error) {
	const key = "ordinary-key-1"
	const badKey = "other-key-2"
	if err := s.startAll(); err != nil {
		return "", err
	}
	if _, err := s.publish(15*time.Second, s.cores, 1, key, badKey); err != nil {
		return "", err
	}
	for i := range 3 {
		b := s.newBackend(fmt.Sprintf("i-%d", i+1), s.address(7+i, s.callersPort), fmt.Sprintf("z%d", i+1))
		if err := b.listen(); err != nil {
			return "", err
		}
		b.beat()
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	var callers []*caller
	for i, f := range s.fronts {
		c := s.newCaller(fmt.Sprintf("c%d", i+1), f, "/read/x", key)
		c.run(100 * time.Millisecond)
		callers = append(callers, c)
	}
	calm := time.Now()
	time.Sleep(5 * time.Second)
	if err := enough(callers, calm, time.Now().Add(-time.Second), 0.9); err != nil {
		return "", fmt.Errorf("in calm: %w", err)
	}
	if trouble {
		s.nameModels(time.Now().Add(40*time.Second), s.fronts[0], badKey)
		s.log("the client that names models has stopped")
	} else {
		time.Sleep(40 * time.Second)
	}
	time.Sleep(10 * time.Second)
	after := time.Now()
	time.Sleep(10 * time.Second)
	var broken []string
	for _, p := range append(append([]*process{}, s.cores...), s.fronts...) {
		most := coreMemoryMB
		if p.role == "front" {
			most = frontMemoryMB
		}
		s.log("%s: peak memory %d MiB of %d, runs: %v", p.name, p.peakMemoryMB(), most, p.runs())
		switch {
		case !p.runs():
			broken = append(broken, p.name+" has ended")
		case p.peakMemoryMB() > most:
			broken = append(broken, fmt.Sprintf("%s has used %d MiB of %d", p.name, p.peakMemoryMB(), most))
		}
	}
	for _, c := range callers {
		all, good := c.count(after, after.Add(5*time.Second))
		s.log("caller %s, 10 to 15 s after the client has stopped: %d requests, %d answered with success", c.name, all, good)
		if good == 0 {
			broken = append(broken, fmt.Sprintf("%s got no answer to %d requests", c.name, all))
		}
	}
	return strings.Join(broken, "; "), nil
}

// enough returns an error unless a share of the requests of each caller were answered with success.
func enough(callers []*caller, from, to time.Time, share float64) error {
	for _, c := range callers {
		all, good := c.count(from, to)
		c.s.log("caller %s: %d requests, %d answered with success", c.name, all, good)
		if all == 0 || float64(good) < share*float64(all) {
			return fmt.Errorf("%s got %d answers to %d requests", c.name, good, all)
		}
	}
	return nil
}

// nameModels sends requests, each with another model, over kept connections. Each is well inside the limits of the config.
func (s *system) nameModels(until time.Time, to *process, key string) {
	const nameBytes = 12000
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := range 8 {
		wg.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for i := 0; time.Now().Before(until); i++ {
				r, err := http.NewRequest(http.MethodGet, "http://"+to.callers()+"/read/y", nil)
				if err != nil {
					return
				}
				r.Host = "desk.example"
				r.Header.Set(s.words["request_id"], fmt.Sprintf("bad-%d-%d", n, i))
				r.Header.Set(s.words["key"], key)
				r.Header.Set(s.words["deadline"], "2000")
				r.Header.Set(s.words["model"], fmt.Sprintf("m-%d-%d-%s", n, i, strings.Repeat("x", nameBytes)))
				status := 0
				if resp, err := client.Do(r); err == nil {
					status = resp.StatusCode
					_ = resp.Body.Close()
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	s.log("requests with a model of their own, by status: %v", statuses)
}
