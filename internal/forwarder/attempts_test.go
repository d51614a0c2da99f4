package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// setMaxAttempts sets the runs that all routes allow.
func (tb *testbed) setMaxAttempts(n int) {
	c := testCatalog(tb.t)
	c.Version = 2
	for i := range c.Routes {
		c.Routes[i].MaxAttempts = n
		c.Routes[i].Timeout = 8 * time.Second
	}
	if err := c.Index(); err != nil {
		tb.t.Fatal(err)
	}
	tb.SetCatalog(c)
}

// arrivals returns the number of requests that all servers have received.
func (tb *testbed) arrivals() int {
	n := 0
	for _, b := range tb.backends {
		n += len(b.receivedIDs())
	}
	return n
}

// TestExchangeInFlightCountsAsRun guards against more runs than the route allows, when an attempt ends while another
// one's server has not responded yet.
func TestExchangeInFlightCountsAsRun(t *testing.T) {
	var n atomic.Int32
	// The second server that gets the request breaks off once the third has it.
	respond := func(c net.Conn, r *http.Request) bool {
		if n.Add(1) == 2 {
			time.Sleep(900 * time.Millisecond)
			return false
		}
		return neverRespond(c, r)
	}
	backends := backendHandlers{}
	for _, name := range []string{"first", "second", "third", "fourth", "fifth", "sixth"} {
		backends[name] = respond
	}
	withTestbed(t, backends, func(tb *testbed) {
		tb.setMaxAttempts(3)
		tb.call(context.Background(), "POST", "/stream/x", "b")
		if got := tb.arrivals(); got > 3 {
			t.Errorf("%d servers ran the request, allowed are 3", got)
		}
	})
}

