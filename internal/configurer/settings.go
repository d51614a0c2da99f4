// Package configurer reads and validates the settings file of a process.
//
// Settings describe the process itself: its VM, its failure domain, its
// addresses, its peers and its limits. EntrySettings is for entry processes,
// NodeSettings for front and core processes. Which services the system runs is
// not part of the settings: operators declare it, see package declarer.
package configurer

import (
	"net"
	"strconv"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/inspector"
)

// EntrySettings is the content of the settings file of an entry process.
type EntrySettings struct {
	VM            identifier.VM            `yaml:"vm_id" json:"vm_id"`
	Region        identifier.Region        `yaml:"region" json:"region"`
	FailureDomain identifier.FailureDomain `yaml:"failure_domain" json:"failure_domain"`
	// CallersAddress is the host:port that serves callers.
	CallersAddress string `yaml:"callers_address" json:"callers_address"`
	// ControlAddress is the host:port that serves operators, backend servers and
	// peers.
	ControlAddress string `yaml:"control_address" json:"control_address"`
	// DataFolder holds the control logs. It is empty on a VM without a disk.
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
	// Address is the control address of the entry process on the VM.
	Address string `yaml:"address" json:"address"`
	// Voter is set for the initial voters of the control logs. A voter needs a disk.
	Voter bool `yaml:"voter" json:"voter"`
}

// Keys holds the secrets with which operators, backend servers and peers
// authenticate themselves. They are left out of the settings' JSON form.
type Keys struct {
	Operator string `yaml:"operator"`
	Backend  string `yaml:"backend"`
	Peer     string `yaml:"peer"`
}

// TLS names the files of the listeners' certificate and its key, and of the authority
// that has to have signed the certificates of peers and backend servers. Without them
// connections are not encrypted, and Plaintext has to be set to confirm that this is
// intended.
type TLS struct {
	Plaintext       bool   `yaml:"plain" json:"plain"`
	CertificateFile string `yaml:"certificate_file" json:"certificate_file"`
	KeyFile         string `yaml:"key_file" json:"key_file"`
	CAFile          string `yaml:"authority_file" json:"authority_file"`
}

// LogSettings configures logging.
type LogSettings struct {
	// Level is one of debug, info, warn, error.
	Level string `yaml:"level" json:"level"`
}

// Timing holds intervals and timeouts. Zero values mean the defaults.
type Timing struct {
	// LogTickInterval is the length of one tick, the unit of the control logs'
	// election and heartbeat timers.
	LogTickInterval time.Duration `yaml:"log_tick" json:"log_tick"`
	// HeartbeatInterval is the interval at which entry processes send reports and
	// backend servers announce themselves.
	HeartbeatInterval time.Duration `yaml:"heartbeat" json:"heartbeat"`
	// SilenceTimeout is the time without any message after which a peer, a backend
	// server or a connection is considered lost.
	SilenceTimeout time.Duration `yaml:"silence" json:"silence"`
	// PlacementLeaseDuration is how long the lease of a failure domain's placement
	// authority lasts unless it is renewed.
	PlacementLeaseDuration time.Duration `yaml:"placement_lease" json:"placement_lease"`
	// HalfLimitTime is how long an entry process that may not be the only owner of a
	// group uses half of the group's concurrency limit. The time restarts with every
	// report of another owner's requests in the group.
	HalfLimitTime time.Duration `yaml:"owner_doubt" json:"owner_doubt"`
	// MaxOrderLifetime is the longest time that an order may take to arrive after it
	// was sent.
	MaxOrderLifetime time.Duration `yaml:"order_life" json:"order_life"`
	// ConfigPullInterval is the interval at which a process pulls the configuration
	// from a random peer.
	ConfigPullInterval time.Duration `yaml:"config_pull" json:"config_pull"`
	// ShutdownTimeout limits how long a stopping process waits for the streams in
	// flight.
	ShutdownTimeout time.Duration `yaml:"shutdown" json:"shutdown"`
	// FirstTokenTimeout limits the time until the first byte of a backend server's
	// response. It does not end a request before its deadline.
	FirstTokenTimeout time.Duration `yaml:"first_token" json:"first_token"`
	// InterTokenTimeout limits the time without data within a response stream. It does
	// not end a request before its deadline.
	InterTokenTimeout time.Duration `yaml:"between_tokens" json:"between_tokens"`
	// MaxQueueWait limits the time that a request waits in the queue.
	MaxQueueWait time.Duration `yaml:"queue_wait" json:"queue_wait"`
	// ClaimRetention is how long the response to a finished non-idempotent request
	// is kept, to be returned if the request is sent again.
	ClaimRetention time.Duration `yaml:"claim_retention" json:"claim_retention"`
}

