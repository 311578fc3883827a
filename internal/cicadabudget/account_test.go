package cicadabudget_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/google/go-cmp/cmp"
)

// testRouter is a router with a simulated store. The test decides which of its transactions are
// answered.
type testRouter struct {
	t            *testing.T
	now          time.Time
	accs         *cicadabudget.Accounts
	txns         *cicadabudget.TxnManager
	pool         cicadabudget.Pool
	poolVersion  uint64
	row          cicadabudget.RouterRow
	rowVersion   uint64
	storeVersion uint64
}

func newTestRouter(t *testing.T, limit cicadabudget.Units) *testRouter {
	t.Helper()
	r := &testRouter{t: t, now: epoch, accs: cicadabudget.NewAccounts()}
	r.startProcess("first")
	r.accs.SetRouters(100)
	r.accs.Configure(org, limit, 1)
	r.commitUpdates()
	r.commitUpdates()
	return r
}

// startProcess starts a process on the router's host.
func (r *testRouter) startProcess(name string) {
	r.accs = cicadabudget.NewAccounts()
	r.txns = cicadabudget.NewTxnManager(name, r.now, r.accs)
}

func (r *testRouter) storeMillis() int64 { return 1000 + r.now.Sub(epoch).Milliseconds() }

// commitUpdates sends the planned pool updates to the store, which answers.
func (r *testRouter) commitUpdates() {
	for range 3 {
		txn := r.txns.Begin(r.accs.Plan(r.txns.InDoubt(), r.now), r.now)
		if txn == nil {
			return
		}
		row := r.txns.Row(txn)
		r.txns.ObserveStoreTime(r.storeMillis(), r.now)
		if txn.RowVersion != r.rowVersion || len(txn.Updates) > 0 && txn.Updates[0].Version != r.poolVersion {
			if r.poolVersion > 0 {
				r.accs.OverridePool(org, 0, r.pool, r.poolVersion, r.now)
			}
			r.txns.ConditionFailed(txn, r.row, r.rowVersion, r.now, r.now)
			continue
		}
		r.storeVersion++
		r.row, r.rowVersion = row, r.storeVersion
		if len(txn.Updates) > 0 {
			r.pool, r.poolVersion = txn.After[0], r.storeVersion
		}
		r.txns.Committed(txn, r.storeVersion, r.now)
	}
}

// commitWithoutReply sends the planned pool updates, but no reply arrives.
func (r *testRouter) commitWithoutReply() {
	if txn := r.txns.Begin(r.accs.Plan(r.txns.InDoubt(), r.now), r.now); txn != nil {
		r.txns.OutcomeUnknown(txn)
	}
}

// spend reserves and uses need units and reports whether they were granted. A queued request
// waits for one call of sync.
func (r *testRouter) spend(need cicadabudget.Units, sync func()) bool {
	decision, w, _ := r.accs.Reserve(org, need, r.now)
	if w != nil {
		sync()
		if !r.accs.Cancel(org, w) && w.Granted() {
			decision = cicadabudget.Granted
		}
	}
	if decision != cicadabudget.Granted {
		return false
	}
	r.accs.Settle(org, need, need, r.now)
	return true
}

// spendFor spends need units every 100 ms for a time and returns how often they were granted.
func (r *testRouter) spendFor(d time.Duration, need cicadabudget.Units, sync func()) int {
	granted := 0
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(100 * time.Millisecond) {
		if r.spend(need, sync) {
			granted++
		}
		sync()
	}
	return granted
}

func (r *testRouter) state() cicadabudget.AccountState { return r.accs.State(r.now)[0] }

// TestOutageIsServedFromHeldUnits checks that a router under constant load holds enough units
// of an ample budget to serve all requests through a store outage of 9 s.
func TestOutageIsServedFromHeldUnits(t *testing.T) {
	r := newTestRouter(t, 10_000_000)
	r.spendFor(10*time.Second, 1000, r.commitUpdates)
	got := r.spendFor(9*time.Second, 1000, r.commitWithoutReply)
	if got < 90 {
		t.Errorf("%d of 90 requests were served during the outage: %+v", got, r.state())
	}
}

