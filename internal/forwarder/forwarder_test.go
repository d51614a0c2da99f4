package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
)

type backendHandlers = map[string]func(net.Conn, *http.Request) bool

func TestResponseIsForwardedUnchanged(t *testing.T) {
	withTestbed(t, backendHandlers{"first": rawResponse("HTTP/1.1 201 Made\r\nId: ID\r\nSigned: s1\r\nX-Own: a\r\nX-Own: b\r\nConnection: X-Hop\r\nX-Hop: h\r\nContent-Length: 5\r\n\r\nhello")},
		func(tb *testbed) {
			res := tb.call(context.Background(), "POST", "/once/a%2fb?x=1&y", "body", "X-Mine", "m")
			if res.status != 201 || res.body != "hello" || res.header.Get("Signed") != "s1" || len(res.header["X-Own"]) != 2 {
				t.Errorf("got %+v", res)
			}
			if res.header.Get("X-Hop") != "" || res.header.Get("Connection") != "" {
				t.Errorf("hop-by-hop headers of a connection were forwarded: %v", res.header)
			}
		})
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	var got *http.Request
	withTestbed(t, backendHandlers{"first": func(c net.Conn, r *http.Request) bool {
		got = r
		return completeResponse()(c, r)
	}}, func(tb *testbed) {
		tb.call(context.Background(), "PUT", "/keyed/a%2fb/../c?x=1&y", "body", "Key", "k", "X-Mine", "m", "Connection", "X-Hop", "X-Hop", "h", "Team", "forged", "Deadline", "900")
	})
	if got == nil || got.Method != "PUT" || got.RequestURI != "/keyed/a%2fb/../c?x=1&y" || got.Host != "h" {
		t.Fatalf("the server got %+v", got)
	}
	h := got.Header
	if h.Get("X-Mine") != "m" || h.Get("X-Hop") != "" || h.Get("Key") != "" || h.Get("Team") != "team" || h.Get("Expect") != "first" {
		t.Errorf("the server got headers %v", h)
	}
	if h.Get("Deadline") != "900" || got.ContentLength != 4 {
		t.Errorf("deadline %q, length %d", h.Get("Deadline"), got.ContentLength)
	}
}

// TestNonIdempotentRequestRunsAtMostOnce lets the first server respond or fail in many
// ways. The second server must get the request only if the first stated that it did
// not run it, and the caller must get 503 only if no server ran it.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	for name, test := range map[string]struct {
		first  func(net.Conn, *http.Request) bool
		status int
		second bool
	}{
		"full":            {completeResponse(), 200, false},
		"rejected":        {rawResponse(notRunResponse), 200, true},
		"misdirected":     {rawResponse("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"), 502, false},
		"misdirected, id": {rawResponse("HTTP/1.1 421 No\r\nId: ID\r\nContent-Length: 0\r\n\r\n"), 200, true},
		"closed":          {func(net.Conn, *http.Request) bool { return false }, 502, false},
		"truncated body":  {rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 10\r\n\r\nhalf"), 502, false},
		"truncated head":  {rawResponse("HTTP/1.1 200 OK\r\nId: I"), 502, false},
		"no answer":       {rawResponse("what?\r\n\r\n"), 502, false},
		"unsigned":        {rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"), 502, false},
		"ID of another":   {rawResponse("HTTP/1.1 200 OK\r\nId: q7\r\nSigned: s\r\nContent-Length: 2\r\n\r\nno"), 502, false},
		"encoded":         {rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"), 502, false},
		"unsigned 503":    {rawResponse("HTTP/1.1 503 No\r\nId: ID\r\nContent-Length: 0\r\n\r\n"), 502, false},
		"signed 500":      {rawResponse("HTTP/1.1 500 No\r\nId: ID\r\nSigned: s\r\nContent-Length: 0\r\n\r\n"), 500, false},
		"silent":          {neverRespond, 504, false},
		"after another's response": {rawResponse("HTTP/1.1 200 OK\r\nId: q7\r\nSigned: s\r\nContent-Length: 2\r\n\r\nno" +
			"HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok"), 200, false},
		"100 Continue": {rawResponse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok"), 200, false},
		"no length":    {rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\n\r\nok"), 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, backendHandlers{"first": test.first, "second": completeResponse()}, func(tb *testbed) {
				res := tb.call(context.Background(), "POST", "/once/x", "body")
				if res.status != test.status || res.cut {
					t.Errorf("the caller got %d %q, cut %v; want %d", res.status, res.body, res.cut, test.status)
				}
				if n := len(tb.backends["second"].receivedIDs()); (n > 0) != test.second {
					t.Errorf("the second server got %d requests", n)
				}
				if res.status == 200 && res.body != "ok" {
					t.Errorf("body %q", res.body)
				}
			})
		})
	}
}

