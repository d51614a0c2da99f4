// Package fronter runs a front process: it serves callers through a
// forwarder.Forwarder and follows the core processes for all that it needs to
// know.
//
// A front keeps no state of its own. It pulls from one core process at a time,
// in its own failure domain where it can, and goes to another as soon as that one
// does not answer or is itself out of touch with the log's majority.
package fronter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/exposer"
	"trefoilhead.org/trefoilhead/internal/forwarder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/pooler"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Error is the class of every error of this package.
var Error = errs.Class("front")

// Bounds and paces of a front.
const (
	poolSweepPace = 100 * time.Millisecond
	linkBeat      = 500 * time.Millisecond
	// linkSilence is how long a link to a core process may be silent.
	linkSilence = 1500 * time.Millisecond
	// leaveReady is how long a front that stops goes on taking connections: the
	// balancer asks once a second and gives up after two misses.
	leaveReady = 3500 * time.Millisecond
	// stopMargin is left of the grace at the end.
	stopMargin = 500 * time.Millisecond
)

// Front is one front process. Exported fields are set before Run.
type Front struct {
	Settings configurer.Node
	Logger   log.Logger
	Network  coordinator.Network
	Dialect  forwarder.Dialect
	// DecodeCatalog reads a catalog as the operator sent it and indexes it.
	DecodeCatalog func(data []byte) (*cataloger.Catalog, error)
	// ReadinessHandler serves the balancer; it asks Ready.
	ReadinessHandler http.Handler
	// Elapsed is a clock that goes on during suspensions.
	Elapsed func() time.Duration
	Seed    uint64
	// Metrics takes the counters of the process.
	Metrics metrics.Registry

	self      identifier.VM
	linker    *linker.Linker
	pool      pooler.Pool
	forwarder forwarder.Forwarder
	random    *rand.Rand
	stopping  atomic.Bool
	// served is set once a full update has come.
	served atomic.Bool

	known atomic.Pointer[Snapshot]

	mu    sync.Mutex
	seeds []identifier.VM

	follow follower
}

// follower is what the front knows from the core process that it follows. Only
// the pull loop uses it.
type follower struct {
	core  identifier.VM
	cores []*peerv1.CoreInfo
	// fronts is the number of fronts of the whole system.
	fronts   int
	registry uint64
	revision uint64
	catalog  cataloger.Version
	servers  tracker.Registry
	// unlisted holds the servers that the core process followed has not listed,
	// and since when.
	unlisted  map[identifier.Server]time.Time
	evacuated map[identifier.FailureDomain]bool
	// changes is the count of changes of the state that evacuated is of. A core
	// process that has just started may know less.
	changes uint64
	// avoid holds core processes that failed lately, and until when.
	avoid map[identifier.VM]time.Time
	// failed counts the pulls that failed before the first that did not.
	failed int
}

// Init prepares the process. It is called before Run.
func (f *Front) Init() {
	set := &f.Settings
	b := &set.Bounds
	f.self = identifier.VM(set.PeerAddress)
	if f.Metrics == nil {
		f.Metrics = metrics.NewRegistry()
	}
	metrics.NewRegisteredFunctionalGauge("catalog_version", f.Metrics, func() int64 { return int64(f.Snapshot().Catalog) })
	metrics.NewRegisteredFunctionalGauge("catalog_confirmed_ago_ms", f.Metrics, func() int64 {
		ago, _ := f.forwarder.SinceConfirmed()
		return ago.Milliseconds()
	})
	metrics.NewRegisteredFunctionalGauge("fronts", f.Metrics, func() int64 { return int64(f.Snapshot().Fronts) })
	// Fronts that start at the same moment must not choose alike.
	own := xxhash.Sum64String(set.PeerAddress)
	f.random = rand.New(rand.NewPCG(f.Seed, own))
	f.seeds = coordinator.SeedPeers(set)
	f.follow.avoid = map[identifier.VM]time.Time{}
	f.follow.unlisted = map[identifier.Server]time.Time{}
	f.linker = &linker.Linker{
		VM: f.self, Key: coordinator.PeerKey, Open: true, Scheme: "ws", Dialer: f.Network, Handler: noCalls{},
		Logger: f.Logger, Heartbeat: linkBeat, Silence: linkSilence,
	}
	f.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return f.Network.DialContext(ctx, "tcp", address)
	}
	f.forwarder = forwarder.Forwarder{
		Dialect: f.Dialect, Pool: &f.pool, Logger: f.Logger, Elapsed: f.Elapsed, MaxRevocationDelay: b.Revocation(),
		RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, RetryWindow: b.RetryWindow(),
		Metrics: f.Metrics,
	}
	f.forwarder.Init(&chooser.Chooser{
		Domain: set.FailureDomain, Rand: rand.New(rand.NewPCG(f.Seed, own+1)), FrontCount: 1,
		ColdOvershoot: b.ColdOvershoot, ColdSlack: b.ColdSlack,
	})
}

