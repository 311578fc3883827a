package cicadalimit

import "time"

// SetWarmup limits a runner to a rate of requests per second, of all routers together, until the
// given time. The limit applies in addition to one that the runner advertises.
func (l *Limits) SetWarmup(key Key, rate float64, until, now time.Time) {
	if !now.Before(until) || !isValidRate(rate) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limitOf(key, now)
	oldRate, wasLimited := r.currentRate(now)
	r.warmup = warmup{rate: rate, until: until}
	if newRate, _ := r.currentRate(now); !wasLimited || newRate != oldRate {
		l.restartPermits(r, newRate, !wasLimited, now)
	}
}

// RateForBurst returns the rate of permits, in requests per second, at which all routers together
// send at most maxPerSecond requests in any second: permits that fell due in the second before are
// still valid, and one more is due at its start.
func RateForBurst(maxPerSecond float64) float64 {
	return max(maxPerSecond-1, 0) / (1 + permitTTL.Seconds())
}
