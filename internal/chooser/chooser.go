// Package chooser selects the backend server for each request at one front, the
// process that accepts callers' requests.
//
// It predicts the time to the first event at each server, from the load that this
// front and the other fronts have there and from the engine's declared timings, and
// selects the server with the shortest prediction. A request that no server can
// start in time is refused immediately with a retry delay. The package does no I/O.
package chooser

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/internal/withholder"
)

// Limits that are the same in every deployment.
const (
	// otherDomainPenalty is added to the predicted delay of a server in another
	// failure domain. It covers a round trip and favors the front's own domain to
	// save traffic between domains.
	otherDomainPenalty = 6 * time.Millisecond
	// minSuspectTime is how long a server is avoided after its first failure. The
	// time doubles with each consecutive failure.
	minSuspectTime = time.Second
	// maxSuspectTime is the upper limit of that backoff.
	maxSuspectTime = 8 * time.Second
	// plainServiceTime is the expected processing time of a request at a plain
	// service, which declares no engine timings.
	plainServiceTime = 60 * time.Millisecond
)

// Request describes a request that needs a server.
type Request struct {
	Service identifier.Service
	// Model is empty for a plain service.
	Model        string
	PromptTokens int
	// LatencyBudget is the remaining time in which the first event is due.
	LatencyBudget time.Duration
	// Exclude lists the servers that must not be chosen, usually because the
	// request was already sent to them.
	Exclude []identifier.Server
	// AllowLate selects a server even if every prediction exceeds the latency
	// budget. It is set for requests that have already run in part.
	AllowLate bool
	// ExcludeSuspects rules out suspect servers, which are otherwise used when
	// there is no other.
	ExcludeSuspects bool
}

// Choice is the result of Choose: a server, or the reason why there is none.
type Choice struct {
	Server *tracker.Server
	// PredictedDelay is the predicted time to the first event.
	PredictedDelay time.Duration
	// Reason and RetryAfter are set when there is no server: the reason for the
	// refusal, and the delay after which the caller may retry. RetryAfter is 0 if no
	// time is predicted.
	Reason     string
	RetryAfter time.Duration
	// Limited is the number of servers that could have taken the request but for the rates
	// that they name.
	Limited int
	// Waiting is the number of servers that could have taken the request but have asked to
	// wait.
	Waiting int
}

// Reasons for a refusal.
const (
	NoServer   = "no_server"
	Overloaded = "overloaded"
	ColdServer = "cold"
	// Limited means that every server that could take the request has named a request rate
	// that is used up.
	Limited = "limited"
	// AskedToWait means that every server that could take the request has asked to wait.
	AskedToWait = "asked_to_wait"
)

// serverState is what this front knows about the load and health of one server.
type serverState struct {
	// ownRunning counts this front's running requests, ownPendingTokens the prompt
	// tokens of those without a first event.
	ownRunning       int
	ownPendingTokens int
	// ownGenerating counts this front's running requests that had a first event.
	ownGenerating int
	// avgGapPasses is a moving average of the gap between two events of one answer,
	// in predicted pass times. It is 0 until the first gap is seen.
	avgGapPasses float64
	// othersRunning and othersPendingTokens are the load of the other fronts in
	// the last report.
	othersRunning       int
	othersPendingTokens int
	lastResponseAt      time.Time
	connectFailures     int
	consecutiveFailures int
	suspectUntil        time.Time
	// incarnation and groupEpoch identify the run of the server's process and the
	// group membership that the failure counts and suspectUntil belong to.
	incarnation uint64
	groupEpoch  uint64
	// coldSlots are the times of this front's requests while the server is cold, and
	// coldUntil is the end of the cold start that they belong to.
	coldSlots throttler.Slots
	coldUntil time.Time
}

