package cicadaedge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

// silenceWatch ends an attempt that is silent for a time. The zero value never does.
// Nothing happens after stop has returned, also if the time is over just then: the
// attempt's context outlives the wait for its answer.
type silenceWatch struct {
	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	after   time.Duration
	stopped bool
}

// endWhenSilent ends the attempt of a number after a time, and no sooner than another
// runner can go on in its place: a slow answer is better than none.
func (x *exchange) endWhenSilent(d time.Duration, attempt int, cancel context.CancelCauseFunc) *silenceWatch {
	if !x.route.CanRunAgain() || attempt >= x.route.MaxRunners {
		return &silenceWatch{}
	}
	req := &cicadaplace.Request{Service: x.service.Name, Tried: slices.Clone(x.tried)}
	w := &silenceWatch{after: d}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		switch {
		case w.stopped:
		case x.rt.fleet.HasAlternative(req, now) && x.rt.retries.Allow(x.service.Name, now):
			w.stopped = true
			x.moved.Store(true)
			cancel(errSilent)
		default:
			w.timer.Reset(w.after)
		}
	})
	return w
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// restart begins the time anew, with another length.
func (w *silenceWatch) restart(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.after = d
		w.timer.Reset(d)
	}
}
