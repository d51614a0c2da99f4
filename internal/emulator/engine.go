// Package emulator stands in for the backend servers that trefoilhead serves:
// model engines that form groups, and plain services.
//
// A stand-in speaks the published protocols over real sockets and has switches
// for the faults that real servers show. It imitates timing and limits only; it
// computes nothing.
package emulator

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

// KindEngine is the announced kind of a model engine.
const KindEngine = "engine"

// Profile is how fast a stand-in is and how much it bears.
type Profile struct {
	// LoadTime is the time to load a model's weights.
	LoadTime time.Duration
	// TimeToFirstToken is the time to the first token of an unloaded engine.
	TimeToFirstToken time.Duration
	// TimeBetweenTokens is the time between two tokens.
	TimeBetweenTokens time.Duration
	// WarmConcurrency and Cold are the numbers of requests that it bears at once.
	WarmConcurrency uint32
	ColdConcurrency uint32
	// WarmUpTime is the time after a start until it bears Warm requests.
	WarmUpTime time.Duration
}

// Faults are the switches of a stand-in. The zero value has no fault.
type Faults struct {
	// Paused stops everything, announcements included.
	Paused bool `json:"paused"`
	// TimeFactor multiplies every time; 0 means 1.
	TimeFactor float64 `json:"slow"`
	// Cold makes the engine as weak as just after its start.
	Cold bool `json:"cold"`
	// CutAfterTokens ends each stream without its end mark after so many tokens.
	CutAfterTokens int `json:"cut_after"`
	// LoseAnswers closes the connection after running a request.
	LoseAnswers bool `json:"lose_answers"`
	// RefuseRequests answers every request with a statement that it did not run.
	RefuseRequests bool `json:"refuse"`
}

// Server is one stand-in backend server. Exported fields are set before Run.
type Server struct {
	// Description is what the server says of itself; the group fields are kept
	// by the server.
	Description *trefoilheadv1.BackendServer
	Profile     Profile
	// EntryURLs are the base URLs of entries to announce to.
	EntryURLs []string
	// BackendKey is the backend servers' secret.
	BackendKey string
	Client     *http.Client
	Logger     log.Logger

	mu       sync.Mutex
	faults   Faults
	started  time.Time
	running  uint32
	executed uint64
	// runs counts the executions under each mark.
	runs  map[string]int
	entry int
	// last is the entry that took the last announcement.
	last    string
	loading int
}

// Init prepares the server. It is called before any other method.
func (s *Server) Init() {
	s.runs = map[string]int{}
	s.started = time.Now()
	s.Description.State = "idle"
	if s.Description.GetKind() != KindEngine {
		s.Description.State = "ready"
	}
}

// Mount adds the server's paths to a mux.
func (s *Server) Mount(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	mux.HandleFunc("/bookings", s.serveBooking)
	mux.HandleFunc("GET /runs", s.serveRuns)
	mux.HandleFunc("POST /faults", s.serveFaults)
	path, handler := trefoilheadv1connect.NewEngineHandler(&orders{s})
	mux.Handle(path, handler)
}

// SetFaults throws the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCounts returns how often a request ran under each mark.
func (s *Server) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// AnnouncePeriodically announces the server until ctx ends.
func (s *Server) AnnouncePeriodically(ctx context.Context) {
	interval := announceInterval
	for ctx.Err() == nil {
		if next := s.announce(ctx); next > 0 {
			interval = next
		}
		sleep(ctx, interval)
	}
}

// announceInterval is used until an entry says another.
const announceInterval = 200 * time.Millisecond

func (s *Server) announce(ctx context.Context) time.Duration {
	s.mu.Lock()
	if s.faults.Paused || len(s.EntryURLs) == 0 {
		s.mu.Unlock()
		return 0
	}
	url := s.EntryURLs[s.entry%len(s.EntryURLs)]
	req := &trefoilheadv1.AnnounceRequest{Server: s.describe(), Load: s.load(), First: url != s.last}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	call := connect.NewRequest(req)
	call.Header().Set("Authorization", "Bearer "+s.BackendKey)
	resp, err := trefoilheadv1connect.NewRegistryClient(s.Client, url).Announce(ctx, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.entry++
		return 0
	}
	s.last = url
	if entries := resp.Msg.GetEntries(); len(entries) > 0 && entries[0] != url {
		s.EntryURLs = entries
		s.entry = 0
	}
	return time.Duration(resp.Msg.GetIntervalMs()) * time.Millisecond
}

