package coordinator_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/forwarder"
	"trefoilhead.org/trefoilhead/internal/fronter"
	"trefoilhead.org/trefoilhead/internal/grouper"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/piper"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// system is a few core processes and fronts on a network in memory. A host has
// the name of its process.
type system struct {
	t      *testing.T
	net    *piper.Network
	folder string
	seeds  []string
	began  time.Time
	cores  map[string]*coreHost
	fronts map[string]*frontHost
	disks  int
}

type coreHost struct {
	core *coordinator.Coordinator
	disk string
	stop context.CancelFunc
	done sync.WaitGroup
}

type frontHost struct {
	front *fronter.Front
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// firstCores are the processes of a new system; the first three are its seeds.
var firstCores = []string{"a", "b", "c"}

func inSystem(t *testing.T, test func(s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &system{
			t: t, net: piper.New(), folder: t.TempDir(), began: time.Now(),
			cores: map[string]*coreHost{}, fronts: map[string]*frontHost{},
		}
		for _, c := range firstCores {
			s.seeds = append(s.seeds, c+":8")
		}
		for _, c := range firstCores {
			s.startCore(c, true)
		}
		defer s.end()
		test(s)
	})
}

func (s *system) end() {
	for name := range s.fronts {
		s.killFront(name)
	}
	for name := range s.cores {
		s.kill(name)
	}
	synctest.Wait()
}

func (s *system) settings(name string) configurer.Node {
	set := configurer.Node{
		VM: identifier.VM(name), Region: "r", FailureDomain: identifier.FailureDomain("z" + name),
		ControlAddress: name + ":8", PeerAddress: name + ":7", CallersAddress: name + ":80", ReadinessAddress: name + ":81",
		Seeds: s.seeds,
	}
	set.Bounds.RevocationMS = 5000
	set.FillDefaults()
	return set
}

var logs = flag.Bool("system.logs", false, "print the logs of every process")

// logger writes with the time of the paused clock.
func (s *system) logger(name string) log.Logger {
	if !*logs {
		return log.NewNopLogger()
	}
	l := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	return log.With(l, "at", log.Valuer(func() any { return time.Since(s.began) }), "process", name)
}

// startCore starts a core process on the disk that its host had last.
func (s *system) startCore(name string, first bool) {
	h := s.cores[name]
	if h == nil {
		h = &coreHost{}
		s.cores[name] = h
		s.newDisk(name)
	}
	set := s.settings(name)
	set.FirstStart = first
	set.DataFolder = h.disk
	c := &coordinator.Coordinator{
		Settings: set, Logger: s.logger(name), Network: piper.Host{Net: s.net, Name: name}, Engines: noEngines{},
		Decode: decode, Handler: http.NotFoundHandler(), Elapsed: func() time.Duration { return time.Since(s.began) },
		Seed: uint64(len(s.cores)*1000 + s.disks),
	}
	c.Init()
	ctx, stop := context.WithCancel(context.Background())
	h.core, h.stop = c, stop
	h.done.Go(func() { _ = c.Run(ctx) })
}

// newDisk gives a host an empty disk.
func (s *system) newDisk(name string) {
	s.disks++
	s.cores[name].disk = filepath.Join(s.folder, fmt.Sprintf("%s-%d", name, s.disks))
}

func (s *system) kill(names ...string) {
	for _, name := range names {
		h := s.cores[name]
		if h.stop == nil {
			continue
		}
		h.stop()
		s.net.Kill(name)
		h.done.Wait()
		h.stop, h.core = nil, nil
	}
}

