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

// rig is one router before a store that answers as told.
type rig struct {
	t      *testing.T
	now    time.Time
	accs   *cicadabudget.Accounts
	book   *cicadabudget.TxnManager
	pool   cicadabudget.Pool
	poolAt uint64
	own    cicadabudget.RouterRow
	ownAt  uint64
	store  uint64
}

func newRig(t *testing.T, limit cicadabudget.Units) *rig {
	t.Helper()
	r := &rig{t: t, now: epoch, accs: cicadabudget.NewAccounts()}
	r.boot("first")
	r.accs.SetRouters(100)
	r.accs.Configure(org, limit, 1)
	r.balance()
	r.balance()
	return r
}

// boot starts a process on the same host.
func (r *rig) boot(name string) {
	r.accs = cicadabudget.NewAccounts()
	r.book = cicadabudget.NewTxnManager(name, r.now, r.accs)
}

func (r *rig) clock() int64 { return 1000 + r.now.Sub(epoch).Milliseconds() }

// balance lets the store take what is to be moved.
func (r *rig) balance() {
	for range 3 {
		txn := r.book.Begin(r.accs.Plan(r.book.InDoubt(), r.now), r.now)
		if txn == nil {
			return
		}
		row := r.book.Row(txn)
		r.book.ObserveStoreTime(r.clock(), r.now)
		if txn.RowVersion != r.ownAt || len(txn.Updates) > 0 && txn.Updates[0].Version != r.poolAt {
			if r.poolAt > 0 {
				r.accs.OverridePool(org, 0, r.pool, r.poolAt, r.now)
			}
			r.book.ConditionFailed(txn, r.own, r.ownAt, r.now, r.now)
			continue
		}
		r.store++
		r.own, r.ownAt = row, r.store
		if len(txn.Updates) > 0 {
			r.pool, r.poolAt = txn.After[0], r.store
		}
		r.book.Committed(txn, r.store, r.now)
	}
}

// lose sends what is to be moved and hears nothing.
func (r *rig) lose() {
	if txn := r.book.Begin(r.accs.Plan(r.book.InDoubt(), r.now), r.now); txn != nil {
		r.book.OutcomeUnknown(txn)
	}
}

// spend reserves and uses need, and tells whether that was granted. A request
// that has to wait for the store does so for one tick.
func (r *rig) spend(need cicadabudget.Units, tick func()) bool {
	verdict, w, _ := r.accs.Reserve(org, need, r.now)
	if w != nil {
		tick()
		if !r.accs.Cancel(org, w) && w.Granted() {
			verdict = cicadabudget.Granted
		}
	}
	if verdict != cicadabudget.Granted {
		return false
	}
	r.accs.Settle(org, need, need, r.now)
	return true
}

// spendFor spends need each tenth of a second and returns how often that was
// granted.
func (r *rig) spendFor(d time.Duration, need cicadabudget.Units, tick func()) int {
	granted := 0
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(100 * time.Millisecond) {
		if r.spend(need, tick) {
			granted++
		}
		tick()
	}
	return granted
}

func (r *rig) state() cicadabudget.AccountState { return r.accs.State(r.now)[0] }

// TestCutIsServedFromUnitsHeld plays a steady load through a cut of nine
// seconds, at a router that holds what it needs while plenty is left.
func TestCutIsServedFromUnitsHeld(t *testing.T) {
	r := newRig(t, 10_000_000)
	r.spendFor(10*time.Second, 1000, r.balance)
	got := r.spendFor(9*time.Second, 1000, r.lose)
	if got < 90 {
		t.Errorf("%d of 90 requests were served during the cut: %+v", got, r.state())
	}
}

// TestDormantUnitsAreReleasedEvenlyAfterTheLapse checks both sides of the claim:
// nothing of it is spent before the lapse, what is released after it has no jumps,
// and in the end all of it is there.
func TestDormantUnitsAreReleasedEvenlyAfterTheLapse(t *testing.T) {
	r := newRig(t, 10_000_000)
	r.spendFor(10*time.Second, 1000, r.balance)
	before := r.state()
	if before.Locked == 0 {
		t.Fatalf("nothing is dormant: %+v", before)
	}
	spendAll := func() cicadabudget.Units {
		for r.spend(1000, func() {}) {
		}
		return r.state().Free
	}
	if got := spendAll(); got < before.Locked {
		t.Errorf("%d units free, %d of them were claimed as dormant", got, before.Locked)
	}
	r.now = r.now.Add(time.Duration(r.own.LockMillis) * time.Millisecond)
	left := spendAll()
	if left < before.Locked*9/10 {
		t.Errorf("%d units free right after the lapse, %d were dormant", left, before.Locked)
	}
	const steps = 10
	for range steps {
		r.now = r.now.Add(500 * time.Millisecond)
		now := spendAll()
		if left-now > before.Locked/5 {
			t.Errorf("%d of %d units were released in half a second", left-now, before.Locked)
		}
		left = now
	}
	if left >= 1000 {
		t.Errorf("%d units are still held back five seconds after the claim lapsed", left)
	}
}

