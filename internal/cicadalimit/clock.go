package cicadalimit

import (
	"sync"
	"time"
)

// clockResolution is the resolution of the store's timestamps.
const clockResolution = time.Millisecond

// Clock estimates the time of the store's clock, which all routers share. It is safe for
// concurrent use.
//
// Each response of the store bounds the offset between the store's clock and the local
// monotonic clock, because the store reads its clock between the request and the response.
// Clock keeps the intersection of these bounds. If a response contradicts them, as after a
// freeze of this host or a restore of the store, its bounds replace the earlier ones.
type Clock struct {
	mu                   sync.Mutex // guards the fields below
	reference            time.Time  // a reading of the local clock; zero until the first response
	minOffset, maxOffset time.Duration
}

// Observe records the shared time of a store response. The arguments sent and received are the local
// times of the request and the response.
func (c *Clock) Observe(sent, received time.Time, shared time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := !c.reference.IsZero()
	if !known {
		c.reference = sent
	}
	minOffset, maxOffset := shared-received.Sub(c.reference), shared+clockResolution-sent.Sub(c.reference)
	if !known || minOffset > c.maxOffset || maxOffset < c.minOffset {
		c.minOffset, c.maxOffset = minOffset, maxOffset
		return
	}
	c.minOffset, c.maxOffset = max(c.minOffset, minOffset), min(c.maxOffset, maxOffset)
}

// SharedTime returns the shared time at a local time. It returns false before the first observation.
func (c *Clock) SharedTime(local time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reference.IsZero() {
		return 0, false
	}
	return local.Sub(c.reference) + (c.minOffset+c.maxOffset)/2, true
}
