package cicadaedge

import (
	"context"
	"sync"
	"time"
)

const (
	// spareWait is how long a request waits for the spare connection to its runner. It is several round
	// trips between data centres.
	spareWait = 50 * time.Millisecond
	// spareRetryDelay is the time between two attempts to open a spare connection.
	spareRetryDelay = 100 * time.Millisecond
	// relayedSpareIdleTime is how long a spare connection through another router stays unused. It holds up a
	// planned stop of that router.
	relayedSpareIdleTime = 200 * time.Millisecond
	// minSpareLife bounds from below the time after which a runner is taken to close idle connections.
	minSpareLife = 100 * time.Millisecond
	// maxReplaceAge bounds the age at which a connection is replaced.
	maxReplaceAge = 30 * time.Second
)

type (
	// spareKeeper keeps an idle connection to a runner open while responses that may end with their
	// connections are in progress, and some time after.
	spareKeeper struct {
		ctx    context.Context
		cancel context.CancelFunc
		run    func(task func())
		dial   func(ctx context.Context) (*countedConn, error)
		wake   signal

		mu        sync.Mutex // guards the fields below
		users     int
		keepUntil time.Time
		retired   bool          // no connection is opened any more
		idleTime  time.Duration // how long the last connection stays unused
		ready     chan struct{} // of the running keep, see acquire; nil if none runs
		// replaceAge is the age at which a connection is replaced. It is half of the age at which the runner
		// closes idle connections, if that was seen.
		replaceAge time.Duration
	}

	// spareConn is a spare connection.
	spareConn struct {
		*countedConn
		endedAt time.Time     // valid once ended is closed
		ended   chan struct{} // closed when it has ended
	}
)

func newSpareKeeper(run func(task func()), dial func(ctx context.Context) (*countedConn, error)) *spareKeeper {
	k := &spareKeeper{run: run, dial: dial, wake: newSignal(), replaceAge: idleConnTimeout}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// acquire has a connection kept until release. The channel is closed once it is there or cannot be
// opened.
func (k *spareKeeper) acquire() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.users++
	if k.ready == nil {
		ready := make(chan struct{})
		k.ready = ready
		k.run(func() { k.keep(ready) })
	}
	return k.ready
}

// release ends an acquire. linger states that further responses of this kind are likely.
func (k *spareKeeper) release(linger bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.users--; linger {
		k.keepUntil = time.Now().Add(k.idleTime)
	}
	k.wake.send()
}

// inUse reports whether responses in progress may end with their connections.
func (k *spareKeeper) inUse() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.users > 0
}

// retire opens no connection any more. One that is open stays as long as it is used.
func (k *spareKeeper) retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
	k.wake.send()
}

// close closes the connection and opens none any more.
func (k *spareKeeper) close() {
	k.retire()
	k.cancel()
}

// keep keeps a connection open until it is no longer used. It opens another one before the runner closes
// it as idle.
func (k *spareKeeper) keep(ready chan struct{}) {
	var older, newer *spareConn
	defer func() {
		older.close()
		newer.close()
	}()
	for first := true; ; first = false {
		if next := k.open(); next != nil {
			if newer.hasEnded() {
				older.close()
				older = newer
			}
			k.recordAge(older)
			older.close()
			older, newer = newer, next
		}
		if first {
			close(ready)
		}
		if !k.awaitNext(newer) {
			return
		}
	}
}

// open opens a connection. It returns nil if there is none.
func (k *spareKeeper) open() *spareConn {
	k.mu.Lock()
	retired := k.retired
	k.mu.Unlock()
	if retired {
		return nil
	}
	ctx, cancel := context.WithTimeout(k.ctx, relayTimeout)
	defer cancel()
	conn, err := k.dial(ctx)
	if err != nil {
		return nil // the ends that it would show are not confirmed
	}
	s := &spareConn{countedConn: conn, ended: make(chan struct{})}
	k.run(s.awaitEnd)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.idleTime = idleConnTimeout; conn.relay != "" {
		k.idleTime = relayedSpareIdleTime
	}
	return s
}

// awaitNext waits until another connection is to be opened. It returns false if none is used any more.
func (k *spareKeeper) awaitNext(s *spareConn) bool {
	var ended <-chan struct{}
	wait := spareRetryDelay
	if s != nil && !s.hasEnded() {
		ended = s.ended
		wait = k.currentReplaceAge()
	}
	next := time.NewTimer(wait)
	defer next.Stop()
	for {
		left, used := k.useLeft()
		if !used {
			return false
		}
		unused := time.NewTimer(left)
		select {
		case <-k.ctx.Done():
		case <-k.wake:
		case <-unused.C:
		case <-next.C:
			return true
		case <-ended:
			if time.Since(s.establishedAt) >= minSpareLife/2 {
				return true
			}
			ended = nil
			next.Reset(spareRetryDelay)
		}
		unused.Stop()
	}
}

// useLeft returns for how long the connection is kept at least. If that has passed, keep ends.
func (k *spareKeeper) useLeft() (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ctx.Err() == nil {
		if k.users > 0 {
			return idleConnTimeout, true
		}
		if left := time.Until(k.keepUntil); left > 0 && !k.retired {
			return left, true
		}
	}
	k.ready = nil
	return 0, false
}

func (k *spareKeeper) currentReplaceAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replaceAge
}

// recordAge records how long the runner has left a connection open that was replaced once already.
func (k *spareKeeper) recordAge(s *spareConn) {
	if s == nil {
		return
	}
	ended := s.hasEnded()
	if ended && !s.conns.remain(s.endedAt) {
		return // its process may be gone
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if ended {
		k.replaceAge = max(s.endedAt.Sub(s.establishedAt), minSpareLife) / 2
	} else {
		k.replaceAge = min(k.replaceAge+k.replaceAge/4, maxReplaceAge)
	}
}

// awaitEnd closes the connection when the runner does.
func (s *spareConn) awaitEnd() {
	_, _ = s.Read(make([]byte, 1)) // the runner has nothing to send
	s.endedAt = time.Now()
	_ = s.Close()
	close(s.ended)
}

// hasEnded reports whether there is a connection and it has ended.
func (s *spareConn) hasEnded() bool {
	if s == nil {
		return false
	}
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// close closes the connection, if there is one.
func (s *spareConn) close() {
	if s != nil {
		_ = s.Close() // nothing was sent
	}
}
