package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// standStill cuts a core process off from the others and stalls its disk, so that it keeps its role
// once it has something to write, or lets it go on. The process does not step down meanwhile, as one
// that is stopped by a signal.
func (s *system) standStill(name string, still bool) {
	s.t.Helper()
	s.cutCore(name, still)
	s.setDiskStalled(name, still)
}

// setDiskStalled makes writes to the disk of a host wait, or lets them go on.
func (s *system) setDiskStalled(name string, stalled bool) {
	s.t.Helper()
	var err error
	if stalled {
		err = os.WriteFile(s.diskStalledFile(name), nil, 0o600)
	} else if err = os.Remove(s.diskStalledFile(name)); os.IsNotExist(err) {
		err = nil
	}
	if err != nil {
		s.t.Error(err)
	}
}

// leader returns the core process that leads the log among those that are named.
func (s *system) leader(names ...string) string {
	for _, name := range names {
		if c := s.coreNamed(name); c != nil && c.LogStatus().CommittedInTerm {
			return name
		}
	}
	return ""
}

// history records which catalogs were acknowledged, and checks what processes confirm.
type history struct {
	s  *system
	mu sync.Mutex
	// acknowledged holds the acknowledged catalogs, oldest first.
	acknowledged []acknowledgement
	// authority holds when a process had the placement authority in a term for the first time.
	authority map[replicator.Term]time.Time
	// violations holds the first violation of each rule.
	violations map[string]string
}

type acknowledgement struct {
	version cataloger.Version
	at      time.Time
}

// newestAt returns the newest version that was acknowledged before a time. Events at the same reading
// of the test's clock may have happened in either order.
func (h *history) newestAt(at time.Time) cataloger.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := cataloger.Version(0)
	for _, a := range h.acknowledged {
		if a.at.Before(at) {
			v = max(v, a.version)
		}
	}
	return v
}

func (h *history) addViolation(rule, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.violations[rule] == "" {
		h.violations[rule] = fmt.Sprintf("%s: ", time.Since(h.s.startedAt)) + fmt.Sprintf(format, args...)
	}
}

// publish sends a catalog to one process, once.
func (h *history) publish(ctx context.Context, to string, v cataloger.Version) bool {
	c := h.s.coreNamed(to)
	if c == nil || c.PublishCatalog(ctx, catalog(v)) != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acknowledged = append(h.acknowledged, acknowledgement{v, time.Now()})
	return true
}

// watch checks, until ctx is done, what a core process confirms: the catalogs that it returns, the age
// of its state that it tells fronts, and its placement authority.
func (h *history) watch(ctx context.Context, name string) {
	const interval = 50 * time.Millisecond
	for ctx.Err() == nil {
		if c := h.s.coreNamed(name); c != nil {
			h.checkAuthority(name, c)
			h.checkPull(ctx, name, c)
			h.checkRead(ctx, name, c)
		}
		time.Sleep(interval)
	}
}

func (h *history) checkRead(ctx context.Context, name string, c *coordinator.Coordinator) {
	sentAt := time.Now()
	data, err := c.CurrentCatalog(ctx)
	if err != nil {
		return
	}
	var got testCatalog
	if want := h.newestAt(sentAt); json.Unmarshal(data, &got) != nil || got.Version < want {
		h.addViolation("read", "%s returns %q to a read that was sent %s ago; version %d was acknowledged by then", name, data, time.Since(sentAt), want)
	}
}

func (h *history) checkPull(ctx context.Context, name string, c *coordinator.Coordinator) {
	reply, err := c.HandlePeerMessage(ctx, "front:7", &peerv1.Envelope{FrontPull: &peerv1.FrontPull{}})
	u := reply.GetFrontUpdate()
	if err != nil || u == nil || u.GetUnconfirmed() {
		return
	}
	asOf := time.Now().Add(-time.Duration(u.GetConfirmedAgoMs()) * time.Millisecond)
	if want := h.newestAt(asOf); cataloger.Version(u.GetCatalogVersion()) < want {
		h.addViolation("age", "%s tells a front that version %d was in force %d ms ago; version %d was acknowledged by then",
			name, u.GetCatalogVersion(), u.GetConfirmedAgoMs(), want)
	}
}

