package pooler

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// testServer is the server end of the connections, on the loopback interface: the
// health check of a connection needs a real socket.
type testServer struct {
	listener net.Listener
	conns    chan net.Conn
}

func newTestServer(t *testing.T) (*testServer, *Pool) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &testServer{listener: l, conns: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns <- c
		}
	}()
	return s, &Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
}

func (s *testServer) mustGet(t *testing.T, pool *Pool, limit int, fresh bool) *Conn {
	t.Helper()
	c, err := pool.Get(context.Background(), s.listener.Addr().String(), limit, fresh)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestConnectionIsReused(t *testing.T) {
	s, pool := newTestServer(t)
	first := s.mustGet(t, pool, 0, false)
	if first.Reused {
		t.Error("a new connection is marked as reused")
	}
	first.Release(0)
	second := s.mustGet(t, pool, 0, false)
	if second != first || !second.Reused {
		t.Error("the connection was not reused")
	}
	second.Release(0)
	if s.mustGet(t, pool, 0, true) == first {
		t.Error("a request that needs a new connection got a reused one")
	}
}

// waitFor waits until the kernel has delivered what the server end did.
func waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s: not seen", event)
}

func TestUnhealthyConnectionIsNotReused(t *testing.T) {
	for name, disturb := range map[string]func(c net.Conn){
		"closed":        func(c net.Conn) { _ = c.Close() },
		"extra answer":  func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n") },
		"reset by peer": func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			s, pool := newTestServer(t)
			c := s.mustGet(t, pool, 0, false)
			disturb(<-s.conns)
			waitFor(t, name, func() bool { return !c.isHealthy() })
			c.Release(0)
			if s.mustGet(t, pool, 0, false) == c {
				t.Error("the connection was reused")
			}
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	s, pool := newTestServer(t)
	a, b := s.mustGet(t, pool, 2, false), s.mustGet(t, pool, 2, false)
	if _, err := pool.Get(context.Background(), s.listener.Addr().String(), 2, false); !errors.Is(err, ErrConnLimit) {
		t.Errorf("a third connection: %v", err)
	}
	a.Discard()
	a.Discard()
	c := s.mustGet(t, pool, 2, false)
	b.Release(0)
	// A new connection replaces an idle one.
	s.mustGet(t, pool, 2, true)
	if _, err := pool.Get(context.Background(), s.listener.Addr().String(), 2, true); !errors.Is(err, ErrConnLimit) {
		t.Errorf("over the limit: %v", err)
	}
	c.Discard()
}

func TestIdleConnectionsExpire(t *testing.T) {
	s, pool := newTestServer(t)
	c := s.mustGet(t, pool, 0, false)
	c.Release(time.Second)
	pool.CloseExpired(time.Now().Add(400 * time.Millisecond))
	if len(pool.connsByAddress) != 1 {
		t.Fatal("a connection was closed before its time expired")
	}
	pool.CloseExpired(time.Now().Add(600 * time.Millisecond))
	if len(pool.connsByAddress) != 0 {
		t.Error("a connection is kept for longer than the server keeps it minus the margin")
	}
	c = s.mustGet(t, pool, 0, false)
	c.Release(idleTimeMargin)
	if s.mustGet(t, pool, 0, false) == c {
		t.Error("a connection that the server keeps for no time was reused")
	}
}
