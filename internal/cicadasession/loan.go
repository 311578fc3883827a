package cicadasession

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
)

// While the home of a budget does not respond, routers lend each other free units.
// The lender gives up the units first. Both routers report the loan to the home,
// and the first report moves the units in the ledger. If the message to the
// borrower is lost, the ledger assigns the units to the borrower, which cannot
// spend them; they are never counted twice.
//
// The units of an ended router are recovered only after every live router has
// reported what it borrowed from that router and has stopped borrowing from it.

// borrowTimeout limits the search for a lender.
const borrowTimeout = 300 * time.Millisecond

// borrowMultiple is the number of requests of the same size for which a borrower
// requests units.
const borrowMultiple = 4

// Lend lends units to another router. It returns nil if too few units are free.
func (m *Manager) Lend(to cicadaledger.RouterID, budget string, least, want cicadabudget.Units) *cicadaledger.Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return nil
	}
	units := m.allocations.TakeLoan(budget, least, want)
	if units == 0 {
		return nil
	}
	m.lastLoanID++
	loan := cicadaledger.Loan{ID: m.lastLoanID, From: m.cfg.Self, To: to, Budget: budget, Units: units}
	m.queueLoan(loan)
	m.cfg.Counts.Add("unitsLent", int64(units))
	return &loan
}

// queueLoan queues a loan to be reported to the home. The caller must hold m.mu.
func (m *Manager) queueLoan(loan cicadaledger.Loan) {
	p := m.sessionFor(loan.Budget)
	p.queuedLoans = append(p.queuedLoans, loan)
	p.wakeUp()
}

// borrow requests units from other routers. It releases m.mu during the call.
func (m *Manager) borrow(ctx context.Context, budget string, units cicadabudget.Units) {
	least := units - m.allocations.Free(budget)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	loan, err := m.cfg.HomeClient.Borrow(ctx, budget, least, borrowMultiple*units)
	cancel()
	m.mu.Lock()
	if err != nil || loan == nil || loan.To != m.cfg.Self || loan.Units < least || m.endedLenders[loan.From] || m.ended {
		return
	}
	m.allocations.AddBorrowed(budget, loan.Units)
	m.queueLoan(*loan)
	m.cfg.Counts.Add("unitsBorrowed", int64(loan.Units))
}

// CollectLoans returns the loans from a router process that are not yet recorded.
// From then on, this router borrows nothing from that process.
func (m *Manager) CollectLoans(from cicadaledger.RouterID) []cicadaledger.Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endedLenders[from] = true
	var out []cicadaledger.Loan
	for _, p := range m.sessions {
		for _, loan := range append(append([]cicadaledger.Loan(nil), p.loansInFlight...), p.queuedLoans...) {
			if loan.From == from {
				out = append(out, loan)
			}
		}
	}
	return out
}
