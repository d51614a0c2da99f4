//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as on the users' sheets.
const (
	drainTime       = 2 * time.Second
	configApplyTime = 2 * time.Second
	coreMemoryMB    = 280
	frontMemoryMB   = 284
	heartbeatTime   = 1200 * time.Millisecond
)

// system is a small deployment: processes, and the stand-ins around them.
type system struct {
	words   map[string]string
	program string
	folder  string
	began   time.Time
	cores   []*process
	fronts  []*process
	// net is the second number of all loopback addresses.
	net                                                            int
	peerPort, controlPort, callersPort, readinessPort, metricsPort int
	// withPeerProxies puts a proxy in front of each core process for its peers.
	withPeerProxies bool
	mu              sync.Mutex
	out             *os.File
	ends            []func()
	ending          sync.Once
	// serving holds the groups of engines whose heads are open or closing.
	groupsMu sync.Mutex
	serving  map[string]bool
}

// process is one process of the deployment on an address of its own.
type process struct {
	s        *system
	name     string
	role     string
	ip       string
	listenIP string
	zone     string
	data     string
	settings string
	proxy    *proxy
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	// endedByTest is set before the test ends the process.
	endedByTest bool
}

func newSystem(words, program, record string) (*system, error) {
	s := &system{program: program, began: time.Now()}
	data, err := os.ReadFile(words)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &s.words); err != nil {
		return nil, err
	}
	if s.out, err = os.Create(record); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "rig3-"); err != nil {
		return nil, err
	}
	return s, s.pickAddresses()
}

// log adds a line to the record.
func (s *system) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%9.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *system) onEnd(f func()) { s.ends = append(s.ends, f) }

// end ends all that the case has started.
func (s *system) end() { s.ending.Do(s.endAll) }

