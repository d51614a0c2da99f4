//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of the engines, as the config declares them. Before the first request a load takes a
// tenth of its time.
const (
	rejoinTime = 200 * time.Millisecond
	warmTime   = 1100 * time.Millisecond
	loadTime   = 1200 * time.Millisecond
	formTime   = 300 * time.Millisecond
	eventCount = 5
	eventPause = 40 * time.Millisecond
)

// engines holds the stand-ins for model replicas. One lock guards all of them.
type engines struct {
	s    *stage
	mu   sync.Mutex
	byID map[string]*engine
	// late holds the engines that leave the next join orders unanswered and carry them out
	// lateTime later, and lateJoins the number of those orders.
	late      map[string]bool
	lateTime  time.Duration
	lateJoins int
	// twice lists the joins that were taken while the head of the engine's group was open.
	twice []string
}

type engine struct {
	f                         *engines
	id, zone, domain, address string
	born                      int64
	http                      *http.Server
	changed                   chan struct{}
	ended                     bool
	sequence, running         int
	fence, seenEpoch          uint64
	model, staged             string
	group                     string
	epoch                     uint64
	rank                      int
	state                     string
	members                   []string
	// generation counts the orders that replace a pending change.
	generation int
}

func (s *stage) startEngines(perZone int) (*engines, error) {
	f := &engines{s: s, byID: map[string]*engine{}, late: map[string]bool{}, lateTime: 7 * time.Second}
	for z := 1; z <= 3; z++ {
		for i := 1; i <= perZone; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", s.prefix, serverHost))
			if err != nil {
				return nil, err
			}
			e := &engine{f: f, id: fmt.Sprintf("e-%d%02d", z, i), zone: fmt.Sprintf("zone-%d", z), address: l.Addr().String(), born: time.Now().UnixMilli(), changed: make(chan struct{}, 1)}
			e.domain = e.zone + "-d0"
			f.byID[e.id] = e
			mux := http.NewServeMux()
			mux.HandleFunc("POST "+s.names["order_path"], e.handleOrder)
			mux.HandleFunc("GET "+s.names["report_path"], e.handleReport)
			mux.HandleFunc("/", e.handleRequest)
			e.http = &http.Server{Handler: mux}
			go func() { _ = e.http.Serve(l) }()
			go e.beat()
		}
	}
	return f, nil
}

func (f *engines) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.byID {
		e.ended = true
		_ = e.http.Close()
	}
}

// beat sends heartbeats, and one at once after each change.
func (e *engine) beat() {
	for {
		e.f.mu.Lock()
		if e.ended {
			e.f.mu.Unlock()
			return
		}
		e.sequence++
		b := map[string]any{
			"service": "tuner", "address": e.address, "zone": e.zone, "version": "v1", "slots": 26, "state": "ready", e.f.s.names["cold_field"]: 0,
			"born": e.born, "sequence": e.sequence, "stage": "both", "domain": e.domain,
		}
		if e.model != "" {
			b["models"] = []map[string]any{{"name": e.model, "version": 1, "adapters": []string{}}}
		}
		if e.staged != "" {
			b["staged"] = []string{e.staged}
		}
		if e.group != "" {
			b["group"] = map[string]any{"name": e.group, "epoch": e.epoch, "rank": e.rank, "state": e.state}
		}
		e.f.mu.Unlock()
		body, _ := json.Marshal(b)
		cores := e.f.s.of("core")
		first := rand.IntN(len(cores))
		for i := range cores {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			status, err := e.f.s.control(ctx, cores[(first+i)%len(cores)], http.MethodPut, e.f.s.names["replicas_path"]+e.id, body)
			cancel()
			if err == nil && status < 300 {
				break
			}
		}
		select {
		case <-e.f.s.stopping:
			return
		case <-e.changed:
		case <-time.After(beatInterval):
		}
	}
}

func (e *engine) announce() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

type orderFields struct {
	Operation, Group, Model, Mode string
	Epoch, Fence                  uint64
	Members                       []string
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var raw map[string]any
	data, _ := io.ReadAll(r.Body)
	var o orderFields
	if json.Unmarshal(data, &o) != nil || json.Unmarshal(data, &raw) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.Mode, _ = raw[e.f.s.names["close_mode_field"]].(string)
	if expect := r.Header.Get(e.f.s.names["expect"]); expect != "" && expect != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f := e.f
	f.mu.Lock()
	if o.Operation == "join" && f.late[e.id] {
		f.lateJoins++
		f.mu.Unlock()
		f.s.note("DISRUPTION %s leaves the order to join %s (epoch %d, fence %d) unanswered and carries it out %s later", e.id, o.Group, o.Epoch, o.Fence, f.lateTime)
		time.AfterFunc(f.lateTime, func() {
			f.mu.Lock()
			status := e.execute(o)
			f.mu.Unlock()
			f.s.note("LATE %s carries out the order to join %s: %d", e.id, o.Group, status)
			e.announce()
		})
		<-r.Context().Done()
		return
	}
	status := e.execute(o)
	f.mu.Unlock()
	f.s.note("engine %s answers %d to %s %s epoch %d fence %d", e.id, status, o.Operation, o.Group, o.Epoch, o.Fence)
	e.announce()
	w.WriteHeader(status)
}

