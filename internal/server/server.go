// Package server assembles one entry process from its parts.
//
// It does the I/O: sockets, timers and files. Every decision is made by
// packages without I/O, to which it passes messages and the time: replicator,
// recorder, claimer, leaser, placer, router and limiter.
package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/acceptor"
	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/claimer"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/journaler"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/preserver"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/internal/registrar"
	"trefoilhead.org/trefoilhead/internal/relayer"
	"trefoilhead.org/trefoilhead/internal/router"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/timekeeper"
	"trefoilhead.org/trefoilhead/internal/verifier"
)

// Names of the replicated logs.
const (
	configLog = "config"
	claimsLog = "claims"
)

// Limits of connections and periods of the server's loops.
const (
	maxHeaderBytes = acceptor.DefaultHeadBytes
	// maxCallBytes bounds the body of a call of an operator or a backend server.
	maxCallBytes = 16 << 20
	// callerFraction is the part of the connections and of the memory of requests that callers may take; operators, backend servers
	// and peers get the rest.
	callerFraction    = 0.7
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	refreshInterval   = 200 * time.Millisecond
	// maxRelativeLoad is the load, as a multiple of the average, up to which a
	// group that probably has the prompt's prefix in its cache is preferred.
	maxRelativeLoad = 1.25
)

// Server is one entry process. Set its exported fields before calling Run.
type Server struct {
	Settings configurer.EntrySettings
	Logger   log.Logger
	// Incarnation increases with each start of the process.
	Incarnation identifier.Incarnation
	// Seed seeds the process's random choices, to make them reproducible.
	Seed uint64
	// Network opens connections and listeners; nil selects TCP.
	Network Network
	// Elapsed reads a monotonic clock that keeps running while the VM is suspended; nil selects
	// that of the VM.
	Elapsed func() time.Duration

	config       recorder.State // in effect here, updated from the log or from peers
	loggedConfig recorder.State // state machine of the configuration log
	claims       claimer.State
	logs         map[string]*driver.Driver
	linker       *linker.Linker
	locator      *locator.Locator
	registrar    *registrar.Registrar
	relayer      *relayer.Relayer
	metrics      metrics.Registry
	tls          *credentials

	startTime   time.Time
	random      *lockedRand
	gossip      gossipState
	lease       leaseState
	witness     witnessState
	authority   authority
	claimsClock claimsClock
	report      reportState
	evidence    evidenceState
	// preserver is nil if this entry has no disk.
	preserver     *preserver.Preserver
	shuttingDown  atomic.Bool
	callerServer  *acceptor.Server
	controlServer *acceptor.Server
	// memory is what the requests of callers reserve, also those that come from peers, controlMemory what those of operators
	// and backend servers do.
	memory, controlMemory budgeter.Budget
	goroutines            sync.WaitGroup
}

// Run serves until ctx ends, then shuts down gracefully.
func (s *Server) Run(ctx context.Context) error {
	if err := s.init(); err != nil {
		return err
	}
	callers, err := s.listen(s.Settings.CallersAddress)
	if err != nil {
		return err
	}
	control, err := s.listen(s.Settings.ControlAddress)
	if err != nil {
		_ = callers.Close()
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, len(s.logs)+2)
	s.serve(s.callerServer, callers, failed)
	s.serve(s.controlServer, control, failed)
	s.startLogs(runCtx, failed)
	s.startLoops(runCtx)
	s.logInfo("server", "serving", "callers", s.Settings.CallersAddress, "control", s.Settings.ControlAddress)
	select {
	case <-ctx.Done():
	case err = <-failed:
		// Storage or a listener failed, and the process cannot recover from that.
		_ = level.Error(s.Logger).Log("part", "server", "msg", "storage or a listener failed; shutting down", "err", err)
	}
	s.shutdown()
	stop()
	s.linker.Close()
	s.goroutines.Wait()
	return err
}

