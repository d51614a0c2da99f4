package replicator

// entryLog is the part of the log after the last snapshot.
type entryLog struct {
	// base is the last entry that the snapshot covers.
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

// term returns the term of entry i, and false when the log does not hold it.
func (l *entryLog) term(i Index) (Term, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if i < l.baseIndex || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

// slice returns the entries from lo to hi, both included.
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

// truncate drops entry i and all after it.
func (l *entryLog) truncateFrom(i Index) {
	if i <= l.lastIndex() && i > l.baseIndex {
		n := i - l.baseIndex - 1
		l.entries = l.entries[:n:n]
	}
}

// compact drops every entry up to i.
func (l *entryLog) compactUpTo(i Index) {
	t, ok := l.term(i)
	if !ok || i <= l.baseIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = i, t
}

// reset empties the log so that it starts after i.
func (l *entryLog) reset(i Index, t Term) {
	l.baseIndex, l.baseTerm, l.entries = i, t, nil
}

// upToDate reports whether a log that ends at (i, t) holds at least as much as
// this one by Raft's comparison.
func (l *entryLog) isUpToDate(i Index, t Term) bool {
	if t != l.lastTerm() {
		return t > l.lastTerm()
	}
	return i >= l.lastIndex()
}
