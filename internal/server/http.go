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
	s.callers = newHTTPServer(callers)

	control := http.NewServeMux()
	control.Handle(linker.Path, s.linker)
	control.HandleFunc("POST "+relayer.PeerRequestPath, s.relayer.ServePeerRequest)
	path, handler := trefoilheadv1connect.NewOperatorHandler(operator{s})
	control.Handle(path, s.guard(s.Settings.Keys.Operator, handler))
	path, handler = trefoilheadv1connect.NewRegistryHandler(registry{s})
	control.Handle(path, s.guard(s.Settings.Keys.Backend, handler))
	control.Handle("GET /dump", s.guard(s.Settings.Keys.Operator, http.HandlerFunc(s.serveDump)))
	control.HandleFunc("GET /metrics", s.serveMetrics)
	s.control = newHTTPServer(control)
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
}

// guard lets only holders of a key through.
func (s *Server) guard(key string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(got), []byte(key)) != 1 {
			refuser.New(refuser.Unauthorized, refuser.NotRun, "the key is wrong for this call").Write(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// notReady returns why this entry takes no new work from callers, or nil.
func (s *Server) notReady() *refuser.Refusal {
	switch {
	case s.leaving.Load():
		return refuser.New(refuser.Leaving, refuser.NotRun, "this entry is leaving").WithRetryAfter(time.Second)
	case !s.caughtUp():
		return refuser.New(refuser.NotReady, refuser.NotRun, "this entry has no configuration yet").WithRetryAfter(time.Second)
	}
	return nil
}

// serveReady tells the platform's balancer whether to send callers here.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	why := s.notReady()
	switch {
	case why != nil:
	case s.locator.IsEntryVMDrained():
		why = refuser.New(refuser.Leaving, refuser.NotRun, "operators have taken this entry out")
	case s.locator.IsDomainEvacuated(s.Settings.FailureDomain):
		why = refuser.New(refuser.Leaving, refuser.NotRun, "operators have taken this failure domain out")
	}
	if why != nil {
		why.Write(w)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// registry implements trefoilheadv1connect.RegistryHandler.
type registry struct{ s *Server }

// Announce takes a backend server's announcement.
func (r registry) Announce(_ context.Context, req *connect.Request[trefoilheadv1.AnnounceRequest]) (*connect.Response[trefoilheadv1.AnnounceResponse], error) {
	s := r.s
	server := req.Msg.GetServer()
	if why := checkServer(server, s.Settings.FailureDomain); why != "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.New("%s", why))
	}
	if s.leaving.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, Error.New("this entry is leaving"))
	}
	s.heard.HandleAnnouncement(time.Now(), req.Msg)
	interval := s.Settings.Timing.HeartbeatInterval
	out := &trefoilheadv1.AnnounceResponse{IntervalMs: uint32(interval.Milliseconds())}
	out.Entries = s.announceTo(identifier.VM(server.GetVmId()))
	return connect.NewResponse(out), nil
}

func checkServer(b *trefoilheadv1.BackendServer, d identifier.FailureDomain) string {
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

// announceTo lists the entries that a backend server should announce to: the
// owner of its group first, which then hears of a silent member by itself.
func (s *Server) announceTo(vm identifier.VM) []string {
	owner := s.locator.OwnerOf(vm)
	if owner == "" {
		owner = s.Settings.VM
	}
	scheme := s.tls.scheme("http") + "://"
	var first, rest []string
	for _, p := range s.Settings.Peers {
		switch {
		case p.FailureDomain != s.Settings.FailureDomain:
		case p.VM == owner:
			first = append(first, scheme+p.Address)
		default:
			rest = append(rest, scheme+p.Address)
		}
	}
	return append(first, rest...)
}

// dump is everything that the process knows, without secrets.
type dump struct {
	VM            identifier.VM            `json:"vm_id"`
	FailureDomain identifier.FailureDomain `json:"failure_domain"`
	Incarnation   identifier.Incarnation   `json:"incarnation"`
	Settings      any                      `json:"settings"`
	Revision      identifier.Revision      `json:"revision"`
	CutOff        bool                     `json:"cut_off"`
	QuorumAge     string                   `json:"quorum_age"`
	Authority     identifier.VM            `json:"placement_authority"`
	IsAuthority   bool                     `json:"is_placement_authority"`
	Epoch         identifier.Epoch         `json:"placement_epoch"`
	Leaving       bool                     `json:"leaving"`
	Configuration any                      `json:"configuration"`
	Logs          any                      `json:"logs"`
	Claims        int                      `json:"claims"`
	Backends      any                      `json:"backend_servers"`
	View          any                      `json:"placement_view"`
	ViewAge       string                   `json:"placement_view_age"`
	Digests       any                      `json:"digests"`
	Gates         any                      `json:"gates"`
	Requests      any                      `json:"requests"`
	Links         any                      `json:"links"`
}

// Dump returns the state of the process as indented JSON.
func (s *Server) Dump() []byte {
	now := time.Now()
	view, age := s.locator.View(now)
	epoch, held := s.lease.holds(now)
	logs := map[string]any{}
	for name, d := range s.logs {
		logs[name] = d.Status()
	}
	b, err := json.MarshalIndent(dump{
		VM: s.Settings.VM, FailureDomain: s.Settings.FailureDomain, Incarnation: s.Incarnation,
		Settings: s.Settings, Revision: s.config.Revision(), CutOff: s.cutOff(),
		QuorumAge: s.quorumAge(now).Round(time.Millisecond).String(), Authority: s.lease.knownHolder(),
		IsAuthority: held, Epoch: epoch, Leaving: s.leaving.Load(), Configuration: s.config.View(),
		Logs: logs, Claims: s.claims.Count(), Backends: s.heard.Servers(), View: view,
		ViewAge: age.Round(time.Millisecond).String(), Digests: s.locator.DigestsSince(now.Add(-s.locator.MaxDigestAge)),
		Gates: s.relayer.Owner.Status(), Requests: s.relayer.Stats(), Links: s.linker.Counts(),
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

// serveMetrics writes the counts in the text exposition format.
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
	st, links := s.relayer.Stats(), s.linker.Counts()
	set := func(name string, v uint64) { metrics.GetOrRegisterGauge(name, s.metrics).Update(int64(v)) }
	set("requests_total", st.Requests)
	set("requests_complete_total", st.Completed)
	set("requests_cut_total", st.Incomplete)
	set("requests_retried_total", st.Retries)
	set("requests_spilled_total", st.SentRemotely)
	set("requests_replayed_total", st.Replayed)
	set("streams_open", uint64(st.OpenResponses))
	set("config_revision", uint64(s.config.Revision()))
	set("link_messages_out_total", links.MessagesOut)
	set("link_bytes_out_total", links.BytesOut)
	set("link_bytes_in_total", links.BytesIn)
	for code, n := range st.Refusals {
		set("refused_"+string(code)+"_total", n)
	}
}
