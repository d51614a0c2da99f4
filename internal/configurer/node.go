package configurer

import (
	"strconv"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/inspector"
)

// NodeSettings is the settings file of a front or core process, which learns of the
// other processes from a few seeds.
type NodeSettings struct {
	VM            identifier.VM            `yaml:"vm_id" json:"vm_id"`
	Region        identifier.Region        `yaml:"region" json:"region"`
	FailureDomain identifier.FailureDomain `yaml:"failure_domain" json:"failure_domain"`
	// CallersAddress and ReadinessAddress are host:port for callers and for the
	// balancer; a front needs both.
	CallersAddress   string `yaml:"callers_address" json:"callers_address"`
	ReadinessAddress string `yaml:"readiness_address" json:"readiness_address"`
	// ControlAddress is host:port for operators and backend servers; a core
	// process needs it.
	ControlAddress string `yaml:"control_address" json:"control_address"`
	// PeerAddress is host:port for other processes. Its port is the same on
	// every VM.
	PeerAddress string `yaml:"peer_address" json:"peer_address"`
	// PeerListenAddress is host:port to listen on when something between the VMs
	// forwards PeerAddress to it; empty means PeerAddress itself.
	PeerListenAddress string `yaml:"peer_listen_address" json:"peer_listen_address"`
	// MetricsAddress is host:port for metrics and the state dump; empty means
	// none.
	MetricsAddress string `yaml:"metrics_address" json:"metrics_address"`
	// Seeds are control addresses of some core processes.
	Seeds []string `yaml:"seeds" json:"seeds"`
	// DataFolder is where a core process keeps its log.
	DataFolder string `yaml:"data_folder" json:"data_folder"`
	// FirstStart is set only while the whole system starts for the first time.
	FirstStart bool `yaml:"first_start" json:"first_start"`
	// MemoryMB is what the process may use; 0 means no bound.
	MemoryMB int         `yaml:"memory_mb" json:"memory_mb"`
	Bounds   NodeBounds  `yaml:"bounds" json:"bounds"`
	Logs     LogSettings `yaml:"logs" json:"logs"`
}

// NodeBounds are the promises that a deployment makes. Times are in the unit
// that the name ends with.
type NodeBounds struct {
	// HeartbeatIntervalMS is the time between two announcements of a backend server.
	HeartbeatIntervalMS int `yaml:"heartbeat_ms" json:"heartbeat_ms"`
	// MaxRevocationDelayMS is the time after which a key that was taken away must not
	// be served anywhere; 0 means that it is not bounded.
	MaxRevocationDelayMS int `yaml:"revocation_ms" json:"revocation_ms"`
	// ShutdownGraceS is the time between the order to stop and the end.
	ShutdownGraceS float64 `yaml:"grace_s" json:"grace_s"`
	// StallTimeoutMS is how long a group with a lost member stands still.
	StallTimeoutMS int `yaml:"stall_ms" json:"stall_ms"`
	// RetryRatio and RetrySlack bound the repeats in any RetryWindowS: the ratio
	// times the requests, plus the slack, for each service over all processes.
	RetryRatio   float64 `yaml:"retry_ratio" json:"retry_ratio"`
	RetryWindowS float64 `yaml:"retry_window_s" json:"retry_window_s"`
	RetrySlack   float64 `yaml:"retry_slack" json:"retry_slack"`
	// ColdOvershoot and ColdSlack stretch the declared rate of a cold backend
	// server.
	ColdOvershoot float64 `yaml:"cold_overshoot" json:"cold_overshoot"`
	ColdSlack     float64 `yaml:"cold_slack" json:"cold_slack"`
}

// HeartbeatInterval returns the time between two announcements of a backend server.
func (b *NodeBounds) HeartbeatInterval() time.Duration { return milliseconds(b.HeartbeatIntervalMS) }

// MaxRevocationDelay returns the bound of keys that were taken away, or 0.
func (b *NodeBounds) MaxRevocationDelay() time.Duration { return milliseconds(b.MaxRevocationDelayMS) }

// ShutdownGrace returns the time between the order to stop and the end.
func (b *NodeBounds) ShutdownGrace() time.Duration { return seconds(b.ShutdownGraceS) }

