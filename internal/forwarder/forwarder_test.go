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
		func(w *testbed) {
			a := w.call(context.Background(), "POST", "/once/a%2fb?x=1&y", "body", "X-Mine", "m")
			if a.status != 201 || a.body != "hello" || a.header.Get("Signed") != "s1" || len(a.header["X-Own"]) != 2 {
				t.Errorf("got %+v", a)
			}
			if a.header.Get("X-Hop") != "" || a.header.Get("Connection") != "" {
				t.Errorf("headers of one connection were forwarded: %v", a.header)
			}
		})
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	var got *http.Request
	withTestbed(t, backendHandlers{"first": func(c net.Conn, r *http.Request) bool {
		got = r
		return completeResponse()(c, r)
	}}, func(w *testbed) {
		w.call(context.Background(), "PUT", "/keyed/a%2fb/../c?x=1&y", "body", "Key", "k", "X-Mine", "m", "Connection", "X-Hop", "X-Hop", "h", "Team", "forged", "Deadline", "900")
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

// TestOnceRequestRunsAtMostOnce lets the first server respond or fail in many ways.
// The second server must get the request only if the first stated that it did not run
// it, and the caller must get 503 only if no server ran it.
func TestOnceRequestRunsAtMostOnce(t *testing.T) {
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
		"comes after another's": {rawResponse("HTTP/1.1 200 OK\r\nId: q7\r\nSigned: s\r\nContent-Length: 2\r\n\r\nno" +
			"HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok"), 200, false},
		"100 Continue": {rawResponse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok"), 200, false},
		"no length":    {rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\n\r\nok"), 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, backendHandlers{"first": test.first, "second": completeResponse()}, func(w *testbed) {
				a := w.call(context.Background(), "POST", "/once/x", "body")
				if a.status != test.status || a.cut {
					t.Errorf("the caller got %d %q, cut %v; want %d", a.status, a.body, a.cut, test.status)
				}
				if n := len(w.backends["second"].receivedIDs()); (n > 0) != test.second {
					t.Errorf("the second server got %d requests", n)
				}
				if a.status == 200 && a.body != "ok" {
					t.Errorf("body %q", a.body)
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
			withTestbed(t, backendHandlers{"first": first, "second": completeResponse()}, func(w *testbed) {
				a := w.call(context.Background(), "GET", "/any/x", "")
				if a.status != 200 || a.body != "ok" {
					t.Errorf("got %+v", a)
				}
			})
		})
	}
}

func TestAttemptsAreBoundedByRoute(t *testing.T) {
	closed := func(net.Conn, *http.Request) bool { return false }
	withTestbed(t, backendHandlers{"first": closed, "second": closed, "third": closed}, func(w *testbed) {
		if a := w.call(context.Background(), "GET", "/any/x", ""); a.status != 502 {
			t.Errorf("got %+v", a)
		}
		n := 0
		for _, b := range w.backends {
			n += len(b.receivedIDs())
		}
		if n != 2 {
			t.Errorf("%d servers got the request", n)
		}
	})
}

func TestRejectedRequestGets503WithRetryAfter(t *testing.T) {
	withTestbed(t, backendHandlers{"first": rawResponse(notRunResponse), "second": rawResponse(notRunResponse)}, func(w *testbed) {
		a := w.call(context.Background(), "POST", "/once/x", "body")
		if a.status != 503 || a.header.Get("Retry-After") == "" {
			t.Errorf("got %+v", a)
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
			withTestbed(t, backendHandlers{"first": test.first, "second": test.second}, func(w *testbed) {
				a := w.call(context.Background(), "POST", "/stream/x", "body")
				if a.cut != test.cut || !test.cut && a.body != allEvents {
					t.Errorf("cut %v, body %q", a.cut, a.body)
				}
				if test.cut && !strings.HasPrefix(allEvents, a.body) {
					t.Errorf("events are out of order: %q", a.body)
				}
				if name == "truncated" && w.backends["second"].receivedIDs()[0] != "q13" {
					t.Errorf("the second server got %v", w.backends["second"].receivedIDs())
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
			_, _ = fmt.Fprintf(c, streamHeadFormat, r.Header.Get("Id"))
			writeTestEvents(c, 5, 6)
			time.Sleep(stallDuration)
			writeTestEvents(c, 7, 8)
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, backendHandlers{"first": stall, "second": test.second}, func(w *testbed) {
				w.useEngineGroups()
				var logged bytes.Buffer
				w.Logger = log.NewLogfmtLogger(&logged)
				start := time.Now()
				a := w.call(context.Background(), "POST", "/chat/x", "body", "Model", "m")
				if a.cut || !strings.HasSuffix(a.body, "data: e8\n\n") {
					t.Errorf("cut %v, body %q", a.cut, a.body)
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
	}}, func(w *testbed) {
		ctx, disconnect := context.WithCancel(context.Background())
		go func() {
			time.Sleep(100 * time.Millisecond)
			disconnect()
		}()
		if a := w.call(ctx, "POST", "/once/x", "body"); !a.cut {
			t.Errorf("got %+v", a)
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
	withTestbed(t, backendHandlers{"first": completeResponse()}, func(w *testbed) {
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
			if a := w.call(context.Background(), "POST", test.target, test.body, test.header...); a.status != test.status {
				t.Errorf("%s: status %d, want %d", name, a.status, test.status)
			}
		}
		// Once the last confirmation is nearly MaxRevocationDelay old, no key may be
		// accepted, but public routes are still served.
		time.Sleep(4600 * time.Millisecond)
		if a := w.call(context.Background(), "POST", "/keyed/x", "b", "Key", "k"); a.status != 503 {
			t.Errorf("a key that was not confirmed recently: %d", a.status)
		}
		if a := w.call(context.Background(), "POST", "/once/x", "b"); a.status != 200 {
			t.Errorf("a public route without recent confirmation: %d", a.status)
		}
	})
}

func TestForwarderWithoutCatalogRejectsRequests(t *testing.T) {
	withTestbed(t, backendHandlers{"first": completeResponse()}, func(w *testbed) {
		w.catalog.Store(nil)
		if a := w.call(context.Background(), "POST", "/once/x", "b"); a.status != 503 {
			t.Errorf("status %d", a.status)
		}
		if w.CanServe() {
			t.Error("CanServe holds for a front without a catalog")
		}
	})
}

// TestRetryBudgetBoundsRetries lets one server fail every request. The retries must
// stay within the retry budget.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	closed := func(net.Conn, *http.Request) bool { return false }
	withTestbed(t, backendHandlers{"first": closed, "second": completeResponse()}, func(w *testbed) {
		w.RetryRatio, w.RetrySlack = 0.2, 10
		const n = 200
		for range n {
			w.call(context.Background(), "GET", "/any/x", "")
		}
		if got := len(w.backends["first"].receivedIDs()) + len(w.backends["second"].receivedIDs()); float64(got) > n*1.2+10 {
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
