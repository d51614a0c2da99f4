package server

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

// Sizes of one failure domain of the largest cluster that the project's
// requirements name: 840 replicas and 380 nodes in five failure domains, with 20
// services.
const (
	fullGroups   = 168
	fullEntries  = 76
	fullServices = 20
	fullDomains  = 5
)

// fullDigest returns the digest of a failure domain of that size.
func fullDigest(d int) *peerv1.Digest {
	out := &peerv1.Digest{
		FailureDomain: fmt.Sprint("riga-", d), Authority: fmt.Sprintf("entry-%d-01", d), Epoch: 1764800000, Sequence: 86400,
	}
	for i := range maxDigestEntries {
		out.Entries = append(out.Entries, &peerv1.EntryView{VmId: fmt.Sprintf("entry-%d-%02d", d, i)})
	}
	for i := range fullServices {
		out.Services = append(out.Services, &peerv1.ServiceDigest{Service: fmt.Sprint("service-", i), Serving: 8, Running: 300, Limit: 512})
	}
	return out
}

// fullView returns the whole placement view of a failure domain of that size.
func fullView() *peerv1.PlacementView {
	v := &peerv1.PlacementView{FailureDomain: "riga-1", Authority: "entry-1-01", Epoch: 1764800000, Version: 100, Full: true}
	for i := range fullGroups {
		v.Groups = append(v.Groups, &peerv1.GroupView{
			Id: fmt.Sprintf("service-%d/riga-1/1764800000.%d", i%fullServices, i), Service: fmt.Sprint("service-", i%fullServices),
			Address: fmt.Sprintf("http://10.20.1.%d:9000", i), Serving: true, Owner: fmt.Sprintf("entry-1-%02d", i%fullEntries),
			Fence: 1764800000 << 32, Model: "dispatch-70b", Version: "2026-11", Concurrency: 64, ColdConcurrency: 8,
			State: "serving", Members: []string{"engine-1-001", "engine-1-002", "engine-1-003", "engine-1-004"}, FabricDomain: "fabric-07",
		})
	}
	for i := range fullEntries {
		v.Entries = append(v.Entries, &peerv1.EntryView{VmId: fmt.Sprintf("entry-1-%02d", i)})
	}
	return v
}

// steadyReply returns the reply to an entry's report when nothing but the loads
// has changed.
func steadyReply(digests int) *peerv1.Envelope {
	v := &peerv1.PlacementView{FailureDomain: "riga-1", Authority: "entry-1-01", Epoch: 1764800000, Version: 100}
	for range fullGroups {
		v.Running = append(v.Running, 40)
		v.Limits = append(v.Limits, 64)
	}
	for d := range digests {
		v.Digests = append(v.Digests, fullDigest(d))
	}
	return &peerv1.Envelope{Call: 12345, Answer: true, PlacementView: v}
}

// steadyReport returns an entry's report when no backend server has changed.
func steadyReport() *peerv1.Envelope {
	report := &peerv1.EntryReport{VmId: "entry-1-01", Incarnation: 1 << 60, Revision: 2400, Epoch: 1764800000, ViewVersion: 100, Address: "10.20.1.1:7002"}
	for i := range 3 {
		report.Loads = append(report.Loads, &peerv1.GroupLoad{Group: fmt.Sprintf("service-%d/riga-1/1764800000.%d", i, i), Running: 40, Limit: 64})
	}
	return &peerv1.Envelope{Call: 12345, EntryReport: report}
}

func encodedSize(t *testing.T, v any) int {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(b)
}

// maxControlBytes is the limit of control traffic, in bytes per node and second,
// that the project's requirements set.
const maxControlBytes = 5000

// TestControlBytesAtFullSize checks that the bytes that a node exchanges with its
// placement authority in a second are at most three quarters of the limit of
// control traffic. The rest is left for the configuration and the links.
func TestControlBytesAtFullSize(t *testing.T) {
	report, reply := encodedSize(t, steadyReport()), encodedSize(t, steadyReply(0))
	perDigest := encodedSize(t, fullDigest(1))
	digests := (fullDomains - 1) * perDigest / digestHeartbeats
	server := encodedSize(t, &trefoilheadv1.BackendServer{
		VmId: "engine-1-001", FailureDomain: "riga-1", FabricDomain: "fabric-07", Accelerators: 8, Kind: "engine",
		Incarnation: 1 << 60, HonoursFencing: true, Address: "http://10.20.1.1:9000", Group: "service-1/riga-1/1764800000.1",
		GroupFence: 1764800000 << 32, State: "ready", Model: "dispatch-70b", Version: "2026-11", Concurrency: 64,
	})
	t.Logf("report %d B, reply %d B, digest %d B, whole view %d B, changed backend server %d B",
		report, reply, perDigest, encodedSize(t, fullView()), server)
	if sum := report + reply + digests; sum > maxControlBytes*3/4 {
		t.Errorf("a node exchanges %d B/s with its authority, more than %d B/s", sum, maxControlBytes*3/4)
	}
}
