package cicadabudget

import (
	"maps"
	"time"
)

const (
	// rowRefreshInterval is the shortest time between two rows that a router writes only to
	// renew its locked units. It is longer if there are too many routers; see RefreshInterval.
	rowRefreshInterval = 400 * time.Millisecond
	// maxRowsPerSecond limits the rows that all routers write together. It stays below the 300
	// transactions per second that one partition of the store handles.
	maxRowsPerSecond = 150
	// lockMargin is how long units stay locked after the next row is due. It covers several
	// round trips to a slow store.
	lockMargin = 300 * time.Millisecond
	// crashLockMargin replaces it for crashCautionPeriod after the start of a process whose predecessor ended
	// unplanned. Failures come in series, and the units that it covers outlast a restart.
	crashLockMargin    = 3 * time.Second
	crashCautionPeriod = 10 * time.Minute
	// clockRounding covers the rounding of the store's clock.
	clockRounding = 100 * time.Millisecond
)

type (
	// TxnManager applies pool updates to the accounts and the store exactly once, even though
	// replies of the store may be lost and a transaction without a reply may still be applied
	// later, as long as its conditions hold.
	//
	// Each transaction writes a new number to the router's row, on condition that the row still
	// has the version that the router last saw. So at most one of the transactions in doubt can
	// have been applied, and the number in the row tells which.
	//
	// The row also declares units as locked: this process does not spend them until LockMillis
	// have passed since AsOf on the store's clock, and then only as they are released at a
	// constant rate. A later process on the same host can only run after this one has ended. It
	// takes over the units that had not been released when it started, in the transaction that
	// replaces the row. The local clock may stop while the host is suspended; this only makes
	// the process spend units later.
	//
	// A TxnManager must be used by one goroutine only.
	TxnManager struct {
		boot       string // boot ID of this process; row numbers of other boot IDs are unrelated
		afterCrash bool   // an earlier process on this host ended without returning its units
		era        uint64 // of the store; applies to all fields below
		startedAt  time.Time
		accs       *Accounts
		lastNumber uint64 // of the last transaction sent
		rowVersion uint64 // of the router's row, as last seen
		routers    int
		inDoubt    []*Txn // sent at rowVersion, outcome unknown
		rowLocked  map[string]Units
		// rowSentAt is when the row in force was sent. Its units in rowLocked are locked for
		// rowLockPeriod from then on.
		rowSentAt        time.Time
		rowLockPeriod    time.Duration
		rowReleasePeriod time.Duration
		// inherited is what this process takes over from its predecessor's row.
		inherited       map[string]Units
		predecessor     *Predecessor
		takeoverPending bool // the predecessor's row has locked units and was not yet read in a transaction
		clock           storeClock
	}

	// Predecessor describes the row left by an earlier process on this host. AgeMillis is the
	// time between the row's AsOf and the start of this process.
	Predecessor struct {
		Row       RouterRow
		AgeMillis int64
		TakenOver bool
	}

	// storeClock estimates the store's clock. The estimate is never ahead of it.
	storeClock struct {
		millis     int64
		receivedAt time.Time
	}

	// Txn is a set of pool updates that the store applies together or not at all.
	Txn struct {
		Number uint64
		// Era is part of the keys of all rows of the transaction.
		Era uint64
		// RowVersion is the version that the router's row must have.
		RowVersion    uint64
		Updates       []PoolUpdate
		After         []Pool           // the pools after the updates, in the same order
		locked        map[string]Units // locked once the updates are applied
		inherited     map[string]Units
		sentAt        time.Time // if other transactions are in doubt, when the first of them was sent
		lockPeriod    time.Duration
		releasePeriod time.Duration
	}

	// RouterRow is the value of a router's row.
	RouterRow struct {
		Boot   string `json:"boot"`
		Number uint64 `json:"number"`
		// AsOf is a time on the store's clock, in milliseconds. The units in Locked are not
		// spent within LockMillis after it. See lockedAfter for what remains locked later.
		AsOf       int64 `json:"asOf,omitempty"`
		LockMillis int64 `json:"lapseMillis,omitempty"`
		// ReleaseMillis is the time in which Locked is released after the lock period.
		ReleaseMillis int64            `json:"releaseMillis,omitempty"`
		Locked        map[string]Units `json:"dormant,omitempty"`
	}
)

