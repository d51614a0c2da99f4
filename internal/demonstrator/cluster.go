// Package demonstrator runs a small trefoilhead system in one process and checks
// its main functions step by step. All connections use the loopback interface.
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

// Keys of the demo. They need not be secret, since all listeners of the demo are on
// the loopback interface.
const (
	OperatorKey = "demo-operator-key"
	BackendKey  = "demo-backend-key-"
	PeerKey     = "demo-peer-key----"
)

// ClusterConfig configures a Cluster. All counts are per failure domain.
type ClusterConfig struct {
	FailureDomains []identifier.FailureDomain
	// EntryVMsPerDomain is the number of entry VMs. The first one of each failure
	// domain is a voter.
	EntryVMsPerDomain int
	// EnginesPerDomain is the number of VMs with an engine. Those of a failure domain
	// share a fabric domain.
	EnginesPerDomain int
	// PlainServersPerDomain is the number of servers of each plain service.
	PlainServersPerDomain map[identifier.Service]int
	// EngineProfile applies to the engines, PlainProfile to servers of plain services.
	EngineProfile emulator.Profile
	PlainProfile  emulator.Profile
	Timing        configurer.Timing
}

// Cluster runs entry processes and emulated backend servers in this process.
// DataFolder holds the data folders of the voters.
type Cluster struct {
	Config     ClusterConfig
	Logger     log.Logger
	DataFolder string

	Entries   []*EntryProcess
	Backends  []*Backend
	waitGroup sync.WaitGroup
	cancel    context.CancelFunc
}

// EntryProcess runs the server of one entry VM.
type EntryProcess struct {
	Server   *server.Server
	Settings configurer.EntrySettings
	cancel   context.CancelFunc
	done     chan error
}

// CallersURL returns the base URL for requests of callers.
func (e *EntryProcess) CallersURL() string { return "http://" + e.Settings.CallersAddress }

// ControlURL returns the base URL for operators and backend servers.
func (e *EntryProcess) ControlURL() string { return "http://" + e.Settings.ControlAddress }

// Backend is one emulated backend server of a Cluster.
type Backend struct {
	Server        *emulator.Server
	FailureDomain identifier.FailureDomain
	listener      net.Listener
	cancel        context.CancelFunc
}

// Start starts the entry processes, waits until they respond and starts the backend
// servers. All of them run until Stop.
func (c *Cluster) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	if err := c.startEntries(ctx); err != nil {
		return err
	}
	for _, e := range c.Entries {
		if err := e.waitUntilHealthy(ctx); err != nil {
			return err
		}
	}
	return c.startBackends(ctx)
}

// waitUntilHealthy waits until an entry process responds on /healthz.
func (e *EntryProcess) waitUntilHealthy(ctx context.Context) error {
	const timeout, interval = 10 * time.Second, 20 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(interval) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.CallersURL()+"/healthz", nil)
		if err != nil {
			return Error.Wrap(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			return Error.Wrap(resp.Body.Close())
		}
	}
	return Error.New("%s did not start within %s", e.Settings.VM, timeout)
}

// Stop stops the entry processes and backend servers and waits for their end.
func (c *Cluster) Stop() {
	c.cancel()
	c.waitGroup.Wait()
}

func (c *Cluster) startEntries(ctx context.Context) error {
	var peers []configurer.Peer
	var callersAddresses []string
	for _, d := range c.Config.FailureDomains {
		for i := range c.Config.EntryVMsPerDomain {
			control, err := freeLoopbackAddress()
			if err != nil {
				return err
			}
			callers, err := freeLoopbackAddress()
			if err != nil {
				return err
			}
			callersAddresses = append(callersAddresses, callers)
			vm := identifier.VM(fmt.Sprintf("entry-%s-%d", d, i+1))
			peers = append(peers, configurer.Peer{VM: vm, FailureDomain: d, Address: control, Voter: i == 0})
		}
	}
	for i, p := range peers {
		e := &EntryProcess{Settings: c.entrySettings(p, callersAddresses[i], peers)}
		c.Entries = append(c.Entries, e)
		c.StartEntry(ctx, e)
	}
	return nil
}

