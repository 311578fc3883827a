package cicadalimit

import "time"

const (
	// priorities is the number of ranks that requests may have; 0 is the most urgent.
	priorities = 10
	// mostReturn bounds the time after which a caller is told to come back: callers
	// wait for a part of their own time at most.
	mostReturn = 10 * time.Second
	// awaitedFor is how long after a refusal its caller is taken to come back.
	awaitedFor = 2 * time.Second
)

type (
	// Class is what the sharing of permits among requests depends on.
	Class struct {
		Service  string
		Priority int
	}

	// schedule spreads the return of refused callers of one service. A caller returns
	// after those that were refused before it and are at least as urgent.
	schedule struct {
		next    [priorities]time.Time
		refused [priorities]time.Time // the last refusal
	}
)

// RetryAfter tells after what time a refused caller should come back, if all that serve it
// take a rate together: as soon as the callers of this router that go before it can have
// been served, by its part of the rate.
func (l *Limits) RetryAfter(d Class, rate float64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.returns[d.Service]
	if s == nil {
		s = &schedule{}
		l.returns[d.Service] = s
	}
	rank := rankOf(d.Priority)
	s.refused[rank] = now
	step := time.Duration(float64(time.Second) * float64(max(len(l.routers), 1)) / max(rate, leastRate))
	for i := rank; i < priorities; i++ {
		if s.next[i].Before(now) {
			s.next[i] = now
		}
		s.next[i] = s.next[i].Add(min(step, mostReturn))
	}
	if latest := now.Add(mostReturn); s.next[rank].After(latest) {
		s.next[rank] = latest
	}
	return s.next[rank].Sub(now)
}

// isAwaited tells whether a more urgent caller of the service was refused lately, so that
// fresh permits are left to it.
func (l *Limits) isAwaited(d Class, now time.Time) bool {
	s := l.returns[d.Service]
	if s == nil {
		return false
	}
	for _, at := range s.refused[:rankOf(d.Priority)] {
		if !at.IsZero() && now.Sub(at) < awaitedFor {
			return true
		}
	}
	return false
}

func rankOf(priority int) int { return min(max(priority, 0), priorities-1) }
