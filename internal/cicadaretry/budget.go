// Package cicadaretry bounds how often requests are sent to a second runner.
//
// It answers the load of a failing service: without a bound, each router's
// retries multiply the load that made the service fail. All routers together
// may send slack plus a ratio of the service's requests in any window; each one
// spends from its share. The package reads no clock; callers pass the time in.
package cicadaretry

import (
	"sync"
	"time"
)

const (
	// ratioShare is the part of the ratio that is used. The rest covers requests
	// that a window counts at its edges.
	ratioShare = 0.75
	// slackShare is the part of the slack that is used. The rest covers routers
	// that others do not know yet, and buckets that begin anew with a process.
	slackShare = 0.6
	// firstShare is the part of its bucket that a process starts with: the
	// process before it may have spent the whole bucket in the same window.
	firstShare = 0.34
)

type (
	// Config is the bound that all routers keep together.
	Config struct {
		Ratio  float64 // of the requests in a window
		Slack  float64 // besides, in each window
		Window time.Duration
	}

	// Budget is this router's share. Safe for concurrent use.
	Budget struct {
		mu       sync.Mutex // guards the fields below
		cfg      Config
		routers  int
		services map[string]*bucket
	}

	// bucket holds retries. It fills by a part of each request, and by its
	// slack over a window, and never holds more than its slack: in any window at
	// most its content, the fill and the requests' part are spent, which is why
	// content and fill get half of the slack each.
	bucket struct {
		level float64
		at    time.Time
	}
)

// NewBudget returns a budget.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, routers: 1, services: map[string]*bucket{}}
}

// Configure changes the bound. What has been spent stays spent.
func (b *Budget) Configure(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg = cfg
}

// SetRouters sets the number of routers that share the budget.
func (b *Budget) SetRouters(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = max(n, 1)
}

// CountRequest counts a request that a caller sent for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.bucket(service, now)
	u.level = min(u.level+b.cfg.Ratio*ratioShare, b.most())
}

// Allow spends one retry, or returns false if there is none left.
func (b *Budget) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.bucket(service, now)
	if u.level < 1 {
		return false
	}
	u.level--
	return true
}

// most is the largest content of a bucket: half of this router's slack, but
// room for one retry, so that a small share is not lost in rounding.
func (b *Budget) most() float64 {
	return max(b.cfg.Slack*slackShare/2/float64(b.routers), 1)
}

func (b *Budget) bucket(service string, now time.Time) *bucket {
	u := b.services[service]
	if u == nil {
		u = &bucket{level: b.most() * firstShare, at: now}
		b.services[service] = u
	}
	if dt := now.Sub(u.at); dt > 0 && b.cfg.Window > 0 {
		u.level = min(u.level+b.cfg.Slack*slackShare/2/float64(b.routers)*dt.Seconds()/b.cfg.Window.Seconds(), b.most())
		u.at = now
	}
	return u
}
