package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
)

const (
	// soundEvents is the number of events after which the server of an answer is taken
	// not to crash at its start.
	soundEvents = 2
	// staleConnTime is the time after which a request on a reused connection that the
	// server had already dropped has failed: a round trip within a region.
	staleConnTime = 25 * time.Millisecond
	// isolationRetryAfter is the Retry-After of a request that is kept from servers. It
	// is the time to the first trial.
	isolationRetryAfter = 30 * time.Second
	// maxTrialStateAge is the age of this front's state from which it makes no trial,
	// because another front may have been granted one since.
	maxTrialStateAge = 1500 * time.Millisecond
	outcomeIsolated  = "isolated"
)

// isolationState is what a front knows of requests that crash servers. The Forwarder's mu
// guards it.
type isolationState struct {
	ledger     isolator.Ledger
	isolations []isolator.Isolation
	// usedTrials holds the number of the last trial of each isolation that this front has
	// made.
	usedTrials map[isolator.Key]uint32
}

// EvidenceSince returns the evidence about requests that crash servers that has changed
// after a revision, and the current revision.
func (f *Forwarder) EvidenceSince(revision uint64) ([]isolator.Evidence, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolation.ledger.Expire(time.Now(), f.isolation.isolations)
	return f.isolation.ledger.ChangedSince(revision), f.isolation.ledger.Revision()
}

// CrashEvidence returns all evidence about requests that crash servers, for the state dump.
func (f *Forwarder) CrashEvidence() []isolator.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolation.ledger.ChangedSince(0)
}

// MergeEvidence adds the evidence of another process.
func (f *Forwarder) MergeEvidence(now time.Time, e isolator.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolation.ledger.Merge(now, e)
}

// SetIsolations replaces the isolations in force. Requests that they cover are taken from their
// servers, but for those whose answer has gone on, and those of which a part of the prompt is the
// reason and that have received an event.
func (f *Forwarder) SetIsolations(next []isolator.Isolation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := &f.isolation
	for _, i := range next {
		if !slices.ContainsFunc(st.isolations, func(o isolator.Isolation) bool { return o.Equal(&i) }) {
			_ = level.Info(f.Logger).Log("msg", "isolation in force", "service", i.Key.Service, "part", i.Key.Part, "digest", i.Key.Request.Short(),
				"parts", joinIDs(i.Traits.Parts), "team", i.Traits.Team, "model", i.Traits.Model, "trials", i.Trials, "trial_front", i.TrialFront)
		}
	}
	for _, o := range st.isolations {
		if !slices.ContainsFunc(next, func(i isolator.Isolation) bool { return i.Key == o.Key }) {
			delete(st.usedTrials, o.Key)
			_ = level.Info(f.Logger).Log("msg", "isolation has ended", "service", o.Key.Service, "part", o.Key.Part, "digest", o.Key.Request.Short())
		}
	}
	st.isolations = next
	for x := range f.activeExchanges {
		i := x.q.isolation()
		if i == nil || x.q.isTrial || x.hasFirstEvent() && !i.Key.IsRequest() || x.hasGoneOn() {
			continue
		}
		x.isolated = true
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	}
}

// hasGoneOn reports whether the answer has gone on: it has soundEvents or, if it is plain, a byte of its body. Its server is at
// work on it, and may well not crash: what an isolation says of a request need not be so. The caller holds mu.
func (x *exchange) hasGoneOn() bool {
	return x.eventCount >= soundEvents || x.q.route.Kind != cataloger.Stream && x.lastEventAt.After(x.sentAt)
}

// isolation returns the isolation that covers the request, or nil. The caller holds mu.
func (q *request) isolation() *isolator.Isolation {
	for n := range q.f.isolation.isolations {
		if i := &q.f.isolation.isolations[n]; i.Covers(q.service, q.traits(), q.digest()) {
			return i
		}
	}
	return nil
}

// traits returns the properties by which requests that crash servers are recognized.
func (q *request) traits() isolator.Traits {
	if q.cachedTraits == nil {
		t := isolator.NewTraits(q.teamName(), q.info.Model, q.info.PromptParts)
		q.cachedTraits = &t
	}
	return *q.cachedTraits
}

// digest returns the name of the request's content. The body has been read before.
func (q *request) digest() identifier.RequestDigest {
	if q.cachedDigest == "" {
		content := isolator.RequestContent{
			Method: q.r.Method, Path: q.r.RequestURI, Team: q.teamName(), Model: q.info.Model, Prompt: q.info.Prompt, Body: q.body,
		}
		q.cachedDigest = content.Digest()
	}
	return q.cachedDigest
}

