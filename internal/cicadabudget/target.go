package cicadabudget

import (
	"math"
	"time"
)

const (
	// holdSeconds is how many seconds of its own use a router holds while the budget is not
	// scarce. It is longer than most store outages.
	holdSeconds = 13.0
	// unlockedSeconds is how many of these seconds of use may be spent at once. It covers the
	// time from the last row to the end of its lock period. The rest is locked and so is not
	// lost if the process ends.
	unlockedSeconds = 3.0
	// maxUnlockedFleetShare limits the unlocked units of all routers together, which are lost
	// if all processes end, to a share of the undrawn units.
	maxUnlockedFleetShare = 0.06
	// lenderHoldSeconds is how many seconds of its lending a lender holds, and
	// lenderUnlockedSeconds how many of them it may lend at once, which has to last from one
	// row to the next. The rest is locked.
	lenderHoldSeconds     = 9.0
	lenderUnlockedSeconds = 0.5
	// minLenderHoldShare and minLenderUnlockedShare are the lower limits of both, as shares of
	// the budget: the rate of the last seconds does not predict the first requests of a burst, and
	// an outage may begin with them.
	minLenderHoldShare     = 0.2
	minLenderUnlockedShare = 0.004
	// lenderScarcityShare replaces scarcityShare for a lender. It is lower because a lender's
	// successor takes over its holdings.
	lenderScarcityShare = 0.08
	// storeReachablePeriod is how long after a read of the pool the store is assumed to answer
	// a draw. It spans a few reads.
	storeReachablePeriod = 4 * time.Second
	// maxScheduleDelay is the longest time for which a lender keeps units that are about to be
	// released for a borrower, and scheduledLoanGrace how much later than scheduled the
	// borrower may ask for them.
	maxScheduleDelay   = time.Second
	scheduledLoanGrace = 100 * time.Millisecond
	// maxMessageShare is the largest surplus that is returned to the lender in a message, as a
	// share of the budget.
	maxMessageShare = 0.01
	// surplusIdleTime is how long a borrower keeps the unused units of a request.
	surplusIdleTime = 300 * time.Millisecond
	// scarcityShare is the undrawn share of a budget from which on routers hold units for all
	// of holdSeconds. Below it the time shrinks in proportion.
	scarcityShare = 0.25
	// nearlyExhaustedShare is the undrawn share below which routers hold only what requests
	// reserve, and return the rest at once.
	nearlyExhaustedShare = 0.03
	// returnPeriod is the time routers need to notice that a budget is nearly exhausted and to
	// return what they hold of it: a read of the pools and a transaction.
	returnPeriod = 2 * time.Second
	// maxDrawShare limits one draw to a share of the undrawn units, and maxLenderDrawShare that of
	// a lender, beside which no other router draws.
	maxDrawShare       = 0.25
	maxLenderDrawShare = 0.4
	// minHoldingShare is the share of the undrawn units that the routers of a small fleet hold
	// together, whatever their rates. Requests are large and rare at each router, so a rate of
	// the last seconds does not predict the next ones.
	minHoldingShare = 0.3
	// minHoldingRequests limits that share, for each router, to so many requests of mean size.
	minHoldingRequests = 3
	// minRateWindow is the shortest time over which a rate is computed.
	minRateWindow = 2 * time.Second
	// meanRequestWeight is the weight of one request in the moving average of request sizes.
	meanRequestWeight = 0.05
	// maxUnlockedShare limits the unlocked units of one router to a share of the budget. What a
	// process loses when it ends is unavailable for the rest of the day, and requests must be
	// served until less than 3 % of the budget is left.
	maxUnlockedShare = 0.025
	// refillShare is the share of the target below which more units are drawn.
	refillShare = 0.75
	// lenderRefillShare replaces refillShare for a lender. Draws cost it no additional row, as
	// it continually writes one for its locked units.
	lenderRefillShare = 0.97
	// rateHalfLife is the half-life of an idle account's observed rate. A router receives
	// several requests of an organisation in it.
	rateHalfLife = 8 * time.Second
	// minReturnShare is the smallest surplus that is returned to a pool that is not nearly
	// exhausted, as a share of the budget. Less is not worth a write.
	minReturnShare = 0.01
	// exhaustedSnapshotTTL is how long a read of the pool proves that it does not cover a
	// request.
	exhaustedSnapshotTTL = 1500 * time.Millisecond
)

