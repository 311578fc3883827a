package cicadaedge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

// stallTimer ends an attempt that is silent for a time. The zero value never does.
// Nothing happens after stop has returned, also if the time is over just then: the
// attempt's context outlives the wait for its answer.
type stallTimer struct {
	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	timeout time.Duration
	stopped bool
}

// startStallTimer ends the attempt of a number after a time, and no sooner than another
// runner can go on in its place: a slow answer is better than none.
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
		case x.rt.balancer.HasOther(req, now) && x.rt.retries.Take(x.service.Name, now):
			w.stopped = true
			x.stallRetry.Store(true)
			cancel(errStalled)
		default:
			w.timer.Reset(w.timeout)
		}
	})
	return w
}

// stop ends the watch.
func (w *stallTimer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// reset begins the time anew, with another length.
func (w *stallTimer) reset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timeout = d
		w.timer.Reset(d)
	}
}
