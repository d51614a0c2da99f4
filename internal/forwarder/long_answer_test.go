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

// TestLongAnswerIsNotMovedOnceItHasBegun guards against answers that are longer than the front buffers, and that it cuts
// off because their server pauses: what the caller has can't be taken back.
func TestLongAnswerIsNotMovedOnceItHasBegun(t *testing.T) {
	begun := strings.Repeat("x", maxBufferedResponse)
	pausing := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(begun)+3, begun)
		time.Sleep(time.Second)
		_, err := fmt.Fprint(c, "end")
		return err == nil
	}
	withTestbed(t, backendHandlers{"first": pausing, "second": completeResponse()}, func(tb *testbed) {
		res := tb.call(context.Background(), "POST", "/any/x", "b")
		if res.cut || res.status != http.StatusOK || len(res.body) != len(begun)+3 {
			t.Errorf("status %d, %d bytes of %d, cut %v", res.status, len(res.body), len(begun)+3, res.cut)
		}
		time.Sleep(time.Second)
	})
}
