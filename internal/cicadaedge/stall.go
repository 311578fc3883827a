package cicadaedge

import (
	"context"
	"slices"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

// startStallTimer cancels an attempt, given by its number, after a timeout, but not before another
// runner can take over and the retry budget allows it: a slow response is better than none. Once the
// timer has been stopped, the attempt is not cancelled: its context is still used after the wait.
func (x *exchange) startStallTimer(d time.Duration, attempt int, cancel context.CancelCauseFunc) *cicadanet.SilenceTimer {
	if !x.route.CanRunAgain() || attempt >= x.route.MaxRunners {
		return &cicadanet.SilenceTimer{}
	}
	req := &cicadaplace.Request{Service: x.service.Name, Tried: slices.Clone(x.tried), SoftwareVersion: x.requiredVersion(), Resumable: x.isResumable()}
	return cicadanet.NewSilenceTimer(d, func() bool {
		now := time.Now()
		if !x.rt.balancer.HasAlternative(req, now) || !x.rt.retries.Allow(x.service.Name, now) {
			return false
		}
		x.stallRetry.Store(true)
		cancel(errStalled)
		return true
	})
}

// stopStallTimer ends the wait for a runner, and keeps for how long this process did not run meanwhile.
func (x *exchange) stopStallTimer(t *cicadanet.SilenceTimer) {
	t.Stop()
	x.pausedFor = max(x.pausedFor, t.Late())
}
