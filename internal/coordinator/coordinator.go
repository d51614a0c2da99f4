// Package coordinator runs a core process: one voter of the replicated catalog
// log, a registry of the backend servers and, on the leader of the log, the
// placement of replica groups.
//
// Every core process accepts the announcements of backend servers and the calls
// of operators, reports the announcements to the other core processes, and
// replies to the long polls ("pulls") of the front processes, which forward callers'
// requests. Only the leader of the log sends placement orders to backend servers,
// and only while a quorum (a majority of the voters) has confirmed its leadership
// within authorityTTL. This permission is the placement authority. The term of the
// log is the fencing token of the orders.
package coordinator

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
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
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/differ"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/exposer"
	"trefoilhead.org/trefoilhead/internal/grouper"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/journaler"
	"trefoilhead.org/trefoilhead/internal/keeper"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/preserver"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Error is the class of every error of this package.
var Error = errs.Class("core")

// Errors that operators' calls return.
var (
	// ErrInvalidCatalog means that a catalog was rejected because it cannot be
	// decoded or indexed.
	ErrInvalidCatalog = errs.Class("invalid catalog")
	// ErrNoQuorum means that no quorum of the catalog log replied in time. A
	// proposed change may or may not have been committed.
	ErrNoQuorum = errs.New("the majority of the catalog log cannot be reached")
	// ErrDiskRefuses means that this process takes no part in the catalog log, because its disk
	// refuses writes. Another core process may serve the call.
	ErrDiskRefuses = errs.New("the disk of this process refuses writes")
)

// PeerKey is the key that the processes of one system present to each other. It
// is a constant because the platform distributes no secrets and its internal
// network is closed to other hosts.
const PeerKey = "trefoilhead-internal-network"

// logName is the name of the catalog log in peer messages and in the data folder.
const logName = "catalog"

// Intervals, timeouts and log sizes of a core process. The times are chosen so
// that a change reaches every front within a fraction of the shortest bound that
// a deployment configures.
const (
	logTickInterval = 100 * time.Millisecond
	// loopInterval is the period of runLoop; the other intervals are multiples of
	// it.
	loopInterval       = 50 * time.Millisecond
	helloInterval      = 100 * time.Millisecond
	confirmInterval    = 300 * time.Millisecond
	voterCheckInterval = 500 * time.Millisecond
	reportInterval     = 300 * time.Millisecond
	callTimeout        = 500 * time.Millisecond
	linkPingInterval   = 500 * time.Millisecond
	linkSilenceTimeout = 1500 * time.Millisecond
	proposeTimeout     = 900 * time.Millisecond
	proposeRetryDelay  = 50 * time.Millisecond
	// authorityTTL is how long a confirmation of its leadership allows the leader
	// to send orders.
	authorityTTL = time.Second
	// SilenceTimeoutHeartbeats is the time without a heartbeat after which a backend
	// server counts as silent, in heartbeat intervals.
	SilenceTimeoutHeartbeats = 2.5
	// minReuseHeartbeats is the least tracker.Registry.ReuseTime, in heartbeat intervals: a server that runs
	// is heard within it.
	minReuseHeartbeats = 1.5
	// snapshotEntries and trailingEntries keep the log small, because one entry
	// can hold a whole catalog.
	snapshotEntries = 64
	trailingEntries = 16
	// maxFirstStartTerm is the highest term in which the leader of a system that
	// starts for the first time may assume that no replica group exists.
	maxFirstStartTerm = 4
)

// OrderSender sends placement orders to backend servers. SendOrder returns once
// the server has responded or ctx is done.
type OrderSender interface {
	SendOrder(ctx context.Context, o grouper.Order) grouper.Reply
}

// Network opens listeners and connections.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, network, address string) (net.Listener, error)
}