// Chooser selects servers for one front and keeps the front's view of them.
// Exported fields are set before use, but FrontCount may change between calls. It
// is not safe for concurrent use.
type Chooser struct {
	Domain identifier.FailureDomain
	Rand   *rand.Rand
	// FrontCount is the number of fronts that share a cold server's request rate. While it is
	// 0, cold servers get no requests.
	FrontCount int
	// StartedAt is when the process started.
	StartedAt time.Time
	// ColdOvershoot and ColdSlack extend the declared request rate of a cold server:
	// up to ColdOvershoot times the rate plus ColdSlack requests a second are
	// allowed from all fronts together.
	ColdOvershoot float64
	ColdSlack     float64
	// Allowance is what this front may send to servers that have named a request rate.
	Allowance throttler.Allowance
	// Withheld holds the servers that want no requests of this front, in times of Elapsed, a
	// monotonic clock that keeps running while the machine is suspended. Elapsed may be nil as
	// long as Withheld is empty.
	Withheld withholder.Ledger
	Elapsed  func() time.Duration

	catalog *cataloger.Catalog
	// usableByService holds the servers that may get requests.
	usableByService map[identifier.Service][]*tracker.Server
	// serverByID holds all servers, including those that may not get requests.
	serverByID map[identifier.Server]*tracker.Server
	stateByID  map[identifier.Server]*serverState
	// peakGapByModel holds the longest recent gap between two events of one answer.
	peakGapByModel map[string]*decayingPeak
	// resumedAt is when this process last resumed after it had been suspended or
	// not scheduled.
	resumedAt time.Time
	// sameDomain, otherDomains and sampled are buffers that Choose reuses: the
	// candidates in the front's own failure domain, those in the other ones, and
	// the sampled candidates.
	sameDomain, otherDomains, sampled []*tracker.Server
	// permitted is such a buffer for the candidates that have named a rate, and denied for
	// the rates of servers that are no candidates because theirs is used up.
	permitted []*tracker.Server
	denied    []*throttler.Limit
	// waiting is such a buffer for the servers that are no candidates because they have asked
	// to wait.
	waiting []waitingServer
	// nextLimitedReturn is when the next caller that is refused for lack of permits is told
	// to come back, by service and model.
	nextLimitedReturn map[serviceModel]time.Time
	// nextWaitReturn is the same, in Elapsed time, for callers that are refused because servers
	// have asked to wait.
	nextWaitReturn map[serviceModel]time.Duration
}

type serviceModel struct {
	service identifier.Service
	model   string
}

// SetCatalog replaces the catalog.
func (c *Chooser) SetCatalog(cat *cataloger.Catalog) { c.catalog = cat }

// SetServers replaces the known servers. Servers that are not usable, and those in
// evacuated failure domains, get no requests.
func (c *Chooser) SetServers(all []*tracker.Server, evacuated map[identifier.FailureDomain]bool) {
	c.usableByService = map[identifier.Service][]*tracker.Server{}
	c.serverByID = make(map[identifier.Server]*tracker.Server, len(all))
	for _, s := range all {
		c.serverByID[s.ID] = s
		c.resetIfReplaced(s)
		if evacuated[s.Domain] || !s.Usable() {
			continue
		}
		c.usableByService[s.Service] = append(c.usableByService[s.Service], s)
	}
	for id, st := range c.stateByID {
		if c.serverByID[id] == nil && st.ownRunning == 0 {
			delete(c.stateByID, id)
		}
	}
	isKnown := func(id identifier.Server) bool { return c.serverByID[id] != nil }
	c.Allowance.Ledger.Expire(time.Now(), isKnown)
	if !c.Withheld.IsEmpty() {
		c.Withheld.Expire(c.Elapsed(), isKnown)
	}
}

// resetIfReplaced clears the failure counts of a server that has restarted or
// joined another group. Its failures may have been caused by a group member that
// is no longer part of it.
func (c *Chooser) resetIfReplaced(s *tracker.Server) {
	st := c.stateByID[s.ID]
	if st == nil || st.incarnation == s.Incarnation && st.groupEpoch == s.Membership.Epoch {
		return
	}
	st.incarnation, st.groupEpoch = s.Incarnation, s.Membership.Epoch
	st.consecutiveFailures, st.connectFailures, st.suspectUntil = 0, 0, time.Time{}
	st.avgGapPasses = 0
}

