//go:build review

package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func runRolling(*rig) int { return statusNotRun }

func between(r *rand.Rand, a, b float64) time.Duration {
	return time.Duration((a + r.Float64()*(b-a)) * float64(time.Second))
}

// runRandom loses core VMs one at a time, in random ways, and checks after each that configs are acknowledged and
// read back.
func runRandom(r *rig) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS_LONG"))
	gap, _ := strconv.ParseFloat(os.Getenv("GAP"), 64)
	rnd := rand.New(rand.NewPCG(seed, 1))
	for n := 1; n <= 3; n++ {
		r.controls = append(r.controls, r.address(r.ip(n), r.ports.control))
	}
	var cores []*node
	for n := 1; n <= 3; n++ {
		v, err := r.startNode("core", n, n, true)
		if err != nil {
			return statusNotRun
		}
		cores = append(cores, v)
	}
	version, next := 1, 4
	if !r.publish(version, 10*time.Second) {
		return statusNotRun
	}
	time.Sleep(4 * time.Second)
	ops := strings.Split(os.Getenv("OPS"), ",")
	for time.Since(r.started) < time.Duration(seconds)*time.Second {
		i, op := rnd.IntN(3), ops[rnd.IntN(len(ops))]
		v := cores[i]
		r.log("op %s on %s", op, v.name)
		done := make(chan bool, 1)
		version += 1 + rnd.IntN(3)
		ver := version
		delay := between(rnd, 0, 4)
		go func() {
			time.Sleep(delay)
			done <- r.publish(ver, 15*time.Second)
		}()
		switch op {
		case "planned":
			s, _ := r.startNode("core", next, i+1, false)
			next++
			time.Sleep(catchUp)
			v.signal(syscall.SIGTERM)
			cores[i] = s
			r.setControls(cores...)
			time.Sleep(time.Duration(gap * float64(time.Second)))
		case "gone":
			v.signal(syscall.SIGKILL)
			time.Sleep(between(rnd, 0.2, 2.5))
			s, _ := r.startNode("core", next, i+1, false)
			next++
			cores[i] = s
			r.setControls(cores...)
			time.Sleep(catchUp)
		case "wipe", "kill":
			v.signal(syscall.SIGKILL)
			if op == "wipe" {
				v.wipe()
			}
			time.Sleep(between(rnd, 0.2, 3))
			_ = v.start()
			time.Sleep(catchUp)
		case "freeze":
			v.signal(syscall.SIGSTOP)
			time.Sleep(between(rnd, 1, 7))
			v.signal(syscall.SIGCONT)
			time.Sleep(catchUp)
		case "killall":
			for _, c := range cores {
				c.signal(syscall.SIGKILL)
			}
			time.Sleep(between(rnd, 0.1, 1))
			for _, c := range cores {
				_ = c.start()
			}
			time.Sleep(catchUp)
		}
		for _, c := range cores {
			c.seeds = r.knownControls()
		}
		if rnd.IntN(2) == 0 {
			// The next loss may come before the config is acknowledged.
			go func() {
				if !<-done {
					r.log("SLOW ack of %d", ver)
				}
			}()
			continue
		}
		if !<-done {
			r.log("BROKEN: config %d isn't acknowledged", ver)
			return statusBroken
		}
		if got := r.readBack(5 * time.Second); got < ver {
			r.log("BROKEN: config %d is read back as %d", ver, got)
			return statusBroken
		}
	}
	return statusHeld
}
