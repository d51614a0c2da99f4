package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/tracker"
)

// TestSecondCopyOfAnAnswerReachesNobody guards against a late second copy of an answer,
// which arrives when the connection is in use for the next request.
func TestSecondCopyOfAnAnswerReachesNobody(t *testing.T) {
	for name, ids := range map[string][2]string{"other ids": {"q1", "q2"}, "the same id": {"q1", "q1"}, "no id": {"", ""}} {
		t.Run(name, func(t *testing.T) {
			count := 0
			doubling := func(c net.Conn, r *http.Request) bool {
				count++
				if count > 1 {
					return completeResponse()(c, r)
				}
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Length: 1\r\n\r\n%d", r.Header.Get("Id"), count)
				if _, err := c.Write([]byte(answer)); err != nil {
					return false
				}
				// The second copy is written once the next request has been.
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return false
				}
				time.Sleep(time.Millisecond)
				_, err := c.Write([]byte(answer))
				return err == nil
			}
			withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": doubling}, func(tb *testbed) {
				for i, id := range ids {
					if res := tb.call(context.Background(), "GET", "/any/x", "", "Id", id); res.body == "1" && i == 1 {
						t.Errorf("the second request got the answer to the first: %+v", res)
					}
				}
			})
		})
	}
}

// TestBodyOfDroppedAnswerIsNotTheNextAnswer guards against reusing a connection on which
// the body of an answer that was dropped for a retry is still to come.
func TestBodyOfDroppedAnswerIsNotTheNextAnswer(t *testing.T) {
	requests := 0
	failing := func(c net.Conn, r *http.Request) bool {
		requests++
		if requests > 1 {
			return completeResponse()(c, r)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Failed\r\nId: %s\r\nSigned: s\r\nContent-Length: 60\r\n\r\n", r.Header.Get("Id"))
		time.Sleep(100 * time.Millisecond)
		_, err := fmt.Fprintf(c, "%-60s", "HTTP/1.1 200 OK\r\nId: q2\r\nSigned: s\r\nContent-Length: 1\r\n\r\nX")
		return err == nil
	}
	withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": failing, "second": completeResponse()}, func(tb *testbed) {
		tb.call(context.Background(), "GET", "/any/x", "")
		tb.SetServers([]*tracker.Server{{
			ID: "first", Service: "svc", Address: "first:1", Domain: "z", Slots: 4, Incarnation: 1, LastHeartbeatAt: time.Now(),
		}}, nil)
		time.Sleep(90 * time.Millisecond)
		if res := tb.call(context.Background(), "GET", "/any/x", "", "Id", "q2"); strings.Contains(res.body, "X") {
			t.Errorf("got the body of an earlier answer: %+v", res)
		}
		time.Sleep(time.Second)
	})
}
