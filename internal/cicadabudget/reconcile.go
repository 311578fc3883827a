package cicadabudget

import (
	"maps"
	"slices"
	"time"
)

// The store may be restored from a backup that is some seconds old. Draws made since the backup
// are then missing from its rows, but the routers still hold the units. Each restore starts a
// new era. Rows of a new era have new keys, so that transactions of an earlier era cannot
// change them, and nothing is drawn until the routers have reconciled the pools: they report
// their snapshots that are newer than the backup, and each pool starts from the newest one.
// That snapshot includes all draws of the reporting routers, since a router that draws reads
// the row that it wrote.
//
// A router that does not report may have drawn more after that snapshot. An allowance for these
// draws is withheld from the pool; see maxUnseenDrawShare.

const (
	// drawVisibilityDelay is the time for which a draw may be unknown to all other routers: the
	// interval between two of their reads of the pools.
	drawVisibilityDelay = 1500 * time.Millisecond
	// maxUnseenDrawShare limits what a router draws for its holdings within
	// drawVisibilityDelay, and maxUnseenLenderDrawShare what a lender does, as shares of the
	// budget.
	maxUnseenDrawShare       = 0.1
	maxUnseenLenderDrawShare = 0.2
)

type (
	// PoolSnapshot is a pool as read at a version of its row. Versions of different eras are
	// not comparable.
	PoolSnapshot struct {
		Era     uint64 `json:"era"`
		Version uint64 `json:"version"`
		Pool    Pool   `json:"pool"`
	}

	// draw is a draw of this router from a pool.
	draw struct {
		units Units
		at    time.Time
	}

	// Report is what one router knows about the pools at the start of an era.
	Report struct {
		Boot string `json:"boot"`
		// FollowedPools reports that the router followed the pools before the era started.
		FollowedPools bool `json:"witness"`
		// Snapshots holds the router's snapshots that are newer than the rows of the backup.
		Snapshots map[string]PoolSnapshot `json:"views,omitempty"`
	}

	// Reconciliation is the agreed state of the pools at the start of an era: the snapshots
	// listed, and the backup's rows for all other pools.
	Reconciliation struct {
		WriterBoot string                  `json:"by"`      // boot ID of the router that wrote it
		Missing    int                     `json:"missing"` // routers that did not report having followed the pools
		Routers    int                     `json:"routers"`
		Snapshots  map[string]PoolSnapshot `json:"views,omitempty"`
	}
)

// newerThan reports whether s is of a later era than o, or of the same era and a later version.
func (s *PoolSnapshot) newerThan(o *PoolSnapshot) bool {
	return s.Era > o.Era || s.Era == o.Era && s.Version > o.Version
}

// recordSnapshot keeps the newest snapshot of the era. Replies may arrive out of order.
func (acc *account) recordSnapshot(s PoolSnapshot) {
	if s.newerThan(&acc.snapshot) {
		acc.snapshot = s
	}
}

// Reconcile combines the reports into the reconciliation of an era. Routers is the number of
// routers that may have drawn units.
func Reconcile(writerBoot string, reports []Report, routers int) Reconciliation {
	rec := Reconciliation{WriterBoot: writerBoot, Routers: max(routers, len(reports)), Snapshots: map[string]PoolSnapshot{}}
	following := 0
	for _, r := range reports {
		if r.FollowedPools {
			following++
		}
		for org, s := range r.Snapshots {
			if prev, ok := rec.Snapshots[org]; !ok || s.newerThan(&prev) {
				rec.Snapshots[org] = s
			}
		}
	}
	rec.Missing = rec.Routers - following
	return rec
}

// Split splits a report into reports of at most maxPools pools, to limit the size of a row.
func (r *Report) Split(maxPools int) []Report {
	var out []Report
	for _, snapshots := range splitSnapshots(r.Snapshots, maxPools) {
		out = append(out, Report{Boot: r.Boot, FollowedPools: r.FollowedPools, Snapshots: snapshots})
	}
	return out
}

// Split splits a reconciliation into parts of at most maxPools pools.
func (r *Reconciliation) Split(maxPools int) []Reconciliation {
	var out []Reconciliation
	for _, snapshots := range splitSnapshots(r.Snapshots, maxPools) {
		out = append(out, Reconciliation{WriterBoot: r.WriterBoot, Missing: r.Missing, Routers: r.Routers, Snapshots: snapshots})
	}
	return out
}

// splitSnapshots returns at least one map, each with at most maxPools entries.
func splitSnapshots(snapshots map[string]PoolSnapshot, maxPools int) []map[string]PoolSnapshot {
	orgs := slices.Sorted(maps.Keys(snapshots))
	out := []map[string]PoolSnapshot{{}}
	for _, org := range orgs {
		last := out[len(out)-1]
		if len(last) == maxPools {
			last = map[string]PoolSnapshot{}
			out = append(out, last)
		}
		last[org] = snapshots[org]
	}
	return out
}

// withheld returns the allowance for draws of routers that did not report, up to what was left
// in the pool.
func (r *Reconciliation) withheld(p *Pool) Units {
	share := maxUnseenDrawShare * float64(r.Missing)
	if r.Routers >= LendingMinRouters {
		// Only the lender draws from an organisation's pool.
		share = maxUnseenLenderDrawShare * float64(min(r.Missing, 1))
	}
	return min(Units(share*float64(p.Limit)), max(p.Limit-p.Drawn, 0))
}

