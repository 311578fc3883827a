package cicadarouter

import (
	"sync"

	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"golang.org/x/time/rate"
)

const (
	// maxRetryTokens is the number of retries an organisation has in stock.
	maxRetryTokens = 10
	// maxTrackedOrgs bounds the organisations with state of their own; the state
	// of idle ones is dropped beyond it.
	maxTrackedOrgs = 10000
)

type (
	// orgLimiter keeps an organisation within its limits. Each router enforces
	// its share of the fleet's limit, so no request needs a message.
	orgLimiter struct {
		mu   sync.Mutex // guards the fields below
		orgs map[string]*orgState
	}

	orgState struct {
		running int
		rate    *rate.Limiter
		// perSecond is the rate that the limiter was made for.
		perSecond float64
	}

	// retryBudget bounds retries to a share of the requests, so that a failing
	// upstream is not given more work than a healthy one.
	retryBudget struct {
		mu     sync.Mutex // guards stock
		tokens map[string]float64
	}
)

func newOrgLimiter() *orgLimiter { return &orgLimiter{orgs: make(map[string]*orgState)} }

// acquire takes a place for a request. The caller releases it.
func (l *orgLimiter) acquire(id string, limits cicadadoc.Limits, routers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.orgs[id]
	if !ok {
		l.evictIdle()
		o = &orgState{}
		l.orgs[id] = o
	}
	if limits.Concurrency > 0 && o.running >= max(1, limits.Concurrency/routers) {
		return false
	}
	if share := limits.RequestsPerSecond / float64(routers); share > 0 {
		if o.rate == nil || o.perSecond != share {
			o.rate = rate.NewLimiter(rate.Limit(share), max(1, int(share)))
			o.perSecond = share
		}
		if !o.rate.Allow() {
			return false
		}
	}
	o.running++
	return true
}

func (l *orgLimiter) release(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.orgs[id]; ok {
		o.running--
	}
}

func (l *orgLimiter) evictIdle() {
	if len(l.orgs) < maxTrackedOrgs {
		return
	}
	for id, o := range l.orgs {
		if o.running == 0 {
			delete(l.orgs, id)
		}
	}
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: make(map[string]float64)} }

// deposit adds a request's share of a retry.
func (b *retryBudget) deposit(id string, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.tokens[id]
	if !ok {
		if len(b.tokens) >= maxTrackedOrgs {
			clear(b.tokens)
		}
		tokens = maxRetryTokens
	}
	b.tokens[id] = min(maxRetryTokens, tokens+float64(percent)/100)
}

// withdraw takes a retry out of the stock, if there is one.
func (b *retryBudget) withdraw(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[id] < 1 {
		return false
	}
	b.tokens[id]--
	return true
}