func (s *system) endAll() {
	for i := len(s.ends) - 1; i >= 0; i-- {
		s.ends[i]()
	}
	for _, p := range append(append([]*process{}, s.cores...), s.fronts...) {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
	_ = s.out.Close()
}

// pickAddresses draws loopback addresses and ports that are free on them.
func (s *system) pickAddresses() error {
	for try := range 50 {
		s.net = 20 + (os.Getpid()+try*37)%200
		base := 20000 + (os.Getpid()*13+try*101)%20000
		s.peerPort, s.controlPort, s.callersPort, s.readinessPort, s.metricsPort = base, base+1, base+2, base+3, base+4
		if s.areFree(base) {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (s *system) areFree(base int) bool {
	for port := base; port < base+8; port++ {
		for host := 1; host < 20; host++ {
			l, err := net.Listen("tcp", s.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *system) host(n int) string { return fmt.Sprintf("127.%d.0.%d", s.net, n) }
func (s *system) address(host, port int) string {
	return net.JoinHostPort(s.host(host), strconv.Itoa(port))
}
func (p *process) address(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }
func (p *process) control() string         { return p.address(p.s.controlPort) }
func (p *process) callers() string         { return p.address(p.s.callersPort) }
func (p *process) metricsURL(path string) string {
	return "http://" + p.address(p.s.metricsPort) + path
}

// startAll starts three core processes and three fronts, in three zones.
func (s *system) startAll() error {
	for i := range 3 {
		s.cores = append(s.cores, &process{s: s, name: fmt.Sprintf("core-%d", i+1), role: "core", ip: s.host(1 + i), listenIP: s.host(11 + i), zone: fmt.Sprintf("z%d", i+1)})
		s.fronts = append(s.fronts, &process{s: s, name: fmt.Sprintf("front-%d", i+1), role: "front", ip: s.host(4 + i), zone: fmt.Sprintf("z%d", i+1)})
	}
	for _, p := range append(append([]*process{}, s.cores...), s.fronts...) {
		if p.role == "core" && s.withPeerProxies {
			var err error
			if p.proxy, err = newProxy(p.address(s.peerPort), net.JoinHostPort(p.listenIP, strconv.Itoa(s.peerPort))); err != nil {
				return err
			}
			s.onEnd(p.proxy.close)
		}
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) start(first bool) error {
	s := p.s
	if p.data == "" {
		p.data = filepath.Join(s.folder, p.name+"-data")
		p.settings = filepath.Join(s.folder, p.name+".yaml")
	}
	var seeds []string
	for _, c := range s.cores {
		seeds = append(seeds, strconv.Quote(c.control()))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "vm_id: %s\nregion: r\nfailure_domain: %s\n", p.name, p.zone)
	memory := coreMemoryMB
	if p.role == "front" {
		memory = frontMemoryMB
		fmt.Fprintf(&b, "callers_address: %q\nreadiness_address: %q\n", p.callers(), p.address(s.readinessPort))
	} else {
		fmt.Fprintf(&b, "control_address: %q\ndata_folder: %q\n", p.control(), p.data)
		if p.proxy != nil {
			fmt.Fprintf(&b, "peer_listen_address: %q\n", net.JoinHostPort(p.listenIP, strconv.Itoa(s.peerPort)))
		}
	}
	fmt.Fprintf(&b, "peer_address: %q\nmetrics_address: %q\nseeds: [%s]\nfirst_start: %v\nmemory_mb: %d\nmax_descriptors: 4096\n",
		p.address(s.peerPort), p.address(s.metricsPort), strings.Join(seeds, ", "), first, memory)
	b.WriteString("bounds:\n  heartbeat_ms: 1200\n  revocation_ms: 5000\n  grace_s: 8\n  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 136\n  cold_overshoot: 1.5\n  cold_slack: 5\n  tolerated_vm_losses: 1\n")
	if err := os.WriteFile(p.settings, []byte(b.String()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(s.program, p.role)
	cmd.Env = append(os.Environ(), s.words["settings_variable"]+"="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.endedByTest = cmd, exited, false
	p.mu.Unlock()
	s.log("%s starts", p.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		byTest := p.endedByTest
		p.mu.Unlock()
		if !byTest {
			s.log("%s has ended by itself: %v", p.name, err)
		}
		close(exited)
	}()
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.endedByTest = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// runs reports whether the process has not ended.
func (p *process) runs() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// freeze stops the process and holds what is sent to it; thaw ends that.
func (p *process) freeze() {
	if p.proxy != nil {
		p.proxy.cut()
	}
	p.signal(syscall.SIGSTOP)
	p.s.log("%s stands still", p.name)
}

func (p *process) thaw() {
	p.signal(syscall.SIGCONT)
	if p.proxy != nil {
		p.proxy.heal()
	}
	p.s.log("%s runs again", p.name)
}

// peakMemoryMB returns the largest resident memory of the process so far, in MiB.
func (p *process) peakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// leads reports whether a core process says in its state dump that it leads the log.
func (p *process) leads() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get(p.metricsURL("/dump"))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var d struct {
		Log struct {
			Role    string `json:"role"`
			Settled bool   `json:"settled"`
		}
	}
	return json.NewDecoder(resp.Body).Decode(&d) == nil && d.Log.Role == "leader" && d.Log.Settled
}

func (s *system) leader(among []*process) *process {
	for _, c := range among {
		if c.leads() {
			return c
		}
	}
	return nil
}

// waitFor polls a condition.
func waitFor(limit time.Duration, cond func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

// call makes a call to a control address. Each has a connection of its own.
func (s *system) call(method, address, path string, body []byte, limit time.Duration) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// config returns a config with a version and keys.
func (s *system) config(version int, keys ...string) []byte {
	var quoted []string
	for _, k := range keys {
		quoted = append(quoted, strconv.Quote(k))
	}
	return []byte(strings.NewReplacer("VERSION", strconv.Itoa(version), "KEYS", strings.Join(quoted, ",")).Replace(s.words["config"]))
}

// publish sends a config to the core processes in turn until one has acknowledged it, and returns when that was.
func (s *system) publish(limit time.Duration, to []*process, version int, keys ...string) (time.Time, error) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, c := range to {
			status, _ := s.call(http.MethodPut, c.control(), s.words["config_path"], s.config(version, keys...), time.Second)
			s.log("operator: config %d to %s: %d", version, c.name, status)
			if status == http.StatusOK {
				return time.Now(), nil
			}
		}
	}
	return time.Time{}, fmt.Errorf("config %d was not acknowledged", version)
}

// readVersion reads the config from a core process and returns its version, or 0 and the status.
func (s *system) readVersion(c *process) (version, status int) {
	status, data := s.call(http.MethodGet, c.control(), s.words["config_path"], nil, time.Second)
	if status != http.StatusOK {
		return 0, status
	}
	var b struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(data, &b) != nil {
		return 0, status
	}
	return b.Version, status
}

// awaitReady waits until all fronts are ready.
func (s *system) awaitReady(limit time.Duration) error {
	for _, f := range s.fronts {
		ready := func() bool {
			status, _ := s.call(http.MethodGet, f.address(s.readinessPort), s.words["ready_path"], nil, 300*time.Millisecond)
			return status == http.StatusOK
		}
		if !waitFor(limit, ready) {
			return fmt.Errorf("%s is not ready", f.name)
		}
	}
	return nil
}

// wipe empties the disk of a process that has ended.
func (p *process) wipe() error { return os.RemoveAll(p.data) }
