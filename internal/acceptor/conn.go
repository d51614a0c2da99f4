package acceptor

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"trefoilhead.org/trefoilhead/internal/budgeter"
)

const (
	// lingerTime and lingerBytes bound how long, and how much of, a connection on which an answer was written is read
	// before it is closed.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// writePiece is the size of the pieces in which answers are written, so that the progress of slow readers shows.
	writePiece = 16 << 10
	// refusalTimeout bounds the time to write a refusal.
	refusalTimeout = time.Second
)

// phase is what a connection carries.
type phase int32

const (
	// phaseWaiting means that no byte of the next request has come.
	phaseWaiting phase = iota
	// phaseHead means that the head of a request is being read.
	phaseHead
	// phaseRequest means that a handler has the request.
	phaseRequest
	// phaseHijacked means that the connection is not that of the http.Server any more.
	phaseHijacked
)

// conn is a client's connection.
type conn struct {
	net.Conn
	server *Server
	// account holds what the current request has reserved.
	account budgeter.Account

	phase atomic.Int32
	// headBytes is the size of the head that is being read. Only the goroutine that reads uses it.
	headBytes int
	// isRefused is set once a request was refused. Every later read fails: net/textproto does not stop at the first error.
	isRefused atomic.Bool
	// isWriteAborted is set once the memory of a client that does not read has been reclaimed.
	isWriteAborted atomic.Bool
	// lingers is set while the connection carries an answer.
	lingers atomic.Bool
	// isHeadNext is set if the next read deadline is for the rest of a head, not for its first byte.
	isHeadNext atomic.Bool

	// The Server's mu guards the fields below.
	isCounted    bool
	waitingSince time.Time
	list         *list.List
	element      *list.Element
}

// enterList adds the connection to those that wait for a request. The caller holds the Server's mu.
func (c *conn) enterList(l *list.List) {
	c.isCounted = true
	c.waitingSince = time.Now()
	c.list, c.element = l, l.PushBack(c)
}

// leaveList removes the connection from those that wait for a request. The caller holds the Server's mu.
func (c *conn) leaveList() {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
}

func (c *conn) currentPhase() phase { return phase(c.phase.Load()) }

// Read implements net.Conn. It bounds the head of a request while its bytes come.
func (c *conn) Read(p []byte) (int, error) {
	if c.isRefused.Load() {
		return 0, errRefused
	}
	n, err := c.Conn.Read(p)
	if c.currentPhase() == phaseWaiting && n > 0 {
		c.beginHead()
	}
	c.account.Progress(n)
	if c.currentPhase() != phaseHead {
		return n, err
	}
	c.headBytes += n
	s := c.server
	switch {
	case c.headBytes > s.limits().HeadBytes+readAheadBytes:
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeadTooLarge, s.counts.refusedHeads)
	case c.account.WasReclaimed() || !c.account.Grow(int64(n+lineBytes*bytes.Count(p[:n], []byte("\n")))):
		return 0, c.refuse(http.StatusServiceUnavailable, ReasonMemoryShort, s.counts.refusedForMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, c.refuse(http.StatusRequestTimeout, ReasonHeadTooSlow, s.counts.slowHeads)
	}
	return n, err
}

func (c *conn) beginHead() {
	c.server.mu.Lock()
	c.leaveList()
	c.server.mu.Unlock()
	c.headBytes = 0
	c.phase.Store(int32(phaseHead))
	c.isHeadNext.Store(true)
	// If it fails, the connection has been closed.
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.limits().HeadTimeout))
	c.account.Await(c.abortRead)
}

// abortRead makes a read that waits for the client fail.
func (c *conn) abortRead() {
	// If it fails, the connection has been closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// abortWrite makes a write that waits for the client fail.
func (c *conn) abortWrite() {
	c.isWriteAborted.Store(true)
	// If it fails, the connection has been closed.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}

// endHead follows the head of a request. The account goes on waiting for the body.
func (c *conn) endHead() {
	c.lingers.Store(true)
	if c.currentPhase() == phaseWaiting {
		// http.Server had read the whole head with the request before it.
		c.server.mu.Lock()
		c.leaveList()
		c.server.mu.Unlock()
		c.account.Await(c.abortRead)
	}
	c.phase.Store(int32(phaseRequest))
}

// endRequest follows the answer to a request.
func (c *conn) endRequest() {
	c.account.EndAwait()
	c.account.Release()
	c.lingers.Store(false)
	c.isHeadNext.Store(false)
	c.phase.Store(int32(phaseWaiting))
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.isCounted && c.element == nil {
		c.enterList(&s.kept)
	}
}

// hijack follows the end of http.Server's work with the connection, which stays counted.
func (c *conn) hijack() {
	c.phase.Store(int32(phaseHijacked))
	c.account.EndAwait()
	c.account.Release()
}

// refuse answers a request whose head has not been read, and makes the read fail.
func (c *conn) refuse(status int, reason string, count interface{ Inc(int64) }) error {
	s := c.server
	count.Inc(1)
	s.mu.Lock()
	s.logLimit(reason, c, "a request was refused before its end")
	s.mu.Unlock()
	c.account.EndAwait()
	c.account.Release()
	c.isRefused.Store(true)
	mediaType, text := "text/plain; charset=utf-8", []byte(reason+"\n")
	if s.RefusalBody != nil {
		mediaType, text = s.RefusalBody(status, reason)
	}
	wait := ""
	if status == http.StatusServiceUnavailable {
		wait = "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	// A write error means that the client has gone or does not read.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), mediaType, len(text), wait, text)
	c.lingers.Store(true)
	return errRefused
}

// Write implements net.Conn. A client that reads nothing for as long as a connection may be idle is cut off.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.currentPhase() == phaseHijacked {
		return c.Conn.Write(p)
	}
	if c.account.Await(c.abortWrite) {
		defer c.account.EndAwait()
	}
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.server.limits().IdleTimeout)); err != nil {
			return n, err
		}
		// The deadline may have replaced that of abortWrite.
		if c.isWriteAborted.Load() {
			return n, os.ErrDeadlineExceeded
		}
		written, err := c.Conn.Write(p[n:min(len(p), n+writePiece)])
		n += written
		c.account.Progress(written)
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// SetReadDeadline implements net.Conn. It replaces a deadline that results from
// placeholderTimeout by one that follows the current limits.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || time.Until(t) < minPlaceholderDistance {
		return c.Conn.SetReadDeadline(t)
	}
	l := c.server.limits()
	timeout := l.HeadTimeout
	if !c.isHeadNext.Swap(true) {
		timeout = l.IdleTimeout
	}
	return c.Conn.SetReadDeadline(time.Now().Add(timeout))
}

// Close implements net.Conn. If a connection is closed while it holds bytes that were not read, the kernel resets it and
// drops what it has not sent yet. So the end of an answer is announced first, and what the client still sends is read.
func (c *conn) Close() error {
	c.account.EndAwait()
	c.account.Release()
	if c.lingers.Swap(false) && !c.server.ending() && c.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// It ends with the client's side of the connection, at the deadline or with too many bytes.
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	c.server.remove(c)
	return c.Conn.Close()
}

func (s *Server) ending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isEnding
}

// remove ends the counting of a connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.leaveList()
	if c.isCounted {
		c.isCounted = false
		s.open--
	}
}

// CloseWrite is that of the TCP or TLS connection.
func (c *conn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger is that of the TCP connection.
func (c *conn) SetLinger(sec int) error {
	c.lingers.Store(false)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// body is that of a request. At its end the request is whole.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.account.EndAwait()
	}
	return n, err
}
