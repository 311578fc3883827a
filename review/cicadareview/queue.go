package cicadareview

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// fillTimeout is after which a connection counts as hanging.
const fillTimeout = 50 * time.Millisecond

// QueueListener is a listener whose new connections hang while its queue is full: their first packets are
// dropped, and sent again by the kernel after a second.
type QueueListener struct {
	net.Listener

	mu       sync.Mutex // guards the fields below
	fillers  []net.Conn
	released chan struct{} // closed while connections are accepted
}

// NewQueueListener returns a listener on a free loopback port that accepts connections.
func NewQueueListener() (*QueueListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	// The queue holds a single connection.
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	l := &QueueListener{Listener: ln, released: make(chan struct{})}
	close(l.released)
	return l, file.Close()
}

// Accept waits until connections are accepted, and for the next one.
func (l *QueueListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		released := l.released
		l.mu.Unlock()
		<-released
		conn, err := l.Listener.Accept()
		if err != nil || !l.isFiller(conn) {
			return conn, err
		}
		_ = conn.Close() // nothing is sent on it
	}
}

func (l *QueueListener) isFiller(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, filler := range l.fillers {
		if filler.LocalAddr().String() == conn.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// Hang makes new connections hang until Release.
func (l *QueueListener) Hang() error {
	l.mu.Lock()
	l.released, l.fillers = make(chan struct{}), nil
	l.mu.Unlock()
	// The Accept that is in progress takes one filler, and the queue holds another one.
	dialer := &net.Dialer{Timeout: fillTimeout}
	for {
		conn, err := dialer.DialContext(context.Background(), "tcp", l.Addr().String())
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return nil
		}
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.fillers = append(l.fillers, conn)
		l.mu.Unlock()
	}
}

// Release accepts connections again.
func (l *QueueListener) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.released:
	default:
		close(l.released)
	}
	for _, filler := range l.fillers {
		_ = filler.Close() // nothing was sent on it
	}
}
