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
	// chooseAgain is the pause before a full upstream is looked at again.
	chooseAgain = 10 * time.Millisecond
)

type (
	// outcome is how a request that was admitted ended.
	outcome struct {
		bill    cicadaledger.Bill
		refusal *cicadarefusal.Refusal // nil if the caller got an answer
		// end sends what closes the answer, once the bill is recorded.
		end func()
	}

	// attempts runs a request at one runner after another.
	attempts struct {
		j     *job
		tried []string
		n     int
		// mayHaveRun is set once a byte may have reached an upstream.
		mayHaveRun bool
		last       error
	}

	// attemptFunc makes one attempt. It returns nil and a Failure if another
	// attempt may follow, or the request's outcome.
	attemptFunc func(ctx context.Context, call *cicadaupstream.Call) (*outcome, cicadaupstream.Failure)
)

// run tries runners until one gives an outcome or no further try is allowed.
func (a *attempts) run(ctx context.Context, prefix uint64, try attemptFunc) *outcome {
	for a.n < maxAttempts {
		addr, err := a.choose(ctx, prefix)
		if err != nil {
			return a.giveUp(err)
		}
		a.n++
		out, failure := a.once(ctx, addr, try)
		if out != nil {
			return out
		}
		a.tried = append(a.tried, addr)
		a.last = failure
		if stop := a.after(ctx, addr, failure); stop != nil {
			return stop
		}
	}
	return a.giveUp(a.last)
}