// Coordinator is one core process. Its exported fields must be set before Init.
type Coordinator struct {
	Settings    configurer.NodeSettings
	Logger      log.Logger
	Network     Network
	OrderSender OrderSender
	// DecodeCatalog parses and indexes a catalog in the operator's format.
	DecodeCatalog func(data []byte) (*cataloger.Catalog, error)
	// ControlHandler serves operators and backend servers on the control address.
	ControlHandler http.Handler
	// Metrics is the registry to which the process adds its metrics.
	Metrics metrics.Registry
	// Elapsed reads a monotonic clock that keeps running while the VM is
	// suspended.
	Elapsed func() time.Duration
	Seed    uint64

	self      identifier.VM
	linker    *linker.Linker
	driver    *driver.Driver
	keeper    keeper.Keeper
	random    *rand.Rand
	startedAt time.Time

	mu       sync.Mutex
	registry tracker.Registry
	// registryID is a random id of this registry. It distinguishes its revisions
	// from those of other core processes and of earlier runs of this one.
	registryID uint64
	// changed is closed, and replaced, at the next change of the registry or of
	// the keeper's state.
	changed chan struct{}
	// unreported holds the servers whose announcements have yet to be sent to the
	// other core processes. reportUrgent is set after a server has changed, so
	// that the reports do not wait for reportInterval.
	unreported   map[identifier.Server]bool
	reportUrgent bool
	// sharedDrains holds the incarnations of draining servers of which all live core processes know that.
	sharedDrains map[identifier.Server]uint64
	peers        map[identifier.VM]*peer
	// leaving is set by Leave. votersDue wakes votersLoop.
	leaving   bool
	votersDue chan struct{}
	// votersMu is held from the planning of a change of voters to its end.
	votersMu sync.Mutex
	// helloEvidenceCursor tells which evidence the next hello carries.
	helloEvidenceCursor differ.Cursor
	fronts              map[identifier.VM]*front
	census              census
	// localDemand sums up the demand that the fronts pulling from this process
	// have reported.
	localDemand demandTotals
	catalog     *cataloger.Catalog
	// ledger holds the evidence about requests that crash backend servers, from all
	// fronts of the system.
	ledger isolator.Ledger
	// preserver keeps the evidence over a restart.
	preserver     preserver.Preserver
	departureFile departureFile
	// decider decides on isolations while this process leads. Only runLoop uses it.
	decider isolator.Decider
	// isolating is set while a decision is being proposed to the log.
	isolating atomic.Bool
	limits    limits

	confirmation confirmation
	placement    placement

	orderCounters map[grouper.Outcome]metrics.Counter
	orderDuration metrics.Histogram
}

// Init prepares the process so that ControlHandler may be called. It must be
// called before Run.
func (c *Coordinator) Init() {
	set := &c.Settings
	c.startedAt = time.Now()
	c.self = identifier.VM(set.PeerAddress)
	// Processes that start at the same moment must not draw the same election
	// timeouts, or their elections end in a split vote again and again.
	addressHash := xxhash.Sum64String(set.PeerAddress)
	c.random = rand.New(rand.NewPCG(c.Seed, addressHash))
	c.registryID = c.random.Uint64() >> 1
	c.limits.allocator.Rand = rand.New(rand.NewPCG(c.Seed, addressHash+2))
	c.limits.allocator.Issuer = throttler.IssuerID(c.registryID)
	c.registry.SilenceTimeout = time.Duration(SilenceTimeoutHeartbeats * float64(set.Bounds.HeartbeatInterval()))
	c.registry.ReuseTime = max(set.Bounds.ReuseTime(), time.Duration(minReuseHeartbeats*float64(set.Bounds.HeartbeatInterval())))
	c.registry.IsNamed = func(s identifier.Service) bool { return c.catalog != nil && c.catalog.Service(s) != nil }
	c.changed = make(chan struct{})
	c.unreported, c.sharedDrains = map[identifier.Server]bool{}, map[identifier.Server]uint64{}
	c.peers = map[identifier.VM]*peer{}
	c.votersDue = make(chan struct{}, 1)
	c.fronts = map[identifier.VM]*front{}
	c.census.init(set.Bounds.RetryWindow())
	c.placement.grouper.Policy = grouper.Policy{HeartbeatInterval: set.Bounds.HeartbeatInterval()}
	c.linker = &linker.Linker{
		VM: c.self, PeerKey: PeerKey, AllowUnlistedPeers: true, Scheme: "ws", Dialer: c.Network, Handler: c, Logger: c.Logger,
		PingInterval: linkPingInterval, SilenceTimeout: linkSilenceTimeout, Compress: true,
	}
	seeds := c.seedPeers()
	start := driver.JoinLog
	for _, s := range seeds {
		c.peers[s] = &peer{}
		if s == c.self && set.FirstStart {
			start = driver.BootstrapLog
		}
	}
	delete(c.peers, c.self)
	c.driver = &driver.Driver{
		Name: logName, VM: c.self, InitialVoters: seeds, StateMachine: &c.keeper, Sender: logSender{c.linker}, Logger: c.Logger,
		Journal:      &journaler.Journal{FileSystem: c.dataFolder(logName)},
		TickInterval: logTickInterval, PersistCommit: true, EarlyElections: true, Rand: rand.New(rand.NewPCG(c.Seed, addressHash+1)), StartMode: start,
		SnapshotMinEntries: snapshotEntries, TrailingEntries: trailingEntries,
	}
	c.driver.Init()
	c.initPreserver()
	c.initDepartures()
	c.initMetrics()
	c.linker.OnMessage = (&traffic{registry: c.Metrics, domain: set.FailureDomain}).record
}

