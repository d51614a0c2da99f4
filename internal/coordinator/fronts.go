package coordinator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// front is the last report of a front process that pulls from this process.
type front struct {
	lastPullAt time.Time
	// pullWait is how long the reply to its pull is delayed while nothing changes.
	pullWait   time.Duration
	loads      []*peerv1.ServerLoad
	suspicions []*peerv1.ServerDoubt
	// demand is its requests in a second, averaged over demandAveraging.
	demand map[demandKey]float64
}

// Timeouts of reports and pulls of fronts.
const (
	// frontReportTTL is how long the loads and suspicions that a front reported are
	// taken into account.
	frontReportTTL = 1500 * time.Millisecond
	// frontTTL is how long after its last pull a front is remembered.
	frontTTL = 10 * time.Second
	// pullBatchDelay is how long a reply with changes is delayed so that it includes
	// further changes.
	pullBatchDelay = 15 * time.Millisecond
)

// handlePull records a front's report and replies once the front's revision is out
// of date or its wait time is over.
func (c *Coordinator) handlePull(ctx context.Context, from identifier.VM, p *peerv1.FrontPull) *peerv1.Envelope {
	wait := time.Duration(p.GetWaitMs()) * time.Millisecond
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	c.mu.Lock()
	if p.GetRegistry() == c.registryID {
		// A front that only asks whether this process is confirmed counts elsewhere.
		c.recordFront(time.Now(), from, wait, p)
		c.reportPermits(from, p.GetPermitReports())
	}
	c.recordPull(time.Now(), from)
	c.localDemand.add(p.GetDemands())
	c.mergeEvidence(time.Now(), p.GetEvidence())
	c.mergeLimits(time.Now(), from, p.GetLimits())
	c.recordDepartures(from, p.GetDepartures())
	for {
		behind := p.GetRegistry() != c.registryID || p.GetRevision() != c.registry.Revision()
		changed := c.changed
		c.mu.Unlock()
		if behind {
			sleep(ctx, pullBatchDelay)
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-deadline.C:
			return c.frontUpdate(from, p)
		case <-changed:
		}
		c.mu.Lock()
	}
	return c.frontUpdate(from, p)
}

