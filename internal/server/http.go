package server

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/acceptor"
	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/relayer"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

func (s *Server) initHTTP() {
	callers := http.NewServeMux()
	callers.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	callers.HandleFunc("GET /readyz", s.serveReady)
	s.relayer.RegisterHandlers(callers)
	s.callerServer = s.newHTTPServer("callers", callerFraction, &s.memory, callers)

	control := http.NewServeMux()
	s.controlServer = s.newHTTPServer("control", 1-callerFraction, &s.controlMemory, control)
	withKey := func(key string, h http.Handler) http.Handler {
		return s.requireKey(key, s.controlServer.WithWholeBodies(h, maxCallBytes))
	}
	control.Handle(linker.Path, s.linker)
	control.HandleFunc("POST "+relayer.PeerRequestPath, s.relayer.ServePeerRequest)
	path, handler := trefoilheadv1connect.NewOperatorHandler(operatorHandler{s})
	control.Handle(path, withKey(s.Settings.Keys.Operator, handler))
	path, handler = trefoilheadv1connect.NewRegistryHandler(registryHandler{s})
	control.Handle(path, withKey(s.Settings.Keys.Backend, handler))
	control.Handle("GET /dump", s.requireKey(s.Settings.Keys.Operator, http.HandlerFunc(s.serveDump)))
	control.HandleFunc("GET /metrics", s.serveMetrics)
}

// newHTTPServer returns the server for one listener, which may use a fraction of the connections of clients.
func (s *Server) newHTTPServer(name string, fraction float64, memory *budgeter.Budget, h http.Handler) *acceptor.Server {
	server := &acceptor.Server{
		Handler: h, Name: name, Memory: memory, Logger: s.Logger, Metrics: s.metrics, RefusalBody: refusalBody, TLS: s.tls.serverConfig(),
		MaxConnections: int(fraction * float64(s.resources().ClientConnections(s.tls != nil))),
		Limits: func() acceptor.Limits {
			return acceptor.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
		},
	}
	server.Init()
	return server
}

// resources returns what this process may use.
func (s *Server) resources() acceptor.Resources {
	return acceptor.Resources{MemoryBytes: int64(s.Settings.Limits.MemoryMB) << 20, Descriptors: s.Settings.Limits.MaxDescriptors}
}

// refusalBody returns the body of a refusal before a request has been read. Its head may name an idempotency key under
// which an earlier attempt has run.
func refusalBody(_ int, reason string) (mediaType string, body []byte) {
	refusal := refuser.New(refuser.MemoryShort, refuser.MayHaveRun, "the requests of all callers take too much memory")
	switch reason {
	case acceptor.ReasonHeadTooLarge:
		refusal = refuser.New(refuser.HeadTooLarge, refuser.NotRun, "the head of the request is too large")
	case acceptor.ReasonHeadTooSlow:
		refusal = refuser.New(refuser.TooSlow, refuser.MayHaveRun, "the head of the request did not arrive in time")
	}
	return "application/json", refusal.JSON()
}

// requireKey rejects requests whose bearer token is not key.
func (s *Server) requireKey(key string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(key)) != 1 {
			refuser.New(refuser.Unauthorized, refuser.NotRun, "the key is wrong for this call").Write(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// checkReady returns nil, or the reason why this entry accepts no new requests
// from callers.
func (s *Server) checkReady() *refuser.Refusal {
	switch {
	case s.shuttingDown.Load():
		return refuser.New(refuser.Leaving, refuser.NotRun, "this entry is leaving").WithRetryAfter(time.Second)
	case !s.isConfigReady():
		return refuser.New(refuser.NotReady, refuser.NotRun, "this entry has no configuration yet").WithRetryAfter(time.Second)
	}
	return nil
}

// serveReady serves the readiness check of the platform's load balancer.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	refusal := s.checkReady()
	switch {
	case refusal != nil:
	case s.locator.IsEntryVMDrained():
		refusal = refuser.New(refuser.Leaving, refuser.NotRun, "operators have taken this entry out")
	case s.locator.IsDomainEvacuated(s.Settings.FailureDomain):
		refusal = refuser.New(refuser.Leaving, refuser.NotRun, "operators have taken this failure domain out")
	}
	if refusal != nil {
		refusal.Write(w)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// registryHandler implements trefoilheadv1connect.RegistryHandler.
type registryHandler struct{ s *Server }

// Announce handles a backend server's announcement.
func (r registryHandler) Announce(_ context.Context, req *connect.Request[trefoilheadv1.AnnounceRequest]) (*connect.Response[trefoilheadv1.AnnounceResponse], error) {
	s := r.s
	server := req.Msg.GetServer()
	if problem := validateServer(server, s.Settings.FailureDomain); problem != "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.New("%s", problem))
	}
	if s.shuttingDown.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, Error.New("this entry is leaving"))
	}
	s.registrar.HandleAnnouncement(time.Now(), req.Msg)
	interval := s.Settings.Timing.HeartbeatInterval
	out := &trefoilheadv1.AnnounceResponse{IntervalMs: uint32(interval.Milliseconds())}
	out.Entries = s.announceURLs(identifier.VM(server.GetVmId()))
	return connect.NewResponse(out), nil
}

