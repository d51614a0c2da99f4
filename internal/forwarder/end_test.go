package forwarder

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestEndingFrontTakesOnlyWhatEndsInTime guards against answers that are cut off at the end
// of a planned stop, because their requests were taken late in it.
func TestEndingFrontTakesOnlyWhatEndsInTime(t *testing.T) {
	for name, test := range map[string]struct {
		left   time.Duration
		header []string
		status int
	}{
		"may last too long":         {2 * time.Second, nil, 503},
		"ends in time":              {4 * time.Second, nil, 200},
		"has a shorter time limit":  {2 * time.Second, []string{"Deadline", "1500"}, 200},
		"the end has already come":  {-time.Second, []string{"Deadline", "10"}, 503},
		"the limit is past the end": {time.Second, []string{"Deadline", "1500"}, 503},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": completeResponse()}, func(tb *testbed) {
				tb.SetEnd(time.Now().Add(test.left))
				res := tb.call(context.Background(), "POST", "/once/x", "b", test.header...)
				if runs := len(tb.backends["first"].receivedIDs()); res.status != test.status || (runs == 1) != (test.status == 200) {
					t.Errorf("status %d, %d runs; want status %d", res.status, runs, test.status)
				}
			})
		})
	}
}
