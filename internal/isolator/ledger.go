package isolator

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Limits of a Ledger.
const (
	// maxParts and maxRequests bound the evidence in a Ledger, and maxCrashes the crashes in
	// each.
	maxParts    = 64
	maxRequests = 512
	maxCrashes  = 12
	// evidenceTTL is how long after the last crash under a part it is remembered.
	evidenceTTL = 5 * time.Minute
	// soundTTL is how long a part without crashes is remembered, so that older reports of
	// crashes do not count again.
	soundTTL = 5 * time.Second
	// refusalInterval is how often the time of a refusal is renewed.
	refusalInterval = 2 * time.Second
	// minAdvance is how much later a time must be to count as news.
	minAdvance = 200 * time.Millisecond
)

// Ledger holds the evidence about parts of prompts and requests. Its zero value is empty.
type Ledger struct {
	byKey    map[Key]*Evidence
	revision uint64
	// requestCount is the number of requests in byKey.
	requestCount int
	// soundHistory holds when answers to requests with a part last began that went on, and
	// completeHistory when complete answers to requests last ended.
	soundHistory, completeHistory history
	// lastSound holds the same for all requests of a model.
	lastSound map[serviceModel]time.Time
}

type serviceModel struct {
	service identifier.Service
	model   string
}

// history holds a time for each of the keys that were recorded last.
type history struct {
	recent, older map[Key]time.Time
}

// maxHistory is the number of keys of which at least the times are kept.
const maxHistory = 2048

func (h *history) record(k Key, at time.Time) {
	if h.recent == nil || len(h.recent) >= maxHistory {
		h.recent, h.older = map[Key]time.Time{}, h.recent
	}
	h.recent[k] = at
}

func (h *history) get(k Key) time.Time {
	if at, found := h.recent[k]; found {
		return at
	}
	return h.older[k]
}

// Revision returns the number of changes so far.
func (l *Ledger) Revision() uint64 { return l.revision }

// IsEmpty reports whether there is no evidence.
func (l *Ledger) IsEmpty() bool { return len(l.byKey) == 0 }

// CrashCount returns the number of requests and parts under which servers have crashed.
func (l *Ledger) CrashCount() int {
	n := 0
	for _, e := range l.byKey {
		n += min(len(e.Crashes), 1)
	}
	return n
}

// Get returns the evidence under a key, or nil. It is valid until the next change.
func (l *Ledger) Get(k Key) *Evidence { return l.byKey[k] }

// ChangedSince returns copies of the evidence that has changed after a revision.
func (l *Ledger) ChangedSince(revision uint64) []Evidence {
	return l.changedSince(revision, func(*Evidence) bool { return true })
}

// SharedSince is ChangedSince without the requests under which no second server has crashed, but
// for those that have changed after the revision singlesSince. They are the requests that were at
// a server when it crashed, and only where the evidence of all processes is added up one of them
// can turn out to be the cause.
func (l *Ledger) SharedSince(revision, singlesSince uint64) []Evidence {
	return l.changedSince(revision, func(e *Evidence) bool {
		isSingle := e.Key.IsRequest() && e.mostCrashes <= 1 && e.RefusedAt.IsZero()
		return !isSingle || e.revision > singlesSince
	})
}

