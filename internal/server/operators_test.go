package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

// TestOperatorsRace lets four operators change the configuration at once
// through any entry, resending each call that was not answered, while voters
// are killed and cut off. Every revision has one winner, a resent call gets its
// first outcome, no process ever goes back, and all end up with the same.
func TestOperatorsRace(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inWorld(t, 2, func(w *world) {
				r := &operatorRace{w: w, rand: rand.New(rand.NewPCG(seed, 1)), won: map[uint64]string{}, high: map[string]uint64{}}
				r.run(60 * time.Second)
				r.check()
			})
		})
	}
}

type operatorRace struct {
	w    *world
	mu   sync.Mutex
	rand *rand.Rand
	// won maps each revision to the call that made it.
	won   map[uint64]string
	high  map[string]uint64
	group sync.WaitGroup
}

func (r *operatorRace) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(n)
}

func (r *operatorRace) run(d time.Duration) {
	end := time.Now().Add(d)
	for i := range 4 {
		r.group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r.operate(fmt.Sprintf("operator-%d-%d", i, n))
			}
		})
	}
	for time.Now().Before(end) {
		r.disturb()
		time.Sleep(3 * time.Second)
		r.watch()
	}
	for _, d := range worldDomains {
		r.w.cutDomain(d, false)
	}
	r.group.Wait()
	time.Sleep(15 * time.Second)
}

// operate makes one change and sends it until it has an outcome, and then once
// more through another entry.
func (r *operatorRace) operate(id string) {
	ctx := context.Background()
	have, err := r.client().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		time.Sleep(time.Second)
		return
	}
	req := &trefoilheadv1.SetDrainRequest{
		RequestId: id, ExpectedRevision: have.Msg.GetRevision(), Drained: r.intN(2) == 0,
		Target: &trefoilheadv1.Drain{Kind: "backend_server", Id: fmt.Sprint("none-", r.intN(4))},
	}
	first, code := r.send(ctx, req)
	second, again := r.send(ctx, req)
	if first != second || code != again {
		r.w.t.Errorf("%s got revision %d (%s) first and %d (%s) when resent", id, first, code, second, again)
	}
	if code != 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, ok := r.won[first]; ok {
		r.w.t.Errorf("revision %d was given to %s and %s", first, other, id)
	}
	r.won[first] = id
}

func (r *operatorRace) client() trefoilheadv1connect.OperatorClient {
	return r.w.operator(string(r.w.peers[r.intN(len(r.w.peers))].VM))
}

// send repeats a call until its outcome is known: accepted, or lost to another.
func (r *operatorRace) send(ctx context.Context, req *trefoilheadv1.SetDrainRequest) (uint64, connect.Code) {
	for {
		resp, err := r.client().SetDrain(ctx, connect.NewRequest(req))
		if err == nil {
			return resp.Msg.GetRevision(), 0
		}
		if code := connect.CodeOf(err); code == connect.CodeAborted {
			return 0, code
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// disturb kills a voter or cuts a domain off; the others are a majority.
func (r *operatorRace) disturb() {
	d := worldDomains[r.intN(len(worldDomains))]
	for _, other := range worldDomains {
		r.w.cutDomain(other, false)
	}
	switch r.intN(3) {
	case 0:
		r.w.cutDomain(d, true)
	case 1:
		vm := fmt.Sprintf("entry-%s-1", d)
		r.w.kill(vm)
		r.w.startEntry(vm)
	}
}

// watch requires that no process goes back once it serves.
func (r *operatorRace) watch() {
	for vm, e := range r.w.entries {
		if e.server.locator == nil || !e.server.caughtUp() {
			continue
		}
		now := uint64(e.server.config.Revision())
		if now < r.high[vm] && e.settings.DataFolder != "" {
			r.w.t.Errorf("%s went back from revision %d to %d", vm, r.high[vm], now)
		}
		r.high[vm] = max(r.high[vm], now)
	}
}

func (r *operatorRace) check() {
	t := r.w.t
	if len(r.won) < 20 {
		t.Errorf("only %d changes were accepted", len(r.won))
	}
	// The first revision declares the services.
	want := uint64(len(r.won)) + 1
	for vm, e := range r.w.entries {
		if got := uint64(e.server.config.Revision()); got != want {
			t.Errorf("%s is at revision %d after %d accepted changes, want %d", vm, got, len(r.won), want)
		}
	}
}
