package relayer

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"trefoilhead.org/trefoilhead/internal/claimer"
	"trefoilhead.org/trefoilhead/internal/refuser"
)

// ClaimsLog runs commands in the replicated claims log. After an error, the command
// may or may not have been added to the log.
type ClaimsLog interface {
	RunCommand(ctx context.Context, c claimer.Command) (claimer.Outcome, error)
}

// Time limits for commands to the claims log. claimTimeout applies to claiming a key
// and to each retried command, claimEndTimeout to the first attempt to store the end of
// a claim.
const (
	claimTimeout    = 3 * time.Second
	claimEndTimeout = 2 * time.Second
	// claimEndRetryTime is how long a failed attempt to store the end of a claim is
	// retried.
	claimEndRetryTime     = 2 * time.Minute
	claimEndRetryInterval = time.Second
)

// serveClaimed serves a request with an idempotency key, which runs at most once.
func (t *Relayer) serveClaimed(ctx context.Context, w http.ResponseWriter, r *Request) {
	c := t.newClaimAttempt(r)
	if refusal := t.claimKey(ctx, w, c); refusal != nil {
		t.writeRefusal(w, refusal)
		return
	}
	if c.replayed {
		return
	}
	// From here on this attempt holds the claim. A caller that disconnects must not
	// leave the claim unfinished, so the request continues without the caller.
	ctx = context.WithoutCancel(ctx)
	resp, refusal := t.sendWithRetries(ctx, r)
	if refusal != nil {
		t.releaseIfNotRun(c, refusal)
		t.writeRefusal(w, refusal)
		return
	}
	t.writeClaimedResponse(w, c, resp)
}

// claimAttempt is one attempt to run a request with an idempotency key.
type claimAttempt struct {
	beginCommand claimer.Command
	// replayed is set when the caller was sent the stored response of an earlier
	// attempt.
	replayed bool
}

func (t *Relayer) newClaimAttempt(r *Request) *claimAttempt {
	return &claimAttempt{beginCommand: claimer.Command{
		Action:      claimer.ActionBegin,
		Key:         claimer.Key{Team: r.Team, Service: r.Service, Value: r.IdempotencyKey},
		Fingerprint: claimer.NewFingerprint(r.Method, r.Path, r.Body),
		Attempt:     rand.Text(), Holder: t.VM,
		Retention: t.Limits.ClaimRetention.Milliseconds(),
	}}
}

// claimKey claims the key for this attempt, or sends the stored response of an earlier
// attempt.
func (t *Relayer) claimKey(ctx context.Context, w http.ResponseWriter, c *claimAttempt) *refuser.Refusal {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	o, err := t.ClaimsLog.RunCommand(ctx, c.beginCommand)
	if err != nil {
		// The claim may be in the log, but this attempt was not sent and never will
		// be, so the claim is released.
		go t.retryClaimCommand(c.newCommand(claimer.ActionRelease, nil))
		return refuser.New(refuser.ClaimUnavailable, refuser.MayHaveRun,
			"this attempt was not sent, but whether an earlier one under the key ran cannot be told: "+err.Error()).WithRetryAfter(time.Second)
	}
	switch o.Verdict {
	case claimer.VerdictGranted:
		return nil
	case claimer.VerdictRunning:
		return refuser.New(refuser.KeyRunning, refuser.MayHaveRun, "a request under this key was sent through "+string(o.Holder)+" and its end is not known").WithRetryAfter(time.Second)
	case claimer.VerdictFinished:
		return t.replayResponse(w, c, o.Response)
	case claimer.VerdictMismatch:
		return refuser.New(refuser.KeyReused, refuser.NotRun, "the key was used before for another request")
	}
	return refuser.New(refuser.ClaimUnavailable, refuser.MayHaveRun, "the key cannot be claimed")
}

func (t *Relayer) replayResponse(w http.ResponseWriter, c *claimAttempt, stored *claimer.Response) *refuser.Refusal {
	if stored.BodyOmitted {
		return refuser.New(refuser.AnswerNotKept, refuser.MayHaveRun, "the request has run under this key; its answer was too large to keep")
	}
	c.replayed = true
	t.updateStats(func(s *Stats) { s.Replayed++ })
	writeStoredResponse(w, stored, true)
	return nil
}

func writeStoredResponse(w http.ResponseWriter, stored *claimer.Response, replayed bool) {
	if stored.ContentType != "" {
		w.Header().Set("Content-Type", stored.ContentType)
	}
	if replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}

func (c *claimAttempt) newCommand(action claimer.Action, stored *claimer.Response) claimer.Command {
	cmd := c.beginCommand
	cmd.Action, cmd.Response = action, stored
	return cmd
}

// releaseIfNotRun releases the claim if the request certainly did not run. Otherwise
// the claim stays, so that a retry with the same key does not run the request again.
func (t *Relayer) releaseIfNotRun(c *claimAttempt, refusal *refuser.Refusal) {
	if refusal.Statement == refuser.NotRun {
		t.runClaimCommand(c.newCommand(claimer.ActionRelease, nil))
	}
}

// runClaimCommand stores the end of a claim. If that fails or takes longer than
// claimEndTimeout, it is retried in the background.
func (t *Relayer) runClaimCommand(cmd claimer.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), claimEndTimeout)
	defer cancel()
	if _, err := t.ClaimsLog.RunCommand(ctx, cmd); err != nil {
		go t.retryClaimCommand(cmd)
	}
}

// retryClaimCommand tries to store the end of a claim for up to claimEndRetryTime.
func (t *Relayer) retryClaimCommand(cmd claimer.Command) {
	deadline := time.Now().Add(claimEndRetryTime)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		_, err := t.ClaimsLog.RunCommand(ctx, cmd)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(claimEndRetryInterval)
	}
}

// writeClaimedResponse stores the response for retries with the same key and sends it
// to the caller. An incomplete response is not stored: the claim stays unfinished, and
// a retry is told that the outcome is unknown.
func (t *Relayer) writeClaimedResponse(w http.ResponseWriter, c *claimAttempt, resp *Response) {
	defer func() { _ = resp.Body.Close() }()
	var buffered bytes.Buffer
	_, err := io.Copy(&buffered, io.LimitReader(resp.Body, int64(t.Limits.MaxStoredResponseBytes)+1))
	if err != nil {
		t.writeRefusal(w, refuser.New(refuser.AnswerIncomplete, refuser.MayHaveRun, "the answer broke off"))
		return
	}
	stored := &claimer.Response{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: buffered.Bytes()}
	if buffered.Len() <= t.Limits.MaxStoredResponseBytes {
		t.runClaimCommand(c.newCommand(claimer.ActionFinish, stored))
		writeStoredResponse(w, stored, false)
		t.updateStats(func(s *Stats) { s.Completed++ })
		return
	}
	omitted := &claimer.Response{Status: stored.Status, ContentType: stored.ContentType, BodyOmitted: true}
	t.runClaimCommand(c.newCommand(claimer.ActionFinish, omitted))
	body := struct {
		io.Reader
		io.Closer
	}{io.MultiReader(&buffered, resp.Body), resp.Body}
	t.writeResponse(w, &Request{}, &Response{Status: resp.Status, Header: resp.Header, Body: body})
}
