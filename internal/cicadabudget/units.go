// Package cicadabudget holds the arithmetic of prepaid budgets and the part of
// a budget that one router may spend without asking anybody: its slices.
//
// The package does no input or output and reads no clock; callers pass the
// time in. A Slices value is not safe for concurrent use: the router's session
// owns it and guards it.
package cicadabudget

import (
	"math"

	"github.com/pkg/errors"
)

// Units counts tokens, or the unit that a plain service is billed in.
type Units int64

// MaxUnits is the largest amount a budget can hold.
const MaxUnits Units = math.MaxInt64 / 4

// ErrOverflow is returned when an addition leaves the range of Units.
var ErrOverflow = errors.New("units overflow")

// ErrNegative is returned when a subtraction would leave a negative amount.
var ErrNegative = errors.New("units below zero")

// Add returns u+v for non-negative u and v, or ErrOverflow above MaxUnits.
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