func (s *system) live() []string {
	var names []string
	for name, h := range s.cores {
		if h.stop != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *system) startFront() *fronter.Front {
	const name = "f"
	f := &fronter.Front{
		Settings: s.settings(name), Logger: s.logger(name), Network: piper.Host{Net: s.net, Name: name},
		Dialect: noDialect{}, Decode: decode, Readiness: http.NotFoundHandler(),
		Elapsed: func() time.Duration { return time.Since(s.began) }, Seed: 5,
	}
	f.Init()
	ctx, stop := context.WithCancel(context.Background())
	h := &frontHost{front: f, stop: stop}
	s.fronts[name] = h
	h.done.Go(func() { _ = f.Run(ctx) })
	return f
}

func (s *system) killFront(name string) {
	h := s.fronts[name]
	h.stop()
	s.net.Kill(name)
	h.done.Wait()
	delete(s.fronts, name)
}

// noEngines answers no order.
type noEngines struct{}

func (noEngines) Carry(context.Context, grouper.Order) grouper.Outcome { return grouper.Unanswered }

// noDialect is for fronts that get no requests.
type noDialect struct{}

func (noDialect) ReadAsk(http.Header) forwarder.Ask           { return forwarder.Ask{} }
func (noDialect) WriteHandoff(http.Header, forwarder.Handoff) {}
func (noDialect) ReadStamp(http.Header) forwarder.Stamp       { return forwarder.Stamp{} }

// testCatalog is the catalog format of these tests.
type testCatalog struct {
	Version cataloger.Version
	Text    string
	Invalid bool
}

func decode(data []byte) (*cataloger.Catalog, error) {
	var t testCatalog
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	c := &cataloger.Catalog{Version: t.Version}
	if t.Invalid {
		c.Version = 0
	}
	return c, c.Index()
}

func catalog(v cataloger.Version) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Text":"text of %d"}`, v, v)
}

// publish sends a catalog as the operator does: to one process, and again to the
// next one until it is acknowledged.
func (s *system) publish(v cataloger.Version, first string) bool {
	names := s.live()
	slices.SortStableFunc(names, func(a, b string) int { return b2i(b == first) - b2i(a == first) })
	for range 6 {
		for _, name := range names {
			if s.cores[name].core.Publish(context.Background(), catalog(v)) == nil {
				return true
			}
		}
	}
	return false
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *system) mustPublish(v cataloger.Version, first string) {
	s.t.Helper()
	if !s.publish(v, first) {
		s.t.Fatalf("version %d was not acknowledged", v)
	}
}

// expect waits until a process is sure and checks that it has a version.
func (s *system) expect(name string, v cataloger.Version) {
	s.t.Helper()
	var got []byte
	var err error
	for range 20 {
		got, err = s.cores[name].core.Newest(context.Background())
		if err == nil {
			break
		}
	}
	if err != nil || string(got) != string(catalog(v)) {
		s.t.Errorf("%s reads %q, %v; want version %d", name, got, err, v)
	}
}

func TestEveryProcessTakesAndReadsCatalogs(t *testing.T) {
	inSystem(t, func(s *system) {
		for i, name := range firstCores {
			v := cataloger.Version(10 * (i + 1))
			s.mustPublish(v, name)
			for _, other := range firstCores {
				s.expect(other, v)
			}
		}
		s.mustPublish(5, "a")
		s.expect("b", 30)
		err := s.cores["a"].core.Publish(context.Background(), []byte(`{"Version":40,"Invalid":true}`))
		if !coordinator.ErrInvalid.Has(err) {
			t.Errorf("an invalid catalog got %v", err)
		}
		s.expect("c", 30)
	})
}

func TestKilledProcessesLoseNothing(t *testing.T) {
	inSystem(t, func(s *system) {
		v := cataloger.Version(0)
		for range 2 {
			for _, name := range firstCores {
				v++
				s.mustPublish(v, name)
				s.kill(name)
				for _, other := range s.live() {
					s.expect(other, v)
				}
				v++
				s.mustPublish(v, "b")
				s.startCore(name, false)
				s.expect(name, v)
			}
		}
	})
}