// Limits holds limits on sizes and counts. Zero values mean the defaults.
type Limits struct {
	MaxBodyBytes           int64 `yaml:"body_bytes" json:"body_bytes"`
	MaxQueueLength         int   `yaml:"queue_length" json:"queue_length"`
	MaxStoredResponseBytes int   `yaml:"answer_bytes" json:"answer_bytes"`
	// MemoryMB is the memory that the process may use, in MiB; 0 means that of the VM.
	MemoryMB int `yaml:"memory_mb" json:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 means the limit that the system
	// sets for it.
	MaxDescriptors int `yaml:"max_descriptors" json:"max_descriptors"`
	// MaxLoadingVMs is the number of VMs of one failure domain that may load model
	// weights from the store at the same time.
	MaxLoadingVMs int `yaml:"max_loading" json:"max_loading"`
}

// Defaults of Timing and Limits.
const (
	defaultLogTickInterval        = 100 * time.Millisecond
	defaultHeartbeatInterval      = time.Second
	defaultSilenceTimeout         = 3 * time.Second
	defaultPlacementLeaseDuration = 5 * time.Second
	defaultHalfLimitTime          = 15 * time.Second
	defaultMaxOrderLifetime       = 10 * time.Second
	defaultConfigPullInterval     = 2 * time.Second
	defaultShutdownTimeout        = 10 * time.Minute
	defaultFirstTokenTimeout      = 15 * time.Second
	defaultInterTokenTimeout      = 10 * time.Second
	defaultMaxQueueWait           = 1500 * time.Millisecond
	defaultClaimRetention         = 24 * time.Hour
	defaultMaxBodyBytes           = 8 << 20
	defaultMaxQueueLength         = 1024
	defaultMaxLoadingVMs          = 16
	defaultMaxStoredResponseBytes = 64 << 10
)

// LoadEntrySettings reads the settings file of an entry process, fills in defaults
// and validates the result. The error is an inspector.Findings if the file can be
// read but its content is invalid.
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

// FillDefaults replaces zero values by their defaults.
func (s *EntrySettings) FillDefaults() {
	t := &s.Timing
	fillDefault(&t.LogTickInterval, defaultLogTickInterval)
	fillDefault(&t.HeartbeatInterval, defaultHeartbeatInterval)
	fillDefault(&t.SilenceTimeout, defaultSilenceTimeout)
	fillDefault(&t.PlacementLeaseDuration, defaultPlacementLeaseDuration)
	fillDefault(&t.HalfLimitTime, defaultHalfLimitTime)
	fillDefault(&t.MaxOrderLifetime, defaultMaxOrderLifetime)
	fillDefault(&t.ConfigPullInterval, defaultConfigPullInterval)
	fillDefault(&t.ShutdownTimeout, defaultShutdownTimeout)
	fillDefault(&t.FirstTokenTimeout, defaultFirstTokenTimeout)
	fillDefault(&t.InterTokenTimeout, defaultInterTokenTimeout)
	fillDefault(&t.MaxQueueWait, defaultMaxQueueWait)
	fillDefault(&t.ClaimRetention, defaultClaimRetention)
	fillDefault(&s.Limits.MaxBodyBytes, defaultMaxBodyBytes)
	fillDefault(&s.Limits.MaxQueueLength, defaultMaxQueueLength)
	fillDefault(&s.Limits.MaxStoredResponseBytes, defaultMaxStoredResponseBytes)
	fillDefault(&s.Limits.MaxLoadingVMs, defaultMaxLoadingVMs)
	fillDefault(&s.Logs.Level, "info")
}

func fillDefault[T comparable](v *T, def T) {
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
		d.AddFinding([]string{key}, "%s %q is not a valid id: use 1 to 64 letters, digits, dots, dashes and underscores", key, id)
	}
}

func checkAddress(d *inspector.Document, path []string, address string) {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || n == 0 || net.ParseIP(host) == nil {
		d.AddFinding(path, "%s %q is not ip:port", path[len(path)-1], address)
	}
}

func (s *EntrySettings) checkPeers(d *inspector.Document) {
	seen := map[identifier.VM]bool{}
	voters := 0
	for i, p := range s.Peers {
		path := []string{"peers", strconv.Itoa(i)}
		if !identifier.IsValid(string(p.VM)) || !identifier.IsValid(string(p.FailureDomain)) {
			d.AddFinding(path, "a peer needs a vm_id and a failure_domain that are valid ids")
		}
		if seen[p.VM] {
			d.AddFinding(path, "vm_id %q is listed twice", p.VM)
		}
		seen[p.VM] = true
		checkAddress(d, append(path, "address"), p.Address)
		if p.Voter {
			voters++
		}
		if p.VM == s.VM && p.FailureDomain != s.FailureDomain {
			d.AddFinding(path, "this VM's failure_domain differs from that of the file itself")
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
	minimums := []struct {
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
	for _, l := range minimums {
		if l.long <= l.short {
			d.AddFinding([]string{"timing", l.name}, "%s (%s) has to be longer than %s (%s)", l.name, l.long, l.other, l.short)
		}
	}
}

func (s *EntrySettings) checkTLS(d *inspector.Document) {
	t := s.TLS
	anyFile := t.CertificateFile != "" || t.KeyFile != "" || t.CAFile != ""
	allFiles := t.CertificateFile != "" && t.KeyFile != "" && t.CAFile != ""
	switch {
	case t.Plaintext && anyFile:
		d.AddFinding([]string{"tls"}, "plain and certificate files exclude each other")
	case !t.Plaintext && !allFiles:
		d.AddFinding([]string{"tls"}, "certificate_file, key_file and authority_file are needed, or plain: true")
	}
}

// Self returns this VM's element of Peers, or one made from the settings if Peers
// does not list it.
func (s *EntrySettings) Self() Peer {
	for _, p := range s.Peers {
		if p.VM == s.VM {
			return p
		}
	}
	return Peer{VM: s.VM, FailureDomain: s.FailureDomain, Address: s.ControlAddress}
}
