package fronter

import (
	"testing"
	"time"
)

// TestPullsFromOtherDomainsAreRare guards against the traffic between failure domains of
// fronts whose own core process is down for seconds: each of them reported its load to
// another one every 20 ms.
func TestPullsFromOtherDomainsAreRare(t *testing.T) {
	for _, test := range []struct {
		fronts     int
		sameDomain bool
		want       time.Duration
	}{
		{9, true, 20 * time.Millisecond}, {9, false, 60 * time.Millisecond},
		{59, true, 59 * time.Millisecond}, {59, false, 177 * time.Millisecond},
	} {
		if got := pullWait(test.fronts, test.sameDomain); got != test.want {
			t.Errorf("%d fronts, same domain %v: %s, want %s", test.fronts, test.sameDomain, got, test.want)
		}
	}
}
