//go:build review

// Command kit plays the cases of the review: it starts front and core processes of the
// program and, in its own process, stand-ins for the platform, the operator, the backend
// servers and the callers, all on loopback addresses.
package main

import (
	"bytes"
	"context"
	"embed"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed names.json settings.tmpl config.tmpl beat.tmpl
var files embed.FS

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength bounds a case. What is longer is ended as one that could not run.
const maxLength = 115 * time.Second

// Bounds of the sheet of dsp-riga that the cases use.
const (
	contactTime   = 3 * time.Second
	drainTime     = 2 * time.Second
	evacuateTime  = 5 * time.Second
	beatInterval  = 1200 * time.Millisecond
	callTimeout   = time.Second
	restartDelay  = 500 * time.Millisecond
	portCallers   = 8227
	portReadiness = 8220
	portControl   = 8229
	portPeer      = 7340
	portMetrics   = 9464
)

// stage is one play of a case.
type stage struct {
	program   string
	trouble   bool
	folder    string
	prefix    string
	names     map[string]string
	templates *template.Template
	startedAt time.Time
	stopping  chan struct{}
	// frontsPerZone is 1 if it is not set.
	frontsPerZone int
	// withEngines adds model replicas to the config and requests for them to the traffic.
	withEngines bool

	mu        sync.Mutex
	record    *os.File
	processes []*process
	servers   []*server
	// rotation holds the fronts that the platform sends new connections to.
	rotation map[*process]bool
	nextID   int
	sent     map[string]*request
}

// process is a front or core process of the program.
type process struct {
	name, role, zone, ip, settings, data string
	cmd                                  *exec.Cmd
	exited                               chan struct{}
}

var cases = map[string]func(s *stage) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/trefoilhead", "the program under review")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Println("no such case:", *name)
		os.Exit(exitNotRun)
	}
	s := &stage{program: *program, trouble: *trouble != "0", startedAt: time.Now(), stopping: make(chan struct{}), rotation: map[*process]bool{}, sent: map[string]*request{}}
	os.Exit(s.run(play, *record))
}

func (s *stage) run(play func(s *stage) (bool, error), record string) int {
	var err error
	if s.record, err = os.Create(record); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(s.folder) }()
	defer s.stopAll()
	text, err := files.ReadFile("names.json")
	if err == nil {
		err = json.Unmarshal(text, &s.names)
	}
	if err == nil {
		s.templates, err = template.ParseFS(files, "*.tmpl")
	}
	if err != nil {
		return s.fail(err)
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(s)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			return s.fail(r.err)
		case r.broken:
			s.note("RESULT the rule was broken")
			return exitBroken
		}
		s.note("RESULT the rule held")
		return exitHeld
	case <-signals:
		return s.fail(fmt.Errorf("interrupted"))
	case <-time.After(maxLength):
		return s.fail(fmt.Errorf("took too long"))
	}
}

func (s *stage) fail(err error) int {
	s.note("RESULT the case could not run: %v", err)
	return exitNotRun
}

// note writes a line to the record, with the time since the start.
func (s *stage) note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", time.Since(s.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintln(s.record, line)
	if line[10] >= 'A' && line[10] <= 'Z' {
		fmt.Println(line)
	}
}