// TestFinalAnswerOfSilentServerIsNotDropped guards against an answer of a server that is replaced by 502, since
// other servers are being tried.
func TestFinalAnswerOfSilentServerIsNotDropped(t *testing.T) {
	for _, target := range []string{"/any/x", "/stream/x"} {
		for _, status := range []int{http.StatusNotFound} {
			t.Run(fmt.Sprintf("%s, %d", target, status), func(t *testing.T) {
				first := func(c net.Conn, r *http.Request) bool {
					time.Sleep(time.Second)
					return rawResponse(fmt.Sprintf("HTTP/1.1 %d No\r\nId: ID\r\nSigned: s\r\nContent-Length: 2\r\n\r\nno", status))(c, r)
				}
				rejects := func(c net.Conn, r *http.Request) bool {
					time.Sleep(800 * time.Millisecond)
					return rawResponse(notRunResponse)(c, r)
				}
				withTestbed(t, backendHandlers{"first": first, "second": rejects}, func(tb *testbed) {
					res := tb.call(context.Background(), "POST", target, "b")
					if res.status != status || res.body != "no" {
						t.Errorf("status %d, body %q", res.status, res.body)
					}
					// The server that rejects ends.
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// TestRetryIsTakenOnlyForASend guards against retries that are taken from the budget again and again although there is no
// server left to send the request to.
func TestRetryIsTakenOnlyForASend(t *testing.T) {
	withTestbed(t, backendHandlers{"first": neverRespond, "second": rawResponse(notRunResponse)}, func(tb *testbed) {
		tb.setMaxAttempts(3)
		tb.call(context.Background(), "POST", "/stream/x", "b")
		if got, made := tb.Retries()[0].Retries, tb.arrivals()-1; got > made+1 {
			t.Errorf("%d retries were taken from the budget for %d sends", got, made)
		}
	})
}

// TestPlainAnswerIsNotReportedAsStalled guards against groups that are ended because callers read plain answers slowly, or
// because these are long.
func TestPlainAnswerIsNotReportedAsStalled(t *testing.T) {
	k := runningKinds()["long, once"]
	k.path, k.service = "/plain/x", "llm"
	short := runningKinds()["once"]
	short.path, short.service = "/plain/x", "llm"
	for name, test := range map[string]struct {
		kind    runningKind
		pause   time.Duration
		prepare func(tb *runningTestbed)
	}{
		"long body":                {k, 150 * time.Millisecond, func(*runningTestbed) {}},
		"slow caller":              {short, runningPause, (*runningTestbed).readSlowly},
		"slow caller of long body": {k, runningPause, (*runningTestbed).readSlowly},
	} {
		t.Run(name, func(t *testing.T) {
			k := test.kind
			parts := k.parts
			if name == "long body" {
				// What is beyond the buffered part comes in small pieces.
				last := len(parts) - 1
				parts = append([]string{}, parts[:last]...)
				piece := len(k.parts[last]) / 8
				for i := range 7 {
					parts = append(parts, k.parts[last][i*piece:(i+1)*piece])
				}
				parts = append(parts, k.parts[last][7*piece:])
			}
			withRunning(t, k, k.steady(test.pause, parts), neverRespond, func(tb *runningTestbed) {
				tb.RetryRatio, tb.RetrySlack = 0, 0
				test.prepare(tb)
				done := make(chan bool)
				go func() {
					if res := tb.request("running"); res.cut || len(res.body) != len(tb.want) {
						t.Errorf("cut %v, %d bytes", res.cut, len(res.body))
					}
					close(done)
				}()
				for {
					select {
					case <-done:
						return
					case <-time.After(runningPause):
					}
					tb.expectNoStalls()
				}
			})
		})
	}
}

// TestHeldCommentsAreWrittenAtTheEnd guards against a stream without its last comments.
func TestHeldCommentsAreWrittenAtTheEnd(t *testing.T) {
	first := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, streamHeaderFormat, r.Header.Get("Id"))
		writeTestEvents(c, 1, 3)
		time.Sleep(800 * time.Millisecond)
		_, err := fmt.Fprint(c, chunk(commentText)+"0\r\n\r\n")
		return err == nil
	}
	withTestbed(t, backendHandlers{"first": first, "second": neverRespond}, func(tb *testbed) {
		if res := tb.call(context.Background(), "POST", "/stream/x", "b"); res.cut || res.body != wholeStream(3)+commentText {
			t.Errorf("cut %v, body %q", res.cut, res.body)
		}
	})
}

// stuckWriter is a connection whose first write takes a while, unless a deadline ends it.
type stuckWriter struct {
	net.Conn
	delay    time.Duration
	deadline time.Time
}

func (c *stuckWriter) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

func (c *stuckWriter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	if !c.deadline.IsZero() && time.Until(c.deadline) < c.delay {
		time.Sleep(time.Until(c.deadline))
		return n, os.ErrDeadlineExceeded
	}
	time.Sleep(c.delay)
	m, err := c.Conn.Write(p[n:])
	return n + m, err
}

// TestSlowReaderOfBodyKeepsItsRequest guards against requests that are given up while their server reads the body slowly.
func TestSlowReaderOfBodyKeepsItsRequest(t *testing.T) {
	withTestbed(t, backendHandlers{"first": completeResponse()}, func(tb *testbed) {
		dial := tb.Pool.Dial
		tb.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			return &stuckWriter{Conn: c, delay: 2500 * time.Millisecond}, err
		}
		if res := tb.call(context.Background(), "POST", "/once/x", strings.Repeat("b", 100)); res.status != http.StatusOK {
			t.Errorf("%+v", res)
		}
	})
}

// TestNoAttemptIsMadeOnceAnotherHasGoneOn guards against a new run of a request while, or after, another server's answer
// is forwarded.
func TestNoAttemptIsMadeOnceAnotherHasGoneOn(t *testing.T) {
	withTestbed(t, backendHandlers{"first": neverRespond, "second": neverRespond, "third": completeResponse()}, func(tb *testbed) {
		tb.setMaxAttempts(3)
		rec := httptest.NewRecorder()
		r := httptest.NewRequest("POST", "http://h/any/x", nil)
		r.Header.Set("Id", "q1")
		q := &request{f: tb.Forwarder, w: rec, r: r, receivedAt: time.Now(), info: tb.Dialect.ParseRequest(r.Header), open: map[*exchange]struct{}{}, ctx: context.Background()}
		q.deadline = time.Now().Add(5 * time.Second)
		q.catalog = tb.catalog.Load()
		q.route, q.service = q.catalog.Route("h", "/any/x"), "svc"
		q.digest()
		a := &answer{q: q, attempts: map[*attempt]struct{}{}, flusher: http.NewResponseController(rec)}
		q.answer = a
		// The exchange with a silent server has been superseded and waits for mu.
		at := a.newAttempt()
		x := &exchange{q: q, attempt: at, server: "second", sentAt: time.Now(), lastEventAt: time.Now()}
		q.open[x] = struct{}{}
		winner := a.newAttempt()
		q.mu.Lock()
		a.goOnWith(winner)
		q.mu.Unlock()
		a.tryElsewhere(x, 0)
		if got := tb.arrivals(); got > 0 || rec.Body.Len() > 0 {
			t.Errorf("%d servers got the request, body %q", got, rec.Body)
		}
	})
}
