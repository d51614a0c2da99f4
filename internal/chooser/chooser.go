// Package chooser chooses the backend server for a request at one front.
//
// It predicts when each server would give the first event, from the work that
// this front and the others have there and from the engine's declared times, and
// takes the earliest. A request that no server can begin in time is refused at
// once, with a time at which to come back. It is a core without input or output.
package chooser

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// Bounds that depend on no deployment.
const (
	// otherDomain is added to the prediction for a server of another failure
	// domain: a round trip, and a preference that saves bytes between domains.
	otherDomain = 6 * time.Millisecond
	// suspectFor is how long a server is avoided after it failed a request.
	suspectFor = time.Second
	// suspectLimit bounds that time when failures follow each other.
	suspectLimit = 8 * time.Second
	// plainWork is the expected time of a request at a plain service.
	plainWork = 60 * time.Millisecond
	// leastRetryAfter and mostRetryAfter bound the time after which a refused
	// request may come back.
	leastRetryAfter = 200 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
	// coldSlack is by how much a server's statements of the end of one cold start
	// may differ.
	coldSlack = time.Second
	// noServerRetryAfter is that time when nobody serves the model.
	noServerRetryAfter = 500 * time.Millisecond
)

// Request describes a request.
type Request struct {
	Service identifier.Service
	// Model is empty at a plain service.
	Model        string
	PromptTokens int
	// LatencyBudget is how long the first event may take from now on.
	LatencyBudget time.Duration
	// Exclude are servers that the request was sent to before.
	Exclude []identifier.Server
	// AllowLate requests go to a server even when they will be late, because they
	// have run in part.
	AllowLate bool
	// ExcludeSuspects asks only for servers that did not fail lately.
	ExcludeSuspects bool
}

// Choice is the outcome of an Ask: a server, or why there is none.
type Choice struct {
	Server *tracker.Server
	// PredictedDelay is the predicted time to the first event.
	PredictedDelay time.Duration
	// Reason says why there is no server, RetryAfter when to come back.
	Reason     string
	RetryAfter time.Duration
}

// Reasons for a refusal.
const (
	NoServer   = "no_server"
	Overloaded = "overloaded"
	ColdServer = "cold"
)

// work is what is known of the work at one server.
type work struct {
	// running and unread are this front's own.
	running int
	unread  int
	// writing counts those of them that had an event.
	writing int
	// pace is the mean pause between two events of one answer, in predicted
	// passes; 0 while none was seen.
	pace float64
	// others is what the other fronts had at the last report.
	othersRunning int
	othersUnread  int
	answered      time.Time
	unreachable   int
	failures      int
	suspectUntil  time.Time
	// life and epoch are those of the server that failures and suspectUntil are
	// of.
	life  uint64
	epoch uint64
	// nextCold is the earliest time of the next request to a cold server, and
	// coldUntil the end of the cold start that it was set for.
	nextCold  time.Time
	coldUntil time.Time
}

// Chooser holds what one front knows. Exported fields are set before use, but
// Fronts may change between calls. It is not safe for concurrent use.
type Chooser struct {
	Domain identifier.FailureDomain
	Rand   *rand.Rand
	// FrontCount is the number of fronts that share a cold server's rate.
	FrontCount int
	// ColdOvershoot and ColdSlack stretch the declared rate of a cold server.
	ColdOvershoot float64
	ColdSlack     float64

	catalog *cataloger.Catalog
	// servers lists the servers that may take requests.
	servers map[identifier.Service][]*tracker.Server
	// byID holds all servers.
	byID map[identifier.Server]*tracker.Server
	work map[identifier.Server]*work
	// pauses holds the usual pauses by model.
	pauses map[string]*pauseMeter
	// awake is when this process last went on after it had not run.
	awake time.Time
	// near, far and drawn are scratch space of Choose.
	near, far, drawn []*tracker.Server
}

// SetCatalog replaces the catalog.
func (c *Chooser) SetCatalog(cat *cataloger.Catalog) { c.catalog = cat }

