package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestStatusThatIsNoneIsNoAnswer guards against answers with a status that HTTP does not have, or that
// answers no request of ours. They were passed on, or waited for as informational ones.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+99", "+20", "101", "600", "999"} {
		respond := func(c net.Conn, r *http.Request) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 %s Strange\r\nId: %s\r\nSigned: s\r\nContent-Length: 7\r\n\r\nstrange", status, r.Header.Get("Id"))
			return err == nil
		}
		for path, want := range map[string]int{"/once/x": http.StatusBadGateway, "/any/x": http.StatusOK} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				backends := backendHandlers{"first": respond}
				if want == http.StatusOK {
					backends["second"] = rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 4\r\n\r\ngood")
				}
				withTestbed(t, backends, func(tb *testbed) {
					startedAt := time.Now()
					res := tb.call(context.Background(), "POST", path, "b")
					if res.cut || res.status != want || res.body == "strange" {
						t.Errorf("status %d, cut %v, body %q, want status %d", res.status, res.cut, res.body, want)
					}
					if took := time.Since(startedAt); took > 100*time.Millisecond {
						t.Errorf("the request ended after %s", took)
					}
				})
			})
		}
	}
}

// TestInformationalResponsesAreSkipped checks that the statuses from 100 on, but for a switch of protocols,
// do not end a request.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	head := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Unknown\r\n\r\n"
	respond := rawResponse(head + "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 4\r\n\r\ngood")
	withTestbed(t, backendHandlers{"first": respond}, func(tb *testbed) {
		if res := tb.call(context.Background(), "POST", "/once/x", "b"); res.cut || res.status != http.StatusOK || res.body != "good" {
			t.Errorf("got %+v", res)
		}
	})
}
