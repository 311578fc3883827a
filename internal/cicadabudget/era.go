package cicadabudget

import (
	"maps"
	"slices"
	"time"
)

// The store may come back from a copy that is some seconds old. What was drawn
// since is then gone from its rows, but not from the routers that drew it. Each
// such return begins a new era. In a new era rows have new keys, so that no
// transaction of an earlier one can change them, and nothing is drawn until the
// routers have settled what each pool has given out: routers report their readings
// that are newer than the copy, and the newest of all is what the pool starts from.
// It counts each draw of a router that reports, since a router that draws reads the
// row it wrote.
//
// A router that does not report may have drawn more after that reading. So much is
// withheld for it; see unseenShare.

const (
	// witnessGap is how long a draw may be unknown to all other routers: the time
	// between two of their readings of the pools.
	witnessGap = 1500 * time.Millisecond
	// unseenShare is the most that a router draws in a witnessGap for its holding,
	// and unseenPooled the most that a lender does, as shares of the budget.
	unseenShare  = 0.1
	unseenPooled = 0.2
)

type (
	// PoolSnapshot is a reading of a pool. A version means nothing without its era.
	PoolSnapshot struct {
		Era     uint64 `json:"era"`
		Version uint64 `json:"version"`
		Pool    Pool   `json:"pool"`
	}

	// draw is one of this router.
	draw struct {
		units Units
		at    time.Time
	}

	// Report is what one router knows of the pools as an era begins.
	Report struct {
		Boot string `json:"boot"`
		// FollowedPools tells that the router followed the pools before the era began.
		FollowedPools bool `json:"witness"`
		// Snapshots are its readings that are newer than the rows of the copy.
		Snapshots map[string]PoolSnapshot `json:"views,omitempty"`
	}

	// Reconciliation is the routers' agreement on what the pools have given out as an era
	// begins: the readings that it names, and the rows of the copy for all others.
	Reconciliation struct {
		WriterBoot string                  `json:"by"`      // boot of the router that wrote it
		Missing    int                     `json:"missing"` // routers that did not follow the pools before
		Routers    int                     `json:"routers"`
		Snapshots  map[string]PoolSnapshot `json:"views,omitempty"`
	}
)

// newerThan compares two readings.
func (v *PoolSnapshot) newerThan(o *PoolSnapshot) bool {
	return v.Era > o.Era || v.Era == o.Era && v.Version > o.Version
}

// see keeps the newest reading, whatever order answers come in.
func (acc *account) see(v PoolSnapshot) {
	if v.newerThan(&acc.seen) {
		acc.seen = v
	}
}

// Reconcile makes the settlement of an era from the reports. Routers is the number of
// those that may have drawn.
func Reconcile(by string, reports []Report, routers int) Reconciliation {
	s := Reconciliation{WriterBoot: by, Routers: max(routers, len(reports)), Snapshots: map[string]PoolSnapshot{}}
	witnesses := 0
	for _, r := range reports {
		if r.FollowedPools {
			witnesses++
		}
		for org, v := range r.Snapshots {
			if old, ok := s.Snapshots[org]; !ok || v.newerThan(&old) {
				s.Snapshots[org] = v
			}
		}
	}
	s.Missing = s.Routers - witnesses
	return s
}

// Split splits a report into ones of at most most pools, for rows of bounded size.
func (r *Report) Split(most int) []Report {
	var out []Report
	for _, views := range split(r.Snapshots, most) {
		out = append(out, Report{Boot: r.Boot, FollowedPools: r.FollowedPools, Snapshots: views})
	}
	return out
}

// Split splits a settlement into ones of at most most pools.
func (s *Reconciliation) Split(most int) []Reconciliation {
	var out []Reconciliation
	for _, views := range split(s.Snapshots, most) {
		out = append(out, Reconciliation{WriterBoot: s.WriterBoot, Missing: s.Missing, Routers: s.Routers, Snapshots: views})
	}
	return out
}

// split returns at least one map, of at most most entries each.
func split(views map[string]PoolSnapshot, most int) []map[string]PoolSnapshot {
	names := slices.Sorted(maps.Keys(views))
	out := []map[string]PoolSnapshot{{}}
	for _, name := range names {
		last := out[len(out)-1]
		if len(last) == most {
			last = map[string]PoolSnapshot{}
			out = append(out, last)
		}
		last[name] = views[name]
	}
	return out
}

// withheld is what routers that did not report may have drawn unseen, as far as
// the pool had it.
func (s *Reconciliation) withheld(p *Pool) Units {
	share := unseenShare * float64(s.Missing)
	if s.Routers >= LendingMinRouters {
		// Of each organisation only the lender draws.
		share = unseenPooled * float64(min(s.Missing, 1))
	}
	return min(Units(share*float64(p.Limit)), max(p.Limit-p.Drawn, 0))
}

