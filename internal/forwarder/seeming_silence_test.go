package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// The tests of this file let the server first seem silent while it is at work.

// commentText is a comment in a stream. Callers do not need it.
const commentText = ": at work\n\n"

// steady writes the parts of an answer of the kind with a pause after each.
func (k runningKind) steady(pause time.Duration, parts []string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		for _, part := range parts {
			if _, err := c.Write([]byte(part)); err != nil {
				return false
			}
			time.Sleep(pause)
		}
		return true
	}
}

// slowness is how long a caller stops to read, or the process is suspended. It is longer than all silences after which
// requests are moved.
const slowness = 1500 * time.Millisecond

// noOtherServer names the case without a second server.
const noOtherServer = "there is no other server"

// otherServers are the ways in which the second server treats a running request that is moved to it.
func otherServers(k runningKind) map[string]func(net.Conn, *http.Request) bool {
	return map[string]func(net.Conn, *http.Request) bool{
		"the other server takes it":   k.steady(0, k.parts),
		"the other server rejects it": rawResponse(notRunResponse),
		"the other server is silent":  neverRespond,
		"the other server breaks off": rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\n"),
		"the other server fails":      rawResponse("HTTP/1.1 500 Failed\r\nId: ID\r\nSigned: s\r\nContent-Length: 0\r\n\r\n"),
		noOtherServer:                 neverRespond,
	}
}

// retryBudgets are the numbers of retries that the budget allows, at first.
var retryBudgets = map[string]float64{"many retries": 100, "one retry": 1}

// expectWholeFrom runs a request of the kind at the server first and expects its whole answer, however the other server
// treats a request that is moved to it and however many retries are left.
func expectWholeFrom(t *testing.T, k runningKind, first func(net.Conn, *http.Request) bool, prepare func(tb *runningTestbed)) {
	t.Helper()
	for name, second := range otherServers(k) {
		for left, retries := range retryBudgets {
			t.Run(name+"/"+left, func(t *testing.T) {
				withRunning(t, k, first, second, func(tb *runningTestbed) {
					tb.RetryRatio, tb.RetrySlack = 0, retries/retryBudgetShare+0.01
					if name == noOtherServer {
						tb.SetServers(tb.servers(nil)[:1], nil)
					}
					if prepare != nil {
						prepare(tb)
					}
					res := tb.request("running")
					if got := strings.ReplaceAll(res.body, commentText, ""); res.cut || res.status != http.StatusOK || got != tb.want {
						t.Errorf("cut %v, status %d, %d of %d bytes after %s; the servers got %q and %q", res.cut, res.status, len(got), len(tb.want),
							time.Since(tb.startedAt), tb.backends["first"].receivedIDs(), tb.backends["second"].receivedIDs())
					}
				})
			})
		}
	}
}

// TestSteadyBodyIsNotTakenAway guards against plain answers that are taken from a server that sends them steadily, and
// against ones that break off although their caller has a part of them.
func TestSteadyBodyIsNotTakenAway(t *testing.T) {
	for kind, k := range runningKinds() {
		if strings.HasPrefix(kind, "stream") {
			continue
		}
		t.Run(kind, func(t *testing.T) {
			expectWholeFrom(t, k, k.steady(200*time.Millisecond, k.parts), nil)
		})
		t.Run(kind+"/most of it comes first", func(t *testing.T) {
			last := len(k.parts) - 1
			parts := []string{strings.Join(k.parts[:last], "")}
			for piece := range slices.Chunk([]byte(k.parts[last]), len(k.parts[last])/4) {
				parts = append(parts, string(piece))
			}
			expectWholeFrom(t, k, k.steady(300*time.Millisecond, parts), nil)
		})
	}
}

// TestEventThatComesInPiecesIsNotLost guards against streams that are given up while a long event arrives.
func TestEventThatComesInPiecesIsNotLost(t *testing.T) {
	const pieces = 15
	for kind, k := range runningKinds() {
		if !strings.HasPrefix(kind, "stream") {
			continue
		}
		for _, before := range []int{0, 2, 7} {
			t.Run(fmt.Sprintf("%s/after %d events", kind, before), func(t *testing.T) {
				long, parts, want := fmt.Sprintf("id: %d\ndata: ", before+1), []string{streamHead}, ""
				for i := 1; i <= before; i++ {
					text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
					parts, want = append(parts, chunk(text)), want+text
				}
				want += long
				parts = append(parts, chunk(long))
				for range pieces {
					piece := strings.Repeat("x", 1000)
					parts, want = append(parts, chunk(piece)), want+piece
				}
				parts = append(parts, chunk("\n\n")+"0\r\n\r\n")
				k.parts, k.want = parts, want+"\n\n"
				expectWholeFrom(t, k, k.steady(100*time.Millisecond, k.parts), nil)
			})
		}
	}
}

