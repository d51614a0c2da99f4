// Package locator holds the knowledge of one entry VM about where services run:
// the placement view of its own failure domain, the digests of the other failure
// domains, and the configuration.
package locator

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/internal/router"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Locator is safe for concurrent use. Exported fields are set before use.
type Locator struct {
	VM     identifier.VM
	Domain identifier.FailureDomain
	// ExclusiveOwnershipTimeout is the time without a reply from the placement
	// authority after which the ownership of this entry VM is no longer exclusive.
	ExclusiveOwnershipTimeout time.Duration
	// MaxDigestAge is the age above which a digest counts as stale, so that no requests
	// are sent to its failure domain.
	MaxDigestAge time.Duration
	// Peers lists the configured entry VMs of each failure domain. They stand in for
	// those that a digest lists until one has arrived.
	Peers map[identifier.FailureDomain][]identifier.VM

	mu          sync.RWMutex
	view        *peerv1.PlacementView
	groups      map[identifier.Group]*peerv1.GroupView
	confirmedAt time.Time
	digests     map[identifier.FailureDomain]digest
	config      recorder.View
	teams       map[string]declarer.Team
	services    map[identifier.Service]declarer.Service
	// ownedGroups holds the groups that this entry VM owns by the current view.
	ownedGroups map[identifier.Group]bool
}

type digest struct {
	msg        *peerv1.Digest
	receivedAt time.Time
	// direct means that the digest was received from its own failure domain and
	// has not been forwarded to the placement authority yet.
	direct bool
}

// SetConfig replaces the configuration.
func (l *Locator) SetConfig(v recorder.View) {
	teams := map[string]declarer.Team{}
	for _, t := range v.Teams() {
		teams[t.KeySHA256] = t
	}
	services := map[identifier.Service]declarer.Service{}
	for _, s := range v.Services() {
		services[s.ID] = s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config, l.teams, l.services = v, teams, services
}

// SetView applies the placement authority's reply to a report that was sent at
// requestedAt. ExclusiveOwnershipTimeout is counted from that time, so that it expires
// before the authority considers this entry VM lost and assigns another owner.
func (l *Locator) SetView(requestedAt time.Time, v *peerv1.PlacementView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmedAt = requestedAt
	for _, d := range v.GetDigests() {
		l.setDigestLocked(requestedAt, d, false)
	}
	if !v.GetFull() {
		return
	}
	l.view = v
	l.groups = map[identifier.Group]*peerv1.GroupView{}
	l.ownedGroups = map[identifier.Group]bool{}
	for _, g := range v.GetGroups() {
		id := identifier.Group(g.GetId())
		l.groups[id] = g
		if identifier.VM(g.GetOwner()) == l.VM {
			l.ownedGroups[id] = true
		}
	}
}

// SetDigest stores the digest of another failure domain unless it is older than the
// stored one. A direct digest was received from that failure domain itself.
func (l *Locator) SetDigest(now time.Time, d *peerv1.Digest, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setDigestLocked(now, d, direct)
}

func (l *Locator) setDigestLocked(now time.Time, d *peerv1.Digest, direct bool) {
	id := identifier.FailureDomain(d.GetFailureDomain())
	if id == l.Domain {
		return
	}
	old := l.digests[id].msg
	if old != nil && (d.GetEpoch() < old.GetEpoch() || d.GetEpoch() == old.GetEpoch() && d.GetSequence() <= old.GetSequence()) {
		return
	}
	if l.digests == nil {
		l.digests = map[identifier.FailureDomain]digest{}
	}
	l.digests[id] = digest{msg: d, receivedAt: now, direct: direct}
}

// DigestsSince returns the digests received after the given time.
func (l *Locator) DigestsSince(since time.Time) []*peerv1.Digest {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var all []*peerv1.Digest
	for _, d := range l.digests {
		if d.receivedAt.After(since) {
			all = append(all, d.msg)
		}
	}
	return all
}

// TakeDirectDigests returns the direct digests that have not been forwarded to the
// placement authority yet, and marks them as forwarded.
func (l *Locator) TakeDirectDigests() []*peerv1.Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*peerv1.Digest
	for id, d := range l.digests {
		if d.direct {
			all = append(all, d.msg)
			d.direct = false
			l.digests[id] = d
		}
	}
	return all
}

