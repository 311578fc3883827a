package cicadaedge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

type (
	// callerListener accepts connections whose idle timeout is that of the current configuration.
	callerListener struct {
		net.Listener
		rt       *Router
		accepted atomic.Uint64 // number of connections
	}

	// callerConn is a connection from a caller. http.Server has a fixed idle timeout, while the
	// configuration may change it.
	callerConn struct {
		net.Conn
		rt     *Router
		number uint64 // among the connections of this router
		idle   atomic.Bool
	}

	// callerConnKey is the context key of the callerConn of a request.
	callerConnKey struct{}
)

// Accept waits for the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, rt: l.rt, number: l.accepted.Add(1)}, nil
}

// NetConn returns the connection within.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read counts the bytes read towards the load of the host's link.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.rt.link.RecordReceived(n, time.Now())
	return n, err
}

// Write counts the bytes written towards the load of the host's link.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.rt.link.RecordSent(n, time.Now())
	return n, err
}

// SetReadDeadline replaces the server's idle timeout by that of the configuration.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if idle := c.rt.idleTimeout(); c.idle.Load() && !t.IsZero() && idle > 0 {
		t = time.Now().Add(idle)
	}
	return c.Conn.SetReadDeadline(t)
}

// withCallerConn adds the connection of a caller to the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// setReset sets whether the connection ends by a reset, whoever closes it, the kernel too.
func (c *callerConn) setReset(reset bool) error {
	tcp, ok := tcpConn(c.Conn)
	if !ok {
		return errors.Errorf("a connection of type %T cannot be reset", c.Conn)
	}
	if reset {
		return tcp.SetLinger(0)
	}
	return tcp.SetLinger(-1)
}

// closesConnection reports whether the connection of a request is closed after its response: if the
// router stops, or if the link is overloaded and this connection does not stay.
func (rt *Router) closesConnection(r *http.Request) bool {
	if rt.stopping.Load() {
		return true
	}
	conn, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	return ok && rt.linkOverloaded() && !rt.link.Keeps(conn.number)
}

// linkOverloaded reports whether the link of this host is overloaded. It logs each change.
func (rt *Router) linkOverloaded() bool {
	now := time.Now()
	overloaded, changed := rt.link.Overloaded(now)
	if changed {
		rt.cfg.Log.WithField("overloaded", overloaded).WithField("load", rt.link.Load(now)).
			WithField("inFlight", rt.cfg.Metrics.InFlight.String()).Info("overload of the link changed")
		if overloaded {
			rt.cfg.Metrics.LinkOverloads.Add(1)
		}
	}
	return overloaded
}

// trackState records whether a connection is waiting for its next request.
func (rt *Router) trackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.idle.Store(state == http.StateIdle)
	}
	rt.callerGuard.ConnState(conn, state)
}

func (rt *Router) idleTimeout() time.Duration {
	if d := rt.deployment.Load(); d != nil {
		return d.Limits().IdleTimeout
	}
	return 0
}
