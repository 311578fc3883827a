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
	// claimTimeout is the maximum wait for the home's result of a claim by an
	// idempotent request. After it the request runs without one; a second bill of
	// the same key is voided.
	claimTimeout = 200 * time.Millisecond
	// recordedClaimTimeout is the maximum wait for an at-most-once claim, which the
	// home records before it returns the result.
	recordedClaimTimeout = 2 * time.Second
	// runningWaitTimeout is the maximum wait for a running request with the same
	// key, and responseFetchTimeout that for fetching its stored response.
	runningWaitTimeout   = 400 * time.Millisecond
	responseFetchTimeout = 800 * time.Millisecond
)

// claimKey claims the request's idempotency key at the home of the budget. It
// returns replayed as true if the caller got the stored response of an earlier
// request.
func (ar *activeRequest) claimKey(ctx context.Context) (replayed bool, ref *cicadarefusal.Refusal) {
	if ar.keyDigest == "" {
		return false, nil
	}
	c := cicadaledger.Claim{Key: ar.keyDigest, RequestID: ar.id, Fingerprint: ar.fingerprint, AtMostOnce: ar.atMostOnce}
	res, err := ar.requestClaim(ctx, c)
	if err != nil {
		return false, ar.handleClaimError(c, err)
	}
	if res.Status != cicadaledger.KeyBilled && res.Status != cicadaledger.KeyRunning {
		return false, ar.applyClaimResult(res)
	}
	result := ar.replayResponse(ctx, res)
	switch result {
	case replaySent:
		return true, nil
	case replayOutcomeUnknown:
		// The home learns it with the bill of that request, which is on its way.
		res.Status = cicadaledger.KeyOutcomeUnknown
		return false, ar.applyClaimResult(res)
	}
	if ar.atMostOnce || result == replayInProgress {
		return false, ar.applyClaimResult(res)
	}
	// The stored response is not available, and the request is idempotent: it may
	// run again. A second bill of the key is voided.
	c.Rerun = true
	if res, err = ar.requestClaim(ctx, c); err != nil {
		return false, ar.handleClaimError(c, err)
	}
	return false, ar.applyClaimResult(res)
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
	res, err := sendClaim(ctx, ar.budget, c)
	ev := &cicadatrail.Claimed{Status: res.Status, FirstRequest: res.RequestID}
	if err != nil {
		ev.Error = err.Error()
	}
	ar.trail.Add(ev)
	return res, err
}

// handleClaimError handles a claim without a result: an at-most-once request is
// refused, an idempotent one continues.
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

// applyClaimResult converts a claim result to a refusal, or returns nil if the
// request may run.
func (ar *activeRequest) applyClaimResult(res cicadaledger.ClaimResult) *cicadarefusal.Refusal {
	switch res.Status {
	case cicadaledger.KeyGranted:
		ar.claimed = true
		return nil
	case cicadaledger.KeyRunning:
		return cicadarefusal.New(cicadarefusal.KeyInUse, cicadarefusal.RunUnknown, "request %s at router %s", res.RequestID, res.Holder.Host)
	case cicadaledger.KeyMismatch:
		return cicadarefusal.New(cicadarefusal.KeyMismatch, cicadarefusal.NotRun, "the key belongs to request %s", res.RequestID)
	case cicadaledger.KeyOutcomeUnknown:
		return cicadarefusal.New(cicadarefusal.OutcomeUnknown, cicadarefusal.RunUnknown, "request %s at router %s was lost", res.RequestID, res.Holder.Host)
	case cicadaledger.KeyBilled:
		return cicadarefusal.New(cicadarefusal.AlreadyRan, cicadarefusal.DidRun, "request %s; its answer is not kept any more", res.RequestID)
	default:
		return cicadarefusal.New(cicadarefusal.Internal, cicadarefusal.NotRun, "verdict %q", res.Status)
	}
}

// replayResult is the result of an attempt to replay the response of an earlier
// request.
type replayResult int

const (
	replaySent           replayResult = iota // the response was sent to the caller
	replayInProgress                         // the earlier request is still running
	replayOutcomeUnknown                     // the earlier request has ended and may have run
	replayUnavailable                        // the response is not stored, or its router is unreachable
)

// replayResponse waits a limited time for the request that holds the key to finish,
// and sends its stored response.
func (ar *activeRequest) replayResponse(ctx context.Context, res cicadaledger.ClaimResult) replayResult {
	stored, err := ar.fetchStoredResponse(ctx, res)
	switch {
	case errors.Is(err, cicadapeer.ErrUnreachable):
		return replayUnavailable
	case err != nil || stored.Running:
		return replayInProgress
	case stored.OutcomeUnknown:
		return replayOutcomeUnknown
	case !stored.Found:
		return replayUnavailable
	}
	ar.w.Header().Set("Content-Type", stored.Response.ContentType)
	ar.w.Header().Set("Idempotent-Replayed", "true")
	ar.w.WriteHeader(stored.Response.Status)
	n, _ := ar.w.Write(stored.Response.Body)
	ar.r.metrics.Router.Add("answersReplayed", 1)
	ar.trail.Add(&cicadatrail.Delivered{
		Status: stored.Response.Status, Bytes: int64(n), Note: "the kept answer of request " + res.RequestID + ", billed once",
	})
	return replaySent
}

func (ar *activeRequest) fetchStoredResponse(ctx context.Context, res cicadaledger.ClaimResult) (*cicadapeer.FetchResponseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, responseFetchTimeout)
	defer cancel()
	if res.Holder == ar.r.routerID() {
		return ar.r.responses.await(ctx, res.RequestID), nil
	}
	host, ok := ar.r.fleet.Host(res.Holder.Host)
	if !ok || host.Incarnation != res.Holder.Incarnation {
		return &cicadapeer.FetchResponseReply{}, nil
	}
	return ar.r.peerClient.FetchResponse(ctx, host.PeerAddr, &cicadapeer.FetchResponseRequest{RequestID: res.RequestID})
}

// releaseKey releases the claimed key of a request that did not run.
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

// reservationRefusal converts a reservation error to a refusal.
func (ar *activeRequest) reservationRefusal(err error, units cicadabudget.Units) *cicadarefusal.Refusal {
	status := ar.r.session.BudgetStatus(ar.budget)
	switch {
	case errors.Is(err, cicadasession.ErrExhausted):
		return cicadarefusal.New(cicadarefusal.BudgetExhausted, cicadarefusal.NotRun,
			"budget %s has %d units left, the request may use %d", ar.budget, status.Remaining, units)
	case errors.Is(err, cicadasession.ErrUnitsHeld):
		return cicadarefusal.New(cicadarefusal.UnitsHeldElsewhere, cicadarefusal.NotRun,
			"budget %s has %d units left, %d of them at other routers; the request may use %d",
			ar.budget, status.Remaining, status.HeldElsewhere, units)
	case errors.Is(err, cicadasession.ErrClosed):
		return cicadarefusal.New(cicadarefusal.Stopping, cicadarefusal.NotRun, "the router takes no new work")
	default:
		return cicadarefusal.New(cicadarefusal.HomeUnavailable, cicadarefusal.NotRun,
			"budget %s: this router holds %d units, the request may use %d, and the home gave no answer", ar.budget, status.Held, units)
	}
}
