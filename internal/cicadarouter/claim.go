package cicadarouter

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadasession"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/pkg/errors"
)

const (
	// claimWait bounds the wait for the home's word on an idempotent key. If
	// it does not come the request runs; a second bill would be voided.
	claimWait = 200 * time.Millisecond
	// onceWait bounds the wait for a claim that has to be recorded first.
	onceWait = 2 * time.Second
	// joinWait bounds the wait for a running attempt with the same key, and
	// fetchWait the fetch of its answer from another router.
	joinWait  = 400 * time.Millisecond
	fetchWait = 800 * time.Millisecond
)

// claim asks the home of the budget whether the request's key is free. It
// reports replayed if the caller got the answer of an earlier attempt.
func (j *job) claim(ctx context.Context) (replayed bool, ref *cicadarefusal.Refusal) {
	if j.key == "" {
		return false, nil
	}
	c := cicadaledger.Claim{Key: j.key, RequestID: j.id, Fingerprint: j.fingerprint, AtMostOnce: j.once}
	v, err := j.askClaim(ctx, c)
	if err != nil {
		return false, j.claimFailed(c, err)
	}
	if v.Status != cicadaledger.KeyBilled && v.Status != cicadaledger.KeyRunning {
		return false, j.judge(v)
	}
	state := j.replay(ctx, v)
	if state == replayDone {
		return true, nil
	}
	if j.once || state == replayRunning {
		return false, j.judge(v)
	}
	// The answer is lost with its router, and the request is idempotent: it may
	// run again. A second bill for the key would be voided.
	c.Rerun = true
	if v, err = j.askClaim(ctx, c); err != nil {
		return false, j.claimFailed(c, err)
	}
	return false, j.judge(v)
}

