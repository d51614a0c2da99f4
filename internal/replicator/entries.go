package replicator

// entryLog holds the log entries in memory. Older entries have been compacted
// into a snapshot.
type entryLog struct {
	// baseIndex and baseTerm belong to the entry before the first one held.
	baseIndex Index
	baseTerm  Term
	entries   []Entry
}

func (l *entryLog) firstIndex() Index { return l.baseIndex + 1 }

func (l *entryLog) lastIndex() Index { return l.baseIndex + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of entry i. It returns false if the term is not known
// because the entry has been compacted or does not exist.
func (l *entryLog) term(i Index) (Term, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if i < l.baseIndex || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

// slice returns those entries from lo to hi, both included, that the log holds.
func (l *entryLog) slice(lo, hi Index) []Entry {
	if lo < l.firstIndex() {
		lo = l.firstIndex()
	}
	if hi > l.lastIndex() {
		hi = l.lastIndex()
	}
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.baseIndex-1 : hi-l.baseIndex : hi-l.baseIndex]
}

// truncateFrom drops entry i and all later entries.
func (l *entryLog) truncateFrom(i Index) {
	if i <= l.lastIndex() && i > l.baseIndex {
		n := i - l.baseIndex - 1
		l.entries = l.entries[:n:n]
	}
}

// compactUpTo drops all entries up to and including i.
func (l *entryLog) compactUpTo(i Index) {
	t, ok := l.term(i)
	if !ok || i <= l.baseIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = i, t
}

// reset drops all entries; the next one follows entry i, whose term is t.
func (l *entryLog) reset(i Index, t Term) {
	l.baseIndex, l.baseTerm, l.entries = i, t, nil
}

// isUpToDate reports whether a log whose last entry has index i and term t is at
// least as up to date as l: the higher term wins, then the higher index.
func (l *entryLog) isUpToDate(i Index, t Term) bool {
	if t != l.lastTerm() {
		return t > l.lastTerm()
	}
	return i >= l.lastIndex()
}
