package cicadaquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
)

// BenchmarkRecordCrash records a crash when as many others are kept as the bounds allow, each with
// suspects that share their traits and were never answered.
func BenchmarkRecordCrash(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	q := cicadaquarantine.New(cicadaquarantine.Config{})
	crash := func(i int) {
		var suspects []traits
		for range 32 {
			suspects = append(suspects, traits{
				cicadaquarantine.Trait(fmt.Sprint("request", rng.IntN(1_000_000))), cicadaquarantine.Trait(fmt.Sprint("first", rng.IntN(20))),
				cicadaquarantine.Trait(fmt.Sprint("subject", rng.IntN(300))), cicadaquarantine.Trait(fmt.Sprint("other", rng.IntN(300))),
			})
		}
		q.RecordCrash(fmt.Sprint("r", i), time.Duration(i)*300*time.Millisecond, begun(suspects))
	}
	for i := range 250 {
		crash(i)
	}
	b.ResetTimer()
	for i := range b.N {
		crash(250 + i%6)
	}
}
