package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"trefoilhead.org/trefoilhead/internal/piper"

	"connectrpc.com/connect"
	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/dialer"
	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

const (
	operatorKey = "operator-key-0123456789"
	backendKey  = "backend-key-0123456789"
	peerKey     = "peer-key-0123456789"
	teamKey     = "team-key"
	smallKey    = "small-key"
	callerHost  = "caller"
)

var testDomains = []identifier.FailureDomain{"a", "b", "c"}

// testCluster is a cluster in one process, on the fake clock of testing/synctest
// and an in-memory network: three failure domains, each with entries, five
// engines and a booking server.
type testCluster struct {
	t          *testing.T
	network    *piper.Network
	dataFolder string
	entries    map[string]*testEntry
	backends   map[string]*testBackend
	peers      []configurer.Peer
	client     *http.Client
	// coldConcurrency is the declared concurrency limit of a group that has just
	// started.
	coldConcurrency uint32
	requestCount    atomic.Int64
}

type testEntry struct {
	settings configurer.EntrySettings
	server   *Server
	stop     context.CancelFunc
	done     chan error
}

type testBackend struct {
	server *emulator.Server
	domain identifier.FailureDomain
	stop   context.CancelFunc
}

// withCluster starts a cluster with the given number of entries in each failure
// domain, and runs f as soon as its six groups of engines serve.
func withCluster(t *testing.T, entries int, f func(w *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &testCluster{
			t: t, coldConcurrency: 4, network: piper.New(), dataFolder: t.TempDir(), entries: map[string]*testEntry{}, backends: map[string]*testBackend{},
		}
		transport := &http.Transport{DialContext: piper.Host{Network: w.network, Name: callerHost}.DialContext, DisableKeepAlives: true}
		w.client = &http.Client{Transport: transport}
		w.start(entries)
		time.Sleep(time.Second)
		defer w.stopAll()
		w.declareDefaults()
		w.waitForGroups(6)
		f(w)
	})
}

func (w *testCluster) start(entries int) {
	for _, d := range testDomains {
		for i := range entries {
			vm := fmt.Sprintf("entry-%s-%d", d, i+1)
			w.peers = append(w.peers, configurer.Peer{VM: identifier.VM(vm), FailureDomain: d, Address: vm + ":7002", Voter: i == 0})
		}
	}
	for _, p := range w.peers {
		w.startEntry(string(p.VM))
	}
	for _, d := range testDomains {
		for i := range 5 {
			w.startBackend(fmt.Sprintf("engine-%s-%d", d, i+1), d, emulator.KindEngine)
		}
		w.startBackend(fmt.Sprintf("booking-%s", d), d, "booking")
	}
}

// elapsedSinceStart returns a clock that follows the one of the test.
func elapsedSinceStart() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func (w *testCluster) startEntry(vm string) {
	var self configurer.Peer
	for _, p := range w.peers {
		if string(p.VM) == vm {
			self = p
		}
	}
	cfg := configurer.EntrySettings{
		VM: self.VM, Region: "test", FailureDomain: self.FailureDomain, Peers: w.peers,
		CallersAddress: vm + ":7001", ControlAddress: self.Address, TLS: configurer.TLS{Plaintext: true},
		Keys: configurer.Keys{Operator: operatorKey, Backend: backendKey, Peer: peerKey},
	}
	cfg.Timing.FirstTokenTimeout = 10 * time.Second
	if self.Voter {
		cfg.DataFolder = filepath.Join(w.dataFolder, vm)
	}
	cfg.FillDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &testEntry{settings: cfg, stop: stop, done: make(chan error, 1)}
	e.server = &Server{
		Settings: cfg, Logger: testLogger(vm), Incarnation: identifier.Incarnation(time.Now().UnixNano()),
		Seed: uint64(len(w.entries)), Network: piper.Host{Network: w.network, Name: vm}, Elapsed: elapsedSinceStart(),
	}
	w.entries[vm] = e
	go func() {
		defer close(e.done)
		e.done <- e.server.Run(ctx)
	}()
}

