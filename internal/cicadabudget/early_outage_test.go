package cicadabudget_test

import (
	"testing"
	"time"
)

// TestLendingFleetInAnOutageSoonAfterTheStart checks that most requests are served in an outage of 9 s
// that begins 1.2 s after the first request, when the lender has seen few of them.
func TestLendingFleetInAnOutageSoonAfterTheStart(t *testing.T) {
	forLendingFleets(t, func(f *lendingFleet) {
		f.simulate(1200 * time.Millisecond)
		f.checkOutage(0.75)
		f.exhaustBudget()
	})
}
