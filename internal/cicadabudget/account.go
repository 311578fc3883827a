package cicadabudget

import (
	"sync"
	"time"
)

type (
	// Pool is an organisation's budget in the store: what all routers have
	// drawn of it, and the bound of the newest configuration that any of them
	// knew. Drawn never exceeds the bound that its writer knew.
	Pool struct {
		Drawn        Units  `json:"drawn"`
		Limit        Units  `json:"limit"`
		LimitVersion uint64 `json:"limitVersion"` // of the configuration
	}

	// PoolUpdate is a change to one pool: Delta is drawn, or given back if negative.
	PoolUpdate struct {
		Organisation string
		Delta        Units
		// Base is the pool that the move was planned on, at Version of its row.
		Base    Pool
		Version uint64
		era     uint64
	}

	// Accounts are this router's parts of all budgets. What a router may spend
	// is what it has drawn: free and reserved units have left the pool, and no
	// other router can draw them, for however long this one is cut off or
	// paused.
	//
	// Safe for concurrent use.
	//
	// Part of what is free is claimed to be dormant in the router's own row, so
	// that a later process on the same host can take it over. See Book.
	Accounts struct {
		mu    sync.Mutex // guards the fields below
		byOrg map[string]*account
		// inUse are the accounts that hold, lend or wait for units: what is looked at
		// for each request. Of many budgets few are in use at one router.
		inUse    map[string]*account
		lentOf   func(org string) bool // see SetLent
		routers  int                   // that live, this one included
		awaited  bool                  // the number of routers is not known yet
		usual    float64               // size of a request here, an exponential average
		draining bool

		era      uint64 // of the store
		settling bool
		settled  *Reconciliation         // of the era, if it was settled
		copied   map[string]PoolSnapshot // rows of earlier eras that the store still has
	}

	account struct {
		limit        Units
		limitVersion uint64
		pool         Pool
		poolVersion  uint64
		poolAt       time.Time
		free         Units
		claims       []claim // of all rows that may be in force
		reserved     Units
		spent        Units // by requests that have ended
		own, lend    flow  // of units to requests here and to other routers
		drawn        flow  // from the pool by all routers, as far as readings show it
		waiters      []*Waiter
		promises     []promise
		usedAt       time.Time    // when a request last took or left units
		expectAt     time.Time    // when a lender will have released some
		inUse        bool         // the account is in inUse
		lent         bool         // units come from a lender, not from the pool
		large        bool         // the fleet is so large that they do so always
		draining     bool         // the router is about to stop
		seen         PoolSnapshot // newest reading of the present era
		view         PoolSnapshot // newest reading of an earlier era
		dryFrom      time.Time    // since when the pool is dry; zero if it is not
		recent       []draw       // of the last witnessGap
		drew         bool         // this process has drawn from the pool
	}

	// Waiter is a reservation that waits for a draw.
	Waiter struct {
		need    Units
		lent    bool // to another router
		ready   chan struct{}
		hint    chan struct{}
		granted bool // valid once ready is closed
	}

	// Decision is the answer to a reservation.
	Decision int

	// Shortage explains a reservation that was not granted.
	Shortage struct {
		Free, Remaining Units
		Locked          Units // part of Free
		// PoolAge is the age of the reading of Left; valid if PoolRead.
		PoolAge   time.Duration
		PoolKnown bool
		// Transient tells that the pool ran dry so recently that other routers may still
		// give back what they hold.
		Transient bool
		// ReleaseIn is when dormant units that cover the request may be spent
		// without asking the store; zero if there are none.
		ReleaseIn time.Duration
	}
)

// The verdicts.
const (
	Granted   Decision = iota
	Queued             // the pool may have enough: a draw decides
	Exhausted          // the pool is known not to have enough
)

// NewAccounts returns accounts without any budget.
func NewAccounts() *Accounts {
	return &Accounts{byOrg: map[string]*account{}, inUse: map[string]*account{}, routers: 1}
}

// Configure sets an organisation's bound as of a version of the configuration.
// Older versions are ignored.
func (a *Accounts) Configure(org string, limit Units, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil {
		acc = &account{draining: a.draining, pool: a.start(org, limit)}
		a.byOrg[org] = acc
	}
	if version >= acc.limitVersion {
		acc.limit, acc.limitVersion = limit, version
	}
}

