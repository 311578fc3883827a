package cicadarouter

import (
	"context"
	"net/http"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadaroute"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
)

const (
	// maxAttempts is the maximum number of attempts per request.
	maxAttempts = 4
	// runnerRetryInterval is the time between attempts to choose a runner of a
	// busy upstream.
	runnerRetryInterval = 10 * time.Millisecond
)

type (
	// outcome is the result of an admitted request.
	outcome struct {
		bill    cicadaledger.Bill
		refusal *cicadarefusal.Refusal // nil if the caller gets a response
		// finishResponse sends the last part of the response. It is called once
		// the bill is recorded or the wait for that has ended.
		finishResponse func()
	}

	// attemptSequence runs a request on successive runners.
	attemptSequence struct {
		ar         *activeRequest
		triedAddrs []string
		count      int
		// mayHaveRun is set once an upstream may have received part of the request.
		mayHaveRun  bool
		lastFailure error
	}

	// attemptFunc makes one attempt. It returns the request's outcome, or nil and
	// a Failure if another attempt may follow.
	attemptFunc func(ctx context.Context, call *cicadaupstream.Call) (*outcome, cicadaupstream.Failure)
)

// run makes attempts until one returns an outcome or no further attempt is
// allowed.
func (s *attemptSequence) run(ctx context.Context, prefix uint64, try attemptFunc) *outcome {
	for s.count < maxAttempts {
		if ref := s.ar.quarantineRefusal(s.runStatus()); ref != nil {
			return s.refusedOutcome(ref)
		}
		addr, err := s.waitForRunner(ctx, prefix)
		if err != nil {
			return s.failedOutcome(err)
		}
		s.count++
		out, failure := s.attemptOnce(ctx, addr, try)
		if out != nil {
			return out
		}
		s.triedAddrs = append(s.triedAddrs, addr)
		s.lastFailure = failure
		if final := s.afterFailure(ctx, addr, failure); final != nil {
			return final
		}
	}
	return s.failedOutcome(s.lastFailure)
}

// waitForRunner chooses a runner, waiting up to the admission wait if all are busy.
func (s *attemptSequence) waitForRunner(ctx context.Context, prefix uint64) (string, error) {
	ar := s.ar
	req := &cicadaroute.Request{
		Upstream: upstreamID(ar.svc.Name(), ar.upstream.Name), DataCentre: ar.r.cfg.DataCentre, LocalFirst: *ar.rules.LocalFirst,
		FreeSlotOnly: ar.priority() == cicadadoc.PriorityBatch, Tried: s.triedAddrs, PrefixHash: prefix,
	}
	waitEnd := time.Now().Add(time.Duration(ar.rules.AdmissionWait))
	for {
		addr, err := ar.r.chooseRunner(req, ar.trail)
		if err == nil || !errors.Is(err, cicadaroute.ErrBusy) || time.Now().After(waitEnd) {
			return addr, err
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-time.After(runnerRetryInterval):
		}
	}
}

// chooseRunner chooses a runner and counts the request there.
func (r *Router) chooseRunner(req *cicadaroute.Request, trail *cicadatrail.Trail) (string, error) {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	now := time.Now()
	addr, err := r.table.Choose(req, now)
	if err != nil && errors.Is(err, cicadaroute.ErrBusy) && len(req.Tried) == 0 {
		return "", err
	}
	ev := &cicadatrail.Routed{Rule: routingRule(req), Candidates: r.table.Candidates(req, now)}
	if err != nil {
		ev.Error = err.Error()
	} else {
		ev.Runner = r.table.RunnerName(addr)
		r.table.RequestStarted(addr)
	}
	trail.Add(ev)
	return addr, err
}

func routingRule(req *cicadaroute.Request) string {
	rule := "two choices by estimated load"
	if req.LocalFirst {
		rule += ", place " + req.DataCentre + " first"
	}
	if req.PrefixHash != 0 {
		rule += ", prefix affinity with bounded load"
	}
	return rule
}

func (s *attemptSequence) attemptOnce(ctx context.Context, addr string, try attemptFunc) (*outcome, cicadaupstream.Failure) {
	call := &cicadaupstream.Call{
		Addr: addr, Header: s.ar.upstreamHeaders(), RequestID: s.ar.id, Attempt: s.count,
		FirstByteTimeout: time.Duration(s.ar.rules.FirstByteDeadline),
	}
	s.ar.progress = attemptProgress{}
	out, failure := try(ctx, call)
	s.ar.r.recordAttemptEnd(addr, failure)
	s.checkRunner(ctx, addr, failure)
	if failure != nil {
		s.ar.trail.Add(&cicadatrail.Attempt{Number: s.count, Runner: addr, Outcome: failure.Error()})
	}
	return out, failure
}

