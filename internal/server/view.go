package server

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/placer"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

// updateView makes the placement view that entries get. Its version changes
// only when something but loads has changed.
func (s *Server) updateView(now time.Time) {
	a := &s.authority
	v := &peerv1.PlacementView{
		FailureDomain: string(s.Settings.FailureDomain), Authority: string(s.Settings.VM), Epoch: uint64(a.epoch),
		Full: true,
	}
	for _, g := range a.placer.Groups() {
		v.Groups = append(v.Groups, encodeGroup(g))
	}
	for vm, e := range a.entries {
		if now.Sub(e.reportedAt) <= s.Settings.Timing.Silence && !e.leaving {
			v.Entries = append(v.Entries, &peerv1.EntryView{VmId: string(vm), Address: e.address})
		}
	}
	slices.SortFunc(v.Entries, func(x, y *peerv1.EntryView) int {
		if x.GetVmId() < y.GetVmId() {
			return -1
		}
		return 1
	})
	if a.view != nil {
		v.Version = a.view.Version
		if proto.Equal(v, a.view) {
			return
		}
	}
	a.viewVersion++
	v.Version = a.viewVersion
	a.recordChangedGroups(v)
	a.view = v
	a.recordStoppedGroups()
}

// maxRemovedGroups bounds the groups that are remembered as gone. When there are
// more, entries that lag get the whole view.
const maxRemovedGroups = 1000

// recordChangedGroups notes which groups differ between the present view and the next.
func (a *authority) recordChangedGroups(next *peerv1.PlacementView) {
	old := map[string]*peerv1.GroupView{}
	for _, g := range a.view.GetGroups() {
		old[g.GetId()] = g
	}
	for _, g := range next.Groups {
		if before := old[g.GetId()]; before == nil || !proto.Equal(before, g) {
			a.changedAtVersion[g.GetId()] = next.Version
		}
		// The group of a plain service keeps its id when it comes back.
		delete(a.removedAtVersion, g.GetId())
		delete(old, g.GetId())
	}
	for id := range old {
		delete(a.changedAtVersion, id)
		a.removedAtVersion[id] = next.Version
	}
	if len(a.removedAtVersion) > maxRemovedGroups {
		a.removedAtVersion = map[string]uint64{}
		a.oldestDiffVersion = next.Version
	}
}

// addGroupChanges puts into an answer what an entry at a version lacks: the changed
// groups, or all of them when it knows none or too old ones.
func (a *authority) addGroupChanges(out *peerv1.PlacementView, version, epoch uint64) {
	out.Full = true
	out.Entries = a.view.Entries
	if epoch != uint64(a.epoch) || version == 0 || version < a.oldestDiffVersion {
		out.Groups = a.view.Groups
		return
	}
	out.Since = version
	for _, g := range a.view.Groups {
		if a.changedAtVersion[g.GetId()] > version {
			out.Groups = append(out.Groups, g)
		}
	}
	for id, at := range a.removedAtVersion {
		if at > version {
			out.Removed = append(out.Removed, id)
		}
	}
}

// recordStoppedGroups notes the version that first says that a group does not serve.
func (a *authority) recordStoppedGroups() {
	stopped := map[identifier.Group]uint64{}
	for _, g := range a.view.Groups {
		id := identifier.Group(g.GetId())
		if g.GetServing() {
			continue
		}
		stopped[id] = a.view.Version
		if since, ok := a.stoppedAtVersion[id]; ok {
			stopped[id] = since
		}
	}
	a.stoppedAtVersion = stopped
}

func encodeGroup(g placer.GroupInfo) *peerv1.GroupView {
	out := &peerv1.GroupView{
		Id: string(g.ID), Service: string(g.Service), Address: g.Address, Serving: g.State == placer.Serving,
		Owner: string(g.Owner), Fence: uint64(g.Fence), Model: g.Model, Version: g.Version, Adapters: g.Adapters,
		Concurrency: g.Concurrency, ColdConcurrency: g.ColdConcurrency, Incarnation: uint64(g.Incarnation),
		State: string(g.State), Reason: g.Reason, FabricDomain: string(g.FabricDomain), FirstOwner: g.FirstOwner,
	}
	for _, m := range g.Members {
		out.Members = append(out.Members, string(m))
	}
	return out
}

