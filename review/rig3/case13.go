//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { plays["13"] = staleLeader }

// staleLeader plays losses that overlap: the leader stands still, the two others elect another one and accept a config, then
// one of them loses its disk and the other one stands still, and the former leader runs again. It does so up to four times,
// since it depends on the moment how long the former leader goes on.
func staleLeader(s *system, trouble bool) (string, error) {
	const key = "ordinary-key-1"
	const rounds = 4
	s.withPeerProxies = true
	if err := s.startAll(); err != nil {
		return "", err
	}
	if _, err := s.publish(15*time.Second, s.cores, 1, key); err != nil {
		return "", err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	for round := range rounds {
		time.Sleep(5 * time.Second)
		broken, err := s.overlapLosses(round+2, key, trouble)
		if broken != "" || err != nil {
			return broken, err
		}
	}
	return "", nil
}

// overlapLosses plays one round, in which a version is published.
func (s *system) overlapLosses(version int, key string, trouble bool) (string, error) {
	former := s.leader(s.cores)
	if former == nil {
		return "", errors.New("nobody leads")
	}
	s.log("%s leads", former.name)
	var others []*process
	for _, c := range s.cores {
		if c != former {
			others = append(others, c)
		}
	}
	if trouble {
		former.freeze()
	}
	time.Sleep(2500 * time.Millisecond)
	acknowledgedAt, err := s.publish(15*time.Second, others, version, key)
	if err != nil {
		return "", err
	}
	time.Sleep(configApplyTime)
	asked := s.cores
	if trouble {
		next := s.leader(others)
		if next == nil {
			return "", errors.New("nobody leads the others")
		}
		s.log("%s leads", next.name)
		wiped := others[0]
		if wiped == next {
			wiped = others[1]
		}
		next.freeze()
		wiped.kill()
		s.log("%s loses its disk", wiped.name)
		if err := wiped.wipe(); err != nil {
			return "", err
		}
		if err := wiped.start(false); err != nil {
			return "", err
		}
		time.Sleep(1500 * time.Millisecond)
		former.thaw()
		defer next.thaw()
		asked = []*process{former}
	}
	return s.readOften(asked, 3*time.Second, version, acknowledgedAt), nil
}

// readOften reads the config from core processes for a time, with up to eight reads under way, and reports an answer with an
// older version than the one that was acknowledged.
func (s *system) readOften(from []*process, limit time.Duration, newest int, acknowledgedAt time.Time) string {
	const parallel = 8
	const interval = 60 * time.Millisecond
	var mu sync.Mutex
	var reads sync.WaitGroup
	broken := ""
	older, current, refused := 0, 0, 0
	places := make(chan struct{}, parallel)
	for until, n := time.Now().Add(limit), 0; time.Now().Before(until); n++ {
		places <- struct{}{}
		c := from[n%len(from)]
		reads.Go(func() {
			defer func() { <-places }()
			sentAt := time.Now()
			version, status := s.readVersion(c)
			s.log("operator: config read from %s, sent %.3f s after the acknowledgement: %d, version %d", c.name, sentAt.Sub(acknowledgedAt).Seconds(), status, version)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status != http.StatusOK:
				refused++
			case version >= newest:
				current++
			case sentAt.Sub(acknowledgedAt) > configApplyTime:
				older++
				broken = fmt.Sprintf("%s has answered a read with version %d, sent %.1f s after version %d was acknowledged", c.name, version, sentAt.Sub(acknowledgedAt).Seconds(), newest)
			}
		})
		time.Sleep(interval)
	}
	reads.Wait()
	s.log("reads answered with the newest version: %d, with an older one: %d, refused or not answered: %d", current, older, refused)
	return broken
}
