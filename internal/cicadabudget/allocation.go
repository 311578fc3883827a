package cicadabudget

import (
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"
)

const (
	// allocationRateHalfLife is the half-life of the observed rate of use of an idle
	// allocation.
	allocationRateHalfLife = 5 * time.Second
	// idleReturnTime is the time without a reservation after which all free units of an
	// allocation are returned.
	idleReturnTime = 15 * time.Second
	// lowWaterShare is the share of the target below which a refill is requested.
	lowWaterShare = 0.5
	// returnThreshold is the multiple of the target above which the surplus is returned.
	returnThreshold = 4
	// minRefillReservations is the number of reservations of the largest size so far that the
	// target covers at least.
	minRefillReservations = 2
)

// ErrNoReservation is returned when a reservation is unknown or already settled.
var ErrNoReservation = errors.New("no such reservation")

// ErrOverReservation is returned when a request used more units than it reserved, or a negative
// number of them.
var ErrOverReservation = errors.New("use exceeds the reservation")

type (
	// Allocations are the units of each budget that this router has been allocated.
	//
	// For each budget, free + reserved + pending is at most what the home of its partition has
	// recorded as held by this router, plus the borrowed units, which the home still records as
	// held by their lender. So the router cannot exceed the prepaid total, whatever it does with
	// these units.
	Allocations struct {
		horizon  time.Duration
		byBudget map[string]*allocation
		nextID   uint64
	}

	allocation struct {
		free               Units
		reserved           Units
		pending            Units // settled or returned, not yet acknowledged by the home
		settled            Units // the settled part of pending
		borrowed           Units // lent by other routers, not yet recorded by the home
		openReservations   map[uint64]Units
		largestReservation Units // since the allocation was created
		rate               float64
		rateUpdatedAt      time.Time
		lastReservedAt     time.Time
		scarce             bool // the home has too few units; hold only what is reserved
	}

	// Reservation is the right to spend units on one request.
	Reservation struct {
		budget string
		id     uint64
		units  Units
	}

	// Shortfall reports that the free units of an allocation do not cover a reservation.
	Shortfall struct {
		Free    Units
		Missing Units
	}

	// Adjustment changes an allocation: a refill requested from the home, or units returned to
	// it. Want is the number of units requested or returned. Min is not set.
	Adjustment struct {
		Budget string
		Min    Units
		Want   Units
	}

	// AllocationState describes an allocation in a state dump.
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

// NewAllocations returns an empty set of allocations. Horizon is the time that a refill should
// last: a few round trips to the home plus its commit interval.
func NewAllocations(horizon time.Duration) *Allocations {
	return &Allocations{horizon: horizon, byBudget: make(map[string]*allocation)}
}

// Budget returns the name of the budget that r reserves from.
func (r Reservation) Budget() string { return r.budget }

// Units returns the number of reserved units.
func (r Reservation) Units() Units { return r.units }

func (a *Allocations) get(budget string) *allocation {
	alloc, ok := a.byBudget[budget]
	if !ok {
		alloc = &allocation{openReservations: make(map[uint64]Units)}
		a.byBudget[budget] = alloc
	}
	return alloc
}

// Reserve reserves free units of a budget's allocation. If there are too few it reserves
// nothing and returns the shortfall.
func (a *Allocations) Reserve(budget string, units Units, now time.Time) (Reservation, *Shortfall) {
	alloc := a.get(budget)
	alloc.decay(now)
	alloc.largestReservation = max(alloc.largestReservation, units)
	alloc.lastReservedAt = now
	if units < 0 || units > alloc.free {
		return Reservation{}, &Shortfall{Free: alloc.free, Missing: units - alloc.free}
	}
	alloc.free -= units
	alloc.reserved += units
	alloc.rate += float64(units) * math.Ln2 / allocationRateHalfLife.Seconds()
	a.nextID++
	alloc.openReservations[a.nextID] = units
	return Reservation{budget: budget, id: a.nextID, units: units}, nil
}

// Settle ends a reservation. Used units are pending until the home acknowledges them, and
// unused units become free.
func (a *Allocations) Settle(r Reservation, used Units) error {
	alloc, ok := a.byBudget[r.budget]
	if !ok {
		return ErrNoReservation
	}
	units, ok := alloc.openReservations[r.id]
	if !ok {
		return ErrNoReservation
	}
	if used < 0 || used > units {
		return ErrOverReservation
	}
	delete(alloc.openReservations, r.id)
	alloc.reserved -= units
	alloc.pending += used
	alloc.settled += used
	alloc.free += units - used
	return nil
}

// AddGrant adds units that the home has recorded as granted to this router.
func (a *Allocations) AddGrant(budget string, units Units) {
	alloc := a.get(budget)
	alloc.free += units
}

// AddBorrowed adds units lent by another router.
func (a *Allocations) AddBorrowed(budget string, units Units) {
	alloc := a.get(budget)
	alloc.free += units
	alloc.borrowed += units
}

// ConfirmLoan records that the home has recorded borrowed units.
func (a *Allocations) ConfirmLoan(budget string, units Units) {
	a.get(budget).borrowed -= units
}

// ConfirmBilled removes settled units that the home has recorded.
func (a *Allocations) ConfirmBilled(budget string, units Units) {
	alloc := a.get(budget)
	alloc.pending -= units
	alloc.settled -= units
}

// ConfirmReturned removes returned units that the home has recorded.
func (a *Allocations) ConfirmReturned(budget string, units Units) {
	a.get(budget).pending -= units
}

// Settled returns the used units that the home may not have recorded yet.
func (a *Allocations) Settled(budget string) Units {
	alloc, ok := a.byBudget[budget]
	if !ok {
		return 0
	}
	return alloc.settled
}

// SetScarce sets whether the home has too few units of a budget.
func (a *Allocations) SetScarce(budget string, scarce bool) {
	a.get(budget).scarce = scarce
}

// Refills returns the refills to request for allocations below their low-water mark, sorted by
// budget.
func (a *Allocations) Refills(now time.Time) []Adjustment {
	var refills []Adjustment
	for name, alloc := range a.byBudget {
		alloc.decay(now)
		if alloc.isLow(a.horizon, now) {
			refills = append(refills, Adjustment{Budget: name, Want: alloc.target(a.horizon, now) - alloc.free})
		}
	}
	sort.Slice(refills, func(i, j int) bool { return refills[i].Budget < refills[j].Budget })
	return refills
}

// TakeIdle removes the free units that the router does not need from the budgets that match
// selects. The units stay pending until the home acknowledges them.
func (a *Allocations) TakeIdle(match func(budget string) bool, now time.Time) []Adjustment {
	return a.takeFree(match, func(alloc *allocation) Units {
		alloc.decay(now)
		switch {
		case alloc.scarce, now.Sub(alloc.lastReservedAt) >= idleReturnTime:
			return alloc.free
		case alloc.free > returnThreshold*alloc.target(a.horizon, now):
			return alloc.free - alloc.target(a.horizon, now)
		default:
			return 0
		}
	})
}

// TakeAll removes all free units of the budgets that match selects, for a planned stop.
func (a *Allocations) TakeAll(match func(budget string) bool) []Adjustment {
	return a.takeFree(match, func(alloc *allocation) Units { return alloc.free })
}

func (a *Allocations) takeFree(match func(string) bool, surplus func(*allocation) Units) []Adjustment {
	var out []Adjustment
	for name, alloc := range a.byBudget {
		if !match(name) {
			continue
		}
		if units := surplus(alloc); units > 0 {
			alloc.free -= units
			alloc.pending += units
			out = append(out, Adjustment{Budget: name, Want: units})
		}
		if alloc.isEmpty() && !alloc.scarce {
			delete(a.byBudget, name)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	return out
}

// TakeLoan removes up to want free units for another router, and at least minUnits or none. It
// leaves at least half of the free units. The units stay pending until the home has recorded
// the loan. While an allocation has borrowed units that the home has not recorded, nothing is
// lent from it, because the home could not tell whose units they are.
func (a *Allocations) TakeLoan(budget string, minUnits, want Units) Units {
	alloc, ok := a.byBudget[budget]
	if !ok {
		return 0
	}
	units := min(want, alloc.free/2)
	if alloc.borrowed > 0 || units < minUnits || units <= 0 {
		return 0
	}
	alloc.free -= units
	alloc.pending += units
	return units
}

// IsLow reports whether a budget's allocation is below its low-water mark.
func (a *Allocations) IsLow(budget string, now time.Time) bool {
	alloc, ok := a.byBudget[budget]
	return ok && alloc.isLow(a.horizon, now)
}

// Free returns the units of a budget that can be reserved.
func (a *Allocations) Free(budget string) Units {
	alloc, ok := a.byBudget[budget]
	if !ok {
		return 0
	}
	return alloc.free
}

// Pending returns the settled and returned units that the home has not acknowledged yet.
func (a *Allocations) Pending(budget string) Units {
	alloc, ok := a.byBudget[budget]
	if !ok {
		return 0
	}
	return alloc.pending
}

// ReservedIn returns the sum of reserved units of the budgets that match selects.
func (a *Allocations) ReservedIn(match func(budget string) bool) Units {
	var sum Units
	for name, alloc := range a.byBudget {
		if match(name) {
			sum += alloc.reserved
		}
	}
	return sum
}

// Held returns the sum of free, reserved and pending units of a budget.
func (a *Allocations) Held(budget string) Units {
	alloc, ok := a.byBudget[budget]
	if !ok {
		return 0
	}
	return alloc.free + alloc.reserved + alloc.pending
}

// State returns the state of all allocations, sorted by budget.
func (a *Allocations) State() []AllocationState {
	out := make([]AllocationState, 0, len(a.byBudget))
	for name, alloc := range a.byBudget {
		out = append(out, AllocationState{
			Budget: name, Free: alloc.free, Reserved: alloc.reserved, Pending: alloc.pending,
			UnitsPerSecond: alloc.rate, Scarce: alloc.scarce, OpenRequests: len(alloc.openReservations), LargestReservation: alloc.largestReservation,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	return out
}

func (alloc *allocation) isEmpty() bool {
	return alloc.free == 0 && alloc.reserved == 0 && alloc.pending == 0 && len(alloc.openReservations) == 0
}

// target returns the free units that last for the horizon at the observed rate.
func (alloc *allocation) target(horizon time.Duration, now time.Time) Units {
	if now.Sub(alloc.lastReservedAt) >= idleReturnTime {
		return 0
	}
	byRate := Units(alloc.rate * horizon.Seconds())
	return max(byRate, minRefillReservations*alloc.largestReservation)
}

// isLow reports whether the allocation should be refilled before a request has to wait.
func (alloc *allocation) isLow(horizon time.Duration, now time.Time) bool {
	return !alloc.scarce && float64(alloc.free) < lowWaterShare*float64(alloc.target(horizon, now))
}

// decay reduces the observed rate by the time passed since its last update.
func (alloc *allocation) decay(now time.Time) {
	if elapsed := now.Sub(alloc.rateUpdatedAt); elapsed > 0 && !alloc.rateUpdatedAt.IsZero() {
		alloc.rate *= math.Exp2(-elapsed.Seconds() / allocationRateHalfLife.Seconds())
	}
	alloc.rateUpdatedAt = now
}
