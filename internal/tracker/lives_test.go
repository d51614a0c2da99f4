package tracker

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

// heartbeatInterval is the time between two heartbeats in these tests, latest how late a message
// comes at most.
const (
	heartbeatInterval = 1200 * time.Millisecond
	latest            = 10 * time.Second
)

// lives is one server that starts again and again under one id, the registries that it announces
// itself to, and a follower of one of them.
type lives struct {
	now        time.Time
	registries []*Registry
	follower   Registry
	followed   int
	late       []lateMessage
	born       uint64
	sequence   uint64
}

type lateMessage struct {
	at      time.Time
	deliver func()
}

func newLives() *lives {
	l := &lives{now: startTime, born: 1000}
	for range 3 {
		l.registries = append(l.registries, &Registry{SilenceTimeout: 3 * time.Second})
	}
	return l
}

// send delivers a message to a registry after a delay.
func (l *lives) send(delay time.Duration, deliver func()) {
	l.late = append(l.late, lateMessage{at: l.now.Add(delay), deliver: deliver})
}

func (l *lives) heartbeat(to int, delay time.Duration) {
	l.sequence++
	s := Server{ID: "s", Service: "svc", Address: "a:1", Incarnation: l.born, Sequence: l.sequence}
	l.send(delay, func() {
		s.LastHeartbeatAt = l.now
		l.registries[to].Announce(s)
		l.share(to)
	})
}

// leave says that the server leaves, without the time of its start.
func (l *lives) leave(to int, delay time.Duration) {
	l.send(delay, func() {
		l.registries[to].MarkGone(l.now, "s", 0)
		l.share(to)
	})
}

// share passes what a registry knows on to the others and to the follower.
func (l *lives) share(from int) {
	known := l.registries[from].Get("s")
	if known == nil {
		return
	}
	state := *known
	state.Superseded = false
	for i, g := range l.registries {
		if i != from {
			g.Apply(state)
		}
	}
	if followed := l.registries[l.followed].Get("s"); followed != nil {
		l.follower.ReplaceServer(*followed)
	}
}

// advance lets time pass and delivers what is due.
func (l *lives) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(step)
		due := l.late
		l.late = nil
		for _, m := range due {
			if m.at.After(l.now) {
				l.late = append(l.late, m)
			} else {
				m.deliver()
			}
		}
		for i, g := range l.registries {
			g.ExpireServers(l.now)
			l.share(i)
		}
	}
}

func drawDelay(t *rapid.T) time.Duration {
	if rapid.Bool().Draw(t, "in time") {
		return 0
	}
	return time.Duration(rapid.IntRange(0, int(latest/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
}

// TestRunningServerIsUsedAgain guards against a server that runs and sends heartbeats, but gets
// nothing for good because of late messages of its earlier lives.
func TestRunningServerIsUsedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLives()
		l.followed = rapid.IntRange(0, 2).Draw(t, "followed")
		registry := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) { l.heartbeat(registry.Draw(t, "to"), drawDelay(t)) },
			"leave":     func(t *rapid.T) { l.leave(registry.Draw(t, "to"), drawDelay(t)) },
			"start again": func(t *rapid.T) {
				step := rapid.IntRange(-5000, 20000).Draw(t, "step of the clock")
				l.born = uint64(max(int(l.born)+step, 1))
				l.sequence = 0
			},
			"time passes": func(t *rapid.T) {
				l.advance(time.Duration(rapid.IntRange(100, 5000).Draw(t, "time")) * time.Millisecond)
			},
		})
		l.advance(latest)
		l.born++
		l.sequence = 0
		for end := l.now.Add(time.Minute); l.now.Before(end); {
			l.heartbeat(registry.Draw(t, "to"), 0)
			l.advance(heartbeatInterval)
		}
		for i, g := range append(l.registries, &l.follower) {
			if s := g.Get("s"); s == nil || !s.Usable() || s.Silent || s.Incarnation != l.born {
				t.Fatalf("registry %d holds %+v after a minute of heartbeats of %d", i, s, l.born)
			}
		}
	})
}

// TestDepartureInTimeEndsItsLife guards against a server that is used again although it has said
// that it leaves, because its heartbeats come late or go on until it ends.
func TestDepartureInTimeEndsItsLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLives()
		registry := rapid.IntRange(0, 2)
		l.followed = registry.Draw(t, "followed")
		dated := rapid.Bool().Draw(t, "dated")
		for range rapid.IntRange(1, 10).Draw(t, "heartbeats") {
			l.heartbeat(registry.Draw(t, "to"), drawDelay(t))
			l.advance(heartbeatInterval)
		}
		to := registry.Draw(t, "to")
		start := uint64(0)
		if dated || l.registries[to].Get("s") == nil {
			start = l.born
		}
		l.registries[to].MarkGone(l.now, "s", start)
		l.share(to)
		for end := l.now.Add(2 * latest); l.now.Before(end); {
			if l.now.Before(end.Add(-latest)) {
				l.heartbeat(registry.Draw(t, "to"), drawDelay(t))
			}
			l.advance(heartbeatInterval)
			for i, g := range append(l.registries, &l.follower) {
				if s := g.Get("s"); s != nil && s.Usable() {
					t.Fatalf("registry %d uses the server %s after it said that it leaves: %+v", i, fmt.Sprint(l.now.Sub(startTime)), s)
				}
			}
		}
	})
}
