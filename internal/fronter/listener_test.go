package fronter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/forwarder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/limiter"
	"trefoilhead.org/trefoilhead/internal/piper"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// signedDialect takes every answer as the server's own.
type signedDialect struct{ noDialect }

func (signedDialect) ParseResponse(http.Header) forwarder.ResponseInfo {
	return forwarder.ResponseInfo{Signed: true}
}

// failingHost is a host on which the listener at one address fails after a while.
type failingHost struct {
	piper.Host
	address string
	after   time.Duration
}

func (h failingHost) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	l, err := h.Host.Listen(ctx, network, address)
	if address == h.address {
		return failingListener{l, time.Now().Add(h.after)}, err
	}
	return l, err
}

type failingListener struct {
	net.Listener
	at time.Time
}

func (l failingListener) Accept() (net.Conn, error) {
	timer := time.AfterFunc(time.Until(l.at), func() { _ = l.Close() })
	defer timer.Stop()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.New("listener failed")
	}
	return c, nil
}

// readAnswer returns the body of the answer that arrives on a connection.
func readAnswer(c net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestRunningAnswerOutlastsListenerThatFails guards against answers that are given up while their server is at work, because a
// listener of the front fails.
func TestRunningAnswerOutlastsListenerThatFails(t *testing.T) {
	const workTime = 2 * time.Second
	for _, address := range []string{"f:80", "f:81", "f:82"} {
		t.Run(address, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := piper.New()
				set := configurer.NodeSettings{
					VM: "f", FailureDomain: "z", PeerAddress: "f:7", CallersAddress: "f:80", ReadinessAddress: "f:81", MetricsAddress: "f:82",
					Seeds: []string{"none:8"},
				}
				set.FillDefaults()
				startedAt := time.Now()
				f := &Front{
					Settings: set, Logger: log.NewNopLogger(), Network: failingHost{piper.Host{Network: network, Name: "f"}, address, time.Second},
					Dialect: signedDialect{}, ReadinessHandler: http.NotFoundHandler(), Elapsed: func() time.Duration { return time.Since(startedAt) },
				}
				f.Init()
				c := &cataloger.Catalog{Version: 1, Services: []cataloger.Service{{Name: "svc"}}, Routes: []cataloger.Route{{
					Name: "once", Host: "h", PathPrefix: "/", Timeout: 5 * time.Second, LatencyObjective: time.Second, MaxAttempts: 1, Public: true,
					Targets: []cataloger.Target{{Service: "svc", Weight: 1}},
				}}}
				if err := c.Index(); err != nil {
					t.Fatal(err)
				}
				f.forwarder.SetCatalog(c)
				f.forwarder.SetShare(limiter.Share{Processes: 1, ExpiresAt: time.Hour})
				f.forwarder.SetServers([]*tracker.Server{{ID: identifier.Server("s"), Service: "svc", Address: "s:1", Slots: 1, Incarnation: 1}}, nil)
				serverListener, err := piper.Host{Network: network, Name: "s"}.Listen(context.Background(), "tcp", "s:1")
				if err != nil {
					t.Fatal(err)
				}
				server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(workTime)
					_, _ = io.WriteString(w, "whole")
				})}
				go func() { _ = server.Serve(serverListener) }()
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				stopped := make(chan error)
				go func() {
					err := f.Run(ctx)
					// The process ends.
					network.Kill("f")
					stopped <- err
				}()
				time.Sleep(500 * time.Millisecond)
				caller, err := piper.Host{Network: network, Name: "caller"}.DialContext(context.Background(), "tcp", "f:80")
				if err != nil {
					t.Fatal(err)
				}
				_, _ = fmt.Fprint(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
				if body, err := readAnswer(caller); body != "whole" || err != nil {
					t.Errorf("body %q, %v", body, err)
				}
				if err := <-stopped; err == nil {
					t.Error("the front does not say that a listener failed")
				}
				_ = server.Close()
				network.Kill("caller")
				network.Kill("s")
				time.Sleep(workTime)
				synctest.Wait()
			})
		})
	}
}