// TestNextProcessTakesOverDormantUnits ends a process and starts another one on
// the same host some time later. What the first one could have spent until then,
// out of reach of the store, and what the second one takes over are never more
// than what the first one held.
func TestNextProcessTakesOverDormantUnits(t *testing.T) {
	for _, tt := range []struct {
		name string
		down time.Duration
		// least and most of the dormant units are taken over, in percent.
		least, most cicadabudget.Units
	}{
		{"beforeTheLapse", 300 * time.Millisecond, 100, 100},
		{"soon", 2 * time.Second, 40, 90},
		{"late", 3 * time.Second, 20, 60},
		{"tooLate", 20 * time.Second, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ended := func() *rig {
				r := newRig(t, 10_000_000)
				r.spendFor(10*time.Second, 1000, r.balance)
				return r
			}
			r, twin := ended(), ended()
			held := twin.state().Free
			twin.now = twin.now.Add(tt.down)
			for twin.spend(1000, func() {}) {
			}
			spendable := held - twin.state().Free

			dormant, drawn := r.own.Locked[org], r.pool.Drawn
			r.now = r.now.Add(tt.down)
			r.boot("second")
			r.accs.Configure(org, 10_000_000, 1)
			r.balance()
			s := r.state()
			taken := s.Free + s.Reserved - (r.pool.Drawn - drawn)
			if taken < dormant*tt.least/100 || taken > dormant*tt.most/100 {
				t.Errorf("%d of %d dormant units were taken over, want %d to %d in a hundred", taken, dormant, tt.least, tt.most)
			}
			if taken+spendable > held {
				t.Errorf("%d units taken over, up to %d spent before, of %d held", taken, spendable, held)
			}
		})
	}
}

// TestDryBudgetIsRefusedAtOnce checks that a request that a fresh reading rules
// out does not wait, and that one that the pool covers does.
func TestDryBudgetIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, 10_000)
	r.accs.ObservePool(org, 0, cicadabudget.Pool{Drawn: 9_900, Limit: 10_000, LimitVersion: 1}, r.poolAt+1, r.now)
	verdict, _, short := r.accs.Reserve(org, 9_000, r.now)
	if verdict != cicadabudget.Exhausted {
		t.Errorf("verdict %v of a request over what is left: %+v", verdict, short)
	}
	r.now = r.now.Add(10 * time.Second)
	if verdict, _, _ = r.accs.Reserve(org, 9_000, r.now); verdict != cicadabudget.Queued {
		t.Errorf("verdict %v on a reading that is ten seconds old", verdict)
	}
}

// TestWaitersAreToldThatThePoolIsDry checks that a wait ends as soon as the pool
// is known not to cover it.
func TestWaitersAreToldThatThePoolIsDry(t *testing.T) {
	r := newRig(t, 10_000)
	r.now = r.now.Add(5 * time.Second)
	_, w, _ := r.accs.Reserve(org, 9_500, r.now)
	r.accs.ObservePool(org, 0, cicadabudget.Pool{Drawn: 9_900, Limit: 10_000, LimitVersion: 1}, r.poolAt+1, r.now)
	select {
	case <-w.Ready():
	default:
		t.Fatal("the wait goes on")
	}
	if w.Granted() {
		t.Error("units were granted that nobody drew")
	}
}

// TestNearlyDryBudgetIsGivenBack checks that a router holds nothing of a budget
// that is about to bind.
func TestNearlyDryBudgetIsGivenBack(t *testing.T) {
	r := newRig(t, 1_000_000)
	others := r.pool
	others.Drawn = 1_000_000 - 15_000
	r.poolAt++
	r.store++
	r.pool = others
	r.accs.ObservePool(org, 0, others, r.poolAt, r.now)
	for range 3 {
		r.now = r.now.Add(time.Second)
		r.balance()
	}
	if got := r.state().Free; got != 0 {
		t.Errorf("%d units are held of a budget with 1.5%% left: %+v", got, r.state())
	}
}

