// Package emulator emulates the backend servers that trefoilhead forwards requests
// to: model engines, which form replica groups, and plain services.
//
// An emulated server implements the published protocols over HTTP and can inject the
// faults that real servers have. It reproduces their timing and concurrency limits
// only: it runs no model, and the text of its answers has no meaning.
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

// KindEngine is the kind that a model engine announces. A plain service announces
// its service id instead.
const KindEngine = "engine"

// Profile sets the speed and the concurrency limits of an emulated server.
type Profile struct {
	// LoadTime is the time to load a model's weights. Joining a group with the model
	// version that is loaded already takes a quarter of it.
	LoadTime time.Duration
	// TimeToFirstToken is the delay of the first token when no more requests run
	// than the concurrency limit allows. Plain services respond after this time.
	TimeToFirstToken time.Duration
	// TimeBetweenTokens is the delay between two tokens under the same condition.
	TimeBetweenTokens time.Duration
	// WarmConcurrency and ColdConcurrency limit the requests that run at once without
	// slowing each other down. Requests above the limit slow all of them down; above
	// twice the limit, a new request fails.
	WarmConcurrency uint32
	ColdConcurrency uint32
	// WarmUpTime is how long ColdConcurrency applies after a start or a model load.
	WarmUpTime time.Duration
}

// Faults selects the faults to inject into an emulated server. The zero value injects
// none. It is also the JSON body of POST /faults.
type Faults struct {
	// Paused stops announcements, fails orders and leaves new requests without a
	// response. Requests that run already continue.
	Paused bool `json:"paused"`
	// TimeFactor multiplies the load and token times of the profile; 0 means 1.
	TimeFactor float64 `json:"slow"`
	// Cold applies ColdConcurrency, as just after a start.
	Cold bool `json:"cold"`
	// CutAfterTokens aborts each stream after this many tokens, without the end mark
	// "data: [DONE]"; 0 aborts none.
	CutAfterTokens int `json:"cut_after"`
	// DripAfterTokens makes each stream stall after this many tokens and send a byte of a
	// comment now and then; 0 makes none stall.
	DripAfterTokens int `json:"drip_after"`
	// LoseResponses runs a request that is not streamed, but closes the connection
	// instead of sending the response.
	LoseResponses bool `json:"lose_answers"`
	// CrashOnPrompt makes the server crash when it begins to answer a prompt with this
	// text in one of its messages; an empty text never does.
	CrashOnPrompt string `json:"crash_on_prompt"`
	// CrashOnRequest makes a plain service crash when it runs a request with this text in its
	// path or body; an empty text never does.
	CrashOnRequest string `json:"crash_on_request"`
	// RefuseRequests refuses every request with the statement that it did not run.
	RefuseRequests bool `json:"refuse"`
	// LimitPerSecond is the request rate that the server names in its answers; nil names
	// none.
	LimitPerSecond *float64 `json:"limit_per_s"`
	// WaitSeconds is the time from now in which the server refuses every request and asks for
	// none; 0 refuses none.
	WaitSeconds float64 `json:"wait_s"`
	// SayLeaving makes the server say in all its answers that it leaves, from now on. It goes on to
	// announce itself as before.
	SayLeaving bool `json:"say_leaving"`
}

// Server is one emulated backend server. Exported fields are set before Init.
type Server struct {
	// Description is the description that the server announces. The server itself
	// updates the fields of its state, sequence, group and loaded model.
	Description *trefoilheadv1.BackendServer
	Profile     Profile
	// EntryURLs are the base URLs of the control addresses of the entry VMs to
	// announce to. The server tries the next one when an announcement fails, and
	// switches to the list that an entry VM returns if its first URL is another one.
	EntryURLs []string
	// BackendKey is the secret that authenticates backend servers to entry VMs.
	BackendKey string
	Client     *http.Client
	Logger     log.Logger
	// Crash ends the server at once, for CrashOnPrompt and CrashOnRequest. If it is nil, only
	// the connection of the request is closed.
	Crash func()
	// Crashes, if set, records the requests under which the server crashes.
	Crashes *CrashRecord

	mu              sync.Mutex
	faults          Faults
	warmUpStartedAt time.Time
	runningCount    uint32
	executedCount   uint64
	// runsByMark counts the admitted requests by request mark.
	runsByMark map[string]int
	entryIndex int
	// lastEntryURL is the entry VM that accepted the last announcement.
	lastEntryURL string
	lastLoadID   int
	limit        LimitRecord
	wait         WaitRecord
	leave        LeaveRecord
}

