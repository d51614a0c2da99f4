package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/throttler"
)

// limitSecond lets the second server name a rate, with so many permits for this front.
func (tb *testbed) limitSecond(permits int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := time.Now()
	tb.chooser.Allowance.Ledger.Observe(now, "second", 1, now, throttler.Statement{Kind: throttler.NamedLimit, Rate: 2})
	tb.chooser.Allowance.RecordContact(now, now, []throttler.Grant{{Server: "second", Permits: permits, Lifetime: 10 * time.Second}})
}

// TestStalledStreamsMoveOnlyWithPermitsOfTheirOwn guards against streams that are taken from
// a stalled server because another one has a single permit, which only one of them can use.
func TestStalledStreamsMoveOnlyWithPermitsOfTheirOwn(t *testing.T) {
	const streams = 4
	var secondGot atomic.Int32
	first := func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Id")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		writeChunk(c, "id: 1\ndata: a\n\n")
		time.Sleep(1200 * time.Millisecond)
		writeChunk(c, "id: 2\ndata: b\n\n")
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	second := func(c net.Conn, r *http.Request) bool {
		secondGot.Add(1)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nLimit: 2\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		writeChunk(c, "id: 2\ndata: b\n\n")
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	withTestbed(t, backendHandlers{"first": first, "second": second}, func(tb *testbed) {
		tb.limitSecond(0)
		var wg sync.WaitGroup
		var cut atomic.Int32
		for i := range streams {
			wg.Go(func() {
				if res := tb.call(context.Background(), "GET", "/stream/x", "", "Id", fmt.Sprint("q", i)); res.cut || res.status != 200 {
					cut.Add(1)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		tb.limitSecond(1)
		wg.Wait()
		// The first server ends its sleep.
		time.Sleep(2 * time.Second)
		if cut.Load() > 0 || secondGot.Load() != 1 {
			t.Errorf("%d of %d streams broke off; the server with one permit got %d", cut.Load(), streams, secondGot.Load())
		}
	})
}

func writeChunk(w io.Writer, text string) { _, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }
