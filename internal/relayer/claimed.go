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

// ClaimsLog runs commands of the claims log. An error means that the command may
// or may not be in the log.
type ClaimsLog interface {
	RunCommand(ctx context.Context, c claimer.Command) (claimer.Outcome, error)
}

// Bounds of talking to the claims log.
const (
	claimTimeout    = 3 * time.Second
	claimEndTimeout = 2 * time.Second
	// claimEndRetryTime is how long the end of a claim is tried to be stored.
	claimEndRetryTime     = 2 * time.Minute
	claimEndRetryInterval = time.Second
)

// serveClaimed runs a request at most once.
func (t *Relayer) serveClaimed(ctx context.Context, w http.ResponseWriter, r *Request) {
	c := t.newClaimAttempt(r)
	if why := t.claimKey(ctx, w, c); why != nil {
		t.writeRefusal(w, why)
		return
	}
	if c.replayed {
		return
	}
	// The claim is held. The caller's leaving must not leave it open, so the
	// request goes on without the caller.
	ctx = context.WithoutCancel(ctx)
	reply, why := t.sendWithRetries(ctx, r)
	if why != nil {
		t.releaseIfNotRun(c, why)
		t.writeRefusal(w, why)
		return
	}
	t.writeClaimedResponse(w, c, reply)
}

// claimAttempt is one attempt under an idempotency key.
type claimAttempt struct {
	beginCommand claimer.Command
	// replayed is set when an earlier attempt's answer was sent.
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

// claimKey takes the key, or answers from an earlier attempt.
func (t *Relayer) claimKey(ctx context.Context, w http.ResponseWriter, c *claimAttempt) *refuser.Refusal {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	o, err := t.ClaimsLog.RunCommand(ctx, c.beginCommand)
	if err != nil {
		// The claim may stand, but this attempt was not sent and will not be.
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

func (t *Relayer) replayResponse(w http.ResponseWriter, c *claimAttempt, a *claimer.Response) *refuser.Refusal {
	if a.BodyOmitted {
		return refuser.New(refuser.AnswerNotKept, refuser.MayHaveRun, "the request has run under this key; its answer was too large to keep")
	}
	c.replayed = true
	t.updateStats(func(s *Stats) { s.Replayed++ })
	writeStoredResponse(w, a, true)
	return nil
}

func writeStoredResponse(w http.ResponseWriter, a *claimer.Response, replayed bool) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	if replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func (c *claimAttempt) newCommand(action claimer.Action, a *claimer.Response) claimer.Command {
	cmd := c.beginCommand
	cmd.Action, cmd.Response = action, a
	return cmd
}

// releaseIfNotRun gives the claim up when the request certainly did not run. In any
// other case the claim stays, so that no resend runs it again.
func (t *Relayer) releaseIfNotRun(c *claimAttempt, why *refuser.Refusal) {
	if why.Statement == refuser.NotRun {
		t.runClaimCommand(c.newCommand(claimer.ActionRelease, nil))
	}
}

// runClaimCommand stores the end of a claim, in the background if it takes long.
func (t *Relayer) runClaimCommand(cmd claimer.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), claimEndTimeout)
	defer cancel()
	if _, err := t.ClaimsLog.RunCommand(ctx, cmd); err != nil {
		go t.retryClaimCommand(cmd)
	}
}

// retryClaimCommand tries for a while to store the end of a claim.
func (t *Relayer) retryClaimCommand(cmd claimer.Command) {
	end := time.Now().Add(claimEndRetryTime)
	for time.Now().Before(end) {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		_, err := t.ClaimsLog.RunCommand(ctx, cmd)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(claimEndRetryInterval)
	}
}

// writeClaimedResponse keeps the answer for resends and sends it to the caller. An
// answer that broke off is not kept: the claim stays open and a resend is told
// that the end is not known.
func (t *Relayer) writeClaimedResponse(w http.ResponseWriter, c *claimAttempt, reply *Response) {
	defer func() { _ = reply.Body.Close() }()
	var kept bytes.Buffer
	_, err := io.Copy(&kept, io.LimitReader(reply.Body, int64(t.Limits.MaxStoredResponseBytes)+1))
	if err != nil {
		t.writeRefusal(w, refuser.New(refuser.AnswerIncomplete, refuser.MayHaveRun, "the answer broke off"))
		return
	}
	a := &claimer.Response{Status: reply.Status, ContentType: reply.Header.Get("Content-Type"), Body: kept.Bytes()}
	if kept.Len() <= t.Limits.MaxStoredResponseBytes {
		t.runClaimCommand(c.newCommand(claimer.ActionFinish, a))
		writeStoredResponse(w, a, false)
		t.updateStats(func(s *Stats) { s.Completed++ })
		return
	}
	omitted := &claimer.Response{Status: a.Status, ContentType: a.ContentType, BodyOmitted: true}
	t.runClaimCommand(c.newCommand(claimer.ActionFinish, omitted))
	rest := struct {
		io.Reader
		io.Closer
	}{io.MultiReader(&kept, reply.Body), reply.Body}
	t.writeResponse(w, &Request{}, &Response{Status: reply.Status, Header: reply.Header, Body: rest})
}