// TestIdempotentRequestIsRetried lets the first server fail in the ways after which
// an idempotent request is retried at the second.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, first := range (backendHandlers{
		"rejected":       rawResponse(notRunResponse),
		"closed":         func(net.Conn, *http.Request) bool { return false },
		"truncated body": rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 10\r\n\r\nhalf"),
		"unsigned":       rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"),
		"signed 500":     rawResponse("HTTP/1.1 500 No\r\nId: ID\r\nSigned: s\r\nContent-Length: 0\r\n\r\n"),
		"silent":         neverRespond,
	}) {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, backendHandlers{"first": first, "second": completeResponse()}, func(tb *testbed) {
				res := tb.call(context.Background(), "GET", "/any/x", "")
				if res.status != 200 || res.body != "ok" {
					t.Errorf("got %+v", res)
				}
			})
		})
	}
}

func TestAttemptsAreBoundedByRoute(t *testing.T) {
	closed := func(net.Conn, *http.Request) bool { return false }
	withTestbed(t, backendHandlers{"first": closed, "second": closed, "third": closed}, func(tb *testbed) {
		if res := tb.call(context.Background(), "GET", "/any/x", ""); res.status != 502 {
			t.Errorf("got %+v", res)
		}
		n := 0
		for _, b := range tb.backends {
			n += len(b.receivedIDs())
		}
		if n != 2 {
			t.Errorf("%d servers got the request", n)
		}
	})
}

func TestRejectedRequestGets503WithRetryAfter(t *testing.T) {
	withTestbed(t, backendHandlers{"first": rawResponse(notRunResponse), "second": rawResponse(notRunResponse)}, func(tb *testbed) {
		res := tb.call(context.Background(), "POST", "/once/x", "body")
		if res.status != 503 || res.header.Get("Retry-After") == "" {
			t.Errorf("got %+v", res)
		}
	})
}

func TestStreamResumesAtAnotherServer(t *testing.T) {
	allEvents := ""
	for _, e := range []string{"1", "2", "3", "4", "5"} {
		allEvents += "id: " + e + "\ndata: e" + e + "\n\n"
	}
	for name, test := range map[string]struct {
		first, second func(net.Conn, *http.Request) bool
		cut           bool
	}{
		"full":                   {streamResponse(1, 5, false), streamResponse(1, 5, false), false},
		"truncated":              {streamResponse(1, 3, true), streamResponse(4, 5, false), false},
		"truncated, overlapping": {streamResponse(1, 3, true), streamResponse(2, 5, false), false},
		"truncated at once":      {streamResponse(1, 0, true), streamResponse(1, 5, false), false},
		"rejected":               {rawResponse(notRunResponse), streamResponse(1, 5, false), false},
		"stalled": {func(c net.Conn, r *http.Request) bool {
			streamResponse(1, 2, true)(c, r)
			return neverRespond(c, r)
		}, streamResponse(3, 5, false), false},
		"truncated twice": {streamResponse(1, 3, true), streamResponse(4, 4, true), true},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, backendHandlers{"first": test.first, "second": test.second}, func(tb *testbed) {
				res := tb.call(context.Background(), "POST", "/stream/x", "body")
				if res.cut != test.cut || !test.cut && res.body != allEvents {
					t.Errorf("cut %v, body %q", res.cut, res.body)
				}
				if test.cut && !strings.HasPrefix(allEvents, res.body) {
					t.Errorf("events are out of order: %q", res.body)
				}
				if name == "truncated" && tb.backends["second"].receivedIDs()[0] != "q13" {
					t.Errorf("the second server got %v", tb.backends["second"].receivedIDs())
				}
			})
		})
	}
}

// TestStreamMovesFromStalledGroup covers the loss of a replica group's member: the
// group's head keeps the connection open but sends no more events. The stream has to
// continue at another group within the route's GapObjective.
func TestStreamMovesFromStalledGroup(t *testing.T) {
	const gapObjective = 200 * time.Millisecond
	stall := func(c net.Conn, r *http.Request) bool {
		streamResponse(1, 4, true)(c, r)
		return neverRespond(c, r)
	}
	for name, test := range map[string]struct {
		second      func(net.Conn, *http.Request) bool
		maxDuration time.Duration
	}{
		"the other group works": {streamResponse(5, 8, false), 8*50*time.Millisecond + gapObjective},
		// The route allows no third attempt, so the second one must not be abandoned.
		"the other group stalls for a while": {func(c net.Conn, r *http.Request) bool {
			const stallDuration = 700 * time.Millisecond
			_, _ = fmt.Fprintf(c, streamHeaderFormat, r.Header.Get("Id"))
			writeTestEvents(c, 5, 6)
			time.Sleep(stallDuration)
			writeTestEvents(c, 7, 8)
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, backendHandlers{"first": stall, "second": test.second}, func(tb *testbed) {
				tb.useEngineGroups()
				var logged bytes.Buffer
				tb.Logger = log.NewLogfmtLogger(&logged)
				start := time.Now()
				res := tb.call(context.Background(), "POST", "/chat/x", "body", "Model", "m")
				if res.cut || !strings.HasSuffix(res.body, "data: e8\n\n") {
					t.Errorf("cut %v, body %q", res.cut, res.body)
				}
				if !strings.Contains(logged.String(), "moving elsewhere: no events from first for") {
					t.Errorf("the log does not say why the request moved: %s", logged.String())
				}
				if took := time.Since(start); took > test.maxDuration {
					t.Errorf("took %s, more than %s", took, test.maxDuration)
				}
			})
		})
	}
}

