package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"trefoilhead.org/trefoilhead/internal/verifier"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

// TestEngineResponseWithoutEndIsCutOff guards against a process that runs out of memory, because a backend server
// responds to an order with bytes without end.
func TestEngineResponseWithoutEndIsCutOff(t *testing.T) {
	part := []byte(strings.Repeat("x", 16<<10))
	for _, contentType := range []string{"application/proto", "application/json", "text/plain"} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			var written atomic.Int64
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", contentType)
				w.WriteHeader(status)
				for stop := time.Now().Add(10 * time.Second); time.Now().Before(stop); {
					n, err := w.Write(part)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			}))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			client := verifier.NewLimitedClient(newTransport(NewNetwork(time.Second), nil), maxEngineResponseBytes)
			c := trefoilheadv1connect.NewEngineClient(client, engine.URL)
			if _, err := c.Describe(ctx, connect.NewRequest(&trefoilheadv1.DescribeRequest{})); err == nil {
				t.Errorf("%s, %d: a response without end is accepted", contentType, status)
			}
			if ctx.Err() != nil || written.Load() > 16<<20 {
				t.Errorf("%s, %d: %d bytes were taken, %v", contentType, status, written.Load(), ctx.Err())
			}
			cancel()
			engine.CloseClientConnections()
			engine.Close()
		}
	}
}
