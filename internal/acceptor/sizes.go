package acceptor

import "math"

// Resources are what the machine of a process gives it. Zero values mean that a resource has no bound.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

const (
	// reservedDescriptors are left to files, and otherDescriptors to listeners, own processes and small listeners.
	reservedDescriptors = 200
	otherDescriptors    = 2*SmallListenerConnections + 32
	// clientFraction is the part of the other descriptors that clients may take; servers get the rest.
	clientFraction = 0.6
	// clientMemoryFraction and serverMemoryFraction are the parts of the memory that the connections of clients and those to servers
	// may take, besides what requests reserve.
	clientMemoryFraction = 0.2
	serverMemoryFraction = 0.1
	// unreadBytes is what a full receive buffer holds, clientBytes what else the connection of a client takes: goroutine and
	// buffers. handshakeBytes is what a handshake of TLS adds.
	unreadBytes    = 2 * WindowBytes
	clientBytes    = 12 << 10
	handshakeBytes = 80 << 10
	// minConnections is the smallest bound, whatever the resources are.
	minConnections = 16
)

// SmallListenerConnections is the bound on the connections of a listener that few clients use, as for readiness checks.
const SmallListenerConnections = 64

// SmallListenerMemory bounds what the requests of such a listener may reserve. It has a budget of its own, so that
// callers who take all of theirs do not keep load balancers and own processes out.
const SmallListenerMemory = 2 << 20

// RequestMemoryFraction is the part of the memory that all requests may reserve. Until the next collection as much again may be garbage.
const RequestMemoryFraction = 0.3

// RequestMemory returns the bound on what all requests reserve.
func (r Resources) RequestMemory() int64 {
	return int64(RequestMemoryFraction * float64(r.MemoryBytes))
}

// ClientConnections returns the bound on all connections of clients.
func (r Resources) ClientConnections(withTLS bool) int {
	size := unreadBytes + clientBytes
	if withTLS {
		size += handshakeBytes
	}
	n := r.connections(clientFraction, clientMemoryFraction, size)
	// The others may be open while connections are being closed.
	return n - n/(spareFraction+1)
}

// ServerConnections returns the bound on all connections to backend servers, whose other memory counts for their requests.
func (r Resources) ServerConnections() int {
	return r.connections(1-clientFraction, serverMemoryFraction, unreadBytes)
}

// connections returns how many connections of a size fit into a part of the descriptors and one of the memory, or 0 if neither has a
// bound.
func (r Resources) connections(ofDescriptors, ofMemory float64, size int) int {
	most := math.MaxInt
	if r.Descriptors > 0 {
		most = int(ofDescriptors * float64(r.Descriptors-reservedDescriptors-otherDescriptors))
	}
	if r.MemoryBytes > 0 {
		most = min(most, int(ofMemory*float64(r.MemoryBytes)/float64(size)))
	}
	if most == math.MaxInt {
		return 0
	}
	return max(most, minConnections)
}