// checkAuthority checks that no process may send orders later than AuthorityTTL after another one
// could in a later term.
func (h *history) checkAuthority(name string, c *coordinator.Coordinator) {
	term, ok := c.AuthorityTerm()
	if !ok {
		return
	}
	now := time.Now()
	h.mu.Lock()
	if _, known := h.authority[term]; !known {
		h.authority[term] = now
	}
	newer := replicator.Term(0)
	for t, since := range h.authority {
		if t > term && now.Sub(since) >= coordinator.AuthorityTTL {
			newer = t
		}
	}
	h.mu.Unlock()
	if newer > 0 {
		h.addViolation("authority", "%s has the placement authority in term %d, though another one got it in term %d over %s ago", name, term, newer, coordinator.AuthorityTTL)
	}
}

// runWatched runs a test in a deployment whose processes are watched.
func runWatched(t *testing.T, d deployment, test func(s *system, h *history)) {
	t.Helper()
	runDeployment(t, d, func(s *system) {
		h := &history{s: s, authority: map[replicator.Term]time.Time{}, violations: map[string]string{}}
		ctx, cancel := context.WithCancel(context.Background())
		var watchers sync.WaitGroup
		for _, name := range s.runningCores() {
			watchers.Go(func() { h.watch(ctx, name) })
		}
		test(s, h)
		cancel()
		watchers.Wait()
		for rule, violation := range h.violations {
			t.Errorf("%s: %s", rule, violation)
		}
	})
}

// TestReplacedLeaderConfirmsNothing guards against a leader that was replaced while it stood still and
// counts the process on the VM of a voter whose disk is lost as that voter.
func TestReplacedLeaderConfirmsNothing(t *testing.T) {
	for first := range 3 {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			runWatched(t, deployments[0], func(s *system, h *history) {
				names := s.runningCores()
				former := s.leader(names...)
				var others []string
				for i := range names {
					if name := names[(i+first)%len(names)]; name != former {
						others = append(others, name)
					}
				}
				s.standStill(former, true)
				var pending sync.WaitGroup
				pending.Go(func() { _ = s.coreNamed(former).PublishCatalog(context.Background(), catalog(2)) })
				time.Sleep(2500 * time.Millisecond)
				if !h.publish(context.Background(), others[0], 2) && !h.publish(context.Background(), others[1], 2) {
					t.Fatal("the others have not acknowledged a catalog")
				}
				time.Sleep(2 * time.Second)
				next, wiped := s.leader(others...), others[0]
				if wiped == next {
					wiped = others[1]
				}
				s.standStill(next, true)
				s.loseDisk(wiped, 0)
				time.Sleep(1500 * time.Millisecond)
				s.standStill(former, false)
				s.cutCore(next, true)
				time.Sleep(3 * time.Second)
				pending.Wait()
				s.standStill(next, false)
				time.Sleep(recoveryTime)
				s.lastVersion, s.acknowledged = 2, 2
				s.expectCoreGoesOn()
			})
		})
	}
}

// stillStep is one step of a schedule in which losses overlap.
type stillStep struct {
	Kind stillKind
	// Victim is the number of a process, or theLeader.
	Victim int
	// Gap is the time until the next step.
	Gap time.Duration
}

type stillKind string

// Kinds of steps. A cut and a kill are taken back by the next one of their kind at the same process, and
// all at the end of the schedule.
const (
	stepStill   stillKind = "stands still"
	stepGoOn    stillKind = "goes on, the one that stands still for the longest time"
	stepCut     stillKind = "is cut off"
	stepDown    stillKind = "is killed"
	stepDisk    stillKind = "loses its disk"
	stepPublish stillKind = "is sent a catalog"
)

// theLeader stands for the process that leads the log, if there is one.
const theLeader = 100

// succession is the order of steps in which one leader after the other stands still while a disk is lost. A
// schedule may hold a part of it.
var succession = []stillStep{
	{Kind: stepStill, Victim: theLeader},
	{Kind: stepPublish, Victim: theLeader},
	{Kind: stepStill, Victim: theLeader},
	{Kind: stepDisk},
	{Kind: stepGoOn},
}

func drawOverlaps(rt *rapid.T) []stillStep {
	kinds := []stillKind{stepStill, stepStill, stepGoOn, stepCut, stepDown, stepDisk, stepPublish, stepPublish}
	victim := rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, theLeader, theLeader, theLeader})
	gap := rapid.Custom(func(rt *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 30).Draw(rt, "gap")) * 100 * time.Millisecond
	})
	single := rapid.Custom(func(rt *rapid.T) []stillStep {
		return []stillStep{{Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), Victim: victim.Draw(rt, "victim"), Gap: gap.Draw(rt, "gap")}}
	})
	series := rapid.Custom(func(rt *rapid.T) []stillStep {
		steps := slices.Clone(succession[rapid.IntRange(0, len(succession)-1).Draw(rt, "first"):])
		for i := range steps {
			steps[i].Gap = gap.Draw(rt, "gap")
			if steps[i].Kind == stepDisk {
				steps[i].Victim = victim.Draw(rt, "victim")
			}
		}
		return steps
	})
	parts := rapid.SliceOfN(rapid.OneOf(single, single, series), 4, 14).Draw(rt, "steps")
	return slices.Concat(parts...)
}