func (w *testCluster) startBackend(vm string, d identifier.FailureDomain, kind string) {
	address := vm + ":9000"
	network := piper.Host{Network: w.network, Name: vm}
	transport := &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true}
	s := &emulator.Server{
		Description: &trefoilheadv1.BackendServer{
			VmId: vm, FailureDomain: string(d), FabricDomain: "fabric-" + string(d), Accelerators: 8, Kind: kind,
			Incarnation: uint64(time.Now().UnixNano()), HonoursFencing: strings.HasSuffix(vm, "1"), Address: "http://" + address,
		},
		Profile: emulator.Profile{
			LoadTime: 20 * time.Second, TimeToFirstToken: 100 * time.Millisecond, TimeBetweenTokens: 20 * time.Millisecond,
			WarmConcurrency: 16, ColdConcurrency: 4, WarmUpTime: 10 * time.Second,
		},
		BackendKey: backendKey, Client: &http.Client{Transport: transport}, Logger: log.NewNopLogger(),
	}
	for _, p := range w.peers {
		if p.FailureDomain == d {
			s.EntryURLs = append(s.EntryURLs, "http://"+p.Address)
		}
	}
	s.Init()
	l, err := network.Listen(context.Background(), "tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.backends[vm] = &testBackend{server: s, domain: d, stop: stop}
	go func() { _ = s.Serve(ctx, l) }()
}

func (w *testCluster) stopAll() {
	for _, b := range w.backends {
		b.stop()
	}
	for _, e := range w.entries {
		w.stopAbruptly(e)
	}
	w.client.CloseIdleConnections()
	time.Sleep(3 * time.Minute)
}

// stopAbruptly disconnects an entry from the network and stops it without a
// graceful shutdown.
func (w *testCluster) stopAbruptly(e *testEntry) {
	w.network.Kill(string(e.settings.VM))
	e.server.Settings.Timing.ShutdownTimeout = time.Millisecond
	e.stop()
	if err := <-e.done; err != nil {
		w.t.Error(err)
	}
}

// killEntry stops an entry abruptly.
func (w *testCluster) killEntry(vm string) { w.stopAbruptly(w.entries[vm]) }

// partitionDomain disconnects a failure domain from the other ones, or connects
// it again if disconnected is false.
func (w *testCluster) partitionDomain(d identifier.FailureDomain, disconnected bool) {
	for a := range w.hosts(func(x identifier.FailureDomain) bool { return x == d }) {
		for b := range w.hosts(func(x identifier.FailureDomain) bool { return x != d }) {
			w.network.SetPartitioned(a, b, disconnected)
		}
	}
}

func (w *testCluster) hosts(in func(identifier.FailureDomain) bool) map[string]bool {
	out := map[string]bool{}
	for vm, e := range w.entries {
		if in(e.settings.FailureDomain) {
			out[vm] = true
		}
	}
	for vm, b := range w.backends {
		if in(b.domain) {
			out[vm] = true
		}
	}
	return out
}

func (w *testCluster) operatorClient(vm string) trefoilheadv1connect.OperatorClient {
	return dialer.NewOperatorClient(w.client, "http://"+vm+":7002", operatorKey)
}

func (w *testCluster) declareDefaults() { w.declare("1") }

// declare applies the cluster's declarations with the given version of the chat
// model.
func (w *testCluster) declare(version string) {
	d := declarer.Declarations{
		Services: []declarer.Service{
			{
				ID: "chat", Kind: declarer.ModelService, Model: "m", Version: version, VMsPerReplica: 2, AcceleratorsPerVM: 8,
				Replicas:    map[identifier.FailureDomain]int{"a": 2, "b": 2, "c": 2},
				Concurrency: 16, ColdConcurrency: w.coldConcurrency,
			},
			{ID: "booking", Kind: declarer.PlainService, Concurrency: 8, ColdConcurrency: 8},
		},
		Teams: []declarer.Team{
			{ID: "team", KeySHA256: hashOf(teamKey), Weight: 1}, {ID: "small", KeySHA256: hashOf(smallKey), Weight: 1},
		},
	}
	have, err := w.operatorClient("entry-a-1").Get(context.Background(), connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		w.t.Fatal(err)
	}
	req := &trefoilheadv1.ApplyRequest{RequestId: fmt.Sprintf("version-%s-%d", version, w.coldConcurrency), ExpectedRevision: have.Msg.GetRevision()}
	for _, o := range d.Objects() {
		req.Put = append(req.Put, &trefoilheadv1.Object{Kind: o.Kind, Id: o.ID, Body: o.Body})
	}
	if _, err := w.operatorClient("entry-a-1").Apply(context.Background(), connect.NewRequest(req)); err != nil {
		w.t.Fatal(err)
	}
}

