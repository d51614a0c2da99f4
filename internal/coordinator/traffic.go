package coordinator

import (
	"cmp"
	"sync"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/reflect/protoreflect"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// traffic counts the bytes of the messages to and from other processes, by kind of message,
// and again those that leave the failure domain or come from another one. Every message of
// fronts and core processes has a core process at one end at least.
type traffic struct {
	registry metrics.Registry
	domain   identifier.FailureDomain

	mu sync.Mutex
	// domains holds the failure domains that other processes have stated.
	domains map[identifier.VM]identifier.FailureDomain
}

// record counts one message.
func (t *traffic) record(peer identifier.VM, e *peerv1.Envelope, bytes int, sent bool) {
	direction := "bytes_in"
	if sent {
		direction = "bytes_out"
	}
	kind := messageKind(e)
	t.count(direction+"_"+kind, bytes)
	if !sent {
		t.learnDomain(peer, e)
	}
	if d := t.domainOf(peer); d != "" && d != t.domain {
		t.count(direction+"_other_domains_"+kind, bytes)
	}
}

func (t *traffic) count(name string, bytes int) {
	metrics.GetOrRegisterCounter(name, t.registry).Inc(int64(bytes))
}

// learnDomain records the failure domain that a peer states in a message.
func (t *traffic) learnDomain(peer identifier.VM, e *peerv1.Envelope) {
	stated := cmp.Or(e.GetFrontPull().GetFailureDomain(), e.GetCoreHello().GetFailureDomain())
	if stated == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.domains == nil {
		t.domains = map[identifier.VM]identifier.FailureDomain{}
	}
	t.domains[peer] = identifier.FailureDomain(stated)
}

// domainOf returns the failure domain of a peer, or an empty one if it has not stated any.
func (t *traffic) domainOf(peer identifier.VM) identifier.FailureDomain {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.domains[peer]
}

// messageKind returns the name of the one field of an Envelope that holds its message.
func messageKind(e *peerv1.Envelope) string {
	kind := "empty"
	e.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		switch f.Name() {
		case "call", "answer", "error":
			return true
		}
		kind = string(f.Name())
		return false
	})
	return kind
}
