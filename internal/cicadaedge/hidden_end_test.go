package cicadaedge_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"golang.org/x/sys/unix"
)

// addHalfRunner adds a runner that sends half of a response and then waits until its process ends. It
// reports the connections with a response.
func (f *fleet) addHalfRunner() (r replacedRunner, answering chan net.Conn) {
	f.t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	r = replacedRunner{&endedRunner{killableListener: &killableListener{Listener: ln}, ended: make(chan struct{})}}
	answering = make(chan net.Conn, 10)
	f.addRawRunnerOn(r, func(c *rawConn, req *http.Request) bool {
		c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents[:len(unframedEvents)/2])
		answering <- c.Conn
		<-r.ended
		return false
	})
	return r, answering
}

// unusedConn is a connection to a runner that knows whether a request was written.
type unusedConn struct {
	*net.TCPConn
	used atomic.Bool
}

// Write writes a request.
func (c *unusedConn) Write(p []byte) (int, error) {
	c.used.Store(true)
	return c.TCPConn.Write(p)
}

// NetConn returns the TCP connection.
func (c *unusedConn) NetConn() net.Conn { return c.TCPConn }

// dropAll makes all that is sent to a connection get lost.
func dropAll(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	if err := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	}); err != nil {
		t.Error(err) // it may have ended
	}
}

// The link loses the end of the idle connections, which the kernel sends again after 200 ms at the earliest.
func TestEndOfARunnerBehindALossyLinkLooksLikeTheEndOfItsResponse(t *testing.T) {
	t.Parallel()
	for _, path := range paths {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			r := f.addEndedRunner()
			var mu sync.Mutex
			var conns []*unusedConn
			host := f.startHost(false, func(cfg *cicadaedge.Config) {
				cfg.DialRunner = func(ctx context.Context, network, addr string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
					if err != nil {
						return nil, err
					}
					mu.Lock()
					defer mu.Unlock()
					c := &unusedConn{TCPConn: conn.(*net.TCPConn)}
					conns = append(conns, c)
					return c, nil
				}
			})
			got := make(chan response, 1)
			go func() { got <- call(t, host, path, nil, "x") }()
			<-r.wrote
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			for _, c := range conns {
				if !c.used.Load() {
					dropAll(t, c.TCPConn)
				}
			}
			mu.Unlock()
			r.end(t)
			if res := <-got; res.status == http.StatusOK && res.err == nil {
				t.Errorf("part of a response looks complete: %q", res.body)
			}
		})
	}
}

// The runner closes its listener, finishes what it has and is killed. Its successor has the address by then.
func TestEndOfARunnerWhoseSuccessorListensLooksLikeTheEndOfItsResponse(t *testing.T) {
	t.Parallel()
	for _, path := range paths {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			r, answering := f.addHalfRunner()
			host := f.startHost(false)
			got := make(chan response, 1)
			go func() { got <- call(t, host, path, nil, "x") }()
			<-answering
			time.Sleep(100 * time.Millisecond)
			addr := r.Addr().String()
			_ = r.Close() // connections go on
			startSuccessor(t, addr, refusedHeader)
			for range 3 {
				call(t, host, "/once/", nil, "x")
				time.Sleep(20 * time.Millisecond)
			}
			r.kill(t)
			close(r.ended)
			if res := <-got; res.status == http.StatusOK && res.err == nil {
				t.Errorf("part of a response looks complete: %q", res.body)
			}
		})
	}
}

// The runner serves one connection after the other, each for one request.
func TestRunnerThatServesOneConnectionAtATimeIsBlocked(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addRawRunnerOn(&serialListener{Listener: ln, free: make(chan struct{}, 1)}, func(c *rawConn, req *http.Request) bool {
		c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents)
		return false
	})
	host := f.startHost(false)
	for range 3 {
		start := time.Now()
		got := call(t, host, "/again/", nil, "x")
		if took := time.Since(start); got.status != http.StatusOK || got.body != unframedEvents || got.err != nil || took > time.Second {
			t.Errorf("status %d, body %q, error %v after %v", got.status, got.body, got.err, took)
		}
	}
}

// serialListener accepts a connection when the one before is closed.
type serialListener struct {
	net.Listener
	free chan struct{}
}

func (l *serialListener) Accept() (net.Conn, error) {
	l.free <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serialConn{Conn: conn, l: l}, nil
}

type serialConn struct {
	net.Conn
	l *serialListener
}

func (c *serialConn) Close() error {
	err := c.Conn.Close()
	<-c.l.free
	return err
}

// Connections that a cut has silenced stay open whatever becomes of the runner.
func TestSilentDirectConnectionLooksLikeALivingRunnerBehindARelay(t *testing.T) {
	t.Parallel()
	for _, path := range paths {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			r, answering := f.addHalfRunner()
			var cut atomic.Bool
			var mu sync.Mutex
			var conns []*unusedConn
			host := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) {
				cfg.DialRunner = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if cut.Load() {
						return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}
					}
					conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
					if err != nil {
						return nil, err
					}
					mu.Lock()
					defer mu.Unlock()
					c := &unusedConn{TCPConn: conn.(*net.TCPConn)}
					conns = append(conns, c)
					return c, nil
				}
			}))
			f.waitReady(f.startNode("n2"))
			eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
			var first sync.WaitGroup
			first.Go(func() { call(t, host, "/stream/", nil, "x") }) // keeps a spare connection
			defer first.Wait()
			<-answering
			cut.Store(true)
			mu.Lock()
			for _, c := range conns {
				dropAll(t, c.TCPConn)
			}
			mu.Unlock()
			got := make(chan response, 1)
			go func() { got <- call(t, host, path, nil, "x") }()
			<-answering
			time.Sleep(50 * time.Millisecond) // the relay passes it on
			r.kill(t)
			close(r.ended)
			if res := <-got; res.status == http.StatusOK && res.err == nil {
				t.Errorf("part of a response looks complete: %q", res.body)
			}
		})
	}
}
