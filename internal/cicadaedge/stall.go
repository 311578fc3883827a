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
	mu        sync.Mutex // guards the fields below
	timer     *time.Timer
	timeout   time.Duration
	suspended bool
	stopped   bool
}

// startStallTimer cancels an attempt, given by its number, after a timeout, but not before another
// runner can take over and the retry budget allows it: a slow response is better than none.
func (x *exchange) startStallTimer(d time.Duration, attempt int, cancel context.CancelCauseFunc) *stallTimer {
	if !x.route.CanRunAgain() || attempt >= x.route.MaxRunners {
		return &stallTimer{}
	}
	req := &cicadaplace.Request{Service: x.service.Name, Tried: slices.Clone(x.tried)}
	t := &stallTimer{timeout: d}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		now := time.Now()
		switch {
		case t.stopped || t.suspended:
		case x.rt.balancer.HasAlternative(req, now) && x.rt.retries.Allow(x.service.Name, now):
			t.stopped = true
			x.stallRetry.Store(true)
			cancel(errStalled)
		default:
			t.timer.Reset(t.timeout)
		}
	})
	return t
}

// stop stops the timer.
func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// suspend stops the timer until it is reset, while nothing is read from the runner.
func (t *stallTimer) suspend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspended = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// reset restarts the timer with another timeout.
func (t *stallTimer) reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil && !t.stopped {
		t.suspended, t.timeout = false, d
		t.timer.Reset(d)
	}
}
