// Package piper is a network in memory, for tests on a paused clock.
//
// Hosts can be cut off from each other: their connections stay open and go silent
// for good, and new ones are not answered until the cut ends.
package piper

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network holds the hosts and their connections.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// hosts maps an address to the host that listens on it.
	hosts map[string]string
	cut   map[[2]string]bool
	conns map[*pipeConn]bool
}

// New returns an empty Network.
func New() *Network {
	return &Network{
		listeners: map[string]*pipeListener{}, hosts: map[string]string{}, cut: map[[2]string]bool{},
		conns: map[*pipeConn]bool{},
	}
}

// Host is one machine's view of the network.
type Host struct {
	Network *Network
	Name    string
}

// Listen opens a listener of the host.
func (h Host) Listen(_ context.Context, _, address string) (net.Listener, error) {
	h.Network.mu.Lock()
	defer h.Network.mu.Unlock()
	l := &pipeListener{net: h.Network, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	h.Network.listeners[address] = l
	h.Network.hosts[address] = h.Name
	return l, nil
}

// DialContext opens a connection from the host.
func (h Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	h.Network.mu.Lock()
	l, to := h.Network.listeners[address], h.Network.hosts[address]
	isCut := h.Network.cut[[2]string{h.Name, to}]
	h.Network.mu.Unlock()
	if isCut {
		const dialBound = 3 * time.Second
		select {
		case <-ctx.Done():
		case <-time.After(dialBound):
		}
		return nil, errors.New("the dial timed out")
	}
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := h.Network.connect(h.Name, to)
	select {
	case l.incoming <- far:
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Network) connect(a, b string) (near, far *pipeConn) {
	there, back := newPipeBuffer(), newPipeBuffer()
	near = &pipeConn{net: p, from: a, to: b, in: back, out: there}
	far = &pipeConn{net: p, from: b, to: a, in: there, out: back}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[near], p.conns[far] = true, true
	return near, far
}

// SetPartitioned cuts two hosts off from each other, or ends the cut. Connections that
// were open stay silent.
func (p *Network) SetPartitioned(a, b string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[[2]string{a, b}], p.cut[[2]string{b, a}] = cut, cut
	if cut {
		p.silence(a, b)
	}
}

// silence silences the connections between two hosts. The caller holds mu.
func (p *Network) silence(a, b string) {
	for c := range p.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.silent.Store(true)
		}
	}
}

// BlackholeConnections makes the open connections between two hosts silent for good, while
// new ones work.
func (p *Network) BlackholeConnections(a, b string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence(a, b)
}

// Kill closes all that a host has open, as the end of its process does.
func (p *Network) Kill(name string) {
	p.mu.Lock()
	var conns []*pipeConn
	for c := range p.conns {
		if c.from == name {
			conns = append(conns, c)
		}
	}
	for address, h := range p.hosts {
		if h == name {
			delete(p.listeners, address)
		}
	}
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

type pipeListener struct {
	net      *Network
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

// pipeBuffer is one direction of a connection.
type pipeBuffer struct {
	mu       sync.Mutex
	cond     *sync.Cond
	data     bytes.Buffer
	closed   bool
	deadline time.Time
	timer    *time.Timer
}

func newPipeBuffer() *pipeBuffer {
	b := &pipeBuffer{}
	b.cond = sync.NewCond(&b.mu)
	return b
}

func (b *pipeBuffer) read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case b.data.Len() > 0:
			return b.data.Read(p)
		case b.closed:
			return 0, io.EOF
		case !b.deadline.IsZero() && !time.Now().Before(b.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		b.cond.Wait()
	}
}

func (b *pipeBuffer) write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	b.cond.Broadcast()
	return b.data.Write(p)
}

func (b *pipeBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.cond.Broadcast()
}

func (b *pipeBuffer) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = t
	if b.timer != nil {
		b.timer.Stop()
	}
	if !t.IsZero() {
		b.timer = time.AfterFunc(time.Until(t), b.cond.Broadcast)
	}
	b.cond.Broadcast()
}

// pipeConn is one end of a connection.
type pipeConn struct {
	net      *Network
	from, to string
	in, out  *pipeBuffer
	silent   atomic.Bool
}

func (c *pipeConn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *pipeConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.out.write(p)
}

// Close ends both directions; the other end does not hear of it on a silent
// connection.
func (c *pipeConn) Close() error {
	c.in.close()
	if !c.silent.Load() {
		c.out.close()
	}
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

func (c *pipeConn) LocalAddr() net.Addr                { return pipeAddr(c.from) }
func (c *pipeConn) RemoteAddr() net.Addr               { return pipeAddr(c.to) }
func (c *pipeConn) SetDeadline(t time.Time) error      { c.in.setDeadline(t); return nil }
func (c *pipeConn) SetReadDeadline(t time.Time) error  { c.in.setDeadline(t); return nil }
func (c *pipeConn) SetWriteDeadline(_ time.Time) error { return nil }
