package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/internal/withholder"
)

// waitResponse turns a request away and asks to wait for 8 s.
const waitResponse = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n"

// asksToWait writes waitResponse, and keeps the connection.
func asksToWait() func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		_, err := c.Write([]byte(waitResponse))
		return err == nil
	}
}

// withhold makes a server known as one that asks to wait.
func (tb *testbed) withhold(id identifier.Server, wait time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.chooser.Withheld.Observe(tb.Elapsed(), id, 1, withholder.Statement{Wait: wait, SaidAt: uint64(time.Now().UnixMilli())}, "q0")
}

// TestNoServerIsUsedWhileAllAskToWait guards against requests that are sent to a server that has
// asked to wait because there is no other, and against refusals that are late or without the time
// at which the first server takes requests again.
func TestNoServerIsUsedWhileAllAskToWait(t *testing.T) {
	for _, path := range []string{"/any/x", "/once/x", "/stream/x"} {
		withTestbed(t, backendHandlers{"first": asksToWait(), "second": asksToWait()}, func(tb *testbed) {
			for i := range 70 {
				sentAt := time.Now()
				res := tb.call(context.Background(), "GET", path, "", "Id", fmt.Sprint("q", i))
				wait, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
				left := 8 - time.Since(tb.startedAt).Seconds()
				if res.status != 503 || res.body != "asked_to_wait\n" || err != nil || wait < left-0.1 || time.Since(sentAt) > 10*time.Millisecond {
					t.Errorf("%s: request %d: status %d %q, Retry-After %q, %.1f s are left", path, i, res.status, res.body, res.header.Get("Retry-After"), left)
				}
				time.Sleep(100 * time.Millisecond)
			}
			if first, second := len(tb.backends["first"].receivedIDs()), len(tb.backends["second"].receivedIDs()); first != 1 || second != 1 {
				t.Errorf("%s: the servers got %d and %d requests", path, first, second)
			}
			time.Sleep(2 * time.Second)
			tb.call(context.Background(), "GET", path, "", "Id", "later")
			if got := len(tb.backends["first"].receivedIDs()); got != 2 {
				t.Errorf("%s: the server got %d requests up to the end of its time, want one more", path, got)
			}
		})
	}
}

// TestRequestWhoseDialBeganBeforeAnswerIsNotSent guards against requests to a server that has
// asked to wait while a connection for them was being opened.
func TestRequestWhoseDialBeganBeforeAnswerIsNotSent(t *testing.T) {
	withTestbed(t, backendHandlers{"first": completeResponse(), "second": completeResponse()}, func(tb *testbed) {
		dial := tb.Pool.Dial
		tb.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(50 * time.Millisecond)
			return dial(ctx, address)
		}
		time.AfterFunc(20*time.Millisecond, func() { tb.withhold("first", 8*time.Second) })
		if res := tb.call(context.Background(), "POST", "/once/x", "b"); res.status != 200 {
			t.Errorf("status %d %q", res.status, res.body)
		}
		if got := tb.backends["first"].receivedIDs(); len(got) > 0 || tb.counts.withdrawn.Count() != 1 {
			t.Errorf("the server that asks to wait got %v; %d requests were withdrawn", got, tb.counts.withdrawn.Count())
		}
	})
}

// TestReservedServerThatAsksToWaitIsNotUsed guards against retries to a server that was reserved
// for them before it asked to wait.
func TestReservedServerThatAsksToWaitIsNotUsed(t *testing.T) {
	withTestbed(t, backendHandlers{"first": completeResponse()}, func(tb *testbed) {
		q := &request{f: tb.Forwarder, reserved: chooser.Choice{Server: &tracker.Server{ID: "first", Incarnation: 1}}}
		tb.withhold("first", time.Second)
		if c := q.takeReserved(); c.Server != nil {
			t.Errorf("%s is used", c.Server.ID)
		}
	})
}

// TestBrokenStreamIsNotResumedWhereWaitIsAskedFor guards against streams that go on at a server
// that has asked to wait.
func TestBrokenStreamIsNotResumedWhereWaitIsAskedFor(t *testing.T) {
	withTestbed(t, backendHandlers{"first": streamResponse(1, 3, true), "second": streamResponse(4, 5, false)}, func(tb *testbed) {
		tb.withhold("second", time.Second)
		if res := tb.call(context.Background(), "GET", "/stream/x", ""); !res.cut {
			t.Errorf("got %q", res.body)
		}
		if got := tb.backends["second"].receivedIDs(); len(got) > 0 {
			t.Errorf("the server that asks to wait got %v", got)
		}
	})
}

