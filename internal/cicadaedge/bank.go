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
	// bankPause is the least time between two transactions of a router unless a
	// request waits.
	bankPause = 200 * time.Millisecond
	// bankTick is how often an account is looked at without any event.
	bankTick = 200 * time.Millisecond
	// urgentPause is the least time between two transactions while requests wait.
	urgentPause = 20 * time.Millisecond
	// probeTimeout bounds a transaction while the store does not answer: more
	// than it takes when it is slow.
	probeTimeout = 500 * time.Millisecond
	// slowFactor, times the usual time of an answer, is how long one may take until
	// other routers are asked for units; leastSlow is the shortest such time.
	slowFactor = 8
	leastSlow  = 120 * time.Millisecond
	// answerWeight is the weight of one answer in the average of their times: those
	// of a few seconds in which the store is slow change little.
	answerWeight = 0.01
	// txnMoves bounds the organisations in one transaction, below the store's
	// hundred entries.
	txnMoves = 40
	// heldPause lies between two lines on what this router holds, or heldFactor times
	// as long as it takes to sum up where there are very many budgets. heldDetails
	// bounds the organisations named in one line.
	heldPause   = time.Second
	heldFactor  = 500
	heldDetails = 16
)

// bank moves units between this router's accounts and the pools in the store.
// It has one goroutine.
type bank struct {
	rt    *Router
	book  *cicadabudget.TxnManager
	waked signal
	// up tells whether the last transaction was answered and, in a small fleet, none is
	// late now. Late tells that one is.
	up, late atomic.Bool
	// answerTime is the usual time of an answer, an exponential average.
	answerTime time.Duration

	callMu sync.Mutex // guards call
	call   uint64     // number of the call that is under way; zero if none is

	routers  atomic.Int64
	reported uint64    // era in which this router has reported
	heldNext time.Time // when the next line on what is held is due
	done     chan struct{}
}

var errSlow = errors.New("the store has not answered a transaction in time")

func newBank(rt *Router) *bank {
	b := &bank{rt: rt, book: cicadabudget.NewTxnManager(rt.cfg.BootID, rt.cfg.StartedAt, rt.accounts), waked: newSignal(), done: make(chan struct{})}
	b.up.Store(true)
	return b
}

// wake makes the bank look at the accounts now.
func (b *bank) wake() { b.waked.send() }

func (b *bank) reachable() bool { return b.up.Load() }

func (b *bank) run(ctx context.Context) {
	defer close(b.done)
	found, told := false, false
	b.waked.loop(ctx, bankTick, func() {
		if !b.rt.eras.isKnown() {
			return // keys of rows and what pools start from depend on it
		}
		if !found {
			err := b.findOwn(ctx)
			if found = err == nil; !found && !told {
				told = true
				b.rt.cfg.Log.WithError(err).Info("own row not read, it is tried again")
			}
		}
		began := time.Now()
		if b.rt.accounts.Reconciling() {
			b.settle(ctx)
		} else {
			b.balance(ctx)
		}
		b.logHeld(time.Now())
		// A slow store is not asked more than half of the time, and many routers
		// together not more often than their claims need.
		least := max(bankPause, time.Since(began), b.book.RefreshInterval()/2)
		if b.rt.accounts.HasWaiters(false) && b.up.Load() {
			least = urgentPause
		}
		b.rest(ctx, least)
	})
}

// findOwn looks for what an earlier process on this host left.
func (b *bank) findOwn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	rows, err := b.rt.cfg.Store.Get(ctx, cicadastore.Ref{Table: tableDraws, Key: eraKey(b.rt.accounts.Era(), b.rt.cfg.Host)})
	if err != nil {
		return errors.Wrap(err, "read own row")
	}
	for _, r := range rows {
		if row, ok := b.decodeOwn(r.Value); ok {
			b.book.NotePredecessorRow(&row)
		}
	}
	return nil
}

func (b *bank) decodeOwn(value []byte) (cicadabudget.RouterRow, bool) {
	var row cicadabudget.RouterRow
	if len(value) == 0 {
		return row, false
	}
	if err := json.Unmarshal(value, &row); err != nil {
		b.rt.cfg.Log.WithError(err).Error("own row cannot be read")
		return row, false
	}
	return row, true
}

