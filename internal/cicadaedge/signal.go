package cicadaedge

import (
	"context"
	"time"
)

// signal wakes a loop. Signals that come while the loop is busy count as one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) send() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// loop runs do at each signal, and after a time without one, until ctx ends.
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
