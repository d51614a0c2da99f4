// Package registrar keeps the announcements that one entry VM has received from
// backend servers.
//
// Each backend server announces itself to one entry VM and repeats the announcement
// as a heartbeat. The entry VM detects when the heartbeats stop, and reports only
// changes to the placement authority, so that the size of a report does not depend on
// the number of backend servers.
package registrar

import (
	"slices"
	"strings"
	"sync"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

// Registrar is the set of backend servers that announce themselves to this entry VM.
// It is safe for concurrent use. SilenceTimeout is set before use.
type Registrar struct {
	// SilenceTimeout is the time without a heartbeat after which a server counts as
	// lost.
	SilenceTimeout time.Duration

	mu      sync.Mutex
	servers map[identifier.VM]*server
	// version counts the changes. Each server holds the version of its last change.
	version uint64
}

type server struct {
	description     *trefoilheadv1.BackendServer
	load            *trefoilheadv1.Load
	lastAnnouncedAt time.Time
	lost            bool
	changedVersion  uint64
}

// HandleAnnouncement stores an announcement unless it is older than the stored one.
func (r *Registrar) HandleAnnouncement(now time.Time, a *trefoilheadv1.AnnounceRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.servers == nil {
		r.servers = map[identifier.VM]*server{}
	}
	vm := identifier.VM(a.GetServer().GetVmId())
	s := r.servers[vm]
	if s == nil {
		s = &server{description: &trefoilheadv1.BackendServer{}}
		r.servers[vm] = s
	}
	if isOlder(a.GetServer(), s.description) {
		return
	}
	if s.lost || a.GetFirst() || hasChanged(a.GetServer(), s.description) {
		r.version++
		s.changedVersion = r.version
	}
	s.description, s.load, s.lastAnnouncedAt, s.lost = a.GetServer(), a.GetLoad(), now, false
}

func isOlder(a, b *trefoilheadv1.BackendServer) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() < b.GetIncarnation()
	}
	return a.GetSequence() < b.GetSequence()
}

// hasChanged reports whether two announcements of a server differ in anything that
// has to be reported to the placement authority. The sequence does not count.
func hasChanged(a, b *trefoilheadv1.BackendServer) bool {
	return a.GetIncarnation() != b.GetIncarnation() || a.GetGroup() != b.GetGroup() ||
		a.GetGroupFence() != b.GetGroupFence() || a.GetState() != b.GetState() ||
		a.GetModel() != b.GetModel() || a.GetVersion() != b.GetVersion() ||
		a.GetAddress() != b.GetAddress() || a.GetKind() != b.GetKind() ||
		a.GetHighestFence() != b.GetHighestFence() || a.GetConcurrency() != b.GetConcurrency() ||
		a.GetFabricDomain() != b.GetFabricDomain() || a.GetAccelerators() != b.GetAccelerators() ||
		!slices.Equal(a.GetAdapters(), b.GetAdapters()) || !slices.Equal(a.GetGroupMembers(), b.GetGroupMembers())
}

// Changes is the content of a report to the placement authority.
type Changes struct {
	// Version is the version up to which the report contains all changes.
	Version uint64
	Changed []*trefoilheadv1.BackendServer
	Lost    []identifier.VM
}

// ChangesSince returns the changes after a version, or all servers if it is 0. It
// first marks servers as lost that have not announced themselves for SilenceTimeout.
func (r *Registrar) ChangesSince(now time.Time, version uint64) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireServers(now)
	c := Changes{Version: r.version}
	for vm, s := range r.servers {
		switch {
		case s.changedVersion <= version:
		case s.lost:
			c.Lost = append(c.Lost, vm)
		default:
			c.Changed = append(c.Changed, s.description)
		}
	}
	slices.Sort(c.Lost)
	slices.SortFunc(c.Changed, func(a, b *trefoilheadv1.BackendServer) int { return strings.Compare(a.GetVmId(), b.GetVmId()) })
	return c
}

func (r *Registrar) expireServers(now time.Time) {
	for _, s := range r.servers {
		if !s.lost && now.Sub(s.lastAnnouncedAt) > r.SilenceTimeout {
			s.lost = true
			r.version++
			s.changedVersion = r.version
		}
	}
}

// MarkChanged marks the given VMs as changed, so that the next report includes those
// that announce themselves to this entry VM.
func (r *Registrar) MarkChanged(now time.Time, vms []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireServers(now)
	for _, vm := range vms {
		if s := r.servers[identifier.VM(vm)]; s != nil && !s.lost {
			r.version++
			s.changedVersion = r.version
		}
	}
}

// AnyLost reports whether any of the VMs has announced itself to this entry VM and
// is lost now.
func (r *Registrar) AnyLost(now time.Time, vms []identifier.VM) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireServers(now)
	for _, vm := range vms {
		if s := r.servers[vm]; s != nil && s.lost {
			return true
		}
	}
	return false
}

// RunningRequests returns the number of running requests that a VM last announced.
// It returns false when the VM does not announce itself to this entry VM or is lost.
func (r *Registrar) RunningRequests(now time.Time, vm identifier.VM) (uint32, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireServers(now)
	s := r.servers[vm]
	if s == nil || s.lost {
		return 0, false
	}
	return s.load.GetRunning(), true
}

// Servers returns the last announcement of every server, lost ones included, sorted
// by VM. It is used for the state dump.
func (r *Registrar) Servers() []*trefoilheadv1.BackendServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*trefoilheadv1.BackendServer
	for _, s := range r.servers {
		all = append(all, s.description)
	}
	slices.SortFunc(all, func(a, b *trefoilheadv1.BackendServer) int { return strings.Compare(a.GetVmId(), b.GetVmId()) })
	return all
}
