package acceptor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/piper"
)

// rig is a Server on a network in memory.
type rig struct {
	t       *testing.T
	server  *Server
	network *piper.Network
}

// withServer runs a test against a Server. Requests for /slow are served in slowTime.
func withServer(t *testing.T, s *Server, test func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, server: s, network: piper.New()}
		l, err := piper.Host{Network: r.network, Name: "server"}.Listen(context.Background(), "tcp", "server:80")
		if err != nil {
			t.Fatal(err)
		}
		s.Name = "test"
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if strings.HasPrefix(req.URL.Path, "/slow") {
				time.Sleep(slowTime)
			}
			_, _ = io.WriteString(w, "ok")
		})
		s.Init()
		go func() { _ = s.Serve(l) }()
		test(r)
		_ = s.Close()
		r.network.Kill("client")
		r.network.Kill("server")
		time.Sleep(time.Hour)
		synctest.Wait()
	})
}

const slowTime = 10 * time.Second

func (r *rig) dial() net.Conn {
	c, err := piper.Host{Network: r.network, Name: "client"}.DialContext(context.Background(), "tcp", "server:80")
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

// status reads an answer and returns its status, or 0 if the connection was closed without one.
func (r *rig) status(c net.Conn) int {
	r.t.Helper()
	return r.statusOf(bufio.NewReader(c))
}

// statusOf is status for a connection on which more answers follow.
func (r *rig) statusOf(reader *bufio.Reader) int {
	r.t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		r.t.Error(err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" && resp.Close {
		r.t.Error("a refusal has no Retry-After")
	}
	return resp.StatusCode
}

// write writes to a connection in a goroutine of its own until that fails.
func write(c net.Conn, text string, times int) {
	go func() {
		for range times {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}()
}

const requestStart = "GET / HTTP/1.1\r\nHost: h\r\n"

// TestHeadsWithoutEndAreRefused guards against heads that are kept far beyond the limit, which is compared at their end.
func TestHeadsWithoutEndAreRefused(t *testing.T) {
	const limit = 16 << 10
	for name, line := range map[string]string{"short lines": "a:1\r\n", "one line": "xxxxxxxx", "request line": ""} {
		t.Run(name, func(t *testing.T) {
			s := &Server{Limits: func() Limits { return Limits{HeadBytes: limit} }, Memory: &budgeter.Budget{Limit: 8 << 20}}
			withServer(t, s, func(r *rig) {
				c := r.dial()
				start := requestStart + "X: "
				if name == "request line" {
					start, line = "GET /", "xxxxxxxx"
				}
				write(c, start, 1)
				synctest.Wait()
				write(c, line, 1<<16)
				if got := r.status(c); got != http.StatusRequestHeaderFieldsTooLarge {
					t.Errorf("status %d", got)
				}
				if r.server.Memory.Used() != 0 {
					t.Errorf("%d bytes stay reserved", r.server.Memory.Used())
				}
			})
		})
	}
}

// TestHeadsInsideTheLimitAreServed checks that the largest head is served, also with a body right behind it and on a connection
// that is used again.
func TestHeadsInsideTheLimitAreServed(t *testing.T) {
	const limit = 16 << 10
	s := &Server{Limits: func() Limits { return Limits{HeadBytes: limit} }, Memory: &budgeter.Budget{Limit: 8 << 20}}
	withServer(t, s, func(r *rig) {
		c := r.dial()
		start := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\nX: "
		head := start + strings.Repeat("x", limit-len(start)-4) + "\r\n\r\n"
		for range 3 {
			write(c, head+strings.Repeat("b", 10000), 1)
			if got := r.status(c); got != http.StatusOK {
				t.Fatalf("status %d", got)
			}
		}
		synctest.Wait()
		if used := r.server.Memory.Used(); used != 0 {
			t.Errorf("%d bytes stay reserved", used)
		}
	})
}

// TestSlowHeadIsAnswered checks that a head which does not end in time gets an answer.
func TestSlowHeadIsAnswered(t *testing.T) {
	s := &Server{Limits: func() Limits { return Limits{HeadTimeout: 3 * time.Second} }}
	withServer(t, s, func(r *rig) {
		c := r.dial()
		write(c, requestStart, 1)
		startedAt := time.Now()
		if got := r.status(c); got != http.StatusRequestTimeout || time.Since(startedAt) != 3*time.Second {
			t.Errorf("status %d after %s", got, time.Since(startedAt))
		}
	})
}

// TestHeadsOfManyClientsAreBounded guards against heads inside the limit that take all memory together.
func TestHeadsOfManyClientsAreBounded(t *testing.T) {
	s := &Server{Memory: &budgeter.Budget{Limit: 1 << 20}}
	withServer(t, s, func(r *rig) {
		for range 200 {
			write(r.dial(), requestStart+strings.Repeat("a:1\r\n", 200), 1)
		}
		time.Sleep(time.Second)
		if used := r.server.Memory.Used(); used > r.server.Memory.Limit || used < r.server.Memory.Limit/2 {
			t.Errorf("%d of %d bytes are reserved", used, r.server.Memory.Limit)
		}
		c := r.dial()
		write(c, requestStart+"\r\n", 1)
		if got := r.status(c); got != http.StatusOK {
			t.Errorf("another client gets status %d", got)
		}
	})
}

// TestNewConnectionsTakeThePlaceOfWaitingOnes checks which connections are closed when there are too many: those that serve a
// request are not.
func TestNewConnectionsTakeThePlaceOfWaitingOnes(t *testing.T) {
	const most = 20
	withServer(t, &Server{MaxConnections: most}, func(r *rig) {
		kept := r.dial()
		write(kept, requestStart+"\r\n", 1)
		if got := r.status(kept); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		slow := r.dial()
		write(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", 1)
		pipelined := r.dial()
		write(pipelined, requestStart+"\r\nGET /slow HTTP/1.1\r\nHost: h\r\n\r\n", 1)
		reader := bufio.NewReader(pipelined)
		if got := r.statusOf(reader); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		for range 3 * most {
			r.dial()
			time.Sleep(50 * time.Millisecond)
		}
		if n := r.server.Connections(); n > most+1 {
			t.Errorf("%d connections are open", n)
		}
		write(kept, requestStart+"\r\n", 1)
		if got := r.status(kept); got != http.StatusOK {
			t.Errorf("a kept connection was closed before those without a request, status %d", got)
		}
		if got := r.status(slow); got != http.StatusOK {
			t.Errorf("a running request got status %d", got)
		}
		if got := r.statusOf(reader); got != http.StatusOK {
			t.Errorf("a running request that was sent right behind another one got status %d", got)
		}
	})
}

// TestUnfinishedBodiesMakeRoom checks that clients which stop short of the end of their bodies do not keep others out.
func TestUnfinishedBodiesMakeRoom(t *testing.T) {
	const most = 20
	withServer(t, &Server{MaxConnections: most}, func(r *rig) {
		for range 2 * most {
			write(r.dial(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nxxxxxxxxx", 1)
		}
		time.Sleep(time.Second)
		for range most {
			c := r.dial()
			write(c, requestStart+"\r\n", 1)
			if got := r.status(c); got != http.StatusOK {
				t.Fatalf("another client gets status %d", got)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestRefusedClientIsReadInBounds guards against a client that is refused and read without end.
func TestRefusedClientIsReadInBounds(t *testing.T) {
	withServer(t, &Server{}, func(r *rig) {
		c := r.dial()
		write(c, "GET /", 1)
		synctest.Wait()
		closed := make(chan int)
		go func() {
			sent := 0
			for {
				n, err := fmt.Fprint(c, strings.Repeat("x", 4<<10))
				sent += n
				if err != nil {
					closed <- sent
					return
				}
				// The network in memory takes any number of bytes. What counts is what the server reads.
				synctest.Wait()
			}
		}()
		if sent := <-closed; sent > 3*lingerBytes {
			t.Errorf("the client could send %d bytes", sent)
		}
	})
}

// TestClientThatDoesNotReadIsCutOff guards against clients that hold an answer, and the connection to its server, for as long as they like.
func TestClientThatDoesNotReadIsCutOff(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 1)
	s := &Server{
		Name: "test", Limits: func() Limits { return Limits{IdleTimeout: 100 * time.Millisecond} },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := io.WriteString(w, strings.Repeat("x", writePiece)); err != nil {
					failed <- err
					return
				}
			}
		}),
	}
	s.Init()
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, requestStart+"\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
}
