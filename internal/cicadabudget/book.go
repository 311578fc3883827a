package cicadabudget

import (
	"maps"
	"time"
)

const (
	// claimRefresh is the usual time between two rows of a router that has
	// dormant units, if the store lets so many routers write so often.
	claimRefresh = 400 * time.Millisecond
	// refreshesPerSecond bounds the rows of all routers together, below the 300
	// transactions a second that one part of the store takes.
	refreshesPerSecond = 150
	// releaseAfter is how long after the next row is due units stay dormant: a
	// few answer times of a slow store.
	releaseAfter = 300 * time.Millisecond
	// clockMargin covers the rounding of the store's clock.
	clockMargin = 100 * time.Millisecond
)

type (
	// TxnManager orders the moves between accounts and store so that each move counts
	// once, though answers of the store get lost and lost transactions may still
	// be performed while their conditions hold.
	//
	// Each transaction sets the router's own row to a new number, under the
	// condition that the row is at the version that the router last saw. So of
	// all transactions in doubt only one can ever have been performed, and the
	// row's number tells whether it was.
	//
	// The row also claims units as dormant: this process does not spend them
	// before LapseMillis have passed since AsOf on the store's clock, and then
	// only as they are released, a fixed share of them a second. A later process
	// on the same host proves that this one has ended. What had not been released
	// when it began is untouched, and it takes that over in the transaction that
	// replaces the row. The local clock may stand still while the host is
	// suspended, which only makes this process spend units later.
	//
	// A Book is used by one goroutine.
	TxnManager struct {
		boot    string // of this process; an earlier one's numbers mean nothing
		era     uint64 // of the store, for all below
		began   time.Time
		accs    *Accounts
		number  uint64 // of the last transaction sent
		version uint64 // of the own row, as last seen
		routers int
		doubts  []*Txn // sent at the present version of the own row, outcome unknown
		claimed map[string]Units
		// claimedAt is when the row in force was sent, and claimedLapse how long
		// it says that its claims hold.
		claimedAt      time.Time
		claimedLapse   time.Duration
		claimedRelease time.Duration
		// heritage is what the row of an earlier process leaves to this one.
		heritage map[string]Units
		found    *Predecessor
		legacy   bool // there is a row to take over, not read in a transaction yet
		clock    storeClock
	}

	// Predecessor is the row that an earlier process on this host left. AgeMillis is
	// how old its claims were when this process began.
	Predecessor struct {
		Row       RouterRow
		AgeMillis int64
		TakenOver bool
	}

	// storeClock estimates the store's clock, never ahead of it.
	storeClock struct {
		millis int64
		at     time.Time
	}

	// Txn is a set of moves that the store takes together or not at all.
	Txn struct {
		Number uint64
		// Era is part of the keys of all its rows.
		Era uint64
		// RowVersion is the version that the router's own row must have.
		RowVersion uint64
		Updates    []PoolUpdate
		After      []Pool           // the pools after the moves, in the same order
		claims     map[string]Units // dormant once the moves are done
		heritage   map[string]Units
		sentAt     time.Time // of the first in a series of doubts
		lapse      time.Duration
		release    time.Duration
	}

	// RouterRow is the value of a router's own row.
	RouterRow struct {
		Boot   string `json:"boot"`
		Number uint64 `json:"number"`
		// AsOf is a time of the store's clock, in milliseconds, and LapseMillis
		// how long after it nothing of Dormant is spent. See dormantAfter for what
		// is still dormant later.
		AsOf       int64 `json:"asOf,omitempty"`
		LockMillis int64 `json:"lapseMillis,omitempty"`
		// ReleaseMillis is the time after the lapse in which Dormant is released.
		ReleaseMillis int64            `json:"releaseMillis,omitempty"`
		Locked        map[string]Units `json:"dormant,omitempty"`
	}
)

// NewTxnManager returns a book for a process that began at a time, with a boot id of
// its own.
func NewTxnManager(boot string, began time.Time, accs *Accounts) *TxnManager {
	return &TxnManager{boot: boot, began: began, accs: accs, routers: 1}
}

// SetRouters sets the number of routers that share the store.
func (b *TxnManager) SetRouters(n int) { b.routers = max(n, 1) }

// RefreshInterval is the time between two rows while units are dormant. Where units come
// from lenders only these write rows, at most one for each organisation.
func (b *TxnManager) RefreshInterval() time.Duration {
	writers := b.routers
	if b.routers >= LendingMinRouters {
		writers = min(b.routers, b.accs.Organisations())
	}
	return max(claimRefresh, time.Duration(writers)*time.Second/refreshesPerSecond)
}