// TestStoppingRouterHoldsNothing checks that a router gives back what it holds
// from the beginning of its stop, and still serves what arrives until its end.
func TestStoppingRouterHoldsNothing(t *testing.T) {
	r := newRig(t, 10_000_000)
	r.spendFor(10*time.Second, 1000, r.balance)
	r.accs.Drain()
	r.balance()
	if got := r.state().Free; got != 0 {
		t.Errorf("%d units are held by a router that stops", got)
	}
	if got := r.spendFor(2*time.Second, 1000, r.balance); got < 20 {
		t.Errorf("%d of 20 requests were served during the stop", got)
	}
	r.balance()
	if got := r.state().Free; got != 0 {
		t.Errorf("%d units are held after the last request", got)
	}
}

// TestTopUpKnownToAnotherRouter checks that the newest bound goes with the pool.
func TestTopUpKnownToAnotherRouter(t *testing.T) {
	r := newRig(t, 1_000)
	r.accs.ObservePool(org, 0, cicadabudget.Pool{Drawn: 1_000, Limit: 5_000, LimitVersion: 2}, r.poolAt+1, r.now)
	if got := r.state().Limit; got != 5_000 {
		t.Errorf("limit %d, want that of the newer configuration", got)
	}
	r.accs.Configure(org, 900, 1)
	if got := r.state().Limit; got != 5_000 {
		t.Errorf("limit %d after an older configuration", got)
	}
}

// TestRefusedRequestsDoNotRaiseTheRate plays an outage in which many requests
// are refused: what is drawn after it follows what was used.
func TestRefusedRequestsDoNotRaiseTheRate(t *testing.T) {
	r := newRig(t, 10_000_000)
	r.spendFor(5*time.Second, 100, r.balance)
	rate := r.state().Rate
	for range 200 {
		r.spend(5_000_000, func() {})
	}
	if got := r.state().Rate; got > rate {
		t.Errorf("rate %d after refusals, %d before", got, rate)
	}
}

// TestCutSoonAfterTheFirstRequests starts a router long before its traffic, and
// cuts it off three seconds after the first request.
func TestCutSoonAfterTheFirstRequests(t *testing.T) {
	r := newRig(t, 10_000_000)
	for range 50 {
		r.now = r.now.Add(200 * time.Millisecond)
		r.balance()
	}
	r.spendFor(3*time.Second, 1000, r.balance)
	if got := r.spendFor(9*time.Second, 1000, r.lose); got < 90 {
		t.Errorf("%d of 90 requests were served during the cut: %+v", got, r.state())
	}
}

// TestFewerRoutersDoNotShortenAClaim writes a row for many routers and learns
// that there are few: what the row claims is kept for as long as the row says.
func TestFewerRoutersDoNotShortenAClaim(t *testing.T) {
	r := newRig(t, 10_000_000)
	r.book.SetRouters(400)
	r.spendFor(10*time.Second, 1000, r.balance)
	dormant, lapse := r.own.Locked[org], time.Duration(r.own.LockMillis)*time.Millisecond
	r.book.SetRouters(1)
	r.now = r.now.Add(lapse / 2)
	r.book.Refused(r.book.Begin(r.accs.Plan(false, r.now), r.now), r.now)
	for r.spend(1000, func() {}) {
	}
	if got := r.state().Free; got < dormant {
		t.Errorf("%d units free half a lapse of %v after the row, which claims %d", got, lapse, dormant)
	}
}

// hammer takes all usable units and settles them unused, until stop.
func hammer(a *cicadabudget.Accounts, now time.Time, stop <-chan struct{}) (wait func()) {
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
				var taken int
				for {
					verdict, wait, _ := a.Reserve(org, 100, now)
					if verdict != cicadabudget.Granted {
						a.Cancel(org, wait)
						break
					}
					taken++
				}
				for range taken {
					a.Settle(org, 100, 0, now)
				}
			}
		}()
	}
	return wg.Wait
}