// SetServers replaces the servers by those of a registry, less those in failure
// domains that are taken out.
func (c *Chooser) SetServers(all []*tracker.Server, evacuated map[identifier.FailureDomain]bool) {
	c.servers = map[identifier.Service][]*tracker.Server{}
	c.byID = make(map[identifier.Server]*tracker.Server, len(all))
	for _, s := range all {
		c.byID[s.ID] = s
		c.noteLife(s)
		if evacuated[s.Domain] || !s.Usable() {
			continue
		}
		c.servers[s.Service] = append(c.servers[s.Service], s)
	}
	for id, w := range c.work {
		if c.byID[id] == nil && w.running == 0 {
			delete(c.work, id)
		}
	}
}

// noteLife forgets the failures of a server that has restarted or heads another
// group since: they were of a member that is not part of it any more.
func (c *Chooser) noteLife(s *tracker.Server) {
	w := c.work[s.ID]
	if w == nil || w.life == s.Born && w.epoch == s.Membership.Epoch {
		return
	}
	w.life, w.epoch = s.Born, s.Membership.Epoch
	w.failures, w.unreachable, w.suspectUntil = 0, 0, time.Time{}
	w.pace = 0
}

// SetOtherLoads replaces what the other fronts have at the servers.
func (c *Chooser) SetOtherLoads(loads map[identifier.Server]Load) {
	for id, w := range c.work {
		if _, listed := loads[id]; !listed {
			w.othersRunning, w.othersUnread = 0, 0
		}
	}
	for id, l := range loads {
		w := c.at(id)
		w.othersRunning, w.othersUnread = l.Running, l.PendingPromptTokens
	}
}

// Load is the work at one server.
type Load struct {
	Running int
	// PendingPromptTokens is the number of prompt tokens of requests without a first event.
	PendingPromptTokens int
}

func (c *Chooser) at(id identifier.Server) *work {
	w := c.work[id]
	if w == nil {
		if c.work == nil {
			c.work = map[identifier.Server]*work{}
		}
		w = &work{}
		if s := c.byID[id]; s != nil {
			w.life, w.epoch = s.Born, s.Membership.Epoch
		}
		c.work[id] = w
	}
	return w
}

// Choose returns the server for a request.
//
// Fronts know of each other's requests with a delay. If each took the server
// that seems best, all would take the same one until they hear of it. So the
// better of two drawn at random is taken, one of them in the front's own failure
// domain, and the best of all only if both are too late.
func (c *Chooser) Choose(now time.Time, a Request) Choice {
	svc := c.catalog.Service(a.Service)
	if svc == nil {
		return Choice{Reason: NoServer, RetryAfter: noServerRetryAfter}
	}
	cold := c.collect(now, svc, &a)
	if len(c.near)+len(c.far) == 0 {
		if cold {
			return Choice{Reason: ColdServer, RetryAfter: leastRetryAfter}
		}
		return Choice{Reason: NoServer, RetryAfter: noServerRetryAfter}
	}
	best := c.better(svc, &a, c.draw())
	if a.AllowLate || best.PredictedDelay <= a.LatencyBudget {
		return best
	}
	best = c.better(svc, &a, append(c.near, c.far...))
	if best.PredictedDelay <= a.LatencyBudget {
		return best
	}
	return Choice{Reason: Overloaded, RetryAfter: c.spread(best.PredictedDelay - a.LatencyBudget)}
}

// collect fills near and far with the servers that may take the request, those
// that failed lately only if there is no other. It reports whether a cold one
// was left out.
func (c *Chooser) collect(now time.Time, svc *cataloger.Service, a *Request) (cold bool) {
	for _, suspects := range []bool{false, true} {
		if suspects && a.ExcludeSuspects {
			break
		}
		c.near, c.far = c.near[:0], c.far[:0]
		for _, s := range c.servers[a.Service] {
			switch {
			case !c.mayServe(s, svc, a) || c.isSuspect(now, s) != suspects:
			case !c.coldAllows(now, s, svc):
				cold = true
			case s.Domain == c.Domain:
				c.near = append(c.near, s)
			default:
				c.far = append(c.far, s)
			}
		}
		if len(c.near)+len(c.far) > 0 {
			break
		}
	}
	return cold
}

