package cicadabudget

import "time"

const (
	// directReleasePeriod is the time in which a row's locked units are released after the lock
	// period; most store outages are no longer than that. lenderReleasePeriod replaces it where
	// units come from lenders, and is the time for which a lender's holdings are planned to
	// last.
	directReleasePeriod = 6 * time.Second
	lenderReleasePeriod = 9 * time.Second
)

// lockup is one account's share of a row's locked units. They are not spent before lockedUntil
// and are then released at a constant rate over releasePeriod. If the process ends, its
// successor takes over what is still locked, however long the store was unreachable before.
type lockup struct {
	units         Units
	lockedUntil   time.Time
	releasePeriod time.Duration
}

// locked returns the units that may not be spent yet.
func (l lockup) locked(now time.Time) Units {
	return lockedAfter(l.units, now.Sub(l.lockedUntil), l.releasePeriod)
}

// lockedAfter returns how many of units are still locked when the given time has passed since
// the end of the lock period.
func lockedAfter(units Units, since, releasePeriod time.Duration) Units {
	switch {
	case since <= 0:
		return units
	case since >= releasePeriod:
		return 0
	default:
		return units - Units(float64(units)*since.Seconds()/releasePeriod.Seconds())
	}
}

// locked returns the units that may not be spent yet under any row that may be in force.
func (acc *account) locked(now time.Time) Units {
	var locked Units
	for _, l := range acc.lockups {
		locked = max(locked, l.locked(now))
	}
	return locked
}

// releaseIn returns the time until the released units cover need without the store. It is zero
// if they cover it now or never will.
func (acc *account) releaseIn(need Units, now time.Time) time.Duration {
	if acc.free < need {
		return 0
	}
	var longest time.Duration
	for _, l := range acc.lockups {
		if l.units <= acc.free-need {
			continue
		}
		share := float64(l.units-(acc.free-need)) / float64(l.units)
		at := l.lockedUntil.Add(time.Duration(share * float64(l.releasePeriod)))
		longest = max(longest, at.Sub(now))
	}
	return longest
}

// planLockups returns the free units of each account to declare as locked until lockedUntil in
// a row that is about to be sent with the given updates. They are not spent from now on, since
// a request that reserved them before the row is written would make the row wrong.
func (a *Accounts) planLockups(updates []PoolUpdate, lockedUntil time.Time, releasePeriod time.Duration, now time.Time) map[string]Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	drawn := map[string]Units{}
	for _, u := range updates {
		drawn[u.Organisation] = max(u.Delta, 0)
	}
	out := map[string]Units{}
	for org, acc := range a.inUse {
		free := acc.free + drawn[org]
		if free <= 0 {
			continue
		}
		minHolding := a.minHolding(acc)
		target := acc.target(minHolding, a.meanRequest, now)
		unlocked := acc.unlockedTarget(target, a.routers, now)
		if acc.alwaysBorrows() {
			// Small surpluses are returned to the lender and need no row meanwhile.
			unlocked = acc.maxMessageSurplus()
		}
		if n := free - unlocked; n > 0 {
			out[org] = n
			acc.lockups = append(acc.lockups, lockup{units: max(n-drawn[org], 0), lockedUntil: lockedUntil, releasePeriod: releasePeriod})
		}
	}
	return out
}

// setLockups replaces the lockups by those of all rows that may be in force.
func (a *Accounts) setLockups(era uint64, rows []rowLockups, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era {
		return
	}
	for org, acc := range a.inUse {
		acc.lockups = acc.lockups[:0]
		for _, row := range rows {
			if n := row.units[org]; n > 0 {
				acc.lockups = append(acc.lockups, lockup{units: n, lockedUntil: row.lockedUntil, releasePeriod: row.releasePeriod})
			}
		}
		a.serveWaiters(acc, now)
	}
}

// rowLockups are the locked units of one row, by organisation.
type rowLockups struct {
	units         map[string]Units
	lockedUntil   time.Time
	releasePeriod time.Duration
}
