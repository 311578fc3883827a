package cicadaedge

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// minSyncInterval is the minimum time between two transactions of a router while no request
	// waits for units.
	minSyncInterval = 200 * time.Millisecond
	// syncCheckInterval is how often the accounts are checked without a wake-up.
	syncCheckInterval = 200 * time.Millisecond
	// urgentSyncInterval is the minimum time between two transactions while requests wait for
	// units.
	urgentSyncInterval = 20 * time.Millisecond
	// storeProbeTimeout bounds a transaction while the store does not answer, and the read of this
	// router's row. It is longer than the call takes when the store is slow.
	storeProbeTimeout = 500 * time.Millisecond
	// A transaction counts as late after slowResponseFactor times the average response time, but
	// at least minSlowThreshold. In a small fleet, other routers are then asked for units.
	slowResponseFactor = 8
	minSlowThreshold   = 120 * time.Millisecond
	// responseTimeWeight is the weight of one sample in the average response time. It is small, so
	// that a store that is slow for a few seconds hardly changes the average.
	responseTimeWeight = 0.01
	// maxTxnUpdates bounds the organisations in one transaction, so that it stays below the hundred
	// entries that the store accepts.
	maxTxnUpdates = 40
	// holdingsLogInterval is the minimum time between two log lines on the units held. With very
	// many budgets it is holdingsLogFactor times the time that the summary takes.
	// holdingsLogMaxOrgs bounds the organisations listed in one line.
	holdingsLogInterval = time.Second
	holdingsLogFactor   = 500
	holdingsLogMaxOrgs  = 16
)

// poolSyncer moves units between this router's accounts and the pools in the store. It runs in a
// single goroutine.
type poolSyncer struct {
	rt         *Router
	txns       *cicadabudget.TxnManager
	wakeSignal signal
	// storeUp is set if the last transaction was answered and, in a small fleet, none is late now.
	// callLate is set while a transaction is late.
	storeUp, callLate atomic.Bool
	// avgResponseTime is the exponential moving average of the store's response time.
	avgResponseTime time.Duration

	callMu      sync.Mutex // guards currentCall
	currentCall uint64     // number of the transaction in progress; zero for none

	routerCount     atomic.Int64
	reportedEra     uint64    // era that this router has reported its pools for
	nextHoldingsLog time.Time // time of the next log line on the units held
	done            chan struct{}
}

var errSlowStore = errors.New("the store did not answer a pool transaction within the slow-response threshold")

func newPoolSyncer(rt *Router) *poolSyncer {
	ps := &poolSyncer{rt: rt, txns: cicadabudget.NewTxnManager(rt.cfg.BootID, rt.cfg.StartedAt, rt.accounts), wakeSignal: newSignal(), done: make(chan struct{})}
	ps.storeUp.Store(true)
	return ps
}

// wake makes the syncer check the accounts now.
func (ps *poolSyncer) wake() { ps.wakeSignal.send() }

func (ps *poolSyncer) reachable() bool { return ps.storeUp.Load() }

func (ps *poolSyncer) run(ctx context.Context) {
	defer close(ps.done)
	rowLoaded, logged := false, false
	ps.wakeSignal.loop(ctx, syncCheckInterval, func() {
		if !ps.rt.eraTracker.ready() {
			return // row keys and the initial state of the pools depend on the era
		}
		if !rowLoaded {
			err := ps.loadRouterRow(ctx)
			if rowLoaded = err == nil; !rowLoaded && !logged {
				logged = true
				ps.rt.cfg.Log.WithError(err).Info("failed to read this router's row; retrying")
			}
		}
		startedAt := time.Now()
		if ps.rt.accounts.Reconciling() {
			ps.reconcile(ctx)
		} else {
			ps.syncPools(ctx)
		}
		ps.logHoldings(time.Now())
		// At most half of the time is spent in calls to a slow store, and many routers together
		// write no more often than their lockups of units have to be refreshed.
		interval := max(minSyncInterval, time.Since(startedAt), ps.txns.RefreshInterval()/2)
		if ps.rt.accounts.HasWaiters(false) && ps.storeUp.Load() {
			interval = urgentSyncInterval
		}
		ps.waitInterval(ctx, interval)
	})
}

// loadRouterRow reads the row that an earlier process on this host may have left.
func (ps *poolSyncer) loadRouterRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	rows, err := ps.rt.cfg.Store.Get(ctx, cicadastore.Ref{Table: tableDraws, Key: eraKey(ps.rt.accounts.Era(), ps.rt.cfg.Host)})
	if err != nil {
		return errors.Wrap(err, "read router row")
	}
	for _, r := range rows {
		if row, ok := ps.decodeRouterRow(r.Value); ok {
			ps.txns.NotePredecessorRow(&row)
		}
	}
	return nil
}

func (ps *poolSyncer) decodeRouterRow(value []byte) (cicadabudget.RouterRow, bool) {
	var row cicadabudget.RouterRow
	if len(value) == 0 {
		return row, false
	}
	if err := json.Unmarshal(value, &row); err != nil {
		ps.rt.cfg.Log.WithError(err).Error("failed to decode this router's row")
		return row, false
	}
	return row, true
}

