package cicadabudget

import (
	"slices"
	"time"
)

// With many routers most draws from an organisation's pool would conflict, because all of them
// update the same row. So each organisation has one lender, a router that draws for the others:
// borrowers ask it for the units that their requests need, and only the lender updates the
// pool. Units that are lent leave the lender's account before they are sent. If the message is
// lost, so are its units for the rest of the day.
//
// Borrowers hold no units ahead of requests. With hundreds of routers each one receives a
// request of an organisation only every several seconds. Holdings of one request at each router
// would amount to a third of a budget, unavailable to the others and lost if their router ends.
// The lender holds the units for a store outage instead, and locks them in its row.

// LendingMinRouters is the number of routers from which on units always come from lenders.
// Smaller fleets rarely conflict when they draw from the store, and borrow only during an
// outage.
const LendingMinRouters = 16

type (
	// LoanRequest asks a lender for units.
	LoanRequest struct {
		Organisation string `json:"organisation"`
		// Min is what the first waiting request lacks, and Want what all of them lack. Min is
		// zero if the borrower's units cover the first request.
		Min  Units `json:"least,omitempty"`
		Want Units `json:"want"`
	}

	// Surplus returns unused units to a lender.
	Surplus struct {
		Organisation string `json:"organisation"`
		Units        Units  `json:"units"`
	}

	// scheduledLoan keeps units for a borrower that was told to ask again.
	scheduledLoan struct {
		borrower  string
		units     Units
		keptUntil time.Time
	}
)

// SetBorrowing sets the function that reports for which organisations units come from a lender.
// Other organisations' units are drawn from the pool. The function is called with the lock of
// the accounts held, now and again for each account that comes into use.
func (a *Accounts) SetBorrowing(borrows func(org string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrowsFor = borrows
	for org, acc := range a.inUse {
		a.setRole(org, acc)
	}
}

func (a *Accounts) setRole(org string, acc *account) {
	acc.borrowing = a.borrowsFor != nil && a.borrowsFor(org)
	acc.largeFleet = a.borrowsFor != nil && a.routers >= LendingMinRouters
}

// alwaysBorrows reports whether units always come from a lender, not only during an outage.
func (acc *account) alwaysBorrows() bool { return acc.borrowing && acc.largeFleet }

// isLender reports whether this router draws for all others.
func (acc *account) isLender() bool { return !acc.borrowing && acc.largeFleet }

// Borrows reports whether an organisation's units come from a lender.
func (a *Accounts) Borrows(org string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	return acc != nil && acc.borrowing
}

// LoanRequests returns the requests to send to lenders now.
func (a *Accounts) LoanRequests(now time.Time) []LoanRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []LoanRequest
	for org, acc := range a.inUse {
		if !acc.borrowing {
			continue
		}
		// Locked units are not used for these requests: they are kept for a store outage.
		if first, want := a.waiterDeficit(acc, now); want > 0 {
			out = append(out, LoanRequest{Organisation: org, Min: first, Want: want})
		}
	}
	return out
}

// TakeSurpluses removes the units to return to lenders now from the accounts of the
// organisations that include selects: units that requests left over and that no other request
// used for surplusIdleTime, or at once if this router drains or the budget is nearly exhausted.
// Larger surpluses, such as inherited units, are returned to the pool. It also drops idle
// accounts from those in use.
func (a *Accounts) TakeSurpluses(include func(org string) bool, now time.Time) []Surplus {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Surplus
	for org, acc := range a.inUse {
		if acc.isIdle(now) {
			acc.inUse = false
			delete(a.inUse, org)
			continue
		}
		idle := now.Sub(acc.lastUsedAt) >= surplusIdleTime || acc.draining || acc.nearlyExhausted(acc.remaining())
		if !acc.alwaysBorrows() || !idle || len(acc.waiters) > 0 {
			continue
		}
		// Locked units stay here; a later process on this host takes them over.
		if n := acc.spendable(now); n > 0 && acc.free <= acc.maxMessageSurplus() && include(org) {
			acc.free -= n
			out = append(out, Surplus{Organisation: org, Units: n})
		}
	}
	return out
}

// waiterDeficit returns what the first waiter lacks, and what all waiters together lack.
func (a *Accounts) waiterDeficit(acc *account, now time.Time) (first, all Units) {
	if len(acc.waiters) == 0 {
		return 0, 0
	}
	for _, w := range acc.waiters {
		all += w.need
	}
	spendable := max(acc.spendable(now), 0)
	return max(acc.waiters[0].need-spendable, 0), max(all-spendable, 0)
}

