// Package forwarder implements the reverse proxy of a front process: it accepts
// callers' requests and forwards them to backend servers.
//
// It forwards requests and responses unchanged, except for the hop-by-hop headers
// of both and the request headers that a Dialect rewrites. It selects the route,
// checks the API key, decides whether to retry at another server, and chooses the
// error status for a request that got no response. A request that may run only
// once is sent again only after a server has stated that it did not run it. A
// broken stream resumes at another server after the last event that the caller
// received.
package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/limiter"
	"trefoilhead.org/trefoilhead/internal/pooler"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// Dialect translates between HTTP headers and the values that the Forwarder uses.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// RewriteRequest sets the headers that a backend server needs and removes those
	// that it must not see.
	RewriteRequest(h http.Header, info ForwardInfo)
	// ParseResponse reads the headers of a backend server's response.
	ParseResponse(h http.Header) ResponseInfo
}

// RequestInfo holds what a caller states about its request in the headers.
type RequestInfo struct {
	ID  string
	Key string
	// Model is empty when the request needs no model.
	Model        string
	PromptTokens int
	// PromptParts names the parts of the prompt that other requests may share, at most
	// MaxPromptParts of them. The last part, which belongs to the request itself, is
	// left out.
	PromptParts []identifier.PromptPart
	// Prompt is the caller's whole description of the prompt.
	Prompt string
	// AnswerTokens is the estimated length of the answer in tokens.
	AnswerTokens int
	// Timeout is how long the caller waits for the response; 0 if not stated.
	Timeout time.Duration
}

// ForwardInfo holds what a backend server is told in headers that this front adds
// to the request.
type ForwardInfo struct {
	Server identifier.Server
	Team   identifier.Team
	// Timeout is the remaining time until the request's deadline.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller received. If empty,
	// the caller's own Last-Event-ID header is forwarded.
	LastEventID string
	// Priority is 0 for the most urgent requests. It is sent only if RunsEngine is
	// set, that is, if the server runs an inference engine.
	Priority   int
	RunsEngine bool
}

// ResponseInfo holds what a backend server states about its response in the
// headers.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// Signed is set if the response carries the server's signature.
	Signed bool
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Limit is what the server states about the request rate that it takes.
	Limit throttler.Statement
	// Leaving holds the values in which the server states whether it leaves.
	Leaving []string
}

// Limits that are the same in every deployment.
const (
	// MaxPromptParts bounds the parts of a prompt that are looked at.
	MaxPromptParts = 64
	// keyValidityMargin is subtracted from MaxRevocationDelay to allow for the time
	// that a request takes through this process after its key was checked.
	keyValidityMargin = 500 * time.Millisecond
	// maxBufferedResponse is how much of a response is buffered before any of it is
	// forwarded. If the connection breaks within that, the request can be retried.
	maxBufferedResponse = 1 << 20
	// minBufferedResponse is the same while memory is short.
	minBufferedResponse = 16 << 10
	// memoryRetryAfter is the Retry-After of a request whose body does not fit into memory. Bodies
	// that are being sent take some seconds.
	memoryRetryAfter = 2 * time.Second
	// drainTimeout and maxDrainBytes bound how long, and how much of, a body that is refused is read.
	drainTimeout  = 5 * time.Second
	maxDrainBytes = 8 << 20
	// requestBytes is what a request takes besides its head, body and answer: goroutines and buffers.
	requestBytes = 32 << 10
	// outcomeMemoryShort is the outcome of such a request.
	outcomeMemoryShort = "memory_short"
	// dialTimeout bounds connecting to a backend server. It allows for many round
	// trips within a region, and is far shorter than a route's objective, so that
	// another server can still respond in time.
	dialTimeout = 80 * time.Millisecond
	// maxRejections limits retries after rejections: a request is still retried after
	// this many servers have stated that they did not run it.
	maxRejections = 2
	// maxConnectFailures limits retries after failed connections: another server is
	// still tried after this many could not be reached.
	maxConnectFailures = 3
	// stoppingRetryAfter is the Retry-After of a request that is refused because this
	// process ends. Another front can take it at once.
	stoppingRetryAfter = time.Millisecond
	// defaultTimeout applies when neither the route nor the caller states a timeout.
	defaultTimeout = 30 * time.Second
)

