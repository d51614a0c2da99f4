package fronter

import (
	"context"
	"net/http"
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

// TestPlannedStopAnswersAcceptedRequests guards against connections that are accepted
// during a planned stop and closed without an answer. Callers open connections and use
// kept ones until the process is gone, faster than any quiet time.
func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := piper.New()
		set := configurer.NodeSettings{
			VM: "f", FailureDomain: "z", PeerAddress: "f:7", CallersAddress: "f:80", ReadinessAddress: "f:81", Seeds: []string{"none:8"},
		}
		set.FillDefaults()
		startedAt := time.Now()
		f := &Front{
			Settings: set, Logger: log.NewNopLogger(), Network: piper.Host{Network: network, Name: "f"}, Dialect: noDialect{},
			ReadinessHandler: http.NotFoundHandler(), Elapsed: func() time.Duration { return time.Since(startedAt) },
		}
		f.Init()
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			if err := f.Run(ctx); err != nil {
				t.Error(err)
			}
		}()
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