// Init sets the initial state. It must be called before any other method.
func (s *Server) Init() {
	s.runsByMark = map[string]int{}
	// The header is in whole seconds.
	s.wait.Unit = time.Second
	s.warmUpStartedAt = time.Now()
	s.Description.State = "idle"
	if s.Description.GetKind() != KindEngine {
		s.Description.State = "ready"
	}
}

// RegisterHandlers registers the server's handlers on a mux.
func (s *Server) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	mux.HandleFunc("/bookings", s.serveBooking)
	mux.HandleFunc("GET /runs", s.serveRunCounts)
	mux.HandleFunc("POST /faults", s.serveFaults)
	path, handler := trefoilheadv1connect.NewEngineHandler(&engineHandler{s})
	mux.Handle(path, handler)
}

// SetFaults replaces the faults to inject.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.LimitPerSecond != nil {
		s.limit.Name(time.Now(), *f.LimitPerSecond)
	} else {
		s.limit.End(time.Now())
	}
	if f.SayLeaving {
		s.leave.Begin()
	}
	s.wait.Begin(time.Now().Add(time.Duration(f.WaitSeconds * float64(time.Second))))
}

// Limit returns the record of the rates that the server named and of the requests that
// reached it.
func (s *Server) Limit() *LimitRecord { return &s.limit }

// Wait returns the record of the times in which the server asked for no requests, and of the
// requests that reached it.
func (s *Server) Wait() *WaitRecord { return &s.wait }

// Leave returns the record of the entries that were told that the server leaves, and of the requests
// that they sent later.
func (s *Server) Leave() *LeaveRecord { return &s.leave }

// RunCounts returns the number of admitted requests by request mark.
func (s *Server) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runsByMark))
	for k, n := range s.runsByMark {
		out[k] = n
	}
	return out
}

// AnnouncePeriodically announces the server to an entry VM until ctx ends, at the
// interval that the entry VM asks for.
func (s *Server) AnnouncePeriodically(ctx context.Context) {
	interval := defaultAnnounceInterval
	for ctx.Err() == nil {
		if next := s.announce(ctx); next > 0 {
			interval = next
		}
		sleep(ctx, interval)
	}
}

// defaultAnnounceInterval is used until an entry VM returns an interval.
const defaultAnnounceInterval = 200 * time.Millisecond

func (s *Server) announce(ctx context.Context) time.Duration {
	s.mu.Lock()
	if s.faults.Paused || len(s.EntryURLs) == 0 {
		s.mu.Unlock()
		return 0
	}
	url := s.EntryURLs[s.entryIndex%len(s.EntryURLs)]
	req := &trefoilheadv1.AnnounceRequest{Server: s.nextDescription(), Load: s.currentLoad(), First: url != s.lastEntryURL}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	call := connect.NewRequest(req)
	call.Header().Set("Authorization", "Bearer "+s.BackendKey)
	resp, err := trefoilheadv1connect.NewRegistryClient(s.Client, url).Announce(ctx, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.entryIndex++
		return 0
	}
	s.lastEntryURL = url
	if entries := resp.Msg.GetEntries(); len(entries) > 0 && entries[0] != url {
		s.EntryURLs = entries
		s.entryIndex = 0
	}
	return time.Duration(resp.Msg.GetIntervalMs()) * time.Millisecond
}

// nextDescription returns a copy of the description with the next sequence number.
// The caller holds mu.
func (s *Server) nextDescription() *trefoilheadv1.BackendServer {
	d := s.Description
	d.Sequence++
	return &trefoilheadv1.BackendServer{
		VmId: d.VmId, FailureDomain: d.FailureDomain, FabricDomain: d.FabricDomain,
		Accelerators: d.Accelerators, Kind: d.Kind, Incarnation: d.Incarnation,
		HonoursFencing: d.HonoursFencing, Address: d.Address, Group: d.Group,
		GroupFence: d.GroupFence, State: d.State, Model: d.Model, Version: d.Version,
		Adapters: d.Adapters, Concurrency: s.Profile.WarmConcurrency, HighestFence: d.HighestFence,
		GroupMembers: d.GroupMembers, Sequence: d.Sequence,
	}
}

