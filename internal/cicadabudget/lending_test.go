package cicadabudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/google/go-cmp/cmp"
)

// newBorrower returns a router that gets its units from a lender.
func newBorrower(limit cicadabudget.Units) *cicadabudget.Accounts {
	a := cicadabudget.NewAccounts()
	a.SetRouters(80)
	a.Configure(org, limit, 1)
	a.SetBorrowing(func(string) bool { return true })
	return a
}

// borrow makes a router ask the lender once.
func borrow(r *testRouter, borrower *cicadabudget.Accounts) {
	askLender(r.accs, r.commitUpdates, borrower, "borrower", r.now)
}

// askLender sends a router's loan requests to a lender and returns its surpluses. The lender
// draws once if it has too few units.
func askLender(lender *cicadabudget.Accounts, commitUpdates func(), borrower *cicadabudget.Accounts, name string, now time.Time) {
	for _, req := range borrower.LoanRequests(now) {
		decision, units, w := lender.Lend(req, name, now)
		if decision == cicadabudget.Queued && w != nil {
			commitUpdates()
			if lender.Cancel(org, w) {
				continue
			}
			decision = cicadabudget.Exhausted
			if w.Granted() {
				decision, units = cicadabudget.Granted, lender.TakeGrantedLoan(org, w)
			}
		}
		if decision == cicadabudget.Exhausted {
			borrower.DenyWaiters(org, lender.MaxAvailable(org), now)
			continue
		}
		borrower.AddLoan(org, 0, units, now)
	}
	for _, s := range borrower.TakeSurpluses(all, now) {
		lender.AddSurplus(s, now)
	}
}

// decisions reserves all needs at the same time and returns the result of each after several
// calls of sync.
func decisions(r *testRouter, a *cicadabudget.Accounts, needs []cicadabudget.Units, sync func()) []string {
	waiters := make([]*cicadabudget.Waiter, len(needs))
	out := make([]string, len(needs))
	for i, n := range needs {
		var decision cicadabudget.Decision
		decision, waiters[i], _ = a.Reserve(org, n, r.now)
		out[i] = map[cicadabudget.Decision]string{cicadabudget.Granted: "granted", cicadabudget.Exhausted: "dry", cicadabudget.Queued: "waits"}[decision]
	}
	for range len(needs) + 1 {
		sync()
	}
	for i, w := range waiters {
		if w == nil {
			continue
		}
		select {
		case <-w.Ready():
			out[i] = map[bool]string{true: "granted", false: "dry"}[w.Granted()]
		default:
		}
	}
	return out
}

// TestLastUnitsGoToRequestsTheyCover checks that the first of several simultaneous requests get
// the last units of a budget, and that the others are refused as exhausted.
func TestLastUnitsGoToRequestsTheyCover(t *testing.T) {
	needs := []cicadabudget.Units{400, 400, 900, 400, 100}
	want := []string{"granted", "granted", "dry", "dry", "granted"}
	t.Run("drawn", func(t *testing.T) {
		r := newTestRouter(t, 1000)
		if diff := cmp.Diff(want, decisions(r, r.accs, needs, r.commitUpdates)); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
	})
	t.Run("lent", func(t *testing.T) {
		r := newTestRouter(t, 1000)
		a := newBorrower(1000)
		if diff := cmp.Diff(want, decisions(r, a, needs, func() { borrow(r, a) })); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
	})
}

// TestBorrowersDoNotUpdateThePool checks that a borrower plans no pool updates, not even to
// return surpluses, so that only the lender writes the pool's row.
func TestBorrowersDoNotUpdateThePool(t *testing.T) {
	r := newTestRouter(t, 1_000_000)
	a := newBorrower(1_000_000)
	for range 40 {
		r.now = r.now.Add(250 * time.Millisecond)
		decision, w, _ := a.Reserve(org, 5000, r.now)
		borrow(r, a)
		if decision == cicadabudget.Queued {
			<-w.Ready()
		}
		a.Settle(org, 5000, 5000, r.now)
		if updates := a.Plan(false, r.now); len(updates) > 0 {
			t.Fatalf("a borrower planned pool updates: %+v", updates)
		}
	}
	r.now = r.now.Add(time.Second)
	borrow(r, a)
	if after := a.State(r.now)[0].Free; after > 0 {
		t.Errorf("%d units are still held after 1 s without requests", after)
	}
}

