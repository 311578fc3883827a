package cicadaplace

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/pkg/errors"
)

const (
	// prefillRate is the prompt tokens that an engine reads in a millisecond.
	prefillRate = 55.0
	// decodeCost is the added time to a first token for each running request, in
	// milliseconds: one decode step slows by about 0.02 ms for each, and some
	// steps pass before a first token.
	decodeCost = 0.4
	// queueCost is the time that one request waiting at an engine adds, in
	// milliseconds: a typical uncached prompt over prefillRate.
	queueCost = 70.0
	// plainCost is the weight of one request at a plain runner relative to its
	// slots, in milliseconds: about the work of one such request.
	plainCost = 60.0
	// remoteCost is charged for a runner in another data centre: its round trip
	// and the price of bytes between data centres, in milliseconds.
	remoteCost = 6.0
	// reportTrust is how long a runner's own report counts.
	reportTrust = 600 * time.Millisecond
	// longRead is the number of uncached tokens, two of an engine's chunks, from
	// which on reading a prompt slows several events of each running stream.
	// Steps grow with the depth of the prompt: at deepPrompt tokens their pauses
	// reach the objectives. pauseCost is charged for each stream that would
	// pause, in milliseconds.
	longRead   = 8192
	deepPrompt = 25000.0
	pauseCost  = 30.0
	// coldCost is charged for a runner that is still slow after its start.
	coldCost = 150.0

	// ejectAfter is the number of failures in a row after which a runner is
	// left out; ejectFor is for how long at first, doubling up to ejectMost.
	ejectAfter = 3
	ejectFor   = time.Second
	ejectMost  = 8 * time.Second
	// maxEjectedShare is the share of a service's runners that may be left out:
	// with more, the failures are likelier to have another cause.
	maxEjectedShare = 0.5
)

// Errors of Choose.
var (
	ErrNoRunner = errors.New("no runner of the service is known")
)

type (
	// RateLimitedError is returned by Choose where only runners are left whose limits this
	// router may not use now.
	RateLimitedError struct {
		// Rate is what they take together, in requests a second of all routers.
		Rate float64
	}

	// Request is what the choice depends on.
	Request struct {
		Service string
		// Parts are those of the prompt, in order; the last one is the request's
		// own. Empty for plain calls.
		Parts  []Part
		Tokens int      // of the whole prompt
		Tried  []string // ids of runners not to use again
		// Excluded are the ids of runners that the router that sends it may not use now.
		Excluded   []string
		Priority   int    // 0 is the most urgent
		DataCentre string // data centre of the router that sends it; empty for this one
		// ForPeer tells that another router sends it. Limits of runners are that
		// router's to keep.
		ForPeer bool
	}

	// Assignment is a request's place at a runner, from its choice to its end.
	Assignment struct {
		f       *Balancer
		r       *Runner
		debt    int
		started bool
		ended   bool
		cost    float64
		cached  int
		since   time.Time
	}

	// Result is how a request ended at a runner.
	Result int
)

// The results.
const (
	Answered        Result = iota // the runner did its part, whatever the status
	Refused                       // the runner says that it did not run the request
	Failed                        // no answer, a broken one or an error of the runner
	ConnectFailed                 // no connection was made
	CallerCancelled               // says nothing of the runner
	Misdirected                   // another runner has the address, or this one is leaving
	NotSent                       // taken back before it was sent: says nothing of the runner
)

// Error tells of the limit.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("the runners that are left take %g requests a second of all routers together", e.Rate)
}

// Choose returns a ticket for the runner with the shortest estimated time to a
// first token.
func (f *Balancer) Choose(req *Request, now time.Time) (*Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.services[req.Service]
	ignoreEjection := f.tooManyEjected(list, now)
	var best *Runner
	var bestCost, limited float64
	home := f.homeOf(req, now)
	for _, r := range list {
		if f.leftOut(r, req, ignoreEjection, now) {
			continue
		}
		if !f.isOpen(r, req, now) {
			limited += f.rate(r)
			continue
		}
		cost := f.cost(r, req, r == home, now)
		if best == nil || cost < bestCost || cost == bestCost && r.hash < best.hash {
			best, bestCost = r, cost
		}
	}
	switch {
	case best != nil:
		return f.take(best, req, best == home, now), nil
	case limited > 0:
		return nil, &RateLimitedError{Rate: limited}
	default:
		return nil, ErrNoRunner
	}
}