func (l *Ledger) changedSince(revision uint64, include func(*Evidence) bool) []Evidence {
	var out []Evidence
	for _, e := range l.byKey {
		if e.revision > revision && include(e) {
			c := *e
			c.Crashes, c.Alive = maps.Clone(e.Crashes), maps.Clone(e.Alive)
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int { return compareKeys(a.Key, b.Key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Request, b.Request))
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func (l *Ledger) touch(now time.Time, e *Evidence) {
	l.revision++
	e.revision, e.changedAt = l.revision, now
	e.mostCrashes = max(e.mostCrashes, len(e.Crashes))
}

// sound returns when requests under a key were last answered here, as far as that is known.
func (l *Ledger) sound(k Key) time.Time {
	if k.IsRequest() {
		return l.completeHistory.get(k)
	}
	return l.soundHistory.get(k)
}

// add returns the evidence under a key, which it creates if there is none.
func (l *Ledger) add(now time.Time, k Key) *Evidence {
	if e := l.byKey[k]; e != nil {
		return e
	}
	if l.byKey == nil {
		l.byKey = map[Key]*Evidence{}
	}
	count, limit := len(l.byKey)-l.requestCount, maxParts
	if k.IsRequest() {
		count, limit = l.requestCount, maxRequests
	}
	if count >= limit {
		l.evict(k.IsRequest())
	}
	e := &Evidence{Key: k, Crashes: map[string]time.Time{}, SoundAt: l.sound(k), knownSince: now}
	l.byKey[k] = e
	if k.IsRequest() {
		l.requestCount++
	}
	return e
}

func (l *Ledger) remove(k Key) {
	delete(l.byKey, k)
	if k.IsRequest() {
		l.requestCount--
	}
}

// evict removes the request or part with the fewest crashes, of several the one that changed
// first.
func (l *Ledger) evict(isRequest bool) {
	var worst *Evidence
	for k, e := range l.byKey {
		if k.IsRequest() != isRequest {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(len(e.Crashes), len(worst.Crashes)), e.changedAt.Compare(worst.changedAt), compareKeys(e.Key, worst.Key)) < 0 {
			worst = e
		}
	}
	l.remove(worst.Key)
}

// RecordCrash records that a server ended the connection within its answer to a request. The
// parts of the prompt count only if that was at the start of the answer.
func (l *Ledger) RecordCrash(now time.Time, r Run, atStart bool) {
	if r.Request != "" {
		l.recordCrash(now, r.key(), r, Traits{})
	}
	if !atStart {
		return
	}
	for _, p := range r.Traits.Parts {
		l.recordCrash(now, Key{Service: r.Service, Part: p}, r, r.Traits)
	}
}

func (l *Ledger) recordCrash(now time.Time, k Key, r Run, common Traits) {
	e := l.add(now, k)
	if e.OthersSoundAt.IsZero() && e.SoundAt.IsZero() {
		e.OthersSoundAt = l.lastSound[serviceModel{r.Service, r.Traits.Model}]
	}
	e.setSound(l.sound(k))
	e.addCrash(r.Server, now, common)
	l.touch(now, e)
}

// addCrash adds a crash to the evidence, and reports whether anything changed.
func (e *Evidence) addCrash(server string, at time.Time, t Traits) bool {
	if !at.After(e.SoundAt) || e.Alive[server] {
		return false
	}
	before := e.Common
	if len(e.Crashes) == 0 {
		e.Common = t
	} else {
		e.Common = e.Common.common(t)
	}
	changed := !before.equal(e.Common)
	if known, found := e.Crashes[server]; found {
		// The same crash, as another process reports it.
		if known.Sub(at) > minAdvance {
			e.Crashes[server] = at
			return true
		}
		return changed
	}
	if len(e.Crashes) >= maxCrashes && !e.dropCrashBefore(at) {
		return changed
	}
	e.Crashes[server] = at
	return true
}

// dropCrashBefore forgets the first crash if it was before a time, and reports whether it
// did.
func (e *Evidence) dropCrashBefore(at time.Time) bool {
	first := slices.MinFunc(slices.Collect(maps.Keys(e.Crashes)), func(a, b string) int {
		return cmp.Or(e.Crashes[a].Compare(e.Crashes[b]), cmp.Compare(a, b))
	})
	if !e.Crashes[first].Before(at) {
		return false
	}
	delete(e.Crashes, first)
	return true
}

// disprove records that a server that seemed to have crashed lives.
func (e *Evidence) disprove(server string) {
	if e.Alive == nil {
		e.Alive = map[string]bool{}
	}
	if len(e.Alive) < maxCrashes {
		e.Alive[server] = true
	}
	delete(e.Crashes, server)
	if len(e.Crashes) == 0 {
		e.Common = Traits{}
	}
}

// RecordSound records that the answer to a request began at a time and went on.
func (l *Ledger) RecordSound(now, beganAt time.Time, r Run) {
	l.recordHistory(beganAt, r)
	for k, e := range l.byKey {
		if k.Service != r.Service {
			continue
		}
		// The connection to this server has ended for another reason than a crash: it has
		// answered a request that was sent later.
		if at, found := e.Crashes[r.Server]; found && at.Before(r.SentAt) {
			e.disprove(r.Server)
			l.touch(now, e)
		}
		if _, has := slices.BinarySearch(r.Traits.Parts, k.Part); has && !k.IsRequest() {
			// Without crashes a sound answer is no news. The history has it.
			if beganAt.After(e.SoundAt) && len(e.Crashes) > 0 {
				e.setSound(beganAt)
				l.touch(now, e)
			}
			continue
		}
		sameModel := e.Common.Model == "" || e.Common.Model == r.Traits.Model
		isSame := k.IsRequest() && k.Request == r.Request
		if sameModel && !isSame && e.setOthersSound(beganAt) {
			l.touch(now, e)
		}
	}
}

// RecordComplete records that the complete answer to a request has ended.
func (l *Ledger) RecordComplete(now time.Time, r Run) {
	if r.Request == "" {
		return
	}
	l.completeHistory.record(r.key(), now)
	if e := l.byKey[r.key()]; e != nil && len(e.Crashes) > 0 {
		e.setSound(now)
		l.touch(now, e)
	}
}

// maxModels is the number of models of which lastSound is kept.
const maxModels = 256

func (l *Ledger) recordHistory(beganAt time.Time, r Run) {
	for _, p := range r.Traits.Parts {
		l.soundHistory.record(Key{Service: r.Service, Part: p}, beganAt)
	}
	if l.lastSound == nil || len(l.lastSound) >= maxModels {
		l.lastSound = map[serviceModel]time.Time{}
	}
	l.lastSound[serviceModel{r.Service, r.Traits.Model}] = beganAt
}

// RecordRefusal records that a front refused a request because of an Isolation.
func (l *Ledger) RecordRefusal(now time.Time, k Key, front identifier.VM) {
	e := l.add(now, k)
	if now.Sub(e.RefusedAt) > refusalInterval {
		e.RefusedAt, e.RefusedBy = now, front
		l.touch(now, e)
	}
}

// Merge adds the evidence of another process.
func (l *Ledger) Merge(now time.Time, in Evidence) {
	e := l.byKey[in.Key]
	if e == nil {
		if len(in.Crashes) == 0 && in.RefusedAt.IsZero() {
			return
		}
		e = l.add(now, in.Key)
	}
	changed := false
	crashed := len(in.Crashes) > 0 || len(e.Crashes) > 0
	if crashed {
		// The others are told if such requests were answered here.
		e.setSound(l.sound(in.Key))
		changed = e.SoundAt.Sub(in.SoundAt) > minAdvance
		changed = in.SoundAt.Sub(e.SoundAt) > minAdvance && e.setSound(in.SoundAt) || changed
	}
	for s := range in.Alive {
		_, crashed := e.Crashes[s]
		if crashed || !e.Alive[s] && len(e.Alive) < maxCrashes {
			e.disprove(s)
			changed = true
		}
	}
	for _, s := range slices.Sorted(maps.Keys(in.Crashes)) {
		changed = e.addCrash(s, in.Crashes[s], in.Common) || changed
	}
	changed = e.setOthersSound(in.OthersSoundAt) || changed
	if in.RefusedAt.Sub(e.RefusedAt) > refusalInterval {
		e.RefusedAt, e.RefusedBy = in.RefusedAt, in.RefusedBy
		changed = true
	}
	if changed {
		l.touch(now, e)
	}
}

// Expire forgets evidence of which nothing new has been heard for long. It keeps that for which
// there is an Isolation.
func (l *Ledger) Expire(now time.Time, isolations []Isolation) {
	for k, e := range l.byKey {
		ttl := soundTTL
		if len(e.Crashes) > 0 {
			ttl = evidenceTTL
		}
		isolated := slices.ContainsFunc(isolations, func(i Isolation) bool { return i.Key == k })
		if !isolated && now.Sub(e.changedAt) > ttl && now.Sub(e.lastCrash()) > ttl {
			l.remove(k)
		}
	}
}

// IsSuspect reports whether servers other than the given one have crashed under a request, or
// under a part of it, without a sound answer since.
func (l *Ledger) IsSuspect(r Run) bool {
	if l.hasOtherCrash(r.key(), r.Server) {
		return true
	}
	return slices.ContainsFunc(r.Traits.Parts, func(p identifier.PromptPart) bool {
		return l.hasOtherCrash(Key{Service: r.Service, Part: p}, r.Server)
	})
}

// hasOtherCrash reports whether another server than the given one has crashed under a key.
func (l *Ledger) hasOtherCrash(k Key, server string) bool {
	e := l.byKey[k]
	if e == nil {
		return false
	}
	others := len(e.Crashes)
	if _, found := e.Crashes[server]; found {
		others--
	}
	return others > 0
}

// Blames reports whether so many servers have crashed under a whole request that it is refused
// before the decision of an Isolation.
func (l *Ledger) Blames(now time.Time, s identifier.Service, d identifier.RequestDigest) bool {
	e := l.byKey[Key{Service: s, Request: d}]
	return e != nil && len(e.Crashes) >= minCrashes && slices.Contains(causes(now, l), e)
}

// Snapshot returns copies of the evidence of crashes that is to outlive a restart, at most limit
// of them: first that of most crashes, then the latest.
func (l *Ledger) Snapshot(limit int) []Evidence {
	all := l.ChangedSince(0)
	all = slices.DeleteFunc(all, func(e Evidence) bool { return len(e.Crashes) == 0 })
	slices.SortStableFunc(all, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), b.changedAt.Compare(a.changedAt))
	})
	return all[:min(len(all), limit)]
}
