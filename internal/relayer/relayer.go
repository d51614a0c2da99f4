package relayer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/limiter"
	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/router"
)

// Relayer takes callers' requests at one entry. Exported fields are set before
// use.
type Relayer struct {
	VM         identifier.VM
	Locator    *locator.Locator
	Owner      *Owner
	PeerClient *PeerClient
	ClaimsLog  ClaimsLog
	Policy     router.Policy
	Limits     Limits
	// CheckReady reports whether new work is taken, and why not.
	CheckReady func() *refuser.Refusal

	mu   sync.Mutex
	sent map[identifier.Group]int64
	// reported is sent as it was when the present load reports came.
	reported map[identifier.Group]int64
	ejector  router.Ejector
	budget   limiter.RetryBudget
	stats    Stats
}

// Stats counts what became of callers' requests.
type Stats struct {
	Requests      uint64                  `json:"requests"`
	Completed     uint64                  `json:"complete"`
	Incomplete    uint64                  `json:"cut"`
	Retries       uint64                  `json:"retries"`
	SentRemotely  uint64                  `json:"spilled"`
	Replayed      uint64                  `json:"replayed"`
	Refusals      map[refuser.Code]uint64 `json:"refusals"`
	OpenResponses int                     `json:"streaming"`
}

// Shares of retries.
const (
	retryShare  = 0.1
	retryBurst  = 50
	maxAttempts = 4
)

// Init prepares the relayer. It is called before any request.
func (t *Relayer) Init() {
	t.sent = map[identifier.Group]int64{}
	t.budget = limiter.RetryBudget{RetriesPerRequest: retryShare, MaxSaved: retryBurst}
	t.stats.Refusals = map[refuser.Code]uint64{}
}

// Stats returns the counts so far.
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

func (t *Relayer) count(add func(*Stats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	add(&t.stats)
}

// attempt is what one request has tried so far.
type attempt struct {
	groups  map[identifier.Group]bool
	domains map[identifier.FailureDomain]bool
	// forwarded requests stay in this domain.
	forwarded bool
}

// HandleLoadReports tells that the locator has new load reports.
func (t *Relayer) HandleLoadReports() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = maps.Clone(t.sent)
	t.ejector.RetainGroups(t.Locator.GroupIDs())
}

// route sends a request until it is answered or a retry is not allowed. A
// retry follows when the request certainly did not run, or when it may run
// twice.
func (t *Relayer) route(ctx context.Context, r *Request) (*Response, *refuser.Refusal) {
	t.mu.Lock()
	t.budget.RecordRequest()
	t.mu.Unlock()
	a := &attempt{groups: map[identifier.Group]bool{}, domains: map[identifier.FailureDomain]bool{}}
	var last *refuser.Refusal
	mayHaveRun := false
	for range maxAttempts {
		reply, why := t.sendOnce(ctx, r, a)
		if why == nil {
			return reply, nil
		}
		if last == nil || why.Code != refuser.NoCapacity {
			last = why
		}
		mayHaveRun = mayHaveRun || why.Statement == refuser.MayHaveRun
		if !t.mayRetry(ctx, r, why) {
			break
		}
		t.count(func(s *Stats) { s.Retries++ })
	}
	if mayHaveRun && last.Statement == refuser.NotRun {
		changed := *last
		changed.Statement = refuser.MayHaveRun
		last = &changed
	}
	return nil, last
}