// take gives a request its place at a runner.
func (f *Balancer) take(r *Runner, req *Request, home bool, now time.Time) *Assignment {
	if !req.ForPeer {
		f.cfg.Limits.TryAcquire(r.Key(), req.class(), now)
	}
	t := &Assignment{f: f, r: r, since: now, cost: f.cost(r, req, home, now), cached: r.cachedTokens(req, home, now)}
	t.debt = max(req.Tokens-t.cached, 0)
	r.inFlight++
	r.debt += t.debt
	for i := range len(req.Parts) - 1 {
		r.cached.add(req.Parts[i].ID, now)
	}
	return t
}

// IsDraining tells whether a runner leaves or is gone.
func (f *Balancer) IsDraining(r *Runner, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.gone || r.entry.Draining || r.leaving || f.isExpired(r, now)
}

// HasAlternative tells whether a runner is left that a request has not tried.
func (f *Balancer) HasAlternative(req *Request, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.services[req.Service], func(r *Runner) bool { return !f.leftOut(r, req, false, now) })
}

// isOpen tells whether the router that sends a request may send it to r now.
func (f *Balancer) isOpen(r *Runner, req *Request, now time.Time) bool {
	if req.ForPeer {
		return !slices.Contains(req.Excluded, r.entry.ID)
	}
	return !f.mayBeLimited(r) || f.cfg.Limits.CanSend(r.Key(), req.class(), now)
}

// mayBeLimited tells whether anything is known of a limit of r. It spares the look at the
// limits for the many runners that have none.
func (f *Balancer) mayBeLimited(r *Runner) bool {
	if g := f.cfg.Limits.Generation(); g != r.limitGeneration {
		r.mayBeLimited, r.limitGeneration = f.cfg.Limits.Tracks(r.Key()), g
	}
	return r.mayBeLimited
}

// isLimited tells whether r announces a limit.
func (f *Balancer) isLimited(r *Runner) bool {
	if !f.mayBeLimited(r) {
		return false
	}
	_, limited := f.cfg.Limits.Rate(r.Key())
	return limited
}

// rate is what a limited runner takes in a second.
func (f *Balancer) rate(r *Runner) float64 {
	rate, _ := f.cfg.Limits.Rate(r.Key())
	return rate
}

func (r *Request) class() cicadalimit.Class {
	return cicadalimit.Class{Service: r.Service, Priority: r.Priority}
}

// RateLimitedRunners returns the runners that a request could go to but for their limits.
func (f *Balancer) RateLimitedRunners(req *Request, now time.Time) []cicadalimit.Key {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []cicadalimit.Key
	for _, r := range f.services[req.Service] {
		if !f.leftOut(r, req, false, now) && !f.isOpen(r, req, now) {
			out = append(out, r.Key())
		}
	}
	return out
}

// mostBarred bounds the runners named in a question to another router: some 15 bytes
// each. If it chooses one that was left out, the asker chooses by itself.
const mostBarred = 32

// RateLimitedIDs returns the ids of runners of the service that this router may not send a
// request to now, so many at most as a question to another router names.
func (f *Balancer) RateLimitedIDs(req *Request, now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, r := range f.services[req.Service] {
		if len(out) == mostBarred {
			break
		}
		if f.mayBeLimited(r) && !f.cfg.Limits.CanSend(r.Key(), req.class(), now) {
			out = append(out, r.entry.ID)
		}
	}
	return out
}

func (f *Balancer) leftOut(r *Runner, req *Request, ignoreEjection bool, now time.Time) bool {
	return r.entry.Draining || r.leaving || f.isExpired(r, now) || slices.Contains(req.Tried, r.entry.ID) ||
		!ignoreEjection && now.Before(r.ejectedUntil)
}

// homeOf returns the runner that all routers take for the request's shared
// parts, by rendezvous hashing of the last of them, or nil.
func (f *Balancer) homeOf(req *Request, now time.Time) *Runner {
	if len(req.Parts) < 2 {
		return nil
	}
	key := xxhash.Sum64String(req.Parts[len(req.Parts)-2].ID)
	var home *Runner
	var highest uint64
	for _, r := range f.services[req.Service] {
		if f.isLimited(r) || f.leftOut(r, req, true, now) {
			continue
		}
		if w := mix(r.hash ^ key); home == nil || w > highest {
			home, highest = r, w
		}
	}
	return home
}

