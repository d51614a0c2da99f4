package relayer

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/limiter"
	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/router"
)

// Relayer serves callers' requests at one entry. Exported fields are set before use.
type Relayer struct {
	VM         identifier.VM
	Locator    *locator.Locator
	Owner      *Owner
	PeerClient *PeerClient
	ClaimsLog  ClaimsLog
	Policy     router.Policy
	Limits     Limits
	// Entries is the number of entries that share the retry budgets, and Elapsed reads a
	// monotonic clock that keeps running while the VM is suspended.
	Entries int
	Elapsed func() time.Duration
	// OnCrash, if set, is told of each crash of a server under a request.
	OnCrash func(isolator.Run)
	// Memory bounds what all requests keep of their heads and bodies; nil means no bound.
	Memory *budgeter.Budget
	// CheckReady returns nil if new requests are accepted, and the reason otherwise.
	CheckReady func() *refuser.Refusal

	peerRequests atomic.Int64

	mu       sync.Mutex
	inFlight map[identifier.Group]int64
	// inFlightAtReport is a copy of inFlight, the number of requests that this entry
	// has running in each group, taken when the latest load reports arrived.
	inFlightAtReport map[identifier.Group]int64
	ejector          router.Ejector
	startedAt        time.Duration
	retryBudgets     map[identifier.Service]*limiter.RetryBudget
	isolation        isolationState
	stats            Stats
}

// Stats counts callers' requests by outcome. Incomplete counts responses that broke
// off, SentRemotely requests sent to another failure domain, Replayed stored responses
// that were sent for an idempotency key whose request had run, and OpenResponses those
// being relayed now. RetriesDenied counts the retries that a retry budget did not allow.
type Stats struct {
	Requests      uint64                  `json:"requests"`
	Completed     uint64                  `json:"complete"`
	Incomplete    uint64                  `json:"cut"`
	Retries       uint64                  `json:"retries"`
	RetriesDenied uint64                  `json:"retries_denied"`
	SentRemotely  uint64                  `json:"spilled"`
	Replayed      uint64                  `json:"replayed"`
	Refusals      map[refuser.Code]uint64 `json:"refusals"`
	OpenResponses int                     `json:"streaming"`
}

// Limits of retries. All entries together retry the requests of a service at most retryRatio times
// their number and retrySlack times more in any retryWindow. One request is sent at most
// maxAttempts times.
const (
	retryRatio  = 0.1
	retrySlack  = 150
	retryWindow = 10 * time.Second
	maxAttempts = 4
)

// Init initializes the unexported fields. It must be called before the first request.
func (t *Relayer) Init() {
	t.inFlight = map[identifier.Group]int64{}
	t.startedAt = t.Elapsed()
	t.retryBudgets = map[identifier.Service]*limiter.RetryBudget{}
	t.stats.Refusals = map[refuser.Code]uint64{}
}

// Stats returns a copy of the counts since the start.
func (t *Relayer) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Refusals = map[refuser.Code]uint64{}
	for c, n := range t.stats.Refusals {
		s.Refusals[c] = n
	}
	return s
}

func (t *Relayer) updateStats(update func(*Stats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&t.stats)
}

// triedTargets holds the groups and failure domains that a request has been sent to.
type triedTargets struct {
	groups  map[identifier.Group]bool
	domains map[identifier.FailureDomain]bool
	// forwarded is set for a request from another entry. It is not sent to a further
	// failure domain.
	forwarded bool
}

// HandleLoadReports must be called when the locator has received new load reports.
func (t *Relayer) HandleLoadReports() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlightAtReport = maps.Clone(t.inFlight)
	t.ejector.RetainGroups(t.Locator.GroupIDs())
}

// sendWithRetries sends a request until it gets a response or may not be retried. It
// may be retried if it certainly did not run or is idempotent.
func (t *Relayer) sendWithRetries(ctx context.Context, r *Request) (*Response, *refuser.Refusal) {
	t.mu.Lock()
	t.retryBudget(r.Service).RecordRequest(t.Elapsed())
	t.mu.Unlock()
	tried := &triedTargets{groups: map[identifier.Group]bool{}, domains: map[identifier.FailureDomain]bool{}}
	var last *refuser.Refusal
	mayHaveRun := false
	for range maxAttempts {
		resp, refusal := t.sendOnce(ctx, r, tried)
		if refusal == nil {
			return resp, nil
		}
		if last == nil || refusal.Code != refuser.NoCapacity {
			last = earlierReturn(last, refusal)
		}
		mayHaveRun = mayHaveRun || refusal.Statement == refuser.MayHaveRun
		if refusal.Code == refuser.BackendFailed && refusal.Statement == refuser.MayHaveRun && !refusal.Answered {
			r.failedServers++
		}
		if !t.mayRetry(ctx, r, refusal) {
			break
		}
		t.updateStats(func(s *Stats) { s.Retries++ })
	}
	if mayHaveRun && last.Statement == refuser.NotRun {
		adjusted := *last
		adjusted.Statement = refuser.MayHaveRun
		last = &adjusted
	}
	return nil, last
}

