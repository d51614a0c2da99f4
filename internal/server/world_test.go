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

var worldDomains = []identifier.FailureDomain{"a", "b", "c"}

// world is a small system on a paused clock and a network in memory: three
// failure domains with entries, engines and a booking server each.
type world struct {
	t        *testing.T
	net      *piper.Network
	folder   string
	entries  map[string]*worldEntry
	backends map[string]*worldBackend
	peers    []configurer.Peer
	client   *http.Client
	// cold is the declared limit of groups that have just started.
	cold     uint32
	requests atomic.Int64
}

type worldEntry struct {
	settings configurer.EntrySettings
	server   *Server
	stop     context.CancelFunc
	done     chan error
}

type worldBackend struct {
	server *emulator.Server
	domain identifier.FailureDomain
	stop   context.CancelFunc
}

// inWorld runs f in a world with n entries in each failure domain, once its
// groups serve.
func inWorld(t *testing.T, entries int, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, cold: 4, net: piper.New(), folder: t.TempDir(), entries: map[string]*worldEntry{}, backends: map[string]*worldBackend{},
		}
		transport := &http.Transport{DialContext: piper.Host{Network: w.net, Name: callerHost}.DialContext, DisableKeepAlives: true}
		w.client = &http.Client{Transport: transport}
		w.start(entries)
		time.Sleep(time.Second)
		defer w.end()
		w.applyAll()
		w.waitForGroups(6)
		f(w)
	})
}

func (w *world) start(entries int) {
	for _, d := range worldDomains {
		for i := range entries {
			vm := fmt.Sprintf("entry-%s-%d", d, i+1)
			w.peers = append(w.peers, configurer.Peer{VM: identifier.VM(vm), FailureDomain: d, Address: vm + ":7002", Voter: i == 0})
		}
	}
	for _, p := range w.peers {
		w.startEntry(string(p.VM))
	}
	for _, d := range worldDomains {
		for i := range 5 {
			w.startBackend(fmt.Sprintf("engine-%s-%d", d, i+1), d, emulator.KindEngine)
		}
		w.startBackend(fmt.Sprintf("booking-%s", d), d, "booking")
	}
}

func (w *world) startEntry(vm string) {
	var self configurer.Peer
	for _, p := range w.peers {
		if string(p.VM) == vm {
			self = p
		}
	}
	set := configurer.EntrySettings{
		VM: self.VM, Region: "test", FailureDomain: self.FailureDomain, Peers: w.peers,
		CallersAddress: vm + ":7001", ControlAddress: self.Address, TLS: configurer.TLS{Plaintext: true},
		Keys: configurer.Keys{Operator: operatorKey, Backend: backendKey, Peer: peerKey},
	}
	set.Timing.FirstTokenTimeout = 10 * time.Second
	if self.Voter {
		set.DataFolder = filepath.Join(w.folder, vm)
	}
	set.FillDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &worldEntry{settings: set, stop: stop, done: make(chan error, 1)}
	e.server = &Server{
		Settings: set, Logger: testLogger(vm), Incarnation: identifier.Incarnation(time.Now().UnixNano()),
		Seed: uint64(len(w.entries)), Network: piper.Host{Network: w.net, Name: vm},
	}
	w.entries[vm] = e
	go func() {
		defer close(e.done)
		e.done <- e.server.Run(ctx)
	}()
}

func (w *world) startBackend(vm string, d identifier.FailureDomain, kind string) {
	address := vm + ":9000"
	network := piper.Host{Network: w.net, Name: vm}
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
	w.backends[vm] = &worldBackend{server: s, domain: d, stop: stop}
	go func() { _ = s.Serve(ctx, l) }()
}

func (w *world) end() {
	for _, b := range w.backends {
		b.stop()
	}
	for _, e := range w.entries {
		w.stopHard(e)
	}
	w.client.CloseIdleConnections()
	time.Sleep(3 * time.Minute)
}

// stopHard ends an entry without the graceful part of its shutdown.
func (w *world) stopHard(e *worldEntry) {
	w.net.Kill(string(e.settings.VM))
	e.server.Settings.Timing.ShutdownTimeout = time.Millisecond
	e.stop()
	if err := <-e.done; err != nil {
		w.t.Error(err)
	}
}

// kill ends an entry process at once.
func (w *world) kill(vm string) { w.stopHard(w.entries[vm]) }

// cutDomain cuts a failure domain off from the others, or ends the cut.
func (w *world) cutDomain(d identifier.FailureDomain, cut bool) {
	for a := range w.hosts(func(x identifier.FailureDomain) bool { return x == d }) {
		for b := range w.hosts(func(x identifier.FailureDomain) bool { return x != d }) {
			w.net.SetPartitioned(a, b, cut)
		}
	}
}

