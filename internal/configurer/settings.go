// Package configurer reads and checks the settings of one process.
//
// Settings say what a process is and whom it knows: its VM, its failure domain,
// its addresses and its peers. What it should run is declared by operators and
// read by package declarer.
package configurer

import (
	"net"
	"strconv"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/inspector"
)

// EntrySettings is the content of a settings file.
type EntrySettings struct {
	VM            identifier.VM            `yaml:"vm_id" json:"vm_id"`
	Region        identifier.Region        `yaml:"region" json:"region"`
	FailureDomain identifier.FailureDomain `yaml:"failure_domain" json:"failure_domain"`
	// CallersAddress is host:port for callers.
	CallersAddress string `yaml:"callers_address" json:"callers_address"`
	// ControlAddress is host:port for operators, backend servers and peers.
	ControlAddress string `yaml:"control_address" json:"control_address"`
	// DataFolder is empty on a VM without a disk.
	DataFolder string `yaml:"data_folder" json:"data_folder"`
	// Peers lists every entry VM, this one included.
	Peers  []Peer      `yaml:"peers" json:"peers"`
	Keys   Keys        `yaml:"keys" json:"-"`
	Timing Timing      `yaml:"timing" json:"timing"`
	Limits Limits      `yaml:"limits" json:"limits"`
	TLS    TLS         `yaml:"tls" json:"tls"`
	Logs   LogSettings `yaml:"logs" json:"logs"`
}

// Peer is one entry VM.
type Peer struct {
	VM            identifier.VM            `yaml:"vm_id" json:"vm_id"`
	FailureDomain identifier.FailureDomain `yaml:"failure_domain" json:"failure_domain"`
	// Address is its control address.
	Address string `yaml:"address" json:"address"`
	// Voter marks the VMs with a disk that start the control logs.
	Voter bool `yaml:"voter" json:"voter"`
}

// Keys are the secrets that tell operators, backend servers and peers apart.
type Keys struct {
	Operator string `yaml:"operator"`
	Backend  string `yaml:"backend"`
	Peer     string `yaml:"peer"`
}

// TLS names the files of the listeners' certificate. All empty means plain
// connections, which Plain has to confirm.
type TLS struct {
	Plaintext       bool   `yaml:"plain" json:"plain"`
	CertificateFile string `yaml:"certificate_file" json:"certificate_file"`
	KeyFile         string `yaml:"key_file" json:"key_file"`
	AuthorityFile   string `yaml:"authority_file" json:"authority_file"`
}

// LogSettings controls logging.
type LogSettings struct {
	// Level is one of debug, info, warn, error.
	Level string `yaml:"level" json:"level"`
}

// Timing holds every bound in time. Zero values take the defaults.
type Timing struct {
	// LogTickInterval is the unit of the control logs' clocks.
	LogTickInterval time.Duration `yaml:"log_tick" json:"log_tick"`
	// HeartbeatInterval is the time between reports of entries and announcements of
	// backend servers.
	HeartbeatInterval time.Duration `yaml:"heartbeat" json:"heartbeat"`
	// SilenceTimeout is how long a peer, backend server or connection may be silent
	// before it counts as lost.
	SilenceTimeout time.Duration `yaml:"silence" json:"silence"`
	// PlacementLeaseDuration is how long a failure domain's placement authority lasts
	// without renewal.
	PlacementLeaseDuration time.Duration `yaml:"placement_lease" json:"placement_lease"`
	// HalfLimitTime is how long an entry that may not be a group's only owner uses
	// half of its limit, unless the group reports another owner's requests.
	HalfLimitTime time.Duration `yaml:"owner_doubt" json:"owner_doubt"`
	// MaxOrderLifetime is the longest time for which an order may be under way.
	MaxOrderLifetime time.Duration `yaml:"order_life" json:"order_life"`
	// ConfigPullInterval is the time between two pulls of the configuration from a
	// random peer.
	ConfigPullInterval time.Duration `yaml:"config_pull" json:"config_pull"`
	// ShutdownTimeout bounds how long streams in flight may take at a stop.
	ShutdownTimeout time.Duration `yaml:"shutdown" json:"shutdown"`
	// FirstTokenTimeout bounds the time until a backend server's first byte.
	FirstTokenTimeout time.Duration `yaml:"first_token" json:"first_token"`
	// InterTokenTimeout bounds the silence within a stream.
	InterTokenTimeout time.Duration `yaml:"between_tokens" json:"between_tokens"`
	// MaxQueueWait bounds the time that a request waits for a free place.
	MaxQueueWait time.Duration `yaml:"queue_wait" json:"queue_wait"`
	// ClaimRetention is how long a finished non-idempotent request's answer is
	// kept for resends.
	ClaimRetention time.Duration `yaml:"claim_retention" json:"claim_retention"`
}