// NewTxnManager returns a manager for a process that started at startedAt. The boot ID must be
// unique to the process.
func NewTxnManager(boot string, startedAt time.Time, accs *Accounts) *TxnManager {
	return &TxnManager{boot: boot, startedAt: startedAt, accs: accs, routers: 1}
}

// SetRouters sets the number of routers that share the store.
func (m *TxnManager) SetRouters(n int) { m.routers = max(n, 1) }

// RefreshInterval returns the time between two rows while units are locked. From
// LendingMinRouters on only lenders write rows, at most one router for each organisation.
func (m *TxnManager) RefreshInterval() time.Duration {
	writers := m.routers
	if m.routers >= LendingMinRouters {
		writers = min(m.routers, m.accs.Organisations())
	}
	return max(rowRefreshInterval, time.Duration(writers)*time.Second/maxRowsPerSecond)
}

// lockPeriod returns how long units stay locked after their row was sent.
func (m *TxnManager) lockPeriod(now time.Time) time.Duration {
	if m.afterCrash && now.Sub(m.startedAt) < crashCautionPeriod {
		return m.RefreshInterval() + crashLockMargin
	}
	return m.RefreshInterval() + lockMargin
}

// releasePeriod returns the time in which units are released after their lock period.
func (m *TxnManager) releasePeriod() time.Duration {
	if m.routers >= LendingMinRouters {
		return lenderReleasePeriod
	}
	return directReleasePeriod
}

// ObserveStoreTime records the store's clock from a reply that arrived at the given time.
func (m *TxnManager) ObserveStoreTime(millis int64, arrived time.Time) {
	if millis > 0 {
		m.clock = storeClock{millis: millis, receivedAt: arrived}
	}
}

// Begin creates a transaction from the updates that the pools cover. It returns nil if there is
// nothing to write. The outcome of transactions in doubt is determined by the next transaction.
func (m *TxnManager) Begin(updates []PoolUpdate, now time.Time) *Txn {
	m.enterEra()
	if m.accs.Reconciling() {
		return nil
	}
	txn := &Txn{Era: m.era, RowVersion: m.rowVersion, inherited: m.inherited, sentAt: now, lockPeriod: m.lockPeriod(now), releasePeriod: m.releasePeriod()}
	for _, u := range updates {
		if u.era != m.era {
			continue // planned on a row of an earlier era
		}
		after, ok := m.accs.PoolAfter(u)
		if !ok {
			m.accs.Undo(u)
			continue
		}
		txn.Updates = append(txn.Updates, u)
		txn.After = append(txn.After, after)
	}
	if len(m.inDoubt) > 0 {
		txn.sentAt = m.inDoubt[0].sentAt
	}
	if m.clock.millis > 0 {
		txn.locked = m.accs.planLockups(txn.Updates, txn.sentAt.Add(txn.lockPeriod), txn.releasePeriod, now)
	}
	if len(txn.Updates) == 0 && len(m.inDoubt) == 0 && len(m.inherited) == 0 && !m.takeoverPending && !m.rowDue(txn.locked, now) {
		m.updateLockups(nil, now)
		return nil
	}
	m.lastNumber++
	txn.Number = m.lastNumber
	m.updateLockups(txn, now)
	return txn
}

// enterEra discards all state about rows of an earlier era. Draws of transactions in doubt are
// not used, and units that they return count as drawn.
func (m *TxnManager) enterEra() {
	era := m.accs.Era()
	if era == m.era {
		return
	}
	m.era, m.rowVersion, m.inDoubt, m.rowLocked, m.inherited = era, 0, nil, nil, nil
	m.rowSentAt, m.rowLockPeriod = time.Time{}, 0
}

