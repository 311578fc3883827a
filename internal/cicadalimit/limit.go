// Package cicadalimit enforces the rate limits that runners advertise, across all routers.
//
// A runner may advertise the rate of requests that it accepts from all routers together.
// A router knows only its own requests, and with many routers an equal share of the rate
// would be less than one request. The rate is therefore divided into permits. One permit
// falls due every 1/rate seconds of a clock that all routers share, and it is owned by one
// router, which is determined by rendezvous hashing of the routers' names. A permit allows
// its owner to send one request, either a first attempt or a retry. Invariants:
//
//   - A permit is used by its owner, or by the one router that the owner granted it to. No
//     other message affects permits, so network partitions and store outages do not change
//     which router may send.
//   - Routers that know slightly different sets of routers disagree on few permits.
//   - A permit that is not used within its lifetime is lost: unused permits do not accumulate.
//   - A router that does not know the shared clock or the other routers has no permits.
//
// A runner that is warming up is limited in the same way, at a rate that the configuration
// sets (SetWarmup).
//
// A limit applies until a response without one arrives for a request that was sent after
// the last response with the limit, because responses on different connections may arrive
// out of order. Routers exchange their observations (Reports, MergeReports), so that a
// router with few permits also learns that a limit has ended.
//
// The package does no I/O and reads no clock; callers pass in the time.
package cicadalimit

import (
	"encoding/binary"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// permitTTL is the lifetime of a permit at rates of at least one permit per permitTTL. It is
	// long enough for a request to arrive, and bounds the requests in any four seconds to the
	// permits of five seconds.
	permitTTL = time.Second
	// minRate replaces smaller rates, including zero, in requests per second. The requests that it
	// allows show whether the runner still advertises its limit.
	minRate = 0.25
	// maxRate replaces larger rates, in requests per second. It bounds the CPU time, as the owner of
	// each permit is computed.
	maxRate = 512.0
	// rateStepsPerDoubling is the number of quantised rates per doubling of the rate. Quantisation
	// makes routers that observe slightly different rates agree on the permits.
	rateStepsPerDoubling = 4
	// maxClockSkew is the largest assumed difference between the shared times of two routers.
	maxClockSkew = 100 * time.Millisecond
	// limitTTL is how long an observation is kept without confirmation.
	limitTTL = 10 * time.Minute
	// unlimitedReportTTL is how long the end of a limit is reported to other routers.
	unlimitedReportTTL = time.Minute
)

type (
	// Key identifies one start of a runner.
	Key struct {
		ID          string
		StartMillis int64 // Unix milliseconds; zero if it is not known
	}

	// observation is the most recent information about a runner's rate limit.
	observation struct {
		// Rate is the advertised limit, in requests per second from all routers together.
		Rate float64
		// Unlimited reports that the runner no longer advertises a limit.
		Unlimited bool
		// EffectiveAt is the local time from which the observation applies.
		EffectiveAt time.Time
	}

	// Limits tracks the rate limits of runners and this router's permits. It is safe for concurrent
	// use.
	Limits struct {
		clock *Clock
		// generation increases whenever the set of tracked runners changes. It is zero before the
		// first runner is tracked.
		generation atomic.Uint64

		mu             sync.Mutex // guards the fields below
		self           uint64
		routers        []router // including this router; empty while unknown
		runners        map[Key]*limit
		retrySchedules map[string]*retrySchedule // by service
	}

	// warmup is the rate limit of a runner that has just started. Its zero value is no limit.
	warmup struct {
		rate  float64
		until time.Time
	}

	// router is a router that may own permits.
	router struct {
		name string
		hash uint64
	}

	// limit is the rate limit of one runner.
	limit struct {
		hash           uint64
		own, fromPeers observation // latest observations of this router and of the other routers
		shouldReport   bool        // own changed the limit and is not yet reported by another router
		warmup         warmup
		permitRate     float64         // quantised rate that nextPermit is numbered by
		nextPermit     int64           // first permit whose owner has not been computed
		available      []time.Duration // due times of the usable permits, ascending
		lastRequested  time.Duration   // due time of the last permit that PeerPermit returned
	}
)

