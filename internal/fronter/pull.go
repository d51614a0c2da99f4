package fronter

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/limiter"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Timing of the pulls from core processes.
const (
	// A core process may hold its reply while nothing has changed, for minPullWait
	// or for pullWaitPerFront times the number of fronts, whichever is longer. The
	// second value keeps the core's work from growing with the square of the system's
	// size. The same wait determines how often this front reports its load.
	minPullWait      = 20 * time.Millisecond
	pullWaitPerFront = time.Millisecond
	// otherDomainPullFactor multiplies that wait for a core process in another failure
	// domain, since traffic between failure domains is dear.
	otherDomainPullFactor = 3
	// pullTimeout is how much longer than that wait a reply may take.
	pullTimeout = 600 * time.Millisecond
	// firstPullTimeout replaces pullTimeout until a front has received its first
	// reply. Core processes send that one at once, and one that is down must not
	// delay the front's start. Each failed pull doubles the timeout, at most
	// maxFirstPullDoublings times and up to pullTimeout.
	firstPullTimeout      = 150 * time.Millisecond
	maxFirstPullDoublings = 2
	// pullRetryDelay is the delay after a failed pull.
	pullRetryDelay = 30 * time.Millisecond
	// coreAvoidance is how long a core process is avoided after a failed pull or one
	// that showed that its state is stale or unconfirmed.
	coreAvoidance = 3 * time.Second
	// maxCoreStateAge is the time since a quorum confirmed a core process's state
	// from which this front switches to another core process.
	maxCoreStateAge = 1500 * time.Millisecond
)

// pullLoop pulls from the core processes until ctx is done.
func (f *Front) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		core := f.pickCore(time.Now())
		if core == "" {
			sleepContext(ctx, pullRetryDelay)
			continue
		}
		if f.pull(ctx, core) {
			continue
		}
		st := &f.state
		st.avoidUntil[core] = time.Now().Add(coreAvoidance)
		if core != st.core && st.core != "" && !st.coreLost {
			// None is confirmed so far. The one that this front follows still knows more
			// than it does.
			f.pull(ctx, st.core)
			continue
		}
		sleepContext(ctx, pullRetryDelay)
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// pickCore returns the core process to pull from, or an empty VM if all are being
// avoided. It prefers those in this front's failure domain, and among equals the one
// that this front already pulls from.
func (f *Front) pickCore(now time.Time) identifier.VM {
	st := &f.state
	for vm, until := range st.avoidUntil {
		if now.After(until) {
			delete(st.avoidUntil, vm)
		}
	}
	var sameDomain, otherDomains []identifier.VM
	for _, c := range st.cores {
		vm := identifier.VM(c.GetAddress())
		if !st.avoidUntil[vm].IsZero() {
			continue
		}
		if c.GetFailureDomain() == string(f.Settings.FailureDomain) {
			sameDomain = append(sameDomain, vm)
		} else {
			otherDomains = append(otherDomains, vm)
		}
	}
	f.mu.Lock()
	for _, s := range f.seedPeers {
		if st.avoidUntil[s].IsZero() && !slices.Contains(sameDomain, s) && !slices.Contains(otherDomains, s) {
			otherDomains = append(otherDomains, s)
		}
	}
	f.mu.Unlock()
	for _, list := range [][]identifier.VM{sameDomain, otherDomains} {
		if slices.Contains(list, st.core) {
			return st.core
		}
		if len(list) > 0 {
			return list[f.random.IntN(len(list))]
		}
	}
	// All have failed recently. Trying them again finds the first one that recovers.
	clear(st.avoidUntil)
	return ""
}