// render returns a template filled in.
func (s *stage) render(name string, data any) []byte {
	var b bytes.Buffer
	if err := s.templates.ExecuteTemplate(&b, name, data); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// choosePrefix finds loopback addresses on which the ports are free.
func (s *stage) choosePrefix(machines int) error {
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		if s.portsFree(machines) {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (s *stage) portsFree(machines int) bool {
	for i := 1; i <= machines; i++ {
		for _, port := range []int{portCallers, portReadiness, portControl, portPeer, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", s.prefix, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// serverHost is the last part of the address of the backend servers.
const serverHost = 99

// startSystem starts three core processes and the fronts in three zones.
func (s *stage) startSystem() error {
	machines := 3 + 3*max(s.frontsPerZone, 1)
	if err := s.choosePrefix(machines); err != nil {
		return err
	}
	for i := 1; i <= machines; i++ {
		p := &process{role: "core", zone: fmt.Sprintf("zone-%d", 1+(i-1)%3), ip: fmt.Sprintf("%s%d", s.prefix, i)}
		if i > 3 {
			p.role = "front"
		}
		p.name = p.role + "-" + p.zone
		if i > 6 {
			p.name += fmt.Sprintf("-%d", 1+(i-4)/3)
		}
		p.data = filepath.Join(s.folder, p.name)
		s.processes = append(s.processes, p)
		if err := s.start(p, true); err != nil {
			return err
		}
	}
	go s.runPlatform()
	return nil
}

func (s *stage) of(role string) []*process {
	var out []*process
	for _, p := range s.processes {
		if p.role == role {
			out = append(out, p)
		}
	}
	return out
}

// start writes the settings of a process and starts it.
func (s *stage) start(p *process, first bool) error {
	var seeds []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, fmt.Sprintf("%s%d", s.prefix, i))
	}
	p.settings = filepath.Join(s.folder, p.name+".yaml")
	text := s.render("settings.tmpl", map[string]any{
		"Name": p.name, "Zone": p.zone, "IP": p.ip, "Front": p.role == "front", "Data": p.data, "Seeds": seeds, "FirstStart": first,
	})
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.logFolder(), p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(s.program, p.role)
	cmd.Env = append(os.Environ(), s.names["settings_variable"]+"="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	s.mu.Lock()
	p.cmd, p.exited = cmd, exited
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	s.note("platform starts %s", p.name)
	return nil
}

// logFolder is where the processes' logs go. KEEP_LOGS names one that is kept.
func (s *stage) logFolder() string {
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		return dir
	}
	return s.folder
}

// kill ends a process at once, and restarts it after restartDelay with the disk that it had.
func (s *stage) kill(p *process) {
	s.note("DISRUPTION %s is killed", p.name)
	s.end(p, syscall.SIGKILL)
}

// restart stops a process as planned, and starts it again.
func (s *stage) restart(p *process) {
	s.note("PLANNED %s gets SIGTERM", p.name)
	s.end(p, syscall.SIGTERM)
}

func (s *stage) end(p *process, sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
	exited := p.exited
	go func() {
		<-exited
		time.Sleep(restartDelay)
		if err := s.start(p, false); err != nil {
			s.note("platform cannot restart %s: %v", p.name, err)
		}
	}()
}

// stopAll ends everything that was started.
func (s *stage) stopAll() {
	close(s.stopping)
	s.mu.Lock()
	processes, servers := s.processes, s.servers
	s.mu.Unlock()
	for _, p := range processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	for _, v := range servers {
		v.exit()
	}
}

// sleep waits, and reports false if the play ends meanwhile.
func (s *stage) sleep(d time.Duration) bool {
	select {
	case <-s.stopping:
		return false
	case <-time.After(d):
		return true
	}
}

// runPlatform asks each front once a second whether it is ready. Two misses take it out of
// the rotation, and a 200 takes it back.
func (s *stage) runPlatform() {
	misses := map[*process]int{}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for s.sleep(time.Second) {
		for _, p := range s.of("front") {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, portReadiness, s.names["ready_path"]))
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			s.mu.Lock()
			switch {
			case ready:
				misses[p], s.rotation[p] = 0, true
			default:
				if misses[p]++; misses[p] >= 2 {
					s.rotation[p] = false
				}
			}
			s.mu.Unlock()
		}
	}
}

// pickFront returns a front in rotation, or nil.
func (s *stage) pickFront() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var in []*process
	for _, p := range s.processes {
		if s.rotation[p] {
			in = append(in, p)
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[rand.IntN(len(in))]
}

// awaitReady waits until all fronts are in rotation.
func (s *stage) awaitReady() error {
	for start := time.Now(); time.Since(start) < 30*time.Second; {
		s.mu.Lock()
		n := 0
		for _, in := range s.rotation {
			if in {
				n++
			}
		}
		s.mu.Unlock()
		if n == len(s.of("front")) {
			return nil
		}
		if !s.sleep(50 * time.Millisecond) {
			break
		}
	}
	return fmt.Errorf("the fronts are not ready")
}

// control makes one call of a control address.
func (s *stage) control(ctx context.Context, p *process, method, path string, body []byte) (int, error) {
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, portControl, path), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if len(body) == 0 {
		r.Body, r.GetBody, r.ContentLength = http.NoBody, nil, 0
	} else {
		r.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	return resp.StatusCode, err
}

// order is a call of the operator: it goes to the first of the given processes, and after a
// second without an answer or a failure to the next one, until one acknowledges it.
func (s *stage) order(method, path string, body []byte, at ...*process) (time.Time, error) {
	for try := 0; try < 20; try++ {
		p := at[try%len(at)]
		s.note("operator sends %s %s to %s", method, path, p.name)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		status, err := s.control(ctx, p, method, path, body)
		cancel()
		if err == nil && status == http.StatusOK {
			s.note("operator gets 200 from %s for %s %s", p.name, method, path)
			return time.Now(), nil
		}
		s.note("operator gets no ack from %s for %s %s (status %d, %v)", p.name, method, path, status, err)
		if !s.sleep(50 * time.Millisecond) {
			break
		}
	}
	return time.Time{}, fmt.Errorf("no ack for %s %s", method, path)
}

// firstVersion is the version of the first config.
const firstVersion = 3

// publish sends the first config.
func (s *stage) publish() error {
	_, err := s.order(http.MethodPut, s.names["config_path"], s.config(firstVersion, 0), s.of("core")...)
	return err
}

// config returns a config with a number of routes beside those that are used.
func (s *stage) config(version, routes int) []byte {
	return s.render("config.tmpl", map[string]any{"Version": version, "More": make([]struct{}, routes), "Engines": s.withEngines})
}
