// Package server joins the parts of one entry process.
//
// It owns the sockets, timers and files; every decision is made by the cores
// that it feeds: replicator, recorder, claimer, leaser, placer, router and
// limiter.
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

	"trefoilhead.org/trefoilhead/internal/claimer"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/journaler"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/internal/registrar"
	"trefoilhead.org/trefoilhead/internal/relayer"
	"trefoilhead.org/trefoilhead/internal/router"
)

// Names of the replicated logs.
const (
	configLog = "config"
	claimsLog = "claims"
)

// Bounds of connections.
const (
	headerBytes   = 64 << 10
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	refreshTime   = 200 * time.Millisecond
	// affinityBound is the factor above the average load that a likely cached
	// prefix may cost.
	affinityBound = 1.25
)

// Server is one entry process. Exported fields are set before Run.
type Server struct {
	Settings configurer.EntrySettings
	Logger   log.Logger
	// Incarnation is higher at each start of the process.
	Incarnation identifier.Incarnation
	// Seed makes the process's random choices repeatable.
	Seed uint64
	// Network opens connections and listeners; nil means TCP.
	Network Network

	config  recorder.State // in force here, follows the log or the peers
	logged  recorder.State // the machine of the configuration log
	claims  claimer.State
	logs    map[string]*driver.Driver
	linker  *linker.Linker
	locator *locator.Locator
	heard   *registrar.Registrar
	relayer *relayer.Relayer
	metrics metrics.Registry
	tls     *credentials

	started   time.Time
	random    *lockedRand
	gossip    gossip
	lease     leaseState
	witness   witness
	authority authority
	ager      ager
	report    reportState
	leaving   atomic.Bool
	callers   *http.Server
	control   *http.Server
	group     sync.WaitGroup
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
	run, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, len(s.logs)+2)
	s.serve(s.callers, callers, failed)
	s.serve(s.control, control, failed)
	s.startLogs(run, failed)
	s.startLoops(run)
	s.info("server", "serving", "callers", s.Settings.CallersAddress, "control", s.Settings.ControlAddress)
	select {
	case <-ctx.Done():
	case err = <-failed:
		// Storage or a listener is gone: there is nothing to wait for.
		_ = level.Error(s.Logger).Log("part", "server", "msg", "stopping after a failure", "err", err)
	}
	s.shutdown()
	stop()
	s.linker.Close()
	s.group.Wait()
	return err
}

func (s *Server) init() error {
	set := &s.Settings
	s.started = time.Now()
	s.metrics = metrics.NewRegistry()
	s.random = &lockedRand{r: rand.New(rand.NewPCG(s.Seed, uint64(s.Incarnation)))}
	var err error
	if s.tls, err = loadCredentials(set.TLS); err != nil {
		return err
	}
	addresses := map[identifier.VM]string{}
	for _, p := range set.Peers {
		addresses[p.VM] = p.Address
	}
	if s.Network == nil {
		s.Network = tcp{newDialer(set.Timing.SilenceTimeout)}
	}
	dialer := s.Network
	s.linker = &linker.Linker{
		VM: set.VM, PeerKey: set.Keys.Peer, PeerAddresses: addresses, Scheme: s.tls.scheme("ws"), Dialer: dialer,
		TLS: s.tls.client(), Handler: s, Logger: s.Logger,
		HeartbeatInterval: set.Timing.HeartbeatInterval, SilenceTimeout: set.Timing.SilenceTimeout,
	}
	s.locator = &locator.Locator{
		VM: set.VM, Domain: set.FailureDomain,
		ExclusiveOwnershipTimeout: set.Timing.SilenceTimeout - set.Timing.HeartbeatInterval/2, MaxDigestAge: digestEvery*set.Timing.HeartbeatInterval + 2*set.Timing.SilenceTimeout,
	}
	s.heard = &registrar.Registrar{SilenceTimeout: set.Timing.SilenceTimeout}
	s.initRelayer(dialer, addresses)
	s.initLease()
	s.initWitness()
	s.initAuthority()
	s.initLogs()
	s.initHTTP()
	return nil
}

