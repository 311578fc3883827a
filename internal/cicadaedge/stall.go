package cicadaedge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

// stallTimer cancels an attempt that receives nothing for a timeout. The zero value does nothing.
// After stop has returned, the attempt is not cancelled any more, even if the timeout expires at
// that moment: its context is still used after the wait has ended.
type stallTimer struct {
	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	timeout time.Duration
	stopped bool
}

// startStallTimer cancels an attempt, given by its number, after a timeout, but not before another
// runner can take over: a slow response is better than none.
func (x *exchange) startStallTimer(d time.Duration, attempt int, cancel context.CancelCauseFunc) *stallTimer {
	if !x.route.Repeatable() || attempt >= x.route.MaxRunners {
		return &stallTimer{}
	}
	req := &cicadaplace.Request{Service: x.service.Name, Tried: slices.Clone(x.tried)}
	w := &stallTimer{timeout: d}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		switch {
		case w.stopped:
		case x.rt.balancer.HasAlternative(req, now) && x.rt.retries.Allow(x.service.Name, now):
			w.stopped = true
			x.stallRetry.Store(true)
			cancel(errStalled)
		default:
			w.timer.Reset(w.timeout)
		}
	})
	return w
}

// stop stops the timer.
func (w *stallTimer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// reset restarts the timer with another timeout.
func (w *stallTimer) reset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timeout = d
		w.timer.Reset(d)
	}
}
