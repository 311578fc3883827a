package cicadabudget

import (
	"sync"
	"time"
)

type (
	// Pool is an organisation's budget as stored: the units drawn by all routers, and the limit
	// from the newest configuration that any drawing router had. Drawn never exceeds the limit
	// known to the router that wrote the row.
	Pool struct {
		Drawn        Units  `json:"drawn"`
		Limit        Units  `json:"limit"`
		LimitVersion uint64 `json:"limitVersion"` // version of the configuration that set Limit
	}

	// PoolUpdate changes one pool. A positive Delta draws units, a negative one returns them.
	PoolUpdate struct {
		Organisation string
		Delta        Units
		// Base is the pool that the update was planned on, and Version the version of its row.
		Base    Pool
		Version uint64
		era     uint64
	}

	// Accounts hold this router's units of all budgets. A router spends only units that it has
	// drawn: free and reserved units have left the pool, so no other router can draw them,
	// however long this router is disconnected or paused.
	//
	// Part of the free units is recorded as locked in the router's row, so that a later process
	// on the same host can take it over. See TxnManager.
	//
	// Accounts are safe for concurrent use.
	Accounts struct {
		mu    sync.Mutex // guards the fields below
		byOrg map[string]*account
		// inUse holds the accounts that hold, lend or wait for units. Only these are examined
		// for each request, since a router uses few of the many budgets at a time.
		inUse          map[string]*account
		borrowsFor     func(org string) bool // see SetBorrowing
		routers        int                   // live routers, including this one
		routersUnknown bool                  // no router count is known yet
		meanRequest    float64               // exponential moving average of the request sizes at this router
		draining       bool

		era            uint64 // of the store
		reconciling    bool
		reconciliation *Reconciliation         // of this era; nil if there was none
		backup         map[string]PoolSnapshot // rows of earlier eras in the restored store
	}

	account struct {
		limit                Units
		limitVersion         uint64
		pool                 Pool
		poolVersion          uint64
		poolReadAt           time.Time
		free                 Units
		lockups              []lockup // from all rows that may be in force
		reserved             Units
		spent                Units     // by completed requests
		localUse, loans      rateMeter // units reserved by requests here, and lent to other routers
		drawn                rateMeter // units drawn from the pool by all routers, as seen in snapshots
		waiters              []*Waiter
		scheduledLoans       []scheduledLoan
		lastUsedAt           time.Time    // when a request last reserved or settled units, or a loan arrived
		lenderReleaseAt      time.Time    // when the lender will have released units for the waiters
		inUse                bool         // listed in Accounts.inUse
		borrowing            bool         // units come from a lender instead of the pool
		largeFleet           bool         // lending is set up, and there are at least LendingMinRouters routers
		draining             bool         // the router is about to stop
		snapshot             PoolSnapshot // newest snapshot of the current era
		priorSnapshot        PoolSnapshot // newest snapshot of the earlier eras
		nearlyExhaustedSince time.Time    // zero if the pool is not nearly exhausted
		recentDraws          []draw       // within the last drawVisibilityDelay
		hasDrawn             bool         // this process has drawn from the pool
	}

	// Waiter is a queued reservation. It ends when the units are reserved or when they cannot
	// be obtained.
	Waiter struct {
		need              Units
		forLoan           bool // reserves units for another router
		ready             chan struct{}
		sourceUnavailable chan struct{}
		granted           bool // valid once ready is closed
	}

	// Decision is the result of a reservation.
	Decision int

	// Shortage describes why a reservation was not granted at once.
	Shortage struct {
		Free, Remaining Units
		Locked          Units // part of Free
		// PoolAge is the age of the pool snapshot that Remaining is computed from. It is valid
		// only if PoolKnown is set.
		PoolAge   time.Duration
		PoolKnown bool
		// Transient reports that the pool became nearly exhausted so recently that other
		// routers may still return units.
		Transient bool
		// ReleaseIn is the time until enough locked units are released to cover the request
		// without the store. It is zero if the request was not queued, or if they are released
		// already or never will be.
		ReleaseIn time.Duration
	}
)

// Results of a reservation.
const (
	Granted   Decision = iota
	Queued             // the pool may have enough units; the next draw decides
	Exhausted          // the pool is known to have too few units
)

// NewAccounts returns accounts without any budget.
func NewAccounts() *Accounts {
	return &Accounts{byOrg: map[string]*account{}, inUse: map[string]*account{}, routers: 1}
}