// servingGroups returns the number of chat groups that serve, according to the
// placement views of their failure domains.
func (w *testCluster) servingGroups() int {
	n := 0
	for _, d := range testDomains {
		n += w.servingGroupsIn(d)
	}
	return n
}

func (w *testCluster) servingGroupsIn(d identifier.FailureDomain) int {
	n := 0
	for _, e := range w.entries {
		if e.settings.FailureDomain != d || !strings.HasSuffix(string(e.settings.VM), "-1") {
			continue
		}
		view, _ := e.server.locator.View(time.Now())
		for _, g := range view.GetGroups() {
			if g.GetServing() && g.GetService() == "chat" {
				n++
			}
		}
	}
	return n
}

func (w *testCluster) waitForGroups(n int) {
	w.t.Helper()
	w.eventually(2*time.Minute, fmt.Sprintf("%d groups serve", n), func() bool { return w.servingGroups() == n })
}

// eventually polls ok until it returns true, and fails the test if that takes
// longer than bound on the fake clock.
func (w *testCluster) eventually(bound time.Duration, what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("not reached within %s: %s", bound, what)
}

// response is the result of a caller's request.
type response struct {
	mark     string
	status   int
	complete bool
	tokens   int
	body     string
	refusal  *refuser.Refusal
	err      error
}

const chatTokens = 10

// sendChat requests a streamed chat completion through an entry.
func (w *testCluster) sendChat(vm string) response {
	mark := fmt.Sprintf("m%d", w.requestCount.Add(1))
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, chatTokens)
	return w.send(vm, "/v1/chat/completions", body, mark, "")
}

// sendBooking sends a booking with the idempotency key k.
func (w *testCluster) sendBooking(vm, mark string) response {
	return w.send(vm, "/services/booking/bookings", "worker 17", mark, "k")
}

func (w *testCluster) send(vm, path, body, mark, key string) response {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return w.sendWithHeader(vm, path, body, mark, header)
}

// sendWithHeader sends a request with some further header fields.
func (w *testCluster) sendWithHeader(vm, path, body, mark string, header http.Header) response {
	r := response{mark: mark}
	req, err := http.NewRequest(http.MethodPost, "http://"+vm+":7001"+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set(emulator.HeaderRequestMark, mark)
	resp, err := w.client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err = resp.StatusCode, string(data), err
	r.refusal = refuser.Parse(resp.StatusCode, data)
	r.tokens = strings.Count(r.body, "."+mark+" ")
	r.complete = err == nil && r.status < 300 && (!strings.HasPrefix(path, "/v1") || hasDoneEvent(data))
	return r
}

func hasDoneEvent(data []byte) bool {
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if lines.Text() == "data: [DONE]" {
			return true
		}
	}
	return false
}

func (r response) String() string {
	b, _ := json.Marshal(r.refusal)
	return fmt.Sprintf("%s: status %d, complete %t, %d tokens, refusal %s, error %v", r.mark, r.status, r.complete, r.tokens, b, r.err)
}

// runCount returns how many times requests with the given mark ran at any backend
// server.
func (w *testCluster) runCount(mark string) int {
	n := 0
	for _, b := range w.backends {
		n += b.server.RunCounts()[mark]
	}
	return n
}

// runCountIn returns how many requests ran at the backend servers of a failure
// domain.
func (w *testCluster) runCountIn(d identifier.FailureDomain) int {
	n := 0
	for _, b := range w.backends {
		if b.domain == d {
			for _, count := range b.server.RunCounts() {
				n += count
			}
		}
	}
	return n
}

// checkComplete requires a complete response with all tokens of its own request.
func (w *testCluster) checkComplete(r response) {
	w.t.Helper()
	if !r.complete || r.tokens != chatTokens {
		w.t.Errorf("the response is incomplete: %s", r)
	}
}

// checkStatement requires that a request did not run if its refusal states
// not_run.
func (w *testCluster) checkStatement(r response) {
	w.t.Helper()
	if r.refusal != nil && r.refusal.Statement == refuser.NotRun && w.runCount(r.mark) > 0 {
		w.t.Errorf("the refusal states not_run, but the request ran: %s", r)
	}
}

// testLogger logs to standard error when TREFOILHEAD_TEST_LOG is set.
func testLogger(vm string) log.Logger {
	if os.Getenv("TREFOILHEAD_TEST_LOG") == "" {
		return log.NewNopLogger()
	}
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "time", log.DefaultTimestampUTC, "vm", vm)
}
