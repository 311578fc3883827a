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

// connWait is how long a request waits for a connection to its runner until it is looked
// at again whether the runner still takes it: the making of a connection takes no longer.
const connWait = dialTimeout

// connWatch watches a request that waits for a connection.
type connWatch struct {
	// closed tells why the request should wait no longer, or nil.
	closed func() error
	cancel context.CancelCauseFunc

	mu      sync.Mutex // guards the fields below
	stopped bool
	timer   *time.Timer
}

var (
	errLimited = errors.New("the runner announced a rate limit while the request waited for a connection")
	errLeaving = errors.New("the runner began to leave while the request waited for a connection")
)

// heard notes what an answer says of its runner's limit. Bytes of another request or of
// another runner say nothing of it.
func (x *exchange) heard(a *attempt) {
	said := &a.answer
	mine := said.RequestID == x.demand.ID || said.NotRun && said.RequestID == ""
	if !mine || a.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	key, log := a.ticket.Runner().Key(), x.rt.cfg.Log.WithField("runner", a.ticket.Runner().ID()).WithField("requestId", x.demand.ID)
	if said.RateLimitErr != nil {
		x.rt.cfg.Metrics.Errors.Add("limitUnreadable", 1)
		log.WithError(said.RateLimitErr).Warn("rate limit of a runner cannot be read")
	}
	switch {
	case len(said.RateLimits) > 0:
		x.rt.cfg.Metrics.RateLimited.Add(1)
		// Of several limits the smallest keeps them all.
		rate := slices.Min(said.RateLimits)
		if x.rt.limits.RecordLimit(key, rate, time.Now()) {
			log.WithField("rate", rate).Info("runner announces a rate limit")
			x.rt.announceAgain()
		}
	case said.RateLimitErr == nil && (said.Sealed || said.NotRun):
		if x.rt.limits.RecordNoLimit(key, a.ticket.AssignedAt()) {
			log.Info("rate limit of a runner lifted")
			x.rt.announceAgain()
		}
	}
}

// learnLimits takes what another router heard of the runners' limits.
func (rt *Router) learnLimits(router string, list []cicadalimit.Report, now time.Time) {
	for _, key := range rt.limits.MergeReports(list, now) {
		rate, limited := rt.limits.Rate(key)
		rt.cfg.Log.WithField("runner", key.ID).WithField("from", router).WithField("limited", limited).
			WithField("rate", rate).Info("rate limit of a runner learnt")
	}
}

// watchConn ends an attempt that still waits for a connection when its runner is limited,
// as what has waited would come all at once, or leaves. The request's context must be the
// returned one.
func (x *exchange) watchConn(ctx context.Context, ticket *placement, cancel context.CancelCauseFunc) (context.Context, *connWatch) {
	w := &connWatch{cancel: cancel, closed: func() error {
		if x.rt.fleet.IsDraining(ticket.Runner(), time.Now()) {
			return errLeaving
		}
		if _, limited := x.rt.limits.Rate(ticket.Runner().Key()); limited {
			return errLimited
		}
		return nil
	}}
	w.mu.Lock()
	w.timer = time.AfterFunc(connWait, w.look)
	w.mu.Unlock()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { w.stop() }}), w
}

func (w *connWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if err := w.closed(); err != nil {
		w.stopped = true
		w.cancel(err)
		return
	}
	w.timer.Reset(connWait)
}

func (w *connWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
