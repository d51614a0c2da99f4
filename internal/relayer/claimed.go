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
	claimWait  = 3 * time.Second
	finishWait = 2 * time.Second
	// settleTime is how long the end of a claim is tried to be stored.
	settleTime = 2 * time.Minute
	settleStep = time.Second
)

// serveClaimed runs a request at most once.
func (t *Relayer) serveClaimed(ctx context.Context, w http.ResponseWriter, r *Request) {
	c := t.newClaim(r)
	if why := t.claim(ctx, w, c); why != nil {
		t.refuse(w, why)
		return
	}
	if c.ended {
		return
	}
	// The claim is held. The caller's leaving must not leave it open, so the
	// request goes on without the caller.
	ctx = context.WithoutCancel(ctx)
	reply, why := t.route(ctx, r)
	if why != nil {
		t.endFailed(c, why)
		t.refuse(w, why)
		return
	}
	t.answerClaimed(w, c, reply)
}

// claimed is one attempt under an idempotency key.
type claimed struct {
	begin claimer.Command
	// ended is set when an earlier attempt's answer was sent.
	ended bool
}

func (t *Relayer) newClaim(r *Request) *claimed {
	return &claimed{begin: claimer.Command{
		Action:      claimer.ActionBegin,
		Key:         claimer.Key{Team: r.Team, Service: r.Service, Value: r.IdempotencyKey},
		Fingerprint: claimer.NewFingerprint(r.Method, r.Path, r.Body),
		Attempt:     rand.Text(), Holder: t.VM,
		Retention: t.Limits.ClaimRetention.Milliseconds(),
	}}
}

// claim takes the key, or answers from an earlier attempt.
func (t *Relayer) claim(ctx context.Context, w http.ResponseWriter, c *claimed) *refuser.Refusal {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	o, err := t.ClaimsLog.RunCommand(ctx, c.begin)
	if err != nil {
		// The claim may stand, but this attempt was not sent and will not be.
		go t.settle(c.command(claimer.ActionRelease, nil))
		return refuser.New(refuser.ClaimUnavailable, refuser.MayHaveRun,
			"this attempt was not sent, but whether an earlier one under the key ran cannot be told: "+err.Error()).WithRetryAfter(time.Second)
	}
	switch o.Verdict {
	case claimer.VerdictGranted:
		return nil
	case claimer.VerdictRunning:
		return refuser.New(refuser.KeyRunning, refuser.MayHaveRun, "a request under this key was sent through "+string(o.Holder)+" and its end is not known").WithRetryAfter(time.Second)
	case claimer.VerdictFinished:
		return t.replay(w, c, o.Response)
	case claimer.VerdictMismatch:
		return refuser.New(refuser.KeyReused, refuser.NotRun, "the key was used before for another request")
	}
	return refuser.New(refuser.ClaimUnavailable, refuser.MayHaveRun, "the key cannot be claimed")
}

func (t *Relayer) replay(w http.ResponseWriter, c *claimed, a *claimer.Response) *refuser.Refusal {
	if a.BodyOmitted {
		return refuser.New(refuser.AnswerNotKept, refuser.MayHaveRun, "the request has run under this key; its answer was too large to keep")
	}
	c.ended = true
	t.count(func(s *Stats) { s.Replayed++ })
	writeAnswer(w, a, true)
	return nil
}

func writeAnswer(w http.ResponseWriter, a *claimer.Response, replayed bool) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	if replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func (c *claimed) command(action claimer.Action, a *claimer.Response) claimer.Command {
	cmd := c.begin
	cmd.Action, cmd.Response = action, a
	return cmd
}

// endFailed gives the claim up when the request certainly did not run. In any
// other case the claim stays, so that no resend runs it again.
func (t *Relayer) endFailed(c *claimed, why *refuser.Refusal) {
	if why.Statement == refuser.NotRun {
		t.settleSoon(c.command(claimer.ActionRelease, nil))
	}
}

// settleSoon stores the end of a claim, in the background if it takes long.
func (t *Relayer) settleSoon(cmd claimer.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), finishWait)
	defer cancel()
	if _, err := t.ClaimsLog.RunCommand(ctx, cmd); err != nil {
		go t.settle(cmd)
	}
}

// settle tries for a while to store the end of a claim.
func (t *Relayer) settle(cmd claimer.Command) {
	end := time.Now().Add(settleTime)
	for time.Now().Before(end) {
		ctx, cancel := context.WithTimeout(context.Background(), claimWait)
		_, err := t.ClaimsLog.RunCommand(ctx, cmd)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(settleStep)
	}
}

// answerClaimed keeps the answer for resends and sends it to the caller. An
// answer that broke off is not kept: the claim stays open and a resend is told
// that the end is not known.
func (t *Relayer) answerClaimed(w http.ResponseWriter, c *claimed, reply *Response) {
	defer func() { _ = reply.Body.Close() }()
	var kept bytes.Buffer
	_, err := io.Copy(&kept, io.LimitReader(reply.Body, int64(t.Limits.MaxStoredResponseBytes)+1))
	if err != nil {
		t.refuse(w, refuser.New(refuser.AnswerIncomplete, refuser.MayHaveRun, "the answer broke off"))
		return
	}
	a := &claimer.Response{Status: reply.Status, ContentType: reply.Header.Get("Content-Type"), Body: kept.Bytes()}
	if kept.Len() <= t.Limits.MaxStoredResponseBytes {
		t.settleSoon(c.command(claimer.ActionFinish, a))
		writeAnswer(w, a, false)
		t.count(func(s *Stats) { s.Completed++ })
		return
	}
	omitted := &claimer.Response{Status: a.Status, ContentType: a.ContentType, BodyOmitted: true}
	t.settleSoon(c.command(claimer.ActionFinish, omitted))
	rest := struct {
		io.Reader
		io.Closer
	}{io.MultiReader(&kept, reply.Body), reply.Body}
	t.finish(w, &Request{}, &Response{Status: reply.Status, Header: reply.Header, Body: rest})
}
