package cicadalimit_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOpen looks at one limited runner each tenth of a second of the shared clock.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []int{9, 58, 410} {
		b.Run(fmt.Sprint(count, " routers"), func(b *testing.B) {
			r := newRouters(count, 0)[0]
			r.RecordLimit(runner, 10, start)
			at := time.Duration(0)
			for b.Loop() {
				at += 100 * time.Millisecond
				r.CanSend(runner, call, start.Add(at))
			}
		})
	}
}

// BenchmarkOpenUnlimited is the cost where no runner names a limit.
func BenchmarkOpenUnlimited(b *testing.B) {
	r := newRouters(410, 0)[0]
	for b.Loop() {
		r.CanSend(runner, call, start)
	}
}
