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
