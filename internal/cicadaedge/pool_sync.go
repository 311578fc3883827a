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
	// minSyncInterval is the least time between two transactions of a router unless a
	// request waits.
	minSyncInterval = 200 * time.Millisecond
	// syncCheckInterval is how often an account is looked at without any event.
	syncCheckInterval = 200 * time.Millisecond
	// urgentSyncInterval is the least time between two transactions while requests wait.
	urgentSyncInterval = 20 * time.Millisecond
	// storeProbeTimeout bounds a transaction while the store does not answer: more
	// than it takes when it is slow.
	storeProbeTimeout = 500 * time.Millisecond
	// slowResponseFactor, times the usual time of an answer, is how long one may take until
	// other routers are asked for units; leastSlow is the shortest such time.
	slowResponseFactor = 8
	minSlowThreshold   = 120 * time.Millisecond
	// responseTimeWeight is the weight of one answer in the average of their times: those
	// of a few seconds in which the store is slow change little.
	responseTimeWeight = 0.01
	// maxTxnUpdates bounds the organisations in one transaction, below the store's
	// hundred entries.
	maxTxnUpdates = 40
	// holdingsLogInterval lies between two lines on what this router holds, or heldFactor times
	// as long as it takes to sum up where there are very many budgets. heldDetails
	// bounds the organisations named in one line.
	holdingsLogInterval = time.Second
	holdingsLogFactor   = 500
	holdingsLogMaxOrgs  = 16
)

// poolSyncer moves units between this router's accounts and the pools in the store.
// It has one goroutine.
type poolSyncer struct {
	rt         *Router
	txns       *cicadabudget.Book
	wakeSignal signal
	// storeUp tells whether the last transaction was answered and, in a small fleet, none is
	// late now. Late tells that one is.
	storeUp, callLate atomic.Bool
	// avgResponseTime is the usual time of an answer, an exponential average.
	avgResponseTime time.Duration

	callMu      sync.Mutex // guards call
	currentCall uint64     // number of the call that is under way; zero if none is

	routerCount     atomic.Int64
	reportedEra     uint64    // era in which this router has reported
	nextHoldingsLog time.Time // when the next line on what is held is due
	done            chan struct{}
}

var errSlowStore = errors.New("the store has not answered a transaction in time")

func newPoolSyncer(rt *Router) *poolSyncer {
	ps := &poolSyncer{rt: rt, txns: cicadabudget.NewBook(rt.cfg.BootID, rt.cfg.StartedAt, rt.accounts), wakeSignal: newSignal(), done: make(chan struct{})}
	ps.storeUp.Store(true)
	return ps
}

// wake makes the bank look at the accounts now.
func (ps *poolSyncer) wake() { ps.wakeSignal.send() }

func (ps *poolSyncer) reachable() bool { return ps.storeUp.Load() }

func (ps *poolSyncer) run(ctx context.Context) {
	defer close(ps.done)
	rowLoaded, logged := false, false
	ps.wakeSignal.loop(ctx, syncCheckInterval, func() {
		if !ps.rt.eraTracker.ready() {
			return // keys of rows and what pools start from depend on it
		}
		if !rowLoaded {
			err := ps.loadRouterRow(ctx)
			if rowLoaded = err == nil; !rowLoaded && !logged {
				logged = true
				ps.rt.cfg.Log.WithError(err).Info("own row not read, it is tried again")
			}
		}
		startedAt := time.Now()
		if ps.rt.accounts.Settling() {
			ps.reconcile(ctx)
		} else {
			ps.syncPools(ctx)
		}
		ps.logHoldings(time.Now())
		// A slow store is not asked more than half of the time, and many routers
		// together not more often than their claims need.
		interval := max(minSyncInterval, time.Since(startedAt), ps.txns.Refresh()/2)
		if ps.rt.accounts.Waiting(false) && ps.storeUp.Load() {
			interval = urgentSyncInterval
		}
		ps.waitInterval(ctx, interval)
	})
}