// rest waits, but ends early if a request begins to wait for units.
func (b *bank) rest(ctx context.Context, d time.Duration) {
	until := time.Now().Add(d)
	for left := d; left > 0 && ctx.Err() == nil; left = time.Until(until) {
		if b.up.Load() && b.rt.accounts.HasWaiters(false) {
			pause(ctx, min(left, urgentPause))
			return
		}
		pause(ctx, min(left, urgentPause))
	}
}

// balance sends what is to be moved, and once more right away if other routers
// came first.
func (b *bank) balance(ctx context.Context) {
	b.book.SetRouters(int(b.routers.Load()))
	for range 4 {
		// What is given back is out of use until the store answers.
		moves := b.rt.accounts.Plan(b.book.InDoubt() || !b.up.Load(), time.Now())
		for len(moves) > txnMoves {
			b.rt.accounts.UndoAll(moves[txnMoves:])
			moves = moves[:txnMoves]
		}
		if !b.commit(ctx, b.book.Begin(moves, time.Now())) {
			return
		}
	}
}

// commit sends a transaction. It tells whether it failed for rows that others
// had changed, so that another try makes sense.
func (b *bank) commit(ctx context.Context, txn *cicadabudget.Txn) bool {
	if txn == nil {
		return false
	}
	own := cicadastore.Ref{Table: tableDraws, Key: eraKey(txn.Era, b.rt.cfg.Host)}
	sent, err := b.encode(txn, own)
	if err != nil {
		b.rt.cfg.Log.WithError(err).Error("transaction not encoded")
		b.book.Refused(txn, time.Now())
		return false
	}
	asked := time.Now()
	if !b.up.Load() {
		// A call that was caught by the outage shall not delay the next one.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeTimeout)
		defer cancel()
	}
	late := b.watch(txn.Number)
	done, err := b.rt.cfg.Store.Commit(ctx, sent)
	late()
	now := time.Now()
	if _, answered := eraOf(done, err); answered {
		b.noteAnswer(now.Sub(asked))
	}
	var conflict *cicadastore.ConflictError
	if seen, answered := eraOf(done, err); answered {
		if other := b.rt.eras.see(seen); other != nil || seen != txn.Era {
			// Whatever was done is of no use: its rows are those of another era.
			b.book.OutcomeUnknown(txn)
			return false
		}
	}
	switch {
	case err == nil:
		b.setUp(true, nil)
		b.book.ObserveStoreTime(done.NowMillis, now)
		b.book.Committed(txn, done.Version, now)
		b.log(txn, done.Version)
		return false
	case errors.As(err, &conflict):
		b.setUp(true, nil)
		b.book.ObserveStoreTime(conflict.NowMillis, now)
		b.learn(txn, conflict, own, asked, now)
		return true
	case errors.Is(err, cicadastore.ErrThrottled):
		b.setUp(false, err)
		b.book.Refused(txn, now)
	default:
		b.setUp(false, err)
		b.book.OutcomeUnknown(txn)
	}
	return false
}

// watch notes a call that takes much longer than usual, and has other routers asked for
// units then. It returns what ends the watch. Where units come from lenders these stay:
// there the store is busy at times, and lenders that change are worse than a late answer.
func (b *bank) watch(call uint64) (end func()) {
	b.setCall(call)
	timer := time.AfterFunc(max(leastSlow, slowFactor*b.answerTime), func() {
		b.callMu.Lock()
		defer b.callMu.Unlock()
		if b.call != call {
			return
		}
		b.late.Store(true)
		if int(b.routers.Load()) < cicadabudget.LendingMinRouters {
			b.setUp(false, errSlow)
			b.rt.borrower.wake()
		}
	})
	return func() {
		timer.Stop()
		b.setCall(0)
	}
}

func (b *bank) noteAnswer(took time.Duration) {
	if b.answerTime == 0 {
		b.answerTime = took
	}
	b.answerTime += time.Duration(answerWeight * float64(took-b.answerTime))
}

func (b *bank) setCall(call uint64) {
	b.callMu.Lock()
	defer b.callMu.Unlock()
	b.call = call
	b.late.Store(false)
}

// eraOf returns the era of an answer, if there was one that tells it.
func eraOf(done cicadastore.CommitResult, err error) (uint64, bool) {
	var conflict *cicadastore.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Era, true
	}
	return done.Era, err == nil
}

