package cicadabudget_test

import (
	"fmt"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
)

// BenchmarkHeld sums what a router holds at the size to design for: 73,000 budgets,
// of which 180 are in use here.
func BenchmarkHeld(b *testing.B) {
	a := cicadabudget.NewAccounts()
	for i := range 73_000 {
		name := fmt.Sprint("org", i)
		a.Configure(name, 1_000_000, 1)
		if i < 180 {
			a.AddLoan(name, 0, 1000, epoch)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Holdings(16, epoch)
	}
}
