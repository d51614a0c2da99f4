// Package forwarder takes callers' requests at a front and passes them on to
// backend servers.
//
// It changes nothing of a request but the headers that concern one connection
// and those that a Dialect names, and nothing of an answer. What it decides:
// which route a request takes and whether its key allows it, when it is sent to
// another server, and what is true of a request that got no answer. A request
// that may run only once is sent a second time only after a server has said that
// it did not run it. A stream that breaks off goes on at another server after the
// last event that the caller has.
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

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/limiter"
	"trefoilhead.org/trefoilhead/internal/pooler"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// Dialect reads and writes the headers that callers and backend servers use.
type Dialect interface {
	// ParseRequest reads what a caller says of its request.
	ParseRequest(h http.Header) RequestInfo
	// RewriteRequest puts into a request's headers what a backend server needs, and
	// takes out what it must not see.
	RewriteRequest(h http.Header, o ForwardInfo)
	// ParseResponse reads what a backend server says of its answer.
	ParseResponse(h http.Header) ResponseInfo
}

// RequestInfo is what a caller says of its request.
type RequestInfo struct {
	ID  string
	Key string
	// Model is empty for a request that needs none.
	Model        string
	PromptTokens int
	// OutputTokens is the estimated length of the answer.
	OutputTokens int
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
}

// ForwardInfo is what a backend server is told beside the request itself.
type ForwardInfo struct {
	Server identifier.Server
	Team   identifier.Team
	// Timeout is the time that is left for the answer.
	Timeout time.Duration
	// LastEventID is the last event that the caller has; empty to leave the
	// caller's own statement.
	LastEventID string
	// Priority is 0 for the most urgent requests; it is sent to engines only.
	Priority   int
	RunsEngine bool
}

// ResponseInfo is what a backend server says of its answer.
type ResponseInfo struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// Signed is set on an answer that the server vouches for.
	Signed bool
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
}

// Bounds that depend on no deployment.
const (
	// keyMargin is taken off the time for which keys may be honoured without
	// news, for the way of a request through this process.
	keyMargin = 500 * time.Millisecond
	// maxBufferedAnswer is the size up to which an answer is read whole before
	// any of it is passed on, so that a broken one can be replaced.
	maxBufferedAnswer = 1 << 20
	// dialBound is how long opening a connection to a backend server may take:
	// many round trips within a region, and far less than an objective, so that
	// another server can still answer in time.
	dialBound = 80 * time.Millisecond
	// maxRejections bounds the servers that may say of one request that they did
	// not run it.
	maxRejections = 2
	// maxUnreached bounds the servers that are tried in vain for one request.
	maxUnreached = 3
	// budgetShare is the part of the declared budgets that is used, since counts
	// lag.
	budgetShare = 0.8
	// unknownRetryAfter is when to come back to a front that knows nothing yet.
	unknownRetryAfter = 500 * time.Millisecond
	// defaultTimeout bounds a request whose route and caller state nothing.
	defaultTimeout = 30 * time.Second
)

// Forwarder serves callers at one front. Exported fields are set before use.
type Forwarder struct {
	Dialect Dialect
	Pool    *pooler.Pool
	Logger  log.Logger
	// Elapsed is a clock that goes on during suspensions.
	Elapsed func() time.Duration
	// MaxRevocationDelay is the time after which a key that was taken away must not be
	// served; 0 means no bound.
	MaxRevocationDelay time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the repeats of all fronts.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Metrics takes the counters; nil means none that others see.
	Metrics metrics.Registry

	catalog atomic.Pointer[cataloger.Catalog]
	// fresh is the Elapsed time as of which the catalog was that of the quorum,
	// 0 for never.
	fresh atomic.Int64
	// stopping is set once the process has been told to stop.
	stopping atomic.Bool

	mu      sync.Mutex
	chooser *chooser.Chooser
	budgets map[identifier.Service]*limiter.RetryWindow
	fronts  int
	active  map[*exchange]struct{}
	demands map[demandKey]*Demand
	// swept is when Sweep was called last.
	swept time.Time

	counts counts
}

type demandKey struct {
	service identifier.Service
	model   string
}

// Demand is the work that callers asked for.
type Demand struct {
	Service    identifier.Service
	Model      string
	Requests   int
	Refused    int
	EngineTime time.Duration
}

// Init prepares the Forwarder with the state that it chooses by.
func (f *Forwarder) Init(c *chooser.Chooser) {
	f.chooser = c
	f.budgets = map[identifier.Service]*limiter.RetryWindow{}
	f.active = map[*exchange]struct{}{}
	f.demands = map[demandKey]*Demand{}
	f.fronts = 1
	if f.Metrics == nil {
		f.Metrics = metrics.NewRegistry()
	}
	f.counts = newCounts(f.Metrics)
}

// SetCatalog puts a catalog into force. An older one than that in force changes
// nothing.
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

// SetConfirmed notes the Elapsed time as of which this front's state was that of the
// quorum.
func (f *Forwarder) SetConfirmed(at time.Duration) {
	if int64(at) > f.fresh.Load() {
		f.fresh.Store(int64(at))
	}
}

