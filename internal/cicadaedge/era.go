package cicadaedge

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

// The store may come back from an older copy of itself, which begins a new era.
// See package cicadabudget for what that means to budgets, and docs/design/ERAS.md.

const (
	// reportWait is how long routers wait for each other's reports: several times
	// the pauses and waits of the followers that show them the new era.
	reportWait = 5 * time.Second
	// eraKeyPrefix is the beginning of keys of rows that belong to an era.
	eraKeyPrefix = "era/"
	// reconciliationKeyPrefix and reportKeys begin the keys of an era's settlement and of the
	// routers' reports, which go on with the number of the part.
	reconciliationKeyPrefix = "settled/"
	reportKeyPrefix         = "report/"
	// reconcileStagger is how much later each router makes the settlement than the one
	// before it in an order that all share: one is enough to read all reports.
	reconcileStagger = time.Second
	// reportersPerPool is how many routers report each pool, beside those that draw from it.
	reportersPerPool = 8
	// maxPoolsPerRow bounds a row: its pools have names of 200 bytes at most, and the
	// store takes 64 KB.
	maxPoolsPerRow = 150
)

var errOlderEra = errors.New("the answer is of another era than the newest one seen")

// eraTracker follows the era of the store.
type eraTracker struct {
	rt *Router

	mu      sync.Mutex // guards the fields below
	known   bool
	current uint64
	since   time.Time
	changed bool // an era has begun while this process lived
	// poolsRead tells that all pools were read, last in the era poolsAt.
	poolsRead    bool
	poolsReadEra uint64
	// followedPools tells that the pools were followed before the present era began.
	followedPools bool
}

// observe takes the era of an answer. It returns an error if the answer cannot be
// used: it is of an earlier era, or does not tell although others did.
func (e *eraTracker) observe(era uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.known && era == e.current:
		return nil
	case e.known && era < e.current:
		e.rt.cfg.Metrics.Errors.Add("otherEra", 1)
		e.rt.cfg.Log.WithField("era", era).WithField("newest", e.current).Warn("answer of the store ignored: its era is older, or not told")
		return errOlderEra
	}
	first := !e.known
	e.changed = !first
	e.followedPools = !first && e.poolsRead && e.poolsReadEra == e.current
	e.rt.cfg.Log.WithField("era", era).WithField("before", e.current).WithField("first", first).WithField("witness", e.followedPools).
		Info("era of the store")
	e.known, e.current, e.since = true, era, time.Now()
	e.rt.accounts.EnterEra(era, first)
	if !first {
		e.rt.requestAnnounce()
		e.rt.poolSyncer.wake()
	}
	return nil
}

// recordPoolRead notes that all pools were read in an era. Present tells that there are some
// of this era, earlier that there are some of others. A process that began in an era
// without pools has to settle it, unless the whole system has just started.
func (e *eraTracker) recordPoolRead(era uint64, hasCurrent, hasEarlier bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	initial := !e.poolsRead && !e.changed
	e.poolsRead, e.poolsReadEra = true, era
	if initial && era > 0 && (hasEarlier || !hasCurrent && !e.rt.cfg.FirstStart) {
		e.rt.accounts.AwaitSettlement()
		e.rt.poolSyncer.wake()
	}
}

// ready tells whether the era is known, and whether it has to be settled: all pools
// have been read once.
func (e *eraTracker) ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known && e.poolsRead
}

func (e *eraTracker) state() (era uint64, since time.Time, poolsRead, followedPools bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.since, e.poolsRead && e.poolsReadEra == e.current, e.followedPools
}

// eraKey is the key of a row in an era.
func eraKey(era uint64, key string) string {
	if era == 0 {
		return key
	}
	return eraKeyPrefix + strconv.FormatUint(era, 10) + "/" + key
}

// splitEraKey returns a row's era and its key in it.
func splitEraKey(key string) (uint64, string) {
	rest, ok := strings.CutPrefix(key, eraKeyPrefix)
	if !ok {
		return 0, key
	}
	text, name, ok := strings.Cut(rest, "/")
	era, err := strconv.ParseUint(text, 10, 64)
	if !ok || err != nil {
		return 0, key
	}
	return era, name
}

// reconcile reports what this router knows of the pools, and takes the settlement of
// the era once there is one. Without one it makes it from the reports, in its turn.
func (ps *poolSyncer) reconcile(ctx context.Context) {
	era, since, poolsRead, followedPools := ps.rt.eraTracker.state()
	if !poolsRead {
		return // what the copy holds need not be reported
	}
	err := ps.tryReconcile(ctx, era, time.Since(since), followedPools)
	if err != nil {
		ps.rt.cfg.Log.WithField("era", era).WithError(err).Info("era not settled yet")
	}
	ps.setStoreUp(err == nil, err)
}

func (ps *poolSyncer) tryReconcile(ctx context.Context, era uint64, age time.Duration, followedPools bool) error {
	if ps.reportedEra != era {
		if err := ps.report(ctx, era, followedPools); err != nil {
			return err
		}
		ps.reportedEra = era
	}
	reconciled, err := ps.readReconciliation(ctx, era)
	if err != nil || reconciled != nil {
		ps.applyReconciliation(era, reconciled)
		return err
	}
	turn := slices.Index(ps.rt.peers.ranked("settle/"+strconv.FormatUint(era, 10), ps.rt.peers.count()), ps.rt.cfg.Name)
	if age < time.Duration(turn)*reconcileStagger {
		return nil
	}
	reports, err := ps.readReports(ctx, era)
	routers := int(ps.routerCount.Load())
	if err != nil || len(reports) < routers && age < reportWait {
		return err
	}
	reconciliation := cicadabudget.Settle(ps.rt.cfg.BootID, reports, routers)
	return writeParts(ctx, ps, eraKey(era, reconciliationKeyPrefix), reconciliation.Parts(maxPoolsPerRow), true)
}