// admit reports whether the request may be sent to servers. If an isolation covers it,
// that is only the case for a trial. The caller holds mu.
func (q *request) admit(now time.Time) bool {
	if !q.isRefused(now) {
		return true
	}
	f := q.f
	st := &f.isolation
	key := isolator.Key{Service: q.service, Request: q.digest()}
	if i := q.isolation(); i != nil {
		age, ever := f.SinceConfirmed()
		if i.TrialFront == f.Self && i.Trials > st.usedTrials[i.Key] && ever && age < maxTrialStateAge {
			if st.usedTrials == nil {
				st.usedTrials = map[isolator.Key]uint32{}
			}
			st.usedTrials[i.Key] = i.Trials
			q.isTrial = true
			_ = level.Info(f.Logger).Log("msg", "request is let through as a trial", "id", q.info.ID, "service", i.Key.Service, "part", i.Key.Part,
				"digest", i.Key.Request.Short(), "trials", i.Trials)
			return true
		}
		key = i.Key
	}
	st.ledger.RecordRefusal(now, key, f.Self)
	f.counts.isolated.Inc(1)
	return false
}

// isRefused reports whether servers crash under such requests: an isolation covers the request, or
// enough servers have crashed under it. Trials are not refused. The caller holds mu.
func (q *request) isRefused(now time.Time) bool {
	st := &q.f.isolation
	if q.isTrial || len(st.isolations) == 0 && st.ledger.IsEmpty() {
		return false
	}
	return q.isolation() != nil || st.ledger.Blames(now, q.service, q.digest())
}

// returnTrial lets this front make a trial again that has not reached a server.
func (q *request) returnTrial() {
	if !q.isTrial || q.possibleRuns > 0 {
		return
	}
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	if i := q.isolation(); i != nil && q.f.isolation.usedTrials[i.Key] == i.Trials {
		q.f.isolation.usedTrials[i.Key]--
	}
}

// mayRepeat reports whether the request may be sent to another server after one that may
// have run it. A request that may have crashed a server is not sent again if another one has
// crashed under it or under a part of its prompt. The caller holds mu.
func (q *request) mayRepeat() bool {
	if q.isTrial || q.isRefused(time.Now()) {
		return false
	}
	r := isolator.Run{Service: q.service, Request: q.digest(), Server: q.crashedServer}
	if q.crashedAtStart {
		r.Traits = q.traits()
	}
	return q.crashedServer == "" || !q.f.isolation.ledger.IsSuspect(r)
}

func (x *exchange) run() isolator.Run {
	return isolator.Run{Service: x.q.service, Traits: x.q.traits(), Request: x.q.digest(), Server: x.serverName, SentAt: x.sentAt}
}

// What is made of an answer that broke off, in the log.
const (
	evidenceRecorded    = "crash"
	evidenceUnconfirmed = "crash_if_server_is_gone"
)

// recordCrash records an answer that broke off, and returns what was made of it. The caller holds
// mu.
func (x *exchange) recordCrash(now time.Time) string {
	atStart := x.eventCount < soundEvents
	x.q.crashedServer, x.q.crashedAtStart = x.serverName, atStart
	if x.conn.Reused && x.resp == nil && now.Sub(x.sentAt) < staleConnTime {
		go x.q.f.confirmCrash(x.address, x.run(), atStart)
		return evidenceUnconfirmed
	}
	x.q.f.isolation.ledger.RecordCrash(now, x.run(), atStart)
	return evidenceRecorded
}

// confirmCrash records a crash if the server cannot be reached any more. A server that only
// dropped an idle connection can.
func (f *Forwarder) confirmCrash(address string, r isolator.Run, atStart bool) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if c, err := f.Pool.Dial(ctx, address); err == nil {
		_ = c.Close()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolation.ledger.RecordCrash(time.Now(), r, atStart)
}

// recordSound records once that the answer began and went on. The caller holds mu.
func (x *exchange) recordSound(now time.Time) {
	if x.sound || len(x.q.info.PromptParts) == 0 && x.q.f.isolation.ledger.IsEmpty() {
		return
	}
	x.sound = true
	beganAt := x.firstEventAt
	if beganAt.IsZero() {
		beganAt = now
	}
	x.q.f.isolation.ledger.RecordSound(now, beganAt, x.run())
}

// isolationCount returns the number of isolations in force.
func (f *Forwarder) isolationCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.isolation.isolations))
}

// evidenceCount returns the number of requests and parts under which servers have crashed.
func (f *Forwarder) evidenceCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(f.isolation.ledger.CrashCount())
}