// TestLockedUnitsAreReleasedLinearly checks that no locked unit is spent before the end of the
// lock period, that units are then released without jumps, and that in the end all are.
func TestLockedUnitsAreReleasedLinearly(t *testing.T) {
	r := newTestRouter(t, 10_000_000)
	r.spendFor(10*time.Second, 1000, r.commitUpdates)
	before := r.state()
	if before.Locked == 0 {
		t.Fatalf("no units are locked: %+v", before)
	}
	spendAll := func() cicadabudget.Units {
		for r.spend(1000, func() {}) {
		}
		return r.state().Free
	}
	if got := spendAll(); got < before.Locked {
		t.Errorf("%d units are free after spending all that may be spent, although %d are locked", got, before.Locked)
	}
	r.now = r.now.Add(time.Duration(r.row.LockMillis) * time.Millisecond)
	lockedLeft := spendAll()
	if lockedLeft < before.Locked*9/10 {
		t.Errorf("%d units are free right after the lock period, %d were locked", lockedLeft, before.Locked)
	}
	const steps = 14
	for range steps {
		r.now = r.now.Add(500 * time.Millisecond)
		remaining := spendAll()
		if lockedLeft-remaining > before.Locked/5 {
			t.Errorf("%d of %d locked units were released within 500 ms", lockedLeft-remaining, before.Locked)
		}
		lockedLeft = remaining
	}
	if lockedLeft >= 1000 {
		t.Errorf("%d units are still locked 7 s after the lock period", lockedLeft)
	}
}

// TestNextProcessTakesOverDormantUnits ends a process and later starts another one on the same
// host. What the first process could have spent without the store by then, plus what the second
// one takes over, must not exceed what the first one held.
func TestNextProcessTakesOverDormantUnits(t *testing.T) {
	for _, tt := range []struct {
		name string
		down time.Duration
		// Percentages of the locked units that may be taken over.
		minPercent, maxPercent cicadabudget.Units
	}{
		{"beforeTheLapse", 300 * time.Millisecond, 100, 100},
		{"soon", 2 * time.Second, 40, 90},
		{"late", 3 * time.Second, 20, 60},
		{"tooLate", 20 * time.Second, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			newLoadedRouter := func() *testRouter {
				r := newTestRouter(t, 10_000_000)
				r.spendFor(10*time.Second, 1000, r.commitUpdates)
				return r
			}
			r, other := newLoadedRouter(), newLoadedRouter()
			held := other.state().Free
			other.now = other.now.Add(tt.down)
			for other.spend(1000, func() {}) {
			}
			spendable := held - other.state().Free

			locked, drawn := r.row.Locked[org], r.pool.Drawn
			r.now = r.now.Add(tt.down)
			r.startProcess("second")
			r.accs.Configure(org, 10_000_000, 1)
			r.commitUpdates()
			s := r.state()
			takenOver := s.Free + s.Reserved - (r.pool.Drawn - drawn)
			if takenOver < locked*tt.minPercent/100 || takenOver > locked*tt.maxPercent/100 {
				t.Errorf("%d of %d locked units were taken over, want %d %% to %d %%", takenOver, locked, tt.minPercent, tt.maxPercent)
			}
			if takenOver+spendable > held {
				t.Errorf("%d units were taken over and up to %d spent before, but only %d were held", takenOver, spendable, held)
			}
		})
	}
}

// TestExhaustedBudgetIsRefusedAtOnce checks that a request is refused without waiting if a
// recent read of the pool shows that it cannot be covered, but waits if the read is old.
func TestExhaustedBudgetIsRefusedAtOnce(t *testing.T) {
	r := newTestRouter(t, 10_000)
	r.accs.ObservePool(org, 0, cicadabudget.Pool{Drawn: 9_900, Limit: 10_000, LimitVersion: 1}, r.poolVersion+1, r.now)
	decision, _, short := r.accs.Reserve(org, 9_000, r.now)
	if decision != cicadabudget.Exhausted {
		t.Errorf("decision %v for a request larger than the remaining units, want Exhausted: %+v", decision, short)
	}
	r.now = r.now.Add(10 * time.Second)
	if decision, _, _ = r.accs.Reserve(org, 9_000, r.now); decision != cicadabudget.Queued {
		t.Errorf("decision %v when the pool was read 10 s ago, want Queued", decision)
	}
}

