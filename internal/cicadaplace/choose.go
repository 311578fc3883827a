package cicadaplace

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadaengine"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/pkg/errors"
)

const (
	// plainMillisPerRequest is the cost of one request at a runner without an inference engine,
	// divided by the runner's slots. It is about the processing time of such a request.
	plainMillisPerRequest = 60.0
	// crossDataCentreMillis is the penalty for a runner in another data centre. It covers the round
	// trip and the price of traffic between data centres.
	crossDataCentreMillis = 6.0
	// loadReportTTL is how long a load report of a runner is used.
	loadReportTTL = 600 * time.Millisecond
	// longPromptTokens is the number of uncached tokens, two prefill chunks of an engine, from
	// which a prefill delays several events of each running stream. The delay grows with the
	// length of the prompt and reaches the objectives at maxPausePromptTokens.
	// pauseMillisPerStream is the penalty for each stream that would be delayed.
	longPromptTokens     = 8192
	maxPausePromptTokens = 25000.0
	pauseMillisPerStream = 30.0
	// warmupMillis is the penalty for a runner that is still warming up.
	warmupMillis = 150.0

	// ejectionThreshold is the number of consecutive failures after which a runner is ejected.
	// The first ejection lasts minEjection; each further one doubles, up to maxEjection.
	ejectionThreshold = 3
	minEjection       = time.Second
	maxEjection       = 8 * time.Second
	// maxEjectedShare is the share of a service's runners that may be ejected. If more runners
	// fail, the cause is probably not the runners, and ejections are ignored.
	maxEjectedShare = 0.5

	// VersionSettlingPeriod is the time for which this router knows a new version of a service's software
	// before resumable streams begin at it. A router whose view of the runners is younger knows it too.
	VersionSettlingPeriod = 3 * time.Second
)

// ErrNoRunner is returned if the service has no runner that the request may use.
var ErrNoRunner = errors.New("no runner of the service is known")

type (
	// RateLimitedError is returned by Choose if the rate limits of all remaining runners forbid
	// sending the request now.
	RateLimitedError struct {
		// Rate is the sum of the runners' rate limits, in requests per second from all routers.
		Rate float64
	}

	// Request holds the properties of a request that determine its runner.
	Request struct {
		Service string
		// Parts are the parts of the prompt, in order. The last part belongs to this request
		// only. It is empty for requests without a prompt.
		Parts  []Part
		Tokens int      // of the whole prompt
		Tried  []string // ids of runners that earlier attempts used
		// SoftwareVersion is the only version of the runners' software that may run the request; empty
		// for any. What two versions write for one stream does not fit together.
		SoftwareVersion string
		// Resumable reports whether the request is a stream that may go on at another runner.
		Resumable bool
		// Excluded holds the ids of runners that the sending router must not use now.
		Excluded   []string
		Priority   int    // 0 is the most urgent
		DataCentre string // data centre of the sending router; empty for this router's own
		// Homes lists sets of regions. The runner must be in a region of each set.
		Homes [][]string
		// ForPeer reports whether another router sends the request. That router then enforces
		// the rate limits.
		ForPeer bool
		// PlacesGroup reports whether this router places the requests of the group for all routers.
		PlacesGroup bool
	}

	// Assignment is the assignment of a request to a runner. It counts towards the runner's load
	// until Finish.
	Assignment struct {
		balancer       *Balancer
		runner         *Runner
		version        string // of the runner's software
		uncachedTokens int
		knownTokens    int // of these and of those assumed to be cached, the ones known not to be
		started        bool
		ended          bool
		estimateMillis float64
		cachedTokens   int
		assignedAt     time.Time
		prediction     cicadaengine.Prediction // without a prompt it is not set
		predicted      bool
		waitMillis     float64
		observed       bool // the time to the first event was recorded
	}

	// Result is the outcome of a request at a runner.
	Result int
)

