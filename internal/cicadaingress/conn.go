package cicadaingress

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = 100 * time.Millisecond
	refusalHeader  = "\r\nConnection: close\r\nContent-Length: 0\r\n"
	tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large" + refusalHeader + "\r\n"
	busyAnswer     = "HTTP/1.1 503 Service Unavailable" + refusalHeader + "Retry-After: 1\r\n\r\n"
)

// listID is a list of connections.
type listID uint8

const (
	listSilent listID = iota // those without a whole request header, in the order of their last bytes
	listBody                 // those whose request body has not arrived whole, in the order of their headers
	listActive               // those whose request has arrived whole
	listCount
)

type (
	// Conn is a connection of the guard's listener.
	Conn struct {
		net.Conn
		guard   *Guard
		scanner Scanner // used by Read, and by the server's hook while nothing is read

		undetected bool // the first byte, which tells the protocol, has not been read
		failed     error
		answered   atomic.Bool  // a refusal was written, and nothing may follow it
		charged    atomic.Int64 // memory that counts for this connection
		responding atomic.Bool  // a request is being served
		hijacked   atomic.Bool
		writeSince atomic.Int64 // one more than the tick at which the present write began; zero for none

		// Fields of the guard's lists.
		list       *connList
		prev, next *Conn
		movedAt    int64  // tick of the last move
		order      uint64 // of the last move
		removed    bool
	}

	connList struct{ first, last *Conn }
)

// NetConn returns the connection within.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. The bytes of a request that exceeds a limit are not returned.
func (c *Conn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(p)
	if n == 0 || c.hijacked.Load() {
		return n, err
	}
	if c.undetected {
		c.undetected = false
		if p[0] != connectMethod[0] {
			c.scanner.phase = phaseMessages
		}
	}
	inBody := c.scanner.awaitsBody()
	if limit := c.scanner.Scan(p[:n]); limit != Within {
		c.guard.report(limit, c)
		return 0, c.refuse(limit, tooLargeAnswer)
	}
	switch more := costPerConn + c.scanner.cost() - c.charged.Load(); {
	case more > 0 && !c.guard.reserve(c, more):
		return 0, c.refuse(MemoryBytes, busyAnswer)
	case more < 0 && c.scanner.phase == phaseMessages:
		c.charged.Add(more)
		c.guard.used.Add(more)
	}
	switch {
	case inBody && !c.scanner.awaitsBody():
		c.moveTo(listActive)
	case !c.responding.Load() && (c.scanner.awaitsHeader() && c.scanner.heldCost == 0 || c.scanner.phase == phaseMessages || c.guard.cfg.Encrypted):
		c.moveTo(listSilent)
	}
	return n, err
}

// refuse answers a request that was not read whole, unless another one is being served, and ends the connection:
// net/http closes it without an answer of its own after an error of this type.
func (c *Conn) refuse(limit Limit, answer string) error {
	c.failed = &net.OpError{Op: "read", Net: "tcp", Err: errors.Errorf("limit %s reached", limit)}
	if c.responding.Load() || c.scanner.phase == phaseMessages {
		return c.failed
	}
	if err := c.SetWriteDeadline(time.Now().Add(refusalTimeout)); err == nil {
		_, _ = io.WriteString(c.Conn, answer) // the client may have left
	}
	c.answered.Store(true)
	return c.failed
}

// Write writes to the connection. A write that takes too long ends it. Nothing is written after a refusal, as
// net/http takes a header line that was cut off for a malformed one and answers it.
func (c *Conn) Write(p []byte) (int, error) {
	if c.answered.Load() {
		return 0, net.ErrClosed
	}
	c.writeSince.Store(c.guard.ticks.Load() + 1)
	n, err := c.Conn.Write(p)
	c.writeSince.Store(0)
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.guard.remove(c)
	return c.Conn.Close()
}

// begin notes that net/http has read a request header.
func (c *Conn) begin() {
	c.responding.Store(true)
	if c.scanner.awaitsBody() {
		c.moveTo(listBody)
		return
	}
	c.moveTo(listActive)
}

// end notes that a response has ended, and that the next request is awaited.
func (c *Conn) end() {
	c.responding.Store(false)
	if !c.guard.cfg.Encrypted {
		c.scanner.release()
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.removed {
		return
	}
	now := costPerConn + c.scanner.cost()
	c.guard.used.Add(now - c.charged.Swap(now))
	c.guard.move(c, listSilent)
}

func (c *Conn) moveTo(to listID) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.move(c, to)
}

// add adds a connection at the end.
func (l *connList) add(c *Conn) {
	c.list, c.prev = l, l.last
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
}

// unlink removes a connection from its list.
func (c *Conn) unlink() {
	if c.list == nil {
		return
	}
	if c.prev == nil {
		c.list.first = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		c.list.last = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.list, c.prev, c.next = nil, nil, nil
}
