package grouper

import (
	"fmt"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// condition is what is wrong with a member, from the least to the worst.
type condition int

const (
	sound condition = iota
	// leaving members say that they drain, or operators have taken their
	// failure domain out.
	leaving
	// quiet members were not heard for longer than the bound.
	quiet
	// lost members are dead, have restarted or are in another group.
	lost
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

// examine returns the condition of member i and a text for the log.
func (g *Grouper) examine(gr *group, i int) (condition, string) {
	id := gr.info.Members[i]
	s := g.view.Registry.Get(id)
	m := g.vms[id]
	switch {
	case s == nil || m == nil:
		return lost, fmt.Sprintf("%s is not known", id)
	case s.Born != gr.born[i]:
		return lost, fmt.Sprintf("%s has restarted", id)
	case s.Dead:
		return lost, fmt.Sprintf("another server has the address of %s", id)
	case i > 0 && g.seemsDead(s):
		return lost, fmt.Sprintf("%s does not answer", id)
	case m.absentAt.After(s.HeardAt):
		// A cut may answer like that too, so it proves no death.
		if i == 0 {
			return quiet, fmt.Sprintf("nobody listens at the address of %s", id)
		}
		return lost, fmt.Sprintf("nobody listens at the address of %s", id)
	case s.Gone:
		return leaving, fmt.Sprintf("%s leaves", id)
	case (gr.info.Phase == PhaseServing || gr.info.Phase == PhaseAbandoned && i > 0) && s.Membership.Epoch != gr.info.Epoch:
		return lost, fmt.Sprintf("%s is in epoch %d", id, s.Membership.Epoch)
	case s.Silent:
		return quiet, fmt.Sprintf("%s is silent", id)
	case s.Draining:
		return leaving, fmt.Sprintf("%s drains", id)
	case g.view.Evacuated[s.Domain]:
		return leaving, fmt.Sprintf("%s is taken out", s.Domain)
	}
	return sound, ""
}

// worst returns the worst condition of the members other than the head.
func (g *Grouper) worst(gr *group) (condition, string) {
	at, text := sound, ""
	for i := 1; i < len(gr.info.Members); i++ {
		if c, t := g.examine(gr, i); c > at {
			at, text = c, t
		}
	}
	return at, text
}

// stepForming moves a group on until its head is open.
func (g *Grouper) stepForming(gr *group) {
	ready := true
	for i, id := range gr.info.Members {
		if c, text := g.examine(gr, i); c != sound {
			g.giveUp(gr, text)
			return
		}
		s := g.view.Registry.Get(id)
		if s.Membership.Epoch == gr.info.Epoch && s.Membership.Group == gr.info.ID {
			ready = ready && s.Membership.State != tracker.StateJoining
			continue
		}
		ready = false
		if gr.adopted {
			g.giveUp(gr, fmt.Sprintf("%s has left", id))
			return
		}
		g.send(s, Order{
			Action: ActionJoin, Group: gr.info.ID, Epoch: gr.info.Epoch, Model: gr.info.Model,
			Members: gr.info.Members, Reason: "group is to be formed",
		})
	}
	if g.now.After(gr.deadline) {
		g.giveUp(gr, "forming took too long")
		return
	}
	if ready {
		g.stepOpening(gr)
	}
}

func (g *Grouper) stepOpening(gr *group) {
	head := g.view.Registry.Get(gr.info.Members[0])
	switch head.Membership.State {
	case tracker.StateOpen:
		gr.info.Phase, gr.since = PhaseServing, g.now
		gr.info.Reason = ""
		g.note("group serves", gr)
	case tracker.StateBroken, tracker.StateClosing:
		g.giveUp(gr, fmt.Sprintf("the head says that it is %s", head.Membership.State))
	default:
		if gr.info.Phase == PhaseForming {
			gr.info.Phase = PhaseOpening
			g.note("every member is ready", gr)
		}
		g.send(head, Order{Action: ActionOpen, Group: gr.info.ID, Epoch: gr.info.Epoch, Reason: "every member is ready"})
	}
}

// giveUp ends a group that was not seen to serve. Once an open order was sent
// the head may serve, so it is closed like one that does.
func (g *Grouper) giveUp(gr *group, reason string) {
	if gr.info.Phase == PhaseOpening || gr.adopted {
		// The head may open any moment and say so later, so that it says now that
		// it is only ready proves nothing.
		gr.openDoubt = g.now.Add(orderLife)
		g.end(gr, true, reason)
		return
	}
	g.dissolve(gr, reason)
}

// stepServing watches a group that takes requests.
func (g *Grouper) stepServing(gr *group) {
	headIs, headText := g.examine(gr, 0)
	memberIs, memberText := g.worst(gr)
	head := g.view.Registry.Get(gr.info.Members[0])
	doubt, doubted := g.view.Suspicions[gr.info.Members[0]]
	// Reports of answers are on their way for some hundred milliseconds.
	answers := doubted && doubt.SinceLastAnswer < g.Policy.HeartbeatInterval
	bound := g.stallBound(gr)
	stalled := doubted && (doubt.StalledRequests >= stalledRequests && doubt.SinceLastAnswer >= bound ||
		doubt.StalledRequests > 0 && doubt.SinceLastAnswer >= bound+lonelyExtra)
	switch {
	case headIs == lost:
		g.dissolve(gr, headText)
	case head.Membership.State == tracker.StateBroken:
		g.dissolve(gr, "the head says that the group is broken")
	case head.Membership.State == tracker.StateReady || head.Membership.State == tracker.StateJoining:
		g.dissolve(gr, "the head does not serve")
	case head.Membership.State == tracker.StateClosing:
		g.end(gr, false, "the head closes")
	case headIs == quiet:
		g.stepSilentHead(gr, doubt, doubted)
	case memberIs == lost:
		g.end(gr, true, memberText)
	case memberIs == quiet && !answers:
		// Members that only the core has lost do not stop the head.
		g.end(gr, true, memberText)
	case headIs == leaving:
		g.end(gr, false, headText)
	case memberIs == leaving:
		g.end(gr, false, memberText)
	case stalled:
		g.probeMembers(gr)
		g.end(gr, true, fmt.Sprintf("%d requests stand still for %s", doubt.StalledRequests, doubt.SinceLastAnswer))
	default:
		gr.headSilent = time.Time{}
	}
}

// stallBound is how long no front must have had an answer of a head. A head that
// reads many long prompts between two events must not count as standing still:
// its requests would go to the other groups and make their passes longer too.
func (g *Grouper) stallBound(gr *group) time.Duration {
	pass := time.Duration(0)
	if e := g.engine(gr.service); e != nil {
		pass = e.MaxPassTime(gr.model)
	}
	return max(stallEvidence, pass+g.view.ReportLag+stallSlack)
}

// probeMembers asks every member whether it answers, so that the dead one is not
// taken into the next group.
func (g *Grouper) probeMembers(gr *group) {
	for _, id := range gr.info.Members[1:] {
		s, m := g.view.Registry.Get(id), g.vms[id]
		if s == nil || m == nil || m.pending != nil || g.now.Sub(m.probed) < silentHead {
			continue
		}
		m.probed = g.now
		g.send(s, Order{Action: ActionProbe, Reason: "its group stands still"})
	}
}

// stepSilentHead handles a group whose head the core does not hear. The head may
// be dead, or serve behind a cut.
func (g *Grouper) stepSilentHead(gr *group, d Suspicion, doubted bool) {
	if gr.headSilent.IsZero() {
		gr.headSilent = g.now
	}
	head, m := g.view.Registry.Get(gr.info.Members[0]), g.vms[gr.info.Members[0]]
	switch {
	case doubted && d.SinceLastAnswer < g.Policy.HeartbeatInterval:
		gr.headSilent = g.now
	case head != nil && m != nil && m.absentAt.After(head.HeardAt):
		g.abandon(gr, "nobody listens at the head's address")
	case doubted && d.FailedConnects >= unreachableTries && d.SinceLastAnswer >= unreachableQuiet:
		g.abandon(gr, "the head is silent and cannot be reached by requests")
	case g.now.Sub(gr.headSilent) > silentHead:
		g.abandon(gr, "the head is silent")
	}
}

func (g *Grouper) abandon(gr *group, reason string) {
	gr.info.Phase, gr.info.Reason, gr.since = PhaseAbandoned, reason, g.now
	gr.headSilent = time.Time{}
	gr.left = map[identifier.Server]bool{}
	g.note("group is abandoned", gr)
	g.stepAbandoned(gr)
}

// stepAbandoned makes the members that are heard leave, each of which is free
// from then on, until the head is heard again or known to be dead.
func (g *Grouper) stepAbandoned(gr *group) {
	headIs, headText := g.examine(gr, 0)
	if headIs == lost {
		g.dissolve(gr, headText)
		return
	}
	head := g.view.Registry.Get(gr.info.Members[0])
	if head.HeardAt.After(gr.since) {
		worst, text := g.worst(gr)
		switch {
		case head.Membership.Epoch != gr.info.Epoch:
			g.dissolve(gr, "the head has left")
		case worst <= leaving && len(gr.left) == 0 && head.Membership.State == tracker.StateOpen:
			gr.info.Phase, gr.info.Reason = PhaseServing, ""
			g.note("group is heard again", gr)
		default:
			g.end(gr, true, "the head is heard again, but not the whole group: "+text)
		}
		return
	}
	for i, id := range gr.info.Members {
		s := g.view.Registry.Get(id)
		if i == 0 || gr.left[id] || s == nil || s.Silent || s.Gone {
			continue
		}
		if s.Membership.Epoch != gr.info.Epoch {
			gr.left[id] = true
			continue
		}
		g.send(s, Order{Action: ActionLeave, Group: gr.info.ID, Epoch: gr.info.Epoch, Reason: gr.info.Reason})
	}
}

// end starts to close a group.
func (g *Grouper) end(gr *group, cut bool, reason string) {
	gr.info.Phase, gr.info.Reason, gr.since = PhaseEnding, reason, g.now
	gr.cut, gr.unheeded = cut, 0
	g.note("group is to end", gr)
	g.stepEnding(gr)
}

func (g *Grouper) stepEnding(gr *group) {
	headIs, headText := g.examine(gr, 0)
	head := g.view.Registry.Get(gr.info.Members[0])
	if headIs == lost {
		g.dissolve(gr, headText)
		return
	}
	if head.Membership.Epoch != gr.info.Epoch {
		g.dissolve(gr, gr.info.Reason)
		return
	}
	g.hasten(gr)
	state := head.Membership.State
	switch {
	case state == tracker.StateBroken:
		g.dissolve(gr, gr.info.Reason)
		return
	case gr.closed, state == tracker.StateReady, state == tracker.StateJoining:
		if g.now.Before(gr.openDoubt) {
			gr.info.Phase, gr.since = PhaseLeaving, g.now
			g.stepLeaving(gr)
			return
		}
		if g.orderSettled(head.ID) {
			g.dissolve(gr, gr.info.Reason)
		}
		return
	}
	d, doubted := g.view.Suspicions[head.ID]
	if gr.unheeded > 0 && gr.cut && doubted && d.SinceLastAnswer >= g.stallBound(gr) {
		g.abandon(gr, gr.info.Reason+"; the head does not answer the order to close")
		return
	}
	if headIs == quiet || head.Gone {
		g.stepSilentHead(gr, d, doubted)
		if gr.info.Phase != PhaseEnding {
			return
		}
	}
	if head.Membership.State == tracker.StateClosing && !gr.cut {
		return
	}
	g.send(head, Order{Action: ActionClose, Group: gr.info.ID, Epoch: gr.info.Epoch, CutRequests: gr.cut, Reason: gr.info.Reason})
}

// hasten makes a planned end cut the requests that are left once a member is
// lost or it has taken too long.
func (g *Grouper) hasten(gr *group) {
	memberIs, text := g.worst(gr)
	if gr.cut || memberIs < quiet && g.now.Sub(gr.since) < endPatience {
		return
	}
	if memberIs < quiet {
		text = "requests did not end in time"
	}
	gr.cut, gr.info.Reason = true, text
	g.note("group is cut", gr)
}

// orderSettled reports whether no order to a server is under way.
func (g *Grouper) orderSettled(id identifier.Server) bool {
	m := g.vms[id]
	return m == nil || m.pending == nil
}

// stepLeaving makes the head leave, so that a late open order finds nothing.
func (g *Grouper) stepLeaving(gr *group) {
	headIs, _ := g.examine(gr, 0)
	head := g.view.Registry.Get(gr.info.Members[0])
	if headIs == lost || gr.headLeft || head.Membership.Epoch != gr.info.Epoch {
		g.dissolve(gr, gr.info.Reason)
		return
	}
	if (headIs == quiet || head.Gone) && g.now.Sub(gr.since) > silentHead {
		g.abandon(gr, gr.info.Reason)
		return
	}
	g.send(head, Order{Action: ActionLeave, Group: gr.info.ID, Epoch: gr.info.Epoch, Reason: "its open order may be late"})
}

// dissolve frees the members of a group whose head does not serve.
func (g *Grouper) dissolve(gr *group, reason string) {
	gr.info.Reason = reason
	g.note("group has ended", gr)
	delete(g.groups, gr.info.ID)
	g.ended[gr.info.ID] = g.now
}
