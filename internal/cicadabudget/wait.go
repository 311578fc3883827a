package cicadabudget

import (
	"slices"
	"time"
)

// Ready is closed when the wait has ended.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// SourceUnavailable gets a value when nobody can be asked for units.
func (w *Waiter) SourceUnavailable() <-chan struct{} { return w.hint }

// Granted tells whether the units are reserved. Call it after Ready is closed.
func (w *Waiter) Granted() bool { return w.granted }

// ServeWaiters grants what waits and is covered by units that are no longer dormant.
func (a *Accounts) ServeWaiters(org string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil {
		a.serveWaiters(acc, now)
	}
}

// ReleaseIn is how long it takes until released units, here or at the lender, cover
// a wait and those before it, if the store cannot be asked; zero if they do now or
// never will.
func (a *Accounts) ReleaseIn(org string, w *Waiter, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil {
		return 0
	}
	var need Units
	for _, other := range acc.waiters {
		need += other.need
		if other == w {
			own, lender := acc.releaseIn(need, now), acc.expectAt.Sub(now)
			if lender > 0 && (own == 0 || lender < own) {
				return lender
			}
			return own
		}
	}
	return 0
}

// ServeOrCancel ends a wait unless units that are no longer dormant cover it now. It
// returns false if the wait has ended with an answer.
func (a *Accounts) ServeOrCancel(org string, w *Waiter, now time.Time) bool {
	a.mu.Lock()
	a.serveWaiters(a.byOrg[org], now)
	a.mu.Unlock()
	return a.Cancel(org, w)
}

// Cancel ends a wait. It returns false if the wait had ended before.
func (a *Accounts) Cancel(org string, w *Waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	i := slices.Index(acc.waiters, w)
	if i < 0 {
		return false
	}
	acc.waiters = slices.Delete(acc.waiters, i, i+1)
	return true
}

// serveWaiters serves the requests that wait in their order. One that the pool
// cannot cover any more does not stand before smaller ones.
func (a *Accounts) serveWaiters(acc *account, now time.Time) {
	for len(acc.waiters) > 0 {
		w := acc.waiters[0]
		switch {
		case acc.usable(now) >= w.need:
			acc.grant(w, now)
		case !acc.isDry(w.need, now):
			return
		}
		acc.waiters = acc.waiters[1:]
		close(w.ready)
	}
}

func (acc *account) grant(w *Waiter, now time.Time) {
	w.granted = true
	if !w.lent {
		acc.take(w.need, now)
		return
	}
	acc.free -= w.need
	acc.reserved += w.need
	acc.lend.add(float64(w.need), now)
}

// denyWaiters ends the waits that a fresh reading of the pool cannot serve.
func (acc *account) denyWaiters() {
	if !acc.lent {
		acc.deny(acc.left() + acc.free)
	}
}

// deny ends the waits for more than most units.
func (acc *account) deny(most Units) {
	acc.waiters = slices.DeleteFunc(acc.waiters, func(w *Waiter) bool {
		if most >= w.need {
			return false
		}
		close(w.ready)
		return true
	})
}
