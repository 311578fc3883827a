package cicadasession

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
)

// While the home of a budget does not answer, routers lend each other units that
// they have free. The lender gives them up first; both report the loan to the
// home, and the first report moves the units there. A lost message strands a loan
// with the borrower, as the home sees it, and never doubles it.
//
// An ended router's units are given back only after every live router has told
// what it borrowed of it, and has promised to borrow no more.

// borrowTimeout bounds the search for a lender.
const borrowTimeout = 300 * time.Millisecond

// loansAhead is how many requests of its size a borrower asks for.
const loansAhead = 4

// Lend gives units to another router. It returns nil if there is not enough.
func (m *Manager) Lend(to cicadaledger.RouterID, budget string, least, want cicadabudget.Units) *cicadaledger.Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return nil
	}
	units := m.slices.TakeLoan(budget, least, want)
	if units == 0 {
		return nil
	}
	m.lastLoan++
	move := cicadaledger.Loan{ID: m.lastLoan, From: m.cfg.Self, To: to, Budget: budget, Units: units}
	m.report(move)
	m.cfg.Counts.Add("unitsLent", int64(units))
	return &move
}

// report queues a loan for the home. The caller holds m.mu.
func (m *Manager) report(move cicadaledger.Loan) {
	p := m.partOf(move.Budget)
	p.moves = append(p.moves, move)
	p.wakeUp()
}

// borrow asks other routers for units, with the lock released meanwhile.
func (m *Manager) borrow(ctx context.Context, budget string, units cicadabudget.Units) {
	least := units - m.slices.Free(budget)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	move, err := m.cfg.HomeClient.Borrow(ctx, budget, least, loansAhead*units)
	cancel()
	m.mu.Lock()
	if err != nil || move == nil || move.To != m.cfg.Self || move.Units < least || m.sealed[move.From] || m.ended {
		return
	}
	m.slices.AddBorrowed(budget, move.Units)
	m.report(*move)
	m.cfg.Counts.Add("unitsBorrowed", int64(move.Units))
}

// CollectLoans returns what was borrowed of a process and is not recorded yet, and
// borrows nothing more of it.
func (m *Manager) CollectLoans(from cicadaledger.RouterID) []cicadaledger.Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sealed[from] = true
	var out []cicadaledger.Loan
	for _, p := range m.parts {
		for _, move := range append(append([]cicadaledger.Loan(nil), p.sentMoves...), p.moves...) {
			if move.From == from {
				out = append(out, move)
			}
		}
	}
	return out
}
