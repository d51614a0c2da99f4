package isolator

import (
	"cmp"
	"slices"
	"time"
)

// Conditions of an Isolation.
const (
	// minCrashes is the number of crashes under a part after which requests with it are
	// refused. Crashes within crashSpacing count as one, because servers that end
	// together, by a loss of power for example, have another cause.
	minCrashes   = 3
	crashSpacing = 50 * time.Millisecond
	// minCrashesAtOnce is the number of crashes that need not be apart, for a part without
	// sound answers: a rare part is not at so many servers that end together by chance.
	minCrashesAtOnce = 5
	// The same for a part with sound answers within soundMemory before. Many requests have
	// such a part, and while many servers crash, some of them are being started at each.
	// For a whole request with sound answers, minCrashes is enough.
	minCrashesAfterSound   = 5
	crashSpacingAfterSound = 500 * time.Millisecond
	soundMemory            = time.Minute
	// settleTime is how long a part must be known before it is decided on, so that other
	// processes can report sound answers.
	settleTime = 300 * time.Millisecond
	// firstTrialDelay is the time from the start of an Isolation to its first trial. It
	// doubles with each further one. After sound answers within soundMemory, and if another
	// request may have caused the same crashes, it is firstTrialDelayIfDoubtful, because the
	// Isolation may be a mistake. trialDemandAge is how recently a front must have refused a
	// request to be granted a trial.
	firstTrialDelay           = 30 * time.Second
	firstTrialDelayIfDoubtful = 4 * time.Second
	trialDemandAge            = 5 * time.Second
	// idleTime is how long after the last refusal and crash an Isolation ends.
	idleTime = 5 * time.Minute
	// maxTrials bounds the trials of an Isolation.
	maxTrials = 3
	// maxPartIsolations and maxRequestIsolations bound the Isolations in force.
	maxPartIsolations    = 32
	maxRequestIsolations = 64
)

// Change is a decision: Set is to be put in force, or the Isolation of Release to end.
type Change struct {
	Set     *Isolation
	Release *Key
	// Reason says why, for the log.
	Reason string
}

// Apply returns the Isolations in force after a change.
func (c Change) Apply(inForce []Isolation) []Isolation {
	key := c.Release
	if c.Set != nil {
		key = &c.Set.Key
	}
	next := slices.DeleteFunc(slices.Clone(inForce), func(i Isolation) bool { return i.Key == *key })
	if c.Set != nil {
		next = append(next, *c.Set)
	}
	return next
}

// Decider decides on Isolations. Its zero value is ready to use.
type Decider struct {
	// nextTrialAt holds the time of the next trial of each Isolation.
	nextTrialAt map[Key]time.Time
}

// Seed adds evidence for Isolations of which the ledger knows nothing, because the
// processes that had it were restarted.
func Seed(now time.Time, l *Ledger, isolations []Isolation) {
	for _, i := range isolations {
		if l.Get(i.Key) != nil {
			continue
		}
		e := l.add(now, i.Key)
		e.Common, e.OthersSoundAt = i.Traits, now
		for n := range minCrashes {
			e.Crashes["before-restart-"+formatUint(uint64(n))] = now.Add(-time.Duration(n+1) * 2 * crashSpacing)
		}
		l.touch(now, e)
	}
}

// Decide returns the next change of the Isolations in force, or none.
func (d *Decider) Decide(now time.Time, l *Ledger, inForce []Isolation) (Change, bool) {
	if len(inForce) == 0 && l.IsEmpty() {
		d.nextTrialAt = nil
		return Change{}, false
	}
	for _, e := range causes(now, l) {
		i := slices.IndexFunc(inForce, func(i Isolation) bool { return i.Key == e.Key })
		switch {
		case i < 0 && hasRoom(inForce, e.Key.IsRequest()):
			return Change{Set: &Isolation{Key: e.Key, Traits: e.Common}, Reason: e.reason()}, true
		case i >= 0 && !inForce[i].Traits.equal(e.Common):
			next := inForce[i]
			next.Traits = e.Common
			return Change{Set: &next, Reason: "servers crashed under requests that have less in common"}, true
		}
	}
	for n := range inForce {
		if c, ok := d.review(now, l, &inForce[n]); ok {
			return c, true
		}
	}
	return Change{}, false
}

// hasRoom reports whether one more Isolation, of a request or of parts, may be put in force.
func hasRoom(inForce []Isolation, isRequest bool) bool {
	count, limit := 0, maxPartIsolations
	if isRequest {
		limit = maxRequestIsolations
	}
	for n := range inForce {
		if inForce[n].Key.IsRequest() == isRequest {
			count++
		}
	}
	return count < limit
}

// reason says why there is an Isolation, for the log.
func (e *Evidence) reason() string {
	if e.Key.IsRequest() {
		return "servers crashed under the request"
	}
	return "servers crashed at the start of answers"
}