// TestStreamOutlastsComments guards against streams that are given up while their server sends only comments.
func TestStreamOutlastsComments(t *testing.T) {
	for kind, k := range runningKinds() {
		if !strings.HasPrefix(kind, "stream") {
			continue
		}
		for _, before := range []int{0, 2, 7} {
			t.Run(fmt.Sprintf("%s/after %d events", kind, before), func(t *testing.T) {
				comments := slices.Repeat([]string{chunk(commentText)}, 15)
				expectWholeFrom(t, k, k.steady(100*time.Millisecond, slices.Concat(k.parts[:1+before], comments, k.parts[1+before:])), nil)
			})
		}
	}
}

// TestAnswerOutlastsInformationalResponses guards against requests that are taken from a server that says again and again
// that it is at work.
func TestAnswerOutlastsInformationalResponses(t *testing.T) {
	for kind, k := range runningKinds() {
		t.Run(kind, func(t *testing.T) {
			parts := slices.Concat(slices.Repeat([]string{"HTTP/1.1 102 Processing\r\n\r\n"}, 30), []string{strings.Join(k.parts, "")})
			expectWholeFrom(t, k, k.steady(50*time.Millisecond, parts), nil)
		})
	}
}

// slowCaller is a caller that stops to read for a while after it has received a number of bytes.
type slowCaller struct {
	*httptest.ResponseRecorder
	after int
	pause time.Duration
}

func (c *slowCaller) Write(p []byte) (int, error) {
	n, err := c.ResponseRecorder.Write(p)
	if c.pause > 0 && c.Body.Len() >= c.after {
		pause := c.pause
		c.pause = 0
		time.Sleep(pause)
	}
	return n, err
}

// readSlowly makes the caller stop to read for a while after the first byte.
func (tb *runningTestbed) readSlowly() {
	tb.recorder = httptest.NewRecorder()
	tb.caller = &slowCaller{tb.recorder, 1, slowness}
}

// TestSlowCallerKeepsItsAnswer guards against answers that are taken from servers at work because their callers read
// slowly.
func TestSlowCallerKeepsItsAnswer(t *testing.T) {
	for kind, k := range runningKinds() {
		for when, after := range map[string]int{"at the first byte": 1, "in the body": len(k.want) / 3, "at the end": len(k.want)} {
			t.Run(kind+"/"+when, func(t *testing.T) {
				expectWholeFrom(t, k, k.steady(runningPause, k.parts), func(tb *runningTestbed) {
					tb.recorder = httptest.NewRecorder()
					tb.caller = &slowCaller{tb.recorder, after, slowness}
				})
			})
		}
	}
}

// suspend suspends the process for a while.
func (tb *runningTestbed) suspend() {
	tb.loopPaused.Store(true)
	c := make(chan struct{})
	tb.resumed.Store(&c)
	time.Sleep(slowness)
	// The front looks for silent servers before it reads.
	tb.MoveStalledRequests(time.Now())
	if tb.onResume != nil {
		tb.onResume()
	}
	tb.loopPaused.Store(false)
	tb.resumed.Store(nil)
	close(c)
}

// suspendOnce suspends the process in the middle of an answer.
func (tb *runningTestbed) suspendOnce() { time.AfterFunc(5*runningPause, tb.suspend) }

// TestAnswersOutlastSuspensionOfFront guards against answers that are taken from servers at work because the front was
// suspended and has not read yet what they sent meanwhile.
func TestAnswersOutlastSuspensionOfFront(t *testing.T) {
	for kind, k := range runningKinds() {
		for when, at := range map[string]time.Duration{"before the header": runningPause / 2, "in the body": 5*runningPause + runningPause/2} {
			t.Run(kind+"/"+when, func(t *testing.T) {
				first := func(c net.Conn, r *http.Request) bool {
					time.Sleep(runningPause)
					return k.steady(runningPause, k.parts)(c, r)
				}
				expectWholeFrom(t, k, first, func(tb *runningTestbed) {
					time.AfterFunc(at, tb.suspend)
				})
			})
		}
	}
}