// Configure sets an organisation's limit as of a version of the configuration. It ignores
// versions older than the current one.
func (a *Accounts) Configure(org string, limit Units, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil {
		acc = &account{draining: a.draining, pool: a.initialPool(org, limit)}
		a.byOrg[org] = acc
	}
	if version >= acc.limitVersion {
		acc.limit, acc.limitVersion = limit, version
	}
}

// SetRouters sets the number of live routers.
func (a *Accounts) SetRouters(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.routers, a.routersUnknown = max(n, 1), false
}

// SetRoutersUnknown stops the accounts from drawing units ahead of requests until SetRouters is
// called, because the amount to hold depends on the number of routers.
func (a *Accounts) SetRoutersUnknown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.routersUnknown = true
}

// Organisations returns the number of organisations with a budget.
func (a *Accounts) Organisations() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byOrg)
}

// Drain prepares for the router's stop: from now on the accounts hold only what requests
// reserve, so that other routers can draw the rest.
func (a *Accounts) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	for _, acc := range a.byOrg {
		acc.draining = true
	}
}

// Reserve reserves need units for one request. If it returns Queued, the Waiter becomes ready
// when the units are reserved or the pool is found to be exhausted. Cancel ends it early. For
// an unknown organisation, or for more than the whole budget, it returns Exhausted.
func (a *Accounts) Reserve(org string, need Units, now time.Time) (Decision, *Waiter, Shortage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil {
		return Exhausted, nil, Shortage{}
	}
	a.markInUse(org, acc)
	a.meanRequest += (float64(need) - a.meanRequest) * meanRequestWeight
	if need > acc.effectiveLimit() {
		// Units returned by other routers would not cover it either.
		return Exhausted, nil, acc.shortage(now)
	}
	if acc.spendable(now) >= need && len(acc.waiters) == 0 {
		acc.reserve(need, now)
		return Granted, nil, Shortage{}
	}
	short := acc.shortage(now)
	short.Transient = acc.recentlyExhausted(now)
	if acc.isExhausted(need, now) {
		return Exhausted, nil, short
	}
	short.ReleaseIn = acc.releaseIn(need, now)
	w := &Waiter{need: need, ready: make(chan struct{}), sourceUnavailable: make(chan struct{}, 1)}
	acc.waiters = append(acc.waiters, w)
	return Queued, w, short
}

func (acc *account) shortage(now time.Time) Shortage {
	return Shortage{
		Free: acc.free, Locked: acc.free - acc.spendable(now),
		Remaining: acc.remaining(), PoolAge: now.Sub(acc.poolReadAt), PoolKnown: acc.poolVersion > 0,
	}
}

// Settle ends a reservation of which the given number of units was used.
func (a *Accounts) Settle(org string, reserved, used Units, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	used = min(max(used, 0), reserved)
	acc.reserved -= reserved
	acc.spent += used
	acc.free += reserved - used
	acc.localUse.add(float64(used-reserved), now)
	acc.lastUsedAt = now
	a.markInUse(org, acc)
	a.serveWaiters(acc, now)
}

// ObservePool records a pool as read from the store at a version of its row.
func (a *Accounts) ObservePool(org string, era uint64, p Pool, version uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil && era == a.era {
		acc.recordSnapshot(PoolSnapshot{Era: era, Version: version, Pool: p})
		acc.observePool(p, version, now)
		a.serveWaiters(acc, now)
	}
}

// OverridePool records a pool as the store returned it with a failed update. It replaces the
// known pool even if that has a newer version, so that the router never keeps requiring a
// version that the row does not have.
func (a *Accounts) OverridePool(org string, era uint64, p Pool, version uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil && era == a.era {
		acc.recordSnapshot(PoolSnapshot{Era: era, Version: version, Pool: p})
		acc.poolVersion = 0
		acc.observePool(p, version, now)
		a.serveWaiters(acc, now)
	}
}

// UndoAll undoes planned updates that will not be sent.
func (a *Accounts) UndoAll(updates []PoolUpdate) {
	for _, u := range updates {
		a.Undo(u)
	}
}

// ConfirmPools records that no pool has changed since it was last read.
func (a *Accounts) ConfirmPools(era uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era || a.reconciling {
		return
	}
	for _, acc := range a.byOrg {
		acc.poolReadAt = now
		acc.denyUncovered()
		a.serveWaiters(acc, now)
	}
}

// Plan returns the pool updates to send now: draws and, unless drawOnly, returns. Returned
// units leave the account at once; Undo restores them if the store does not apply the update.
func (a *Accounts) Plan(drawOnly bool, now time.Time) []PoolUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	var updates []PoolUpdate
	if a.reconciling {
		return nil
	}
	for org, acc := range a.plannable() {
		delta := a.plannedDelta(acc, now)
		if delta == 0 || delta < 0 && drawOnly {
			continue
		}
		if delta < 0 {
			acc.free += delta
		}
		updates = append(updates, PoolUpdate{Organisation: org, Delta: delta, Base: acc.pool, Version: acc.poolVersion, era: a.era})
	}
	return updates
}