func (w *world) hosts(in func(identifier.FailureDomain) bool) map[string]bool {
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

func (w *world) operator(vm string) trefoilheadv1connect.OperatorClient {
	return dialer.NewOperatorClient(w.client, "http://"+vm+":7002", operatorKey)
}

func (w *world) applyAll() { w.declare("1") }

// declare applies the world's declarations with a version of the chat model.
func (w *world) declare(version string) {
	d := declarer.Declarations{
		Services: []declarer.Service{
			{
				ID: "chat", Kind: declarer.ModelService, Model: "m", Version: version, VMsPerReplica: 2, AcceleratorsPerVM: 8,
				Replicas:    map[identifier.FailureDomain]int{"a": 2, "b": 2, "c": 2},
				Concurrency: 16, ColdConcurrency: w.cold,
			},
			{ID: "booking", Kind: declarer.PlainService, Concurrency: 8, ColdConcurrency: 8},
		},
		Teams: []declarer.Team{
			{ID: "team", KeySHA256: hashOf(teamKey), Weight: 1}, {ID: "small", KeySHA256: hashOf(smallKey), Weight: 1},
		},
	}
	have, err := w.operator("entry-a-1").Get(context.Background(), connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		w.t.Fatal(err)
	}
	req := &trefoilheadv1.ApplyRequest{RequestId: fmt.Sprintf("version-%s-%d", version, w.cold), ExpectedRevision: have.Msg.GetRevision()}
	for _, o := range d.Objects() {
		req.Put = append(req.Put, &trefoilheadv1.Object{Kind: o.Kind, Id: o.ID, Body: o.Body})
	}
	if _, err := w.operator("entry-a-1").Apply(context.Background(), connect.NewRequest(req)); err != nil {
		w.t.Fatal(err)
	}
}

// groups returns how many groups of engines serve, as their domains see it.
func (w *world) groups() int {
	n := 0
	for _, d := range worldDomains {
		n += w.groupsOf(d)
	}
	return n
}

func (w *world) groupsOf(d identifier.FailureDomain) int {
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

func (w *world) waitForGroups(n int) {
	w.t.Helper()
	w.eventually(2*time.Minute, fmt.Sprintf("%d groups serve", n), func() bool { return w.groups() == n })
}

// eventually waits on the paused clock until ok holds.
func (w *world) eventually(bound time.Duration, what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("not within %s: %s", bound, what)
}

// answer is what a caller got.
type answer struct {
	mark     string
	status   int
	complete bool
	tokens   int
	body     string
	refusal  *refuser.Refusal
	err      error
}

const worldTokens = 10

// chat sends a streamed chat completion through an entry.
func (w *world) chat(vm string) answer {
	mark := fmt.Sprintf("m%d", w.requests.Add(1))
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, worldTokens)
	return w.send(vm, "/v1/chat/completions", body, mark, "")
}

// book sends a booking under the key k.
func (w *world) book(vm, mark string) answer {
	return w.send(vm, "/services/booking/bookings", "worker 17", mark, "k")
}

func (w *world) send(vm, path, body, mark, key string) answer {
	a := answer{mark: mark}
	req, err := http.NewRequest(http.MethodPost, "http://"+vm+":7001"+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set(emulator.HeaderRequestMark, mark)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(data), err
	a.refusal = refuser.Parse(resp.StatusCode, data)
	a.tokens = strings.Count(a.body, "."+mark+" ")
	a.complete = err == nil && a.status < 300 && (!strings.HasPrefix(path, "/v1") || hasEndMark(data))
	return a
}

func hasEndMark(data []byte) bool {
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if lines.Text() == "data: [DONE]" {
			return true
		}
	}
	return false
}

func (a answer) String() string {
	b, _ := json.Marshal(a.refusal)
	return fmt.Sprintf("%s: status %d, complete %t, %d tokens, refusal %s, error %v", a.mark, a.status, a.complete, a.tokens, b, a.err)
}

// runs returns how often requests under a mark ran at any backend server.
func (w *world) runs(mark string) int {
	n := 0
	for _, b := range w.backends {
		n += b.server.RunCounts()[mark]
	}
	return n
}

// executed returns how many requests ran in a failure domain.
func (w *world) executed(d identifier.FailureDomain) int {
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

// checkWhole requires a complete answer with every token of its own request.
func (w *world) checkWhole(a answer) {
	w.t.Helper()
	if !a.complete || a.tokens != worldTokens {
		w.t.Errorf("the answer is not whole: %s", a)
	}
}

// checkTruthful requires that a refusal's statement agrees with what ran.
func (w *world) checkTruthful(a answer) {
	w.t.Helper()
	if a.refusal != nil && a.refusal.Statement == refuser.NotRun && w.runs(a.mark) > 0 {
		w.t.Errorf("a refusal says not_run, but the request ran: %s", a)
	}
}

// testLogger logs to standard error when TREFOILHEAD_TEST_LOG is set.
func testLogger(vm string) log.Logger {
	if os.Getenv("TREFOILHEAD_TEST_LOG") == "" {
		return log.NewNopLogger()
	}
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "time", log.DefaultTimestampUTC, "vm", vm)
}
