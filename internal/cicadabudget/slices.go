package cicadabudget

import (
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"
)

const (
	// rateHalfLife is the time after which the observed draw rate of an idle
	// slice has halved.
	rateHalfLife = 5 * time.Second
	// idleReturn is the time without a reservation after which a slice is
	// given back whole.
	idleReturn = 15 * time.Second
	// lowWaterShare is the share of the target below which a refill is asked.
	lowWaterShare = 0.5
	// returnAboveTarget is the multiple of the target above which the
	// surplus is given back.
	returnAboveTarget = 4
	// reservationsAhead is the number of reservations of the largest recent
	// size that a refill must at least cover.
	reservationsAhead = 2
)

// ErrNoReservation is returned when a reservation is settled twice or was
// never made.
var ErrNoReservation = errors.New("no such reservation")

// ErrOverReservation is returned when a request used more than it reserved.
var ErrOverReservation = errors.New("use exceeds the reservation")

type (
	// Allocations are the units that this router holds of each budget.
	//
	// For each budget, free + reserved + pending is at most what the home of
	// its partition has recorded as held by this router, so whatever the
	// router does with them stays within the prepaid total.
	Allocations struct {
		horizon  time.Duration
		byBudget map[string]*slice
		nextID   uint64
	}

	slice struct {
		free        Units
		reserved    Units
		pending     Units // settled or returned, not yet acknowledged by the home
		settled     Units // the settled part of pending
		borrowed    Units // lent by other routers, not yet recorded by the home
		open        map[uint64]Units
		largest     Units // largest recent reservation
		rate        float64
		rateAt      time.Time
		lastReserve time.Time
		scarce      bool // the home is short: hold only what is reserved
	}

	// Reservation is the right to spend up to its units on one request.
	Reservation struct {
		budget string
		id     uint64
		units  Units
	}

	// Shortfall tells that a slice cannot cover a reservation.
	Shortfall struct {
		Free    Units
		Missing Units
	}

	// Adjustment is the amount of one budget that the router wants from the home.
	// Min is what a waiting request lacks, Want what later requests may use.
	Adjustment struct {
		Budget string
		Min    Units
		Want   Units
	}

	// AllocationState is one slice as shown to operators.
	AllocationState struct {
		Budget             string  `json:"budget"`
		Free               Units   `json:"free"`
		Reserved           Units   `json:"reserved"`
		Pending            Units   `json:"pending"`
		UnitsPerSecond     float64 `json:"unitsASecond"`
		Scarce             bool    `json:"scarce"`
		OpenRequests       int     `json:"openRequests"`
		LargestReservation Units   `json:"largestReservation"`
	}
)

// NewAllocations returns an empty set of slices. Horizon is the time that a refill
// should last: a few round trips to the home and its commit interval.
func NewAllocations(horizon time.Duration) *Allocations {
	return &Allocations{horizon: horizon, byBudget: make(map[string]*slice)}
}

// Budget returns the budget that r draws on.
func (r Reservation) Budget() string { return r.budget }

// Units returns the reserved amount.
func (r Reservation) Units() Units { return r.units }

func (s *Allocations) get(budget string) *slice {
	sl, ok := s.byBudget[budget]
	if !ok {
		sl = &slice{open: make(map[uint64]Units)}
		s.byBudget[budget] = sl
	}
	return sl
}

// Reserve takes units of budget out of the free part of its slice. If the
// slice is too small it takes nothing and reports what is missing.
func (s *Allocations) Reserve(budget string, units Units, now time.Time) (Reservation, *Shortfall) {
	sl := s.get(budget)
	sl.decay(now)
	sl.largest = max(sl.largest, units)
	sl.lastReserve = now
	if units < 0 || units > sl.free {
		return Reservation{}, &Shortfall{Free: sl.free, Missing: units - sl.free}
	}
	sl.free -= units
	sl.reserved += units
	sl.rate += float64(units) * math.Ln2 / rateHalfLife.Seconds()
	s.nextID++
	sl.open[s.nextID] = units
	return Reservation{budget: budget, id: s.nextID, units: units}, nil
}

// Settle ends a reservation. The used units wait for the home's
// acknowledgement; the rest is free again.
func (s *Allocations) Settle(r Reservation, used Units) error {
	sl, ok := s.byBudget[r.budget]
	if !ok {
		return ErrNoReservation
	}
	units, ok := sl.open[r.id]
	if !ok {
		return ErrNoReservation
	}
	if used < 0 || used > units {
		return ErrOverReservation
	}
	delete(sl.open, r.id)
	sl.reserved -= units
	sl.pending += used
	sl.settled += used
	sl.free += units - used
	return nil
}

// AddGrant adds units that the home granted and recorded.
func (s *Allocations) AddGrant(budget string, units Units) {
	sl := s.get(budget)
	sl.free += units
}

// AddBorrowed adds units that another router lent.
func (s *Allocations) AddBorrowed(budget string, units Units) {
	sl := s.get(budget)
	sl.free += units
	sl.borrowed += units
}

// ConfirmLoan notes that the home has recorded borrowed units.
func (s *Allocations) ConfirmLoan(budget string, units Units) {
	s.get(budget).borrowed -= units
}

// ConfirmBilled removes settled units that the home has recorded.
func (s *Allocations) ConfirmBilled(budget string, units Units) {
	sl := s.get(budget)
	sl.pending -= units
	sl.settled -= units
}

// ConfirmReturned removes returned units that the home has recorded.
func (s *Allocations) ConfirmReturned(budget string, units Units) {
	s.get(budget).pending -= units
}

