package forwarder

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/chooser"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/internal/tracker"
	"trefoilhead.org/trefoilhead/internal/withholder"
)

const (
	// unreadableLogInterval is the shortest time between two log lines about statements of
	// servers that cannot be read.
	unreadableLogInterval = time.Second
	// withdrawalLogInterval is the shortest time between two log lines about requests that are
	// not sent, because their server has said since it was chosen that it wants none.
	withdrawalLogInterval = time.Second
)

// observeStatements records what the answer says about its server: the request rate that it
// takes, and whether it wants no requests, for a while or because it leaves. An answer of another
// server than the chosen one says nothing. One that is neither signed nor a refusal may have been
// made by something in front of the server, and names no rate.
func (x *exchange) observeStatements() {
	if x.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	f := x.q.f
	limit := x.respInfo.Limit
	if !x.respInfo.Signed && !x.respInfo.NotRun {
		limit = throttler.Statement{Kind: throttler.UnreadableLimit}
	}
	s := withholder.NewStatement(x.resp.StatusCode, x.resp.Header, x.respInfo.Leaving)
	s.SaidAt = uint64(max(time.Now().UnixMilli(), 0))
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.respInfo.Limit.Kind == throttler.UnreadableLimit {
		f.logUnreadable("msg", "limit of a server cannot be read", "server", x.server, "id", x.q.info.ID)
	}
	if s.Unreadable {
		f.logUnreadable("msg", "statement of a server cannot be read", "server", x.server, "id", x.q.info.ID)
	}
	limitChange := f.chooser.Allowance.Ledger.Observe(time.Now(), x.server, x.incarnation, x.sentAt, limit)
	f.logLimit(limitChange, x.server, "answer to "+x.q.info.ID)
	if s.Wait <= 0 && !s.Leaving {
		return
	}
	change := f.chooser.Withheld.Observe(f.Elapsed(), x.server, x.incarnation, s, x.q.info.ID)
	if change == withholder.Unchanged {
		return
	}
	msg := "server asks to wait"
	if s.Leaving {
		msg = "server says that it leaves"
	}
	_ = level.Info(f.Logger).Log("msg", msg, "server", x.server, "id", x.q.info.ID, "wait", s.Wait, "extends", change == withholder.Extended,
		"sent_ago", time.Since(x.sentAt))
}

// logUnreadable logs a statement of a server that cannot be read. The caller holds mu.
func (f *Forwarder) logUnreadable(keyvals ...any) {
	f.counts.unreadable.Inc(1)
	if now := f.Elapsed(); now >= f.nextUnreadableLog {
		f.nextUnreadableLog = now + unreadableLogInterval
		_ = level.Info(f.Logger).Log(keyvals...)
	}
}

// withdraw reports whether the server that was chosen at chosenAt wants no requests any more, and if
// so counts the request as one that was not sent to it.
func (q *request) withdraw(s *tracker.Server, chosenAt time.Time) bool {
	f := q.f
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.chooser.NoticeOf(s)
	if n == nil {
		return false
	}
	f.chooser.Allowance.Return(s.ID)
	q.tried = append(q.tried, s.ID)
	q.lastError = "server wants no requests"
	f.counts.withdrawn.Inc(1)
	if now := f.Elapsed(); now >= f.nextWithdrawalLog {
		f.nextWithdrawalLog = now + withdrawalLogInterval
		_ = level.Info(f.Logger).Log("msg", "request is not sent, because its server has said since it was chosen that it wants none", "server", n.Server, "id", q.info.ID,
			"leaving", n.Leaving, "said_ago", now-n.Since, "said_in", n.Source, "chosen_ago", time.Since(chosenAt), "attempt", len(q.tried), "trial", q.isTrial)
	}
	return true
}

// refusalOfWaiting returns the refusal of a request if every server that could take it, those that
// it was sent to included, has asked to wait. Otherwise it returns c.
func (q *request) refusalOfWaiting(c chooser.Choice) chooser.Choice {
	if len(q.tried) == 0 || c.Reason != "" && c.Reason != chooser.NoServer {
		return c
	}
	f, now := q.f, time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	req := q.serverRequest(now, true)
	req.Exclude = nil
	again := f.chooser.Choose(now, req)
	if again.Reason != chooser.AskedToWait {
		return c
	}
	q.waitingServers = again.Waiting
	return f.chooser.RecordRefusal(now, req, again)
}

// Withheld returns the servers that want no requests now, sorted by server.
func (f *Forwarder) Withheld() []WithheldServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Elapsed()
	var out []WithheldServer
	for _, n := range f.chooser.Withheld.Notices(now) {
		w := WithheldServer{Server: n.Server, Leaving: n.Leaving, Since: now - n.Since, Source: n.Source}
		if !n.Leaving {
			w.Left = n.Until - now
		}
		out = append(out, w)
	}
	return out
}

// WithheldServer describes a server that wants no requests, for the state dump.
type WithheldServer struct {
	Server identifier.Server
	// Leaving is set if it leaves. Otherwise it has asked to wait.
	Leaving bool
	// Since is the time since the server said so, Left the time until it takes requests again if
	// it has asked to wait.
	Since, Left time.Duration
	// Source is the ID of the request in whose answer it said so.
	Source string
}

// Departures returns the incarnations of servers that have said in answers that they leave.
func (f *Forwarder) Departures() map[identifier.Server]identifier.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chooser.Withheld.IsEmpty() {
		return nil
	}
	out := map[identifier.Server]identifier.Incarnation{}
	for _, n := range f.chooser.Withheld.Notices(f.Elapsed()) {
		if n.Leaving {
			out[n.Server] = n.Incarnation
		}
	}
	return out
}

// withheldCount returns the number of servers that want no requests now.
func (f *Forwarder) withheldCount() int64 { return int64(len(f.Withheld())) }