// lapse is how long after its row was sent dormant units are not spent.
func (b *TxnManager) lapse() time.Duration { return b.RefreshInterval() + releaseAfter }

// release is the time in which dormant units are released after their lapse.
func (b *TxnManager) release() time.Duration {
	if b.routers >= LendingMinRouters {
		return pooledRelease
	}
	return releaseOver
}

// ObserveStoreTime notes the store's clock from an answer that arrived at a time.
func (b *TxnManager) ObserveStoreTime(millis int64, arrived time.Time) {
	if millis > 0 {
		b.clock = storeClock{millis: millis, at: arrived}
	}
}

// Begin makes a transaction of the moves that the pools cover, or returns nil if
// there is nothing to do. A transaction in doubt is settled by the next one.
func (b *TxnManager) Begin(moves []PoolUpdate, now time.Time) *Txn {
	b.enterEra()
	if b.accs.Reconciling() {
		return nil
	}
	txn := &Txn{Era: b.era, RowVersion: b.version, heritage: b.heritage, sentAt: now, lapse: b.lapse(), release: b.release()}
	for _, m := range moves {
		if m.era != b.era {
			continue // planned on a row of an earlier era
		}
		after, ok := b.accs.PoolAfter(m)
		if !ok {
			b.accs.Undo(m)
			continue
		}
		txn.Updates = append(txn.Updates, m)
		txn.After = append(txn.After, after)
	}
	if len(b.doubts) > 0 {
		txn.sentAt = b.doubts[0].sentAt
	}
	if b.clock.millis > 0 {
		txn.claims = b.accs.claims(txn.Updates, txn.sentAt.Add(txn.lapse), txn.release, now)
	}
	if len(txn.Updates) == 0 && len(b.doubts) == 0 && len(b.heritage) == 0 && !b.legacy && !b.rowDue(txn.claims, now) {
		b.claim(nil, now)
		return nil
	}
	b.number++
	txn.Number = b.number
	b.claim(txn, now)
	return txn
}

// enterEra forgets all that concerns rows of an earlier era. Of transactions in
// doubt draws are not used, and what was to be given back is gone: it counts as
// drawn.
func (b *TxnManager) enterEra() {
	era := b.accs.Era()
	if era == b.era {
		return
	}
	b.era, b.version, b.doubts, b.claimed, b.heritage = era, 0, nil, nil, nil
	b.claimedAt, b.claimedLapse = time.Time{}, 0
}

// current tells whether a transaction is of the present era.
func (b *TxnManager) current(txn *Txn) bool {
	b.enterEra()
	return txn.Era == b.era
}

// rowDue tells whether the row has to be written for its claims alone: because
// they grow old, or because requests wait for units that are dormant.
func (b *TxnManager) rowDue(claims map[string]Units, now time.Time) bool {
	if len(claims) == 0 && len(b.claimed) == 0 {
		return false
	}
	return now.Sub(b.claimedAt) >= b.RefreshInterval() || b.accs.HasWaiters(false) && !maps.Equal(claims, b.claimed)
}

// claim makes the accounts keep to all rows that may be in force.
func (b *TxnManager) claim(sent *Txn, now time.Time) {
	rows := []rowClaims{{units: b.claimed, from: b.claimedAt.Add(b.claimedLapse), over: b.claimedRelease}}
	for _, d := range b.doubts {
		rows = append(rows, rowClaims{units: d.withheld(), from: d.sentAt.Add(d.lapse), over: d.release})
	}
	if sent != nil {
		rows = append(rows, rowClaims{units: sent.withheld(), from: sent.sentAt.Add(sent.lapse), over: sent.release})
	}
	b.accs.setClaims(b.era, rows, now)
}

// withheld is what must not be spent of the units held before the moves, so that
// the claims are true if the transaction is performed.
func (t *Txn) withheld() map[string]Units {
	out := maps.Clone(t.claims)
	for _, m := range t.Updates {
		if n, ok := out[m.Organisation]; ok && m.Delta > 0 {
			out[m.Organisation] = max(n-m.Delta, 0)
		}
	}
	return out
}

// Row returns the value of the own row under a transaction.
func (b *TxnManager) Row(txn *Txn) RouterRow {
	row := RouterRow{Boot: b.boot, Number: txn.Number, Locked: txn.claims}
	if len(txn.claims) > 0 {
		row.AsOf = b.clock.millis + txn.sentAt.Sub(b.clock.at).Milliseconds()
		row.LockMillis = txn.lapse.Milliseconds()
		row.ReleaseMillis = txn.release.Milliseconds()
	}
	return row
}

