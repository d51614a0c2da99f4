package throttler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// contactTimeout is the time without a reply from a core process after which a front uses a
// part of its own of each rate, instead of permits.
const contactTimeout = time.Second

// Allowance is what one front may send to servers with limits: the permits that it got from
// a core process or, while it reaches none, a part of each rate that it keeps to by itself.
// Exported fields are set before use, but Fronts may change between calls. It is not safe
// for concurrent use.
type Allowance struct {
	Ledger Ledger
	Rand   *rand.Rand
	// Fronts is the number of fronts as of the last reply of a core process.
	Fronts int

	contactAt time.Time
	states    map[identifier.Server]*allowanceState
}

// allowanceState is the state of one server's permits at one front.
type allowanceState struct {
	server      identifier.Server
	incarnation identifier.Incarnation
	// rate is the limit for which the permits were issued.
	rate Rate
	// permits are in the order in which they expire.
	permits []permit
	// slots are when this front may send requests by itself.
	slots Slots
	// unreported holds at most one report for each issuer.
	unreported []PermitReport
}

// permit is the permission to send one request.
type permit struct {
	expiresAt time.Time
	issuer    IssuerID
}

// reportOn returns the report on the permits of an issuer.
func (st *allowanceState) reportOn(issuer IssuerID) *PermitReport {
	for i := range st.unreported {
		if st.unreported[i].Issuer == issuer {
			return &st.unreported[i]
		}
	}
	st.unreported = append(st.unreported, PermitReport{Server: st.server, Issuer: issuer})
	return &st.unreported[len(st.unreported)-1]
}

func (a *Allowance) stateOf(l *Limit) *allowanceState {
	st := a.states[l.Server]
	if st == nil || st.incarnation != l.Incarnation {
		if a.states == nil {
			a.states = map[identifier.Server]*allowanceState{}
		}
		st = &allowanceState{server: l.Server, incarnation: l.Incarnation, rate: l.Rate}
		a.states[l.Server] = st
	}
	if l.Rate < st.rate {
		// They were issued for a higher rate.
		st.permits = nil
	}
	st.rate = l.Rate
	return st
}

// RecordContact records a reply of a core process to a call that was made at calledAt, and
// the permits in it.
func (a *Allowance) RecordContact(now, calledAt time.Time, grants []Grant) {
	a.contactAt = calledAt
	for _, g := range grants {
		l := a.Ledger.byServer[g.Server]
		if l == nil {
			continue
		}
		st := a.stateOf(l)
		for range g.Permits {
			st.permits = append(st.permits, permit{now.Add(g.Lifetime), g.Issuer})
		}
		slices.SortFunc(st.permits, func(x, y permit) int { return x.expiresAt.Compare(y.expiresAt) })
	}
}

// CanSend reports whether a request may be sent to a server whose limit is l now.
func (a *Allowance) CanSend(now time.Time, l *Limit) bool {
	st := a.stateOf(l)
	st.dropExpired(now)
	return len(st.permits) > 0 || a.hasSlot(now, st)
}

// Take uses up a permit, and reports whether there was one.
func (a *Allowance) Take(now time.Time, l *Limit) bool {
	if !a.CanSend(now, l) {
		return false
	}
	st := a.stateOf(l)
	if len(st.permits) > 0 {
		st.reportOn(st.permits[0].issuer).Used++
		st.permits = st.permits[1:]
		return true
	}
	st.slots.Take(a.slotInterval(st))
	return true
}

// Return takes back the use of a permit for a request that did not reach the server.
func (a *Allowance) Return(id identifier.Server) {
	st := a.states[id]
	if st == nil {
		return
	}
	for i := range st.unreported {
		if r := &st.unreported[i]; r.Used > 0 {
			r.Used--
			r.Expired++
			return
		}
	}
}

func (st *allowanceState) dropExpired(now time.Time) {
	for len(st.permits) > 0 && !now.Before(st.permits[0].expiresAt) {
		st.reportOn(st.permits[0].issuer).Expired++
		st.permits = st.permits[1:]
	}
}

// slotInterval returns the time between two requests that this front may send by itself.
func (a *Allowance) slotInterval(st *allowanceState) time.Duration {
	return time.Duration(float64(time.Second) / float64(PermitRate(st.rate)) * float64(max(a.Fronts, 1)))
}

// hasSlot reports whether this front may send a request without a permit, because it reaches
// no core process.
func (a *Allowance) hasSlot(now time.Time, st *allowanceState) bool {
	if now.Sub(a.contactAt) <= contactTimeout {
		st.slots.Reset()
		return false
	}
	interval := a.slotInterval(st)
	if !st.slots.HasBegun() {
		st.slots.Begin(a.Rand, now, interval)
	}
	return st.slots.IsOpen(now, a.Rand, interval, permitLifetime)
}

// RecordDenied records that a request was refused for lack of a permit.
func (a *Allowance) RecordDenied(l *Limit) { a.stateOf(l).reportOn(0).Denied++ }

// ExpectedInterval returns the mean time between two requests that this front may send to
// any of some servers.
func (a *Allowance) ExpectedInterval(limits []*Limit) time.Duration {
	sum := Rate(0)
	for _, l := range limits {
		sum += PermitRate(l.Rate)
	}
	return time.Duration(float64(time.Second) / float64(max(sum, minRate)) * float64(max(a.Fronts, 1)))
}

// TakeReports returns what has become of permits since the last call, and forgets it, and
// which permits this front holds.
func (a *Allowance) TakeReports(now time.Time) []PermitReport {
	var out []PermitReport
	for id, st := range a.states {
		st.dropExpired(now)
		for _, p := range st.permits {
			st.reportOn(p.issuer).Held++
		}
		out = append(out, st.unreported...)
		st.unreported = nil
		if l := a.Ledger.byServer[id]; (l == nil || !l.InForce()) && len(st.permits) == 0 {
			delete(a.states, id)
		}
	}
	slices.SortFunc(out, func(x, y PermitReport) int {
		return cmp.Or(cmp.Compare(x.Server, y.Server), cmp.Compare(x.Issuer, y.Issuer))
	})
	return out
}

// AllowanceInfo describes one limit at a front for the state dump.
type AllowanceInfo struct {
	Server identifier.Server
	// PerSecond is the rate that the server named, NamedAgo how long ago an answer last
	// named it, and FirstNamedAgo how long ago one first did.
	PerSecond               Rate
	NamedAgo, FirstNamedAgo time.Duration
	// Permits is the number of requests that the front may send now.
	Permits int
}

// Infos returns the limits in force, sorted by server.
func (a *Allowance) Infos(now time.Time) []AllowanceInfo {
	var out []AllowanceInfo
	for _, l := range a.Ledger.Limits() {
		info := AllowanceInfo{Server: l.Server, PerSecond: l.Rate, NamedAgo: now.Sub(l.NamedAt), FirstNamedAgo: now.Sub(l.FirstNamedAt)}
		if st := a.states[l.Server]; st != nil {
			st.dropExpired(now)
			info.Permits = len(st.permits)
		}
		out = append(out, info)
	}
	return out
}