func (s *Server) init() error {
	cfg := &s.Settings
	s.startTime = time.Now()
	if s.Elapsed == nil {
		s.Elapsed = timekeeper.SinceBoot
	}
	s.metrics = metrics.NewRegistry()
	all := s.resources().RequestMemory()
	s.memory.Limit = int64(callerFraction * float64(all))
	s.controlMemory.Limit = all - s.memory.Limit
	metrics.NewRegisteredFunctionalGauge("request_memory_bytes", s.metrics, s.memory.Used)
	metrics.NewRegisteredFunctionalGauge("request_memory_reclaimed_total", s.metrics, s.memory.Reclaimed)
	s.random = &lockedRand{r: rand.New(rand.NewPCG(s.Seed, uint64(s.Incarnation)))}
	var err error
	if s.tls, err = loadCredentials(cfg.TLS); err != nil {
		return err
	}
	addresses := map[identifier.VM]string{}
	peers := map[identifier.FailureDomain][]identifier.VM{}
	for _, p := range cfg.Peers {
		addresses[p.VM] = p.Address
		peers[p.FailureDomain] = append(peers[p.FailureDomain], p.VM)
	}
	if s.Network == nil {
		s.Network = tcpNetwork{newDialer(cfg.Timing.SilenceTimeout)}
	}
	dialer := s.Network
	s.linker = &linker.Linker{
		VM: cfg.VM, PeerKey: cfg.Keys.Peer, PeerAddresses: addresses, Scheme: s.tls.scheme("ws"), Dialer: dialer,
		TLS: s.tls.clientConfig(), Handler: s, Logger: s.Logger,
		PingInterval: cfg.Timing.HeartbeatInterval, SilenceTimeout: cfg.Timing.SilenceTimeout,
	}
	s.locator = &locator.Locator{
		VM: cfg.VM, Domain: cfg.FailureDomain, Peers: peers,
		ExclusiveOwnershipTimeout: cfg.Timing.SilenceTimeout - cfg.Timing.HeartbeatInterval/2, MaxDigestAge: digestHeartbeats*cfg.Timing.HeartbeatInterval + 2*cfg.Timing.SilenceTimeout,
	}
	s.registrar = &registrar.Registrar{SilenceTimeout: cfg.Timing.SilenceTimeout}
	s.initRelayer(dialer, addresses)
	s.initPreserver()
	s.initLease()
	s.initWitness()
	s.initAuthority()
	s.initLogs()
	s.initHTTP()
	return nil
}

func (s *Server) initRelayer(dialer Network, addresses map[identifier.VM]string) {
	cfg := &s.Settings
	limits := relayer.Limits{
		MaxQueueWait: cfg.Timing.MaxQueueWait, FirstTokenTimeout: cfg.Timing.FirstTokenTimeout, InterTokenTimeout: cfg.Timing.InterTokenTimeout,
		MaxQueueLength: cfg.Limits.MaxQueueLength, MaxStoredResponseBytes: cfg.Limits.MaxStoredResponseBytes, MaxBodyBytes: cfg.Limits.MaxBodyBytes,
		ClaimRetention: cfg.Timing.ClaimRetention, HalfLimitTime: cfg.Timing.HalfLimitTime,
	}
	client := verifier.NewClient(newTransport(dialer, s.tls))
	s.relayer = &relayer.Relayer{
		VM: cfg.VM, Locator: s.locator, Limits: limits, ClaimsLog: claimRunner{s}, CheckReady: s.checkReady,
		Entries: len(cfg.Peers), Memory: &s.memory, Elapsed: s.Elapsed, OnCrash: s.logCrash,
		Policy: &router.PrefixAffinity{MaxRelativeLoad: maxRelativeLoad},
		Owner: &relayer.Owner{
			Locator: s.locator, HasLostMember: s.registrar.AnyLost, RunningRequests: s.registrar.RunningRequests, Client: newBackendClient(dialer, s.tls), Limits: limits,
			OnLimitChange: func(id identifier.Group, c throttler.Change, r throttler.Rate) {
				s.logInfo("limit", "limit of a server "+c.String(), "group", id, "per_s", float64(r))
			},
			OnStatement: s.logStatement, Elapsed: s.Elapsed,
		},
		PeerClient: &relayer.PeerClient{
			PeerKey: cfg.Keys.Peer, Addresses: addresses, Scheme: s.tls.scheme("http"), Client: client, Limits: limits,
		},
	}
	s.relayer.Init()
}

