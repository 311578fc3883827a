package cicadabudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/google/go-cmp/cmp"
)

// lent is a router whose units come from a lender.
func lent(limit cicadabudget.Units) *cicadabudget.Accounts {
	a := cicadabudget.NewAccounts()
	a.SetRouters(80)
	a.Configure(org, limit, 1)
	a.SetBorrowing(func(string) bool { return true })
	return a
}

// borrow lets a router ask the lender once.
func borrow(r *rig, from *cicadabudget.Accounts) {
	askLender(r.accs, r.balance, from, "borrower", r.now)
}

// askLender lets a router ask a lender for what it needs, and give back what it does
// not. The lender draws once if it has too little.
func askLender(lender *cicadabudget.Accounts, balance func(), from *cicadabudget.Accounts, name string, now time.Time) {
	for _, n := range from.LoanRequests(now) {
		verdict, units, w := lender.Lend(n, name, now)
		if verdict == cicadabudget.Queued && w != nil {
			balance()
			if lender.Cancel(org, w) {
				continue
			}
			verdict = cicadabudget.Exhausted
			if w.Granted() {
				verdict, units = cicadabudget.Granted, lender.TakeGrantedLoan(org, w)
			}
		}
		if verdict == cicadabudget.Exhausted {
			from.DenyWaiters(org, lender.MaxAvailable(org), now)
			continue
		}
		from.AddLoan(org, 0, units, now)
	}
	for _, s := range from.TakeSurpluses(all, now) {
		lender.AddSurplus(s, now)
	}
}