// Forwarder is the http.Handler for the callers of one front. Exported fields are
// set before use.
type Forwarder struct {
	Dialect Dialect
	Pool    *pooler.Pool
	Logger  log.Logger
	// Elapsed returns the time of a monotonic clock that keeps running while the
	// machine is suspended.
	Elapsed func() time.Duration
	// MaxRevocationDelay is the time after which a revoked key must no longer be
	// accepted; 0 means no limit.
	MaxRevocationDelay time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit the retries of all fronts together:
	// per RetryWindow, RetryRatio times the number of requests plus RetrySlack. IsFirstRun is
	// set if no former run of this process can have made retries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	IsFirstRun  bool
	// Self is the address by which core processes know this front.
	Self identifier.VM
	// Metrics is where the metrics are registered. If nil, Init creates a registry
	// that is not exposed.
	Metrics metrics.Registry
	// Memory bounds what all requests keep of their bodies and answers.
	Memory budgeter.Budget

	catalog atomic.Pointer[cataloger.Catalog]
	// confirmedAt is the Elapsed time at which a quorum last confirmed the catalog;
	// 0 means never.
	confirmedAt atomic.Int64
	// keepAlivesDisabled is set when the process shuts down.
	keepAlivesDisabled atomic.Bool
	// end is when the process will end, if that is known. inFlight counts the requests that
	// are being served, and lastRequestAt is the Elapsed time at which the last one came.
	end           atomic.Pointer[time.Time]
	inFlight      atomic.Int64
	lastRequestAt atomic.Int64

	// ending is set once the requests in flight have been ended.
	ending atomic.Bool

	mu sync.Mutex
	// requests holds the requests that are being served.
	requests     map[*request]struct{}
	chooser      *chooser.Chooser
	retryBudgets map[identifier.Service]*retryBudget
	// share is this front's part of what all fronts share.
	share limiter.Share
	// startedAt is the Elapsed time of the start.
	startedAt       time.Duration
	activeExchanges map[*exchange]struct{}
	demands         map[demandKey]*Demand
	// lastStallCheck is the time of the last call of MoveStalledRequests.
	lastStallCheck time.Time

	isolation isolationState

	// nextUnreadableLog and nextWithdrawalLog are the Elapsed times from which on such log lines
	// may be written again.
	nextUnreadableLog, nextWithdrawalLog time.Duration

	counts counts
}

type demandKey struct {
	service identifier.Service
	model   string
}

// Demand is the demand for one model of a service, or for a service without models:
// the number of requests, the number of those refused with 503 because no server
// accepted them, and the estimated engine time of all of them.
type Demand struct {
	Service    identifier.Service
	Model      string
	Requests   int
	Refused    int
	EngineTime time.Duration
}

// Init prepares the Forwarder, which chooses servers with c.
func (f *Forwarder) Init(c *chooser.Chooser) {
	f.chooser = c
	if c.Allowance.Rand == nil {
		c.Allowance.Rand = c.Rand
	}
	if c.Elapsed == nil {
		c.Elapsed = func() time.Duration { return f.Elapsed() }
	}
	f.retryBudgets = map[identifier.Service]*retryBudget{}
	f.activeExchanges = map[*exchange]struct{}{}
	f.requests = map[*request]struct{}{}
	f.demands = map[demandKey]*Demand{}
	f.startedAt = f.Elapsed()
	if f.Metrics == nil {
		f.Metrics = metrics.NewRegistry()
	}
	f.counts = newCounts(f.Metrics)
	metrics.NewRegisteredFunctionalGauge("isolations", f.Metrics, f.isolationCount)
	metrics.NewRegisteredFunctionalGauge("crash_evidence", f.Metrics, f.evidenceCount)
	metrics.NewRegisteredFunctionalGauge("retry_budget_used_percent", f.Metrics, f.retryBudgetUse)
	metrics.NewRegisteredFunctionalGauge("request_memory_bytes", f.Metrics, f.Memory.Used)
	metrics.NewRegisteredFunctionalGauge("request_memory_reclaimed_total", f.Metrics, f.Memory.Reclaimed)
	metrics.NewRegisteredFunctionalGauge("servers_withheld", f.Metrics, f.withheldCount)
	metrics.NewRegisteredFunctionalGauge("server_limits", f.Metrics, f.limitCount)
	metrics.NewRegisteredFunctionalGauge("server_limit_named_ago_ms", f.Metrics, f.oldestLimitAge)
}

