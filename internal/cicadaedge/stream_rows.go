package cicadaedge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaresume"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
)

const (
	// tableStreams has rows of each process, one for each bucket: a cicadaresume.Row.
	tableStreams = "streams"
	// All routers together write their rows streamWritesPerSecond times a second at most, and each at
	// intervals of minStreamInterval at least. If streams break, which their callers may take up at once,
	// it is streamFlushesPerSecond and minFlushInterval.
	streamWritesPerSecond  = 250
	minStreamInterval      = 250 * time.Millisecond
	streamFlushesPerSecond = 500
	minFlushInterval       = 40 * time.Millisecond
	// streamSweepInterval is how often expired streams are removed from the rows.
	streamSweepInterval = 5 * time.Second
	// All routers together look up streams streamLookupsPerSecond times a second at most, and each
	// maxStreamLookups times. Lookups at the same time are one.
	streamLookupsPerSecond = 500
	maxStreamLookups       = 60
	// streamLookupTimeout bounds a lookup.
	streamLookupTimeout = 400 * time.Millisecond
	// streamRetryDelay is the time after which a stream that is not found is looked up once more: its row
	// is written when the stream breaks.
	streamRetryDelay = 80 * time.Millisecond
	// expiredRowSlack is how much longer a row of another process is kept than the streams in it.
	expiredRowSlack = 5 * time.Second
	// maxExpiredRows bounds the rows of other processes that one transaction deletes.
	maxExpiredRows = 32
)

// streamRows writes where the streams of this router began, and looks up those of others.
type streamRows struct {
	rt *Router
	// began requests a write within the interval. broken requests one soon.
	began, broken signal
	group         singleflight.Group
	limiter       *rate.Limiter

	written    [cicadaresume.Buckets][]byte // used by run only
	writtenEra uint64                       // used by run only

	mu      sync.Mutex // guards expired
	expired []cicadastore.Ref
}

func newStreamRows(rt *Router) *streamRows {
	return &streamRows{rt: rt, began: newSignal(), broken: newSignal(), limiter: rate.NewLimiter(maxStreamLookups, maxStreamLookups)}
}

// setRouters sets the number of routers that share the rate of lookups.
func (s *streamRows) setRouters(n int) {
	s.limiter.SetLimit(min(maxStreamLookups, rate.Limit(streamLookupsPerSecond/float64(max(n, 1)))))
}

// run writes the rows until ctx ends.
func (s *streamRows) run(ctx context.Context) {
	for {
		sweep := time.NewTimer(streamSweepInterval)
		select {
		case <-ctx.Done():
		case <-s.broken:
		case <-sweep.C:
		case <-s.began:
			s.awaitInterval(ctx)
		}
		sweep.Stop()
		if ctx.Err() != nil {
			return
		}
		if err := s.write(ctx); err != nil && ctx.Err() == nil {
			s.rt.cfg.Log.WithError(err).Info("failed to write where streams began; retrying")
			sleep(ctx, announceRetryDelay)
			s.began.send()
		}
		sleep(ctx, s.interval(streamFlushesPerSecond, minFlushInterval))
	}
}

