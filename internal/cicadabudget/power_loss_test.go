package cicadabudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
)

// The load below is that of the busiest organisation of a deployment of nine routers. Its
// requests are large, unevenly distributed and take a second each, and its budget is used up
// some seconds after all hosts have lost power.
const (
	powerLossBudget            = 4_500_000
	powerLossReservedUnits     = 17_000
	powerLossRequestsPerSecond = 6
	powerLossRequestTime       = time.Second
	powerLossStep              = 20 * time.Millisecond
	powerLossCommitInterval    = 200 * time.Millisecond
	powerLossReadInterval      = 300 * time.Millisecond // between two reads of the pool
)

// requestShares are the routers' relative shares of the organisation's requests.
var requestShares = []int{5, 4, 3, 2, 2, 1, 1, 1, 1}

type (
	// powerLossFleet is a fleet of routers that share one store.
	powerLossFleet struct {
		t           *testing.T
		now         time.Time
		version     uint64
		pool        cicadabudget.Pool
		poolVersion uint64
		hosts       []*fleetHost
		arrivals    int
		used        cicadabudget.Units // by admitted requests
		refused     int
	}

	fleetHost struct {
		fleet       *powerLossFleet
		accs        *cicadabudget.Accounts
		txns        *cicadabudget.TxnManager
		row         cicadabudget.RouterRow
		rowVersion  uint64
		requestEnds []time.Time // of the requests in progress
		waiting     []*cicadabudget.Waiter
	}
)

func newPowerLossFleet(t *testing.T) *powerLossFleet {
	t.Helper()
	f := &powerLossFleet{t: t, now: epoch}
	for range requestShares {
		f.hosts = append(f.hosts, &fleetHost{fleet: f})
	}
	f.start("first")
	return f
}

// start starts a process on every host.
func (f *powerLossFleet) start(name string) {
	for i, h := range f.hosts {
		h.accs = cicadabudget.NewAccounts()
		h.txns = cicadabudget.NewTxnManager(fmt.Sprint(name, i), f.now, h.accs)
		h.txns.SetRouters(len(f.hosts))
		h.accs.SetRouters(len(f.hosts))
		h.accs.Configure(org, powerLossBudget, 1)
		h.requestEnds, h.waiting = nil, nil
	}
}

// simulate sends requests at a constant rate for a time.
func (f *powerLossFleet) simulate(d time.Duration) {
	every := time.Second / powerLossRequestsPerSecond
	next := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(powerLossStep) {
		for ; !next.After(f.now); next = next.Add(every) {
			f.receiveRequest()
		}
		for i, h := range f.hosts {
			h.advance(i)
		}
	}
}

// receiveRequest sends the next request to a router, according to requestShares.
func (f *powerLossFleet) receiveRequest() {
	sum := 0
	for _, n := range requestShares {
		sum += n
	}
	at := f.arrivals * 7 % sum
	f.arrivals++
	for i, n := range requestShares {
		if at < n {
			f.hosts[i].receiveRequest()
			return
		}
		at -= n
	}
}

func (h *fleetHost) receiveRequest() {
	decision, w, _ := h.accs.Reserve(org, powerLossReservedUnits, h.fleet.now)
	switch decision {
	case cicadabudget.Granted:
		h.admit()
	case cicadabudget.Queued:
		h.waiting = append(h.waiting, w)
	case cicadabudget.Exhausted:
		h.fleet.refused++
	}
}

func (h *fleetHost) admit() {
	h.fleet.used += powerLossReservedUnits
	h.requestEnds = append(h.requestEnds, h.fleet.now.Add(powerLossRequestTime))
}

// advance runs what is due at a host. Hosts read and write the store at different times.
func (h *fleetHost) advance(i int) {
	now := h.fleet.now
	for len(h.requestEnds) > 0 && !h.requestEnds[0].After(now) {
		h.accs.Settle(org, powerLossReservedUnits, powerLossReservedUnits, now)
		h.requestEnds = h.requestEnds[1:]
	}
	since := now.Sub(epoch) + time.Duration(i)*powerLossStep
	if since%powerLossReadInterval < powerLossStep && h.fleet.poolVersion > 0 {
		h.accs.ObservePool(org, 0, h.fleet.pool, h.fleet.poolVersion, now)
		h.accs.ConfirmPools(0, now)
	}
	if since%powerLossCommitInterval < powerLossStep || len(h.waiting) > 0 {
		h.commitUpdates()
	}
	h.accs.ServeWaiters(org, now)
	h.collectWaiters()
}

// collectWaiters starts the requests whose waiters have ended.
func (h *fleetHost) collectWaiters() {
	var remaining []*cicadabudget.Waiter
	for _, w := range h.waiting {
		select {
		case <-w.Ready():
			if w.Granted() {
				h.admit()
			} else {
				h.fleet.refused++
			}
		default:
			remaining = append(remaining, w)
		}
	}
	h.waiting = remaining
}

