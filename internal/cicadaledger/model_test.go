package cicadaledger_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// The state machine below runs the real ledger and the real allocations of routers
// through the failures that can occur: lost responses, homes that are superseded
// while paused, router crashes, repeated exchanges and top-ups.

type (
	// store models the platform: a fenced log and a budget row.
	store struct {
		incarnation uint64
		log         []cicadaledger.Batch
		row         cicadaledger.BudgetRow
	}

	// home is a process that acts as the partition's home. It may have been
	// superseded without having noticed.
	home struct {
		incarnation uint64
		ledger      *cicadaledger.Partition
		batch       *cicadaledger.Batch // sealed, outcome of its commit unknown
		written     bool                // the batch was written, but the response was lost
		results     map[*router]cicadaledger.ExchangeResult
	}

	// router is a router process with at most one exchange in flight.
	router struct {
		holder       cicadaledger.RouterID
		allocations  *cicadabudget.Allocations
		seq          uint64
		openExchange *cicadaledger.Exchange
		bills        []cicadaledger.Bill
		loans        []cicadaledger.Loan
		lastLoanID   uint64
		reservations []cicadabudget.Reservation
	}

	fleet struct {
		store    store
		homes    []*home
		routers  []*router
		now      time.Time
		requests int
		keyed    bool
		ended    []cicadaledger.RouterID
		used     map[cicadaledger.RouterID]cicadabudget.Units // units used at upstreams
	}
)

func newFleet() *fleet {
	f := &fleet{now: start, used: make(map[cicadaledger.RouterID]cicadabudget.Units)}
	f.store.row.Prepaid = 200
	f.takeOver()
	for i := range 3 {
		f.routers = append(f.routers, newRouter(i, 1))
	}
	return f
}

func newRouter(i int, incarnation uint64) *router {
	return &router{
		holder:      cicadaledger.RouterID{Host: fmt.Sprintf("r%d", i), Incarnation: incarnation},
		allocations: cicadabudget.NewAllocations(2 * time.Second),
	}
}

// takeOver fences off the current home and starts a successor that replays the log.
func (f *fleet) takeOver() {
	f.store.incarnation++
	p := cicadaledger.New(cfg)
	for i := range f.store.log {
		if err := p.Apply(&f.store.log[i]); err != nil {
			panic(err)
		}
	}
	f.homes = append(f.homes, &home{incarnation: f.store.incarnation, ledger: p, results: make(map[*router]cicadaledger.ExchangeResult)})
}

// commit writes a batch unless the home was fenced off.
func (f *fleet) commit(h *home, b *cicadaledger.Batch) bool {
	if h.incarnation != f.store.incarnation {
		return false
	}
	f.store.log = append(f.store.log, *b)
	return true
}

func (f *fleet) dropHome(h *home) {
	for i, x := range f.homes {
		if x == h {
			f.homes = append(f.homes[:i], f.homes[i+1:]...)
		}
	}
}

func (f *fleet) pickHome(t *rapid.T) *home {
	if len(f.homes) == 0 {
		t.Skip("no home")
	}
	return f.homes[rapid.IntRange(0, len(f.homes)-1).Draw(t, "home")]
}

func (f *fleet) pickRouter(t *rapid.T) *router {
	return f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")]
}

// request reserves units; settle ends the reservation later.
func (f *fleet) request(t *rapid.T) {
	r := f.pickRouter(t)
	units := cicadabudget.Units(rapid.Int64Range(1, 30).Draw(t, "units"))
	if res, short := r.allocations.Reserve(budget, units, f.now); short == nil {
		r.reservations = append(r.reservations, res)
	}
}

func (f *fleet) settle(t *rapid.T) {
	r := f.pickRouter(t)
	if len(r.reservations) == 0 {
		t.Skip("no reservation")
	}
	res := r.reservations[0]
	r.reservations = r.reservations[1:]
	used := cicadabudget.Units(rapid.Int64Range(0, int64(res.Units())).Draw(t, "used"))
	if err := r.allocations.Settle(res, used); err != nil {
		t.Fatal(err)
	}
	f.used[r.holder] += used
	f.requests++
	b := cicadaledger.Bill{RequestID: fmt.Sprint(f.requests), Budget: budget, Units: used, Outcome: cicadaledger.OutcomeComplete}
	if f.keyed && rapid.Bool().Draw(t, "keyed") {
		b.Key = fmt.Sprintf("k%d", rapid.IntRange(0, 1).Draw(t, "key"))
	}
	r.bills = append(r.bills, b)
}

