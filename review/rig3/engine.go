//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the engines, as in the config of the rig.
const (
	engineLoadTime   = 2 * time.Second
	engineWarmTime   = 400 * time.Millisecond
	engineRejoinTime = 200 * time.Millisecond
	engineFormTime   = 300 * time.Millisecond
	eventTime        = 20 * time.Millisecond
	eventsPerAnswer  = 5
)

// engine is a stand-in for a backend server that runs models in groups. It keeps the pages' rules for orders; it never
// fails, and leaves only when it is told to.
type engine struct {
	s       *system
	id      string
	address string
	zone    string
	domain  string
	born    int64
	server  *http.Server
	stop    context.CancelFunc
	changed chan struct{}

	mu        sync.Mutex
	sequence  int
	orders    int
	draining  bool
	staged    []string
	lastModel string
	group     string
	epoch     uint64
	topEpoch  uint64
	fence     uint64
	rank      int
	state     string
	model     string
	members   []string
	running   int
	// early holds what broke the rule about joins: this engine took one while the head of its group was open or closing.
	early []string
	// generation counts the changes of membership: what an earlier one has begun is dropped.
	generation int
}

func (s *system) newEngine(id, address, zone, domain string) (*engine, error) {
	e := &engine{s: s, id: id, address: address, zone: zone, domain: domain, born: time.Now().UnixMilli(), changed: make(chan struct{}, 1)}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.beat(ctx)
	s.onEnd(e.end)
	s.log("engine %s starts", id)
	return e, nil
}

// end ends the engine at once.
func (e *engine) end() {
	e.stop()
	_ = e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish("")
}

// retire reports that the engine drains, serves on until its requests have ended, says that it leaves and ends.
func (e *engine) retire() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.s.log("engine %s drains", e.id)
	e.notify()
	time.AfterFunc(drainTime+time.Second, func() {
		waitFor(8*time.Second, func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.running == 0
		})
		e.stop()
		body := []byte(strings.ReplaceAll(e.s.words["departure"], "BORN", strconv.FormatInt(e.born, 10)))
		e.s.call(http.MethodDelete, e.s.cores[0].control(), e.s.words["servers_path"]+e.id, body, time.Second)
		e.s.log("engine %s has left", e.id)
		e.end()
	})
}

func (e *engine) notify() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *engine) heartbeat() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	state, models, group := "ready", "[]", "null"
	if e.draining {
		state = "draining"
	}
	if e.lastModel != "" {
		models = fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[]}]`, e.lastModel)
	}
	if e.group != "" {
		group = fmt.Sprintf(`{"name":%q,"epoch":%d,"rank":%d,"state":%q}`, e.group, e.epoch, e.rank, e.state)
	}
	staged, err := json.Marshal(append([]string{}, e.staged...))
	if err != nil {
		staged = []byte("[]")
	}
	return []byte(strings.NewReplacer("ADDRESS", e.address, "ZONE", e.zone, "STATE", state, "MODELS", models, "DOMAIN", e.domain, "STAGED", string(staged),
		"GROUP", group, "SEQUENCE", strconv.Itoa(e.sequence), "BORN", strconv.FormatInt(e.born, 10)).Replace(e.s.words["engine_heartbeat"]))
}

func (e *engine) beat(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		body := e.heartbeat()
		for try := range e.s.cores {
			c := e.s.cores[(n+try)%len(e.s.cores)]
			if status, _ := e.s.call(http.MethodPut, c.control(), e.s.words["servers_path"]+e.id, body, time.Second); status == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-e.changed:
		case <-time.After(heartbeatTime):
		}
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	words := e.s.words
	if want := r.Header.Get(words["expected_server"]); want != "" && want != e.id {
		w.Header().Set(words["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case words["order_path"]:
		data, err := io.ReadAll(r.Body)
		var o map[string]any
		if err != nil || json.Unmarshal(data, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status := e.order(o)
		e.s.log("engine %s: order %s: %d", e.id, data, status)
		w.WriteHeader(status)
	case words["report_path"]:
		e.mu.Lock()
		defer e.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"sequence":%d,"queued":0,"running":%d,"kvUsed":0,"kvTotal":1590000,"handles":0,"pace":1.0}`, e.orders, e.running)
	default:
		e.answer(w, r)
	}
}

