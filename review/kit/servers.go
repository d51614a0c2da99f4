//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in for a backend server of a plain service.
type server struct {
	s                     *stage
	id, zone              string
	address               string
	born                  int64
	http                  *http.Server
	work                  time.Duration
	mu                    sync.Mutex
	sequence              int
	state                 string
	quiet, ended, leaving bool
	runs                  []run
}

// run is one request that a server ran.
type run struct {
	id string
	at time.Time
}

// startServer starts a backend server, which announces itself.
func (s *stage) startServer(id, zone string) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", s.prefix, serverHost))
	if err != nil {
		return nil, err
	}
	v := &server{s: s, id: id, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), work: 40 * time.Millisecond, state: "ready"}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.names["health_path"], func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(s.names["request_id"], "") })
	mux.HandleFunc("/", v.handle)
	v.http = &http.Server{Handler: mux}
	go func() { _ = v.http.Serve(l) }()
	s.mu.Lock()
	s.servers = append(s.servers, v)
	s.mu.Unlock()
	go v.beat()
	return v, nil
}

// beat sends heartbeats, each to a core process picked at random and, if that does not
// acknowledge it within a second, to the next one.
func (v *server) beat() {
	for {
		v.mu.Lock()
		if v.ended || v.quiet {
			v.mu.Unlock()
			return
		}
		v.sequence++
		body := v.s.render("beat.tmpl", map[string]any{
			"Address": v.address, "Zone": v.zone, "State": v.state, "Born": v.born, "Sequence": v.sequence,
		})
		v.mu.Unlock()
		cores := v.s.of("core")
		first := rand.IntN(len(cores))
		for i := range cores {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			status, err := v.s.control(ctx, cores[(first+i)%len(cores)], http.MethodPut, v.s.names["replicas_path"]+v.id, body)
			cancel()
			if err == nil && status < 300 {
				break
			}
		}
		if !v.s.sleep(beatInterval) {
			return
		}
	}
}

// handle runs a request.
func (v *server) handle(w http.ResponseWriter, r *http.Request) {
	n, id := v.s.names, r.Header.Get(v.s.names["request_id"])
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(n["request_id"], id)
	if expect := r.Header.Get(n["expect"]); expect != "" && expect != v.id {
		w.Header().Set(n["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	v.mu.Lock()
	v.runs = append(v.runs, run{id, time.Now()})
	v.mu.Unlock()
	v.s.note("server %s runs %s %s", v.id, r.Method, id)
	select {
	case <-time.After(v.work):
	case <-r.Context().Done():
		v.s.note("server %s drops %s, whose channel closed", v.id, id)
		return
	}
	body := "answer of " + v.id + " to " + id
	v.mu.Lock()
	leaving := v.leaving
	v.mu.Unlock()
	if leaving {
		w.Header().Set(n["leaving"], "1")
		w.Header().Set("Connection", "close")
	}
	w.Header().Set(n["signature"], "sig."+v.id+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// exit ends the server at once.
func (v *server) exit() {
	v.mu.Lock()
	ended := v.ended
	v.ended = true
	v.mu.Unlock()
	if !ended {
		_ = v.http.Close()
	}
}

func (v *server) runsSince(t time.Time) []run {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []run
	for _, r := range v.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

// request is one client attempt.
type request struct {
	kind, id string
	sentAt   time.Time
	front    *process
	status   int
	err      error
	// toldLeaving is set if the answer, which came at answeredAt, says that its server leaves.
	toldLeaving bool
	answeredAt  time.Time
}

// callers sends perSecond requests, each on a new channel to a front in rotation, until the
// play ends. One in two may run at most once.
func (s *stage) callers(perSecond int) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, MaxIdleConns: 0}}
	for i := 0; s.sleep(time.Second / time.Duration(perSecond)); i++ {
		if p := s.pickFront(); p != nil {
			kinds := []string{"read", "confirm"}
			if s.withEngines {
				kinds = append(kinds, "ask", "ask")
			}
			go s.ask(client, p, kinds[i%len(kinds)])
		}
	}
}

func (s *stage) ask(client *http.Client, p *process, kind string) {
	method, body := http.MethodGet, io.Reader(nil)
	if kind != "read" {
		method, body = http.MethodPost, io.MultiReader(&pattern{left: 600})
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/%s/x", p.ip, portCallers, kind), body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.nextID++
	q := &request{kind: kind, id: fmt.Sprintf("q%06d", s.nextID), front: p}
	s.sent[q.id] = q
	q.sentAt = time.Now()
	s.mu.Unlock()
	r.Host = "desk.example"
	r.Header.Set(s.names["request_id"], q.id)
	r.Header.Set(s.names["deadline"], "1500")
	r.Header.Set(s.names["key"], "n2ctnfzs989anu6wsjnb")
	if kind == "ask" {
		r.Header.Set(s.names["deadline"], "5000")
		r.Header.Set(s.names["model"], "m1")
		r.Header.Set(s.names["tokens"], "200,60")
		r.Header.Set(s.names["prompt"], fmt.Sprintf("5a:40,%s:160", q.id[1:]))
	}
	s.note("client sends %s %s to %s", kind, q.id, p.name)
	resp, err := client.Do(r)
	status, told := 0, false
	if err == nil {
		told = resp.Header.Get(s.names["leaving"]) != ""
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	s.mu.Lock()
	q.status, q.err, q.toldLeaving, q.answeredAt = status, err, told, time.Now()
	s.mu.Unlock()
	s.note("client gets %d for %s %s", status, kind, q.id)
}

func (s *stage) request(id string) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[id]
}

// pattern is a body of a given length.
type pattern struct{ left int }

func (b *pattern) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	for i := range n {
		p[i] = 'a' + byte(i%26)
	}
	b.left -= n
	return n, nil
}
