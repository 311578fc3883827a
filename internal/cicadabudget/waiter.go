package cicadabudget

import (
	"slices"
	"time"
)

// Ready returns a channel that is closed when the waiter has ended.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// SourceUnavailable returns a channel that receives a value when neither the store nor a lender
// can be asked for units.
func (w *Waiter) SourceUnavailable() <-chan struct{} { return w.sourceUnavailable }

// Granted reports whether the units are reserved. Call it only after Ready is closed.
func (w *Waiter) Granted() bool { return w.granted }

// ServeWaiters grants the waiters that are covered by units that are no longer locked.
func (a *Accounts) ServeWaiters(org string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil {
		a.serveWaiters(acc, now)
	}
}

// ReleaseIn returns the time until released units, here or at the lender, cover a waiter and
// those before it without the store. It is zero if they cover it now or never will.
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
			own, lender := acc.releaseIn(need, now), acc.lenderReleaseAt.Sub(now)
			if lender > 0 && (own == 0 || lender < own) {
				return lender
			}
			return own
		}
	}
	return 0
}

// ServeOrCancel serves the waiters and cancels w if it is still queued. It returns false if w
// has ended, granted or denied.
func (a *Accounts) ServeOrCancel(org string, w *Waiter, now time.Time) bool {
	a.mu.Lock()
	a.serveWaiters(a.byOrg[org], now)
	a.mu.Unlock()
	return a.Cancel(org, w)
}

// Cancel removes a waiter. It returns false if the waiter had already ended.
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

// serveWaiters serves the waiters in order of arrival. One that the pool can no longer cover
// does not block smaller ones behind it.
func (a *Accounts) serveWaiters(acc *account, now time.Time) {
	for len(acc.waiters) > 0 {
		w := acc.waiters[0]
		switch {
		case acc.spendable(now) >= w.need:
			acc.grant(w, now)
		case !acc.isExhausted(w.need, now):
			return
		}
		acc.waiters = acc.waiters[1:]
		close(w.ready)
	}
}

func (acc *account) grant(w *Waiter, now time.Time) {
	w.granted = true
	if !w.forLoan {
		acc.reserve(w.need, now)
		return
	}
	acc.free -= w.need
	acc.reserved += w.need
	acc.loans.add(float64(w.need), now)
}

// denyUncovered ends the waiters that the last known pool cannot cover.
func (acc *account) denyUncovered() {
	if !acc.borrowing {
		acc.denyAbove(acc.remaining() + acc.free)
	}
}

// denyAbove ends the waiters that need more than the available units.
func (acc *account) denyAbove(available Units) {
	acc.waiters = slices.DeleteFunc(acc.waiters, func(w *Waiter) bool {
		if available >= w.need {
			return false
		}
		close(w.ready)
		return true
	})
}