// waitInterval waits for an interval, but returns early when a request starts to wait for units.
func (ps *poolSyncer) waitInterval(ctx context.Context, interval time.Duration) {
	end := time.Now().Add(interval)
	for remaining := interval; remaining > 0 && ctx.Err() == nil; remaining = time.Until(end) {
		if ps.storeUp.Load() && ps.rt.accounts.HasWaiters(false) {
			sleep(ctx, min(remaining, urgentSyncInterval))
			return
		}
		sleep(ctx, min(remaining, urgentSyncInterval))
	}
}

// syncPools sends the planned pool updates, and retries at once if other routers changed the rows
// first.
func (ps *poolSyncer) syncPools(ctx context.Context) {
	ps.txns.SetRouters(int(ps.routerCount.Load()))
	for range 4 {
		// Returned units cannot be used until the store answers, so none are returned while the
		// store does not answer or the outcome of a transaction is unknown.
		updates := ps.rt.accounts.Plan(ps.txns.InDoubt() || !ps.storeUp.Load(), time.Now())
		for len(updates) > maxTxnUpdates {
			ps.rt.accounts.UndoAll(updates[maxTxnUpdates:])
			updates = updates[:maxTxnUpdates]
		}
		if !ps.commit(ctx, ps.txns.Begin(updates, time.Now())) {
			return
		}
	}
}

// commit sends a transaction. It reports whether the transaction failed because other routers had
// changed the rows, so that a retry makes sense.
func (ps *poolSyncer) commit(ctx context.Context, txn *cicadabudget.Txn) bool {
	if txn == nil {
		return false
	}
	rowRef := cicadastore.Ref{Table: tableDraws, Key: eraKey(txn.Era, ps.rt.cfg.Host)}
	storeTxn, err := ps.encode(txn, rowRef)
	if err != nil {
		ps.rt.cfg.Log.WithError(err).Error("failed to encode a pool transaction")
		ps.txns.Refused(txn, time.Now())
		return false
	}
	sentAt := time.Now()
	if !ps.storeUp.Load() {
		// A call that hangs in the outage must not delay the next one.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, storeProbeTimeout)
		defer cancel()
	}
	endWatch := ps.watchCall(txn.Number)
	committed, err := ps.rt.cfg.Store.Commit(ctx, storeTxn)
	endWatch()
	now := time.Now()
	if _, answered := responseEra(committed, err); answered {
		ps.recordResponseTime(now.Sub(sentAt))
	}
	var conflict *cicadastore.ConflictError
	if era, answered := responseEra(committed, err); answered {
		if eraErr := ps.rt.eraTracker.observe(era); eraErr != nil || era != txn.Era {
			// The result cannot be used: it concerns rows of another era.
			ps.txns.OutcomeUnknown(txn)
			return false
		}
	}
	switch {
	case err == nil:
		ps.setStoreUp(true, nil)
		ps.txns.ObserveStoreTime(committed.NowMillis, now)
		ps.txns.Committed(txn, committed.Version, now)
		ps.logTxn(txn, committed.Version)
		return false
	case errors.As(err, &conflict):
		ps.setStoreUp(true, nil)
		ps.txns.ObserveStoreTime(conflict.NowMillis, now)
		ps.applyConflict(txn, conflict, rowRef, sentAt, now)
		return true
	case errors.Is(err, cicadastore.ErrThrottled):
		ps.setStoreUp(false, err)
		ps.txns.Refused(txn, now)
	default:
		ps.setStoreUp(false, err)
		ps.txns.OutcomeUnknown(txn)
	}
	return false
}

// watchCall detects a transaction that takes much longer than usual, and in a small fleet has other
// routers asked for units then. The returned function ends the watch. In a fleet in which units
// come from lenders, the store still counts as reachable: it is busy at times there, and changing
// lenders costs more than a late response.
func (ps *poolSyncer) watchCall(call uint64) (end func()) {
	ps.setCall(call)
	timer := time.AfterFunc(max(minSlowThreshold, slowResponseFactor*ps.avgResponseTime), func() {
		ps.callMu.Lock()
		defer ps.callMu.Unlock()
		if ps.currentCall != call {
			return
		}
		ps.callLate.Store(true)
		if int(ps.routerCount.Load()) < cicadabudget.LendingMinRouters {
			ps.setStoreUp(false, errSlowStore)
			ps.rt.borrower.wake()
		}
	})
	return func() {
		timer.Stop()
		ps.setCall(0)
	}
}

func (ps *poolSyncer) recordResponseTime(took time.Duration) {
	if ps.avgResponseTime == 0 {
		ps.avgResponseTime = took
	}
	ps.avgResponseTime += time.Duration(responseTimeWeight * float64(took-ps.avgResponseTime))
}

func (ps *poolSyncer) setCall(call uint64) {
	ps.callMu.Lock()
	defer ps.callMu.Unlock()
	ps.currentCall = call
	ps.callLate.Store(false)
}