func (b *bank) setUp(up bool, err error) {
	if b.up.Swap(up) == up {
		return
	}
	if up {
		b.rt.cfg.Log.Info("bank regained the store")
		return
	}
	b.rt.cfg.Log.WithError(err).Warn("bank lost the store")
}

func (b *bank) encode(txn *cicadabudget.Txn, own cicadastore.Ref) (cicadastore.Txn, error) {
	value, err := json.Marshal(b.book.Row(txn))
	if err != nil {
		return cicadastore.Txn{}, errors.Wrap(err, "own row")
	}
	out := cicadastore.Txn{
		Conditions: []cicadastore.Condition{{Ref: own, Version: txn.RowVersion}},
		Writes:     []cicadastore.Write{{Ref: own, Value: value}},
	}
	for i, m := range txn.Updates {
		ref := cicadastore.Ref{Table: tablePools, Key: eraKey(txn.Era, m.Organisation)}
		value, err := json.Marshal(txn.After[i])
		if err != nil {
			return cicadastore.Txn{}, errors.Wrap(err, "pool")
		}
		out.Conditions = append(out.Conditions, cicadastore.Condition{Ref: ref, Version: m.Version})
		out.Writes = append(out.Writes, cicadastore.Write{Ref: ref, Value: value})
	}
	return out, nil
}

// learn takes the rows as they are from a conflict.
func (b *bank) learn(txn *cicadabudget.Txn, conflict *cicadastore.ConflictError, own cicadastore.Ref, asked, now time.Time) {
	var row cicadabudget.RouterRow
	var version uint64
	for _, r := range conflict.Failed {
		if r.Version == 0 {
			continue
		}
		if r.Table == own.Table && r.Key == own.Key {
			version = r.Version
			row, _ = b.decodeOwn(r.Value)
			continue
		}
		var p cicadabudget.Pool
		if err := json.Unmarshal(r.Value, &p); err != nil {
			b.rt.cfg.Log.WithField("organisation", r.Key).WithError(err).Error("pool cannot be read")
			continue
		}
		_, org := splitEraKey(r.Key)
		b.rt.accounts.OverridePool(org, txn.Era, p, r.Version, now)
	}
	b.book.ConditionFailed(txn, row, version, asked, now)
	if found := b.book.PopPredecessor(); found != nil {
		var dormant cicadabudget.Units
		for _, n := range found.Row.Locked {
			dormant += n
		}
		b.rt.cfg.Log.WithField("earlierBoot", found.Row.Boot).WithField("ageMillis", found.AgeMillis).WithField("dormant", int64(dormant)).
			WithField("lapseMillis", found.Row.LockMillis).WithField("takenOver", found.TakenOver).Info("row of an ended process")
	}
}

func (b *bank) log(txn *cicadabudget.Txn, version uint64) {
	for org, n := range txn.Inherited() {
		b.rt.cfg.Log.WithField("organisation", org).WithField("units", int64(n)).WithField("version", version).
			Info("units taken over from an ended process")
	}
	for i, m := range txn.Updates {
		b.rt.cfg.Log.WithField("organisation", m.Organisation).WithField("units", int64(m.Delta)).
			WithField("drawnByAll", int64(txn.After[i].Drawn)).WithField("limit", int64(txn.After[i].Limit)).
			WithField("version", version).Info("units moved")
	}
}

// logHeld tells what would be lost, or left to a successor, if the process ended.
func (b *bank) logHeld(now time.Time) {
	if now.Before(b.heldNext) {
		return
	}
	all, byOrg := b.rt.accounts.Holdings(heldDetails, now)
	b.heldNext = now.Add(max(heldPause, heldFactor*time.Since(now)))
	b.rt.cfg.Log.WithField("free", int64(all.Free)).WithField("dormant", int64(all.Locked)).WithField("reserved", int64(all.Reserved)).
		WithField("spent", int64(all.Spent)).WithField("organisations", byOrg).Info("units held")
}

// giveBack returns all free units at a planned stop. It tries until ctx ends: an
// outage of the store may be over before the process has to end.
func (b *bank) giveBack(ctx context.Context) {
	for {
		again := b.commit(ctx, b.book.Begin(b.rt.accounts.ReturnAll(), time.Now()))
		if ctx.Err() != nil || !again && b.up.Load() {
			return
		}
		pause(ctx, urgentPause)
	}
}
