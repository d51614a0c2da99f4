package server

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/refuser"
)

var systemHistories = flag.Int("system_histories", 3, "number of random histories of the whole system")

// TestSystemHistories injects random faults into the cluster while callers send
// chats and keyed bookings, and resend the bookings through random entries. No
// booking may run twice, every refusal must state correctly whether the request
// ran, every complete response must belong to its request, and the cluster must
// serve again once the faults have ended.
func TestSystemHistories(t *testing.T) {
	for seed := range uint64(*systemHistories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withCluster(t, 2, func(w *testCluster) {
				h := &systemHistory{w: w, rand: rand.New(rand.NewPCG(seed, 1))}
				h.run(90 * time.Second)
				h.check()
			})
		})
	}
}

type systemHistory struct {
	w    *testCluster
	rand *rand.Rand

	mu       sync.Mutex
	chats    []response
	bookings map[string][]response
	callers  sync.WaitGroup
}

func (h *systemHistory) run(d time.Duration) {
	h.bookings = map[string][]response{}
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		h.injectFault()
		h.callers.Go(func() { h.recordResponse(h.w.sendChat(h.randomEntry())) })
		if n%3 == 0 {
			h.sendBookings(fmt.Sprint("booking-", n))
		}
		time.Sleep(time.Duration(200+h.intN(800)) * time.Millisecond)
	}
	h.callers.Wait()
	h.clearFaults()
	time.Sleep(30 * time.Second)
}

func (h *systemHistory) intN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rand.IntN(n)
}

func (h *systemHistory) randomEntry() string {
	return string(h.w.peers[h.intN(len(h.w.peers))].VM)
}

func (h *systemHistory) recordResponse(r response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chats = append(h.chats, r)
}

// sendBookings sends one booking three times through random entries: immediately
// and after random delays.
func (h *systemHistory) sendBookings(key string) {
	for i := range 3 {
		entry := h.randomEntry()
		delay := time.Duration(i*h.intN(4000)) * time.Millisecond
		h.callers.Go(func() {
			time.Sleep(delay)
			runsBefore := h.w.runCount(key)
			r := h.w.send(entry, "/services/booking/bookings", "worker "+key, key, key)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.bookings[key] = append(h.bookings[key], r)
			if r.refusal != nil && r.refusal.Statement == refuser.NotRun && runsBefore > 0 {
				h.w.t.Errorf("%s had run, but its refusal states not_run: %s", key, r)
			}
		})
	}
}

// injectFault injects a random fault, clears all of them or does nothing. The
// first entry of each failure domain is never killed or blackholed, and at most
// one domain is disconnected at a time.
func (h *systemHistory) injectFault() {
	d := testDomains[h.intN(len(testDomains))]
	engine := fmt.Sprintf("engine-%s-%d", d, 1+h.intN(5))
	booking := fmt.Sprintf("booking-%s", d)
	entry := fmt.Sprintf("entry-%s-2", d)
	switch h.intN(16) {
	case 0:
		h.clearFaults()
		h.w.partitionDomain(d, true)
	case 1, 2:
		h.clearFaults()
	case 3:
		h.w.killEntry(entry)
		h.w.startEntry(entry)
	case 4:
		h.w.backends[engine].server.SetFaults(emulator.Faults{Paused: true})
	case 5:
		h.w.backends[booking].server.SetFaults(emulator.Faults{LoseResponses: true})
	case 6:
		h.w.backends[engine].server.SetFaults(emulator.Faults{CutAfterTokens: 3})
	case 7:
		for other := range h.w.hosts(func(identifier.FailureDomain) bool { return true }) {
			h.w.network.BlackholeConnections(entry, other)
		}
	case 8:
		h.w.backends[booking].server.SetFaults(emulator.Faults{RefuseRequests: true})
	}
}

func (h *systemHistory) clearFaults() {
	for _, d := range testDomains {
		h.w.partitionDomain(d, false)
	}
	for _, b := range h.w.backends {
		b.server.SetFaults(emulator.Faults{})
	}
}

func (h *systemHistory) check() {
	t := h.w.t
	complete := 0
	for _, r := range h.chats {
		h.w.checkStatement(r)
		if r.complete && r.tokens != chatTokens {
			t.Errorf("a complete response has unexpected tokens: %s", r)
		}
		if r.complete {
			complete++
		}
	}
	if complete < len(h.chats)/2 {
		t.Errorf("only %d of %d chats got a complete response", complete, len(h.chats))
	}
	for key, responses := range h.bookings {
		h.checkBooking(key, responses)
	}
	for _, p := range h.w.peers {
		h.w.checkComplete(h.w.sendChat(string(p.VM)))
	}
}

// checkBooking requires that a booking ran at most once and that all its complete
// responses are the same.
func (h *systemHistory) checkBooking(key string, responses []response) {
	t := h.w.t
	runs := h.w.runCount(key)
	if runs > 1 {
		t.Errorf("%s ran %d times: %v", key, runs, responses)
	}
	var body string
	for _, r := range responses {
		if !r.complete {
			continue
		}
		if body != "" && r.body != body || runs == 0 {
			t.Errorf("%s got the responses %q and %q after %d runs", key, body, r.body, runs)
		}
		body = r.body
	}
}
