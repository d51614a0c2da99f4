package fronter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
)

// TestAnswerIsNotOvertakenByReset guards against answers that a reset cuts off, because the connection is closed while it
// holds bytes of the caller that were not read.
func TestAnswerIsNotOvertakenByReset(t *testing.T) {
	const size = 2 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}), func() cataloger.Limits { return cataloger.Limits{} })
	server.Init()
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	for name, more := range map[string]string{"a blank line": "\r\n", "another request": "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if err := c.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			_, _ = fmt.Fprint(c, more)
			// The caller begins to read once the front has written the whole answer.
			time.Sleep(300 * time.Millisecond)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			n, err := io.Copy(io.Discard, resp.Body)
			if n != size || err != nil {
				t.Errorf("the caller got %d bytes of %d: %v", n, size, err)
			}
		})
	}
}
