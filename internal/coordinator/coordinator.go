// Package coordinator runs a core process: one voter of the catalog log, a
// registry of the backend servers, and, on the log's leader, the placement of
// replica groups.
//
// Every core process hears backend servers and operators, tells the other core
// processes what it heard, and answers the fronts' pulls. Only the leader of the
// log gives orders, and only while a majority of the voters has confirmed that it
// leads within the last moments. The log's term is the fencing number of its
// orders.
package coordinator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/exposer"
	"trefoilhead.org/trefoilhead/internal/grouper"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/journaler"
	"trefoilhead.org/trefoilhead/internal/keeper"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Error is the class of every error of this package.
var Error = errs.Class("core")

// Errors of the operators' calls.
var (
	// ErrInvalidCatalog means that a catalog cannot be in force.
	ErrInvalidCatalog = errs.Class("invalid catalog")
	// ErrNoQuorum means that the log's majority could not be reached in time. The
	// change may or may not have been accepted.
	ErrNoQuorum = errs.New("the majority of the catalog log cannot be reached")
)

// PeerKey is what the processes of one system show each other. The platform
// hands out no secrets; its internal network is closed to others.
const PeerKey = "trefoilhead-internal-network"

// logName is the name of the catalog log in messages.
const logName = "catalog"

// Paces and bounds of a core process. They are chosen so that a change reaches
// every front within a fraction of the shortest bound a deployment states.
const (
	logTick = 100 * time.Millisecond
	// step is the unit of the process's own loop; the other paces are multiples.
	step         = 50 * time.Millisecond
	helloPace    = 100 * time.Millisecond
	confirmPace  = 300 * time.Millisecond
	membersPace  = 500 * time.Millisecond
	reportPace   = 300 * time.Millisecond
	callBound    = 500 * time.Millisecond
	linkBeat     = 500 * time.Millisecond
	linkSilence  = 1500 * time.Millisecond
	proposeBound = 900 * time.Millisecond
	proposeRetry = 50 * time.Millisecond
	// authorityBound is how recently the leader must have been confirmed to give
	// orders.
	authorityBound = time.Second
	// SilenceTimeoutHeartbeats is the number of heartbeats without which a backend server
	// counts as silent.
	SilenceTimeoutHeartbeats = 2.5
	// snapshotEvery and trailing keep the log small: one entry can hold a whole
	// catalog.
	snapshotEvery = 64
	trailing      = 16
	// maxFirstTerm is the highest term in which the leader of a first start may
	// assume that no group exists.
	maxFirstTerm = 4
)

// OrderSender carries orders to backend servers.
type OrderSender interface {
	SendOrder(ctx context.Context, o grouper.Order) grouper.Outcome
}

// Network opens listeners and connections.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, network, address string) (net.Listener, error)
}

// Coordinator is one core process. Exported fields are set before Run.
type Coordinator struct {
	Settings    configurer.Node
	Logger      log.Logger
	Network     Network
	OrderSender OrderSender
	// DecodeCatalog reads a catalog as the operator sent it and indexes it.
	DecodeCatalog func(data []byte) (*cataloger.Catalog, error)
	// ControlHandler serves operators and backend servers on the control address.
	ControlHandler http.Handler
	// Metrics takes the counters of the process.
	Metrics metrics.Registry
	// Elapsed is a clock that goes on during suspensions.
	Elapsed func() time.Duration
	Seed    uint64

	self    identifier.VM
	linker  *linker.Linker
	driver  *driver.Driver
	keeper  keeper.Keeper
	random  *rand.Rand
	started time.Time

	mu       sync.Mutex
	registry tracker.Registry
	// registryID tells this registry's revisions from those of other processes
	// and lives.
	registryID uint64
	// changed is closed at the next change of the registry or the keeper.
	changed chan struct{}
	// unsent are the servers to report to the other core processes, and urgent
	// tells that one of them has changed.
	unsent map[identifier.Server]bool
	urgent bool
	peers  map[identifier.VM]*peer
	fronts map[identifier.VM]*front
	// served adds up the work that the fronts pulling here have reported.
	served  demandBook
	catalog *cataloger.Catalog

	confirmed confirmation
	placement placement

	orders    map[grouper.Outcome]metrics.Counter
	orderTime metrics.Histogram
}