// isCurrent reports whether a transaction belongs to the current era.
func (m *TxnManager) isCurrent(txn *Txn) bool {
	m.enterEra()
	return txn.Era == m.era
}

// rowDue reports whether the row has to be written only for its locked units: because it is due
// for renewal, or because requests wait for units that are locked.
func (m *TxnManager) rowDue(locked map[string]Units, now time.Time) bool {
	if len(locked) == 0 && len(m.rowLocked) == 0 {
		return false
	}
	return now.Sub(m.rowSentAt) >= m.RefreshInterval() || m.accs.HasWaiters(false) && !maps.Equal(locked, m.rowLocked)
}

// updateLockups sets the accounts' lockups to those of all rows that may be in force.
func (m *TxnManager) updateLockups(sent *Txn, now time.Time) {
	rows := []rowLockups{{units: m.rowLocked, lockedUntil: m.rowSentAt.Add(m.rowLockPeriod), releasePeriod: m.rowReleasePeriod}}
	for _, d := range m.inDoubt {
		rows = append(rows, rowLockups{units: d.lockedBeforeUpdates(), lockedUntil: d.sentAt.Add(d.lockPeriod), releasePeriod: d.releasePeriod})
	}
	if sent != nil {
		rows = append(rows, rowLockups{units: sent.lockedBeforeUpdates(), lockedUntil: sent.sentAt.Add(sent.lockPeriod), releasePeriod: sent.releasePeriod})
	}
	m.accs.setLockups(m.era, rows, now)
}

// lockedBeforeUpdates returns the part of the units held before the updates that must not be
// spent, so that the row's locked units exist if the transaction is applied.
func (t *Txn) lockedBeforeUpdates() map[string]Units {
	locked := maps.Clone(t.locked)
	for _, u := range t.Updates {
		if n, ok := locked[u.Organisation]; ok && u.Delta > 0 {
			locked[u.Organisation] = max(n-u.Delta, 0)
		}
	}
	return locked
}

// Row returns the value of the router's row that a transaction writes.
func (m *TxnManager) Row(txn *Txn) RouterRow {
	row := RouterRow{Boot: m.boot, Number: txn.Number, Locked: txn.locked}
	if len(txn.locked) > 0 {
		row.AsOf = m.clock.millis + txn.sentAt.Sub(m.clock.receivedAt).Milliseconds()
		row.LockMillis = txn.lockPeriod.Milliseconds()
		row.ReleaseMillis = txn.releasePeriod.Milliseconds()
	}
	return row
}

// Committed records that the store applied a transaction, and the resulting row version.
func (m *TxnManager) Committed(txn *Txn, version uint64, now time.Time) {
	if !m.isCurrent(txn) {
		return
	}
	// The row still had the version that the transactions in doubt require, and no longer has
	// it: none of them was or will be applied.
	for _, d := range m.inDoubt {
		m.undo(d)
	}
	m.inDoubt = nil
	m.rowVersion, m.takeoverPending = version, false
	m.apply(txn, version, now)
	m.updateLockups(nil, now)
}

// ConditionFailed records that the store did not apply a transaction because its conditions did
// not hold. Row is the router's row as stored, at the given version, or version 0 if there is
// none. SentAt is when the transaction was sent. The caller passes the pools in the reply to
// the accounts.
func (m *TxnManager) ConditionFailed(txn *Txn, row RouterRow, version uint64, sentAt, now time.Time) {
	if !m.isCurrent(txn) {
		return
	}
	m.undo(txn)
	m.takeoverPending = false
	if version != m.rowVersion {
		m.rowVersion = version
		m.inherited = nil
		for _, d := range m.inDoubt {
			if row.Boot == m.boot && row.Number == d.Number {
				m.apply(d, version, now)
			} else {
				m.undo(d)
			}
		}
		m.inDoubt = nil
		m.setPredecessor(&row, sentAt)
	}
	m.updateLockups(nil, now)
}

