package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// watchMemory checks until stop is closed that no more than the budget is reserved.
func (tb *testbed) watchMemory(stop chan struct{}) {
	for {
		if used := tb.Memory.Used(); used > tb.Memory.Limit {
			tb.t.Errorf("%d of %d bytes are reserved", used, tb.Memory.Limit)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// TestLargeBodiesDoNotExceedMemory guards against a front that is killed for its memory, because many callers
// send the largest bodies at once. What does not fit is refused at once, and has not run.
func TestLargeBodiesDoNotExceedMemory(t *testing.T) {
	body := strings.Repeat("x", 256<<10)
	respond := func(c net.Conn, r *http.Request) bool {
		time.Sleep(100 * time.Millisecond)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
		return err == nil
	}
	withTestbed(t, backendHandlers{"first": respond}, func(tb *testbed) {
		tb.Memory.Limit = 1 << 20
		catalog := *tb.catalog.Load()
		catalog.Version++
		catalog.Limits.MaxBodyBytes = 1 << 20
		tb.SetCatalog(&catalog)
		stop := make(chan struct{})
		go tb.watchMemory(stop)
		var wg sync.WaitGroup
		var mu sync.Mutex
		counts := map[string]int{}
		for i := range 20 {
			wg.Go(func() {
				text := body
				if i%5 == 0 {
					text = "small"
				}
				startedAt := time.Now()
				res := tb.call(context.Background(), "POST", "/any/x", text)
				mu.Lock()
				defer mu.Unlock()
				counts[fmt.Sprint(res.status, len(text) < 10)]++
				isRefusal := res.status == http.StatusServiceUnavailable && res.body == outcomeMemoryShort+"\n" && res.header.Get("Retry-After") != ""
				if isRefusal && time.Since(startedAt) > 0 || !isRefusal && res.status != http.StatusOK {
					t.Errorf("status %d, %q after %s", res.status, res.body, time.Since(startedAt))
				}
			})
		}
		wg.Wait()
		close(stop)
		if counts["200 true"] != 4 || counts["200 false"] == 0 || counts["503 false"] == 0 || tb.Memory.Used() != 0 {
			t.Errorf("answers by status and whether the body was small: %v; %d bytes stay reserved", counts, tb.Memory.Used())
		}
		if n := tb.arrivals(); n != counts["200 true"]+counts["200 false"] {
			t.Errorf("%d requests reached the server, %v", n, counts)
		}
	})
}

// TestLargeAnswersDoNotExceedMemory guards against memory that fills with the beginnings of answers, if as many
// callers as a front bears are each at a server whose answer is long or has no end.
func TestLargeAnswersDoNotExceedMemory(t *testing.T) {
	const size = 2 << 20
	whole := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), size)
		_, err := io.WriteString(c, strings.Repeat("x", size))
		return err == nil
	}
	endless := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n\r\n", r.Header.Get("Id"))
		writeUntilClosed(c, strings.Repeat("x", 16<<10))
		return false
	}
	handlers := backendHandlers{"whole": whole, "without end": endless}
	for name, respond := range handlers {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, backendHandlers{"first": respond}, func(tb *testbed) {
				tb.Memory.Limit = 3 << 20
				stop := make(chan struct{})
				go tb.watchMemory(stop)
				var wg sync.WaitGroup
				for range 16 {
					wg.Go(func() {
						res := tb.call(context.Background(), "POST", "/any/x", "b", "Deadline", "2000")
						if res.status == http.StatusServiceUnavailable {
							return
						}
						if name == "whole" && (res.cut || res.status != http.StatusOK || len(res.body) != size) {
							t.Errorf("status %d, cut %v, %d bytes", res.status, res.cut, len(res.body))
						}
						if name != "whole" && !res.cut && res.status < http.StatusInternalServerError {
							t.Errorf("an answer without end looks whole: status %d, %d bytes", res.status, len(res.body))
						}
					})
				}
				wg.Wait()
				close(stop)
				time.Sleep(time.Second)
				if used := tb.Memory.Used(); used != 0 {
					t.Errorf("%d bytes stay reserved", used)
				}
			})
		})
	}
}
