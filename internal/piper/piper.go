// Package piper implements an in-memory network for tests with the fake clock of
// testing/synctest.
//
// A test can partition two hosts. Connections that are open between them stay open but
// deliver nothing any more, even after the partition has healed, and new connections
// time out until it heals.
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

// Network holds the listeners and connections of all hosts.
type Network struct {
	mu                sync.Mutex
	listenerByAddress map[string]*pipeListener
	// hostByAddress maps an address to the host that listens on it.
	hostByAddress map[string]string
	partitioned   map[[2]string]bool
	conns         map[*pipeConn]bool
}

// New returns an empty Network.
func New() *Network {
	return &Network{
		listenerByAddress: map[string]*pipeListener{}, hostByAddress: map[string]string{}, partitioned: map[[2]string]bool{},
		conns: map[*pipeConn]bool{},
	}
}

// Host is the network interface of one host. It dials and listens under its name.
type Host struct {
	Network *Network
	Name    string
}

// Listen opens a listener of the host. It replaces one with the same address.
func (h Host) Listen(_ context.Context, _, address string) (net.Listener, error) {
	h.Network.mu.Lock()
	defer h.Network.mu.Unlock()
	l := &pipeListener{network: h.Network, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	h.Network.listenerByAddress[address] = l
	h.Network.hostByAddress[address] = h.Name
	return l, nil
}

// DialContext opens a connection from the host to an address. To a host behind a
// partition it fails after 3 s, or when ctx ends.
func (h Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	h.Network.mu.Lock()
	l, to := h.Network.listenerByAddress[address], h.Network.hostByAddress[address]
	partitioned := h.Network.partitioned[[2]string{h.Name, to}]
	h.Network.mu.Unlock()
	if partitioned {
		const dialTimeout = 3 * time.Second
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return nil, errors.New("the dial timed out")
	}
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := h.Network.newConnPair(h.Name, to)
	select {
	case l.incoming <- far:
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Process is the network interface of one process of a host, which End cuts off at once while
// its goroutines still run. The next process of the host starts with a Process of its own.
type Process struct {
	Host
	ended atomic.Bool
}

// Listen opens a listener of the process. It replaces one with the same address.
func (p *Process) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	if p.ended.Load() {
		return nil, syscall.EADDRNOTAVAIL
	}
	return p.Host.Listen(ctx, network, address)
}

// DialContext opens a connection from the process to an address.
func (p *Process) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if p.ended.Load() {
		return nil, syscall.ENETDOWN
	}
	c, err := p.Host.DialContext(ctx, network, address)
	if err == nil && p.ended.Load() {
		_ = c.Close()
		return nil, syscall.ENETDOWN
	}
	return c, err
}

// End closes the connections and listeners of the process, and refuses new ones.
func (p *Process) End() {
	p.ended.Store(true)
	p.Network.Kill(p.Name)
}

func (n *Network) newConnPair(a, b string) (near, far *pipeConn) {
	aToB, bToA := newPipeBuffer(), newPipeBuffer()
	near = &pipeConn{network: n, from: a, to: b, in: bToA, out: aToB}
	far = &pipeConn{network: n, from: b, to: a, in: aToB, out: bToA}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near], n.conns[far] = true, true
	return near, far
}

// SetPartitioned partitions two hosts from each other, or heals the partition. A
// partition blackholes their open connections for good.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = partitioned, partitioned
	if partitioned {
		n.blackhole(a, b)
	}
}

// blackhole makes the open connections between two hosts drop all that is written to
// them. The caller holds mu.
func (n *Network) blackhole(a, b string) {
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.blackholed.Store(true)
		}
	}
}

// BlackholeConnections makes the open connections between two hosts drop all data for
// good, as a firewall that has lost its connection tracking does. New connections work.
func (n *Network) BlackholeConnections(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blackhole(a, b)
}

// Kill closes the connections of a host and removes its listeners, as the end of its
// process does.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	var conns []*pipeConn
	for c := range n.conns {
		if c.from == name {
			conns = append(conns, c)
		}
	}
	for address, h := range n.hostByAddress {
		if h == name {
			delete(n.listenerByAddress, address)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

type pipeListener struct {
	network   *Network
	address   string
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
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
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listenerByAddress[l.address] == l {
			delete(l.network.listenerByAddress, l.address)
		}
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

// pipeBuffer buffers the data of one direction of a connection. Its size is not limited,
// so writes never block.
type pipeBuffer struct {
	mu       sync.Mutex
	changed  *sync.Cond
	data     bytes.Buffer
	closed   bool
	deadline time.Time
	timer    *time.Timer
}

func newPipeBuffer() *pipeBuffer {
	b := &pipeBuffer{}
	b.changed = sync.NewCond(&b.mu)
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
		b.changed.Wait()
	}
}

func (b *pipeBuffer) write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	b.changed.Broadcast()
	return b.data.Write(p)
}

func (b *pipeBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.changed.Broadcast()
}

func (b *pipeBuffer) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = t
	if b.timer != nil {
		b.timer.Stop()
	}
	if !t.IsZero() {
		b.timer = time.AfterFunc(time.Until(t), b.changed.Broadcast)
	}
	b.changed.Broadcast()
}

// pipeConn is one end of a connection. While it is blackholed, writes succeed but their
// data is dropped.
type pipeConn struct {
	network    *Network
	from, to   string
	in, out    *pipeBuffer
	blackholed atomic.Bool
}

func (c *pipeConn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *pipeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.out.write(p)
}

// Close closes both directions. The other end of a blackholed connection is not told and
// stays open.
func (c *pipeConn) Close() error {
	c.in.close()
	if !c.blackholed.Load() {
		c.out.close()
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

func (c *pipeConn) LocalAddr() net.Addr                { return pipeAddr(c.from) }
func (c *pipeConn) RemoteAddr() net.Addr               { return pipeAddr(c.to) }
func (c *pipeConn) SetDeadline(t time.Time) error      { c.in.setDeadline(t); return nil }
func (c *pipeConn) SetReadDeadline(t time.Time) error  { c.in.setDeadline(t); return nil }
func (c *pipeConn) SetWriteDeadline(_ time.Time) error { return nil }
