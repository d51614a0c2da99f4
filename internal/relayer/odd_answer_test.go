package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/refuser"
)

// newRawBackend returns the address of a server that answers each request by respond, byte by byte,
// and closes the connection.
func newRawBackend(t *testing.T, respond func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				respond(c)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// sendToRawBackend sends a chat request through an entry whose server answers by respond.
func sendToRawBackend(t *testing.T, body string, respond func(c net.Conn)) (status int, answer string, statement string, err error) {
	t.Helper()
	entry := newBenchRelayer(newRawBackend(t, respond))
	defer entry.Close()
	req, err := http.NewRequest(http.MethodPost, entry.URL+chatPath, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	client := &http.Client{
		Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Header.Get(refuser.HeaderStatement), err
}

// TestStatusThatIsNoneIsRefused guards against callers who get a closed connection, or the answer, when a
// server answers with a status that HTTP does not have.
func TestStatusThatIsNoneIsRefused(t *testing.T) {
	for _, status := range []string{"000", "099", "+99", "101", "600", "999"} {
		got, answer, statement, err := sendToRawBackend(t, benchBody, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Strange\r\nContent-Length: 7\r\n\r\nstrange")
		})
		if err != nil || got != http.StatusBadGateway || statement != string(refuser.MayHaveRun) || strings.Contains(answer, "strange\"") {
			t.Errorf("%s: status %d, statement %q, %q, %v", status, got, statement, answer, err)
		}
	}
}

// TestRedirectIsPassedOn guards against requests that an entry sends where the answer of a server says.
func TestRedirectIsPassedOn(t *testing.T) {
	elsewhere := newRawBackend(t, func(net.Conn) { t.Error("the entry followed a redirect") })
	for _, code := range []int{301, 302, 303, 307, 308} {
		status, _, _, err := sendToRawBackend(t, benchBody, func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Elsewhere\r\nLocation: %s/\r\nContent-Length: 0\r\n\r\n", code, elsewhere)
		})
		if err != nil || status != code {
			t.Errorf("%d: status %d, %v", code, status, err)
		}
	}
}

// TestAnswersWithoutEndAreCutOff guards against memory that fills with bytes of a server that are no answer.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	line := strings.Repeat("x", 16<<10)
	for name, test := range map[string]struct{ start, data string }{
		"status line":     {"", line},
		"header line":     {"HTTP/1.1 200 OK\r\nA: ", line},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "A: " + line[:1000] + "\r\n"},
		"informational":   {"", "HTTP/1.1 103 Early Hints\r\nA: " + line[:1000] + "\r\n\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", line},
		"chunk length":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 16<<10)},
		"trailers":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + line[:1000] + "\r\n"},
		"refusal":         {"HTTP/1.1 503 Full\r\n" + refuser.HeaderStatement + ": not_run\r\n\r\n", line},
	} {
		t.Run(name, func(t *testing.T) {
			written := 0
			ended := make(chan struct{})
			startedAt := time.Now()
			_, _, _, _ = sendToRawBackend(t, benchBody, func(c net.Conn) {
				defer close(ended)
				_ = c.SetWriteDeadline(time.Now().Add(15 * time.Second))
				_, _ = io.WriteString(c, test.start)
				for {
					n, err := io.WriteString(c, test.data)
					written += n
					if err != nil {
						return
					}
				}
			})
			<-ended
			if took := time.Since(startedAt); took > 10*time.Second || written > 16<<20 {
				t.Errorf("the entry took %d bytes in %s", written, took)
			}
		})
	}
}
