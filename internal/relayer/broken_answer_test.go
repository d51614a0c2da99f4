package relayer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"trefoilhead.org/trefoilhead/internal/refuser"
)

// TestAnswerThatBreaksOffBeforeItsFirstByteIsRefused guards against callers who get a closed connection though
// nothing of the answer had been passed on to them.
func TestAnswerThatBreaksOffBeforeItsFirstByteIsRefused(t *testing.T) {
	heads := map[string]string{
		"length, closed":          "HTTP/1.1 201 Created\r\nContent-Length: 7\r\n\r\n",
		"chunks, closed":          "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunk extension, closed": "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n5;" + strings.Repeat("x", 100<<10),
		"no chunk":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzzz\r\n",
		"stream, closed":          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	for name, head := range heads {
		for _, body := range []string{benchBody, strings.Replace(benchBody, "{", `{"stream":true,`, 1)} {
			status, _, statement, err := sendToRawBackend(t, body, func(c net.Conn) { _, _ = io.WriteString(c, head) })
			if err != nil || status != http.StatusBadGateway || statement != string(refuser.MayHaveRun) {
				t.Errorf("%s, %.20s: status %d, statement %q, %v", name, body, status, statement, err)
			}
		}
	}
}
