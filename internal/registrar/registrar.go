// Package registrar keeps what one entry process heard from backend servers.
//
// Backend servers announce themselves to one entry each. The entry notices
// when one falls silent, and reports to the placement authority only what has
// changed, so that a report costs little however many servers there are.
package registrar

import (
	"slices"
	"strings"
	"sync"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

// Registrar is the set of backend servers heard by this entry. Silence is set
// before use.
type Registrar struct {
	// SilenceTimeout is how long a server may be silent before it counts as lost.
	SilenceTimeout time.Duration

	mu      sync.Mutex
	servers map[identifier.VM]*server
	// version counts changes; each server remembers the one that changed it.
	version uint64
}

type server struct {
	last    *trefoilheadv1.BackendServer
	load    *trefoilheadv1.Load
	heard   time.Time
	lost    bool
	changed uint64
}

// HandleAnnouncement takes an announcement.
func (r *Registrar) HandleAnnouncement(now time.Time, a *trefoilheadv1.AnnounceRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.servers == nil {
		r.servers = map[identifier.VM]*server{}
	}
	vm := identifier.VM(a.GetServer().GetVmId())
	s := r.servers[vm]
	if s == nil {
		s = &server{last: &trefoilheadv1.BackendServer{}}
		r.servers[vm] = s
	}
	if older(a.GetServer(), s.last) {
		return
	}
	if s.lost || a.GetFirst() || differs(a.GetServer(), s.last) {
		r.version++
		s.changed = r.version
	}
	s.last, s.load, s.heard, s.lost = a.GetServer(), a.GetLoad(), now, false
}

func older(a, b *trefoilheadv1.BackendServer) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() < b.GetIncarnation()
	}
	return a.GetSequence() < b.GetSequence()
}

// differs reports whether an announcement says anything new but its sequence.
func differs(a, b *trefoilheadv1.BackendServer) bool {
	return a.GetIncarnation() != b.GetIncarnation() || a.GetGroup() != b.GetGroup() ||
		a.GetGroupFence() != b.GetGroupFence() || a.GetState() != b.GetState() ||
		a.GetModel() != b.GetModel() || a.GetVersion() != b.GetVersion() ||
		a.GetAddress() != b.GetAddress() || a.GetKind() != b.GetKind() ||
		a.GetHighestFence() != b.GetHighestFence() || a.GetConcurrency() != b.GetConcurrency() ||
		a.GetFabricDomain() != b.GetFabricDomain() || a.GetAccelerators() != b.GetAccelerators() ||
		!slices.Equal(a.GetAdapters(), b.GetAdapters()) || !slices.Equal(a.GetGroupMembers(), b.GetGroupMembers())
}

// Changes is what a report has to carry.
type Changes struct {
	// Version is the state that the report brings its reader to.
	Version uint64
	Changed []*trefoilheadv1.BackendServer
	Lost    []identifier.VM
}

// ChangesSince returns the changes after a version; 0 returns everything. Servers that
// have been silent for too long become lost.
func (r *Registrar) ChangesSince(now time.Time, version uint64) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	c := Changes{Version: r.version}
	for vm, s := range r.servers {
		switch {
		case s.changed <= version:
		case s.lost:
			c.Lost = append(c.Lost, vm)
		default:
			c.Changed = append(c.Changed, s.last)
		}
	}
	slices.Sort(c.Lost)
	slices.SortFunc(c.Changed, func(a, b *trefoilheadv1.BackendServer) int { return strings.Compare(a.GetVmId(), b.GetVmId()) })
	return c
}

func (r *Registrar) expire(now time.Time) {
	for _, s := range r.servers {
		if !s.lost && now.Sub(s.heard) > r.SilenceTimeout {
			s.lost = true
			r.version++
			s.changed = r.version
		}
	}
}

// MarkChanged makes the next report carry those of the VMs that are heard here.
func (r *Registrar) MarkChanged(now time.Time, vms []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for _, vm := range vms {
		if s := r.servers[identifier.VM(vm)]; s != nil && !s.lost {
			r.version++
			s.changed = r.version
		}
	}
}

// AnyLost reports whether any of the VMs is known here to be silent.
func (r *Registrar) AnyLost(now time.Time, vms []identifier.VM) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for _, vm := range vms {
		if s := r.servers[vm]; s != nil && s.lost {
			return true
		}
	}
	return false
}

// RunningRequests returns the number of requests that a VM last reported, and false
// when it announces itself elsewhere or not at all.
func (r *Registrar) RunningRequests(now time.Time, vm identifier.VM) (uint32, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	s := r.servers[vm]
	if s == nil || s.lost {
		return 0, false
	}
	return s.load.GetRunning(), true
}

// Servers returns the last announcements, sorted by VM, for the state dump.
func (r *Registrar) Servers() []*trefoilheadv1.BackendServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*trefoilheadv1.BackendServer
	for _, s := range r.servers {
		all = append(all, s.last)
	}
	slices.SortFunc(all, func(a, b *trefoilheadv1.BackendServer) int { return strings.Compare(a.GetVmId(), b.GetVmId()) })
	return all
}
