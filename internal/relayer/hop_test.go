package relayer

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// lateEntry is an entry whose answers begin after a delay.
type lateEntry struct{ delay time.Duration }

// RoundTrip implements http.RoundTripper.
func (e lateEntry) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(e.delay):
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{headerIsResponse: {"1"}}, Body: http.NoBody}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// TestOwnersEndAnswersBeforeOtherEntries guards against answers that an entry gives up, because
// messages take time, while their owner still waits for the server within its limits.
func TestOwnersEndAnswersBeforeOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const transit, early = 100 * time.Millisecond, 10 * time.Millisecond
		limits := Limits{MaxQueueWait: time.Second, FirstTokenTimeout: silenceTimeout, InterTokenTimeout: silenceTimeout}
		entry := lateEntry{delay: limits.MaxQueueWait + limits.FirstTokenTimeout - early + transit}
		client := &PeerClient{Addresses: map[identifier.VM]string{"e": "e:1"}, Scheme: "http", Client: &http.Client{Transport: entry}, Limits: limits}
		for _, group := range []identifier.Group{"g", ""} {
			resp, refusal := client.SendRequest(context.Background(), "e", group, &Request{Header: http.Header{}})
			if refusal != nil {
				t.Errorf("group %q: %v", group, refusal)
				continue
			}
			_ = resp.Body.Close()
		}
	})
}