// loadRouterRow looks for what an earlier process on this host left.
func (ps *poolSyncer) loadRouterRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	rows, err := ps.rt.cfg.Store.Get(ctx, cicadastore.Ref{Table: tableDraws, Key: eraKey(ps.rt.accounts.Era(), ps.rt.cfg.Host)})
	if err != nil {
		return errors.Wrap(err, "read own row")
	}
	for _, r := range rows {
		if row, ok := ps.decodeRouterRow(r.Value); ok {
			ps.txns.TakeOver(&row)
		}
	}
	return nil
}

func (ps *poolSyncer) decodeRouterRow(value []byte) (cicadabudget.OwnRow, bool) {
	var row cicadabudget.OwnRow
	if len(value) == 0 {
		return row, false
	}
	if err := json.Unmarshal(value, &row); err != nil {
		ps.rt.cfg.Log.WithError(err).Error("own row cannot be read")
		return row, false
	}
	return row, true
}

// waitInterval waits, but ends early if a request begins to wait for units.
func (ps *poolSyncer) waitInterval(ctx context.Context, interval time.Duration) {
	end := time.Now().Add(interval)
	for remaining := interval; remaining > 0 && ctx.Err() == nil; remaining = time.Until(end) {
		if ps.storeUp.Load() && ps.rt.accounts.Waiting(false) {
			sleep(ctx, min(remaining, urgentSyncInterval))
			return
		}
		sleep(ctx, min(remaining, urgentSyncInterval))
	}
}

// syncPools sends what is to be moved, and once more right away if other routers
// came first.
func (ps *poolSyncer) syncPools(ctx context.Context) {
	ps.txns.SetRouters(int(ps.routerCount.Load()))
	for range 4 {
		// What is given back is out of use until the store answers.
		updates := ps.rt.accounts.Plan(ps.txns.InDoubt() || !ps.storeUp.Load(), time.Now())
		for len(updates) > maxTxnUpdates {
			ps.rt.accounts.Drop(updates[maxTxnUpdates:])
			updates = updates[:maxTxnUpdates]
		}
		if !ps.commit(ctx, ps.txns.Begin(updates, time.Now())) {
			return
		}
	}
}

// commit sends a transaction. It tells whether it failed for rows that others
// had changed, so that another try makes sense.
func (ps *poolSyncer) commit(ctx context.Context, txn *cicadabudget.Txn) bool {
	if txn == nil {
		return false
	}
	rowRef := cicadastore.Ref{Table: tableDraws, Key: eraKey(txn.Era, ps.rt.cfg.Host)}
	storeTxn, err := ps.encode(txn, rowRef)
	if err != nil {
		ps.rt.cfg.Log.WithError(err).Error("transaction not encoded")
		ps.txns.Refused(txn, time.Now())
		return false
	}
	sentAt := time.Now()
	if !ps.storeUp.Load() {
		// A call that was caught by the outage shall not delay the next one.
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
		if other := ps.rt.eraTracker.observe(era); other != nil || era != txn.Era {
			// Whatever was done is of no use: its rows are those of another era.
			ps.txns.Lost(txn)
			return false
		}
	}
	switch {
	case err == nil:
		ps.setStoreUp(true, nil)
		ps.txns.Tick(committed.NowMillis, now)
		ps.txns.Committed(txn, committed.Version, now)
		ps.logTxn(txn, committed.Version)
		return false
	case errors.As(err, &conflict):
		ps.setStoreUp(true, nil)
		ps.txns.Tick(conflict.NowMillis, now)
		ps.applyConflict(txn, conflict, rowRef, sentAt, now)
		return true
	case errors.Is(err, cicadastore.ErrThrottled):
		ps.setStoreUp(false, err)
		ps.txns.Refused(txn, now)
	default:
		ps.setStoreUp(false, err)
		ps.txns.Lost(txn)
	}
	return false
}

