package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

// operatorTimeout limits the duration of an operator's call that proposes a
// change to a log.
const operatorTimeout = 10 * time.Second

// operatorHandler implements trefoilheadv1connect.OperatorHandler.
type operatorHandler struct{ s *Server }

// Apply puts and removes declared objects.
func (o operatorHandler) Apply(ctx context.Context, req *connect.Request[trefoilheadv1.ApplyRequest]) (*connect.Response[trefoilheadv1.ApplyResponse], error) {
	msg := req.Msg
	c := recorder.Change{RequestID: msg.GetRequestId(), ExpectedRevision: identifier.Revision(msg.GetExpectedRevision())}
	for _, p := range msg.GetPut() {
		obj := declarer.Object{Key: declarer.Key{Kind: p.GetKind(), ID: p.GetId()}, Body: p.GetBody()}
		if err := declarer.CheckObject(obj); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		c.Put = append(c.Put, obj)
	}
	for _, r := range msg.GetRemove() {
		c.Remove = append(c.Remove, declarer.Key{Kind: r.GetKind(), ID: r.GetId()})
	}
	return o.proposeChange(ctx, c)
}

// SetDrain takes the target out of service or returns it to service.
func (o operatorHandler) SetDrain(ctx context.Context, req *connect.Request[trefoilheadv1.SetDrainRequest]) (*connect.Response[trefoilheadv1.ApplyResponse], error) {
	msg := req.Msg
	d := &recorder.Drain{Kind: msg.GetTarget().GetKind(), ID: msg.GetTarget().GetId()}
	if !d.IsValid() {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.New("%s %q cannot be drained", d.Kind, d.ID))
	}
	c := recorder.Change{RequestID: msg.GetRequestId(), ExpectedRevision: identifier.Revision(msg.GetExpectedRevision())}
	if msg.GetDrained() {
		c.Drain = d
	} else {
		c.Undrain = d
	}
	return o.proposeChange(ctx, c)
}

func (o operatorHandler) proposeChange(ctx context.Context, c recorder.Change) (*connect.Response[trefoilheadv1.ApplyResponse], error) {
	if c.RequestID == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.New("request_id is empty"))
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	data, err := json.Marshal(c)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	result, err := o.s.propose(ctx, configLog, data)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable,
			fmt.Errorf("%w; the change may still be accepted: resend it under the same request_id", err))
	}
	var out recorder.Outcome
	if err := json.Unmarshal(result, &out); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	switch out.Code {
	case recorder.OutcomeConflict:
		return nil, connect.NewError(connect.CodeAborted,
			Error.New("revision is %d, not %d; request %q took the next one", out.Revision, c.ExpectedRevision, out.WinningRequestID))
	case recorder.OutcomeInvalid:
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.New("the change removes or drains what does not exist"))
	}
	o.s.waitForRevision(ctx, out.Revision)
	return connect.NewResponse(&trefoilheadv1.ApplyResponse{Revision: uint64(out.Revision), Replayed: out.Replayed}), nil
}

// waitForRevision waits until revision r is in effect here, so that operators
// read their own writes. The change stays accepted if the wait times out.
func (s *Server) waitForRevision(ctx context.Context, r identifier.Revision) {
	const pollInterval = 10 * time.Millisecond
	for s.config.Revision() < r && ctx.Err() == nil {
		sleep(ctx, pollInterval)
	}
}

// Get returns the configuration in effect at this process.
func (o operatorHandler) Get(_ context.Context, req *connect.Request[trefoilheadv1.GetRequest]) (*connect.Response[trefoilheadv1.GetResponse], error) {
	config := o.s.config.View()
	out := &trefoilheadv1.GetResponse{Revision: uint64(config.Revision), CutOff: o.s.isCutOff()}
	for _, obj := range config.Objects {
		kind, id := req.Msg.GetKind(), req.Msg.GetId()
		if kind != "" && kind != obj.Kind || id != "" && id != obj.ID {
			continue
		}
		out.Objects = append(out.Objects, &trefoilheadv1.Object{Kind: obj.Kind, Id: obj.ID, Body: obj.Body})
	}
	for _, d := range config.Drains {
		out.Drains = append(out.Drains, &trefoilheadv1.Drain{Kind: d.Kind, Id: d.ID})
	}
	return connect.NewResponse(out), nil
}

