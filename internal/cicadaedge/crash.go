package cicadaedge

import (
	"context"

	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

// checkBroken finds out whether a runner whose connections broke has crashed, and records it.
func (rt *Router) checkBroken(r *cicadaplace.Runner, b *cicadacrash.Broken) {
	err := rt.dialer.probe(context.Background(), r, b.Relayed)
	for _, f := range b.OnResult {
		f(err)
	}
	entry := rt.cfg.Log.WithField("runner", r.ID()).WithField("requestIds", b.RequestIDs[:min(len(b.RequestIDs), maxRunnersLogged)]).
		WithField("requests", len(b.RequestIDs))
	if !errors.Is(err, errRunnerEnded) {
		entry.WithError(err).Info("connections of a runner ended, and it has not crashed")
		return
	}
	if b.Leaving {
		entry.Info("draining runner ended while it served requests")
		return
	}
	at, ok := rt.clock.SharedTime(b.At)
	entry.WithField("suspects", b.Suspects).WithField("clockKnown", ok).Info("runner crashed while it served requests")
	rt.cfg.Metrics.Crashes.Add(1)
	if ok {
		rt.quarantine.RecordCrash(r.Key().String(), at, b.Suspects)
		rt.logBlocks()
		rt.crashSignal.send()
	}
}
