package cicadaedge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

const (
	// cutContact is the time after which a cut has to be noticed.
	cutContact = 2 * time.Second
	// silentConnTimeout is how long the kernel waits for an acknowledgement.
	silentConnTimeout = 1500 * time.Millisecond
)

// cutKind is what happens to the connections of a host that is cut from runners.
type cutKind int

const (
	noCut       cutKind = iota
	cutReset            // connections are reset, new ones are refused
	cutSilent           // nothing arrives on connections, new ones are not established
	cutLiveConn         // connections live on, new ones are refused
)

// runnerCut cuts a host from all runners.
type runnerCut struct {
	kind atomic.Int64

	mu    sync.Mutex // guards conns
	conns []net.Conn
}

// cutConn is a connection that a runnerCut affects.
type cutConn struct {
	net.Conn
	cut *runnerCut
}

func (c *runnerCut) configure(cfg *cicadaedge.Config) { cfg.DialRunner = c.dial }

func (c *runnerCut) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	switch cutKind(c.kind.Load()) {
	case cutReset, cutLiveConn:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case cutSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case noCut:
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return &cutConn{Conn: conn, cut: c}, nil
}

// begin begins a cut, or ends one with noCut.
func (c *runnerCut) begin(kind cutKind) {
	c.kind.Store(int64(kind))
	if kind != cutReset {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // it may have ended before
	}
}

// Write loses what is written during a silent cut.
func (c *cutConn) Write(p []byte) (int, error) {
	if cutKind(c.cut.kind.Load()) != cutSilent {
		return c.Conn.Write(p)
	}
	time.AfterFunc(silentConnTimeout, func() { _ = c.Close() })
	return len(p), nil
}

// sendDuring sends requests at a rate until a time has passed, and counts the statuses of those sent
// later than cutContact after the start.
func sendDuring(t *testing.T, n *node, path string, interval, d time.Duration) *outcomes {
	t.Helper()
	var (
		calls sync.WaitGroup
		got   outcomes
	)
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(interval) {
		late := time.Since(begin) > cutContact
		calls.Add(1)
		go func() {
			defer calls.Done()
			if r := call(t, n, path, map[string]string{"X-Patience": "3000"}, "x"); late {
				got.add(path, r)
			}
		}()
	}
	calls.Wait()
	return &got
}

func TestHostCutFromAllRunnersFailsItsCallers(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]cutKind{"reset": cutReset, "silent": cutSilent, "old connections live on": cutLiveConn} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			for range 4 {
				f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(20 * time.Millisecond)
					fmt.Fprintf(w, "whole")
				})
			}
			var cut runnerCut
			metrics := cicadaedge.NewMetrics()
			host := f.waitReady(f.startNode("n1", cut.configure, func(cfg *cicadaedge.Config) { cfg.Metrics = metrics }))
			others := []*node{f.waitReady(f.startNode("n2")), f.waitReady(f.startNode("n3"))}
			eventually(t, "the host knows the others", func() bool { return host.RouterCount() == len(others)+1 })
			for range 20 {
				call(t, host, "/once/", nil, "x")
			}
			cut.begin(kind)
			got := sendDuring(t, host, "/once/", 20*time.Millisecond, 5*time.Second)
			served, failed := 0, 0
			for status, n := range got.by["/once/"] {
				if status == http.StatusOK {
					served += n
				} else {
					failed += n
				}
			}
			if served == 0 || 50*failed > served+failed {
				t.Errorf("%d requests served, %d failed: %v", served, failed, got.by)
			}
			cut.begin(noCut)
			eventually(t, "the runners are reached directly again", func() bool {
				sendDuring(t, host, "/once/", time.Millisecond, 50*time.Millisecond)
				return metrics.RelayedRunners.Value() == 0
			})
		})
	}
}

// The other router knows that the runner is draining, the one that asks it does not.
func TestRelayConnectsToADrainingRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		r.runs.Add(1)
		w.Header().Set("X-Leaving", "1")
		fmt.Fprintf(w, "whole")
	})
	var cut runnerCut
	host, other := f.waitReady(f.startNode("n1", cut.configure)), f.waitReady(f.startNode("n2"))
	eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
	call(t, other, "/once/", nil, "x")
	cut.begin(cutReset)
	got := call(t, host, "/once/", nil, "x")
	if diff := cmp.Diff([]int64{http.StatusServiceUnavailable, 1}, []int64{int64(got.status), r.runs.Load()}); diff != "" {
		t.Errorf("status and runs (-want +got)\n%s", diff)
	}
}

// The response has no length, so that its end is that of the connection.
func TestRunnerResetBehindARelayLooksComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRawRunner(func(c *rawConn, req *http.Request) bool {
		c.write("HTTP/1.1 200 OK\r\nX-Sealed: yes\r\nX-Id: " + req.Header.Get("X-Id") + "\r\n\r\nhalf")
		time.Sleep(50 * time.Millisecond)
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
		return false
	})
	var cut runnerCut
	host := f.waitReady(f.startNode("n1", cut.configure))
	f.waitReady(f.startNode("n2"))
	eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
	cut.begin(cutReset)
	if got := call(t, host, "/once/", nil, "x"); got.status == http.StatusOK && got.err == nil {
		t.Errorf("half an answer looks complete: %q", got.body)
	}
}

func TestPlannedStopCutsRelayedRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r, running := f.addRunner(nil), make(chan struct{})
	r.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		time.Sleep(3 * time.Second)
		fmt.Fprintf(w, "whole")
	})
	var cut runnerCut
	host, other := f.waitReady(f.startNode("n1", cut.configure)), f.waitReady(f.startNode("n2"))
	eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
	cut.begin(cutReset)
	got := make(chan response, 1)
	go func() { got <- call(t, host, "/once/", nil, "x") }()
	select {
	case <-running:
	case r := <-got:
		t.Fatalf("the request did not reach the runner: %+v", r)
	}
	other.stop()
	if diff := cmp.Diff("whole", (<-got).body); diff != "" {
		t.Errorf("response (-want +got)\n%s", diff)
	}
}

// Connections to all runners break while they begin to answer, twice. The runners live on.
func TestCutHostTakesRunnersForCrashed(t *testing.T) {
	t.Parallel()
	for name, alone := range map[string]bool{"another router reaches the runners": false, "no other router": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			var began atomic.Int64
			for range 2 {
				f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusOK)
					w.(http.Flusher).Flush()
					began.Add(1)
					time.Sleep(200 * time.Millisecond)
				})
			}
			var cut runnerCut
			metrics := cicadaedge.NewMetrics()
			host := f.waitReady(f.startNode("n1", cut.configure, func(cfg *cicadaedge.Config) { cfg.Metrics = metrics }))
			if !alone {
				f.waitReady(f.startNode("n2"))
				eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
			}
			for i := range 2 {
				began.Store(0)
				var calls sync.WaitGroup
				for range 8 {
					calls.Go(func() {
						call(t, host, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": "system,sound,own"}, "x")
					})
				}
				eventually(t, "all answers have begun", func() bool { return began.Load() == 8 })
				cut.begin(cutReset)
				calls.Wait()
				time.Sleep(300 * time.Millisecond)
				cut.begin(noCut)
				eventually(t, fmt.Sprintf("cut %d is over", i), func() bool {
					return call(t, host, "/once/", nil, "x").status == http.StatusOK
				})
			}
			if diff := cmp.Diff([]int64{0, 0}, []int64{metrics.Crashes.Value(), metrics.Blocks.Value()}); diff != "" {
				t.Errorf("crashes and blocks (-want +got)\n%s", diff)
			}
		})
	}
}