// isSuspect reports whether a server failed lately, stands still, or is silent and
// has not answered this front since.
func (c *Chooser) isSuspect(now time.Time, s *tracker.Server) bool {
	w := c.at(s.ID)
	return now.Before(w.suspectUntil) || s.Silent && now.Sub(w.answered) > suspectFor || c.IsStalled(now, s.ID)
}

// draw returns two of the collected servers, one near if there is any.
func (c *Chooser) draw() []*tracker.Server {
	c.drawn = c.drawn[:0]
	if n := len(c.near); n > 0 {
		c.drawn = append(c.drawn, c.near[c.Rand.IntN(n)])
	}
	all := len(c.near) + len(c.far)
	for range 2 {
		i := c.Rand.IntN(all)
		s := c.pickAt(i)
		if len(c.drawn) < 2 && !slices.Contains(c.drawn, s) {
			c.drawn = append(c.drawn, s)
		}
	}
	return c.drawn
}

func (c *Chooser) pickAt(i int) *tracker.Server {
	if i < len(c.near) {
		return c.near[i]
	}
	return c.far[i-len(c.near)]
}

// better returns the server with the earliest prediction.
func (c *Chooser) better(svc *cataloger.Service, a *Request, servers []*tracker.Server) Choice {
	var best Choice
	least := time.Duration(math.MaxInt64)
	for _, s := range servers {
		expected := c.predict(s, svc, a)
		rank := expected
		if s.Domain != c.Domain {
			rank += otherDomain
		}
		if rank < least {
			least = rank
			best = Choice{Server: s, PredictedDelay: expected}
		}
	}
	return best
}

// mayServe reports whether a server can take a request at all.
func (c *Chooser) mayServe(s *tracker.Server, svc *cataloger.Service, a *Request) bool {
	if slices.Contains(a.Exclude, s.ID) {
		return false
	}
	if svc.Engine == nil {
		return !s.Silent || c.at(s.ID).unreachable == 0
	}
	if !s.Serving() || !slices.Contains(s.Models, a.Model) {
		return false
	}
	return !s.Silent || c.at(s.ID).unreachable == 0
}

// coldAllows reports whether a cold server's share of this front allows one more
// request now.
func (c *Chooser) coldAllows(now time.Time, s *tracker.Server, svc *cataloger.Service) bool {
	if svc.ColdRequestsPerSecond <= 0 || !s.IsCold(now) {
		return true
	}
	w := c.at(s.ID)
	if s.ColdUntil.Sub(w.coldUntil) > coldSlack {
		// All fronts see it turn cold at the same time, so each begins at another.
		phase := time.Duration(c.Rand.Int64N(int64(c.coldPace(svc))))
		w.nextCold = now.Add(phase)
	}
	w.coldUntil = s.ColdUntil
	return !now.Before(w.nextCold)
}

// coldPace is the time between two requests of this front to a cold server.
func (c *Chooser) coldPace(svc *cataloger.Service) time.Duration {
	bound := svc.ColdRequestsPerSecond*max(c.ColdOvershoot, 1) + c.ColdSlack
	// The fronts' phases are random, so that of a mean rate m some seconds get up
	// to m and deviations times its root.
	const deviations = 3
	root := (math.Sqrt(deviations*deviations+4*bound) - deviations) / 2
	rate := root * root / float64(max(c.FrontCount, 1))
	return time.Duration(float64(time.Second) / rate)
}

// predict returns the time to the first event of a request at a server.
func (c *Chooser) predict(s *tracker.Server, svc *cataloger.Service, a *Request) time.Duration {
	w := c.at(s.ID)
	running := w.running + w.othersRunning
	e := svc.Engine
	if e == nil {
		waves := float64(running+1) / float64(max(s.Slots, 1))
		return time.Duration(max(waves, 1) * float64(plainWork))
	}
	m, _ := e.Model(a.Model)
	unread := w.unread + w.othersUnread + a.PromptTokens
	pass := e.PassTime(m, min(running, e.Slots))
	read := e.PrefillTime(m, unread)
	wait := time.Duration(0)
	if over := running + 1 - e.Slots; over > 0 {
		events := float64(e.MeanAnswerTokens) / float64(e.StepsPerPass)
		answer := time.Duration(events*float64(pass)) + read/2
		wait = time.Duration(float64(over) / float64(max(e.Slots, 1)) * float64(answer))
	}
	return wait + read + pass + pass/2
}

