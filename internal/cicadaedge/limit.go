package cicadaedge

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/pkg/errors"
)

// connCheckInterval is how long a request waits for a connection to its runner until it is looked
// at again whether the runner still takes it: the making of a connection takes no longer.
const connCheckInterval = dialTimeout

// connWaitMonitor watches a request that waits for a connection.
type connWaitMonitor struct {
	// unavailable tells why the request should wait no longer, or nil.
	unavailable func() error
	cancel      context.CancelCauseFunc

	mu      sync.Mutex // guards the fields below
	stopped bool
	timer   *time.Timer
}

var (
	errRateLimited = errors.New("the runner announced a rate limit while the request waited for a connection")
	errDraining    = errors.New("the runner began to leave while the request waited for a connection")
)

// recordRateLimit notes what an answer says of its runner's limit. Bytes of another request or of
// another runner say nothing of it.
func (x *exchange) recordRateLimit(a *attempt) {
	info := &a.info
	relevant := info.RequestID == x.info.ID || info.NotRun && info.RequestID == ""
	if !relevant || a.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	key, log := a.placement.Runner().Key(), x.rt.cfg.Log.WithField("runner", a.placement.Runner().ID()).WithField("requestId", x.info.ID)
	if info.RateLimitErr != nil {
		x.rt.cfg.Metrics.Errors.Add("limitUnreadable", 1)
		log.WithError(info.RateLimitErr).Warn("rate limit of a runner cannot be read")
	}
	switch {
	case len(info.RateLimits) > 0:
		x.rt.cfg.Metrics.RateLimited.Add(1)
		// Of several limits the smallest keeps them all.
		rate := slices.Min(info.RateLimits)
		if x.rt.limits.Name(key, rate, time.Now()) {
			log.WithField("rate", rate).Info("runner announces a rate limit")
			x.rt.requestAnnounce()
		}
	case info.RateLimitErr == nil && (info.Sealed || info.NotRun):
		if x.rt.limits.End(key, a.placement.Since()) {
			log.Info("rate limit of a runner lifted")
			x.rt.requestAnnounce()
		}
	}
}

// mergeLimitReports takes what another router heard of the runners' limits.
func (rt *Router) mergeLimitReports(router string, reports []cicadalimit.Report, now time.Time) {
	for _, key := range rt.limits.Learn(reports, now) {
		rate, limited := rt.limits.Rate(key)
		rt.cfg.Log.WithField("runner", key.ID).WithField("from", router).WithField("limited", limited).
			WithField("rate", rate).Info("rate limit of a runner learnt")
	}
}

// monitorConnWait ends an attempt that still waits for a connection when its runner is limited,
// as what has waited would come all at once, or leaves. The request's context must be the
// returned one.
func (x *exchange) monitorConnWait(ctx context.Context, p *placement, cancel context.CancelCauseFunc) (context.Context, *connWaitMonitor) {
	w := &connWaitMonitor{cancel: cancel, unavailable: func() error {
		if x.rt.balancer.IsLeaving(p.Runner(), time.Now()) {
			return errDraining
		}
		if _, limited := x.rt.limits.Rate(p.Runner().Key()); limited {
			return errRateLimited
		}
		return nil
	}}
	w.mu.Lock()
	w.timer = time.AfterFunc(connCheckInterval, w.check)
	w.mu.Unlock()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { w.stop() }}), w
}

func (w *connWaitMonitor) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if err := w.unavailable(); err != nil {
		w.stopped = true
		w.cancel(err)
		return
	}
	w.timer.Reset(connCheckInterval)
}

func (w *connWaitMonitor) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