// Results of a request at a runner.
const (
	Answered        Result = iota // complete response, whatever the status
	Refused                       // the runner reported that it did not run the request
	Failed                        // no response, a truncated one or an error of the runner
	ConnectFailed                 // no connection was established
	CallerCancelled               // no evidence about the runner's health
	Misdirected                   // the address belongs to another runner, or the runner is draining
	NotSent                       // cancelled before it was sent; no evidence about the runner's health
)

// Error returns the combined rate limit of the remaining runners.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("the runners that are left take %g requests a second of all routers together", e.Rate)
}

// Choose assigns the request to the runner with the lowest estimated time to first token.
func (b *Balancer) Choose(req *Request, now time.Time) (*Assignment, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.services[req.Service]
	ignoreEjection := b.tooManyEjected(list, req, now)
	var best *Runner
	var bestCost, limitedRate float64
	noRoom := false
	v := b.view(req, now)
	preferred, second := b.preferredRunners(req, &v, now)
	secondUsable := false
	for _, r := range list {
		if b.isExcluded(r, req, ignoreEjection, now) {
			continue
		}
		if !b.canSend(r, req, now) {
			limitedRate += b.rate(r, now)
			continue
		}
		if !b.hasRoom(r, req, now) {
			noRoom = true
			continue
		}
		secondUsable = secondUsable || r == second
		cost := b.cost(r, req, v.cachedTokens(r, req, r == preferred, now), &v, now)
		if best == nil || cost < bestCost || cost == bestCost && r.hash < best.hash {
			best, bestCost = r, cost
		}
	}
	switch {
	case best != nil:
		if secondUsable && best != preferred {
			best = b.overflow(best, second, bestCost, req, &v, now)
		}
		b.takeRoom(best, req, now)
		return b.assign(best, req, best == preferred, &v, now), nil
	case limitedRate > 0:
		return nil, &RateLimitedError{Rate: limitedRate}
	case noRoom:
		return nil, &NoRoomError{}
	default:
		return nil, b.noRunnerError(req, now)
	}
}

// assign counts the request towards the load of r. It uses up a permit if r is rate-limited.
func (b *Balancer) assign(r *Runner, req *Request, preferred bool, v *view, now time.Time) *Assignment {
	if !req.ForPeer {
		b.cfg.Limits.TryAcquire(r.Key(), req.class(), now)
	}
	a := &Assignment{
		balancer: b, runner: r, version: r.entry.SoftwareVersion, assignedAt: now,
		estimateMillis: b.cost(r, req, v.cachedTokens(r, req, preferred, now), v, now), cachedTokens: v.cachedTokens(r, req, preferred, now),
	}
	a.uncachedTokens = max(req.Tokens-a.cachedTokens, 0)
	a.predict(req, preferred, v, now)
	r.inFlight++
	r.sinceReport++
	r.pendingTokens += a.uncachedTokens
	r.cachedParts.prefilled += a.knownTokens
	for i := range len(req.Parts) - 1 {
		r.cachedParts.add(req.Parts[i].ID, now)
	}
	return a
}

// HasAlternative reports whether there is a usable runner that the request has not tried, even if
// its rate limit forbids sending the request now.
func (b *Balancer) HasAlternative(req *Request, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[req.Service], func(r *Runner) bool { return !b.isExcluded(r, req, false, now) })
}

// canSend reports whether the rate limit of r lets the sending router send the request now.
func (b *Balancer) canSend(r *Runner, req *Request, now time.Time) bool {
	if req.ForPeer {
		return !slices.Contains(req.Excluded, r.entry.ID)
	}
	return !b.mayBeLimited(r) || b.cfg.Limits.CanSend(r.Key(), req.class(), now)
}

