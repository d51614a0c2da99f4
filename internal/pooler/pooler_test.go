package pooler

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// peer is the other end of the connections, on the loopback interface: whether a
// connection is quiet can only be seen on a real socket.
type peer struct {
	l     net.Listener
	conns chan net.Conn
}

func newPeer(t *testing.T) (*peer, *Pool) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &peer{l: l, conns: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.conns <- c
		}
	}()
	return p, &Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
}

func (p *peer) get(t *testing.T, pool *Pool, limit int, fresh bool) *Conn {
	t.Helper()
	c, err := pool.Get(context.Background(), p.l.Addr().String(), limit, fresh)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestConnectionIsUsedAgain(t *testing.T) {
	p, pool := newPeer(t)
	first := p.get(t, pool, 0, false)
	if first.Reused {
		t.Error("a new connection says that it was used")
	}
	first.Release(0)
	second := p.get(t, pool, 0, false)
	if second != first || !second.Reused {
		t.Error("the connection was not used again")
	}
	second.Release(0)
	if p.get(t, pool, 0, true) == first {
		t.Error("a request that needs a fresh connection got a used one")
	}
}

// waitFor waits until the kernel has carried what the other end did.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 1000 {
		if is() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s: not seen", what)
}

func TestConnectionThatIsNotQuietIsNotUsed(t *testing.T) {
	for name, disturb := range map[string]func(c net.Conn){
		"closed":        func(c net.Conn) { _ = c.Close() },
		"extra answer":  func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n") },
		"reset by peer": func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			p, pool := newPeer(t)
			c := p.get(t, pool, 0, false)
			disturb(<-p.conns)
			waitFor(t, name, func() bool { return !c.isQuiet() })
			c.Release(0)
			if p.get(t, pool, 0, false) == c {
				t.Error("the connection was used again")
			}
		})
	}
}

func TestLimitOfConnections(t *testing.T) {
	p, pool := newPeer(t)
	a, b := p.get(t, pool, 2, false), p.get(t, pool, 2, false)
	if _, err := pool.Get(context.Background(), p.l.Addr().String(), 2, false); !errors.Is(err, ErrConnLimit) {
		t.Errorf("a third connection: %v", err)
	}
	a.Discard()
	a.Discard()
	c := p.get(t, pool, 2, false)
	b.Release(0)
	// A fresh one takes the place of one that is not in use.
	p.get(t, pool, 2, true)
	if _, err := pool.Get(context.Background(), p.l.Addr().String(), 2, true); !errors.Is(err, ErrConnLimit) {
		t.Errorf("over the limit: %v", err)
	}
	c.Discard()
}

func TestUnusedConnectionsEnd(t *testing.T) {
	p, pool := newPeer(t)
	c := p.get(t, pool, 0, false)
	c.Release(time.Second)
	pool.CloseExpired(time.Now().Add(400 * time.Millisecond))
	if len(pool.hosts) != 1 {
		t.Fatal("a connection was closed before its time")
	}
	pool.CloseExpired(time.Now().Add(600 * time.Millisecond))
	if len(pool.hosts) != 0 {
		t.Error("a connection is kept for longer than the server keeps it, less a margin")
	}
	c = p.get(t, pool, 0, false)
	c.Release(idleMargin)
	if p.get(t, pool, 0, false) == c {
		t.Error("a connection that the server keeps for no time was used again")
	}
}
