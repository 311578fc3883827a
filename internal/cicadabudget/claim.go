package cicadabudget

import "time"

const (
	// releaseOver is the time after its lapse in which what a row declares dormant
	// is released, that of most outages. Where units come from lenders it is
	// pooledRelease, in which a lender lends what it holds.
	releaseOver   = 4 * time.Second
	pooledRelease = 9 * time.Second
)

// claim is what a row declares of one account: units that are not spent before
// from, and that are released evenly over a time after it. A process that ends
// leaves what is still dormant to its successor, however long the store was away
// before.
type claim struct {
	units Units
	from  time.Time
	over  time.Duration
}

// dormant is what may not be spent yet.
func (c claim) dormant(now time.Time) Units { return dormantAfter(c.units, now.Sub(c.from), c.over) }

// dormantAfter is what of units is dormant some time after the lapse of the row
// that declares them, which says over which time they are released.
func dormantAfter(units Units, since, over time.Duration) Units {
	switch {
	case since <= 0:
		return units
	case since >= over:
		return 0
	default:
		return units - Units(float64(units)*since.Seconds()/over.Seconds())
	}
}

// dormant is what no row that may be in force lets be spent yet.
func (acc *account) dormant(now time.Time) Units {
	var most Units
	for _, c := range acc.claims {
		most = max(most, c.dormant(now))
	}
	return most
}

// releaseIn is how long it takes until what is released covers need, if the store
// cannot be asked; zero if it does now or never will.
func (acc *account) releaseIn(need Units, now time.Time) time.Duration {
	if acc.free < need {
		return 0
	}
	var longest time.Duration
	for _, c := range acc.claims {
		if c.units <= acc.free-need {
			continue
		}
		share := float64(c.units-(acc.free-need)) / float64(c.units)
		at := c.from.Add(time.Duration(share * float64(c.over)))
		longest = max(longest, at.Sub(now))
	}
	return longest
}

// claims returns what of each account's free units to declare dormant until
// releaseAt in a row that is about to be sent with some moves. From here on they
// are not spent: a request that came between would make the row untrue.
func (a *Accounts) claims(moves []PoolUpdate, releaseAt time.Time, over time.Duration, now time.Time) map[string]Units {
	a.mu.Lock()
	defer a.mu.Unlock()
	drawn := map[string]Units{}
	for _, m := range moves {
		drawn[m.Organisation] = max(m.Delta, 0)
	}
	out := map[string]Units{}
	for org, acc := range a.inUse {
		free := acc.free + drawn[org]
		if free <= 0 {
			continue
		}
		floor := a.floor(acc)
		target := acc.target(floor, a.usual, now)
		active := acc.active(target, a.routers, now)
		if acc.borrows() {
			// What is small goes back to the lender, and costs no row meanwhile.
			active = acc.mostByMessage()
		}
		if n := free - active; n > 0 {
			out[org] = n
			acc.claims = append(acc.claims, claim{units: max(n-drawn[org], 0), from: releaseAt, over: over})
		}
	}
	return out
}

// setClaims sets the rows of which any may be in force.
func (a *Accounts) setClaims(era uint64, rows []rowClaims, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era {
		return
	}
	for org, acc := range a.inUse {
		acc.claims = acc.claims[:0]
		for _, row := range rows {
			if n := row.units[org]; n > 0 {
				acc.claims = append(acc.claims, claim{units: n, from: row.from, over: row.over})
			}
		}
		a.serveWaiters(acc, now)
	}
}

// rowClaims are the claims of one row.
type rowClaims struct {
	units map[string]Units
	from  time.Time
	over  time.Duration
}
