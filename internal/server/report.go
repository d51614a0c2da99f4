package server

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// reportState is what this entry has reported to the placement authority, and the
// view that it received in return.
type reportState struct {
	mu          sync.Mutex
	authorityVM identifier.VM
	epoch       uint64
	// registrarVersion is the version of the registrar up to which the authority
	// has received all changes; 0 makes the next report a full one.
	registrarVersion uint64
	view             *peerv1.PlacementView
	viewConfirmedAt  time.Time
}

// sendReport reports the changes since the last report to the authority and
// handles the view in its reply.
func (s *Server) sendReport(ctx context.Context) {
	authority := s.lease.knownHolder()
	if authority == "" {
		return
	}
	now := time.Now()
	report, version := s.buildReport(now, authority)
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timing.SilenceTimeout)
	defer cancel()
	var reply *peerv1.Envelope
	var err error
	if authority == s.Settings.VM {
		reply, err = s.handleReport(report)
	} else {
		reply, err = s.linker.Call(ctx, authority, &peerv1.Envelope{EntryReport: report})
	}
	if err != nil || reply.GetPlacementView() == nil {
		return
	}
	s.handleView(now, authority, version, reply.GetPlacementView())
}

func (s *Server) buildReport(now time.Time, authority identifier.VM) (*peerv1.EntryReport, uint64) {
	r := &s.report
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.authorityVM != authority {
		r.authorityVM, r.epoch, r.registrarVersion = authority, 0, 0
	}
	changes := s.registrar.ChangesSince(now, r.registrarVersion)
	out := &peerv1.EntryReport{
		VmId: string(s.Settings.VM), Incarnation: uint64(s.Incarnation), Revision: uint64(s.config.Revision()),
		Epoch: r.epoch, Full: r.registrarVersion == 0, Changed: changes.Changed, Address: s.Settings.Self().Address,
		Digests: s.locator.TakeDirectDigests(), Leaving: s.shuttingDown.Load() || s.locator.IsEntryVMDrained(),
	}
	if r.view != nil && r.view.GetAuthority() == string(authority) {
		out.ViewVersion = r.view.GetVersion()
	}
	for _, vm := range changes.Lost {
		out.Lost = append(out.Lost, string(vm))
	}
	for _, g := range s.relayer.Owner.Status() {
		out.Loads = append(out.Loads, &peerv1.GroupLoad{Group: string(g.Group), Running: g.Running + uint32(g.Waiting), Limit: g.Limit})
	}
	return out, changes.Version
}

// handleView handles the authority's reply to a report. If the reply's epoch
// differs from the report's, the next report is a full one.
func (s *Server) handleView(sentAt time.Time, from identifier.VM, version uint64, v *peerv1.PlacementView) {
	r := &s.report
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.authorityVM != from {
		return
	}
	if v.GetEpoch() == 0 {
		// The authority has no record of this entry: report everything next time.
		r.epoch, r.registrarVersion = 0, 0
		return
	}
	s.registrar.MarkChanged(sentAt, v.GetSilent())
	if v.GetEpoch() != r.epoch {
		r.epoch, r.registrarVersion = v.GetEpoch(), 0
	} else {
		r.registrarVersion = version
	}
	if v.GetFull() && !r.mergeView(v) {
		// The reply is a difference from a view that this entry does not have.
		r.view = nil
	}
	if r.view == nil || r.view.GetVersion() != v.GetVersion() {
		return
	}
	r.viewConfirmedAt = sentAt
	// The view may be shared with the authority in this process, so the loads
	// are set in a copy.
	view := cloneView(r.view)
	for i, g := range view.GetGroups() {
		if i < len(v.GetRunning()) {
			g.Running, g.Limit = v.GetRunning()[i], v.GetLimits()[i]
		}
	}
	view.Digests = v.GetDigests()
	s.locator.SetView(sentAt, view)
	s.relayer.HandleLoadReports()
}

