package server

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/refuser"
)

// limitRule is the users' rule about request rates that servers name.
var limitRule = emulator.LimitRule{Contact: 3 * time.Second, Window: 4 * time.Second, Overshoot: 1.5, Slack: 5}

// minLimitUsage is the share of a limit that servers must get while there is demand for
// more.
const minLimitUsage = 0.7

// limitTest sends requests to servers that name limits.
type limitTest struct {
	*testCluster
	random  *rand.Rand
	calls   sync.WaitGroup
	mu      sync.Mutex
	refused map[refuser.Code]int
	served  int
}

func withLimitTest(t *testing.T, f func(l *limitTest)) {
	t.Helper()
	withCluster(t, 2, func(w *testCluster) {
		l := &limitTest{testCluster: w, random: rand.New(rand.NewPCG(1, 1)), refused: map[refuser.Code]int{}}
		f(l)
		l.calls.Wait()
	})
}

// setLimits lets every engine and booking server name a rate, or none if it is negative.
func (l *limitTest) setLimits(rate float64) {
	for _, b := range l.backends {
		f := emulator.Faults{}
		if rate >= 0 {
			f.LimitPerSecond = &rate
		}
		b.server.SetFaults(f)
	}
}

// sendFor sends chat requests and bookings to all entries for a while.
func (l *limitTest) sendFor(d time.Duration, chatsPerSecond int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / time.Duration(chatsPerSecond)) {
		p := l.peers[l.random.IntN(len(l.peers))]
		booking := l.random.IntN(4) == 0
		l.calls.Go(func() {
			var r response
			if booking {
				r = l.send(string(p.VM), "/services/booking/bookings", "worker 17", fmt.Sprintf("b%d", l.requestCount.Add(1)), "")
			} else {
				r = l.sendChat(string(p.VM))
			}
			l.checkStatement(r)
			l.mu.Lock()
			defer l.mu.Unlock()
			if r.refusal != nil {
				l.refused[r.refusal.Code]++
			} else if r.complete {
				l.served++
			}
		})
	}
}

func (l *limitTest) checkLimits() {
	l.t.Helper()
	windows, worst := 0, 0.0
	for vm, b := range l.backends {
		c := b.server.Limit().Check(limitRule)
		windows += c.Windows
		worst = max(worst, c.Worst)
		if c.Violation != "" {
			l.t.Errorf("LIMIT: %s got %s", vm, c.Violation)
		}
	}
	l.t.Logf("%d windows of limited servers; at most %.0f %% of what is allowed", windows, 100*worst)
}

// usage returns how many requests reached the servers that got any from a time on, as a
// share of what they name.
func (l *limitTest) usage(from time.Time) float64 {
	got, allowed := 0.0, 0.0
	for _, b := range l.backends {
		n := b.server.Limit().CountIn(from, time.Now())
		if rate, named := b.server.Limit().Rate(); named && n > 0 {
			got += float64(n)
			allowed += rate * time.Since(from).Seconds()
		}
	}
	return got / allowed
}

// TestEntriesSendServersNoMoreThanTheyName guards against servers that get more requests from
// all entries together than they have named, and against servers that get far less although
// there is demand. An entry is killed and starts again, and limits change.
func TestEntriesSendServersNoMoreThanTheyName(t *testing.T) {
	for _, rate := range []float64{0.5, 2} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			withLimitTest(t, func(l *limitTest) {
				l.sendFor(2*time.Second, 40)
				l.setLimits(rate)
				l.sendFor(6*time.Second, 40)
				from := time.Now()
				l.sendFor(10*time.Second, 40)
				usage := l.usage(from)
				t.Logf("servers got %.0f %% of their limits; refused %v", 100*usage, l.refused)
				if usage < minLimitUsage {
					t.Errorf("servers got %.0f %% of their limits, want %.0f %%", 100*usage, 100*minLimitUsage)
				}
				l.setLimits(rate / 2)
				l.killEntry("entry-a-2")
				l.sendFor(5*time.Second, 40)
				l.startEntry("entry-a-2")
				l.sendFor(20*time.Second, 40)
				l.checkLimits()
			})
		})
	}
}

// TestEntriesNoticeThatLimitsEnd guards against limits that are kept although their servers
// name none any more.
func TestEntriesNoticeThatLimitsEnd(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 2} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			withLimitTest(t, func(l *limitTest) {
				l.setLimits(rate)
				l.sendFor(6*time.Second, 10)
				l.setLimits(-1)
				l.sendFor(15*time.Second, 10)
				l.calls.Wait()
				l.refused, l.served = map[refuser.Code]int{}, 0
				l.sendFor(5*time.Second, 10)
				l.calls.Wait()
				if len(l.refused) > 0 {
					t.Errorf("refused %v, served %d, although no server names a limit", l.refused, l.served)
				}
			})
		})
	}
}
