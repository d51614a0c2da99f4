package forwarder

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// leavingCaller is a caller whose connection fails after it has received some bytes.
type leavingCaller struct {
	*httptest.ResponseRecorder
	left int
}

func (c *leavingCaller) Write(p []byte) (int, error) {
	if c.left -= len(p); c.left < 0 {
		return 0, errors.New("connection reset")
	}
	return c.ResponseRecorder.Write(p)
}

// TestCallerThatLeftIsNotCountedAsServed guards against answers that count as served, or as
// cut off by their server, although their caller had left.
func TestCallerThatLeftIsNotCountedAsServed(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedResponse)
	longResponse := rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nConnection: close\r\nContent-Length: " +
		"2097152\r\n\r\n" + long)
	for name, test := range map[string]struct {
		respond   func(net.Conn, *http.Request) bool
		received  int
		served    int64
		wantAbort bool
	}{
		"at the first byte":      {completeResponse(), 0, 0, true},
		"in a long answer":       {longResponse, maxBufferedResponse, 0, true},
		"after the whole answer": {completeResponse(), 2, 1, false},
		"after a long answer":    {longResponse, len(long), 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": test.respond}, func(tb *testbed) {
				r := httptest.NewRequest("POST", "http://h/once/x", strings.NewReader("b"))
				r.RequestURI = "/once/x"
				r.Header.Set("Id", "q1")
				aborted := false
				func() {
					defer func() { aborted = recover() != nil }()
					tb.ServeHTTP(&leavingCaller{httptest.NewRecorder(), test.received}, r)
				}()
				if served, cut := tb.counts.served.Count(), tb.counts.cut.Count(); served != test.served || cut != 0 || aborted != test.wantAbort {
					t.Errorf("%d served, %d cut, aborted %v; want %d, 0, %v", served, cut, aborted, test.served, test.wantAbort)
				}
			})
		})
	}
}