// verdicts reserves needs at once and tells which were granted after some asks.
func verdicts(r *rig, a *cicadabudget.Accounts, needs []cicadabudget.Units, ask func()) []string {
	waits := make([]*cicadabudget.Waiter, len(needs))
	out := make([]string, len(needs))
	for i, n := range needs {
		var v cicadabudget.Decision
		v, waits[i], _ = a.Reserve(org, n, r.now)
		out[i] = map[cicadabudget.Decision]string{cicadabudget.Granted: "granted", cicadabudget.Exhausted: "dry", cicadabudget.Queued: "waits"}[v]
	}
	for range len(needs) + 1 {
		ask()
	}
	for i, w := range waits {
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

// TestLastUnitsGoToThoseThatTheyCover has more requests at once than the budget
// covers: the first ones are served, and the others are told that it is dry.
func TestLastUnitsGoToThoseThatTheyCover(t *testing.T) {
	needs := []cicadabudget.Units{400, 400, 900, 400, 100}
	want := []string{"granted", "granted", "dry", "dry", "granted"}
	t.Run("drawn", func(t *testing.T) {
		r := newRig(t, 1000)
		if diff := cmp.Diff(want, verdicts(r, r.accs, needs, r.balance)); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
	})
	t.Run("lent", func(t *testing.T) {
		r := newRig(t, 1000)
		a := lent(1000)
		if diff := cmp.Diff(want, verdicts(r, a, needs, func() { borrow(r, a) })); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
	})
}

// TestBorrowersNeverTouchTheRow has a router that borrows: it plans no move, even
// for what it has too much of, so that only the lender writes the row.
func TestBorrowersNeverTouchTheRow(t *testing.T) {
	r := newRig(t, 1_000_000)
	a := lent(1_000_000)
	for range 40 {
		r.now = r.now.Add(250 * time.Millisecond)
		verdict, w, _ := a.Reserve(org, 5000, r.now)
		borrow(r, a)
		if verdict == cicadabudget.Queued {
			<-w.Ready()
		}
		a.Settle(org, 5000, 5000, r.now)
		if moves := a.Plan(false, r.now); len(moves) > 0 {
			t.Fatalf("a borrower plans %+v", moves)
		}
	}
	r.now = r.now.Add(time.Second)
	borrow(r, a)
	if after := a.State(r.now)[0].Free; after > 0 {
		t.Errorf("%d units are still held after an idle second", after)
	}
}

// TestLenderHoldsForAnOutage lends at a rate until the store is gone: it lends less
// than a second's at once, which is what it would lose if it ended, and the rest once
// its claims have lapsed.
func TestLenderHoldsForAnOutage(t *testing.T) {
	const rate = 20_000       // units a second
	r := newRig(t, 5_000_000) // four minutes of it
	step := func() {
		r.now = r.now.Add(100 * time.Millisecond)
		verdict, _, w := r.accs.Lend(cicadabudget.LoanRequest{Organisation: org, Min: rate / 10, Want: rate / 10}, "b", r.now)
		r.balance()
		if verdict == cicadabudget.Queued {
			<-w.Ready()
			r.accs.TakeGrantedLoan(org, w)
		}
	}
	for range 100 {
		step()
	}
	lendAll := func() (lent cicadabudget.Units) {
		for {
			verdict, units, w := r.accs.Lend(cicadabudget.LoanRequest{Organisation: org, Min: rate / 10, Want: rate / 10}, "b", r.now)
			if verdict != cicadabudget.Granted {
				r.accs.Cancel(org, w)
				return lent
			}
			lent += units
		}
	}
	n := lendAll()
	if n < rate/5 || n > rate {
		t.Errorf("at once %d units, %.1f s of the lending", n, float64(n)/rate)
	}
	r.now = r.now.Add(time.Second)
	if n += lendAll(); n < rate/2 {
		t.Errorf("within a second %d units, %.1f s of the lending", n, float64(n)/rate)
	}
	r.now = r.now.Add(4 * time.Second)
	if n += lendAll(); n < 9*rate/2 {
		t.Errorf("within 5 s %d units, %.1f s of the lending", n, float64(n)/rate)
	}
}

// TestBorrowingInAnOutageChangesNoHolding has a router of a small fleet borrow
// while the store is away: it keeps all that it held.
func TestBorrowingInAnOutageChangesNoHolding(t *testing.T) {
	r := newRig(t, 1_000_000)
	r.accs.SetRouters(8)
	r.spendFor(10*time.Second, 400, r.balance)
	r.now = r.now.Add(r.book.RefreshInterval())
	r.balance()
	before := r.own.Locked[org]
	r.accs.SetBorrowing(func(string) bool { return true })
	r.now = r.now.Add(r.book.RefreshInterval())
	r.balance()
	if after := r.own.Locked[org]; after < before*8/10 {
		t.Errorf("%d units are kept for a cut, %d before", after, before)
	}
}

// TestBorrowingInAnOutageTakesWhatRequestsLack has a router of a small fleet run
// out of units while the store is away. It asks others for what its requests need
// and for no holding: what is lent is in no router's claims.
func TestBorrowingInAnOutageTakesWhatRequestsLack(t *testing.T) {
	r := newRig(t, 1_000_000)
	r.accs.SetRouters(8)
	r.spendFor(10*time.Second, 400, r.balance)
	r.accs.SetBorrowing(func(string) bool { return true })
	r.now = r.now.Add(10 * time.Second)
	for r.spend(400, func() {}) {
	}
	if diff := cmp.Diff([]cicadabudget.LoanRequest(nil), r.accs.LoanRequests(r.now)); diff != "" {
		t.Errorf("needs while no request waits (-want +got):\n%s", diff)
	}
	need := r.state().Free + 500
	r.accs.Reserve(org, need, r.now)
	if diff := cmp.Diff([]cicadabudget.LoanRequest{{Organisation: org, Min: 500, Want: 500}}, r.accs.LoanRequests(r.now)); diff != "" {
		t.Errorf("needs of a request that lacks 500 (-want +got):\n%s", diff)
	}
}

// TestBorrowersAskForWhatRequestsLack has a router of a large fleet use a budget: it
// asks for what the requests that wait lack, and for nothing else.
func TestBorrowersAskForWhatRequestsLack(t *testing.T) {
	const limit = 10_000_000
	a, now := lent(limit), epoch
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		a.AddLoan(org, 0, 2000, now)
		if verdict, _, _ := a.Reserve(org, 2000, now); verdict != cicadabudget.Granted {
			t.Fatal("not granted")
		}
		a.Settle(org, 2000, 1900, now)
	}
	a.ObservePool(org, 0, cicadabudget.Pool{Drawn: limit / 10, Limit: limit, LimitVersion: 1}, 1, now)
	if diff := cmp.Diff([]cicadabudget.LoanRequest(nil), a.LoanRequests(now)); diff != "" {
		t.Errorf("needs while no request waits (-want +got):\n%s", diff)
	}
	free := a.State(now)[0].Free
	a.Reserve(org, free+500, now)
	a.Reserve(org, 700, now)
	if diff := cmp.Diff([]cicadabudget.LoanRequest{{Organisation: org, Min: 500, Want: 1200}}, a.LoanRequests(now)); diff != "" {
		t.Errorf("needs of two requests that wait (-want +got):\n%s", diff)
	}
}

// TestLenderThatDoesNotKnowAnOrganisation asks a lender that has no configuration
// with the organisation yet, as after its start: that proves nothing of the budget.
func TestLenderThatDoesNotKnowAnOrganisation(t *testing.T) {
	verdict, units, w := cicadabudget.NewAccounts().Lend(cicadabudget.LoanRequest{Organisation: org, Min: 10, Want: 10}, "b", epoch)
	if verdict == cicadabudget.Exhausted || units != 0 || w != nil {
		t.Errorf("verdict %d, %d units, wait %v", verdict, units, w)
	}
}

// TestBorrowersGiveSurplusesBack has a router of a large fleet hold more than it wants:
// a little, as a request leaves over, goes back to the lender, and much, as a process
// inherits, to the pool, where no lost message can lose it.
func TestBorrowersGiveSurplusesBack(t *testing.T) {
	for name, tc := range map[string]struct {
		surplus cicadabudget.Units
		message bool
	}{
		"little": {5_000, true},
		"much":   {1_000_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 10_000_000)
			r.accs.SetRouters(80)
			r.accs.SetBorrowing(all)
			r.accs.AddLoan(org, 0, tc.surplus, r.now)
			var back, want cicadabudget.Units
			if tc.message {
				want = r.state().Free
			}
			r.now = r.now.Add(time.Second)
			r.balance()
			for _, s := range r.accs.TakeSurpluses(all, r.now) {
				back += s.Units
			}
			if diff := cmp.Diff([]cicadabudget.Units{want, 0}, []cicadabudget.Units{back, r.state().Free}); diff != "" {
				t.Errorf("sent to the lender, and still held (-want +got)\n%s", diff)
			}
		})
	}
}

