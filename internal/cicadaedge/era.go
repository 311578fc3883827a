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
	// settleWait is how long routers wait for each other's reports: several times
	// the pauses and waits of the followers that show them the new era.
	settleWait = 5 * time.Second
	// eraKeys is the beginning of keys of rows that belong to an era.
	eraKeys = "era/"
	// settledKeys and reportKeys begin the keys of an era's settlement and of the
	// routers' reports, which go on with the number of the part.
	settledKeys = "settled/"
	reportKeys  = "report/"
	// settleTurn is how much later each router makes the settlement than the one
	// before it in an order that all share: one is enough to read all reports.
	settleTurn = time.Second
	// reporters is how many routers report each pool, beside those that draw from it.
	reporters = 8
	// poolsInRow bounds a row: its pools have names of 200 bytes at most, and the
	// store takes 64 KB.
	poolsInRow = 150
)

var errOtherEra = errors.New("the answer is of another era than the newest one seen")

// eras follows the era of the store.
type eras struct {
	rt *Router

	mu      sync.Mutex // guards the fields below
	known   bool
	now     uint64
	since   time.Time
	changed bool // an era has begun while this process lived
	// poolsRead tells that all pools were read, last in the era poolsAt.
	poolsRead bool
	poolsAt   uint64
	// witness tells that the pools were followed before the present era began.
	witness bool
}

// see takes the era of an answer. It returns an error if the answer cannot be
// used: it is of an earlier era, or does not tell although others did.
func (e *eras) see(era uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.known && era == e.now:
		return nil
	case e.known && era < e.now:
		e.rt.cfg.Metrics.Errors.Add("otherEra", 1)
		e.rt.cfg.Log.WithField("era", era).WithField("newest", e.now).Warn("answer of the store ignored: its era is older, or not told")
		return errOtherEra
	}
	first := !e.known
	e.changed = !first
	e.witness = !first && e.poolsRead && e.poolsAt == e.now
	e.rt.cfg.Log.WithField("era", era).WithField("before", e.now).WithField("first", first).WithField("witness", e.witness).
		Info("era of the store")
	e.known, e.now, e.since = true, era, time.Now()
	e.rt.accounts.EnterEra(era, first)
	if !first {
		e.rt.announceAgain()
		e.rt.bank.wake()
	}
	return nil
}

// read notes that all pools were read in an era. Present tells that there are some
// of this era, earlier that there are some of others. A process that began in an era
// without pools has to settle it, unless the whole system has just started.
func (e *eras) read(era uint64, present, earlier bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	began := !e.poolsRead && !e.changed
	e.poolsRead, e.poolsAt = true, era
	if began && era > 0 && (earlier || !present && !e.rt.cfg.FirstStart) {
		e.rt.accounts.RequireReconciliation()
		e.rt.bank.wake()
	}
}

// isKnown tells whether the era is known, and whether it has to be settled: all pools
// have been read once.
func (e *eras) isKnown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known && e.poolsRead
}

func (e *eras) state() (era uint64, since time.Time, poolsRead, witness bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now, e.since, e.poolsRead && e.poolsAt == e.now, e.witness
}

// eraKey is the key of a row in an era.
func eraKey(era uint64, key string) string {
	if era == 0 {
		return key
	}
	return eraKeys + strconv.FormatUint(era, 10) + "/" + key
}