// SetOtherLoads replaces the load that the other fronts have at the servers.
func (c *Chooser) SetOtherLoads(loads map[identifier.Server]Load) {
	for id, st := range c.stateByID {
		if _, listed := loads[id]; !listed {
			st.othersRunning, st.othersPendingTokens = 0, 0
		}
	}
	for id, l := range loads {
		st := c.stateOf(id)
		st.othersRunning, st.othersPendingTokens = l.Running, l.PendingPromptTokens
	}
}

// Load is the load of one server.
type Load struct {
	Running int
	// PendingPromptTokens is the number of prompt tokens of running requests that
	// have had no event yet.
	PendingPromptTokens int
}

func (c *Chooser) stateOf(id identifier.Server) *serverState {
	st := c.stateByID[id]
	if st == nil {
		if c.stateByID == nil {
			c.stateByID = map[identifier.Server]*serverState{}
		}
		st = &serverState{}
		if s := c.serverByID[id]; s != nil {
			st.incarnation, st.groupEpoch = s.Incarnation, s.Membership.Epoch
		}
		c.stateByID[id] = st
	}
	return st
}

// Choose returns the server for a request.
//
// Load reports from other fronts arrive with a delay. If each front chose the
// server that looks best, all would choose the same one until the next report.
// Choose therefore takes the better of two random candidates, one of them from the
// front's own failure domain if there is any. Only if that one exceeds the latency
// budget does it compare all candidates.
func (c *Chooser) Choose(now time.Time, r Request) Choice {
	svc := c.catalog.Service(r.Service)
	if svc == nil {
		return Choice{Reason: NoServer}
	}
	cold := c.collectCandidates(now, svc, &r)
	if len(c.sameDomain)+len(c.otherDomains) == 0 {
		switch {
		case len(c.denied) > 0:
			return Choice{Reason: Limited, Limited: len(c.denied), Waiting: len(c.waiting)}
		case cold:
			return Choice{Reason: ColdServer, RetryAfter: minRetryAfter, Waiting: len(c.waiting)}
		case len(c.waiting) > 0:
			return Choice{Reason: AskedToWait, Waiting: len(c.waiting)}
		}
		return Choice{Reason: NoServer}
	}
	best := c.earliest(svc, &r, c.sampleTwo())
	if r.AllowLate || best.PredictedDelay <= r.LatencyBudget {
		return best
	}
	best = c.earliest(svc, &r, append(c.sameDomain, c.otherDomains...))
	if best.PredictedDelay <= r.LatencyBudget {
		return best
	}
	return Choice{Reason: Overloaded, RetryAfter: c.jitteredRetryAfter(best.PredictedDelay - r.LatencyBudget), Limited: len(c.denied), Waiting: len(c.waiting)}
}

// collectCandidates fills sameDomain and otherDomains with the servers that may
// get the request. Suspect servers are included only if there is no other, and servers that want
// no requests never. It reports whether a cold server was skipped because of its request rate.
func (c *Chooser) collectCandidates(now time.Time, svc *cataloger.Service, r *Request) (cold bool) {
	c.permitted, c.denied, c.waiting = c.permitted[:0], c.denied[:0], c.waiting[:0]
	elapsed := time.Duration(0)
	if !c.Withheld.IsEmpty() {
		elapsed = c.Elapsed()
	}
	for _, suspects := range []bool{false, true} {
		if suspects && r.ExcludeSuspects {
			break
		}
		c.sameDomain, c.otherDomains = c.sameDomain[:0], c.otherDomains[:0]
		for _, s := range c.usableByService[r.Service] {
			switch {
			case !c.isEligible(s, svc, r) || c.isSuspect(now, s) != suspects:
			case c.isWithheld(elapsed, s):
			case !c.coldRateAllows(now, s, svc):
				cold = true
			case !c.limitAllows(now, s):
			case s.Domain == c.Domain:
				c.sameDomain = append(c.sameDomain, s)
			default:
				c.otherDomains = append(c.otherDomains, s)
			}
		}
		if len(c.sameDomain)+len(c.otherDomains) > 0 {
			break
		}
	}
	return cold
}

