// Package locator holds what one entry process knows of where services run:
// its own failure domain's groups, digests of the other domains, and the
// configuration.
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
	// SoleOwnerTimeout is the time after which an owner without word from the
	// authority doubts that it is the only one.
	SoleOwnerTimeout time.Duration
	// MaxDigestAge is how old a digest may be before its domain counts as cut off.
	MaxDigestAge time.Duration

	mu      sync.RWMutex
	view    *peerv1.PlacementView
	groups  map[identifier.Group]*peerv1.GroupView
	heard   time.Time
	digests map[identifier.FailureDomain]digest
	config  recorder.View
	teams   map[string]declarer.Team
	service map[identifier.Service]declarer.Service
	// owned notes when this entry became owner of each group.
	owned map[identifier.Group]bool
}

type digest struct {
	d     *peerv1.Digest
	heard time.Time
	// direct is set on a digest that came from its own domain and has not been
	// passed on yet.
	direct bool
}

// SetConfig takes over a configuration.
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
	l.config, l.teams, l.service = v, teams, services
}

// SetView takes the authority's answer to a report that was sent at asked.
// Counting the lease from then makes it end here before the authority thinks
// so.
func (l *Locator) SetView(asked time.Time, v *peerv1.PlacementView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = asked
	for _, d := range v.GetDigests() {
		l.setDigest(asked, d, false)
	}
	if !v.GetFull() {
		return
	}
	l.view = v
	l.groups = map[identifier.Group]*peerv1.GroupView{}
	l.owned = map[identifier.Group]bool{}
	for _, g := range v.GetGroups() {
		id := identifier.Group(g.GetId())
		l.groups[id] = g
		if identifier.VM(g.GetOwner()) == l.VM {
			l.owned[id] = true
		}
	}
}

// SetDigest takes another domain's digest. A direct one came from that domain
// itself.
func (l *Locator) SetDigest(now time.Time, d *peerv1.Digest, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setDigest(now, d, direct)
}

func (l *Locator) setDigest(now time.Time, d *peerv1.Digest, direct bool) {
	id := identifier.FailureDomain(d.GetFailureDomain())
	if id == l.Domain {
		return
	}
	old := l.digests[id].d
	if old != nil && (d.GetEpoch() < old.GetEpoch() || d.GetEpoch() == old.GetEpoch() && d.GetSequence() <= old.GetSequence()) {
		return
	}
	if l.digests == nil {
		l.digests = map[identifier.FailureDomain]digest{}
	}
	l.digests[id] = digest{d: d, heard: now, direct: direct}
}

// DigestsSince returns the digests heard after a time.
func (l *Locator) DigestsSince(since time.Time) []*peerv1.Digest {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var all []*peerv1.Digest
	for _, d := range l.digests {
		if d.heard.After(since) {
			all = append(all, d.d)
		}
	}
	return all
}

// TakeDirectDigests returns the direct digests that have not been passed on to the
// placement authority yet.
func (l *Locator) TakeDirectDigests() []*peerv1.Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*peerv1.Digest
	for id, d := range l.digests {
		if d.direct {
			all = append(all, d.d)
			d.direct = false
			l.digests[id] = d
		}
	}
	return all
}

// View returns the present placement view, or nil, and its age.
func (l *Locator) View(now time.Time) (*peerv1.PlacementView, time.Duration) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.view, now.Sub(l.heard)
}

// ConfigRevision returns the configuration's revision.
func (l *Locator) ConfigRevision() identifier.Revision {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.config.Revision
}

// TeamByKey returns the team that an API key belongs to.
func (l *Locator) TeamByKey(apiKey string) (declarer.Team, bool) {
	sum := sha256.Sum256([]byte(apiKey))
	l.mu.RLock()
	defer l.mu.RUnlock()
	t, ok := l.teams[hex.EncodeToString(sum[:])]
	return t, ok
}

// Service returns a declared service.
func (l *Locator) Service(id identifier.Service) (declarer.Service, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s, ok := l.service[id]
	return s, ok
}

// ServiceIDs returns the ids of all declared services, sorted.
func (l *Locator) ServiceIDs() []identifier.Service {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var ids []identifier.Service
	for id := range l.service {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// IsDomainDrained reports whether operators have taken a domain out.
func (l *Locator) IsDomainDrained(d identifier.FailureDomain) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.domainDrained(d)
}

func (l *Locator) domainDrained(d identifier.FailureDomain) bool {
	return l.config.IsDrained(recorder.Drain{Kind: recorder.DrainFailureDomain, ID: string(d)})
}

// IsEntryVMDrained reports whether operators have taken this entry VM out.
func (l *Locator) IsEntryVMDrained() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.config.IsDrained(recorder.Drain{Kind: recorder.DrainEntryVM, ID: string(l.VM)})
}