// SinceConfirmed returns how old the state is, and false when it was never confirmed.
func (f *Forwarder) SinceConfirmed() (time.Duration, bool) {
	at := f.fresh.Load()
	return f.Elapsed() - time.Duration(at), at != 0
}

// SetServers replaces the servers to choose from.
func (f *Forwarder) SetServers(all []*tracker.Server, evacuated map[identifier.FailureDomain]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.SetServers(all, evacuated)
}

// SetOtherFronts notes what the other fronts have at the servers, and how many fronts
// share the budgets.
func (f *Forwarder) SetOtherFronts(loads map[identifier.Server]chooser.Load, fronts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.SetOtherLoads(loads)
	f.fronts = max(fronts, 1)
	f.chooser.FrontCount = f.fronts
}

// DisableKeepAlives makes every later answer end its connection.
func (f *Forwarder) DisableKeepAlives() { f.stopping.Store(true) }

// CanServe reports whether this front can serve requests: it has a catalog, and
// knows that keys are still valid.
func (f *Forwarder) CanServe() bool { return f.catalog.Load() != nil && f.keysHold() }

func (f *Forwarder) keysHold() bool {
	ago, ever := f.SinceConfirmed()
	return ever && (f.MaxRevocationDelay <= 0 || ago < f.MaxRevocationDelay-keyMargin)
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{f: f, w: w, r: r, began: time.Now(), ask: f.Dialect.ParseRequest(r.Header)}
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !q.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.ctx = ctx
	f.noteDemand(q)
	if q.route.Kind == cataloger.Stream {
		q.serveStream()
	} else {
		q.servePlain()
	}
}

// admit checks the request against the catalog and reads its body. It answers
// the request itself when it may not go on.
func (q *request) admit() bool {
	f := q.f
	c := f.catalog.Load()
	if c == nil {
		q.refuse(http.StatusServiceUnavailable, "no_catalog", unknownRetryAfter)
		return false
	}
	q.catalog = c
	q.route = c.Route(hostOnly(q.r.Host), q.r.URL.Path)
	if q.route == nil {
		q.refuse(http.StatusNotFound, "no_route", 0)
		return false
	}
	if c.RequiresKeys() && !q.route.Public && !q.checkKey() {
		return false
	}
	if c.Limits.MaxHeaderBytes > 0 && headerBytes(q.r) > c.Limits.MaxHeaderBytes {
		q.refuse(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0)
		return false
	}
	q.setDeadline()
	return q.readBody()
}

// checkKey finds the team of the request's key.
func (q *request) checkKey() bool {
	if !q.f.keysHold() {
		// The key may have been taken away meanwhile.
		q.refuse(http.StatusServiceUnavailable, "keys_not_confirmed", unknownRetryAfter)
		return false
	}
	team := q.catalog.TeamByKey(q.ask.Key)
	if team == nil {
		q.refuse(http.StatusUnauthorized, "unknown_key", 0)
		return false
	}
	q.team = team
	return true
}

func (q *request) setDeadline() {
	left := q.route.Timeout
	if q.ask.Timeout > 0 {
		left = min(left, q.ask.Timeout)
	}
	if left <= 0 {
		left = defaultTimeout
	}
	q.deadline = q.began.Add(left)
}

// noteDemand chooses the request's service and counts what it asks for.
func (f *Forwarder) noteDemand(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q.service = f.pickService(q.route)
	k := demandKey{q.service, q.ask.Model}
	d := f.demands[k]
	if d == nil {
		d = &Demand{Service: k.service, Model: k.model}
		f.demands[k] = d
	}
	d.Requests++
	if svc := q.catalog.Service(q.service); svc != nil && svc.Engine != nil {
		q.engine = svc.Engine
		d.EngineTime += svc.Engine.EstimateTime(q.ask.Model, q.ask.PromptTokens, q.ask.OutputTokens)
	}
	f.budget(q.service).RecordRequest(q.began)
}

// pickService draws one of the route's targets by weight. The caller holds mu.
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

// budget returns the repeats that this front may spend on a service. The caller
// holds mu.
func (f *Forwarder) budget(s identifier.Service) *limiter.RetryWindow {
	b := f.budgets[s]
	if b == nil {
		b = &limiter.RetryWindow{}
		f.budgets[s] = b
	}
	b.Span = f.RetryWindow
	b.Ratio = f.RetryRatio * budgetShare
	b.Slack = f.RetrySlack * budgetShare / float64(f.fronts)
	return b
}

// TakeDemands returns the work asked for since the last call.
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

// refuse answers a request that has not run and will not run.
func (q *request) refuse(status int, reason string, retryAfter time.Duration) {
	h := q.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	q.w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_, _ = q.w.Write([]byte(reason + "\n"))
	q.end(status, reason)
}

// ConnectionLimits returns the limits on callers' connections.
func (f *Forwarder) ConnectionLimits() cataloger.Limits {
	if c := f.catalog.Load(); c != nil {
		return c.Limits
	}
	return cataloger.Limits{}
}