// TestDrawnUnitsAreDormantFromTheStart has requests arrive beside the draws of a
// new process: what its row claims is there.
func TestDrawnUnitsAreDormantFromTheStart(t *testing.T) {
	for range 300 {
		r := newRig(t, 1_000_000)
		stop, now := make(chan struct{}), r.now
		wait := hammer(r.accs, now, stop)
		for range 20 {
			r.balance()
			if claimed, free := r.own.Locked[org], r.state().Free; claimed > free {
				t.Errorf("the row claims %d units as dormant, %d are there", claimed, free)
			}
		}
		close(stop)
		wait()
	}
}

// TestClaimsAreTrueWhileRequestsArrive takes and settles units beside a book that
// declares some of them dormant: what a row claims is never spent before the
// claim has lapsed.
func TestClaimsAreTrueWhileRequestsArrive(t *testing.T) {
	r := newRig(t, 1_000_000)
	r.spendFor(4*time.Second, 400, r.balance)
	r.now = r.now.Add(5 * time.Second) // the claims in force have lapsed
	stop, now := make(chan struct{}), r.now
	wait := hammer(r.accs, now, stop)
	for range 4_000 {
		txn := r.book.Begin(nil, now)
		if txn == nil {
			t.Fatal("no row is due")
		}
		claimed := r.book.Row(txn).Locked[org]
		if free := r.state().Free; claimed > free {
			t.Errorf("a row claims %d units as dormant, %d are there", claimed, free)
			break
		}
		r.book.Refused(txn, now)
	}
	close(stop)
	wait()
}

// TestReportHasTheNewestReading has an answer of the store that was delayed come
// after a newer reading of the pool: the report of the next era has the newer one.
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

