package forwarder

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// writeUntilClosed writes data to the front again and again until it closes the
// connection, and returns how much it wrote.
func writeUntilClosed(c net.Conn, data string) int {
	n := 0
	for {
		m, err := c.Write([]byte(data))
		n += m
		if err != nil {
			return n
		}
		time.Sleep(time.Millisecond)
	}
}

const closeDelimitedHeader = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\n\r\n"

func TestAnswerEndsWithItsConnection(t *testing.T) {
	withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": rawResponse(closeDelimitedHeader + "whole")}, func(tb *testbed) {
		res := tb.call(context.Background(), "GET", "/any/x", "")
		if res.cut || res.status != 200 || res.body != "whole" {
			t.Errorf("got %+v", res)
		}
	})
}

func TestStreamEndsWithItsConnection(t *testing.T) {
	events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": rawResponse(closeDelimitedHeader + events)}, func(tb *testbed) {
		if res := tb.call(context.Background(), "GET", "/stream/x", ""); res.cut || res.body != events {
			t.Errorf("got %+v", res)
		}
	})
}

func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	second := func(c net.Conn, r *http.Request) bool {
		return rawResponse(closeDelimitedHeader+"id: 2\ndata: b\n\n")(c, r)
	}
	backends := map[string]func(net.Conn, *http.Request) bool{
		"first": rawResponse(closeDelimitedHeader + "id: 1\ndata: a\n\nid: 2\nda"), "second": second,
	}
	withTestbed(t, backends, func(tb *testbed) {
		res := tb.call(context.Background(), "GET", "/stream/x", "")
		if res.cut || res.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
			t.Errorf("got %+v", res)
		}
	})
}

func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": rawResponse(closeDelimitedHeader + "id: 1\ndata: a\n\nid: 2\nda")}, func(tb *testbed) {
		if res := tb.call(context.Background(), "GET", "/stream/x", ""); !res.cut {
			t.Errorf("a stream that broke off looks complete: %+v", res)
		}
	})
}

// TestBytesWithoutEndAreCutOff guards against memory that fills with bytes that are no
// answer. The front has to close the connection itself, long before the request times out.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	line := strings.Repeat("x", 16<<10)
	for name, test := range map[string]struct{ target, start, data string }{
		"status line":        {"/any/x", "", line},
		"header line":        {"/any/x", "HTTP/1.1 200 OK\r\nA: ", line},
		"header lines":       {"/any/x", "HTTP/1.1 200 OK\r\n", "A: " + line[:1000] + "\r\n"},
		"informational":      {"/any/x", "", "HTTP/1.1 100 Continue\r\nA: " + line[:1000] + "\r\n\r\n"},
		"other answer":       {"/any/x", "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\n\r\n", line},
		"rejection":          {"/any/x", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n", line},
		"event":              {"/stream/x", strings.ReplaceAll(closeDelimitedHeader, "ID", "q1") + "data: ", line},
		"event of the model": {"/chat/x", strings.ReplaceAll(closeDelimitedHeader, "ID", "q1") + "id: 1\n", line + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			endless := func(c net.Conn, _ *http.Request) bool {
				_, _ = c.Write([]byte(test.start))
				written.Add(int64(writeUntilClosed(c, test.data)))
				return false
			}
			withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": endless}, func(tb *testbed) {
				if test.target == "/chat/x" {
					tb.useEngineGroups()
				}
				startedAt := time.Now()
				res := tb.call(context.Background(), "GET", test.target, "", "Model", "m")
				if !res.cut && res.status < 500 {
					t.Errorf("got %+v", res)
				}
				if took := time.Since(startedAt); took > time.Second {
					t.Errorf("the request ended after %s", took)
				}
				time.Sleep(time.Second)
				if n := written.Load(); n > 4<<20 {
					t.Errorf("the front took %d bytes", n)
				}
			})
		})
	}
}

// TestBodyWithoutEndIsNotBuffered guards against memory that fills with the body of an
// answer. The request's timeout ends it.
func TestBodyWithoutEndIsNotBuffered(t *testing.T) {
	endless := func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Write([]byte(strings.ReplaceAll(closeDelimitedHeader, "ID", "q1")))
		writeUntilClosed(c, strings.Repeat("x", 16<<10))
		return false
	}
	withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": endless}, func(tb *testbed) {
		r, err := http.NewRequest("GET", "http://h/any/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.RequestURI = "/any/x"
		r.Header.Set("Id", "q1")
		w := &countingWriter{header: http.Header{}}
		func() {
			defer func() { _ = recover() }()
			tb.ServeHTTP(w, r)
		}()
		time.Sleep(10 * time.Millisecond)
		if w.count < 4<<20 {
			t.Errorf("only %d bytes were forwarded", w.count)
		}
	})
}

// countingWriter is a http.ResponseWriter that counts the bytes of the body.
type countingWriter struct {
	header http.Header
	count  int
}

func (w *countingWriter) Header() http.Header { return w.header }
func (w *countingWriter) WriteHeader(int)     {}
func (w *countingWriter) Write(p []byte) (int, error) {
	w.count += len(p)
	return len(p), nil
}