// base is the reading from which a pool starts in the present era; of a pool that
// nobody knows nothing has been drawn.
func (a *Accounts) base(org string, limit Units) PoolSnapshot {
	if v, ok := a.settled.Snapshots[org]; ok {
		return v
	}
	if v, ok := a.copied[org]; ok {
		return v
	}
	return PoolSnapshot{Pool: Pool{Limit: limit}}
}

// start is what a pool's row holds before its first draw in the present era.
func (a *Accounts) start(org string, limit Units) Pool {
	if a.settled == nil {
		return Pool{}
	}
	p := a.base(org, limit).Pool
	p.Drawn += a.settled.withheld(&p)
	return p
}

// Era is the era of the store that the accounts are in.
func (a *Accounts) Era() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era
}

// Reconciling tells whether the pools of the era are not settled yet: nothing is
// drawn or given back.
func (a *Accounts) Reconciling() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.settling
}

// EnterEra begins an era, unless it has begun. What the accounts hold stays; all
// readings and claims are those of an earlier era. First is the era in which the
// process began: it has seen none before, and settles only if asked to.
func (a *Accounts) EnterEra(era uint64, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era == a.era {
		return
	}
	for _, acc := range a.byOrg {
		if acc.seen.newerThan(&acc.view) {
			acc.view = acc.seen
		}
		acc.seen = PoolSnapshot{}
		acc.pool, acc.poolVersion, acc.poolAt = Pool{}, 0, time.Time{}
		acc.claims = nil
	}
	a.era, a.settled, a.copied, a.settling = era, nil, nil, !first
}

// RequireReconciliation makes a process settle the era that it began in.
func (a *Accounts) RequireReconciliation() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settling = true
}

// AddBackupRow takes a pool's row of an earlier era, as the copy holds it.
func (a *Accounts) AddBackupRow(org string, v PoolSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.copied == nil {
		a.copied = map[string]PoolSnapshot{}
	}
	if old, ok := a.copied[org]; v.Era < a.era && (!ok || v.newerThan(&old)) {
		a.copied[org] = v
	}
}

// Report returns what to report of the pools, once the rows of the copy are known:
// of those that this router has drawn from, and of others if chosen says so.
func (a *Accounts) Report(boot string, witness bool, chosen func(org string) bool) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Report{Boot: boot, FollowedPools: witness, Snapshots: map[string]PoolSnapshot{}}
	for org, acc := range a.byOrg {
		old := a.copied[org]
		if acc.view.Version > 0 && acc.view.newerThan(&old) && (acc.drew || chosen(org)) {
			r.Snapshots[org] = acc.view
		}
	}
	return r
}

// Snapshot returns the newest reading of a pool in the present era, or nil.
func (a *Accounts) Snapshot(org string) *PoolSnapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil || acc.seen.Version == 0 {
		return nil
	}
	v := acc.seen
	return &v
}

// ApplyReconciliation ends the settling of an era. Where this router has a newer reading than
// the settlement knew, its draws may not be counted: what is free of them is
// dropped, and what runs is covered by what was withheld. It returns the units
// dropped.
func (a *Accounts) ApplyReconciliation(era uint64, s *Reconciliation) map[string]Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era || !a.settling {
		return nil
	}
	a.settling, a.settled = false, s
	dropped := map[string]Units{}
	for org, acc := range a.byOrg {
		base := a.base(org, acc.limit)
		if acc.view.newerThan(&base) && acc.free > 0 {
			dropped[org] = acc.free
			acc.free = 0
		}
		if acc.poolVersion == 0 {
			acc.pool = a.start(org, acc.limit)
		}
	}
	return dropped
}

// unseen is what may still be drawn for a holding in this witnessGap.
func (acc *account) unseen(now time.Time) Units {
	share := unseenShare
	if acc.borrows() || acc.lend.units > 0 {
		share = unseenPooled
	}
	most := Units(share * float64(acc.bound()))
	for _, d := range acc.recent {
		if now.Sub(d.at) < witnessGap {
			most -= d.units
		}
	}
	return max(most, 0)
}

// countDrawn notes a draw for unseen.
func (acc *account) countDrawn(n Units, now time.Time) {
	acc.drew = true
	acc.recent = slices.DeleteFunc(acc.recent, func(d draw) bool { return now.Sub(d.at) >= witnessGap })
	acc.recent = append(acc.recent, draw{units: n, at: now})
}
