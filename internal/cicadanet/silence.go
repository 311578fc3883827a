package cicadanet

import (
	"sync"
	"time"
)

const (
	// maxTimerDelay is how late a timer may fire in a process that runs.
	maxTimerDelay = 20 * time.Millisecond
	// minWakePeriod is the least time that a process which did not run gets to read what has arrived.
	minWakePeriod = 100 * time.Millisecond
)

// SilenceTimer ends the wait for a peer that sends nothing for a timeout. If it fires late, this process
// did not run and cannot tell whether the peer was silent: it then waits once more, for as long as it was
// late, so that what has arrived is read first. The zero value does nothing.
//
// After Stop or Suspend has returned, the wait does not end any more, even if the timeout expires at that
// moment.
type SilenceTimer struct {
	onSilence func() bool

	mu        sync.Mutex // guards the fields below
	timer     *time.Timer
	timeout   time.Duration
	due       time.Time
	late      time.Duration // the most that the timer was late
	waking    bool          // the last expiry was late
	suspended bool
	stopped   bool
}

// NewSilenceTimer starts a timer that calls onSilence in a goroutine of its own after the timeout. The
// timer starts again if onSilence returns false. It must not call methods of the timer.
func NewSilenceTimer(timeout time.Duration, onSilence func() bool) *SilenceTimer {
	t := &SilenceTimer{onSilence: onSilence, timeout: timeout, due: time.Now().Add(timeout)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.expire)
	return t
}

func (t *SilenceTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.suspended {
		return
	}
	late := time.Since(t.due)
	if late < 0 {
		return // reset as it expired
	}
	if late > maxTimerDelay && !t.waking {
		t.waking, t.late = true, max(t.late, late)
		t.start(max(late, minWakePeriod))
		return
	}
	t.waking = false
	if t.stopped = t.onSilence(); !t.stopped {
		t.start(t.timeout)
	}
}

func (t *SilenceTimer) start(d time.Duration) {
	t.due = time.Now().Add(d)
	t.timer.Reset(d)
}

// Reset starts the timer again with a timeout, as something has been received.
func (t *SilenceTimer) Reset(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil && !t.stopped {
		t.waking, t.suspended, t.timeout = false, false, timeout
		t.start(timeout)
	}
}

// Suspend stops the timer until it is reset, while nothing is read from the peer.
func (t *SilenceTimer) Suspend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspended = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// Stop stops the timer for good.
func (t *SilenceTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// Late returns the longest time for which this process was found not to run, or zero.
func (t *SilenceTimer) Late() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.late
}
