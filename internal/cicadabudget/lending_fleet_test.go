package cicadabudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
)

// The load below is that of one organisation of a large deployment: the requests of each second
// use about a fortieth of its budget and are spread over all routers, so that each router
// receives one every several seconds.
const (
	fleetReservedUnits     = 17_000
	fleetUsedUnits         = 15_000 // units of the reservation that a completed request used
	fleetBudget            = 1000 * fleetReservedUnits
	fleetRequestsPerSecond = 25 // at all routers together
	fleetRequestTime       = time.Second
	fleetStep              = 20 * time.Millisecond
	// fleetWaitTimeout is how long a request waits for units before it is refused.
	fleetWaitTimeout = time.Second
	// fleetLossShare is the share of a budget that may become unavailable with each power loss
	// of one second. Requests need not be served from it.
	fleetLossShare = 0.03
)

type (
	// lendingFleet is a fleet in which the first router lends to all others.
	lendingFleet struct {
		t           *testing.T
		rnd         *rand.Rand
		now         time.Time
		storeDown   bool
		version     uint64
		pool        cicadabudget.Pool
		poolVersion uint64
		routers     []*fleetRouter
		boots       int
		powerLosses int

		used            cicadabudget.Units
		served, refused int // since the last call of reset
	}

	fleetRouter struct {
		fleet       *lendingFleet
		index       int
		accs        *cicadabudget.Accounts
		txns        *cicadabudget.TxnManager
		row         cicadabudget.RouterRow
		rowVersion  uint64
		requestEnds []time.Time
		waiting     []fleetRequest
		lastSyncAt  time.Time
	}

	fleetRequest struct {
		waiter   *cicadabudget.Waiter
		deadline time.Time
	}
)

func newLendingFleet(t *testing.T, routers int) *lendingFleet {
	t.Helper()
	f := &lendingFleet{t: t, rnd: rand.New(rand.NewPCG(1, uint64(routers))), now: epoch}
	for i := range routers {
		f.routers = append(f.routers, &fleetRouter{fleet: f, index: i})
	}
	f.start()
	return f
}

// start starts a process on every host.
func (f *lendingFleet) start() {
	for _, r := range f.routers {
		r.start()
	}
}

func (r *fleetRouter) start() {
	f := r.fleet
	f.boots++
	r.accs = cicadabudget.NewAccounts()
	r.txns = cicadabudget.NewTxnManager(fmt.Sprint("boot", f.boots), f.now, r.accs)
	r.txns.SetRouters(len(f.routers))
	r.accs.SetRouters(len(f.routers))
	r.accs.Configure(org, fleetBudget, 1)
	r.accs.SetBorrowing(func(string) bool { return r.index > 0 })
	r.requestEnds, r.waiting = nil, nil
	r.txns.NotePredecessorRow(&r.row)
}

// losePower ends all processes and starts new ones a second later.
func (f *lendingFleet) losePower() {
	f.now = f.now.Add(time.Second)
	f.powerLosses++
	f.start()
}

func (f *lendingFleet) reset() { f.served, f.refused = 0, 0 }

// simulate sends requests to random routers for a time.
func (f *lendingFleet) simulate(d time.Duration) {
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for due += fleetRequestsPerSecond * fleetStep.Seconds(); due >= 1; due-- {
			f.routers[f.rnd.IntN(len(f.routers))].receiveRequest()
		}
		for _, r := range f.routers {
			r.advance()
		}
	}
	if f.used > fleetBudget {
		f.t.Errorf("%d units were used of a budget of %d", f.used, fleetBudget)
	}
}

func (r *fleetRouter) receiveRequest() {
	f := r.fleet
	decision, w, _ := r.accs.Reserve(org, fleetReservedUnits, f.now)
	switch decision {
	case cicadabudget.Granted:
		r.admit()
	case cicadabudget.Queued:
		r.waiting = append(r.waiting, fleetRequest{w, f.now.Add(fleetWaitTimeout)})
	case cicadabudget.Exhausted:
		f.refused++
	}
}