// SetRouters sets the number of routers that live.
func (a *Accounts) SetRouters(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.routers, a.awaited = max(n, 1), false
}

// SetRoutersUnknown makes the accounts hold nothing ahead until SetRouters is called: who
// holds depends on how many they are.
func (a *Accounts) SetRoutersUnknown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.awaited = true
}

// Organisations is the number of organisations with a budget.
func (a *Accounts) Organisations() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byOrg)
}

// Drain makes the accounts hold nothing from now on beyond what requests reserve:
// the router is about to stop, and what it holds is of more use to others.
func (a *Accounts) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	for _, acc := range a.byOrg {
		acc.draining = true
	}
}

// Reserve takes need units for one request. With Awaiting, the Wait is ready
// when the units are reserved or the pool is found dry; Cancel ends it.
func (a *Accounts) Reserve(org string, need Units, now time.Time) (Decision, *Waiter, Shortage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil {
		return Exhausted, nil, Shortage{}
	}
	a.use(org, acc)
	a.usual += (float64(need) - a.usual) * usualWeight
	if need > acc.bound() {
		// Nothing that others give back would cover it.
		return Exhausted, nil, acc.shortage(now)
	}
	if acc.usable(now) >= need && len(acc.waiters) == 0 {
		acc.take(need, now)
		return Granted, nil, Shortage{}
	}
	short := acc.shortage(now)
	short.Transient = acc.ranDryJustNow(now)
	if acc.isDry(need, now) {
		return Exhausted, nil, short
	}
	short.ReleaseIn = acc.releaseIn(need, now)
	w := &Waiter{need: need, ready: make(chan struct{}), hint: make(chan struct{}, 1)}
	acc.waiters = append(acc.waiters, w)
	return Queued, w, short
}

func (acc *account) shortage(now time.Time) Shortage {
	return Shortage{
		Free: acc.free, Locked: acc.free - acc.usable(now),
		Remaining: acc.left(), PoolAge: now.Sub(acc.poolAt), PoolKnown: acc.poolVersion > 0,
	}
}

// Settle ends a reservation of which used units were used.
func (a *Accounts) Settle(org string, reserved, used Units, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	used = min(max(used, 0), reserved)
	acc.reserved -= reserved
	acc.spent += used
	acc.free += reserved - used
	acc.own.add(float64(used-reserved), now)
	acc.usedAt = now
	a.use(org, acc)
	a.serveWaiters(acc, now)
}

// ObservePool takes a reading of a pool at a version of its row in an era.
func (a *Accounts) ObservePool(org string, era uint64, p Pool, version uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil && era == a.era {
		acc.see(PoolSnapshot{Era: era, Version: version, Pool: p})
		acc.learn(p, version, now)
		a.serveWaiters(acc, now)
	}
}

// OverridePool takes a pool as the store had it when it turned a move down. It goes
// before any reading, so that a router never insists on a version that the row
// does not have.
func (a *Accounts) OverridePool(org string, era uint64, p Pool, version uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byOrg[org]; acc != nil && era == a.era {
		acc.see(PoolSnapshot{Era: era, Version: version, Pool: p})
		acc.poolVersion = 0
		acc.learn(p, version, now)
		a.serveWaiters(acc, now)
	}
}

// UndoAll undoes planned moves that will not be sent now.
func (a *Accounts) UndoAll(moves []PoolUpdate) {
	for _, m := range moves {
		a.Undo(m)
	}
}

// ConfirmPools notes that no pool has changed since the last reading.
func (a *Accounts) ConfirmPools(era uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era || a.settling {
		return
	}
	for _, acc := range a.byOrg {
		acc.poolAt = now
		acc.denyWaiters()
		a.serveWaiters(acc, now)
	}
}

