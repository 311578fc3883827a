package cicadaplace

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Reasons for which a runner gets no requests at all.
var (
	ErrDraining  = errors.New("the runner is draining or no longer in use")
	ErrEvacuated = errors.New("the runner's data centre is evacuated")
	ErrPaused    = errors.New("the runner wants no requests for a while")
)

type (
	// PausedError is returned by Choose if the only remaining runners want no requests for a while.
	PausedError struct {
		RetryAfter time.Duration // until the first of them accepts requests again
	}

	// Warmup describes how runners of a service warm up.
	Warmup struct {
		// Rate is the number of requests per second, of all routers together, that a runner may get
		// while it warms up.
		Rate   float64
		Period time.Duration // from its start
	}
)

// Error returns the time until a runner accepts requests again.
func (e *PausedError) Error() string {
	return fmt.Sprintf("the runners that are left want no requests for %d ms", e.RetryAfter.Milliseconds())
}

// Unavailability returns the reason for which a runner gets no requests, or nil.
func (b *Balancer) Unavailability(r *Runner, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unavailability(r, now)
}

func (b *Balancer) unavailability(r *Runner, now time.Time) error {
	switch {
	case r.removed || r.entry.Draining || r.draining || b.isExpired(r, now):
		return ErrDraining
	case b.evacuated[r.entry.DataCentre]:
		return ErrEvacuated
	case now.Before(r.pausedUntil):
		return ErrPaused
	default:
		return nil
	}
}

// isExcluded reports whether the request cannot use r, apart from rate limits.
func (b *Balancer) isExcluded(r *Runner, req *Request, ignoreEjection bool, now time.Time) bool {
	return !b.isUsable(r, req, ignoreEjection, now) || b.isUnsettled(r, req, now)
}

// isUsable reports whether the request can use r, apart from rate limits and from other routers that may
// not know r's version.
func (b *Balancer) isUsable(r *Runner, req *Request, ignoreEjection bool, now time.Time) bool {
	return b.unavailability(r, now) == nil && !b.isOutsideHomes(r, req) && !r.hasOtherVersion(req) && !slices.Contains(req.Tried, r.entry.ID) &&
		(ignoreEjection || !now.Before(r.ejectedUntil))
}

// isUnsettled reports whether a resumable stream must not begin at r, because other routers may not know
// r's version yet. It may if the request can use no runner with a settled version.
func (b *Balancer) isUnsettled(r *Runner, req *Request, now time.Time) bool {
	if !req.Resumable || req.SoftwareVersion != "" || b.isSettled(r, now) {
		return false
	}
	return slices.ContainsFunc(b.services[req.Service], func(other *Runner) bool {
		return b.isSettled(other, now) && b.isUsable(other, req, true, now)
	})
}

// isSettled reports whether r's version of the software has been known for the settling period. Those that
// were known first, as after a start of this router, are settled at once.
func (b *Balancer) isSettled(r *Runner, now time.Time) bool {
	versions := b.versionsSeen[r.entry.Service]
	seenAt := versions[r.entry.SoftwareVersion]
	if now.Sub(seenAt) >= VersionSettlingPeriod {
		return true
	}
	for _, other := range versions {
		if other.Before(seenAt) {
			return false
		}
	}
	return true
}

// isOutsideHomes reports whether the request must not reach r's region.
func (b *Balancer) isOutsideHomes(r *Runner, req *Request) bool {
	if len(req.Homes) == 0 {
		return false
	}
	region := b.cfg.Regions[r.entry.DataCentre]
	return slices.ContainsFunc(req.Homes, func(homes []string) bool { return !slices.Contains(homes, region) })
}

// hasOtherVersion reports whether the request must not run on r's version of the software.
func (r *Runner) hasOtherVersion(req *Request) bool {
	return req.SoftwareVersion != "" && r.entry.SoftwareVersion != req.SoftwareVersion
}

// noRunnerError returns a PausedError if a runner is left that is only paused, and ErrNoRunner
// otherwise.
func (b *Balancer) noRunnerError(req *Request, now time.Time) error {
	var soonest time.Duration
	for _, r := range b.services[req.Service] {
		if errors.Is(b.unavailability(r, now), ErrPaused) && !b.isOutsideHomes(r, req) && !r.hasOtherVersion(req) {
			if d := r.pausedUntil.Sub(now); soonest == 0 || d < soonest {
				soonest = d
			}
		}
	}
	if soonest == 0 {
		return ErrNoRunner
	}
	return &PausedError{RetryAfter: soonest}
}

// SetEvacuated sets the data centres whose runners must get no requests. Runners of a data centre
// that is no longer evacuated count as warming up, because their next entries, which tell whether
// they are, arrive later.
func (b *Balancer) SetEvacuated(dataCentres map[string]bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.evacuated
	b.evacuated = dataCentres
	for _, r := range b.byID {
		if before[r.entry.DataCentre] && !dataCentres[r.entry.DataCentre] {
			b.limitWarmup(r, b.warmups[r.entry.Service].Period, now)
		}
	}
}

// SetWarmups sets how the runners of each service warm up. Services that are not listed have no
// limit during the warm-up.
func (b *Balancer) SetWarmups(byService map[string]Warmup, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmups = byService
	for _, r := range b.byID {
		b.limitWarmup(r, r.entry.WarmupRemaining-now.Sub(r.firstSeen), now)
	}
}

// limitWarmup limits the rate of requests to a runner that is warming up.
func (b *Balancer) limitWarmup(r *Runner, remaining time.Duration, now time.Time) {
	if w, ok := b.warmups[r.entry.Service]; ok && remaining > 0 {
		b.cfg.Limits.SetWarmup(r.Key(), w.Rate, now.Add(remaining), now)
	}
}

// MarkDraining records that the assigned runner has announced in a response that it is draining.
// It returns false if that was known.
func (a *Assignment) MarkDraining() bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.runner.draining {
		return false
	}
	a.runner.draining = true
	if last, ok := a.balancer.removed[a.runner.entry.ID]; ok && last.entry.sameRunner(&a.runner.entry) {
		last.draining = true
		a.balancer.removed[a.runner.entry.ID] = last
	}
	return true
}

// Pause records that the assigned runner wants no requests of this router for a while.
func (a *Assignment) Pause(d time.Duration, now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if until := now.Add(d); until.After(a.runner.pausedUntil) {
		a.runner.pausedUntil = until
	}
}
