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
	// claimTimeout bounds the wait for the home's word on an idempotent key. If
	// it does not come the request runs; a second bill would be voided.
	claimTimeout = 200 * time.Millisecond
	// recordedClaimTimeout bounds the wait for a claim that has to be recorded first.
	recordedClaimTimeout = 2 * time.Second
	// runningWaitTimeout bounds the wait for a running attempt with the same key, and
	// fetchWait the fetch of its answer from another router.
	runningWaitTimeout   = 400 * time.Millisecond
	responseFetchTimeout = 800 * time.Millisecond
)

// claimKey asks the home of the budget whether the request's key is free. It
// reports replayed if the caller got the answer of an earlier attempt.
func (ar *activeRequest) claimKey(ctx context.Context) (replayed bool, ref *cicadarefusal.Refusal) {
	if ar.keyDigest == "" {
		return false, nil
	}
	c := cicadaledger.Claim{Key: ar.keyDigest, RequestID: ar.id, Fingerprint: ar.fingerprint, AtMostOnce: ar.atMostOnce}
	v, err := ar.requestClaim(ctx, c)
	if err != nil {
		return false, ar.handleClaimError(c, err)
	}
	if v.Status != cicadaledger.KeyBilled && v.Status != cicadaledger.KeyRunning {
		return false, ar.applyVerdict(v)
	}
	result := ar.replayResponse(ctx, v)
	if result == replaySent {
		return true, nil
	}
	if ar.atMostOnce || result == replayInProgress {
		return false, ar.applyVerdict(v)
	}
	// The answer is lost with its router, and the request is idempotent: it may
	// run again. A second bill for the key would be voided.
	c.Rerun = true
	if v, err = ar.requestClaim(ctx, c); err != nil {
		return false, ar.handleClaimError(c, err)
	}
	return false, ar.applyVerdict(v)
}

func (ar *activeRequest) requestClaim(ctx context.Context, c cicadaledger.Claim) (cicadaledger.ClaimResult, error) {
	timeout := claimTimeout
	if ar.atMostOnce {
		timeout = recordedClaimTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sendClaim := ar.r.session.ClaimIdempotent
	if ar.atMostOnce {
		sendClaim = ar.r.session.ClaimAtMostOnce
	}
	v, err := sendClaim(ctx, ar.budget, c)
	ev := &cicadatrail.Claimed{Verdict: v.Status, FirstRequest: v.RequestID}
	if err != nil {
		ev.Error = err.Error()
	}
	ar.trail.Add(ev)
	return v, err
}

// handleClaimError decides without a verdict: a call that may run once is refused,
// any other goes on.
func (ar *activeRequest) handleClaimError(c cicadaledger.Claim, err error) *cicadarefusal.Refusal {
	switch {
	case errors.Is(err, cicadasession.ErrClosed):
		return cicadarefusal.New(cicadarefusal.Stopping, cicadarefusal.NotRun, "the router takes no new work")
	case ar.atMostOnce:
		ar.r.session.WithdrawClaim(ar.budget, c)
		return cicadarefusal.New(cicadarefusal.ClaimNotRecorded, cicadarefusal.NotRun, "%v", err)
	default:
		ar.r.metrics.Router.Add("claimsWithoutVerdict", 1)
		return nil
	}
}

// applyVerdict turns a verdict into a refusal, or lets the request pass.
func (ar *activeRequest) applyVerdict(v cicadaledger.ClaimResult) *cicadarefusal.Refusal {
	switch v.Status {
	case cicadaledger.KeyGranted:
		ar.claimed = true
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

// replayResult tells what became of an earlier attempt's answer.
type replayResult int

const (
	replaySent        replayResult = iota // the caller has it
	replayInProgress                      // the attempt goes on
	replayUnavailable                     // nobody has it
)

// replayResponse joins the attempt that has the request's key: it waits a while for its
// end and sends the kept answer.
func (ar *activeRequest) replayResponse(ctx context.Context, v cicadaledger.ClaimResult) replayResult {
	stored, err := ar.fetchStoredResponse(ctx, v)
	switch {
	case errors.Is(err, cicadapeer.ErrUnreachable):
		return replayUnavailable
	case err != nil || stored.Running:
		return replayInProgress
	case !stored.Found:
		return replayUnavailable
	}
	ar.w.Header().Set("Content-Type", stored.Kept.ContentType)
	ar.w.Header().Set("Idempotent-Replayed", "true")
	ar.w.WriteHeader(stored.Kept.Status)
	n, _ := ar.w.Write(stored.Kept.Body)
	ar.r.metrics.Router.Add("answersReplayed", 1)
	ar.trail.Add(&cicadatrail.Delivered{
		Status: stored.Kept.Status, Bytes: int64(n), Note: "the kept answer of request " + v.RequestID + ", billed once",
	})
	return replaySent
}

func (ar *activeRequest) fetchStoredResponse(ctx context.Context, v cicadaledger.ClaimResult) (*cicadapeer.AnswerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, responseFetchTimeout)
	defer cancel()
	if v.Holder == ar.r.holder() {
		return ar.r.responses.await(ctx, v.RequestID), nil
	}
	host, ok := ar.r.fleet.Host(v.Holder.Host)
	if !ok || host.Incarnation != v.Holder.Incarnation {
		return &cicadapeer.AnswerReply{}, nil
	}
	return ar.r.peerClient.Answer(ctx, host.PeerAddr, &cicadapeer.AnswerRequest{RequestID: v.RequestID})
}

// releaseKey frees the key of a request that is refused before it ran.
func (ar *activeRequest) releaseKey() {
	if !ar.claimed {
		return
	}
	c := cicadaledger.Claim{Key: ar.keyDigest, RequestID: ar.id, Fingerprint: ar.fingerprint, AtMostOnce: ar.atMostOnce}
	if ar.atMostOnce {
		ar.r.session.WithdrawClaim(ar.budget, c)
		return
	}
	ar.r.session.ReleaseClaim(ar.budget, c)
}

// reservationRefusal turns an error of a reservation into a refusal.
func (ar *activeRequest) reservationRefusal(err error, units cicadabudget.Units) *cicadarefusal.Refusal {
	figures := ar.r.session.BudgetStatus(ar.budget)
	switch {
	case errors.Is(err, cicadasession.ErrExhausted):
		return cicadarefusal.New(cicadarefusal.BudgetExhausted, cicadarefusal.NotRun,
			"budget %s has %d units left, the request may use %d", ar.budget, figures.Remaining, units)
	case errors.Is(err, cicadasession.ErrUnitsHeld):
		return cicadarefusal.New(cicadarefusal.UnitsHeldElsewhere, cicadarefusal.NotRun,
			"budget %s has %d units left, %d of them at other routers; the request may use %d",
			ar.budget, figures.Remaining, figures.HeldElsewhere, units)
	case errors.Is(err, cicadasession.ErrClosed):
		return cicadarefusal.New(cicadarefusal.Stopping, cicadarefusal.NotRun, "the router takes no new work")
	default:
		return cicadarefusal.New(cicadarefusal.HomeUnavailable, cicadarefusal.NotRun,
			"budget %s: this router holds %d units, the request may use %d, and the home gave no answer", ar.budget, figures.Held, units)
	}
}
