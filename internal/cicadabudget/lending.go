package cicadabudget

import "time"

// With many routers the row of an organisation would be written by all of them,
// and most of their draws would find it changed. So each organisation has a
// lender, a router that draws for the others: they ask it for units, and only the
// lender writes the row. Units that are lent leave the lender's account before
// they are sent; those whose message is lost are lost for the day.

// LendFrom is the number of routers from which on units always come from lenders.
// Below it draws from the store seldom meet, and routers borrow in outages only.
const LendFrom = 16

// Need is what a router would like to have of a lender.
type Need struct {
	Organisation string `json:"organisation"`
	// Least covers the first of the requests that wait; zero if none does.
	Least Units `json:"least,omitempty"`
	Want  Units `json:"want"`
}

// Surplus is what a router gives back to a lender.
type Surplus struct {
	Organisation string `json:"organisation"`
	Units        Units  `json:"units"`
}

// SetLent tells for which organisations units come from a lender. Others are
// drawn from the pool.
func (a *Accounts) SetLent(lent func(org string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for org, acc := range a.byOrg {
		acc.lent = lent(org)
		acc.pooled = acc.lent && a.routers >= LendFrom
	}
}

// Lent tells whether an organisation's units come from a lender.
func (a *Accounts) Lent(org string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	return acc != nil && acc.lent
}

// Needs returns what to ask of the lenders now.
func (a *Accounts) Needs(now time.Time) []Need {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Need
	for org, acc := range a.byOrg {
		if !acc.lent {
			continue
		}
		// Units that are dormant here stay so: they are kept for a cut.
		first, want := a.missing(acc, now)
		if acc.pooled {
			want = max(want, acc.delta(a.floor(acc), a.usual, now))
		}
		if want > 0 {
			out = append(out, Need{Organisation: org, Least: first, Want: want})
		}
	}
	return out
}

// Surpluses takes out of the accounts what to give back to lenders now.
func (a *Accounts) Surpluses(now time.Time) []Surplus {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Surplus
	for org, acc := range a.byOrg {
		if !acc.pooled {
			continue
		}
		// What a row claims stays here: a process that follows takes it over.
		if n := min(-acc.delta(a.floor(acc), a.usual, now), acc.usable(now)); n > 0 {
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
// a Wait this router does not know the organisation, which proves nothing.
func (a *Accounts) Lend(n Need, now time.Time) (Verdict, Units, *Wait) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[n.Organisation]
	if acc == nil || n.Want <= 0 {
		return Awaiting, 0, nil
	}
	need := min(n.Least, n.Want)
	if need <= 0 {
		need = n.Want
	}
	usable := acc.usable(now)
	if usable >= need && len(acc.waiters) == 0 {
		given := min(usable, n.Want)
		acc.free -= given
		acc.lend.add(float64(given), now)
		return Granted, given, nil
	}
	if acc.isDry(need, now) {
		return Dry, 0, nil
	}
	w := &Wait{need: need, lent: true, ready: make(chan struct{})}
	acc.waiters = append(acc.waiters, w)
	return Awaiting, 0, w
}

// HandOver takes out of an account what a granted wait of Lend has reserved.
func (a *Accounts) HandOver(org string, w *Wait) Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byOrg[org].reserved -= w.need
	return w.need
}

// Receive adds units that another router has given up for this one.
func (a *Accounts) Receive(org string, n Units, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil && n > 0 {
		acc.free += n
		a.serveWaiters(acc, now)
	}
}

// Deny ends the waits that neither what is free here nor the most that the lender
// could still give covers.
func (a *Accounts) Deny(org string, most Units, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil {
		acc.deny(most + acc.free)
		a.serveWaiters(acc, now)
	}
}

// Within returns the most that requests of an organisation can still get: what
// is free here and what the pool has left.
func (a *Accounts) Within(org string) Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil {
		return 0
	}
	return acc.left() + acc.free
}

// TakeBack adds units that another router gives back to its lender.
func (a *Accounts) TakeBack(s Surplus, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[s.Organisation]; acc != nil && s.Units > 0 {
		acc.free += s.Units
		acc.lend.add(-float64(s.Units), now)
		a.serveWaiters(acc, now)
	}
}
