//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxBody is the largest body that the config allows.
	maxBody = 4 << 20
	// uploadTime is how long a caller takes to send it: 11 Mbit/s.
	uploadTime = 3 * time.Second
	// A burst is 48 callers at one front, 16 for each second of the upload: fewer than come to a front of the site
	// on a quiet day. It comes every 10 s.
	burstCallers  = 48
	burstInterval = 10 * time.Second
	bursts        = 5
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// endsAllowed is the number of ends of one process below which the rule holds.
	endsAllowed = 3
)

// residentBytes returns the resident memory of the process, or 0 if it has ended.
func (v *node) residentBytes() int64 {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(data))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// watchMemory kills the process when it uses more memory than its settings allow, as the platform does,
// and starts it again. It returns the number of ends.
func (v *node) watchMemory(stop chan struct{}) (ends int, most int64) {
	for {
		select {
		case <-stop:
			return ends, most
		case <-time.After(5 * time.Millisecond):
		}
		n := v.residentBytes()
		most = max(most, n)
		if n <= memoryMB<<20 {
			continue
		}
		v.rig.log("%s uses %d MiB, its limit is %d", v.name, n>>20, memoryMB)
		v.signal(syscall.SIGKILL)
		ends++
		time.Sleep(restartDelay)
		if err := v.start(); err != nil {
			v.rig.log("%s doesn't start: %v", v.name, err)
			return ends, most
		}
	}
}

// upload sends one request with a body of a size, in the given time, and returns the status of its answer,
// or 0 if there was none.
func (r *rig) upload(front *node, size int, within time.Duration) (status int) {
	const parts = 60
	id, at := fmt.Sprintf("%016x", rand.Uint64()), time.Since(r.started)
	defer func() {
		r.log("request %s of %d bytes sent to %s at %.3f: %d", id, size, front.name, at.Seconds(), status)
	}()
	limit := 8 * time.Second
	c, err := net.DialTimeout("tcp", r.address(front.ip, r.ports.callers), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c, "POST /read/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n",
		host, names["request_id"], id, names["time_limit"], limit.Milliseconds(), names["key"], callerKey, size); err != nil {
		return 0
	}
	part := make([]byte, size/parts+1)
	for sent := 0; sent < size; {
		n, err := c.Write(part[:min(len(part), size-sent)])
		if err != nil {
			return 0
		}
		sent += n
		time.Sleep(within / parts)
	}
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, head); err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, c)
	status, _ = strconv.Atoi(string(head[len(head)-3:]))
	return status
}

// runBodies lets many callers send the largest bodies that the config allows.
func runBodies(r *rig) int {
	d, err := r.deploy()
	if err != nil || !r.publish(1, 10*time.Second) {
		r.log("cannot run: %v", err)
		return statusNotRun
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	ends, most := make([]int, len(d.fronts)), make([]int64, len(d.fronts))
	var watchers, requests sync.WaitGroup
	var statuses sync.Map
	for i, f := range d.fronts {
		watchers.Go(func() { ends[i], most[i] = f.watchMemory(stop) })
		requests.Go(func() {
			var uploads sync.WaitGroup
			send := func(within time.Duration) {
				n, _ := statuses.LoadOrStore(r.upload(f, maxBody, within), new(atomic.Int64))
				n.(*atomic.Int64).Add(1)
			}
			for range bursts {
				next := time.After(burstInterval)
				for range burstCallers {
					if r.trouble {
						uploads.Go(func() { send(uploadTime) })
					} else {
						// The same bodies, one after the other.
						send(0)
					}
				}
				<-next
			}
			uploads.Wait()
		})
	}
	requests.Wait()
	close(stop)
	watchers.Wait()
	statuses.Range(func(status, n any) bool {
		r.log("requests answered with status %v (0: none): %d", status, n.(*atomic.Int64).Load())
		return true
	})
	broken := 0
	for i, f := range d.fronts {
		r.log("%s used %d MiB at most and has ended %d times over its limit of %d MiB", f.name, most[i]>>20, ends[i], memoryMB)
		if ends[i] >= endsAllowed {
			broken++
		}
	}
	if broken >= 2 {
		r.log("Fault: two processes ended three times and more over their memory limit")
		return statusBroken
	}
	return statusHeld
}
