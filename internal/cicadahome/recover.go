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
	// evidenceTimeout bounds the collection of evidence on one holding.
	evidenceTimeout = 3 * time.Second
	// recoveriesPerCycle bounds the holdings given back at once, so that the
	// loss of a rack does not become a storm of writes.
	recoveriesPerCycle = 32
)

// ErrInDoubt is returned by Evidence when a holding cannot be given back yet.
var ErrInDoubt = errors.New("the evidence does not allow it yet")

type (
	// RecoverySource finds out what an ended router process used.
	RecoverySource interface {
		// FencedUsage makes sure that upstreams take nothing more from a holder and
		// returns what it used of a budget, by the upstreams' own records. It
		// returns ErrInDoubt if that cannot be known.
		FencedUsage(ctx context.Context, id cicadaledger.RouterID, budget string) (cicadabudget.Units, error)
		// CollectLoans returns what other routers borrowed of a holder, and makes
		// sure that they borrow no more. It returns ErrInDoubt if one of them
		// does not answer.
		CollectLoans(ctx context.Context, id cicadaledger.RouterID) ([]cicadaledger.Loan, error)
	}

	// holding is what an ended holder has of one budget.
	holding struct {
		partition cicadaledger.PartitionID
		holder    cicadaledger.RouterID
		budget    string
	}

	// loansOf is what other routers borrowed of a holder.
	loansOf struct {
		moves []cicadaledger.Loan
		err   error
	}

	// recovered is a holding with what its holder used and lent.
	recovered struct {
		holding
		used  cicadabudget.Units
		loans []cicadaledger.Loan
	}
)

// startRecovery looks for holdings of ended processes and collects evidence on
// them, off the committer's goroutine.
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
		var out []recovered
		loans := make(map[cicadaledger.RouterID]loansOf)
		for _, x := range list {
			if _, ok := loans[x.holder]; !ok {
				loans[x.holder] = h.askLoans(x.holder)
			}
			r, err := h.gather(x, loans[x.holder])
			if err != nil {
				h.cfg.Counts.Add("recoveriesInDoubt", 1)
				h.cfg.Log.WithError(err).WithField("holder", x.holder.Host).WithField("budget", x.budget).Debug("units in doubt")
				continue
			}
			out = append(out, r)
		}
		select {
		case h.recovered <- out:
		case <-h.ctx.Done():
		}
	}()
}

// askLoans asks the live routers once for all budgets of a holder. After that
// nobody borrows of it.
func (h *Home) askLoans(id cicadaledger.RouterID) loansOf {
	ctx, cancel := context.WithTimeout(h.ctx, evidenceTimeout)
	defer cancel()
	moves, err := h.cfg.RecoverySource.CollectLoans(ctx, id)
	return loansOf{moves: moves, err: err}
}

// gather collects the evidence on one holding.
func (h *Home) gather(x holding, loans loansOf) (recovered, error) {
	if loans.err != nil {
		return recovered{}, loans.err
	}
	ctx, cancel := context.WithTimeout(h.ctx, evidenceTimeout)
	defer cancel()
	used, err := h.cfg.RecoverySource.FencedUsage(ctx, x.holder, x.budget)
	if err != nil {
		return recovered{}, err
	}
	return recovered{holding: x, used: used, loans: loans.moves}, nil
}

// endedHoldings lists holdings of processes that have ended for certain.
func (h *Home) endedHoldings() []holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []holding
	for id, o := range h.parts {
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
	return out[:min(len(out), recoveriesPerCycle)]
}

// finishRecovery gives holdings back. What their holders used without a bill is
// withheld: it was spent, but whose request it was may not be known.
func (h *Home) finishRecovery(list []recovered) {
	h.recovering = false
	now := time.Now()
	h.mu.Lock()
	for i := range list {
		h.giveBack(&list[i], now)
	}
	h.mu.Unlock()
	if err := h.commitStaged(now); err != nil {
		h.cfg.Log.WithError(err).Warn("recovered units not recorded")
	}
}

// giveBack stages the return of one holding. The caller holds h.mu.
func (h *Home) giveBack(r *recovered, now time.Time) {
	o, ok := h.parts[r.partition]
	if !ok {
		return
	}
	step := o.ledger.RecoveryOperation(r.holder, r.budget, r.used, r.loans)
	if _, err := o.ledger.StageOperation(step, now); err != nil {
		h.impossible(err)
		return
	}
	var back, withheld cicadabudget.Units
	for _, a := range step.Returns {
		back += a.Units
	}
	for i := range step.Bills {
		withheld += step.Bills[i].Withheld
	}
	h.cfg.Counts.Add("unitsRecovered", int64(back))
	h.cfg.Counts.Add("unitsWithheldOfEnded", int64(withheld))
	h.cfg.Log.WithField("holder", r.holder.Host).WithField("budget", r.budget).
		WithField("units", int64(back)).WithField("withheld", int64(withheld)).Info("units of an ended router recovered")
}