// exchange sends the router's next exchange, or repeats the one in flight, to any
// home that still runs, whether fenced off or not.
func (f *fleet) exchange(t *rapid.T) {
	r, h := f.pickRouter(t), f.pickHome(t)
	if h.batch != nil {
		t.Skip("the home waits for its commit")
	}
	if r.openExchange == nil {
		x := &cicadaledger.Exchange{Holder: r.holder, Seq: r.seq + 1, Bills: r.bills, Loans: r.loans}
		r.bills, r.loans = nil, nil
		x.UnitRequests = []cicadaledger.UnitRequest{{Budget: budget, Want: cicadabudget.Units(rapid.Int64Range(0, 60).Draw(t, "want"))}}
		r.allocations.SetScarce(budget, rapid.Bool().Draw(t, "scarce"))
		for _, a := range r.allocations.TakeIdle(func(string) bool { return true }, f.now) {
			x.Returns = append(x.Returns, cicadaledger.Amount{Budget: budget, Units: a.Want})
		}
		r.openExchange = x
	}
	recorded, err := h.ledger.RecordedResult(r.openExchange)
	if err != nil {
		return // a superseded home that misses later batches
	}
	if recorded != nil {
		r.applyResult(recorded)
		return
	}
	result, err := h.ledger.Stage(r.openExchange, fullyAllotted, f.now)
	if err != nil {
		if h.incarnation == f.store.incarnation {
			t.Fatalf("the current home refused a valid exchange: %v", err)
		}
		return
	}
	h.results[r] = result
	h.batch = h.ledger.SealBatch(h.incarnation, f.now)
}

// commitBatch attempts to commit a sealed batch. The response to the commit may be
// lost after the batch was written; the home then tries again and finds it written.
func (f *fleet) commitBatch(t *rapid.T) {
	h := f.pickHome(t)
	if h.batch == nil {
		t.Skip("nothing staged")
	}
	if !h.written {
		h.written = f.commit(h, h.batch)
		if !h.written {
			f.dropHome(h) // fenced off
			return
		}
		if rapid.Bool().Draw(t, "answerLost") {
			return
		}
	}
	for r, a := range h.results {
		if rapid.Bool().Draw(t, "delivered") && r.openExchange != nil && r.openExchange.Seq == a.Seq {
			r.applyResult(&a)
		}
	}
	h.batch, h.written = nil, false
	clear(h.results)
}

func (r *router) applyResult(a *cicadaledger.ExchangeResult) {
	for _, m := range r.openExchange.Loans {
		if m.From == r.holder {
			r.allocations.ConfirmReturned(m.Budget, m.Units)
		} else {
			r.allocations.ConfirmLoan(m.Budget, m.Units)
		}
	}
	for _, x := range r.openExchange.Returns {
		r.allocations.ConfirmReturned(x.Budget, x.Units)
	}
	for _, b := range r.openExchange.Bills {
		r.allocations.ConfirmBilled(b.Budget, b.Units+b.Withheld)
	}
	for _, c := range a.Credits {
		r.allocations.AddGrant(c.Budget, c.Units)
	}
	for _, g := range a.Grants {
		r.allocations.AddGrant(g.Budget, g.Units)
	}
	r.seq = r.openExchange.Seq
	r.openExchange = nil
}

func (f *fleet) allot(t *rapid.T) {
	h := f.pickHome(t)
	if h.batch != nil {
		t.Skip("the home waits for its commit")
	}
	if h.incarnation != f.store.incarnation {
		f.dropHome(h)
		return
	}
	units := f.store.row.Allot(region, cicadabudget.Units(rapid.Int64Range(1, 50).Draw(t, "need")))
	if units == 0 {
		t.Skip("dry")
	}
	b := h.ledger.AllotmentBatch(h.incarnation, []cicadaledger.Amount{{Budget: budget, Units: units}}, f.now)
	f.store.log = append(f.store.log, *b)
	if err := h.ledger.Apply(b); err != nil {
		t.Fatal(err)
	}
}

