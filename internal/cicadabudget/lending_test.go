package cicadabudget_test

import (
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
	a.SetLent(func(string) bool { return true })
	return a
}

// borrow lets a router ask the lender once.
func borrow(r *rig, from *cicadabudget.Accounts) {
	for _, n := range from.Needs(r.now) {
		verdict, units, w := r.accs.Lend(n, r.now)
		if verdict == cicadabudget.Awaiting {
			r.balance()
			select {
			case <-w.Ready():
			default:
			}
			if r.accs.Cancel(org, w) {
				continue
			}
			verdict = cicadabudget.Dry
			if w.Granted() {
				verdict, units = cicadabudget.Granted, r.accs.HandOver(org, w)
			}
		}
		if verdict == cicadabudget.Dry {
			from.Deny(org, r.accs.Within(org), r.now)
			continue
		}
		from.Receive(org, units, r.now)
	}
	for _, s := range from.Surpluses(r.now) {
		r.accs.TakeBack(s, r.now)
	}
}

// verdicts reserves needs at once and tells which were granted after some asks.
func verdicts(r *rig, a *cicadabudget.Accounts, needs []cicadabudget.Units, ask func()) []string {
	waits := make([]*cicadabudget.Wait, len(needs))
	out := make([]string, len(needs))
	for i, n := range needs {
		var v cicadabudget.Verdict
		v, waits[i], _ = a.Reserve(org, n, r.now)
		out[i] = map[cicadabudget.Verdict]string{cicadabudget.Granted: "granted", cicadabudget.Dry: "dry", cicadabudget.Awaiting: "waits"}[v]
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
		if verdict == cicadabudget.Awaiting {
			<-w.Ready()
		}
		a.Settle(org, 5000, 5000, r.now)
		if moves := a.Plan(false, r.now); len(moves) > 0 {
			t.Fatalf("a borrower plans %+v", moves)
		}
	}
	r.now = r.now.Add(time.Minute)
	before := a.State(r.now)[0].Free
	borrow(r, a)
	if after := a.State(r.now)[0].Free; after >= before/2 {
		t.Errorf("%d units of %d are still held after an idle minute", after, before)
	}
}

// TestLenderHoldsForAnOutage lends at a rate until the store is gone: it lends a
// little at once, and the rest once its claims have lapsed.
func TestLenderHoldsForAnOutage(t *testing.T) {
	const rate = 20_000 // units a second
	r := newRig(t, 10_000_000)
	step := func() {
		r.now = r.now.Add(100 * time.Millisecond)
		verdict, _, w := r.accs.Lend(cicadabudget.Need{Organisation: org, Least: rate / 10, Want: rate / 10}, r.now)
		r.balance()
		if verdict == cicadabudget.Awaiting {
			<-w.Ready()
			r.accs.HandOver(org, w)
		}
	}
	for range 100 {
		step()
	}
	lendAll := func() (lent cicadabudget.Units) {
		for {
			verdict, units, w := r.accs.Lend(cicadabudget.Need{Organisation: org, Least: rate / 10, Want: rate / 10}, r.now)
			if verdict != cicadabudget.Granted {
				r.accs.Cancel(org, w)
				return lent
			}
			lent += units
		}
	}
	if n := lendAll(); n < rate || n > 3*rate {
		t.Errorf("at once %d units, %.1f s of the lending", n, float64(n)/rate)
	}
	r.now = r.now.Add(5 * time.Second)
	if n := lendAll(); n < 4*rate {
		t.Errorf("after the lapse %d units, %.1f s of the lending", n, float64(n)/rate)
	}
}

