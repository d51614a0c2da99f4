package tracker

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// departures is one server that starts again and again under one id, core processes with a disk that it
// announces itself to, and fronts that follow them. Messages come late, early, twice or never.
type departures struct {
	now    time.Time
	cores  []*core
	fronts []*follower
	late   []lateMessage
	born   uint64
	// sequence is that of the last heartbeat of the present life.
	sequence uint64
	// departed is the latest start for which a departure was acknowledged.
	departed uint64
}

// core is a core process. Its disk holds the departures that it knows.
type core struct {
	registry *Registry
	disk     uint64
	isCut    bool
}

// follower is a front.
type follower struct {
	registry *Registry
	follows  int
	// leaving is the latest start of a life that has said in an answer to this front that it leaves.
	leaving uint64
}

const silenceTimeout = 3 * time.Second

func newDepartures() *departures {
	d := &departures{now: startTime, born: 1000}
	for range 3 {
		d.cores = append(d.cores, &core{registry: &Registry{SilenceTimeout: silenceTimeout}})
		d.fronts = append(d.fronts, &follower{registry: &Registry{}})
	}
	return d
}

func (d *departures) send(delay time.Duration, deliver func()) {
	d.late = append(d.late, lateMessage{at: d.now.Add(delay), deliver: deliver})
}

func (d *departures) heartbeat(to int, delays ...time.Duration) {
	d.sequence++
	s := Server{ID: "s", Service: "svc", Address: "a:1", Incarnation: d.born, Sequence: d.sequence}
	for _, delay := range delays {
		d.send(delay, func() {
			s.LastHeartbeatAt = d.now
			d.cores[to].registry.Announce(s)
			d.report(to)
		})
	}
}

// leave lets a life of the server announce that it leaves. The acknowledgement comes once all core
// processes that can be reached know it and have it on their disks.
func (d *departures) leave(to int, born uint64, delay time.Duration) {
	d.send(delay, func() {
		d.cores[to].registry.MarkGone(d.now, "s", born)
		d.report(to)
		if !d.cores[to].isCut {
			d.departed = max(d.departed, born)
		}
	})
}

// say lets a life of the server say in an answer to a front that it leaves.
func (d *departures) say(front int, born uint64) {
	d.fronts[front].leaving = max(d.fronts[front].leaving, born)
}

// report passes what a core process knows on to those that it reaches, and writes it to the disks.
func (d *departures) report(from int) {
	s := d.cores[from].registry.Get("s")
	if s == nil {
		return
	}
	state := *s
	state.Superseded = false
	for i, c := range d.cores {
		if i != from && !c.isCut && !d.cores[from].isCut {
			c.registry.Apply(state)
		}
		if known := c.registry.Get("s"); known != nil {
			c.disk = max(c.disk, known.GoneUpTo)
		}
	}
}

// exchange lets all that reach each other exchange what they know.
func (d *departures) exchange() {
	for i := range d.cores {
		d.report(i)
	}
	for _, f := range d.fronts {
		for d.cores[f.follows].isCut {
			f.follows = (f.follows + 1) % len(d.cores)
		}
		c := d.cores[f.follows]
		if f.leaving > 0 {
			c.registry.MarkLeaving(d.now, "s", f.leaving)
			d.report(f.follows)
		}
		if s := c.registry.Get("s"); s != nil {
			f.registry.ReplaceServer(*s)
		}
	}
}

// restart starts a core process again with what its disk holds.
func (d *departures) restart(i int, wiped bool) {
	if wiped {
		d.cores[i].disk = 0
	}
	d.start(d.cores[i])
	d.exchange()
}

func (d *departures) start(c *core) {
	c.registry = &Registry{SilenceTimeout: silenceTimeout}
	if c.disk > 0 {
		c.registry.MarkGone(d.now, "s", c.disk)
	}
}

