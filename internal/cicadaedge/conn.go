package cicadaedge

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

type (
	// callerListener accepts connections whose idle timeout is that of the current configuration.
	callerListener struct {
		net.Listener
		rt *Router
	}

	// callerConn is a connection from a caller. http.Server has a fixed idle timeout, while the
	// configuration may change it.
	callerConn struct {
		net.Conn
		rt   *Router
		idle atomic.Bool
	}
)

// Accept waits for the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, rt: l.rt}, nil
}

// SetReadDeadline replaces the server's idle timeout by that of the configuration.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if idle := c.rt.idleTimeout(); c.idle.Load() && !t.IsZero() && idle > 0 {
		t = time.Now().Add(idle)
	}
	return c.Conn.SetReadDeadline(t)
}

// trackIdle records whether a connection is waiting for its next request.
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
