package cicadaedge

import (
	"bufio"
	"net"
	"sync"
)

// connectInitial is the first byte of a CONNECT request. JSON-RPC messages begin otherwise.
const connectInitial = 'C'

type (
	// peerListener accepts the connections of other routers and closes them together with itself: a
	// JSON-RPC server must be ended by its connection, and panics if it is stopped otherwise when a
	// call arrives. The first byte of a connection tells its protocol.
	peerListener struct {
		ln    net.Listener
		rpc   *protocolListener
		relay *protocolListener
		done  chan struct{} // closed with the listener

		mu     sync.Mutex // guards the fields below
		conns  map[*peerConn]struct{}
		closed bool
	}

	// protocolListener accepts the connections with one protocol.
	protocolListener struct {
		*peerListener
		accepted chan net.Conn
	}

	peerConn struct {
		net.Conn
		r  *bufio.Reader
		ln *peerListener
	}
)

// newPeerListener returns a listener that accepts connections until Close.
func newPeerListener(ln net.Listener) *peerListener {
	l := &peerListener{ln: ln, conns: map[*peerConn]struct{}{}, done: make(chan struct{})}
	l.rpc = &protocolListener{peerListener: l, accepted: make(chan net.Conn)}
	l.relay = &protocolListener{peerListener: l, accepted: make(chan net.Conn)}
	return l
}

// run accepts connections until the listener is closed. It returns the error if it ends otherwise.
func (l *peerListener) run() error {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			closed := l.isClosed()
			if closeErr := l.Close(); closed {
				return closeErr
			}
			return err
		}
		c := &peerConn{Conn: conn, r: bufio.NewReaderSize(conn, 1), ln: l}
		if !l.add(c) {
			return conn.Close()
		}
		go c.dispatch()
	}
}

func (l *peerListener) add(c *peerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.conns[c] = struct{}{}
	}
	return !l.closed
}

func (l *peerListener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// dispatch passes the connection to the listener of its protocol.
func (c *peerConn) dispatch() {
	to := c.ln.rpc
	first, err := c.r.Peek(1)
	if err == nil && first[0] == connectInitial {
		to = c.ln.relay
	}
	if err == nil {
		select {
		case to.accepted <- c:
			return
		case <-c.ln.done:
		}
	}
	_ = c.Close() // it has ended, or the listener has
}

// Accept waits for the next connection with the protocol.
func (l *protocolListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Addr returns the address of the listener.
func (l *peerListener) Addr() net.Addr { return l.ln.Addr() }

// Close closes the listener and its connections. Further calls have no effect.
func (l *peerListener) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	conns := l.conns
	l.conns = nil
	close(l.done)
	l.mu.Unlock()
	err := l.ln.Close()
	for c := range conns {
		if closeErr := c.Conn.Close(); err == nil {
			err = closeErr
		}
	}
	return err
}

// NetConn returns the connection within.
func (c *peerConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection, beginning with its first byte.
func (c *peerConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// Close closes the connection.
func (c *peerConn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.conns, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}
