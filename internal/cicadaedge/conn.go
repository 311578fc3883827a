package cicadaedge

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

type (
	// callerListener makes connections whose idle time is bounded by the
	// configuration in force.
	callerListener struct {
		net.Listener
		rt *Router
	}

	// callerConn is a caller's connection. The server sets one idle time for
	// good; the configuration may change it.
	callerConn struct {
		net.Conn
		rt   *Router
		idle atomic.Bool
	}
)

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, rt: l.rt}, nil
}

// SetReadDeadline replaces the server's idle time by that of the configuration.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if idle := c.rt.idleTimeout(); c.idle.Load() && !t.IsZero() && idle > 0 {
		t = time.Now().Add(idle)
	}
	return c.Conn.SetReadDeadline(t)
}

// trackIdle follows whether a connection waits for its next request.
func trackIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.idle.Store(state == http.StateIdle)
	}
}

func (rt *Router) idleTimeout() time.Duration {
	if d := rt.deployment.Load(); d != nil {
		return d.Limits().IdleTimeout
	}
	return 0
}