// TestWaiterEndsWhenThePoolIsExhausted checks that a waiter ends as soon as the pool is known
// not to cover it.
func TestWaiterEndsWhenThePoolIsExhausted(t *testing.T) {
	r := newTestRouter(t, 10_000)
	r.now = r.now.Add(5 * time.Second)
	_, w, _ := r.accs.Reserve(org, 9_500, r.now)
	r.accs.ObservePool(org, 0, cicadabudget.Pool{Drawn: 9_900, Limit: 10_000, LimitVersion: 1}, r.poolVersion+1, r.now)
	select {
	case <-w.Ready():
	default:
		t.Fatal("the waiter has not ended")
	}
	if w.Granted() {
		t.Error("units were granted that were not drawn")
	}
}

// TestNearlyExhaustedBudgetIsReturned checks that a router holds no units of a budget that is
// nearly exhausted.
func TestNearlyExhaustedBudgetIsReturned(t *testing.T) {
	r := newTestRouter(t, 1_000_000)
	pool := r.pool
	pool.Drawn = 1_000_000 - 15_000
	r.poolVersion++
	r.storeVersion++
	r.pool = pool
	r.accs.ObservePool(org, 0, pool, r.poolVersion, r.now)
	for range 3 {
		r.now = r.now.Add(time.Second)
		r.commitUpdates()
	}
	if got := r.state().Free; got != 0 {
		t.Errorf("%d units are held of a budget with 1.5%% left: %+v", got, r.state())
	}
}

// TestStoppingRouterHoldsNothing checks that a stopping router returns its units when the stop
// begins and still serves the requests that arrive until it ends.
func TestStoppingRouterHoldsNothing(t *testing.T) {
	r := newTestRouter(t, 10_000_000)
	r.spendFor(10*time.Second, 1000, r.commitUpdates)
	r.accs.Drain()
	r.commitUpdates()
	if got := r.state().Free; got != 0 {
		t.Errorf("%d units are held by a stopping router", got)
	}
	if got := r.spendFor(2*time.Second, 1000, r.commitUpdates); got < 20 {
		t.Errorf("%d of 20 requests were served during the stop", got)
	}
	r.commitUpdates()
	if got := r.state().Free; got != 0 {
		t.Errorf("%d units are held after the last request", got)
	}
}

// TestTopUpKnownToAnotherRouter checks that a newer limit written to the pool by another router
// replaces the router's own.
func TestTopUpKnownToAnotherRouter(t *testing.T) {
	r := newTestRouter(t, 1_000)
	r.accs.ObservePool(org, 0, cicadabudget.Pool{Drawn: 1_000, Limit: 5_000, LimitVersion: 2}, r.poolVersion+1, r.now)
	if got := r.state().Limit; got != 5_000 {
		t.Errorf("limit %d, want 5000 of the newer configuration", got)
	}
	r.accs.Configure(org, 900, 1)
	if got := r.state().Limit; got != 5_000 {
		t.Errorf("limit %d after an older configuration was applied, want 5000", got)
	}
}

// TestRefusedRequestsDoNotRaiseTheRate guards against drawing too much after an outage in which
// many requests were refused: refused requests must not count as use.
func TestRefusedRequestsDoNotRaiseTheRate(t *testing.T) {
	r := newTestRouter(t, 10_000_000)
	r.spendFor(5*time.Second, 100, r.commitUpdates)
	rate := r.state().Rate
	for range 200 {
		r.spend(5_000_000, func() {})
	}
	if got := r.state().Rate; got > rate {
		t.Errorf("rate %d after refused requests, %d before", got, rate)
	}
}

// TestCutSoonAfterTheFirstRequests checks that a router that was idle for 10 s serves an outage
// of 9 s that begins 3 s after its first request.
func TestCutSoonAfterTheFirstRequests(t *testing.T) {
	r := newTestRouter(t, 10_000_000)
	for range 50 {
		r.now = r.now.Add(200 * time.Millisecond)
		r.commitUpdates()
	}
	r.spendFor(3*time.Second, 1000, r.commitUpdates)
	if got := r.spendFor(9*time.Second, 1000, r.commitWithoutReply); got < 90 {
		t.Errorf("%d of 90 requests were served during the outage: %+v", got, r.state())
	}
}