func validateServer(b *trefoilheadv1.BackendServer, d identifier.FailureDomain) string {
	switch {
	case !identifier.IsValid(b.GetVmId()):
		return "vm_id is not an id"
	case b.GetFailureDomain() != string(d):
		return "failure_domain is not that of this entry"
	case b.GetKind() == "":
		return "kind is empty"
	case b.GetIncarnation() == 0:
		return "incarnation is 0"
	case !strings.HasPrefix(b.GetAddress(), "http://") && !strings.HasPrefix(b.GetAddress(), "https://"):
		return "address is not a URL"
	}
	return ""
}

// announceURLs lists the URLs of the entries that a backend server should
// announce itself to. The owner of its group, or else this entry, comes
// first, so that an owner itself notices when a member of its group is lost.
func (s *Server) announceURLs(vm identifier.VM) []string {
	owner := s.locator.OwnerOf(vm)
	if owner == "" {
		owner = s.Settings.VM
	}
	scheme := s.tls.scheme("http") + "://"
	var owners, others []string
	for _, p := range s.Settings.Peers {
		switch {
		case p.FailureDomain != s.Settings.FailureDomain:
		case p.VM == owner:
			owners = append(owners, scheme+p.Address)
		default:
			others = append(others, scheme+p.Address)
		}
	}
	return append(owners, others...)
}

// stateDump is the state of the process as shown to operators, without secrets.
type stateDump struct {
	VM                   identifier.VM            `json:"vm_id"`
	FailureDomain        identifier.FailureDomain `json:"failure_domain"`
	Incarnation          identifier.Incarnation   `json:"incarnation"`
	Settings             any                      `json:"settings"`
	Revision             identifier.Revision      `json:"revision"`
	CutOff               bool                     `json:"cut_off"`
	QuorumAge            string                   `json:"quorum_age"`
	PlacementAuthority   identifier.VM            `json:"placement_authority"`
	IsPlacementAuthority bool                     `json:"is_placement_authority"`
	PlacementEpoch       identifier.Epoch         `json:"placement_epoch"`
	Leaving              bool                     `json:"leaving"`
	Configuration        any                      `json:"configuration"`
	Logs                 any                      `json:"logs"`
	ClaimCount           int                      `json:"claims"`
	BackendServers       any                      `json:"backend_servers"`
	PlacementView        any                      `json:"placement_view"`
	PlacementViewAge     string                   `json:"placement_view_age"`
	Digests              any                      `json:"digests"`
	GroupStatus          any                      `json:"gates"`
	Requests             any                      `json:"requests"`
	RetryBudgets         any                      `json:"retry_budgets"`
	Links                any                      `json:"links"`
}

// Dump returns the state of the process as indented JSON.
func (s *Server) Dump() []byte {
	now := time.Now()
	view, age := s.locator.View(now)
	epoch, held := s.lease.holdsLease(now)
	logs := map[string]any{}
	for name, d := range s.logs {
		logs[name] = d.Status()
	}
	b, err := json.MarshalIndent(stateDump{
		VM: s.Settings.VM, FailureDomain: s.Settings.FailureDomain, Incarnation: s.Incarnation,
		Settings: s.Settings, Revision: s.config.Revision(), CutOff: s.isCutOff(),
		QuorumAge: s.quorumAge(now).Round(time.Millisecond).String(), PlacementAuthority: s.lease.knownHolder(),
		IsPlacementAuthority: held, PlacementEpoch: epoch, Leaving: s.shuttingDown.Load(), Configuration: s.config.View(),
		Logs: logs, ClaimCount: s.claims.Count(), BackendServers: s.registrar.Servers(), PlacementView: view,
		PlacementViewAge: age.Round(time.Millisecond).String(), Digests: s.locator.DigestsSince(now.Add(-s.locator.MaxDigestAge)),
		GroupStatus: s.relayer.Owner.Status(), Requests: s.relayer.Stats(), RetryBudgets: s.relayer.RetryUsage(), Links: s.linker.Counts(),
	}, "", "  ")
	if err != nil {
		return fmt.Appendf(nil, "the state cannot be encoded: %v", err)
	}
	return b
}

func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.Dump())
}

// serveMetrics writes the gauges in the Prometheus text exposition format.
func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.updateMetrics()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.metrics.Each(func(name string, m any) {
		if g, ok := m.(metrics.Gauge); ok {
			_, _ = fmt.Fprintf(w, "# TYPE trefoilhead_%s gauge\ntrefoilhead_%s %d\n", name, name, g.Snapshot().Value())
		}
	})
}

func (s *Server) updateMetrics() {
	stats, links := s.relayer.Stats(), s.linker.Counts()
	set := func(name string, v uint64) { metrics.GetOrRegisterGauge(name, s.metrics).Update(int64(v)) }
	set("requests_total", stats.Requests)
	set("requests_complete_total", stats.Completed)
	set("requests_cut_total", stats.Incomplete)
	set("requests_retried_total", stats.Retries)
	set("retries_denied_total", stats.RetriesDenied)
	set("requests_spilled_total", stats.SentRemotely)
	set("requests_replayed_total", stats.Replayed)
	set("isolations", uint64(s.relayer.IsolationCount()))
	set("crash_evidence", uint64(s.relayer.CrashCount()))
	set("server_limits", uint64(s.relayer.Owner.LimitCount()))
	set("servers_withheld", uint64(s.relayer.Owner.WithheldCount()))
	set("streams_open", uint64(stats.OpenResponses))
	set("config_revision", uint64(s.config.Revision()))
	set("link_messages_out_total", links.MessagesOut)
	set("link_bytes_out_total", links.BytesOut)
	set("link_bytes_in_total", links.BytesIn)
	for code, n := range stats.Refusals {
		set("refused_"+string(code)+"_total", n)
	}
}
