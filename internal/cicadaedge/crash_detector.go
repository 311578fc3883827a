package cicadaedge

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/pkg/errors"
)

// brokenAttemptDelay is the time in which the requests that a crash breaks are collected.
const brokenAttemptDelay = 30 * time.Millisecond

type (
	// crashDetector finds out whether a runner whose connections broke has crashed.
	crashDetector struct {
		rt *Router

		mu      sync.Mutex // guards pending
		pending map[*cicadaplace.Runner]*brokenAttempts
	}

	// brokenAttempts are the attempts at one runner that broke at the same time.
	brokenAttempts struct {
		at         time.Time // of the first one
		suspects   cicadaquarantine.Suspects
		requestIDs []string
		ifAlive    []func() // called if the runner accepts connections
	}
)

func newCrashDetector(rt *Router) *crashDetector {
	return &crashDetector{rt: rt, pending: map[*cicadaplace.Runner]*brokenAttempts{}}
}

// add adds attempts at a runner that ended, and has the runner checked.
func (d *crashDetector) add(r *cicadaplace.Runner, ended *brokenAttempts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.pending[r]
	if b == nil {
		d.pending[r] = ended
		d.rt.runTask(func() { d.check(r) })
		return
	}
	b.requestIDs = append(b.requestIDs, ended.requestIDs...)
	b.suspects.Begun = append(b.suspects.Begun, ended.suspects.Begun...)
	b.suspects.Waiting = append(b.suspects.Waiting, ended.suspects.Waiting...)
	b.ifAlive = append(b.ifAlive, ended.ifAlive...)
}

// check dials the runner. Broken connections alone also come from networks, and from runners that go
// on.
func (d *crashDetector) check(r *cicadaplace.Runner) {
	time.Sleep(brokenAttemptDelay)
	d.mu.Lock()
	b := d.pending[r]
	delete(d.pending, r)
	d.mu.Unlock()
	err := d.rt.dialer.probe(context.Background(), r)
	entry := d.rt.cfg.Log.WithField("runner", r.ID()).WithField("requestIds", b.requestIDs[:min(len(b.requestIDs), maxRunnersLogged)]).
		WithField("requests", len(b.requestIDs))
	if !errors.Is(err, errRunnerEnded) {
		entry.WithError(err).Info("connections of a runner ended, and it has not crashed")
		if err == nil {
			for _, f := range b.ifAlive {
				f()
			}
		}
		return
	}
	at, ok := d.rt.clock.SharedTime(b.at)
	entry.WithField("suspects", b.suspects).WithField("clockKnown", ok).Info("runner crashed while it served requests")
	d.rt.cfg.Metrics.Crashes.Add(1)
	if ok {
		d.rt.quarantine.RecordCrash(r.Key().String(), at, b.suspects)
		d.rt.logBlocks()
		d.rt.crashSignal.send()
	}
}