// buildReportReply returns what an entry at a version lacks since its last report,
// and all loads.
func (s *Server) buildReportReply(now, since time.Time, version, epoch uint64) *peerv1.PlacementView {
	a := &s.authority
	out := &peerv1.PlacementView{
		FailureDomain: string(s.Settings.FailureDomain), Authority: string(s.Settings.VM), Epoch: uint64(a.epoch),
		Version: a.viewVersion, Digests: s.locator.DigestsSince(since),
	}
	if a.view == nil {
		return out
	}
	if version != a.viewVersion || epoch != uint64(a.epoch) {
		a.addGroupChanges(out, version, epoch)
		for _, st := range a.placer.Stranded(now) {
			out.Stranded = append(out.Stranded, &trefoilheadv1.StrandedVM{
				VmId: string(st.VM), FailureDomain: string(s.Settings.FailureDomain),
				Accelerators: st.Accelerators, Reason: st.Reason,
			})
		}
	}
	for _, vm := range a.placer.Silent() {
		out.Silent = append(out.Silent, string(vm))
	}
	sums := a.sumLoads()
	for _, g := range a.view.Groups {
		l := sums[identifier.Group(g.GetId())]
		out.Running = append(out.Running, l.running)
		out.Limits = append(out.Limits, l.limit)
	}
	return out
}

func (a *authority) sumLoads() map[identifier.Group]groupLoad {
	sums := map[identifier.Group]groupLoad{}
	for _, e := range a.entries {
		for g, l := range e.loads {
			sum := sums[g]
			sum.running += l.running
			sum.limit += l.limit
			sums[g] = sum
		}
	}
	return sums
}

// buildDigest returns the coarse state of this domain for the other ones.
func (s *Server) buildDigest() (*peerv1.Digest, bool) {
	a := &s.authority
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.active || a.view == nil {
		return nil, false
	}
	a.digestSequence++
	d := &peerv1.Digest{
		FailureDomain: string(s.Settings.FailureDomain), Authority: string(s.Settings.VM), Epoch: uint64(a.epoch),
		Sequence: a.digestSequence, Revision: uint64(s.config.Revision()), Entries: sampleEntries(a.view.Entries, s.random),
	}
	sums := a.sumLoads()
	byService := map[string]*peerv1.ServiceDigest{}
	for _, g := range a.view.Groups {
		if !g.GetServing() {
			continue
		}
		sd := byService[g.GetService()]
		if sd == nil {
			sd = &peerv1.ServiceDigest{Service: g.GetService()}
			byService[g.GetService()] = sd
			d.Services = append(d.Services, sd)
		}
		l := sums[identifier.Group(g.GetId())]
		sd.Serving++
		sd.Running += l.running
		sd.Limit += l.limit
	}
	return d, true
}

// maxDigestEntries is the number of entries that a digest names.
const maxDigestEntries = 4

func sampleEntries(all []*peerv1.EntryView, r *lockedRand) []*peerv1.EntryView {
	if len(all) <= maxDigestEntries {
		return all
	}
	start := r.IntN(len(all))
	var some []*peerv1.EntryView
	for i := range maxDigestEntries {
		some = append(some, all[(start+i)%len(all)])
	}
	return some
}

// digestHeartbeats is the number of heartbeats between two digests of a domain.
const digestHeartbeats = 3

// digestFanout is the number of entries of each other domain that a digest is
// sent to; their reports carry it to their authority.
const digestFanout = 2

// sendDigest tells the other domains what this one can take.
func (s *Server) sendDigest() {
	d, ok := s.buildDigest()
	if !ok {
		return
	}
	byDomain := map[identifier.FailureDomain][]identifier.VM{}
	for _, p := range s.Settings.Peers {
		if p.FailureDomain != s.Settings.FailureDomain {
			byDomain[p.FailureDomain] = append(byDomain[p.FailureDomain], p.VM)
		}
	}
	for _, vms := range byDomain {
		for range min(digestFanout, len(vms)) {
			s.linker.Send(vms[s.random.IntN(len(vms))], &peerv1.Envelope{Digest: d})
		}
	}
}

func sortVMs(vms []identifier.VM) []identifier.VM {
	slices.Sort(vms)
	return vms
}
