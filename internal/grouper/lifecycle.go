package grouper

import (
	"fmt"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// condition is what is wrong with a member of a group, in rising severity.
type condition int

const (
	conditionHealthy condition = iota
	// conditionLeaving members have announced that they drain or leave, or
	// operators have evacuated their failure domain.
	conditionLeaving
	// conditionSilent members have sent no heartbeat for longer than the registry's
	// silence timeout, no process listens at their address or, except for the head,
	// they do not respond to a probe. A network partition shows in the same way, so
	// this alone does not prove that the group is at a standstill.
	conditionSilent
	// conditionPresumed members are presumed to have ended: a later start of theirs was announced, or
	// another server at their address. Another writer may have sent that, so it stops new requests
	// at most, until the member's address has answered.
	conditionPresumed
	// conditionLost members are not known any more, have ended as a probe has shown, or have announced that they are in
	// another epoch.
	conditionLost
)

func (g *Grouper) stepGroup(gr *group) {
	switch gr.info.Phase {
	case PhaseForming, PhaseOpening:
		g.stepForming(gr)
	case PhaseServing:
		g.stepServing(gr)
	case PhaseEnding:
		g.stepEnding(gr)
	case PhaseLeaving:
		g.stepLeaving(gr)
	case PhaseAbandoned:
		g.stepAbandoned(gr)
	}
}

// memberCondition returns the condition of member i and a text for the log.
func (g *Grouper) memberCondition(gr *group, i int) (condition, string) {
	id := gr.info.Members[i]
	s := g.view.Registry.Get(id)
	r := g.records[id]
	switch {
	case s == nil || r == nil:
		return conditionLost, fmt.Sprintf("%s is not known", id)
	case (s.Incarnation != gr.incarnations[i] || s.Superseded) && r.hasEnded && r.probedAt.After(gr.phaseSince):
		return conditionLost, fmt.Sprintf("%s has ended", id)
	case s.Incarnation != gr.incarnations[i]:
		return conditionPresumed, fmt.Sprintf("%s is said to have restarted", id)
	case s.Superseded:
		return conditionPresumed, fmt.Sprintf("another server has the address of %s", id)
	case r.absentAt.After(s.LastHeartbeatAt):
		return conditionSilent, fmt.Sprintf("no process listens at the address of %s", id)
	case i > 0 && g.failedProbe(s):
		return conditionSilent, fmt.Sprintf("%s does not respond to a probe", id)
	case s.Gone:
		return conditionLeaving, fmt.Sprintf("%s leaves", id)
	case (gr.info.Phase == PhaseServing || gr.info.Phase == PhaseAbandoned && i > 0) && s.Membership.Epoch != gr.info.Epoch:
		return conditionLost, fmt.Sprintf("%s is in epoch %d", id, s.Membership.Epoch)
	case s.Silent:
		return conditionSilent, fmt.Sprintf("%s is silent", id)
	case s.IsDraining():
		return conditionLeaving, fmt.Sprintf("%s drains", id)
	case g.view.Evacuated[s.Domain]:
		return conditionLeaving, fmt.Sprintf("%s is evacuated", s.Domain)
	}
	return conditionHealthy, ""
}

// worstCondition returns the worst condition of the members other than the head,
// and a text for the log.
func (g *Grouper) worstCondition(gr *group) (condition, string) {
	worst, text := conditionHealthy, ""
	for i := 1; i < len(gr.info.Members); i++ {
		if c, t := g.memberCondition(gr, i); c > worst {
			worst, text = c, t
		}
	}
	return worst, text
}

// stepForming makes the members of a group join, and opens it once all are ready.
func (g *Grouper) stepForming(gr *group) {
	ready := true
	for i, id := range gr.info.Members {
		if c, text := g.memberCondition(gr, i); c != conditionHealthy {
			g.giveUpForming(gr, text)
			return
		}
		s := g.view.Registry.Get(id)
		if s.Membership.Epoch == gr.info.Epoch && s.Membership.Group == gr.info.ID {
			ready = ready && s.Membership.State != tracker.StateJoining
			continue
		}
		ready = false
		if gr.adopted {
			g.giveUpForming(gr, fmt.Sprintf("%s has left", id))
			return
		}
		g.sendOrder(s, Order{
			Action: ActionJoin, Group: gr.info.ID, Epoch: gr.info.Epoch, Model: gr.info.Model,
			Members: gr.info.Members, Reason: "group is being formed",
		})
	}
	if g.now.After(gr.formDeadline) {
		g.giveUpForming(gr, "forming took too long")
		return
	}
	if !ready {
		return
	}
	if head := g.view.Registry.Get(gr.info.Members[0]); gr.adopted && head.Membership.State == tracker.StateReady {
		// Its members may still execute joins of an earlier holder that they have not answered. A
		// new group from them has a higher epoch, with which they refuse those.
		g.giveUpForming(gr, "an earlier holder formed it")
		return
	}
	g.stepOpening(gr)
}

func (g *Grouper) stepOpening(gr *group) {
	head := g.view.Registry.Get(gr.info.Members[0])
	switch head.Membership.State {
	case tracker.StateOpen:
		gr.info.Phase, gr.phaseSince = PhaseServing, g.now
		gr.info.Reason = ""
		g.recordDecision("group serves", gr)
	case tracker.StateBroken, tracker.StateClosing:
		g.giveUpForming(gr, fmt.Sprintf("the head announces that it is %s", head.Membership.State))
	default:
		if gr.info.Phase == PhaseForming {
			gr.info.Phase = PhaseOpening
			g.recordDecision("every member is ready", gr)
		}
		g.orderHead(gr, head, Order{Action: ActionOpen, Group: gr.info.ID, Epoch: gr.info.Epoch, Reason: "every member is ready"})
	}
}

// giveUpForming ends a group that has not announced yet that it serves. Once an
// open order was sent, the head may serve all the same, so the group is closed as
// if it did.
func (g *Grouper) giveUpForming(gr *group, reason string) {
	if gr.info.Phase == PhaseOpening || gr.adopted {
		// The head may open at any moment and announce it later, so its present
		// state does not show that it does not serve.
		gr.openOrderExpires = g.now.Add(maxOrderDelay)
		g.endGroup(gr, false, reason)
		return
	}
	g.removeGroup(gr, reason)
}

// stepServing ends a group that takes requests once its head or another member
// fails or leaves. Requests that make no progress are a reason to probe the members,
// but none to cut off the requests of a group at work.
func (g *Grouper) stepServing(gr *group) {
	headIs, headText := g.memberCondition(gr, 0)
	memberIs, memberText := g.worstCondition(gr)
	head := g.view.Registry.Get(gr.info.Members[0])
	suspicion, found := g.view.Suspicions[gr.info.Members[0]]
	slow := g.slowMember(gr)
	unreachable, unreachableText := -1, ""
	if g.isStalled(gr, suspicion) {
		g.probeStalledMembers(gr)
		unreachable, unreachableText = g.unreachableMember(gr, suspicion)
	}
	switch {
	case headIs == conditionLost:
		g.removeGroup(gr, headText)
	case headIs == conditionPresumed:
		g.endGroup(gr, false, headText)
	case head.Membership.State == tracker.StateBroken:
		g.removeGroup(gr, "the head announces that the group is broken")
	case head.Membership.State == tracker.StateReady || head.Membership.State == tracker.StateJoining:
		g.removeGroup(gr, "the head does not serve")
	case head.Membership.State == tracker.StateClosing:
		g.endGroup(gr, false, "the head is closing the group")
	case headIs == conditionSilent:
		g.stepSilentHead(gr, suspicion, found)
	case memberIs == conditionLost:
		g.endGroup(gr, true, memberText)
	case memberIs == conditionPresumed:
		g.endGroup(gr, false, memberText)
	case unreachable == 0:
		g.abandonGroup(gr, unreachableText)
	case unreachable > 0:
		g.endGroup(gr, true, unreachableText)
	case memberIs == conditionSilent && g.silenceCounts(gr) && !g.responds(suspicion, found):
		// A member that is silent only to the core processes does not stop the head
		// from serving. If no front process has reported on the head, it has no
		// requests, or the reports do not arrive.
		g.endGroup(gr, found, memberText)
	case headIs == conditionLeaving:
		g.endGroup(gr, false, headText)
	case memberIs == conditionLeaving:
		g.endGroup(gr, false, memberText)
	case slow != "":
		g.endGroup(gr, false, fmt.Sprintf("%s is slow", slow))
	case g.isStalled(gr, suspicion) && g.now.Sub(gr.stalledSince) >= maxHeadSilence:
		g.endGroup(gr, true, fmt.Sprintf("%d requests are stalled, and the head has sent no response for %s", suspicion.StalledRequests, suspicion.SinceLastResponse))
	default:
		gr.headSilentSince = time.Time{}
	}
}

// responds reports whether front processes received a response from a head a moment
// ago. Reports of responses take some hundred milliseconds to arrive.
func (g *Grouper) responds(suspicion Suspicion, found bool) bool {
	return found && suspicion.SinceLastResponse < g.Policy.HeartbeatInterval
}

// silenceCounts reports whether a silent member of a group has had the time to announce
// itself since this process or the group was out of touch.
func (g *Grouper) silenceCounts(gr *group) bool { return !g.now.Before(gr.silenceCountsAt) }

// isStalled reports whether requests at a head make no progress, and records since
// when. A head that was idle may have sent no response for long when a request comes,
// so the time since its last response does not tell that.
func (g *Grouper) isStalled(gr *group, suspicion Suspicion) bool {
	silent := suspicion.SinceLastResponse >= g.stallThreshold(gr)
	switch {
	case !silent:
		gr.stalledSince = time.Time{}
	case suspicion.StalledRequests > 0 && gr.stalledSince.IsZero():
		gr.stalledSince = g.now
	}
	return silent && suspicion.StalledRequests > 0
}

// unreachableMember returns the rank of the first member that no probe could reach that was
// sent since the group is stalled, and a text for the log, or -1. A probe of a silent
// member shows nothing new: the member may only be out of reach of this process. One that accepts
// connections and does not respond may only stand still for a moment.
func (g *Grouper) unreachableMember(gr *group, suspicion Suspicion) (int, string) {
	for i, id := range gr.info.Members {
		s, r := g.view.Registry.Get(id), g.records[id]
		if s != nil && r != nil && !s.Silent && !r.probePending && !r.probedAt.Before(gr.stalledSince) && g.failedProbe(s) && r.isUnreachable {
			return i, fmt.Sprintf("%d requests are stalled, and %s cannot be reached", suspicion.StalledRequests, id)
		}
	}
	return -1, ""
}

// slowMember returns a member that a recent probe found slow, or an empty string.
func (g *Grouper) slowMember(gr *group) identifier.Server {
	for _, id := range gr.info.Members {
		s, r := g.view.Registry.Get(id), g.records[id]
		if s != nil && r != nil && g.now.Sub(r.probedAt) < slowProbeInterval && g.isSlow(s) {
			return id
		}
	}
	return ""
}

// stallThreshold returns how long a head must have sent no response to any front
// process before its members are probed. A head that reads many long prompts between
// two events sends nothing meanwhile.
func (g *Grouper) stallThreshold(gr *group) time.Duration {
	pass := time.Duration(0)
	if e := g.engine(gr.service); e != nil {
		pass = e.MaxPassTime(gr.model)
	}
	return max(minStallTime, pass+g.view.ReportLag+networkSlack)
}

// stepSilentHead abandons a group whose head is silent or gone, unless front
// processes still receive responses from it. The head may be dead, or serve behind a
// network partition. If the front processes report no Suspicion of the head, found
// is false.
func (g *Grouper) stepSilentHead(gr *group, suspicion Suspicion, found bool) {
	if gr.headSilentSince.IsZero() {
		gr.headSilentSince = g.now
	}
	head, r := g.view.Registry.Get(gr.info.Members[0]), g.records[gr.info.Members[0]]
	switch {
	case g.responds(suspicion, found):
		gr.headSilentSince = g.now
	case head != nil && r != nil && r.absentAt.After(head.LastHeartbeatAt):
		g.abandonGroup(gr, "no process listens at the head's address")
	case found && suspicion.ConnectFailures >= minConnectFailures && suspicion.SinceLastResponse >= unreachableHeadTimeout:
		g.abandonGroup(gr, "the head is silent and cannot be reached by requests")
	case g.now.Sub(gr.headSilentSince) > silentHeadTimeout:
		g.abandonGroup(gr, "the head is silent")
	}
}

func (g *Grouper) abandonGroup(gr *group, reason string) {
	gr.info.Phase, gr.info.Reason, gr.phaseSince = PhaseAbandoned, reason, g.now
	gr.headSilentSince = time.Time{}
	gr.leftMembers = map[identifier.Server]bool{}
	gr.memberSilentAt = map[identifier.Server]time.Time{}
	g.recordDecision("group is abandoned", gr)
	g.stepAbandoned(gr)
}

// stepAbandoned orders the members that are not silent to leave, until the head
// announces itself again or is known to be lost. A member that has left, as it has announced or
// replied, is free for other groups. Members that were silent too stay for the learning period: after a
// network partition they announce themselves before or after their head.
func (g *Grouper) stepAbandoned(gr *group) {
	headIs, headText := g.memberCondition(gr, 0)
	if headIs == conditionLost {
		g.removeGroup(gr, headText)
		return
	}
	head := g.view.Registry.Get(gr.info.Members[0])
	switch {
	case gr.headLeft:
		g.removeGroup(gr, headText)
		return
	case headIs == conditionPresumed:
		g.orderHead(gr, head, Order{Action: ActionLeave, Group: gr.info.ID, Epoch: gr.info.Epoch, Reason: headText})
	case head.LastHeartbeatAt.After(gr.phaseSince):
		worst, text := g.worstCondition(gr)
		switch {
		case head.Membership.Epoch != gr.info.Epoch:
			g.removeGroup(gr, "the head has left")
		case worst == conditionPresumed && len(gr.leftMembers) == 0:
			g.endGroup(gr, false, "the head announces itself again; "+text)
		case worst <= conditionSilent && len(gr.leftMembers) == 0 && head.Membership.State == tracker.StateOpen:
			gr.info.Phase, gr.info.Reason = PhaseServing, ""
			gr.stalledSince, gr.silenceCountsAt = time.Time{}, g.now.Add(g.Policy.LearningPeriod)
			g.recordDecision("abandoned group serves again", gr)
		default:
			g.endGroup(gr, true, "the head announces itself again, but the group is not intact: "+text)
		}
		return
	}
	for i, id := range gr.info.Members {
		s := g.view.Registry.Get(id)
		if s != nil && s.Silent {
			gr.memberSilentAt[id] = g.now
		}
		if i == 0 || gr.leftMembers[id] || s == nil || s.Silent || s.Gone {
			continue
		}
		if since, silent := gr.memberSilentAt[id]; silent && g.now.Sub(since) < g.Policy.LearningPeriod {
			// The head may be about to announce itself again too.
			continue
		}
		if s.Membership.Epoch != gr.info.Epoch && s.Incarnation == gr.incarnations[i] {
			gr.leftMembers[id] = true
			continue
		}
		g.sendOrder(s, Order{Action: ActionLeave, Address: gr.addresses[i], Group: gr.info.ID, Epoch: gr.info.Epoch, Reason: gr.info.Reason})
	}
}

// endGroup starts to close a group. If cut is set, running requests are cut off.
func (g *Grouper) endGroup(gr *group, cut bool, reason string) {
	gr.info.Phase, gr.info.Reason, gr.phaseSince = PhaseEnding, reason, g.now
	gr.cutRequests, gr.unansweredCloses = cut, 0
	// A late open order may have been executed since an earlier end.
	gr.headClosed, gr.headLeft = false, false
	g.recordDecision("group is being closed", gr)
	g.stepEnding(gr)
}

func (g *Grouper) stepEnding(gr *group) {
	headIs, headText := g.memberCondition(gr, 0)
	head := g.view.Registry.Get(gr.info.Members[0])
	isPresumed := headIs == conditionPresumed
	switch {
	case headIs == conditionLost:
		g.removeGroup(gr, headText)
		return
	case gr.headLeft, !isPresumed && head.Membership.Epoch != gr.info.Epoch:
		g.removeGroup(gr, gr.info.Reason)
		return
	case isPresumed && gr.unansweredCloses > 0:
		g.abandonGroup(gr, gr.info.Reason+"; its address does not respond to the close order")
		return
	}
	g.escalateEnding(gr)
	state := head.Membership.State
	if isPresumed {
		// What is announced is about another incarnation or server.
		state = ""
	}
	switch {
	case state == tracker.StateBroken:
		g.removeGroup(gr, gr.info.Reason)
		return
	case gr.headClosed, state == tracker.StateReady, state == tracker.StateJoining:
		if g.now.Before(gr.openOrderExpires) {
			gr.info.Phase, gr.phaseSince = PhaseLeaving, g.now
			g.stepLeaving(gr)
			return
		}
		if g.noOrderPending(head.ID) {
			g.removeGroup(gr, gr.info.Reason)
		}
		return
	}
	suspicion, found := g.view.Suspicions[head.ID]
	if gr.unansweredCloses > 0 && gr.cutRequests && found && suspicion.SinceLastResponse >= g.stallThreshold(gr) {
		g.abandonGroup(gr, gr.info.Reason+"; the head does not respond to the close order")
		return
	}
	if headIs == conditionSilent || head.Gone || isPresumed {
		g.stepSilentHead(gr, suspicion, found)
		if gr.info.Phase != PhaseEnding {
			return
		}
	}
	if state == tracker.StateClosing && !gr.cutRequests {
		return
	}
	g.orderHead(gr, head, Order{
		Action: ActionClose, Group: gr.info.ID, Epoch: gr.info.Epoch, CutRequests: gr.cutRequests,
		Reason: gr.info.Reason,
	})
}

// escalateEnding makes the planned end of a group cut off the remaining requests once
// the group is at a standstill, or the time limit of every request has passed.
func (g *Grouper) escalateEnding(gr *group) {
	if gr.cutRequests {
		return
	}
	suspicion, found := g.view.Suspicions[gr.info.Members[0]]
	memberIs, text := g.worstCondition(gr)
	rank, unreachableText := -1, ""
	if g.isStalled(gr, suspicion) {
		g.probeStalledMembers(gr)
		rank, unreachableText = g.unreachableMember(gr, suspicion)
	}
	switch {
	case memberIs == conditionLost:
	case memberIs == conditionSilent && g.silenceCounts(gr) && found && !g.responds(suspicion, found):
	case rank >= 0:
		text = unreachableText
	case g.isStalled(gr, suspicion) && g.now.Sub(gr.stalledSince) >= maxHeadSilence:
		text = "the head has sent no response for too long"
	case g.now.Sub(gr.phaseSince) >= g.drainTimeout(gr.service):
		text = "requests did not end in time"
	default:
		return
	}
	gr.cutRequests, gr.info.Reason = true, text
	g.recordDecision("running requests of the group are cut off", gr)
}

// drainTimeout returns how long the planned end of a group waits for running requests:
// until the time limit of each has passed, whatever its route.
func (g *Grouper) drainTimeout(service identifier.Service) time.Duration {
	longest := minDrainTimeout
	if g.view.Catalog == nil {
		return longest
	}
	for _, r := range g.view.Catalog.Routes {
		if slices.ContainsFunc(r.Targets, func(t cataloger.Target) bool { return t.Service == service }) {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// noOrderPending reports whether the outcome of every order to a server is known.
func (g *Grouper) noOrderPending(id identifier.Server) bool {
	r := g.records[id]
	return r == nil || r.pendingOrder == nil
}

// stepLeaving orders the head to leave the group, so that a late open order no
// longer matches its state.
func (g *Grouper) stepLeaving(gr *group) {
	headIs, _ := g.memberCondition(gr, 0)
	head := g.view.Registry.Get(gr.info.Members[0])
	isPresumed := headIs == conditionPresumed
	if headIs == conditionLost || gr.headLeft || !isPresumed && head.Membership.Epoch != gr.info.Epoch {
		g.removeGroup(gr, gr.info.Reason)
		return
	}
	if (headIs == conditionSilent || head.Gone || isPresumed) && g.now.Sub(gr.phaseSince) > silentHeadTimeout {
		g.abandonGroup(gr, gr.info.Reason)
		return
	}
	g.orderHead(gr, head, Order{Action: ActionLeave, Group: gr.info.ID, Epoch: gr.info.Epoch, Reason: "its open order may still be executed"})
}

// orderHead sends an order to the head of a group at the address where it joined. What was announced since may be
// about another server.
func (g *Grouper) orderHead(gr *group, head *tracker.Server, o Order) {
	o.Address = gr.addresses[0]
	g.sendOrder(head, o)
}

// removeGroup ends a group whose head does not serve, which frees its members.
func (g *Grouper) removeGroup(gr *group, reason string) {
	gr.info.Reason = reason
	g.recordDecision("group has ended", gr)
	delete(g.groups, gr.info.ID)
	g.ended[gr.info.ID] = g.now
}
