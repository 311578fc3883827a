package cicadaedge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// deploymentMaxWait is how long one call waits for a new configuration. It is half of the time
	// within which changes must be applied, so that a lost call is repeated in time.
	deploymentMaxWait = time.Second
	// runnerInterval is the time between two reads of the runners' entries. Each heartbeat of a
	// runner changes its entry and would otherwise cause a call; a draining runner has to be
	// noticed within two seconds.
	runnerInterval = 450 * time.Millisecond
	// directPoolInterval is the time between two reads of the pools in a small fleet, in which
	// requests may be waiting for units that another router returns. lendingPoolInterval applies
	// to fleets in which units come from lenders.
	directPoolInterval  = 300 * time.Millisecond
	lendingPoolInterval = time.Second
	// steadyRouterInterval is the time between two reads of the routers' rows.
	steadyRouterInterval = 4 * time.Second
	// startupRouterInterval applies instead during startupPeriod after the start, when other
	// routers are likely to start as well.
	startupPeriod         = 8 * time.Second
	startupRouterInterval = 700 * time.Millisecond
	// tableMaxWait is how long one call waits for changes of the other tables.
	tableMaxWait = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// outageMaxWait is how long a call waits for changes while the store does not answer. It is
	// short, so that the end of the outage is noticed soon.
	outageMaxWait = 50 * time.Millisecond
)

var errViewUnknown = errors.New("the table has to be read again as a whole")

type (
	// watchConfig describes a table to watch.
	watchConfig struct {
		table string
		// interval returns the time between two reads, depending on the time since the watcher
		// started.
		interval func(elapsed time.Duration) time.Duration
		maxWait  time.Duration // for changes, in one call
		// apply processes all rows of the table, if full is set, or the changed ones.
		apply func(b cicadastore.ChangeBatch, full bool, now time.Time)
		// onResponse is called for each response with the time at which the call was sent.
		onResponse func(sentAt time.Time)
		// onLost is called when the store stops answering, with the time of the last answered
		// call. onRecovered is called when it answers again.
		onLost      func(since time.Time)
		onRecovered func(now time.Time)
	}

	// tableWatcher keeps a view of one table up to date. It runs in one goroutine until its
	// context ends.
	tableWatcher struct {
		cfg   watchConfig
		store Store
		rt    *Router
		// freshAt is the time at which the last answered call was sent.
		freshAt atomicTime
		// answeredSince is the time since which all calls have been answered.
		answeredSince atomicTime
		// position is up to where the changes have been applied; nil before the first read.
		position atomic.Pointer[feedPosition]
		done     chan struct{}
	}

	// feedPosition is a version of the store and its era.
	feedPosition struct {
		version, era uint64
	}
)

func (rt *Router) watchTable(ctx context.Context, cfg watchConfig) *tableWatcher {
	w := &tableWatcher{cfg: cfg, store: rt.cfg.Store, rt: rt, done: make(chan struct{})}
	go w.run(ctx)
	return w
}

// age returns the time since the view was last known to be current.
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
		case errors.Is(err, cicadastore.ErrHistoryTruncated):
			w.rt.cfg.Log.WithField("table", w.cfg.table).WithField("since", since).Info("change history truncated; reading the whole table again")
			since = 0
			continue
		case err != nil:
			if !failing && ctx.Err() == nil {
				w.rt.cfg.Log.WithField("table", w.cfg.table).WithError(err).Warn("store does not answer")
				if w.cfg.onLost != nil {
					w.cfg.onLost(sentAt.Add(-w.age(sentAt)))
				}
			}
			failing = true
			w.answeredSince.clear()
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		if batch.NowMillis > 0 {
			w.rt.clock.Observe(sentAt, time.Now(), time.Duration(batch.NowMillis)*time.Millisecond)
		}
		if w.rt.eraTracker.observe(batch.Era) != nil || !full && batch.Era != era {
			// Row versions of another era cannot be compared.
			since = 0
			sleep(ctx, minRetryDelay)
			continue
		}
		era = batch.Era
		now := time.Now()
		if failing {
			w.rt.cfg.Log.WithField("table", w.cfg.table).WithField("ageMillis", w.age(now).Milliseconds()).Info("store answers again")
			if w.cfg.onRecovered != nil {
				w.cfg.onRecovered(now)
			}
		}
		failing, retryDelay = false, minRetryDelay
		w.answeredSince.setFirst(now)
		since = batch.Version
		w.cfg.apply(batch, full, now)
		w.position.Store(&feedPosition{version: since, era: era})
		w.freshAt.set(sentAt)
		if w.cfg.onResponse != nil {
			w.cfg.onResponse(sentAt)
		}
		sleep(ctx, w.cfg.interval(time.Since(startedAt)))
	}
}

// fixedInterval returns an interval that does not depend on the time since the start.
func fixedInterval(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

// routerInterval returns the time between two reads of the routers' rows.
func routerInterval(elapsed time.Duration) time.Duration {
	if elapsed < startupPeriod {
		return startupRouterInterval
	}
	return steadyRouterInterval
}

// poolInterval returns the time between two reads of the pools.
func (rt *Router) poolInterval(time.Duration) time.Duration {
	if rt.peers.count() < cicadabudget.LendingMinRouters {
		return directPoolInterval
	}
	return lendingPoolInterval
}

// read reads the whole table at first and after the change history was truncated or the era has
// changed, and changes otherwise.
func (w *tableWatcher) read(ctx context.Context, since uint64, failing bool) (cicadastore.ChangeBatch, bool, error) {
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

// unread returns the changes that the store has and that are not applied yet. It returns errViewUnknown if
// they cannot be told from what is applied.
func (w *tableWatcher) unread(ctx context.Context) ([]cicadastore.Change, error) {
	position := w.position.Load()
	if position == nil {
		return nil, errViewUnknown
	}
	b, err := w.store.Changes(ctx, cicadastore.ChangesRequest{Table: w.cfg.table, Since: position.version})
	if err != nil {
		return nil, errors.Wrap(err, "read "+w.cfg.table)
	}
	if b.Era != position.era {
		return nil, errViewUnknown
	}
	return b.Changes, nil
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
