package coordinator

import (
	"math"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/differ"
	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Weights of fronts for the permits of servers that have named a request rate.
const (
	// demandAveraging is the time constant of the average of a front's demand.
	demandAveraging = 2 * time.Second
	// A front without demand has a weight of baseDemandShare of the mean demand and
	// minBaseDemand requests in a second, so that it can begin.
	baseDemandShare = 0.1
	minBaseDemand   = 0.05
	// issueInterval is how often permits are issued. It is a fraction of their lifetime.
	issueInterval = 100 * time.Millisecond
)

// limits is what a core process knows of the request rates that servers name, and its
// issue of permits.
type limits struct {
	ledger    throttler.Ledger
	allocator throttler.Allocator
	// helloCursor tells which limits the next hello carries.
	helloCursor differ.Cursor
	// weights is this process's weight for each limited server, for the next hello.
	weights map[identifier.Server]float64
}

// demandKey names a model of a service, or a service without models.
type demandKey struct {
	service identifier.Service
	model   string
}

// demandKeyOf returns what is demanded of a server.
func demandKeyOf(s *tracker.Server) demandKey {
	k := demandKey{service: s.Service}
	if len(s.LoadedModels) > 0 {
		k.model = s.LoadedModels[0]
	}
	return k
}

// updateDemand averages the front's demand with what it reported after the given time.
func (f *front) updateDemand(elapsed time.Duration, demands []*peerv1.ModelDemand) {
	if f.demand == nil {
		f.demand = map[demandKey]float64{}
	}
	decay := math.Exp(-elapsed.Seconds() / demandAveraging.Seconds())
	for k := range f.demand {
		f.demand[k] *= decay
	}
	for _, d := range demands {
		k := demandKey{identifier.Service(d.GetService()), d.GetModel()}
		f.demand[k] += float64(d.GetRequests()) / demandAveraging.Seconds()
	}
}

// mergeLimits adds what another process knows of limits. The caller must hold mu.
func (c *Coordinator) mergeLimits(now time.Time, from identifier.VM, in []*peerv1.RequestLimit) {
	for _, l := range encoder.DecodeLimits(now, in) {
		change := c.limits.ledger.Merge(l)
		if change == throttler.Unchanged {
			continue
		}
		known := c.limits.ledger.Last(l.Server)
		_ = level.Info(c.Logger).Log("msg", "limit of a server "+change.String(), "server", l.Server, "per_s", float64(known.Rate), "source", from,
			"named_ago", now.Sub(known.NamedAt), "first_named_ago", now.Sub(known.FirstNamedAt))
	}
}

// reportPermits records what a front says about its permits. The caller must hold mu.
func (c *Coordinator) reportPermits(from identifier.VM, in []*peerv1.PermitReport) {
	c.limits.allocator.Report(from, encoder.DecodePermitReports(in)...)
}

// issuePermits issues the permits that are due at this process: its part of the rate of each
// server that has named one, by the demand of its fronts and those of the other core
// processes.
func (c *Coordinator) issuePermits(now time.Time) {
	ago, ever := c.confirmedAgo()
	confirmed := ever && ago <= peerLiveTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.limits
	l.ledger.Expire(now, func(id identifier.Server) bool { return c.registry.Get(id) != nil })
	l.weights = map[identifier.Server]float64{}
	demands := map[demandKey]map[identifier.VM]float64{}
	for _, limit := range l.ledger.Limits() {
		s := c.registry.Get(limit.Server)
		if s == nil || s.Incarnation != uint64(limit.Incarnation) {
			continue
		}
		k := demandKeyOf(s)
		if demands[k] == nil {
			demands[k] = c.frontDemands(now, k)
		}
		weights, own := l.allocator.Weights(s.ID, demands[k])
		l.weights[s.ID] = own
		if own > 0 {
			part := own / (own + c.otherWeights(now, s.ID, own, len(weights), confirmed))
			l.allocator.Advance(now, s.ID, limit.Rate, part, weights)
		}
	}
	l.allocator.Retain(func(id identifier.Server) bool { _, limited := l.weights[id]; return limited })
}

// frontDemands returns the demand of each front that pulls from this process. The caller must
// hold mu.
func (c *Coordinator) frontDemands(now time.Time, k demandKey) map[identifier.VM]float64 {
	demands, sum := map[identifier.VM]float64{}, 0.0
	for vm, f := range c.fronts {
		if now.Sub(f.lastPullAt) <= frontReportTTL {
			demands[vm] = f.demand[k]
			sum += f.demand[k]
		}
	}
	for vm := range demands {
		demands[vm] += baseDemandShare*sum/float64(len(demands)) + minBaseDemand
	}
	return demands
}

// otherWeights returns the weight of the other core processes for a server. A process that
// has not stated one counts by its fronts, in proportion to this process's own weight. While
// this process is not confirmed by a quorum, it also counts those that it has lost or never
// heard, which may go on with fronts of theirs. The caller must hold mu.
func (c *Coordinator) otherWeights(now time.Time, id identifier.Server, own float64, ownFronts int, confirmed bool) float64 {
	sum := 0.0
	for _, p := range c.peers {
		if confirmed && now.Sub(p.lastHelloAt) > peerLiveTimeout {
			continue
		}
		if p.lastHello == nil {
			sum += own
			continue
		}
		weight := own / float64(ownFronts) * float64(p.lastHello.GetFronts())
		for _, w := range p.lastHello.GetLimitWeights() {
			if w.GetId() == string(id) {
				weight = w.GetWeight()
			}
		}
		sum += weight
	}
	return sum
}

// addLimits adds the limits and the weights of this process to a hello. The caller must hold
// mu.
func (c *Coordinator) addLimits(now time.Time, h *peerv1.CoreHello) {
	l := &c.limits
	h.Limits = encoder.EncodeLimits(now, l.ledger.ChangedSince(l.helloCursor.Next(now, l.ledger.Revision())))
	for id, w := range l.weights {
		h.LimitWeights = append(h.LimitWeights, &peerv1.LimitWeight{Id: string(id), Weight: w})
	}
}

// limitCount returns the number of limits in force.
func (c *Coordinator) limitCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(len(c.limits.ledger.Limits()))
}

// oldestLimitAge returns the time in milliseconds since the limit in force that was named
// longest ago was last named, or 0 if there is none.
func (c *Coordinator) oldestLimitAge() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, oldest := time.Now(), time.Duration(0)
	for _, l := range c.limits.ledger.Limits() {
		oldest = max(oldest, now.Sub(l.NamedAt))
	}
	return oldest.Milliseconds()
}
