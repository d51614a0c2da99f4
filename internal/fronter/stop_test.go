package fronter

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/forwarder"
	"trefoilhead.org/trefoilhead/internal/piper"
)

type noDialect struct{}

func (noDialect) ParseRequest(http.Header) forwarder.RequestInfo    { return forwarder.RequestInfo{} }
func (noDialect) RewriteRequest(http.Header, forwarder.ForwardInfo) {}
func (noDialect) ParseResponse(http.Header) forwarder.ResponseInfo  { return forwarder.ResponseInfo{} }

// startFront runs a front f without core processes. Its clock advances by late more than the others do.
func startFront(t *testing.T, late *atomic.Int64) (f *Front, network *piper.Network, stop func(), stopped <-chan struct{}) {
	t.Helper()
	network = piper.New()
	set := configurer.NodeSettings{
		VM: "f", FailureDomain: "z", PeerAddress: "f:7", CallersAddress: "f:80", ReadinessAddress: "f:81", Seeds: []string{"none:8"},
	}
	set.FillDefaults()
	startedAt := time.Now()
	f = &Front{
		Settings: set, Logger: log.NewNopLogger(), Network: piper.Host{Network: network, Name: "f"}, Dialect: noDialect{},
		ReadinessHandler: http.NotFoundHandler(), Elapsed: func() time.Duration { return time.Since(startedAt) + time.Duration(late.Load()) },
	}
	f.Init()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	return f, network, stop, done
}

// TestPlannedStopAnswersAcceptedRequests guards against connections that are accepted
// during a planned stop and closed without an answer. Callers open connections and use
// kept ones until the process is gone, faster than any quiet time.
func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, network, stop, stopped := startFront(t, &atomic.Int64{})
		set := f.Settings
		time.Sleep(time.Second)
		host := piper.Host{Network: network, Name: "caller"}
		stop()
		stoppedAt := time.Now()
		answered, lastAnswer := 0, time.Duration(0)
		for time.Since(stoppedAt) < set.Bounds.ShutdownGrace() {
			dialCtx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			c, err := host.DialContext(dialCtx, "tcp", "f:80")
			cancel()
			if err != nil {
				break
			}
			time.Sleep(30 * time.Millisecond)
			err = sendRequest(c)
			_ = c.Close()
			if err != nil && time.Since(stoppedAt) < set.Bounds.ShutdownGrace()-time.Second {
				t.Errorf("%s after the stop began: %v", time.Since(stoppedAt), err)
			}
			if err == nil {
				answered++
				lastAnswer = time.Since(stoppedAt)
			}
		}
		<-stopped
		if want := set.Bounds.ShutdownGrace() - 2*time.Second; lastAnswer < want {
			t.Errorf("%d requests were answered, the last one after %s; want until %s", answered, lastAnswer, want)
		}
		if took := time.Since(stoppedAt); took > set.Bounds.ShutdownGrace() {
			t.Errorf("the stop took %s", took)
		}
		network.Kill("caller")
		network.Kill("f")
		synctest.Wait()
	})
}

// TestPlannedStopAnswersOnOpenConnections guards against requests that come on open connections after the listener
// was closed, and are read and dropped.
func TestPlannedStopAnswersOnOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, network, stop, stopped := startFront(t, &atomic.Int64{})
		time.Sleep(time.Second)
		host := piper.Host{Network: network, Name: "caller"}
		stop()
		end := time.Now().Add(f.Settings.Bounds.ShutdownGrace() - shutdownMargin)
		requests := 0
		var wg sync.WaitGroup
		for time.Now().Before(end) {
			c, err := host.DialContext(context.Background(), "tcp", "f:80")
			if err != nil {
				break
			}
			requests++
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				time.Sleep(100 * time.Millisecond)
				if err := sendRequest(c); err != nil {
					t.Errorf("a request %s before the end: %v", time.Until(end), err)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		<-stopped
		if late := end.Add(-listenerMargin - 100*time.Millisecond); requests < 100 || time.Now().Before(late) {
			t.Errorf("%d requests were sent and the front stopped %s before the end", requests, time.Until(end))
		}
		network.Kill("caller")
		network.Kill("f")
		synctest.Wait()
	})
}

// TestPlannedStopAnswersAfterSuspension guards against requests that came while the front got no processor time, and that
// it drops because it takes that time for quiet.
func TestPlannedStopAnswersAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var late atomic.Int64
		_, network, stop, stopped := startFront(t, &late)
		time.Sleep(time.Second)
		host := piper.Host{Network: network, Name: "caller"}
		stop()
		time.Sleep(drainDelay - 10*time.Millisecond)
		busy, err := host.DialContext(context.Background(), "tcp", "f:80")
		if err != nil {
			t.Fatal(err)
		}
		if err := sendRequest(busy); err != nil {
			t.Fatal(err)
		}
		waiting, err := host.DialContext(context.Background(), "tcp", "f:80")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		// The front is suspended. When it goes on, its timers come before the request that has come meanwhile.
		late.Store(int64(time.Second))
		time.Sleep(stopCheckInterval + time.Millisecond)
		if err := sendRequest(waiting); err != nil {
			t.Errorf("a request that came during a suspension: %v", err)
		}
		<-stopped
		network.Kill("caller")
		network.Kill("f")
		synctest.Wait()
	})
}