func (c *Cluster) entrySettings(p configurer.Peer, callersAddress string, peers []configurer.Peer) configurer.EntrySettings {
	s := configurer.EntrySettings{
		VM: p.VM, Region: "demo", FailureDomain: p.FailureDomain, CallersAddress: callersAddress, ControlAddress: p.Address,
		Peers: peers, Timing: c.Config.Timing,
		Keys: configurer.Keys{Operator: OperatorKey, Backend: BackendKey, Peer: PeerKey},
		TLS:  configurer.TLS{Plaintext: true},
	}
	if p.Voter {
		s.DataFolder = filepath.Join(c.DataFolder, string(p.VM))
	}
	s.FillDefaults()
	return s
}

// StartEntry starts an entry process, or restarts one that was stopped.
func (c *Cluster) StartEntry(ctx context.Context, e *EntryProcess) {
	ctx, e.cancel = context.WithCancel(ctx)
	e.done = make(chan error, 1)
	now := time.Now()
	e.Server = &server.Server{
		Settings: e.Settings, Logger: log.With(c.Logger, "vm", e.Settings.VM),
		Incarnation: identifier.Incarnation(now.UnixNano()), Seed: uint64(len(e.Settings.VM)),
	}
	srv, done := e.Server, e.done
	c.waitGroup.Go(func() { done <- srv.Run(ctx) })
}

// Stop shuts down an entry process and returns the error of its server.
func (e *EntryProcess) Stop() error {
	e.cancel()
	return <-e.done
}

func (c *Cluster) startBackends(ctx context.Context) error {
	for _, d := range c.Config.FailureDomains {
		for i := range c.Config.EnginesPerDomain {
			err := c.startBackend(ctx, d, fmt.Sprintf("engine-%s-%d", d, i+1), emulator.KindEngine, c.Config.EngineProfile, i%2 == 0)
			if err != nil {
				return err
			}
		}
		for service, n := range c.Config.PlainServersPerDomain {
			for i := range n {
				err := c.startBackend(ctx, d, fmt.Sprintf("%s-%s-%d", service, d, i+1), string(service), c.Config.PlainProfile, false)
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// acceleratorsPerVM is the number of accelerators that each backend server announces.
const acceleratorsPerVM = 8

func (c *Cluster) startBackend(ctx context.Context, d identifier.FailureDomain, vm, kind string, p emulator.Profile, honoursFencing bool) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	srv := &emulator.Server{
		Description: &trefoilheadv1.BackendServer{
			VmId: vm, FailureDomain: string(d), FabricDomain: "fabric-" + string(d), Accelerators: acceleratorsPerVM,
			Kind: kind, Incarnation: uint64(time.Now().UnixNano()), HonoursFencing: honoursFencing,
			Address: "http://" + l.Addr().String(),
		},
		Profile: p, BackendKey: BackendKey, Client: &http.Client{}, Logger: c.Logger,
	}
	for _, e := range c.Entries {
		if e.Settings.FailureDomain == d {
			srv.EntryURLs = append(srv.EntryURLs, e.ControlURL())
		}
	}
	srv.Init()
	ctx, cancel := context.WithCancel(ctx)
	c.Backends = append(c.Backends, &Backend{Server: srv, FailureDomain: d, listener: l, cancel: cancel})
	c.waitGroup.Go(func() { _ = srv.Serve(ctx, l) })
	return nil
}

// Kill closes a backend server at once, without completing requests.
func (b *Backend) Kill() { b.cancel() }

// freeLoopbackAddress returns a loopback address with a port that was free a moment
// ago. Another process may take it before it is used.
func freeLoopbackAddress() (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// newTempFolder creates a temporary folder and returns it with a function that
// removes it.
func newTempFolder() (string, func(), error) {
	folder, err := os.MkdirTemp("", "trefoilhead-demo-")
	if err != nil {
		return "", nil, Error.Wrap(err)
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}
