package cicadaedge_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

// replacedRunner is an endedRunner whose address accepts connections again once it has ended.
type replacedRunner struct{ *endedRunner }

// listenAgain has another process accept connections at the address, which answers with a header.
func (r replacedRunner) listenAgain(t *testing.T, pause time.Duration, header string) {
	t.Helper()
	if err := r.Close(); err != nil {
		t.Error(err)
	}
	r.kill(t)
	close(r.ended)
	time.Sleep(pause)
	startSuccessor(t, r.Addr().String(), header)
}

// startSuccessor has another process accept connections at an address, which refuses with a header.
func startSuccessor(t *testing.T, addr, header string) {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { _ = ln.Close() }) // it may have ended before
	next := &rawRunner{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go next.serveConn(&rawConn{Conn: conn, runner: next}, func(c *rawConn, req *http.Request) bool {
				c.write(header + "X-Id: " + req.Header.Get("X-Id") + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			})
		}
	}()
}

// endInOrder ends the connections one by one before the listener, as a process does that ends by itself.
func (r replacedRunner) endInOrder(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	conns := r.conns
	r.conns = nil
	r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // it may have ended before
	}
	r.listenAgain(t, 0, refusedHeader)
}

const (
	refusedHeader     = "HTTP/1.1 503 Service Unavailable\r\n"
	misdirectedHeader = "HTTP/1.1 421 Misdirected Request\r\n"
)

// replacements are ways in which a runner ends while its address accepts connections.
var replacements = map[string]func(t *testing.T, r replacedRunner){
	"killed and started again at once":     func(t *testing.T, r replacedRunner) { r.listenAgain(t, 0, refusedHeader) },
	"killed and started again after 10 ms": func(t *testing.T, r replacedRunner) { r.listenAgain(t, 10*time.Millisecond, refusedHeader) },
	"killed and started again after 20 ms": func(t *testing.T, r replacedRunner) { r.listenAgain(t, 20*time.Millisecond, refusedHeader) },
	"ended by a signal and started again":  func(t *testing.T, r replacedRunner) { r.endInOrder(t) },
	"address taken by another runner":      func(t *testing.T, r replacedRunner) { r.listenAgain(t, 0, misdirectedHeader) },
	"listener goes on in another process":  func(t *testing.T, r replacedRunner) { r.kill(t); close(r.ended) },
}

// startHost starts a router that reaches its runners directly, or through another router only.
func (f *fleet) startHost(relayed bool, options ...func(*cicadaedge.Config)) *node {
	f.t.Helper()
	if !relayed {
		return f.waitReady(f.startNode("n1", options...))
	}
	var cut runnerCut
	host := f.waitReady(f.startNode("n1", append(options, cut.configure)...))
	f.waitReady(f.startNode("n2"))
	eventually(f.t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
	cut.begin(cutReset)
	return host
}

var (
	ways  = map[string]bool{"direct": false, "through another router": true}
	paths = []string{"/once/", "/again/", "/stream/", "/resume/"}
)

// Whoever accepts connections at the address need not be the process that has answered.
func TestReplacedRunnerLooksLikeTheEndOfItsResponse(t *testing.T) {
	t.Parallel()
	for name, replace := range replacements {
		for way, relayed := range ways {
			t.Run(name+" "+way, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				r := replacedRunner{f.addEndedRunner()}
				f.addRunner(refuseNotRun)
				host := f.startHost(relayed)
				var calls sync.WaitGroup
				for _, path := range paths {
					calls.Go(func() {
						if got := callUntilRun(t, host, path, r.endedRunner); got.status == http.StatusOK && got.err == nil {
							t.Errorf("part of a response of %s looks complete: %q", path, got.body)
						}
					})
				}
				for range paths {
					<-r.wrote
				}
				time.Sleep(50 * time.Millisecond) // the relay passes it on
				replace(t, r)
				calls.Wait()
			})
		}
	}
}

// idleListener counts the connections that it accepts, and may close idle ones.
type idleListener struct {
	net.Listener
	idleTimeout time.Duration // before the first request; zero for none

	mu          sync.Mutex // guards the fields below
	conns, open int
}

// idleConn is a connection of an idleListener.
type idleConn struct {
	net.Conn
	once     sync.Once
	listener *idleListener
}

// Close closes the connection.
func (c *idleConn) Close() error {
	c.once.Do(func() { c.listener.count(0, -1) })
	return c.Conn.Close()
}

// Accept waits for the next connection.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.count(1, 1)
	if l.idleTimeout > 0 {
		err = conn.SetReadDeadline(time.Now().Add(l.idleTimeout))
	}
	return &idleConn{Conn: conn, listener: l}, err
}

func (l *idleListener) count(conns, open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns += conns
	l.open += open
}

func (l *idleListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *idleListener) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

// addUnframedRunner adds a sound runner whose responses end with their connections. It pauses in their
// middle.
func (f *fleet) addUnframedRunner(idleTimeout, pause time.Duration) *idleListener {
	f.t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	l := &idleListener{Listener: ln, idleTimeout: idleTimeout}
	half := len(unframedEvents) / 2
	f.addRawRunnerOn(l, func(c *rawConn, req *http.Request) bool {
		c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents[:half])
		time.Sleep(pause)
		c.write(unframedEvents[half:])
		return false
	})
	return l
}