// Plan returns what to draw and, unless drawOnly, what to give back now. What is
// given back leaves the account at once; Undo restores it if the store did not
// take the move.
func (a *Accounts) Plan(drawOnly bool, now time.Time) []PoolUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	var moves []PoolUpdate
	if a.settling {
		return nil
	}
	for org, acc := range a.planned() {
		delta := a.move(acc, now)
		if delta == 0 || delta < 0 && drawOnly {
			continue
		}
		if delta < 0 {
			acc.free += delta
		}
		moves = append(moves, PoolUpdate{Organisation: org, Delta: delta, Base: acc.pool, Version: acc.poolVersion, era: a.era})
	}
	return moves
}

// ReturnAll plans to give back all that is free, as a router does when it ends.
func (a *Accounts) ReturnAll() []PoolUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	var moves []PoolUpdate
	if a.settling {
		return nil
	}
	for org, acc := range a.byOrg {
		if acc.free > 0 {
			moves = append(moves, PoolUpdate{Organisation: org, Delta: -acc.free, Base: acc.pool, Version: acc.poolVersion, era: a.era})
			acc.free = 0
		}
	}
	return moves
}

// PoolAfter returns the pool after the move, or false if the pool does not cover it.
func (a *Accounts) PoolAfter(m PoolUpdate) (Pool, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[m.Organisation]
	p := m.Base
	if acc.limitVersion >= p.LimitVersion {
		p.Limit, p.LimitVersion = acc.limit, acc.limitVersion
	}
	p.Drawn += m.Delta
	return p, m.Delta <= 0 || p.Drawn <= p.Limit
}

// Commit notes that the store took a move.
func (a *Accounts) Commit(m PoolUpdate, after Pool, version uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.era != a.era {
		// The row is gone with its era: what was drawn is not used.
		return
	}
	acc := a.byOrg[m.Organisation]
	if m.Delta > 0 {
		a.use(m.Organisation, acc)
		acc.free += m.Delta
		acc.countDrawn(m.Delta, now)
	}
	acc.see(PoolSnapshot{Era: a.era, Version: version, Pool: after})
	acc.learn(after, version, now)
}

// Undo notes that the store did not take a move and never will.
func (a *Accounts) Undo(m PoolUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Delta < 0 && m.era == a.era {
		acc := a.byOrg[m.Organisation]
		a.use(m.Organisation, acc)
		acc.free -= m.Delta
	}
}

// HasWaiters tells whether a request waits for units, from the store or, if lent,
// from a lender.
func (a *Accounts) HasWaiters(lent bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, acc := range a.inUse {
		if len(acc.waiters) > 0 && acc.lent == lent {
			return true
		}
	}
	return false
}

func (acc *account) take(n Units, now time.Time) {
	acc.free -= n
	acc.reserved += n
	acc.own.add(float64(n), now)
	acc.usedAt = now
}

// usable is what may be reserved now.
func (acc *account) usable(now time.Time) Units { return acc.free - acc.dormant(now) }

// isDry tells whether the pool is known not to cover a request.
func (acc *account) isDry(need Units, now time.Time) bool {
	return !acc.lent && acc.poolVersion > 0 && acc.left()+acc.free < need && now.Sub(acc.poolAt) < poolTrust
}

// ranDryJustNow tells whether the pool ran dry less than giveBackTime ago.
func (acc *account) ranDryJustNow(now time.Time) bool { return now.Sub(acc.dryFrom) < giveBackTime }

// Transient tells whether an organisation's budget ran dry so recently that other
// routers may still give back what they hold.
func (a *Accounts) Transient(org string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	return acc == nil || acc.ranDryJustNow(now)
}

func (acc *account) learn(p Pool, version uint64, now time.Time) {
	if version >= acc.poolVersion {
		if acc.poolVersion > 0 {
			acc.drawn.add(float64(max(p.Drawn-acc.pool.Drawn, 0)), now)
		}
		acc.pool, acc.poolVersion, acc.poolAt = p, version, now
		switch {
		case !acc.dry(acc.left()):
			acc.dryFrom = time.Time{}
		case acc.dryFrom.IsZero():
			acc.dryFrom = now
		}
	}
	acc.denyWaiters()
}

// bound is the newest bound that this router or the pool's last writer knows.
func (acc *account) bound() Units {
	if acc.pool.LimitVersion > acc.limitVersion {
		return acc.pool.Limit
	}
	return acc.limit
}

func (acc *account) left() Units { return max(acc.bound()-acc.pool.Drawn, 0) }