func (t *Relayer) mayRetry(ctx context.Context, r *Request, refusal *refuser.Refusal) bool {
	if ctx.Err() != nil || refusal.Statement == refuser.MayHaveRun && !r.Idempotent {
		return false
	}
	switch refusal.Code {
	case refuser.Overloaded, refuser.DeadlineTooNear, refuser.NoSuchService, refuser.BadRequest, refuser.Isolated:
		return false
	}
	if refusal.Statement == refuser.MayHaveRun && !t.mayRepeat(r) {
		return false
	}
	if !countsAsFailure(refusal.Code) {
		// No backend server received the request, so a retry adds no load. Many
		// such refusals come from outdated placement views during a rollout.
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.retryBudget(r.Service).AllowRetry(t.Elapsed()) {
		t.stats.RetriesDenied++
		return false
	}
	return true
}

// retryBudget returns this entry's part of a service's retry budget. The settings name all
// entries, so their number is always known. The caller holds mu.
func (t *Relayer) retryBudget(s identifier.Service) *limiter.RetryBudget {
	b := t.retryBudgets[s]
	if b == nil {
		b = &limiter.RetryBudget{
			Ratio: retryRatio, Slack: retrySlack, Window: retryWindow, StartedAt: t.startedAt, Rounding: rand.Float64(),
			Share: limiter.Share{Processes: t.Entries, ExpiresAt: math.MaxInt64},
		}
		t.retryBudgets[s] = b
	}
	return b
}

// RetryUsage returns the state of the retry budgets by service.
func (t *Relayer) RetryUsage() map[identifier.Service]limiter.RetryUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[identifier.Service]limiter.RetryUsage{}
	for s, b := range t.retryBudgets {
		out[s] = b.Usage(t.Elapsed())
	}
	return out
}

// sendOnce sends a request to the most suitable failure domain.
func (t *Relayer) sendOnce(ctx context.Context, r *Request, tried *triedTargets) (*Response, *refuser.Refusal) {
	local := t.Locator.Domain
	domain, ok := router.PickDomain(local, t.domainLoads(r.Service, tried), tried.domains)
	if !ok {
		return nil, refuser.New(refuser.NoCapacity, refuser.NotRun, "no replica of the service is serving").WithRetryAfter(time.Second)
	}
	if domain == local {
		resp, refusal := t.sendLocal(ctx, r, tried)
		if refusal != nil && (refusal.Code == refuser.NoCapacity || isWithheld(refusal.Code)) {
			tried.domains[local] = true
		}
		return resp, refusal
	}
	tried.domains[domain] = true
	t.updateStats(func(s *Stats) { s.SentRemotely++ })
	return t.sendRemote(ctx, r, domain)
}

// domainLoads returns the load of each failure domain. The load of the local one
// includes the change in this entry's own requests since the latest load reports.
func (t *Relayer) domainLoads(s identifier.Service, tried *triedTargets) []router.DomainLoad {
	loads := t.Locator.DomainLoads(time.Now(), s)
	if tried.domains[t.Locator.Domain] {
		return loads
	}
	for i := range loads {
		if loads[i].Domain != t.Locator.Domain {
			continue
		}
		running := uint32(0)
		for _, c := range t.candidates(s, tried) {
			running += c.EstimateRunning()
		}
		loads[i].Running = running
	}
	return loads
}

// candidates returns the local groups that were not tried yet, with the change in
// this entry's own requests to each since the latest load reports.
func (t *Relayer) candidates(s identifier.Service, tried *triedTargets) []router.Candidate {
	cs := t.Locator.Candidates(s, tried.groups)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range cs {
		id := cs[i].Group
		// Load reports are delayed, but this entry knows exactly how many requests it
		// has started and ended since the latest one.
		cs[i].RunningDelta = t.inFlight[id] - t.inFlightAtReport[id]
	}
	return cs
}