// lend moves units between routers. The response to the borrower may be lost.
func (f *fleet) lend(t *rapid.T) {
	from, to := f.pickRouter(t), f.pickRouter(t)
	if from == to {
		t.Skip("the same router")
	}
	units := from.allocations.TakeLoan(budget, 1, cicadabudget.Units(rapid.Int64Range(1, 20).Draw(t, "units")))
	if units == 0 {
		t.Skip("nothing free")
	}
	from.lastLoanID++
	loan := cicadaledger.Loan{ID: from.lastLoanID, From: from.holder, To: to.holder, Budget: budget, Units: units}
	from.loans = append(from.loans, loan)
	if rapid.Bool().Draw(t, "delivered") {
		to.loans = append(to.loans, loan)
		to.allocations.AddBorrowed(budget, units)
	}
}

// recover returns the units of a crashed router, based on the usage recorded by
// its upstream and the loans reported by the routers that borrowed from it.
func (f *fleet) recover(t *rapid.T) {
	h := f.pickHome(t)
	if h.batch != nil || h.incarnation != f.store.incarnation || len(f.ended) == 0 {
		t.Skip("no current home, or no ended router")
	}
	id := f.ended[rapid.IntRange(0, len(f.ended)-1).Draw(t, "ended")]
	var loans []cicadaledger.Loan
	for _, r := range f.routers {
		unrecorded := r.loans
		if r.openExchange != nil {
			unrecorded = append(append([]cicadaledger.Loan(nil), unrecorded...), r.openExchange.Loans...)
		}
		for _, m := range unrecorded {
			if m.From == id {
				loans = append(loans, m)
			}
		}
	}
	if len(h.ledger.Holdings(id)) == 0 {
		t.Skip("nothing held")
	}
	if _, err := h.ledger.StageOperation(h.ledger.RecoveryOperation(id, budget, f.used[id], loans), f.now); err != nil {
		t.Fatal(err)
	}
	h.batch = h.ledger.SealBatch(h.incarnation, f.now)
}

func (f *fleet) crashRouter(t *rapid.T) {
	i := rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")
	for _, res := range f.routers[i].reservations {
		f.used[f.routers[i].holder] += cicadabudget.Units(rapid.Int64Range(0, int64(res.Units())).Draw(t, "used"))
	}
	f.ended = append(f.ended, f.routers[i].holder)
	f.routers[i] = newRouter(i, f.routers[i].holder.Incarnation+1)
}

func (r *router) openLoans() []cicadaledger.Loan {
	if r.openExchange == nil {
		return nil
	}
	return r.openExchange.Loans
}

// loanRecorded reports whether a loan has taken effect in the log.
func loanRecorded(f *fleet, m cicadaledger.Loan) bool {
	for i := range f.store.log {
		for _, s := range f.store.log[i].Operations {
			for _, x := range s.Loans {
				if x.From == m.From && x.ID == m.ID {
					return true
				}
			}
		}
	}
	return false
}

// checkInvariants replays the log and compares the result with the units that the
// routers hold.
func (f *fleet) checkInvariants(t *rapid.T) {
	p := cicadaledger.New(cfg)
	billed := make(map[string]int)
	for i := range f.store.log {
		if err := p.Apply(&f.store.log[i]); err != nil {
			t.Fatalf("batch %d of the log: %v", i, err)
		}
		for _, s := range f.store.log[i].Operations {
			for _, b := range s.Bills {
				if b.Key != "" && !b.Voided {
					billed[b.Key]++
				}
			}
		}
	}
	for key, n := range billed {
		if n > 1 {
			t.Fatalf("key %s was billed %d times", key, n)
		}
	}
	balance := p.Balance(budget)
	if balance.Available < 0 || balance.Spent+balance.Withheld+balance.Held > balance.Allotted || balance.Allotted > f.store.row.Prepaid {
		t.Fatalf("overspent: balance %+v, %d prepaid", balance, f.store.row.Prepaid)
	}
	var used cicadabudget.Units
	for _, u := range f.used {
		used += u
	}
	if !f.keyed && used > f.store.row.Prepaid {
		t.Fatalf("%d units used, %d prepaid", used, f.store.row.Prepaid)
	}
	held := p.UnitsByHolder(budget)
	for _, r := range f.routers {
		// Units in the exchange in flight may already be recorded.
		spendable := r.allocations.Held(budget) - r.allocations.Pending(budget)
		for _, b := range r.bills {
			spendable += b.Units
		}
		for _, m := range append(append([]cicadaledger.Loan(nil), r.loans...), r.openLoans()...) {
			if m.To == r.holder && !loanRecorded(f, m) {
				spendable -= m.Units
			}
		}
		if spendable > held[r.holder] {
			t.Fatalf("router %v can spend %d units, but holds only %d in the ledger", r.holder, spendable, held[r.holder])
		}
	}
}

