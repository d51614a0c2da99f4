package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
)

type answers = map[string]func(net.Conn, *http.Request) bool

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	inWorld(t, answers{"first": raw("HTTP/1.1 201 Made\r\nId: ID\r\nSigned: s1\r\nX-Own: a\r\nX-Own: b\r\nConnection: X-Hop\r\nX-Hop: h\r\nContent-Length: 5\r\n\r\nhello")},
		func(w *world) {
			a := w.call(context.Background(), "POST", "/once/a%2fb?x=1&y", "body", "X-Mine", "m")
			if a.status != 201 || a.body != "hello" || a.header.Get("Signed") != "s1" || len(a.header["X-Own"]) != 2 {
				t.Errorf("got %+v", a)
			}
			if a.header.Get("X-Hop") != "" || a.header.Get("Connection") != "" {
				t.Errorf("headers of one connection went on: %v", a.header)
			}
		})
}

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	var got *http.Request
	inWorld(t, answers{"first": func(c net.Conn, r *http.Request) bool {
		got = r
		return whole()(c, r)
	}}, func(w *world) {
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

// TestWhatMayRunOnceRunsOnce gives the first server every way to fail. The
// second one must get the request only if the first has said that it did not run
// it, and the caller must be told that it did not run only if that is true.
func TestWhatMayRunOnceRunsOnce(t *testing.T) {
	for name, test := range map[string]struct {
		first  func(net.Conn, *http.Request) bool
		status int
		second bool
	}{
		"whole":           {whole(), 200, false},
		"rejected":        {raw(notRun), 200, true},
		"misdirected":     {raw("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"), 502, false},
		"misdirected, id": {raw("HTTP/1.1 421 No\r\nId: ID\r\nContent-Length: 0\r\n\r\n"), 200, true},
		"closed":          {func(net.Conn, *http.Request) bool { return false }, 502, false},
		"torn body":       {raw("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 10\r\n\r\nhalf"), 502, false},
		"torn head":       {raw("HTTP/1.1 200 OK\r\nId: I"), 502, false},
		"no answer":       {raw("what?\r\n\r\n"), 502, false},
		"unsigned":        {raw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"), 502, false},
		"of another":      {raw("HTTP/1.1 200 OK\r\nId: q7\r\nSigned: s\r\nContent-Length: 2\r\n\r\nno"), 502, false},
		"encoded":         {raw("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"), 502, false},
		"unsigned 503":    {raw("HTTP/1.1 503 No\r\nId: ID\r\nContent-Length: 0\r\n\r\n"), 502, false},
		"own failure":     {raw("HTTP/1.1 500 No\r\nId: ID\r\nSigned: s\r\nContent-Length: 0\r\n\r\n"), 500, false},
		"silent":          {silent, 504, false},
		"late after another": {raw("HTTP/1.1 200 OK\r\nId: q7\r\nSigned: s\r\nContent-Length: 2\r\n\r\nno" +
			"HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok"), 200, false},
		"continued": {raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok"), 200, false},
		"no length": {raw("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\n\r\nok"), 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, answers{"first": test.first, "second": whole()}, func(w *world) {
				a := w.call(context.Background(), "POST", "/once/x", "body")
				if a.status != test.status || a.cut {
					t.Errorf("the caller got %d %q, cut %v; want %d", a.status, a.body, a.cut, test.status)
				}
				if n := len(w.backends["second"].got()); (n > 0) != test.second {
					t.Errorf("the second server got %d requests", n)
				}
				if a.status == 200 && a.body != "ok" {
					t.Errorf("body %q", a.body)
				}
			})
		})
	}
}

// TestWhatMayRepeatIsRepeated gives the first server the ways to fail that an
// idempotent request survives.
func TestWhatMayRepeatIsRepeated(t *testing.T) {
	for name, first := range (answers{
		"rejected":    raw(notRun),
		"closed":      func(net.Conn, *http.Request) bool { return false },
		"torn body":   raw("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 10\r\n\r\nhalf"),
		"unsigned":    raw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"),
		"own failure": raw("HTTP/1.1 500 No\r\nId: ID\r\nSigned: s\r\nContent-Length: 0\r\n\r\n"),
		"silent":      silent,
	}) {
		t.Run(name, func(t *testing.T) {
			inWorld(t, answers{"first": first, "second": whole()}, func(w *world) {
				a := w.call(context.Background(), "GET", "/any/x", "")
				if a.status != 200 || a.body != "ok" {
					t.Errorf("got %+v", a)
				}
			})
		})
	}
}

func TestNoMoreServersThanAllowed(t *testing.T) {
	closed := func(net.Conn, *http.Request) bool { return false }
	inWorld(t, answers{"first": closed, "second": closed, "third": closed}, func(w *world) {
		if a := w.call(context.Background(), "GET", "/any/x", ""); a.status != 502 {
			t.Errorf("got %+v", a)
		}
		n := 0
		for _, b := range w.backends {
			n += len(b.got())
		}
		if n != 2 {
			t.Errorf("%d servers got the request", n)
		}
	})
}

func TestRefusalIsTrueAndSaysWhenToComeBack(t *testing.T) {
	inWorld(t, answers{"first": raw(notRun), "second": raw(notRun)}, func(w *world) {
		a := w.call(context.Background(), "POST", "/once/x", "body")
		if a.status != 503 || a.header.Get("Retry-After") == "" {
			t.Errorf("got %+v", a)
		}
	})
}

func TestStreamGoesOnElsewhere(t *testing.T) {
	whole := ""
	for _, e := range []string{"1", "2", "3", "4", "5"} {
		whole += "id: " + e + "\ndata: e" + e + "\n\n"
	}
	for name, test := range map[string]struct {
		first, second func(net.Conn, *http.Request) bool
		cut           bool
	}{
		"whole":             {events(1, 5, false), events(1, 5, false), false},
		"torn":              {events(1, 3, true), events(4, 5, false), false},
		"torn, overlapping": {events(1, 3, true), events(2, 5, false), false},
		"torn at once":      {events(1, 0, true), events(1, 5, false), false},
		"rejected":          {raw(notRun), events(1, 5, false), false},
		"stands still": {func(c net.Conn, r *http.Request) bool {
			events(1, 2, true)(c, r)
			return silent(c, r)
		}, events(3, 5, false), false},
		"torn twice": {events(1, 3, true), events(4, 4, true), true},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, answers{"first": test.first, "second": test.second}, func(w *world) {
				a := w.call(context.Background(), "POST", "/stream/x", "body")
				if a.cut != test.cut || !test.cut && a.body != whole {
					t.Errorf("cut %v, body %q", a.cut, a.body)
				}
				if test.cut && !strings.HasPrefix(whole, a.body) {
					t.Errorf("events are out of order: %q", a.body)
				}
				if name == "torn" && w.backends["second"].got()[0] != "q13" {
					t.Errorf("the second server got %v", w.backends["second"].got())
				}
			})
		})
	}
}

