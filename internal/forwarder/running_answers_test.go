package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/limiter"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// The tests of this file have a request "running" at the server first, which is at work on it all the time, while
// the server second turns every request away. The answer has to arrive whole.

// runningKind is a kind of request.
type runningKind struct {
	path    string
	service identifier.Service
	// parts are the parts of the answer. The first one is its header.
	parts []string
	// want is the body that the caller gets.
	want string
}

const (
	// runningPause is the time between two parts of an answer. It is shorter than any silence that counts.
	runningPause = 45 * time.Millisecond
	streamHead   = "HTTP/1.1 200 OK\r\nId: running\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// runningKinds returns the kinds of requests, by name. The answers take as long as eight pauses, which is shorter than the
// silence after which an answer without events is moved.
func runningKinds() map[string]runningKind {
	events, body := []string{streamHead}, ""
	for i := 1; i <= 8; i++ {
		text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		events, body = append(events, chunk(text)), body+text
	}
	events[len(events)-1] += "0\r\n\r\n"
	plain := func(size int) runningKind {
		whole := strings.Repeat("x", size)
		parts := []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nId: running\r\nSigned: s\r\nContent-Length: %d\r\n\r\n", size)}
		for i := range 8 {
			parts = append(parts, whole[i*size/8:(i+1)*size/8])
		}
		return runningKind{parts: parts, want: whole}
	}
	of := func(path string, service identifier.Service, k runningKind) runningKind {
		return runningKind{path, service, k.parts, k.want}
	}
	stream := runningKind{parts: events, want: body}
	return map[string]runningKind{
		"stream":                         of("/stream/x", "svc", stream),
		"stream of a group":              of("/chat/x", "llm", stream),
		"stream that may not be resumed": of("/single/x", "svc", stream),
		"idempotent":                     of("/any/x", "svc", plain(800)),
		"long, idempotent":               of("/any/x", "svc", plain(maxBufferedResponse*5/4)),
		"once":                           of("/once/x", "svc", plain(800)),
		"long, once":                     of("/once/x", "svc", plain(maxBufferedResponse*5/4)),
	}
}

// serve is the server first. Requests other than the running one get the answer that their ID names.
func (k runningKind) serve(beforeHead time.Duration) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		answer := map[string]string{
			"wait":      waitResponse,
			"refuse":    notRunResponse,
			"limit":     "HTTP/1.1 200 OK\r\nId: limit\r\nSigned: s\r\nLimit: 0.1\r\nContent-Length: 0\r\n\r\n",
			"leave":     "HTTP/1.1 200 OK\r\nId: leave\r\nSigned: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
			"fail":      "HTTP/1.1 500 Failed\r\nId: fail\r\nSigned: s\r\nContent-Length: 0\r\n\r\n",
			"forge":     "HTTP/1.1 200 OK\r\nId: forge\r\nContent-Length: 0\r\n\r\n",
			"misdirect": "HTTP/1.1 421 Wrong\r\nId: misdirect\r\nContent-Length: 0\r\n\r\n",
		}
		if id := r.Header.Get("Id"); id != "running" {
			_, err := c.Write([]byte(answer[id]))
			return err == nil && answer[id] != ""
		}
		time.Sleep(beforeHead)
		for _, part := range k.parts {
			if _, err := c.Write([]byte(part)); err != nil {
				return false
			}
			time.Sleep(runningPause)
		}
		return true
	}
}

// runningTestbed is a testbed with a running request of one kind.
type runningTestbed struct {
	*testbed
	runningKind
	// shift is added to Elapsed.
	shift atomic.Int64
	// caller gets the running answer and records it in recorder, if it is set.
	caller   http.ResponseWriter
	recorder *httptest.ResponseRecorder
	// resumed is set while the process is suspended, and then closed.
	resumed atomic.Pointer[chan struct{}]
	// onResume is called, if it is set, when the process runs again and has not read anything yet.
	onResume func()
}

