// Package cicadanet creates TCP connections that detect an unresponsive peer, and times a peer's silence.
package cicadanet

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// defaultUserTimeout is the default of DialerConfig.UserTimeout. It is less than
	// the 2 s after which callers give up a stream.
	defaultUserTimeout = 1500 * time.Millisecond
	// The keep-alive settings detect a broken idle connection within 3 s, before
	// most connections are used again, and let a peer be silent for 2 s. With a user
	// timeout, the kernel gives up at the first check after a probe at which the peer
	// has been silent for that long, whatever the number of probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = 2 * time.Second
	// Accepted connections have no user timeout.
	listenKeepAliveIdle     = 2 * time.Second
	listenKeepAliveInterval = time.Second
	listenKeepAliveCount    = 2
)

// DialerConfig configures a dialer.
type DialerConfig struct {
	// Timeout limits the time to connect.
	Timeout time.Duration
	// UserTimeout is the TCP_USER_TIMEOUT: a connection is closed when sent data
	// stays unacknowledged for this long. Zero means defaultUserTimeout.
	UserTimeout time.Duration
	// KeepAlive detects broken idle connections. If it is not enabled, the
	// settings of this package apply.
	KeepAlive net.KeepAliveConfig
}

// NewDialer returns a dialer with the default settings and the given timeout.
func NewDialer(timeout time.Duration) *net.Dialer {
	return NewDialerWithConfig(DialerConfig{Timeout: timeout})
}

// NewDialerWithConfig returns a dialer whose connections are closed when the peer
// stops acknowledging data or keep-alive probes.
func NewDialerWithConfig(cfg DialerConfig) *net.Dialer {
	if cfg.UserTimeout == 0 {
		cfg.UserTimeout = defaultUserTimeout
	}
	if !cfg.KeepAlive.Enable {
		cfg.KeepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 1}
	}
	return &net.Dialer{Timeout: cfg.Timeout, Control: cfg.control, KeepAliveConfig: cfg.KeepAlive}
}

// Listen returns a TCP listener on addr whose connections send keep-alive probes.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: listenKeepAliveIdle, Interval: listenKeepAliveInterval, Count: listenKeepAliveCount,
	}}
	ln, err := lc.Listen(ctx, "tcp", addr)
	return ln, errors.Wrapf(err, "listen on %s", addr)
}

// control sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose data
// is not acknowledged, for example after the network has dropped the connection.
func (cfg DialerConfig) control(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	return errors.Wrap(optErr, "set TCP_USER_TIMEOUT")
}