// TestBorrowingInAnOutageChangesNoHolding has a router of a small fleet borrow
// while the store is away: it keeps all that it held.
func TestBorrowingInAnOutageChangesNoHolding(t *testing.T) {
	r := newRig(t, 1_000_000)
	r.accs.SetRouters(8)
	r.spendFor(10*time.Second, 400, r.balance)
	r.now = r.now.Add(r.book.Refresh())
	r.balance()
	before := r.own.Dormant[org]
	r.accs.SetLent(func(string) bool { return true })
	r.now = r.now.Add(r.book.Refresh())
	r.balance()
	if after := r.own.Dormant[org]; after < before*8/10 {
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
	r.accs.SetLent(func(string) bool { return true })
	r.now = r.now.Add(10 * time.Second)
	for r.spend(400, func() {}) {
	}
	if diff := cmp.Diff([]cicadabudget.Need(nil), r.accs.Needs(r.now)); diff != "" {
		t.Errorf("needs while no request waits (-want +got):\n%s", diff)
	}
	need := r.state().Free + 500
	r.accs.Reserve(org, need, r.now)
	if diff := cmp.Diff([]cicadabudget.Need{{Organisation: org, Least: 500, Want: 500}}, r.accs.Needs(r.now)); diff != "" {
		t.Errorf("needs of a request that lacks 500 (-want +got):\n%s", diff)
	}
}

// TestPooledHoldingsShrinkInTime has a router use a budget at one rate, with much
// and with a third of it left. In the second case it holds far less: if all
// processes ended in an outage, the rest would have to last.
func TestPooledHoldingsShrinkInTime(t *testing.T) {
	const limit = 10_000_000
	likes := func(left cicadabudget.Units) cicadabudget.Units {
		a, now := lent(limit), epoch
		for range 50 {
			now = now.Add(200 * time.Millisecond)
			a.Receive(org, 2000, now)
			if verdict, _, _ := a.Reserve(org, 2000, now); verdict != cicadabudget.Granted {
				t.Fatal("not granted")
			}
			a.Settle(org, 2000, 2000, now)
		}
		a.Learn(org, 0, cicadabudget.Pool{Drawn: limit - left, Limit: limit, LimitVersion: 1}, 1, now)
		needs := a.Needs(now)
		if len(needs) != 1 {
			t.Fatalf("with %d left it needs %+v", left, needs)
		}
		return needs[0].Want
	}
	much, third := likes(limit*9/10), likes(limit*3/10)
	if third > much*6/10 {
		t.Errorf("it holds %d with a third left, %d with nine tenths", third, much)
	}
}

// TestLenderThatDoesNotKnowAnOrganisation asks a lender that has no configuration
// with the organisation yet, as after its start: that proves nothing of the budget.
func TestLenderThatDoesNotKnowAnOrganisation(t *testing.T) {
	verdict, units, w := cicadabudget.NewAccounts().Lend(cicadabudget.Need{Organisation: org, Least: 10, Want: 10}, epoch)
	if verdict == cicadabudget.Dry || units != 0 || w != nil {
		t.Errorf("verdict %d, %d units, wait %v", verdict, units, w)
	}
}

// TestBorrowersGiveSurplusesBack has a router of a large fleet hold more than it
// wants, with a row in the store that claims what it has: the surplus goes back to
// the lender all the same.
func TestBorrowersGiveSurplusesBack(t *testing.T) {
	r := newRig(t, 10_000_000)
	r.accs.SetRouters(80)
	r.accs.SetLent(func(string) bool { return true })
	r.spendFor(5*time.Second, 100, r.balance)
	r.accs.Receive(org, 1_000_000, r.now)
	r.now = r.now.Add(r.book.Refresh())
	r.balance()
	var back cicadabudget.Units
	for _, s := range r.accs.Surpluses(r.now) {
		back += s.Units
	}
	if back < 900_000 {
		t.Errorf("%d units were given back of a surplus of 1000000: %+v", back, r.state())
	}
}

// TestManyRoutersHoldNoMoreThanACutTakes guards against budgets that are lost with
// their holders: it spreads large requests over eighty routers and adds up what
// they like to hold.
func TestManyRoutersHoldNoMoreThanACutTakes(t *testing.T) {
	const (
		limit, left = 10_000_000, 6_500_000
		need        = 5_000
		perSecond   = 20
		cut         = 9 // seconds, those of a long one
	)
	routers := make([]*cicadabudget.Accounts, 80)
	for i := range routers {
		routers[i] = lent(limit)
		routers[i].Learn(org, 0, cicadabudget.Pool{Drawn: limit - left, Limit: limit, LimitVersion: 1}, 1, epoch)
	}
	now := epoch
	for i := range 20 * perSecond {
		now = now.Add(time.Second / perSecond)
		a := routers[i*i%len(routers)]
		a.Receive(org, need, now)
		if verdict, _, _ := a.Reserve(org, need, now); verdict != cicadabudget.Granted {
			t.Fatal("not granted")
		}
		a.Settle(org, need, need, now)
	}
	var held cicadabudget.Units
	for _, a := range routers {
		for _, n := range a.Needs(now) {
			held += n.Want
		}
	}
	if most := cicadabudget.Units(cut * perSecond * need); held > most || held < most/4 {
		t.Errorf("the routers hold %d units, a cut takes %d", held, most)
	}
}
