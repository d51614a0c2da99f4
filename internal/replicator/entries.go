package replicator

// entryLog is the part of the log after the last snapshot.
type entryLog struct {
	// base is the last entry that the snapshot covers.
	base     Index
	baseTerm Term
	entries  []Entry
}

func (l *entryLog) first() Index { return l.base + 1 }

func (l *entryLog) last() Index { return l.base + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i, and false when the log does not hold it.
func (l *entryLog) term(i Index) (Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// slice returns the entries from lo to hi, both included.
func (l *entryLog) slice(lo, hi Index) []Entry {
	if lo < l.first() {
		lo = l.first()
	}
	if hi > l.last() {
		hi = l.last()
	}
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
}

// truncate drops entry i and all after it.
func (l *entryLog) truncate(i Index) {
	if i <= l.last() && i > l.base {
		n := i - l.base - 1
		l.entries = l.entries[:n:n]
	}
}

// compact drops every entry up to i.
func (l *entryLog) compact(i Index) {
	t, ok := l.term(i)
	if !ok || i <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// reset empties the log so that it starts after i.
func (l *entryLog) reset(i Index, t Term) {
	l.base, l.baseTerm, l.entries = i, t, nil
}

// upToDate reports whether a log that ends at (i, t) holds at least as much as
// this one by Raft's comparison.
func (l *entryLog) upToDate(i Index, t Term) bool {
	if t != l.lastTerm() {
		return t > l.lastTerm()
	}
	return i >= l.last()
}