// dataFolder returns a folder in the data folder.
func (c *Coordinator) dataFolder(name string) journaler.FileSystem {
	osFolder := journaler.OSFolder(filepath.Join(c.Settings.DataFolder, name))
	var folder journaler.FileSystem = osFolder
	if while := c.Settings.Tests.DiskFullWhile; while != "" {
		folder = journaler.RefusingFolder{OSFolder: osFolder, While: while}
	}
	if while := c.Settings.Tests.DiskStalledWhile; while != "" {
		folder = journaler.StallingFolder{FileSystem: folder, While: while}
	}
	return folder
}

// seedPeers returns the peer addresses of the configured seeds.
func (c *Coordinator) seedPeers() []identifier.VM { return SeedPeers(&c.Settings) }

// SeedPeers returns the peer addresses of the seeds. The settings list their
// control addresses; a peer address is the same host with the port of this
// process's own peer address.
func SeedPeers(set *configurer.NodeSettings) []identifier.VM {
	_, port, err := net.SplitHostPort(set.PeerAddress)
	if err != nil {
		return nil
	}
	var vms []identifier.VM
	for _, s := range set.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			vms = append(vms, identifier.VM(net.JoinHostPort(host, port)))
		}
	}
	return vms
}

// logSender sends messages of the replicated log over the peer links.
type logSender struct{ l *linker.Linker }

// SendLogMessage implements driver.Sender.
func (s logSender) SendLogMessage(to identifier.VM, name string, m replicator.Message) {
	s.l.Send(to, &peerv1.Envelope{Log: encoder.EncodeLogMessage(name, m)})
}

