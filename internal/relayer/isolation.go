package relayer

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilhead.org/trefoilhead/internal/differ"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/preserver"
	"trefoilhead.org/trefoilhead/internal/refuser"
)

const (
	// maxPromptParts bounds the messages of a prompt that are looked at.
	maxPromptParts = 64
	// soundReads is the number of pieces of an answer after which its server is taken not
	// to crash at its start.
	soundReads = 2
	// isolationRetryAfter is the Retry-After of a request that is kept from servers. It
	// is the time to the first trial.
	isolationRetryAfter = 30 * time.Second
)

// isolationState is what an entry knows of requests that crash servers. The Relayer's mu
// guards it. Entries exchange their evidence, and each decides by itself.
type isolationState struct {
	ledger  isolator.Ledger
	decider isolator.Decider
	inForce []isolator.Isolation
	// usedTrials holds the number of the last trial of each isolation that this entry has
	// made.
	usedTrials map[isolator.Key]uint32
}

// promptParts returns the hashes of all messages of a prompt but the last one, which
// belongs to the request itself.
func promptParts(messages []chatMessage) []identifier.PromptPart {
	var parts []identifier.PromptPart
	for _, m := range messages[:min(len(messages)-1, maxPromptParts)] {
		h := xxhash.New()
		_, _ = h.WriteString(m.Role + "\n")
		_, _ = h.Write(m.Content)
		parts = append(parts, identifier.PromptPart(strconv.FormatUint(h.Sum64(), 16)))
	}
	return parts
}

func (r *Request) traits() isolator.Traits { return isolator.NewTraits(r.Team, "", r.PromptParts) }

// digest returns the name of the request's content.
func (r *Request) digest() identifier.RequestDigest {
	if r.cachedDigest == "" {
		content := isolator.RequestContent{Method: r.Method, Path: r.Path, Team: r.Team, Body: r.Body}
		r.cachedDigest = content.Digest()
	}
	return r.cachedDigest
}

// checkIsolation returns a refusal if servers crash under such requests.
func (t *Relayer) checkIsolation(now time.Time, r *Request) *refuser.Refusal {
	// A large body takes long to hash, so that is done before the lock is taken.
	r.digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	st := &t.isolation
	if r.isTrial || len(st.inForce) == 0 && st.ledger.IsEmpty() {
		return nil
	}
	key := isolator.Key{Service: r.Service, Request: r.digest()}
	i := slices.IndexFunc(st.inForce, func(i isolator.Isolation) bool { return i.Covers(r.Service, r.traits(), r.digest()) })
	switch {
	case i >= 0:
		key = st.inForce[i].Key
		if t.takeTrial(&st.inForce[i]) {
			r.isTrial = true
			return nil
		}
	case !st.ledger.Blames(now, r.Service, r.digest()):
		return nil
	}
	st.ledger.RecordRefusal(now, key, t.VM)
	return refuser.New(refuser.Isolated, refuser.NotRun, "backend servers crash under such requests").WithRetryAfter(isolationRetryAfter)
}

// takeTrial reports whether this entry was granted a trial that it has not made yet. The caller
// holds mu.
func (t *Relayer) takeTrial(i *isolator.Isolation) bool {
	st := &t.isolation
	if i.TrialFront != t.VM || i.Trials <= st.usedTrials[i.Key] {
		return false
	}
	if st.usedTrials == nil {
		st.usedTrials = map[isolator.Key]uint32{}
	}
	st.usedTrials[i.Key] = i.Trials
	return true
}

// mayRepeat reports whether a request may be sent again after servers failed under it. Once two
// have, or one under a part of whose prompt another one has crashed, it is not.
func (t *Relayer) mayRepeat(r *Request) bool {
	const maxFailedServers = 2
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.isTrial || r.failedServers >= maxFailedServers {
		return false
	}
	run := isolator.Run{Service: r.Service, Traits: r.traits(), Request: r.digest(), Server: r.crashedServer}
	return r.failedServers == 0 || !t.isolation.ledger.IsSuspect(run)
}

// run describes the request at the server of a group.
func (t *Relayer) run(r *Request, g identifier.Group, sentAt time.Time) isolator.Run {
	incarnation := uint64(0)
	if view, _ := t.Locator.GroupOwnership(time.Now(), g); view != nil {
		incarnation = view.GetIncarnation()
	}
	return isolator.Run{
		Service: r.Service, Traits: r.traits(), Request: r.digest(), SentAt: sentAt,
		Server: isolator.NewServerName(identifier.Server(g), incarnation),
	}
}