// TestWaitIsCountedOnClockThatSuspensionsDoNotStop guards against waits that last longer because
// the VM of the front was suspended, and against ones that end early.
func TestWaitIsCountedOnClockThatSuspensionsDoNotStop(t *testing.T) {
	for suspended, served := range map[time.Duration]bool{0: false, 5 * time.Second: false, 7 * time.Second: true} {
		withTestbed(t, backendHandlers{"first": completeResponse()}, func(tb *testbed) {
			tb.withhold("first", 8*time.Second)
			elapsed := tb.Elapsed
			tb.Elapsed = func() time.Duration { return elapsed() + suspended }
			time.Sleep(2 * time.Second)
			tb.SetConfirmed(tb.Elapsed())
			if res := tb.call(context.Background(), "GET", "/any/x", ""); (res.status == 200) != served {
				t.Errorf("suspended for %s: status %d", suspended, res.status)
			}
		})
	}
}

// TestWaitBelongsToIncarnation guards against servers that get no requests because of what
// another run of them, or another server at their address, has asked for.
func TestWaitBelongsToIncarnation(t *testing.T) {
	for name, change := range map[string]func(*tracker.Server){
		"a run that starts after that":    func(s *tracker.Server) { s.Incarnation = uint64(time.Now().Add(time.Second).UnixMilli()) },
		"a run that had started by then":  func(s *tracker.Server) { s.Incarnation = uint64(time.Now().Add(-time.Second).UnixMilli()) },
		"another server at the address":   func(s *tracker.Server) { s.ID = "other" },
		"the same run in another group":   func(s *tracker.Server) { s.Membership.Epoch = 7 },
		"the same run, not ready a while": nil,
	} {
		withTestbed(t, backendHandlers{"first": completeResponse()}, func(tb *testbed) {
			server := tracker.Server{ID: "first", Service: "svc", Address: "first:1", Domain: "z", Slots: 4, Incarnation: 1, LastHeartbeatAt: time.Now()}
			tb.withhold("first", 8*time.Second)
			same := change == nil
			if same {
				tb.SetServers(nil, nil)
			} else {
				change(&server)
				// A run that had started may be the one that answered.
				same = server.ID == "first" && server.Incarnation <= uint64(time.Now().UnixMilli())
			}
			tb.SetServers([]*tracker.Server{&server}, nil)
			if res := tb.call(context.Background(), "GET", "/any/x", ""); (res.status == 503) != same {
				t.Errorf("%s: status %d", name, res.status)
			}
		})
	}
}

// TestAnswerHoldsForLifeThatHadStarted guards against a server that gets requests though it has asked for none,
// in an answer that came before the heartbeats of its present run.
func TestAnswerHoldsForLifeThatHadStarted(t *testing.T) {
	withTestbed(t, backendHandlers{"first": asksToWait()}, func(tb *testbed) {
		server := tracker.Server{ID: "first", Service: "svc", Address: "first:1", Domain: "z", Slots: 4, Incarnation: 1, LastHeartbeatAt: time.Now()}
		started := uint64(time.Now().UnixMilli())
		tb.call(context.Background(), "GET", "/any/x", "")
		time.Sleep(100 * time.Millisecond)
		server.Incarnation = started
		tb.SetServers([]*tracker.Server{&server}, nil)
		before := len(tb.backends["first"].receivedIDs())
		tb.call(context.Background(), "GET", "/any/x", "")
		if got := len(tb.backends["first"].receivedIDs()); got > before {
			t.Errorf("the server got %d requests after it had asked to wait", got-before)
		}
	})
}

