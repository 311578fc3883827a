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
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// runnerRetryInterval is the pause before a full upstream is looked at again.
	runnerRetryInterval = 10 * time.Millisecond
)

type (
	// outcome is how a request that was admitted ended.
	outcome struct {
		bill    cicadaledger.Bill
		refusal *cicadarefusal.Refusal // nil if the caller got an answer
		// finishResponse sends what closes the answer, once the bill is recorded.
		finishResponse func()
	}

	// attemptSequence runs a request at one runner after another.
	attemptSequence struct {
		ar         *activeRequest
		triedAddrs []string
		count      int
		// mayHaveRun is set once a byte may have reached an upstream.
		mayHaveRun  bool
		lastFailure error
	}

	// attemptFunc makes one attempt. It returns nil and a Failure if another
	// attempt may follow, or the request's outcome.
	attemptFunc func(ctx context.Context, call *cicadaupstream.Call) (*outcome, cicadaupstream.Failure)
)

// run tries runners until one gives an outcome or no further try is allowed.
func (s *attemptSequence) run(ctx context.Context, prefix uint64, try attemptFunc) *outcome {
	for s.count < maxAttempts {
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

// waitForRunner picks a runner, waiting a while if all are full.
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

// chooseRunner picks a runner and counts the request there.
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
	out, failure := try(ctx, call)
	s.ar.r.recordAttemptEnd(addr, failure)
	if failure != nil {
		s.ar.trail.Add(&cicadatrail.Attempt{Number: s.count, Runner: addr, Outcome: failure.Error()})
	}
	return out, failure
}

// recordAttemptEnd tells the table how an attempt ended. A refusal is no failure of
// the runner, and neither is an error of the request.
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

// afterFailure decides whether a failed attempt may be followed by another: nil for
// yes, else the request's outcome.
func (s *attemptSequence) afterFailure(ctx context.Context, addr string, failure cicadaupstream.Failure) *outcome {
	ar := s.ar
	switch f := failure.(type) {
	case *cicadaupstream.NotSentError, *cicadaupstream.RefusedError:
		// Nothing ran: another runner may be tried at no risk.
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

// cancelAttempt ends a lost attempt at its engine, so that it wastes no capacity.
func (r *Router) cancelAttempt(addr, requestID string) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		if _, err := r.upstreamClient.Cancel(r.ctx, addr, requestID); err != nil {
			r.metrics.Router.Add("cancelsFailed", 1)
		}
	}()
}

// unknownOutcome is the outcome of a call that may run once and may have run. Its
// charge is withheld, and its key never runs again.
func (s *attemptSequence) unknownOutcome(cause error) *outcome {
	ar := s.ar
	ar.r.metrics.Router.Add("outcomesUnknown", 1)
	return &outcome{
		bill:    ar.newBill(0, ar.reservation.Units(), cicadaledger.OutcomeUnknown),
		refusal: cicadarefusal.New(cicadarefusal.OutcomeUnknown, cicadarefusal.RunUnknown, "%v", cause),
	}
}

// failedOutcome is the outcome of a request that no runner answered. "Not run" is said
// only if no byte can have reached one.
func (s *attemptSequence) failedOutcome(cause error) *outcome {
	ar := s.ar
	out := &outcome{bill: ar.newBill(0, 0, cicadaledger.OutcomeNotRun)}
	ran := cicadarefusal.NotRun
	if s.mayHaveRun {
		ran = cicadarefusal.RunUnknown
		out.bill.Outcome = cicadaledger.OutcomeInterrupted
	}
	switch {
	case errors.Is(cause, cicadaroute.ErrBusy):
		out.refusal = cicadarefusal.New(cicadarefusal.RunnersBusy, ran, "upstream %s", ar.upstream.Name)
	case errors.Is(cause, cicadaroute.ErrNoRunner):
		out.refusal = cicadarefusal.New(cicadarefusal.NoRunner, ran, "upstream %s, %d attempts", ar.upstream.Name, s.count)
	case time.Now().After(ar.deadline):
		out.refusal = cicadarefusal.New(cicadarefusal.DeadlineExceeded, ran, "after %s", time.Duration(ar.rules.RequestDeadline))
	default:
		out.refusal = cicadarefusal.New(cicadarefusal.UpstreamFailed, ran, "%d attempts, the last: %v", s.count, cause)
	}
	return out
}

// finish settles the request, lets the home record the bill, and closes the
// answer.
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
		ar.r.cfg.Log.WithError(err).WithField("requestId", ar.id).Error("request not settled; please report this")
		recorded = nil
	}
	if out.refusal != nil {
		ar.r.responses.end(ar.id, nil)
		ar.trail.Add(&cicadatrail.Billed{Bill: bill, Partition: ar.partitionName()})
		ar.refuse(out.refusal)
		return
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

func (ar *activeRequest) storeResponse(o cicadaledger.Outcome) {
	if o == cicadaledger.OutcomeComplete {
		ar.r.responses.end(ar.id, ar.storedResponse)
		return
	}
	ar.trail.MarkFailed()
	ar.r.responses.end(ar.id, nil)
}

func (ar *activeRequest) partitionName() string {
	return cicadaledger.PartitionOf(ar.r.cfg.Region, ar.budget).String()
}

const (
	// billRecordTimeout bounds how long the end of an answer waits for its bill.
	billRecordTimeout = 300 * time.Millisecond
	// maxAwaitedCommitInterval is the commit interval up to which it waits at all: at
	// that size of fleet the platform can take each bill within the wait.
	maxAwaitedCommitInterval = 150 * time.Millisecond
)

// awaitBillRecord waits until the bill is recorded, if the fleet is small enough
// for that. It reports whether it is.
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

// tokenUnits sums token counts into units, bounded below by zero.
func tokenUnits(tokens ...int64) cicadabudget.Units {
	var sum cicadabudget.Units
	for _, t := range tokens {
		sum += cicadabudget.Units(max(0, t))
	}
	return sum
}