// init fixes the seed, so that every run has the same result. Flags such as
// -rapid.checks=100000 -rapid.seed=7 request a longer search.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "120")
}

func TestLedgerUnderFailures(t *testing.T) { checkFleet(t, true) }

// TestUseStaysWithinPrepaid uses no idempotency keys, so that no run is free of
// charge: the units used at the upstreams must stay within the prepaid total,
// whichever processes crash.
func TestUseStaysWithinPrepaid(t *testing.T) { checkFleet(t, false) }

func checkFleet(t *testing.T, keyed bool) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.keyed = keyed
		t.Repeat(map[string]func(*rapid.T){
			"request":   f.request,
			"finish":    f.settle,
			"exchange":  f.exchange,
			"exchange2": f.exchange,
			"commit":    f.commitBatch,
			"commit2":   f.commitBatch,
			"allot":     f.allot,
			"takeOver":  func(*rapid.T) { f.takeOver() },
			"crash":     f.crashRouter,
			"recover":   f.recover,
			"lend":      f.lend,
			"topUp": func(t *rapid.T) {
				f.store.row.Prepaid += cicadabudget.Units(rapid.Int64Range(0, 100).Draw(t, "units"))
			},
			"time": func(*rapid.T) { f.now = f.now.Add(time.Second) },
			"":     f.checkInvariants,
		})
	})
}

// TestCheckpointEqualsReplay checks that a state restored from a checkpoint equals
// the state replayed from the log.
func TestCheckpointEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := f.homes[0]
			r := f.pickRouter(t)
			x := &cicadaledger.Exchange{Holder: r.holder, Seq: r.seq + 1, UnitRequests: []cicadaledger.UnitRequest{{Budget: budget, Want: 5}}}
			r.seq++
			if rapid.Bool().Draw(t, "claims") {
				x.Claims = []cicadaledger.Claim{{Key: fmt.Sprint("k", r.seq), RequestID: "x", AtMostOnce: true}}
			}
			if _, err := h.ledger.Stage(x, fullyAllotted, f.now); err != nil {
				t.Fatal(err)
			}
			f.store.log = append(f.store.log, *h.ledger.SealBatch(1, f.now))
		}
		data, err := cicadaledger.EncodeCheckpoint(f.homes[0].ledger.Checkpoint())
		if err != nil {
			t.Fatal(err)
		}
		c, err := cicadaledger.DecodeCheckpoint(data)
		if err != nil {
			t.Fatal(err)
		}
		restored, err := cicadaledger.Restore(cfg, c)
		if err != nil {
			t.Fatal(err)
		}
		f.takeOver()
		replayed := f.homes[1].ledger
		if diff := cmp.Diff(replayed.Balances(), restored.Balances()); diff != "" {
			t.Fatalf("balances (-replayed +restored)\n%s", diff)
		}
		if diff := cmp.Diff(replayed.UnitsByHolder(budget), restored.UnitsByHolder(budget)); diff != "" {
			t.Fatalf("holders (-replayed +restored)\n%s", diff)
		}
		if diff := cmp.Diff(replayed.Seq(), restored.Seq()); diff != "" {
			t.Fatalf("sequence number (-replayed +restored)\n%s", diff)
		}
	})
}