func (t *Relayer) recordCrash(r *Request, run isolator.Run, atStart bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.crashedServer = run.Server
	t.isolation.ledger.RecordCrash(time.Now(), run, atStart)
	if t.OnCrash != nil {
		t.OnCrash(run)
	}
}

// sendOwned sends a request to a group that this entry owns, and records whether the server
// crashes under it. Only the owner can tell a server that ends from an entry that does.
func (t *Relayer) sendOwned(ctx context.Context, g identifier.Group, r *Request) (*Response, *refuser.Refusal) {
	if refusal := t.checkIsolation(time.Now(), r); refusal != nil {
		return nil, refusal
	}
	run := t.run(r, g, time.Now())
	resp, refusal := t.Owner.SendRequest(ctx, g, r)
	if refusal != nil {
		if refusal.Code == refuser.BackendFailed && refusal.Statement == refuser.MayHaveRun && !refusal.Answered {
			t.recordCrash(r, run, true)
		}
		return nil, refusal
	}
	resp.Body = &startWatcher{readCloser: resp.Body, relayer: t, request: r, run: run}
	return resp, nil
}

// startWatcher is a response body that records whether the answer breaks off, goes on after its
// start, or is complete.
type startWatcher struct {
	readCloser
	relayer *Relayer
	request *Request
	run     isolator.Run
	beganAt time.Time
	reads   int
	// sound is set once the answer has gone on, and ended after its end or failure.
	sound, ended bool
}

// Read implements io.Reader.
func (b *startWatcher) Read(p []byte) (int, error) {
	n, err := b.readCloser.Read(p)
	if b.ended {
		return n, err
	}
	if n > 0 {
		if b.reads++; b.reads == 1 {
			b.beganAt = time.Now()
		}
	}
	complete := errors.Is(err, io.EOF)
	b.ended = err != nil
	if !b.sound && b.reads > 0 && (complete || b.reads >= soundReads) {
		b.sound = true
		b.relayer.recordSound(b.beganAt, b.run)
	}
	switch {
	case complete:
		b.relayer.recordComplete(b.run)
	case err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		b.relayer.recordCrash(b.request, b.run, !b.sound)
	}
	return n, err
}

func (t *Relayer) recordSound(beganAt time.Time, r isolator.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolation.ledger.RecordSound(time.Now(), beganAt, r)
}

func (t *Relayer) recordComplete(r isolator.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolation.ledger.RecordComplete(time.Now(), r)
}

// StepIsolation decides which requests are kept from servers, and returns the changes and
// the evidence for each.
func (t *Relayer) StepIsolation(now time.Time) []isolator.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := &t.isolation
	st.ledger.Expire(now, st.inForce)
	var changes []isolator.Change
	for {
		c, ok := st.decider.Decide(now, &st.ledger, st.inForce)
		if !ok {
			return changes
		}
		changes = append(changes, c)
		st.inForce = c.Apply(st.inForce)
	}
}

// NextEvidence returns the evidence that goes into the next message to the other entries.
func (t *Relayer) NextEvidence(now time.Time, c *differ.Cursor) []isolator.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.isolation.ledger
	sent := c.Sent()
	return l.SharedSince(c.Next(now, l.Revision()), sent)
}

// MergeEvidence adds the evidence of another entry.
func (t *Relayer) MergeEvidence(now time.Time, e isolator.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolation.ledger.Merge(now, e)
}

// CrashCount returns the number of requests and parts of prompts under which servers have crashed.
func (t *Relayer) CrashCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolation.ledger.CrashCount()
}

// IsolationCount returns the number of isolations in force.
func (t *Relayer) IsolationCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.isolation.inForce)
}

// maxSavedEvidence bounds the evidence that is written to the disk.
const maxSavedEvidence = 128

// SavedContent returns what outlives a restart of all entries.
func (t *Relayer) SavedContent() preserver.Content {
	t.mu.Lock()
	defer t.mu.Unlock()
	return preserver.Content{Evidence: t.isolation.ledger.Snapshot(maxSavedEvidence), Isolations: slices.Clone(t.isolation.inForce)}
}

// RestoreContent adds what an earlier run of this entry has saved.
func (t *Relayer) RestoreContent(now time.Time, c preserver.Content) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range c.Evidence {
		t.isolation.ledger.Merge(now, e)
	}
	t.isolation.inForce = c.Isolations
	isolator.Seed(now, &t.isolation.ledger, c.Isolations)
}

// EvidenceRevision returns the number of changes of the evidence.
func (t *Relayer) EvidenceRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolation.ledger.Revision()
}