// Init prepares the process so that Handler may be called. It is called before
// Run.
func (c *Coordinator) Init() {
	set := &c.Settings
	c.started = time.Now()
	c.self = identifier.VM(set.PeerAddress)
	// Processes that start at the same moment must not draw the same election
	// limits, or they split the votes again and again.
	own := xxhash.Sum64String(set.PeerAddress)
	c.random = rand.New(rand.NewPCG(c.Seed, own))
	c.registryID = c.random.Uint64() >> 1
	c.registry.SilenceTimeout = time.Duration(SilenceTimeoutHeartbeats * float64(set.Bounds.Heartbeat()))
	c.changed = make(chan struct{})
	c.unsent = map[identifier.Server]bool{}
	c.peers = map[identifier.VM]*peer{}
	c.fronts = map[identifier.VM]*front{}
	c.placement.grouper.Policy = grouper.Policy{StallTimeout: set.Bounds.Stall(), HeartbeatInterval: set.Bounds.Heartbeat()}
	c.linker = &linker.Linker{
		VM: c.self, Key: PeerKey, Open: true, Scheme: "ws", Dialer: c.Network, Handler: c, Logger: c.Logger,
		Heartbeat: linkBeat, Silence: linkSilence,
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
		Name: logName, VM: c.self, Voters: seeds, StateMachine: &c.keeper, Sender: logSender{c.linker}, Logger: c.Logger,
		Journal:      &journaler.Journal{FileSystem: journaler.OSFolder(filepath.Join(set.DataFolder, logName))},
		TickInterval: logTick, PersistCommit: true, EarlyElections: true, Rand: rand.New(rand.NewPCG(c.Seed, own+1)), StartMode: start,
		SnapshotMinEntries: snapshotEvery, TrailingEntries: trailing,
	}
	c.driver.Init()
	c.initMetrics()
}

// seedPeers turns the seeds' control addresses into peers.
func (c *Coordinator) seedPeers() []identifier.VM { return SeedPeers(&c.Settings) }

// SeedPeers returns the seeds as the ids of peers: the host of each control
// address with the port of this process's own peer address.
func SeedPeers(set *configurer.Node) []identifier.VM {
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

// logSender carries the log's messages over the links.
type logSender struct{ l *linker.Linker }

// SendLogMessage implements driver.Sender.
func (s logSender) SendLogMessage(to identifier.VM, name string, m replicator.Message) {
	s.l.Send(to, &peerv1.Envelope{Log: encoder.EncodeLogMessage(name, m)})
}

// Run serves until ctx ends or the log's storage fails.
func (c *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = level.Info(c.Logger).Log("msg", "core process starts", "vm", c.Settings.VM, "peer", c.self,
		"seeds", strings.Join(c.Settings.Seeds, ","), "first_start", c.Settings.FirstStart)
	peers := http.NewServeMux()
	peers.Handle(linker.Path, c.linker)
	failed := make(chan error, 4)
	var wg sync.WaitGroup
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{c.Settings.PeerListenAddress, peers}, {c.Settings.ControlAddress, c.ControlHandler},
		{c.Settings.MetricsAddress, exposer.NewHandler(c.Metrics, c.dump)},
	} {
		if l.address == "" {
			continue
		}
		ln, err := c.Network.Listen(ctx, "tcp", l.address)
		if err != nil {
			return Error.Wrap(err)
		}
		srv := &http.Server{Handler: l.handler, ReadHeaderTimeout: linkSilence, IdleTimeout: controlIdle}
		wg.Go(func() { failed <- srv.Serve(ln) })
		defer func() { _ = srv.Close() }()
	}
	wg.Go(func() { failed <- c.driver.Run(ctx) })
	wg.Go(func() { c.loop(ctx) })
	wg.Go(func() { c.confirmLoop(ctx) })
	wg.Go(func() { c.membersLoop(ctx) })
	var err error
	select {
	case <-ctx.Done():
		_ = level.Info(c.Logger).Log("msg", "core process stops")
	case err = <-failed:
		_ = level.Error(c.Logger).Log("msg", "core process fails", "err", err)
	}
	cancel()
	c.linker.Close()
	return Error.Wrap(err)
}

