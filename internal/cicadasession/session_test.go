package cicadasession_test

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadasession"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

const budget = "svc/acme"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHome serves exchanges from a real ledger. It can drop results, be
// unavailable, or end sessions.
type fakeHome struct {
	mu            sync.Mutex
	ledger        *cicadaledger.Partition
	fullyAllotted bool
	unavailable   bool
	ended         bool
	dropResults   int // number of results to drop after the exchange took effect
	exchanges     []cicadaledger.Exchange
	loan          *cicadaledger.Loan
}

func newFakeHome(allotted cicadabudget.Units) *fakeHome {
	id := cicadaledger.PartitionOf("east", budget)
	h := &fakeHome{ledger: cicadaledger.New(cicadaledger.Config{ID: id}), fullyAllotted: true}
	allot := h.ledger.AllotmentBatch(1, []cicadaledger.Amount{{Budget: budget, Units: allotted}}, time.Now())
	if err := h.ledger.Apply(allot); err != nil {
		panic(err)
	}
	return h
}

func (h *fakeHome) Exchange(_ context.Context, item *cicadapeer.ExchangeItem) (*cicadaledger.ExchangeResult, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.ended:
		return nil, cicadasession.ErrSessionEnded
	case h.unavailable:
		return nil, cicadapeer.ErrUnreachable
	}
	x := item.Exchange
	result, err := h.ledger.RecordedResult(&x)
	if err != nil {
		return nil, err
	}
	if result == nil {
		h.exchanges = append(h.exchanges, x)
		a, err := h.ledger.Stage(&x, func(string) bool { return h.fullyAllotted }, time.Now())
		if err != nil {
			return nil, err
		}
		h.ledger.SealBatch(1, time.Now())
		result = &a
	}
	if h.dropResults > 0 {
		h.dropResults--
		return nil, cicadapeer.ErrUnreachable
	}
	return result, nil
}

func (h *fakeHome) Borrow(context.Context, string, cicadabudget.Units, cicadabudget.Units) (*cicadaledger.Loan, error) {
	return h.loan, nil
}

func (h *fakeHome) Claim(context.Context, *cicadapeer.ClaimRequest) (cicadaledger.ClaimResult, error) {
	return cicadaledger.ClaimResult{Status: cicadaledger.KeyGranted}, nil
}

func (h *fakeHome) balance() cicadaledger.Balance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Balance(budget)
}

func (h *fakeHome) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func newManager(t *testing.T, h *fakeHome, onEnded func()) *cicadasession.Manager {
	t.Helper()
	return cicadasession.New(cicadasession.Config{
		HomeClient: h, Self: cicadaledger.RouterID{Host: "r", Incarnation: 1}, Region: "east",
		FlushInterval: func() time.Duration { return time.Millisecond },
		Log:           &log.Logger{Handler: discard.New()}, Counts: new(expvar.Map).Init(), Now: time.Now, OnDeclaredEnded: onEnded,
	})
}

func closeManager(t *testing.T, m *cicadasession.Manager) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := m.Close(ctx); err != nil {
		t.Error(err)
	}
}

func settle(t *testing.T, m *cicadasession.Manager, r cicadabudget.Reservation, id string, units cicadabudget.Units) {
	t.Helper()
	recorded, err := m.Settle(r, cicadaledger.Bill{RequestID: id, Budget: budget, Units: units, Outcome: cicadaledger.OutcomeComplete})
	if err != nil {
		t.Fatal(err)
	}
	<-recorded
}

