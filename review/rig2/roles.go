//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a small deployment.
const (
	memoryMB          = 284
	heartbeatInterval = 1200 * time.Millisecond
	// catchUp is how long a VM still counts as lost after it is back or, if it is new, after its start.
	catchUp = 4 * time.Second
	// callTimeout is how long the operator waits for a response before it tries another node.
	callTimeout = time.Second
	// drainTime is how long a server serves after the acknowledgement that it leaves: drainMs and a little longer.
	drainTime = 2200 * time.Millisecond
	callerKey = "k-7f3a91c2d4"
	host      = "desk.example"
)

// call makes one call of the operator or a server to one control address, on a new connection.
func call(method, address, path, body string, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// config returns the operator's config with a version.
func config(version int) string {
	return strings.NewReplacer("VERSION", strconv.Itoa(version), "HOST", host, "KEY", callerKey).Replace(names["config"])
}

// order sends an order of the operator to one node after another until it is acknowledged, and
// reports whether that was before the end of the given time.
func (r *rig) order(method, path, body string, within time.Duration) bool {
	end := time.Now().Add(within)
	backoff := 50 * time.Millisecond
	for time.Now().Before(end) {
		list := r.knownControls()
		address := list[rand.IntN(len(list))]
		status, _, err := call(method, address, path, body, callTimeout)
		r.log("operator: %s %s at %s: %d %v", method, path, address, status, err)
		if err == nil && status/100 == 2 {
			return true
		}
		if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return false
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, 400*time.Millisecond)
	}
	return false
}

// publish sends a config until it is acknowledged.
func (r *rig) publish(version int, within time.Duration) bool {
	ok := r.order(http.MethodPut, names["config_path"], config(version), within)
	r.log("operator: config %d acknowledged: %v", version, ok)
	return ok
}

// readBack asks one node after another for the config, and returns its version, or 0 if none answers
// in time.
func (r *rig) readBack(within time.Duration) int {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		for _, address := range r.knownControls() {
			status, data, err := call(http.MethodGet, address, names["config_path"], "", callTimeout)
			r.log("operator: reads the config at %s: %d %v", address, status, err)
			var c struct{ Version int }
			if err == nil && status == http.StatusOK && json.Unmarshal(data, &c) == nil {
				r.log("operator: the config has version %d", c.Version)
				return c.Version
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return 0
}

// server is a stand-in for a sound replica of a plain service. Its fields but ran are those of the present life.
type server struct {
	rig     *rig
	id      string
	address string
	zone    string
	// controls returns the control addresses in the order in which the server tries them.
	controls func() []string

	mu       sync.Mutex
	born     int64
	sequence int
	ended    chan struct{}
	program  *http.Server
	// acknowledged and unacknowledged count the heartbeats of this life.
	acknowledged, unacknowledged int
	ran                          map[string]int
}

func (r *rig) startServer(n, zone int) (*server, error) {
	s := &server{
		rig: r, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: r.address(r.ip(n), r.ports.server), zone: fmt.Sprintf("zone-%d", zone),
		controls: r.shuffledControls, ran: map[string]int{},
	}
	return s, s.start()
}

func (r *rig) shuffledControls() []string {
	list := r.knownControls()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// start begins a life of the server.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	ended, program := make(chan struct{}), &http.Server{Handler: s}
	s.mu.Lock()
	s.born, s.sequence, s.ended, s.program = time.Now().UnixMilli(), 0, ended, program
	s.acknowledged, s.unacknowledged = 0, 0
	s.rig.log("server %s starts at %s, born %d", s.id, s.address, s.born)
	s.mu.Unlock()
	go func() { _ = program.Serve(l) }()
	go func() {
		for {
			s.beat(ended)
			select {
			case <-ended:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return nil
}

// beat sends one heartbeat, to another node if the first does not acknowledge it.
func (s *server) beat(ended chan struct{}) {
	s.mu.Lock()
	s.sequence++
	body := strings.NewReplacer("ADDRESS", s.address, "ZONE", s.zone, "BORN", strconv.FormatInt(s.born, 10), "SEQUENCE", strconv.Itoa(s.sequence)).Replace(names["heartbeat"])
	s.mu.Unlock()
	done := false
	for _, address := range s.controls() {
		select {
		case <-ended:
			return
		default:
		}
		if status, _, err := call(http.MethodPut, address, names["replicas_path"]+s.id, body, time.Second); err == nil && status/100 == 2 {
			done = true
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if done {
		s.acknowledged++
	} else {
		s.unacknowledged++
	}
}

// leave says that the server leaves, without saying before that it drains, serves for the time that the pages
// ask for after the acknowledgement, and ends.
func (s *server) leave() {
	s.mu.Lock()
	ended, program := s.ended, s.program
	s.mu.Unlock()
	for _, address := range s.controls() {
		status, _, err := call(http.MethodDelete, address, names["replicas_path"]+s.id, "", time.Second)
		s.rig.log("server %s leaves, said to %s: %d %v", s.id, address, status, err)
		if err == nil && status/100 == 2 {
			break
		}
	}
	close(ended)
	time.Sleep(drainTime)
	_ = program.Close()
	s.rig.log("server %s has ended", s.id)
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(names["request_id"])
	h := w.Header()
	h.Set(names["request_id"], id)
	if expected := req.Header.Get(names["expected"]); expected != "" && expected != s.id {
		h.Set(names["not_executed"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.rig.log("server %s has run %s", s.id, id)
	h.Set(names["signature"], s.id+"."+id)
	_, _ = w.Write(bytes.Repeat([]byte("x"), 800))
}

// outcome is how a caller's request ended.
type outcome struct {
	at     time.Duration
	status int
}

// callers sends requests to fronts, each on a new connection, until stop is closed.
type callers struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (r *rig) startCallers(fronts []*node, interval time.Duration, stop chan struct{}) *callers {
	c := &callers{}
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			go c.send(r, fronts[i%len(fronts)])
		}
	}()
	return c
}

func (c *callers) send(r *rig, front *node) { c.sendWith(r, front, "/read/1", 4*time.Second, nil) }

// sendWith sends a request with a path, a time limit and more headers.
func (c *callers) sendWith(r *rig, front *node, path string, limit time.Duration, headers map[string]string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address(front.ip, r.ports.callers)+path, strings.NewReader("{}"))
	if err != nil {
		return
	}
	req.Close = true
	req.Host = host
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	req.Header.Set(names["request_id"], id)
	req.Header.Set(names["time_limit"], strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set(names["key"], callerKey)
	at, status := time.Since(r.started), 0
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
	}
	r.log("request %s sent to %s at %.3f: %d", id, front.name, at.Seconds(), status)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, outcome{at, status})
}

// count counts the outcomes of requests sent since a time, by status.
func (c *callers) count(since time.Duration) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := map[int]int{}
	for _, o := range c.outcomes {
		if o.at >= since {
			n[o.status]++
		}
	}
	return n
}