func TestCallerDisconnectCancelsBackendWork(t *testing.T) {
	connClosed := make(chan struct{})
	withTestbed(t, backendHandlers{"first": func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(connClosed)
		return false
	}}, func(tb *testbed) {
		ctx, disconnect := context.WithCancel(context.Background())
		go func() {
			time.Sleep(100 * time.Millisecond)
			disconnect()
		}()
		if res := tb.call(ctx, "POST", "/once/x", "body"); !res.cut {
			t.Errorf("got %+v", res)
		}
		// The server must stop working at most 500 ms after the caller disconnects.
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		select {
		case <-connClosed:
		default:
			t.Error("the server still works on the request")
		}
	})
}

func TestRequestValidation(t *testing.T) {
	withTestbed(t, backendHandlers{"first": completeResponse()}, func(tb *testbed) {
		for name, test := range map[string]struct {
			target, body string
			header       []string
			status       int
		}{
			"valid":            {"/keyed/x", "b", []string{"Key", "k"}, 200},
			"no key":           {"/keyed/x", "b", nil, 401},
			"wrong key":        {"/keyed/x", "b", []string{"Key", "kk"}, 401},
			"public":           {"/once/x", "b", nil, 200},
			"no route":         {"/nowhere/x", "b", nil, 404},
			"body too large":   {"/once/x", strings.Repeat("b", 101), nil, 413},
			"header too large": {"/once/x", "b", []string{"X", strings.Repeat("h", 2100)}, 431},
		} {
			if res := tb.call(context.Background(), "POST", test.target, test.body, test.header...); res.status != test.status {
				t.Errorf("%s: status %d, want %d", name, res.status, test.status)
			}
		}
		// Once the last confirmation is nearly MaxRevocationDelay old, no key may be
		// accepted, but public routes are still served.
		time.Sleep(4600 * time.Millisecond)
		if res := tb.call(context.Background(), "POST", "/keyed/x", "b", "Key", "k"); res.status != 503 {
			t.Errorf("a key that was not confirmed recently got %d", res.status)
		}
		if res := tb.call(context.Background(), "POST", "/once/x", "b"); res.status != 200 {
			t.Errorf("a public route without recent confirmation got %d", res.status)
		}
	})
}

func TestForwarderWithoutCatalogRejectsRequests(t *testing.T) {
	withTestbed(t, backendHandlers{"first": completeResponse()}, func(tb *testbed) {
		tb.catalog.Store(nil)
		if res := tb.call(context.Background(), "POST", "/once/x", "b"); res.status != 503 {
			t.Errorf("status %d", res.status)
		}
		if tb.CanServe() {
			t.Error("CanServe holds for a front without a catalog")
		}
	})
}

// TestRetryBudgetBoundsRetries lets one server fail every request. The retries must
// stay within the retry budget.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	closed := func(net.Conn, *http.Request) bool { return false }
	withTestbed(t, backendHandlers{"first": closed, "second": completeResponse()}, func(tb *testbed) {
		tb.RetryRatio, tb.RetrySlack = 0.2, 10
		const n = 200
		for range n {
			tb.call(context.Background(), "GET", "/any/x", "")
		}
		if got := len(tb.backends["first"].receivedIDs()) + len(tb.backends["second"].receivedIDs()); float64(got) > n*1.2+10 {
			t.Errorf("%d requests were sent %d times", n, got)
		}
	})
}

// TestSuspicionKeepsFieldNamesInDump guards the field names that operators read in the
// JSON dump, which differ from the Go names.
func TestSuspicionKeepsFieldNamesInDump(t *testing.T) {
	got, err := json.Marshal(Suspicion{Server: "s", SinceLastResponse: 5, ConnectFailures: 3, StalledRequests: 2})
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != `{"Server":"s","AnsweredAgo":5,"Unreachable":3,"Stalled":2}` {
		t.Errorf("the JSON form is %s", got)
	}
}