// awaitInterval waits until the rows may be written again, or a stream breaks.
func (s *streamRows) awaitInterval(ctx context.Context) {
	timer := time.NewTimer(s.interval(streamWritesPerSecond, minStreamInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.broken:
	case <-timer.C:
	}
}

// interval returns the time between two writes of this router so that all together make at most the given
// number a second.
func (s *streamRows) interval(perSecond int, least time.Duration) time.Duration {
	return max(least, time.Duration(s.rt.peers.count())*time.Second/time.Duration(perSecond))
}

// write writes the rows that have changed. Services with a single version need none.
func (s *streamRows) write(ctx context.Context) error {
	now := time.Now()
	shared, ok := s.rt.clock.SharedTime(now)
	if !ok {
		return nil
	}
	if era, _, _, _ := s.rt.eraTracker.state(); era != s.writtenEra {
		s.written, s.writtenEra = [cicadaresume.Buckets][]byte{}, era
	}
	rows := s.rt.streams.Rows(func(service string) bool {
		return !s.rt.versions.isSingle(service, now)
	}, now, shared)
	var txn cicadastore.Txn
	values := s.written
	for b := range rows {
		values[b] = nil
		if !rows[b].IsEmpty() {
			value, err := json.Marshal(&rows[b])
			if err != nil {
				return errors.Wrap(err, "encode streams")
			}
			values[b] = value
		}
		if !bytes.Equal(values[b], s.written[b]) {
			ref := cicadastore.Ref{Table: tableStreams, Key: bucketPrefix(b) + s.rt.cfg.Name + "/" + s.rt.cfg.BootID}
			txn.Writes = append(txn.Writes, cicadastore.Write{Ref: ref, Value: values[b], Delete: values[b] == nil})
		}
	}
	for _, ref := range s.takeExpired() {
		txn.Writes = append(txn.Writes, cicadastore.Write{Ref: ref, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	if _, err := s.rt.cfg.Store.Commit(ctx, txn); err != nil {
		return errors.Wrap(err, "write streams")
	}
	s.written = values
	return nil
}

// bucketPrefix begins the keys of a bucket's rows.
func bucketPrefix(bucket int) string { return fmt.Sprintf("%02x/", bucket) }

func (s *streamRows) takeExpired() []cicadastore.Ref {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.expired), maxExpiredRows)
	out := s.expired[:n]
	s.expired = nil
	return out
}

// find looks up where a stream began. It returns false if no row tells.
func (s *streamRows) find(ctx context.Context, id cicadaresume.StreamID) (cicadaresume.Origin, bool, error) {
	prefix := bucketPrefix(id.Bucket())
	rows, err := lookup(ctx, s, tableStreams+"/"+prefix, func(ctx context.Context) ([]cicadaresume.Row, error) {
		return s.scan(ctx, prefix)
	})
	for i := range rows {
		if origin, ok := rows[i].Find(id); ok {
			return origin, true, nil
		}
	}
	return cicadaresume.Origin{}, false, err
}

func (s *streamRows) scan(ctx context.Context, prefix string) ([]cicadaresume.Row, error) {
	found, err := cicadastore.ScanAll(ctx, s.rt.cfg.Store, tableStreams, prefix, "")
	if err != nil {
		return nil, err
	}
	shared := s.rt.sharedTime()
	own := s.rt.cfg.Name + "/" + s.rt.cfg.BootID
	var out []cicadaresume.Row
	var expired []cicadastore.Ref
	for i := range found {
		var row cicadaresume.Row
		if err := json.Unmarshal(found[i].Value, &row); err != nil {
			s.rt.cfg.Metrics.Errors.Add("streamsUnreadable", 1)
			s.rt.cfg.Log.WithField("key", found[i].Key).WithError(err).Error("failed to read where streams of a router began")
			continue
		}
		if until := time.Duration(row.UntilMillis)*time.Millisecond + expiredRowSlack; until < shared && !strings.HasSuffix(found[i].Key, own) {
			expired = append(expired, found[i].Ref)
			continue
		}
		out = append(out, row)
	}
	if len(expired) > 0 {
		s.mu.Lock()
		s.expired = expired
		s.mu.Unlock()
		s.began.send()
	}
	return out, nil
}

// versions reads what the store tells about the software versions of a service.
func (s *streamRows) versions(ctx context.Context, service string) (storedVersions, error) {
	return lookup(ctx, s, tableVersions+"/"+service, func(ctx context.Context) (storedVersions, error) {
		var out storedVersions
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error {
			row, err := cicadastore.GetOne(ctx, s.rt.cfg.Store, cicadastore.Ref{Table: tableVersions, Key: service})
			if err != nil {
				return errors.Wrap(err, "read versions")
			}
			out.history, err = decodeHistory(&row)
			return err
		})
		group.Go(func() error {
			changes, err := s.rt.runnerWatcher.unread(ctx)
			out.unread = s.rt.versionsIn(changes, service)
			return err
		})
		err := group.Wait()
		return out, err
	})
}

// lookup reads from the store, together with other lookups of the same key. What it returns is not older than
// the call.
func lookup[T any](ctx context.Context, s *streamRows, key string, read func(ctx context.Context) (T, error)) (T, error) {
	type result struct {
		value  T
		readAt time.Time
	}
	calledAt := time.Now()
	var none T
	for {
		results := s.group.DoChan(key, func() (any, error) {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), streamLookupTimeout)
			defer cancel()
			if err := s.limiter.Wait(ctx); err != nil {
				return nil, errors.Wrap(err, "too many lookups")
			}
			readAt := time.Now()
			value, err := read(ctx)
			return result{value: value, readAt: readAt}, err
		})
		select {
		case res := <-results:
			if res.Err != nil {
				return none, res.Err
			}
			if found, ok := res.Val.(result); ok && !found.readAt.Before(calledAt) {
				return found.value, nil
			}
		case <-ctx.Done():
			return none, context.Cause(ctx)
		}
	}
}
