package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/placer"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

// authority is the placement of this failure domain while this process holds
// its lease.
type authority struct {
	mu     sync.Mutex
	active bool
	// configured is set once the placer has the configuration of revision.
	configured bool
	revision   identifier.Revision
	epoch      identifier.Epoch
	placer     placer.Placer
	entries    map[identifier.VM]*entryRecord
	heardBy    map[identifier.VM]identifier.VM
	view       *peerv1.PlacementView
	// stopped maps each group that does not serve to the view version that
	// first said so.
	stopped map[identifier.Group]uint64
	// changed maps each group to the version that changed it last, removed
	// those that are gone to the version that removed them.
	changed map[string]uint64
	removed map[string]uint64
	// complete is the oldest version from which removed is complete.
	complete uint64
	version  uint64
	sequence uint64
	client   *http.Client
}

// entryRecord is what the authority knows of one entry VM.
type entryRecord struct {
	address string
	heard   time.Time
	loads   map[identifier.Group]groupLoad
	leaving bool
	// view is the version of the placement view that the entry knew when it
	// made its last report.
	view uint64
}

type groupLoad struct {
	running uint32
	limit   uint32
}

func (s *Server) initAuthority() {
	s.authority.placer = placer.Placer{Domain: s.Settings.FailureDomain, Policy: placer.Policy{
		MaxOrderLifetime: s.Settings.Timing.MaxOrderLifetime, MaxLoadingVMs: s.Settings.Limits.MaxLoadingVMs,
		LearningPeriod: s.Settings.Timing.SilenceTimeout + 2*s.Settings.Timing.HeartbeatInterval,
	}}
	s.authority.client = &http.Client{
		Transport: newTransport(s.Network, s.tls),
		Timeout:   s.Settings.Timing.SilenceTimeout,
	}
}

// stepAuthority lets the placer decide while the lease is held.
func (s *Server) stepAuthority(ctx context.Context) {
	now := time.Now()
	epoch, held := s.lease.holds(now)
	a := &s.authority
	a.mu.Lock()
	defer a.mu.Unlock()
	if !held {
		if a.active {
			s.info("placement", "no longer the authority", "epoch", a.epoch)
		}
		a.active = false
		return
	}
	if !a.active {
		s.beginAuthority(now, epoch)
	}
	a.epoch = epoch
	a.placer.SetEpoch(epoch)
	s.feedPlacer(now)
	for _, o := range a.placer.Step(now) {
		s.group.Go(func() { s.sendOrder(ctx, o) })
	}
	if a.placer.IsInitialized() {
		s.buildView(now)
	}
}

func (s *Server) beginAuthority(now time.Time, epoch identifier.Epoch) {
	a := &s.authority
	a.active = true
	a.entries = map[identifier.VM]*entryRecord{}
	a.heardBy = map[identifier.VM]identifier.VM{}
	a.view = nil
	a.configured = false
	a.complete = a.version
	a.stopped = map[identifier.Group]uint64{}
	a.changed = map[string]uint64{}
	a.removed = map[string]uint64{}
	a.placer.BeginTerm(now, epoch)
	s.info("placement", "became the authority", "epoch", epoch)
}

func (s *Server) feedPlacer(now time.Time) {
	a := &s.authority
	if r := s.config.Revision(); s.caughtUp() && (r != a.revision || !a.configured) {
		view := s.config.View()
		a.placer.SetServices(wantsFor(view, s.Settings.FailureDomain))
		a.placer.SetDrainedVMs(drainedServers(view))
		a.revision, a.configured = view.Revision, true
	}
	var live []identifier.VM
	for vm, e := range a.entries {
		silent := now.Sub(e.heard)
		if silent <= s.Settings.Timing.SilenceTimeout && !e.leaving {
			live = append(live, vm)
		}
		if silent > 2*s.Settings.Timing.SilenceTimeout {
			s.loseEntry(now, vm)
		}
	}
	a.placer.SetEntryVMs(sortedVMs(live))
	a.placer.SetQuiescedGroups(a.quietGroups())
}

// quietGroups returns the stopped groups that no entry has requests on. Only
// reports made after the entry knew that the group had stopped count.
func (a *authority) quietGroups() map[identifier.Group]bool {
	quiet := map[identifier.Group]bool{}
	for id, version := range a.stopped {
		quiet[id] = true
		for _, e := range a.entries {
			if e.view < version || e.loads[id].running > 0 {
				quiet[id] = false
			}
		}
	}
	return quiet
}

// loseEntry gives up an entry together with the backend servers that only it
// has heard.
func (s *Server) loseEntry(now time.Time, entry identifier.VM) {
	a := &s.authority
	delete(a.entries, entry)
	for vm, by := range a.heardBy {
		if by == entry {
			a.placer.MarkLost(now, vm)
			delete(a.heardBy, vm)
		}
	}
	s.info("placement", "entry lost", "entry", entry)
}