// TestLenderHoldsForAnOutage lends at a constant rate until the store becomes unreachable. The
// lender may lend less than a second's worth of units at once, which is what would be lost if
// it ended, and the rest after the lock period.
func TestLenderHoldsForAnOutage(t *testing.T) {
	const rate = 20_000              // units per second
	r := newTestRouter(t, 5_000_000) // four minutes at this rate
	lendOnce := func() {
		r.now = r.now.Add(100 * time.Millisecond)
		decision, _, w := r.accs.Lend(cicadabudget.LoanRequest{Organisation: org, Min: rate / 10, Want: rate / 10}, "b", r.now)
		r.commitUpdates()
		if decision == cicadabudget.Queued {
			<-w.Ready()
			r.accs.TakeGrantedLoan(org, w)
		}
	}
	for range 100 {
		lendOnce()
	}
	lendAll := func() (lent cicadabudget.Units) {
		for {
			decision, units, w := r.accs.Lend(cicadabudget.LoanRequest{Organisation: org, Min: rate / 10, Want: rate / 10}, "b", r.now)
			if decision != cicadabudget.Granted {
				r.accs.Cancel(org, w)
				return lent
			}
			lent += units
		}
	}
	n := lendAll()
	if n < rate/5 || n > rate {
		t.Errorf("%d units lent at once, those of %.1f s", n, float64(n)/rate)
	}
	r.now = r.now.Add(time.Second)
	if n += lendAll(); n < rate/2 {
		t.Errorf("%d units lent within 1 s, those of %.1f s", n, float64(n)/rate)
	}
	r.now = r.now.Add(4 * time.Second)
	if n += lendAll(); n < 9*rate/2 {
		t.Errorf("%d units lent within 5 s, those of %.1f s", n, float64(n)/rate)
	}
}

// TestBorrowingInAnOutageKeepsHoldings checks that a router of a small fleet that starts to
// borrow in an outage keeps the units that it holds.
func TestBorrowingInAnOutageKeepsHoldings(t *testing.T) {
	r := newTestRouter(t, 1_000_000)
	r.accs.SetRouters(8)
	r.spendFor(10*time.Second, 400, r.commitUpdates)
	r.now = r.now.Add(r.txns.RefreshInterval())
	r.commitUpdates()
	before := r.row.Locked[org]
	r.accs.SetBorrowing(func(string) bool { return true })
	r.now = r.now.Add(r.txns.RefreshInterval())
	r.commitUpdates()
	if after := r.row.Locked[org]; after < before*8/10 {
		t.Errorf("%d units are locked, %d were before borrowing", after, before)
	}
}

// TestBorrowingInAnOutageAsksOnlyForRequests checks that a router of a small fleet that runs
// out of units in an outage borrows only what its requests need, and nothing to hold ahead,
// because lent units are in no router's lockups.
func TestBorrowingInAnOutageAsksOnlyForRequests(t *testing.T) {
	r := newTestRouter(t, 1_000_000)
	r.accs.SetRouters(8)
	r.spendFor(10*time.Second, 400, r.commitUpdates)
	r.accs.SetBorrowing(func(string) bool { return true })
	r.now = r.now.Add(10 * time.Second)
	for r.spend(400, func() {}) {
	}
	if diff := cmp.Diff([]cicadabudget.LoanRequest(nil), r.accs.LoanRequests(r.now)); diff != "" {
		t.Errorf("loan requests while no request waits (-want +got):\n%s", diff)
	}
	need := r.state().Free + 500
	r.accs.Reserve(org, need, r.now)
	if diff := cmp.Diff([]cicadabudget.LoanRequest{{Organisation: org, Min: 500, Want: 500}}, r.accs.LoanRequests(r.now)); diff != "" {
		t.Errorf("loan requests for a request that lacks 500 units (-want +got):\n%s", diff)
	}
}

// TestBorrowersAskOnlyForRequests checks that a router of a large fleet asks the lender only
// for what its waiting requests lack.
func TestBorrowersAskOnlyForRequests(t *testing.T) {
	const limit = 10_000_000
	a, now := newBorrower(limit), epoch
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		a.AddLoan(org, 0, 2000, now)
		if decision, _, _ := a.Reserve(org, 2000, now); decision != cicadabudget.Granted {
			t.Fatal("the request was not granted")
		}
		a.Settle(org, 2000, 1900, now)
	}
	a.ObservePool(org, 0, cicadabudget.Pool{Drawn: limit / 10, Limit: limit, LimitVersion: 1}, 1, now)
	if diff := cmp.Diff([]cicadabudget.LoanRequest(nil), a.LoanRequests(now)); diff != "" {
		t.Errorf("loan requests while no request waits (-want +got):\n%s", diff)
	}
	free := a.State(now)[0].Free
	a.Reserve(org, free+500, now)
	a.Reserve(org, 700, now)
	if diff := cmp.Diff([]cicadabudget.LoanRequest{{Organisation: org, Min: 500, Want: 1200}}, a.LoanRequests(now)); diff != "" {
		t.Errorf("loan requests for two waiting requests (-want +got):\n%s", diff)
	}
}

