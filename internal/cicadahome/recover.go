package cicadahome

import (
	"context"
	"sort"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/pkg/errors"
)

const (
	// recoverySourceTimeout limits one call to the RecoverySource.
	recoverySourceTimeout = 3 * time.Second
	// maxRecoveriesPerCycle limits the holdings recovered at a time, so that
	// the loss of a rack does not cause a burst of writes.
	maxRecoveriesPerCycle = 32
)

// ErrInDoubt is returned by a RecoverySource if a holding cannot be recovered yet.
var ErrInDoubt = errors.New("units of the ended router cannot be recovered yet")

type (
	// RecoverySource determines what an ended router process used and lent.
	RecoverySource interface {
		// FencedUsage makes the upstreams reject further requests of a holder
		// and returns the units of a budget that the holder used according to the
		// upstreams' records. It returns ErrInDoubt if these are unknown.
		FencedUsage(ctx context.Context, id cicadaledger.RouterID, budget string) (cicadabudget.Units, error)
		// CollectLoans returns the loans that other routers got from a holder
		// and that are not yet known to be recorded, and makes them borrow
		// nothing more from it. It returns ErrInDoubt if a router does not respond.
		CollectLoans(ctx context.Context, id cicadaledger.RouterID) ([]cicadaledger.Loan, error)
	}

	// holding identifies the units of one budget that an ended router holds.
	holding struct {
		partition cicadaledger.PartitionID
		holder    cicadaledger.RouterID
		budget    string
	}

	// collectedLoans is the result of RecoverySource.CollectLoans.
	collectedLoans struct {
		loans []cicadaledger.Loan
		err   error
	}

	// recoverableHolding is a holding with the units that the holder used and
	// the loans that it made.
	recoverableHolding struct {
		holding
		used  cicadabudget.Units
		loans []cicadaledger.Loan
	}
)

// startRecovery looks for holdings of ended processes and collects their usage and
// loans in a goroutine of its own, so that it does not block the committer.
func (h *Home) startRecovery() {
	if h.recovering || h.cfg.RecoverySource == nil {
		return
	}
	list := h.endedHoldings()
	if len(list) == 0 {
		return
	}
	h.recovering = true
	go func() {
		var recoverable []recoverableHolding
		loans := make(map[cicadaledger.RouterID]collectedLoans)
		for _, x := range list {
			if _, ok := loans[x.holder]; !ok {
				loans[x.holder] = h.collectLoans(x.holder)
			}
			r, err := h.collectUsage(x, loans[x.holder])
			if err != nil {
				h.cfg.Counts.Add("recoveriesInDoubt", 1)
				h.cfg.Log.WithError(err).WithField("holder", x.holder.Host).WithField("budget", x.budget).Debug("units of an ended router cannot be recovered yet")
				continue
			}
			recoverable = append(recoverable, r)
		}
		select {
		case h.recoveryDone <- recoverable:
		case <-h.ctx.Done():
		}
	}()
}

// collectLoans asks the live routers for their loans from a holder, once for all
// budgets. After that, no router borrows from the holder.
func (h *Home) collectLoans(id cicadaledger.RouterID) collectedLoans {
	ctx, cancel := context.WithTimeout(h.ctx, recoverySourceTimeout)
	defer cancel()
	loans, err := h.cfg.RecoverySource.CollectLoans(ctx, id)
	return collectedLoans{loans: loans, err: err}
}

// collectUsage determines the units of one holding that were used.
func (h *Home) collectUsage(x holding, loans collectedLoans) (recoverableHolding, error) {
	if loans.err != nil {
		return recoverableHolding{}, loans.err
	}
	ctx, cancel := context.WithTimeout(h.ctx, recoverySourceTimeout)
	defer cancel()
	used, err := h.cfg.RecoverySource.FencedUsage(ctx, x.holder, x.budget)
	if err != nil {
		return recoverableHolding{}, err
	}
	return recoverableHolding{holding: x, used: used, loans: loans.loans}, nil
}

// endedHoldings returns up to maxRecoveriesPerCycle holdings of processes that are
// known to have ended. It also marks these processes as ended in the ledgers.
func (h *Home) endedHoldings() []holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []holding
	for id, o := range h.partitions {
		for _, holder := range o.ledger.Holders() {
			if !h.cfg.Fleet.HasEnded(holder) {
				continue
			}
			o.ledger.MarkEnded(holder)
			for _, a := range o.ledger.Holdings(holder) {
				out = append(out, holding{partition: id, holder: holder, budget: a.Budget})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].budget != out[j].budget {
			return out[i].budget < out[j].budget
		}
		return out[i].holder.Host < out[j].holder.Host
	})
	return out[:min(len(out), maxRecoveriesPerCycle)]
}

// finishRecovery recovers holdings. Units that a holder used without a bill are
// withheld: they were spent, but the request may be unknown.
func (h *Home) finishRecovery(list []recoverableHolding) {
	h.recovering = false
	now := time.Now()
	h.mu.Lock()
	for i := range list {
		h.stageRecovery(&list[i], now)
	}
	h.mu.Unlock()
	if err := h.commitStaged(now); err != nil {
		h.cfg.Log.WithError(err).Warn("recording recovered units failed")
	}
}

// stageRecovery stages the recovery of one holding. The caller must hold h.mu.
func (h *Home) stageRecovery(r *recoverableHolding, now time.Time) {
	o, ok := h.partitions[r.partition]
	if !ok {
		return
	}
	op := o.ledger.RecoveryOperation(r.holder, r.budget, r.used, r.loans)
	if _, err := o.ledger.StageOperation(op, now); err != nil {
		h.reportBrokenInvariant(err)
		return
	}
	var returned, withheld cicadabudget.Units
	for _, a := range op.Returns {
		returned += a.Units
	}
	for i := range op.Bills {
		withheld += op.Bills[i].Withheld
	}
	h.cfg.Counts.Add("unitsRecovered", int64(returned))
	h.cfg.Counts.Add("unitsWithheldOfEnded", int64(withheld))
	h.cfg.Log.WithField("holder", r.holder.Host).WithField("budget", r.budget).
		WithField("units", int64(returned)).WithField("withheld", int64(withheld)).Info("units of an ended router recovered")
}
