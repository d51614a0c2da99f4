//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in for a backend server without an engine. It does what the pages say and no more.
type backend struct {
	s        *system
	id       string
	address  string
	zone     string
	born     int64
	sequence atomic.Int64
	draining atomic.Bool
	leaving  atomic.Bool
	work     time.Duration
	// onRun is called with the id of each request that begins to run.
	onRun    func(id string)
	server   *http.Server
	stopBeat context.CancelFunc
	runs     atomic.Int64
}

func (s *system) newBackend(id, address, zone string) *backend {
	return &backend{s: s, id: id, address: address, zone: zone, born: time.Now().UnixMilli(), work: 5 * time.Millisecond}
}

// listen begins to serve.
func (b *backend) listen() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(l) }()
	b.s.onEnd(b.crash)
	b.s.log("server %s starts, born %d", b.id, b.born)
	return nil
}

// crash ends the server without a word.
func (b *backend) crash() {
	if b.stopBeat != nil {
		b.stopBeat()
	}
	_ = b.server.Close()
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	words := b.s.words
	id := r.Header.Get(words["request_id"])
	h := w.Header()
	h.Set(words["request_id"], id)
	if b.leaving.Load() {
		h.Set(words["leaving"], "1")
	}
	if want := r.Header.Get(words["expected_server"]); want != "" && want != b.id {
		h.Set(words["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.runs.Add(1)
	b.s.log("server %s (born %d) runs request %s", b.id, b.born, id)
	if b.onRun != nil {
		b.onRun(id)
	}
	time.Sleep(b.work)
	text := "done by " + b.id + "\n"
	h.Set(words["signature"], fmt.Sprintf("%s.%s.%d", b.id, id, len(body)))
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// heartbeat returns the body of the next heartbeat.
func (b *backend) heartbeat() []byte {
	state := "ready"
	if b.draining.Load() {
		state = "draining"
	}
	return []byte(strings.NewReplacer("ADDRESS", b.address, "ZONE", b.zone, "STATE", state, "SEQUENCE", strconv.FormatInt(b.sequence.Add(1), 10),
		"BORN", strconv.FormatInt(b.born, 10)).Replace(b.s.words["heartbeat"]))
}

// beat sends heartbeats, each to the next core process until one has acknowledged it.
func (b *backend) beat() {
	ctx, cancel := context.WithCancel(context.Background())
	b.stopBeat = cancel
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			body := b.heartbeat()
			for try := range b.s.cores {
				c := b.s.cores[(n+try)%len(b.s.cores)]
				if status, _ := b.s.call(http.MethodPut, c.control(), b.s.words["servers_path"]+b.id, body, time.Second); status == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatTime):
			}
		}
	}()
}

// caller sends requests at a rate to one front.
type caller struct {
	s    *system
	name string
	to   *process
	path string
	key  string
	// post is set if the requests are of the kind that may run once.
	post   bool
	mu     sync.Mutex
	sentAt map[string]time.Time
	// answers holds the results: the time when a request was sent, and its status or 0.
	answers []answer
	stop    context.CancelFunc
	done    sync.WaitGroup
}

type answer struct {
	id     string
	sentAt time.Time
	status int
}

func (s *system) newCaller(name string, to *process, path, key string) *caller {
	return &caller{s: s, name: name, to: to, path: path, key: key, sentAt: map[string]time.Time{}}
}

// run sends a request every interval until halt is called.
func (c *caller) run(interval time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	client := &http.Client{Timeout: 4 * time.Second}
	c.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			id := fmt.Sprintf("%s-%d", c.name, n)
			c.done.Go(func() { c.send(client, id) })
		}
	})
	c.s.onEnd(cancel)
}

func (c *caller) halt() {
	c.stop()
	c.done.Wait()
}

func (c *caller) send(client *http.Client, id string) {
	method, body := http.MethodGet, []byte(nil)
	if c.post {
		method, body = http.MethodPost, []byte("work "+id)
	}
	r, err := http.NewRequest(method, "http://"+c.to.callers()+c.path, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Host = "desk.example"
	r.Header.Set(c.s.words["request_id"], id)
	r.Header.Set(c.s.words["key"], c.key)
	r.Header.Set(c.s.words["deadline"], "4000")
	sentAt := time.Now()
	c.mu.Lock()
	c.sentAt[id] = sentAt
	c.mu.Unlock()
	c.s.log("caller sends %s to %s", id, c.to.name)
	status, reason := 0, ""
	resp, err := client.Do(r)
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if status = resp.StatusCode; readErr != nil {
			status = 0
		}
		reason = strings.TrimSpace(string(data))
	}
	c.s.log("caller has %s answered: %d %s", id, status, reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, answer{id, sentAt, status})
}

// sent returns when a request was sent.
func (c *caller) sent(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.sentAt[id]
	return t, ok
}

// count returns how many of the requests that were sent in a span of time were answered, and how many with success.
func (c *caller) count(from, to time.Time) (all, good int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if !a.sentAt.Before(from) && a.sentAt.Before(to) {
			all++
			if a.status == http.StatusOK {
				good++
			}
		}
	}
	return all, good
}