// TestFewerRoutersDoNotShortenALockup checks that units stay locked for as long as the row in
// force says, even if the number of routers falls afterwards and new rows would lock units for
// less time.
func TestFewerRoutersDoNotShortenALockup(t *testing.T) {
	r := newTestRouter(t, 10_000_000)
	r.txns.SetRouters(400)
	r.spendFor(10*time.Second, 1000, r.commitUpdates)
	locked, lockPeriod := r.row.Locked[org], time.Duration(r.row.LockMillis)*time.Millisecond
	r.txns.SetRouters(1)
	r.now = r.now.Add(lockPeriod / 2)
	r.txns.Refused(r.txns.Begin(r.accs.Plan(false, r.now), r.now), r.now)
	for r.spend(1000, func() {}) {
	}
	if got := r.state().Free; got < locked {
		t.Errorf("%d units are free halfway through the lock period of %v, although the row locks %d", got, lockPeriod, locked)
	}
}

// reserveConcurrently repeatedly reserves all spendable units and settles them unused, in four
// goroutines, until stop is closed.
func reserveConcurrently(accs *cicadabudget.Accounts, now time.Time, stop <-chan struct{}) (wait func()) {
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				var granted int
				for {
					decision, w, _ := accs.Reserve(org, 100, now)
					if decision != cicadabudget.Granted {
						accs.Cancel(org, w)
						break
					}
					granted++
				}
				for range granted {
					accs.Settle(org, 100, 0, now)
				}
			}
		}()
	}
	return wg.Wait
}

// TestDrawnUnitsAreDormantFromTheStart checks that concurrent requests cannot spend units that
// a new process draws and locks in the same transaction.
func TestDrawnUnitsAreDormantFromTheStart(t *testing.T) {
	for range 300 {
		r := newTestRouter(t, 1_000_000)
		stop, now := make(chan struct{}), r.now
		wait := reserveConcurrently(r.accs, now, stop)
		for range 20 {
			r.commitUpdates()
			if locked, free := r.row.Locked[org], r.state().Free; locked > free {
				t.Errorf("the row locks %d units, but only %d are free", locked, free)
			}
		}
		close(stop)
		wait()
	}
}

// TestClaimsAreTrueWhileRequestsArrive checks that concurrent requests never spend units that a
// row declares as locked before its lock period has ended.
func TestClaimsAreTrueWhileRequestsArrive(t *testing.T) {
	r := newTestRouter(t, 1_000_000)
	r.spendFor(4*time.Second, 400, r.commitUpdates)
	r.now = r.now.Add(5 * time.Second) // the lock period of the row in force has ended
	stop, now := make(chan struct{}), r.now
	wait := reserveConcurrently(r.accs, now, stop)
	for range 4_000 {
		txn := r.txns.Begin(nil, now)
		if txn == nil {
			t.Fatal("no row is due")
		}
		locked := r.txns.Row(txn).Locked[org]
		if free := r.state().Free; locked > free {
			t.Errorf("a row locks %d units, but only %d are free", locked, free)
			break
		}
		r.txns.Refused(txn, now)
	}
	close(stop)
	wait()
}

