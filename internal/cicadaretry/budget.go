// Package cicadaretry implements a retry budget: it limits how many requests are sent to a
// second runner.
//
// Without a limit each router's retries would add to the load that made a service fail. In any
// window all routers together may send Slack retries plus Ratio times the service's requests,
// and each router spends from its share. The package reads no clock; callers pass the time.
package cicadaretry

import (
	"sync"
	"time"
)

const (
	// ratioShare is the part of Ratio that is used. The rest covers requests that fall on the
	// edges of a window.
	ratioShare = 0.75
	// slackShare is the part of Slack that is used. The rest covers routers that the others do
	// not know yet, and buckets that start again with a new process.
	slackShare = 0.6
	// initialFillShare is the initial level of a bucket as a share of its capacity: an earlier
	// process on this host may have spent a whole bucket in the same window.
	initialFillShare = 0.34
)

type (
	// Config is the limit shared by all routers.
	Config struct {
		Ratio  float64 // retries per request in a window
		Slack  float64 // additional retries in each window
		Window time.Duration
	}

	// Budget is this router's share of the limit. It is safe for concurrent use.
	Budget struct {
		mu      sync.Mutex // guards the fields below
		cfg     Config
		routers int // that share the limit; zero if unknown
		buckets map[string]*bucket
	}

	// bucket is a token bucket of retries. Each request adds a part of Ratio to it, and
	// the slack is added evenly over a window, up to the capacity. The retries in any window
	// are at most the capacity, the slack added and the requests' part, which is why capacity
	// and added slack each get half of the slack.
	bucket struct {
		level            float64
		updatedAt        time.Time
		allowed, refused int64 // retries
	}

	// Count is how often retries of a service were asked for.
	Count struct {
		Allowed int64 `json:"allowed"`
		Refused int64 `json:"refused"`
	}
)

// NewBudget returns a budget that has no part of the slack until SetRouters is called: the others may
// already spend all of it.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, buckets: map[string]*bucket{}}
}

// Configure changes the limit. The buckets keep their levels.
func (b *Budget) Configure(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg = cfg
}

// SetRouters sets the number of routers that share the limit. It reports whether the number has changed.
func (b *Budget) SetRouters(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.routers
	b.routers = max(n, 1)
	return b.routers != before
}

// SlackShare returns this router's share of the slack, in retries per window.
func (b *Budget) SlackShare() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 2 * b.slack()
}

// CountRequest counts a request that a caller sent for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.bucket(service, now)
	bkt.level = min(bkt.level+b.cfg.Ratio*ratioShare, b.capacity())
}

// Allow spends one retry, or returns false if there is none left.
func (b *Budget) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.bucket(service, now)
	if bkt.level < 1 {
		bkt.refused++
		return false
	}
	bkt.level--
	bkt.allowed++
	return true
}

// Counts returns how many retries of each service were allowed and refused.
func (b *Budget) Counts() map[string]Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]Count, len(b.buckets))
	for service, bkt := range b.buckets {
		counts[service] = Count{Allowed: bkt.allowed, Refused: bkt.refused}
	}
	return counts
}

// slack returns half of this router's share of the slack. Buckets hold as much, and as much is added to
// them in a window.
func (b *Budget) slack() float64 {
	if b.routers == 0 {
		return 0
	}
	return b.cfg.Slack * slackShare / 2 / float64(b.routers)
}

// capacity returns the capacity of a bucket, which is at least one retry, so that a small share still
// allows retries. If there are more routers than Slack retries, full buckets of all routers together
// therefore exceed the limit.
func (b *Budget) capacity() float64 { return max(b.slack(), 1) }

func (b *Budget) bucket(service string, now time.Time) *bucket {
	bkt := b.buckets[service]
	if bkt == nil {
		bkt = &bucket{level: b.capacity() * initialFillShare, updatedAt: now}
		b.buckets[service] = bkt
	}
	if dt := now.Sub(bkt.updatedAt); dt > 0 && b.cfg.Window > 0 {
		bkt.level = min(bkt.level+b.slack()*dt.Seconds()/b.cfg.Window.Seconds(), b.capacity())
		bkt.updatedAt = now
	}
	return bkt
}