// ListGroups returns the groups of all reachable failure domains and the names of
// the unreachable ones.
func (o operatorHandler) ListGroups(ctx context.Context, _ *connect.Request[trefoilheadv1.ListGroupsRequest]) (*connect.Response[trefoilheadv1.ListGroupsResponse], error) {
	out := &trefoilheadv1.ListGroupsResponse{}
	for _, d := range o.s.failureDomains() {
		view := o.s.viewOfDomain(ctx, d)
		if view == nil {
			out.Unreachable = append(out.Unreachable, string(d))
			continue
		}
		for _, g := range view.GetGroups() {
			out.Groups = append(out.Groups, &trefoilheadv1.GroupInfo{
				Id: g.GetId(), Service: g.GetService(), FailureDomain: view.GetFailureDomain(), FabricDomain: g.GetFabricDomain(),
				Members: g.GetMembers(), State: g.GetState(), Reason: g.GetReason(), Owner: g.GetOwner(), Fence: g.GetFence(),
			})
		}
		out.Stranded = append(out.Stranded, view.GetStranded()...)
	}
	return connect.NewResponse(out), nil
}

// failureDomains returns all failure domains, sorted.
func (s *Server) failureDomains() []identifier.FailureDomain {
	var all []identifier.FailureDomain
	for _, p := range s.Settings.Peers {
		all = append(all, p.FailureDomain)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// viewOfDomain returns the placement view of a failure domain from the first of
// its entries that replies, or nil if none does.
func (s *Server) viewOfDomain(ctx context.Context, d identifier.FailureDomain) *peerv1.PlacementView {
	if d == s.Settings.FailureDomain {
		return s.currentView()
	}
	for _, p := range s.Settings.Peers {
		if p.FailureDomain != d {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.HeartbeatInterval)
		reply, err := s.linker.Call(ctx, p.VM, &peerv1.Envelope{ViewAsk: true})
		cancel()
		if err == nil && reply.GetPlacementView() != nil {
			return reply.GetPlacementView()
		}
	}
	return nil
}

// Status returns the state of this process and the revisions of its peers.
func (o operatorHandler) Status(ctx context.Context, _ *connect.Request[trefoilheadv1.StatusRequest]) (*connect.Response[trefoilheadv1.StatusResponse], error) {
	s := o.s
	out := &trefoilheadv1.StatusResponse{
		VmId: string(s.Settings.VM), FailureDomain: string(s.Settings.FailureDomain), Revision: uint64(s.config.Revision()),
		Leader: string(s.leaderOf(configLog)), CutOff: s.isCutOff(), PlacementAuthority: string(s.lease.knownHolder()),
		Peers: s.queryPeers(ctx),
	}
	return connect.NewResponse(out), nil
}

// queryPeers asks every peer for its revision. A peer that does not reply within
// a heartbeat is listed with unreachableAge.
func (s *Server) queryPeers(ctx context.Context) []*trefoilheadv1.PeerStatus {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.HeartbeatInterval)
	defer cancel()
	peers := s.Settings.Peers
	out := make([]*trefoilheadv1.PeerStatus, len(peers))
	done := make(chan struct{}, len(peers))
	for i, p := range peers {
		out[i] = &trefoilheadv1.PeerStatus{VmId: string(p.VM), FailureDomain: string(p.FailureDomain)}
		go func() {
			out[i].Revision, out[i].AgeMs = s.queryRevision(ctx, p.VM)
			done <- struct{}{}
		}()
	}
	for range peers {
		<-done
	}
	return out
}

// unreachableAge is the age reported for a peer that did not reply.
const unreachableAge = ^uint64(0)

func (s *Server) queryRevision(ctx context.Context, vm identifier.VM) (revision, age uint64) {
	if vm == s.Settings.VM {
		return uint64(s.config.Revision()), 0
	}
	// A pull from the highest possible revision returns no changes, only the
	// peer's revision.
	reply, err := s.linker.Call(ctx, vm, &peerv1.Envelope{Pull: &peerv1.Pull{Revision: ^uint64(0)}})
	if err != nil {
		return 0, unreachableAge
	}
	return reply.GetDelta().GetRevision(), reply.GetDelta().GetQuorumAgeMs()
}

// Backup returns the serialized configuration with its checksum.
func (o operatorHandler) Backup(context.Context, *connect.Request[trefoilheadv1.BackupRequest]) (*connect.Response[trefoilheadv1.BackupResponse], error) {
	data := o.s.config.Snapshot()
	return connect.NewResponse(&trefoilheadv1.BackupResponse{
		Revision: uint64(o.s.config.Revision()), Data: data, Checksum: xxhash.Sum64(data),
	}), nil
}

// ChangeVoter adds or removes one voter in both logs, or exchanges the voter of a lost disk for
// the one on the new disk of the same VM. It succeeds only at a
// process that leads both; any other returns an error that names the leader of a
// log that it does not lead.
func (o operatorHandler) ChangeVoter(ctx context.Context, req *connect.Request[trefoilheadv1.ChangeVoterRequest]) (*connect.Response[trefoilheadv1.ChangeVoterResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	out := &trefoilheadv1.ChangeVoterResponse{}
	for _, name := range []string{configLog, claimsLog} {
		voters, err := o.s.changeVoter(ctx, name, identifier.VM(req.Msg.GetVmId()), req.Msg.GetRemove())
		if err != nil {
			return nil, err
		}
		out.Voters = nil
		for _, v := range voters {
			out.Voters = append(out.Voters, string(v))
		}
	}
	return connect.NewResponse(out), nil
}

func (s *Server) changeVoter(ctx context.Context, name string, vm identifier.VM, remove bool) ([]replicator.NodeID, error) {
	d := s.logs[name]
	if d == nil || d.Status().Leader != s.Settings.VM {
		return nil, connect.NewError(connect.CodeFailedPrecondition, Error.New("send this call to %q, which leads log %s", s.leaderOf(name), name))
	}
	current := d.Status().Voters
	voters := slices.DeleteFunc(slices.Clone(current), func(id replicator.NodeID) bool { return driver.VMOf(id) == vm })
	if !remove {
		id, err := s.queryNodeID(ctx, name, vm)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		if slices.Contains(current, id) {
			return current, nil
		}
		// If the VM has lost its disk, this exchanges its old voter for the new one.
		voters = append(voters, id)
	} else if len(voters) == len(current) {
		return current, nil
	}
	if err := d.ProposeVoters(ctx, voters); err != nil {
		if errors.Is(err, replicator.ErrVoterChangePending) {
			return nil, connect.NewError(connect.CodeAborted, err)
		}
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	s.logInfo("log", "voters changed", "log", name, "voters", fmt.Sprint(voters))
	return voters, nil
}

// queryNodeID asks a VM for its node id in a log.
func (s *Server) queryNodeID(ctx context.Context, name string, vm identifier.VM) (replicator.NodeID, error) {
	reply, err := s.linker.Call(ctx, vm, &peerv1.Envelope{Identity: &peerv1.Identity{Log: name}})
	if err != nil {
		return "", err
	}
	id := replicator.NodeID(reply.GetIdentity().GetId())
	if id == "" {
		return "", Error.New("%s does not know its id yet", vm)
	}
	return id, nil
}