// Settled returns the units that were used and that the home may not have
// recorded yet.
func (s *Allocations) Settled(budget string) Units {
	sl, ok := s.byBudget[budget]
	if !ok {
		return 0
	}
	return sl.settled
}

// SetScarce notes whether the home is short of a budget.
func (s *Allocations) SetScarce(budget string, scarce bool) {
	s.get(budget).scarce = scarce
}

// Refills lists the budgets whose slice fell below its low-water mark.
func (s *Allocations) Refills(now time.Time) []Adjustment {
	var asks []Adjustment
	for name, sl := range s.byBudget {
		sl.decay(now)
		if sl.isLow(s.horizon, now) {
			asks = append(asks, Adjustment{Budget: name, Want: sl.target(s.horizon, now) - sl.free})
		}
	}
	sort.Slice(asks, func(i, j int) bool { return asks[i].Budget < asks[j].Budget })
	return asks
}

// TakeIdle removes the free units that the router has no use for, of the
// budgets that match. They stay pending until the home acknowledges them.
func (s *Allocations) TakeIdle(match func(budget string) bool, now time.Time) []Adjustment {
	return s.takeFree(match, func(sl *slice) Units {
		sl.decay(now)
		switch {
		case sl.scarce, now.Sub(sl.lastReserve) >= idleReturn:
			return sl.free
		case sl.free > returnAboveTarget*sl.target(s.horizon, now):
			return sl.free - sl.target(s.horizon, now)
		default:
			return 0
		}
	})
}

// TakeAll removes every free unit of the budgets that match, for a planned
// stop.
func (s *Allocations) TakeAll(match func(budget string) bool) []Adjustment {
	return s.takeFree(match, func(sl *slice) Units { return sl.free })
}

func (s *Allocations) takeFree(match func(string) bool, surplus func(*slice) Units) []Adjustment {
	var out []Adjustment
	for name, sl := range s.byBudget {
		if !match(name) {
			continue
		}
		if units := surplus(sl); units > 0 {
			sl.free -= units
			sl.pending += units
			out = append(out, Adjustment{Budget: name, Want: units})
		}
		if sl.empty() && !sl.scarce {
			delete(s.byBudget, name)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	return out
}

// TakeLoan removes up to want free units for another router, and at least least,
// or none. It leaves half of what is free. The units stay pending until the home
// has recorded the loan. Units that are themselves borrowed are not lent on
// before the home knows of them: it could not tell whose they are.
func (s *Allocations) TakeLoan(budget string, least, want Units) Units {
	sl, ok := s.byBudget[budget]
	if !ok {
		return 0
	}
	units := min(want, sl.free/2)
	if sl.borrowed > 0 || units < least || units <= 0 {
		return 0
	}
	sl.free -= units
	sl.pending += units
	return units
}

// IsLow tells whether a budget's slice fell below its low-water mark.
func (s *Allocations) IsLow(budget string, now time.Time) bool {
	sl, ok := s.byBudget[budget]
	return ok && sl.isLow(s.horizon, now)
}

// Free returns the units of a budget that can be reserved.
func (s *Allocations) Free(budget string) Units {
	sl, ok := s.byBudget[budget]
	if !ok {
		return 0
	}
	return sl.free
}

// Pending returns the units that were settled or returned and not yet
// acknowledged.
func (s *Allocations) Pending(budget string) Units {
	sl, ok := s.byBudget[budget]
	if !ok {
		return 0
	}
	return sl.pending
}

// ReservedIn returns the reserved units of the budgets that match.
func (s *Allocations) ReservedIn(match func(budget string) bool) Units {
	var sum Units
	for name, sl := range s.byBudget {
		if match(name) {
			sum += sl.reserved
		}
	}
	return sum
}

// Held returns free, reserved and pending units of a budget together.
func (s *Allocations) Held(budget string) Units {
	sl, ok := s.byBudget[budget]
	if !ok {
		return 0
	}
	return sl.free + sl.reserved + sl.pending
}

// State lists every slice, by budget.
func (s *Allocations) State() []AllocationState {
	out := make([]AllocationState, 0, len(s.byBudget))
	for name, sl := range s.byBudget {
		out = append(out, AllocationState{
			Budget: name, Free: sl.free, Reserved: sl.reserved, Pending: sl.pending,
			UnitsPerSecond: sl.rate, Scarce: sl.scarce, OpenRequests: len(sl.open), LargestReservation: sl.largest,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	return out
}

func (sl *slice) empty() bool {
	return sl.free == 0 && sl.reserved == 0 && sl.pending == 0 && len(sl.open) == 0
}

// target is the free amount that lasts for the horizon at the observed rate.
func (sl *slice) target(horizon time.Duration, now time.Time) Units {
	if now.Sub(sl.lastReserve) >= idleReturn {
		return 0
	}
	byRate := Units(sl.rate * horizon.Seconds())
	return max(byRate, reservationsAhead*sl.largest)
}

// isLow tells whether the slice should be refilled before anybody waits.
func (sl *slice) isLow(horizon time.Duration, now time.Time) bool {
	return !sl.scarce && float64(sl.free) < lowWaterShare*float64(sl.target(horizon, now))
}

// decay lets the observed rate fall to now.
func (sl *slice) decay(now time.Time) {
	if elapsed := now.Sub(sl.rateAt); elapsed > 0 && !sl.rateAt.IsZero() {
		sl.rate *= math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
	}
	sl.rateAt = now
}