func wantsFor(v recorder.View, d identifier.FailureDomain) []placer.ServiceSpec {
	var wants []placer.ServiceSpec
	for _, svc := range v.Services() {
		wants = append(wants, placer.ServiceSpec{
			Service: svc.ID, Plain: svc.Kind == declarer.PlainService, Model: svc.Model, Version: svc.Version,
			Adapters: svc.Adapters, Replicas: svc.Replicas[d], VMsPerReplica: svc.VMsPerReplica,
			AcceleratorsPerVM: svc.AcceleratorsPerVM, Priority: svc.Priority,
			Concurrency: svc.Concurrency, ColdConcurrency: svc.ColdConcurrency,
		})
	}
	return wants
}

func drainedServers(v recorder.View) map[identifier.VM]bool {
	out := map[identifier.VM]bool{}
	for _, d := range v.Drains {
		if d.Kind == recorder.DrainBackendServer {
			out[identifier.VM(d.ID)] = true
		}
	}
	return out
}

// sendOrder carries one order to an engine and feeds the answer back. The
// lease is checked once more, since this goroutine may run late.
func (s *Server) sendOrder(ctx context.Context, o placer.Order) {
	epoch, held := s.lease.holds(time.Now())
	reply := placer.OrderResult{Order: o}
	if held && epoch == o.FencingToken.Epoch() {
		reply = s.callEngine(ctx, o)
	}
	a := &s.authority
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active && a.epoch >= o.FencingToken.Epoch() {
		a.placer.HandleOrderResult(time.Now(), reply)
	}
}

func (s *Server) callEngine(ctx context.Context, o placer.Order) placer.OrderResult {
	reply := placer.OrderResult{Order: o}
	client := trefoilheadv1connect.NewEngineClient(s.authority.client, o.Address)
	resp, err := s.sendToEngine(ctx, client, o)
	if err != nil {
		_ = level.Warn(s.Logger).Log("part", "placement", "msg", "order not answered", "vm", o.VM, "action", string(o.Action), "err", err)
		return reply
	}
	s.info("placement", "order answered", "vm", o.VM, "action", string(o.Action), "group", o.Group, "fence", o.FencingToken, "accepted", resp.GetAccepted(), "reason", resp.GetReason())
	reply.Responded, reply.Accepted, reply.Reason = true, resp.GetAccepted(), resp.GetReason()
	if server := resp.GetServer(); server != nil {
		s.authority.mu.Lock()
		s.authority.placer.HandleAnnouncement(time.Now(), decodeServer(server))
		s.authority.mu.Unlock()
	}
	return reply
}

// sendToEngine makes the call that an action stands for.
func (s *Server) sendToEngine(ctx context.Context, c trefoilheadv1connect.EngineClient, o placer.Order) (*trefoilheadv1.OrderResponse, error) {
	key := "Bearer " + s.Settings.Keys.Backend
	if o.Action == placer.ActionCheck {
		req := connect.NewRequest(&trefoilheadv1.DescribeRequest{})
		req.Header().Set("Authorization", key)
		resp, err := c.Describe(ctx, req)
		if err != nil {
			return nil, err
		}
		return &trefoilheadv1.OrderResponse{Accepted: true, Server: resp.Msg.GetServer()}, nil
	}
	req := connect.NewRequest(encodeOrder(o))
	req.Header().Set("Authorization", key)
	resp, err := c.Order(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func encodeOrder(o placer.Order) *trefoilheadv1.OrderRequest {
	out := &trefoilheadv1.OrderRequest{
		Fence: uint64(o.FencingToken), Incarnation: uint64(o.Incarnation), Action: string(o.Action), Group: string(o.Group),
		Rank: uint32(o.Rank), Model: o.Model, Version: o.Version, Adapters: o.Adapters, MemberAddresses: o.MemberAddresses,
	}
	for _, m := range o.Members {
		out.Members = append(out.Members, string(m))
	}
	return out
}

func decodeServer(b *trefoilheadv1.BackendServer) placer.Server {
	return placer.Server{
		VM: identifier.VM(b.GetVmId()), FabricDomain: identifier.FabricDomain(b.GetFabricDomain()),
		Accelerators: b.GetAccelerators(), Kind: b.GetKind(), Incarnation: identifier.Incarnation(b.GetIncarnation()),
		HonoursFencing: b.GetHonoursFencing(), Address: b.GetAddress(), Group: identifier.Group(b.GetGroup()),
		GroupFencingToken: identifier.FencingToken(b.GetGroupFence()), GroupMembers: toVMs(b.GetGroupMembers()),
		State: placer.EngineState(b.GetState()), Model: b.GetModel(), Version: b.GetVersion(),
		Adapters: b.GetAdapters(), Concurrency: b.GetConcurrency(), HighestFencingToken: identifier.FencingToken(b.GetHighestFence()),
		Sequence: b.GetSequence(),
	}
}

func toVMs(ids []string) []identifier.VM {
	var vms []identifier.VM
	for _, id := range ids {
		vms = append(vms, identifier.VM(id))
	}
	return vms
}
