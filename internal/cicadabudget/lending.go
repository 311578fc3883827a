package cicadabudget

import (
	"slices"
	"time"
)

// With many routers the row of an organisation would be written by all of them,
// and most of their draws would find it changed. So each organisation has a
// lender, a router that draws for the others: they ask it for what their requests
// need, and only the lender writes the row. Units that are lent leave the lender's
// account before they are sent; those whose message is lost are lost for the day.
//
// Borrowers hold nothing ahead. Each of hundreds of routers sees a request of an
// organisation in many seconds, so that a holding of one request at each of them
// would be a third of a budget, out of reach of all others and lost with its
// holder. What a cut takes is held by the lender, whose row declares it dormant.

// LendingMinRouters is the number of routers from which on units always come from lenders.
// Below it draws from the store seldom meet, and routers borrow in outages only.
const LendingMinRouters = 16

type (
	// LoanRequest is what a router would like to have of a lender.
	LoanRequest struct {
		Organisation string `json:"organisation"`
		// Min covers the first of the requests that wait; zero if none does.
		Min  Units `json:"least,omitempty"`
		Want Units `json:"want"`
	}

	// Surplus is what a router gives back to a lender.
	Surplus struct {
		Organisation string `json:"organisation"`
		Units        Units  `json:"units"`
	}

	// promise is a lender's to a router that will ask again.
	promise struct {
		to    string
		units Units
		until time.Time
	}
)

// SetBorrowing tells for which organisations units come from a lender. Others are
// drawn from the pool. The function is called under the lock of the accounts, and
// again for each account that comes into use.
func (a *Accounts) SetBorrowing(lent func(org string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lentOf = lent
	for org, acc := range a.inUse {
		a.setRole(org, acc)
	}
}

func (a *Accounts) setRole(org string, acc *account) {
	acc.lent = a.lentOf != nil && a.lentOf(org)
	acc.large = a.lentOf != nil && a.routers >= LendingMinRouters
}

// borrows tells whether units come from a lender always, not for an outage only.
func (acc *account) borrows() bool { return acc.lent && acc.large }

// lends tells whether this router draws for all others.
func (acc *account) lends() bool { return !acc.lent && acc.large }

// Borrows tells whether an organisation's units come from a lender.
func (a *Accounts) Borrows(org string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	return acc != nil && acc.lent
}

// LoanRequests returns what to ask of the lenders now.
func (a *Accounts) LoanRequests(now time.Time) []LoanRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []LoanRequest
	for org, acc := range a.inUse {
		if !acc.lent {
			continue
		}
		// Units that are dormant here stay so: they are kept for a cut.
		if first, want := a.missing(acc, now); want > 0 {
			out = append(out, LoanRequest{Organisation: org, Min: first, Want: want})
		}
	}
	return out
}

// TakeSurpluses takes out of the accounts what to give back to lenders now, of the
// organisations chosen: what requests left over, once no other has used it for a
// while. Larger surpluses, as those that a process inherits, go back to the pool.
func (a *Accounts) TakeSurpluses(chosen func(org string) bool, now time.Time) []Surplus {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Surplus
	for org, acc := range a.inUse {
		if acc.isIdle(now) {
			acc.inUse = false
			delete(a.inUse, org)
			continue
		}
		idle := now.Sub(acc.usedAt) >= surplusIdle || acc.draining || acc.dry(acc.left())
		if !acc.borrows() || !idle || len(acc.waiters) > 0 {
			continue
		}
		// What a row claims stays here: a process that follows takes it over.
		if n := acc.usable(now); n > 0 && acc.free <= acc.mostByMessage() && chosen(org) {
			acc.free -= n
			out = append(out, Surplus{Organisation: org, Units: n})
		}
	}
	return out
}

// missing is what the first of the requests that wait lacks, and what all lack.
func (a *Accounts) missing(acc *account, now time.Time) (first, all Units) {
	if len(acc.waiters) == 0 {
		return 0, 0
	}
	for _, w := range acc.waiters {
		all += w.need
	}
	usable := max(acc.usable(now), 0)
	return max(acc.waiters[0].need-usable, 0), max(all-usable, 0)
}