// pull makes one call to a core process: it sends this front's loads, suspicions and
// demands, and applies the update in the reply. It reports whether to pull from the
// same core process again.
func (f *Front) pull(ctx context.Context, core identifier.VM) bool {
	st := &f.state
	calledAt, now := f.Elapsed(), time.Now()
	wait, timeout := pullWait(st.frontCount, f.sharesDomain(core)), pullTimeout
	if st.core == "" {
		wait, timeout = 0, min(firstPullTimeout<<st.failedPulls, pullTimeout)
	}
	p := &peerv1.FrontPull{
		FailureDomain: string(f.Settings.FailureDomain), Registry: st.registryID, Revision: st.revision,
		CatalogVersion: uint64(st.catalogVersion), WaitMs: uint32(wait.Milliseconds()), MaxStateAgeMs: f.maxStateAge(),
	}
	own := f.forwarder.OwnLoads()
	evidence, evidenceRevision := f.forwarder.EvidenceSince(st.sentEvidence)
	p.Evidence = encoder.EncodeEvidence(now, evidence)
	p.EvidenceRevision, p.IsolationChanges = st.evidenceRevision, st.isolationChanges
	limits, limitsRevision := f.forwarder.LimitsSince(st.sentLimits)
	p.Limits, p.LimitsRevision = encoder.EncodeLimits(now, limits), st.limitsRevision
	p.Departures = f.departures()
	if core == st.core {
		// The loads of a front that reported to several core processes would be counted
		// several times.
		f.addReport(now, own, p)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	reply, err := f.linker.Call(callCtx, core, &peerv1.Envelope{FrontPull: p})
	u := reply.GetFrontUpdate()
	if err != nil || u == nil {
		if ctx.Err() == nil {
			_ = level.Info(f.Logger).Log("msg", "pull from core process failed; trying the other core processes first", "core", core, "err", err)
		}
		st.failedPulls = min(st.failedPulls+1, maxFirstPullDoublings)
		st.keepUnsent(p)
		st.coreLost = st.coreLost || core == st.core
		return false
	}
	if u.GetStateOmitted() {
		st.cores = u.GetCores()
		return false
	}
	st.coreLost = false
	st.sentEvidence, st.sentLimits = evidenceRevision, limitsRevision
	if st.registryID != u.GetRegistry() {
		// A core process that has just started, or another one, may not have what the
		// former one was sent.
		st.sentEvidence, st.sentLimits = 0, 0
	}
	if st.core != core {
		_ = level.Info(f.Logger).Log("msg", "pulling from core process", "core", core, "was", st.core,
			"catalog", u.GetCatalogVersion(), "confirmed_ago_ms", u.GetConfirmedAgoMs())
		st.core = core
	}
	f.forwarder.ApplyLimits(now, core, encoder.DecodeLimits(time.Now(), u.GetLimits()), encoder.DecodeGrants(u.GetPermits()))
	st.limitsRevision = u.GetLimitsRevision()
	f.applyUpdate(calledAt, own, u)
	return !u.GetUnconfirmed() && time.Duration(u.GetConfirmedAgoMs())*time.Millisecond < maxCoreStateAge
}

// keepUnsent keeps what a failed pull was to report once, for the next one.
func (st *pullState) keepUnsent(p *peerv1.FrontPull) {
	st.unsentDemands = append(st.unsentDemands, p.GetDemands()...)
	st.unsentPermits = append(st.unsentPermits, p.GetPermitReports()...)
}

// pullWait returns how long a core process may hold its reply while nothing has changed,
// in a system with that many fronts.
func pullWait(fronts int, sameDomain bool) time.Duration {
	wait := max(minPullWait, time.Duration(fronts)*pullWaitPerFront)
	if !sameDomain {
		wait *= otherDomainPullFactor
	}
	return wait
}

// sharesDomain reports whether a core process is in this front's failure domain, as far
// as the core processes have said.
func (f *Front) sharesDomain(core identifier.VM) bool {
	return slices.ContainsFunc(f.state.cores, func(c *peerv1.CoreInfo) bool {
		return identifier.VM(c.GetAddress()) == core && c.GetFailureDomain() == string(f.Settings.FailureDomain)
	})
}

// addReport adds this front's loads, suspicions and demands to a pull.
func (f *Front) addReport(now time.Time, own map[identifier.Server]chooser.Load, p *peerv1.FrontPull) {
	for id, l := range own {
		p.Loads = append(p.Loads, &peerv1.ServerLoad{
			Id: string(id), Running: uint32(max(l.Running, 0)), UnreadTokens: uint64(max(l.PendingPromptTokens, 0)),
		})
	}
	for _, s := range f.forwarder.Suspicions(now) {
		p.Doubts = append(p.Doubts, &peerv1.ServerDoubt{
			Id: string(s.Server), AnsweredAgoMs: uint64(s.SinceLastResponse.Milliseconds()),
			Unreachable: uint32(s.ConnectFailures), Stalled: uint32(s.StalledRequests),
		})
	}
	p.PermitReports, f.state.unsentPermits = f.state.unsentPermits, nil
	p.PermitReports = append(p.PermitReports, encoder.EncodePermitReports(f.forwarder.TakePermitReports(now))...)
	// The core process adds up demands, so those of a failed pull can go separately.
	p.Demands, f.state.unsentDemands = f.state.unsentDemands, nil
	for _, d := range f.forwarder.TakeDemands() {
		p.Demands = append(p.Demands, &peerv1.ModelDemand{
			Service: string(d.Service), Model: d.Model, Requests: uint32(d.Requests), Refused: uint32(d.Refused),
			EngineMs: uint64(d.EngineTime.Milliseconds()),
		})
	}
}

// departures returns the servers that have said in answers that they leave, unless the core process
// has told that already.
func (f *Front) departures() []*peerv1.Departure {
	var out []*peerv1.Departure
	for id, incarnation := range f.forwarder.Departures() {
		if s := f.state.servers.Get(id); s != nil && identifier.Incarnation(s.Incarnation) == incarnation && !s.Leaving {
			out = append(out, &peerv1.Departure{Id: string(id), BornMs: uint64(incarnation)})
		}
	}
	return out
}

// maxStateAge returns FrontPull.max_state_age_ms. A front that has a state takes an old
// one from another core process only after it has lost the one that it follows, and a
// front that has none never takes one that was not confirmed.
func (f *Front) maxStateAge() uint32 {
	_, ever := f.forwarder.SinceConfirmed()
	switch {
	case !ever:
		return math.MaxUint32
	case f.state.coreLost:
		return 0
	}
	return uint32(maxCoreStateAge.Milliseconds())
}

// applyUpdate applies a core process's update. calledAt is the Elapsed time of the call
// that returned it, and own is the load that this front reported in the call.
func (f *Front) applyUpdate(calledAt time.Duration, own map[identifier.Server]chooser.Load, u *peerv1.FrontUpdate) {
	st := &f.state
	now := time.Now()
	st.cores = u.GetCores()
	f.applyFrontCount(calledAt, u)
	if len(u.GetCatalog()) > 0 && u.GetCatalogVersion() > uint64(st.catalogVersion) {
		cat, err := f.DecodeCatalog(u.GetCatalog())
		if err != nil {
			_ = level.Error(f.Logger).Log("msg", "cannot decode the new catalog from the core process; keeping the one in use, if any", "version", u.GetCatalogVersion(), "err", err)
		} else {
			st.catalogVersion = cataloger.Version(u.GetCatalogVersion())
			f.forwarder.SetCatalog(cat)
		}
	}
	if !u.GetUnconfirmed() && u.GetCatalogVersion() <= uint64(st.catalogVersion) {
		f.forwarder.SetConfirmed(calledAt - time.Duration(u.GetConfirmedAgoMs())*time.Millisecond)
	}
	f.applyServers(now, u)
	f.applyIsolations(now, u)
	loads := map[identifier.Server]chooser.Load{}
	for _, l := range u.GetLoads() {
		id := identifier.Server(l.GetId())
		loads[id] = chooser.Load{
			Running:             max(int(l.GetRunning())-own[id].Running, 0),
			PendingPromptTokens: max(int(l.GetUnreadTokens())-own[id].PendingPromptTokens, 0),
		}
	}
	f.forwarder.SetOtherLoads(loads)
	if st.catalogVersion > 0 {
		f.hasUpdate.Store(true)
	}
}

// applyFrontCount applies the number of fronts in a core process's update. One that no quorum has
// confirmed may not know of all fronts, and does not reduce the number.
func (f *Front) applyFrontCount(calledAt time.Duration, u *peerv1.FrontUpdate) {
	st, n := &f.state, int(u.GetFronts())
	if u.GetUnconfirmed() {
		st.frontCount = max(st.frontCount, n)
	} else if n > 0 {
		st.frontCount = n
		confirmedAt := calledAt - time.Duration(u.GetConfirmedAgoMs())*time.Millisecond
		st.shareExpiresAt = max(st.shareExpiresAt, confirmedAt+coordinator.ShareLease)
	}
	f.forwarder.SetShare(limiter.Share{Processes: st.frontCount, ExpiresAt: st.shareExpiresAt})
}

// applyServers applies the changes to the core process's registry of servers.
func (f *Front) applyServers(now time.Time, u *peerv1.FrontUpdate) {
	st := &f.state
	evacuated := st.evacuated
	if u.GetChanges() >= st.changeCount {
		st.changeCount = u.GetChanges()
		evacuated = map[identifier.FailureDomain]bool{}
		for _, d := range u.GetEvacuated() {
			evacuated[identifier.FailureDomain(d)] = true
		}
	}
	if u.GetFull() {
		// A core process that has just started does not know all servers yet, so
		// servers that are missing from its list are kept for unlistedTimeout.
		for _, s := range st.servers.All() {
			if st.unlistedSince[s.ID].IsZero() {
				st.unlistedSince[s.ID] = now
			}
		}
	}
	for _, s := range u.GetServers() {
		delete(st.unlistedSince, identifier.Server(s.GetId()))
		st.servers.ReplaceServer(encoder.DecodeServer(now, s))
	}
	dropped := st.dropUnlisted(now, f.unlistedTimeout())
	changed := dropped || u.GetFull() || len(u.GetServers()) > 0 || u.GetRevision() != st.revision || !maps.Equal(evacuated, st.evacuated)
	st.registryID, st.revision, st.evacuated = u.GetRegistry(), u.GetRevision(), evacuated
	if changed {
		f.forwarder.SetServers(st.servers.All(), evacuated)
	}
	if snapshot := f.Snapshot(); changed || snapshot.Fronts != st.frontCount || snapshot.Catalog != st.catalogVersion {
		f.publishSnapshot()
	}
}

// applyIsolations applies the isolations and the evidence in an update. Isolations of a
// core process that has applied fewer changes are older and are ignored.
func (f *Front) applyIsolations(now time.Time, u *peerv1.FrontUpdate) {
	st := &f.state
	for _, m := range u.GetEvidence() {
		f.forwarder.MergeEvidence(now, encoder.DecodeEvidence(now, m))
	}
	st.evidenceRevision = u.GetEvidenceRevision()
	if u.GetHasIsolations() && u.GetChanges() > st.isolationChanges {
		st.isolationChanges = u.GetChanges()
		f.forwarder.SetIsolations(encoder.DecodeIsolations(u.GetIsolations()))
	}
}

// unlistedTimeout returns how long a server that the core process does not list is
// kept: as long as the core processes take to detect that a server is silent.
func (f *Front) unlistedTimeout() time.Duration {
	return time.Duration(coordinator.SilenceTimeoutHeartbeats * float64(f.Settings.Bounds.HeartbeatInterval()))
}

// goneRetention is how long a server that is gone is kept though the core process does not list it, so
// that a late heartbeat that reaches a core process which has just started does not bring it back.
const goneRetention = 3 * time.Minute

// dropUnlisted removes the servers that have not been listed for longer than timeout,
// and reports whether there were any.
func (st *pullState) dropUnlisted(now time.Time, timeout time.Duration) (dropped bool) {
	for id, since := range st.unlistedSince {
		keptFor := timeout
		if s := st.servers.Get(id); s != nil && s.Gone {
			keptFor = goneRetention
		}
		if now.Sub(since) > keptFor {
			delete(st.unlistedSince, id)
			st.servers.RemoveServer(id)
			dropped = true
		}
	}
	return dropped
}

// Snapshot is a copy of the state that a front has from the core processes, for
// dumps and tests. Its fields appear under their Go names in the JSON dump.
type Snapshot struct {
	Core      identifier.VM
	Catalog   cataloger.Version
	Evacuated []identifier.FailureDomain
	Servers   []*tracker.Server
	Fronts    int
}

// publishSnapshot makes the current state visible to other goroutines.
func (f *Front) publishSnapshot() {
	st := &f.state
	s := &Snapshot{Core: st.core, Catalog: st.catalogVersion, Servers: st.servers.All(), Fronts: st.frontCount}
	for d := range st.evacuated {
		s.Evacuated = append(s.Evacuated, d)
	}
	slices.Sort(s.Evacuated)
	f.snapshot.Store(s)
}

// Snapshot returns the state as of the last change of the servers, the catalog or the number
// of fronts.
func (f *Front) Snapshot() Snapshot {
	if s := f.snapshot.Load(); s != nil {
		return *s
	}
	return Snapshot{}
}
