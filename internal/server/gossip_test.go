package server

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"trefoilhead.org/trefoilhead/internal/piper"

	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/recorder"
)

// newGossipServers starts n processes that do nothing but exchange the
// configuration: the first gets changes from a log, the others from their peers.
func newGossipServers(t *testing.T, n int) []*Server {
	t.Helper()
	net := piper.New()
	var peers []configurer.Peer
	addresses := map[identifier.VM]string{}
	for i := range n {
		vm := identifier.VM(fmt.Sprintf("entry-%d", i))
		peers = append(peers, configurer.Peer{VM: vm, FailureDomain: "d", Address: string(vm) + ":1"})
		addresses[vm] = string(vm) + ":1"
	}
	var all []*Server
	for i, p := range peers {
		s := &Server{Settings: configurer.EntrySettings{VM: p.VM, FailureDomain: "d", Peers: peers}, Logger: log.NewNopLogger()}
		s.Settings.FillDefaults()
		host := piper.Host{Network: net, Name: string(p.VM)}
		s.random = &lockedRand{r: rand.New(rand.NewPCG(uint64(i), 1))}
		s.locator = &locator.Locator{VM: p.VM, Domain: "d"}
		s.linker = &linker.Linker{
			VM: p.VM, PeerKey: peerKey, PeerAddresses: addresses, Scheme: "ws", Dialer: host, Handler: s, Logger: s.Logger,
			PingInterval: s.Settings.Timing.HeartbeatInterval, SilenceTimeout: s.Settings.Timing.SilenceTimeout,
		}
		mux := http.NewServeMux()
		mux.Handle(linker.Path, s.linker)
		l, err := host.Listen(t.Context(), "tcp", p.Address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		all = append(all, s)
	}
	return all
}

// runGossip starts the push and pull loops of all servers. The function it returns
// closes their links.
func runGossip(t *testing.T, all []*Server) (stop func()) {
	t.Helper()
	for _, s := range all {
		s.runEvery(t.Context(), s.Settings.Timing.ConfigPullInterval, func() { s.pullConfig(t.Context()) })
		s.runEvery(t.Context(), pushInterval, s.pushConfig)
	}
	return func() {
		for _, s := range all {
			s.linker.Close()
		}
	}
}

// acceptChange applies change number n to the configuration log of s.
func acceptChange(t *testing.T, s *Server, n int) {
	t.Helper()
	c := recorder.Change{RequestID: fmt.Sprint("change-", n), ExpectedRevision: s.loggedConfig.Revision()}
	team := declarer.Team{ID: identifier.Team(fmt.Sprint("team-", n%50)), KeySHA256: hashOf(fmt.Sprint(n)), Weight: 1}
	declarations := declarer.Declarations{Teams: []declarer.Team{team}}
	c.Put = declarations.Objects()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	configMachine{s}.Apply(data)
}

// TestChangesSpread checks that all processes have a burst of 300 changes within
// ten seconds. Processes that the random pushes miss have to pull the changes.
func TestChangesSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newGossipServers(t, 24)
		stop := runGossip(t, all)
		for i := range 300 {
			acceptChange(t, all[0], i)
		}
		time.Sleep(10 * time.Second)
		for _, s := range all {
			if s.config.Revision() != 300 {
				t.Errorf("%s is at revision %d after ten seconds, not 300", s.Settings.VM, s.config.Revision())
			}
		}
		stop()
	})
}

// TestMeasureSpread measures the time until a change is in effect at all processes
// and the bytes that each process sends for that.
func TestMeasureSpread(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, n := range []int{9, 48, 95, 190, 380} {
		synctest.Test(t, func(t *testing.T) {
			all := newGossipServers(t, n)
			stop := runGossip(t, all)
			time.Sleep(20 * time.Second)
			idleRate := idleBytesPerSecond(all, 20*time.Second)
			// One change in 36 seconds makes 2,400 changes a day.
			var delays []time.Duration
			before := totalBytesOut(all)
			start := time.Now()
			for i := range 5 {
				acceptChange(t, all[0], i)
				delays = append(delays, waitForSpread(all)...)
				time.Sleep(36*time.Second - time.Since(start)%(36*time.Second))
			}
			changingRate := float64(totalBytesOut(all)-before) / time.Since(start).Seconds() / float64(n)
			for i := range 300 {
				acceptChange(t, all[0], 5+i)
			}
			burst := slices.Max(waitForSpread(all))
			slices.Sort(delays)
			quantile := func(q float64) time.Duration { return delays[int(q*float64(len(delays)-1))] }
			fmt.Printf("%3d processes: in force after p50 %v p99 %v max %v; burst of 300 in force everywhere after %v; sent per process %.0f B/s at rest, %.0f B/s at 2400 changes a day\n",
				n, quantile(0.5), quantile(0.99), quantile(1), burst, idleRate, changingRate)
			stop()
		})
	}
}

// waitForSpread waits until all servers have the revision of the first one, and
// returns how long each took.
func waitForSpread(all []*Server) []time.Duration {
	start := time.Now()
	delays := make([]time.Duration, len(all))
	for lagging := len(all); lagging > 0; {
		lagging = 0
		for i, s := range all {
			if s.config.Revision() < all[0].config.Revision() {
				lagging++
				delays[i] = 0
			} else if delays[i] == 0 {
				delays[i] = time.Since(start)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return delays
}

func totalBytesOut(all []*Server) uint64 {
	sum := uint64(0)
	for _, s := range all {
		sum += s.linker.Counts().BytesOut
	}
	return sum
}

// idleBytesPerSecond returns the mean number of bytes per second that a process
// sends while the configuration does not change.
func idleBytesPerSecond(all []*Server, d time.Duration) float64 {
	before := totalBytesOut(all)
	time.Sleep(d)
	return float64(totalBytesOut(all)-before) / d.Seconds() / float64(len(all))
}
