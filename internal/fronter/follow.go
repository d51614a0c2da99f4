package fronter

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Paces of following.
const (
	// A core process holds an answer for pullWait at least, and for pullShare
	// times the number of fronts, so that the core's work does not grow with the
	// square of the system. It is the pace of this front's reports of its load.
	pullWait  = 20 * time.Millisecond
	pullShare = time.Millisecond
	// pullBound is how much longer an answer may take.
	pullBound = 600 * time.Millisecond
	// firstPullBound is the bound of the first answer that a front needs, which
	// is at hand; a core process that is down must not hold it up. Each one that
	// fails doubles it, until pullBound.
	firstPullBound    = 150 * time.Millisecond
	maxFirstDoublings = 2
	// pullRetry is the pause after a pull that failed.
	pullRetry = 30 * time.Millisecond
	// avoidFor is how long a core process that failed is not asked.
	avoidFor = 3 * time.Second
	// staleCore is the age of a core process's own state from which another one
	// is asked.
	staleCore = 1500 * time.Millisecond
)

// followLoop pulls from the core processes until ctx ends.
func (f *Front) followLoop(ctx context.Context) {
	for ctx.Err() == nil {
		core := f.pickCore(time.Now())
		if core == "" {
			pause(ctx, pullRetry)
			continue
		}
		if !f.pull(ctx, core) {
			f.follow.avoid[core] = time.Now().Add(avoidFor)
			pause(ctx, pullRetry)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// pickCore returns the core process to ask: the present one while it serves, one
// of the own failure domain, or any.
func (f *Front) pickCore(now time.Time) identifier.VM {
	w := &f.follow
	for vm, until := range w.avoid {
		if now.After(until) {
			delete(w.avoid, vm)
		}
	}
	var near, far []identifier.VM
	for _, c := range w.cores {
		vm := identifier.VM(c.GetAddress())
		if !w.avoid[vm].IsZero() {
			continue
		}
		if c.GetFailureDomain() == string(f.Settings.FailureDomain) {
			near = append(near, vm)
		} else {
			far = append(far, vm)
		}
	}
	f.mu.Lock()
	for _, s := range f.seeds {
		if w.avoid[s].IsZero() && !slices.Contains(near, s) && !slices.Contains(far, s) {
			far = append(far, s)
		}
	}
	f.mu.Unlock()
	for _, list := range [][]identifier.VM{near, far} {
		if slices.Contains(list, w.core) {
			return w.core
		}
		if len(list) > 0 {
			return list[f.random.IntN(len(list))]
		}
	}
	// All have failed lately; the first one to come back is found by asking.
	clear(w.avoid)
	return ""
}

// pull asks a core process once, and reports whether it is worth asking again.
func (f *Front) pull(ctx context.Context, core identifier.VM) bool {
	w := &f.follow
	asked, now := f.Elapsed(), time.Now()
	wait, bound := max(pullWait, time.Duration(w.fronts)*pullShare), pullBound
	if w.core == "" {
		wait, bound = 0, min(firstPullBound<<w.failed, pullBound)
	}
	p := &peerv1.FrontPull{
		FailureDomain: string(f.Settings.FailureDomain), Registry: w.registry, Revision: w.revision,
		CatalogVersion: uint64(w.catalog), WaitMs: uint32(wait.Milliseconds()),
	}
	own := f.forwarder.Loads()
	for id, l := range own {
		p.Loads = append(p.Loads, &peerv1.ServerLoad{
			Id: string(id), Running: uint32(max(l.Running, 0)), UnreadTokens: uint64(max(l.PendingPromptTokens, 0)),
		})
	}
	for _, d := range f.forwarder.Evidence(now) {
		p.Doubts = append(p.Doubts, &peerv1.ServerDoubt{
			Id: string(d.Server), AnsweredAgoMs: uint64(d.AnsweredAgo.Milliseconds()),
			Unreachable: uint32(d.Unreachable), Stalled: uint32(d.Stalled),
		})
	}
	for _, d := range f.forwarder.TakeDemands() {
		p.Demands = append(p.Demands, &peerv1.ModelDemand{
			Service: string(d.Service), Model: d.Model, Requests: uint32(d.Requests), Refused: uint32(d.Refused),
			EngineMs: uint64(d.EngineTime.Milliseconds()),
		})
	}
	bounded, cancel := context.WithTimeout(ctx, wait+bound)
	defer cancel()
	answer, err := f.linker.Call(bounded, core, &peerv1.Envelope{FrontPull: p})
	u := answer.GetFrontUpdate()
	if err != nil || u == nil {
		if ctx.Err() == nil {
			_ = level.Info(f.Logger).Log("msg", "core process does not answer", "core", core, "err", err)
		}
		w.failed = min(w.failed+1, maxFirstDoublings)
		return false
	}
	if w.core != core {
		_ = level.Info(f.Logger).Log("msg", "core process is followed", "core", core, "was", w.core,
			"catalog", u.GetCatalogVersion(), "confirmed_ago_ms", u.GetConfirmedAgoMs())
		w.core = core
	}
	f.take(asked, own, u)
	return !u.GetUnconfirmed() && time.Duration(u.GetConfirmedAgoMs())*time.Millisecond < staleCore
}

// take brings this front up to date.
func (f *Front) take(asked time.Duration, own map[identifier.Server]chooser.Load, u *peerv1.FrontUpdate) {
	w := &f.follow
	now := time.Now()
	w.cores, w.fronts = u.GetCores(), int(u.GetFronts())
	if _, ever := f.forwarder.SinceConfirmed(); u.GetUnconfirmed() && !ever {
		// This front knows nothing yet, and the core process may know less than
		// others do.
		return
	}
	if len(u.GetCatalog()) > 0 && u.GetCatalogVersion() > uint64(w.catalog) {
		cat, err := f.DecodeCatalog(u.GetCatalog())
		if err != nil {
			_ = level.Error(f.Logger).Log("msg", "catalog cannot be read", "version", u.GetCatalogVersion(), "err", err)
		} else {
			w.catalog = cataloger.Version(u.GetCatalogVersion())
			f.forwarder.SetCatalog(cat)
		}
	}
	if !u.GetUnconfirmed() && u.GetCatalogVersion() <= uint64(w.catalog) {
		f.forwarder.SetConfirmed(asked - time.Duration(u.GetConfirmedAgoMs())*time.Millisecond)
	}
	f.takeServers(now, u)
	loads := map[identifier.Server]chooser.Load{}
	for _, l := range u.GetLoads() {
		id := identifier.Server(l.GetId())
		loads[id] = chooser.Load{
			Running:             max(int(l.GetRunning())-own[id].Running, 0),
			PendingPromptTokens: max(int(l.GetUnreadTokens())-own[id].PendingPromptTokens, 0),
		}
	}
	f.forwarder.SetOtherFronts(loads, int(u.GetFronts()))
	if w.catalog > 0 {
		f.served.Store(true)
	}
}

// takeServers follows the core process's registry.
func (f *Front) takeServers(now time.Time, u *peerv1.FrontUpdate) {
	w := &f.follow
	evacuated := w.evacuated
	if u.GetChanges() >= w.changes {
		w.changes = u.GetChanges()
		evacuated = map[identifier.FailureDomain]bool{}
		for _, d := range u.GetEvacuated() {
			evacuated[identifier.FailureDomain(d)] = true
		}
	}
	if u.GetFull() {
		// A core process that has just started does not know all servers yet.
		for _, s := range w.servers.All() {
			if w.unlisted[s.ID].IsZero() {
				w.unlisted[s.ID] = now
			}
		}
	}
	for _, s := range u.GetServers() {
		delete(w.unlisted, identifier.Server(s.GetId()))
		w.servers.ReplaceServer(encoder.DecodeServer(now, s))
	}
	dropped := w.dropUnlisted(now, f.unlistedBound())
	changed := dropped || u.GetFull() || len(u.GetServers()) > 0 || u.GetRevision() != w.revision
	w.registry, w.revision, w.evacuated = u.GetRegistry(), u.GetRevision(), evacuated
	if changed {
		f.forwarder.SetServers(w.servers.All(), evacuated)
		f.publish()
	}
}

// unlistedBound is how long a server that a core process does not list is kept:
// until the core processes would have found it silent.
func (f *Front) unlistedBound() time.Duration {
	return time.Duration(coordinator.SilenceTimeoutHeartbeats * float64(f.Settings.Bounds.Heartbeat()))
}

// dropUnlisted forgets the servers that no core process has listed for long.
func (w *follower) dropUnlisted(now time.Time, bound time.Duration) (dropped bool) {
	for id, since := range w.unlisted {
		if now.Sub(since) > bound {
			delete(w.unlisted, id)
			w.servers.RemoveServer(id)
			dropped = true
		}
	}
	return dropped
}

// Snapshot is what a front goes by, for dumps and tests.
type Snapshot struct {
	Core      identifier.VM
	Catalog   cataloger.Version
	Evacuated []identifier.FailureDomain
	Servers   []*tracker.Server
	Fronts    int
}

// publish makes what was learned visible to other goroutines.
func (f *Front) publish() {
	w := &f.follow
	k := &Snapshot{Core: w.core, Catalog: w.catalog, Servers: w.servers.All(), Fronts: w.fronts}
	for d := range w.evacuated {
		k.Evacuated = append(k.Evacuated, d)
	}
	slices.Sort(k.Evacuated)
	f.known.Store(k)
}

// Snapshot returns what the front goes by.
func (f *Front) Snapshot() Snapshot {
	if k := f.known.Load(); k != nil {
		return *k
	}
	return Snapshot{}
}
