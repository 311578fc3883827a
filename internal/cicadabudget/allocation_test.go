package cicadabudget_test

import (
	"flag"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

const (
	budget  = "svc/acme"
	horizon = 2 * time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func matchAll(string) bool { return true }

func TestUnitsArithmetic(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func() (cicadabudget.Units, error)
		want cicadabudget.Units
		err  error
	}{
		{"sum", func() (cicadabudget.Units, error) { return cicadabudget.Units(3).Add(4) }, 7, nil},
		{"overflow", func() (cicadabudget.Units, error) { return cicadabudget.MaxUnits.Add(1) }, 0, cicadabudget.ErrOverflow},
		{"negative addend", func() (cicadabudget.Units, error) { return cicadabudget.Units(3).Add(-1) }, 0, cicadabudget.ErrNegative},
		{"difference", func() (cicadabudget.Units, error) { return cicadabudget.Units(4).Sub(3) }, 1, nil},
		{"below zero", func() (cicadabudget.Units, error) { return cicadabudget.Units(3).Sub(4) }, 0, cicadabudget.ErrNegative},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := tc.do()
			if diff := cmp.Diff(tc.want, got); diff != "" || !errors.Is(err, tc.err) {
				t.Errorf("(-want +got)\n%s error %v, want %v", diff, err, tc.err)
			}
		})
	}
}

func TestReserveAndSettle(t *testing.T) {
	s := cicadabudget.NewAllocations(horizon)
	s.AddGrant(budget, 100)
	r, short := s.Reserve(budget, 60, start)
	if short != nil {
		t.Fatalf("shortfall %+v with 100 units free", short)
	}
	_, short = s.Reserve(budget, 60, start)
	if diff := cmp.Diff(&cicadabudget.Shortfall{Free: 40, Missing: 20}, short); diff != "" {
		t.Errorf("second reservation (-want +got)\n%s", diff)
	}
	if err := s.Settle(r, 61); !errors.Is(err, cicadabudget.ErrOverReservation) {
		t.Errorf("settled more than reserved: %v", err)
	}
	if err := s.Settle(r, 25); err != nil {
		t.Fatal(err)
	}
	if err := s.Settle(r, 25); !errors.Is(err, cicadabudget.ErrNoReservation) {
		t.Errorf("settled twice: %v", err)
	}
	got := []cicadabudget.Units{s.Free(budget), s.Pending(budget), s.Held(budget)}
	if diff := cmp.Diff([]cicadabudget.Units{75, 25, 100}, got); diff != "" {
		t.Errorf("free, pending, held (-want +got)\n%s", diff)
	}
	s.ConfirmBilled(budget, 25)
	if diff := cmp.Diff(cicadabudget.Units(75), s.Held(budget)); diff != "" {
		t.Errorf("held after the acknowledgement (-want +got)\n%s", diff)
	}
}

func TestScarceAllocationReturnsIdleUnits(t *testing.T) {
	s := cicadabudget.NewAllocations(horizon)
	s.AddGrant(budget, 100)
	if _, short := s.Reserve(budget, 30, start); short != nil {
		t.Fatal("short")
	}
	if got := s.TakeIdle(matchAll, start); len(got) != 0 {
		t.Errorf("returned %v while in use", got)
	}
	s.SetScarce(budget, true)
	want := []cicadabudget.Adjustment{{Budget: budget, Want: 70}}
	if diff := cmp.Diff(want, s.TakeIdle(matchAll, start)); diff != "" {
		t.Errorf("idle units (-want +got)\n%s", diff)
	}
	if got := s.Refills(start); len(got) != 0 {
		t.Errorf("refills %v requested while the budget is scarce", got)
	}
}

func TestIdleAllocationIsReturnedWhole(t *testing.T) {
	s := cicadabudget.NewAllocations(horizon)
	s.AddGrant(budget, 100)
	r, _ := s.Reserve(budget, 10, start)
	if err := s.Settle(r, 10); err != nil {
		t.Fatal(err)
	}
	want := []cicadabudget.Adjustment{{Budget: budget, Want: 90}}
	if diff := cmp.Diff(want, s.TakeIdle(matchAll, start.Add(20*time.Second))); diff != "" {
		t.Errorf("idle units (-want +got)\n%s", diff)
	}
}

func TestRefillFollowsTheDrawRate(t *testing.T) {
	s := cicadabudget.NewAllocations(horizon)
	s.AddGrant(budget, 8200)
	now := start
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		r, short := s.Reserve(budget, 40, now)
		if short != nil {
			break
		}
		if err := s.Settle(r, 40); err != nil {
			t.Fatal(err)
		}
	}
	refills := s.Refills(now)
	if len(refills) != 1 {
		t.Fatalf("no refill requested after using 800 units per second: %+v", s.State())
	}
	// 800 units per second over a horizon of 2 s, within a factor of two.
	if refills[0].Want < 800 || refills[0].Want > 3200 {
		t.Errorf("refill of %d units requested, want about 1600", refills[0].Want)
	}
}

// init fixes the seed, so that every run gives the same result.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestUnitsAreNotCreated checks that no sequence of calls gives the router more units than it
// was granted.
func TestUnitsAreNotCreated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := cicadabudget.NewAllocations(horizon)
		var granted, acknowledged cicadabudget.Units // acknowledged: as spent or returned
		var open []cicadabudget.Reservation
		var settled, returned cicadabudget.Units // not acknowledged yet
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(t *rapid.T) {
				u := cicadabudget.Units(rapid.Int64Range(1, 500).Draw(t, "units"))
				s.AddGrant(budget, u)
				granted += u
			},
			"reserve": func(t *rapid.T) {
				u := cicadabudget.Units(rapid.Int64Range(0, 300).Draw(t, "units"))
				if r, short := s.Reserve(budget, u, now); short == nil {
					open = append(open, r)
				}
			},
			"settle": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing is open")
				}
				r := open[0]
				open = open[1:]
				used := cicadabudget.Units(rapid.Int64Range(0, int64(r.Units())).Draw(t, "used"))
				if err := s.Settle(r, used); err != nil {
					t.Fatal(err)
				}
				settled += used
			},
			"return": func(t *rapid.T) {
				s.SetScarce(budget, rapid.Bool().Draw(t, "scarce"))
				for _, a := range s.TakeIdle(matchAll, now) {
					returned += a.Want
				}
			},
			"acknowledge": func(*rapid.T) {
				s.ConfirmBilled(budget, settled)
				s.ConfirmReturned(budget, returned)
				acknowledged += settled + returned
				settled, returned = 0, 0
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if s.Held(budget)+acknowledged != granted {
					t.Fatalf("held %d and acknowledged %d units, but %d were granted", s.Held(budget), acknowledged, granted)
				}
				if s.Settled(budget) != settled {
					t.Fatalf("%d settled, want %d", s.Settled(budget), settled)
				}
				if s.Free(budget) < 0 {
					t.Fatalf("%d units free", s.Free(budget))
				}
			},
		})
	})
}
