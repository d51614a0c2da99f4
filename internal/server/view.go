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

// updateView rebuilds the placement view that entries receive. Its version changes
// only if the view does. Loads are not part of the view and are sent separately.
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
		if now.Sub(e.reportedAt) <= s.Settings.Timing.SilenceTimeout && !e.leaving {
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

// maxRemovedGroups limits the number of removed groups that are remembered. When
// it is exceeded the list is cleared, and entries with an older version of the view
// receive the whole view.
const maxRemovedGroups = 1000

// recordChangedGroups records which groups differ between the current view and
// the next one.
func (a *authority) recordChangedGroups(next *peerv1.PlacementView) {
	old := map[string]*peerv1.GroupView{}
	for _, g := range a.view.GetGroups() {
		old[g.GetId()] = g
	}
	for _, g := range next.Groups {
		if before := old[g.GetId()]; before == nil || !proto.Equal(before, g) {
			a.changedAtVersion[g.GetId()] = next.Version
		}
		// The group of a plain service has the same id when it is formed again.
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

// addGroupChanges adds to a reply the groups that changed after the entry's
// version of the view, or all groups when the entry has no view of this epoch or
// one that is too old.
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
	for id, removedAt := range a.removedAtVersion {
		if removedAt > version {
			out.Removed = append(out.Removed, id)
		}
	}
}

// recordStoppedGroups records for each group that does not serve the version of
// the view since which it does not.
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
		Id: string(g.ID), Service: string(g.Service), Address: g.Address, Serving: g.State == placer.GroupServing,
		Owner: string(g.Owner), Fence: uint64(g.FencingToken), Model: g.Model, Version: g.Version, Adapters: g.Adapters,
		Concurrency: g.Concurrency, ColdConcurrency: g.ColdConcurrency, Incarnation: uint64(g.Incarnation),
		State: string(g.State), Reason: g.Reason, FabricDomain: string(g.FabricDomain), FirstOwner: g.FirstOwner,
	}
	for _, m := range g.Members {
		out.Members = append(out.Members, string(m))
	}
	return out
}

// buildReportReply returns the reply to an entry's report: the changes of the view
// after the entry's version, the digests received since its last report, and the
// loads of all groups.
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
		for _, st := range a.placer.StrandedVMs(now) {
			out.Stranded = append(out.Stranded, &trefoilheadv1.StrandedVM{
				VmId: string(st.VM), FailureDomain: string(s.Settings.FailureDomain),
				Accelerators: st.Accelerators, Reason: st.Reason,
			})
		}
	}
	for _, vm := range a.placer.LostVMs() {
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
	for _, entry := range a.entries {
		for g, l := range entry.loads {
			sum := sums[g]
			sum.running += l.running
			sum.limit += l.limit
			sums[g] = sum
		}
	}
	return sums
}

// buildDigest returns the summary of this failure domain's load that is sent to
// the other domains. It returns false if this process is not the authority or
// has no view yet.
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
		service := byService[g.GetService()]
		if service == nil {
			service = &peerv1.ServiceDigest{Service: g.GetService()}
			byService[g.GetService()] = service
			d.Services = append(d.Services, service)
		}
		l := sums[identifier.Group(g.GetId())]
		service.Serving++
		service.Running += l.running
		service.Limit += l.limit
	}
	return d, true
}

// maxDigestEntries is the maximum number of entries that a digest lists.
const maxDigestEntries = 4

func sampleEntries(all []*peerv1.EntryView, r *lockedRand) []*peerv1.EntryView {
	if len(all) <= maxDigestEntries {
		return all
	}
	start := r.IntN(len(all))
	var sample []*peerv1.EntryView
	for i := range maxDigestEntries {
		sample = append(sample, all[(start+i)%len(all)])
	}
	return sample
}

// digestHeartbeats is the number of heartbeats between two digests of a failure
// domain.
const digestHeartbeats = 3

// digestFanout is the number of random entries of each other failure domain that
// a digest is sent to; they pass it on to their authority with their reports.
const digestFanout = 2

// sendDigest sends the other failure domains a summary of this domain's load.
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
