package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// wholeHeads are the heads and bodies of whole answers, by kind of request.
var wholeHeads = map[string]struct{ path, head, body string }{
	"runs once, with a length": {"/once/x", "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 11\r\n\r\n", "whole body\n"},
	"runs once, in chunks":     {"/once/x", "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n", "b\r\nwhole body\n\r\n0\r\n\r\n"},
	"may be repeated":          {"/any/x", "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Length: 11\r\n\r\n", "whole body\n"},
	"stream in chunks": {
		"/stream/x", "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"13\r\nid: 1\ndata: whole\n\n\r\n0\r\n\r\n",
	},
	"stream of a model group": {
		"/chat/x", "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"13\r\nid: 1\ndata: whole\n\n\r\n0\r\n\r\n",
	},
}

// TestHeadThatStopsIsNoAnswer guards against answers that look whole although their server has closed the connection
// inside the head or the framed body, at each byte, at once or after a pause.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	for name, answer := range wholeHeads {
		t.Run(name, func(t *testing.T) {
			text := answer.head + answer.body
			for n := range len(text) {
				respond := func(c net.Conn, r *http.Request) bool {
					part := strings.ReplaceAll(text[:n], "ID", r.Header.Get("Id"))
					_, _ = fmt.Fprint(c, part[:len(part)/2])
					time.Sleep(time.Duration(n%3) * 10 * time.Millisecond)
					_, _ = fmt.Fprint(c, part[len(part)/2:])
					return false
				}
				withTestbed(t, backendHandlers{"first": respond}, func(tb *testbed) {
					if answer.path == "/chat/x" {
						tb.useEngineGroups()
					}
					res := tb.call(context.Background(), "POST", answer.path, "b", "Model", "m")
					if !res.cut && res.status == http.StatusOK {
						t.Errorf("%q: status %d, body %q, which looks whole", text[:n], res.status, res.body)
					}
				})
			}
		})
	}
}

// TestHeadThatStopsDoesNotEndResumedStream guards against streams that end as if they were whole, because the server at which
// they go on closes its connection inside its head.
func TestHeadThatStopsDoesNotEndResumedStream(t *testing.T) {
	answer := wholeHeads["stream in chunks"]
	for n := range len(answer.head) {
		for _, path := range []string{"/stream/x", "/chat/x"} {
			withTestbed(t, backendHandlers{"first": streamResponse(1, 2, true), "second": rawResponse(answer.head[:n])}, func(tb *testbed) {
				if path == "/chat/x" {
					tb.useEngineGroups()
				}
				if res := tb.call(context.Background(), "POST", path, "b", "Model", "m"); !res.cut {
					t.Errorf("%q: status %d, body %q, which looks whole", answer.head[:n], res.status, res.body)
				}
			})
		}
	}
}

// TestHeadThatPausesIsRead guards against answers that are lost because their head comes in two parts with a pause of seconds
// between them.
func TestHeadThatPausesIsRead(t *testing.T) {
	answer := wholeHeads["runs once, with a length"]
	for n := 1; n < len(answer.head); n += 7 {
		respond := func(c net.Conn, r *http.Request) bool {
			part := strings.ReplaceAll(answer.head+answer.body, "ID", r.Header.Get("Id"))
			_, _ = fmt.Fprint(c, part[:n])
			time.Sleep(2 * time.Second)
			_, err := fmt.Fprint(c, part[n:])
			return err == nil
		}
		withTestbed(t, backendHandlers{"first": respond}, func(tb *testbed) {
			if res := tb.call(context.Background(), "POST", answer.path, "b"); res.cut || res.status != http.StatusOK || res.body != answer.body {
				t.Errorf("pause after %d bytes: status %d, cut %v, body %q", n, res.status, res.cut, res.body)
			}
		})
	}
}