// SetCatalog applies a catalog, unless its version is not newer than the current
// one's.
func (f *Forwarder) SetCatalog(c *cataloger.Catalog) {
	if old := f.catalog.Load(); old != nil && old.Version >= c.Version {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.SetCatalog(c)
	f.catalog.Store(c)
	_ = level.Info(f.Logger).Log("msg", "catalog in force", "version", c.Version, "routes", len(c.Routes), "teams", len(c.Teams))
}

// SetConfirmed records the Elapsed time at which a quorum confirmed this front's
// catalog. A time earlier than the recorded one is ignored.
func (f *Forwarder) SetConfirmed(at time.Duration) {
	if int64(at) > f.confirmedAt.Load() {
		f.confirmedAt.Store(int64(at))
	}
}

// SinceConfirmed returns the time since a quorum last confirmed the catalog, and
// false if that has never happened.
func (f *Forwarder) SinceConfirmed() (time.Duration, bool) {
	at := f.confirmedAt.Load()
	return f.Elapsed() - time.Duration(at), at != 0
}

// SetServers replaces the servers to choose from. Servers in evacuated failure
// domains get no requests.
func (f *Forwarder) SetServers(all []*tracker.Server, evacuated map[identifier.FailureDomain]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.SetServers(all, evacuated)
}

// SetOtherLoads sets the load of the other fronts at each server.
func (f *Forwarder) SetOtherLoads(loads map[identifier.Server]chooser.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.SetOtherLoads(loads)
}

// SetShare sets this front's part of what all fronts share: retry budgets, connections to
// servers and the request rates of servers that are cold or have named one.
func (f *Forwarder) SetShare(s limiter.Share) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = s
	f.chooser.FrontCount, f.chooser.Allowance.Fronts = s.Processes, s.Processes
}

// DisableKeepAlives makes every later response close its connection.
func (f *Forwarder) DisableKeepAlives() { f.keepAlivesDisabled.Store(true) }

// SetEnd makes the Forwarder refuse requests that may last longer than until t, when the
// process ends.
func (f *Forwarder) SetEnd(t time.Time) { f.end.Store(&t) }

// InFlight returns the number of requests that are being served.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// QuietFor returns how long no request has come or been served.
func (f *Forwarder) QuietFor() time.Duration {
	if f.inFlight.Load() > 0 {
		return 0
	}
	return f.Elapsed() - time.Duration(f.lastRequestAt.Load())
}

// CanServe reports whether this front can serve requests: it has a catalog, and
// its keys were confirmed recently enough.
func (f *Forwarder) CanServe() bool { return f.catalog.Load() != nil && f.keysConfirmed() }

func (f *Forwarder) keysConfirmed() bool {
	ago, ever := f.SinceConfirmed()
	return ever && (f.MaxRevocationDelay <= 0 || ago < f.MaxRevocationDelay-keyValidityMargin)
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{f: f, w: w, r: r, receivedAt: time.Now(), info: f.Dialect.ParseRequest(r.Header), open: map[*exchange]struct{}{}}
	q.memory = budgeter.FromContext(r.Context(), &f.Memory)
	defer q.memory.Release()
	q.mu.Lock()
	defer q.mu.Unlock()
	if f.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	defer q.track()()
	f.lastRequestAt.Store(int64(f.Elapsed()))
	if !q.memory.Grow(requestBytes) {
		q.memory.Release()
		q.respondError(http.StatusServiceUnavailable, outcomeMemoryShort, memoryRetryAfter)
		q.discard(r.Body)
		return
	}
	if !q.validate() {
		return
	}
	q.wholeAt = time.Now()
	if end := f.end.Load(); end != nil && q.deadline.After(*end) {
		q.respondError(http.StatusServiceUnavailable, outcomeStopping, stoppingRetryAfter)
		return
	}
	ctx, cancel := context.WithDeadline(q.ctx, q.deadline)
	defer cancel()
	q.ctx = ctx
	// A large body takes long to hash, so that is done before the lock is taken.
	q.digest()
	q.stage.Store(int32(stageChoosing))
	if !f.recordDemand(q) {
		q.respondError(http.StatusServiceUnavailable, outcomeIsolated, isolationRetryAfter)
		return
	}
	defer q.returnTrial()
	defer q.returnReserved()
	q.serve()
}