// noCalls refuses what peers send; nobody calls a front.
type noCalls struct{}

// HandlePeer implements linker.Handler.
func (noCalls) HandlePeer(context.Context, identifier.VM, *peerv1.Envelope) (*peerv1.Envelope, error) {
	return nil, Error.New("a front answers no peers")
}

// SetSeedPeers replaces the core processes that are tried when no other is known.
func (f *Front) SetSeedPeers(set *configurer.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = coordinator.SeedPeers(set)
}

// Ready reports whether new connections should come here.
func (f *Front) Ready() bool {
	return !f.stopping.Load() && f.served.Load() && f.forwarder.CanServe()
}

// Run serves until ctx ends, and then until the requests in flight have ended or
// the grace is over.
func (f *Front) Run(ctx context.Context) error {
	_ = level.Info(f.Logger).Log("msg", "front process starts", "vm", f.Settings.VM, "callers", f.Settings.CallersAddress)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ready, err := f.Network.Listen(ctx, "tcp", f.Settings.ReadinessAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	callers, err := f.Network.Listen(ctx, "tcp", f.Settings.CallersAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	failed := make(chan error, 3)
	readiness := &http.Server{Handler: f.ReadinessHandler, ReadHeaderTimeout: linkSilence}
	defer func() { _ = readiness.Close() }()
	go func() { failed <- readiness.Serve(ready) }()
	server := newGuardedServer(&f.forwarder)
	go func() {
		failed <- server.Serve(&guardedListener{Listener: callers, limits: f.forwarder.ConnectionLimits})
	}()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer f.linker.Close()
	defer cancel()
	wg.Go(func() { f.followLoop(work) })
	wg.Go(func() { f.sweepLoop(work) })
	if f.Settings.MetricsAddress != "" {
		shown, err := f.Network.Listen(ctx, "tcp", f.Settings.MetricsAddress)
		if err != nil {
			return Error.Wrap(err)
		}
		exposed := &http.Server{Handler: exposer.NewHandler(f.Metrics, f.dump), ReadHeaderTimeout: linkSilence}
		defer func() { _ = exposed.Close() }()
		go func() { failed <- exposed.Serve(shown) }()
	}
	select {
	case err := <-failed:
		_ = level.Error(f.Logger).Log("msg", "front process fails", "err", err)
		return Error.Wrap(err)
	case <-ctx.Done():
	}
	f.stop(server)
	return nil
}

// stop ends the service without cutting a request: first new connections go
// elsewhere, then kept ones end with their next answer, then the listener
// closes.
func (f *Front) stop(server *http.Server) {
	begun := time.Now()
	grace := f.Settings.Bounds.Grace()
	_ = level.Info(f.Logger).Log("msg", "front process stops", "grace", grace)
	f.stopping.Store(true)
	f.forwarder.DisableKeepAlives()
	time.Sleep(min(leaveReady, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-stopMargin))
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	_ = level.Info(f.Logger).Log("msg", "front process has stopped", "took", time.Since(begun), "err", err)
}

// dump returns the state of the process for operators.
func (f *Front) dump() any {
	return struct {
		Settings configurer.Node
		Known    Snapshot
		Doubts   []forwarder.ServerEvidence
		Ready    bool
	}{f.Settings, f.Snapshot(), f.forwarder.Evidence(time.Now()), f.Ready()}
}

// sweepLoop looks after requests and connections that stand still.
func (f *Front) sweepLoop(ctx context.Context) {
	requests := time.NewTicker(forwarder.StallCheckInterval)
	defer requests.Stop()
	connections := time.NewTicker(poolSweepPace)
	defer connections.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests.C:
			// Not the tick's own time, which is old when this process did not run.
			f.forwarder.MoveStalledRequests(time.Now())
		case now := <-connections.C:
			f.pool.CloseExpired(now)
		}
	}
}
