package cicadalimit

import (
	"sync"
	"time"
)

// clockGrain is the resolution in which the shared clock is told.
const clockGrain = time.Millisecond

// Clock tells the time of the clock that all routers share, the store's. Safe for
// concurrent use.
//
// Each answer of the store bounds the difference to the local steady clock, since its
// time was read between the call and its answer. What all answers bound together is
// kept until one contradicts it, as after a freeze of this host or a restore of the
// store; then that one counts alone.
type Clock struct {
	mu        sync.Mutex // guards the fields below
	zero      time.Time  // of the local clock; zero until the first answer
	low, high time.Duration
}

// Observe takes the shared time that an answer told. The call was sent and its answer
// received at local times.
func (c *Clock) Observe(sent, received time.Time, shared time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := !c.zero.IsZero()
	if !known {
		c.zero = sent
	}
	low, high := shared-received.Sub(c.zero), shared+clockGrain-sent.Sub(c.zero)
	if !known || low > c.high || high < c.low {
		c.low, c.high = low, high
		return
	}
	c.low, c.high = max(c.low, low), min(c.high, high)
}

// SharedTime returns the shared time at a local one. It returns false while no answer has
// told it.
func (c *Clock) SharedTime(at time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zero.IsZero() {
		return 0, false
	}
	return at.Sub(c.zero) + (c.low+c.high)/2, true
}
