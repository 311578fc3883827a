package cicadaedge

import (
	"net"
	"sync"
)

type (
	// peerListener closes the connections that it has accepted together with itself. A JSON-RPC server
	// must be ended by its connection: one that is stopped otherwise panics if a call arrives at that
	// moment.
	peerListener struct {
		net.Listener

		mu     sync.Mutex // guards the fields below
		conns  map[*peerConn]struct{}
		closed bool
	}

	peerConn struct {
		net.Conn
		ln *peerListener
	}
)

func newPeerListener(ln net.Listener) *peerListener {
	return &peerListener{Listener: ln, conns: map[*peerConn]struct{}{}}
}

// Accept waits for the next connection.
func (l *peerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &peerConn{Conn: conn, ln: l}
	l.mu.Lock()
	closed := l.closed
	if !closed {
		l.conns[c] = struct{}{}
	}
	l.mu.Unlock()
	if closed {
		if err := conn.Close(); err != nil {
			return nil, err
		}
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close closes the listener and its connections.
func (l *peerListener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for c := range conns {
		if closeErr := c.Conn.Close(); err == nil {
			err = closeErr
		}
	}
	return err
}

// Close closes the connection.
func (c *peerConn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.conns, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}