// ReturnAll plans the return of all free units, for a router that stops.
func (a *Accounts) ReturnAll() []PoolUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	var updates []PoolUpdate
	if a.reconciling {
		return nil
	}
	for org, acc := range a.byOrg {
		if acc.free > 0 {
			updates = append(updates, PoolUpdate{Organisation: org, Delta: -acc.free, Base: acc.pool, Version: acc.poolVersion, era: a.era})
			acc.free = 0
		}
	}
	return updates
}

// PoolAfter returns the pool after the update, or false if the pool does not cover it.
func (a *Accounts) PoolAfter(u PoolUpdate) (Pool, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[u.Organisation]
	p := u.Base
	if acc.limitVersion >= p.LimitVersion {
		p.Limit, p.LimitVersion = acc.limit, acc.limitVersion
	}
	p.Drawn += u.Delta
	return p, u.Delta <= 0 || p.Drawn <= p.Limit
}

// Commit records that the store applied an update.
func (a *Accounts) Commit(u PoolUpdate, after Pool, version uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u.era != a.era {
		// The pool row was discarded with its era, so the drawn units must not be used.
		return
	}
	acc := a.byOrg[u.Organisation]
	if u.Delta > 0 {
		a.markInUse(u.Organisation, acc)
		acc.free += u.Delta
		acc.recordDraw(u.Delta, now)
	}
	acc.recordSnapshot(PoolSnapshot{Era: a.era, Version: version, Pool: after})
	acc.observePool(after, version, now)
}

// Undo reverts an update that the store did not apply and never will.
func (a *Accounts) Undo(u PoolUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u.Delta < 0 && u.era == a.era {
		acc := a.byOrg[u.Organisation]
		a.markInUse(u.Organisation, acc)
		acc.free -= u.Delta
	}
}

// HasWaiters reports whether a request waits for units from a lender, if borrowing, or else
// from the store.
func (a *Accounts) HasWaiters(borrowing bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, acc := range a.inUse {
		if len(acc.waiters) > 0 && acc.borrowing == borrowing {
			return true
		}
	}
	return false
}

func (acc *account) reserve(n Units, now time.Time) {
	acc.free -= n
	acc.reserved += n
	acc.localUse.add(float64(n), now)
	acc.lastUsedAt = now
}

// spendable returns the units that may be reserved now.
func (acc *account) spendable(now time.Time) Units { return acc.free - acc.locked(now) }

// isExhausted reports whether a recent read of the pool proves that the undrawn units and the
// free units here do not cover a request. It is false for a borrower, which may get units from
// a lender.
func (acc *account) isExhausted(need Units, now time.Time) bool {
	return !acc.borrowing && acc.poolVersion > 0 && acc.remaining()+acc.free < need && now.Sub(acc.poolReadAt) < exhaustedSnapshotTTL
}

// recentlyExhausted reports whether the pool became nearly exhausted within the last
// returnPeriod.
func (acc *account) recentlyExhausted(now time.Time) bool {
	return now.Sub(acc.nearlyExhaustedSince) < returnPeriod
}

// Transient reports whether an organisation's budget became nearly exhausted so recently that
// other routers may still return units.
func (a *Accounts) Transient(org string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	return acc == nil || acc.recentlyExhausted(now)
}

func (acc *account) observePool(p Pool, version uint64, now time.Time) {
	if version >= acc.poolVersion {
		if acc.poolVersion > 0 {
			acc.drawn.add(float64(max(p.Drawn-acc.pool.Drawn, 0)), now)
		}
		acc.pool, acc.poolVersion, acc.poolReadAt = p, version, now
		switch {
		case !acc.nearlyExhausted(acc.remaining()):
			acc.nearlyExhaustedSince = time.Time{}
		case acc.nearlyExhaustedSince.IsZero():
			acc.nearlyExhaustedSince = now
		}
	}
	acc.denyUncovered()
}

// effectiveLimit returns the limit of the newest configuration that this router or the pool's
// last writer knows.
func (acc *account) effectiveLimit() Units {
	if acc.pool.LimitVersion > acc.limitVersion {
		return acc.pool.Limit
	}
	return acc.limit
}

func (acc *account) remaining() Units { return max(acc.effectiveLimit()-acc.pool.Drawn, 0) }
