package cicadalimit

import "time"

const (
	// priorityCount is the number of request priorities; 0 is the most urgent.
	priorityCount = 10
	// maxRetryAfter bounds the delay before a retry, because callers only wait for part of their
	// own deadline.
	maxRetryAfter = 10 * time.Second
	// expectedRetryWindow is how long after a refusal a retry of the caller is expected.
	expectedRetryWindow = 2 * time.Second
)

type (
	// Class holds the properties of a request that determine its share of the permits.
	Class struct {
		Service  string
		Priority int
	}

	// retrySchedule spreads the retries of refused callers of one service. A caller retries after
	// the callers that were refused before it and are at least as urgent.
	retrySchedule struct {
		nextRetry   [priorityCount]time.Time
		lastRefused [priorityCount]time.Time
	}
)

// RetryAfter returns the delay after which a refused caller should retry, where rate is the combined
// limit of the runners that can serve it. By then this router's share of the rate suffices for the
// callers that were refused before it and are at least as urgent.
func (l *Limits) RetryAfter(class Class, rate float64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.retrySchedules[class.Service]
	if s == nil {
		s = &retrySchedule{}
		l.retrySchedules[class.Service] = s
	}
	priority := clampPriority(class.Priority)
	s.lastRefused[priority] = now
	interval := time.Duration(float64(time.Second) * float64(max(len(l.routers), 1)) / max(rate, minRate))
	for i := priority; i < priorityCount; i++ {
		if s.nextRetry[i].Before(now) {
			s.nextRetry[i] = now
		}
		s.nextRetry[i] = s.nextRetry[i].Add(min(interval, maxRetryAfter))
	}
	if latest := now.Add(maxRetryAfter); s.nextRetry[priority].After(latest) {
		s.nextRetry[priority] = latest
	}
	return s.nextRetry[priority].Sub(now)
}

// expectsMoreUrgent reports whether a more urgent caller of the service was refused recently. Permits
// in the first half of their lifetime are then reserved for its retry.
func (l *Limits) expectsMoreUrgent(class Class, now time.Time) bool {
	s := l.retrySchedules[class.Service]
	if s == nil {
		return false
	}
	for _, at := range s.lastRefused[:clampPriority(class.Priority)] {
		if !at.IsZero() && now.Sub(at) < expectedRetryWindow {
			return true
		}
	}
	return false
}

func clampPriority(priority int) int { return min(max(priority, 0), priorityCount-1) }
