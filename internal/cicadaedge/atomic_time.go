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
func (a *atomicTime) set(t time.Time) { a.at.Store(&t) }

// advance stores a time if it is later than the current one.
func (a *atomicTime) advance(t time.Time) {
	if old := a.at.Load(); old == nil || t.After(*old) {
		a.set(t)
	}
}

// setFirst stores a time if there is none.
func (a *atomicTime) setFirst(t time.Time) { a.at.CompareAndSwap(nil, &t) }

// clear removes the time.
func (a *atomicTime) clear() { a.at.Store(nil) }

// get returns the stored time, and false if there is none.
func (a *atomicTime) get() (time.Time, bool) {
	at := a.at.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

// age returns the time elapsed since the stored time, or the largest duration if there is none.
func (a *atomicTime) age(now time.Time) time.Duration {
	at := a.at.Load()
	if at == nil {
		return math.MaxInt64
	}
	return now.Sub(*at)
}
