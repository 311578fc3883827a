// Package cicadalimit keeps the routers together within the rate limits that runners announce.
//
// It answers the load on a runner that announces a rate limit: how many requests a second
// it takes from all routers together. A router knows only what it sends itself, and a fixed
// part of the rate is less than one request where routers are many. So the rate is cut
// into permits: one falls due each 1/rate seconds of a clock that all routers share, and
// belongs to one router, found by rendezvous hashing over the routers' names. Whoever
// owns a permit may send one request, first attempts and later ones alike. Invariants:
//
//   - A permit is used by its owner, or by the one router that the owner gave it up to. No
//     other message decides, so a cut or an outage changes nothing in who may send.
//   - Routers that know slightly different sets of routers disagree on few permits.
//   - A permit that is not used within its life is lost: silence saves nothing up.
//   - A router that does not know the clock or the other routers has no permits.
//
// A rate holds until an answer without one comes from a request that was sent after the
// last answer that named it: answers of different connections overtake each other. What
// a router hears it tells the others (Reports, Learn), so that a router whose permits are
// rare learns of the end as well.
//
// The package does no input or output and reads no clock; callers pass the time in.
package cicadalimit

import (
	"encoding/binary"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// permitLife is how long a permit may be used, at rates of a permit in that time or
	// more: long enough for a request to come along. In four seconds at most five
	// seconds' permits are used.
	permitLife = time.Second
	// leastRate is used for smaller rates, zero among them, in requests a second. It
	// lets the routers hear whether the runner still names its limit.
	leastRate = 0.25
	// mostRate is used for larger rates, in requests a second: each permit costs a look.
	mostRate = 512.0
	// rateSteps is the number of rates between one and its double that permits are counted
	// in: routers that hear slightly different ones shall agree on the permits.
	rateSteps = 4
	// clockSlack is what the clocks of two routers may differ by.
	clockSlack = 100 * time.Millisecond
	// forgetAfter is how long a statement counts that nothing confirms.
	forgetAfter = 10 * time.Minute
	// endKept is how long the end of a limit is told to other routers.
	endKept = time.Minute
)

type (
	// Key names one start of a runner.
	Key struct {
		ID          string
		StartMillis int64 // Unix milliseconds; zero if it is not known
	}

	// statement is what a runner last said of its limit.
	statement struct {
		// Rate is the requests a second that it takes from all routers together.
		Rate float64
		// Ended tells that it names no limit any more.
		Ended bool
		// At is the local time from which the statement counts.
		At time.Time
	}

	// Limits are the limits of the runners that this router knows of. Safe for
	// concurrent use.
	Limits struct {
		clock *Clock
		// generation rises whenever the set of runners changes that anything is known
		// of, and is zero before the first.
		generation atomic.Uint64

		mu      sync.Mutex // guards the fields below
		self    uint64
		routers []member // this router included; empty while unknown
		runners map[Key]*limit
		returns map[string]*schedule // by service
	}

	// member is one of the routers.
	member struct {
		name string
		hash uint64
	}

	// limit is the limit of one runner.
	limit struct {
		hash       uint64
		own, other statement // newest by this router and by the others
		news       bool      // own changed what was known
		rate       float64   // that next counts in
		next       int64     // first permit that has not been looked at
		due        []time.Duration
		asked      time.Duration // when the last one that its owner was asked for fell due
	}
)

// New returns limits that count time by a shared clock.
func New(clock *Clock) *Limits {
	return &Limits{clock: clock, runners: map[Key]*limit{}, returns: map[string]*schedule{}}
}

// SetRouters sets the names of all routers, this one included.
func (l *Limits) SetRouters(self string, names []string) {
	routers := make([]member, len(names))
	for i, name := range names {
		routers[i] = member{name: name, hash: xxhash.Sum64String(name)}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self, l.routers = xxhash.Sum64String(self), routers
}

// RecordLimit notes that a runner named a rate. It tells whether this is news.
func (l *Limits) RecordLimit(key Key, rate float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runner(key, now)
	before, limited := r.rateNow()
	r.own = statement{Rate: rate, At: now}
	after, _ := r.rateNow()
	if limited && before == after {
		return false
	}
	r.news = true
	l.begin(r, after, !limited, now)
	return true
}

// RecordNoLimit notes that a runner named no limit on the answer to a request that was sent at a
// time. It tells whether that ends a limit.
func (l *Limits) RecordNoLimit(key Key, sent time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[key]
	if r == nil {
		return false
	}
	if said := r.newest(); said.Ended || !sent.After(said.At) {
		return false
	}
	r.own, r.news = statement{Ended: true, At: sent}, true
	return true
}

// Generation rises whenever Knows may return something else, and is zero before any runner
// is known.
func (l *Limits) Generation() uint64 { return l.generation.Load() }

// Tracks tells whether anything is known of a runner's limit. Where nothing is, the runner
// is open.
func (l *Limits) Tracks(key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runners[key] != nil
}

// Rate returns a runner's limit, or false if it names none.
func (l *Limits) Rate(key Key) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runners[key]; r != nil {
		return r.rateNow()
	}
	return 0, false
}