func (j *job) askClaim(ctx context.Context, c cicadaledger.Claim) (cicadaledger.ClaimResult, error) {
	wait := claimWait
	if j.once {
		wait = onceWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ask := j.r.session.ClaimIdempotent
	if j.once {
		ask = j.r.session.ClaimAtMostOnce
	}
	v, err := ask(ctx, j.budget, c)
	ev := &cicadatrail.Claimed{Verdict: v.Status, FirstRequest: v.RequestID}
	if err != nil {
		ev.Error = err.Error()
	}
	j.trail.Add(ev)
	return v, err
}

// claimFailed decides without a verdict: a call that may run once is refused,
// any other goes on.
func (j *job) claimFailed(c cicadaledger.Claim, err error) *cicadarefusal.Refusal {
	switch {
	case errors.Is(err, cicadasession.ErrClosed):
		return cicadarefusal.New(cicadarefusal.Stopping, cicadarefusal.NotRun, "the router takes no new work")
	case j.once:
		j.r.session.WithdrawClaim(j.budget, c)
		return cicadarefusal.New(cicadarefusal.ClaimNotRecorded, cicadarefusal.NotRun, "%v", err)
	default:
		j.r.metrics.Router.Add("claimsWithoutVerdict", 1)
		return nil
	}
}

// judge turns a verdict into a refusal, or lets the request pass.
func (j *job) judge(v cicadaledger.ClaimResult) *cicadarefusal.Refusal {
	switch v.Status {
	case cicadaledger.KeyGranted:
		j.claimed = true
		return nil
	case cicadaledger.KeyRunning:
		return cicadarefusal.New(cicadarefusal.KeyInUse, cicadarefusal.RunUnknown, "request %s at router %s", v.RequestID, v.Holder.Host)
	case cicadaledger.KeyMismatch:
		return cicadarefusal.New(cicadarefusal.KeyMismatch, cicadarefusal.NotRun, "the key belongs to request %s", v.RequestID)
	case cicadaledger.KeyOutcomeUnknown:
		return cicadarefusal.New(cicadarefusal.OutcomeUnknown, cicadarefusal.RunUnknown, "request %s at router %s was lost", v.RequestID, v.Holder.Host)
	case cicadaledger.KeyBilled:
		return cicadarefusal.New(cicadarefusal.AlreadyRan, cicadarefusal.DidRun, "request %s; its answer is not kept any more", v.RequestID)
	default:
		return cicadarefusal.New(cicadarefusal.Internal, cicadarefusal.NotRun, "verdict %q", v.Status)
	}
}

// replayState tells what became of an earlier attempt's answer.
type replayState int

const (
	replayDone    replayState = iota // the caller has it
	replayRunning                    // the attempt goes on
	replayGone                       // nobody has it
)

// replay joins the attempt that has the request's key: it waits a while for its
// end and sends the kept answer.
func (j *job) replay(ctx context.Context, v cicadaledger.ClaimResult) replayState {
	kept, err := j.fetch(ctx, v)
	switch {
	case errors.Is(err, cicadapeer.ErrUnreachable):
		return replayGone
	case err != nil || kept.Running:
		return replayRunning
	case !kept.Found:
		return replayGone
	}
	j.w.Header().Set("Content-Type", kept.Response.ContentType)
	j.w.Header().Set("Idempotent-Replayed", "true")
	j.w.WriteHeader(kept.Response.Status)
	n, _ := j.w.Write(kept.Response.Body)
	j.r.metrics.Router.Add("answersReplayed", 1)
	j.trail.Add(&cicadatrail.Delivered{
		Status: kept.Response.Status, Bytes: int64(n), Note: "the kept answer of request " + v.RequestID + ", billed once",
	})
	return replayDone
}

func (j *job) fetch(ctx context.Context, v cicadaledger.ClaimResult) (*cicadapeer.FetchResponseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchWait)
	defer cancel()
	if v.Holder == j.r.holder() {
		return j.r.kept.await(ctx, v.RequestID), nil
	}
	host, ok := j.r.fleet.Host(v.Holder.Host)
	if !ok || host.Incarnation != v.Holder.Incarnation {
		return &cicadapeer.FetchResponseReply{}, nil
	}
	return j.r.peers.FetchResponse(ctx, host.PeerAddr, &cicadapeer.FetchResponseRequest{RequestID: v.RequestID})
}

// withdraw frees the key of a request that is refused before it ran.
func (j *job) withdraw() {
	if !j.claimed {
		return
	}
	c := cicadaledger.Claim{Key: j.key, RequestID: j.id, Fingerprint: j.fingerprint, AtMostOnce: j.once}
	if j.once {
		j.r.session.WithdrawClaim(j.budget, c)
		return
	}
	j.r.session.ReleaseClaim(j.budget, c)
}

// refusalOf turns an error of a reservation into a refusal.
func (j *job) refusalOf(err error, units cicadabudget.Units) *cicadarefusal.Refusal {
	f := j.r.session.BudgetStatus(j.budget)
	switch {
	case errors.Is(err, cicadasession.ErrExhausted):
		return cicadarefusal.New(cicadarefusal.BudgetExhausted, cicadarefusal.NotRun,
			"budget %s has %d units left, the request may use %d", j.budget, f.Remaining, units)
	case errors.Is(err, cicadasession.ErrUnitsHeld):
		return cicadarefusal.New(cicadarefusal.UnitsHeldElsewhere, cicadarefusal.NotRun,
			"budget %s has %d units left, %d of them at other routers; the request may use %d",
			j.budget, f.Remaining, f.HeldElsewhere, units)
	case errors.Is(err, cicadasession.ErrClosed):
		return cicadarefusal.New(cicadarefusal.Stopping, cicadarefusal.NotRun, "the router takes no new work")
	default:
		return cicadarefusal.New(cicadarefusal.HomeUnavailable, cicadarefusal.NotRun,
			"budget %s: this router holds %d units, the request may use %d, and the home gave no answer", j.budget, f.Held, units)
	}
}
