//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { plays["14"] = largeNumbers }

// largeNumbers plays a client that names a very large number of tokens in requests for one model, while the engines are
// replaced one after the other. All other callers ask for the other model.
func largeNumbers(s *system, trouble bool) (string, error) {
	const key, badKey = "ordinary-key-1", "other-key-2"
	const engines = 8
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
	var old []*engine
	for i := range engines {
		e, err := s.newEngine(fmt.Sprintf("i-%d", i+1), s.address(7, s.callersPort+100+i), "z1", "d1")
		if err != nil {
			return "", err
		}
		old = append(old, e)
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	askers := map[string]*asker{}
	for _, model := range []string{"ma", "mb"} {
		a := &asker{s: s, model: model, key: key, tokens: "1000,80"}
		askers[model] = a
		a.run(200 * time.Millisecond)
	}
	calm := time.Now()
	time.Sleep(4 * time.Second)
	for model, a := range askers {
		if all, good := a.count(calm, time.Now().Add(-time.Second)); good == 0 {
			return "", fmt.Errorf("in calm %s has %d answers to %d requests", model, good, all)
		}
	}
	if trouble {
		bad := &asker{s: s, model: "mb", key: badKey, tokens: "1000000000,80"}
		bad.run(time.Second)
	}
	time.Sleep(6 * time.Second)
	for i, e := range old {
		if _, err := s.newEngine(fmt.Sprintf("n-%d", i+1), s.address(8, s.callersPort+100+i), "z1", "d1"); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
		e.retire()
		time.Sleep(3 * time.Second)
	}
	time.Sleep(15 * time.Second)
	from := time.Now()
	time.Sleep(10 * time.Second)
	var broken []string
	for _, model := range []string{"ma", "mb"} {
		all, good := askers[model].count(from, time.Now().Add(-time.Second))
		s.log("ordinary callers of %s, 15 to 24 s after the last replacement: %d requests, %d answered with success", model, all, good)
		if good == 0 {
			broken = append(broken, fmt.Sprintf("ordinary callers of %s got no answer to %d requests", model, all))
		}
	}
	return strings.Join(broken, "; "), nil
}

// asker sends requests for a model to the fronts in turn.
type asker struct {
	s      *system
	model  string
	key    string
	tokens string
	caller
}

func (a *asker) run(interval time.Duration) {
	client := &http.Client{Timeout: 8 * time.Second}
	go func() {
		for n := 0; ; n++ {
			go a.send(client, fmt.Sprintf("%s-%s-%d", a.model, a.key, n), a.s.fronts[n%len(a.s.fronts)])
			time.Sleep(interval)
		}
	}()
}

func (a *asker) send(client *http.Client, id string, to *process) {
	words := a.s.words
	r, err := http.NewRequest(http.MethodPost, "http://"+to.callers()+"/ask/x", strings.NewReader("ask "+id))
	if err != nil {
		return
	}
	r.Host = "llm.example"
	r.Header.Set(words["request_id"], id)
	r.Header.Set(words["key"], a.key)
	r.Header.Set(words["deadline"], "8000")
	r.Header.Set(words["model"], a.model)
	r.Header.Set(words["token_count"], a.tokens)
	r.Header.Set(words["prompt"], "5c1e07a2:40,"+fmt.Sprintf("%x", id)+":960")
	sentAt := time.Now()
	status, reason := 0, ""
	if resp, err := client.Do(r); err == nil {
		data, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, reason = resp.StatusCode, strings.TrimSpace(string(data))
		if readErr != nil || status == http.StatusOK && !strings.Contains(reason, fmt.Sprintf("id: %d\n", eventsPerAnswer)) {
			status = 0
		}
	}
	if status != http.StatusOK {
		a.s.log("caller of %s has %s answered: %d %s", a.model, id, status, reason)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, answer{id, sentAt, status})
}