// StallTimeout returns how long a group with a lost member stands still.
func (b *NodeBounds) StallTimeout() time.Duration { return milliseconds(b.StallTimeoutMS) }

// RetryWindow returns the span over which repeats are counted.
func (b *NodeBounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Defaults of Node, taken where a deployment states nothing.
const (
	defaultBeatMS       = 1200
	defaultGraceS       = 8
	defaultStallMS      = 6000
	defaultRetryRatio   = 0.1
	defaultRetryWindowS = 10
	defaultRetrySlack   = 20
	defaultColdStretch  = 1
)

// Role is the part that a process of the Node kind plays.
type Role string

// Roles.
const (
	RoleFront Role = "front"
	RoleCore  Role = "core"
)

// LoadNodeSettings reads the settings file of a front or core process, fills defaults
// and checks everything.
func LoadNodeSettings(name string, role Role) (NodeSettings, error) {
	var n NodeSettings
	d, err := inspector.Load(name, &n)
	if err != nil {
		return n, err
	}
	n.FillDefaults()
	if !d.IsInvalidYAML {
		n.check(d, role)
	}
	return n, d.Err()
}

// FillDefaults replaces zero values by the defaults.
func (n *NodeSettings) FillDefaults() {
	b := &n.Bounds
	fill(&b.HeartbeatIntervalMS, defaultBeatMS)
	fill(&b.ShutdownGraceS, defaultGraceS)
	fill(&b.StallTimeoutMS, defaultStallMS)
	fill(&b.RetryRatio, defaultRetryRatio)
	fill(&b.RetryWindowS, defaultRetryWindowS)
	fill(&b.RetrySlack, defaultRetrySlack)
	fill(&b.ColdOvershoot, defaultColdStretch)
	fill(&n.PeerListenAddress, n.PeerAddress)
	fill(&n.Logs.Level, "info")
}

func (n *NodeSettings) check(d *inspector.Document, role Role) {
	checkID(d, "vm_id", string(n.VM))
	checkID(d, "region", string(n.Region))
	checkID(d, "failure_domain", string(n.FailureDomain))
	checkAddress(d, []string{"peer_address"}, n.PeerAddress)
	checkAddress(d, []string{"peer_listen_address"}, n.PeerListenAddress)
	if n.MetricsAddress != "" {
		checkAddress(d, []string{"metrics_address"}, n.MetricsAddress)
	}
	if role == RoleFront {
		checkAddress(d, []string{"callers_address"}, n.CallersAddress)
		checkAddress(d, []string{"readiness_address"}, n.ReadinessAddress)
	} else {
		checkAddress(d, []string{"control_address"}, n.ControlAddress)
		if n.DataFolder == "" {
			d.AddFinding([]string{"data_folder"}, "a core process needs a data_folder")
		}
	}
	if len(n.Seeds) == 0 {
		d.AddFinding([]string{"seeds"}, "seeds lists no address")
	}
	for i, s := range n.Seeds {
		checkAddress(d, []string{"seeds", strconv.Itoa(i)}, s)
	}
	n.checkBounds(d)
	switch n.Logs.Level {
	case "debug", "info", "warn", "error":
	default:
		d.AddFinding([]string{"logs", "level"}, "level %q is not one of debug, info, warn, error", n.Logs.Level)
	}
}

func (n *NodeSettings) checkBounds(d *inspector.Document) {
	b := n.Bounds
	for _, v := range []struct {
		name  string
		value float64
	}{
		{"heartbeat_ms", float64(b.HeartbeatIntervalMS)}, {"revocation_ms", float64(b.MaxRevocationDelayMS)},
		{"grace_s", b.ShutdownGraceS}, {"stall_ms", float64(b.StallTimeoutMS)}, {"retry_ratio", b.RetryRatio},
		{"retry_window_s", b.RetryWindowS}, {"retry_slack", b.RetrySlack},
		{"cold_overshoot", b.ColdOvershoot}, {"cold_slack", b.ColdSlack},
	} {
		if v.value < 0 {
			d.AddFinding([]string{"bounds", v.name}, "%s (%g) is below 0", v.name, v.value)
		}
	}
}
