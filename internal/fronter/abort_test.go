package fronter

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/forwarder"
)

// TestBrokenAnswerToHTTP10IsReset guards against an answer that broke off and looks complete
// to callers of HTTP/1.0, which take the end of the connection for that of the answer.
func TestBrokenAnswerToHTTP10IsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		forwarder.AbortResponse(r)
	}), func() cataloger.Limits { return cataloger.Limits{} })
	server.Init()
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprint(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the caller got %q and then %v", answer, err)
	}
}