// Lend takes units out of an account for another router: as many as it wants, or at least its
// minimum. If it returns Queued with a Waiter, nothing was taken yet, and the next draw covers
// the Waiter if the pool does; once the Waiter is granted, TakeGrantedLoan takes the units.
// Queued without a Waiter means that no units are wanted or that this router does not know the
// organisation, which does not mean that its budget is exhausted. Units of loans scheduled for
// other routers are not lent.
func (a *Accounts) Lend(req LoanRequest, borrower string, now time.Time) (Decision, Units, *Waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[req.Organisation]
	if acc == nil || req.Want <= 0 {
		return Queued, 0, nil
	}
	a.markInUse(req.Organisation, acc)
	need := req.minUnits()
	spendable := acc.spendable(now) - acc.scheduledBefore(borrower, now)
	if spendable >= need && len(acc.waiters) == 0 {
		granted := min(spendable, req.Want)
		acc.free -= granted
		acc.loans.add(float64(granted), now)
		return Granted, granted, nil
	}
	if acc.isExhausted(need, now) {
		return Exhausted, 0, nil
	}
	if now.Sub(acc.poolReadAt) < storeReachablePeriod {
		// Ask for all that is wanted, up to what is left: many requests may be waiting at the
		// borrower.
		need = max(need, min(req.Want, acc.remaining()+acc.free))
	}
	w := &Waiter{need: need, forLoan: true, ready: make(chan struct{}), sourceUnavailable: make(chan struct{}, 1)}
	acc.waiters = append(acc.waiters, w)
	return Queued, 0, w
}

// minUnits returns the fewest units that are of use to the borrower.
func (req *LoanRequest) minUnits() Units {
	if minUnits := min(req.Min, req.Want); minUnits > 0 {
		return minUnits
	}
	return req.Want
}

// ScheduleLoan returns the time until released units cover the minimum of a loan request in
// addition to earlier scheduled loans. It is zero if they never will. If the time is at most
// maxScheduleDelay, the units are kept for the borrower until scheduledLoanGrace after it.
func (a *Accounts) ScheduleLoan(req LoanRequest, borrower string, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[req.Organisation]
	if acc == nil {
		return 0
	}
	delay := acc.releaseIn(req.minUnits()+acc.scheduledBefore(borrower, now), now)
	if delay > 0 && delay <= maxScheduleDelay {
		acc.scheduledLoans = append(acc.scheduledLoans, scheduledLoan{borrower: borrower, units: req.minUnits(), keptUntil: now.Add(delay + scheduledLoanGrace)})
	}
	return delay
}

// scheduledBefore returns the units kept for other borrowers with precedence over the given
// one: those scheduled earlier, or all if it has no scheduled loan. It removes the borrower's
// own scheduled loan.
func (acc *account) scheduledBefore(borrower string, now time.Time) Units {
	acc.scheduledLoans = slices.DeleteFunc(acc.scheduledLoans, func(l scheduledLoan) bool { return now.After(l.keptUntil) })
	var sum Units
	for i, l := range acc.scheduledLoans {
		if l.borrower == borrower {
			acc.scheduledLoans = slices.Delete(acc.scheduledLoans, i, i+1)
			break
		}
		sum += l.units
	}
	return sum
}

// TakeGrantedLoan takes the units that a granted waiter of Lend has reserved out of an account.
func (a *Accounts) TakeGrantedLoan(org string, w *Waiter) Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byOrg[org].reserved -= w.need
	return w.need
}

// AddLoan adds units that another router lent to this one and that were drawn in the given era.
// It returns false if the units were not added: the organisation is unknown, or the era has
// ended and the reconciliation determines whether they were drawn.
func (a *Accounts) AddLoan(org string, era uint64, n Units, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil || n <= 0 || era != a.era {
		return false
	}
	a.markInUse(org, acc)
	acc.free += n
	acc.lastUsedAt = now
	a.serveWaiters(acc, now)
	return true
}

// SetLenderReleaseTime records when a lender that cannot reach the store will have released
// units for the requests that wait here.
func (a *Accounts) SetLenderReleaseTime(org string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil {
		acc.lenderReleaseAt = at
	}
}

// NotifySourceUnavailable notifies the waiters of the organisations that match selects that
// neither the store nor a lender can be asked for units now.
func (a *Accounts) NotifySourceUnavailable(match func(org string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for org, acc := range a.inUse {
		if len(acc.waiters) == 0 || !match(org) {
			continue
		}
		for _, w := range acc.waiters {
			select {
			case w.sourceUnavailable <- struct{}{}:
			default:
			}
		}
	}
}

// DenyWaiters ends the waiters that need more than the free units here and the most that the
// lender can still provide.
func (a *Accounts) DenyWaiters(org string, maxLoan Units, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil {
		acc.denyAbove(maxLoan + acc.free)
		a.serveWaiters(acc, now)
	}
}

// MaxAvailable returns the most that requests of an organisation can still get: the free units
// here and the undrawn units of the pool.
func (a *Accounts) MaxAvailable(org string) Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil {
		return 0
	}
	return acc.remaining() + acc.free
}

// AddSurplus adds units that a borrower returns to this lender.
func (a *Accounts) AddSurplus(s Surplus, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[s.Organisation]; acc != nil && s.Units > 0 {
		a.markInUse(s.Organisation, acc)
		acc.free += s.Units
		acc.loans.add(-float64(s.Units), now)
		a.serveWaiters(acc, now)
	}
}
