package forwarder

import (
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Silences after which a request is moved to another server. Silence is the time
// since the last event, or since the request was sent if there was none.
const (
	// serverSilenceThreshold is how long a server must have sent nothing for any
	// request of this front before one of them is moved to another server.
	serverSilenceThreshold = 400 * time.Millisecond
	// minRequestSilence is the lower bound of the silence after which a request is
	// moved. It is longer than an engine pass that prefills several prompts.
	minRequestSilence = 500 * time.Millisecond
	// moveRetryInterval is the time after which other servers are tried again if none has taken the request.
	moveRetryInterval = 500 * time.Millisecond
	// A request is moved after a silence of gapSilenceFactor times the route's
	// GapObjective between events, and of firstEventSilenceFactor times its Objective
	// before the first event.
	gapSilenceFactor        = 2
	firstEventSilenceFactor = 2
	// stallDelayFactor times the predicted time to the first event is the silence up to which
	// a request without an event is no sign of a stall.
	stallDelayFactor = 1.5
)

// StallCheckInterval is the interval between calls of MoveStalledRequests. It is
// shorter than a pass of an engine.
const StallCheckInterval = 25 * time.Millisecond

// suspendedFactor times StallCheckInterval is the time between two calls of
// MoveStalledRequests above which this process is taken to have been suspended.
const suspendedFactor = 2

// MoveStalledRequests tries requests whose server seems to have stalled at other servers,
// where their route and the retry budget allow that, and
// ends those whose body has not come by their deadline. It must be called every
// StallCheckInterval.
func (f *Forwarder) MoveStalledRequests(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if elapsed := now.Sub(f.lastStallCheck); !f.lastStallCheck.IsZero() && elapsed > suspendedFactor*StallCheckInterval {
		f.chooser.RecordResume(now)
		for x := range f.activeExchanges {
			x.holdUp(now, elapsed-StallCheckInterval)
		}
	}
	f.lastStallCheck = now
	f.endLateReading(now)
	failed := map[identifier.Server]bool{}
	for x := range f.activeExchanges {
		silent := x.silence(now) > x.silenceLimit() && f.chooser.SinceLastResponse(now, x.server) > serverSilenceThreshold
		if !silent && !f.chooser.IsStalled(now, x.server) || !x.move(now, !silent) {
			continue
		}
		if !failed[x.server] {
			failed[x.server] = true
			f.chooser.RecordFailure(now, x.server)
		}
	}
}

// silenceLimit returns how long the exchange may be silent before its request is
// moved. The caller holds mu.
func (x *exchange) silenceLimit() time.Duration {
	r := x.q.route
	if x.hasFirstEvent() {
		return max(minRequestSilence, gapSilenceFactor*r.GapObjective)
	}
	return max(minRequestSilence, firstEventSilenceFactor*r.LatencyObjective, x.predictedDelay+r.LatencyObjective)
}

// stallSilence returns the silence from which on the request counts as stalled. A server
// that reads a long prompt and has no other request sends nothing meanwhile. The caller holds
// mu.
func (x *exchange) stallSilence() time.Duration {
	if x.hasFirstEvent() {
		return serverSilenceThreshold
	}
	return max(serverSilenceThreshold, time.Duration(stallDelayFactor*float64(x.predictedDelay)))
}

// move tries other servers while the exchange stays open, and reports whether it does. If early is set, the exchange
// has not been silent for long enough by itself, but its server as a whole seems stalled. On this weaker
// evidence others are tried only if the next event can still be on time:
// otherwise it is better to wait for more evidence, because each move uses up an
// attempt. The caller holds mu.
func (x *exchange) move(now time.Time, early bool) bool {
	if x.isMoving || x.pinned || !x.writingSince.IsZero() || now.Before(x.nextMoveAt) || !x.reserveMove(now, early) {
		return false
	}
	x.isMoving = true
	x.silentFor = x.silence(now).Round(time.Millisecond)
	x.q.f.counts.movedRequests.Inc(1)
	_ = level.Info(x.q.f.Logger).Log("msg", "request is tried elsewhere, since its server seems to have stalled", "id", x.q.info.ID, "server", x.server,
		"early", early, "silent_for", x.silentFor, "events", x.eventCount,
		"since_last_response", x.q.f.chooser.SinceLastResponse(now, x.server).Round(time.Millisecond))
	a, events := x.q.answer, x.eventCount
	a.others.Go(func() { a.tryElsewhere(x, events) })
	return true
}

// reserveMove is request.reserveMove for a running exchange. Another goroutine is
// serving the request, so only fields that it does not change meanwhile are read. The
// caller holds mu.
func (x *exchange) reserveMove(now time.Time, early bool) bool {
	q := x.q
	if !q.route.Retryable() || q.hasNoRunsLeft || !q.mayRepeat() {
		return false
	}
	req := chooser.Request{
		Service: q.service, PromptTokens: q.info.PromptTokens, AllowLate: true, ExcludeSuspects: early,
		Exclude: []identifier.Server{x.server},
	}
	if q.engine != nil {
		req.Model = q.info.Model
	}
	c := q.f.chooser.Choose(now, req)
	if c.Server == nil || early && !x.meetsObjective(now, c.PredictedDelay) {
		return false
	}
	return q.reserveSend(now, c)
}

// meetsObjective reports whether the next event is on time if another server sends
// it after predictedDelay. The caller holds mu.
func (x *exchange) meetsObjective(now time.Time, predictedDelay time.Duration) bool {
	if x.hasFirstEvent() {
		return now.Sub(x.lastEventAt)+predictedDelay <= x.q.route.GapObjective
	}
	return now.Sub(x.q.receivedAt)+predictedDelay <= x.q.route.LatencyObjective
}

// Suspicion is the state of one backend server as seen from this front's requests:
// the time since its last response or event, and the number of failed connections
// since then. The tags are the field names in the JSON dump of the process.
type Suspicion struct {
	Server            identifier.Server
	SinceLastResponse time.Duration `json:"AnsweredAgo"`
	ConnectFailures   int           `json:"Unreachable"`
	// StalledRequests counts the requests that have been silent for so long that their
	// server may be stalled.
	StalledRequests int `json:"Stalled"`
}

// Suspicions returns the state of the servers as seen from this front's requests,
// sorted by server.
func (f *Forwarder) Suspicions(now time.Time) []Suspicion {
	f.mu.Lock()
	defer f.mu.Unlock()
	stalled := map[identifier.Server]int{}
	for x := range f.activeExchanges {
		if x.silence(now) > x.stallSilence() {
			stalled[x.server]++
		}
	}
	var out []Suspicion
	for id, s := range f.chooser.Suspicions(now) {
		out = append(out, Suspicion{
			Server: id, SinceLastResponse: min(s.SinceLastResponse, time.Hour), ConnectFailures: s.ConnectFailures, StalledRequests: stalled[id],
		})
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return out
}

// OwnLoads returns the load of this front's own requests at each server.
func (f *Forwarder) OwnLoads() map[identifier.Server]chooser.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.OwnLoads()
}
