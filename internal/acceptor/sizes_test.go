package acceptor

import "testing"

// TestPartsFitIntoMachine checks that what all parts of a process may take together fits into its machine.
func TestPartsFitIntoMachine(t *testing.T) {
	// Parts of the memory that other packages set: the limit of the runtime, and the program's text.
	const runtimeFraction, textBytes = 0.62, 12 << 20
	for _, c := range []struct{ memoryMB, descriptors int }{{284, 4100}, {280, 4096}, {284, 4200}, {256, 1 << 20}, {128, 2048}, {1024, 1024}, {65536, 1 << 20}} {
		r := Resources{MemoryBytes: int64(c.memoryMB) << 20, Descriptors: c.descriptors}
		clients, servers := r.ClientConnections(false), r.ServerConnections()
		open := clients + clients/spareFraction
		if sum := open + servers + otherDescriptors + reservedDescriptors; sum > c.descriptors {
			t.Errorf("%+v: %d descriptors are used", c, sum)
		}
		unread := int64(open+servers+otherDescriptors) * unreadBytes
		if sum := int64(runtimeFraction*float64(r.MemoryBytes)) + textBytes + unread; sum > r.MemoryBytes {
			t.Errorf("%+v: %d of %d bytes are used", c, sum, r.MemoryBytes)
		}
		if live := r.RequestMemory() + int64(open)*clientBytes; float64(live) > 0.8*runtimeFraction*float64(r.MemoryBytes) {
			t.Errorf("%+v: %d bytes leave too little of the runtime's limit", c, live)
		}
	}
	if r := (Resources{}); r.ClientConnections(true) != 0 || r.ServerConnections() != 0 || r.RequestMemory() != 0 {
		t.Error("without resources there are bounds")
	}
}