func (t *Relayer) mayRetry(ctx context.Context, r *Request, why *refuser.Refusal) bool {
	if ctx.Err() != nil || why.Statement == refuser.MayHaveRun && !r.Idempotent {
		return false
	}
	switch why.Code {
	case refuser.Overloaded, refuser.DeadlineTooNear, refuser.NoSuchService, refuser.BadRequest:
		return false
	}
	if !blames(why.Code) {
		// No backend server was asked, so trying elsewhere adds no load. Views
		// that lag behind a rollout cause many of these.
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.AllowRetry()
}

// sendOnce sends a request to the domain that suits best.
func (t *Relayer) sendOnce(ctx context.Context, r *Request, a *attempt) (*Response, *refuser.Refusal) {
	local := t.Locator.Domain
	domain, ok := router.PickDomain(local, t.domains(r.Service, a), a.domains)
	if !ok {
		return nil, refuser.New(refuser.NoCapacity, refuser.NotRun, "no replica of the service is serving").WithRetryAfter(time.Second)
	}
	if domain == local {
		reply, why := t.sendLocal(ctx, r, a)
		if why != nil && why.Code == refuser.NoCapacity {
			a.domains[local] = true
		}
		return reply, why
	}
	a.domains[domain] = true
	t.count(func(s *Stats) { s.SentRemotely++ })
	return t.sendRemote(ctx, r, domain)
}

// domains returns the domains' loads with this entry's own requests added.
func (t *Relayer) domains(s identifier.Service, a *attempt) []router.DomainLoad {
	loads := t.Locator.DomainLoads(time.Now(), s)
	if a.domains[t.Locator.Domain] {
		return loads
	}
	for i := range loads {
		if loads[i].Domain != t.Locator.Domain {
			continue
		}
		running := uint32(0)
		for _, c := range t.candidates(s, a) {
			running += c.EstimateRunning()
		}
		loads[i].Running = running
	}
	return loads
}

// candidates returns the local groups with the requests that this entry has
// running there.
func (t *Relayer) candidates(s identifier.Service, a *attempt) []router.Candidate {
	cs := t.Locator.Candidates(s, a.groups)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range cs {
		id := cs[i].Group
		// The reports lag; what this entry has sent and got back since then is
		// certain.
		cs[i].RunningDelta = t.sent[id] - t.reported[id]
	}
	return cs
}

// sendLocal sends a request to a group of this entry's domain.
func (t *Relayer) sendLocal(ctx context.Context, r *Request, a *attempt) (*Response, *refuser.Refusal) {
	cs := t.candidates(r.Service, a)
	t.mu.Lock()
	cs = t.ejector.Filter(time.Now(), cs)
	i := t.Policy.Pick(cs, r.PromptPrefix)
	if i >= 0 {
		t.sent[cs[i].Group]++
	}
	t.mu.Unlock()
	if i < 0 {
		return nil, refuser.New(refuser.NoCapacity, refuser.NotRun, "no replica of the service is serving in this failure domain").WithRetryAfter(time.Second)
	}
	c := cs[i]
	a.groups[c.Group] = true
	var reply *Response
	var why *refuser.Refusal
	if c.Owner == t.VM {
		reply, why = t.Owner.SendRequest(ctx, c.Group, r)
	} else {
		reply, why = t.PeerClient.SendRequest(ctx, c.Owner, c.Group, r)
	}
	if why != nil {
		t.returned(c.Group, blames(why.Code))
		return nil, why
	}
	failed := reply.Status >= http.StatusInternalServerError
	reply.Body = &countedBody{readCloser: reply.Body, ended: func() { t.returned(c.Group, failed) }}
	return reply, nil
}

// blames reports whether a refusal speaks against the group that gave it. A
// full or moved group is sound.
func blames(c refuser.Code) bool {
	switch c {
	case refuser.BackendUnreachable, refuser.BackendFailed, refuser.BackendRefused, refuser.BackendSilent:
		return true
	}
	return false
}

// returned notes the end of a request that this entry sent to a group.
func (t *Relayer) returned(g identifier.Group, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ejector.RecordResult(time.Now(), g, failed)
	t.sent[g]--
	if t.sent[g] == 0 {
		delete(t.sent, g)
	}
}

// countedBody tells when an answer has ended.
type countedBody struct {
	readCloser
	ended func()
	once  sync.Once
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.once.Do(b.ended)
	return b.readCloser.Close()
}

// sendRemote sends a request through a random entry of another domain.
func (t *Relayer) sendRemote(ctx context.Context, r *Request, d identifier.FailureDomain) (*Response, *refuser.Refusal) {
	entries := t.Locator.OtherEntryVMs(d)
	if len(entries) == 0 {
		return nil, refuser.New(refuser.NoCapacity, refuser.NotRun, "no entry of the other failure domain is known").WithRetryAfter(time.Second)
	}
	return t.PeerClient.SendRequest(ctx, entries[rand.IntN(len(entries))], "", r)
}

// finish relays an answer to the caller and counts how it ended.
func (t *Relayer) finish(w http.ResponseWriter, r *Request, reply *Response) {
	t.count(func(s *Stats) { s.OpenResponses++ })
	defer t.count(func(s *Stats) { s.OpenResponses-- })
	var err error
	if r.Stream && reply.Status == http.StatusOK {
		err = copyStream(w, reply)
	} else {
		err = copyReply(w, reply)
	}
	if err == nil {
		t.count(func(s *Stats) { s.Completed++ })
		return
	}
	t.count(func(s *Stats) { s.Incomplete++ })
	// Ending the connection without the final chunk tells the caller that the
	// answer is cut.
	panic(http.ErrAbortHandler)
}

func (t *Relayer) refuse(w http.ResponseWriter, why *refuser.Refusal) {
	t.count(func(s *Stats) { s.Refusals[why.Code]++ })
	why.Write(w)
}
