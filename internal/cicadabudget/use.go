package cicadabudget

import "time"

// idleAfter is how long after its last use an account that holds nothing is looked at
// for each request: its rate of use has little weight then.
const idleAfter = 4 * useHalfLife

// use notes that an account holds, lends or waits for units.
func (a *Accounts) use(org string, acc *account) {
	if acc.inUse {
		return
	}
	acc.inUse = true
	a.inUse[org] = acc
	a.setRole(org, acc)
}

// isIdle tells whether an account has nothing to look at until it is used again.
func (acc *account) isIdle(now time.Time) bool {
	return acc.free == 0 && acc.reserved == 0 && len(acc.waiters) == 0 && len(acc.claims) == 0 && now.Sub(acc.usedAt) >= idleAfter
}

// planned are the accounts that may draw or give back. Where routers draw for
// themselves they also hold of budgets that no request has used yet.
func (a *Accounts) planned() map[string]*account {
	if a.routers < LendingMinRouters {
		return a.byOrg
	}
	return a.inUse
}