// TestLenderGivesAllThatWaits has a borrower with many requests that wait ask a lender
// twice: the first answer is what the lender has active, the second covers the rest.
func TestLenderGivesAllThatWaits(t *testing.T) {
	const need = 1000
	r := newRig(t, 10_000_000)
	a := lent(10_000_000)
	r.accs.SetRouters(80)
	r.book.SetRouters(80)
	r.accs.SetBorrowing(func(string) bool { return false })
	r.spendFor(time.Second, need, r.balance)
	var waits []*cicadabudget.Waiter
	for range 50 {
		if verdict, w, _ := a.Reserve(org, need, r.now); verdict == cicadabudget.Queued {
			waits = append(waits, w)
		}
	}
	borrow(r, a)
	borrow(r, a)
	for i, w := range waits {
		select {
		case <-w.Ready():
		default:
			t.Fatalf("%d of %d requests are served by two answers", i, len(waits))
		}
	}
}

// TestLendingInASmallFleetLeavesNoHolding has a router of a small fleet lend in an outage:
// a minute later it holds no more than one that has lent nothing.
func TestLendingInASmallFleetLeavesNoHolding(t *testing.T) {
	held := func(lend bool) cicadabudget.Units {
		r := newRig(t, 1_000_000)
		r.accs.SetRouters(8)
		r.spendFor(5*time.Second, 400, r.balance)
		if lend {
			r.accs.Lend(cicadabudget.LoanRequest{Organisation: org, Min: 400, Want: 400}, "b", r.now)
		}
		r.now = r.now.Add(time.Minute)
		r.balance()
		r.spendFor(5*time.Second, 400, r.balance)
		return r.state().Free
	}
	if without, with := held(false), held(true); with > without+1000 {
		t.Errorf("%d units are held by a router that has lent, %d by another", with, without)
	}
}

