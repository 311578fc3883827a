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

// The store may be restored from an older backup, which begins a new era. Package cicadabudget and
// docs/design/ERAS.md describe the consequences for budgets.

const (
	// reportWait is how long routers wait for each other's reports. It is several times the
	// polling interval and wait of the table watchers through which they notice the new era.
	reportWait = 5 * time.Second
	// eraKeyPrefix starts the keys of rows that belong to an era.
	eraKeyPrefix = "era/"
	// reconciliationKeyPrefix and reportKeyPrefix start the keys of an era's reconciliation and of
	// the routers' reports. The number of the part follows.
	reconciliationKeyPrefix = "settled/"
	reportKeyPrefix         = "report/"
	// reconcileStagger is the delay from one router's turn to write the reconciliation to the next
	// router's. All routers compute the same order. It is enough if one router reads all reports.
	reconcileStagger = time.Second
	// reportersPerPool is how many routers report each pool, in addition to those that draw from
	// it.
	reportersPerPool = 8
	// maxPoolsPerRow bounds the size of a row: pool names have up to 200 bytes, and the store
	// accepts rows of 64 KB.
	maxPoolsPerRow = 150
)

var errOlderEra = errors.New("store response does not belong to the newest era seen")

// eraTracker tracks the era of the store.
type eraTracker struct {
	rt *Router

	mu      sync.Mutex // guards the fields below
	known   bool
	current uint64
	since   time.Time
	changed bool // an era began while this process was running
	// poolsRead is set once all pools have been read; poolsReadEra is the era of the last complete
	// read.
	poolsRead    bool
	poolsReadEra uint64
	// followedPools is set if this router followed the pools before the current era began.
	followedPools bool
}

// observe records the era of a store response. It returns an error if the response must not be
// used: it belongs to an earlier era, or states none although earlier responses did.
func (e *eraTracker) observe(era uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.known && era == e.current:
		return nil
	case e.known && era < e.current:
		e.rt.cfg.Metrics.Errors.Add("otherEra", 1)
		e.rt.cfg.Log.WithField("era", era).WithField("newest", e.current).Warn("store response ignored: its era is missing or older than the newest one seen")
		return errOlderEra
	}
	first := !e.known
	e.changed = !first
	e.followedPools = !first && e.poolsRead && e.poolsReadEra == e.current
	e.rt.cfg.Log.WithField("era", era).WithField("before", e.current).WithField("first", first).WithField("witness", e.followedPools).
		Info("new era of the store")
	e.known, e.current, e.since = true, era, time.Now()
	e.rt.accounts.EnterEra(era, first)
	if !first {
		e.rt.requestAnnounce()
		e.rt.rewriteCrashes()
		e.rt.versions.changed.send()
		e.rt.poolSyncer.wake()
	}
	return nil
}

// recordPoolRead records that all pools were read in an era. hasCurrent is set if there are pools
// of this era, hasEarlier if there are pools of other eras. The first read shows whether the era in
// which the process started, if it is not era 0, may have to be reconciled: that is so if there are
// pools of other eras, or none of this one and the whole system is not starting for the first time.
func (e *eraTracker) recordPoolRead(era uint64, hasCurrent, hasEarlier bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	initial := !e.poolsRead && !e.changed
	e.poolsRead, e.poolsReadEra = true, era
	if initial && era > 0 && (hasEarlier || !hasCurrent && !e.rt.cfg.FirstStart) {
		e.rt.accounts.RequireReconciliation()
		e.rt.poolSyncer.wake()
	}
}

// ready reports whether the era is known and all pools have been read once, which shows whether
// the era has to be reconciled.
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

// eraKey returns the key of a row in an era.
func eraKey(era uint64, key string) string {
	if era == 0 {
		return key
	}
	return eraKeyPrefix + strconv.FormatUint(era, 10) + "/" + key
}

// splitEraKey splits a row key into the era and the key within it.
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

