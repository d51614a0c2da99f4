package configurer

import (
	"strconv"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/inspector"
)

// NodeSettings is the content of the settings file of a front or core process.
// Such a process discovers the other processes through a few seeds.
type NodeSettings struct {
	VM            identifier.VM            `yaml:"vm_id" json:"vm_id"`
	Region        identifier.Region        `yaml:"region" json:"region"`
	FailureDomain identifier.FailureDomain `yaml:"failure_domain" json:"failure_domain"`
	// CallersAddress is the host:port that serves callers, ReadinessAddress the one
	// that serves the load balancer's readiness checks. A front needs both.
	CallersAddress   string `yaml:"callers_address" json:"callers_address"`
	ReadinessAddress string `yaml:"readiness_address" json:"readiness_address"`
	// ControlAddress is the host:port that serves operators and backend servers. A
	// core process needs it.
	ControlAddress string `yaml:"control_address" json:"control_address"`
	// PeerAddress is the host:port at which other processes reach this one. The
	// port has to be the same on every VM, because the peer addresses of the seeds
	// are formed with it.
	PeerAddress string `yaml:"peer_address" json:"peer_address"`
	// PeerListenAddress is the host:port to listen on if connections to PeerAddress
	// are forwarded to another address. It defaults to PeerAddress.
	PeerListenAddress string `yaml:"peer_listen_address" json:"peer_listen_address"`
	// MetricsAddress is the host:port that serves metrics and the state dump. If it
	// is empty, neither is served.
	MetricsAddress string `yaml:"metrics_address" json:"metrics_address"`
	// Seeds lists the control addresses of some core processes.
	Seeds []string `yaml:"seeds" json:"seeds"`
	// DataFolder holds the replicated log of a core process.
	DataFolder string `yaml:"data_folder" json:"data_folder"`
	// FirstStart lets the core processes among the seeds create a new log. It may be
	// set only when the whole system starts for the first time: the first placement
	// authority then assumes that no replica group exists.
	FirstStart bool `yaml:"first_start" json:"first_start"`
	// MemoryMB is the memory that the process may use, in MiB; 0 means that of the VM.
	MemoryMB int `yaml:"memory_mb" json:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 means the limit that the system
	// sets for it.
	MaxDescriptors int         `yaml:"max_descriptors" json:"max_descriptors"`
	Bounds         NodeBounds  `yaml:"bounds" json:"bounds"`
	Logs           LogSettings `yaml:"logs" json:"logs"`
	Tests          NodeTests   `yaml:"tests" json:"tests"`
}

// NodeTests holds faults that tests inject.
type NodeTests struct {
	// DiskFullWhile is the path of a file. While it exists, the data folder refuses writes.
	DiskFullWhile string `yaml:"disk_full_while" json:"disk_full_while"`
	// DiskStalledWhile is the path of a file. While it exists, writes to the data folder wait.
	DiskStalledWhile string `yaml:"disk_stalled_while" json:"disk_stalled_while"`
}

// NodeBounds holds the time and rate bounds that a deployment guarantees. Fields
// that end in MS are in milliseconds, those that end in S in seconds.
type NodeBounds struct {
	// HeartbeatIntervalMS is the interval at which a backend server announces itself.
	HeartbeatIntervalMS int `yaml:"heartbeat_ms" json:"heartbeat_ms"`
	// MaxRevocationDelayMS is the time after which no process may accept a revoked
	// key any more; 0 means no limit.
	MaxRevocationDelayMS int `yaml:"revocation_ms" json:"revocation_ms"`
	// ShutdownGraceS is the time after the signal to stop within which the process
	// has to end.
	ShutdownGraceS float64 `yaml:"grace_s" json:"grace_s"`
	// RetryRatio, RetryWindowS and RetrySlack limit the retries of each service over
	// all processes: within any RetryWindowS there may be RetryRatio times the number
	// of requests, plus RetrySlack.
	RetryRatio   float64 `yaml:"retry_ratio" json:"retry_ratio"`
	RetryWindowS float64 `yaml:"retry_window_s" json:"retry_window_s"`
	RetrySlack   float64 `yaml:"retry_slack" json:"retry_slack"`
	// ColdOvershoot and ColdSlack extend the declared request rate of a cold backend
	// server to ColdOvershoot times the rate plus ColdSlack requests a second.
	ColdOvershoot float64 `yaml:"cold_overshoot" json:"cold_overshoot"`
	ColdSlack     float64 `yaml:"cold_slack" json:"cold_slack"`
	// ToleratedVMLosses is the number of VMs with a core process that may be lost at the same
	// time. 0 means as many as the core processes that the system began with can bear.
	ToleratedVMLosses int `yaml:"tolerated_vm_losses" json:"tolerated_vm_losses"`
	// ReuseAfterS is the least time between the end of a backend server and the start of another one at its
	// address. 0 means that the platform states none.
	ReuseAfterS float64 `yaml:"reuse_after_s" json:"reuse_after_s"`
}

// HeartbeatInterval returns HeartbeatIntervalMS as a duration.
func (b *NodeBounds) HeartbeatInterval() time.Duration { return milliseconds(b.HeartbeatIntervalMS) }

// MaxRevocationDelay returns MaxRevocationDelayMS as a duration, 0 for no limit.
func (b *NodeBounds) MaxRevocationDelay() time.Duration { return milliseconds(b.MaxRevocationDelayMS) }

// ShutdownGrace returns ShutdownGraceS as a duration.
func (b *NodeBounds) ShutdownGrace() time.Duration { return seconds(b.ShutdownGraceS) }

// RetryWindow returns RetryWindowS as a duration.
func (b *NodeBounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// ReuseTime returns ReuseAfterS as a duration.
func (b *NodeBounds) ReuseTime() time.Duration { return seconds(b.ReuseAfterS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Defaults of NodeBounds, used for fields that are zero or left out.
const (
	defaultHeartbeatIntervalMS = 1200
	defaultShutdownGraceS      = 8
	defaultRetryRatio          = 0.1
	defaultRetryWindowS        = 10
	defaultRetrySlack          = 20
	defaultColdOvershoot       = 1
)

// Role selects which NodeSettings a process needs: those of a front or those of a
// core process.
type Role string

// Values of Role.
const (
	RoleFront Role = "front"
	RoleCore  Role = "core"
)

// LoadNodeSettings reads the settings file of a front or core process, fills in
// defaults and validates the result. The error is an inspector.Findings if the
// file can be read but its content is invalid.
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

// FillDefaults replaces zero values by their defaults.
func (n *NodeSettings) FillDefaults() {
	b := &n.Bounds
	fillDefault(&b.HeartbeatIntervalMS, defaultHeartbeatIntervalMS)
	fillDefault(&b.ShutdownGraceS, defaultShutdownGraceS)
	fillDefault(&b.RetryRatio, defaultRetryRatio)
	fillDefault(&b.RetryWindowS, defaultRetryWindowS)
	fillDefault(&b.RetrySlack, defaultRetrySlack)
	fillDefault(&b.ColdOvershoot, defaultColdOvershoot)
	fillDefault(&n.PeerListenAddress, n.PeerAddress)
	fillDefault(&n.Logs.Level, "info")
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
		d.AddFinding([]string{"seeds"}, "seeds needs one address or more")
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
		{"grace_s", b.ShutdownGraceS}, {"retry_ratio", b.RetryRatio},
		{"retry_window_s", b.RetryWindowS}, {"retry_slack", b.RetrySlack},
		{"cold_overshoot", b.ColdOvershoot}, {"cold_slack", b.ColdSlack},
		{"tolerated_vm_losses", float64(b.ToleratedVMLosses)},
		{"reuse_after_s", b.ReuseAfterS},
	} {
		if v.value < 0 {
			d.AddFinding([]string{"bounds", v.name}, "%s (%g) must not be negative", v.name, v.value)
		}
	}
}
