// Package fronter runs a front process: it serves callers through a
// forwarder.Forwarder, with the catalog and the backend servers that it gets from the
// core processes.
//
// A front persists no state. It pulls from one core process at a time, preferably in
// its own failure domain, and switches to another one as soon as that one does not
// reply or has itself lost contact with the majority of the replicated log.
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

	"trefoilhead.org/trefoilhead/internal/acceptor"
	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/exposer"
	"trefoilhead.org/trefoilhead/internal/forwarder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/pooler"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Error is the class of every error of this package.
var Error = errs.Class("front")

// Timing of a front.
const (
	poolExpiryInterval = 100 * time.Millisecond
	linkPingInterval   = 500 * time.Millisecond
	// linkSilenceTimeout is how long a link to a core process may be silent before it
	// is closed. It is also the time to read the headers of an operator's or the load
	// balancer's request.
	linkSilenceTimeout = 1500 * time.Millisecond
	// smallHeadBytes bounds the heads of requests to listeners that few clients use.
	smallHeadBytes = 16 << 10
	// drainDelay is how long a front that is not ready any more still accepts
	// connections during shutdown: the load balancer checks readiness once a second
	// and stops sending connections after two failed checks.
	drainDelay = 3500 * time.Millisecond
	// noticeDelay is how long after the start of a shutdown the load balancer may still
	// send most connections to this front.
	noticeDelay = 2500 * time.Millisecond
	// After drainDelay a front that stops keeps its listener open until no request has
	// come or been in flight for quietTime, but at most until listenerMargin before the end.
	// After that it serves the connections that are open until they are quiet as well, but at
	// most until lateRequestTime after the end.
	quietTime       = 250 * time.Millisecond
	listenerMargin  = time.Second
	lateRequestTime = 100 * time.Millisecond
	// stopCheckInterval is how often requests in flight are looked for meanwhile. If a check
	// takes longer than maxStopCheckTime, the process was suspended or short of processor time.
	stopCheckInterval = 20 * time.Millisecond
	maxStopCheckTime  = 100 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period the requests that
	// are still in flight are ended, and finalAnswerTime how long their final answers may take.
	shutdownMargin  = 500 * time.Millisecond
	finalAnswerTime = 300 * time.Millisecond
)

// Front is a front process. Exported fields are set before Run.
type Front struct {
	Settings configurer.NodeSettings
	Logger   log.Logger
	Network  coordinator.Network
	// DialBackend opens connections to backend servers. If nil, Network does.
	DialBackend func(ctx context.Context, network, address string) (net.Conn, error)
	Dialect     forwarder.Dialect
	// DecodeCatalog decodes a catalog in the form in which the operator sent it, and
	// indexes it.
	DecodeCatalog func(data []byte) (*cataloger.Catalog, error)
	// ReadinessHandler serves the load balancer's readiness checks, using Ready.
	ReadinessHandler http.Handler
	// Elapsed returns the time of a monotonic clock that keeps running while the
	// machine is suspended.
	Elapsed func() time.Duration
	Seed    uint64
	// Metrics is where the metrics of the process are registered.
	Metrics metrics.Registry

	self      identifier.VM
	linker    *linker.Linker
	pool      pooler.Pool
	forwarder forwarder.Forwarder
	random    *rand.Rand
	stopping  atomic.Bool
	// hasUpdate is set once an update has been applied and there is a catalog.
	hasUpdate atomic.Bool

	snapshot atomic.Pointer[Snapshot]

	mu        sync.Mutex
	seedPeers []identifier.VM

	state pullState
}

// pullState is the state that the front has from the core process that it pulls from.
// registryID and revision identify the core process's registry of servers and the
// state of it that has been applied. Only pullLoop uses it.
type pullState struct {
	core  identifier.VM
	cores []*peerv1.CoreInfo
	// frontCount is the number of fronts in the whole system, or 0 while it is not known. This
	// front may use its part of what they share until shareExpiresAt, an Elapsed time.
	frontCount     int
	shareExpiresAt time.Duration
	registryID     uint64
	revision       uint64
	catalogVersion cataloger.Version
	servers        tracker.Registry
	// unlistedSince holds the servers that are missing from the core process's full
	// list, and since when.
	unlistedSince map[identifier.Server]time.Time
	evacuated     map[identifier.FailureDomain]bool
	// changeCount is the number of state changes that evacuated reflects. A core
	// process that has just started may have applied fewer; its list of evacuated
	// failure domains is then ignored.
	changeCount uint64
	// isolationChanges is the same for the isolations. evidenceRevision is the revision of
	// the core process's evidence that has been merged, and sentEvidence that of this
	// front's own evidence that the core process has received.
	isolationChanges uint64
	evidenceRevision uint64
	sentEvidence     uint64
	// limitsRevision and sentLimits are the same for the request rates that servers name.
	limitsRevision uint64
	sentLimits     uint64
	// avoidUntil holds the core processes that failed recently, and until when they
	// are avoided.
	avoidUntil map[identifier.VM]time.Time
	// failedPulls counts the failed pulls, up to maxFirstPullDoublings. It is used only
	// before the first successful one.
	failedPulls int
	// coreLost is set while core does not respond.
	coreLost bool
	// unsentDemands are the demands of a failed pull.
	unsentDemands []*peerv1.ModelDemand
	// unsentPermits are the reports about permits of a failed pull.
	unsentPermits []*peerv1.PermitReport
}

