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

// TestCommentsAreNoProgress guards against stalled streams that never end because a byte
// arrives now and then.
func TestCommentsAreNoProgress(t *testing.T) {
	for name, filler := range map[string]string{"comments": ": wait\n\n", "bytes": ":"} {
		t.Run(name, func(t *testing.T) {
			stalled := func(c net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(c, streamHeaderFormat, r.Header.Get("Id"))
				writeTestEvents(c, 1, 2)
				for {
					if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(filler), filler); err != nil {
						return false
					}
					time.Sleep(300 * time.Millisecond)
				}
			}
			withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": stalled, "second": streamResponse(3, 5, false)}, func(tb *testbed) {
				startedAt := time.Now()
				res := tb.call(context.Background(), "GET", "/stream/x", "")
				if took := time.Since(startedAt); res.cut || !strings.Contains(res.body, "data: e5") || took > 2*time.Second {
					t.Errorf("after %s: %+v", took, res)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestSlowStreamIsNotCut guards against ending a stream whose events come slower than the
// route's objective asks for.
func TestSlowStreamIsNotCut(t *testing.T) {
	slow := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, streamHeaderFormat, r.Header.Get("Id"))
		for i := 1; i <= 7; i++ {
			text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
			time.Sleep(380 * time.Millisecond)
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": slow}, func(tb *testbed) {
		if res := tb.call(context.Background(), "GET", "/stream/x", ""); res.cut || !strings.Contains(res.body, "data: e7") {
			t.Errorf("got %+v", res)
		}
	})
}