// TestLenderWithoutTheOrganisation checks that a lender whose configuration does not contain
// the organisation yet, as after its start, does not report its budget as exhausted.
func TestLenderWithoutTheOrganisation(t *testing.T) {
	decision, units, w := cicadabudget.NewAccounts().Lend(cicadabudget.LoanRequest{Organisation: org, Min: 10, Want: 10}, "b", epoch)
	if decision == cicadabudget.Exhausted || units != 0 || w != nil {
		t.Errorf("decision %d, %d units, waiter %v; want Queued without units or a waiter", decision, units, w)
	}
}

// TestBorrowersGiveSurplusesBack checks where a borrower returns surplus units: a few, as left
// over by a request, go to the lender, and many, as inherited by a process, go to the pool,
// where a lost message cannot lose them.
func TestBorrowersGiveSurplusesBack(t *testing.T) {
	for name, tc := range map[string]struct {
		surplus   cicadabudget.Units
		byMessage bool
	}{
		"little": {5_000, true},
		"much":   {1_000_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t, 10_000_000)
			r.accs.SetRouters(80)
			r.accs.SetBorrowing(all)
			r.accs.AddLoan(org, 0, tc.surplus, r.now)
			var sent, want cicadabudget.Units
			if tc.byMessage {
				want = r.state().Free
			}
			r.now = r.now.Add(time.Second)
			r.commitUpdates()
			for _, s := range r.accs.TakeSurpluses(all, r.now) {
				sent += s.Units
			}
			if diff := cmp.Diff([]cicadabudget.Units{want, 0}, []cicadabudget.Units{sent, r.state().Free}); diff != "" {
				t.Errorf("units sent to the lender, and units still held (-want +got)\n%s", diff)
			}
		})
	}
}

// TestLenderGivesAllThatWaits checks that two replies of a lender cover all requests that wait
// at a borrower: the first carries the lender's unlocked units, the second the rest.
func TestLenderGivesAllThatWaits(t *testing.T) {
	const need = 1000
	r := newTestRouter(t, 10_000_000)
	a := newBorrower(10_000_000)
	r.accs.SetRouters(80)
	r.txns.SetRouters(80)
	r.accs.SetBorrowing(func(string) bool { return false })
	r.spendFor(time.Second, need, r.commitUpdates)
	var waiters []*cicadabudget.Waiter
	for range 50 {
		if decision, w, _ := a.Reserve(org, need, r.now); decision == cicadabudget.Queued {
			waiters = append(waiters, w)
		}
	}
	borrow(r, a)
	borrow(r, a)
	for i, w := range waiters {
		select {
		case <-w.Ready():
		default:
			t.Fatalf("only %d of %d requests were served by two replies", i, len(waiters))
		}
	}
}

// TestLendingInASmallFleetKeepsHoldings checks that lending in an outage does not raise the
// holdings of a router of a small fleet: a minute later it holds no more than one that has lent
// nothing.
func TestLendingInASmallFleetKeepsHoldings(t *testing.T) {
	heldAfter := func(lend bool) cicadabudget.Units {
		r := newTestRouter(t, 1_000_000)
		r.accs.SetRouters(8)
		r.spendFor(5*time.Second, 400, r.commitUpdates)
		if lend {
			r.accs.Lend(cicadabudget.LoanRequest{Organisation: org, Min: 400, Want: 400}, "b", r.now)
		}
		r.now = r.now.Add(time.Minute)
		r.commitUpdates()
		r.spendFor(5*time.Second, 400, r.commitUpdates)
		return r.state().Free
	}
	if without, with := heldAfter(false), heldAfter(true); with > without+1000 {
		t.Errorf("%d units are held by a router that has lent, %d by one that has not", with, without)
	}
}

