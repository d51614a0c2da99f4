package coordinator

import (
	"testing"

	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

func TestTrafficIsCountedByKindAndDomain(t *testing.T) {
	tr := traffic{registry: metrics.NewRegistry(), domain: "z1"}
	pull := func(domain string) *peerv1.Envelope {
		return &peerv1.Envelope{Call: 7, FrontPull: &peerv1.FrontPull{FailureDomain: domain}}
	}
	// The domain in a message of one's own is not that of the peer.
	tr.record("far", &peerv1.Envelope{CoreHello: &peerv1.CoreHello{FailureDomain: "z1"}}, 50, true)
	tr.record("near", pull("z1"), 100, false)
	tr.record("far", pull("z2"), 10, false)
	tr.record("far", &peerv1.Envelope{Call: 7, Answer: true, FrontUpdate: &peerv1.FrontUpdate{}}, 1000, true)
	tr.record("far", &peerv1.Envelope{CoreHello: &peerv1.CoreHello{FailureDomain: "z2"}}, 1, false)
	tr.record("unknown", &peerv1.Envelope{Ping: true}, 2, true)
	tr.record("far", &peerv1.Envelope{Call: 8, Answer: true}, 3, true)
	for name, want := range map[string]int64{
		"bytes_in_front_pull": 110, "bytes_in_other_domains_front_pull": 10,
		"bytes_out_front_update": 1000, "bytes_out_other_domains_front_update": 1000,
		"bytes_out_core_hello": 50, "bytes_in_core_hello": 1, "bytes_in_other_domains_core_hello": 1,
		"bytes_out_ping": 2, "bytes_out_other_domains_ping": 0, "bytes_out_empty": 3, "bytes_out_other_domains_empty": 3,
	} {
		got := int64(0)
		if c, ok := tr.registry.Get(name).(metrics.Counter); ok {
			got = c.Count()
		}
		if got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
}

// BenchmarkTrafficRecord measures the count of one message from another failure domain.
func BenchmarkTrafficRecord(b *testing.B) {
	tr := traffic{registry: metrics.NewRegistry(), domain: "z1"}
	e := &peerv1.Envelope{Call: 7, FrontPull: &peerv1.FrontPull{FailureDomain: "z2"}}
	for b.Loop() {
		tr.record("far", e, 100, false)
	}
}