func (r *fleetRouter) admit() {
	r.fleet.served++
	r.fleet.used += fleetUsedUnits
	r.requestEnds = append(r.requestEnds, r.fleet.now.Add(fleetRequestTime))
}

func (r *fleetRouter) advance() {
	f := r.fleet
	for len(r.requestEnds) > 0 && !r.requestEnds[0].After(f.now) {
		r.accs.Settle(org, fleetReservedUnits, fleetUsedUnits, f.now)
		r.requestEnds = r.requestEnds[1:]
	}
	if r.index == 0 || f.now.Sub(r.lastSyncAt) >= time.Second {
		if !f.storeDown && f.poolVersion > 0 {
			r.accs.ObservePool(org, 0, f.pool, f.poolVersion, f.now)
			r.accs.ConfirmPools(0, f.now)
		}
	}
	if f.now.Sub(r.lastSyncAt) >= 200*time.Millisecond || r.accs.HasWaiters(false) {
		r.lastSyncAt = f.now
		r.commitUpdates()
	}
	if r.index > 0 {
		lender := f.routers[0]
		askLender(lender.accs, lender.commitUpdates, r.accs, fmt.Sprint(r.index), f.now)
	}
	r.accs.ServeWaiters(org, f.now)
	var remaining []fleetRequest
	for _, req := range r.waiting {
		select {
		case <-req.waiter.Ready():
			if req.waiter.Granted() {
				r.admit()
			} else {
				f.refused++
			}
		default:
			if f.now.After(req.deadline) && r.accs.Cancel(org, req.waiter) {
				f.refused++
			} else {
				remaining = append(remaining, req)
			}
		}
	}
	r.waiting = remaining
}

func (r *fleetRouter) commitUpdates() {
	f := r.fleet
	storeMillis := 1000 + f.now.Sub(epoch).Milliseconds()
	for range 3 {
		if !f.storeDown {
			r.txns.ObserveStoreTime(storeMillis, f.now)
		}
		txn := r.txns.Begin(r.accs.Plan(r.txns.InDoubt() || f.storeDown, f.now), f.now)
		switch {
		case txn == nil:
			return
		case f.storeDown:
			r.txns.Refused(txn, f.now)
			return
		case txn.RowVersion != r.rowVersion || len(txn.Updates) > 0 && txn.Updates[0].Version != f.poolVersion:
			if f.poolVersion > 0 {
				r.accs.OverridePool(org, 0, f.pool, f.poolVersion, f.now)
			}
			r.txns.ConditionFailed(txn, r.row, r.rowVersion, f.now, f.now)
			continue
		}
		f.version++
		r.row, r.rowVersion = r.txns.Row(txn), f.version
		if len(txn.Updates) > 0 {
			f.pool, f.poolVersion = txn.After[0], f.version
		}
		r.txns.Committed(txn, f.version, f.now)
	}
}

// exhaustBudget sends requests until the budget is used up, and checks that all of it was used
// except for the share that may be lost.
func (f *lendingFleet) exhaustBudget() {
	f.t.Helper()
	f.simulate(80 * time.Second)
	if got, want := float64(f.used)/fleetBudget, 1-fleetLossShare*float64(max(f.powerLosses, 1)); got < want {
		f.t.Errorf("a share of %.3f of the budget was used, want at least %.2f", got, want)
	}
}

// lendingFleetSizes are the fleet sizes tested, all of them large enough for routers to borrow.
var lendingFleetSizes = []int{23, 81, 295}

func forLendingFleets(t *testing.T, simulate func(f *lendingFleet)) {
	t.Helper()
	for _, n := range lendingFleetSizes {
		t.Run(fmt.Sprint(n, "routers"), func(t *testing.T) { simulate(newLendingFleet(t, n)) })
	}
}