// View returns the current placement view, or nil if there is none, and the time
// since the authority last confirmed it.
func (l *Locator) View(now time.Time) (*peerv1.PlacementView, time.Duration) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.view, now.Sub(l.confirmedAt)
}

// ConfigRevision returns the revision of the configuration.
func (l *Locator) ConfigRevision() identifier.Revision {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.config.Revision
}

// TeamByKey returns the team to which an API key belongs.
func (l *Locator) TeamByKey(apiKey string) (declarer.Team, bool) {
	sum := sha256.Sum256([]byte(apiKey))
	l.mu.RLock()
	defer l.mu.RUnlock()
	t, ok := l.teams[hex.EncodeToString(sum[:])]
	return t, ok
}

// Service returns the declaration of a service.
func (l *Locator) Service(id identifier.Service) (declarer.Service, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s, ok := l.services[id]
	return s, ok
}

// ServiceIDs returns the ids of all declared services, sorted.
func (l *Locator) ServiceIDs() []identifier.Service {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var ids []identifier.Service
	for id := range l.services {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// IsDomainEvacuated reports whether operators have taken out a failure domain, which
// the configuration stores as a drain of the kind recorder.DrainFailureDomain.
func (l *Locator) IsDomainEvacuated(d identifier.FailureDomain) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.isDomainEvacuatedLocked(d)
}

func (l *Locator) isDomainEvacuatedLocked(d identifier.FailureDomain) bool {
	return l.config.IsDrained(recorder.Drain{Kind: recorder.DrainFailureDomain, ID: string(d)})
}

// IsEntryVMDrained reports whether operators have drained this entry VM.
func (l *Locator) IsEntryVMDrained() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.config.IsDrained(recorder.Drain{Kind: recorder.DrainEntryVM, ID: string(l.VM)})
}

// Candidates returns the serving groups of a service in the local failure domain,
// except those in exclude. The caller fills in RunningDelta.
func (l *Locator) Candidates(s identifier.Service, exclude map[identifier.Group]bool) []router.Candidate {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var cs []router.Candidate
	for id, g := range l.groups {
		if identifier.Service(g.GetService()) != s || !g.GetServing() || exclude[id] || g.GetOwner() == "" {
			continue
		}
		if l.hasDrainedMember(g) {
			continue
		}
		cs = append(cs, router.Candidate{
			Group: id, Owner: identifier.VM(g.GetOwner()), ReportedRunning: g.GetRunning(), Limit: g.GetLimit(),
		})
	}
	slices.SortFunc(cs, func(a, b router.Candidate) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	return cs
}

// hasDrainedMember reports whether a member of the group is drained according to this
// entry VM's configuration, which the placement authority may not have received yet.
func (l *Locator) hasDrainedMember(g *peerv1.GroupView) bool {
	for _, vm := range g.GetMembers() {
		if l.config.IsDrained(recorder.Drain{Kind: recorder.DrainBackendServer, ID: vm}) {
			return true
		}
	}
	return false
}

// GroupIDs returns the ids of the groups in the local failure domain.
func (l *Locator) GroupIDs() map[identifier.Group]bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	ids := make(map[identifier.Group]bool, len(l.groups))
	for id := range l.groups {
		ids[id] = true
	}
	return ids
}