// Run serves until ctx is done, the storage of the log is damaged, or a listener
// fails.
func (c *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = level.Info(c.Logger).Log("msg", "core process starts", "vm", c.Settings.VM, "peer", c.self,
		"seeds", strings.Join(c.Settings.Seeds, ","), "first_start", c.Settings.FirstStart)
	peerMux := http.NewServeMux()
	peerMux.Handle(linker.Path, c.linker)
	failed := make(chan error, 4)
	var wg sync.WaitGroup
	resources := acceptor.Resources{MemoryBytes: int64(c.Settings.MemoryMB) << 20, Descriptors: c.Settings.MaxDescriptors}
	memory := &budgeter.Budget{Limit: resources.RequestMemory()}
	metrics.NewRegisteredFunctionalGauge("request_memory_bytes", c.Metrics, memory.Used)
	metrics.NewRegisteredFunctionalGauge("request_memory_reclaimed_total", c.Metrics, memory.Reclaimed)
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		connections   int
		memory        *budgeter.Budget
	}{
		{"peers", c.Settings.PeerListenAddress, peerMux, resources.ClientConnections(false) / 2, &budgeter.Budget{Limit: acceptor.SmallListenerMemory}},
		{"control", c.Settings.ControlAddress, c.ControlHandler, resources.ClientConnections(false) / 2, memory},
		{"metrics", c.Settings.MetricsAddress, exposer.NewHandler(c.Metrics, c.dump), acceptor.SmallListenerConnections, &budgeter.Budget{Limit: acceptor.SmallListenerMemory}},
	} {
		if l.address == "" {
			continue
		}
		ln, err := c.Network.Listen(ctx, "tcp", l.address)
		if err != nil {
			return Error.Wrap(err)
		}
		srv := &acceptor.Server{
			Name: l.name, MaxConnections: l.connections, Memory: l.memory, Logger: c.Logger, Metrics: c.Metrics,
			Limits: func() acceptor.Limits {
				return acceptor.Limits{HeadBytes: controlHeadBytes, HeadTimeout: linkSilenceTimeout, IdleTimeout: controlIdleTimeout}
			},
		}
		srv.Handler = srv.WithWholeBodies(l.handler, maxCallBytes)
		srv.Init()
		wg.Go(func() { failed <- srv.Serve(ln) })
		defer func() { _ = srv.Close() }()
	}
	wg.Go(func() { failed <- c.driver.Run(ctx) })
	wg.Go(func() { c.runLoop(ctx) })
	wg.Go(func() { c.confirmLoop(ctx) })
	wg.Go(func() { c.votersLoop(ctx) })
	wg.Go(func() { c.preserver.Run(ctx) })
	wg.Go(func() { c.departureFile.run(ctx) })
	var err error
	select {
	case <-ctx.Done():
		_ = level.Info(c.Logger).Log("msg", "core process stops")
	case err = <-failed:
		_ = level.Error(c.Logger).Log("msg", "a listener or the storage of the log failed; core process stops", "err", err)
	}
	cancel()
	c.linker.Close()
	return Error.Wrap(err)
}

const (
	// controlIdleTimeout is how long a keep-alive connection to a listener of this
	// process may stay idle.
	controlIdleTimeout = 30 * time.Second
	// controlHeadBytes and maxCallBytes bound the head and the body of a call.
	controlHeadBytes = 16 << 10
	maxCallBytes     = 16 << 20
)

// runLoop runs the periodic work of the process every loopInterval, and applies
// changes of the catalog state as they come.
func (c *Coordinator) runLoop(ctx context.Context) {
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	var lastIssue, lastHello, lastReport time.Time
	// Each channel comes with the state that was applied last, so that no change
	// in between is missed.
	stateChanged := c.applyCatalogState()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stateChanged:
			stateChanged = c.applyCatalogState()
		case <-ticker.C:
		}
		now := time.Now()
		c.expireServers(now)
		if now.Sub(lastIssue) >= issueInterval {
			lastIssue = now
			c.issuePermits(now)
		}
		if now.Sub(lastHello) >= helloInterval {
			lastHello = now
			c.sendHellos(now)
		}
		if c.hasUrgentReports() || now.Sub(lastReport) >= reportInterval {
			lastReport = now
			c.sendReports(now)
		}
		c.runIsolation(ctx, now)
		c.runCensus(ctx, now)
		c.runPlacement(ctx, now)
	}
}

