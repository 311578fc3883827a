package cicadaedge

import (
	"context"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

// connCheckInterval is how often a request that waits for a connection checks whether the runner
// still accepts it. Dialling takes no longer than that.
const connCheckInterval = dialTimeout

// connWaitMonitor monitors the waits of a request for connections. There are several if a connection turns
// out to be closed before the first byte.
type connWaitMonitor struct {
	// unavailable returns why the request must not be sent to its runner, or nil. limited returns why it
	// must stop waiting besides.
	unavailable, limited func() error
	cancel               context.CancelCauseFunc

	mu      sync.Mutex // guards the fields below
	waiting bool
	ended   bool // the attempt was cancelled
	timer   *time.Timer
}

var errRateLimited = errors.New("the runner announced a rate limit while the request waited for a connection")

// recordRateLimit records the rate limit in a runner's response. A response that belongs to
// another request or runner is ignored.
func (x *exchange) recordRateLimit(a *attempt) {
	info := &a.info
	if !a.isFromRunner(x.info.ID) {
		return
	}
	key, log := a.placement.Runner().Key(), x.rt.cfg.Log.WithField("runner", a.placement.Runner().ID()).WithField("requestId", x.info.ID)
	if info.RateLimitErr != nil {
		x.rt.cfg.Metrics.Errors.Add("limitUnreadable", 1)
		log.WithError(info.RateLimitErr).Warn("failed to parse the rate limit of a runner")
	}
	switch {
	case len(info.RateLimits) > 0:
		x.rt.cfg.Metrics.RateLimited.Add(1)
		// The smallest of several limits satisfies them all.
		rate := slices.Min(info.RateLimits)
		if x.rt.limits.RecordLimit(key, rate, time.Now()) {
			log.WithField("rate", rate).Info("runner advertises a rate limit")
			x.rt.requestAnnounce()
		}
	case info.RateLimitErr == nil && (info.Sealed || info.NotRun):
		if x.rt.limits.RecordNoLimit(key, a.placement.AssignedAt()) {
			log.Info("runner no longer advertises a rate limit")
			x.rt.requestAnnounce()
		}
	}
}

// becameUnavailable reports whether an attempt was cancelled because its runner became unavailable
// while the request waited for a connection.
func becameUnavailable(err error) bool {
	for _, cause := range []error{errRateLimited, cicadaplace.ErrDraining, cicadaplace.ErrEvacuated, cicadaplace.ErrPaused, errQuarantined, errStopping} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// mergeLimitReports merges the rate limits that another router reported.
func (rt *Router) mergeLimitReports(router string, reports []cicadalimit.Report, now time.Time) {
	for _, key := range rt.limits.MergeReports(reports, now) {
		rate, limited := rt.limits.Rate(key, now)
		rt.cfg.Log.WithField("runner", key.ID).WithField("from", router).WithField("limited", limited).
			WithField("rate", rate).Info("rate limit of a runner received from another router")
	}
}

// monitorConnWait cancels an attempt that still waits for a connection when its runner becomes
// unavailable, or advertises a rate limit: the waiting requests would exceed it in one burst. When the
// request gets a connection, its runner is checked again, and nothing is written if it is unavailable. The
// request has to use the returned context.
func (x *exchange) monitorConnWait(ctx context.Context, p *placement, cancel context.CancelCauseFunc) (context.Context, *connWaitMonitor) {
	m := &connWaitMonitor{cancel: cancel, unavailable: func() error {
		if err := x.rt.balancer.Unavailability(p.Runner(), time.Now()); err != nil {
			return errors.Wrap(err, "while the request waited for a connection")
		}
		if _, ok := x.matchingBlock(); ok {
			return errQuarantined
		}
		return nil
	}, limited: func() error {
		if _, limited := x.rt.limits.Rate(p.Runner().Key(), time.Now()); limited {
			return errRateLimited
		}
		return nil
	}}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { m.begin() },
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countedConn); ok && !m.end() {
				_ = conn.retire() // nothing is written to it
			}
		},
	}), m
}

// begin begins a wait.
func (m *connWaitMonitor) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting = true
	if m.timer == nil {
		m.timer = time.AfterFunc(connCheckInterval, m.check)
		return
	}
	m.timer.Reset(connCheckInterval)
}

func (m *connWaitMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.waiting || m.ended {
		return
	}
	err := m.unavailable()
	if err == nil {
		err = m.limited()
	}
	if err != nil {
		m.ended = true
		m.cancel(err)
		return
	}
	m.timer.Reset(connCheckInterval)
}

// end ends a wait. It reports whether the request may be sent.
func (m *connWaitMonitor) end() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopLocked()
	if m.ended {
		return false
	}
	if err := m.unavailable(); err != nil {
		m.ended = true
		m.cancel(err)
	}
	return !m.ended
}

func (m *connWaitMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopLocked()
}

func (m *connWaitMonitor) stopLocked() {
	m.waiting = false
	if m.timer != nil {
		m.timer.Stop()
	}
}