// Init prepares the front. It must be called before Run.
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
	// Fronts that start at the same moment must not make the same random choices.
	addressHash := xxhash.Sum64String(set.PeerAddress)
	f.random = rand.New(rand.NewPCG(f.Seed, addressHash))
	f.seedPeers = coordinator.SeedPeers(set)
	f.state.avoidUntil = map[identifier.VM]time.Time{}
	f.state.unlistedSince = map[identifier.Server]time.Time{}
	f.linker = &linker.Linker{
		VM: f.self, PeerKey: coordinator.PeerKey, AllowUnlistedPeers: true, Scheme: "ws", Dialer: f.Network, Handler: peerCallRejecter{},
		Logger: f.Logger, PingInterval: linkPingInterval, SilenceTimeout: linkSilenceTimeout, Compress: true,
	}
	f.pool.MaxConns = f.resources().ServerConnections()
	f.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if f.DialBackend != nil {
			return f.DialBackend(ctx, "tcp", address)
		}
		return f.Network.DialContext(ctx, "tcp", address)
	}
	f.forwarder = forwarder.Forwarder{
		Dialect: f.Dialect, Pool: &f.pool, Logger: f.Logger, Elapsed: f.Elapsed, MaxRevocationDelay: b.MaxRevocationDelay(),
		RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, RetryWindow: b.RetryWindow(),
		IsFirstRun: set.FirstStart, Metrics: f.Metrics, Self: f.self,
		Memory: budgeter.Budget{Limit: f.resources().RequestMemory()},
	}
	f.forwarder.Init(&chooser.Chooser{
		Domain: set.FailureDomain, Rand: rand.New(rand.NewPCG(f.Seed, addressHash+1)), StartedAt: time.Now(),
		ColdOvershoot: b.ColdOvershoot, ColdSlack: b.ColdSlack,
	})
}

// resources returns what this process may use.
func (f *Front) resources() acceptor.Resources {
	return acceptor.Resources{MemoryBytes: int64(f.Settings.MemoryMB) << 20, Descriptors: f.Settings.MaxDescriptors}
}

// peerCallRejecter is a linker.Handler that rejects every call: peers never call a
// front.
type peerCallRejecter struct{}

// HandlePeerMessage implements linker.Handler.
func (peerCallRejecter) HandlePeerMessage(context.Context, identifier.VM, *peerv1.Envelope) (*peerv1.Envelope, error) {
	return nil, Error.New("a front answers no peers")
}

// SetSeedPeers replaces the configured core processes, which are tried besides those
// that the core processes list.
func (f *Front) SetSeedPeers(set *configurer.NodeSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seedPeers = coordinator.SeedPeers(set)
}

// Ready reports whether the load balancer should send new connections to this front.
func (f *Front) Ready() bool {
	return !f.stopping.Load() && f.hasUpdate.Load() && f.forwarder.CanServe()
}

