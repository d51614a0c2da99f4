//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. While it is cut, it holds all bytes and new connections; connections that were
// open meanwhile are reset when it is healed, as those to a machine that stood still.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	isCut    bool
	// healed is closed when the cut ends.
	healed chan struct{}
	conns  map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	p.mu.Lock()
	p.conns[in] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, in)
		p.mu.Unlock()
	}()
	p.await()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		p.copy(in, out)
		_ = in.Close()
	}()
	p.copy(out, in)
}

// await returns when the proxy is not cut.
func (p *proxy) await() {
	p.mu.Lock()
	isCut, healed := p.isCut, p.healed
	p.mu.Unlock()
	if isCut {
		<-healed
	}
}

func (p *proxy) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.await()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCut {
		p.isCut, p.healed = true, make(chan struct{})
	}
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCut {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.isCut = false
	close(p.healed)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.heal()
}