// NotePredecessorRow makes the next Begin return a transaction even if there are no updates, if
// the row is an earlier process's and has locked units. They can only be taken over in a
// transaction.
func (m *TxnManager) NotePredecessorRow(row *RouterRow) {
	m.takeoverPending = row.Boot != m.boot && len(row.Locked) > 0 && m.lastNumber == 0
}

// setPredecessor determines what to take over from the row of an earlier process on this host.
func (m *TxnManager) setPredecessor(row *RouterRow, sentAt time.Time) {
	if row.Boot == m.boot {
		return
	}
	m.inherited = m.inheritable(row, sentAt)
	m.afterCrash = m.afterCrash || len(row.Locked) > 0
	m.predecessor = &Predecessor{Row: *row, AgeMillis: m.startedAtStoreMillis(sentAt) - row.AsOf, TakenOver: len(m.inherited) > 0}
}

// PopPredecessor returns the row of an earlier process on this host if it was read since the
// last call, or else nil.
func (m *TxnManager) PopPredecessor() *Predecessor {
	predecessor := m.predecessor
	m.predecessor = nil
	return predecessor
}

// startedAtStoreMillis returns the start time of this process on the store's clock, or a later
// time: when the request was sent, the store's clock was at most at the time in the reply.
func (m *TxnManager) startedAtStoreMillis(sentAt time.Time) int64 {
	return m.clock.millis - sentAt.Sub(m.startedAt).Milliseconds()
}

// inheritable returns the units that an earlier process on this host cannot have spent, given
// that it ended before this one started.
func (m *TxnManager) inheritable(row *RouterRow, sentAt time.Time) map[string]Units {
	if row.AsOf == 0 {
		return nil
	}
	since := time.Duration(m.startedAtStoreMillis(sentAt)-row.AsOf-row.LockMillis)*time.Millisecond + clockRounding
	var out map[string]Units
	for org, n := range row.Locked {
		if n = lockedAfter(n, since, time.Duration(row.ReleaseMillis)*time.Millisecond); n > 0 {
			if out == nil {
				out = map[string]Units{}
			}
			out[org] = n
		}
	}
	return out
}

// Refused records that the store refused a transaction without processing it.
func (m *TxnManager) Refused(txn *Txn, now time.Time) {
	if !m.isCurrent(txn) {
		return
	}
	m.undo(txn)
	m.updateLockups(nil, now)
}

// OutcomeUnknown records that no reply arrived: the transaction may have been applied, or may
// be applied later while its conditions hold. Until the next transaction determines its
// outcome, neither the units that it draws nor those that it returns are used.
func (m *TxnManager) OutcomeUnknown(txn *Txn) {
	if m.isCurrent(txn) {
		m.inDoubt = append(m.inDoubt, txn)
	}
}

// InDoubt reports whether the outcome of a transaction is unknown.
func (m *TxnManager) InDoubt() bool { return len(m.inDoubt) > 0 }

// Inherited returns the units that the transaction takes over from an earlier process.
func (t *Txn) Inherited() map[string]Units { return t.inherited }

func (m *TxnManager) apply(txn *Txn, version uint64, now time.Time) {
	// Set the lockups first, so that drawn units are locked as soon as they are added.
	m.rowLocked, m.rowSentAt, m.rowLockPeriod, m.rowReleasePeriod = txn.locked, txn.sentAt, txn.lockPeriod, txn.releasePeriod
	m.updateLockups(nil, now)
	for i, u := range txn.Updates {
		m.accs.Commit(u, txn.After[i], version, now)
	}
	if len(txn.inherited) > 0 {
		m.accs.addInherited(txn.Era, txn.inherited, now)
	}
	m.inherited = nil
}

func (m *TxnManager) undo(txn *Txn) {
	for _, u := range txn.Updates {
		m.accs.Undo(u)
	}
}