// TestPromisesOfALenderAreKept has many routers ask a lender that the store turns away:
// those that are told a time within a second get their units then, though others ask
// in between, and all others are told a later time at once.
func TestPromisesOfALenderAreKept(t *testing.T) {
	const (
		rate      = 20_000 // units a second
		need      = 2_000
		borrowers = 60
	)
	r := newRig(t, 5_000_000)
	r.accs.SetRouters(80)
	r.book.SetRouters(80)
	r.accs.SetBorrowing(func(string) bool { return false })
	for range 100 {
		r.now = r.now.Add(100 * time.Millisecond)
		verdict, _, w := r.accs.Lend(cicadabudget.LoanRequest{Organisation: org, Min: rate / 10, Want: rate / 10}, "earlier", r.now)
		r.balance()
		if verdict == cicadabudget.Queued {
			<-w.Ready()
			r.accs.TakeGrantedLoan(org, w)
		}
	}
	// ask returns whether units were lent, and else when to come back.
	ask := func(to string) (bool, time.Duration) {
		n := cicadabudget.LoanRequest{Organisation: org, Min: need, Want: need}
		verdict, _, w := r.accs.Lend(n, to, r.now)
		if verdict == cicadabudget.Granted {
			return true, 0
		}
		r.accs.Cancel(org, w)
		return false, r.accs.ScheduleLoan(n, to, r.now)
	}
	r.now = r.now.Add(1500 * time.Millisecond) // claims have lapsed, the store is away
	for lent := true; lent; {
		lent, _ = ask("first")
	}
	due := map[string]time.Time{}
	kept, later := 0, 0
	for i := range borrowers {
		name := fmt.Sprint("b", i)
		switch lent, after := ask(name); {
		case lent || after == 0:
			t.Fatalf("borrower %d: lent %t, after %s", i, lent, after)
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
				t.Errorf("%s was promised units and got none", name)
			}
			delete(due, name)
			kept++
		}
		ask("newcomer")
	}
	if kept < rate/need/2 || later == 0 {
		t.Errorf("%d promises were made and %d routers told to come later", kept, later)
	}
}

// TestFirstRequestAsksTheLender has a request for a budget that its router has not used,
// or has not used for long: the router asks the lender and plans no draw of its own.
func TestFirstRequestAsksTheLender(t *testing.T) {
	a := lent(10_000)
	for i, now := range []time.Time{epoch, epoch.Add(time.Hour)} {
		if needs, surpluses := a.LoanRequests(now), a.TakeSurpluses(all, now); len(needs)+len(surpluses) > 0 {
			t.Errorf("before request %d: needs %+v, surpluses %+v", i, needs, surpluses)
		}
		_, w, _ := a.Reserve(org, 500, now)
		if moves := a.Plan(false, now); len(moves) > 0 {
			t.Errorf("request %d: planned %+v", i, moves)
		}
		if diff := cmp.Diff([]cicadabudget.LoanRequest{{Organisation: org, Min: 500, Want: 500}}, a.LoanRequests(now)); diff != "" {
			t.Errorf("request %d: needs (-want +got)\n%s", i, diff)
		}
		a.AddLoan(org, 0, 500, now)
		<-w.Ready()
		a.Settle(org, 500, 500, now)
	}
}

// TestLoanOfAnotherEraIsNotUsed lets a loan arrive after the store has come back from an
// older copy: the settlement says what was drawn, not the message.
func TestLoanOfAnotherEraIsNotUsed(t *testing.T) {
	a := lent(10_000)
	a.EnterEra(1, false)
	if a.AddLoan(org, 0, 500, epoch) {
		t.Error("a loan of the era before is used")
	}
	if !a.AddLoan(org, 1, 300, epoch) {
		t.Error("a loan of the present era is not used")
	}
	if got := a.State(epoch)[0].Free; got != 300 {
		t.Errorf("%d units are free", got)
	}
}

// all chooses every organisation.
func all(string) bool { return true }