// rateMeter measures an exponentially decaying rate of units. Its averaging window starts
// with the first units.
type rateMeter struct {
	units     float64 // decayed by rateHalfLife
	updatedAt time.Time
	since     time.Time // the first use; zero if there was none
}

// add counts units, or subtracts units that turned out to be unused.
func (m *rateMeter) add(n float64, now time.Time) {
	if m.since.IsZero() {
		m.since, m.updatedAt = now, now
	}
	m.decay(now)
	m.units = max(m.units+n, 0)
}

func (m *rateMeter) decay(now time.Time) {
	if m.since.IsZero() {
		return
	}
	if dt := now.Sub(m.updatedAt); dt > 0 {
		m.units *= math.Exp2(-dt.Seconds() / rateHalfLife.Seconds())
		m.updatedAt = now
	}
}

// rate returns the units per second.
func (m *rateMeter) rate(now time.Time) float64 {
	m.decay(now)
	mean := rateHalfLife.Seconds() / math.Ln2
	window := mean * (1 - math.Exp(-now.Sub(m.since).Seconds()/mean))
	return m.units / max(window, minRateWindow.Seconds())
}

// rateUpperEstimate returns the rate of local use plus one standard deviation, since a few
// requests of mean size do not predict the next ones well.
func (acc *account) rateUpperEstimate(meanRequest float64, now time.Time) float64 {
	rate := acc.localUse.rate(now)
	if acc.localUse.units <= 0 {
		return rate
	}
	return rate * (1 + math.Sqrt(meanRequest/acc.localUse.units))
}

// plannedDelta returns the units to draw from the pool, or to return if negative. Borrowers
// draw nothing, and return to the pool only surpluses that are too large to be sent to the
// lender in a message.
func (a *Accounts) plannedDelta(acc *account, now time.Time) Units {
	switch {
	case acc.alwaysBorrows() && len(acc.waiters) == 0 && acc.free > acc.maxMessageSurplus():
		return -max(acc.spendable(now), 0)
	case acc.borrowing:
		return 0
	case a.routersUnknown:
		return acc.waiterShortfall()
	default:
		return acc.poolDelta(a.minHolding(acc), a.meanRequest, now)
	}
}

// maxMessageSurplus returns the largest surplus to send to a lender in a message. If the
// message is lost, so are its units for the rest of the day.
func (acc *account) maxMessageSurplus() Units {
	return Units(maxMessageShare * float64(acc.effectiveLimit()))
}

// waiterShortfall returns the units that the waiters lack, as far as the pool may have them.
func (acc *account) waiterShortfall() Units {
	var missing Units
	for _, w := range acc.waiters {
		missing += w.need
	}
	return min(max(missing-acc.free, 0), acc.remaining())
}

// poolDelta returns the units to draw, or to return if negative.
func (acc *account) poolDelta(minHolding Units, meanRequest float64, now time.Time) Units {
	remaining := acc.remaining()
	target := acc.target(minHolding, meanRequest, now)
	want := acc.waiterShortfall()
	refill, draw := refillShare, maxDrawShare
	if acc.isLender() {
		refill, draw = lenderRefillShare, maxLenderDrawShare
	}
	if float64(acc.free) < refill*float64(target) {
		want = max(want, min(target-acc.free, Units(draw*float64(remaining)), acc.remainingUnseenDraw(now)))
	}
	if want > 0 {
		return min(want, remaining)
	}
	surplus := acc.free - target
	if surplus > 0 && (acc.draining || acc.nearlyExhausted(remaining) || float64(surplus) > minReturnShare*float64(acc.effectiveLimit()) && acc.free > 2*target) {
		return -surplus
	}
	return 0
}

