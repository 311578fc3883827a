package cicadanet

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// unwatchedBytes may be unacknowledged without a watch. Any peer takes them without reading.
	unwatchedBytes = 16 << 10
	// progressInterval is how often a peer is checked that has not taken what was sent.
	progressInterval = 250 * time.Millisecond
)

// peerWatch takes the place of the user timeout while much of what was sent is not acknowledged. The kernel
// gives up a peer whose window stays full for the user timeout, even if it sends and answers probes.
type peerWatch struct {
	timer       *SilenceTimer
	userTimeout time.Duration
	last        connState     // at the last check
	silent      time.Duration // since the peer sent or took something
}

// startWatch watches the peer if it has not acknowledged what was written, or n bytes more are many.
// The caller holds c.mu.
func (c *Conn) startWatch(n int) {
	if c.raw == nil || c.watch != nil || c.closed {
		return
	}
	if c.unwatched += n; c.unwatched <= unwatchedBytes {
		return
	}
	state, err := c.state()
	if err != nil || state.failed {
		return // the write fails too
	}
	if !state.pending && n <= unwatchedBytes {
		c.unwatched = n
		return
	}
	c.unwatched = 0
	timeout, err := c.userTimeout()
	if err != nil || timeout == 0 || c.setUserTimeout(0) != nil {
		return
	}
	c.watch = &peerWatch{userTimeout: timeout, last: state}
	c.watch.timer = NewSilenceTimer(progressInterval, c.checkPeer)
}

// checkPeer ends the watch if all was acknowledged, or the connection if the peer has been silent for the
// user timeout. It reports whether the watch has ended.
func (c *Conn) checkPeer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := c.state()
	w := c.watch
	switch {
	case err != nil || state.failed || w == nil:
		return true
	case !state.pending && c.writing == 0:
		c.watch = nil
		_ = c.setUserTimeout(w.userTimeout) // it fails if the connection has
		return true
	case !state.pending || state.acked != w.last.acked || state.received != w.last.received:
		w.last, w.silent = state, 0
		return false
	}
	if w.silent += progressInterval; w.silent < w.userTimeout {
		return false
	}
	if c.failure == nil {
		c.failure = errors.Wrap(syscall.ETIMEDOUT, "the peer neither sends nor takes what was sent")
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // drops what was not sent
	}
	_ = c.Conn.Close() // reads and writes return the failure
	return true
}

// stopWatch restores the user timeout.
func (c *Conn) stopWatch() {
	c.mu.Lock()
	w := c.watch
	c.watch = nil
	c.mu.Unlock()
	if w != nil {
		w.timer.Stop()
		_ = c.setUserTimeout(w.userTimeout) // it fails if the connection has
	}
}

func (c *Conn) userTimeout() (time.Duration, error) {
	var ms int
	err := control(c.raw, "TCP_USER_TIMEOUT", func(fd int) (err error) {
		ms, err = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		return err
	})
	return time.Duration(ms) * time.Millisecond, err
}

func (c *Conn) setUserTimeout(d time.Duration) error {
	return control(c.raw, "TCP_USER_TIMEOUT", func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