// applyCatalogState decodes the catalog if the log has accepted a newer one, and
// wakes the pulls so that fronts receive the new state. It returns a channel that
// is closed at the next change of that state.
func (c *Coordinator) applyCatalogState() <-chan struct{} {
	state, changed := c.keeper.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(state.Data) > 0 && (c.catalog == nil || c.catalog.Version != state.Version) {
		cat, err := c.DecodeCatalog(state.Data)
		if err != nil {
			// This should not happen: PublishCatalog decodes a catalog before it is
			// proposed.
			_ = level.Error(c.Logger).Log("msg", "cannot decode the catalog in force", "version", state.Version, "err", err)
		} else {
			c.catalog = cat
			c.registry.RecheckAddresses()
			_ = level.Info(c.Logger).Log("msg", "catalog in force", "version", state.Version, "routes", len(cat.Routes),
				"teams", len(cat.Teams))
		}
	}
	_ = level.Info(c.Logger).Log("msg", "catalog state changed", "version", state.Version, "evacuated", len(state.Evacuated),
		"isolations", len(state.Isolations))
	c.registry.AdvanceRevision()
	c.notifyChanged()
	return changed
}

// notifyChanged wakes the pulls that wait for a change. The caller must hold mu.
func (c *Coordinator) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Coordinator) expireServers(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := c.registry.ExpireServers(now)
	maps.DeleteFunc(c.sharedDrains, func(id identifier.Server, _ uint64) bool { return c.registry.Get(id) == nil })
	for _, id := range silent {
		s := c.registry.Get(id)
		_ = level.Info(c.Logger).Log("msg", "backend server is silent", "server", id, "service", s.Service,
			"group", s.Membership.Group, "heard_ago", now.Sub(s.LastHeartbeatAt))
	}
	if len(silent) > 0 {
		c.notifyChanged()
	}
}

// HandleAnnouncement records what a backend server announced to this process,
// and queues it for the other core processes. It returns once they know of a departure.
func (c *Coordinator) HandleAnnouncement(ctx context.Context, s tracker.Server) {
	c.mu.Lock()
	c.updateServer(s, c.registry.Announce)
	c.unreported[s.ID] = true
	shared, known := c.sharedDrains[s.ID]
	c.mu.Unlock()
	if !s.Draining || known && shared == s.Incarnation {
		return
	}
	if missed, _ := c.shareDeparture(ctx, s.ID, false); missed == 0 {
		c.mu.Lock()
		c.sharedDrains[s.ID] = s.Incarnation
		c.mu.Unlock()
	}
}

// updateServer records an announcement of a backend server by store: Announce if it came from
// the server itself, Apply if it came from another core process. The caller must hold mu.
func (c *Coordinator) updateServer(s tracker.Server, store func(tracker.Server) bool) {
	before := c.registry.Get(s.ID)
	var old tracker.Server
	if before != nil {
		old = *before
	}
	if !store(s) {
		return
	}
	s = *c.registry.Get(s.ID)
	c.reportUrgent = true
	c.notifyChanged()
	if old.Membership != s.Membership || old.Draining != s.Draining || old.Leaving != s.Leaving || old.Incarnation != s.Incarnation || old.Silent || s.Gone {
		_ = level.Info(c.Logger).Log("msg", "backend server changed", "server", s.ID, "service", s.Service,
			"address", s.Address, "group", s.Membership.Group, "rank", s.Membership.Rank, "state", s.Membership.State,
			"draining", s.Draining, "leaving", s.Leaving, "gone", s.Gone, "was_silent", old.Silent, "new_life", old.Incarnation != s.Incarnation,
			"reinstated", old.Reinstatements < s.Reinstatements)
	}
}

func (c *Coordinator) hasUrgentReports() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportUrgent && len(c.unreported) > 0
}

// sendReports sends the unreported announcements to the live core processes.
func (c *Coordinator) sendReports(now time.Time) {
	c.mu.Lock()
	var servers []*peerv1.ServerState
	for id := range c.unreported {
		if s := c.registry.Get(id); s != nil {
			servers = append(servers, encoder.EncodeServer(now, s))
		}
	}
	clear(c.unreported)
	c.reportUrgent = false
	to := c.livePeers(now)
	c.mu.Unlock()
	if len(servers) == 0 {
		return
	}
	for _, vm := range to {
		c.linker.Send(vm, &peerv1.Envelope{ServerReports: &peerv1.ServerReports{Servers: servers}})
	}
}