// isSuspect reports whether a server failed recently, is stalled, or is marked
// silent for lack of heartbeats and has not responded to this front for
// minSuspectTime.
func (c *Chooser) isSuspect(now time.Time, s *tracker.Server) bool {
	st := c.stateOf(s.ID)
	return now.Before(st.suspectUntil) || s.Silent && now.Sub(st.lastResponseAt) > minSuspectTime || c.IsStalled(now, s.ID)
}

// sampleTwo returns up to two random candidates, the first from the front's own
// failure domain if there is any. Duplicate picks are dropped, so it may return
// only one. A random candidate that has named a rate comes first, since the permit for it
// expires.
func (c *Chooser) sampleTwo() []*tracker.Server {
	c.sampled = c.sampled[:0]
	if n := len(c.permitted); n > 0 {
		c.sampled = append(c.sampled, c.permitted[c.Rand.IntN(n)])
	}
	most := len(c.sampled) + 2
	if n := len(c.sameDomain); n > 0 {
		if s := c.sameDomain[c.Rand.IntN(n)]; !slices.Contains(c.sampled, s) {
			c.sampled = append(c.sampled, s)
		}
	}
	total := len(c.sameDomain) + len(c.otherDomains)
	for range 2 {
		i := c.Rand.IntN(total)
		s := c.candidateAt(i)
		if len(c.sampled) < most && !slices.Contains(c.sampled, s) {
			c.sampled = append(c.sampled, s)
		}
	}
	return c.sampled
}

func (c *Chooser) candidateAt(i int) *tracker.Server {
	if i < len(c.sameDomain) {
		return c.sameDomain[i]
	}
	return c.otherDomains[i-len(c.sameDomain)]
}

// earliest returns the server with the shortest predicted delay. Servers in other
// failure domains get a penalty, which counts in the comparison only.
func (c *Chooser) earliest(svc *cataloger.Service, r *Request, servers []*tracker.Server) Choice {
	var best Choice
	lowest := time.Duration(math.MaxInt64)
	for _, s := range servers {
		delay := c.predictDelay(s, svc, r)
		score := delay
		if s.Domain != c.Domain {
			score += otherDomainPenalty
		}
		if score < lowest {
			lowest = score
			best = Choice{Server: s, PredictedDelay: delay}
		}
	}
	return best
}

// isEligible reports whether a server can take a request, regardless of its load
// and recent failures. A silent server is eligible unless this front failed to
// connect to it.
func (c *Chooser) isEligible(s *tracker.Server, svc *cataloger.Service, r *Request) bool {
	if slices.Contains(r.Exclude, s.ID) {
		return false
	}
	if svc.Engine == nil {
		return !s.Silent || c.stateOf(s.ID).connectFailures == 0
	}
	if !s.Serving() || !slices.Contains(s.LoadedModels, r.Model) {
		return false
	}
	return !s.Silent || c.stateOf(s.ID).connectFailures == 0
}

// predictDelay returns the predicted time to the first event of a request at a
// server.
func (c *Chooser) predictDelay(s *tracker.Server, svc *cataloger.Service, r *Request) time.Duration {
	st := c.stateOf(s.ID)
	running := st.ownRunning + st.othersRunning
	e := svc.Engine
	if e == nil {
		batches := float64(running+1) / float64(max(s.Slots, 1))
		return time.Duration(max(batches, 1) * float64(plainServiceTime))
	}
	m, _ := e.Model(r.Model)
	pendingTokens := st.ownPendingTokens + st.othersPendingTokens + r.PromptTokens
	pass := e.PassTime(m, min(running, e.Slots))
	prefill := e.PrefillTime(m, pendingTokens)
	queueing := time.Duration(0)
	if excess := running + 1 - e.Slots; excess > 0 {
		events := float64(e.MeanAnswerTokens) / float64(e.StepsPerPass)
		answerTime := time.Duration(events*float64(pass)) + prefill/2
		queueing = time.Duration(float64(excess) / float64(max(e.Slots, 1)) * float64(answerTime))
	}
	return queueing + prefill + pass + pass/2
}

