package cicadaedge

import (
	"context"

	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

// checkBroken finds out whether a runner whose connections broke has crashed, and records it.
func (rt *Router) checkBroken(r *cicadaplace.Runner, b *cicadacrash.Broken) {
	err := rt.findCrash(r, b)
	for _, f := range b.OnResult {
		f(err)
	}
	entry := rt.cfg.Log.WithField("runner", r.ID()).WithField("requestIds", b.RequestIDs[:min(len(b.RequestIDs), maxRunnersLogged)]).
		WithField("requests", len(b.RequestIDs))
	if !errors.Is(err, errRunnerEnded) {
		entry.WithError(err).Info("connections of a runner ended, and it has not crashed")
		if at, ok := rt.clock.SharedTime(b.At); ok && err == nil && !b.Leaving {
			rt.quarantine.RecordBreak(r.Key().String(), at, b.Suspects)
		}
		return
	}
	if b.Leaving {
		entry.Info("draining runner ended while it served requests")
		return
	}
	at, ok := rt.clock.SharedTime(b.At)
	entry.WithField("suspects", b.Suspects).WithField("clockKnown", ok).WithField("how", err.Error()).Info("runner crashed while it served requests")
	rt.cfg.Metrics.Crashes.Add(1)
	if ok {
		rt.quarantine.RecordCrash(r.Key().String(), at, b.Suspects)
		rt.logBlocks()
		rt.crashSignal.send()
	}
}

// findCrash returns errRunnerEnded if the process of a runner has ended whose connections broke. An address
// that accepts connections does not show the opposite: a successor may listen there.
func (rt *Router) findCrash(r *cicadaplace.Runner, b *cicadacrash.Broken) error {
	if !b.Relayed && rt.transports.processEnded(r, b.At) {
		return errors.WithMessage(errRunnerEnded, "its connections ended together")
	}
	err := rt.dialer.probe(context.Background(), r, b.Relayed)
	if err == nil && rt.balancer.HasRestarted(r) {
		return errors.WithMessage(errRunnerEnded, "it has started again")
	}
	return err
}

// confirmCrash records the crash of a runner that has ended, if its connections have just broken.
func (rt *Router) confirmCrash(r *cicadaplace.Runner) {
	if !rt.quarantine.ConfirmBreak(r.Key().String(), rt.sharedTime()) {
		return
	}
	rt.cfg.Log.WithField("runner", r.ID()).Info("runner crashed while it served requests, as the entry of its successor shows")
	rt.cfg.Metrics.Crashes.Add(1)
	rt.logBlocks()
	rt.crashSignal.send()
}
