package cicadaplace_test

import (
	"fmt"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

// BenchmarkChoose measures Choose in a region of usual size and of the planned maximum. It is called for
// each request on hosts with a small part of a core.
func BenchmarkChoose(b *testing.B) {
	for _, runners := range []int{90, 3000} {
		b.Run(fmt.Sprint(runners, " runners"), func(b *testing.B) {
			lb := newBalancer(runners)
			req := prompt("shared", 13_300, 3_720)
			for b.Loop() {
				assignment, err := lb.Choose(req, start)
				if err != nil {
					b.Fatal(err)
				}
				assignment.Finish(cicadaplace.Answered, start)
			}
		})
	}
}