// DomainLoads returns the load of a service in each known failure domain.
func (l *Locator) DomainLoads(now time.Time, s identifier.Service) []router.DomainLoad {
	l.mu.RLock()
	defer l.mu.RUnlock()
	local := router.DomainLoad{Domain: l.Domain, Evacuated: l.isDomainEvacuatedLocked(l.Domain)}
	for _, g := range l.groups {
		if identifier.Service(g.GetService()) == s && g.GetServing() && !l.hasDrainedMember(g) {
			local.ServingGroups++
			local.Running += g.GetRunning()
			local.Limit += g.GetLimit()
		}
	}
	all := []router.DomainLoad{local}
	for id, d := range l.digests {
		all = append(all, remoteDomainLoad(id, d.msg, s, now.Sub(d.receivedAt) > l.MaxDigestAge, l.isDomainEvacuatedLocked(id)))
	}
	for id := range l.Peers {
		if _, known := l.digests[id]; !known && id != l.Domain {
			all = append(all, router.DomainLoad{Domain: id, Evacuated: l.isDomainEvacuatedLocked(id)})
		}
	}
	slices.SortFunc(all, func(a, b router.DomainLoad) int {
		if a.Domain < b.Domain {
			return -1
		}
		return 1
	})
	return all
}

func remoteDomainLoad(id identifier.FailureDomain, d *peerv1.Digest, s identifier.Service, stale, evacuated bool) router.DomainLoad {
	load := router.DomainLoad{Domain: id, Stale: stale, Evacuated: evacuated}
	for _, sd := range d.GetServices() {
		if identifier.Service(sd.GetService()) == s {
			load.ServingGroups, load.Running, load.Limit = sd.GetServing(), sd.GetRunning(), sd.GetLimit()
		}
	}
	return load
}

// OtherEntryVMs returns the live entry VMs of a failure domain except this one.
func (l *Locator) OtherEntryVMs(d identifier.FailureDomain) []identifier.VM {
	l.mu.RLock()
	defer l.mu.RUnlock()
	list := l.view.GetEntries()
	if d != l.Domain {
		digest, known := l.digests[d]
		if !known {
			return slices.Clone(l.Peers[d])
		}
		list = digest.msg.GetEntries()
	}
	var vms []identifier.VM
	for _, e := range list {
		if identifier.VM(e.GetVmId()) != l.VM {
			vms = append(vms, identifier.VM(e.GetVmId()))
		}
	}
	return vms
}

// Ownership is the right of this entry VM to send requests to a group.
type Ownership int

// Kinds of ownership.
const (
	// OwnershipNone means that this entry VM does not own the group.
	OwnershipNone Ownership = iota
	// OwnershipUncertain means that another entry VM may act as owner at the same
	// time: either a previous owner that does not know its successor yet, or a
	// successor that this entry VM does not know yet.
	OwnershipUncertain
	// OwnershipExclusive means that no other entry VM can own the group.
	OwnershipExclusive
)

// GroupOwnership returns a group and this entry VM's ownership of it.
func (l *Locator) GroupOwnership(now time.Time, id identifier.Group) (*peerv1.GroupView, Ownership) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	g := l.groups[id]
	switch {
	case g == nil || !l.ownedGroups[id]:
		return g, OwnershipNone
	case now.Sub(l.confirmedAt) > l.ExclusiveOwnershipTimeout, !g.GetFirstOwner():
		return g, OwnershipUncertain
	}
	return g, OwnershipExclusive
}

// OwnedGroups returns the groups that this entry VM owns, sorted by id.
func (l *Locator) OwnedGroups() []*peerv1.GroupView {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var all []*peerv1.GroupView
	for id := range l.ownedGroups {
		all = append(all, l.groups[id])
	}
	slices.SortFunc(all, func(a, b *peerv1.GroupView) int {
		if a.GetId() < b.GetId() {
			return -1
		}
		return 1
	})
	return all
}

// OwnerOf returns the owner of the group of a backend server, or an empty string if
// the backend server is in no known group.
func (l *Locator) OwnerOf(vm identifier.VM) identifier.VM {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, g := range l.groups {
		if slices.Contains(g.GetMembers(), string(vm)) {
			return identifier.VM(g.GetOwner())
		}
	}
	return ""
}