func (s *Server) initRelayer(dialer Network, addresses map[identifier.VM]string) {
	set := &s.Settings
	bounds := relayer.Limits{
		MaxQueueWait: set.Timing.MaxQueueWait, FirstTokenTimeout: set.Timing.FirstTokenTimeout, InterTokenTimeout: set.Timing.InterTokenTimeout,
		MaxQueueLength: set.Limits.MaxQueueLength, MaxStoredResponseBytes: set.Limits.MaxStoredResponseBytes, MaxBodyBytes: set.Limits.MaxBodyBytes,
		ClaimRetention: set.Timing.ClaimRetention, HalfLimitTime: set.Timing.HalfLimitTime,
	}
	client := &http.Client{Transport: newTransport(dialer, s.tls)}
	s.relayer = &relayer.Relayer{
		VM: set.VM, Locator: s.locator, Limits: bounds, ClaimsLog: claimRunner{s}, CheckReady: s.notReady,
		Policy: &router.PrefixAffinity{MaxRelativeLoad: affinityBound},
		Owner:  &relayer.Owner{Locator: s.locator, HasLostMember: s.heard.AnyLost, RunningRequests: s.heard.RunningRequests, Client: client, Limits: bounds},
		PeerClient: &relayer.PeerClient{
			PeerKey: set.Keys.Peer, Addresses: addresses, Scheme: s.tls.scheme("http"), Client: client, Limits: bounds,
		},
	}
	s.relayer.Init()
}

func (s *Server) initLogs() {
	s.logs = map[string]*driver.Driver{}
	set := &s.Settings
	if !set.Self().Voter && set.DataFolder == "" {
		return
	}
	var voters []identifier.VM
	for _, p := range set.Peers {
		if p.Voter {
			voters = append(voters, p.VM)
		}
	}
	machines := map[string]driver.StateMachine{configLog: configMachine{s}, claimsLog: &s.claims}
	for name, m := range machines {
		d := &driver.Driver{
			Name: name, VM: set.VM, Voters: voters, StateMachine: m, Sender: logSender{s.linker}, Logger: s.Logger,
			Journal:       &journaler.Journal{FileSystem: journaler.OSFolder(filepath.Join(set.DataFolder, name))},
			TickInterval:  set.Timing.LogTickInterval,
			Rand:          rand.New(rand.NewPCG(s.Seed, uint64(s.Incarnation)+uint64(len(name)))),
			PersistCommit: name == configLog,
		}
		d.Init()
		s.logs[name] = d
	}
}

func (s *Server) startLogs(ctx context.Context, failed chan<- error) {
	for _, d := range s.logs {
		s.group.Go(func() {
			if err := d.Run(ctx); err != nil {
				failed <- err
			}
		})
	}
}

func (s *Server) startLoops(ctx context.Context) {
	t := s.Settings.Timing
	s.every(ctx, refreshTime, func() {
		s.relayer.Owner.RefreshGroups(time.Now())
		s.stepAuthority(ctx)
	})
	s.every(ctx, t.HeartbeatInterval, func() { s.sendReport(ctx) })
	s.every(ctx, t.PlacementLeaseDuration/4, func() { s.renewLease(ctx) })
	s.every(ctx, t.ConfigPullInterval, func() { s.pullConfig(ctx) })
	s.every(ctx, pushTime, s.pushConfig)
	s.every(ctx, claimTick, func() { s.tickClaims(ctx) })
	s.every(ctx, digestEvery*t.HeartbeatInterval, s.sendDigest)
}

// every runs f at once and then once per interval until ctx ends.
func (s *Server) every(ctx context.Context, interval time.Duration, f func()) {
	s.group.Go(func() {
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

func (s *Server) serve(h *http.Server, l net.Listener, failed chan<- error) {
	s.group.Go(func() {
		if err := h.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
}

// shutdown takes no new work, lets running answers end and closes everything.
func (s *Server) shutdown() {
	s.leaving.Store(true)
	s.info("server", "leaving, waiting for running answers", "running", s.relayer.Stats().OpenResponses)
	ctx, cancel := context.WithTimeout(context.Background(), s.Settings.Timing.ShutdownTimeout)
	defer cancel()
	// The balancer sees readiness fail and stops sending before the listener
	// closes.
	pause(ctx, s.Settings.Timing.HeartbeatInterval)
	_ = s.callers.Shutdown(ctx)
	s.waitForOwned(ctx)
	s.lease.resign()
	_ = s.control.Close()
}

// waitForOwned waits until the requests that other entries relay through this
// one have ended.
func (s *Server) waitForOwned(ctx context.Context) {
	for ctx.Err() == nil {
		running := uint32(0)
		for _, g := range s.relayer.Owner.Status() {
			running += g.Running
		}
		if running == 0 {
			return
		}
		pause(ctx, refreshTime)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (s *Server) info(part, msg string, keyvals ...any) {
	_ = level.Info(s.Logger).Log(append([]any{"part", part, "msg", msg}, keyvals...)...)
}

// lockedRand is a random source for several goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) IntN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}
