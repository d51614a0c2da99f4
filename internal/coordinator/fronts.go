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

// front is what this process knows of a front that pulls from it.
type front struct {
	pulled time.Time
	// wait is how long its pulls are held.
	wait   time.Duration
	loads  []*peerv1.ServerLoad
	doubts []*peerv1.ServerDoubt
}

// Bounds on fronts.
const (
	// frontLive is how long a front's report of its work counts.
	frontLive = 1500 * time.Millisecond
	// frontCounted is how long a front counts among those that share a budget.
	frontCounted = 10 * time.Second
	// pullBatch is how long an answer waits for more changes.
	pullBatch = 15 * time.Millisecond
)

// answerPull records a front's report and answers once something has changed or
// the front's wait is over.
func (c *Coordinator) answerPull(ctx context.Context, from identifier.VM, p *peerv1.FrontPull) *peerv1.Envelope {
	wait := time.Duration(p.GetWaitMs()) * time.Millisecond
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	c.mu.Lock()
	c.fronts[from] = &front{pulled: time.Now(), wait: wait, loads: p.GetLoads(), doubts: p.GetDoubts()}
	c.served.add(p.GetDemands())
	for {
		behind := p.GetRegistry() != c.registryID || p.GetRevision() != c.registry.Revision()
		changed := c.changed
		c.mu.Unlock()
		if behind {
			pauseFor(ctx, pullBatch)
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-deadline.C:
			return c.update(p)
		case <-changed:
		}
		c.mu.Lock()
	}
	return c.update(p)
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// update returns what a front lacks.
func (c *Coordinator) update(p *peerv1.FrontPull) *peerv1.Envelope {
	// The age is taken before the state, which may then only be newer.
	ago, ever := c.freshAgo()
	state, _ := c.keeper.State()
	now := time.Now()
	u := &peerv1.FrontUpdate{
		Registry: c.registryID, CatalogVersion: uint64(state.Version), Changes: state.ChangeCount,
		ConfirmedAgoMs: uint64(ago.Milliseconds()) + 1, Unconfirmed: !ever,
	}
	if u.CatalogVersion > p.GetCatalogVersion() {
		u.Catalog = state.Data
	}
	for _, d := range state.Evacuated {
		u.Evacuated = append(u.Evacuated, string(d))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u.Revision = c.registry.Revision()
	servers := c.registry.ChangedSince(p.GetRevision())
	if p.GetRegistry() != c.registryID {
		u.Full = true
		servers = c.registry.All()
	}
	for _, s := range servers {
		u.Servers = append(u.Servers, encoder.EncodeServer(now, s))
	}
	u.Cores = append(u.Cores, &peerv1.CoreInfo{
		Address: string(c.self), FailureDomain: string(c.Settings.FailureDomain),
	})
	for _, vm := range c.livePeers(now) {
		u.Cores = append(u.Cores, &peerv1.CoreInfo{
			Address: string(vm), FailureDomain: c.peers[vm].hello.GetFailureDomain(),
		})
	}
	u.Fronts = uint32(c.allFronts(now))
	u.Loads = c.allLoads(now)
	return &peerv1.Envelope{FrontUpdate: u}
}

// countFronts counts the fronts that pull from this process, and forgets those
// that stopped. The caller holds mu.
func (c *Coordinator) countFronts(now time.Time) int {
	maps.DeleteFunc(c.fronts, func(_ identifier.VM, f *front) bool { return now.Sub(f.pulled) > frontCounted })
	return len(c.fronts)
}

// allFronts counts the fronts of the whole system. The caller holds mu.
func (c *Coordinator) allFronts(now time.Time) int {
	n := c.countFronts(now)
	for _, p := range c.peers {
		if now.Sub(p.heard) <= frontCounted {
			n += int(p.hello.GetFronts())
		}
	}
	return n
}

// loadSum adds up the work at one backend server.
type loadSum struct {
	running uint32
	unread  uint64
}

type loadSums map[string]loadSum

func (l loadSums) add(loads []*peerv1.ServerLoad) {
	for _, s := range loads {
		sum := l[s.GetId()]
		sum.running += s.GetRunning()
		sum.unread += s.GetUnreadTokens()
		l[s.GetId()] = sum
	}
}

func (l loadSums) encode() []*peerv1.ServerLoad {
	out := make([]*peerv1.ServerLoad, 0, len(l))
	for id, s := range l {
		out = append(out, &peerv1.ServerLoad{Id: id, Running: s.running, UnreadTokens: s.unread})
	}
	slices.SortFunc(out, func(a, b *peerv1.ServerLoad) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// ownLoads adds up the work of the fronts that pull here. The caller holds mu.
func (c *Coordinator) ownLoads(now time.Time) []*peerv1.ServerLoad {
	sums := loadSums{}
	for _, f := range c.fronts {
		if now.Sub(f.pulled) <= frontLive {
			sums.add(f.loads)
		}
	}
	return sums.encode()
}

// allLoads adds up the work of all fronts. The caller holds mu.
func (c *Coordinator) allLoads(now time.Time) []*peerv1.ServerLoad {
	sums := loadSums{}
	sums.add(c.ownLoads(now))
	for _, p := range c.peers {
		if now.Sub(p.heard) <= peerLive {
			sums.add(p.hello.GetLoads())
		}
	}
	return sums.encode()
}

// doubtSums joins what several processes say of the same backend servers.
type doubtSums map[identifier.Server]*peerv1.ServerDoubt

// add takes doubts that were stated some time ago.
func (d doubtSums) add(doubts []*peerv1.ServerDoubt, ago time.Duration) {
	for _, in := range doubts {
		id := identifier.Server(in.GetId())
		answered := in.GetAnsweredAgoMs() + uint64(max(ago, 0).Milliseconds())
		sum := d[id]
		if sum == nil {
			d[id] = &peerv1.ServerDoubt{
				Id: in.GetId(), AnsweredAgoMs: answered, Unreachable: in.GetUnreachable(), Stalled: in.GetStalled(),
			}
			continue
		}
		sum.AnsweredAgoMs = min(sum.AnsweredAgoMs, answered)
		sum.Unreachable += in.GetUnreachable()
		sum.Stalled += in.GetStalled()
	}
}

// ownDoubts joins the doubts of the fronts that pull here. The caller holds mu.
func (c *Coordinator) ownDoubts(now time.Time) []*peerv1.ServerDoubt {
	sums := doubtSums{}
	for _, f := range c.fronts {
		if ago := now.Sub(f.pulled); ago <= frontLive {
			sums.add(f.doubts, ago)
		}
	}
	out := slices.Collect(maps.Values(sums))
	slices.SortFunc(out, func(a, b *peerv1.ServerDoubt) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// allDoubts joins the doubts of all fronts. The caller holds mu.
func (c *Coordinator) allDoubts(now time.Time) doubtSums {
	sums := doubtSums{}
	sums.add(c.ownDoubts(now), 0)
	for _, p := range c.peers {
		if ago := now.Sub(p.heard); ago <= peerLive {
			sums.add(p.hello.GetDoubts(), ago)
		}
	}
	return sums
}

// demandBook adds up what callers asked for since the process started.
type demandBook map[string]*peerv1.ModelDemand

func (b *demandBook) add(demands []*peerv1.ModelDemand) {
	if *b == nil {
		*b = demandBook{}
	}
	for _, d := range demands {
		key := d.GetService() + "\n" + d.GetModel()
		sum := (*b)[key]
		if sum == nil {
			sum = &peerv1.ModelDemand{Service: d.GetService(), Model: d.GetModel()}
			(*b)[key] = sum
		}
		sum.Requests += d.GetRequests()
		sum.Refused += d.GetRefused()
		sum.EngineMs += d.GetEngineMs()
	}
}

// encode returns copies, since the sums go on while a message is on its way.
func (b demandBook) encode() []*peerv1.ModelDemand {
	out := make([]*peerv1.ModelDemand, 0, len(b))
	for _, d := range b {
		out = append(out, &peerv1.ModelDemand{
			Service: d.Service, Model: d.Model, Requests: d.Requests, Refused: d.Refused, EngineMs: d.EngineMs,
		})
	}
	slices.SortFunc(out, func(a, b *peerv1.ModelDemand) int { return cmp.Compare(a.GetModel(), b.GetModel()) })
	return out
}
