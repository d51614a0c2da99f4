//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { plays["12"] = oddHeartbeat }

// oddHeartbeat plays one heartbeat of another writer, in which fields are missing, with an id of its own and the address of an
// engine that is the head of an open group.
func oddHeartbeat(s *system, trouble bool) (string, error) {
	const key = "ordinary-key-1"
	const engines = 9
	if err := s.startAll(); err != nil {
		return "", err
	}
	config := []byte(strings.ReplaceAll(s.words["engine_config"], "VERSION", "1"))
	if !waitFor(15*time.Second, func() bool {
		status, _ := s.call(http.MethodPut, s.cores[0].control(), s.words["config_path"], config, time.Second)
		return status == http.StatusOK
	}) {
		return "", errors.New("the config was not acknowledged")
	}
	var all []*engine
	for i := range engines {
		e, err := s.newEngine(fmt.Sprintf("i-%d", i+1), s.address(7, s.callersPort+100+i), "z1", "d1")
		if err != nil {
			return "", err
		}
		all = append(all, e)
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	for _, model := range []string{"ma", "mb"} {
		a := &asker{s: s, model: model, key: key, tokens: "1000,80"}
		a.run(200 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	var head *engine
	for _, e := range all {
		e.mu.Lock()
		if e.rank == 0 && e.state == "open" && head == nil {
			head = e
		}
		e.mu.Unlock()
	}
	if head == nil {
		return "", errors.New("no group is open")
	}
	s.log("engine %s is the head of group %s", head.id, head.group)
	if trouble {
		body := []byte(strings.NewReplacer("ADDRESS", head.address, "ZONE", head.zone, "BORN", strconv.FormatInt(time.Now().UnixMilli(), 10)).Replace(s.words["odd_heartbeat"]))
		status, _ := s.call(http.MethodPut, s.cores[0].control(), s.words["servers_path"]+"x-1", body, time.Second)
		s.log("the heartbeat %s of x-1 is answered: %d", body, status)
	}
	time.Sleep(15 * time.Second)
	var broken []string
	for _, e := range all {
		e.mu.Lock()
		broken = append(broken, e.early...)
		e.mu.Unlock()
	}
	return strings.Join(broken, "; "), nil
}
