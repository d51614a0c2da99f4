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
	"trefoilhead.org/trefoilhead/internal/verifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

// authority is the state of this process as its failure domain's placement
// authority, which it is while it holds the placement lease.
type authority struct {
	mu     sync.Mutex
	active bool
	// placerConfigured is set once the placer has the configuration of
	// placerRevision.
	placerConfigured bool
	placerRevision   identifier.Revision
	epoch            identifier.Epoch
	placer           placer.Placer
	entries          map[identifier.VM]*entryRecord
	reportedBy       map[identifier.VM]identifier.VM
	view             *peerv1.PlacementView
	// stoppedAtVersion maps each group that does not serve to the version of the
	// view since which it does not.
	stoppedAtVersion map[identifier.Group]uint64
	// changedAtVersion maps each group to the version of the view that changed
	// it last, removedAtVersion each removed group to the version that removed it.
	changedAtVersion map[string]uint64
	removedAtVersion map[string]uint64
	// oldestDiffVersion is the oldest version for which removedAtVersion holds
	// every later removal, so that a difference from it can be sent.
	oldestDiffVersion uint64
	viewVersion       uint64
	digestSequence    uint64
	engineClient      *http.Client
}

// entryRecord is what the authority knows about one entry VM.
type entryRecord struct {
	address    string
	reportedAt time.Time
	loads      map[identifier.Group]groupLoad
	leaving    bool
	// viewVersion is the version of the placement view that the entry had when
	// it sent its last report; 0 if that view was of another epoch.
	viewVersion uint64
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
	s.authority.engineClient = verifier.NewLimitedClient(newTransport(s.Network, s.tls), maxEngineResponseBytes)
	s.authority.engineClient.Timeout = s.Settings.Timing.SilenceTimeout
}

// stepPlacement runs one step of the placer and sends its orders, if this process
// holds the lease.
func (s *Server) stepPlacement(ctx context.Context) {
	now := time.Now()
	epoch, held := s.lease.holdsLease(now)
	a := &s.authority
	a.mu.Lock()
	defer a.mu.Unlock()
	if !held {
		if a.active {
			s.logInfo("placement", "no longer the authority", "epoch", a.epoch)
		}
		a.active = false
		return
	}
	if !a.active {
		s.beginTerm(now, epoch)
	}
	a.epoch = epoch
	a.placer.SetEpoch(epoch)
	s.updatePlacer(now)
	for _, o := range a.placer.Step(now) {
		s.goroutines.Go(func() { s.sendOrder(ctx, o) })
	}
	if a.placer.IsInitialized() {
		s.updateView(now)
	}
}

func (s *Server) beginTerm(now time.Time, epoch identifier.Epoch) {
	a := &s.authority
	a.active = true
	a.entries = map[identifier.VM]*entryRecord{}
	a.reportedBy = map[identifier.VM]identifier.VM{}
	a.view = nil
	a.placerConfigured = false
	a.oldestDiffVersion = a.viewVersion
	a.stoppedAtVersion = map[identifier.Group]uint64{}
	a.changedAtVersion = map[string]uint64{}
	a.removedAtVersion = map[string]uint64{}
	a.placer.BeginTerm(now, epoch)
	s.logInfo("placement", "became the authority", "epoch", epoch)
}

func (s *Server) updatePlacer(now time.Time) {
	a := &s.authority
	if r := s.config.Revision(); s.isConfigReady() && (r != a.placerRevision || !a.placerConfigured) {
		config := s.config.View()
		a.placer.SetServices(serviceSpecs(config, s.Settings.FailureDomain))
		a.placer.SetDrainedVMs(drainedVMs(config))
		a.placerRevision, a.placerConfigured = config.Revision, true
	}
	var live []identifier.VM
	for vm, e := range a.entries {
		sinceReport := now.Sub(e.reportedAt)
		if sinceReport <= s.Settings.Timing.SilenceTimeout && !e.leaving {
			live = append(live, vm)
		}
		if sinceReport > 2*s.Settings.Timing.SilenceTimeout {
			s.removeEntry(now, vm)
		}
	}
	a.placer.SetEntryVMs(sortVMs(live))
	a.placer.SetQuiescedGroups(a.quiescedGroups())
}

