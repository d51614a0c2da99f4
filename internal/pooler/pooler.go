// Package pooler keeps HTTP/1.1 connections to backend servers.
//
// The standard library's client hides what a relay has to know: whether a
// connection is fresh, whether a request may have been read, and what came on a
// connection while nobody waited for it. A Pool hands out plain connections with
// a buffered reader; requests are written and answers read with the standard
// library's parser. It repeats nothing by itself.
package pooler

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("connection")

// ErrConnLimit means that no connection may be opened, because as many as allowed
// are in use.
var ErrConnLimit = errs.New("as many connections as allowed are in use")

// Bounds on connections.
const (
	// idleBound is how long an unused connection is kept when the server states
	// nothing.
	idleBound = 4 * time.Second
	// idleMargin is taken off the time that a server states, for the way of a
	// request to it.
	idleMargin = 500 * time.Millisecond
	readBuffer = 4 << 10
)

// Pool keeps the connections of one front. Exported fields are set before use.
type Pool struct {
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	hosts map[string]*host
}

type host struct {
	idle []*Conn
	open int
}

// Conn is a connection that is lent to one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is set on a connection that has carried a request before.
	Reused bool

	pool    *Pool
	address string
	expires time.Time
	closed  bool
}

// Get lends a connection to an address, of which at most limit are open; 0 means
// no limit. A fresh one has carried nothing before.
func (p *Pool) Get(ctx context.Context, address string, limit int, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	if !p.reserve(address, limit) {
		return nil, ErrConnLimit
	}
	nc, err := p.Dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, Error.Wrap(err)
	}
	return &Conn{Conn: nc, Reader: bufio.NewReaderSize(nc, readBuffer), pool: p, address: address}, nil
}

// takeIdle returns an unused connection that is still sound, the newest first.
func (p *Pool) takeIdle(address string) *Conn {
	for {
		p.mu.Lock()
		h := p.hosts[address]
		if h == nil || len(h.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		p.mu.Unlock()
		if time.Now().Before(c.expires) && c.isQuiet() {
			c.Reused = true
			return c
		}
		c.Discard()
	}
}

// reserve counts a connection that is about to be opened, and closes an unused
// one in its place when the limit is reached.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = map[string]*host{}
	}
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	if limit > 0 && h.open >= limit {
		if len(h.idle) == 0 {
			return false
		}
		c := h.idle[0]
		h.idle = h.idle[1:]
		c.closed = true
		_ = c.Close()
		h.open--
	}
	h.open++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		return
	}
	h.open--
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// Release gives the connection back for other requests. Idle is how long the server
// keeps it, 0 when it did not say.
func (c *Conn) Release(idle time.Duration) {
	bound := idleBound
	if idle > 0 {
		bound = min(bound, idle-idleMargin)
	}
	if bound <= 0 || c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.Discard()
		return
	}
	c.expires = time.Now().Add(bound)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	h := c.pool.hosts[c.address]
	if h == nil || c.closed {
		_ = c.Close()
		return
	}
	h.idle = append(h.idle, c)
}

// Discard closes the connection for good.
func (c *Conn) Discard() {
	c.pool.mu.Lock()
	closed := c.closed
	c.closed = true
	c.pool.mu.Unlock()
	if closed {
		return
	}
	_ = c.Close()
	c.pool.release(c.address)
}

// isQuiet reports whether nothing has come on an unused connection: neither its
// end nor bytes that nobody asked for.
func (c *Conn) isQuiet() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// CloseExpired closes the unused connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	var over []*Conn
	p.mu.Lock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				over = append(over, c)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range over {
		c.Discard()
	}
}
