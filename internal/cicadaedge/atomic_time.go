package cicadaedge

import (
	"math"
	"sync/atomic"
	"time"
)

// atomicTime is a time that several goroutines share. It keeps the reading of the monotonic clock,
// since the wall clock may jump. The zero value holds no time.
type atomicTime struct {
	at atomic.Pointer[time.Time]
}

// set stores a time that was returned by time.Now or derived from such a time.
func (i *atomicTime) set(t time.Time) { i.at.Store(&t) }

// advance stores a time if it is later than the current one.
func (i *atomicTime) advance(t time.Time) {
	if old := i.at.Load(); old == nil || t.After(*old) {
		i.set(t)
	}
}

// age returns the time elapsed since the stored time, or the largest duration if there is none.
func (i *atomicTime) age(now time.Time) time.Duration {
	at := i.at.Load()
	if at == nil {
		return math.MaxInt64
	}
	return now.Sub(*at)
}
