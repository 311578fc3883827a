package cicadaedge

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

// checkBroken finds out whether a runner whose connections broke has crashed, and records it.
func (rt *Router) checkBroken(r *cicadaplace.Runner, b *cicadacrash.Broken) {
	rt.addAbandoned(r, b)
	err := rt.findCrash(r, b)
	for _, f := range b.OnResult {
		f(err)
	}
	entry := rt.cfg.Log.WithField("runner", r.ID()).WithField("requestIds", b.RequestIDs[:min(len(b.RequestIDs), maxRunnersLogged)]).
		WithField("requests", len(b.RequestIDs))
	if !errors.Is(err, errRunnerEnded) {
		entry.WithError(err).Info("connections of a runner ended, and it is not known to have crashed")
		rt.recordBreak(r, b, err)
		return
	}
	if b.Leaving {
		entry.Info("draining runner ended while it served requests")
		return
	}
	at, ok := rt.crashTime(b.At)
	entry.WithField("suspects", b.Suspects).WithField("clockKnown", ok).WithField("how", err.Error()).Info("runner crashed while it served requests")
	rt.cfg.Metrics.Crashes.Add(1)
	if ok {
		rt.quarantine.RecordCrash(rt.processOf(r, b), at, b.Suspects)
		rt.logBlocks()
		rt.crashSignal.send()
	}
}

// processOf names the process of a runner whose connections broke.
func (rt *Router) processOf(r *cicadaplace.Runner, b *cicadacrash.Broken) string {
	acceptedAt, ok := rt.crashTime(b.AcceptedAt)
	if !ok || b.AcceptedAt.IsZero() {
		return r.Key().String()
	}
	return rt.quarantine.Process(r.Key().String(), acceptedAt)
}

// findCrash returns errRunnerEnded if the process of a runner has ended whose connections broke. An address
// that accepts connections does not show the opposite: a successor may listen there.
func (rt *Router) findCrash(r *cicadaplace.Runner, b *cicadacrash.Broken) error {
	if !b.Relayed && rt.transports.processEnded(r, b.At) {
		return errors.WithMessage(errRunnerEnded, "its connections ended together")
	}
	inOrder := !b.Relayed && rt.transports.endedInOrder(r, b.At) // it is forgotten while routers are asked
	err := rt.dialer.probe(context.Background(), r, b.Relayed)
	switch {
	case err == nil && rt.balancer.HasRestarted(r):
		return errors.WithMessage(errRunnerEnded, "it has started again")
	case errors.Is(err, errRunnerUnknown) && inOrder:
		// A network that cuts this host from all runners resets connections.
		return errors.WithMessage(errRunnerEnded, "its connections ended in order, and it refuses new ones")
	default:
		return err
	}
}

// recordBreak records that the connections of a runner broke, and that the check of the runner did not show a
// crash. Later evidence may: if all runners crash at the same time, nothing tells them from runners behind a
// network that refuses connections until some have started again.
func (rt *Router) recordBreak(r *cicadaplace.Runner, b *cicadacrash.Broken, result error) {
	at, ok := rt.crashTime(b.At)
	if !ok || b.Leaving || b.TimedOut {
		return
	}
	if rt.quarantine.RecordBreak(rt.processOf(r, b), at, b.Suspects) {
		rt.logBlocks()
		rt.crashSignal.send()
	}
	if rt.balancer.HasEnded(r) {
		// The entry of its successor was read during the check.
		rt.confirmCrash(r.Key(), "entry of its successor")
		return
	}
	rt.breakTracker.add(r, pendingBreak{since: b.At, relayed: b.Relayed, accepted: result == nil})
}

// recordRenewal records that a runner has written the entry again that was read at a time.
func (rt *Router) recordRenewal(r *cicadaplace.Runner, readAt time.Time) {
	if at, ok := rt.crashTime(readAt); ok {
		rt.quarantine.RecordRenewal(r.Key().String(), at)
	}
}

// confirmCrash records the crash of a runner that is known to have ended, if its connections broke before.
func (rt *Router) confirmCrash(runner cicadalimit.Key, evidence string) {
	if !rt.quarantine.ConfirmBreak(runner.String(), rt.sharedTime()) {
		return
	}
	rt.cfg.Log.WithField("runner", runner.ID).WithField("how", evidence).Info("runner crashed while it served requests, as was found out later")
	rt.cfg.Metrics.Crashes.Add(1)
	rt.logBlocks()
	rt.crashSignal.send()
}
