package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// pausingStream writes a stream of the given number of events and pauses once, before an event or, for 1, before the
// header.
func pausingStream(events, pauseBefore int, pause time.Duration) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		if pauseBefore == 1 {
			time.Sleep(pause)
		}
		_, _ = fmt.Fprintf(c, streamHeaderFormat, r.Header.Get("Id"))
		for i := 1; i <= events; i++ {
			if i == pauseBefore && i > 1 {
				time.Sleep(pause)
			}
			writeTestEvents(c, i, i)
		}
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
}

// resumedStream writes the events after the one that the front names, and then the end of a stream with the given number of events.
// It begins after a delay.
func resumedStream(events int, delay time.Duration) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		time.Sleep(delay)
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last"), &from)
		return streamResponse(from+1, events, false)(c, r)
	}
}

// TestAnswerOfPausingServerIsNotGivenUp guards against answers that are taken from a server that only pauses and are lost,
// since no other server takes them.
func TestAnswerOfPausingServerIsNotGivenUp(t *testing.T) {
	const pause = 1300 * time.Millisecond
	slowAnswer := func(c net.Conn, r *http.Request) bool {
		time.Sleep(pause)
		return completeResponse()(c, r)
	}
	others := backendHandlers{
		"rejects":    rawResponse(notRunResponse),
		"breaks off": func(net.Conn, *http.Request) bool { return false },
		"is silent":  neverRespond,
		"fails":      rawResponse("HTTP/1.1 500 No\r\nId: ID\r\nSigned: s\r\nContent-Length: 0\r\n\r\n"),
		"is unknown": rawResponse("what?\r\n\r\n"),
	}
	for name, other := range others {
		for _, test := range []struct {
			target  string
			respond func(net.Conn, *http.Request) bool
			want    string
		}{
			{"/chat/x", pausingStream(5, 4, pause), wholeStream(5)},
			{"/chat/x", pausingStream(5, 1, pause), wholeStream(5)},
			{"/stream/x", pausingStream(5, 4, pause), wholeStream(5)},
			{"/stream/x", pausingStream(5, 1, pause), wholeStream(5)},
			{"/any/x", slowAnswer, "ok"},
		} {
			for _, slack := range []float64{0, 1, 100} {
				t.Run(fmt.Sprintf("%s, other %s, slack %g", test.target, name, slack), func(t *testing.T) {
					withTestbed(t, backendHandlers{"first": test.respond, "second": other, "third": other, "fourth": other}, func(tb *testbed) {
						if test.target == "/chat/x" {
							tb.useEngineGroups()
						}
						tb.RetryRatio, tb.RetrySlack = 0, slack/retryBudgetShare+0.01
						res := tb.call(context.Background(), "POST", test.target, "b", "Model", "m", "Prompt", "50")
						if res.cut || res.status != http.StatusOK || res.body != test.want {
							t.Errorf("status %d, cut %v, body %q", res.status, res.cut, res.body)
						}
						time.Sleep(4 * time.Second)
					})
				})
			}
		}
	}
}

// TestFirstToGoOnKeepsTheAnswer guards against answers with parts of two servers at once, and against servers that stay at
// work on an answer that another one has gone on with.
func TestFirstToGoOnKeepsTheAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		pause, delay time.Duration
		second       bool
	}{
		"the other is sooner":    {2 * time.Second, 100 * time.Millisecond, true},
		"the silent is sooner":   {800 * time.Millisecond, 600 * time.Millisecond, false},
		"at the same time":       {600 * time.Millisecond, 100 * time.Millisecond, true},
		"the other is no sooner": {700 * time.Millisecond, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var closedAt sync.Map
			watch := func(name string, respond func(net.Conn, *http.Request) bool) func(net.Conn, *http.Request) bool {
				return func(c net.Conn, r *http.Request) bool {
					go func() {
						// The front sends nothing more, so this ends with the connection.
						_, _ = c.Read(make([]byte, 1))
						closedAt.Store(name, time.Now())
					}()
					return respond(c, r)
				}
			}
			backends := backendHandlers{"first": watch("first", pausingStream(6, 3, test.pause)), "second": watch("second", resumedStream(6, test.delay))}
			withTestbed(t, backends, func(tb *testbed) {
				res := tb.call(context.Background(), "POST", "/stream/x", "b")
				endedAt := time.Now()
				if res.cut || res.body != wholeStream(6) {
					t.Errorf("cut %v, body %q", res.cut, res.body)
				}
				time.Sleep(10 * time.Millisecond)
				loser := "first"
				if !test.second {
					loser = "second"
				}
				if at, closed := closedAt.Load(loser); !closed || at.(time.Time).After(endedAt) {
					t.Errorf("the connection to the %s server was closed at %v, the answer ended at %v", loser, at, endedAt)
				}
				time.Sleep(4 * time.Second)
			})
		})
	}
}