// checkRunner has the runner checked if its response may have broken off because it crashed.
func (s *attemptSequence) checkRunner(ctx context.Context, addr string, failure cicadaupstream.Failure) {
	switch failure.(type) {
	case *cicadaupstream.NoResponseError, *cicadaupstream.ResponseError:
		if ctx.Err() == nil {
			s.ar.checkRunner(addr)
		}
	}
}

// recordAttemptEnd records the result of an attempt in the routing table.
// Refusals and rejected requests do not count as failures of the runner.
func (r *Router) recordAttemptEnd(addr string, failure cicadaupstream.Failure) {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	failed := false
	switch f := failure.(type) {
	case *cicadaupstream.NotSentError, *cicadaupstream.NoResponseError, *cicadaupstream.ResponseError:
		failed = true
	case *cicadaupstream.RefusedError:
		if f.Draining {
			r.table.MarkDraining(addr)
		}
	case *cicadaupstream.RejectedError, nil:
	}
	r.table.RequestFinished(addr, failed, time.Now())
}

// afterFailure returns nil if another attempt may follow a failed one, otherwise
// the request's outcome.
func (s *attemptSequence) afterFailure(ctx context.Context, addr string, failure cicadaupstream.Failure) *outcome {
	ar := s.ar
	switch f := failure.(type) {
	case *cicadaupstream.NotSentError, *cicadaupstream.RefusedError:
		// The request did not run, so a retry cannot run it twice.
	case *cicadaupstream.RejectedError:
		return &outcome{
			bill:    ar.newBill(0, 0, cicadaledger.OutcomeNotRun),
			refusal: cicadarefusal.New(cicadarefusal.UpstreamRejected, cicadarefusal.RunUnknown, "status %d: %s", f.Status, f.Body),
		}
	case *cicadaupstream.NoResponseError, *cicadaupstream.ResponseError:
		s.mayHaveRun = true
		if ar.atMostOnce {
			return s.unknownOutcome(failure)
		}
		ar.r.cancelAttempt(addr, ar.id)
		if !ar.r.retries.withdraw(ar.budget) {
			ar.r.metrics.Router.Add("retriesOverBudget", 1)
			return s.failedOutcome(failure)
		}
	}
	ar.r.metrics.Router.Add("retries", 1)
	if ctx.Err() != nil {
		return s.failedOutcome(failure)
	}
	return nil
}

// cancelAttempt cancels a failed attempt at its engine in the background, so that
// it uses no further capacity.
func (r *Router) cancelAttempt(addr, requestID string) {
	r.runTask(func() {
		if _, err := r.upstreamClient.Cancel(r.ctx, addr, requestID); err != nil {
			r.metrics.Router.Add("cancelsFailed", 1)
		}
	})
}

// unknownOutcome is the outcome of an at-most-once request that may have run. Its
// reserved units are withheld, and a request with its key never runs again.
func (s *attemptSequence) unknownOutcome(cause error) *outcome {
	ar := s.ar
	ar.r.metrics.Router.Add("outcomesUnknown", 1)
	return &outcome{
		bill:    ar.newBill(0, ar.reservation.Units(), cicadaledger.OutcomeUnknown),
		refusal: cicadarefusal.New(cicadarefusal.OutcomeUnknown, cicadarefusal.RunUnknown, "%v", cause),
	}
}

// failedOutcome is the outcome of a request that got no usable response from any
// runner. It is reported as not run only if no runner can have received any of it.
func (s *attemptSequence) failedOutcome(cause error) *outcome {
	ar, ran := s.ar, s.runStatus()
	switch {
	case errors.Is(cause, cicadaroute.ErrBusy):
		return s.refusedOutcome(cicadarefusal.New(cicadarefusal.RunnersBusy, ran, "upstream %s", ar.upstream.Name))
	case errors.Is(cause, cicadaroute.ErrNoRunner):
		return s.refusedOutcome(cicadarefusal.New(cicadarefusal.NoRunner, ran, "upstream %s, %d attempts", ar.upstream.Name, s.count))
	case time.Now().After(ar.deadline):
		return s.refusedOutcome(cicadarefusal.New(cicadarefusal.DeadlineExceeded, ran, "after %s", time.Duration(ar.rules.RequestDeadline)))
	default:
		return s.refusedOutcome(cicadarefusal.New(cicadarefusal.UpstreamFailed, ran, "%d attempts, the last: %v", s.count, cause))
	}
}