func (acc *account) nearlyExhausted(remaining Units) bool {
	return float64(remaining) < nearlyExhaustedShare*float64(acc.effectiveLimit())
}

// target returns the number of free units that this router aims to hold.
func (acc *account) target(minHolding Units, meanRequest float64, now time.Time) Units {
	if acc.draining || acc.nearlyExhausted(acc.remaining()) {
		return 0
	}
	if acc.alwaysBorrows() {
		return 0
	}
	lending := acc.lendingTarget(lenderHoldSeconds, minLenderHoldShare, now)
	return max(Units(acc.rateUpperEstimate(meanRequest, now)*holdSeconds*acc.scarcityFactor(scarcityShare)), minHolding) + Units(lending)
}

// lendingTarget returns the units to hold for so many seconds of other routers' requests. A
// lender that has lent recently holds at least minShare of the budget, scaled down when the
// budget is scarce.
func (acc *account) lendingTarget(seconds, minShare float64, now time.Time) float64 {
	n := acc.loans.rate(now) * seconds
	if acc.isLender() && n >= 1 {
		n = max(n, minShare*float64(acc.effectiveLimit()))
	}
	return n * acc.scarcityFactor(lenderScarcityShare)
}

// scarcityFactor is 1 while at least the given share of the budget is undrawn, and falls
// linearly to 0 below it.
func (acc *account) scarcityFactor(share float64) float64 {
	return min(1, float64(acc.remaining())/float64(max(acc.effectiveLimit(), 1))/share)
}

// unlockedTarget returns the part of the target that may be spent at once, and at least what the
// waiters need.
func (acc *account) unlockedTarget(target Units, routers int, now time.Time) Units {
	var waiting Units
	for _, w := range acc.waiters {
		waiting += w.need
	}
	seconds := min(unlockedSeconds, maxUnlockedFleetShare*acc.secondsUntilExhausted(routers, now))
	localUse := acc.localUse.rate(now) * seconds
	lending := acc.lendingTarget(lenderUnlockedSeconds, minLenderUnlockedShare, now)
	n := Units(min(localUse+lending, maxUnlockedShare*float64(acc.effectiveLimit())))
	return max(min(n, target), waiting)
}

// secondsUntilExhausted returns how long the undrawn units last at the current draw rate of all
// routers.
func (acc *account) secondsUntilExhausted(routers int, now time.Time) float64 {
	rate := acc.drawn.rate(now)
	if now.Sub(acc.drawn.since) < minRateWindow || acc.drawn.since.IsZero() {
		rate = max(rate, acc.localUse.rate(now)*float64(routers))
	}
	if rate <= 0 {
		return math.Inf(1)
	}
	return float64(acc.remaining()) / rate
}

// addInherited adds the units taken over from an earlier process on this host.
func (a *Accounts) addInherited(era uint64, inherited map[string]Units, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era {
		return
	}
	for org, n := range inherited {
		acc := a.byOrg[org]
		if acc == nil {
			acc = &account{pool: a.initialPool(org, 0)}
			a.byOrg[org] = acc
		}
		a.markInUse(org, acc)
		acc.free += n
		a.serveWaiters(acc, now)
	}
}

// minHolding returns the units to hold of a budget whatever its rate: a few requests of mean
// size, or none if this router's share is less than one request.
func (a *Accounts) minHolding(acc *account) Units {
	share := minHoldingShare * float64(acc.remaining()) / float64(a.routers)
	if share < a.meanRequest {
		return 0
	}
	if a.meanRequest == 0 {
		return Units(share / minHoldingRequests)
	}
	return Units(min(share, minHoldingRequests*a.meanRequest))
}