// catalog returns a new catalog, after a change. Routes need a key.
func (tb *runningTestbed) catalog(version cataloger.Version, change func(c *cataloger.Catalog)) *cataloger.Catalog {
	c := testCatalog(tb.t)
	single := c.Routes[2]
	single.Name, single.PathPrefix, single.Resumable = "single", "/single/", false
	plain := c.Routes[4]
	plain.Name, plain.PathPrefix, plain.Kind, plain.Resumable = "plain", "/plain/", cataloger.NonIdempotent, false
	c.Routes = append(c.Routes, single, plain)
	for i := range c.Routes {
		c.Routes[i].Public, c.Routes[i].MaxAttempts = false, 3
	}
	for i := range c.Services {
		c.Services[i].ColdRequestsPerSecond = 1
	}
	c.Version = version
	if change != nil {
		change(c)
	}
	if err := c.Index(); err != nil {
		tb.t.Fatal(err)
	}
	return c
}

// servers returns both servers, after a change of the first one.
func (tb *runningTestbed) servers(change func(s *tracker.Server)) []*tracker.Server {
	var out []*tracker.Server
	for _, name := range []string{"first", "second"} {
		s := &tracker.Server{
			ID: identifier.Server(name), Service: tb.service, Address: name + ":1", Domain: "other", Slots: 4, Incarnation: 1, LastHeartbeatAt: time.Now(),
		}
		if tb.service == "llm" {
			s.LoadedModels, s.Membership = []string{"m"}, tracker.Membership{Group: identifier.Group(name), Epoch: 1, State: tracker.StateOpen}
		}
		if name == "first" {
			s.Domain = "z"
			if change != nil {
				change(s)
			}
		}
		out = append(out, s)
	}
	return out
}

func (tb *runningTestbed) changeFirst(change func(s *tracker.Server)) {
	tb.SetServers(tb.servers(change), nil)
}

func (tb *runningTestbed) changeCatalog(change func(c *cataloger.Catalog)) {
	tb.SetCatalog(tb.catalog(9, change))
}

// request sends a request of the kind with an ID.
func (tb *runningTestbed) request(id string) callResult {
	header := []string{"Id", id, "Key", "k", "Model", "m", "Prompt", "50"}
	if id == "running" && tb.caller != nil {
		return tb.callFor(context.Background(), tb.caller, tb.recorder, "POST", tb.path, "", header...)
	}
	return tb.call(context.Background(), "POST", tb.path, "", header...)
}

// digest returns the digest of the running request.
func (tb *runningTestbed) digest() identifier.RequestDigest {
	c := isolator.RequestContent{Method: "POST", Path: tb.path, Team: "team", Model: "m"}
	return c.Digest()
}

// tcpLikeConn is a connection of the in-memory network that fails as a TCP connection does once its deadline has passed,
// also if there is something to read. Nothing can be read while the process is suspended.
type tcpLikeConn struct {
	net.Conn
	tb       *runningTestbed
	deadline atomic.Pointer[time.Time]
}

func (c *tcpLikeConn) SetDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetDeadline(t)
}

func (c *tcpLikeConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetReadDeadline(t)
}

func (c *tcpLikeConn) hasTimedOut() bool {
	t := c.deadline.Load()
	return t != nil && !t.IsZero() && !time.Now().Before(*t)
}

