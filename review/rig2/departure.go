//go:build review

package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// path is a path to one address. While it is cut, connections open and bytes are held up; they come once it has
// healed, as the kernel of their sender repeats them, also if the sender has closed the connection.
type path struct {
	address, to string
	mu          sync.Mutex
	healed      chan struct{}
}

func newPath(address, to string) (*path, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &path{address: l.Addr().String(), to: to, healed: make(chan struct{})}
	close(p.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

// cut holds up all bytes until heal is called.
func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *path) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

func (p *path) wait() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

func (p *path) serve(in *net.TCPConn) {
	defer func() { _ = in.Close() }()
	p.wait()
	c, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	defer func() { _ = out.Close() }()
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.CloseWrite()
	}()
	b := make([]byte, 4096)
	for {
		n, err := out.Read(b)
		p.wait()
		if n > 0 {
			if _, err := in.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// runDeparture restarts the servers of a service one after the other, each under the id that it had, while
// their path to one core process is cut.
func runDeparture(r *rig) int {
	d, err := r.deploy()
	if err != nil || !r.publish(1, 10*time.Second) {
		r.log("cannot run: %v", err)
		return statusNotRun
	}
	first, err := newPath(r.ip(31)+":0", r.address(d.cores[0].ip, r.ports.control))
	if err != nil {
		return statusNotRun
	}
	for _, s := range d.servers {
		s.controls = func() []string {
			list := r.knownControls()
			list[0] = first.address
			return list
		}
	}
	time.Sleep(3 * time.Second)
	d.callers = r.startCallers(d.fronts, 50*time.Millisecond, d.stop)
	time.Sleep(4 * time.Second)
	if r.trouble {
		r.log("the servers' path to core-1 is cut")
		first.cut()
	}
	began := time.Now()
	var restarts sync.WaitGroup
	for i, s := range d.servers {
		restarts.Go(func() {
			time.Sleep(time.Duration(i) * time.Second)
			s.leave()
			time.Sleep(500 * time.Millisecond)
			if err := s.start(); err != nil {
				r.log("server %s: %v", s.id, err)
			}
		})
	}
	time.Sleep(time.Until(began.Add(cutTime)))
	if r.trouble {
		first.heal()
		r.log("the path is whole again")
	}
	restarts.Wait()
	time.Sleep(4 * time.Second)
	from := time.Since(r.started)
	time.Sleep(60 * time.Second)
	close(d.stop)
	time.Sleep(time.Second)
	for _, s := range d.servers {
		s.mu.Lock()
		r.log("server %s: %d heartbeats of this life acknowledged, %d not", s.id, s.acknowledged, s.unacknowledged)
		s.mu.Unlock()
	}
	after, all := d.callers.count(from), d.callers.count(0)
	r.log("requests sent since %.1f s, by status: %v", from.Seconds(), after)
	r.log("requests of the whole run, by status: %v", all)
	total, served := 0, all[http.StatusOK]
	for _, n := range all {
		total += n
	}
	r.log("refused and failed: %d of %d", total-served, total)
	if 10*(total-served) > 6*total {
		r.log("Gate: more than 60%% of the requests are refused or fail")
		return statusBroken
	}
	return statusHeld
}

// cutTime is how long the path is cut.
const cutTime = 7 * time.Second
