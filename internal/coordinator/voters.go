package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// The voters of the log are a fixed number of the core processes. All others that are
// live get the log too and are ready to take the place of a voter that is lost, stops or
// has a successor. Each change exchanges one voter for a process that has caught up, so
// that a quorum never gets larger by a loss and a process that is gone never counts
// beside its successor. A voter is not removed without a replacement: a majority of fewer
// voters could lose its disks at once. See docs/design/voters.md.

// voterChangeInterval is the time between two changes of voters that follow each other.
const voterChangeInterval = 20 * time.Millisecond

// votersLoop adjusts the voters of the log to the live core processes while this
// process leads.
func (c *Coordinator) votersLoop(ctx context.Context) {
	timer := time.NewTimer(voterCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.votersDue:
		}
		timer.Reset(voterCheckInterval)
		if c.adjustVoters(ctx) {
			timer.Reset(voterChangeInterval)
		}
	}
}

// adjustVoters proposes the next change of the voters, if this process leads and one is
// needed. It reports whether another change may follow.
func (c *Coordinator) adjustVoters(ctx context.Context) bool {
	c.votersMu.Lock()
	defer c.votersMu.Unlock()
	st := c.driver.Status()
	if !st.CommittedInTerm {
		return false
	}
	view := c.voterView(time.Now(), &st)
	c.driver.SetLearners(view.learners())
	if len(st.PreviousVoters) > 0 {
		return true
	}
	next, reason := view.plan()
	if next == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.driver.ProposeVoters(ctx, next)
	_ = level.Info(c.Logger).Log("msg", "proposed a new set of voters for the log", "reason", reason,
		"voters", joinIDs(next), "before", joinIDs(st.Voters), "err", err)
	return true
}

// replanVoters lets votersLoop run at once.
func (c *Coordinator) replanVoters() {
	select {
	case c.votersDue <- struct{}{}:
	default:
	}
}

// isNewcomer reports whether this process has joined a log that others had begun, and has
// not been a voter since. The caller must hold mu.
func (c *Coordinator) isNewcomer(st *driver.Status) bool {
	return !c.Settings.FirstStart && !st.HasBeenVoter
}

// voterView is what decides who the voters are.
type voterView struct {
	self   replicator.NodeID
	voters []replicator.NodeID
	// target is the number of voters.
	target int
	// processes holds the live core processes, this one included.
	processes map[identifier.VM]coreProcess
	// domains holds the failure domains of all core processes that were ever heard.
	domains map[identifier.VM]identifier.FailureDomain
}

// coreProcess is a live core process.
type coreProcess struct {
	id replicator.NodeID
	// leaving is set once it has said that it stops.
	leaving bool
	// newcomer is set while it has never been a voter.
	newcomer bool
	// caughtUp is set if it holds all committed entries.
	caughtUp bool
	// settled is set once it has been live for so long that a voter that was lost before is known
	// to be lost.
	settled bool
}

func (c *Coordinator) voterView(now time.Time, st *driver.Status) voterView {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := voterView{
		self: st.ID, voters: st.Voters,
		processes: map[identifier.VM]coreProcess{c.self: {id: st.ID, leaving: c.leaving}},
		domains:   map[identifier.VM]identifier.FailureDomain{c.self: c.Settings.FailureDomain},
	}
	for vm, p := range c.peers {
		if p.lastHello == nil {
			if now.Sub(c.startedAt) <= peerLiveTimeout && isVoter(st, vm) {
				// It had no time yet to be heard.
				v.processes[vm] = coreProcess{}
			}
			continue
		}
		v.domains[vm] = identifier.FailureDomain(p.lastHello.GetFailureDomain())
		if now.Sub(p.lastHelloAt) <= peerLiveTimeout {
			id := replicator.NodeID(p.lastHello.GetVoterId())
			v.processes[vm] = coreProcess{
				id: id, leaving: p.lastHello.GetLeaving(), newcomer: p.lastHello.GetNewcomer(),
				caughtUp: slices.Contains(st.CaughtUp, id), settled: now.Sub(p.heardSince) > peerLiveTimeout,
			}
		}
	}
	v.target = v.targetSize(c.Settings.Bounds.ToleratedVMLosses)
	return v
}

