//go:build review

package main

import (
	"syscall"
	"time"
)

// deployment is three core processes, two fronts and two servers of a plain service.
type deployment struct {
	cores, fronts []*node
	servers       []*server
	callers       *callers
	stop          chan struct{}
}

func (r *rig) deploy() (*deployment, error) {
	d := &deployment{stop: make(chan struct{})}
	for n := 1; n <= 3; n++ {
		r.controls = append(r.controls, r.address(r.ip(n), r.ports.control))
	}
	for n := 1; n <= 3; n++ {
		v, err := r.startNode("core", n, n, true)
		if err != nil {
			return nil, err
		}
		d.cores = append(d.cores, v)
	}
	for n := 11; n <= 12; n++ {
		v, err := r.startNode("front", n, n-10, true)
		if err != nil {
			return nil, err
		}
		d.fronts = append(d.fronts, v)
	}
	for n := 21; n <= 22; n++ {
		s, err := r.startServer(n, n-20)
		if err != nil {
			return nil, err
		}
		d.servers = append(d.servers, s)
	}
	return d, nil
}

// downTime is how long a VM is down that loses its disk.
const downTime = 3 * time.Second

// runReplaced lets a core VM be replaced as planned and, once it is gone, another one lose its disk.
func runReplaced(r *rig) int {
	d, err := r.deploy()
	if err != nil || !r.publish(1, 10*time.Second) {
		r.log("cannot run: %v", err)
		return statusNotRun
	}
	time.Sleep(3 * time.Second)
	d.callers = r.startCallers(d.fronts, 50*time.Millisecond, d.stop)
	time.Sleep(3 * time.Second)
	if !r.publish(2, 4*time.Second) {
		return statusNotRun
	}
	a, b, c := d.cores[0], d.cores[1], d.cores[2]
	if r.trouble {
		// The successor first, then SIGTERM.
		s, err := r.startNode("core", 4, 3, false)
		if err != nil {
			return statusNotRun
		}
		time.Sleep(2 * catchUp)
		c.signal(syscall.SIGTERM)
		r.setControls(a, b, s)
		time.Sleep(time.Second)
		a.signal(syscall.SIGKILL)
		a.wipe()
		time.Sleep(downTime)
		if err := a.start(); err != nil {
			return statusNotRun
		}
	} else {
		time.Sleep(2*catchUp + time.Second + downTime)
	}
	// The last loss is over when the VM has been back for the time that it needs to catch up.
	time.Sleep(catchUp + 16*time.Second)
	from := time.Since(r.started)
	acknowledged := r.publish(3, 20*time.Second)
	version := r.readBack(10 * time.Second)
	time.Sleep(time.Second)
	close(d.stop)
	r.log("requests sent since %.1f s, by status: %v", from.Seconds(), d.callers.count(from))
	r.log("requests of the whole run, by status: %v", d.callers.count(0))
	r.log("config 3 acknowledged: %v; version read back: %d, newest acknowledged: at least 2", acknowledged, version)
	if version < 2 || acknowledged && version < 3 {
		r.log("CONFIG is broken: the config that was acknowledged cannot be read back")
		return statusBroken
	}
	return statusHeld
}