// overlaps plays schedules in which losses overlap: more processes may be gone, cut off or stand still than
// are borne, but no more disks are lost.
type overlaps struct {
	s                *system
	h                *history
	names            []string
	still, cut, down map[string]bool
	// stillOrder holds the processes that stand still, the first one first.
	stillOrder []string
	wiped      map[string]bool
	pending    sync.WaitGroup
}

func (o *overlaps) play(schedule []stillStep, diskLosses int) {
	for _, step := range schedule {
		o.playStep(step, o.victim(step), diskLosses)
		time.Sleep(step.Gap)
	}
	for _, name := range o.names {
		o.still[name], o.cut[name] = false, false
		if o.down[name] {
			o.s.startCore(name, false)
		}
	}
	o.connect()
	o.pending.Wait()
}

func (o *overlaps) victim(step stillStep) string {
	if step.Victim == theLeader {
		reachable := slices.DeleteFunc(slices.Clone(o.names), func(name string) bool { return o.still[name] || o.cut[name] })
		if leader := o.s.leader(reachable...); leader != "" {
			return leader
		}
	}
	return o.names[step.Victim%len(o.names)]
}

func (o *overlaps) playStep(step stillStep, name string, diskLosses int) {
	switch step.Kind {
	case stepStill:
		if o.still[name] || o.down[name] {
			return
		}
		o.still[name] = true
		o.stillOrder = append(o.stillOrder, name)
		o.connect()
		// A process with nothing to write would step down.
		o.publish(name)
	case stepGoOn:
		if len(o.stillOrder) > 0 {
			o.still[o.stillOrder[0]], o.stillOrder = false, o.stillOrder[1:]
		}
	case stepCut:
		o.cut[name] = !o.cut[name]
	case stepDown:
		o.still[name] = false
		if o.down[name] = !o.down[name]; o.down[name] {
			o.s.killCores(name)
		} else {
			o.s.startCore(name, false)
		}
	case stepDisk:
		if o.wiped[name] || len(o.wiped) == diskLosses {
			return
		}
		o.wiped[name], o.still[name], o.down[name] = true, false, false
		o.s.loseDisk(name, 0)
	case stepPublish:
		o.publish(name)
	}
	o.connect()
}

func (o *overlaps) publish(to string) {
	o.s.lastVersion++
	v := o.s.lastVersion
	o.pending.Go(func() { o.h.publish(context.Background(), to, v) })
}

// connect stalls the disks and cuts the links of the processes that stand still or are cut off.
func (o *overlaps) connect() {
	for i, a := range o.names {
		o.s.setDiskStalled(a, o.still[a])
		for _, b := range o.names[i+1:] {
			o.s.net.SetPartitioned(a, b, o.still[a] || o.still[b] || o.cut[a] || o.cut[b])
		}
	}
}

// TestOverlappingLossesShowNothingOlder guards against processes that return, or tell fronts, an older
// state than was acknowledged, or have the placement authority beside a newer leader, while losses overlap:
// at every moment an answer counts for the voter that gave it only.
func TestOverlappingLossesShowNothingOlder(t *testing.T) {
	for i, d := range deployments {
		t.Run(fmt.Sprintf("%d core processes", len(d.domains)), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				schedule := drawOverlaps(rt)
				ok := t.Run("schedule", func(t *testing.T) {
					runWatched(t, deployments[i], func(s *system, h *history) {
						o := &overlaps{
							s: s, h: h, names: s.runningCores(),
							still: map[string]bool{}, cut: map[string]bool{}, down: map[string]bool{}, wiped: map[string]bool{},
						}
						o.play(schedule, d.losses)
						time.Sleep(recoveryTime)
						s.acknowledged = max(1, h.newestAt(time.Now()))
						s.expectNothingOlder()
						s.expectCoreGoesOn()
					})
				})
				if !ok {
					rt.Fatalf("schedule: %+v", schedule)
				}
			})
		})
	}
}
