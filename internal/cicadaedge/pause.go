package cicadaedge

import (
	"net/http"
	"time"
)

const (
	// defaultPause replaces a pause whose length cannot be parsed. It is as long as the first
	// ejection of a failing runner.
	defaultPause = time.Second
	// maxPause bounds a pause, so that a wrong value does not exclude a runner for good.
	maxPause = time.Hour
)

// recordAvailability records that the runner has announced in its response that it is draining or
// wants no requests for a while.
func (x *exchange) recordAvailability(a *attempt) {
	if !a.isFromRunner(x.info.ID) {
		return
	}
	entry := x.rt.cfg.Log.WithField("runner", a.placement.Runner().ID()).WithField("requestId", x.info.ID)
	if a.info.Draining && a.placement.MarkDraining() {
		entry.Info("runner announced in a response that it is draining")
	}
	if a.resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	pause := a.info.RetryAfter
	if a.info.RetryAfterErr != nil {
		x.rt.cfg.Metrics.Errors.Add("pauseUnreadable", 1)
		entry.WithError(a.info.RetryAfterErr).Warn("failed to parse how long a runner wants no requests")
		pause = defaultPause
	}
	if pause = min(pause, maxPause); pause > 0 {
		x.rt.cfg.Metrics.Paused.Add(1)
		a.placement.Pause(pause, time.Now())
		entry.WithField("forMillis", pause.Milliseconds()).Info("runner wants no requests for a while")
	}
}

// isFromRunner reports whether the response belongs to the request and comes from the assigned
// runner, and not from another one that has taken over its address.
func (a *attempt) isFromRunner(requestID string) bool {
	relevant := a.info.RequestID == requestID || a.info.NotRun && a.info.RequestID == ""
	return relevant && a.resp.StatusCode != http.StatusMisdirectedRequest
}