// runStatus states whether a runner may have received any of the request.
func (s *attemptSequence) runStatus() cicadarefusal.RunStatus {
	if s.mayHaveRun {
		return cicadarefusal.RunUnknown
	}
	return cicadarefusal.NotRun
}

// refusedOutcome is the outcome of a request that is refused after its attempts.
func (s *attemptSequence) refusedOutcome(ref *cicadarefusal.Refusal) *outcome {
	out := &outcome{bill: s.ar.newBill(0, 0, cicadaledger.OutcomeNotRun), refusal: ref}
	if s.mayHaveRun {
		out.bill.Outcome = cicadaledger.OutcomeInterrupted
	}
	return out
}

// finish settles the request, waits for the home to record the bill, and
// completes the response.
func (ar *activeRequest) finish(out *outcome) {
	bill := out.bill
	if reserved := ar.reservation.Units(); bill.Units+bill.Withheld > reserved {
		ar.r.metrics.Router.Add("usageAboveReservation", 1)
		bill.Units = min(bill.Units, reserved)
		bill.Withheld = reserved - bill.Units
	}
	if bill.Units == 0 && bill.Withheld == 0 && !ar.atMostOnce {
		ar.releaseKey()
	}
	recorded, err := ar.r.session.Settle(ar.reservation, bill)
	if err != nil {
		ar.r.cfg.Log.WithError(err).WithField("requestId", ar.id).Error("bill could not be settled; please report this")
		recorded = nil
	}
	if out.refusal != nil {
		ar.storeResponse(bill.Outcome)
		ar.trail.Add(&cicadatrail.Billed{Bill: bill, Partition: ar.partitionName()})
		ar.refuse(out.refusal)
		return
	}
	if bill.Outcome == cicadaledger.OutcomeComplete {
		ar.recordAnswer()
	}
	isRecorded := ar.awaitBillRecord(recorded)
	ar.trail.Add(&cicadatrail.Billed{Bill: bill, Partition: ar.partitionName(), RecordedBeforeEnd: isRecorded})
	if out.finishResponse != nil {
		out.finishResponse()
	}
	ar.storeResponse(bill.Outcome)
	ar.trail.Add(&cicadatrail.Delivered{Status: http.StatusOK, Bytes: ar.bytesSent})
	ar.r.metrics.Router.Add("outcome."+string(bill.Outcome), 1)
}

// storeResponse ends the request for those that wait for its response.
func (ar *activeRequest) storeResponse(o cicadaledger.Outcome) {
	switch o {
	case cicadaledger.OutcomeComplete:
		ar.r.responses.end(ar.id, ar.storedResponse)
		return
	case cicadaledger.OutcomeUnknown:
		ar.r.responses.endUnknown(ar.id)
	default:
		ar.r.responses.end(ar.id, nil)
	}
	ar.trail.MarkFailed()
}

func (ar *activeRequest) partitionName() string {
	return cicadaledger.PartitionOf(ar.r.cfg.Region, ar.budget).String()
}

const (
	// billRecordTimeout is the maximum time that the end of a response waits for
	// the bill to be recorded.
	billRecordTimeout = 300 * time.Millisecond
	// maxAwaitedCommitInterval is the longest commit interval at which responses
	// wait for their bills. The interval grows with the fleet; up to this value the
	// platform can record each bill within billRecordTimeout.
	maxAwaitedCommitInterval = 150 * time.Millisecond
)

// awaitBillRecord waits until the bill is recorded if the commit interval is short
// enough, and reports whether the bill is recorded.
func (ar *activeRequest) awaitBillRecord(recorded <-chan struct{}) bool {
	if recorded == nil || ar.r.fleet.CommitInterval() > maxAwaitedCommitInterval {
		return false
	}
	select {
	case <-recorded:
		return true
	case <-time.After(billRecordTimeout):
		ar.r.metrics.Router.Add("answersBeforeBill", 1)
		return false
	}
}

// tokenUnits returns the sum of token counts as units; negative counts are zero.
func tokenUnits(tokens ...int64) cicadabudget.Units {
	var sum cicadabudget.Units
	for _, t := range tokens {
		sum += cicadabudget.Units(max(0, t))
	}
	return sum
}
