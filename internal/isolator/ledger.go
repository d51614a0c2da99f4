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
	// maxEvidence bounds the parts in a Ledger, and maxCrashes the crashes of each.
	maxEvidence = 64
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

// Ledger holds the evidence about parts of prompts. Its zero value is empty.
type Ledger struct {
	byKey    map[Key]*Evidence
	revision uint64
	// soundHistory holds when answers to requests with a part last began that went on.
	soundHistory history
	// lastSound holds the same for all requests of a model.
	lastSound map[serviceModel]time.Time
}

type serviceModel struct {
	service identifier.Service
	model   string
}

// history holds a time for each of the parts that were recorded last.
type history struct {
	recent, older map[Key]time.Time
}

// maxHistory is the number of parts of which at least the times are kept.
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

// IsEmpty reports whether nothing is known of any part.
func (l *Ledger) IsEmpty() bool { return len(l.byKey) == 0 }

// Get returns the evidence about a part, or nil. It is valid until the next change.
func (l *Ledger) Get(k Key) *Evidence { return l.byKey[k] }

// ChangedSince returns copies of the evidence that has changed after a revision.
func (l *Ledger) ChangedSince(revision uint64) []Evidence {
	var out []Evidence
	for _, e := range l.byKey {
		if e.revision > revision {
			c := *e
			c.Crashes, c.Alive = maps.Clone(e.Crashes), maps.Clone(e.Alive)
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int { return compareKeys(a.Key, b.Key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part))
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func (l *Ledger) touch(now time.Time, e *Evidence) {
	l.revision++
	e.revision, e.changedAt = l.revision, now
}

// add returns the evidence about a part, which it creates if there is none.
func (l *Ledger) add(now time.Time, k Key) *Evidence {
	if e := l.byKey[k]; e != nil {
		return e
	}
	if l.byKey == nil {
		l.byKey = map[Key]*Evidence{}
	}
	if len(l.byKey) >= maxEvidence {
		l.evict()
	}
	e := &Evidence{Key: k, Crashes: map[string]time.Time{}, SoundAt: l.soundHistory.get(k), knownSince: now}
	l.byKey[k] = e
	return e
}

// evict removes the part with the fewest crashes, of several the one that changed first.
func (l *Ledger) evict() {
	var worst *Evidence
	for _, e := range l.byKey {
		if worst == nil || cmp.Or(cmp.Compare(len(e.Crashes), len(worst.Crashes)), e.changedAt.Compare(worst.changedAt), compareKeys(e.Key, worst.Key)) < 0 {
			worst = e
		}
	}
	delete(l.byKey, worst.Key)
}

// RecordCrash records that a server ended the connection at the start of its answer to a
// request.
func (l *Ledger) RecordCrash(now time.Time, r Run) {
	for _, p := range r.Traits.Parts {
		e := l.add(now, Key{r.Service, p})
		if e.OthersSoundAt.IsZero() && e.SoundAt.IsZero() {
			e.OthersSoundAt = l.lastSound[serviceModel{r.Service, r.Traits.Model}]
		}
		e.setSound(l.soundHistory.get(e.Key))
		e.addCrash(r.Server, now, r.Traits)
		l.touch(now, e)
	}
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
		// The connection to this server has ended for another reason than a crash.
		if at, found := e.Crashes[r.Server]; found && at.Before(beganAt) {
			e.disprove(r.Server)
			l.touch(now, e)
		}
		if _, has := slices.BinarySearch(r.Traits.Parts, k.Part); has {
			// Without crashes a sound answer is no news. The history has it.
			if beganAt.After(e.SoundAt) && len(e.Crashes) > 0 {
				e.setSound(beganAt)
				l.touch(now, e)
			}
			continue
		}
		sameModel := e.Common.Model == "" || e.Common.Model == r.Traits.Model
		if sameModel && e.setOthersSound(beganAt) {
			l.touch(now, e)
		}
	}
}

// maxModels is the number of models of which lastSound is kept.
const maxModels = 256

func (l *Ledger) recordHistory(beganAt time.Time, r Run) {
	for _, p := range r.Traits.Parts {
		l.soundHistory.record(Key{r.Service, p}, beganAt)
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
		// The others are told if requests with the part were answered here.
		e.setSound(l.soundHistory.get(in.Key))
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

// Expire forgets parts about which nothing new has been heard for long. It keeps those
// that an Isolation names.
func (l *Ledger) Expire(now time.Time, isolations []Isolation) {
	for k, e := range l.byKey {
		ttl := soundTTL
		if len(e.Crashes) > 0 {
			ttl = evidenceTTL
		}
		isolated := slices.ContainsFunc(isolations, func(i Isolation) bool { return i.Key == k })
		if !isolated && now.Sub(e.changedAt) > ttl && now.Sub(e.lastCrash()) > ttl {
			delete(l.byKey, k)
		}
	}
}

// IsSuspect reports whether servers other than the given one have crashed under a part of
// a request without a sound answer since.
func (l *Ledger) IsSuspect(s identifier.Service, t Traits, except string) bool {
	return slices.ContainsFunc(t.Parts, func(p identifier.PromptPart) bool {
		e := l.byKey[Key{s, p}]
		if e == nil {
			return false
		}
		others := len(e.Crashes)
		if _, found := e.Crashes[except]; found {
			others--
		}
		return others > 0
	})
}
