package throttler

import (
	"cmp"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Times of a Ledger.
const (
	// newsInterval is how much later a limit must be named again for that to count as news
	// for other processes.
	newsInterval = 300 * time.Millisecond
	// unknownRetention is how long a limit is kept while its server is not known. A process
	// that has just started may learn of the limit first.
	unknownRetention = 10 * time.Second
)

// Ledger holds the limits of servers. Its zero value is empty. Any two Ledgers that have
// merged the same limits, in any order, hold the same rates.
type Ledger struct {
	byServer map[identifier.Server]*Limit
	revision uint64
}

// Change is how an observation or a merge changed a limit.
type Change int

// Kinds of changes.
const (
	Unchanged Change = iota
	// Began means that the limit came into force, Ended that it no longer is, and
	// RateChanged that it has another rate.
	Began
	Ended
	RateChanged
)

// String returns the change in the words of the logs.
func (c Change) String() string {
	switch c {
	case Began:
		return "begins"
	case Ended:
		return "ends"
	case RateChanged:
		return "changes"
	}
	return "is unchanged"
}

// Observe records what an answer of a server says. The argument sentAt is when the request
// was sent.
func (l *Ledger) Observe(now time.Time, id identifier.Server, inc identifier.Incarnation, sentAt time.Time, s Statement) Change {
	in := Limit{Server: id, Incarnation: inc}
	switch s.Kind {
	case NamedLimit:
		in.Rate, in.FirstNamedAt, in.NamedAt = s.Rate, now, now
	case NoLimit:
		if l.byServer[id] == nil {
			return Unchanged
		}
		in.UnnamedSentAt = sentAt
	case UnreadableLimit:
		return Unchanged
	}
	return l.Merge(in)
}

// Merge adds what another process knows of a limit.
func (l *Ledger) Merge(in Limit) Change {
	known := l.byServer[in.Server]
	if known == nil || known.Incarnation < in.Incarnation {
		if l.byServer == nil {
			l.byServer = map[identifier.Server]*Limit{}
		}
		fresh := in
		fresh.revision, fresh.sharedNamedAt = 0, time.Time{}
		l.byServer[in.Server] = &fresh
		l.touch(&fresh)
		return changeOf(known, &fresh)
	}
	if in.Incarnation < known.Incarnation {
		return Unchanged
	}
	before := *known
	if in.NamedAt.After(known.NamedAt) {
		known.Rate, known.NamedAt = in.Rate, in.NamedAt
	}
	if in.UnnamedSentAt.After(known.UnnamedSentAt) {
		known.UnnamedSentAt = in.UnnamedSentAt
	}
	if known.InForce() && (!before.InForce() || in.InForce() && in.FirstNamedAt.Before(known.FirstNamedAt)) {
		known.FirstNamedAt = in.FirstNamedAt
	}
	change := changeOf(&before, known)
	if change != Unchanged || known.NamedAt.Sub(known.sharedNamedAt) >= newsInterval {
		l.touch(known)
	}
	return change
}

func (l *Ledger) touch(k *Limit) {
	l.revision++
	k.revision, k.sharedNamedAt = l.revision, k.NamedAt
}

// changeOf returns how a limit changed. before is nil if none was known.
func changeOf(before, after *Limit) Change {
	was := before != nil && before.InForce()
	switch {
	case !was && after.InForce():
		return Began
	case was && !after.InForce():
		return Ended
	case was && before.Rate != after.Rate:
		return RateChanged
	}
	return Unchanged
}

// Get returns the limit of an incarnation of a server, or nil if none is in force. It is
// valid until the next change.
func (l *Ledger) Get(id identifier.Server, inc identifier.Incarnation) *Limit {
	k := l.byServer[id]
	if k == nil || k.Incarnation != inc || !k.InForce() {
		return nil
	}
	return k
}

// Last returns what is known of a server's limit, also if it has ended, or nil. It is valid
// until the next change.
func (l *Ledger) Last(id identifier.Server) *Limit { return l.byServer[id] }

// Limits returns copies of the limits in force, sorted by server.
func (l *Ledger) Limits() []Limit {
	return l.filter(func(k *Limit) bool { return k.InForce() })
}

// Revision returns the number of changes so far.
func (l *Ledger) Revision() uint64 { return l.revision }

// ChangedSince returns copies of the limits that have changed after a revision, those that
// have ended included.
func (l *Ledger) ChangedSince(revision uint64) []Limit {
	return l.filter(func(k *Limit) bool { return k.revision > revision })
}

func (l *Ledger) filter(match func(*Limit) bool) []Limit {
	var out []Limit
	for _, k := range l.byServer {
		if match(k) {
			out = append(out, *k)
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Expire forgets limits of servers that are not known any more. Limits that have ended are
// remembered until then, so that delayed reports do not bring them back.
func (l *Ledger) Expire(now time.Time, isKnown func(identifier.Server) bool) {
	for id, k := range l.byServer {
		if !isKnown(id) && now.Sub(k.NamedAt) > unknownRetention {
			delete(l.byServer, id)
		}
	}
}
