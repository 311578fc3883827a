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
// routers have settled what each pool has given out: every router reports the
// newest reading that it has, and the newest of all is the pool's base. It counts
// each draw of a router that reports, since a router that draws reads the row it
// wrote.
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
	// View is a reading of a pool. A version means nothing without its era.
	View struct {
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
		// Witness tells that the router followed the pools before the era began.
		Witness bool            `json:"witness"`
		Views   map[string]View `json:"views,omitempty"`
	}

	// Base is what a pool starts from in an era: a reading, and units that are
	// withheld for routers that did not report.
	Base struct {
		View     View  `json:"view"`
		Withheld Units `json:"withheld,omitempty"`
	}

	// Settlement is the routers' agreement on the bases of all pools in an era. Of
	// pools that it does not name nothing was known to be drawn.
	Settlement struct {
		By      string          `json:"by"`      // boot of the router that wrote it
		Missing int             `json:"missing"` // routers that did not follow the pools before
		Routers int             `json:"routers"`
		Bases   map[string]Base `json:"bases"`
	}
)

// newerThan compares two readings.
func (v *View) newerThan(o *View) bool {
	return v.Era > o.Era || v.Era == o.Era && v.Version > o.Version
}

// see keeps the newest reading, whatever order answers come in.
func (acc *account) see(v View) {
	if v.newerThan(&acc.seen) {
		acc.seen = v
	}
}

// Settle makes the settlement of an era from the reports. Routers is the number of
// those that may have drawn.
func Settle(by string, reports []Report, routers int) Settlement {
	s := Settlement{By: by, Routers: max(routers, len(reports)), Bases: map[string]Base{}}
	witnesses := 0
	for _, r := range reports {
		if r.Witness {
			witnesses++
		}
		for org, v := range r.Views {
			if b, ok := s.Bases[org]; !ok || v.newerThan(&b.View) {
				s.Bases[org] = Base{View: v}
			}
		}
	}
	s.Missing = s.Routers - witnesses
	for org, b := range s.Bases {
		b.Withheld = s.withheld(&b.View.Pool)
		s.Bases[org] = b
	}
	return s
}

// withheld is what routers that did not report may have drawn unseen, as far as
// the pool had it.
func (s *Settlement) withheld(p *Pool) Units {
	share := unseenShare * float64(s.Missing)
	if s.Routers >= LendFrom {
		// Of each organisation only the lender draws.
		share = unseenPooled * float64(min(s.Missing, 1))
	}
	return min(Units(share*float64(p.Limit)), max(p.Limit-p.Drawn, 0))
}

// start is what a pool's row holds before its first draw in the era.
func (s *Settlement) start(org string, limit Units) Pool {
	if s == nil {
		return Pool{}
	}
	if b, ok := s.Bases[org]; ok {
		p := b.View.Pool
		p.Drawn += b.Withheld
		return p
	}
	return Pool{Drawn: s.withheld(&Pool{Limit: limit})}
}

// Era is the era of the store that the accounts are in.
func (a *Accounts) Era() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era
}

// Settling tells whether the pools of the era are not settled yet: nothing is
// drawn or given back.
func (a *Accounts) Settling() bool {
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
		acc.seen = View{}
		acc.pool, acc.poolVersion, acc.poolAt = Pool{}, 0, time.Time{}
		acc.claims = nil
	}
	a.era, a.settled, a.settling = era, nil, !first
}

// AwaitSettlement makes a process settle the era that it began in.
func (a *Accounts) AwaitSettlement() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settling = true
}

// Remember takes a pool's row of an earlier era, as an older copy may hold it.
func (a *Accounts) Remember(org string, v View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.copied == nil {
		a.copied = map[string]View{}
	}
	if old, ok := a.copied[org]; v.Era < a.era && (!ok || v.newerThan(&old)) {
		a.copied[org] = v
	}
}

// Report returns what to report of the pools: what this process has read itself,
// or what the store still has.
func (a *Accounts) Report(boot string, witness bool) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Report{Boot: boot, Witness: witness, Views: maps.Clone(a.copied)}
	if r.Views == nil {
		r.Views = map[string]View{}
	}
	for org, acc := range a.byOrg {
		if old, ok := r.Views[org]; acc.view.Version > 0 && (!ok || acc.view.newerThan(&old)) {
			r.Views[org] = acc.view
		}
	}
	return r
}

// View returns the newest reading of a pool in the present era, or nil.
func (a *Accounts) View(org string) *View {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byOrg[org]
	if acc == nil || acc.seen.Version == 0 {
		return nil
	}
	v := acc.seen
	return &v
}

// Adopt ends the settling of an era. Where this router has a newer reading than
// the settlement knew, its draws may not be counted: what is free of them is
// dropped, and what runs is covered by what was withheld. It returns the units
// dropped.
func (a *Accounts) Adopt(era uint64, s *Settlement) map[string]Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era || !a.settling {
		return nil
	}
	a.settling, a.settled = false, s
	dropped := map[string]Units{}
	for org, acc := range a.byOrg {
		b := s.Bases[org]
		if acc.view.newerThan(&b.View) && acc.free > 0 {
			dropped[org] = acc.free
			acc.free = 0
		}
		if acc.poolVersion == 0 {
			acc.pool = s.start(org, acc.limit)
		}
	}
	return dropped
}

// unseen is what may still be drawn for a holding in this witnessGap.
func (acc *account) unseen(now time.Time) Units {
	share := unseenShare
	if acc.pooled || acc.lend.units > 0 {
		share = unseenPooled
	}
	most := Units(share * float64(acc.bound()))
	for _, d := range acc.draws {
		if now.Sub(d.at) < witnessGap {
			most -= d.units
		}
	}
	return max(most, 0)
}

// countDrawn notes a draw for unseen.
func (acc *account) countDrawn(n Units, now time.Time) {
	acc.draws = slices.DeleteFunc(acc.draws, func(d draw) bool { return now.Sub(d.at) >= witnessGap })
	acc.draws = append(acc.draws, draw{units: n, at: now})
}