// execute carries out an order and returns the status of the answer. The caller holds mu.
func (e *engine) execute(o orderFields) int {
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	mine := e.group != "" && e.group == o.Group && e.epoch == o.Epoch
	switch o.Operation {
	case "join":
		return e.join(o, mine)
	case "stage":
		e.after(loadTime, false, func() { e.staged = o.Model })
		return http.StatusAccepted
	case "open":
		switch {
		case !mine || e.rank != 0:
			return http.StatusConflict
		case e.state == "open":
			return http.StatusOK
		case e.state != "ready":
			return http.StatusConflict
		}
		e.after(formTime, true, func() {
			e.state = "open"
			e.f.s.note("engine %s serves as the head of %s (epoch %d)", e.id, e.group, e.epoch)
		})
		return http.StatusAccepted
	case "close":
		switch {
		case !mine:
			return http.StatusConflict
		case e.state != "open" && e.state != "closing":
			e.generation++
			return http.StatusOK
		case o.Mode != "cut" && e.running > 0:
			e.state = "closing"
			return http.StatusAccepted
		}
		e.state = "ready"
		return http.StatusOK
	case "leave":
		if !mine {
			return http.StatusConflict
		}
		e.generation++
		e.group, e.epoch, e.state, e.members = "", 0, "", nil
		return http.StatusOK
	}
	return http.StatusBadRequest
}

func (e *engine) join(o orderFields, mine bool) int {
	switch {
	case o.Epoch < e.seenEpoch, mine && !slices.Equal(o.Members, e.members):
		return http.StatusPreconditionFailed
	case mine:
		return http.StatusOK
	}
	e.checkTwo(o)
	delay := loadTime
	switch {
	case e.model == o.Model:
		delay = rejoinTime
	case e.staged == o.Model:
		delay = warmTime
	}
	e.seenEpoch = o.Epoch
	e.group, e.epoch, e.rank, e.state, e.members = o.Group, o.Epoch, slices.Index(o.Members, e.id), "joining", o.Members
	e.after(delay, true, func() { e.state, e.model, e.staged = "ready", o.Model, o.Model })
	return http.StatusAccepted
}

// checkTwo notes if the engine takes a join of another group while the head of its group is
// open or closing.
func (e *engine) checkTwo(o orderFields) {
	if e.group == "" || len(e.members) == 0 {
		return
	}
	h := e.f.byID[e.members[0]]
	if h == nil || h.group != e.group || h.epoch != e.epoch || h.state != "open" && h.state != "closing" {
		return
	}
	e.f.twice = append(e.f.twice, fmt.Sprintf("%s, a member of %s (epoch %d), whose head %s is %s, takes the join of %s (epoch %d, fence %d)", e.id, e.group, e.epoch, h.id, h.state, o.Group, o.Epoch, o.Fence))
}

// after changes the engine later, unless another order has replaced the change. The caller holds
// mu.
func (e *engine) after(d time.Duration, replaces bool, change func()) {
	if replaces {
		e.generation++
	}
	g := e.generation
	time.AfterFunc(d, func() {
		e.f.mu.Lock()
		defer e.f.mu.Unlock()
		if !e.ended && (!replaces || g == e.generation) {
			change()
			e.announce()
		}
	})
}

func (e *engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "busy": false, "queued": 0, "running": e.running, "pace": 1.0})
}

// handleRequest answers with a stream, if the engine is the head of an open group.
func (e *engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	n, id := e.f.s.names, r.Header.Get(e.f.s.names["request_id"])
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(n["request_id"], id)
	expect := r.Header.Get(n["expect"])
	e.f.mu.Lock()
	serves := e.rank == 0 && (e.state == "open")
	if serves && (expect == "" || expect == e.id) {
		e.running++
	}
	e.f.mu.Unlock()
	if expect != "" && expect != e.id || !serves {
		w.Header().Set(n["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.f.mu.Lock()
		defer e.f.mu.Unlock()
		if e.running--; e.running == 0 && e.state == "closing" {
			e.state = "ready"
			e.announce()
		}
	}()
	w.Header().Set(n["signature"], "sig."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	for i := first + 1; i <= eventCount; i++ {
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// groupsIn returns the groups in a zone whose head is in a state, as their members by name.
func (f *engines) groupsIn(zone, state string) map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]string{}
	for _, e := range f.byID {
		if e.zone == zone && e.group != "" && e.rank == 0 && e.state == state && len(e.members) == groupSize {
			out[e.group] = e.members
		}
	}
	return out
}

// awaitGroups waits until a zone has a number of groups in a state.
func (f *engines) awaitGroups(zone, state string, count int, limit time.Duration) error {
	for start := time.Now(); time.Since(start) < limit; {
		if len(f.groupsIn(zone, state)) == count {
			return nil
		}
		if !f.s.sleep(20 * time.Millisecond) {
			break
		}
	}
	return fmt.Errorf("%s has %d groups that are %s, not %d", zone, len(f.groupsIn(zone, state)), state, count)
}