// baseSnapshot returns the snapshot from which a pool starts in the current era. If no router
// and no row of the backup knows the pool, nothing has been drawn from it.
func (a *Accounts) baseSnapshot(org string, limit Units) PoolSnapshot {
	if s, ok := a.reconciliation.Snapshots[org]; ok {
		return s
	}
	if s, ok := a.backup[org]; ok {
		return s
	}
	return PoolSnapshot{Pool: Pool{Limit: limit}}
}

// initialPool returns the pool before its first draw in the current era.
func (a *Accounts) initialPool(org string, limit Units) Pool {
	if a.reconciliation == nil {
		return Pool{}
	}
	p := a.baseSnapshot(org, limit).Pool
	p.Drawn += a.reconciliation.withheld(&p)
	return p
}

// Era returns the current era of the store.
func (a *Accounts) Era() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era
}

// Reconciling reports whether the pools of the era are not reconciled yet. Until then nothing
// is drawn or returned.
func (a *Accounts) Reconciling() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reconciling
}

// EnterEra starts an era, unless it is the current one. Held units stay; snapshots and lockups
// belong to the era before. Initial is set for the era in which the process started: it has
// seen no earlier one, and reconciles only if RequireReconciliation is called.
func (a *Accounts) EnterEra(era uint64, initial bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era == a.era {
		return
	}
	for _, acc := range a.byOrg {
		if acc.snapshot.newerThan(&acc.priorSnapshot) {
			acc.priorSnapshot = acc.snapshot
		}
		acc.snapshot = PoolSnapshot{}
		acc.pool, acc.poolVersion, acc.poolReadAt = Pool{}, 0, time.Time{}
		acc.lockups = nil
	}
	a.era, a.reconciliation, a.backup, a.reconciling = era, nil, nil, !initial
}

// RequireReconciliation makes the process reconcile the era in which it started.
func (a *Accounts) RequireReconciliation() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reconciling = true
}

// AddBackupRow records a pool's row of an earlier era, as found in the restored store.
func (a *Accounts) AddBackupRow(org string, s PoolSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.backup == nil {
		a.backup = map[string]PoolSnapshot{}
	}
	if prev, ok := a.backup[org]; s.Era < a.era && (!ok || s.newerThan(&prev)) {
		a.backup[org] = s
	}
}

// Report returns this router's report. Call it once all rows of the backup were added. It
// contains the pools that this router has drawn from, and others if include returns true for
// them.
func (a *Accounts) Report(boot string, followedPools bool, include func(org string) bool) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Report{Boot: boot, FollowedPools: followedPools, Snapshots: map[string]PoolSnapshot{}}
	for org, acc := range a.byOrg {
		row := a.backup[org]
		if acc.priorSnapshot.Version > 0 && acc.priorSnapshot.newerThan(&row) && (acc.hasDrawn || include(org)) {
			r.Snapshots[org] = acc.priorSnapshot
		}
	}
	return r
}

// Snapshot returns the newest snapshot of a pool in the current era, or nil.
func (a *Accounts) Snapshot(org string) *PoolSnapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil || acc.snapshot.Version == 0 {
		return nil
	}
	s := acc.snapshot
	return &s
}

// ApplyReconciliation ends the reconciliation of an era. For a pool of which this router has a
// newer snapshot than the reconciliation used, its draws may not be counted: its free units are
// dropped, and requests in progress are covered by the withheld units. It returns the dropped
// units.
func (a *Accounts) ApplyReconciliation(era uint64, rec *Reconciliation) map[string]Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era || !a.reconciling {
		return nil
	}
	a.reconciling, a.reconciliation = false, rec
	dropped := map[string]Units{}
	for org, acc := range a.byOrg {
		base := a.baseSnapshot(org, acc.limit)
		if acc.priorSnapshot.newerThan(&base) && acc.free > 0 {
			dropped[org] = acc.free
			acc.free = 0
		}
		if acc.poolVersion == 0 {
			acc.pool = a.initialPool(org, acc.limit)
		}
	}
	return dropped
}

// remainingUnseenDraw returns what may still be drawn for holdings within the current
// drawVisibilityDelay.
func (acc *account) remainingUnseenDraw(now time.Time) Units {
	share := maxUnseenDrawShare
	if acc.alwaysBorrows() || acc.loans.units > 0 {
		share = maxUnseenLenderDrawShare
	}
	allowed := Units(share * float64(acc.effectiveLimit()))
	for _, d := range acc.recentDraws {
		if now.Sub(d.at) < drawVisibilityDelay {
			allowed -= d.units
		}
	}
	return max(allowed, 0)
}

// recordDraw records a draw for remainingUnseenDraw.
func (acc *account) recordDraw(n Units, now time.Time) {
	acc.hasDrawn = true
	acc.recentDraws = slices.DeleteFunc(acc.recentDraws, func(d draw) bool { return now.Sub(d.at) >= drawVisibilityDelay })
	acc.recentDraws = append(acc.recentDraws, draw{units: n, at: now})
}