// responseEra returns the era of a store response, and false if the response states none.
func responseEra(committed cicadastore.CommitResult, err error) (uint64, bool) {
	var conflict *cicadastore.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Era, true
	}
	return committed.Era, err == nil
}

func (ps *poolSyncer) setStoreUp(up bool, err error) {
	if ps.storeUp.Swap(up) == up {
		return
	}
	if up {
		ps.rt.cfg.Log.Info("store answers pool transactions again")
		return
	}
	ps.rt.cfg.Log.WithError(err).Warn("store does not answer pool transactions")
}

func (ps *poolSyncer) encode(txn *cicadabudget.Txn, rowRef cicadastore.Ref) (cicadastore.Txn, error) {
	value, err := json.Marshal(ps.txns.Row(txn))
	if err != nil {
		return cicadastore.Txn{}, errors.Wrap(err, "router row")
	}
	out := cicadastore.Txn{
		Conditions: []cicadastore.Condition{{Ref: rowRef, Version: txn.RowVersion}},
		Writes:     []cicadastore.Write{{Ref: rowRef, Value: value}},
	}
	for i, update := range txn.Updates {
		ref := cicadastore.Ref{Table: tablePools, Key: eraKey(txn.Era, update.Organisation)}
		value, err := json.Marshal(txn.After[i])
		if err != nil {
			return cicadastore.Txn{}, errors.Wrap(err, "pool")
		}
		out.Conditions = append(out.Conditions, cicadastore.Condition{Ref: ref, Version: update.Version})
		out.Writes = append(out.Writes, cicadastore.Write{Ref: ref, Value: value})
	}
	return out, nil
}

// applyConflict updates the accounts and the router's row from the rows in a conflict.
func (ps *poolSyncer) applyConflict(txn *cicadabudget.Txn, conflict *cicadastore.ConflictError, rowRef cicadastore.Ref, sentAt, now time.Time) {
	var row cicadabudget.RouterRow
	var version uint64
	for _, r := range conflict.Failed {
		if r.Version == 0 {
			continue
		}
		if r.Table == rowRef.Table && r.Key == rowRef.Key {
			version = r.Version
			row, _ = ps.decodeRouterRow(r.Value)
			continue
		}
		var p cicadabudget.Pool
		if err := json.Unmarshal(r.Value, &p); err != nil {
			ps.rt.cfg.Log.WithField("organisation", r.Key).WithError(err).Error("failed to decode a pool row")
			continue
		}
		_, org := splitEraKey(r.Key)
		ps.rt.accounts.OverridePool(org, txn.Era, p, r.Version, now)
	}
	ps.txns.ConditionFailed(txn, row, version, sentAt, now)
	if predecessor := ps.txns.PopPredecessor(); predecessor != nil {
		var locked cicadabudget.Units
		for _, n := range predecessor.Row.Locked {
			locked += n
		}
		ps.rt.cfg.Log.WithField("earlierBoot", predecessor.Row.Boot).WithField("ageMillis", predecessor.AgeMillis).WithField("dormant", int64(locked)).
			WithField("lapseMillis", predecessor.Row.LockMillis).WithField("takenOver", predecessor.TakenOver).Info("found the row of an earlier process on this host")
	}
}

func (ps *poolSyncer) logTxn(txn *cicadabudget.Txn, version uint64) {
	for org, n := range txn.Inherited() {
		ps.rt.cfg.Log.WithField("organisation", org).WithField("units", int64(n)).WithField("version", version).
			Info("units inherited from an earlier process on this host")
	}
	for i, update := range txn.Updates {
		ps.rt.cfg.Log.WithField("organisation", update.Organisation).WithField("units", int64(update.Delta)).
			WithField("drawnByAll", int64(txn.After[i].Drawn)).WithField("limit", int64(txn.After[i].Limit)).
			WithField("version", version).Info("units moved")
	}
}

// logHoldings logs the units that would be lost, or left to a later process, if this process ended
// now.
func (ps *poolSyncer) logHoldings(now time.Time) {
	if now.Before(ps.nextHoldingsLog) {
		return
	}
	total, byOrg := ps.rt.accounts.Holdings(holdingsLogMaxOrgs, now)
	ps.nextHoldingsLog = now.Add(max(holdingsLogInterval, holdingsLogFactor*time.Since(now)))
	ps.rt.cfg.Log.WithField("free", int64(total.Free)).WithField("dormant", int64(total.Locked)).WithField("reserved", int64(total.Reserved)).
		WithField("spent", int64(total.Spent)).WithField("organisations", byOrg).Info("units held")
}

// returnUnits returns all free units in a planned stop. It retries until ctx ends, since an outage
// of the store may be over before the process has to end.
func (ps *poolSyncer) returnUnits(ctx context.Context) {
	for {
		retry := ps.commit(ctx, ps.txns.Begin(ps.rt.accounts.ReturnAll(), time.Now()))
		if ctx.Err() != nil || !retry && ps.storeUp.Load() {
			return
		}
		sleep(ctx, urgentSyncInterval)
	}
}
