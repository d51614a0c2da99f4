package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/limiter"
	"trefoilhead.org/trefoilhead/internal/piper"
	"trefoilhead.org/trefoilhead/internal/pooler"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// testDialect is a Dialect with short header names.
type testDialect struct{}

func (testDialect) ParseRequest(h http.Header) RequestInfo {
	ms, _ := strconv.Atoi(h.Get("Deadline"))
	tokens, _ := strconv.Atoi(h.Get("Prompt"))
	return RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model"), PromptTokens: tokens, Timeout: time.Duration(ms) * time.Millisecond}
}

func (testDialect) RewriteRequest(h http.Header, info ForwardInfo) {
	h.Del("Key")
	h.Set("Team", string(info.Team))
	h.Set("Expect", string(info.Server))
	h.Set("Deadline", strconv.FormatInt(info.Timeout.Milliseconds(), 10))
	if info.LastEventID != "" {
		h.Set("Last", info.LastEventID)
	}
}

func (testDialect) ParseResponse(h http.Header) ResponseInfo {
	info := ResponseInfo{RequestID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Leaving: h["Leaving"]}
	if rate, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		info.Limit = throttler.Statement{Kind: throttler.NamedLimit, Rate: throttler.Rate(rate)}
	}
	return info
}

// backend is a backend server whose responses a test writes byte by byte. It records
// each request that it receives in requestIDs, as the request's ID followed by the ID
// of the event to resume after.
type backend struct {
	name string
	// respond serves one request and reports whether the connection stays open.
	respond func(w net.Conn, r *http.Request) bool

	mu         sync.Mutex
	requestIDs []string
}

func (b *backend) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				b.mu.Lock()
				b.requestIDs = append(b.requestIDs, r.Header.Get("Id")+r.Header.Get("Last"))
				b.mu.Unlock()
				if !b.respond(c, r) {
					return
				}
			}
		}()
	}
}

func (b *backend) receivedIDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.requestIDs)
}

// completeResponse writes a complete, signed response with the body "ok".
func completeResponse() func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
		return err == nil
	}
}

// rawResponse writes text, with "ID" replaced by the request's ID, and closes the
// connection.
func rawResponse(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = c.Write([]byte(strings.ReplaceAll(text, "ID", r.Header.Get("Id"))))
		return false
	}
}

const notRunResponse = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

const streamHeaderFormat = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// streamResponse writes a stream of the events from..to. If truncated is set, the
// stream ends with part of an event and the connection is closed.
func streamResponse(from, to int, truncated bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, streamHeaderFormat, r.Header.Get("Id"))
		writeTestEvents(c, from, to)
		if truncated {
			_, _ = fmt.Fprint(c, "9\r\nid: 99\nda\r\n")
			return false
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
}

// writeTestEvents writes the events from..to, one every 50 ms.
func writeTestEvents(c net.Conn, from, to int) {
	for i := from; i <= to; i++ {
		text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		time.Sleep(50 * time.Millisecond)
	}
}

// testbed is a Forwarder with backend servers on an in-memory network. The server
// named first is preferred; the others are in another failure domain. withTestbed
// runs a test with a testbed that has the given backend servers, by name.
type testbed struct {
	*Forwarder
	t              *testing.T
	net            *piper.Network
	backends       map[string]*backend
	startedAt      time.Time
	closeListeners []func() error
	// loopPaused keeps moveStalledLoop from working, as if the process were suspended.
	loopPaused atomic.Bool
}

func withTestbed(t *testing.T, backends map[string]func(net.Conn, *http.Request) bool, test func(tb *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{t: t, net: piper.New(), backends: map[string]*backend{}, startedAt: time.Now()}
		front := piper.Host{Network: tb.net, Name: "front"}
		tb.Forwarder = &Forwarder{
			Dialect: testDialect{}, Logger: log.NewNopLogger(),
			Pool: &pooler.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return front.DialContext(ctx, "tcp", address)
			}},
			Elapsed: func() time.Duration { return time.Since(tb.startedAt) + time.Minute }, MaxRevocationDelay: 5 * time.Second,
			RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, IsFirstRun: true,
		}
		tb.Init(&chooser.Chooser{Domain: "z", Rand: rand.New(rand.NewPCG(1, 2))})
		tb.SetShare(limiter.Share{Processes: 1, ExpiresAt: 24 * time.Hour})
		tb.SetCatalog(testCatalog(t))
		tb.SetConfirmed(tb.Elapsed())
		var servers []*tracker.Server
		for name, respond := range backends {
			b := &backend{name: name, respond: respond}
			tb.backends[name] = b
			l, err := piper.Host{Network: tb.net, Name: name}.Listen(context.Background(), "tcp", name+":1")
			if err != nil {
				t.Fatal(err)
			}
			tb.closeListeners = append(tb.closeListeners, l.Close)
			go b.serve(l)
			domain := identifier.FailureDomain("z")
			if name != "first" {
				// Only the server named first is in the front's failure domain.
				domain = "other"
			}
			servers = append(servers, &tracker.Server{
				ID: identifier.Server(name), Service: "svc", Address: name + ":1", Domain: domain, Slots: 4, Incarnation: 1, LastHeartbeatAt: time.Now(),
			})
		}
		tb.SetServers(servers, nil)
		ctx, stop := context.WithCancel(context.Background())
		go tb.moveStalledLoop(ctx)
		test(tb)
		stop()
		for _, c := range tb.closeListeners {
			_ = c()
		}
		for name := range tb.backends {
			tb.net.Kill(name)
		}
		tb.net.Kill("front")
		synctest.Wait()
	})
}

