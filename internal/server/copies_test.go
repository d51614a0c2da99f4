package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"trefoilhead.org/trefoilhead/internal/piper"
)

// TestSecondCopyOfAnAnswerReachesNobody guards against a late second copy of an answer,
// which arrives when the connection is in use for the next request.
func TestSecondCopyOfAnAnswerReachesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := piper.New()
		l, err := piper.Host{Network: network, Name: "engine"}.Listen(context.Background(), "tcp", "engine:1")
		if err != nil {
			t.Fatal(err)
		}
		answered := 0
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go answerTwice(c, &answered)
			}
		}()
		client := newBackendClient(piper.Host{Network: network, Name: "entry"}, nil)
		for i := 1; i <= 2; i++ {
			resp, err := client.Get("http://engine:1/")
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if want := fmt.Sprint(i); string(body) != want || err != nil {
				t.Errorf("request %d got the answer %q, %v", i, body, err)
			}
		}
		client.CloseIdleConnections()
		_ = l.Close()
		network.Kill("engine")
		network.Kill("entry")
		time.Sleep(time.Minute)
	})
}

// answerTwice answers the first request on a connection, and once more when the next one
// has arrived.
func answerTwice(c net.Conn, answered *int) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	if _, err := http.ReadRequest(br); err != nil {
		return
	}
	*answered++
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", *answered)
	if _, err := io.WriteString(c, answer); err != nil {
		return
	}
	if _, err := http.ReadRequest(br); err == nil {
		_, _ = io.WriteString(c, answer)
	}
}
