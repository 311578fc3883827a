package cicadarouter

import (
	"sync"

	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"golang.org/x/time/rate"
)

const (
	// maxRetryTokens is the capacity of a retry budget, and its initial value.
	maxRetryTokens = 10
	// maxTrackedOrgs is the number of tracked organisations at which the state of
	// idle organisations is evicted and retry budgets are reset.
	maxTrackedOrgs = 10000
)

type (
	// orgLimiter enforces the limits of organisations. Each router enforces its
	// share of the limit of the whole fleet, so that requests need no messages
	// between routers.
	orgLimiter struct {
		mu   sync.Mutex // guards the fields below
		orgs map[string]*orgState
	}

	orgState struct {
		running int
		rate    *rate.Limiter
		// perSecond is the rate with which the limiter was created.
		perSecond float64
	}

	// retryBudget limits retries to a percentage of the requests, so that a
	// failing upstream does not get more load than a healthy one. It is a token
	// bucket per budget; a retry takes one token.
	retryBudget struct {
		mu     sync.Mutex // guards tokens
		tokens map[string]float64
	}
)

func newOrgLimiter() *orgLimiter { return &orgLimiter{orgs: make(map[string]*orgState)} }

// acquire admits a request within the limits and reports whether it did. The caller
// calls release when an admitted request ends.
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

// deposit adds the fraction of a token that a request earns.
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

// withdraw takes a token for a retry and reports whether there was one.
func (b *retryBudget) withdraw(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[id] < 1 {
		return false
	}
	b.tokens[id]--
	return true
}