// mergeView replaces the entry's view by v, or by its own view with the difference
// v applied. It returns false if v is a difference from another view.
func (r *reportState) mergeView(v *peerv1.PlacementView) bool {
	if v.GetSince() == 0 {
		r.view = v
		return true
	}
	if r.view == nil || r.view.GetVersion() != v.GetSince() || r.view.GetAuthority() != v.GetAuthority() {
		return false
	}
	groups := map[string]*peerv1.GroupView{}
	for _, list := range [][]*peerv1.GroupView{r.view.GetGroups(), v.GetGroups()} {
		for _, g := range list {
			groups[g.GetId()] = g
		}
	}
	for _, id := range v.GetRemoved() {
		delete(groups, id)
	}
	v.Groups = slices.SortedFunc(maps.Values(groups), func(a, b *peerv1.GroupView) int {
		return strings.Compare(a.GetId(), b.GetId())
	})
	r.view = v
	return true
}

// cloneView copies a view and its groups, so that setting the loads of the copy
// does not race with readers of an earlier one.
func cloneView(v *peerv1.PlacementView) *peerv1.PlacementView {
	out := &peerv1.PlacementView{
		FailureDomain: v.GetFailureDomain(), Authority: v.GetAuthority(), Epoch: v.GetEpoch(), Version: v.GetVersion(),
		Full: true, Entries: v.GetEntries(), Stranded: v.GetStranded(),
	}
	for _, g := range v.GetGroups() {
		out.Groups = append(out.Groups, &peerv1.GroupView{
			Id: g.Id, Service: g.Service, Address: g.Address, Serving: g.Serving, Owner: g.Owner, Fence: g.Fence,
			Model: g.Model, Version: g.Version, Adapters: g.Adapters, Concurrency: g.Concurrency,
			Incarnation: g.Incarnation, State: g.State, Reason: g.Reason, Members: g.Members,
			FabricDomain: g.FabricDomain, Running: g.Running, Limit: g.Limit, FirstOwner: g.FirstOwner,
			ColdConcurrency: g.ColdConcurrency,
		})
	}
	return out
}

// handleReport handles an entry's report, if this process is the authority.
func (s *Server) handleReport(r *peerv1.EntryReport) (*peerv1.Envelope, error) {
	now := time.Now()
	for _, d := range r.GetDigests() {
		s.locator.SetDigest(now, d, false)
	}
	a := &s.authority
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, held := s.lease.holdsLease(now); !held || !a.active {
		return nil, Error.New("this process is not the placement authority")
	}
	vm := identifier.VM(r.GetVmId())
	e := a.entries[vm]
	if e == nil && !r.GetFull() {
		return &peerv1.Envelope{PlacementView: &peerv1.PlacementView{Authority: string(s.Settings.VM)}}, nil
	}
	if e == nil {
		e = &entryRecord{}
		a.entries[vm] = e
	}
	e.leaving = r.GetLeaving()
	e.viewVersion = 0
	if r.GetEpoch() == uint64(a.epoch) {
		e.viewVersion = r.GetViewVersion()
	}
	lastReport := e.reportedAt
	e.address, e.reportedAt = r.GetAddress(), now
	e.loads = map[identifier.Group]groupLoad{}
	for _, l := range r.GetLoads() {
		e.loads[identifier.Group(l.GetGroup())] = groupLoad{running: l.GetRunning(), limit: l.GetLimit()}
	}
	s.updateServers(now, vm, r)
	return &peerv1.Envelope{PlacementView: s.buildReportReply(now, lastReport, r.GetViewVersion(), r.GetEpoch())}, nil
}

func (s *Server) updateServers(now time.Time, entry identifier.VM, r *peerv1.EntryReport) {
	a := &s.authority
	for _, b := range r.GetChanged() {
		server := decodeServer(b)
		s.lease.observeEpoch(server.HighestFencingToken.Epoch())
		a.reportedBy[server.VM] = entry
		a.placer.HandleAnnouncement(now, server)
	}
	for _, id := range r.GetLost() {
		vm := identifier.VM(id)
		if a.reportedBy[vm] == entry {
			a.placer.MarkLost(now, vm)
		}
	}
}