func (tb *testbed) moveStalledLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !tb.loopPaused.Load() {
			tb.MoveStalledRequests(time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(StallCheckInterval):
		}
	}
}

// useEngineGroups turns the backend servers into heads of replica groups of an
// inference engine.
func (tb *testbed) useEngineGroups() {
	var heads []*tracker.Server
	for name := range tb.backends {
		domain := identifier.FailureDomain("z")
		if name != "first" {
			domain = "other"
		}
		heads = append(heads, &tracker.Server{
			ID: identifier.Server(name), Service: "llm", Address: name + ":1", Domain: domain, Incarnation: 1, LastHeartbeatAt: time.Now(),
			LoadedModels: []string{"m"}, Membership: tracker.Membership{Group: identifier.Group(name), Epoch: 1, State: tracker.StateOpen},
		})
	}
	tb.SetServers(heads, nil)
}

func testCatalog(t *testing.T) *cataloger.Catalog {
	t.Helper()
	route := func(name string, k cataloger.Kind) cataloger.Route {
		return cataloger.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: k, Timeout: 3 * time.Second, LatencyObjective: 200 * time.Millisecond,
			GapObjective: 200 * time.Millisecond, Targets: []cataloger.Target{{Service: "svc", Weight: 1}}, MaxAttempts: 2,
			Public: name != "keyed", Resumable: k == cataloger.Stream,
		}
	}
	c := &cataloger.Catalog{
		Version: 1, Services: []cataloger.Service{{Name: "svc"}, {Name: "llm", Engine: &cataloger.Engine{
			Slots: 26, StepsPerPass: 7, StepTime: 6 * time.Millisecond, PrefillTokensPerSecond: 50000, MeanAnswerTokens: 100,
			Models: []cataloger.Model{{Name: "m", GroupSize: 4, TimeFactor: 1}},
		}}},
		Routes: []cataloger.Route{
			route("once", cataloger.NonIdempotent), route("any", cataloger.Idempotent), route("stream", cataloger.Stream),
			route("keyed", cataloger.NonIdempotent), route("chat", cataloger.Stream),
		},
		Teams:  []cataloger.Team{{Name: "team", Keys: []string{"k"}}},
		Limits: cataloger.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 100},
	}
	c.Routes[len(c.Routes)-1].Targets[0].Service = "llm"
	if err := c.Index(); err != nil {
		t.Fatal(err)
	}
	return c
}

// callResult is what a caller received. If cut is set, the connection was aborted,
// which shows that the response is incomplete.
type callResult struct {
	status int
	body   string
	header http.Header
	cut    bool
}

// call sends a request and waits for the response. header holds names and values in
// turn.
func (tb *testbed) call(ctx context.Context, method, target, body string, header ...string) callResult {
	rec := httptest.NewRecorder()
	return tb.callFor(ctx, rec, rec, method, target, body, header...)
}

// callFor is call for a caller that reads through w what rec records.
func (tb *testbed) callFor(ctx context.Context, w http.ResponseWriter, rec *httptest.ResponseRecorder, method, target, body string, header ...string) callResult {
	r := httptest.NewRequest(method, "http://h"+target, strings.NewReader(body)).WithContext(ctx)
	r.RequestURI = target
	r.Header.Set("Id", "q1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	res := callResult{}
	func() {
		defer func() {
			if p := recover(); p != nil {
				if p != http.ErrAbortHandler { //nolint:errorlint // the value of a panic
					panic(p)
				}
				res.cut = true
			}
		}()
		tb.ServeHTTP(w, r)
	}()
	res.status, res.body, res.header = rec.Code, rec.Body.String(), rec.Header()
	return res
}

// neverRespond accepts a request and sends nothing.
func neverRespond(c net.Conn, _ *http.Request) bool {
	// Read returns when the front closes the connection.
	_, _ = c.Read(make([]byte, 1))
	return false
}
