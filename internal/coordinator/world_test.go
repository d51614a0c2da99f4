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
		Settings: set, Logger: s.logger(name), Network: piper.Host{Network: s.net, Name: name}, OrderSender: noEngines{},
		DecodeCatalog: decode, ControlHandler: http.NotFoundHandler(), Elapsed: func() time.Duration { return time.Since(s.began) },
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
		Settings: s.settings(name), Logger: s.logger(name), Network: piper.Host{Network: s.net, Name: name},
		Dialect: noDialect{}, DecodeCatalog: decode, ReadinessHandler: http.NotFoundHandler(),
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

func (noEngines) SendOrder(context.Context, grouper.Order) grouper.Outcome {
	return grouper.OutcomeUnanswered
}

// noDialect is for fronts that get no requests.
type noDialect struct{}

func (noDialect) ParseRequest(http.Header) forwarder.RequestInfo    { return forwarder.RequestInfo{} }
func (noDialect) RewriteRequest(http.Header, forwarder.ForwardInfo) {}
func (noDialect) ParseResponse(http.Header) forwarder.ResponseInfo  { return forwarder.ResponseInfo{} }

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
			if s.cores[name].core.PublishCatalog(context.Background(), catalog(v)) == nil {
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
		got, err = s.cores[name].core.CurrentCatalog(context.Background())
		if err == nil {
			break
		}
	}
	if err != nil || string(got) != string(catalog(v)) {
		s.t.Errorf("%s reads %q, %v; want version %d", name, got, err, v)
	}
}
