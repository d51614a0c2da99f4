//go:build review

package main

import (
	"syscall"
	"time"
)

// catchUpOfSix is catchUp in the deployments with six core VMs, which have to bear the loss of two.
const catchUpOfSix = 6 * time.Second

// runPair lets two of six core VMs be lost for good and be replaced, and two others lose their disks once the
// successors have caught up.
func runPair(r *rig) int {
	for n := 1; n <= 6; n++ {
		r.controls = append(r.controls, r.address(r.ip(n), r.ports.control))
	}
	var cores []*node
	for n := 1; n <= 6; n++ {
		v, err := r.startNode("core", n, (n+1)/2, true)
		if err != nil {
			return statusNotRun
		}
		cores = append(cores, v)
	}
	front, err := r.startNode("front", 11, 1, true)
	if err != nil || !r.publish(1, 10*time.Second) {
		r.log("cannot run: %v", err)
		return statusNotRun
	}
	for n := 21; n <= 22; n++ {
		if _, err := r.startServer(n, n-20); err != nil {
			return statusNotRun
		}
	}
	// Each process joins the log in turn.
	time.Sleep(2 * catchUpOfSix)
	stop := make(chan struct{})
	c := r.startCallers([]*node{front}, 50*time.Millisecond, stop)
	if !r.publish(2, 4*time.Second) {
		return statusNotRun
	}
	if r.trouble {
		r.log("zone-3 loses its two core VMs for good")
		began := time.Now()
		cores[4].signal(syscall.SIGKILL)
		cores[5].signal(syscall.SIGKILL)
		time.Sleep(time.Until(began.Add(time.Second)))
		for n := 7; n <= 8; n++ {
			v, err := r.startNode("core", n, 3, false)
			if err != nil {
				return statusNotRun
			}
			cores[n-3] = v
		}
		r.setControls(cores...)
		time.Sleep(catchUpOfSix + 500*time.Millisecond)
		if !r.publish(3, 4*time.Second) {
			r.log("config 3 isn't acknowledged before the second loss")
			return statusNotRun
		}
		r.log("zone-1 loses the disks of its two core VMs")
		cores[0].signal(syscall.SIGKILL)
		cores[1].signal(syscall.SIGKILL)
		cores[0].wipe()
		cores[1].wipe()
		time.Sleep(downTime)
		for _, v := range cores[:2] {
			if err := v.start(); err != nil {
				return statusNotRun
			}
		}
	} else {
		time.Sleep(catchUpOfSix + 1500*time.Millisecond + downTime)
		if !r.publish(3, 4*time.Second) {
			return statusNotRun
		}
	}
	time.Sleep(catchUpOfSix + 16*time.Second)
	from := time.Since(r.started)
	acknowledged := r.publish(4, 20*time.Second)
	version := r.readBack(10 * time.Second)
	time.Sleep(time.Second)
	close(stop)
	r.log("requests sent since %.1f s, by status: %v", from.Seconds(), c.count(from))
	r.log("config 4 acknowledged: %v; version read back: %d, newest acknowledged: at least 3", acknowledged, version)
	if version < 3 || acknowledged && version < 4 {
		r.log("CONFIG is broken: the config that was acknowledged cannot be read back")
		return statusBroken
	}
	return statusHeld
}