func (h *fleetHost) commitUpdates() {
	f := h.fleet
	storeMillis := 1000 + f.now.Sub(epoch).Milliseconds()
	for range 3 {
		h.txns.ObserveStoreTime(storeMillis, f.now)
		txn := h.txns.Begin(h.accs.Plan(h.txns.InDoubt(), f.now), f.now)
		if txn == nil {
			return
		}
		if txn.RowVersion != h.rowVersion || len(txn.Updates) > 0 && txn.Updates[0].Version != f.poolVersion {
			if f.poolVersion > 0 {
				h.accs.OverridePool(org, 0, f.pool, f.poolVersion, f.now)
			}
			h.txns.ConditionFailed(txn, h.row, h.rowVersion, f.now, f.now)
			continue
		}
		f.version++
		h.row, h.rowVersion = h.txns.Row(txn), f.version
		if len(txn.Updates) > 0 {
			f.pool, f.poolVersion = txn.After[0], f.version
		}
		h.txns.Committed(txn, f.version, f.now)
	}
}

// powerLoss is a power loss of all hosts: the time since the start or the previous loss, and
// how long no process runs.
type powerLoss struct{ after, down time.Duration }

// checkPowerLosses simulates power losses, then more requests than the budget covers, and
// checks that the budget is used except for the last 3 %, within which requests need not be
// served.
func checkPowerLosses(t *testing.T, losses ...powerLoss) {
	t.Helper()
	f := newPowerLossFleet(t)
	for i, loss := range losses {
		f.simulate(loss.after)
		f.now = f.now.Add(loss.down)
		f.start(fmt.Sprint("after loss ", i))
	}
	f.simulate(40 * time.Second)
	if f.used < powerLossBudget*97/100-powerLossReservedUnits {
		t.Errorf("%d units of %d were used, %d requests were refused", f.used, powerLossBudget, f.refused)
	}
	if f.used > powerLossBudget {
		t.Errorf("%d units were used of a budget of %d", f.used, powerLossBudget)
	}
}

// TestBudgetIsServedAfterPowerLoss guards against an organisation being refused for the rest of
// the day after all hosts lost power when its budget was nearly used up.
func TestBudgetIsServedAfterPowerLoss(t *testing.T) {
	checkPowerLosses(t, powerLoss{34 * time.Second, 700 * time.Millisecond})
}

// TestBudgetIsServedAfterEarlierPowerLosses tests power losses at the times at which routers
// hold the most units.
func TestBudgetIsServedAfterEarlierPowerLosses(t *testing.T) {
	for name, losses := range map[string][]powerLoss{
		"midway":    {{24 * time.Second, time.Second}},
		"slowStart": {{30 * time.Second, 1500 * time.Millisecond}},
		"twice":     {{24 * time.Second, time.Second}, {8 * time.Second, time.Second}},
	} {
		t.Run(name, func(t *testing.T) { checkPowerLosses(t, losses...) })
	}
}

// lost returns the units that have been drawn and that no process holds or has used.
func (f *powerLossFleet) lost() cicadabudget.Units {
	lost := f.pool.Drawn - f.used
	for _, h := range f.hosts {
		for _, s := range h.accs.State(f.now) {
			lost -= s.Free
		}
	}
	return lost
}

func TestEachOfSeveralPowerLossesLosesLockedUnits(t *testing.T) {
	const mostLost = powerLossBudget * 5 / 100 // what requests may use at once
	f := newPowerLossFleet(t)
	f.simulate(10 * time.Second)
	var before cicadabudget.Units
	for i, down := range []time.Duration{2600 * time.Millisecond, 2200 * time.Millisecond, 2600 * time.Millisecond} {
		f.now = f.now.Add(down)
		f.start(fmt.Sprint("after loss ", i))
		f.simulate(8 * time.Second)
		lost := f.lost() - before
		if before += lost; i > 0 && lost > mostLost {
			t.Errorf("power loss %d loses %d units, want at most %d", i+1, lost, mostLost)
		}
	}
	if f.used > powerLossBudget {
		t.Errorf("%d units were used of a budget of %d", f.used, powerLossBudget)
	}
}

func TestUnitsStayLockedLongerAfterAPlannedStop(t *testing.T) {
	const short, long = time.Second, 3 * time.Second
	f := newPowerLossFleet(t)
	lockPeriod := func() time.Duration { return time.Duration(f.hosts[0].row.LockMillis) * time.Millisecond }
	f.simulate(3 * time.Second)
	if p := lockPeriod(); p == 0 || p > short {
		t.Errorf("first process locks units for %v, want at most %v", p, short)
	}
	f.start("after a crash")
	f.simulate(3 * time.Second)
	if p := lockPeriod(); p < long {
		t.Errorf("process after a crash locks units for %v, want %v or more", p, long)
	}
	f.now = f.now.Add(time.Hour)
	f.simulate(time.Second)
	if p := lockPeriod(); p == 0 || p > short {
		t.Errorf("an hour after a crash units are locked for %v, want at most %v", p, short)
	}
	for _, h := range f.hosts {
		h.accs.Drain()
		h.commitUpdates()
	}
	f.start("after a planned stop")
	f.simulate(3 * time.Second)
	if p := lockPeriod(); p == 0 || p > short {
		t.Errorf("process after a planned stop locks units for %v, want at most %v", p, short)
	}
}
