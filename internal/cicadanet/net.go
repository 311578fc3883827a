// Package cicadanet makes sockets that notice a silent other end.
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
	// userTimeout ends a connection whose sent data nobody acknowledges. It is
	// below the two seconds after which callers give a stream up.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveGap find a connection that went silent while
	// idle within four seconds, before most of them are used again.
	keepAliveIdle = 2 * time.Second
	keepAliveGap  = time.Second
	keepAliveMiss = 2
)

// DialerConfig sets up a dialer.
type DialerConfig struct {
	// Timeout bounds the making of a connection.
	Timeout time.Duration
	// UserTimeout ends a connection whose sent data nobody acknowledges; zero for
	// userTimeout.
	UserTimeout time.Duration
	// KeepAlive finds idle connections that went silent; the zero value for
	// probes after keepAliveIdle.
	KeepAlive net.KeepAliveConfig
}

// NewDialer returns a dialer whose connections end when the other side is silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return NewDialerWithConfig(DialerConfig{Timeout: timeout})
}

// NewDialerWithConfig returns a dialer with bounds of its own.
func NewDialerWithConfig(cfg DialerConfig) *net.Dialer {
	if cfg.UserTimeout == 0 {
		cfg.UserTimeout = userTimeout
	}
	if !cfg.KeepAlive.Enable {
		cfg.KeepAlive = keepAlive()
	}
	return &net.Dialer{Timeout: cfg.Timeout, Control: cfg.control, KeepAliveConfig: cfg.KeepAlive}
}

// Listen opens a TCP listener on addr; its connections are kept alive by probes.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive()}
	ln, err := lc.Listen(ctx, "tcp", addr)
	return ln, errors.Wrapf(err, "listen on %s", addr)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveGap, Count: keepAliveMiss}
}

// control makes the kernel give up a connection whose data is not acknowledged,
// as happens when something between the ends has lost it.
func (cfg DialerConfig) control(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "reach socket")
	}
	return errors.Wrap(optErr, "set user timeout")
}
