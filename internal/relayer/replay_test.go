package relayer

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/refuser"
)

// TestTransportNeverRepeats lets a server run a request that came on a kept
// connection and close it without an answer. The HTTP transport repeats a
// request with an Idempotency-Key in that case, if it can read its body again.
func TestTransportNeverRepeats(t *testing.T) {
	for _, body := range []string{"", "a booking"} {
		var runs atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if runs.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		}))
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			r := &Request{Method: http.MethodPost, Path: "/", Header: http.Header{HeaderIdempotencyKey: {"k"}}, Body: []byte(body)}
			req, err := newBackendRequest(context.Background(), server.URL, r)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := client.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}
		if n := runs.Load(); n != 2 {
			t.Errorf("two requests with body %q ran %d times", body, n)
		}
		client.CloseIdleConnections()
		server.Close()
	}
}

// TestBadInput sends what callers may get wrong. Every answer is a refusal
// that says not_run, and nothing reaches the engine.
func TestBadInput(t *testing.T) {
	var ran atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	defer engine.Close()
	entry := newBenchRelayer(engine.URL)
	defer entry.Close()
	huge := strings.Repeat("x", 2<<20)
	cases := []struct {
		name, path, body string
		header           http.Header
		status           int
	}{
		{"no key", chatPath, benchBody, http.Header{"Authorization": nil}, http.StatusUnauthorized},
		{"wrong key", chatPath, benchBody, http.Header{"Authorization": {"Bearer nobody"}}, http.StatusUnauthorized},
		{"malformed JSON", chatPath, `{"model":`, nil, http.StatusBadRequest},
		{"no messages", chatPath, `{"model":"chat"}`, nil, http.StatusBadRequest},
		{"negative tokens", chatPath, `{"model":"chat","max_tokens":-1,"messages":[{}]}`, nil, http.StatusBadRequest},
		{"unknown model", chatPath, `{"model":"other","messages":[{}]}`, nil, http.StatusNotFound},
		{"unknown service", "/services/other/x", "", nil, http.StatusNotFound},
		{"a model as a plain service", "/services/chat/x", "", nil, http.StatusNotFound},
		{"oversized body", chatPath, huge, nil, http.StatusRequestEntityTooLarge},
		{"oversized idempotency key", chatPath, benchBody, http.Header{HeaderIdempotencyKey: {strings.Repeat("k", 300)}}, http.StatusBadRequest},
		{"wrong idempotent header", chatPath, benchBody, http.Header{HeaderIdempotent: {"maybe"}}, http.StatusBadRequest},
		{"wrong timeout", chatPath, benchBody, http.Header{HeaderTimeout: {"soon"}}, http.StatusBadRequest},
	}
	for _, c := range cases {
		req, err := http.NewRequest(http.MethodPost, entry.URL+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+benchKey)
		for name, values := range c.header {
			req.Header[name] = values
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		why := refuser.Parse(resp.StatusCode, data)
		if resp.StatusCode != c.status || why == nil || why.Statement != refuser.NotRun {
			t.Errorf("%s: status %d, body %s", c.name, resp.StatusCode, data)
		}
	}
	if ran.Load() != 0 {
		t.Errorf("%d bad requests reached the engine", ran.Load())
	}
}

// TestGateKeepsItsLimit lets many requests compete for a gate of four places.
func TestGateKeepsItsLimit(t *testing.T) {
	g := &gate{maxQueue: 100, hold: locator.OwnershipExclusive}
	g.ramp.ColdLimit, g.ramp.WarmLimit = 4, 4
	var running, most, done atomic.Int32
	ended := make(chan struct{})
	r := rand.New(rand.NewPCG(1, 1))
	const requests = 60
	for range requests {
		pause := time.Duration(r.IntN(1000)) * time.Microsecond
		go func() {
			defer func() { ended <- struct{}{} }()
			if why := g.admit(context.Background(), &Request{Team: "t", TeamWeight: 1, Cost: 1}, time.Minute); why != nil {
				t.Error(why)
				return
			}
			n := running.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			time.Sleep(pause)
			running.Add(-1)
			done.Add(1)
			g.done(RequestResult{})
		}()
	}
	for range requests {
		<-ended
	}
	if most.Load() > 4 || done.Load() != requests {
		t.Errorf("%d of %d requests ran, up to %d at once", done.Load(), requests, most.Load())
	}
	if s := g.status(identifier.Group("g")); s.Running != 0 || s.Waiting != 0 {
		t.Errorf("the gate is left as %+v", s)
	}
}

// TestOnlyServersCostRetries requires that refusals of entries, which no
// backend server has seen, are always retried, and failures of servers only
// within the budget.
func TestOnlyServersCostRetries(t *testing.T) {
	r := &Relayer{}
	r.Init()
	ctx := context.Background()
	req := &Request{Idempotent: true}
	for i := range 1000 {
		if !r.mayRetry(ctx, req, refuser.New(refuser.Moved, refuser.NotRun, "")) {
			t.Fatalf("refusal %d of an entry was not retried", i)
		}
	}
	retried := 0
	for range 1000 {
		if r.mayRetry(ctx, req, refuser.New(refuser.BackendFailed, refuser.MayHaveRun, "")) {
			retried++
		}
	}
	if retried != retryBurst {
		t.Errorf("%d failures of servers were retried without any new request, want %d", retried, retryBurst)
	}
	if r.mayRetry(ctx, &Request{}, refuser.New(refuser.BackendFailed, refuser.MayHaveRun, "")) {
		t.Error("a request that must not run twice was retried after an unknown end")
	}
}