// describe returns a copy of what the server says of itself.
func (s *Server) describe() *trefoilheadv1.BackendServer {
	a := s.Description
	a.Sequence++
	return &trefoilheadv1.BackendServer{
		VmId: a.VmId, FailureDomain: a.FailureDomain, FabricDomain: a.FabricDomain,
		Accelerators: a.Accelerators, Kind: a.Kind, Incarnation: a.Incarnation,
		HonoursFencing: a.HonoursFencing, Address: a.Address, Group: a.Group,
		GroupFence: a.GroupFence, State: a.State, Model: a.Model, Version: a.Version,
		Adapters: a.Adapters, Concurrency: s.Profile.WarmConcurrency, HighestFence: a.HighestFence,
		GroupMembers: a.GroupMembers, Sequence: a.Sequence,
	}
}

func (s *Server) load() *trefoilheadv1.Load {
	return &trefoilheadv1.Load{Running: s.running, Executed: s.executed}
}

// orders serves the engine's calls for the placement authority.
type orders struct{ s *Server }

// Order implements trefoilheadv1connect.EngineHandler.
func (o *orders) Order(_ context.Context, req *connect.Request[trefoilheadv1.OrderRequest]) (*connect.Response[trefoilheadv1.OrderResponse], error) {
	s := o.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Paused {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	reason := s.judge(req.Msg)
	if reason == "" {
		s.carryOut(req.Msg)
	}
	return connect.NewResponse(&trefoilheadv1.OrderResponse{
		Accepted: reason == "", Reason: reason, Server: s.describe(),
	}), nil
}

// Describe implements trefoilheadv1connect.EngineHandler.
func (o *orders) Describe(context.Context, *connect.Request[trefoilheadv1.DescribeRequest]) (*connect.Response[trefoilheadv1.DescribeResponse], error) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	return connect.NewResponse(&trefoilheadv1.DescribeResponse{Server: o.s.describe(), Load: o.s.load()}), nil
}

// judge returns why an order is refused, or an empty string.
func (s *Server) judge(r *trefoilheadv1.OrderRequest) string {
	a := s.Description
	switch {
	case a.GetHonoursFencing() && r.GetFence() < a.GetHighestFence():
		return "a higher fencing number was seen"
	case a.GetHonoursFencing() && r.GetIncarnation() != a.GetIncarnation():
		return "the order is for another incarnation"
	case a.GetHonoursFencing() && r.GetAction() == "join" && a.GetGroup() != "" && a.GetGroup() != r.GetGroup():
		return "the engine is in group " + a.GetGroup()
	}
	return ""
}

func (s *Server) carryOut(r *trefoilheadv1.OrderRequest) {
	a := s.Description
	a.HighestFence = max(a.HighestFence, r.GetFence())
	switch r.GetAction() {
	case "join":
		s.join(r)
	case "leave":
		a.Group, a.GroupFence, a.GroupMembers, a.State = "", 0, nil, "idle"
	}
}

func (s *Server) join(r *trefoilheadv1.OrderRequest) {
	a := s.Description
	if a.GetGroup() == r.GetGroup() {
		return
	}
	loaded := a.GetModel() == r.GetModel() && a.GetVersion() == r.GetVersion()
	a.Group, a.GroupFence = r.GetGroup(), r.GetFence()
	a.GroupMembers = slices.Clone(r.GetMembers())
	a.Model, a.Version, a.Adapters = r.GetModel(), r.GetVersion(), r.GetAdapters()
	a.State = "loading"
	s.loading++
	mine := s.loading
	wait := s.Profile.LoadTime
	if loaded {
		wait /= 4
	}
	time.AfterFunc(s.scaled(wait), func() { s.loaded(mine) })
}

func (s *Server) loaded(mine int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading == mine && s.Description.GetState() == "loading" {
		s.Description.State = "ready"
		s.started = time.Now()
	}
}

// scaled applies the slowness fault to a time.
func (s *Server) scaled(d time.Duration) time.Duration {
	if s.faults.TimeFactor > 0 {
		return time.Duration(float64(d) * s.faults.TimeFactor)
	}
	return d
}

// bears returns the number of requests that the server bears now.
func (s *Server) bears() uint32 {
	if s.faults.Cold || time.Since(s.started) < s.Profile.WarmUpTime {
		return s.Profile.ColdConcurrency
	}
	return s.Profile.WarmConcurrency
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
