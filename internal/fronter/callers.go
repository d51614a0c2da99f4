package fronter

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/forwarder"
)

// The limits on callers' connections are part of the catalog and can change while
// connections are open, but http.Server has fixed timeouts. So the server is given a
// placeholder timeout, and limitedConn replaces a read deadline that results from it
// by one that follows the current limits.
const (
	placeholderTimeout = time.Hour
	// minPlaceholderDistance is how far in the future a read deadline must be to be
	// taken for one that results from placeholderTimeout.
	minPlaceholderDistance = placeholderTimeout / 2
	// Timeouts that apply while there is no catalog or it does not set them.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// lingerTime is how long a connection on which an answer was written is read before it is closed.
	lingerTime = 500 * time.Millisecond
	// maxHeaderBytes limits how much of a header is read before the catalog's limit
	// is checked.
	maxHeaderBytes = 1 << 20
)

// newCallerServer returns the HTTP server for callers. Its listener must be a
// limitedListener.
func newCallerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: placeholderTimeout, IdleTimeout: placeholderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: forwarder.ConnContext,
		ConnState: func(c net.Conn, s http.ConnState) {
			lc, ok := c.(*limitedConn)
			switch {
			case !ok:
			case s == http.StateIdle:
				lc.awaitingRequest.Store(true)
				lc.lingers.Store(false)
			case s == http.StateActive:
				lc.lingers.Store(true)
			}
		},
	}
}

// limitedListener accepts connections that apply the current limits.
type limitedListener struct {
	net.Listener
	limits func() cataloger.Limits
	// ending is set when the process is about to end, so that its connections close at once.
	ending atomic.Bool
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lc := &limitedConn{Conn: c, limits: l.limits, ending: &l.ending}
	// The idle timeout applies to a new connection, too.
	lc.awaitingRequest.Store(true)
	return lc, nil
}

// limitedConn is a caller's connection that applies the current limits.
type limitedConn struct {
	net.Conn
	limits func() cataloger.Limits
	// awaitingRequest is set if the next read deadline is for the first byte of a
	// request, for which the idle timeout applies. The one after that is for the rest of
	// the request's header.
	awaitingRequest atomic.Bool
	// lingers is set while the connection carries an answer.
	lingers atomic.Bool
	ending  *atomic.Bool
}

// Close implements net.Conn. If a connection is closed while it holds bytes that were not read, the kernel resets it and
// drops what it has not sent yet. So the end of an answer is announced first, and what the caller still sends is read.
func (lc *limitedConn) Close() error {
	if lc.lingers.Swap(false) && !lc.ending.Load() && lc.CloseWrite() == nil && lc.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// It ends with the caller's side of the connection or at the deadline.
		_, _ = io.Copy(io.Discard, lc.Conn)
	}
	return lc.Conn.Close()
}

// CloseWrite is that of the TCP connection.
func (lc *limitedConn) CloseWrite() error {
	if c, ok := lc.Conn.(*net.TCPConn); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger is that of the TCP connection.
func (lc *limitedConn) SetLinger(sec int) error {
	lc.lingers.Store(false)
	if c, ok := lc.Conn.(*net.TCPConn); ok {
		return c.SetLinger(sec)
	}
	return nil
}

// SetReadDeadline implements net.Conn. It replaces a deadline that results from
// placeholderTimeout by one that follows the current limits.
func (lc *limitedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || time.Until(t) < minPlaceholderDistance {
		return lc.Conn.SetReadDeadline(t)
	}
	l := lc.limits()
	timeout := l.HeaderTimeout
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	if lc.awaitingRequest.Swap(false) {
		if l.IdleTimeout <= 0 {
			l.IdleTimeout = defaultIdleTimeout
		}
		timeout = l.IdleTimeout
	}
	return lc.Conn.SetReadDeadline(time.Now().Add(timeout))
}