// TestDiskLostAfterAck wipes each process right after an acknowledgement, while
// the others lose power too. The empty disk must not help a process that lags to
// a majority.
func TestDiskLostAfterAck(t *testing.T) {
	for _, wiped := range firstCores {
		for _, lags := range firstCores {
			if lags == wiped {
				continue
			}
			t.Run(wiped+" wiped, "+lags+" lags", func(t *testing.T) {
				inSystem(t, func(s *system) {
					s.mustPublish(1, "a")
					s.kill(lags)
					s.mustPublish(2, wiped)
					s.kill(s.live()...)
					s.newDisk(wiped)
					s.startCore(wiped, false)
					s.startCore(lags, false)
					if s.publish(9, lags) {
						t.Error("a wiped and a lagging process alone acknowledge a catalog")
					}
					if got, err := s.cores[lags].core.Newest(context.Background()); err == nil {
						t.Errorf("a wiped and a lagging process alone are sure of %q", got)
					}
					for _, name := range firstCores {
						if name != wiped && name != lags {
							s.startCore(name, false)
						}
					}
					for _, name := range firstCores {
						s.expect(name, 2)
					}
					time.Sleep(5 * time.Second)
					s.mustPublish(3, wiped)
					s.kill(lags)
					s.expect(wiped, 3)
				})
			})
		}
	}
}

func TestEverythingRestarts(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		if err := s.cores["b"].core.Evacuate(context.Background(), "z1", true); err != nil {
			t.Fatal(err)
		}
		s.kill(firstCores...)
		for _, name := range firstCores {
			s.startCore(name, false)
		}
		s.expect("a", 1)
		f := s.startFront()
		time.Sleep(3 * time.Second)
		if out := f.Known().Evacuated; !slices.Equal(out, []identifier.FailureDomain{"z1"}) {
			t.Errorf("taken out after the restart: %v", out)
		}
	})
}

func TestReplacementAtAnotherAddress(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		s.kill("c")
		s.startCore("d", false)
		// The replacement takes part once it has caught up, and the lost process
		// is removed when it was long unheard.
		time.Sleep(15 * time.Second)
		s.expect("d", 1)
		s.kill("a")
		s.mustPublish(2, "d")
		s.expect("b", 2)
		s.startCore("a", false)
		s.expect("a", 2)
	})
}

func TestCutOffProcessIsNotSure(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		for _, cut := range firstCores {
			for _, other := range firstCores {
				if other != cut {
					s.net.SetCut(cut, other, true)
				}
			}
			time.Sleep(4 * time.Second)
			other := firstCores[b2i(cut == firstCores[0])]
			v := cataloger.Version(10 + slices.Index(firstCores, cut))
			s.mustPublish(v, other)
			if got, err := s.cores[cut].core.Newest(context.Background()); err == nil {
				t.Errorf("%s, cut off, reads %q", cut, got)
			}
			for _, o := range firstCores {
				if o != cut {
					s.net.SetCut(cut, o, false)
				}
			}
			time.Sleep(3 * time.Second)
			s.expect(cut, v)
		}
	})
}

func TestFrontFollows(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		time.Sleep(2 * time.Second)
		if !f.Ready() || f.Known().Catalog != 1 {
			t.Fatalf("ready %v, catalog %d", f.Ready(), f.Known().Catalog)
		}
		s.mustPublish(2, "b")
		// A deployment gives 2 s from the acknowledgement.
		time.Sleep(2 * time.Second)
		if f.Known().Catalog != 2 {
			t.Errorf("2 s after the acknowledgement the front has catalog %d", f.Known().Catalog)
		}
		s.kill("a")
		time.Sleep(5 * time.Second)
		if !f.Ready() {
			t.Error("the front is not ready though two core processes live")
		}
	})
}

// TestKeysExpireWithoutNews cuts a front off and suspends nothing else: keys that
// were taken away meanwhile must not be honoured once their bound is over.
func TestKeysExpireWithoutNews(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		time.Sleep(2 * time.Second)
		for _, c := range firstCores {
			s.net.SetCut("f", c, true)
		}
		cut := time.Now()
		s.mustPublish(2, "a")
		for time.Since(cut) < 8*time.Second {
			time.Sleep(100 * time.Millisecond)
			if f.Ready() && time.Since(cut) > 5*time.Second {
				t.Fatalf("ready %s after the cut", time.Since(cut))
			}
		}
		for _, c := range firstCores {
			s.net.SetCut("f", c, false)
		}
		time.Sleep(4 * time.Second)
		if !f.Ready() || f.Known().Catalog != 2 {
			t.Errorf("after the cut: ready %v, catalog %d", f.Ready(), f.Known().Catalog)
		}
	})
}

