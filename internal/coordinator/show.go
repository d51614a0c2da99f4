package coordinator

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/grouper"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// initMetrics registers what the process shows of itself.
func (c *Coordinator) initMetrics() {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	for name, value := range map[string]func() int64{
		"log_term":               func() int64 { return int64(c.driver.Status().Term) },
		"log_applied":            func() int64 { return int64(c.driver.Status().AppliedIndex) },
		"catalog_version":        func() int64 { s, _ := c.keeper.State(); return int64(s.Version) },
		"state_confirmed_ago_ms": func() int64 { ago, _ := c.freshAgo(); return ago.Milliseconds() },
		"servers":                func() int64 { return c.countServers(func(*tracker.Server) bool { return true }) },
		"servers_silent":         func() int64 { return c.countServers(func(s *tracker.Server) bool { return s.Silent }) },
		"groups_open":            func() int64 { return c.countServers((*tracker.Server).Serving) },
		"fronts": func() int64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return int64(c.allFronts(time.Now()))
		},
	} {
		metrics.NewRegisteredFunctionalGauge(name, c.Metrics, value)
	}
	c.orders = map[grouper.Outcome]metrics.Counter{}
	for o := grouper.OutcomeUnanswered; o <= grouper.OutcomeAbsent; o++ {
		c.orders[o] = metrics.NewRegisteredCounter("orders_"+o.String(), c.Metrics)
	}
	c.orderTime = metrics.NewRegisteredHistogram("order_ms", c.Metrics, metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// sampleSize and sampleDecay are the library's own values for a histogram that
// weighs the last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

func (c *Coordinator) countServers(is func(*tracker.Server) bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := int64(0)
	for _, s := range c.registry.All() {
		if !s.Gone && is(s) {
			n++
		}
	}
	return n
}

// State is what a core process shows of itself on request.
type State struct {
	Settings  configurer.Node
	Log       driver.Status
	Catalog   cataloger.Version
	Evacuated []identifier.FailureDomain
	// Leads tells whether this process gives orders.
	Leads   bool
	Groups  []grouper.GroupInfo
	Servers []tracker.Server
	Peers   []identifier.VM
}

// dump returns the state of the process for operators.
func (c *Coordinator) dump() any {
	state, _ := c.keeper.State()
	_, leads := c.authority()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{
		Settings: c.Settings, Log: c.driver.Status(), Catalog: state.Version, Evacuated: state.Evacuated, Leads: leads,
		Peers: c.livePeers(time.Now()),
	}
	if leads {
		s.Groups = c.placement.grouper.Groups()
	}
	for _, b := range c.registry.All() {
		s.Servers = append(s.Servers, *b)
	}
	return s
}
