package fronter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/piper"
)

// withCallerServer runs a test against a caller server. The test may change the
// server's limits.
func withCallerServer(t *testing.T, test func(dial func() net.Conn, limits *atomic.Pointer[cataloger.Limits])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := piper.New()
		l, err := piper.Host{Network: network, Name: "front"}.Listen(context.Background(), "tcp", "front:80")
		if err != nil {
			t.Fatal(err)
		}
		limits := &atomic.Pointer[cataloger.Limits]{}
		limits.Store(&cataloger.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
		server := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
			func() cataloger.Limits { return *limits.Load() })
		server.Init()
		go func() { _ = server.Serve(l) }()
		test(func() net.Conn {
			c, err := piper.Host{Network: network, Name: "caller"}.DialContext(context.Background(), "tcp", "front:80")
			if err != nil {
				t.Fatal(err)
			}
			return c
		}, limits)
		_ = server.Close()
		network.Kill("caller")
		network.Kill("front")
		synctest.Wait()
	})
}

// sendRequest sends a request and reads the response.
func sendRequest(c net.Conn) error {
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// isClosed reports whether the server has closed a connection.
func isClosed(c net.Conn) bool {
	synctest.Wait()
	_ = c.SetReadDeadline(time.Now())
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func TestIdleTimeout(t *testing.T) {
	withCallerServer(t, func(dial func() net.Conn, limits *atomic.Pointer[cataloger.Limits]) {
		c := dial()
		for range 3 {
			// Callers reuse connections that were idle for up to four fifths of the limit.
			time.Sleep(12 * time.Second)
			if err := sendRequest(c); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(15100 * time.Millisecond)
		if !isClosed(c) {
			t.Error("a connection that was unused for longer than the limit is still open")
		}
		limits.Store(&cataloger.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 60 * time.Second})
		c = dial()
		if err := sendRequest(c); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Second)
		if err := sendRequest(c); err != nil {
			t.Errorf("a limit that was raised has no effect: %v", err)
		}
	})
}

func TestHeaderTimeout(t *testing.T) {
	withCallerServer(t, func(dial func() net.Conn, _ *atomic.Pointer[cataloger.Limits]) {
		c := dial()
		if err := sendRequest(c); err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\nX: ")
		time.Sleep(2900 * time.Millisecond)
		if isClosed(c) {
			t.Fatal("a header within its time was cut off")
		}
		// The read deadline that isClosed has set is not that of the answer.
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout {
			t.Fatalf("a header that takes longer than the limit is still waited for: %v, %v", resp, err)
		}
		_ = resp.Body.Close()
		// The server reads for half a second more what the caller still sends.
		_ = c.SetReadDeadline(time.Now().Add(600 * time.Millisecond))
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Errorf("the connection is not closed after the answer: %v", err)
		}
	})
}
