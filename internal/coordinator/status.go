package coordinator

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/grouper"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// initMetrics registers the metrics of the process.
func (c *Coordinator) initMetrics() {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	for name, value := range map[string]func() int64{
		"log_term":                  func() int64 { return int64(c.driver.Status().Term) },
		"log_applied":               func() int64 { return int64(c.driver.Status().AppliedIndex) },
		"log_disk_refuses":          func() int64 { return boolGauge(c.driver.Status().DiskRefuses) },
		"catalog_version":           func() int64 { s, _ := c.keeper.State(); return int64(s.Version) },
		"state_confirmed_ago_ms":    func() int64 { ago, _ := c.confirmedAgo(); return ago.Milliseconds() },
		"servers":                   func() int64 { return c.countServers(func(*tracker.Server) bool { return true }) },
		"servers_silent":            func() int64 { return c.countServers(func(s *tracker.Server) bool { return s.Silent }) },
		"groups_open":               func() int64 { return c.countServers((*tracker.Server).Serving) },
		"server_limits":             c.limitCount,
		"server_limit_named_ago_ms": c.oldestLimitAge,
		"crash_evidence": func() int64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return int64(c.ledger.CrashCount())
		},
		"isolations": func() int64 { s, _ := c.keeper.State(); return int64(len(s.Isolations)) },
		"fronts": func() int64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return int64(c.countFronts(time.Now()))
		},
	} {
		metrics.NewRegisteredFunctionalGauge(name, c.Metrics, value)
	}
	c.orderCounters = map[grouper.Outcome]metrics.Counter{}
	for o := grouper.OutcomeUnanswered; o <= grouper.OutcomeUnreachable; o++ {
		c.orderCounters[o] = metrics.NewRegisteredCounter("orders_"+o.String(), c.Metrics)
	}
	c.orderDuration = metrics.NewRegisteredHistogram("order_ms", c.Metrics, metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// sampleSize and sampleDecay are the metrics library's own values for a
// histogram weighted towards the last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

func (c *Coordinator) countServers(match func(*tracker.Server) bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := int64(0)
	for _, s := range c.registry.All() {
		if !s.Gone && match(s) {
			n++
		}
	}
	return n
}

// State is the dump of a core process's state for operators. Tags keep the names
// that fields have in the JSON form.
type State struct {
	Settings  configurer.NodeSettings
	Log       driver.Status
	Catalog   cataloger.Version
	Evacuated []identifier.FailureDomain
	// Isolations are in force, and CrashEvidence is what this process knows about requests
	// under which servers crash.
	Isolations    []isolator.Isolation
	CrashEvidence []isolator.Evidence
	// Limits holds what this process knows of the request rates that servers name, those
	// that have ended included, and Permits its issue of permits.
	Limits  []throttler.Limit
	Permits []throttler.AccountInfo
	// HasAuthority reports whether this process holds the placement authority. Groups
	// is empty otherwise.
	HasAuthority bool `json:"Leads"`
	Groups       []grouper.GroupInfo
	Servers      []tracker.Server
	LivePeers    []identifier.VM `json:"Peers"`
}

// dump returns the current State.
func (c *Coordinator) dump() any {
	state, _ := c.keeper.State()
	_, hasAuthority := c.authorityTerm()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{
		Settings: c.Settings, Log: c.driver.Status(), Catalog: state.Version, Evacuated: state.Evacuated, HasAuthority: hasAuthority,
		Isolations: state.Isolations, CrashEvidence: c.ledger.ChangedSince(0), Limits: c.limits.ledger.ChangedSince(0), Permits: c.limits.allocator.Accounts(), LivePeers: c.livePeers(time.Now()),
	}
	if hasAuthority {
		s.Groups = c.placement.grouper.Groups()
	}
	for _, b := range c.registry.All() {
		s.Servers = append(s.Servers, *b)
	}
	return s
}
