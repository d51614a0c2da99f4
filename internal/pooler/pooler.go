// Package pooler keeps HTTP/1.1 connections to backend servers.
//
// The standard library's client hides what a proxy has to know: whether a
// connection is new, whether the server may have read a request, and what arrived on
// a connection while it was idle. A Pool hands out plain connections with a buffered
// reader; the caller writes requests and reads responses with the standard
// library's parser. The pool never retries a request.
package pooler

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("connection")

// ErrConnLimit means that no connection may be opened, because the maximum number is
// in use.
var ErrConnLimit = errs.New("all allowed connections are in use")

// Limits on idle connections and buffers.
const (
	// maxIdleTime is the upper limit of the time that an idle connection is kept. It
	// is also that time if the server states none.
	maxIdleTime = 4 * time.Second
	// idleTimeMargin is subtracted from the time that a server states. It covers
	// the network delay of a request to the server.
	idleTimeMargin = 500 * time.Millisecond
	readBufferSize = 4 << 10
)

// Pool keeps the connections of one front to backend servers. Exported fields are
// set before use.
type Pool struct {
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConns is the bound on all connections; 0 means none.
	MaxConns int

	mu             sync.Mutex
	connsByAddress map[string]*addressConns
	// total is the number of open connections.
	total int
}

type addressConns struct {
	idle []*Conn
	open int
}

// Conn is a connection that is used by one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is set if the connection has carried a request before.
	Reused bool
	// LastRequest is for the user of the connection, to recognize responses to the
	// request that it carried before.
	LastRequest string

	source *limitedSource

	pool      *Pool
	address   string
	expiresAt time.Time
	closed    bool
}

// Get returns a connection to an address, either an idle one or a new one. At most
// limit connections to the address are open; 0 means no limit. If fresh is set, the
// connection is always a new one. The caller ends its use with Release or Discard.
func (p *Pool) Get(ctx context.Context, address string, limit int, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	if !p.reserveSlot(address, limit) {
		return nil, ErrConnLimit
	}
	nc, err := p.Dial(ctx, address)
	if err != nil {
		p.releaseSlot(address)
		return nil, Error.Wrap(err)
	}
	source := &limitedSource{conn: nc, remaining: math.MaxInt64}
	return &Conn{Conn: nc, Reader: bufio.NewReaderSize(source, readBufferSize), source: source, pool: p, address: address}, nil
}

// ErrReadLimit means that more bytes have arrived than LimitReads allows.
var ErrReadLimit = errs.New("the server sent more bytes than allowed")

// limitedSource reads a limited number of bytes from a connection.
type limitedSource struct {
	conn      net.Conn
	remaining int64
}

// Read implements io.Reader.
func (s *limitedSource) Read(p []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, ErrReadLimit
	}
	n, err := s.conn.Read(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	return n, err
}

// LimitReads makes Reader fail with ErrReadLimit once n more bytes have been read from the
// connection. Bytes that Reader has buffered do not count.
func (c *Conn) LimitReads(n int64) { c.source.remaining = n }

// UnlimitReads removes the limit.
func (c *Conn) UnlimitReads() { c.source.remaining = math.MaxInt64 }

// takeIdle returns the most recently used idle connection that is still healthy, or
// nil. It discards the others that it finds.
func (p *Pool) takeIdle(address string) *Conn {
	for {
		p.mu.Lock()
		a := p.connsByAddress[address]
		if a == nil || len(a.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		p.mu.Unlock()
		if time.Now().Before(c.expiresAt) && c.isHealthy() {
			c.Reused = true
			return c
		}
		c.Discard()
	}
}

// reserveSlot counts a connection that is about to be opened. When the limit is
// reached, it closes an idle connection to make room, or reports false if there is
// none.
func (p *Pool) reserveSlot(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connsByAddress == nil {
		p.connsByAddress = map[string]*addressConns{}
	}
	a := p.connsByAddress[address]
	if a == nil {
		a = &addressConns{}
		p.connsByAddress[address] = a
	}
	if limit > 0 && a.open >= limit {
		if len(a.idle) == 0 {
			return false
		}
		p.closeIdle(a)
	}
	if p.MaxConns > 0 && p.total >= p.MaxConns && !p.closeAnyIdle() {
		return false
	}
	a.open++
	p.total++
	return true
}

// closeIdle closes the connection to an address that has been idle longest. The caller holds mu.
func (p *Pool) closeIdle(a *addressConns) {
	c := a.idle[0]
	a.idle = a.idle[1:]
	c.closed = true
	_ = c.Close()
	a.open--
	p.total--
}

// closeAnyIdle closes an idle connection to any address, and reports whether there is one. The caller holds mu.
func (p *Pool) closeAnyIdle() bool {
	for _, a := range p.connsByAddress {
		if len(a.idle) > 0 {
			p.closeIdle(a)
			return true
		}
	}
	return false
}

func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.connsByAddress[address]
	if a == nil {
		return
	}
	a.open--
	p.total--
	if a.open <= 0 && len(a.idle) == 0 {
		delete(p.connsByAddress, address)
	}
}

// Release returns the connection to the pool for other requests. The argument
// keepAlive is how long the server keeps an idle connection open, 0 if it did not
// say. A connection that cannot be reused is discarded.
func (c *Conn) Release(keepAlive time.Duration) {
	idleTime := maxIdleTime
	if keepAlive > 0 {
		idleTime = min(idleTime, keepAlive-idleTimeMargin)
	}
	if idleTime <= 0 || c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.Discard()
		return
	}
	c.expiresAt = time.Now().Add(idleTime)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	a := c.pool.connsByAddress[c.address]
	if a == nil || c.closed {
		_ = c.Close()
		return
	}
	a.idle = append(a.idle, c)
}

// Discard closes the connection. Only the first call has an effect.
func (c *Conn) Discard() {
	c.pool.mu.Lock()
	closed := c.closed
	c.closed = true
	c.pool.mu.Unlock()
	if closed {
		return
	}
	_ = c.Close()
	c.pool.releaseSlot(c.address)
}

// isHealthy reports whether an idle connection can be reused: nothing has arrived on
// it, neither EOF nor unsolicited bytes.
func (c *Conn) isHealthy() bool {
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
	healthy := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && healthy
}

// CloseExpired closes the idle connections whose idle time is over.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for _, a := range p.connsByAddress {
		kept := a.idle[:0]
		for _, c := range a.idle {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(a.idle[len(kept):])
		a.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}