// Lend takes units out of an account for another router: what it wants, or at
// least the least it needs. With Awaiting nothing was taken yet, and the account
// lacks as much as the Wait needs; once it is granted, HandOver takes it. Without
// a Wait this router does not know the organisation, which proves nothing. What is
// promised to other routers is not lent.
func (a *Accounts) Lend(n LoanRequest, to string, now time.Time) (Decision, Units, *Waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[n.Organisation]
	if acc == nil || n.Want <= 0 {
		return Queued, 0, nil
	}
	a.use(n.Organisation, acc)
	need := n.least()
	usable := acc.usable(now) - acc.promised(to, now)
	if usable >= need && len(acc.waiters) == 0 {
		given := min(usable, n.Want)
		acc.free -= given
		acc.lend.add(float64(given), now)
		return Granted, given, nil
	}
	if acc.isDry(need, now) {
		return Exhausted, 0, nil
	}
	if now.Sub(acc.poolAt) < lendTrust {
		// All that is wanted, if there is so much: a borrower may have many requests waiting.
		need = max(need, min(n.Want, acc.left()+acc.free))
	}
	w := &Waiter{need: need, lent: true, ready: make(chan struct{}), hint: make(chan struct{}, 1)}
	acc.waiters = append(acc.waiters, w)
	return Queued, 0, w
}

func (n *LoanRequest) least() Units {
	if least := min(n.Min, n.Want); least > 0 {
		return least
	}
	return n.Want
}

// ScheduleLoan tells when units that are dormant here will cover the least that another
// router needs, beside what others were promised; zero if they never will. If it is
// within promiseTime, they are kept for that router until a little after.
func (a *Accounts) ScheduleLoan(n LoanRequest, to string, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[n.Organisation]
	if acc == nil {
		return 0
	}
	after := acc.releaseIn(n.least()+acc.promised(to, now), now)
	if after > 0 && after <= promiseTime {
		acc.promises = append(acc.promises, promise{to: to, units: n.least(), until: now.Add(after + promiseSlack)})
	}
	return after
}

// promised is what is kept for routers before one that asks: those that were promised
// units earlier, or all if it was promised none. Its own promise ends.
func (acc *account) promised(to string, now time.Time) Units {
	acc.promises = slices.DeleteFunc(acc.promises, func(p promise) bool { return now.After(p.until) })
	var sum Units
	for i, p := range acc.promises {
		if p.to == to {
			acc.promises = slices.Delete(acc.promises, i, i+1)
			break
		}
		sum += p.units
	}
	return sum
}

// TakeGrantedLoan takes out of an account what a granted wait of Lend has reserved.
func (a *Accounts) TakeGrantedLoan(org string, w *Waiter) Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byOrg[org].reserved -= w.need
	return w.need
}

// AddLoan adds units that another router has given up for this one, and that were
// drawn in an era. It returns false if that era has ended: whether they were drawn is
// then for the settlement to say.
func (a *Accounts) AddLoan(org string, era uint64, n Units, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil || n <= 0 || era != a.era {
		return false
	}
	a.use(org, acc)
	acc.free += n
	acc.usedAt = now
	a.serveWaiters(acc, now)
	return true
}

// SetLenderReleaseTime notes when a lender that the store turns away will have released units for
// requests that wait here.
func (a *Accounts) SetLenderReleaseTime(org string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil {
		acc.expectAt = at
	}
}

// NotifySourceUnavailable tells the requests that wait for units of the organisations chosen that nobody
// can be asked for them now.
func (a *Accounts) NotifySourceUnavailable(chosen func(org string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for org, acc := range a.inUse {
		if len(acc.waiters) == 0 || !chosen(org) {
			continue
		}
		for _, w := range acc.waiters {
			select {
			case w.hint <- struct{}{}:
			default:
			}
		}
	}
}

// DenyWaiters ends the waits that neither what is free here nor the most that the lender
// could still give covers.
func (a *Accounts) DenyWaiters(org string, most Units, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil {
		acc.deny(most + acc.free)
		a.serveWaiters(acc, now)
	}
}

// MaxAvailable returns the most that requests of an organisation can still get: what
// is free here and what the pool has left.
func (a *Accounts) MaxAvailable(org string) Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil {
		return 0
	}
	return acc.left() + acc.free
}

// AddSurplus adds units that another router gives back to its lender.
func (a *Accounts) AddSurplus(s Surplus, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[s.Organisation]; acc != nil && s.Units > 0 {
		a.use(s.Organisation, acc)
		acc.free += s.Units
		acc.lend.add(-float64(s.Units), now)
		a.serveWaiters(acc, now)
	}
}
