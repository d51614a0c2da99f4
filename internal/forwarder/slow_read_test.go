package forwarder

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// slowReader is a connection to a server that takes long to read a request.
type slowReader struct {
	net.Conn
	takes         time.Duration
	writeDeadline atomic.Pointer[time.Time]
}

func (c *slowReader) SetDeadline(t time.Time) error {
	c.writeDeadline.Store(&t)
	return c.Conn.SetDeadline(t)
}

func (c *slowReader) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(&t)
	return nil
}

func (c *slowReader) Write(p []byte) (int, error) {
	for end := time.Now().Add(c.takes); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if t := c.writeDeadline.Load(); t != nil && !t.IsZero() && !time.Now().Before(*t) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return c.Conn.Write(p)
}

// TestServerMayTakeLongToReadRequest guards against requests that are given up while their server reads them and their time limit
// is ahead, and against ones that outlast it.
func TestServerMayTakeLongToReadRequest(t *testing.T) {
	for takes, status := range map[time.Duration]int{1900 * time.Millisecond: 200, 2500 * time.Millisecond: 200, 4 * time.Second: 504} {
		for _, path := range []string{"/once/x", "/any/x"} {
			t.Run(takes.String()+path, func(t *testing.T) {
				withTestbed(t, backendHandlers{"first": completeResponse()}, func(tb *testbed) {
					dial := tb.Pool.Dial
					tb.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
						c, err := dial(ctx, address)
						return &slowReader{Conn: c, takes: takes}, err
					}
					startedAt := time.Now()
					if res := tb.call(context.Background(), "PUT", path, "b"); res.cut || res.status != status || time.Since(startedAt) > 3100*time.Millisecond {
						t.Errorf("status %d %q, cut %v after %s", res.status, res.body, res.cut, time.Since(startedAt))
					}
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}
