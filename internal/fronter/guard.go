package fronter

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
)

// The limits on callers' connections come with the catalog and change while
// connections are open, but http.Server reads its own before it serves. So it is
// given bounds that mark what it waits for, and the connection puts the limits in
// force in their place.
const (
	markedBound = time.Hour
	// marked is the least distance of a deadline that stands for a limit.
	marked = markedBound / 2
	// Limits while no catalog is known.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// maxHeaderBytes bounds headers before the catalog's own limit is checked.
	maxHeaderBytes = 1 << 20
)

// newGuardedServer returns the server of callers' connections.
func newGuardedServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: markedBound, IdleTimeout: markedBound, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(c net.Conn, s http.ConnState) {
			if g, ok := c.(*guardedConn); ok && s == http.StateIdle {
				g.idle.Store(true)
			}
		},
	}
}

// guardedListener hands out connections that keep the limits.
type guardedListener struct {
	net.Listener
	limits func() cataloger.Limits
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &guardedConn{Conn: c, limits: l.limits}
	// A connection that has carried nothing yet may wait like an unused one.
	g.idle.Store(true)
	return g, nil
}

// guardedConn is a caller's connection.
type guardedConn struct {
	net.Conn
	limits func() cataloger.Limits
	// idle is set when the next deadline is for the first byte of a request; the
	// one after it is for the rest of its header.
	idle atomic.Bool
}

// SetReadDeadline implements net.Conn. A deadline at the marked distance is
// replaced by the limit in force.
func (g *guardedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || time.Until(t) < marked {
		return g.Conn.SetReadDeadline(t)
	}
	l := g.limits()
	bound := l.HeaderTimeout
	if bound <= 0 {
		bound = defaultHeaderTimeout
	}
	if g.idle.Swap(false) {
		if l.IdleTimeout <= 0 {
			l.IdleTimeout = defaultIdleTimeout
		}
		bound = l.IdleTimeout
	}
	return g.Conn.SetReadDeadline(time.Now().Add(bound))
}