// Candidates returns the local domain's serving groups of a service, but for
// those already tried. The Sent counts are left to the caller.
func (l *Locator) Candidates(s identifier.Service, tried map[identifier.Group]bool) []router.Candidate {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var cs []router.Candidate
	for id, g := range l.groups {
		if identifier.Service(g.GetService()) != s || !g.GetServing() || tried[id] || g.GetOwner() == "" {
			continue
		}
		if l.backendDrained(g) {
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

// backendDrained reports whether a member is taken out in a configuration that
// the authority may not know yet.
func (l *Locator) backendDrained(g *peerv1.GroupView) bool {
	for _, vm := range g.GetMembers() {
		if l.config.IsDrained(recorder.Drain{Kind: recorder.DrainBackendServer, ID: vm}) {
			return true
		}
	}
	return false
}

// GroupIDs returns the ids of the local domain's groups.
func (l *Locator) GroupIDs() map[identifier.Group]bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	known := make(map[identifier.Group]bool, len(l.groups))
	for id := range l.groups {
		known[id] = true
	}
	return known
}

// DomainLoads returns what is known of each domain for a service.
func (l *Locator) DomainLoads(now time.Time, s identifier.Service) []router.DomainLoad {
	l.mu.RLock()
	defer l.mu.RUnlock()
	local := router.DomainLoad{Domain: l.Domain, Drained: l.domainDrained(l.Domain)}
	for _, g := range l.groups {
		if identifier.Service(g.GetService()) == s && g.GetServing() && !l.backendDrained(g) {
			local.ServingGroups++
			local.Running += g.GetRunning()
			local.Limit += g.GetLimit()
		}
	}
	all := []router.DomainLoad{local}
	for id, d := range l.digests {
		all = append(all, remoteLoad(id, d.d, s, now.Sub(d.heard) > l.MaxDigestAge, l.domainDrained(id)))
	}
	slices.SortFunc(all, func(a, b router.DomainLoad) int {
		if a.Domain < b.Domain {
			return -1
		}
		return 1
	})
	return all
}

func remoteLoad(id identifier.FailureDomain, d *peerv1.Digest, s identifier.Service, stale, drained bool) router.DomainLoad {
	load := router.DomainLoad{Domain: id, Stale: stale, Drained: drained}
	for _, sd := range d.GetServices() {
		if identifier.Service(sd.GetService()) == s {
			load.ServingGroups, load.Running, load.Limit = sd.GetServing(), sd.GetRunning(), sd.GetLimit()
		}
	}
	return load
}

// OtherEntryVMs returns the live entry VMs of a domain, this one left out.
func (l *Locator) OtherEntryVMs(d identifier.FailureDomain) []identifier.VM {
	l.mu.RLock()
	defer l.mu.RUnlock()
	list := l.view.GetEntries()
	if d != l.Domain {
		list = l.digests[d].d.GetEntries()
	}
	var vms []identifier.VM
	for _, e := range list {
		if identifier.VM(e.GetVmId()) != l.VM {
			vms = append(vms, identifier.VM(e.GetVmId()))
		}
	}
	return vms
}

// Ownership is this entry's right to send to a group.
type Ownership int

// Holds.
const (
	// OwnershipNone means that this entry does not own the group.
	OwnershipNone Ownership = iota
	// OwnershipUncertain means that another entry may own the group too: an earlier
	// owner that has not heard of its successor, or a successor that this one
	// has not heard of.
	OwnershipUncertain
	// OwnershipExclusive means that no other entry can own the group.
	OwnershipExclusive
)

// GroupOwnership returns a group and this entry's right to send to it.
func (l *Locator) GroupOwnership(now time.Time, id identifier.Group) (*peerv1.GroupView, Ownership) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	g := l.groups[id]
	switch {
	case g == nil || !l.owned[id]:
		return g, OwnershipNone
	case now.Sub(l.heard) > l.SoleOwnerTimeout, !g.GetFirstOwner():
		return g, OwnershipUncertain
	}
	return g, OwnershipExclusive
}

// OwnedGroups returns the groups that this entry owns, for reports.
func (l *Locator) OwnedGroups() []*peerv1.GroupView {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var all []*peerv1.GroupView
	for id := range l.owned {
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

// OwnerOf returns the owner of the group that a backend server is in.
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