// The first responses come before anything is known of the runner, one after the other and beside each
// other.
func TestSoundResponseThatEndsWithItsConnectionIsCut(t *testing.T) {
	t.Parallel()
	const rounds = 5
	for way, relayed := range ways {
		for kind, pause := range map[string]time.Duration{"at once": 0, "in two parts": 20 * time.Millisecond} {
			for _, path := range paths {
				t.Run(strings.Trim(path, "/")+" "+way+" "+kind, func(t *testing.T) {
					t.Parallel()
					f := newFleet(t)
					runner := f.addUnframedRunner(0, pause)
					host := f.startHost(relayed)
					check := func() {
						got := call(t, host, path, nil, "x")
						if diff := cmp.Diff([]any{http.StatusOK, unframedEvents, nil}, []any{got.status, got.body, got.err}); diff != "" {
							t.Errorf("status, body and error (-want +got)\n%s", diff)
						}
					}
					for range rounds {
						check()
					}
					var calls sync.WaitGroup
					for range rounds {
						calls.Go(check)
					}
					calls.Wait()
					// One for each response and for the check of its end, and one that shows that the runner lives on.
					if got, limit := runner.accepted(), 4*rounds+1; !relayed && got > limit {
						t.Errorf("the runner accepted %d connections, want %d at most", got, limit)
					}
				})
			}
		}
	}
}

// The responses after the first one come when it is known that the runner closes idle connections.
func TestRunnerThatClosesIdleConnectionsHasItsStreamsCut(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addUnframedRunner(200*time.Millisecond, time.Second)
	host := f.startHost(false)
	call(t, host, "/stream/", nil, "x")
	var calls sync.WaitGroup
	for range 5 {
		time.Sleep(17 * time.Millisecond)
		calls.Go(func() {
			if got := call(t, host, "/stream/", nil, "x"); got.body != unframedEvents || got.err != nil {
				t.Errorf("stream %q, error %v", got.body, got.err)
			}
		})
	}
	calls.Wait()
}

// heldConn is a connection whose responses are read late.
type heldConn struct {
	net.Conn
	wrote   atomic.Bool
	release <-chan struct{}
}

// Write writes a request.
func (c *heldConn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(p)
}

// Read reads what has arrived, once it may.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.wrote.Load() {
		<-c.release
	}
	return n, err
}

// NetConn returns the TCP connection.
func (c *heldConn) NetConn() net.Conn { return c.Conn }

// The router reads a response after its runner is gone, and has connected to the next one by then.
func TestResponseOfAReplacedRunnerThatIsReadLateLooksComplete(t *testing.T) {
	t.Parallel()
	for _, path := range paths {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			r := replacedRunner{f.addEndedRunner()}
			release := make(chan struct{})
			host := f.startHost(false, func(cfg *cicadaedge.Config) {
				cfg.DialRunner = func(ctx context.Context, network, addr string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
					return &heldConn{Conn: conn, release: release}, err
				}
			})
			got := make(chan response, 1)
			go func() { got <- call(t, host, path, nil, "x") }()
			<-r.wrote
			r.listenAgain(t, 0, refusedHeader)
			time.Sleep(300 * time.Millisecond) // the router connects to the next one
			close(release)
			if res := <-got; res.status == http.StatusOK && res.err == nil {
				t.Errorf("part of a response looks complete: %q", res.body)
			}
		})
	}
}

func TestSpareConnectionStaysOpen(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(f *fleet, n *node){
		"unused":         func(*fleet, *node) {},
		"runner removed": func(f *fleet, _ *node) { f.store.removeRunner("raw1") },
		"router stopped": func(_ *fleet, n *node) { n.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			runner := f.addUnframedRunner(0, 0)
			host := f.startHost(false)
			call(t, host, "/once/", nil, "x")
			eventually(t, "the response's connection is closed", func() bool { return runner.openConns() == 1 })
			end(f, host)
			eventually(t, "the connection is closed", func() bool { return runner.openConns() == 0 })
		})
	}
}

// Its responses have lengths, so no connection need show that the runner lives on.
func TestRunnerOfAServiceWithLengthsGetsSpareConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	runner := &idleListener{Listener: ln}
	f.addRawRunnerOn(runner, func(c *rawConn, req *http.Request) bool {
		c.write(answerBytes(req.Header.Get("X-Id"), "x"))
		return true
	})
	host := f.startHost(false)
	for range 10 {
		call(t, host, "/once/", nil, "x")
	}
	// One for the responses, and one until the first of them was known to have a length.
	if diff := cmp.Diff(2, runner.accepted()); diff != "" {
		t.Errorf("connections (-want +got)\n%s", diff)
	}
	eventually(t, "the spare connection is closed", func() bool { return runner.openConns() == 1 })
}

// The other router waits until nothing is relayed any more.
func TestSpareConnectionThroughARouterDelaysItsStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addUnframedRunner(0, 0)
	var cut runnerCut
	host, relay := f.waitReady(f.startNode("n1", cut.configure)), f.waitReady(f.startNode("n2"))
	eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
	cut.begin(cutReset)
	if got := call(t, host, "/once/", nil, "x"); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
	startedAt := time.Now()
	relay.stop()
	if d := time.Since(startedAt); d > 3*time.Second {
		t.Errorf("the stop took %v", d)
	}
}