func (s *Server) initLogs() {
	s.logs = map[string]*driver.Driver{}
	cfg := &s.Settings
	if !cfg.Self().Voter && cfg.DataFolder == "" {
		return
	}
	var voters []identifier.VM
	for _, p := range cfg.Peers {
		if p.Voter {
			voters = append(voters, p.VM)
		}
	}
	machines := map[string]driver.StateMachine{configLog: configMachine{s}, claimsLog: &s.claims}
	for name, machine := range machines {
		d := &driver.Driver{
			Name: name, VM: cfg.VM, InitialVoters: voters, StateMachine: machine, Sender: logSender{s.linker}, Logger: s.Logger,
			Journal:       &journaler.Journal{FileSystem: journaler.OSFolder(filepath.Join(cfg.DataFolder, name))},
			TickInterval:  cfg.Timing.LogTickInterval,
			Rand:          rand.New(rand.NewPCG(s.Seed, uint64(s.Incarnation)+uint64(len(name)))),
			PersistCommit: name == configLog,
		}
		d.Init()
		s.logs[name] = d
	}
}

func (s *Server) startLogs(ctx context.Context, failed chan<- error) {
	for _, d := range s.logs {
		s.goroutines.Go(func() {
			if err := d.Run(ctx); err != nil {
				failed <- err
			}
		})
	}
}

func (s *Server) startLoops(ctx context.Context) {
	t := s.Settings.Timing
	s.runEvery(ctx, refreshInterval, func() {
		s.relayer.Owner.RefreshGroups(time.Now())
		s.stepPlacement(ctx)
	})
	s.runEvery(ctx, refreshInterval, s.stepIsolation)
	if s.preserver != nil {
		s.goroutines.Go(func() { s.preserver.Run(ctx) })
	}
	s.runEvery(ctx, t.HeartbeatInterval, func() { s.sendReport(ctx) })
	s.runEvery(ctx, t.PlacementLeaseDuration/4, func() { s.renewLease(ctx) })
	s.runEvery(ctx, t.ConfigPullInterval, func() { s.pullConfig(ctx) })
	s.runEvery(ctx, pushInterval, s.pushConfig)
	s.runEvery(ctx, claimTickInterval, func() { s.tickClaimsClock(ctx) })
	s.runEvery(ctx, digestHeartbeats*t.HeartbeatInterval, s.sendDigest)
}

// runEvery calls f immediately and then once per interval until ctx ends.
func (s *Server) runEvery(ctx context.Context, interval time.Duration, f func()) {
	s.goroutines.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			f()
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func (s *Server) serve(h *acceptor.Server, l net.Listener, failed chan<- error) {
	s.goroutines.Go(func() {
		if err := h.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
}

// shutdown stops accepting requests, waits for open responses and closes the
// listeners.
func (s *Server) shutdown() {
	s.shuttingDown.Store(true)
	s.logInfo("server", "shutting down; waiting until open responses have ended", "running", s.relayer.Stats().OpenResponses)
	ctx, cancel := context.WithTimeout(context.Background(), s.Settings.Timing.ShutdownTimeout)
	defer cancel()
	// The load balancer sees the readiness check fail and stops sending requests
	// here before the listener closes.
	sleep(ctx, s.Settings.Timing.HeartbeatInterval)
	_ = s.callerServer.Shutdown(ctx)
	s.waitForPeerRequests(ctx)
	s.lease.resign()
	s.closeControlServer(ctx)
}

// waitForPeerRequests waits until the requests from other entries have ended.
func (s *Server) waitForPeerRequests(ctx context.Context) {
	for ctx.Err() == nil && s.relayer.PeerRequestCount() > 0 {
		sleep(ctx, refreshInterval)
	}
}

// closeControlServer closes the listener for other entries, operators and backend servers. Calls
// that have just ended get the time to send the ends of their answers.
func (s *Server) closeControlServer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.SilenceTimeout)
	defer cancel()
	_ = s.controlServer.Shutdown(ctx)
	_ = s.controlServer.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (s *Server) logInfo(part, msg string, keyvals ...any) {
	_ = level.Info(s.Logger).Log(append([]any{"part", part, "msg", msg}, keyvals...)...)
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) IntN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}
