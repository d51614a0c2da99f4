package emulator

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Client is what a client sends on one connection: Head, and then Unit again and again, until it
// has sent Bytes bytes after Head. It reads nothing and keeps the connection open.
type Client struct {
	Head string
	// Unit is repeated. An empty one ends the client's sending with Head.
	Unit string
	// Bytes is the number of bytes to send after Head.
	Bytes int
	// PieceBytes is the size of each write; 0 means maxPieceBytes.
	PieceBytes int
}

const (
	maxPieceBytes = 64 << 10
	// quietTime is how long no client of a crowd may get a byte accepted until the crowd counts as settled.
	crowdQuietTime = time.Second
	crowdPollTime  = 20 * time.Millisecond
	crowdDialTime  = 5 * time.Second
)

// Crowd is a number of clients that send what no ordinary client does, at the same time. Exported
// fields are set before Start.
type Crowd struct {
	Address string
	Count   int
	Client  Client
	// ReceiveBytes is the size of the sockets' receive buffers, or 0 for that of the system.
	ReceiveBytes int

	sent    atomic.Int64
	sending atomic.Int64
	mu      sync.Mutex
	closed  bool
	conns   []net.Conn
	wg      sync.WaitGroup
}

// Start opens all connections. Clients that are refused stop sending.
func (c *Crowd) Start(ctx context.Context) {
	c.sending.Store(int64(c.Count))
	for range c.Count {
		c.wg.Go(func() {
			defer c.sending.Add(-1)
			conn, err := (&net.Dialer{Timeout: crowdDialTime}).DialContext(ctx, "tcp", c.Address)
			if err != nil || !c.keep(conn) {
				return
			}
			c.send(conn)
		})
	}
}

// keep stores a connection until Close, and reports false if the crowd is closed already.
func (c *Crowd) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	if tcp, ok := conn.(*net.TCPConn); ok && c.ReceiveBytes > 0 {
		_ = tcp.SetReadBuffer(c.ReceiveBytes)
	}
	c.conns = append(c.conns, conn)
	return true
}

// send sends what the client sends, until the other end does not take it any more.
func (c *Crowd) send(conn net.Conn) {
	if _, err := conn.Write([]byte(c.Client.Head)); err != nil || c.Client.Unit == "" {
		return
	}
	size := c.Client.PieceBytes
	if size <= 0 {
		size = maxPieceBytes
	}
	var units []byte
	for len(units) < size+len(c.Client.Unit) {
		units = append(units, c.Client.Unit...)
	}
	for sent := 0; sent < c.Client.Bytes; {
		at := sent % len(c.Client.Unit)
		n, err := conn.Write(units[at : at+min(size, c.Client.Bytes-sent)])
		sent += n
		c.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// AwaitSettled returns once all clients have sent all they send or get no byte accepted any more, at
// the latest after limit.
func (c *Crowd) AwaitSettled(limit time.Duration) {
	last, since := c.sent.Load(), time.Now()
	for end := time.Now().Add(limit); c.sending.Load() > 0 && time.Now().Before(end); time.Sleep(crowdPollTime) {
		if sent := c.sent.Load(); sent != last {
			last, since = sent, time.Now()
		} else if time.Since(since) >= crowdQuietTime {
			return
		}
	}
}

// Close closes all connections and waits until the clients have ended.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}