// minVoters is the least number of voters that bear a loss.
const minVoters = 3

// targetSize returns the number of voters that bear so many losses at once. If none are
// declared, it follows from the processes that the system began with. An even number bears no
// more losses than the odd one below it.
func (v *voterView) targetSize(losses int) int {
	if losses > 0 {
		return 2*losses + 1
	}
	founders := 0
	for _, p := range v.processes {
		if !p.newcomer {
			founders++
		}
	}
	n := max(len(v.voters), founders)
	return max(n-(n+1)%2, minVoters)
}

// learners returns the live processes that are not voters.
func (v *voterView) learners() []replicator.NodeID {
	var ids []replicator.NodeID
	for _, p := range v.processes {
		if p.id != "" && !slices.Contains(v.voters, p.id) {
			ids = append(ids, p.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// plan returns the next set of voters, which differs from the present one by one voter
// more or less or by one exchange, and the reason for it, or nil if it stays as it is.
func (v *voterView) plan() ([]replicator.NodeID, string) {
	ready := v.candidates()
	lost, reason := v.lostVoter()
	if lost != "" && len(ready) > 0 {
		return v.exchange(lost, v.replacement(lost, ready)), reason
	}
	switch {
	case len(v.voters) < v.target && len(ready) > 0:
		next := append(slices.Clone(v.voters), v.replacement("", ready))
		slices.Sort(next)
		return next, "more voters are needed to bear the declared losses"
	case len(v.voters) > v.target:
		if lost == "" {
			lost = v.dispensable("")
		}
		return withoutVoter(v.voters, lost), "fewer voters are needed to bear the declared losses"
	}
	if lost != "" {
		return nil, ""
	}
	// A sound voter makes way only while all others are sound too: the new one may be lost
	// again at once, in place of the voter that it is to succeed.
	ready = slices.DeleteFunc(ready, func(id replicator.NodeID) bool { return !v.processes[driver.VMOf(id)].settled })
	for _, id := range ready {
		p := v.processes[driver.VMOf(id)]
		if old := v.dispensable(v.domainOf(id)); p.newcomer && old != "" {
			return v.exchange(old, id), "a new process has come to its failure domain"
		}
	}
	if next, reason := v.relieve(ready); next != nil {
		return next, reason
	}
	return v.spread(ready)
}

// candidates returns the processes that may become voters, in ascending order.
func (v *voterView) candidates() []replicator.NodeID {
	var ids []replicator.NodeID
	for _, p := range v.processes {
		if p.caughtUp && !p.leaving && !slices.Contains(v.voters, p.id) {
			ids = append(ids, p.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// lostVoter returns a voter that has to be replaced, and why. The most certain loss comes
// first.
func (v *voterView) lostVoter() (replicator.NodeID, string) {
	for _, l := range []struct {
		reason string
		isLost func(p coreProcess, isLive bool, id replicator.NodeID) bool
	}{
		{"the voter's process has restarted with another id", func(p coreProcess, _ bool, id replicator.NodeID) bool { return p.id != "" && p.id != id }},
		{"the voter's process is about to stop", func(p coreProcess, _ bool, _ replicator.NodeID) bool { return p.leaving }},
		{"no hello has come from the voter for some time", func(_ coreProcess, isLive bool, _ replicator.NodeID) bool { return !isLive }},
	} {
		for _, id := range v.voters {
			if p, isLive := v.processes[driver.VMOf(id)]; l.isLost(p, isLive, id) {
				return id, l.reason
			}
		}
	}
	return "", ""
}

// replacement returns the candidate that replaces a voter best: one on the same VM, then
// one in the failure domain that has the fewest voters without it, then one in its own
// domain.
func (v *voterView) replacement(old replicator.NodeID, ready []replicator.NodeID) replicator.NodeID {
	counts := v.countByDomain(withoutVoter(v.voters, old))
	return slices.MinFunc(ready, func(a, b replicator.NodeID) int {
		rank := func(id replicator.NodeID) (int, int, int) {
			sameVM, sameDomain := 1, 1
			if driver.VMOf(id) == driver.VMOf(old) {
				sameVM = 0
			}
			if v.domainOf(id) == v.domainOf(old) {
				sameDomain = 0
			}
			return sameVM, counts[v.domainOf(id)], sameDomain
		}
		a1, a2, a3 := rank(a)
		b1, b2, b3 := rank(b)
		return cmp.Or(cmp.Compare(a1, b1), cmp.Compare(a2, b2), cmp.Compare(a3, b3), cmp.Compare(a, b))
	})
}

// dispensable returns a voter in a failure domain, or in the one with the most voters if
// none is given. The leader comes last.
func (v *voterView) dispensable(d identifier.FailureDomain) replicator.NodeID {
	counts := v.countByDomain(v.voters)
	var best replicator.NodeID
	for _, id := range v.voters {
		if d != "" && v.domainOf(id) != d {
			continue
		}
		if best == "" || best == v.self || counts[v.domainOf(id)] > counts[v.domainOf(best)] && id != v.self {
			best = id
		}
	}
	return best
}

// relieve exchanges an older voter of a failure domain that has more processes than the
// others: a successor has come, and one of the older ones is about to be removed. Nobody says
// which.
func (v *voterView) relieve(ready []replicator.NodeID) ([]replicator.NodeID, string) {
	processes := map[identifier.FailureDomain]int{}
	for vm := range v.processes {
		processes[v.domains[vm]]++
	}
	fewest := len(v.processes)
	for _, n := range processes {
		fewest = min(fewest, n)
	}
	isCrowded := func(id replicator.NodeID) bool { return processes[v.domainOf(id)] > fewest }
	ready = slices.DeleteFunc(slices.Clone(ready), isCrowded)
	if len(ready) == 0 {
		return nil, ""
	}
	var oldest replicator.NodeID
	for _, id := range v.voters {
		isOlder := oldest == "" || oldest == v.self || id != v.self && driver.DiskUsedSince(id) < driver.DiskUsedSince(oldest)
		if isCrowded(id) && v.hasYoungerVoter(id) && isOlder {
			oldest = id
		}
	}
	if oldest == "" {
		return nil, ""
	}
	return v.exchange(oldest, v.replacement(oldest, ready)), "its failure domain has a new process more than the others"
}

// hasYoungerVoter reports whether another voter of the same failure domain has used its disk
// for a shorter time.
func (v *voterView) hasYoungerVoter(id replicator.NodeID) bool {
	return slices.ContainsFunc(v.voters, func(o replicator.NodeID) bool {
		return v.domainOf(o) == v.domainOf(id) && driver.DiskUsedSince(o) > driver.DiskUsedSince(id)
	})
}

// spread exchanges a voter of the failure domain with the most voters for a candidate in one
// that has at least two fewer.
func (v *voterView) spread(ready []replicator.NodeID) ([]replicator.NodeID, string) {
	if len(ready) == 0 {
		return nil, ""
	}
	counts := v.countByDomain(v.voters)
	old := v.dispensable("")
	if old == v.self {
		return nil, ""
	}
	id := v.replacement("", ready)
	if counts[v.domainOf(old)] < counts[v.domainOf(id)]+2 {
		return nil, ""
	}
	return v.exchange(old, id), "the voters are spread over the failure domains"
}

func (v *voterView) domainOf(id replicator.NodeID) identifier.FailureDomain {
	return v.domains[driver.VMOf(id)]
}

func (v *voterView) countByDomain(voters []replicator.NodeID) map[identifier.FailureDomain]int {
	counts := map[identifier.FailureDomain]int{}
	for _, id := range voters {
		counts[v.domainOf(id)]++
	}
	return counts
}

func (v *voterView) exchange(old, id replicator.NodeID) []replicator.NodeID {
	next := append(withoutVoter(v.voters, old), id)
	slices.Sort(next)
	return next
}

func withoutVoter(voters []replicator.NodeID, v replicator.NodeID) []replicator.NodeID {
	return slices.DeleteFunc(slices.Clone(voters), func(o replicator.NodeID) bool { return o == v })
}
