package cicadaedge

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// breakCheckInterval is the time between two checks of a runner, if no other runner starts in between.
	breakCheckInterval = 500 * time.Millisecond
	// minBreakCheckInterval is the time between two checks if others do.
	minBreakCheckInterval = 200 * time.Millisecond
	// minRefusals is the number of checks in which a runner refuses connections while others accept them, after
	// which it has ended. One may be made when a network begins to connect again, and reaches some runners
	// before others.
	minRefusals = 2
)

type (
	// breakTracker checks runners again whose connections broke when nobody could tell why: whether they refuse
	// connections while others accept them, and whether they go on writing their entries. The entry of a
	// successor tells, but a runner may come back under another id at another address, or crash again before it
	// has written one.
	breakTracker struct {
		rt     *Router
		signal signal // requests a check

		mu      sync.Mutex // guards the fields below
		pending map[*cicadaplace.Runner]pendingBreak
		running bool
	}

	// pendingBreak is what is known of a runner that is checked again.
	pendingBreak struct {
		since    time.Time // of the first break
		relayed  bool      // this host reached the runner through another router only
		accepted bool      // the runner, or its successor, accepted a connection after the break
		refusals int       // while others accepted connections, since it has last accepted one
	}
)

func newBreakTracker(rt *Router) *breakTracker {
	return &breakTracker{rt: rt, signal: newSignal(), pending: map[*cicadaplace.Runner]pendingBreak{}}
}

// add adds a runner whose connections broke. Runners are checked as long as there are any.
func (t *breakTracker) add(r *cicadaplace.Runner, b pendingBreak) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if earlier, ok := t.pending[r]; ok {
		b.since = earlier.since
	}
	t.pending[r] = b
	if !t.running {
		t.running = true
		t.rt.runTask(t.run)
	}
}

// runnerStarted has the runners checked at once, as the one that has started may not accept connections for long.
func (t *breakTracker) runnerStarted() { t.signal.send() }

func (t *breakTracker) run() {
	for {
		select {
		case <-t.signal:
		case <-time.After(breakCheckInterval):
		}
		t.mu.Lock()
		if len(t.pending) == 0 || t.rt.stopping.Load() {
			t.running = false
			t.mu.Unlock()
			return
		}
		pending := maps.Clone(t.pending)
		t.mu.Unlock()
		reachesAny := hasRefused(pending) && t.rt.dialer.reachesOthers(context.Background(), "")
		var checks sync.WaitGroup
		for r, b := range pending {
			checks.Go(func() { t.check(r, b, reachesAny) })
		}
		checks.Wait()
		time.Sleep(minBreakCheckInterval)
	}
}

// hasRefused reports whether any runner has accepted no connection since it was added.
func hasRefused(pending map[*cicadaplace.Runner]pendingBreak) bool {
	for _, b := range pending {
		if !b.accepted {
			return true
		}
	}
	return false
}

// check checks one runner. If this host reaches no runner at all, that shows nothing.
func (t *breakTracker) check(r *cicadaplace.Runner, b pendingBreak, reachesAny bool) {
	if !t.rt.quarantine.IsBroken(r.Key().String(), t.rt.sharedTime()) {
		t.remove(r)
		return
	}
	if t.rt.hasFallenSilent(r, b.since) {
		t.rt.confirmCrash(r.Key(), "it has stopped writing its entry")
		t.remove(r)
		return
	}
	if reachesAny && !b.accepted {
		switch err := t.rt.dialer.probe(context.Background(), r, b.relayed); {
		case err == nil:
			b.refusals = 0
		case errors.Is(err, errRunnerEnded):
			b.refusals++
		}
	}
	// The entry of a runner that is gone expires, while that of one behind a cut network goes on.
	if b.refusals >= minRefusals || b.refusals > 0 && t.rt.balancer.IsRemoved(r) {
		t.rt.confirmCrash(r.Key(), "it refuses connections while others accept them")
		t.remove(r)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.pending[r]; ok {
		current.refusals = b.refusals
		t.pending[r] = current
	}
}

func (t *breakTracker) remove(r *cicadaplace.Runner) {
	t.mu.Lock()
	delete(t.pending, r)
	t.mu.Unlock()
	if t.rt.balancer.IsRemoved(r) {
		t.rt.dialer.remove(r) // a check of a runner that is no longer in use adds it
	}
}