// review decides whether an Isolation ends or gets a trial.
func (d *Decider) review(now time.Time, l *Ledger, i *Isolation) (Change, bool) {
	e := l.Get(i.Key)
	if e == nil {
		return Change{}, false
	}
	if len(e.Crashes) == 0 && !e.SoundAt.IsZero() {
		delete(d.nextTrialAt, i.Key)
		return Change{Release: &i.Key, Reason: "a request was answered"}, true
	}
	if now.Sub(e.RefusedAt) > idleTime && now.Sub(e.lastCrash()) > idleTime && now.Sub(e.knownSince) > idleTime {
		delete(d.nextTrialAt, i.Key)
		return Change{Release: &i.Key, Reason: "no such requests come any more"}, true
	}
	if d.nextTrialAt == nil {
		d.nextTrialAt = map[Key]time.Time{}
	}
	if d.nextTrialAt[i.Key].IsZero() {
		d.nextTrialAt[i.Key] = now.Add(trialDelay(i.Trials))
		if i.Trials == 0 && (e.wasSound() || l.isTied(e)) {
			d.nextTrialAt[i.Key] = now.Add(firstTrialDelayIfDoubtful)
		}
	}
	if i.Trials >= maxTrials || now.Before(d.nextTrialAt[i.Key]) || now.Sub(e.RefusedAt) > trialDemandAge {
		return Change{}, false
	}
	next := *i
	next.Trials++
	next.TrialFront = e.RefusedBy
	d.nextTrialAt[i.Key] = now.Add(trialDelay(next.Trials))
	return Change{Set: &next, Reason: "trial"}, true
}

func trialDelay(trials uint32) time.Duration {
	const maxDoublings = 10
	return firstTrialDelay << min(trials, maxDoublings)
}

// causes returns the requests and parts that must have caused crashes. The one with the most
// crashes explains all of its crashes; the crashes that are left over are evidence against others.
// Of several with as many, a request explains more than a part that others share, and what was
// never answered more than what was.
func causes(now time.Time, l *Ledger) []*Evidence {
	var all []*Evidence
	for _, e := range l.byKey {
		if len(e.Crashes) >= minCrashes && (e.Key.IsRequest() || now.Sub(e.knownSince) >= settleTime) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *Evidence) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), compareBool(b.Key.IsRequest(), a.Key.IsRequest()),
			compareBool(a.wasSound(), b.wasSound()), compareKeys(a.Key, b.Key))
	})
	explained := map[string]bool{}
	var out []*Evidence
	for len(all) > 0 {
		n := 1
		for n < len(all) && isTie(all[0], all[n]) {
			n++
		}
		tied := slices.DeleteFunc(slices.Clone(all[:n]), func(e *Evidence) bool { return !e.isCause(explained) })
		for _, e := range tied {
			for s := range e.Crashes {
				explained[s] = true
			}
		}
		out, all = append(out, tied...), all[n:]
	}
	return out
}

// isTie reports whether nothing tells which of two requests has caused crashes. A trial of each
// does.
func isTie(a, b *Evidence) bool {
	return a.Key.IsRequest() && b.Key.IsRequest() && len(a.Crashes) == len(b.Crashes) && a.wasSound() == b.wasSound()
}

// isTied reports whether another request may have caused the same crashes.
func (l *Ledger) isTied(e *Evidence) bool {
	for _, o := range l.byKey {
		if o == e || !isTie(e, o) {
			continue
		}
		for s := range o.Crashes {
			if _, same := e.Crashes[s]; same {
				return true
			}
		}
	}
	return false
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// isCause reports whether enough crashes, other than the explained ones, came one after
// the other while other requests were answered.
func (e *Evidence) isCause(explained map[string]bool) bool {
	var times []time.Time
	for s, at := range e.Crashes {
		if !explained[s] {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	if e.Key.IsRequest() && !e.wasSound() {
		return len(times) >= minCrashes
	}
	count, spacing := minCrashes, crashSpacing
	if e.wasSound() {
		spacing = crashSpacingAfterSound
		if !e.Key.IsRequest() {
			count = minCrashesAfterSound
		}
	}
	var spaced []time.Time
	for _, at := range times {
		if len(spaced) == 0 || at.Sub(spaced[len(spaced)-1]) >= spacing {
			spaced = append(spaced, at)
		}
	}
	if !e.wasSound() && len(times) >= minCrashesAtOnce && times[0].Sub(e.OthersSoundAt) < soundMemory {
		return true
	}
	if len(spaced) < count {
		return false
	}
	// Without sound answers to other requests while servers crashed, the servers
	// themselves may be the cause.
	needed := spaced[0]
	if e.wasSound() {
		needed = spaced[len(spaced)-2]
	}
	return e.OthersSoundAt.After(needed)
}

// wasSound reports whether requests with the part were answered shortly before servers
// began to crash under it.
func (e *Evidence) wasSound() bool {
	first := e.lastCrash()
	for _, at := range e.Crashes {
		if at.Before(first) {
			first = at
		}
	}
	return !e.SoundAt.IsZero() && first.Sub(e.SoundAt) < soundMemory
}
