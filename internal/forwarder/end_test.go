package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/piper"
)

// TestEndingFrontTakesOnlyWhatEndsInTime guards against answers that are cut off at the end
// of a planned stop, because their requests were taken late in it.
func TestEndingFrontTakesOnlyWhatEndsInTime(t *testing.T) {
	for name, test := range map[string]struct {
		left   time.Duration
		header []string
		status int
	}{
		"may last too long":         {2 * time.Second, nil, 503},
		"ends in time":              {4 * time.Second, nil, 200},
		"has a shorter time limit":  {2 * time.Second, []string{"Deadline", "1500"}, 200},
		"the end has already come":  {-time.Second, []string{"Deadline", "10"}, 503},
		"the limit is past the end": {time.Second, []string{"Deadline", "1500"}, 503},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": completeResponse()}, func(tb *testbed) {
				tb.SetEnd(time.Now().Add(test.left))
				res := tb.call(context.Background(), "POST", "/once/x", "b", test.header...)
				if runs := len(tb.backends["first"].receivedIDs()); res.status != test.status || (runs == 1) != (test.status == 200) {
					t.Errorf("status %d, %d runs; want status %d", res.status, runs, test.status)
				}
			})
		})
	}
}

// TestRequestsAreAnsweredWhenTheProcessEnds guards against requests that end with their connection, and without an
// answer, when the process ends before they do.
func TestRequestsAreAnsweredWhenTheProcessEnds(t *testing.T) {
	halfAnswer := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Length: 9\r\n\r\nhalf", r.Header.Get("Id"))
		return neverRespond(c, r)
	}
	refusal := func(c net.Conn, _ *http.Request) bool {
		time.Sleep(600 * time.Millisecond)
		_, err := fmt.Fprint(c, notRunResponse)
		return err == nil
	}
	for name, test := range map[string]struct {
		target  string
		respond func(net.Conn, *http.Request) bool
		status  int
		stage   stage
	}{
		"no header, may run once":  {"/once/x", neverRespond, http.StatusBadGateway, stageAwaiting},
		"no header, may be sent":   {"/any/x", neverRespond, http.StatusBadGateway, stageAwaiting},
		"no header of a stream":    {"/stream/x", neverRespond, http.StatusBadGateway, stageAwaiting},
		"half of the answer":       {"/once/x", halfAnswer, http.StatusBadGateway, stageAnswering},
		"the server refuses later": {"/once/x", refusal, http.StatusBadGateway, stageAwaiting},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": test.respond}, func(tb *testbed) {
				time.AfterFunc(500*time.Millisecond, func() {
					for q := range tb.requests {
						if got := q.currentStage(); got != test.stage {
							t.Errorf("the request is at stage %s, want %s", got, test.stage)
						}
					}
					tb.EndRequests()
				})
				start := time.Now()
				res := tb.call(context.Background(), "POST", test.target, "b")
				if res.cut || res.status != test.status || time.Since(start) > 600*time.Millisecond {
					t.Errorf("status %d, cut %v after %s; want status %d", res.status, res.cut, time.Since(start), test.status)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestUnreadRequestIsRefusedWhenTheProcessEnds guards against a body that arrives slowly and is cut off without an
// answer.
func TestUnreadRequestIsRefusedWhenTheProcessEnds(t *testing.T) {
	expectRefusalOfUnreadRequest(t, http.StatusServiceUnavailable, 500*time.Millisecond, (*testbed).EndRequests)
}

// TestBodyThatComesTooLateIsRefused guards against requests without an answer at their time limit, because their body has
// not come yet.
func TestBodyThatComesTooLateIsRefused(t *testing.T) {
	const routeTimeout = 3 * time.Second
	expectRefusalOfUnreadRequest(t, http.StatusRequestTimeout, routeTimeout, func(*testbed) {})
}

// expectRefusalOfUnreadRequest sends a request whose body does not end, calls act after a time, and checks that the
// request is refused within 100 ms and did not run.
func expectRefusalOfUnreadRequest(t *testing.T, status int, after time.Duration, act func(tb *testbed)) {
	t.Helper()
	withUnreadRequest(t, func(tb *testbed, c net.Conn) {
		time.Sleep(after)
		act(tb)
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		if runs := len(tb.backends["first"].receivedIDs()); resp.StatusCode != status || runs > 0 {
			t.Errorf("status %d, %d runs", resp.StatusCode, runs)
		}
	})
}

// withUnreadRequest sends a request in chunks that do not end, and runs a test.
func withUnreadRequest(t *testing.T, test func(tb *testbed, c net.Conn)) {
	t.Helper()
	withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": completeResponse()}, func(tb *testbed) {
		front, caller := piper.Host{Network: tb.net, Name: "front"}, piper.Host{Network: tb.net, Name: "caller"}
		l, err := front.Listen(context.Background(), "tcp", "front:80")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: tb.Forwarder, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		c, err := caller.DialContext(context.Background(), "tcp", "front:80")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprint(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		test(tb, c)
		tb.net.Kill("caller")
	})
}

// TestSlowBodyIsServedInCalm guards against callers on slow links that are refused however often they come, since their
// bodies take longer than the latency objective.
func TestSlowBodyIsServedInCalm(t *testing.T) {
	withUnreadRequest(t, func(tb *testbed, c net.Conn) {
		time.Sleep(2 * time.Second)
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		if runs := len(tb.backends["first"].receivedIDs()); resp.StatusCode != http.StatusOK || runs != 1 {
			t.Errorf("status %d, %d runs", resp.StatusCode, runs)
		}
	})
}