// TestFrontLeavesHalfOfACut cuts the core process that a front follows off from
// the others only. The front has to find one that still has news.
func TestFrontLeavesHalfOfACut(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		time.Sleep(2 * time.Second)
		for _, cut := range firstCores {
			for _, other := range firstCores {
				if other != cut {
					s.net.SetCut(cut, other, true)
				}
			}
			time.Sleep(6 * time.Second)
			if !f.Ready() {
				t.Errorf("with %s cut off the front is not ready", cut)
			}
			for _, other := range firstCores {
				if other != cut {
					s.net.SetCut(cut, other, false)
				}
			}
			time.Sleep(3 * time.Second)
		}
	})
}

func TestAnnouncementReachesFronts(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		time.Sleep(2 * time.Second)
		s.cores["c"].core.Announce(tracker.Server{
			ID: "i-1", Service: "llm", Address: "i-1:1", Domain: "zc", Born: 5, Sequence: 1, HeardAt: time.Now(),
		})
		time.Sleep(500 * time.Millisecond)
		if got := f.Known().Servers; len(got) != 1 || got[0].ID != "i-1" || !got[0].Usable() {
			t.Fatalf("servers: %v", got)
		}
		s.cores["a"].core.Leave("i-1", 5)
		// A leaver must get nothing new 2 s after the acknowledgement.
		time.Sleep(time.Second)
		if got := f.Known().Servers; len(got) != 1 || got[0].Usable() {
			t.Errorf("a server that left: %v", got)
		}
	})
}

// TestFrontKeepsServersWhileCoresRestart restarts all core processes. Their
// registries are empty then, and the front has to go on with the servers that it
// knows until these can have announced themselves again.
func TestFrontKeepsServersWhileCoresRestart(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		beat := func(sequence uint64) {
			s.cores["c"].core.Announce(tracker.Server{
				ID: "i-1", Service: "llm", Address: "i-1:1", Domain: "zc", Born: 5, Sequence: sequence, HeardAt: time.Now(),
			})
		}
		beat(1)
		time.Sleep(2 * time.Second)
		s.kill(firstCores...)
		for _, name := range firstCores {
			s.startCore(name, false)
		}
		usable := func() bool {
			got := f.Known().Servers
			return len(got) == 1 && got[0].Usable() && !got[0].Silent
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if !usable() {
				t.Fatalf("servers: %v", f.Known().Servers)
			}
		}
		beat(2)
		time.Sleep(5 * time.Second)
		if got := f.Known().Servers; len(got) != 1 {
			t.Errorf("a server that was heard again is lost: %v", got)
		}
		s.kill(firstCores...)
		for _, name := range firstCores {
			s.startCore(name, false)
		}
		time.Sleep(6 * time.Second)
		if got := f.Known().Servers; len(got) != 0 {
			t.Errorf("a server that was not heard again is kept: %v", got)
		}
	})
}

// TestFrontForgetsNoEvacuation lets the only core process that a front reaches
// come back with an empty disk. What it does not know must not be taken for news;
// found by seeds 8 and 9 of the soak.
func TestFrontForgetsNoEvacuation(t *testing.T) {
	inSystem(t, func(s *system) {
		s.mustPublish(1, "a")
		f := s.startFront()
		if err := s.cores["b"].core.Evacuate(context.Background(), "z1", true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		s.kill(firstCores...)
		s.newDisk("a")
		s.startCore("a", false)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if out := f.Known().Evacuated; !slices.Equal(out, []identifier.FailureDomain{"z1"}) {
				t.Fatalf("the front takes %v for taken out", out)
			}
		}
	})
}