// choose picks a runner, waiting a while if all are full.
func (a *attempts) choose(ctx context.Context, prefix uint64) (string, error) {
	j := a.j
	req := &cicadaroute.Request{
		Upstream: upstreamID(j.svc.Name(), j.upstream.Name), DataCentre: j.r.cfg.DataCentre, LocalFirst: *j.rules.LocalFirst,
		FreeSlotOnly: j.priority() == cicadadoc.PriorityBatch, Tried: a.tried, PrefixHash: prefix,
	}
	until := time.Now().Add(time.Duration(j.rules.AdmissionWait))
	for {
		addr, err := j.r.chooseRunner(req, j.trail)
		if err == nil || !errors.Is(err, cicadaroute.ErrBusy) || time.Now().After(until) {
			return addr, err
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-time.After(chooseAgain):
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
	ev := &cicadatrail.Routed{Rule: ruleOf(req), Candidates: r.table.Candidates(req, now)}
	if err != nil {
		ev.Error = err.Error()
	} else {
		ev.Runner = r.table.RunnerName(addr)
		r.table.RequestStarted(addr)
	}
	trail.Add(ev)
	return addr, err
}

func ruleOf(req *cicadaroute.Request) string {
	rule := "two choices by estimated load"
	if req.LocalFirst {
		rule += ", place " + req.DataCentre + " first"
	}
	if req.PrefixHash != 0 {
		rule += ", prefix affinity with bounded load"
	}
	return rule
}

func (a *attempts) once(ctx context.Context, addr string, try attemptFunc) (*outcome, cicadaupstream.Failure) {
	call := &cicadaupstream.Call{
		Addr: addr, Header: a.j.headers(), RequestID: a.j.id, Attempt: a.n,
		FirstByteTimeout: time.Duration(a.j.rules.FirstByteDeadline),
	}
	out, failure := try(ctx, call)
	a.j.r.finishedAt(addr, failure)
	if failure != nil {
		a.j.trail.Add(&cicadatrail.Attempt{Number: a.n, Runner: addr, Outcome: failure.Error()})
	}
	return out, failure
}

// finishedAt tells the table how an attempt ended. A refusal is no failure of
// the runner, and neither is an error of the request.
func (r *Router) finishedAt(addr string, failure cicadaupstream.Failure) {
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

// after decides whether a failed attempt may be followed by another: nil for
// yes, else the request's outcome.
func (a *attempts) after(ctx context.Context, addr string, failure cicadaupstream.Failure) *outcome {
	j := a.j
	switch f := failure.(type) {
	case *cicadaupstream.NotSentError, *cicadaupstream.RefusedError:
		// Nothing ran: another runner may be tried at no risk.
	case *cicadaupstream.RejectedError:
		return &outcome{
			bill:    j.bill(0, 0, cicadaledger.OutcomeNotRun),
			refusal: cicadarefusal.New(cicadarefusal.UpstreamRejected, cicadarefusal.RunUnknown, "status %d: %s", f.Status, f.Body),
		}
	case *cicadaupstream.NoResponseError, *cicadaupstream.ResponseError:
		a.mayHaveRun = true
		if j.once {
			return a.unknown(failure)
		}
		j.r.cancelAt(addr, j.id)
		if !j.r.retries.withdraw(j.budget) {
			j.r.metrics.Router.Add("retriesOverBudget", 1)
			return a.giveUp(failure)
		}
	}
	j.r.metrics.Router.Add("retries", 1)
	if ctx.Err() != nil {
		return a.giveUp(failure)
	}
	return nil
}

// cancelAt ends a lost attempt at its engine, so that it wastes no capacity.
func (r *Router) cancelAt(addr, requestID string) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		if _, err := r.runners.Cancel(r.ctx, addr, requestID); err != nil {
			r.metrics.Router.Add("cancelsFailed", 1)
		}
	}()
}

// unknown is the outcome of a call that may run once and may have run. Its
// charge is withheld, and its key never runs again.
func (a *attempts) unknown(cause error) *outcome {
	j := a.j
	j.r.metrics.Router.Add("outcomesUnknown", 1)
	return &outcome{
		bill:    j.bill(0, j.reservation.Units(), cicadaledger.OutcomeUnknown),
		refusal: cicadarefusal.New(cicadarefusal.OutcomeUnknown, cicadarefusal.RunUnknown, "%v", cause),
	}
}

// giveUp is the outcome of a request that no runner answered. "Not run" is said
// only if no byte can have reached one.
func (a *attempts) giveUp(cause error) *outcome {
	j := a.j
	out := &outcome{bill: j.bill(0, 0, cicadaledger.OutcomeNotRun)}
	ran := cicadarefusal.NotRun
	if a.mayHaveRun {
		ran = cicadarefusal.RunUnknown
		out.bill.Outcome = cicadaledger.OutcomeInterrupted
	}
	switch {
	case errors.Is(cause, cicadaroute.ErrBusy):
		out.refusal = cicadarefusal.New(cicadarefusal.RunnersBusy, ran, "upstream %s", j.upstream.Name)
	case errors.Is(cause, cicadaroute.ErrNoRunner):
		out.refusal = cicadarefusal.New(cicadarefusal.NoRunner, ran, "upstream %s, %d attempts", j.upstream.Name, a.n)
	case time.Now().After(j.deadline):
		out.refusal = cicadarefusal.New(cicadarefusal.DeadlineExceeded, ran, "after %s", time.Duration(j.rules.RequestDeadline))
	default:
		out.refusal = cicadarefusal.New(cicadarefusal.UpstreamFailed, ran, "%d attempts, the last: %v", a.n, cause)
	}
	return out
}

// finish settles the request, lets the home record the bill, and closes the
// answer.
func (j *job) finish(out *outcome) {
	bill := out.bill
	if most := j.reservation.Units(); bill.Units+bill.Withheld > most {
		j.r.metrics.Router.Add("usageAboveReservation", 1)
		bill.Units = min(bill.Units, most)
		bill.Withheld = most - bill.Units
	}
	if bill.Units == 0 && bill.Withheld == 0 && !j.once {
		j.withdraw()
	}
	recorded, err := j.r.session.Settle(j.reservation, bill)
	if err != nil {
		j.r.cfg.Log.WithError(err).WithField("requestId", j.id).Error("request not settled; please report this")
		recorded = nil
	}
	if out.refusal != nil {
		j.r.kept.end(j.id, nil)
		j.trail.Add(&cicadatrail.Billed{Bill: bill, Partition: j.partition()})
		j.refuse(out.refusal)
		return
	}
	done := j.awaitRecord(recorded)
	j.trail.Add(&cicadatrail.Billed{Bill: bill, Partition: j.partition(), RecordedBeforeEnd: done})
	if out.end != nil {
		out.end()
	}
	j.keepAnswer(bill.Outcome)
	j.trail.Add(&cicadatrail.Delivered{Status: http.StatusOK, Bytes: j.sent})
	j.r.metrics.Router.Add("outcome."+string(bill.Outcome), 1)
}

func (j *job) keepAnswer(o cicadaledger.Outcome) {
	if o == cicadaledger.OutcomeComplete {
		j.r.kept.end(j.id, j.keep)
		return
	}
	j.trail.MarkFailed()
	j.r.kept.end(j.id, nil)
}

func (j *job) partition() string {
	return cicadaledger.PartitionOf(j.r.cfg.Region, j.budget).String()
}

const (
	// recordWait bounds how long the end of an answer waits for its bill.
	recordWait = 300 * time.Millisecond
	// recordInterval is the commit interval up to which it waits at all: at
	// that size of fleet the platform can take each bill within the wait.
	recordInterval = 150 * time.Millisecond
)

// awaitRecord waits until the bill is recorded, if the fleet is small enough
// for that. It reports whether it is.
func (j *job) awaitRecord(recorded <-chan struct{}) bool {
	if recorded == nil || j.r.fleet.CommitInterval() > recordInterval {
		return false
	}
	select {
	case <-recorded:
		return true
	case <-time.After(recordWait):
		j.r.metrics.Router.Add("answersBeforeBill", 1)
		return false
	}
}

// addUnits sums token counts into units, bounded below by zero.
func addUnits(tokens ...int64) cicadabudget.Units {
	var sum cicadabudget.Units
	for _, t := range tokens {
		sum += cicadabudget.Units(max(0, t))
	}
	return sum
}