// quiescedGroups maps each stopped group to whether every entry has reported that
// none of its requests run there. Only reports that an entry sent after it learned
// that the group had stopped count, since it could still send requests before.
func (a *authority) quiescedGroups() map[identifier.Group]bool {
	quiesced := map[identifier.Group]bool{}
	for id, version := range a.stoppedAtVersion {
		quiesced[id] = true
		for _, e := range a.entries {
			if e.viewVersion < version || e.loads[id].running > 0 {
				quiesced[id] = false
			}
		}
	}
	return quiesced
}

// removeEntry removes an entry and marks as lost the backend servers that it was
// the last to report.
func (s *Server) removeEntry(now time.Time, entry identifier.VM) {
	a := &s.authority
	delete(a.entries, entry)
	for vm, reporter := range a.reportedBy {
		if reporter == entry {
			a.placer.MarkLost(now, vm)
			delete(a.reportedBy, vm)
		}
	}
	s.logInfo("placement", "entry stopped reporting; removed it and marked as lost the backend servers it was the last to report", "entry", entry)
}

func serviceSpecs(v recorder.View, d identifier.FailureDomain) []placer.ServiceSpec {
	var specs []placer.ServiceSpec
	for _, svc := range v.Services() {
		specs = append(specs, placer.ServiceSpec{
			Service: svc.ID, Plain: svc.Kind == declarer.PlainService, Model: svc.Model, Version: svc.Version,
			Adapters: svc.Adapters, Replicas: svc.Replicas[d], VMsPerReplica: svc.VMsPerReplica,
			AcceleratorsPerVM: svc.AcceleratorsPerVM, Priority: svc.Priority,
			Concurrency: svc.Concurrency, ColdConcurrency: svc.ColdConcurrency,
		})
	}
	return specs
}

func drainedVMs(v recorder.View) map[identifier.VM]bool {
	drained := map[identifier.VM]bool{}
	for _, d := range v.Drains {
		if d.Kind == recorder.DrainBackendServer {
			drained[identifier.VM(d.ID)] = true
		}
	}
	return drained
}

// sendOrder sends one order to an engine and passes the result to the placer. It
// checks the lease again, since this goroutine may run only after the lease has
// expired.
func (s *Server) sendOrder(ctx context.Context, o placer.Order) {
	epoch, held := s.lease.holdsLease(time.Now())
	result := placer.OrderResult{Order: o}
	if held && epoch == o.FencingToken.Epoch() {
		result = s.callEngine(ctx, o)
	}
	a := &s.authority
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active && a.epoch >= o.FencingToken.Epoch() {
		a.placer.HandleOrderResult(time.Now(), result)
	}
}

func (s *Server) callEngine(ctx context.Context, o placer.Order) placer.OrderResult {
	result := placer.OrderResult{Order: o}
	client := trefoilheadv1connect.NewEngineClient(s.authority.engineClient, o.Address)
	resp, err := s.sendToEngine(ctx, client, o)
	if err != nil {
		_ = level.Warn(s.Logger).Log("part", "placement", "msg", "no response to an order", "vm", o.VM, "action", string(o.Action), "err", err)
		return result
	}
	s.logInfo("placement", "response to an order", "vm", o.VM, "action", string(o.Action), "group", o.Group, "fence", o.FencingToken, "accepted", resp.GetAccepted(), "reason", resp.GetReason())
	result.Responded, result.Accepted, result.Reason = true, resp.GetAccepted(), resp.GetReason()
	if server := resp.GetServer(); server != nil {
		s.authority.mu.Lock()
		s.authority.placer.HandleAnnouncement(time.Now(), decodeServer(server))
		s.authority.mu.Unlock()
	}
	return result
}

// sendToEngine makes the call to the engine that the order's action requires.
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