func (d *departures) advance(t *rapid.T, span time.Duration) {
	const step = 100 * time.Millisecond
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(step)
		due := d.late
		d.late = nil
		for _, m := range due {
			if m.at.After(d.now) {
				d.late = append(d.late, m)
			} else {
				m.deliver()
			}
		}
		for _, c := range d.cores {
			c.registry.ExpireServers(d.now)
		}
		d.exchange()
		d.check(t)
	}
}

// check checks that nobody uses a life for which a departure was acknowledged, and no front one that has said
// to it that it leaves.
func (d *departures) check(t *rapid.T) {
	verify := func(name string, g *Registry, upTo uint64) {
		if s := g.Get("s"); s != nil && s.Usable() && s.Incarnation <= upTo {
			t.Fatalf("%s uses %+v after %s; lives up to %d have left", name, s, d.now.Sub(startTime), upTo)
		}
	}
	for i, c := range d.cores {
		if !c.isCut {
			verify(fmt.Sprintf("core process %d", i), c.registry, d.departed)
		}
	}
	for i, f := range d.fronts {
		verify(fmt.Sprintf("front %d", i), f.registry, max(d.departed, f.leaving))
	}
}

// TestAcknowledgedDepartureHolds guards against a life of a server that is used again after its departure was
// acknowledged, and against a later life that is not used: whatever comes late, twice or first, and
// whichever processes start again meanwhile.
func TestAcknowledgedDepartureHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDepartures()
		any3 := rapid.IntRange(0, 2)
		start := func(gap int) { d.born, d.sequence = d.born+uint64(gap), 0 }
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) { d.heartbeat(any3.Draw(t, "to"), drawDelay(t)) },
			"heartbeat twice": func(t *rapid.T) {
				d.heartbeat(any3.Draw(t, "to"), drawDelay(t), drawDelay(t))
			},
			"leave": func(t *rapid.T) { d.leave(any3.Draw(t, "to"), d.born, drawDelay(t)) },
			"leave, never heard": func(t *rapid.T) {
				start(2000)
				d.heartbeat(any3.Draw(t, "to"), time.Duration(rapid.IntRange(500, 8000).Draw(t, "delay"))*time.Millisecond)
				d.leave(any3.Draw(t, "core"), d.born, 0)
			},
			"say that it leaves": func(t *rapid.T) { d.say(any3.Draw(t, "front"), d.born) },
			"start again":        func(t *rapid.T) { start(rapid.IntRange(1, 20000).Draw(t, "gap")) },
			"core restarts":      func(t *rapid.T) { d.restart(any3.Draw(t, "core"), false) },
			"core loses its disk": func(t *rapid.T) {
				i := any3.Draw(t, "core")
				d.cores[i].isCut = false
				d.restart(i, true)
			},
			"all cores restart": func(*rapid.T) {
				for _, c := range d.cores {
					c.isCut = false
					d.start(c)
				}
			},
			"front restarts": func(t *rapid.T) {
				*d.fronts[any3.Draw(t, "front")] = follower{registry: &Registry{}, follows: any3.Draw(t, "follows")}
				d.exchange()
			},
			"cut": func(t *rapid.T) {
				i := any3.Draw(t, "core")
				for j, c := range d.cores {
					c.isCut = j == i && !c.isCut
				}
				d.exchange()
			},
			"time passes": func(t *rapid.T) {
				d.advance(t, time.Duration(rapid.IntRange(100, 4000).Draw(t, "time"))*time.Millisecond)
			},
		})
		for _, c := range d.cores {
			c.isCut = false
		}
		d.advance(t, latest)
		start(1)
		for end := d.now.Add(time.Minute); d.now.Before(end); {
			d.heartbeat(any3.Draw(t, "to"), 0)
			d.advance(t, heartbeatInterval)
		}
		for i, c := range d.cores {
			for name, g := range map[string]*Registry{"core process": c.registry, "front": d.fronts[i].registry} {
				if s := g.Get("s"); s == nil || !s.Usable() || s.Silent || s.Incarnation != d.born {
					t.Fatalf("%s %d holds %+v after a minute of heartbeats of %d", name, i, s, d.born)
				}
			}
		}
	})
}
