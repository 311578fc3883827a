package cicadanet

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// endCheckInterval is how often an ended connection is checked for what its peer has not acknowledged.
	endCheckInterval = 5 * time.Millisecond
	// maxEndSilence is how long the peer of an ended connection may acknowledge nothing.
	maxEndSilence = defaultUserTimeout
)

type (
	// DialFunc opens a connection.
	DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

	// Conn is a connection whose Read returns io.EOF only if its peer has ended it in order, has
	// acknowledged all that was written, and no write has failed. The kernel reports the failure of a
	// connection to one call only: if that is a write, reads return io.EOF.
	//
	// A peer that sends, or takes what was sent, keeps its connection even if its window stays full. The
	// user timeout bounds the time in which it does neither.
	Conn struct {
		net.Conn
		raw  syscall.RawConn // nil if the kernel's state cannot be read
		done chan struct{}   // closed with the connection

		mu        sync.Mutex // guards the fields below
		writing   int        // number of writes in progress
		failure   error      // of the first write that failed, or of the watch
		closed    bool
		watch     *peerWatch // nil unless the peer is watched
		unwatched int        // bytes written since the peer was last known to have taken all
	}

	// connState is the kernel's state of a connection.
	connState struct {
		failed   bool   // reset or timed out
		pending  bool   // sent data is not acknowledged
		acked    uint64 // bytes that the peer has acknowledged
		received uint64 // bytes that the peer has sent
	}
)

// CheckEnds returns a function that opens connections of type *Conn by dial.
func CheckEnds(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// NewConn returns a Conn that uses conn. If conn gives no access to its socket, only failed writes and
// those in progress are known.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, done: make(chan struct{})}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// NetConn returns the connection in use.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write records a failure.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.startWatch(len(p))
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.failure == nil {
		c.failure = err
	}
	if err != nil {
		err = c.failure
	}
	return n, err
}

// Read returns an error with the cause io.ErrUnexpectedEOF in place of io.EOF if the connection has failed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endErr()
	}
	if errors.Is(err, net.ErrClosed) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.failure != nil {
			err = c.failure
		}
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	c.mu.Unlock()
	c.stopWatch()
	return c.Conn.Close()
}

// endErr returns io.EOF if the connection has ended in order. It waits for writes in progress and for
// the acknowledgement of what was written, as the peer may reset the connection in place of that.
func (c *Conn) endErr() error {
	var acked uint64
	for end := time.Now().Add(maxEndSilence); ; {
		state, isWriting, err := c.end()
		switch {
		case err != nil:
			return errors.Wrapf(io.ErrUnexpectedEOF, "the connection failed: %v", err)
		case !isWriting && !state.pending:
			return io.EOF
		case state.acked != acked:
			acked, end = state.acked, time.Now().Add(maxEndSilence)
		case time.Now().After(end):
			return errors.Wrap(io.ErrUnexpectedEOF, "the peer does not acknowledge what was written")
		}
		select {
		case <-c.done:
		case <-time.After(endCheckInterval):
		}
	}
}

// end returns the state of a connection that has ended, or what it failed with.
func (c *Conn) end() (state connState, isWriting bool, err error) {
	c.mu.Lock()
	isWriting, err = c.writing > 0, c.failure
	if err == nil && c.closed {
		err = net.ErrClosed
	}
	c.mu.Unlock()
	if err != nil || c.raw == nil {
		return state, isWriting, err
	}
	state, err = c.state()
	if err == nil && state.failed {
		err = errors.New("reset or timed out")
	}
	return state, isWriting, err
}

// state reads the kernel's state. That takes no error from the socket.
func (c *Conn) state() (connState, error) {
	info, err := tcpInfo(c.raw)
	if err != nil {
		return connState{}, err
	}
	return connState{
		failed: info.State == tcpClose, pending: info.Unacked > 0 || info.Notsent_bytes > 0,
		acked: info.Bytes_acked, received: info.Bytes_received,
	}, nil
}
