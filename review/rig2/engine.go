//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the engines. Loads before the first request take a tenth.
const (
	loadTime = 1200 * time.Millisecond
	warmTime = 1100 * time.Millisecond
	joinTime = 200 * time.Millisecond
	formTime = 300 * time.Millisecond
	// brokenAfter is how long a group without all its members stands still until it is broken.
	brokenAfter = 6 * time.Second
	// eventTime is the time between two events of a stream.
	eventTime = 40 * time.Millisecond
)

// States of a member of a group.
const (
	stateJoining = "joining"
	stateReady   = "ready"
	stateOpen    = "open"
	stateBroken  = "broken"
)

// engines are all model replicas. mu guards their state.
type engines struct {
	rig *rig
	mu  sync.Mutex
	all map[string]*engine
	// twice holds what broke the rule TWO.
	twice []string
}

// engine is a stand-in for a sound model replica.
type engine struct {
	of            *engines
	id, address   string
	zone          string
	born          int64
	beats         int
	fence, epoch  uint64
	sequence      int
	group, state  string
	rank          int
	model, staged string
	members       []string
	// change is the number of the last change that an order has begun.
	change int
	now    chan struct{}
	// began counts the streams that have begun here, and running those that run.
	began, running int
}

func (es *engines) start(n, zone int) (*engine, error) {
	e := &engine{
		of: es, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: es.rig.address(es.rig.ip(n), es.rig.ports.server), zone: fmt.Sprintf("zone-%d", zone),
		born: time.Now().UnixMilli(), now: make(chan struct{}, 1),
	}
	es.mu.Lock()
	es.all[e.id] = e
	es.mu.Unlock()
	if err := e.listen(); err != nil {
		return nil, err
	}
	go func() {
		for {
			e.beat()
			select {
			case <-e.now:
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	es.rig.log("engine %s starts at %s", e.id, e.address)
	return e, nil
}

func (e *engine) listen() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(names["order_path"], e.handleOrder)
	mux.HandleFunc(names["report_path"], func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"pace":1.0}`) })
	mux.HandleFunc("/", e.handleRequest)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (e *engine) announce() {
	select {
	case e.now <- struct{}{}:
	default:
	}
}

func (e *engine) beat() {
	e.of.mu.Lock()
	e.beats++
	list := func(s string) string {
		if s == "" {
			return "[]"
		}
		return strconv.Quote(s)
	}
	staged, models, group := "[]", "[]", "null"
	if e.staged != "" {
		staged = "[" + list(e.staged) + "]"
	}
	if e.model != "" {
		models = `[{"name":` + list(e.model) + `,"version":1,"adapters":[]}]`
	}
	if e.group != "" {
		group = fmt.Sprintf(`{"name":%q,"epoch":%d,"rank":%d,"state":%q}`, e.group, e.epoch, e.rank, e.state)
	}
	body := strings.NewReplacer("ADDRESS", e.address, "ZONE", e.zone, "BORN", strconv.FormatInt(e.born, 10), "SEQUENCE", strconv.Itoa(e.beats),
		"STAGED", staged, "MODELS", models, "GROUP", group).Replace(names["engine_heartbeat"])
	e.of.mu.Unlock()
	for _, address := range e.of.rig.shuffledControls() {
		if status, _, err := call(http.MethodPut, address, names["replicas_path"]+e.id, body, time.Second); err == nil && status/100 == 2 {
			return
		}
	}
}

// order is an order to an engine.
type order struct {
	Operation, Group, Model string
	Epoch, Fence            uint64
	Members                 []string
}

func (e *engine) handleOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if expected := req.Header.Get(names["expected"]); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.of.mu.Lock()
	status := e.obey(o)
	e.of.mu.Unlock()
	e.of.rig.log("engine %s: %s %s epoch %d members %v: %d", e.id, o.Operation, o.Group, o.Epoch, o.Members, status)
	e.announce()
	w.WriteHeader(status)
}

// later makes a change after a time unless another order has begun one since. The caller holds mu.
func (e *engine) later(d time.Duration, change func()) {
	e.change++
	n := e.change
	time.AfterFunc(d, func() {
		e.of.mu.Lock()
		if n == e.change {
			change()
		}
		e.of.mu.Unlock()
		e.announce()
	})
}

// obey carries out an order, and returns the status of the response. The caller holds mu.
func (e *engine) obey(o order) int {
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	isCurrent := e.group == o.Group && e.epoch == o.Epoch
	switch o.Operation {
	case "stage":
		time.AfterFunc(loadTime, func() {
			e.of.mu.Lock()
			e.staged = o.Model
			e.of.mu.Unlock()
			e.announce()
		})
		return http.StatusAccepted
	case "join":
		return e.join(o, isCurrent)
	case "open":
		switch {
		case !isCurrent || e.rank != 0:
			return http.StatusConflict
		case e.state == stateOpen:
			return http.StatusOK
		case e.state != stateReady:
			return http.StatusConflict
		}
		e.sequence++
		e.later(formTime, func() { e.state = stateOpen })
		return http.StatusAccepted
	case "close":
		if !isCurrent {
			return http.StatusConflict
		}
		e.sequence++
		e.change++
		if e.state == stateOpen {
			e.state = stateReady
		}
		return http.StatusOK
	case "leave":
		if !isCurrent {
			return http.StatusConflict
		}
		e.sequence++
		e.change++
		e.group, e.state, e.members = "", "", nil
		return http.StatusOK
	}
	return http.StatusBadRequest
}

func (e *engine) join(o order, isCurrent bool) int {
	switch {
	case o.Epoch < e.epoch || isCurrent && !slices.Equal(o.Members, e.members):
		return http.StatusPreconditionFailed
	case isCurrent:
		return http.StatusOK
	}
	if len(e.members) > 0 && e.members[0] != e.id {
		if head := e.of.all[e.members[0]]; head.group == e.group && head.epoch == e.epoch && head.state == stateOpen {
			text := fmt.Sprintf("%s takes a join of %s while the head %s of its group %s is open and runs %d streams", e.id, o.Group, head.id, e.group, head.running)
			e.of.twice = append(e.of.twice, text)
			e.of.rig.log("TWO: %s", text)
		}
	}
	d := loadTime
	switch o.Model {
	case e.model:
		d = joinTime
	case e.staged:
		d = warmTime
	}
	e.sequence++
	e.group, e.epoch, e.rank, e.state = o.Group, o.Epoch, slices.Index(o.Members, e.id), stateJoining
	e.members = o.Members
	e.later(d, func() {
		e.state, e.model, e.staged = stateReady, o.Model, o.Model
	})
	return http.StatusAccepted
}

// isWhole reports whether all members are in the group. The caller holds mu.
func (e *engine) isWhole() bool {
	for _, id := range e.members {
		if m := e.of.all[id]; m.group != e.group || m.epoch != e.epoch {
			return false
		}
	}
	return true
}

// handleRequest writes a stream of 25 events. It stands still while the group isn't whole.
func (e *engine) handleRequest(w http.ResponseWriter, req *http.Request) {
	const events = 25
	_, _ = io.Copy(io.Discard, req.Body)
	h := w.Header()
	id := req.Header.Get(names["request_id"])
	h.Set(names["request_id"], id)
	expected := req.Header.Get(names["expected"])
	e.of.mu.Lock()
	epoch, serves := e.epoch, e.rank == 0 && e.state == stateOpen
	e.of.mu.Unlock()
	if expected != "" && expected != e.id {
		h.Set(names["not_executed"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !serves {
		h.Set(names["not_executed"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.of.mu.Lock()
	e.began++
	e.running++
	e.of.mu.Unlock()
	defer func() {
		e.of.mu.Lock()
		defer e.of.mu.Unlock()
		e.running--
	}()
	e.of.rig.log("engine %s runs %s", e.id, id)
	h.Set(names["signature"], e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= events; i++ {
		for stood := time.Duration(0); ; stood += 10 * time.Millisecond {
			e.of.mu.Lock()
			whole, current := e.isWhole(), e.epoch == epoch && e.state == stateOpen
			if !whole && stood >= brokenAfter && e.epoch == epoch {
				e.state = stateBroken
			}
			e.of.mu.Unlock()
			if !current || req.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
			if whole {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventTime)
	}
}

// heads returns the engines that take requests.
func (es *engines) heads() []*engine {
	es.mu.Lock()
	defer es.mu.Unlock()
	var out []*engine
	for _, e := range es.all {
		if e.rank == 0 && e.state == stateOpen {
			out = append(out, e)
		}
	}
	return out
}

func (r *rig) deployEngines(n int) (*deployment, *engines, error) {
	d := &deployment{stop: make(chan struct{})}
	es := &engines{rig: r, all: map[string]*engine{}}
	for n := 1; n <= 3; n++ {
		r.controls = append(r.controls, r.address(r.ip(n), r.ports.control))
	}
	for n := 1; n <= 3; n++ {
		v, err := r.startNode("core", n, n, true)
		if err != nil {
			return nil, nil, err
		}
		d.cores = append(d.cores, v)
	}
	for n := 11; n <= 12; n++ {
		v, err := r.startNode("front", n, n-10, true)
		if err != nil {
			return nil, nil, err
		}
		d.fronts = append(d.fronts, v)
	}
	for i := range n {
		if _, err := es.start(21+i, 1); err != nil {
			return nil, nil, err
		}
	}
	return d, es, nil
}

// runForeign lets another writer announce a service that no config names, at the address of a head.
func runForeign(r *rig) int {
	d, es, err := r.deployEngines(5)
	body := strings.NewReplacer("VERSION", "1", "HOST", host, "KEY", callerKey).Replace(names["engine_config"])
	if err != nil || !r.order(http.MethodPut, names["config_path"], body, 10*time.Second) {
		r.log("cannot run: %v", err)
		return statusNotRun
	}
	for end := time.Now().Add(25 * time.Second); len(es.heads()) < 2; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			r.log("no two groups serve")
			return statusNotRun
		}
	}
	r.log("two groups serve")
	d.callers = r.startStreams(d.fronts, 100*time.Millisecond, d.stop)
	time.Sleep(5 * time.Second)
	h := es.heads()[0]
	r.log("the head %s of group %s is at %s", h.id, h.group, h.address)
	if r.trouble {
		text := strings.NewReplacer("ADDRESS", h.address, "BORN", strconv.FormatInt(time.Now().UnixMilli(), 10)).Replace(names["foreign_heartbeat"])
		list := r.knownControls()
		status, _, err := call(http.MethodPut, list[0], names["replicas_path"]+"exporter-1", text, time.Second)
		r.log("another writer says %s: %d %v", text, status, err)
	}
	time.Sleep(time.Second)
	es.mu.Lock()
	began := h.began
	es.mu.Unlock()
	time.Sleep(14 * time.Second)
	es.mu.Lock()
	r.log("streams that began at the head %s later than 1 s after that: %d; its group is whole: %v, its state %s", h.id, h.began-began, h.isWhole(), h.state)
	es.mu.Unlock()
	close(d.stop)
	time.Sleep(9 * time.Second)
	r.log("streams by status (0: broken off): %v", d.callers.count(0))
	es.mu.Lock()
	defer es.mu.Unlock()
	if len(es.twice) > 0 {
		return statusBroken
	}
	return statusHeld
}

func (r *rig) startStreams(fronts []*node, interval time.Duration, stop chan struct{}) *callers {
	c := &callers{}
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			go c.sendWith(r, fronts[i%len(fronts)], "/chat/1", 8*time.Second, map[string]string{
				names["model"]: "model-a", names["tokens"]: "1000,125", names["parts"]: fmt.Sprintf("5c1e07a2:800,%08x:200", rand.Uint32()),
			})
		}
	}()
	return c
}
