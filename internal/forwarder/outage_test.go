package forwarder

import (
	"context"
	"strconv"
	"testing"
	"time"
)

// TestCallersReturnSpreadAfterOutage replays the refusals of a front that cannot serve
// for some seconds. Callers that come back within half a second are refused again, and
// callers that come back together overload the servers, so the Retry-After must be at
// least a second, at most two, and spread over that time.
func TestCallersReturnSpreadAfterOutage(t *testing.T) {
	const callers = 200
	withTestbed(t, backendHandlers{}, func(tb *testbed) {
		tb.SetServers(nil, nil)
		perQuarter := map[int]int{}
		for range callers {
			res := tb.call(context.Background(), "GET", "/any/a", "")
			seconds, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
			wait := time.Duration(seconds * float64(time.Second))
			if res.status != 503 || err != nil || wait < time.Second || wait > 2*time.Second {
				t.Fatalf("got status %d, Retry-After %q", res.status, res.header.Get("Retry-After"))
			}
			perQuarter[int((wait-time.Second)/(250*time.Millisecond))]++
		}
		for quarter := range 4 {
			if n := perQuarter[quarter]; n < callers/8 || n > callers*3/8 {
				t.Errorf("%d of %d callers return in quarter %d of the second", n, callers, quarter)
			}
		}
	})
}
