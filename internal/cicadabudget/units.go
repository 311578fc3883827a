// Package cicadabudget implements the accounting of prepaid budgets in a router: the units that
// it holds of each budget and may spend without asking the store or another router. Accounts
// hold units drawn from pools in the store. Allocations hold units granted by the home, the
// router that owns the budget's partition.
//
// The package does no input or output and reads no clock; callers pass the time. Allocations
// are not safe for concurrent use: the router's session owns and guards them.
package cicadabudget

import (
	"math"

	"github.com/pkg/errors"
)

// Units counts tokens, or the billing unit of a plain service.
type Units int64

// MaxUnits is the largest amount that a budget can hold.
const MaxUnits Units = math.MaxInt64 / 4

// ErrOverflow is returned when a sum exceeds MaxUnits.
var ErrOverflow = errors.New("units overflow")

// ErrNegative is returned when an operand or a difference is negative.
var ErrNegative = errors.New("units below zero")

// Add returns u+v for non-negative u and v, or ErrOverflow if the sum exceeds MaxUnits.
func (u Units) Add(v Units) (Units, error) {
	if u < 0 || v < 0 {
		return 0, ErrNegative
	}
	if u > MaxUnits-v {
		return 0, ErrOverflow
	}
	return u + v, nil
}

// Sub returns u-v, or ErrNegative if v is larger than u.
func (u Units) Sub(v Units) (Units, error) {
	if v < 0 || v > u {
		return 0, ErrNegative
	}
	return u - v, nil
}