// mayBeLimited reports whether a rate limit of r may be known. The result is cached per
// generation of the limits, because most runners have no limit.
func (b *Balancer) mayBeLimited(r *Runner) bool {
	if g := b.cfg.Limits.Generation(); g != r.limitGeneration {
		r.mayBeLimited, r.limitGeneration = b.cfg.Limits.Tracks(r.Key()), g
	}
	return r.mayBeLimited
}

// isLimited reports whether r has a rate limit.
func (b *Balancer) isLimited(r *Runner, now time.Time) bool {
	if !b.mayBeLimited(r) {
		return false
	}
	_, limited := b.cfg.Limits.Rate(r.Key(), now)
	return limited
}

// rate returns the rate limit of r, in requests per second.
func (b *Balancer) rate(r *Runner, now time.Time) float64 {
	rate, _ := b.cfg.Limits.Rate(r.Key(), now)
	return rate
}

func (r *Request) class() cicadalimit.Class {
	return cicadalimit.Class{Service: r.Service, Priority: r.Priority}
}

// RateLimitedRunners returns the runners that only their rate limits exclude for the request.
func (b *Balancer) RateLimitedRunners(req *Request, now time.Time) []cicadalimit.Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []cicadalimit.Key
	for _, r := range b.services[req.Service] {
		if !b.isExcluded(r, req, false, now) && !b.canSend(r, req, now) {
			out = append(out, r.Key())
		}
	}
	return out
}

// maxUnusableIDs bounds the runner ids in a request to another router, which take about 15 bytes
// each. If the other router chooses an unusable runner that was not listed, this router makes the
// choice itself.
const maxUnusableIDs = 32

// UnusableIDs returns the ids of the service's runners that this router must not use now for reasons
// that other routers may not know: their rate limits, and what they told this router. It returns at
// most maxUnusableIDs ids.
func (b *Balancer) UnusableIDs(req *Request, now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, r := range b.services[req.Service] {
		if len(out) == maxUnusableIDs {
			break
		}
		if r.draining || now.Before(r.pausedUntil) || b.mayBeLimited(r) && !b.cfg.Limits.CanSend(r.Key(), req.class(), now) {
			out = append(out, r.entry.ID)
		}
	}
	return out
}

// preferredRunners returns the runner that all routers prefer for the request's shared parts, by
// rendezvous hashing of the last shared part, and the next one. The first one is passed over if it has
// no memory for the parts and the next one has. Both are nil if there are no shared parts.
func (b *Balancer) preferredRunners(req *Request, v *view, now time.Time) (preferred, second *Runner) {
	if len(req.Parts) < 2 {
		return nil, nil
	}
	key := xxhash.Sum64String(req.Parts[len(req.Parts)-2].ID)
	var highest, next uint64
	for _, r := range b.services[req.Service] {
		w := mix(r.hash ^ key)
		// The hash is compared first: few runners are left for the checks, which take longer.
		if second != nil && w <= next || b.isLimited(r, now) || b.isExcluded(r, req, true, now) {
			continue
		}
		if preferred == nil || w > highest {
			preferred, second = r, preferred
			highest, next = w, highest
		} else {
			second, next = r, w
		}
	}
	if second != nil && !v.holdsPrefix(preferred, req, now) && v.holdsPrefix(second, req, now) {
		return second, preferred
	}
	return preferred, second
}

// mix is the finalizer of splitmix64, which spreads a hash over all bits.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// cost returns the estimated time to first token at r plus penalties, in milliseconds.
func (b *Balancer) cost(r *Runner, req *Request, cached int, v *view, now time.Time) float64 {
	var cost float64
	if len(req.Parts) > 0 {
		uncached := req.Tokens - cached
		work := r.work(uncached, now)
		cost = r.model.Millis(&v.coefficients, &work, now)
		if uncached >= longPromptTokens {
			pause := float64(r.inFlight) * min(float64(req.Tokens)/maxPausePromptTokens, 1) * pauseMillisPerStream
			cost += v.coefficients.Scaled(pause)
		}
	} else {
		running, waiting := r.load(now)
		cost = float64(running+waiting) / float64(max(r.entry.Slots, 1)) * plainMillisPerRequest
	}
	if r.entry.DataCentre != cmp.Or(req.DataCentre, b.cfg.DataCentre) {
		cost += crossDataCentreMillis
	}
	if r.entry.WarmupRemaining > now.Sub(r.firstSeen) {
		cost += warmupMillis
	}
	return cost
}