// sendLocal sends a request to a group of this entry's failure domain. Groups whose servers want
// no requests are passed over.
func (t *Relayer) sendLocal(ctx context.Context, r *Request, tried *triedTargets) (*Response, *refuser.Refusal) {
	if refusal := t.checkIsolation(time.Now(), r); refusal != nil {
		return nil, refusal
	}
	var withheld *refuser.Refusal
	for {
		resp, refusal := t.sendToOneGroup(ctx, r, tried)
		switch {
		case refusal != nil && isWithheld(refusal.Code) && ctx.Err() == nil:
			withheld = earlierReturn(withheld, refusal)
		case refusal != nil && refusal.Code == refuser.NoCapacity && withheld != nil:
			return nil, withheld
		default:
			return resp, refusal
		}
	}
}

// sendToOneGroup sends a request to a group of this entry's failure domain that it has not been
// sent to before.
func (t *Relayer) sendToOneGroup(ctx context.Context, r *Request, tried *triedTargets) (*Response, *refuser.Refusal) {
	cs := t.candidates(r.Service, tried)
	t.mu.Lock()
	cs = t.ejector.Filter(time.Now(), cs)
	i := t.Policy.Pick(cs, r.PromptPrefix)
	if i >= 0 {
		t.inFlight[cs[i].Group]++
	}
	t.mu.Unlock()
	if i < 0 {
		return nil, refuser.New(refuser.NoCapacity, refuser.NotRun, "no replica of the service is serving in this failure domain").WithRetryAfter(time.Second)
	}
	c := cs[i]
	tried.groups[c.Group] = true
	var resp *Response
	var refusal *refuser.Refusal
	if c.Owner == t.VM {
		resp, refusal = t.sendOwned(ctx, c.Group, r)
	} else {
		resp, refusal = t.PeerClient.SendRequest(ctx, c.Owner, c.Group, r)
	}
	if refusal != nil {
		t.recordEnd(c.Group, countsAsFailure(refusal.Code))
		return nil, refusal
	}
	failed := resp.Status >= http.StatusInternalServerError
	resp.Body = &closeNotifyingBody{readCloser: resp.Body, onClose: func() { t.recordEnd(c.Group, failed) }}
	return resp, nil
}

// countsAsFailure reports whether a refusal with code c indicates a fault of the
// group. A group that is full or has another owner is healthy.
func countsAsFailure(c refuser.Code) bool {
	switch c {
	case refuser.BackendUnreachable, refuser.BackendFailed, refuser.BackendRefused, refuser.BackendSilent:
		return true
	}
	return false
}

// recordEnd records the end of a request that this entry sent to a group.
func (t *Relayer) recordEnd(g identifier.Group, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ejector.RecordResult(time.Now(), g, failed)
	t.inFlight[g]--
	if t.inFlight[g] == 0 {
		delete(t.inFlight, g)
	}
}

// closeNotifyingBody is a response body that calls onClose when it is first closed.
type closeNotifyingBody struct {
	readCloser
	onClose func()
	once    sync.Once
}

// Close implements io.Closer.
func (b *closeNotifyingBody) Close() error {
	b.once.Do(b.onClose)
	return b.readCloser.Close()
}

// sendRemote sends a request through a random entry of another failure domain.
func (t *Relayer) sendRemote(ctx context.Context, r *Request, d identifier.FailureDomain) (*Response, *refuser.Refusal) {
	entries := t.Locator.OtherEntryVMs(d)
	if len(entries) == 0 {
		return nil, refuser.New(refuser.NoCapacity, refuser.NotRun, "no entry of the other failure domain is known").WithRetryAfter(time.Second)
	}
	return t.PeerClient.SendRequest(ctx, entries[rand.IntN(len(entries))], "", r)
}

// writeResponse relays a response to the caller and counts it as complete or not.
func (t *Relayer) writeResponse(w http.ResponseWriter, r *Request, resp *Response) {
	t.updateStats(func(s *Stats) { s.OpenResponses++ })
	defer t.updateStats(func(s *Stats) { s.OpenResponses-- })
	var err error
	if r.Stream && resp.Status == http.StatusOK {
		err = copyStream(w, resp)
	} else {
		err = copyResponse(w, resp)
	}
	if err == nil {
		t.updateStats(func(s *Stats) { s.Completed++ })
		return
	}
	t.updateStats(func(s *Stats) { s.Incomplete++ })
	if errors.Is(err, errNothingWritten) {
		t.writeRefusal(w, brokenOff())
		return
	}
	// Aborting the connection before the final chunk tells the caller that the
	// response is incomplete.
	panic(http.ErrAbortHandler)
}

func (t *Relayer) writeRefusal(w http.ResponseWriter, refusal *refuser.Refusal) {
	t.updateStats(func(s *Stats) { s.Refusals[refusal.Code]++ })
	refusal.Write(w)
}
