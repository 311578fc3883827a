package cicadalimit_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCanSend measures CanSend for a rate-limited runner, called every 0.1 s of shared time.
func BenchmarkCanSend(b *testing.B) {
	for _, count := range []int{9, 58, 410} {
		b.Run(fmt.Sprint(count, " routers"), func(b *testing.B) {
			router := newRouters(count, 0)[0]
			router.RecordLimit(runner, 10, start)
			at := time.Duration(0)
			for b.Loop() {
				at += 100 * time.Millisecond
				router.CanSend(runner, class, start.Add(at))
			}
		})
	}
}

// BenchmarkCanSendUnlimited measures CanSend if no runner advertises a limit.
func BenchmarkCanSendUnlimited(b *testing.B) {
	r := newRouters(410, 0)[0]
	for b.Loop() {
		r.CanSend(runner, class, start)
	}
}