// load returns the running and queued requests at the runner, from its load report while that is
// fresh. The running requests are at least those that this router has in flight there.
func (r *Runner) load(now time.Time) (running, waiting int) {
	if now.Sub(r.reportedAt) > loadReportTTL {
		return r.inFlight, 0
	}
	return max(r.reportedLoad.Running, r.inFlight), r.reportedLoad.Waiting
}

// tooManyEjected reports whether more than maxEjectedShare of the runners that the request may use are
// ejected.
func (b *Balancer) tooManyEjected(list []*Runner, req *Request, now time.Time) bool {
	if !slices.ContainsFunc(list, func(r *Runner) bool { return now.Before(r.ejectedUntil) }) {
		return false
	}
	ejected, total := 0, 0
	for _, r := range list {
		if b.unavailability(r, now) != nil || r.hasOtherVersion(req) || b.isUnsettled(r, req, now) {
			continue
		}
		total++
		if now.Before(r.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected) > maxEjectedShare*float64(total)
}

// Runner returns the assigned runner.
func (a *Assignment) Runner() *Runner { return a.runner }

// SoftwareVersion returns the version of the software that runs the request. It is empty if it is not
// known, or if the runner's id has returned with another version since the assignment.
func (a *Assignment) SoftwareVersion() string {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if r := a.balancer.byID[a.runner.entry.ID]; r != nil && r.entry.SoftwareVersion != a.version {
		return ""
	}
	return a.version
}

// EstimateMillis returns the runner's cost at the time of the assignment, in milliseconds.
func (a *Assignment) EstimateMillis() float64 { return a.estimateMillis }

// CachedTokens returns the number of prompt tokens that the runner was assumed to have cached.
func (a *Assignment) CachedTokens() int { return a.cachedTokens }

// AssignedAt returns the time of the assignment.
func (a *Assignment) AssignedAt() time.Time { return a.assignedAt }

// ResponseStarted records that the response has begun, so that the prefill of the prompt is done.
func (a *Assignment) ResponseStarted() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.markStarted()
}

func (a *Assignment) markStarted() {
	if !a.started {
		a.started = true
		a.runner.pendingTokens -= a.uncachedTokens
		a.runner.pendingKnown -= a.knownTokens
	}
}

// Finish ends the assignment. It returns the duration of the runner's ejection, or zero if the
// runner is not ejected by this result. Further calls have no effect.
func (a *Assignment) Finish(res Result, now time.Time) time.Duration {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.ended {
		return 0
	}
	a.ended = true
	a.markStarted()
	a.runner.inFlight--
	if res == Refused {
		a.balancer.recordRejection(a.runner, now)
	}
	return a.runner.recordResult(res, now)
}

// recordResult updates the runner's health. It returns the duration of a new ejection, or zero.
func (r *Runner) recordResult(res Result, now time.Time) time.Duration {
	switch res {
	case Answered:
		r.failures, r.ejections = 0, 0
		r.ejectedUntil = time.Time{}
		return 0
	case CallerCancelled, NotSent:
		return 0
	case Misdirected:
		r.draining = true
		return 0
	case ConnectFailed:
		r.failures = ejectionThreshold
	case Refused, Failed:
		r.failures++
	}
	if r.failures < ejectionThreshold || now.Before(r.ejectedUntil) {
		return 0
	}
	d := min(minEjection<<min(r.ejections, 6), maxEjection)
	r.ejections++
	r.ejectedUntil = now.Add(d)
	return d
}