// reconcile reports what this router knows about the pools and applies the reconciliation of the
// era. If there is none yet, this router writes it from the reports when it is its turn.
func (ps *poolSyncer) reconcile(ctx context.Context) {
	era, since, poolsRead, followedPools := ps.rt.eraTracker.state()
	if !poolsRead {
		return // pools must be read first: what the backup holds need not be reported
	}
	err := ps.tryReconcile(ctx, era, time.Since(since), followedPools)
	if err != nil {
		ps.rt.cfg.Log.WithField("era", era).WithError(err).Info("pools of the era not reconciled yet; retrying")
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
	reconciliation := cicadabudget.Reconcile(ps.rt.cfg.BootID, reports, routers)
	return writeParts(ctx, ps, eraKey(era, reconciliationKeyPrefix), reconciliation.Split(maxPoolsPerRow), true)
}

func (ps *poolSyncer) report(ctx context.Context, era uint64, followedPools bool) error {
	r := ps.rt.accounts.Report(ps.rt.cfg.BootID, followedPools, func(org string) bool {
		return slices.Contains(ps.rt.peers.ranked("report/"+org, reportersPerPool), ps.rt.cfg.Name)
	})
	parts := r.Split(maxPoolsPerRow)
	ps.rt.cfg.Log.WithField("era", era).WithField("witness", followedPools).WithField("pools", len(r.Snapshots)).Info("pools reported")
	return writeParts(ctx, ps, eraKey(era, reportKeyPrefix+ps.rt.cfg.Name+"/"), parts, false)
}

// writeParts writes the rows of a report or a reconciliation in one transaction, so that either
// all or none are written. With create, the transaction requires that none of them exists.
func writeParts[T cicadabudget.Report | cicadabudget.Reconciliation](
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

// readReconciliation returns the reconciliation of an era, or nil if there is none. If a row
// cannot be decoded, it returns an error: no units may be drawn until an operator has repaired the
// row.
func (ps *poolSyncer) readReconciliation(ctx context.Context, era uint64) (*cicadabudget.Reconciliation, error) {
	rows, err := cicadastore.ScanAll(ctx, ps.rt.cfg.Store, tableEras, eraKey(era, reconciliationKeyPrefix), "")
	if err != nil || len(rows) == 0 {
		return nil, errors.Wrap(err, "read reconciliation")
	}
	var reconciliation cicadabudget.Reconciliation
	for i := range rows {
		var part cicadabudget.Reconciliation
		if err := json.Unmarshal(rows[i].Value, &part); err != nil {
			ps.rt.cfg.Metrics.Errors.Add("eraUnreadable", 1)
			return nil, errors.Wrapf(err, "decode row %s at version %d", rows[i].Key, rows[i].Version)
		}
		snapshots := reconciliation.Snapshots
		reconciliation = part
		reconciliation.Snapshots = mergeSnapshots(snapshots, part.Snapshots)
	}
	return &reconciliation, nil
}

// readReports returns the reports of an era. A router with an undecodable row counts as one that
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
			ps.rt.cfg.Log.WithField("key", rows[i].Key).WithField("version", rows[i].Version).WithError(err).Error("failed to decode a pool report")
			unreadable[name] = true
		}
		part.Snapshots = mergeSnapshots(byRouter[name].Snapshots, part.Snapshots)
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

func mergeSnapshots(a, b map[string]cicadabudget.PoolSnapshot) map[string]cicadabudget.PoolSnapshot {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]cicadabudget.PoolSnapshot{}
	}
	maps.Copy(out, b)
	return out
}

func (ps *poolSyncer) applyReconciliation(era uint64, reconciliation *cicadabudget.Reconciliation) {
	if reconciliation == nil {
		return
	}
	dropped := ps.rt.accounts.ApplyReconciliation(era, reconciliation)
	ps.rt.cfg.Log.WithField("era", era).WithField("by", reconciliation.WriterBoot).WithField("missing", reconciliation.Missing).
		WithField("pools", len(reconciliation.Snapshots)).Info("pools reconciled")
	for org, n := range dropped {
		ps.rt.cfg.Log.WithField("era", era).WithField("organisation", org).WithField("units", int64(n)).
			Warn("free units dropped: the reconciliation may not count them as drawn")
	}
}
