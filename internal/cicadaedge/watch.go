package cicadaedge

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// deploymentMaxWait is how long one call waits for a new configuration: half of
	// the time within which it must be in force, so that a call that is lost is
	// repeated in time.
	deploymentMaxWait = time.Second
	// runnerInterval lies between two readings of the runners' entries. Each
	// heartbeat of a runner is a change, so without it every heartbeat would be a
	// call; a leaving runner is to be seen within two seconds.
	runnerInterval = 450 * time.Millisecond
	// directPoolInterval lies between two readings of the pools in a small fleet, where
	// units that one router gives back are what a request at another one waits for.
	// pooledPause is the same where units come from lenders.
	directPoolInterval  = 300 * time.Millisecond
	lendingPoolInterval = time.Second
	// steadyRouterInterval lies between two readings of the routers' rows.
	steadyRouterInterval = 4 * time.Second
	// startupPeriod is how long after its start a router expects others to start with
	// it, and youngPause lies between two readings of the routers' rows then.
	startupPeriod         = 8 * time.Second
	startupRouterInterval = 700 * time.Millisecond
	// tableMaxWait is how long one call waits for a change of the other tables.
	tableMaxWait = 500 * time.Millisecond
	// minRetryDelay and mostRetry bound the pause after a failed call.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// outageMaxWait is how long a call waits for a change while the store does not
	// answer: the call shall show soon whether it does again.
	outageMaxWait = 50 * time.Millisecond
)

type (
	// watchConfig describes a table to follow.
	watchConfig struct {
		table string
		// interval lies between two readings, at an age of the follower.
		interval func(age time.Duration) time.Duration
		maxWait  time.Duration // for a change, in one call
		// apply is told of all rows (whole) or of changes.
		apply func(b cicadastore.Batch, whole bool, now time.Time)
		// onResponse is told of each answer, with the time at which it was asked for.
		onResponse func(asked time.Time)
		// onLost is told when the store begins to fail, and since when it has not
		// answered; back when it answers again.
		onLost      func(since time.Time)
		onRecovered func(now time.Time)
	}

	// tableWatcher keeps a view of one table. It has one goroutine and ends with its
	// context.
	tableWatcher struct {
		cfg   watchConfig
		store Store
		rt    *Router
		// freshAt is when the last answered call was sent.
		freshAt atomicTime
		done    chan struct{}
	}
)

func (rt *Router) watchTable(ctx context.Context, cfg watchConfig) *tableWatcher {
	w := &tableWatcher{cfg: cfg, store: rt.cfg.Store, rt: rt, done: make(chan struct{})}
	go w.run(ctx)
	return w
}

// age is the time since the view was known to be current.
func (w *tableWatcher) age(now time.Time) time.Duration {
	return w.freshAt.age(now)
}

func (w *tableWatcher) run(ctx context.Context) {
	defer close(w.done)
	var since, era uint64
	startedAt := time.Now()
	retryDelay := minRetryDelay
	failing := false
	for ctx.Err() == nil {
		sentAt := time.Now()
		batch, full, err := w.read(ctx, since, failing)
		switch {
		case errors.Is(err, cicadastore.ErrHistoryLost):
			w.rt.cfg.Log.WithField("table", w.cfg.table).WithField("since", since).Info("history lost, table is read again")
			since = 0
			continue
		case err != nil:
			if !failing && ctx.Err() == nil {
				w.rt.cfg.Log.WithField("table", w.cfg.table).WithError(err).Warn("store lost")
				if w.cfg.onLost != nil {
					w.cfg.onLost(sentAt.Add(-w.age(sentAt)))
				}
			}
			failing = true
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		if batch.NowMillis > 0 {
			w.rt.clock.Observe(sentAt, time.Now(), time.Duration(batch.NowMillis)*time.Millisecond)
		}
		if w.rt.eraTracker.observe(batch.Era) != nil || !full && batch.Era != era {
			// Versions of another era say nothing here.
			since = 0
			sleep(ctx, minRetryDelay)
			continue
		}
		era = batch.Era
		now := time.Now()
		if failing {
			w.rt.cfg.Log.WithField("table", w.cfg.table).WithField("ageMillis", w.age(now).Milliseconds()).Info("store regained")
			if w.cfg.onRecovered != nil {
				w.cfg.onRecovered(now)
			}
		}
		failing, retryDelay = false, minRetryDelay
		since = batch.Version
		w.cfg.apply(batch, full, now)
		w.freshAt.set(sentAt)
		if w.cfg.onResponse != nil {
			w.cfg.onResponse(sentAt)
		}
		sleep(ctx, w.cfg.interval(time.Since(startedAt)))
	}
}

// fixedInterval is the same pause at any age.
func fixedInterval(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

// routerInterval is the pause between two readings of the routers' rows.
func routerInterval(age time.Duration) time.Duration {
	if age < startupPeriod {
		return startupRouterInterval
	}
	return steadyRouterInterval
}

// poolInterval is the pause between two readings of the pools.
func (rt *Router) poolInterval(time.Duration) time.Duration {
	if rt.peers.count() < cicadabudget.LendFrom {
		return directPoolInterval
	}
	return lendingPoolInterval
}

// read reads the whole table first and after lost history, and changes then.
func (w *tableWatcher) read(ctx context.Context, since uint64, failing bool) (cicadastore.Batch, bool, error) {
	if since == 0 {
		b, err := w.store.Snapshot(ctx, w.cfg.table)
		return b, true, err
	}
	maxWait := w.cfg.maxWait
	if failing {
		maxWait = outageMaxWait
	}
	b, err := w.store.Changes(ctx, cicadastore.ChangesRequest{Table: w.cfg.table, Since: since, Wait: maxWait})
	return b, false, err
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