// TestCloseReturnsAllUnits spends some units and closes the manager: the ledger
// must then show the spent units and none held.
func TestCloseReturnsAllUnits(t *testing.T) {
	h := newFakeHome(1000)
	m := newManager(t, h, nil)
	r, err := m.Reserve(t.Context(), budget, 40, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	settle(t, m, r, "a", 25)
	closeManager(t, m)
	want := cicadaledger.Balance{Budget: budget, Allotted: 1000, Spent: 25, Available: 975}
	if diff := cmp.Diff(want, h.balance()); diff != "" {
		t.Errorf("balance (-want +got)\n%s", diff)
	}
	if _, err := m.Reserve(t.Context(), budget, 1, time.Second); !errors.Is(err, cicadasession.ErrClosed) {
		t.Errorf("a reservation after Close: error %v, want ErrClosed", err)
	}
}

// TestExchangeIsRepeatedAfterALostResult drops results after their exchanges took
// effect. Bills must be counted once although the exchanges are repeated.
func TestExchangeIsRepeatedAfterALostResult(t *testing.T) {
	h := newFakeHome(1000)
	h.dropResults = 3
	m := newManager(t, h, nil)
	for i := range 10 {
		r, err := m.Reserve(t.Context(), budget, 40, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if i%3 == 0 {
			h.update(func() { h.dropResults = 2 })
		}
		settle(t, m, r, "x", 10)
	}
	closeManager(t, m)
	if diff := cmp.Diff(cicadabudget.Units(100), h.balance().Spent); diff != "" {
		t.Errorf("spent (-want +got)\n%s", diff)
	}
}

func TestReserveErrors(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(h *fakeHome)
		units cicadabudget.Units
		want  error
	}{
		{"more than the budget has", func(*fakeHome) {}, 101, cicadasession.ErrExhausted},
		{"not fully allotted, no further allotment yet", func(h *fakeHome) { h.fullyAllotted = false }, 101, cicadasession.ErrHomeUnavailable},
		{"the home is unavailable", func(h *fakeHome) { h.unavailable = true }, 10, cicadasession.ErrHomeUnavailable},
		{"another router holds the units", func(h *fakeHome) {
			x := &cicadaledger.Exchange{Holder: cicadaledger.RouterID{Host: "other"}, Seq: 1, UnitRequests: []cicadaledger.UnitRequest{{Budget: budget, Min: 95}}}
			if _, err := h.ledger.Stage(x, func(string) bool { return true }, time.Now()); err != nil {
				panic(err)
			}
			h.ledger.SealBatch(1, time.Now())
		}, 10, cicadasession.ErrUnitsHeld},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newFakeHome(100)
			tc.setup(h)
			m := newManager(t, h, nil)
			_, err := m.Reserve(t.Context(), budget, tc.units, 100*time.Millisecond)
			if !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
			m.Abandon()
		})
	}
}

// TestWaitingRequestGetsReturnedUnits checks that a waiting request gets the units
// that another request reserved but did not use.
func TestWaitingRequestGetsReturnedUnits(t *testing.T) {
	h := newFakeHome(100)
	m := newManager(t, h, nil)
	first, err := m.Reserve(t.Context(), budget, 80, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() {
		_, err := m.Reserve(context.Background(), budget, 60, 10*time.Second)
		got <- err
	}()
	time.Sleep(20 * time.Millisecond) // the second request is waiting, or will find the units at once
	settle(t, m, first, "a", 10)
	if err := <-got; err != nil {
		t.Errorf("reservation of the waiting request: %v", err)
	}
	m.Abandon()
}

func TestRecallReturnsIdleUnits(t *testing.T) {
	h := newFakeHome(1000)
	m := newManager(t, h, nil)
	r, err := m.Reserve(t.Context(), budget, 40, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	m.Recall([]string{budget})
	for begin := time.Now(); h.balance().Held != 40; {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("idle units not returned after 10 s: %+v", h.balance())
		}
		time.Sleep(time.Millisecond)
	}
	settle(t, m, r, "a", 40)
	closeManager(t, m)
}

// TestDeclaredEndedProcessStopsSpending ends the session at the home: the manager
// must then refuse new reservations.
func TestDeclaredEndedProcessStopsSpending(t *testing.T) {
	h := newFakeHome(1000)
	ended := make(chan struct{})
	m := newManager(t, h, func() { close(ended) })
	r, err := m.Reserve(t.Context(), budget, 40, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	h.update(func() { h.ended = true })
	if _, err := m.Settle(r, cicadaledger.Bill{RequestID: "a", Budget: budget, Units: 1, Outcome: cicadaledger.OutcomeComplete}); err != nil {
		t.Fatal(err)
	}
	<-ended
	if _, err := m.Reserve(t.Context(), budget, 1, time.Second); !errors.Is(err, cicadasession.ErrClosed) {
		t.Errorf("a reservation after the session's end: error %v, want ErrClosed", err)
	}
	m.Abandon()
}

// TestConcurrentUseDuringAbandon releases claims in many partitions while the
// manager is abandoned: the race detector must find nothing.
func TestConcurrentUseDuringAbandon(t *testing.T) {
	for range 20 {
		m := newManager(t, newFakeHome(1000), nil)
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := range 50 {
					m.ReleaseClaim(fmt.Sprintf("svc/%d-%d", i, n), cicadaledger.Claim{Key: "k", RequestID: "r"})
				}
			}()
		}
		m.Abandon()
		wg.Wait()
	}
}
