package cicadaedge

import (
	"math"
	"sync/atomic"
	"time"
)

// atomicTime is a time on the steady clock that several goroutines share. The time
// of day may jump, so it is not kept as such. The zero value is never.
type atomicTime struct {
	at atomic.Pointer[time.Time]
}

// set takes a time that time.Now returned, or one derived from it.
func (i *atomicTime) set(t time.Time) { i.at.Store(&t) }

// advance takes a time if it is later than the present one.
func (i *atomicTime) advance(t time.Time) {
	if old := i.at.Load(); old == nil || t.After(*old) {
		i.set(t)
	}
}

// age is the time since the instant; very long if it is never.
func (i *atomicTime) age(now time.Time) time.Duration {
	at := i.at.Load()
	if at == nil {
		return math.MaxInt64
	}
	return now.Sub(*at)
}
