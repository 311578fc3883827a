package cicadabudget

import "time"

// accountIdleTime is how long an account that holds nothing stays in use after its last use.
// Its rate of use has little weight by then.
const accountIdleTime = 4 * rateHalfLife

// markInUse adds an account to those that hold, lend or wait for units.
func (a *Accounts) markInUse(org string, acc *account) {
	if acc.inUse {
		return
	}
	acc.inUse = true
	a.inUse[org] = acc
	a.setRole(org, acc)
}

// isIdle reports whether an account can be skipped until it is used again.
func (acc *account) isIdle(now time.Time) bool {
	return acc.free == 0 && acc.reserved == 0 && len(acc.waiters) == 0 && len(acc.lockups) == 0 && now.Sub(acc.lastUsedAt) >= accountIdleTime
}

// plannable returns the accounts that may draw or return units. In a fleet without lenders
// routers also hold units of budgets that no request has used yet.
func (a *Accounts) plannable() map[string]*account {
	if a.routers < LendingMinRouters {
		return a.byOrg
	}
	return a.inUse
}