// Committed notes that the store took a transaction at a version.
func (b *TxnManager) Committed(txn *Txn, version uint64, now time.Time) {
	if !b.current(txn) {
		return
	}
	// The row was still at the version that those in doubt need, and no longer is.
	for _, d := range b.doubts {
		b.undo(d)
	}
	b.doubts = nil
	b.version, b.legacy = version, false
	b.apply(txn, version, now)
	b.claim(nil, now)
}

// ConditionFailed notes that the store did not take a transaction, as its conditions
// did not hold. Own is the own row as it is, at a version; version 0 means that
// there is none. Asked is when the transaction was sent. Pools are learnt by the
// caller.
func (b *TxnManager) ConditionFailed(txn *Txn, own RouterRow, version uint64, asked, now time.Time) {
	if !b.current(txn) {
		return
	}
	b.undo(txn)
	b.legacy = false
	if version != b.version {
		b.version = version
		b.heritage = nil
		for _, d := range b.doubts {
			if own.Boot == b.boot && own.Number == d.Number {
				b.apply(d, version, now)
			} else {
				b.undo(d)
			}
		}
		b.doubts = nil
		b.find(&own, asked)
	}
	b.claim(nil, now)
}

// NotePredecessorRow makes the next transaction be made though nothing has to move: an earlier
// process on this host left a row that declares units dormant, and only a transaction
// takes them over.
func (b *TxnManager) NotePredecessorRow(row *RouterRow) {
	b.legacy = row.Boot != b.boot && len(row.Locked) > 0 && b.number == 0
}

// find takes up what an earlier process on this host left in its row.
func (b *TxnManager) find(own *RouterRow, asked time.Time) {
	if own.Boot == b.boot {
		return
	}
	b.heritage = b.left(own, asked)
	b.found = &Predecessor{Row: *own, AgeMillis: b.beganAt(asked) - own.AsOf, TakenOver: len(b.heritage) > 0}
}

// PopPredecessor returns what is known of an earlier process on this host since the last
// call, or nil.
func (b *TxnManager) PopPredecessor() *Predecessor {
	found := b.found
	b.found = nil
	return found
}

// beganAt is when this process began, on the store's clock, or later: that clock
// was at most at the answer's time when the question was sent.
func (b *TxnManager) beganAt(asked time.Time) int64 {
	return b.clock.millis - asked.Sub(b.began).Milliseconds()
}

// left returns what an earlier process on this host cannot have spent: it ended
// before this one began.
func (b *TxnManager) left(own *RouterRow, asked time.Time) map[string]Units {
	if own.AsOf == 0 {
		return nil
	}
	since := time.Duration(b.beganAt(asked)-own.AsOf-own.LockMillis)*time.Millisecond + clockMargin
	var out map[string]Units
	for org, n := range own.Locked {
		if n = dormantAfter(n, since, time.Duration(own.ReleaseMillis)*time.Millisecond); n > 0 {
			if out == nil {
				out = map[string]Units{}
			}
			out[org] = n
		}
	}
	return out
}

// Refused notes that the store turned a transaction away unread.
func (b *TxnManager) Refused(txn *Txn, now time.Time) {
	if !b.current(txn) {
		return
	}
	b.undo(txn)
	b.claim(nil, now)
}

// OutcomeUnknown notes that no answer came: the transaction may have been performed, or
// may be performed later while its conditions hold. Its draws are not used, and
// what it gives back is not used either, until the next one settles it.
func (b *TxnManager) OutcomeUnknown(txn *Txn) {
	if b.current(txn) {
		b.doubts = append(b.doubts, txn)
	}
}

// InDoubt tells whether the outcome of a transaction is unknown.
func (b *TxnManager) InDoubt() bool { return len(b.doubts) > 0 }

// Inherited is what the next transaction takes over from an earlier process.
func (t *Txn) Inherited() map[string]Units { return t.heritage }

func (b *TxnManager) apply(txn *Txn, version uint64, now time.Time) {
	// Drawn units that the row claims are withheld from the moment they are there.
	b.claimed, b.claimedAt, b.claimedLapse, b.claimedRelease = txn.claims, txn.sentAt, txn.lapse, txn.release
	b.claim(nil, now)
	for i, m := range txn.Updates {
		b.accs.Commit(m, txn.After[i], version, now)
	}
	if len(txn.heritage) > 0 {
		b.accs.inherit(txn.Era, txn.heritage, now)
	}
	b.heritage = nil
}

func (b *TxnManager) undo(txn *Txn) {
	for _, m := range txn.Updates {
		b.accs.Undo(m)
	}
}
