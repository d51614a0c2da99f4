package fronter

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
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

// TestReportsOutliveFailedPulls guards against reports that are lost when the pull after a
// failed one goes to another core process, carries none, and fails too.
func TestReportsOutliveFailedPulls(t *testing.T) {
	var st pullState
	st.keepUnsent(&peerv1.FrontPull{
		Demands: []*peerv1.ModelDemand{{Service: "s", Requests: 1}}, PermitReports: []*peerv1.PermitReport{{Id: "a", Used: 1}},
	})
	st.keepUnsent(&peerv1.FrontPull{})
	if len(st.unsentDemands) != 1 || len(st.unsentPermits) != 1 {
		t.Errorf("kept %d demands and %d reports about permits, want 1 each", len(st.unsentDemands), len(st.unsentPermits))
	}
}