func (s *Server) currentLoad() *trefoilheadv1.Load {
	return &trefoilheadv1.Load{Running: s.runningCount, Executed: s.executedCount}
}

// engineHandler implements the calls that the placement authority makes to an engine.
type engineHandler struct{ s *Server }

// Order implements trefoilheadv1connect.EngineHandler.
func (h *engineHandler) Order(_ context.Context, req *connect.Request[trefoilheadv1.OrderRequest]) (*connect.Response[trefoilheadv1.OrderResponse], error) {
	s := h.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Paused {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	reason := s.refusalReason(req.Msg)
	if reason == "" {
		s.executeOrder(req.Msg)
	}
	return connect.NewResponse(&trefoilheadv1.OrderResponse{
		Accepted: reason == "", Reason: reason, Server: s.nextDescription(),
	}), nil
}

// Describe implements trefoilheadv1connect.EngineHandler.
func (h *engineHandler) Describe(context.Context, *connect.Request[trefoilheadv1.DescribeRequest]) (*connect.Response[trefoilheadv1.DescribeResponse], error) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	return connect.NewResponse(&trefoilheadv1.DescribeResponse{Server: h.s.nextDescription(), Load: h.s.currentLoad()}), nil
}

// refusalReason returns why an order is refused, or an empty string if it is accepted.
// Engines that do not honour fencing accept every order.
func (s *Server) refusalReason(r *trefoilheadv1.OrderRequest) string {
	d := s.Description
	switch {
	case d.GetHonoursFencing() && r.GetFence() < d.GetHighestFence():
		return "a higher fencing number was seen"
	case d.GetHonoursFencing() && r.GetIncarnation() != d.GetIncarnation():
		return "the order is for another incarnation"
	case d.GetHonoursFencing() && r.GetAction() == "join" && d.GetGroup() != "" && d.GetGroup() != r.GetGroup():
		return "the engine is in group " + d.GetGroup()
	}
	return ""
}

func (s *Server) executeOrder(r *trefoilheadv1.OrderRequest) {
	d := s.Description
	d.HighestFence = max(d.HighestFence, r.GetFence())
	switch r.GetAction() {
	case "join":
		s.joinGroup(r)
	case "leave":
		d.Group, d.GroupFence, d.GroupMembers, d.State = "", 0, nil, "idle"
	}
}

func (s *Server) joinGroup(r *trefoilheadv1.OrderRequest) {
	d := s.Description
	if d.GetGroup() == r.GetGroup() {
		return
	}
	alreadyLoaded := d.GetModel() == r.GetModel() && d.GetVersion() == r.GetVersion()
	d.Group, d.GroupFence = r.GetGroup(), r.GetFence()
	d.GroupMembers = slices.Clone(r.GetMembers())
	d.Model, d.Version, d.Adapters = r.GetModel(), r.GetVersion(), r.GetAdapters()
	d.State = "loading"
	s.lastLoadID++
	loadID := s.lastLoadID
	loadTime := s.Profile.LoadTime
	if alreadyLoaded {
		loadTime /= 4
	}
	time.AfterFunc(s.scaleTime(loadTime), func() { s.finishLoading(loadID) })
}

func (s *Server) finishLoading(loadID int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The timer of a load that a later join replaced has no effect.
	if s.lastLoadID == loadID && s.Description.GetState() == "loading" {
		s.Description.State = "ready"
		s.warmUpStartedAt = time.Now()
	}
}

// scaleTime multiplies a time by the TimeFactor fault.
func (s *Server) scaleTime(d time.Duration) time.Duration {
	if s.faults.TimeFactor > 0 {
		return time.Duration(float64(d) * s.faults.TimeFactor)
	}
	return d
}

// concurrencyLimit returns the concurrency limit that applies now.
func (s *Server) concurrencyLimit() uint32 {
	if s.faults.Cold || time.Since(s.warmUpStartedAt) < s.Profile.WarmUpTime {
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
