package cicadabudget

import (
	"math"
	"time"
)

const (
	// holdAhead is how many seconds of its own use a router holds while plenty
	// is left: longer than most outages.
	holdAhead = 13.0
	// activeAhead is how many of them may be spent at once. The rest is dormant,
	// and is not lost if the process ends. It covers the time from the last row
	// to the lapse of its claims.
	activeAhead = 3.0
	// strandShare bounds the active parts of all routers, which are lost if all
	// processes end, to a share of what is left undrawn.
	strandShare = 0.06
	// borrowAhead is the same where a lender holds for most cuts, as routers that
	// the store cannot be reached from mostly reach each other.
	borrowAhead = 6.0
	// lendAhead is how many seconds of its lending a lender holds, and lendActive
	// how many of them it may lend at once: those of a few of its own draws.
	lendAhead  = 6.0
	lendActive = 1.5
	// pooledPlenty is plentyShare where units come from lenders: many holdings are
	// many to lose if all processes end while the store is away, and what is left
	// then has to last.
	pooledPlenty = 0.6
	// plentyShare is the share of a budget left undrawn from which on routers
	// hold for the whole of holdAhead; below it the time shrinks in proportion.
	plentyShare = 0.25
	// activeShare is plentyShare for the active part where units come from lenders.
	activeShare = 0.95
	// dryShare is the share left undrawn below which routers hold nothing beyond
	// what requests reserve, and give back what they hold at once.
	dryShare = 0.03
	// giveBackTime is how long routers take to see that a budget is dry and to give
	// back what they hold of it: a reading of the pools and a transaction.
	giveBackTime = 2 * time.Second
	// maxDrawShare bounds one draw to a share of what is left undrawn.
	maxDrawShare = 0.25
	// floorShare is the share of what is left that the routers of a small fleet
	// together hold whatever their rates: requests are large and rare at each
	// router, so that a rate of the last seconds says little about the next ones.
	floorShare = 0.3
	// floorRequests bounds that to so many requests of the usual size.
	floorRequests = 3
	// leastWindow is the shortest time over which a rate is taken.
	leastWindow = 2 * time.Second
	// usualWeight is the weight of one request in the average of their sizes.
	usualWeight = 0.05
	// mostActive bounds the active part of one router to a share of the budget:
	// what a process loses when it ends is out of reach for the rest of the day,
	// and callers are owed service until less than three in a hundred are left.
	mostActive = 0.025
	// refillShare is the share of the target below which more is drawn.
	refillShare = 0.75
	// useHalfLife is the time after which the observed rate of an idle account
	// has halved: some requests of an organisation arrive at a router in it.
	useHalfLife = 8 * time.Second
	// idleShare is the smallest surplus worth a write to the store while the
	// budget is not dry, as a share of the budget.
	idleShare = 0.01
	// poolTrust is how long a reading of the pool proves that a budget is dry.
	poolTrust = 1500 * time.Millisecond
)

// flow is a rate of units, over the time since the first of them as far as it
// still counts.
type flow struct {
	units float64 // decayed by useHalfLife
	at    time.Time
	since time.Time
}

// add counts units, or takes back those that turned out unused.
func (f *flow) add(n float64, now time.Time) {
	if f.since.IsZero() {
		f.since, f.at = now, now
	}
	f.decay(now)
	f.units = max(f.units+n, 0)
}

func (f *flow) decay(now time.Time) {
	if f.since.IsZero() {
		return
	}
	if dt := now.Sub(f.at); dt > 0 {
		f.units *= math.Exp2(-dt.Seconds() / useHalfLife.Seconds())
		f.at = now
	}
}

// rate is in units a second.
func (f *flow) rate(now time.Time) float64 {
	f.decay(now)
	mean := useHalfLife.Seconds() / math.Ln2
	window := mean * (1 - math.Exp(-now.Sub(f.since).Seconds()/mean))
	return f.units / max(window, leastWindow.Seconds())
}