// TestSilentServerIsReplacedOnceAnotherHasRoom guards against a request that stays with a server that is silent for good,
// because the others rejected it once.
func TestSilentServerIsReplacedOnceAnotherHasRoom(t *testing.T) {
	var rejectsUntil time.Time
	busy := func(c net.Conn, r *http.Request) bool {
		if time.Now().Before(rejectsUntil) {
			return rawResponse(notRunResponse)(c, r)
		}
		return resumedStream(5, 0)(c, r)
	}
	stalled := func(c net.Conn, r *http.Request) bool {
		streamResponse(1, 2, true)(c, r)
		return neverRespond(c, r)
	}
	withTestbed(t, backendHandlers{"first": stalled, "second": busy, "third": busy}, func(tb *testbed) {
		rejectsUntil = time.Now().Add(1200 * time.Millisecond)
		if res := tb.call(context.Background(), "POST", "/stream/x", "b"); res.cut || res.body != wholeStream(5) {
			t.Errorf("cut %v, body %q", res.cut, res.body)
		}
	})
}

// TestMovesStayWithinAttemptsAndBudget guards against a pausing server whose request is sent to more servers than its route
// and the retry budget allow.
func TestMovesStayWithinAttemptsAndBudget(t *testing.T) {
	const slack = 5
	others := backendHandlers{"rejects": rawResponse(notRunResponse), "is silent": neverRespond}
	for name, other := range others {
		t.Run(name, func(t *testing.T) {
			backends := backendHandlers{"first": pausingStream(5, 3, 2500*time.Millisecond), "second": other, "third": other, "fourth": other}
			withTestbed(t, backends, func(tb *testbed) {
				// The route allows two runs, and a rejected request has not run.
				tb.RetryRatio, tb.RetrySlack = 0, slack/retryBudgetShare
				if res := tb.call(context.Background(), "POST", "/stream/x", "b"); res.cut || res.body != wholeStream(5) {
					t.Errorf("cut %v, body %q", res.cut, res.body)
				}
				arrivals := 0
				for _, b := range tb.backends {
					arrivals += len(b.receivedIDs())
				}
				most := 1 + slack
				if name == "is silent" {
					most = 2
				}
				if arrivals > most {
					t.Errorf("%d servers got the request, allowed %d", arrivals, most)
				}
				time.Sleep(4 * time.Second)
			})
		})
	}
}

// TestCallerWhoLeavesEndsAllAttempts guards against servers that stay at work for a caller who has left while a request was
// being moved.
func TestCallerWhoLeavesEndsAllAttempts(t *testing.T) {
	var mu sync.Mutex
	var closed []string
	silent := func(name string) func(net.Conn, *http.Request) bool {
		return func(c net.Conn, r *http.Request) bool {
			neverRespond(c, r)
			mu.Lock()
			defer mu.Unlock()
			closed = append(closed, name)
			return false
		}
	}
	withTestbed(t, backendHandlers{"first": silent("first"), "second": silent("second")}, func(tb *testbed) {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, leave)
		start := time.Now()
		res := tb.call(ctx, "POST", "/stream/x", "b")
		if !res.cut || time.Since(start) > time.Second {
			t.Errorf("after %s: %+v", time.Since(start), res)
		}
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		slices.Sort(closed)
		if got := strings.Join(closed, " "); got != "first second" {
			t.Errorf("connections were closed to %q", got)
		}
	})
}