// TestPromisesOfALenderAreKept has many routers ask a lender that cannot reach the store. Those
// that are told to ask again within a second must get their units then, even if other routers
// ask in the meantime. All others are told a later time at once.
func TestPromisesOfALenderAreKept(t *testing.T) {
	const (
		rate      = 20_000 // units per second
		need      = 2_000
		borrowers = 60
	)
	r := newTestRouter(t, 5_000_000)
	r.accs.SetRouters(80)
	r.txns.SetRouters(80)
	r.accs.SetBorrowing(func(string) bool { return false })
	for range 100 {
		r.now = r.now.Add(100 * time.Millisecond)
		decision, _, w := r.accs.Lend(cicadabudget.LoanRequest{Organisation: org, Min: rate / 10, Want: rate / 10}, "earlier", r.now)
		r.commitUpdates()
		if decision == cicadabudget.Queued {
			<-w.Ready()
			r.accs.TakeGrantedLoan(org, w)
		}
	}
	// ask returns whether units were lent, and otherwise when to ask again.
	ask := func(to string) (bool, time.Duration) {
		req := cicadabudget.LoanRequest{Organisation: org, Min: need, Want: need}
		decision, _, w := r.accs.Lend(req, to, r.now)
		if decision == cicadabudget.Granted {
			return true, 0
		}
		r.accs.Cancel(org, w)
		return false, r.accs.ScheduleLoan(req, to, r.now)
	}
	r.now = r.now.Add(1500 * time.Millisecond) // the lock period has ended, the store is unreachable
	for lent := true; lent; {
		lent, _ = ask("first")
	}
	due := map[string]time.Time{}
	kept, later := 0, 0
	for i := range borrowers {
		name := fmt.Sprint("b", i)
		switch lent, after := ask(name); {
		case lent || after == 0:
			t.Fatalf("borrower %d: lent %t, told to ask again after %s", i, lent, after)
		case after <= time.Second:
			due[name] = r.now.Add(after)
		default:
			later++
		}
	}
	for end := r.now.Add(1100 * time.Millisecond); r.now.Before(end); r.now = r.now.Add(time.Millisecond) {
		for name, at := range due {
			if r.now.Before(at) {
				continue
			}
			if lent, _ := ask(name); !lent {
				t.Errorf("%s got no units at the scheduled time", name)
			}
			delete(due, name)
			kept++
		}
		ask("newcomer")
	}
	if kept < rate/need/2 || later == 0 {
		t.Errorf("%d scheduled loans were kept, and %d routers were told a time of more than 1 s", kept, later)
	}
}

// TestFirstRequestAsksTheLender checks that a request for a budget that the router has never
// used, or has not used for an hour, makes it ask the lender and plan no draw of its own.
func TestFirstRequestAsksTheLender(t *testing.T) {
	a := newBorrower(10_000)
	for i, now := range []time.Time{epoch, epoch.Add(time.Hour)} {
		if loanRequests, surpluses := a.LoanRequests(now), a.TakeSurpluses(all, now); len(loanRequests)+len(surpluses) > 0 {
			t.Errorf("before request %d: loan requests %+v, surpluses %+v", i, loanRequests, surpluses)
		}
		_, w, _ := a.Reserve(org, 500, now)
		if updates := a.Plan(false, now); len(updates) > 0 {
			t.Errorf("request %d: planned pool updates %+v", i, updates)
		}
		if diff := cmp.Diff([]cicadabudget.LoanRequest{{Organisation: org, Min: 500, Want: 500}}, a.LoanRequests(now)); diff != "" {
			t.Errorf("request %d: loan requests (-want +got)\n%s", i, diff)
		}
		a.AddLoan(org, 0, 500, now)
		<-w.Ready()
		a.Settle(org, 500, 500, now)
	}
}

// TestLoanOfAnotherEraIsNotUsed checks that a loan that arrives after the store was restored
// from a backup is not used: the reconciliation determines what was drawn.
func TestLoanOfAnotherEraIsNotUsed(t *testing.T) {
	a := newBorrower(10_000)
	a.EnterEra(1, false)
	if a.AddLoan(org, 0, 500, epoch) {
		t.Error("a loan of the previous era was used")
	}
	if !a.AddLoan(org, 1, 300, epoch) {
		t.Error("a loan of the current era was not used")
	}
	if got := a.State(epoch)[0].Free; got != 300 {
		t.Errorf("%d units are free, want 300", got)
	}
}

// all matches every organisation.
func all(string) bool { return true }
