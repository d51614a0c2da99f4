package coordinator_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
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
	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/forwarder"
	"trefoilhead.org/trefoilhead/internal/fronter"
	"trefoilhead.org/trefoilhead/internal/grouper"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/piper"
)

// system is a set of core processes and fronts on an in-memory network. Each
// process runs on a host of the same name.
type system struct {
	t         *testing.T
	net       *piper.Network
	folder    string
	seeds     []string
	startedAt time.Time
	// retryBudget is the retry budget in the settings; the zero value stands for the default.
	retryBudget emulator.RetryRule
	// toleratedLosses is the number of tolerated losses in the settings.
	toleratedLosses int
	// domains holds the failure domains of core processes that do not have one of their own.
	domains map[string]identifier.FailureDomain
	// lastVersion is the version that was sent last in tests of losses, acknowledged the newest
	// one that was acknowledged.
	lastVersion, acknowledged cataloger.Version
	// mu guards cores and fronts in tests that start and end processes beside requests.
	mu        sync.Mutex
	cores     map[string]*coreHost
	fronts    map[string]*frontHost
	diskCount int
	// frontStarts counts the starts of fronts.
	frontStarts int
	// killedFronts are fronts that were killed at once and whose goroutines may still run.
	killedFronts []*frontHost
}

type coreHost struct {
	core *coordinator.Coordinator
	disk string
	stop context.CancelFunc
	done sync.WaitGroup
}

type frontHost struct {
	front   *fronter.Front
	process *piper.Process
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// initialCores are the core processes that a new system starts with. All of them
// are seeds.
var initialCores = []string{"a", "b", "c"}

func runInSystem(t *testing.T, test func(s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		for _, c := range initialCores {
			s.seeds = append(s.seeds, c+":8")
		}
		for _, c := range initialCores {
			s.startCore(c, true)
		}
		defer s.stopAll()
		test(s)
	})
}

func newSystem(t *testing.T) *system {
	return &system{
		t: t, net: piper.New(), folder: t.TempDir(), startedAt: time.Now(), lastVersion: 1, acknowledged: 1,
		cores: map[string]*coreHost{}, fronts: map[string]*frontHost{}, domains: map[string]identifier.FailureDomain{},
	}
}

func (s *system) stopAll() {
	for name := range s.fronts {
		s.killFront(name)
	}
	for _, h := range s.killedFronts {
		h.done.Wait()
	}
	for name := range s.cores {
		s.killCores(name)
	}
	synctest.Wait()
}

func (s *system) settings(name string) configurer.NodeSettings {
	set := configurer.NodeSettings{
		VM: identifier.VM(name), Region: "r", FailureDomain: identifier.FailureDomain("z" + name),
		ControlAddress: name + ":8", PeerAddress: name + ":7", CallersAddress: name + ":80", ReadinessAddress: name + ":81",
		Seeds: s.seeds,
	}
	if d := s.domains[name]; d != "" {
		set.FailureDomain = d
	}
	set.Bounds.MaxRevocationDelayMS, set.Bounds.ToleratedVMLosses = 5000, s.toleratedLosses
	set.Bounds.RetryRatio, set.Bounds.RetrySlack, set.Bounds.RetryWindowS = s.retryBudget.Ratio, s.retryBudget.Slack, s.retryBudget.Window.Seconds()
	set.FillDefaults()
	return set
}

var printLogs = flag.Bool("system.logs", false, "print the logs of every process")

// logger writes the time of the test's fake clock, as the time since the start of
// the system.
func (s *system) logger(name string) log.Logger {
	if !*printLogs {
		return log.NewNopLogger()
	}
	l := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	return log.With(l, "at", log.Valuer(func() any { return time.Since(s.startedAt) }), "process", name)
}

// startCore starts a core process on the current disk of its host, or on an empty
// one if the host is new.
func (s *system) startCore(name string, firstStart bool) {
	h := s.cores[name]
	if h == nil {
		h = &coreHost{}
		s.mu.Lock()
		s.cores[name] = h
		s.mu.Unlock()
		s.replaceDisk(name)
	}
	set := s.settings(name)
	set.FirstStart = firstStart
	set.DataFolder = h.disk
	set.Tests.DiskFullWhile, set.Tests.DiskStalledWhile = s.diskFullFile(name), s.diskStalledFile(name)
	c := &coordinator.Coordinator{
		Settings: set, Logger: s.logger(name), Network: piper.Host{Network: s.net, Name: name}, OrderSender: unresponsiveOrderSender{},
		DecodeCatalog: decode, ControlHandler: http.NotFoundHandler(), Elapsed: func() time.Duration { return time.Since(s.startedAt) },
		Seed: uint64(len(s.cores)*1000 + s.diskCount),
	}
	c.Init()
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	h.core, h.stop = c, stop
	s.mu.Unlock()
	h.done.Go(func() { _ = c.Run(ctx) })
}

// diskFullFile is the file that makes the disk of a host refuse writes.
func (s *system) diskFullFile(name string) string { return filepath.Join(s.folder, name+"-full") }