// Limits holds every bound in size. Zero values take the defaults.
type Limits struct {
	MaxBodyBytes           int64 `yaml:"body_bytes" json:"body_bytes"`
	MaxQueueLength         int   `yaml:"queue_length" json:"queue_length"`
	MaxStoredResponseBytes int   `yaml:"answer_bytes" json:"answer_bytes"`
	// MaxLoadingVMs is the number of VMs of a failure domain that may load
	// weights from the store at the same time.
	MaxLoadingVMs int `yaml:"max_loading" json:"max_loading"`
}

// Default bounds.
const (
	defaultLogTick        = 100 * time.Millisecond
	defaultHeartbeat      = time.Second
	defaultSilence        = 3 * time.Second
	defaultPlacementLease = 5 * time.Second
	defaultOwnerDoubt     = 15 * time.Second
	defaultOrderLife      = 10 * time.Second
	defaultConfigPull     = 2 * time.Second
	defaultShutdown       = 10 * time.Minute
	defaultFirstToken     = 15 * time.Second
	defaultBetweenTokens  = 10 * time.Second
	defaultQueueWait      = 1500 * time.Millisecond
	defaultClaimRetention = 24 * time.Hour
	defaultBodyBytes      = 8 << 20
	defaultQueueLength    = 1024
	defaultMaxLoading     = 16
	defaultAnswerBytes    = 64 << 10
)

// LoadEntrySettings reads a settings file, fills defaults and checks everything. The error
// is an inspector.Findings when the file is readable but wrong.
func LoadEntrySettings(name string) (EntrySettings, error) {
	var s EntrySettings
	d, err := inspector.Load(name, &s)
	if err != nil {
		return s, err
	}
	s.FillDefaults()
	if !d.IsInvalidYAML {
		s.check(d)
	}
	return s, d.Err()
}

// FillDefaults replaces zero values by the defaults.
func (s *EntrySettings) FillDefaults() {
	t := &s.Timing
	fill(&t.LogTickInterval, defaultLogTick)
	fill(&t.HeartbeatInterval, defaultHeartbeat)
	fill(&t.SilenceTimeout, defaultSilence)
	fill(&t.PlacementLeaseDuration, defaultPlacementLease)
	fill(&t.HalfLimitTime, defaultOwnerDoubt)
	fill(&t.MaxOrderLifetime, defaultOrderLife)
	fill(&t.ConfigPullInterval, defaultConfigPull)
	fill(&t.ShutdownTimeout, defaultShutdown)
	fill(&t.FirstTokenTimeout, defaultFirstToken)
	fill(&t.InterTokenTimeout, defaultBetweenTokens)
	fill(&t.MaxQueueWait, defaultQueueWait)
	fill(&t.ClaimRetention, defaultClaimRetention)
	fill(&s.Limits.MaxBodyBytes, defaultBodyBytes)
	fill(&s.Limits.MaxQueueLength, defaultQueueLength)
	fill(&s.Limits.MaxStoredResponseBytes, defaultAnswerBytes)
	fill(&s.Limits.MaxLoadingVMs, defaultMaxLoading)
	fill(&s.Logs.Level, "info")
}