// answer sends a stream of events, if the engine is the head of an open group of the model that the request names.
func (e *engine) answer(w http.ResponseWriter, r *http.Request) {
	words := e.s.words
	id := r.Header.Get(words["request_id"])
	h := w.Header()
	h.Set(words["request_id"], id)
	e.mu.Lock()
	serves := e.rank == 0 && e.state == "open" && e.model == r.Header.Get(words["model"])
	if serves {
		e.running++
	}
	group := e.group
	e.mu.Unlock()
	if !serves {
		h.Set(words["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.s.log("engine %s, group %s, runs request %s", e.id, group, id)
	h.Set(words["signature"], e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for n := after + 1; n <= eventsPerAnswer; n++ {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

func number(v any) uint64 {
	f, _ := v.(float64)
	return uint64(f)
}

func text(v any) string {
	t, _ := v.(string)
	return t
}

// order carries out an order and returns the status of its answer.
func (e *engine) order(o map[string]any) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := number(o["fence"])
	if fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = fence
	group, epoch := text(o["group"]), number(o["epoch"])
	isOwn := e.group != "" && group == e.group && epoch == e.epoch
	switch text(o["operation"]) {
	case "join":
		return e.join(o, group, epoch, isOwn)
	case "open":
		switch {
		case !isOwn || e.rank != 0 || e.state != "ready" && e.state != "open":
			return http.StatusConflict
		case e.state == "open":
			return http.StatusOK
		}
		e.later(engineFormTime, func() { e.publish("open") })
		return http.StatusAccepted
	case "close":
		switch {
		case !isOwn:
			return http.StatusConflict
		case e.state != "open" && e.state != "closing":
			return http.StatusOK
		}
		e.publish("closing")
		e.notify()
		e.awaitEnd(e.generation)
		return http.StatusAccepted
	case "leave":
		if !isOwn {
			return http.StatusConflict
		}
		e.generation++
		e.publish("")
		e.group, e.members, e.state, e.rank = "", nil, "", 0
		e.notify()
		return http.StatusOK
	case "stage":
		model := text(o["model"])
		if slices.Contains(e.staged, model) {
			return http.StatusOK
		}
		e.orders++
		time.AfterFunc(engineLoadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.staged = []string{model}
			e.notify()
		})
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

// join replaces the membership. The caller holds mu.
func (e *engine) join(o map[string]any, group string, epoch uint64, isOwn bool) int {
	var members []string
	list, _ := o["members"].([]any)
	for _, m := range list {
		members = append(members, text(m))
	}
	switch {
	case epoch < e.topEpoch || isOwn && !slices.Equal(members, e.members):
		return http.StatusPreconditionFailed
	case isOwn:
		return http.StatusOK
	}
	model := text(o["model"])
	wait := engineLoadTime
	switch {
	case e.lastModel == model:
		wait = engineRejoinTime
	case slices.Contains(e.staged, model):
		wait = engineWarmTime
	}
	if e.group != "" && e.s.isServing(e.group, e.epoch) {
		e.early = append(e.early, fmt.Sprintf("%s took a join of group %s while the head of its group %s served", e.id, group, e.group))
		e.s.log("engine %s", e.early[len(e.early)-1])
	}
	e.generation++
	e.orders++
	e.publish("")
	e.group, e.epoch, e.topEpoch, e.members, e.model = group, epoch, epoch, members, model
	e.rank, e.state = slices.Index(members, e.id), "joining"
	e.later(wait, func() { e.state, e.lastModel, e.staged = "ready", model, []string{model} })
	e.notify()
	return http.StatusAccepted
}

// publish sets the state, and tells the other engines whether this one serves as the head of its group. The caller holds mu.
func (e *engine) publish(state string) {
	e.state = state
	if e.group == "" || e.rank != 0 {
		return
	}
	e.s.groupsMu.Lock()
	defer e.s.groupsMu.Unlock()
	if e.s.serving == nil {
		e.s.serving = map[string]bool{}
	}
	e.s.serving[fmt.Sprintf("%s %d", e.group, e.epoch)] = state == "open" || state == "closing"
}

// isServing reports whether the head of a group is open or closing.
func (s *system) isServing(group string, epoch uint64) bool {
	s.groupsMu.Lock()
	defer s.groupsMu.Unlock()
	return s.serving[fmt.Sprintf("%s %d", group, epoch)]
}

// later changes the state after a time, unless the membership has changed by then. The caller holds mu.
func (e *engine) later(d time.Duration, change func()) {
	generation := e.generation
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.generation == generation {
			change()
			e.notify()
		}
	})
}

// awaitEnd makes a closing group ready once its requests have ended. The caller holds mu.
func (e *engine) awaitEnd(generation int) {
	go waitFor(10*time.Second, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.generation != generation || e.state != "closing" {
			return true
		}
		if e.running > 0 {
			return false
		}
		e.publish("ready")
		e.notify()
		return true
	})
}