// spread returns a time to come back that is different for each caller, so that
// they do not all come at once.
func (c *Chooser) spread(late time.Duration) time.Duration {
	base := min(max(late, leastRetryAfter), mostRetryAfter)
	return base + time.Duration(c.Rand.Int64N(int64(base)))
}

// RecordSent notes that a request goes to a server.
func (c *Chooser) RecordSent(now time.Time, id identifier.Server, prompt int) {
	w := c.at(id)
	w.running++
	w.unread += prompt
	if svc := c.serviceOf(id); svc != nil && svc.ColdRequestsPerSecond > 0 {
		w.nextCold = now.Add(c.coldPace(svc))
	}
}

// serviceOf returns the service of a server, or nil.
func (c *Chooser) serviceOf(id identifier.Server) *cataloger.Service {
	s := c.byID[id]
	if s == nil || c.catalog == nil {
		return nil
	}
	return c.catalog.Service(s.Service)
}

// RecordFirstEvent notes the first event of a request.
func (c *Chooser) RecordFirstEvent(now time.Time, id identifier.Server, prompt int) {
	w := c.at(id)
	w.unread -= prompt
	w.writing++
	c.RecordResponse(now, id)
}

// RecordResponse notes that a server has answered something.
func (c *Chooser) RecordResponse(now time.Time, id identifier.Server) {
	w := c.at(id)
	w.answered = now
	w.unreachable = 0
}

// RecordEnd notes the end of a request with a prompt of so many tokens. Begun tells
// that it had an event.
func (c *Chooser) RecordEnd(id identifier.Server, prompt int, begun bool) {
	w := c.at(id)
	w.running--
	if begun {
		w.writing--
	} else {
		w.unread -= prompt
	}
}

// RecordSuccess notes a whole answer.
func (c *Chooser) RecordSuccess(id identifier.Server) { c.at(id).failures = 0 }

// RecordFailure notes that a server failed or refused a request.
func (c *Chooser) RecordFailure(now time.Time, id identifier.Server) {
	const maxDoublings = 6
	w := c.at(id)
	w.suspectUntil = now.Add(min(suspectFor<<min(w.failures, maxDoublings), suspectLimit))
	w.failures++
}

// RecordConnectFailure notes that no connection to a server could be opened.
func (c *Chooser) RecordConnectFailure(now time.Time, id identifier.Server) {
	c.at(id).unreachable++
	c.RecordFailure(now, id)
}

// SinceLastResponse returns the time since a server's last answer to this front.
func (c *Chooser) SinceLastResponse(now time.Time, id identifier.Server) time.Duration {
	return now.Sub(c.at(id).answered)
}

// OwnLoads returns this front's own work at the servers.
func (c *Chooser) OwnLoads() map[identifier.Server]Load {
	out := map[identifier.Server]Load{}
	for id, w := range c.work {
		if w.running > 0 {
			out[id] = Load{Running: w.running, PendingPromptTokens: w.unread}
		}
	}
	return out
}

// Observation is what this front's requests have shown of one server.
type Observation struct {
	SinceLastResponse time.Duration
	ConnectFailures   int
}

// Observations returns what is known of the servers with running requests, recent
// answers or failed connections.
func (c *Chooser) Observations(now time.Time) map[identifier.Server]Observation {
	const recent = 3 * time.Second
	out := map[identifier.Server]Observation{}
	for id, w := range c.work {
		ago := now.Sub(w.answered)
		if w.running > 0 || w.unreachable > 0 || ago < recent {
			out[id] = Observation{SinceLastResponse: ago, ConnectFailures: w.unreachable}
		}
	}
	return out
}