func fill[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (s *EntrySettings) check(d *inspector.Document) {
	checkID(d, "vm_id", string(s.VM))
	checkID(d, "region", string(s.Region))
	checkID(d, "failure_domain", string(s.FailureDomain))
	checkAddress(d, []string{"callers_address"}, s.CallersAddress)
	checkAddress(d, []string{"control_address"}, s.ControlAddress)
	s.checkPeers(d)
	s.checkKeys(d)
	s.checkTiming(d)
	s.checkTLS(d)
	switch s.Logs.Level {
	case "debug", "info", "warn", "error":
	default:
		d.AddFinding([]string{"logs", "level"}, "level %q is not one of debug, info, warn, error", s.Logs.Level)
	}
}

func checkID(d *inspector.Document, key, id string) {
	if !identifier.IsValid(id) {
		d.AddFinding([]string{key}, "%s %q is not an id: use 1 to 64 letters, digits, dots, dashes and underscores", key, id)
	}
}

func checkAddress(d *inspector.Document, path []string, address string) {
	host, port, err := net.SplitHostPort(address)
	n, perr := strconv.ParseUint(port, 10, 16)
	if err != nil || perr != nil || n == 0 || net.ParseIP(host) == nil {
		d.AddFinding(path, "%s %q is not ip:port", path[len(path)-1], address)
	}
}

func (s *EntrySettings) checkPeers(d *inspector.Document) {
	seen := map[identifier.VM]bool{}
	voters := 0
	for i, p := range s.Peers {
		path := []string{"peers", strconv.Itoa(i)}
		if !identifier.IsValid(string(p.VM)) || !identifier.IsValid(string(p.FailureDomain)) {
			d.AddFinding(path, "a peer needs a vm_id and a failure_domain that are ids")
		}
		if seen[p.VM] {
			d.AddFinding(path, "vm_id %q stands twice", p.VM)
		}
		seen[p.VM] = true
		checkAddress(d, append(path, "address"), p.Address)
		if p.Voter {
			voters++
		}
		if p.VM == s.VM && p.FailureDomain != s.FailureDomain {
			d.AddFinding(path, "this VM's failure_domain differs from the one above")
		}
		if p.VM == s.VM && p.Voter && s.DataFolder == "" {
			d.AddFinding(path, "a voter needs a data_folder")
		}
	}
	if !seen[s.VM] {
		d.AddFinding([]string{"peers"}, "peers does not list this VM, %q", s.VM)
	}
	const maxVoters = 7
	if voters == 0 || voters > maxVoters {
		d.AddFinding([]string{"peers"}, "there have to be 1 to %d voters, not %d", maxVoters, voters)
	}
}

func (s *EntrySettings) checkKeys(d *inspector.Document) {
	const minKeyBytes = 16
	keys := []struct{ name, key string }{
		{"operator", s.Keys.Operator}, {"backend", s.Keys.Backend}, {"peer", s.Keys.Peer},
	}
	for i, k := range keys {
		if len(k.key) < minKeyBytes {
			d.AddFinding([]string{"keys", k.name}, "key %s has fewer than %d characters", k.name, minKeyBytes)
		}
		for _, other := range keys[:i] {
			if k.key != "" && k.key == other.key {
				d.AddFinding([]string{"keys", k.name}, "keys %s and %s are the same", k.name, other.name)
			}
		}
	}
}

func (s *EntrySettings) checkTiming(d *inspector.Document) {
	t := s.Timing
	longer := []struct {
		name, other string
		long, short time.Duration
	}{
		{"silence", "heartbeat", t.SilenceTimeout, t.HeartbeatInterval},
		{"placement_lease", "heartbeat", t.PlacementLeaseDuration, t.HeartbeatInterval},
		{"owner_doubt", "silence", t.HalfLimitTime, t.SilenceTimeout},
		{"heartbeat", "zero", t.HeartbeatInterval, 0},
		{"log_tick", "zero", t.LogTickInterval, 0},
		{"order_life", "zero", t.MaxOrderLifetime, 0},
		{"config_pull", "zero", t.ConfigPullInterval, 0},
	}
	for _, l := range longer {
		if l.long <= l.short {
			d.AddFinding([]string{"timing", l.name}, "%s (%s) has to be longer than %s (%s)", l.name, l.long, l.other, l.short)
		}
	}
}

func (s *EntrySettings) checkTLS(d *inspector.Document) {
	t := s.TLS
	files := t.CertificateFile != "" || t.KeyFile != "" || t.AuthorityFile != ""
	all := t.CertificateFile != "" && t.KeyFile != "" && t.AuthorityFile != ""
	switch {
	case t.Plaintext && files:
		d.AddFinding([]string{"tls"}, "plain and files exclude each other")
	case !t.Plaintext && !all:
		d.AddFinding([]string{"tls"}, "certificate_file, key_file and authority_file are needed, or plain: true")
	}
}

// Self returns this VM's place in Peers.
func (s *EntrySettings) Self() Peer {
	for _, p := range s.Peers {
		if p.VM == s.VM {
			return p
		}
	}
	return Peer{VM: s.VM, FailureDomain: s.FailureDomain, Address: s.ControlAddress}
}
