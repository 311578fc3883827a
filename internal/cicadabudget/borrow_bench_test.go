package cicadabudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
)

// BenchmarkLook is what a router does with its accounts each time a request waits for
// units: many budgets are known, and some are in use.
func BenchmarkLook(b *testing.B) {
	const inUse = 180
	for _, known := range []int{1_000, 10_000, 73_000} {
		b.Run(fmt.Sprint(known), func(b *testing.B) {
			a := cicadabudget.NewAccounts()
			a.SetRouters(410)
			for i := range known {
				a.Configure(fmt.Sprint("org", i), 1_000_000, 1)
			}
			a.SetBorrowing(all)
			for i := range inUse {
				a.AddLoan(fmt.Sprint("org", i), 0, 1000, epoch)
			}
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * time.Microsecond)
				a.SetBorrowing(all)
				a.LoanRequests(now)
				a.TakeSurpluses(all, now)
				a.HasWaiters(true)
				a.Plan(true, now)
			}
		})
	}
}
