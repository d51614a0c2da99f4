// Package withholder keeps requests from backend servers that have asked for none.
//
// A server says so in its answers. One that turns a request away may name a time in which it
// wants nothing from the process that sent it. One that leaves says that it wants nothing more; it
// goes on with the requests that it has. A Ledger holds what servers have said, as facts about one
// incarnation of a server: a new incarnation starts without them. An answer does not name its
// incarnation, and that of one which has not announced itself yet counts for the former one. So a
// statement holds for a later incarnation too, for a while, if that one had started when the answer came.
//
// Times are those of a monotonic clock that keeps running while the machine is suspended, but for the Unix
// times that starts are compared with. The package does no I/O and reads no clock.
package withholder

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// MaxWait is the longest time that a server can ask for in one answer. A longer one counts as
// MaxWait.
const MaxWait = 24 * time.Hour

// Statement is what one answer says about requests that its server does not want.
type Statement struct {
	// Wait is the time in which the server wants no request, 0 if it names none.
	Wait time.Duration
	// Leaving is set if the server leaves.
	Leaving bool
	// Unreadable is set if the answer holds a value that cannot be read. It changes nothing that
	// is known.
	Unreadable bool
	// SaidAt is when the answer came, in Unix milliseconds as the starts of incarnations. If it is 0, the
	// statement holds for no later incarnation.
	SaidAt uint64
}

// Values in which servers state whether they leave.
const (
	leavingValue = "1"
	stayingValue = "0"
)

// NewStatement returns the statement in an answer's status and header. The argument leaving holds
// the values of the header in which servers state whether they leave, which each interface names
// for itself. A server leaves if one of them is 1.
//
// Only a 503 asks to wait. Other answers may carry Retry-After too: a 429 is about one caller, and
// other statuses say nothing about the next request. The value is a number of seconds, with
// decimals, or an HTTP date, which is compared with the date of the answer, so that the clocks of
// this process and of the server need not agree. Of several values the longest time counts.
func NewStatement(status int, h http.Header, leaving []string) Statement {
	var s Statement
	for _, value := range leaving {
		switch strings.TrimSpace(value) {
		case leavingValue:
			s.Leaving = true
		case stayingValue, "":
		default:
			s.Unreadable = true
		}
	}
	if status != http.StatusServiceUnavailable {
		return s
	}
	for _, line := range h.Values("Retry-After") {
		if wait, ok := dateWait(line, h.Get("Date")); ok {
			s.Wait = max(s.Wait, wait)
			continue
		}
		for value := range strings.SplitSeq(line, ",") {
			seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil || !(seconds >= 0) || math.IsInf(seconds, 0) {
				s.Unreadable = true
				continue
			}
			s.Wait = max(s.Wait, time.Duration(min(seconds, MaxWait.Seconds())*float64(time.Second)))
		}
	}
	return s
}

// dateWait returns the time between the date of an answer and the one that it names, and false if
// one of them is no HTTP date.
func dateWait(named, sent string) (time.Duration, bool) {
	until, err := http.ParseTime(named)
	if err != nil {
		return 0, false
	}
	from, err := http.ParseTime(sent)
	if err != nil {
		return 0, false
	}
	return min(max(until.Sub(from), 0), MaxWait), true
}

// Notice is what is known of a server that wants no requests.
type Notice struct {
	Server      identifier.Server
	Incarnation identifier.Incarnation
	// Since is when the server first said so, and Until the end of the time that it named. A
	// server that leaves has no such end.
	Since, Until time.Duration
	Leaving      bool
	// LastSaid and SaidAt are when the server last said so, by the monotonic clock and in Unix
	// milliseconds.
	LastSaid time.Duration
	SaidAt   uint64
	// Source is the ID of the request whose answer named Until, or said that the server leaves.
	Source string
}

// forever is the Until of a server that leaves.
const forever = time.Duration(math.MaxInt64)

// Change is how an answer changed what is known of its server.
type Change int

// Kinds of changes.
const (
	Unchanged Change = iota
	Began
	// Extended means that the time in which the server wants nothing ends later or, as the server
	// leaves, not at all.
	Extended
)

// Ledger holds the notices of servers. Its zero value is empty. It is not safe for concurrent
// use.
type Ledger struct {
	byServer map[identifier.Server]*Notice
}

// Observe records what an answer says. The argument source is the ID of its request. The
// longest time that a server has named counts, in whatever order the answers come.
func (l *Ledger) Observe(now time.Duration, id identifier.Server, inc identifier.Incarnation, s Statement, source string) Change {
	if s.Wait <= 0 && !s.Leaving {
		return Unchanged
	}
	in := Notice{Server: id, Incarnation: inc, Since: now, Until: now + s.Wait, Leaving: s.Leaving, Source: source, LastSaid: now, SaidAt: s.SaidAt}
	if s.Leaving {
		in.Until = forever
	}
	known := l.byServer[id]
	if known != nil && known.Incarnation == inc {
		known.LastSaid, known.SaidAt = now, max(known.SaidAt, s.SaidAt)
	}
	switch {
	case known == nil || known.Incarnation < inc || known.Incarnation == inc && known.Until <= now:
		if l.byServer == nil {
			l.byServer = map[identifier.Server]*Notice{}
		}
		l.byServer[id] = &in
		return Began
	case known.Incarnation > inc || known.Until >= in.Until:
		return Unchanged
	}
	known.Until, known.Leaving, known.Source = in.Until, in.Leaving, source
	return Extended
}

// Get returns what is known of an incarnation of a server that wants no requests now, or nil. It
// is valid until the next change.
func (l *Ledger) Get(now time.Duration, id identifier.Server, inc identifier.Incarnation) *Notice {
	n := l.byServer[id]
	if n == nil || n.Until <= now || n.Incarnation != inc && !n.holdsForNext(now, inc) {
		return nil
	}
	return n
}

const (
	// clockSlack is the largest difference between the clocks of two machines that are not stepped.
	clockSlack = 500 * time.Millisecond
	// nextIncarnationTime is how long a statement holds for a later incarnation, which may not have made it.
	// One that has ends within that time, or makes it again.
	nextIncarnationTime = 30 * time.Second
)

// holdsForNext reports whether a later incarnation may have made the statement.
func (n *Notice) holdsForNext(now time.Duration, inc identifier.Incarnation) bool {
	return n.SaidAt > 0 && inc > n.Incarnation && uint64(inc) <= n.SaidAt+uint64(clockSlack.Milliseconds()) && now-n.LastSaid < nextIncarnationTime
}

// IsEmpty reports whether nothing is known of any server.
func (l *Ledger) IsEmpty() bool { return len(l.byServer) == 0 }

// Notices returns copies of the notices in force, sorted by server.
func (l *Ledger) Notices(now time.Duration) []Notice {
	var out []Notice
	for _, n := range l.byServer {
		if n.Until > now {
			out = append(out, *n)
		}
	}
	slices.SortFunc(out, func(a, b Notice) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// unknownRetention is how long the departure of a server that is not known is kept. A core process
// that has just started may not list a server for a while.
const unknownRetention = 3 * time.Minute

// Expire forgets waits that are over, and departures of servers that are not known any more.
func (l *Ledger) Expire(now time.Duration, isKnown func(identifier.Server) bool) {
	for id, n := range l.byServer {
		if n.Until <= now || n.Leaving && now-n.Since > unknownRetention && !isKnown(id) {
			delete(l.byServer, id)
		}
	}
}