// mix spreads a hash over all bits, as the finalizer of splitmix64 does.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// cost estimates the milliseconds to a first token at r, plus what else counts
// against it.
func (f *Balancer) cost(r *Runner, req *Request, home bool, now time.Time) float64 {
	var cost float64
	running, waiting := r.load(now)
	if len(req.Parts) > 0 {
		missing := req.Tokens - r.cachedTokens(req, home, now)
		cost = float64(r.debt+missing)/prefillRate + float64(running)*decodeCost + float64(waiting)*queueCost
		if missing >= longRead {
			cost += float64(r.inFlight) * min(float64(req.Tokens)/deepPrompt, 1) * pauseCost
		}
	} else {
		cost = float64(running+waiting) / float64(max(r.entry.Slots, 1)) * plainCost
	}
	if r.entry.DataCentre != cmp.Or(req.DataCentre, f.cfg.DataCentre) {
		cost += remoteCost
	}
	if r.entry.WarmupRemaining > now.Sub(r.firstSeen) {
		cost += coldCost
	}
	return cost
}

// load returns the running and waiting requests: the runner's own report while
// it is fresh, and never less than what this router has there.
func (r *Runner) load(now time.Time) (running, waiting int) {
	if now.Sub(r.reportedAt) > reportTrust {
		return r.inFlight, 0
	}
	return max(r.reported.Running, r.inFlight), r.reported.Waiting
}

// cachedTokens counts the leading parts that the runner is taken to have.
func (r *Runner) cachedTokens(req *Request, home bool, now time.Time) int {
	n := 0
	for i := range len(req.Parts) - 1 {
		if !home && !r.cached.has(req.Parts[i].ID, now) {
			break
		}
		n += req.Parts[i].Tokens
	}
	return n
}

func (f *Balancer) tooManyEjected(list []*Runner, now time.Time) bool {
	n, all := 0, 0
	for _, r := range list {
		if r.entry.Draining || r.leaving || f.isExpired(r, now) {
			continue
		}
		all++
		if now.Before(r.ejectedUntil) {
			n++
		}
	}
	return float64(n) > maxEjectedShare*float64(all)
}

// Runner returns the ticket's runner.
func (t *Assignment) Runner() *Runner { return t.r }

// EstimateMillis returns the estimate that decided, in milliseconds.
func (t *Assignment) EstimateMillis() float64 { return t.cost }

// CachedTokens returns the prompt tokens that the runner was taken to have.
func (t *Assignment) CachedTokens() int { return t.cached }

// AssignedAt returns when the runner was chosen.
func (t *Assignment) AssignedAt() time.Time { return t.since }

// ResponseStarted notes that the runner's answer has begun: its prompt is read.
func (t *Assignment) ResponseStarted() {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	t.start()
}

func (t *Assignment) start() {
	if !t.started {
		t.started = true
		t.r.debt -= t.debt
	}
}

// ReportLoad notes a load that the runner told.
func (t *Assignment) ReportLoad(l Load, now time.Time) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	t.r.reported, t.r.reportedAt = l, now
}

// Finish gives the place back. It returns for how long the runner is left out, or
// zero. Only the first call counts.
func (t *Assignment) Finish(res Result, now time.Time) time.Duration {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	if t.ended {
		return 0
	}
	t.ended = true
	t.start()
	t.r.inFlight--
	return t.r.judge(res, now)
}

// judge updates the belief in the runner's health.
func (r *Runner) judge(res Result, now time.Time) time.Duration {
	switch res {
	case Answered:
		r.failures, r.ejections = 0, 0
		r.ejectedUntil = time.Time{}
		return 0
	case CallerCancelled, NotSent:
		return 0
	case Misdirected:
		r.leaving = true
		return 0
	case ConnectFailed:
		r.failures = ejectAfter
	case Refused, Failed:
		r.failures++
	}
	if r.failures < ejectAfter || now.Before(r.ejectedUntil) {
		return 0
	}
	d := min(ejectFor<<min(r.ejections, 6), ejectMost)
	r.ejections++
	r.ejectedUntil = now.Add(d)
	return d
}
