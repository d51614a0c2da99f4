package tracker

import (
	"testing"
	"time"
)

// TestServerThatIsHeardHasNoSuccessor guards against a server that gets nothing any more, because one announcement
// names its address. Once it is silent, its address may have been given to another one.
func TestServerThatIsHeardHasNoSuccessor(t *testing.T) {
	const reuse = 2 * time.Second
	for name, test := range map[string]struct {
		// ends is when the server is heard for the last time; the other one announces itself from 10 s on.
		ends time.Duration
		// goesOn is set if the other one sends heartbeats.
		goesOn bool
		// endedBy is when the server must count as ended, 0 if it must not within 20 s.
		endedBy time.Duration
	}{
		"it runs, and a liar speaks once":          {ends: 20 * time.Second},
		"it runs, and a liar goes on":              {ends: 20 * time.Second, goesOn: true},
		"it has ended":                             {ends: 7 * time.Second, goesOn: true, endedBy: 10 * time.Second},
		"its last heartbeat came late":             {ends: 9 * time.Second, goesOn: true, endedBy: 12 * time.Second},
		"it ends soon after the liar has spoken":   {ends: 11 * time.Second, goesOn: true, endedBy: 14 * time.Second},
		"it ends long after a liar has spoken":     {ends: 16 * time.Second},
		"it has ended, and its successor is brief": {ends: 7 * time.Second, endedBy: 10 * time.Second},
	} {
		g := Registry{SilenceTimeout: 3 * time.Second, ReuseTime: reuse}
		start := time.Unix(1000, 0)
		sequence := uint64(0)
		for at := time.Duration(0); at <= 20*time.Second; at += 100 * time.Millisecond {
			now := start.Add(at)
			sequence++
			heartbeat := at%time.Second == 0
			if heartbeat && at <= test.ends {
				g.Announce(Server{ID: "s", Service: "svc", Address: "a:1", Incarnation: 1, Sequence: sequence, LastHeartbeatAt: now})
			}
			if at == 10*time.Second || heartbeat && test.goesOn && at > 10*time.Second {
				g.Announce(Server{ID: "x", Service: "svc", Address: "a:1", Incarnation: 2, Sequence: sequence, LastHeartbeatAt: now})
			}
			g.ExpireServers(now)
			s := g.Get("s")
			if s.Superseded && (test.endedBy == 0 || at < test.ends+reuse) {
				t.Fatalf("%s: it counts as ended after %s", name, at)
			}
			if test.endedBy > 0 && at > test.endedBy && !s.Superseded {
				t.Fatalf("%s: it does not count as ended after %s", name, at)
			}
		}
	}
}