// TestStatementsOfOtherAnswersAreIgnored guards against servers that get no requests because of
// an answer that does not ask to wait, or that is not their own.
func TestStatementsOfOtherAnswersAreIgnored(t *testing.T) {
	for name, response := range map[string]string{
		"served":               "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n",
		"too many of a caller": "HTTP/1.1 429 Slow\r\nId: ID\r\nNot-Run: 1\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n",
		"another server":       "HTTP/1.1 421 Wrong\r\nId: ID\r\nNot-Run: 1\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n",
		"another request":      "HTTP/1.1 503 Busy\r\nId: older\r\nNot-Run: 1\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n",
		"unreadable":           "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nRetry-After: later\r\nContent-Length: 0\r\n\r\n",
	} {
		withTestbed(t, backendHandlers{"first": rawResponse(response)}, func(tb *testbed) {
			tb.call(context.Background(), "GET", "/any/x", "")
			if w := tb.Withheld(); len(w) > 0 {
				t.Errorf("%s: %+v", name, w)
			}
			if n := tb.counts.unreadable.Count(); n > 0 != (name == "unreadable") {
				t.Errorf("%s: %d statements could not be read", name, n)
			}
		})
	}
}

// TestEveryAnswerOfServerCanAskToWait guards against requests to a server that has asked to wait in an
// answer without signature, or in one to a request that it ran.
func TestEveryAnswerOfServerCanAskToWait(t *testing.T) {
	for name, response := range map[string]string{
		"refusal":            "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n",
		"refusal without id": "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n",
		"ran":                "HTTP/1.1 503 Busy\r\nId: ID\r\nSigned: s\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n",
		"unsigned":           "HTTP/1.1 503 Busy\r\nId: ID\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n",
	} {
		withTestbed(t, backendHandlers{"first": rawResponse(response)}, func(tb *testbed) {
			tb.call(context.Background(), "POST", "/once/x", "b")
			if w := tb.Withheld(); len(w) != 1 || w[0].Left != 8*time.Second {
				t.Errorf("%s: %+v", name, w)
			}
		})
	}
}

// TestServerThatLiesTakesNothingFromOthers guards against a route that ends because one of its
// servers names times at random.
func TestServerThatLiesTakesNothingFromOthers(t *testing.T) {
	values := []string{"1e300", "-5", "NaN", "Inf", "", "0", "x", "1, 2", "3600"}
	for _, value := range values {
		lies := fmt.Sprintf("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", value)
		withTestbed(t, backendHandlers{"first": rawResponse(lies), "second": completeResponse()}, func(tb *testbed) {
			var wg sync.WaitGroup
			for i := range 50 {
				wg.Go(func() {
					if res := tb.call(context.Background(), "POST", "/once/x", "b", "Id", fmt.Sprint("q", i)); res.status != 200 {
						t.Errorf("%q: status %d %q", value, res.status, res.body)
					}
				})
				time.Sleep(20 * time.Millisecond)
			}
			wg.Wait()
		})
	}
}

// TestRunningStreamGoesOnAtServerThatLeaves guards against streams that are cut or moved because
// their server says that it leaves, and against new requests on connections to it that are kept.
func TestRunningStreamGoesOnAtServerThatLeaves(t *testing.T) {
	leaving := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		writeTestEvents(c, 1, 40)
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
	withTestbed(t, backendHandlers{"first": leaving, "second": streamResponse(1, 2, false)}, func(tb *testbed) {
		done := make(chan callResult)
		go func() { done <- tb.call(context.Background(), "GET", "/stream/x", "", "Id", "running") }()
		time.Sleep(100 * time.Millisecond)
		for i := range 5 {
			if res := tb.call(context.Background(), "GET", "/stream/x", "", "Id", fmt.Sprint("q", i)); res.status != 200 || res.cut {
				t.Errorf("request %d: status %d", i, res.status)
			}
		}
		if res := <-done; res.cut || !strings.HasSuffix(res.body, "data: e40\n\n") {
			t.Errorf("the running stream: cut %v, body %q", res.cut, res.body)
		}
		tb.call(context.Background(), "GET", "/stream/x", "", "Id", "later")
		if got := tb.backends["first"].receivedIDs(); len(got) != 1 {
			t.Errorf("the server that leaves got %v", got)
		}
		if w := tb.Withheld(); len(w) != 1 || !w[0].Leaving || w[0].Source != "running" {
			t.Errorf("known of servers: %+v", w)
		}
		if d := tb.Departures(); d["first"] != 1 {
			t.Errorf("departures: %v", d)
		}
	})
}