func (ps *poolSyncer) report(ctx context.Context, era uint64, followedPools bool) error {
	r := ps.rt.accounts.Report(ps.rt.cfg.BootID, followedPools, func(org string) bool {
		return slices.Contains(ps.rt.peers.ranked("report/"+org, reportersPerPool), ps.rt.cfg.Name)
	})
	parts := r.Parts(maxPoolsPerRow)
	ps.rt.cfg.Log.WithField("era", era).WithField("witness", followedPools).WithField("pools", len(r.Views)).Info("pools reported")
	return writeParts(ctx, ps, eraKey(era, reportKeyPrefix+ps.rt.cfg.Name+"/"), parts, false)
}

// writeParts writes the rows of a report or a settlement in one transaction, which
// the store takes whole or not at all, or only if there are none.
func writeParts[T cicadabudget.Report | cicadabudget.Settlement](
	ctx context.Context, ps *poolSyncer, prefix string, parts []T, create bool,
) error {
	var txn cicadastore.Txn
	for i := range parts {
		row, err := json.Marshal(&parts[i])
		if err != nil {
			return errors.Wrap(err, "encode "+prefix)
		}
		ref := cicadastore.Ref{Table: tableEras, Key: fmt.Sprintf("%s%03d", prefix, i)}
		txn.Writes = append(txn.Writes, cicadastore.Write{Ref: ref, Value: row})
		if create {
			txn.Conditions = append(txn.Conditions, cicadastore.Condition{Ref: ref})
		}
	}
	committed, err := ps.rt.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return errors.Wrap(err, "write "+prefix)
	}
	return ps.rt.eraTracker.observe(committed.Era)
}

// readReconciliation returns the settlement of an era, or nil if there is none. Nothing
// is drawn on a guess: one that cannot be read has to be mended first.
func (ps *poolSyncer) readReconciliation(ctx context.Context, era uint64) (*cicadabudget.Settlement, error) {
	rows, err := cicadastore.ScanAll(ctx, ps.rt.cfg.Store, tableEras, eraKey(era, reconciliationKeyPrefix), "")
	if err != nil || len(rows) == 0 {
		return nil, errors.Wrap(err, "read settlement")
	}
	var reconciliation cicadabudget.Settlement
	for i := range rows {
		var part cicadabudget.Settlement
		if err := json.Unmarshal(rows[i].Value, &part); err != nil {
			ps.rt.cfg.Metrics.Errors.Add("eraUnreadable", 1)
			return nil, errors.Wrapf(err, "row %s at version %d", rows[i].Key, rows[i].Version)
		}
		snapshots := reconciliation.Views
		reconciliation = part
		reconciliation.Views = mergeSnapshots(snapshots, part.Views)
	}
	return &reconciliation, nil
}

// readReports returns the reports of an era. A router of which a row cannot be read
// has not reported.
func (ps *poolSyncer) readReports(ctx context.Context, era uint64) ([]cicadabudget.Report, error) {
	prefix := eraKey(era, reportKeyPrefix)
	rows, err := cicadastore.ScanAll(ctx, ps.rt.cfg.Store, tableEras, prefix, "")
	if err != nil {
		return nil, errors.Wrap(err, "read reports")
	}
	byRouter := map[string]cicadabudget.Report{}
	unreadable := map[string]bool{}
	for i := range rows {
		name, _, _ := strings.Cut(strings.TrimPrefix(rows[i].Key, prefix), "/")
		var part cicadabudget.Report
		if err := json.Unmarshal(rows[i].Value, &part); err != nil {
			ps.rt.cfg.Metrics.Errors.Add("eraUnreadable", 1)
			ps.rt.cfg.Log.WithField("key", rows[i].Key).WithField("version", rows[i].Version).WithError(err).Error("report cannot be read")
			unreadable[name] = true
		}
		part.Views = mergeSnapshots(byRouter[name].Views, part.Views)
		byRouter[name] = part
	}
	var out []cicadabudget.Report
	for name, r := range byRouter {
		if !unreadable[name] {
			out = append(out, r)
		}
	}
	return out, nil
}

func mergeSnapshots(a, b map[string]cicadabudget.View) map[string]cicadabudget.View {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]cicadabudget.View{}
	}
	maps.Copy(out, b)
	return out
}

func (ps *poolSyncer) applyReconciliation(era uint64, reconciliation *cicadabudget.Settlement) {
	if reconciliation == nil {
		return
	}
	dropped := ps.rt.accounts.Adopt(era, reconciliation)
	ps.rt.cfg.Log.WithField("era", era).WithField("by", reconciliation.By).WithField("missing", reconciliation.Missing).WithField("pools", len(reconciliation.Views)).
		Info("pools settled")
	for org, n := range dropped {
		ps.rt.cfg.Log.WithField("era", era).WithField("organisation", org).WithField("units", int64(n)).
			Warn("units dropped: the settlement may not count them as drawn")
	}
}
