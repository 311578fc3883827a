package cicadaedge

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadaresume"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// tableVersions has one row per service: its cicadaresume.History.
	tableVersions = "versions"
	// versionStagger is the delay from one router's write of a history to the next one's, on average. All
	// routers see a new version at about the same time, and one of them has to write it.
	versionStagger = 2 * time.Millisecond
	// versionRecheckInterval is the time between two comparisons with the store while a service had
	// several versions.
	versionRecheckInterval = 5 * time.Second
	// maxVersionConflicts bounds the tries to write a history that others write as well.
	maxVersionConflicts = 5
	// A stream with its take-ups lasts no longer than streamLifeFactor times the longest timeout of the
	// routes, and minStreamLife at least.
	streamLifeFactor = 2
	minStreamLife    = time.Minute
)

var (
	errVersionConflict = errors.New("other routers keep changing the versions of a service")
	errNoHistory       = errors.New("the versions of the service have not been written yet")
)

type (
	// versionTracker keeps the histories of the services' software versions in the store up to date.
	versionTracker struct {
		rt *Router
		// changed requests a comparison with the store.
		changed signal

		mu        sync.Mutex                      // guards the fields below
		histories map[string]cicadaresume.History // by service, as last read or written
		inUse     map[string][]string             // by service, as last seen
	}

	// storedVersions is what the store tells about the software versions of a service.
	storedVersions struct {
		history cicadaresume.History
		// unread are the versions in runner entries that this router had not applied yet. An empty one stands
		// for a version that is not known.
		unread []string
	}
)

func newVersionTracker(rt *Router) *versionTracker {
	return &versionTracker{rt: rt, changed: newSignal(), histories: map[string]cicadaresume.History{}, inUse: map[string][]string{}}
}

// observe compares the software versions of the runners with those seen before.
func (t *versionTracker) observe(now time.Time) {
	services := t.rt.resumableServices()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range services {
		versions := t.rt.balancer.SoftwareVersions(service, now)
		before := t.inUse[service]
		if slices.Equal(before, versions) {
			continue
		}
		t.inUse[service] = versions
		t.rt.cfg.Log.WithField("service", service).WithField("versions", versions).WithField("before", before).Info("software versions of a service changed")
		t.changed.send()
	}
}

// run writes the histories when the versions change, until ctx ends. While a service had several, it
// compares them now and then: another router may have written an older view, and ended.
func (t *versionTracker) run(ctx context.Context) {
	for {
		recheck := time.NewTimer(versionRecheckInterval)
		select {
		case <-ctx.Done():
		case <-t.changed:
		case <-recheck.C:
			if t.allSingle(time.Now()) {
				continue
			}
		}
		recheck.Stop()
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, rand.N(time.Duration(t.rt.peers.count())*versionStagger))
		for _, service := range t.rt.resumableServices() {
			if err := t.sync(ctx, service); err != nil && ctx.Err() == nil {
				t.rt.cfg.Log.WithField("service", service).WithError(err).Info("failed to write the software versions of a service; retrying")
				sleep(ctx, announceRetryDelay)
				t.changed.send()
			}
		}
		// Streams that began while there was one version may have to be written now.
		t.rt.streamRows.began.send()
	}
}

// allSingle reports whether each service had a single version for the life of a stream.
func (t *versionTracker) allSingle(now time.Time) bool {
	return !slices.ContainsFunc(t.rt.resumableServices(), func(service string) bool {
		return !t.isSingle(service, now)
	})
}

// sync brings a service's history in the store up to date.
func (t *versionTracker) sync(ctx context.Context, service string) error {
	for range maxVersionConflicts {
		row, err := cicadastore.GetOne(ctx, t.rt.cfg.Store, cicadastore.Ref{Table: tableVersions, Key: service})
		if err != nil {
			return errors.Wrap(err, "read versions")
		}
		now, ok := t.rt.clock.SharedTime(time.Now())
		inUse := t.rt.balancer.SoftwareVersions(service, time.Now())
		if !ok || len(inUse) == 0 {
			return nil
		}
		read, current := t.reconcile(service, &row, now)
		history, changed := read.Update(inUse, t.rt.streamLife(), now)
		if changed || !current {
			err = t.write(ctx, &row, &history)
		}
		var conflict *cicadastore.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			return errors.Wrap(err, "write versions")
		}
		t.mu.Lock()
		t.histories[service] = history
		t.mu.Unlock()
		return nil
	}
	return errVersionConflict
}