// validate checks the request against the catalog and reads its body. If it
// returns false, it has already written an error response.
func (q *request) validate() bool {
	f := q.f
	c := f.catalog.Load()
	if c == nil {
		q.respondError(http.StatusServiceUnavailable, "no_catalog", f.outageRetryAfter())
		return false
	}
	q.catalog = c
	q.route = c.Route(stripPort(q.r.Host), q.r.URL.Path)
	if q.route == nil {
		q.respondError(http.StatusNotFound, "no_route", 0)
		return false
	}
	if c.RequiresKeys() && !q.route.Public && !q.authenticate() {
		return false
	}
	if c.Limits.MaxHeaderBytes > 0 && headerSize(q.r) > c.Limits.MaxHeaderBytes {
		q.respondError(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0)
		return false
	}
	q.setDeadline()
	q.stage.Store(int32(stageReading))
	return q.readBody() && q.keyStillValid()
}

// outageRetryAfter returns the Retry-After of a request that is refused during an
// outage.
func (f *Forwarder) outageRetryAfter() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.OutageRetryAfter()
}

// authenticate finds the team of the request's key. If it returns false, it has
// already written an error response.
func (q *request) authenticate() bool {
	if !q.f.keysConfirmed() {
		// The key may have been revoked since the last confirmation.
		q.respondError(http.StatusServiceUnavailable, "keys_not_confirmed", q.f.outageRetryAfter())
		return false
	}
	team := q.catalog.TeamByKey(q.info.Key)
	if team == nil {
		q.respondError(http.StatusUnauthorized, "unknown_key", 0)
		return false
	}
	q.team, q.keyCheckedAt = team, q.f.Elapsed()
	return true
}

// keyStillValid checks the request's key again if that was long ago, because the body took
// long to arrive or the process was suspended. If it returns false, it has already written
// an error response.
func (q *request) keyStillValid() bool {
	if q.team == nil || q.f.Elapsed()-q.keyCheckedAt <= keyValidityMargin {
		return true
	}
	q.catalog = q.f.catalog.Load()
	return q.authenticate()
}

func (q *request) setDeadline() {
	timeout := q.route.Timeout
	if q.info.Timeout > 0 {
		timeout = min(timeout, q.info.Timeout)
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	q.deadline = q.receivedAt.Add(timeout)
}

// recordDemand chooses the request's service and adds the request to the demand
// for its service and model. It reports false, and adds nothing, if the request may not
// be sent to servers because they crash under such requests.
func (f *Forwarder) recordDemand(q *request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	q.service = f.pickService(q.route)
	if !q.admit(q.receivedAt) {
		return false
	}
	k := demandKey{q.service, q.info.Model}
	d := f.demands[k]
	if d == nil {
		d = &Demand{Service: k.service, Model: k.model}
		f.demands[k] = d
	}
	d.Requests++
	if svc := q.catalog.Service(q.service); svc != nil && svc.Engine != nil {
		q.engine = svc.Engine
		d.EngineTime += svc.Engine.EstimateTime(q.info.Model, q.info.PromptTokens, q.info.AnswerTokens)
	}
	f.retryBudget(q.service).RecordRequest(f.Elapsed())
	return true
}

// pickService picks one of the route's targets at random, in proportion to their
// weights. The caller holds mu.
func (f *Forwarder) pickService(r *cataloger.Route) identifier.Service {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	n := f.chooser.Rand.IntN(max(sum, 1))
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return r.Targets[0].Service
}

// TakeDemands returns the demand since the last call and resets it.
func (f *Forwarder) TakeDemands() []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Demand
	for _, d := range f.demands {
		out = append(out, *d)
	}
	clear(f.demands)
	return out
}

// respondError writes an error response and records the request's outcome. The body
// is reason. A Retry-After header is set if retryAfter is positive.
func (q *request) respondError(status int, reason string, retryAfter time.Duration) {
	h := q.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	q.w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = q.w.Write([]byte(reason + "\n"))
	q.recordOutcome(status, reason)
}

// ConnectionLimits returns the catalog's limits on callers' connections, or zero
// limits if there is no catalog.
func (f *Forwarder) ConnectionLimits() cataloger.Limits {
	if c := f.catalog.Load(); c != nil {
		return c.Limits
	}
	return cataloger.Limits{}
}
