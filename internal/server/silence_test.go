package server

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/refuser"
)

// slowServers makes servers of a kind send their first token after 50 s and a further one each
// 10.2 s, so that they are silent for longer than the configured limits.
func (w *testCluster) slowServers(prefix string) {
	const slowdown = 510
	w.setFaults(prefix, emulator.Faults{TimeFactor: slowdown})
}

// sendUntil sends a request whose caller waits for its answer until a deadline.
func (w *testCluster) sendUntil(vm, path, body, key string, timeout time.Duration) response {
	mark := fmt.Sprintf("u%d", w.requestCount.Add(1))
	header := http.Header{"Timeout-Ms": {strconv.FormatInt(timeout.Milliseconds(), 10)}}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return w.sendWithHeader(vm, path, body, mark, header)
}

// sendChatUntil requests a chat completion, streamed or not.
func (w *testCluster) sendChatUntil(vm string, stream bool, timeout time.Duration) response {
	body := fmt.Sprintf(`{"model":"chat","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, stream, chatTokens)
	return w.sendUntil(vm, "/v1/chat/completions", body, "", timeout)
}

// TestDeadlinesAreNoCrashes guards against callers' deadlines that count as crashes of the
// server, so that requests like these are refused as crashing ones.
func TestDeadlinesAreNoCrashes(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		const timeout = 5 * time.Second
		w.slowServers("engine")
		w.slowServers("booking")
		for i := range 8 {
			r := w.sendChatUntil(fmt.Sprintf("entry-a-%d", i%2+1), i%4 < 2, timeout)
			if r.refusal == nil || r.refusal.Code != refuser.BackendSilent {
				t.Errorf("wrong refusal after the deadline: %s", r)
			}
			r = w.sendUntil(fmt.Sprintf("entry-a-%d", i%2+1), "/services/booking/bookings", "worker 17", "", timeout)
			if r.refusal == nil || r.refusal.Code != refuser.BackendSilent {
				t.Errorf("wrong refusal after the deadline: %s", r)
			}
		}
		for vm, e := range w.entries {
			if n := e.server.relayer.CrashCount(); n > 0 {
				t.Errorf("%s counts %d requests and parts of prompts under which servers have crashed", vm, n)
			}
		}
	})
}

// TestSilentServersKeepAnswersUntilDeadlines guards against answers that are given up because
// their server is silent while it works and the caller's deadline is ahead.
func TestSilentServersKeepAnswersUntilDeadlines(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		const timeout = 4 * time.Minute
		w.slowServers("engine")
		w.slowServers("booking")
		answers := make(chan response)
		sent := 0
		send := func(request func() response) {
			sent++
			go func() { answers <- request() }()
		}
		// A group has one owner, so that one of the entries relays through the other one.
		for _, entry := range []string{"entry-a-1", "entry-a-2"} {
			send(func() response { return w.sendChatUntil(entry, true, timeout) })
			send(func() response { return w.sendChatUntil(entry, false, timeout) })
			send(func() response {
				return w.sendUntil(entry, "/services/booking/bookings", "worker 17", "k-"+entry, timeout)
			})
			send(func() response { return w.sendUntil(entry, "/services/booking/bookings", "worker 17", "", timeout) })
		}
		for range sent {
			r := <-answers
			if r.status >= http.StatusMultipleChoices || r.err != nil || r.refusal != nil {
				t.Errorf("an answer was given up: %s", r)
			}
			if n := w.runCount(r.mark); n != 1 {
				t.Errorf("request %s ran %d times", r.mark, n)
			}
		}
	})
}

// TestSilentServersEndAtDeadlines guards against requests that occupy their server for good, though
// their deadline has passed, and against such servers that count as crashed.
func TestSilentServersEndAtDeadlines(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		const timeout, slack = 20 * time.Second, 2 * time.Second
		w.setFaults("engine", emulator.Faults{TimeFactor: 1e6})
		w.setFaults("booking", emulator.Faults{TimeFactor: 1e6})
		for i := range 8 {
			entry := fmt.Sprintf("entry-a-%d", i%2+1)
			startedAt := time.Now()
			r := w.sendChatUntil(entry, i%4 < 2, timeout)
			if took := time.Since(startedAt); r.complete || took < timeout-slack || took > timeout+slack {
				t.Errorf("after %s: %s", took, r)
			}
			if r.refusal == nil || r.refusal.Code != refuser.BackendSilent {
				t.Errorf("wrong refusal: %s", r)
			}
		}
		startedAt := time.Now()
		r := w.sendUntil("entry-a-1", "/services/booking/bookings", "worker 17", "k", timeout)
		if took := time.Since(startedAt); r.complete || took > timeout+slack {
			t.Errorf("under a key after %s: %s", took, r)
		}
		time.Sleep(slack)
		for vm, e := range w.entries {
			if n := e.server.relayer.CrashCount(); n > 0 {
				t.Errorf("%s counts %d subjects under which servers have crashed", vm, n)
			}
			for _, g := range e.server.relayer.Owner.Status() {
				if g.Running > 0 {
					t.Errorf("%d requests still occupy %s", g.Running, g.Group)
				}
			}
		}
	})
}
