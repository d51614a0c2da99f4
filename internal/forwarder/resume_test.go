package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// slowStream writes a stream of five events with a pause after each, which begins after the event that the
// caller has.
func slowStream(pause time.Duration) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, streamHeaderFormat, r.Header.Get("Id"))
		for i := 1; i <= 5; i++ {
			writeTestEvents(c, i, i)
			time.Sleep(pause)
		}
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
}

func wholeStream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// TestSlowStreamIsNotLostByItsMove guards against streams that are taken from a server that is only slow, are rejected by
// the next one, and then break off because the retry budget allows no more.
func TestSlowStreamIsNotLostByItsMove(t *testing.T) {
	for slack := range 5 {
		t.Run(fmt.Sprint(slack), func(t *testing.T) {
			withTestbed(t, backendHandlers{"first": slowStream(100 * time.Millisecond), "second": rawResponse(notRunResponse)}, func(tb *testbed) {
				tb.useEngineGroups()
				tb.RetryRatio, tb.RetrySlack = 0, float64(slack)/retryBudgetShare+0.01
				res := tb.call(context.Background(), "POST", "/chat/x", "b", "Model", "m", "Prompt", "50")
				if res.cut || res.body != wholeStream(5) {
					t.Errorf("cut %v, got %q; the servers received %q and %q", res.cut, res.body,
						tb.backends["first"].receivedIDs(), tb.backends["second"].receivedIDs())
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestBrokenStreamWaitsForRetry guards against streams that break off although the retry budget allows them to go on a
// moment later.
func TestBrokenStreamWaitsForRetry(t *testing.T) {
	withTestbed(t, backendHandlers{"first": streamResponse(1, 2, true), "second": streamResponse(1, 5, false)}, func(tb *testbed) {
		tb.RetryRatio, tb.RetrySlack = 0.5, 0
		time.AfterFunc(400*time.Millisecond, func() {
			for range 3 {
				tb.call(context.Background(), "POST", "/once/x", "b", "Deadline", "1")
			}
		})
		tb.mu.Lock()
		tb.retryBudget("svc").Rounding = 0
		tb.mu.Unlock()
		res := tb.call(context.Background(), "POST", "/stream/x", "b")
		if res.cut || res.body != wholeStream(5) {
			t.Errorf("cut %v, got %q", res.cut, res.body)
		}
		time.Sleep(time.Second)
	})
}