// controlIdle is how long a connection to the control address may stay unused.
const controlIdle = 30 * time.Second

// loop runs what has to happen at a steady pace.
func (c *Coordinator) loop(ctx context.Context) {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	var hello, report time.Time
	for {
		var kept <-chan struct{}
		_, kept = c.keeper.State()
		select {
		case <-ctx.Done():
			return
		case <-kept:
			c.noteKept()
		case <-ticker.C:
		}
		now := time.Now()
		c.sweep(now)
		if now.Sub(hello) >= helloPace {
			hello = now
			c.sendHellos(now)
		}
		if c.reportDue() || now.Sub(report) >= reportPace {
			report = now
			c.sendReports(now)
		}
		c.place(ctx, now)
	}
}

// noteKept takes over what the log has changed.
func (c *Coordinator) noteKept() {
	state, _ := c.keeper.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(state.Data) > 0 && (c.catalog == nil || c.catalog.Version != state.Version) {
		cat, err := c.DecodeCatalog(state.Data)
		if err != nil {
			// It was checked before it came into the log.
			_ = level.Error(c.Logger).Log("msg", "the catalog in force cannot be read", "version", state.Version, "err", err)
		} else {
			c.catalog = cat
			_ = level.Info(c.Logger).Log("msg", "catalog in force", "version", state.Version, "routes", len(cat.Routes),
				"teams", len(cat.Teams))
		}
	}
	_ = level.Info(c.Logger).Log("msg", "catalog state changed", "version", state.Version, "evacuated", len(state.Evacuated))
	c.registry.AdvanceRevision()
	c.signal()
}

// signal wakes the pulls that wait. The caller holds mu.
func (c *Coordinator) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Coordinator) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := c.registry.ExpireServers(now)
	for _, id := range silent {
		s := c.registry.Get(id)
		_ = level.Info(c.Logger).Log("msg", "backend server is silent", "server", id, "service", s.Service,
			"group", s.Membership.Group, "heard_ago", now.Sub(s.HeardAt))
	}
	if len(silent) > 0 {
		c.signal()
	}
}

// HandleAnnouncement takes what a backend server says of itself.
func (c *Coordinator) HandleAnnouncement(s tracker.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hear(s)
	c.unsent[s.ID] = true
}

// hear takes an announcement from anywhere. The caller holds mu.
func (c *Coordinator) hear(s tracker.Server) {
	before := c.registry.Get(s.ID)
	var old tracker.Server
	if before != nil {
		old = *before
	}
	if !c.registry.Apply(s) {
		return
	}
	c.urgent = true
	c.signal()
	if old.Membership != s.Membership || old.Draining != s.Draining || old.Born != s.Born || old.Silent || s.Gone {
		_ = level.Info(c.Logger).Log("msg", "backend server changed", "server", s.ID, "service", s.Service,
			"address", s.Address, "group", s.Membership.Group, "rank", s.Membership.Rank, "state", s.Membership.State,
			"draining", s.Draining, "gone", s.Gone, "was_silent", old.Silent, "new_life", old.Born != s.Born)
	}
}

// HandleLeave takes a backend server's word that it leaves.
func (c *Coordinator) HandleLeave(id identifier.Server, born uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.registry.MarkGone(time.Now(), id, born) {
		return
	}
	_ = level.Info(c.Logger).Log("msg", "backend server leaves", "server", id)
	c.unsent[id] = true
	c.urgent = true
	c.signal()
}

func (c *Coordinator) reportDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.urgent && len(c.unsent) > 0
}

// sendReports tells the other core processes what this one heard.
func (c *Coordinator) sendReports(now time.Time) {
	c.mu.Lock()
	var servers []*peerv1.ServerState
	for id := range c.unsent {
		if s := c.registry.Get(id); s != nil {
			servers = append(servers, encoder.EncodeServer(now, s))
		}
	}
	clear(c.unsent)
	c.urgent = false
	to := c.livePeers(now)
	c.mu.Unlock()
	if len(servers) == 0 {
		return
	}
	for _, vm := range to {
		c.linker.Send(vm, &peerv1.Envelope{ServerReports: &peerv1.ServerReports{Servers: servers}})
	}
}