// TestStreamLeavesAGroupThatStandsStill replays the loss of a member: the head
// goes on and gives no events. The stream has to go on elsewhere within the pause
// that its route allows.
func TestStreamLeavesAGroupThatStandsStill(t *testing.T) {
	const pauseObjective = 200 * time.Millisecond
	stuck := func(c net.Conn, r *http.Request) bool {
		events(1, 4, true)(c, r)
		return silent(c, r)
	}
	for name, test := range map[string]struct {
		second func(net.Conn, *http.Request) bool
		most   time.Duration
	}{
		"the other group moves": {events(5, 8, false), 8*50*time.Millisecond + pauseObjective},
		// The last attempt is not given up before its time.
		"the other group stands still for a while": {func(c net.Conn, r *http.Request) bool {
			const standstill = 700 * time.Millisecond
			_, _ = fmt.Fprintf(c, streamHead, r.Header.Get("Id"))
			writeEvents(c, 5, 6)
			time.Sleep(standstill)
			writeEvents(c, 7, 8)
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, answers{"first": stuck, "second": test.second}, func(w *world) {
				w.beHeads()
				var logged bytes.Buffer
				w.Logger = log.NewLogfmtLogger(&logged)
				began := time.Now()
				a := w.call(context.Background(), "POST", "/chat/x", "body", "Model", "m")
				if a.cut || !strings.HasSuffix(a.body, "data: e8\n\n") {
					t.Errorf("cut %v, body %q", a.cut, a.body)
				}
				if !strings.Contains(logged.String(), "taken elsewhere, first gave nothing for") {
					t.Errorf("the log does not say why the request moved: %s", logged.String())
				}
				if took := time.Since(began); took > test.most {
					t.Errorf("took %s, more than %s", took, test.most)
				}
			})
		})
	}
}

func TestWorkEndsWithItsCaller(t *testing.T) {
	left := make(chan struct{})
	inWorld(t, answers{"first": func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(left)
		return false
	}}, func(w *world) {
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			time.Sleep(100 * time.Millisecond)
			leave()
		}()
		if a := w.call(ctx, "POST", "/once/x", "body"); !a.cut {
			t.Errorf("got %+v", a)
		}
		// The server must not work for longer than half a second after the caller.
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		select {
		case <-left:
		default:
			t.Error("the server still works on the request")
		}
	})
}

func TestRequestsThatAreNotAllowed(t *testing.T) {
	inWorld(t, answers{"first": whole()}, func(w *world) {
		for name, test := range map[string]struct {
			target, body string
			header       []string
			status       int
		}{
			"allowed":          {"/keyed/x", "b", []string{"Key", "k"}, 200},
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
		// Without news for the bound of taken keys, none may be honoured, but a
		// public route goes on.
		time.Sleep(4600 * time.Millisecond)
		if a := w.call(context.Background(), "POST", "/keyed/x", "b", "Key", "k"); a.status != 503 {
			t.Errorf("a key that was not confirmed for long: %d", a.status)
		}
		if a := w.call(context.Background(), "POST", "/once/x", "b"); a.status != 200 {
			t.Errorf("a public route without news: %d", a.status)
		}
	})
}

func TestFrontWithoutCatalogRefuses(t *testing.T) {
	inWorld(t, answers{"first": whole()}, func(w *world) {
		w.catalog.Store(nil)
		if a := w.call(context.Background(), "POST", "/once/x", "b"); a.status != 503 {
			t.Errorf("status %d", a.status)
		}
		if w.CanServe() {
			t.Error("a front without a catalog says that it knows enough")
		}
	})
}

// TestBudgetBindsRepeats lets every answer of one server break. Repeats stay
// within the budget.
func TestBudgetBindsRepeats(t *testing.T) {
	closed := func(net.Conn, *http.Request) bool { return false }
	inWorld(t, answers{"first": closed, "second": whole()}, func(w *world) {
		w.RetryRatio, w.RetrySlack = 0.2, 10
		const n = 200
		for range n {
			w.call(context.Background(), "GET", "/any/x", "")
		}
		if got := len(w.backends["first"].got()) + len(w.backends["second"].got()); float64(got) > n*1.2+10 {
			t.Errorf("%d requests were sent %d times", n, got)
		}
	})
}
