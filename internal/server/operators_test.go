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

// TestOperatorsRace lets four operators change the configuration concurrently
// through random entries, resending each call that fails, while voters are killed
// and failure domains disconnected. Each revision must come from one call, a
// resent call must get its first outcome, no process that serves may go back to
// an older revision, and all must end up with the same one.
func TestOperatorsRace(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withCluster(t, 2, func(w *testCluster) {
				r := &operatorRace{w: w, rand: rand.New(rand.NewPCG(seed, 1)), winners: map[uint64]string{}, maxRevision: map[string]uint64{}}
				r.run(60 * time.Second)
				r.check()
			})
		})
	}
}

type operatorRace struct {
	w    *testCluster
	mu   sync.Mutex
	rand *rand.Rand
	// winners maps each revision to the request id of the call that created it.
	winners     map[uint64]string
	maxRevision map[string]uint64
	operators   sync.WaitGroup
}

func (r *operatorRace) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(n)
}

func (r *operatorRace) run(d time.Duration) {
	end := time.Now().Add(d)
	for i := range 4 {
		r.operators.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r.changeConfig(fmt.Sprintf("operator-%d-%d", i, n))
			}
		})
	}
	for time.Now().Before(end) {
		r.injectFault()
		time.Sleep(3 * time.Second)
		r.checkRevisions()
	}
	for _, d := range testDomains {
		r.w.partitionDomain(d, false)
	}
	r.operators.Wait()
	time.Sleep(15 * time.Second)
}

// changeConfig sends one change until its outcome is known, and then resends it
// through random entries. It must get the same outcome.
func (r *operatorRace) changeConfig(id string) {
	ctx := context.Background()
	current, err := r.randomClient().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		time.Sleep(time.Second)
		return
	}
	req := &trefoilheadv1.SetDrainRequest{
		RequestId: id, ExpectedRevision: current.Msg.GetRevision(), Drained: r.intN(2) == 0,
		Target: &trefoilheadv1.Drain{Kind: "backend_server", Id: fmt.Sprint("none-", r.intN(4))},
	}
	first, code := r.sendUntilDecided(ctx, req)
	second, secondCode := r.sendUntilDecided(ctx, req)
	if first != second || code != secondCode {
		r.w.t.Errorf("%s got revision %d (%s) first and %d (%s) when resent", id, first, code, second, secondCode)
	}
	if code != 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, ok := r.winners[first]; ok {
		r.w.t.Errorf("revision %d was assigned to both %s and %s", first, other, id)
	}
	r.winners[first] = id
}

func (r *operatorRace) randomClient() trefoilheadv1connect.OperatorClient {
	return r.w.operatorClient(string(r.w.peers[r.intN(len(r.w.peers))].VM))
}

// sendUntilDecided retries a call until its outcome is known: accepted, or aborted
// because another change was accepted first.
func (r *operatorRace) sendUntilDecided(ctx context.Context, req *trefoilheadv1.SetDrainRequest) (uint64, connect.Code) {
	for {
		resp, err := r.randomClient().SetDrain(ctx, connect.NewRequest(req))
		if err == nil {
			return resp.Msg.GetRevision(), 0
		}
		if code := connect.CodeOf(err); code == connect.CodeAborted {
			return 0, code
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// injectFault restarts a voter, disconnects a failure domain or does neither. The
// other voters remain a majority.
func (r *operatorRace) injectFault() {
	d := testDomains[r.intN(len(testDomains))]
	for _, other := range testDomains {
		r.w.partitionDomain(other, false)
	}
	switch r.intN(3) {
	case 0:
		r.w.partitionDomain(d, true)
	case 1:
		vm := fmt.Sprintf("entry-%s-1", d)
		r.w.killEntry(vm)
		r.w.startEntry(vm)
	}
}

// checkRevisions requires that no process with a disk goes back to an older
// revision once it serves.
func (r *operatorRace) checkRevisions() {
	for vm, e := range r.w.entries {
		if e.server.locator == nil || !e.server.isConfigReady() {
			continue
		}
		now := uint64(e.server.config.Revision())
		if now < r.maxRevision[vm] && e.settings.DataFolder != "" {
			r.w.t.Errorf("%s went back from revision %d to %d", vm, r.maxRevision[vm], now)
		}
		r.maxRevision[vm] = max(r.maxRevision[vm], now)
	}
}

func (r *operatorRace) check() {
	t := r.w.t
	if len(r.winners) < 20 {
		t.Errorf("only %d changes were accepted", len(r.winners))
	}
	// The first revision declares the services.
	want := uint64(len(r.winners)) + 1
	for vm, e := range r.w.entries {
		if got := uint64(e.server.config.Revision()); got != want {
			t.Errorf("%s is at revision %d after %d accepted changes, want %d", vm, got, len(r.winners), want)
		}
	}
}