// TestReportHasTheNewestReading checks that a store reply that arrives after a newer read of
// the pool does not replace that snapshot in the report of the next era.
func TestReportHasTheNewestReading(t *testing.T) {
	a := cicadabudget.NewAccounts()
	a.Configure(org, 1000, 1)
	newest := cicadabudget.Pool{Drawn: 700, Limit: 1000, LimitVersion: 1}
	a.ObservePool(org, 0, newest, 9, epoch)
	a.OverridePool(org, 0, cicadabudget.Pool{Drawn: 200, Limit: 1000, LimitVersion: 1}, 5, epoch)
	a.EnterEra(1, false)
	want := cicadabudget.Report{Boot: "b", FollowedPools: true, Snapshots: map[string]cicadabudget.PoolSnapshot{org: {Version: 9, Pool: newest}}}
	if diff := cmp.Diff(want, a.Report("b", true, func(string) bool { return true })); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

// TestSettlementWithholdsForRoutersThatDoNotReport guards against overspending after a restore
// of the store: a router that did not report, or had not followed the pools before, may have
// drawn units that no snapshot shows. A tenth of the limit is withheld for each such router, and
// nothing if all three routers followed the pools.
func TestSettlementWithholdsForRoutersThatDoNotReport(t *testing.T) {
	report := func(version uint64, drawn cicadabudget.Units) cicadabudget.Report {
		p := cicadabudget.Pool{Drawn: drawn, Limit: 1000, LimitVersion: 1}
		return cicadabudget.Report{FollowedPools: true, Snapshots: map[string]cicadabudget.PoolSnapshot{org: {Era: 1, Version: version, Pool: p}}}
	}
	reports := []cicadabudget.Report{report(7, 300), report(9, 250), report(8, 400)}
	for _, tt := range []struct {
		name    string
		reports []cicadabudget.Report
		want    cicadabudget.Units // drawn at the start of the era
	}{
		{"all", reports, 250},
		{"one is missing", reports[:2], 250 + 100},
		{"one did not follow the pools", append([]cicadabudget.Report{{}}, reports[:2]...), 250 + 100},
		{"none is newer than the backup", []cicadabudget.Report{{FollowedPools: true}, {FollowedPools: true}, {FollowedPools: true}}, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rec := cicadabudget.Reconcile("b", tt.reports, 3)
			a := cicadabudget.NewAccounts()
			a.Configure(org, 1000, 1)
			a.EnterEra(2, false)
			a.AddBackupRow(org, cicadabudget.PoolSnapshot{Era: 1, Version: 4, Pool: cicadabudget.Pool{Drawn: 200, Limit: 1000, LimitVersion: 1}})
			a.ApplyReconciliation(2, &rec)
			if diff := cmp.Diff(tt.want, a.State(epoch)[0].Drawn); diff != "" {
				t.Errorf("drawn (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReportsOfALargeFleet checks that a router that followed many pools without drawing from
// them reports its share of those that changed since the backup, in rows of limited size.
func TestReportsOfALargeFleet(t *testing.T) {
	const pools, changed, maxPools = 73_000, 3000, 150
	a := cicadabudget.NewAccounts()
	for i := range pools {
		name := fmt.Sprintf("organisation-%05d", i)
		a.Configure(name, 1000, 1)
		a.ObservePool(name, 0, cicadabudget.Pool{Drawn: 10, Limit: 1000, LimitVersion: 1}, uint64(i+1), epoch)
	}
	for i := range changed {
		a.ObservePool(fmt.Sprintf("organisation-%05d", i), 0, cicadabudget.Pool{Drawn: 20, Limit: 1000, LimitVersion: 1}, uint64(pools+i+1), epoch)
	}
	a.EnterEra(1, false)
	for i := range pools {
		row := cicadabudget.PoolSnapshot{Version: uint64(i + 1), Pool: cicadabudget.Pool{Drawn: 10, Limit: 1000, LimitVersion: 1}}
		a.AddBackupRow(fmt.Sprintf("organisation-%05d", i), row)
	}
	all := a.Report("b", true, func(string) bool { return true })
	if diff := cmp.Diff(changed, len(all.Snapshots)); diff != "" {
		t.Errorf("pools reported (-want +got):\n%s", diff)
	}
	listed := 0
	for _, part := range all.Split(maxPools) {
		listed += len(part.Snapshots)
		row, err := json.Marshal(part)
		if err != nil {
			t.Fatal(err)
		}
		if len(row) > 64<<10 || len(part.Snapshots) > maxPools {
			t.Errorf("row of %d bytes with %d pools is too large", len(row), len(part.Snapshots))
		}
	}
	if diff := cmp.Diff(changed, listed); diff != "" {
		t.Errorf("pools in all rows (-want +got):\n%s", diff)
	}
	none := a.Report("b", true, func(string) bool { return false })
	if diff := cmp.Diff(0, len(none.Snapshots)); diff != "" {
		t.Errorf("pools reported that other routers report (-want +got):\n%s", diff)
	}
}

// TestWaitersGetAReleaseTime checks that during an outage waiters queued together get
// increasing release times and are served at these times, in order.
func TestWaitersGetAReleaseTime(t *testing.T) {
	r := newTestRouter(t, 10_000_000)
	r.spendFor(10*time.Second, 1000, r.commitUpdates)
	for r.spend(1000, func() {}) {
	}
	const need = 20_000
	var waiters []*cicadabudget.Waiter
	var previous time.Duration
	for range 4 {
		_, w, _ := r.accs.Reserve(org, need, r.now)
		releaseIn := r.accs.ReleaseIn(org, w, r.now)
		if releaseIn <= previous {
			t.Errorf("release time %v is not after %v, that of the waiter before", releaseIn, previous)
		}
		waiters, previous = append(waiters, w), releaseIn
	}
	for _, w := range waiters {
		releaseIn := r.accs.ReleaseIn(org, w, r.now)
		r.now = r.now.Add(releaseIn - 50*time.Millisecond)
		r.accs.ServeWaiters(org, r.now)
		select {
		case <-w.Ready():
			t.Error("served 50 ms before the release time")
		default:
		}
		r.now = r.now.Add(60 * time.Millisecond)
		r.accs.ServeWaiters(org, r.now)
		select {
		case <-w.Ready():
		default:
			t.Error("not served at the release time")
		}
	}
}

// TestRecentlyExhaustedBudgetIsATransientRefusal checks that a refusal is transient while other
// routers may still return units of a budget that has just become exhausted, and permanent
// afterwards.
func TestRecentlyExhaustedBudgetIsATransientRefusal(t *testing.T) {
	a := cicadabudget.NewAccounts()
	a.Configure(org, 10_000, 1)
	exhausted := cicadabudget.Pool{Drawn: 9_900, Limit: 10_000, LimitVersion: 1}
	a.ObservePool(org, 0, cicadabudget.Pool{Drawn: 5_000, Limit: 10_000, LimitVersion: 1}, 1, epoch)
	var got []bool
	for i, after := range []time.Duration{0, time.Second, 3 * time.Second} {
		now := epoch.Add(after)
		a.ObservePool(org, 0, exhausted, uint64(i+2), now)
		decision, _, short := a.Reserve(org, 1_000, now)
		if decision != cicadabudget.Exhausted {
			t.Errorf("decision %v after %v, want Exhausted", decision, after)
		}
		got = append(got, short.Transient)
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("transient after 0, 1 and 3 s (-want +got):\n%s", diff)
	}
}

// TestRequestLargerThanTheBudget checks that a request for more than the whole budget is
// refused permanently before the pool was ever read, and that no draw is planned to cover it.
func TestRequestLargerThanTheBudget(t *testing.T) {
	a := cicadabudget.NewAccounts()
	a.Configure(org, 10_000, 1)
	decision, _, short := a.Reserve(org, 10_001, epoch)
	if decision != cicadabudget.Exhausted || short.Transient {
		t.Errorf("decision %v, want a permanent Exhausted: %+v", decision, short)
	}
	for _, u := range a.Plan(false, epoch) {
		if u.Delta > 5_000 {
			t.Errorf("%d units are planned to be drawn, want at most 5000", u.Delta)
		}
	}
}

// TestHoldingsMatchDrawnUnits checks that the units a process reports as held and spent add up
// to the units it has drawn.
func TestHoldingsMatchDrawnUnits(t *testing.T) {
	r := newTestRouter(t, 10_000_000)
	r.spendFor(3*time.Second, 1000, r.commitUpdates)
	if decision, _, _ := r.accs.Reserve(org, 700, r.now); decision != cicadabudget.Granted {
		t.Fatal("the request was not granted")
	}
	all, byOrg := r.accs.Holdings(1, r.now)
	if diff := cmp.Diff(map[string]cicadabudget.Holdings{org: all}, byOrg); diff != "" {
		t.Errorf("sum and holdings by organisation differ (-sum +byOrg):\n%s", diff)
	}
	if diff := cmp.Diff(r.pool.Drawn, all.Free+all.Reserved+all.Spent); diff != "" {
		t.Errorf("drawn units differ from held and spent units (-drawn +held):\n%s", diff)
	}
	if all.Reserved != 700 || all.Spent != 30*1000 {
		t.Errorf("reserved %d, spent %d, want 700 and 30000", all.Reserved, all.Spent)
	}
}