// CanSend tells whether this router may send a request to a runner now.
func (l *Limits) CanSend(key Key, d Class, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[key]
	return r == nil || l.open(r, d, now)
}

// TryAcquire uses a permit up, if the runner is limited. It returns false if there is none.
func (l *Limits) TryAcquire(key Key, d Class, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[key]
	if r == nil {
		return true
	}
	if !l.open(r, d, now) {
		return false
	}
	if len(r.due) > 0 {
		r.due = r.due[1:]
	}
	return true
}

func (l *Limits) open(r *limit, d Class, now time.Time) bool {
	rate, limited := r.rateNow()
	if !limited {
		r.due = nil
		return true
	}
	shared, ok := l.clock.SharedTime(now)
	if !ok || len(l.routers) == 0 {
		return false
	}
	l.advance(r, rate, shared)
	if len(r.due) == 0 {
		return false
	}
	fresh := shared-r.due[0] < life(rate)/2
	return !fresh || !l.isAwaited(d, now)
}

// begin counts the permits of a rate from now on. Those of a limit that had ended are lost.
func (l *Limits) begin(r *limit, rate float64, first bool, now time.Time) {
	r.rate = 0
	if first {
		r.due = nil
	}
	if shared, ok := l.clock.SharedTime(now); ok && len(l.routers) > 0 {
		l.advance(r, rate, shared)
	}
}

// advance takes up the permits that have fallen due, and drops those that are too old.
// Permits of another rate count from now on: those of the time before were used by it.
func (l *Limits) advance(r *limit, rate float64, shared time.Duration) {
	last := int64(shared.Seconds() * rate)
	oldest := shared - life(rate)
	if rate != r.rate {
		r.rate, r.next = rate, last+1
	}
	if r.next > last+1 { // the clock was set back
		r.next, r.asked, r.due = last+1, shared, nil
	}
	for r.next = max(r.next, int64(oldest.Seconds()*rate)+1); r.next <= last; r.next++ {
		if l.owner(r.hash, r.next).hash == l.self {
			r.due = append(r.due, permitTime(r.next, rate))
		}
	}
	for len(r.due) > 0 && r.due[0] < oldest {
		r.due = r.due[1:]
	}
}

// owner returns the router that a permit belongs to.
func (l *Limits) owner(runner uint64, permit int64) *member {
	var key [24]byte
	binary.LittleEndian.PutUint64(key[8:], runner)
	binary.LittleEndian.PutUint64(key[16:], uint64(permit))
	var owner *member
	var highest uint64
	for i := range l.routers {
		binary.LittleEndian.PutUint64(key[:], l.routers[i].hash)
		if w := xxhash.Sum64(key[:]); owner == nil || w > highest {
			owner, highest = &l.routers[i], w
		}
	}
	return owner
}

// permitTime is when a permit falls due, by the shared clock.
func permitTime(permit int64, rate float64) time.Duration {
	return time.Duration(float64(permit) / rate * float64(time.Second))
}

// life is how long a permit may be used.
func life(rate float64) time.Duration {
	return max(permitLife, time.Duration(float64(time.Second)/rate))
}

func (l *Limits) runner(key Key, now time.Time) *limit {
	r := l.runners[key]
	if r == nil {
		l.sweep(now)
		r = &limit{hash: xxhash.Sum64String(key.ID)}
		l.runners[key] = r
		l.generation.Add(1)
	}
	return r
}

// sweep drops what nothing has confirmed for long.
func (l *Limits) sweep(now time.Time) {
	for key, r := range l.runners {
		if now.Sub(r.newest().At) > forgetAfter {
			delete(l.runners, key)
			l.generation.Add(1)
		}
	}
}

// newest returns the statement that counts. Of two of the same time the one that limits
// does.
func (r *limit) newest() statement {
	if r.other.At.After(r.own.At) || r.other.At.Equal(r.own.At) && r.own.Ended {
		return r.other
	}
	return r.own
}

func (r *limit) rateNow() (float64, bool) {
	said := r.newest()
	if said.At.IsZero() || said.Ended {
		return 0, false
	}
	return countedRate(said.Rate), true
}

// countedRate is the rate in which the permits of a runner that names rate are counted: a
// step of the scale that is not above it, where the bounds allow.
func countedRate(rate float64) float64 {
	rate = min(max(rate, leastRate), mostRate)
	return math.Exp2(math.Floor(math.Log2(rate)*rateSteps) / rateSteps)
}