func (t *versionTracker) write(ctx context.Context, row *cicadastore.Row, history *cicadaresume.History) error {
	value, err := json.Marshal(history)
	if err != nil {
		return errors.Wrap(err, "encode versions")
	}
	_, err = t.rt.cfg.Store.Commit(ctx, cicadastore.Txn{
		Conditions: []cicadastore.Condition{{Ref: row.Ref, Version: row.Version}},
		Writes:     []cicadastore.Write{{Ref: row.Ref, Value: value}},
	})
	if err == nil {
		t.rt.cfg.Log.WithField("service", row.Key).WithField("history", history).Info("software versions of a service written")
	}
	return err
}

// reconcile returns the history of a row together with what this router knows, and whether the row is
// one of this era.
func (t *versionTracker) reconcile(service string, row *cicadastore.Row, now time.Duration) (cicadaresume.History, bool) {
	era, _, _, _ := t.rt.eraTracker.state()
	read, err := decodeHistory(row)
	missing := errors.Is(err, errNoHistory)
	if err != nil && !missing {
		t.rt.cfg.Metrics.Errors.Add("versionsUnreadable", 1)
		t.rt.cfg.Log.WithField("service", service).WithError(err).Error("failed to read the software versions of a service")
	}
	if err == nil && read.Era == era {
		return read, true
	}
	t.mu.Lock()
	known, ok := t.histories[service]
	t.mu.Unlock()
	// What happened before is not known: the row is missing or cannot be read, or the store was restored.
	history := cicadaresume.History{SinceMillis: now.Milliseconds()}
	switch {
	case ok:
		history = known
	case missing && t.rt.cfg.FirstStart && era == 0:
		history.SinceMillis = 0
	}
	if err == nil {
		since := history.SinceMillis
		history = history.Merge(&read)
		history.SinceMillis = since
	}
	history.Era = era
	return history, false
}

// decodeHistory returns the history in a row, or errNoHistory if the row does not exist.
func decodeHistory(row *cicadastore.Row) (cicadaresume.History, error) {
	var history cicadaresume.History
	if row.Version == 0 {
		return history, errNoHistory
	}
	return history, errors.Wrap(json.Unmarshal(row.Value, &history), "versions")
}

// isSingle reports whether, as far as this router knows, all streams of a service that callers may still
// take up began at one software version.
func (t *versionTracker) isSingle(service string, now time.Time) bool {
	t.mu.Lock()
	history, ok := t.histories[service]
	t.mu.Unlock()
	if !ok {
		return false
	}
	_, only := t.onlyOf(service, &storedVersions{history: history}, t.rt.streamLife(), now)
	return only
}

// onlyOf returns the software version of a service if all streams that began within a time began at it.
func (t *versionTracker) onlyOf(service string, stored *storedVersions, life time.Duration, now time.Time) (string, bool) {
	shared, ok := t.rt.clock.SharedTime(now)
	if era, _, _, _ := t.rt.eraTracker.state(); !ok || stored.history.Era != era {
		return "", false
	}
	inUse := append(t.rt.balancer.SoftwareVersions(service, now), stored.unread...)
	return stored.history.Only(inUse, life, shared)
}

// versionsIn returns the software versions in changed runner entries that may be of a service; an empty one
// for an entry that cannot be read, or that was removed before this router knew it.
func (rt *Router) versionsIn(changes []cicadastore.Change, service string) []string {
	var out []string
	for i := range changes {
		c := &changes[i]
		if c.Deleted {
			if rt.balancer.Find(c.Key) == nil {
				out = append(out, "")
			}
			continue
		}
		e, err := rt.cfg.Sources.DecodeRunner(c.Key, c.Value)
		if err != nil {
			rt.cfg.Log.WithField("runner", c.Key).WithError(err).Info("failed to decode a runner entry; its software version is not known")
			out = append(out, "")
		} else if e.Service == service {
			out = append(out, e.SoftwareVersion)
		}
	}
	return out
}

// resumableServices returns the services whose streams may be resumed.
func (rt *Router) resumableServices() []string {
	deployment := rt.deployment.Load()
	if deployment == nil {
		return nil
	}
	services := map[string]bool{}
	for i := range deployment.Document().Routes {
		if r := &deployment.Document().Routes[i]; r.Kind == cicadadeploy.KindStream && r.Resumable {
			for _, target := range r.Targets {
				services[target.Service] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// streamLife returns the longest time from the begin of a stream until its caller gives up.
func (rt *Router) streamLife() time.Duration {
	var longest time.Duration
	if deployment := rt.deployment.Load(); deployment != nil {
		for i := range deployment.Document().Routes {
			if r := &deployment.Document().Routes[i]; r.Kind == cicadadeploy.KindStream && r.Resumable {
				longest = max(longest, requestTimeout(0, r.Timeout))
			}
		}
	}
	return max(streamLifeFactor*longest, minStreamLife)
}
