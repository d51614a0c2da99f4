//go:build review

// Command rig2 runs cases of the review: it starts the project's own programs as
// separate processes on loopback addresses, with stand-ins for the platform, the
// operator, backend servers and callers, and checks one rule.
package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed names.json
var namesData []byte

// names holds the platform's names and formats.
var names map[string]string

// exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// ports of the processes, the same on all VMs.
type ports struct{ callers, readiness, control, peer, server int }

// rig is one small deployment.
type rig struct {
	folder  string
	trouble bool
	ports   ports
	started time.Time

	recordMu sync.Mutex
	record   *os.File

	mu       sync.Mutex
	nodes    []*node
	stopping bool
	// controls lists the control addresses that operator and servers know.
	controls []string
}

// node is one VM with one process.
type node struct {
	rig        *rig
	name, role string
	ip, zone   string
	seeds      []string
	firstStart bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func main() {
	if err := json.Unmarshal(namesData, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	cases := map[string]func(*rig) int{
		"replaced": runReplaced, "bodies": runBodies, "departure": runDeparture, "foreign": runForeign, "pair": runPair,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(statusNotRun)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	end := func(status int) {
		r.stopAll()
		r.log("exit status %d", status)
		os.Exit(status)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			r.log("the script gets %s", s)
		case <-time.After(longestRun):
			r.log("the script takes too long")
		}
		end(statusNotRun)
	}()
	end(cases[os.Args[1]](r))
}

// longestRun is the time after which a case that hasn't ended is given up.
const longestRun = 115 * time.Second

var errStopping = errors.New("the script ends")

func newRig(recordFile string) (*rig, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: record, started: time.Now()}
	for _, p := range []*int{&r.ports.callers, &r.ports.readiness, &r.ports.control, &r.ports.peer, &r.ports.server} {
		l, err := net.Listen("tcp", r.ip(1)+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		*p = l.Addr().(*net.TCPAddr).Port
	}
	r.log("trouble: %v", r.trouble)
	return r, nil
}

// ip returns the address of the nth VM. Runs at the same time have different ones.
func (r *rig) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()/200%200, os.Getpid()%200, n)
}

func (r *rig) log(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.record.WriteString(line)
}

func (r *rig) address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// startNode starts a process on a new VM.
func (r *rig) startNode(role string, n, zone int, firstStart bool) (*node, error) {
	v := &node{rig: r, role: role, name: fmt.Sprintf("%s-%d", role, n), ip: r.ip(n), zone: fmt.Sprintf("zone-%d", zone), firstStart: firstStart}
	r.mu.Lock()
	r.nodes = append(r.nodes, v)
	v.seeds = append(v.seeds, r.controls[:min(len(r.controls), 3)]...)
	r.mu.Unlock()
	return v, v.start()
}

func (v *node) dataFolder() string { return filepath.Join(v.rig.folder, v.name) }

// start writes the settings, as the platform does before every start, and starts the process.
func (v *node) start() error {
	r := v.rig
	var seeds []string
	for _, s := range v.seeds {
		seeds = append(seeds, strconv.Quote(s))
	}
	text := fmt.Sprintf("vm_id: %s\nregion: region\nfailure_domain: %s\n", v.name, v.zone)
	if v.role == "front" {
		text += fmt.Sprintf("callers_address: %q\nreadiness_address: %q\n", r.address(v.ip, r.ports.callers), r.address(v.ip, r.ports.readiness))
	} else {
		text += fmt.Sprintf("control_address: %q\ndata_folder: %q\n", r.address(v.ip, r.ports.control), v.dataFolder())
	}
	text += fmt.Sprintf("peer_address: %q\nseeds: [%s]\nfirst_start: %v\nmemory_mb: %d\n", r.address(v.ip, r.ports.peer), strings.Join(seeds, ", "), v.firstStart, memoryMB)
	text += "bounds:\n  heartbeat_ms: 1200\n  revocation_ms: 5000\n  grace_s: 8.0\n  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 136.0\n  cold_overshoot: 1.5\n  cold_slack: 5\n"
	file := filepath.Join(r.folder, v.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if v.role == "core" {
		if err := os.MkdirAll(v.dataFolder(), 0o700); err != nil {
			return err
		}
	}
	v.firstStart = false
	out, err := os.OpenFile(filepath.Join(r.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/trefoilhead", v.role)
	cmd.Env = append(os.Environ(), names["settings_variable"]+"="+file)
	cmd.Stdout, cmd.Stderr = out, out
	exited := make(chan struct{})
	r.mu.Lock()
	if r.stopping {
		r.mu.Unlock()
		return errStopping
	}
	err = cmd.Start()
	if err == nil {
		v.mu.Lock()
		v.cmd, v.exited = cmd, exited
		v.mu.Unlock()
	}
	r.mu.Unlock()
	if err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	r.log("%s starts on %s", v.name, v.ip)
	return nil
}

// signal sends a signal to the process, and waits for its end if that is to be expected.
func (v *node) signal(s syscall.Signal) {
	v.mu.Lock()
	cmd, exited := v.cmd, v.exited
	v.mu.Unlock()
	v.rig.log("%s gets %s", v.name, s)
	_ = cmd.Process.Signal(s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		<-exited
		v.rig.log("%s has ended", v.name)
	}
}

func (v *node) wipe() {
	_ = os.RemoveAll(v.dataFolder())
	v.rig.log("%s has lost its disk", v.name)
}

// stopAll ends all processes and keeps their output in the folder of the record if asked to.
func (r *rig) stopAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	r.stopping = true
	for _, v := range r.nodes {
		v.mu.Lock()
		cmd, exited := v.cmd, v.exited
		v.mu.Unlock()
		if cmd == nil {
			continue
		}
		select {
		case <-exited:
		default:
			_ = cmd.Process.Kill()
			_ = cmd.Process.Signal(syscall.SIGCONT)
			<-exited
		}
	}
	if os.Getenv("KEEP") != "" {
		r.log("output of the processes is in %s", r.folder)
		return
	}
	_ = os.RemoveAll(r.folder)
}

// setControls replaces the control addresses that operator and servers know.
func (r *rig) setControls(nodes ...*node) {
	var list []string
	for _, v := range nodes {
		list = append(list, r.address(v.ip, r.ports.control))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controls = list
}

func (r *rig) knownControls() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.controls...)
}