// diskStalledFile is the file that makes writes to the disk of a host wait.
func (s *system) diskStalledFile(name string) string {
	return filepath.Join(s.folder, name+"-stalled")
}

// replaceDisk gives a host an empty disk.
func (s *system) replaceDisk(name string) {
	s.diskCount++
	s.cores[name].disk = filepath.Join(s.folder, fmt.Sprintf("%s-%d", name, s.diskCount))
}

func (s *system) killCores(names ...string) {
	for _, name := range names {
		h := s.cores[name]
		if h.stop == nil {
			continue
		}
		h.stop()
		s.net.Kill(name)
		_ = os.Remove(s.diskStalledFile(name))
		h.done.Wait()
		s.mu.Lock()
		h.stop, h.core = nil, nil
		s.mu.Unlock()
	}
}

// coreNamed returns a core process, or nil while it is not running.
func (s *system) coreNamed(name string) *coordinator.Coordinator {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cores[name].core
}

func (s *system) runningFronts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.fronts))
}

func (s *system) runningCores() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, h := range s.cores {
		if h.stop != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *system) startFront() *fronter.Front { return s.startFrontNamed("f", emptyDialect{}) }

func (s *system) startFrontNamed(name string, d forwarder.Dialect) *fronter.Front {
	process := &piper.Process{Host: piper.Host{Network: s.net, Name: name}}
	if parts, ok := d.(partsDialect); ok {
		s.mu.Lock()
		s.frontStarts++
		parts.sender = fmt.Sprintf("%s, start %d", name, s.frontStarts)
		s.mu.Unlock()
		d = parts
	}
	f := &fronter.Front{
		Settings: s.settings(name), Logger: s.logger(name), Network: process,
		Dialect: d, DecodeCatalog: decode, ReadinessHandler: http.NotFoundHandler(),
		Elapsed: func() time.Duration { return time.Since(s.startedAt) }, Seed: 5,
	}
	f.Init()
	ctx, stop := context.WithCancel(context.Background())
	h := &frontHost{front: f, process: process, stop: stop}
	s.mu.Lock()
	s.fronts[name] = h
	s.mu.Unlock()
	h.done.Go(func() { _ = f.Run(ctx) })
	return f
}

func (s *system) killFront(name string) {
	s.mu.Lock()
	h := s.fronts[name]
	delete(s.fronts, name)
	s.mu.Unlock()
	h.stop()
	s.net.Kill(name)
	h.done.Wait()
}

// killFrontAtOnce ends a front as SIGKILL does: it sends and receives nothing any more.
func (s *system) killFrontAtOnce(name string) {
	s.mu.Lock()
	h := s.fronts[name]
	delete(s.fronts, name)
	s.killedFronts = append(s.killedFronts, h)
	s.mu.Unlock()
	h.process.End()
	h.stop()
}

// unresponsiveOrderSender returns OutcomeUnanswered for every order.
type unresponsiveOrderSender struct{}

func (unresponsiveOrderSender) SendOrder(context.Context, grouper.Order) grouper.Reply {
	return grouper.Reply{}
}

// emptyDialect is the dialect of fronts that get no requests.
type emptyDialect struct{}

func (emptyDialect) ParseRequest(http.Header) forwarder.RequestInfo    { return forwarder.RequestInfo{} }
func (emptyDialect) RewriteRequest(http.Header, forwarder.ForwardInfo) {}
func (emptyDialect) ParseResponse(http.Header) forwarder.ResponseInfo {
	return forwarder.ResponseInfo{}
}

// testCatalog is the catalog format of these tests. An invalid catalog decodes but
// cannot be indexed.
type testCatalog struct {
	Version cataloger.Version
	Text    string
	Invalid bool
	// Serving adds what fronts need to serve requests.
	Serving bool
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
	if t.Serving {
		servingCatalog(c)
	}
	return c, c.Index()
}

func catalog(v cataloger.Version) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Text":"text of %d"}`, v, v)
}

// publish sends a catalog as an operator does: to the first process, and on to the
// next ones until one acknowledges it. It gives up after 6 rounds.
func (s *system) publish(v cataloger.Version, first string) bool {
	names := s.runningCores()
	slices.SortStableFunc(names, func(a, b string) int { return boolToInt(b == first) - boolToInt(a == first) })
	for range 6 {
		for _, name := range names {
			if s.cores[name].core.PublishCatalog(context.Background(), catalog(v)) == nil {
				return true
			}
		}
	}
	return false
}

func boolToInt(b bool) int {
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

// expectVersion waits until a process confirms that its catalog is current, and
// checks the version.
func (s *system) expectVersion(name string, v cataloger.Version) {
	s.t.Helper()
	got, err := s.readCatalog(name)
	if err != nil || string(got) != string(catalog(v)) {
		s.t.Errorf("%s reads %q, %v; want version %d", name, got, err, v)
	}
}

// readCatalog returns the catalog of a process once it confirms that it is current.
func (s *system) readCatalog(name string) (data []byte, err error) {
	for range 20 {
		data, err = s.cores[name].core.CurrentCatalog(context.Background())
		if err == nil {
			break
		}
	}
	return data, err
}
