package cicadaedge

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// deploymentWait is how long one call waits for a new configuration: half of
	// the time within which it must be in force, so that a call that is lost is
	// repeated in time.
	deploymentWait = time.Second
	// runnerPause lies between two readings of the runners' entries. Each
	// heartbeat of a runner is a change, so without it every heartbeat would be a
	// call; a leaving runner is to be seen within two seconds.
	runnerPause = 450 * time.Millisecond
	// poolPause lies between two readings of the pools in a small fleet, where
	// units that one router gives back are what a request at another one waits for.
	// pooledPause is the same where units come from lenders.
	poolPause   = 300 * time.Millisecond
	pooledPause = time.Second
	// routerPause lies between two readings of the routers' rows.
	routerPause = 4 * time.Second
	// youngTime is how long after its start a router expects others to start with
	// it, and youngPause lies between two readings of the routers' rows then.
	youngTime  = 8 * time.Second
	youngPause = 700 * time.Millisecond
	// tableWait is how long one call waits for a change of the other tables.
	tableWait = 500 * time.Millisecond
	// firstRetry and mostRetry bound the pause after a failed call.
	firstRetry = 60 * time.Millisecond
	mostRetry  = 250 * time.Millisecond
	// probeWait is how long a call waits for a change while the store does not
	// answer: the call shall show soon whether it does again.
	probeWait = 50 * time.Millisecond
)

type (
	// followConfig describes a table to follow.
	followConfig struct {
		table string
		// pause lies between two readings, at an age of the follower.
		pause func(age time.Duration) time.Duration
		wait  time.Duration // for a change, in one call
		// take is told of all rows (whole) or of changes.
		take func(b cicadastore.ChangeBatch, whole bool, now time.Time)
		// fresh is told of each answer, with the time at which it was asked for.
		fresh func(asked time.Time)
		// lost is told when the store begins to fail, and since when it has not
		// answered; back when it answers again.
		lost func(since time.Time)
		back func(now time.Time)
	}

	// follower keeps a view of one table. It has one goroutine and ends with its
	// context.
	follower struct {
		cfg   followConfig
		store Store
		rt    *Router
		// freshAt is when the last answered call was sent.
		freshAt instant
		done    chan struct{}
	}
)

func (rt *Router) follow(ctx context.Context, cfg followConfig) *follower {
	f := &follower{cfg: cfg, store: rt.cfg.Store, rt: rt, done: make(chan struct{})}
	go f.run(ctx)
	return f
}

// age is the time since the view was known to be current.
func (f *follower) age(now time.Time) time.Duration {
	return f.freshAt.age(now)
}

func (f *follower) run(ctx context.Context) {
	defer close(f.done)
	var since, era uint64
	began := time.Now()
	retry := firstRetry
	failing := false
	for ctx.Err() == nil {
		asked := time.Now()
		batch, whole, err := f.read(ctx, since, failing)
		switch {
		case errors.Is(err, cicadastore.ErrHistoryTruncated):
			f.rt.cfg.Log.WithField("table", f.cfg.table).WithField("since", since).Info("history lost, table is read again")
			since = 0
			continue
		case err != nil:
			if !failing && ctx.Err() == nil {
				f.rt.cfg.Log.WithField("table", f.cfg.table).WithError(err).Warn("store lost")
				if f.cfg.lost != nil {
					f.cfg.lost(asked.Add(-f.age(asked)))
				}
			}
			failing = true
			pause(ctx, retry)
			retry = min(2*retry, mostRetry)
			continue
		}
		if batch.NowMillis > 0 {
			f.rt.clock.Observe(asked, time.Now(), time.Duration(batch.NowMillis)*time.Millisecond)
		}
		if f.rt.eras.see(batch.Era) != nil || !whole && batch.Era != era {
			// Versions of another era say nothing here.
			since = 0
			pause(ctx, firstRetry)
			continue
		}
		era = batch.Era
		now := time.Now()
		if failing {
			f.rt.cfg.Log.WithField("table", f.cfg.table).WithField("ageMillis", f.age(now).Milliseconds()).Info("store regained")
			if f.cfg.back != nil {
				f.cfg.back(now)
			}
		}
		failing, retry = false, firstRetry
		since = batch.Version
		f.cfg.take(batch, whole, now)
		f.freshAt.set(asked)
		if f.cfg.fresh != nil {
			f.cfg.fresh(asked)
		}
		pause(ctx, f.cfg.pause(time.Since(began)))
	}
}

// always is the same pause at any age.
func always(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

// routersPause is the pause between two readings of the routers' rows.
func routersPause(age time.Duration) time.Duration {
	if age < youngTime {
		return youngPause
	}
	return routerPause
}

// poolsPause is the pause between two readings of the pools.
func (rt *Router) poolsPause(time.Duration) time.Duration {
	if rt.peers.count() < cicadabudget.LendingMinRouters {
		return poolPause
	}
	return pooledPause
}

// read reads the whole table first and after lost history, and changes then.
func (f *follower) read(ctx context.Context, since uint64, failing bool) (cicadastore.ChangeBatch, bool, error) {
	if since == 0 {
		b, err := f.store.Snapshot(ctx, f.cfg.table)
		return b, true, err
	}
	wait := f.cfg.wait
	if failing {
		wait = probeWait
	}
	b, err := f.store.Changes(ctx, cicadastore.ChangesRequest{Table: f.cfg.table, Since: since, Wait: wait})
	return b, false, err
}

func pause(ctx context.Context, d time.Duration) {
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
