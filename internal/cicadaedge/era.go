package cicadaedge

import (
	"context"
	"encoding/json"
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
	// settledKey is the key of an era's settlement, after its prefix; routers'
	// reports have their names behind reportKeys.
	settledKey = "settled"
	reportKeys = "report/"
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
		e.rt.accounts.AwaitSettlement()
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
// the era once there is one. Without one it makes it from the reports.
func (b *bank) settle(ctx context.Context) {
	era, since, poolsRead, witness := b.rt.eras.state()
	if b.settling != era {
		if err := b.report(ctx, era, witness); err != nil {
			b.setUp(false, err)
			return
		}
		b.settling = era
	}
	rows, err := b.rt.cfg.Store.Snapshot(ctx, tableEras)
	if err == nil {
		err = b.rt.eras.see(rows.Era)
	}
	if err != nil {
		b.setUp(false, err)
		return
	}
	b.setUp(true, nil)
	settled, reports := b.readEra(era, &rows)
	if settled != nil {
		b.adopt(era, settled)
		return
	}
	routers := int(b.routers.Load())
	if !poolsRead || len(reports) < routers && time.Since(since) < settleWait {
		return
	}
	s := cicadabudget.Settle(b.rt.cfg.Boot, reports, routers)
	if err := b.write(ctx, eraKey(era, settledKey), &s, true); err != nil {
		// Another router may have written it first: the next reading tells.
		b.rt.cfg.Log.WithField("era", era).WithError(err).Info("settlement not written")
	}
}

func (b *bank) report(ctx context.Context, era uint64, witness bool) error {
	r := b.rt.accounts.Report(b.rt.cfg.Boot, witness)
	b.rt.cfg.Log.WithField("era", era).WithField("witness", witness).WithField("pools", len(r.Views)).Info("pools reported")
	return b.write(ctx, eraKey(era, reportKeys+b.rt.cfg.Name), &r, false)
}

// write writes a row of the table of eras, or only if there is none.
func (b *bank) write(ctx context.Context, key string, value any, create bool) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode "+key)
	}
	ref := cicadastore.Ref{Table: tableEras, Key: key}
	txn := cicadastore.Txn{Writes: []cicadastore.Write{{Ref: ref, Value: data}}}
	if create {
		txn.Conditions = []cicadastore.Condition{{Ref: ref}}
	}
	done, err := b.rt.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return errors.Wrap(err, "write "+key)
	}
	return b.rt.eras.see(done.Era)
}

// readEra finds the settlement and the reports of an era.
func (b *bank) readEra(era uint64, rows *cicadastore.Batch) (*cicadabudget.Settlement, []cicadabudget.Report) {
	var settled *cicadabudget.Settlement
	var reports []cicadabudget.Report
	for i := range rows.Changes {
		c := &rows.Changes[i]
		of, name := splitEraKey(c.Key)
		if of != era || c.Deleted {
			continue
		}
		var err error
		if name == settledKey {
			settled = &cicadabudget.Settlement{}
			err = json.Unmarshal(c.Value, settled)
		} else {
			var r cicadabudget.Report
			if err = json.Unmarshal(c.Value, &r); err == nil {
				reports = append(reports, r)
			}
		}
		if err != nil {
			b.rt.cfg.Metrics.Errors.Add("eraUnreadable", 1)
			b.rt.cfg.Log.WithField("key", c.Key).WithField("version", c.Version).WithError(err).Error("row of an era cannot be read")
			if name == settledKey {
				// Nothing is drawn on a guess: the row has to be mended first.
				return nil, nil
			}
		}
	}
	return settled, reports
}

func (b *bank) adopt(era uint64, s *cicadabudget.Settlement) {
	dropped := b.rt.accounts.Adopt(era, s)
	b.rt.cfg.Log.WithField("era", era).WithField("by", s.By).WithField("missing", s.Missing).WithField("pools", len(s.Bases)).
		Info("pools settled")
	for org, n := range dropped {
		b.rt.cfg.Log.WithField("era", era).WithField("organisation", org).WithField("units", int64(n)).
			Warn("units dropped: the settlement may not count them as drawn")
	}
}