func (c *tcpLikeConn) Read(p []byte) (int, error) {
	if c.hasTimedOut() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if resumed := c.tb.resumed.Load(); resumed != nil {
		<-*resumed
		if c.hasTimedOut() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

// withRunning runs a test with both servers and without a request so far.
func withRunning(t *testing.T, k runningKind, first, second func(net.Conn, *http.Request) bool, test func(tb *runningTestbed)) {
	t.Helper()
	withTestbed(t, backendHandlers{"first": first, "second": second}, func(b *testbed) {
		tb := &runningTestbed{testbed: b, runningKind: k}
		elapsed := tb.Elapsed
		tb.Elapsed = func() time.Duration { return elapsed() + time.Duration(tb.shift.Load()) }
		dial := tb.Pool.Dial
		tb.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			return &tcpLikeConn{Conn: c, tb: tb}, err
		}
		tb.SetCatalog(tb.catalog(2, nil))
		tb.changeFirst(nil)
		test(tb)
		// The servers end before the test does.
		time.Sleep(5 * time.Second)
	})
}

// expectWhole checks that the running request got its whole answer from the server first, and that no other one got it.
func (tb *runningTestbed) expectWhole(res callResult) {
	tb.t.Helper()
	if res.cut || res.status != http.StatusOK || res.body != tb.want {
		tb.t.Errorf("cut %v, status %d, %d of %d bytes", res.cut, res.status, len(res.body), len(tb.want))
	}
	for _, id := range tb.backends["second"].receivedIDs() {
		if strings.HasPrefix(id, "running") {
			tb.t.Errorf("the second server got %q", id)
		}
	}
}

// runningEvents returns events that have no bearing on answers that are under way.
func runningEvents() map[string]func(tb *runningTestbed) {
	first := func(change func(s *tracker.Server)) func(tb *runningTestbed) {
		return func(tb *runningTestbed) { tb.changeFirst(change) }
	}
	catalog := func(change func(c *cataloger.Catalog)) func(tb *runningTestbed) {
		return func(tb *runningTestbed) { tb.changeCatalog(change) }
	}
	routes := func(change func(r *cataloger.Route)) func(tb *runningTestbed) {
		return catalog(func(c *cataloger.Catalog) {
			for i := range c.Routes {
				change(&c.Routes[i])
			}
		})
	}
	request := func(ids ...string) func(tb *runningTestbed) {
		return func(tb *runningTestbed) {
			for _, id := range ids {
				tb.request(id)
			}
			if got := tb.backends["first"].receivedIDs(); !slices.Contains(got, ids[0]) {
				tb.t.Errorf("the first server got %q", got)
			}
		}
	}
	return map[string]func(tb *runningTestbed){
		"its server is removed":                func(tb *runningTestbed) { tb.SetServers(tb.servers(nil)[1:], nil) },
		"all servers are removed":              func(tb *runningTestbed) { tb.SetServers(nil, nil) },
		"its server drains":                    first(func(s *tracker.Server) { s.Draining = true }),
		"its server leaves":                    first(func(s *tracker.Server) { s.Leaving = true }),
		"its server is gone":                   first(func(s *tracker.Server) { s.Gone = true }),
		"its server is superseded":             first(func(s *tracker.Server) { s.Gone, s.Superseded = true, true }),
		"its server has no heartbeats":         first(func(s *tracker.Server) { s.Silent = true }),
		"its server is cold":                   first(func(s *tracker.Server) { s.ColdUntil = time.Now().Add(time.Minute) }),
		"its server starts again":              first(func(s *tracker.Server) { s.Incarnation++ }),
		"its server has another address":       first(func(s *tracker.Server) { s.Address = "second:1" }),
		"its server is in another domain":      first(func(s *tracker.Server) { s.Domain = "other" }),
		"its server is of another service":     first(func(s *tracker.Server) { s.Service = "another" }),
		"its address is another server's":      first(func(s *tracker.Server) { s.ID, s.Incarnation = "another", 7 }),
		"its address is another service's":     first(func(s *tracker.Server) { s.ID, s.Incarnation, s.Service = "another", 7, "another" }),
		"its server has no group":              first(func(s *tracker.Server) { s.Membership = tracker.Membership{} }),
		"its group closes":                     first(func(s *tracker.Server) { s.Membership.State = tracker.StateClosing }),
		"its group is broken":                  first(func(s *tracker.Server) { s.Membership.State = tracker.StateBroken }),
		"its group is in another epoch":        first(func(s *tracker.Server) { s.Membership.Epoch++ }),
		"its server is in another group":       first(func(s *tracker.Server) { s.Membership.Group = "another" }),
		"its server is a member of lower rank": first(func(s *tracker.Server) { s.Membership.Rank = 1 }),
		"its server has another model":         first(func(s *tracker.Server) { s.LoadedModels = []string{"n"} }),
		"its server has no model":              first(func(s *tracker.Server) { s.LoadedModels = nil }),
		"its failure domain is evacuated":      func(tb *runningTestbed) { tb.SetServers(tb.servers(nil), map[identifier.FailureDomain]bool{"z": true}) },
		"all failure domains are evacuated": func(tb *runningTestbed) {
			tb.SetServers(tb.servers(nil), map[identifier.FailureDomain]bool{"z": true, "other": true})
		},
		"its server asks to wait":               request("wait"),
		"its server refuses requests":           request("refuse", "refuse", "refuse", "refuse"),
		"its server names a rate":               request("limit", "limit", "limit"),
		"its server says that it leaves":        request("leave"),
		"its server fails requests":             request("fail", "fail", "fail"),
		"its server drops other connections":    request("drop", "drop", "drop"),
		"its server sends unsigned answers":     request("forge", "forge"),
		"another server answers at its address": request("misdirect", "misdirect"),
		"a core process names its rate": func(tb *runningTestbed) {
			now := time.Now()
			tb.ApplyLimits(now, "core", []throttler.Limit{{Server: "first", Incarnation: 1, Rate: 0.01, NamedAt: now, FirstNamedAt: now}}, nil)
			tb.request("limit")
		},
		"the catalog has no routes":             catalog(func(c *cataloger.Catalog) { c.Routes = nil }),
		"the catalog has no services":           catalog(func(c *cataloger.Catalog) { c.Routes, c.Services = nil, nil }),
		"the catalog has no teams":              catalog(func(c *cataloger.Catalog) { c.Teams = nil }),
		"the key belongs to another team":       catalog(func(c *cataloger.Catalog) { c.Teams[0].Name = "another" }),
		"the catalog allows no header and body": catalog(func(c *cataloger.Catalog) { c.Limits.MaxHeaderBytes, c.Limits.MaxBodyBytes = 1, 1 }),
		"the catalog allows few connections": func(tb *runningTestbed) {
			tb.changeCatalog(func(c *cataloger.Catalog) { c.Services[0].MaxConnections, c.Services[1].MaxConnections = 1, 1 })
			tb.request("fail")
		},
		"the service runs no engine":       catalog(func(c *cataloger.Catalog) { c.Services[1].Engine = nil }),
		"the engine has other models":      catalog(func(c *cataloger.Catalog) { c.Services[1].Engine.Models[0].Name = "n" }),
		"the route has a short time limit": routes(func(r *cataloger.Route) { r.Timeout = time.Millisecond }),
		"the route has short objectives":   routes(func(r *cataloger.Route) { r.LatencyObjective, r.GapObjective = time.Millisecond, time.Millisecond }),
		"the route allows one attempt":     routes(func(r *cataloger.Route) { r.MaxAttempts = 1 }),
		"the route belongs to another service": routes(func(r *cataloger.Route) {
			r.Targets[0].Service = map[identifier.Service]identifier.Service{"svc": "llm", "llm": "svc"}[r.Targets[0].Service]
		}),
		"the route is of another kind":      routes(func(r *cataloger.Route) { r.Kind = (r.Kind + 1) % 3 }),
		"the route may not be repeated":     routes(func(r *cataloger.Route) { r.Kind, r.Resumable = cataloger.NonIdempotent, false }),
		"the keys are not confirmed":        func(tb *runningTestbed) { tb.shift.Store(int64(time.Minute)) },
		"the share of the front is over":    func(tb *runningTestbed) { tb.SetShare(limiter.Share{Processes: 1, ExpiresAt: 1}) },
		"the number of fronts is not known": func(tb *runningTestbed) { tb.SetShare(limiter.Share{}) },
		"there are many fronts":             func(tb *runningTestbed) { tb.SetShare(limiter.Share{Processes: 1000, ExpiresAt: time.Hour}) },
		"other fronts report a load": func(tb *runningTestbed) {
			tb.SetOtherLoads(map[identifier.Server]chooser.Load{"first": {Running: 1000, PendingPromptTokens: 1e6}})
		},
		"other fronts report no load": func(tb *runningTestbed) { tb.SetOtherLoads(nil) },
		"idle connections expire": func(tb *runningTestbed) {
			request("fail", "limit")(tb)
			tb.Pool.CloseExpired(time.Now().Add(time.Hour))
		},
		"the front stops": func(tb *runningTestbed) { tb.DisableKeepAlives(); tb.SetEnd(time.Now()) },
		"another caller leaves": func(tb *runningTestbed) {
			ctx, leave := context.WithCancel(context.Background())
			leave()
			tb.call(ctx, "POST", tb.path, "", "Id", "running-not", "Key", "k", "Model", "m")
		},
		"others are isolated": func(tb *runningTestbed) {
			tb.SetIsolations([]isolator.Isolation{
				{Key: isolator.Key{Service: tb.service, Request: "another"}},
				{Key: isolator.Key{Service: "another", Request: tb.digest()}},
				{Key: isolator.Key{Service: tb.service, Part: "part"}, Traits: isolator.NewTraits("", "", []identifier.PromptPart{"part"})},
			})
		},
		"there is no budget for retries": func(tb *runningTestbed) {
			tb.mu.Lock()
			defer tb.mu.Unlock()
			b := tb.retryBudget(tb.service)
			b.Ratio, b.Slack, b.IsFirstRun = 0, 0, false
		},
		"other fronts have evidence against it": func(tb *runningTestbed) {
			now := time.Now()
			crashes := map[string]time.Time{}
			for i := range 5 {
				crashes[fmt.Sprint("s", i)] = now.Add(-time.Duration(i) * time.Second)
			}
			tb.MergeEvidence(now, isolator.Evidence{Key: isolator.Key{Service: tb.service, Request: tb.digest()}, Crashes: crashes})
		},
	}
}

// TestRunningAnswerOutlastsChanges guards against answers that are given up while their server is at work, because of
// something that should keep only later requests from the server.
func TestRunningAnswerOutlastsChanges(t *testing.T) {
	for kind, k := range runningKinds() {
		for event, act := range runningEvents() {
			for when, test := range map[string]struct{ beforeHead, at time.Duration }{
				"before the header": {2 * runningPause, runningPause},
				"in the body":       {0, 3*runningPause + runningPause/2},
				// The caller has a part of a long plain answer.
				"late in the body": {0, 7*runningPause + runningPause/2},
			} {
				t.Run(kind+"/"+event+"/"+when, func(t *testing.T) {
					withRunning(t, k, k.serve(test.beforeHead), rawResponse(notRunResponse), func(tb *runningTestbed) {
						var others sync.WaitGroup
						others.Go(func() {
							time.Sleep(test.at)
							act(tb)
						})
						tb.expectWhole(tb.request("running"))
						others.Wait()
					})
				})
			}
		}
	}
}

// TestIsolatedPartTakesNoAnswerThatHasBegun guards against streams with events that are ended because a part of their
// prompt is isolated.
func TestIsolatedPartTakesNoAnswerThatHasBegun(t *testing.T) {
	for kind, k := range runningKinds() {
		if !strings.HasPrefix(kind, "stream") {
			continue
		}
		t.Run(kind, func(t *testing.T) {
			withRunning(t, k, k.serve(0), rawResponse(notRunResponse), func(tb *runningTestbed) {
				tb.Dialect = partsTestDialect{}
				time.AfterFunc(4*runningPause, func() {
					tb.SetIsolations([]isolator.Isolation{{
						Key: isolator.Key{Service: tb.service, Part: "part"}, Traits: isolator.NewTraits("", "", []identifier.PromptPart{"part"}),
					}})
				})
				tb.expectWhole(tb.request("running"))
			})
		})
	}
}

// TestIsolatedRequestKeepsAnswerThatHasGoneOn guards against answers that are ended by an isolation while their server is at
// work on them and has got beyond the start.
func TestIsolatedRequestKeepsAnswerThatHasGoneOn(t *testing.T) {
	for kind, k := range runningKinds() {
		t.Run(kind, func(t *testing.T) {
			for isolated, key := range map[string]isolator.Key{
				"the request": {Service: k.service, Request: (&runningTestbed{runningKind: k}).digest()},
				"a part":      {Service: k.service, Part: "part"},
			} {
				t.Run(isolated, func(t *testing.T) {
					withRunning(t, k, k.serve(0), rawResponse(notRunResponse), func(tb *runningTestbed) {
						tb.Dialect = partsTestDialect{}
						time.AfterFunc(3*runningPause+runningPause/2, func() {
							tb.SetIsolations([]isolator.Isolation{{Key: key, Traits: isolator.NewTraits("", "", []identifier.PromptPart{"part"})}})
						})
						tb.expectWhole(tb.request("running"))
					})
				})
			}
		})
	}
}
