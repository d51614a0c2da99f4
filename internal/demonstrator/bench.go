// Package demonstrator runs a small trefoilhead in one process, over real
// sockets on the loopback interface, and shows what it does.
package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/server"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

// Error is the class of every error of this package.
var Error = errs.Class("demo")

// Secrets of the demo. It listens on the loopback interface only.
const (
	OperatorKey = "demo-operator-key"
	BackendKey  = "demo-backend-key-"
	PeerKey     = "demo-peer-key----"
)

// ClusterConfig is the size of a bench. All counts are for each failure domain.
type ClusterConfig struct {
	FailureDomains []identifier.FailureDomain
	// EntryVMsPerDomain is the number of entry VMs.
	EntryVMsPerDomain int
	// EnginesPerDomain is the number of VMs with an engine, all in one fabric domain.
	EnginesPerDomain int
	// PlainServersPerDomain maps each plain service to its number of servers.
	PlainServersPerDomain map[identifier.Service]int
	// EngineProfile is how the engines behave, PlainProfile the plain servers.
	EngineProfile emulator.Profile
	PlainProfile  emulator.Profile
	Timing        configurer.Timing
}

// Cluster is a running set of entry processes and stand-ins.
type Cluster struct {
	Config     ClusterConfig
	Logger     log.Logger
	DataFolder string

	Entries  []*EntryProcess
	Backends []*Backend
	group    sync.WaitGroup
	cancel   context.CancelFunc
}

// EntryProcess is one entry process of a bench.
type EntryProcess struct {
	Server   *server.Server
	Settings configurer.EntrySettings
	stop     context.CancelFunc
	done     chan error
}

// CallersURL returns the base URL for callers.
func (e *EntryProcess) CallersURL() string { return "http://" + e.Settings.CallersAddress }

// ControlURL returns the base URL for operators.
func (e *EntryProcess) ControlURL() string { return "http://" + e.Settings.ControlAddress }

// Backend is one stand-in of a bench.
type Backend struct {
	Server        *emulator.Server
	FailureDomain identifier.FailureDomain
	listener      net.Listener
	stop          context.CancelFunc
}

// Start runs everything until Stop.
func (b *Cluster) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	if err := b.startEntries(ctx); err != nil {
		return err
	}
	for _, e := range b.Entries {
		if err := e.waitHealthy(ctx); err != nil {
			return err
		}
	}
	return b.startBackends(ctx)
}

// waitHealthy waits until an entry process answers.
func (e *EntryProcess) waitHealthy(ctx context.Context) error {
	const bound, step = 10 * time.Second, 20 * time.Millisecond
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(step) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.CallersURL()+"/healthz", nil)
		if err != nil {
			return Error.Wrap(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			return Error.Wrap(resp.Body.Close())
		}
	}
	return Error.New("%s did not start within %s", e.Settings.VM, bound)
}

// Stop ends everything and waits for it.
func (b *Cluster) Stop() {
	b.cancel()
	b.group.Wait()
}

func (b *Cluster) startEntries(ctx context.Context) error {
	var peers []configurer.Peer
	var callers []string
	for _, d := range b.Config.FailureDomains {
		for i := range b.Config.EntryVMsPerDomain {
			control, err := freeAddress()
			if err != nil {
				return err
			}
			caller, err := freeAddress()
			if err != nil {
				return err
			}
			callers = append(callers, caller)
			vm := identifier.VM(fmt.Sprintf("entry-%s-%d", d, i+1))
			peers = append(peers, configurer.Peer{VM: vm, FailureDomain: d, Address: control, Voter: i == 0})
		}
	}
	for i, p := range peers {
		e := &EntryProcess{Settings: b.settings(p, callers[i], peers)}
		b.Entries = append(b.Entries, e)
		b.StartEntry(ctx, e)
	}
	return nil
}

func (b *Cluster) settings(p configurer.Peer, callers string, peers []configurer.Peer) configurer.EntrySettings {
	s := configurer.EntrySettings{
		VM: p.VM, Region: "demo", FailureDomain: p.FailureDomain, CallersAddress: callers, ControlAddress: p.Address,
		Peers: peers, Timing: b.Config.Timing,
		Keys: configurer.Keys{Operator: OperatorKey, Backend: BackendKey, Peer: PeerKey},
		TLS:  configurer.TLS{Plaintext: true},
	}
	if p.Voter {
		s.DataFolder = filepath.Join(b.DataFolder, string(p.VM))
	}
	s.FillDefaults()
	return s
}

// StartEntry runs an entry process, for the first time or again.
func (b *Cluster) StartEntry(ctx context.Context, e *EntryProcess) {
	ctx, e.stop = context.WithCancel(ctx)
	e.done = make(chan error, 1)
	now := time.Now()
	e.Server = &server.Server{
		Settings: e.Settings, Logger: log.With(b.Logger, "vm", e.Settings.VM),
		Incarnation: identifier.Incarnation(now.UnixNano()), Seed: uint64(len(e.Settings.VM)),
	}
	srv, done := e.Server, e.done
	b.group.Go(func() { done <- srv.Run(ctx) })
}

// Stop shuts an entry process down and waits for it.
func (e *EntryProcess) Stop() error {
	e.stop()
	return <-e.done
}

func (b *Cluster) startBackends(ctx context.Context) error {
	for _, d := range b.Config.FailureDomains {
		for i := range b.Config.EnginesPerDomain {
			err := b.startBackend(ctx, d, fmt.Sprintf("engine-%s-%d", d, i+1), emulator.KindEngine, b.Config.EngineProfile, i%2 == 0)
			if err != nil {
				return err
			}
		}
		for service, n := range b.Config.PlainServersPerDomain {
			for i := range n {
				err := b.startBackend(ctx, d, fmt.Sprintf("%s-%s-%d", service, d, i+1), string(service), b.Config.PlainProfile, false)
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// acceleratorsPerVM is the number of accelerators of each stand-in engine.
const acceleratorsPerVM = 8

func (b *Cluster) startBackend(ctx context.Context, d identifier.FailureDomain, vm, kind string, p emulator.Profile, honours bool) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	srv := &emulator.Server{
		Description: &trefoilheadv1.BackendServer{
			VmId: vm, FailureDomain: string(d), FabricDomain: "fabric-" + string(d), Accelerators: acceleratorsPerVM,
			Kind: kind, Incarnation: uint64(time.Now().UnixNano()), HonoursFencing: honours,
			Address: "http://" + l.Addr().String(),
		},
		Profile: p, BackendKey: BackendKey, Client: &http.Client{}, Logger: b.Logger,
	}
	for _, e := range b.Entries {
		if e.Settings.FailureDomain == d {
			srv.EntryURLs = append(srv.EntryURLs, e.ControlURL())
		}
	}
	srv.Init()
	ctx, stop := context.WithCancel(ctx)
	b.Backends = append(b.Backends, &Backend{Server: srv, FailureDomain: d, listener: l, stop: stop})
	b.group.Go(func() { _ = srv.Serve(ctx, l) })
	return nil
}

// Kill ends a stand-in without any goodbye.
func (b *Backend) Kill() { b.stop() }

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// tempFolder returns a new folder and a function that removes it.
func tempFolder() (string, func(), error) {
	folder, err := os.MkdirTemp("", "trefoilhead-demo-")
	if err != nil {
		return "", nil, Error.Wrap(err)
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}