// likelyRate is the rate plus a standard deviation of what it is taken from:
// few requests of a usual size say little about the next ones.
func (acc *account) likelyRate(usual float64, now time.Time) float64 {
	rate := acc.own.rate(now)
	if acc.own.units <= 0 {
		return rate
	}
	return rate * (1 + math.Sqrt(usual/acc.own.units))
}

// delta is what to draw, or to give back if negative.
func (acc *account) delta(floor Units, usual float64, now time.Time) Units {
	left := acc.left()
	var missing Units
	for _, w := range acc.waiters {
		missing += w.need
	}
	missing = max(missing-acc.free, 0)
	target := acc.target(floor, usual, now)
	want := missing
	if acc.lent {
		// The lender knows what is left.
		left = max(left, missing)
	}
	// What is left goes to those that it covers.
	want = min(want, left)
	if float64(acc.free) < refillShare*float64(target) {
		want = max(want, min(target-acc.free, Units(maxDrawShare*float64(left)), acc.unseen(now)))
	}
	if want > 0 {
		return min(want, left)
	}
	surplus := acc.free - target
	if surplus > 0 && (acc.draining || acc.dry(left) || float64(surplus) > idleShare*float64(acc.bound()) && acc.free > 2*target) {
		return -surplus
	}
	return 0
}

func (acc *account) dry(left Units) bool {
	return float64(left) < dryShare*float64(acc.bound())
}

// target is what this router would like to have free.
func (acc *account) target(floor Units, usual float64, now time.Time) Units {
	if acc.draining || acc.dry(acc.left()) {
		return 0
	}
	lent := acc.lend.rate(now) * lendAhead * acc.plenty(pooledPlenty)
	if acc.pooled {
		// A margin at each of many routers is a large part of the budget.
		return Units(acc.own.rate(now)*borrowAhead*acc.plenty(pooledPlenty) + lent)
	}
	return max(Units(acc.likelyRate(usual, now)*holdAhead*acc.plenty(plentyShare)), floor) + Units(lent)
}

// plenty is 1 while a share of the budget is left, and falls to 0 as it runs dry.
func (acc *account) plenty(share float64) float64 {
	return min(1, float64(acc.left())/float64(max(acc.bound(), 1))/share)
}

// active is the part of the target that may be spent at once.
func (acc *account) active(target Units, routers int, now time.Time) Units {
	var waiting Units
	for _, w := range acc.waiters {
		waiting += w.need
	}
	ahead := min(activeAhead, strandShare*acc.lasts(routers, now))
	if acc.pooled {
		// What a request lacks here costs a question to the lender.
		ahead = activeAhead * acc.plenty(activeShare)
	}
	own := acc.own.rate(now) * ahead
	lent := acc.lend.rate(now) * lendActive * acc.plenty(plentyShare)
	n := Units(min(own+lent, mostActive*float64(acc.bound())))
	return max(min(n, target), waiting)
}

// lasts is how many seconds what is left undrawn lasts if all routers go on to
// draw as they do.
func (acc *account) lasts(routers int, now time.Time) float64 {
	rate := acc.drawn.rate(now)
	if now.Sub(acc.drawn.since) < leastWindow || acc.drawn.since.IsZero() {
		rate = max(rate, acc.own.rate(now)*float64(routers))
	}
	if rate <= 0 {
		return math.Inf(1)
	}
	return float64(acc.left()) / rate
}

// inherit adds what an earlier process on this host left untouched.
func (a *Accounts) inherit(era uint64, claims map[string]Units, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era {
		return
	}
	for org, n := range claims {
		acc := a.byOrg[org]
		if acc == nil {
			acc = &account{pool: a.start(org, 0)}
			a.byOrg[org] = acc
		}
		acc.free += n
		a.serveWaiters(acc, now)
	}
}

// floor is what to hold of a budget whatever its rate: some requests of the
// usual size, or nothing where the share of this router is less than one.
func (a *Accounts) floor(acc *account) Units {
	share := floorShare * float64(acc.left()) / float64(a.routers)
	if share < a.usual {
		return 0
	}
	if a.usual == 0 {
		return Units(share / floorRequests)
	}
	return Units(min(share, floorRequests*a.usual))
}
