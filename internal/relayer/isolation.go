package relayer

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilhead.org/trefoilhead/internal/differ"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
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

// checkIsolation returns a refusal if servers crash under such requests.
func (t *Relayer) checkIsolation(now time.Time, r *Request) *refuser.Refusal {
	if len(r.PromptParts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	st := &t.isolation
	for n := range st.inForce {
		i := &st.inForce[n]
		if !i.Covers(r.Service, r.traits()) {
			continue
		}
		if i.TrialFront == t.VM && i.Trials > st.usedTrials[i.Key] {
			if st.usedTrials == nil {
				st.usedTrials = map[isolator.Key]uint32{}
			}
			st.usedTrials[i.Key] = i.Trials
			r.isTrial = true
			return nil
		}
		st.ledger.RecordRefusal(now, i.Key, t.VM)
		return refuser.New(refuser.Isolated, refuser.NotRun, "backend servers crash under requests with a message of this one").WithRetryAfter(isolationRetryAfter)
	}
	return nil
}

// mayRepeat reports whether a request may be sent again after a server failed that may
// have crashed under it.
func (t *Relayer) mayRepeat(r *Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !r.isTrial && (r.crashedServer == "" || !t.isolation.ledger.IsSuspect(r.Service, r.traits(), r.crashedServer))
}

func (t *Relayer) recordCrash(r *Request, g identifier.Group) {
	if len(r.PromptParts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.crashedServer = string(g)
	t.isolation.ledger.RecordCrash(time.Now(), isolator.Run{Service: r.Service, Traits: r.traits(), Server: string(g)})
}

func (t *Relayer) recordSound(beganAt time.Time, r *Request, g identifier.Group) {
	if r.Service == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolation.ledger.RecordSound(time.Now(), beganAt, isolator.Run{Service: r.Service, Traits: r.traits(), Server: string(g)})
}

// startWatcher is a response body that records whether the answer breaks off at its start
// or goes on.
type startWatcher struct {
	readCloser
	relayer *Relayer
	request *Request
	group   identifier.Group
	beganAt time.Time
	reads   int
	done    bool
}

// Read implements io.Reader.
func (b *startWatcher) Read(p []byte) (int, error) {
	n, err := b.readCloser.Read(p)
	if b.done {
		return n, err
	}
	if n > 0 {
		if b.reads++; b.reads == 1 {
			b.beganAt = time.Now()
		}
	}
	switch {
	case errors.Is(err, io.EOF) || b.reads >= soundReads:
		b.done = true
		if b.reads > 0 {
			b.relayer.recordSound(b.beganAt, b.request, b.group)
		}
	case err != nil:
		b.done = true
		if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			b.relayer.recordCrash(b.request, b.group)
		}
	}
	return n, err
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
	return l.ChangedSince(c.Next(now, l.Revision()))
}

// MergeEvidence adds the evidence of another entry.
func (t *Relayer) MergeEvidence(now time.Time, e isolator.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolation.ledger.Merge(now, e)
}

// IsolationCount returns the number of isolations in force.
func (t *Relayer) IsolationCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.isolation.inForce)
}
