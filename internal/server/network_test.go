package server

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestBusyServersKeepLargeRequests guards against requests that are given up because their server
// does not read a large body for longer than the silence timeout, while its kernel acknowledges.
func TestBusyServersKeepLargeRequests(t *testing.T) {
	const silence, busy, bodyBytes = 500 * time.Millisecond, 3 * time.Second, 8 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(busy)
		n, err := io.Copy(io.Discard, r.Body)
		if n != bodyBytes || err != nil {
			t.Errorf("the server got %d bytes: %v", n, err)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	client := newBackendClient(NewNetwork(silence), nil)
	startedAt := time.Now()
	resp, err := client.Post(server.URL, "text/plain", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		t.Fatalf("given up after %s: %v", time.Since(startedAt), err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Errorf("status %s", resp.Status)
	}
}