// String returns the ID and the start time.
func (k Key) String() string { return k.ID + "@" + strconv.FormatInt(k.StartMillis, 10) }

// New returns Limits without runners. Permits fall due by the given shared clock.
func New(clock *Clock) *Limits {
	return &Limits{clock: clock, runners: map[Key]*limit{}, retrySchedules: map[string]*retrySchedule{}}
}

// SetRouters sets the names of all routers, including this one.
func (l *Limits) SetRouters(self string, names []string) {
	routers := make([]router, len(names))
	for i, name := range names {
		routers[i] = router{name: name, hash: xxhash.Sum64String(name)}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self, l.routers = xxhash.Sum64String(self), routers
}

// RecordLimit records that a runner advertised a rate limit. It reports whether the limit changed.
func (l *Limits) RecordLimit(key Key, rate float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limitOf(key, now)
	oldRate, wasLimited := r.currentRate(now)
	r.own = observation{Rate: rate, EffectiveAt: now}
	newRate, _ := r.currentRate(now)
	if wasLimited && oldRate == newRate {
		return false
	}
	r.shouldReport = true
	l.restartPermits(r, newRate, !wasLimited, now)
	return true
}

// RecordNoLimit records a response without a rate limit to a request that was sent at the given time.
// It reports whether this ends a limit.
func (l *Limits) RecordNoLimit(key Key, sent time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[key]
	if r == nil {
		return false
	}
	if latest := r.latest(); latest.EffectiveAt.IsZero() || latest.Unlimited || !sent.After(latest.EffectiveAt) {
		return false
	}
	r.own, r.shouldReport = observation{Unlimited: true, EffectiveAt: sent}, true
	return true
}

// Generation returns a counter that increases whenever the result of Tracks may change. It is zero
// before the first runner is tracked.
func (l *Limits) Generation() uint64 { return l.generation.Load() }

// Tracks reports whether there is an observation of the runner's limit. Requests to a runner without
// one are not limited.
func (l *Limits) Tracks(key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runners[key] != nil
}

// Rate returns the quantised rate limit of a runner, or false if it has none.
func (l *Limits) Rate(key Key, now time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runners[key]; r != nil {
		return r.currentRate(now)
	}
	return 0, false
}

// CanSend reports whether this router may send a request to the runner now.
func (l *Limits) CanSend(key Key, class Class, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[key]
	return r == nil || l.canSend(r, class, now)
}

// TryAcquire uses up a permit if the runner advertises a limit. It returns false if no permit is available
// to the class.
func (l *Limits) TryAcquire(key Key, class Class, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[key]
	if r == nil {
		return true
	}
	if !l.canSend(r, class, now) {
		return false
	}
	if len(r.available) > 0 {
		r.available = r.available[1:]
	}
	return true
}

func (l *Limits) canSend(r *limit, class Class, now time.Time) bool {
	rate, limited := r.currentRate(now)
	if !limited {
		r.available = nil
		return true
	}
	shared, ok := l.clock.SharedTime(now)
	if !ok || len(l.routers) == 0 {
		return false
	}
	l.collectPermits(r, rate, shared)
	if len(r.available) == 0 {
		return false
	}
	recentlyDue := shared-r.available[0] < permitLifetime(rate)/2
	return !recentlyDue || !l.expectsMoreUrgent(class, now)
}

// restartPermits starts the permits of a changed rate now. The permits left over from an earlier limit
// that has ended are dropped.
func (l *Limits) restartPermits(r *limit, rate float64, newLimit bool, now time.Time) {
	r.permitRate = 0
	if newLimit {
		r.available = nil
	}
	if shared, ok := l.clock.SharedTime(now); ok && len(l.routers) > 0 {
		l.collectPermits(r, rate, shared)
	}
}

// collectPermits adds this router's permits that have fallen due and drops expired ones. If the rate
// has changed, it only adds permits from now on: the earlier period was covered by the old rate.
func (l *Limits) collectPermits(r *limit, rate float64, shared time.Duration) {
	latest := int64(shared.Seconds() * rate)
	oldest := shared - permitLifetime(rate)
	if rate != r.permitRate {
		r.permitRate, r.nextPermit = rate, latest+1
	}
	if r.nextPermit > latest+1 { // the clock was set back
		r.nextPermit, r.lastRequested, r.available = latest+1, shared, nil
	}
	for r.nextPermit = max(r.nextPermit, int64(oldest.Seconds()*rate)+1); r.nextPermit <= latest; r.nextPermit++ {
		if l.owner(r.hash, r.nextPermit).hash == l.self {
			r.available = append(r.available, dueTime(r.nextPermit, rate))
		}
	}
	for len(r.available) > 0 && r.available[0] < oldest {
		r.available = r.available[1:]
	}
}

// owner returns the router that owns a permit.
func (l *Limits) owner(runner uint64, permit int64) *router {
	var key [24]byte
	binary.LittleEndian.PutUint64(key[8:], runner)
	binary.LittleEndian.PutUint64(key[16:], uint64(permit))
	var owner *router
	var highest uint64
	for i := range l.routers {
		binary.LittleEndian.PutUint64(key[:], l.routers[i].hash)
		if w := xxhash.Sum64(key[:]); owner == nil || w > highest {
			owner, highest = &l.routers[i], w
		}
	}
	return owner
}

// dueTime returns the shared time at which a permit falls due.
func dueTime(permit int64, rate float64) time.Duration {
	return time.Duration(float64(permit) / rate * float64(time.Second))
}

// permitLifetime returns how long a permit may be used after its due time.
func permitLifetime(rate float64) time.Duration {
	return max(permitTTL, time.Duration(float64(time.Second)/rate))
}

// limitOf returns the limit of a runner. It starts tracking the runner if necessary.
func (l *Limits) limitOf(key Key, now time.Time) *limit {
	r := l.runners[key]
	if r == nil {
		l.removeExpired(now)
		r = &limit{hash: xxhash.Sum64String(key.ID)}
		l.runners[key] = r
		l.generation.Add(1)
	}
	return r
}

// removeExpired removes the runners whose limits were not confirmed for limitTTL.
func (l *Limits) removeExpired(now time.Time) {
	for key, r := range l.runners {
		if now.Sub(r.latest().EffectiveAt) > limitTTL && !now.Before(r.warmup.until) {
			delete(l.runners, key)
			l.generation.Add(1)
		}
	}
}

// latest returns the observation that applies, which is the later one. If both have the same time, one
// with a limit takes precedence.
func (r *limit) latest() observation {
	if r.fromPeers.EffectiveAt.After(r.own.EffectiveAt) || r.fromPeers.EffectiveAt.Equal(r.own.EffectiveAt) && r.own.Unlimited {
		return r.fromPeers
	}
	return r.own
}

// currentRate returns the smaller of the advertised limit and that of the warm-up.
func (r *limit) currentRate(now time.Time) (float64, bool) {
	rate := math.Inf(1)
	if latest := r.latest(); !latest.EffectiveAt.IsZero() && !latest.Unlimited {
		rate = latest.Rate
	}
	if now.Before(r.warmup.until) {
		rate = min(rate, r.warmup.rate)
	}
	if math.IsInf(rate, 1) {
		return 0, false
	}
	return quantisedRate(rate), true
}

// quantisedRate returns the rate for the permits of a runner that advertises rate: the highest step of
// a logarithmic scale that is not above rate, after rate is clamped to minRate and maxRate.
func quantisedRate(rate float64) float64 {
	rate = min(max(rate, minRate), maxRate)
	return math.Exp2(math.Floor(math.Log2(rate)*rateStepsPerDoubling) / rateStepsPerDoubling)
}