// splitEraKey returns a row's era and its key in it.
func splitEraKey(key string) (uint64, string) {
	rest, ok := strings.CutPrefix(key, eraKeys)
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

// settle reports what this router knows of the pools, and takes the settlement of
// the era once there is one. Without one it makes it from the reports, in its turn.
func (b *bank) settle(ctx context.Context) {
	era, since, poolsRead, witness := b.rt.eras.state()
	if !poolsRead {
		return // what the copy holds need not be reported
	}
	err := b.trySettle(ctx, era, time.Since(since), witness)
	if err != nil {
		b.rt.cfg.Log.WithField("era", era).WithError(err).Info("era not settled yet")
	}
	b.setUp(err == nil, err)
}

func (b *bank) trySettle(ctx context.Context, era uint64, age time.Duration, witness bool) error {
	if b.reported != era {
		if err := b.report(ctx, era, witness); err != nil {
			return err
		}
		b.reported = era
	}
	settled, err := b.readSettlement(ctx, era)
	if err != nil || settled != nil {
		b.adopt(era, settled)
		return err
	}
	turn := slices.Index(b.rt.peers.ranked("settle/"+strconv.FormatUint(era, 10), b.rt.peers.count()), b.rt.cfg.Name)
	if age < time.Duration(turn)*settleTurn {
		return nil
	}
	reports, err := b.readReports(ctx, era)
	routers := int(b.routers.Load())
	if err != nil || len(reports) < routers && age < settleWait {
		return err
	}
	s := cicadabudget.Reconcile(b.rt.cfg.BootID, reports, routers)
	return writeParts(ctx, b, eraKey(era, settledKeys), s.Split(poolsInRow), true)
}

func (b *bank) report(ctx context.Context, era uint64, witness bool) error {
	r := b.rt.accounts.Report(b.rt.cfg.BootID, witness, func(org string) bool {
		return slices.Contains(b.rt.peers.ranked("report/"+org, reporters), b.rt.cfg.Name)
	})
	parts := r.Split(poolsInRow)
	b.rt.cfg.Log.WithField("era", era).WithField("witness", witness).WithField("pools", len(r.Snapshots)).Info("pools reported")
	return writeParts(ctx, b, eraKey(era, reportKeys+b.rt.cfg.Name+"/"), parts, false)
}

// writeParts writes the rows of a report or a settlement in one transaction, which
// the store takes whole or not at all, or only if there are none.
func writeParts[T cicadabudget.Report | cicadabudget.Reconciliation](
	ctx context.Context, b *bank, prefix string, parts []T, create bool,
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
	done, err := b.rt.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return errors.Wrap(err, "write "+prefix)
	}
	return b.rt.eras.see(done.Era)
}

// readSettlement returns the settlement of an era, or nil if there is none. Nothing
// is drawn on a guess: one that cannot be read has to be mended first.
func (b *bank) readSettlement(ctx context.Context, era uint64) (*cicadabudget.Reconciliation, error) {
	rows, err := cicadastore.ScanAll(ctx, b.rt.cfg.Store, tableEras, eraKey(era, settledKeys), "")
	if err != nil || len(rows) == 0 {
		return nil, errors.Wrap(err, "read settlement")
	}
	var whole cicadabudget.Reconciliation
	for i := range rows {
		var part cicadabudget.Reconciliation
		if err := json.Unmarshal(rows[i].Value, &part); err != nil {
			b.rt.cfg.Metrics.Errors.Add("eraUnreadable", 1)
			return nil, errors.Wrapf(err, "row %s at version %d", rows[i].Key, rows[i].Version)
		}
		views := whole.Snapshots
		whole = part
		whole.Snapshots = merge(views, part.Snapshots)
	}
	return &whole, nil
}

// readReports returns the reports of an era. A router of which a row cannot be read
// has not reported.
func (b *bank) readReports(ctx context.Context, era uint64) ([]cicadabudget.Report, error) {
	prefix := eraKey(era, reportKeys)
	rows, err := cicadastore.ScanAll(ctx, b.rt.cfg.Store, tableEras, prefix, "")
	if err != nil {
		return nil, errors.Wrap(err, "read reports")
	}
	byRouter := map[string]cicadabudget.Report{}
	unreadable := map[string]bool{}
	for i := range rows {
		name, _, _ := strings.Cut(strings.TrimPrefix(rows[i].Key, prefix), "/")
		var part cicadabudget.Report
		if err := json.Unmarshal(rows[i].Value, &part); err != nil {
			b.rt.cfg.Metrics.Errors.Add("eraUnreadable", 1)
			b.rt.cfg.Log.WithField("key", rows[i].Key).WithField("version", rows[i].Version).WithError(err).Error("report cannot be read")
			unreadable[name] = true
		}
		part.Snapshots = merge(byRouter[name].Snapshots, part.Snapshots)
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

func merge(a, b map[string]cicadabudget.PoolSnapshot) map[string]cicadabudget.PoolSnapshot {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]cicadabudget.PoolSnapshot{}
	}
	maps.Copy(out, b)
	return out
}

func (b *bank) adopt(era uint64, s *cicadabudget.Reconciliation) {
	if s == nil {
		return
	}
	dropped := b.rt.accounts.ApplyReconciliation(era, s)
	b.rt.cfg.Log.WithField("era", era).WithField("by", s.WriterBoot).WithField("missing", s.Missing).WithField("pools", len(s.Snapshots)).
		Info("pools settled")
	for org, n := range dropped {
		b.rt.cfg.Log.WithField("era", era).WithField("organisation", org).WithField("units", int64(n)).
			Warn("units dropped: the settlement may not count them as drawn")
	}
}