// TestSettlementWithholdsForRoutersThatDoNotReport settles an era with all of three
// routers, and with two of them.
func TestSettlementWithholdsForRoutersThatDoNotReport(t *testing.T) {
	view := func(version uint64, drawn cicadabudget.Units) cicadabudget.Report {
		p := cicadabudget.Pool{Drawn: drawn, Limit: 1000, LimitVersion: 1}
		return cicadabudget.Report{FollowedPools: true, Snapshots: map[string]cicadabudget.PoolSnapshot{org: {Era: 1, Version: version, Pool: p}}}
	}
	reports := []cicadabudget.Report{view(7, 300), view(9, 250), view(8, 400)}
	for _, tt := range []struct {
		name    string
		reports []cicadabudget.Report
		want    cicadabudget.Units // drawn as the era begins
	}{
		{"all", reports, 250},
		{"one is missing", reports[:2], 250 + 100},
		{"one lived through nothing", append([]cicadabudget.Report{{}}, reports[:2]...), 250 + 100},
		{"none knows more than the copy", []cicadabudget.Report{{FollowedPools: true}, {FollowedPools: true}, {FollowedPools: true}}, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := cicadabudget.Reconcile("b", tt.reports, 3)
			a := cicadabudget.NewAccounts()
			a.Configure(org, 1000, 1)
			a.EnterEra(2, false)
			a.AddBackupRow(org, cicadabudget.PoolSnapshot{Era: 1, Version: 4, Pool: cicadabudget.Pool{Drawn: 200, Limit: 1000, LimitVersion: 1}})
			a.ApplyReconciliation(2, &s)
			if diff := cmp.Diff(tt.want, a.State(epoch)[0].Drawn); diff != "" {
				t.Errorf("drawn (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReportsOfALargeFleet has a router follow many pools that it did not draw from:
// it reports its share of those that changed since the copy, in rows of bounded size.
func TestReportsOfALargeFleet(t *testing.T) {
	const pools, changed, most = 73_000, 3000, 150
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
		v := cicadabudget.PoolSnapshot{Version: uint64(i + 1), Pool: cicadabudget.Pool{Drawn: 10, Limit: 1000, LimitVersion: 1}}
		a.AddBackupRow(fmt.Sprintf("organisation-%05d", i), v)
	}
	all := a.Report("b", true, func(string) bool { return true })
	if diff := cmp.Diff(changed, len(all.Snapshots)); diff != "" {
		t.Errorf("pools reported (-want +got):\n%s", diff)
	}
	named := 0
	for _, part := range all.Split(most) {
		named += len(part.Snapshots)
		row, err := json.Marshal(part)
		if err != nil {
			t.Fatal(err)
		}
		if len(row) > 64<<10 || len(part.Snapshots) > most {
			t.Errorf("a row of %d bytes with %d pools", len(row), len(part.Snapshots))
		}
	}
	if diff := cmp.Diff(changed, named); diff != "" {
		t.Errorf("pools in all rows (-want +got):\n%s", diff)
	}
	none := a.Report("b", true, func(string) bool { return false })
	if diff := cmp.Diff(0, len(none.Snapshots)); diff != "" {
		t.Errorf("pools reported that are others' to report (-want +got):\n%s", diff)
	}
}

// TestWaitsAreToldWhenUnitsAreReleased plays a cut: requests that arrive together are
// told a time each, the later ones a later time, and are served by then in their order.
func TestWaitsAreToldWhenUnitsAreReleased(t *testing.T) {
	r := newRig(t, 10_000_000)
	r.spendFor(10*time.Second, 1000, r.balance)
	for r.spend(1000, func() {}) {
	}
	const need = 20_000
	var waits []*cicadabudget.Waiter
	var last time.Duration
	for range 4 {
		_, w, _ := r.accs.Reserve(org, need, r.now)
		in := r.accs.ReleaseIn(org, w, r.now)
		if in <= last {
			t.Errorf("released in %v, the one before in %v", in, last)
		}
		waits, last = append(waits, w), in
	}
	for _, w := range waits {
		in := r.accs.ReleaseIn(org, w, r.now)
		r.now = r.now.Add(in - 50*time.Millisecond)
		r.accs.ServeWaiters(org, r.now)
		select {
		case <-w.Ready():
			t.Error("served 50 ms before the time that was told")
		default:
		}
		r.now = r.now.Add(60 * time.Millisecond)
		r.accs.ServeWaiters(org, r.now)
		select {
		case <-w.Ready():
		default:
			t.Error("not served at the time that was told")
		}
	}
}

// TestBudgetThatJustRanDryIsNotRefusedForGood has others draw what is left: for the
// time in which they may give some back a refusal is not final, then it is.
func TestBudgetThatJustRanDryIsNotRefusedForGood(t *testing.T) {
	a := cicadabudget.NewAccounts()
	a.Configure(org, 10_000, 1)
	dry := cicadabudget.Pool{Drawn: 9_900, Limit: 10_000, LimitVersion: 1}
	a.ObservePool(org, 0, cicadabudget.Pool{Drawn: 5_000, Limit: 10_000, LimitVersion: 1}, 1, epoch)
	var got []bool
	for i, after := range []time.Duration{0, time.Second, 3 * time.Second} {
		now := epoch.Add(after)
		a.ObservePool(org, 0, dry, uint64(i+2), now)
		verdict, _, short := a.Reserve(org, 1_000, now)
		if verdict != cicadabudget.Exhausted {
			t.Errorf("verdict %v after %v", verdict, after)
		}
		got = append(got, short.Transient)
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("may pass, after 0, 1 and 3 s (-want +got):\n%s", diff)
	}
}

// TestRequestLargerThanTheBudget checks that a request that no budget of its
// organisation could cover is refused for good, with no reading of the pool, and that
// nothing is drawn for it.
func TestRequestLargerThanTheBudget(t *testing.T) {
	a := cicadabudget.NewAccounts()
	a.Configure(org, 10_000, 1)
	verdict, _, short := a.Reserve(org, 10_001, epoch)
	if verdict != cicadabudget.Exhausted || short.Transient {
		t.Errorf("verdict %v, %+v", verdict, short)
	}
	for _, m := range a.Plan(false, epoch) {
		if m.Delta > 5_000 {
			t.Errorf("%d units are drawn", m.Delta)
		}
	}
}

// TestHeldAddsUp checks that what a process says that it holds and has spent is
// what it has drawn.
func TestHeldAddsUp(t *testing.T) {
	r := newRig(t, 10_000_000)
	r.spendFor(3*time.Second, 1000, r.balance)
	if verdict, _, _ := r.accs.Reserve(org, 700, r.now); verdict != cicadabudget.Granted {
		t.Fatal("the request was not granted")
	}
	all, byOrg := r.accs.Holdings(1, r.now)
	if diff := cmp.Diff(map[string]cicadabudget.Holdings{org: all}, byOrg); diff != "" {
		t.Errorf("sum and details differ (-sum +details):\n%s", diff)
	}
	if diff := cmp.Diff(r.pool.Drawn, all.Free+all.Reserved+all.Spent); diff != "" {
		t.Errorf("drawn and held differ (-drawn +held):\n%s", diff)
	}
	if all.Reserved != 700 || all.Spent != 30*1000 {
		t.Errorf("reserved %d, spent %d, want 700 and 30000", all.Reserved, all.Spent)
	}
}