// watchCall notes a call that takes much longer than usual, and has other routers asked for
// units then. It returns what ends the watch. Where units come from lenders these stay:
// there the store is busy at times, and lenders that change are worse than a late answer.
func (ps *poolSyncer) watchCall(call uint64) (end func()) {
	ps.setCall(call)
	timer := time.AfterFunc(max(minSlowThreshold, slowResponseFactor*ps.avgResponseTime), func() {
		ps.callMu.Lock()
		defer ps.callMu.Unlock()
		if ps.currentCall != call {
			return
		}
		ps.callLate.Store(true)
		if int(ps.routerCount.Load()) < cicadabudget.LendFrom {
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

// responseEra returns the era of an answer, if there was one that tells it.
func responseEra(committed cicadastore.Committed, err error) (uint64, bool) {
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
		ps.rt.cfg.Log.Info("bank regained the store")
		return
	}
	ps.rt.cfg.Log.WithError(err).Warn("bank lost the store")
}

func (ps *poolSyncer) encode(txn *cicadabudget.Txn, rowRef cicadastore.Ref) (cicadastore.Txn, error) {
	value, err := json.Marshal(ps.txns.Row(txn))
	if err != nil {
		return cicadastore.Txn{}, errors.Wrap(err, "own row")
	}
	out := cicadastore.Txn{
		Conditions: []cicadastore.Condition{{Ref: rowRef, Version: txn.OwnVersion}},
		Writes:     []cicadastore.Write{{Ref: rowRef, Value: value}},
	}
	for i, update := range txn.Moves {
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

// applyConflict takes the rows as they are from a conflict.
func (ps *poolSyncer) applyConflict(txn *cicadabudget.Txn, conflict *cicadastore.ConflictError, rowRef cicadastore.Ref, sentAt, now time.Time) {
	var row cicadabudget.OwnRow
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
			ps.rt.cfg.Log.WithField("organisation", r.Key).WithError(err).Error("pool cannot be read")
			continue
		}
		_, org := splitEraKey(r.Key)
		ps.rt.accounts.Correct(org, txn.Era, p, r.Version, now)
	}
	ps.txns.Rejected(txn, row, version, sentAt, now)
	if predecessor := ps.txns.Found(); predecessor != nil {
		var locked cicadabudget.Units
		for _, n := range predecessor.Row.Dormant {
			locked += n
		}
		ps.rt.cfg.Log.WithField("earlierBoot", predecessor.Row.Boot).WithField("ageMillis", predecessor.AgeMillis).WithField("dormant", int64(locked)).
			WithField("lapseMillis", predecessor.Row.LapseMillis).WithField("takenOver", predecessor.TakenOver).Info("row of an ended process")
	}
}

func (ps *poolSyncer) logTxn(txn *cicadabudget.Txn, version uint64) {
	for org, n := range txn.Heritage() {
		ps.rt.cfg.Log.WithField("organisation", org).WithField("units", int64(n)).WithField("version", version).
			Info("units taken over from an ended process")
	}
	for i, update := range txn.Moves {
		ps.rt.cfg.Log.WithField("organisation", update.Organisation).WithField("units", int64(update.Delta)).
			WithField("drawnByAll", int64(txn.After[i].Drawn)).WithField("limit", int64(txn.After[i].Limit)).
			WithField("version", version).Info("units moved")
	}
}

// logHoldings tells what would be lost, or left to a successor, if the process ended.
func (ps *poolSyncer) logHoldings(now time.Time) {
	if now.Before(ps.nextHoldingsLog) {
		return
	}
	total, byOrg := ps.rt.accounts.Held(holdingsLogMaxOrgs, now)
	ps.nextHoldingsLog = now.Add(max(holdingsLogInterval, holdingsLogFactor*time.Since(now)))
	ps.rt.cfg.Log.WithField("free", int64(total.Free)).WithField("dormant", int64(total.Dormant)).WithField("reserved", int64(total.Reserved)).
		WithField("spent", int64(total.Spent)).WithField("organisations", byOrg).Info("units held")
}

// returnUnits returns all free units at a planned stop. It tries until ctx ends: an
// outage of the store may be over before the process has to end.
func (ps *poolSyncer) returnUnits(ctx context.Context) {
	for {
		retry := ps.commit(ctx, ps.txns.Begin(ps.rt.accounts.ReturnAll(), time.Now()))
		if ctx.Err() != nil || !retry && ps.storeUp.Load() {
			return
		}
		sleep(ctx, urgentSyncInterval)
	}
}
