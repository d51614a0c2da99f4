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
	minCrashesAfterSound   = 5
	crashSpacingAfterSound = 500 * time.Millisecond
	soundMemory            = time.Minute
	// settleTime is how long a part must be known before it is decided on, so that other
	// processes can report sound answers.
	settleTime = 300 * time.Millisecond
	// firstTrialDelay is the time from the start of an Isolation to its first trial. It
	// doubles with each further one. After sound answers within soundMemory it is
	// firstTrialDelayAfterSound, because the Isolation may be a mistake. trialDemandAge is how recently a front must have
	// refused a request to be granted a trial.
	firstTrialDelay           = 30 * time.Second
	firstTrialDelayAfterSound = 4 * time.Second
	trialDemandAge            = 5 * time.Second
	// idleTime is how long after the last refusal and crash an Isolation ends.
	idleTime = 5 * time.Minute
	// maxIsolations bounds the Isolations in force.
	maxIsolations = 32
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
		case i < 0 && len(inForce) < maxIsolations:
			return Change{Set: &Isolation{Key: e.Key, Traits: e.Common}, Reason: "servers crashed at the start of answers"}, true
		case i >= 0 && !inForce[i].Traits.equal(e.Common):
			next := inForce[i]
			next.Traits = e.Common
			return Change{Set: &next, Reason: "servers crashed under requests that have less in common"}, true
		}
	}
	for n := range inForce {
		if c, ok := d.review(now, l.Get(inForce[n].Key), &inForce[n]); ok {
			return c, true
		}
	}
	return Change{}, false
}

// review decides whether an Isolation ends or gets a trial.
func (d *Decider) review(now time.Time, e *Evidence, i *Isolation) (Change, bool) {
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
		if i.Trials == 0 && e.wasSound() {
			d.nextTrialAt[i.Key] = now.Add(firstTrialDelayAfterSound)
		}
	}
	if now.Before(d.nextTrialAt[i.Key]) || now.Sub(e.RefusedAt) > trialDemandAge {
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

// causes returns the parts that must have caused crashes. The part with the most crashes
// explains all of its crashes; the crashes that are left over are evidence against others.
func causes(now time.Time, l *Ledger) []*Evidence {
	var all []*Evidence
	for _, e := range l.byKey {
		if len(e.Crashes) >= minCrashes && now.Sub(e.knownSince) >= settleTime {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *Evidence) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), compareKeys(a.Key, b.Key))
	})
	explained := map[string]bool{}
	var out []*Evidence
	for _, e := range all {
		if !e.isCause(explained) {
			continue
		}
		out = append(out, e)
		for s := range e.Crashes {
			explained[s] = true
		}
	}
	return out
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
	count, spacing := minCrashes, crashSpacing
	if e.wasSound() {
		count, spacing = minCrashesAfterSound, crashSpacingAfterSound
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
