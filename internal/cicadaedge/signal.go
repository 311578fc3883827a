package cicadaedge

import (
	"context"
	"time"
)

// signal wakes a loop. Signals sent while the loop is busy are merged into one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) send() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// loop calls do at each signal and at each tick of an interval, until ctx ends.
func (s signal) loop(ctx context.Context, every time.Duration, do func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s:
		case <-tick.C:
		}
		do()
	}
}