// recordFront records what a front reported in a pull. The caller must hold mu.
func (c *Coordinator) recordFront(now time.Time, from identifier.VM, wait time.Duration, p *peerv1.FrontPull) {
	f := &front{lastPullAt: now, pullWait: wait, loads: p.GetLoads(), suspicions: p.GetDoubts()}
	elapsed := time.Duration(0)
	if former := c.fronts[from]; former != nil {
		f.demand, elapsed = former.demand, now.Sub(former.lastPullAt)
	}
	f.updateDemand(elapsed, p.GetDemands())
	c.fronts[from] = f
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// frontUpdate returns the changes since the state that a front pulled last, or
// the whole state if the front pulled from another registry.
func (c *Coordinator) frontUpdate(to identifier.VM, p *peerv1.FrontPull) *peerv1.Envelope {
	// The age is read before the state, so that the state can only be newer than
	// the age says.
	ago, confirmed := c.confirmedAgo()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	// The revision of the registry, which advances with the state, is read after it too, and both
	// under the lock: an older state must not go with a newer revision.
	state, _ := c.keeper.State()
	u := &peerv1.FrontUpdate{
		Registry: c.registryID, CatalogVersion: uint64(state.Version), Changes: state.ChangeCount,
		ConfirmedAgoMs: uint64(ago.Milliseconds()) + 1,
		// While the disk refuses writes, the state gets older and older.
		Unconfirmed: !confirmed || c.driver.Status().DiskRefuses,
	}
	u.Cores = c.coreInfos(now)
	u.Fronts = uint32(c.countFronts(now))
	if omitsState(p, u) {
		u.StateOmitted = true
		return &peerv1.Envelope{FrontUpdate: u}
	}
	if u.CatalogVersion > p.GetCatalogVersion() {
		u.Catalog = state.Data
	}
	for _, d := range state.Evacuated {
		u.Evacuated = append(u.Evacuated, string(d))
	}
	if p.GetIsolationChanges() != state.ChangeCount {
		u.HasIsolations, u.Isolations = true, encoder.EncodeIsolations(state.Isolations)
	}
	u.Revision = c.registry.Revision()
	servers := c.registry.ChangedSince(p.GetRevision())
	if p.GetRegistry() != c.registryID {
		u.Full = true
		servers = c.registry.All()
	}
	knownEvidence := p.GetEvidenceRevision()
	if u.Full {
		knownEvidence = 0
	}
	u.Evidence, u.EvidenceRevision = encoder.EncodeEvidence(now, c.ledger.SharedSince(knownEvidence, c.ledger.Revision())), c.ledger.Revision()
	for _, s := range servers {
		u.Servers = append(u.Servers, encoder.EncodeServer(now, s))
	}
	knownLimits := p.GetLimitsRevision()
	if u.Full {
		knownLimits = 0
	}
	u.Limits, u.LimitsRevision = encoder.EncodeLimits(now, c.limits.ledger.ChangedSince(knownLimits)), c.limits.ledger.Revision()
	u.Permits = encoder.EncodeGrants(c.limits.allocator.Fetch(now, to))
	u.Loads = c.allLoads(now)
	return &peerv1.Envelope{FrontUpdate: u}
}

// omitsState reports whether the state is left out of an update. While no quorum is
// reachable, fronts ask one core process after the other until one is confirmed. The
// whole registry in each of these replies would fill the links between failure domains.
func omitsState(p *peerv1.FrontPull, u *peerv1.FrontUpdate) bool {
	if p.GetMaxStateAgeMs() == 0 || p.GetRegistry() == u.GetRegistry() {
		return false
	}
	return u.GetUnconfirmed() || u.GetConfirmedAgoMs() > uint64(p.GetMaxStateAgeMs())
}

// coreInfos lists this process and its live peers. The caller must hold mu.
func (c *Coordinator) coreInfos(now time.Time) []*peerv1.CoreInfo {
	infos := []*peerv1.CoreInfo{{Address: string(c.self), FailureDomain: string(c.Settings.FailureDomain)}}
	for _, vm := range c.livePeers(now) {
		infos = append(infos, &peerv1.CoreInfo{Address: string(vm), FailureDomain: c.peers[vm].lastHello.GetFailureDomain()})
	}
	return infos
}

// countLocalFronts counts the fronts that pull from this process, and removes
// those whose last pull is older than frontTTL. The caller must hold mu.
func (c *Coordinator) countLocalFronts(now time.Time) int {
	maps.DeleteFunc(c.fronts, func(_ identifier.VM, f *front) bool { return now.Sub(f.lastPullAt) > frontTTL })
	return len(c.fronts)
}

// loadSum is the load that several fronts put on one backend server: the requests
// in flight, and the prompt tokens of those that have received no event yet.
type loadSum struct {
	running             uint32
	pendingPromptTokens uint64
}

// loadSums holds the load sums by backend server id.
type loadSums map[string]loadSum

func (l loadSums) add(loads []*peerv1.ServerLoad) {
	for _, s := range loads {
		sum := l[s.GetId()]
		sum.running += s.GetRunning()
		sum.pendingPromptTokens += s.GetUnreadTokens()
		l[s.GetId()] = sum
	}
}

func (l loadSums) encode() []*peerv1.ServerLoad {
	out := make([]*peerv1.ServerLoad, 0, len(l))
	for id, s := range l {
		out = append(out, &peerv1.ServerLoad{Id: id, Running: s.running, UnreadTokens: s.pendingPromptTokens})
	}
	slices.SortFunc(out, func(a, b *peerv1.ServerLoad) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// localLoads sums up the loads that the fronts pulling from this process
// reported. The caller must hold mu.
func (c *Coordinator) localLoads(now time.Time) []*peerv1.ServerLoad {
	sums := loadSums{}
	for _, f := range c.fronts {
		if now.Sub(f.lastPullAt) <= frontReportTTL {
			sums.add(f.loads)
		}
	}
	return sums.encode()
}

// allLoads sums up the loads of all fronts of the system. The caller must hold mu.
func (c *Coordinator) allLoads(now time.Time) []*peerv1.ServerLoad {
	sums := loadSums{}
	sums.add(c.localLoads(now))
	for _, p := range c.peers {
		if now.Sub(p.lastHelloAt) <= peerLiveTimeout {
			sums.add(p.lastHello.GetLoads())
		}
	}
	return sums.encode()
}

// suspicionSums merges the suspicions of several fronts by backend server. A
// suspicion, ServerDoubt in peer messages, is what a front's requests show about a
// server that may be dead or stalled: the time since its last response, the
// connections that failed since then, and the requests that are stalled.
type suspicionSums map[identifier.Server]*peerv1.ServerDoubt

// add merges suspicions that were reported the given time ago.
func (s suspicionSums) add(suspicions []*peerv1.ServerDoubt, ago time.Duration) {
	for _, in := range suspicions {
		id := identifier.Server(in.GetId())
		sinceLastResponseMS := in.GetAnsweredAgoMs() + uint64(max(ago, 0).Milliseconds())
		sum := s[id]
		if sum == nil {
			s[id] = &peerv1.ServerDoubt{
				Id: in.GetId(), AnsweredAgoMs: sinceLastResponseMS, Unreachable: in.GetUnreachable(), Stalled: in.GetStalled(),
			}
			continue
		}
		sum.AnsweredAgoMs = min(sum.AnsweredAgoMs, sinceLastResponseMS)
		sum.Unreachable += in.GetUnreachable()
		sum.Stalled += in.GetStalled()
	}
}

// localSuspicions merges the suspicions of the fronts that pull from this process.
// The caller must hold mu.
func (c *Coordinator) localSuspicions(now time.Time) []*peerv1.ServerDoubt {
	sums := suspicionSums{}
	for _, f := range c.fronts {
		if ago := now.Sub(f.lastPullAt); ago <= frontReportTTL {
			sums.add(f.suspicions, ago)
		}
	}
	out := slices.Collect(maps.Values(sums))
	slices.SortFunc(out, func(a, b *peerv1.ServerDoubt) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// allSuspicions merges the suspicions of all fronts of the system. The caller must
// hold mu.
func (c *Coordinator) allSuspicions(now time.Time) suspicionSums {
	sums := suspicionSums{}
	sums.add(c.localSuspicions(now), 0)
	for _, p := range c.peers {
		if ago := now.Sub(p.lastHelloAt); ago <= peerLiveTimeout {
			sums.add(p.lastHello.GetDoubts(), ago)
		}
	}
	return sums
}

// demandTotals sums up callers' demand since the process started, by service and
// model.
type demandTotals map[string]*peerv1.ModelDemand

func (t *demandTotals) add(demands []*peerv1.ModelDemand) {
	if *t == nil {
		*t = demandTotals{}
	}
	for _, d := range demands {
		key := d.GetService() + "\n" + d.GetModel()
		sum := (*t)[key]
		if sum == nil {
			sum = &peerv1.ModelDemand{Service: d.GetService(), Model: d.GetModel()}
			(*t)[key] = sum
		}
		sum.Requests += d.GetRequests()
		sum.Refused += d.GetRefused()
		sum.EngineMs += d.GetEngineMs()
	}
}

// encode returns copies, because the totals keep changing while a message that
// holds them is being sent.
func (t demandTotals) encode() []*peerv1.ModelDemand {
	out := make([]*peerv1.ModelDemand, 0, len(t))
	for _, d := range t {
		out = append(out, &peerv1.ModelDemand{
			Service: d.Service, Model: d.Model, Requests: d.Requests, Refused: d.Refused, EngineMs: d.EngineMs,
		})
	}
	slices.SortFunc(out, func(a, b *peerv1.ModelDemand) int { return cmp.Compare(a.GetModel(), b.GetModel()) })
	return out
}
