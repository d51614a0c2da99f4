package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestRejectedRunCanBeMadeElsewhere guards against a request that stays with a server that is silent for good although its
// route allows one more run, since the last one was rejected late.
func TestRejectedRunCanBeMadeElsewhere(t *testing.T) {
	var n atomic.Int32
	start := time.Now()
	respond := func(c net.Conn, r *http.Request) bool {
		switch n.Add(1) {
		case 1:
			streamResponse(1, 2, true)(c, r)
			return neverRespond(c, r)
		case 2:
			time.Sleep(900 * time.Millisecond)
			return false
		case 3:
			time.Sleep(800 * time.Millisecond)
			return rawResponse(notRunResponse)(c, r)
		}
		if time.Since(start) < 3*time.Second {
			return rawResponse(notRunResponse)(c, r)
		}
		return resumedStream(5, 0)(c, r)
	}
	backends := backendHandlers{}
	for _, name := range []string{"first", "second", "third", "fourth"} {
		backends[name] = respond
	}
	withTestbed(t, backends, func(tb *testbed) {
		start = time.Now()
		tb.setMaxAttempts(3)
		res := tb.call(context.Background(), "POST", "/stream/x", "")
		if res.cut || res.body != wholeStream(5) {
			t.Errorf("after %s and %d sends: cut %v, body %q", time.Since(start), n.Load(), res.cut, res.body)
		}
	})
}
