package cicadaedge

import (
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

// hiddenHeartbeatMemory is how long silence shows nothing after a live runner was found silent.
const hiddenHeartbeatMemory = time.Minute

// hasFallenSilent reports whether a runner has not written its entry since a time, although it should have and the
// store has answered all the while. A platform may not show writes that change nothing but their number.
func (rt *Router) hasFallenSilent(r *cicadaplace.Runner, since time.Time) bool {
	return rt.heartbeatsHidden.age(time.Now()) > hiddenHeartbeatMemory && rt.isSilent(r, since)
}

func (rt *Router) isSilent(r *cicadaplace.Runner, since time.Time) bool {
	answeredSince, answering := rt.runnerWatcher.answeredSince.get()
	readAt, ok := rt.runnerWatcher.freshAt.get()
	if !answering || !ok {
		return false
	}
	// After an outage, live runners write their entries again within the hold period.
	if earliest := answeredSince.Add(rt.cfg.HoldPeriod); earliest.After(since) {
		since = earliest
	}
	return rt.balancer.FellSilent(r, since, readAt)
}

// recordAlive records that a runner has answered on a connection. Its process was the same all the time that the
// connection was open. If it was silent meanwhile, silence does not show that a runner has ended.
func (rt *Router) recordAlive(r *cicadaplace.Runner, conn *countedConn) {
	now := time.Now()
	if conn == nil || rt.heartbeatsHidden.age(now) < hiddenHeartbeatMemory/2 || !rt.isSilent(r, conn.establishedAt) {
		return
	}
	if rt.heartbeatsHidden.age(now) > hiddenHeartbeatMemory {
		rt.cfg.Log.WithField("runner", r.ID()).Info("a live runner does not write its entry; silence is no evidence of crashes")
	}
	rt.heartbeatsHidden.set(now)
}