// RecordSent records that a request with promptTokens prompt tokens is sent to a
// server.
func (c *Chooser) RecordSent(now time.Time, id identifier.Server, promptTokens int) {
	st := c.stateOf(id)
	st.ownRunning++
	st.ownPendingTokens += promptTokens
	if svc := c.serviceOf(id); svc != nil && svc.ColdRequestsPerSecond > 0 && now.Before(st.coldUntil) {
		st.coldSlots.Take(c.coldSendInterval(svc))
	}
}

// serviceOf returns the service of a server, or nil if either is unknown.
func (c *Chooser) serviceOf(id identifier.Server) *cataloger.Service {
	s := c.serverByID[id]
	if s == nil || c.catalog == nil {
		return nil
	}
	return c.catalog.Service(s.Service)
}

// RecordFirstEvent records the first event of the response to a request.
func (c *Chooser) RecordFirstEvent(now time.Time, id identifier.Server, promptTokens int) {
	st := c.stateOf(id)
	st.ownPendingTokens -= promptTokens
	st.ownGenerating++
	c.RecordResponse(now, id)
}

// RecordResponse records that a server sent an event or a whole response.
func (c *Chooser) RecordResponse(now time.Time, id identifier.Server) {
	st := c.stateOf(id)
	st.lastResponseAt = now
	st.connectFailures = 0
}

// RecordEnd records the end of a request, whether it succeeded or not. The argument
// hadEvent says whether RecordFirstEvent was called for it.
func (c *Chooser) RecordEnd(id identifier.Server, promptTokens int, hadEvent bool) {
	st := c.stateOf(id)
	st.ownRunning--
	if hadEvent {
		st.ownGenerating--
	} else {
		st.ownPendingTokens -= promptTokens
	}
}

// RecordSuccess records a complete response, which ends a run of consecutive failures.
func (c *Chooser) RecordSuccess(id identifier.Server) { c.stateOf(id).consecutiveFailures = 0 }

// RecordFailure records that a server failed or rejected a request. The server is
// suspect for a time that grows exponentially with consecutive failures.
func (c *Chooser) RecordFailure(now time.Time, id identifier.Server) {
	const maxDoublings = 6
	st := c.stateOf(id)
	st.suspectUntil = now.Add(min(minSuspectTime<<min(st.consecutiveFailures, maxDoublings), maxSuspectTime))
	st.consecutiveFailures++
}

// RecordConnectFailure records that no connection to a server could be opened.
func (c *Chooser) RecordConnectFailure(now time.Time, id identifier.Server) {
	c.stateOf(id).connectFailures++
	c.RecordFailure(now, id)
}

// SinceLastResponse returns the time since this front last got an event or a whole
// response from a server.
func (c *Chooser) SinceLastResponse(now time.Time, id identifier.Server) time.Duration {
	return now.Sub(c.stateOf(id).lastResponseAt)
}

// OwnLoads returns the load that this front itself has at the servers.
func (c *Chooser) OwnLoads() map[identifier.Server]Load {
	out := map[identifier.Server]Load{}
	for id, st := range c.stateByID {
		if st.ownRunning > 0 {
			out[id] = Load{Running: st.ownRunning, PendingPromptTokens: st.ownPendingTokens}
		}
	}
	return out
}

// Suspicion is the state of one server as seen from this front's requests: the time
// since its last response or event, and the number of failed connections since then.
type Suspicion struct {
	SinceLastResponse time.Duration
	ConnectFailures   int
}

// Suspicions returns the state of all servers with running requests, recent
// responses or failed connection attempts.
func (c *Chooser) Suspicions(now time.Time) map[identifier.Server]Suspicion {
	const recent = 3 * time.Second
	out := map[identifier.Server]Suspicion{}
	for id, st := range c.stateByID {
		ago := now.Sub(st.lastResponseAt)
		if st.ownRunning > 0 || st.connectFailures > 0 || ago < recent {
			out[id] = Suspicion{SinceLastResponse: ago, ConnectFailures: st.connectFailures}
		}
	}
	return out
}