// TestStreamOutlastsFasterEngine guards against streams that are taken from a server at work because a new catalog or another
// group says that it should be faster.
func TestStreamOutlastsFasterEngine(t *testing.T) {
	for name, act := range map[string]func(tb *runningTestbed){
		"nothing changes": func(*runningTestbed) {},
		"a new catalog": func(tb *runningTestbed) {
			tb.changeCatalog(func(c *cataloger.Catalog) { c.Services[1].Engine.StepTime = time.Millisecond })
		},
		"another group": func(tb *runningTestbed) { tb.changeFirst(func(s *tracker.Server) { s.Membership.Epoch++ }) },
		"another model": func(tb *runningTestbed) {
			tb.changeCatalog(func(c *cataloger.Catalog) {
				m := c.Services[1].Engine.Models[0]
				m.Name, m.TimeFactor = "n", 0.1
				c.Services[1].Engine.Models = append(c.Services[1].Engine.Models, m)
			})
			tb.changeFirst(func(s *tracker.Server) { s.LoadedModels = []string{"n"} })
		},
	} {
		t.Run(name, func(t *testing.T) {
			k := runningKinds()["stream of a group"]
			expectWholeFrom(t, k, k.steady(110*time.Millisecond, k.parts), func(tb *runningTestbed) {
				time.AfterFunc(500*time.Millisecond, func() { act(tb) })
			})
		})
	}
}

// expectNoStalls checks that the front reports no stalled requests. It fails once a test.
func (tb *runningTestbed) expectNoStalls() {
	tb.t.Helper()
	for _, s := range tb.Suspicions(time.Now()) {
		if s.StalledRequests > 0 && !tb.t.Failed() {
			tb.t.Errorf("after %s: %+v", time.Since(tb.startedAt), s)
		}
	}
}

// TestServerAtWorkIsNotReportedAsStalled guards against groups that the core processes end while their heads are at work,
// because a front has not read what they sent, or has read plain answers, which have no events.
func TestServerAtWorkIsNotReportedAsStalled(t *testing.T) {
	stream, plain, long := runningKinds()["stream of a group"], runningKinds()["once"], runningKinds()["long, once"]
	plain.path, plain.service = "/plain/x", "llm"
	long.path, long.service = "/plain/x", "llm"
	last := len(long.parts) - 1
	manyParts := long
	manyParts.parts = []string{strings.Join(long.parts[:last], "")}
	for piece := range slices.Chunk([]byte(long.parts[last]), len(long.parts[last])/8) {
		manyParts.parts = append(manyParts.parts, string(piece))
	}
	for name, test := range map[string]struct {
		kind    runningKind
		pause   time.Duration
		prepare func(tb *runningTestbed)
	}{
		"even stream":       {stream, runningPause, func(*runningTestbed) {}},
		"steady plain body": {plain, 200 * time.Millisecond, func(*runningTestbed) {}},
		// The caller has a part of the answer while the rest comes.
		"steady end of a long plain body": {manyParts, 200 * time.Millisecond, func(*runningTestbed) {}},
		"slow caller, plain":              {plain, runningPause, (*runningTestbed).readSlowly},
		"slow caller, long plain":         {long, runningPause, (*runningTestbed).readSlowly},
		"suspended front":                 {stream, runningPause, (*runningTestbed).suspendOnce},
		"slow caller":                     {stream, runningPause, (*runningTestbed).readSlowly},
		"slow caller of all":              {stream, 0, (*runningTestbed).readSlowly},
	} {
		t.Run(name, func(t *testing.T) {
			k := test.kind
			withRunning(t, k, k.steady(test.pause, k.parts), neverRespond, func(tb *runningTestbed) {
				tb.RetryRatio, tb.RetrySlack = 0, 0
				test.prepare(tb)
				tb.onResume = tb.expectNoStalls
				done := make(chan bool)
				go func() {
					tb.request("running")
					close(done)
				}()
				for {
					select {
					case <-done:
						return
					case <-time.After(runningPause):
					}
					if !tb.loopPaused.Load() {
						tb.expectNoStalls()
					}
				}
			})
		})
	}
}