// TestLendingFleetUsesTheWholeBudget guards against units stranded at routers that receive no
// more requests, when an organisation's requests are spread over many routers.
func TestLendingFleetUsesTheWholeBudget(t *testing.T) {
	forLendingFleets(t, func(f *lendingFleet) { f.exhaustBudget() })
}

// TestLendingFleetAfterPowerLoss checks the use of the budget when all routers lose power while
// the store is reachable.
func TestLendingFleetAfterPowerLoss(t *testing.T) {
	forLendingFleets(t, func(f *lendingFleet) {
		f.simulate(20 * time.Second)
		f.losePower()
		f.exhaustBudget()
	})
}

// TestLendingFleetAfterTwoPowerLosses checks the use of the budget after two power losses 8 s
// apart.
func TestLendingFleetAfterTwoPowerLosses(t *testing.T) {
	forLendingFleets(t, func(f *lendingFleet) {
		f.simulate(10 * time.Second)
		f.losePower()
		f.simulate(8 * time.Second)
		f.losePower()
		f.exhaustBudget()
	})
}

// TestLendingFleetAfterPowerLossInAnOutage checks the use of the budget when all routers lose
// power 3 s after the store became unreachable, and restart while it still is.
func TestLendingFleetAfterPowerLossInAnOutage(t *testing.T) {
	forLendingFleets(t, func(f *lendingFleet) {
		f.simulate(15 * time.Second)
		f.storeDown = true
		f.simulate(3 * time.Second)
		f.losePower()
		f.simulate(2 * time.Second)
		f.storeDown = false
		f.exhaustBudget()
	})
}

// checkOutage makes the store unreachable for 9 s, as long as a long outage, and checks that at
// least the given share of the requests is served meanwhile.
func (f *lendingFleet) checkOutage(share float64) {
	f.t.Helper()
	f.storeDown = true
	f.reset()
	f.simulate(9 * time.Second)
	if all := f.served + f.refused; float64(f.served) < share*float64(all) {
		f.t.Errorf("%d of %d requests were served during the outage", f.served, all)
	}
	f.storeDown = false
}

// TestLendingFleetServesThroughAnOutage checks that 90 % of the requests are served during a
// long outage.
func TestLendingFleetServesThroughAnOutage(t *testing.T) {
	forLendingFleets(t, func(f *lendingFleet) {
		f.simulate(12 * time.Second)
		f.checkOutage(0.9)
		f.exhaustBudget()
	})
}

// TestLendingFleetHoldingsCoverAnOutage checks that all routers together hold about the units
// needed for a long outage and no more, since holdings are lost with the routers that hold
// them.
func TestLendingFleetHoldingsCoverAnOutage(t *testing.T) {
	const outageSeconds = 9 // duration of a long outage
	forLendingFleets(t, func(f *lendingFleet) {
		f.simulate(15 * time.Second)
		var held cicadabudget.Units
		for _, r := range f.routers {
			held += r.accs.State(f.now)[0].Free
		}
		if needed := cicadabudget.Units(outageSeconds * fleetRequestsPerSecond * fleetReservedUnits); held > needed || held < needed*3/4 {
			f.t.Errorf("the routers hold %d units, an outage needs %d", held, needed)
		}
	})
}

// TestLendingFleetShrinksByHalf removes half of the routers permanently and checks that no more
// than fleetLossShare of the budget is lost with them.
func TestLendingFleetShrinksByHalf(t *testing.T) {
	forLendingFleets(t, func(f *lendingFleet) {
		f.simulate(15 * time.Second)
		f.routers = f.routers[:len(f.routers)/2]
		f.exhaustBudget()
	})
}

// TestLendingFleetInAnOutageAtTheStart checks that a quarter of the requests are served in an
// outage of 9 s that begins 200 ms after the first request, when no rate of use is known yet.
func TestLendingFleetInAnOutageAtTheStart(t *testing.T) {
	forLendingFleets(t, func(f *lendingFleet) {
		f.simulate(200 * time.Millisecond)
		f.checkOutage(0.25)
	})
}