// Run serves until ctx is done or a listener fails, and then until the requests in flight have
// ended or the grace period is nearly over.
func (f *Front) Run(ctx context.Context) error {
	_ = level.Info(f.Logger).Log("msg", "front process starts", "vm", f.Settings.VM, "callers", f.Settings.CallersAddress)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	readinessListener, err := f.Network.Listen(ctx, "tcp", f.Settings.ReadinessAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	callerListener, err := f.Network.Listen(ctx, "tcp", f.Settings.CallersAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	var metricsListener net.Listener
	if f.Settings.MetricsAddress != "" {
		if metricsListener, err = f.Network.Listen(ctx, "tcp", f.Settings.MetricsAddress); err != nil {
			return Error.Wrap(err)
		}
	}
	failed := make(chan error, 3)
	readiness := f.newSmallServer("readiness", f.ReadinessHandler)
	defer func() { _ = readiness.Close() }()
	go func() { failed <- readiness.Serve(readinessListener) }()
	server := newCallerServer(&f.forwarder, f.forwarder.ConnectionLimits)
	server.MaxConnections = f.resources().ClientConnections(false)
	server.Memory, server.Logger, server.Metrics = &f.forwarder.Memory, f.Logger, f.Metrics
	server.Init()
	go func() { failed <- server.Serve(callerListener) }()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer f.linker.Close()
	defer cancel()
	wg.Go(func() { f.pullLoop(workCtx) })
	wg.Go(func() { f.maintenanceLoop(workCtx) })
	if metricsListener != nil {
		metricsServer := f.newSmallServer("metrics", exposer.NewHandler(f.Metrics, f.dump))
		defer func() { _ = metricsServer.Close() }()
		go func() { failed <- metricsServer.Serve(metricsListener) }()
	}
	select {
	case err := <-failed:
		_ = level.Error(f.Logger).Log("msg", "a listener failed; front process stops", "err", err)
		f.shutdown(server, callerListener)
		return Error.Wrap(err)
	case <-ctx.Done():
	}
	f.shutdown(server, callerListener)
	return nil
}

// shutdown ends the service without aborting requests, as far as the grace period
// allows. From its start the front reports that it is not ready, so that the load
// balancer sends new connections elsewhere, and closes connections after their next
// response. After noticeDelay it takes only requests that end in the time that is left.
// After drainDelay it closes the listener once no more requests come: connections that
// wait to be accepted are reset when it is closed. Requests that are left at the end get a
// final answer. http.Server.Shutdown comes last, because the server drops the requests that
// it reads from then on.
func (f *Front) shutdown(server *acceptor.Server, listener net.Listener) {
	start := time.Now()
	grace := f.Settings.Bounds.ShutdownGrace()
	_ = level.Info(f.Logger).Log("msg", "front process stops", "grace", grace)
	f.stopping.Store(true)
	f.forwarder.DisableKeepAlives()
	end := start.Add(grace - shutdownMargin)
	time.Sleep(min(noticeDelay, grace/2))
	f.forwarder.SetEnd(end)
	f.logStopStep("refuses requests that may last too long", start)
	time.Sleep(min(drainDelay, grace/2) - min(noticeDelay, grace/2))
	f.awaitQuiet(end.Add(-listenerMargin))
	f.logStopStep("closes its listener", start)
	if err := listener.Close(); err != nil {
		_ = level.Error(f.Logger).Log("msg", "cannot close the listener", "err", err)
	}
	ending := time.AfterFunc(time.Until(end), func() {
		f.logStopStep("ends requests", start)
		f.forwarder.EndRequests()
	})
	defer ending.Stop()
	f.awaitQuiet(end.Add(lateRequestTime))
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(finalAnswerTime))
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	_ = level.Info(f.Logger).Log("msg", "front process has stopped", "took", time.Since(start), "err", err)
}

// logStopStep logs a step of the shutdown that began at start.
func (f *Front) logStopStep(step string, start time.Time) {
	_ = level.Info(f.Logger).Log("msg", "front process "+step, "after", time.Since(start).Round(time.Millisecond), "in_flight", f.forwarder.InFlight())
}

// awaitQuiet returns once no request has come or been in flight for quietTime, at the latest at until. Requests may have
// come while the process was suspended, so a check that was late is followed by another one.
func (f *Front) awaitQuiet(until time.Time) {
	wasLate := false
	for {
		checkedAt := f.Elapsed()
		time.Sleep(stopCheckInterval)
		late := f.Elapsed()-checkedAt > maxStopCheckTime
		switch {
		case late && !wasLate:
			// Requests that came meanwhile are read before the next check.
		case !time.Now().Before(until), !late && f.forwarder.QuietFor() >= quietTime:
			return
		}
		wasLate = late
	}
}

// dump returns the state of the process for the JSON dump that operators read.
func (f *Front) dump() any {
	return struct {
		Settings   configurer.NodeSettings
		Snapshot   Snapshot              `json:"Known"`
		Suspicions []forwarder.Suspicion `json:"Doubts"`
		Limits     []throttler.AllowanceInfo
		// Withheld are the servers that want no requests.
		Withheld []forwarder.WithheldServer
		Retries  []forwarder.RetryInfo
		// CrashEvidence is what this process knows about requests under which servers crash.
		CrashEvidence []isolator.Evidence
		Ready         bool
	}{f.Settings, f.Snapshot(), f.forwarder.Suspicions(time.Now()), f.forwarder.Limits(time.Now()), f.forwarder.Withheld(), f.forwarder.Retries(), f.forwarder.CrashEvidence(), f.Ready()}
}

// maintenanceLoop periodically moves stalled requests to other servers and closes
// expired idle connections to servers.
func (f *Front) maintenanceLoop(ctx context.Context) {
	stallTicker := time.NewTicker(forwarder.StallCheckInterval)
	defer stallTicker.Stop()
	poolTicker := time.NewTicker(poolExpiryInterval)
	defer poolTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stallTicker.C:
			// The tick's own time is not used, because it is in the past if this process
			// was suspended.
			f.forwarder.MoveStalledRequests(time.Now())
		case now := <-poolTicker.C:
			f.pool.CloseExpired(now)
		}
	}
}
