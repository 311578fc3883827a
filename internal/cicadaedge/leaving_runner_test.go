package cicadaedge_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

// poolSize is the number of connections to a runner that a single router opens if the service allows few.
const poolSize = 4

// storeCallPeriod is longer than calls that wait for changes take, so that those begun before an outage are over.
const storeCallPeriod = 600 * time.Millisecond

// dialGate holds up new connections to runners.
type dialGate struct {
	held    atomic.Bool
	waiting chan struct{} // receives one value for each dial that is held up
	open    chan struct{}
	cut     runnerCut
}

func newDialGate() *dialGate {
	return &dialGate{waiting: make(chan struct{}, 100), open: make(chan struct{})}
}

func (g *dialGate) configure(cfg *cicadaedge.Config) { cfg.DialRunner = g.dial }

func (g *dialGate) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if g.held.Load() {
		g.waiting <- struct{}{}
		select {
		case <-g.open:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return g.cut.dial(ctx, network, addr)
}

// leavingCase is a wait of a request before it is sent, during which its runner must get no more requests.
type leavingCase struct {
	// relayed states that the host reaches runners through another router only. lateHost states that the
	// host itself does not learn that the runner leaves, while the other one does.
	relayed, lateHost bool
	// reused states that a connection to the runner exists that is closed when the request gets it.
	reused bool
	// pool states that the request waits for a connection of the pool.
	pool bool
	// leave makes the runner leave. It returns once the routers know; nil for an evacuation.
	leave func(f *fleet, r *runner, n *node)
}

// TestRequestThatWaitedReachesALeavingRunner guards against a request that is sent after a wait to a runner
// that became unavailable meanwhile.
func TestRequestThatWaitedReachesALeavingRunner(t *testing.T) {
	t.Parallel()
	drain := func(f *fleet, r *runner, n *node) {
		f.putEntry(r, true)
		eventually(f.t, "the runner is draining", func() bool { return n.Runners()[0].Draining })
	}
	remove := func(f *fleet, r *runner, n *node) {
		f.store.removeRunner(r.id)
		eventually(f.t, "the runner is gone", func() bool { return len(n.Runners()) == 0 })
	}
	for name, tt := range map[string]leavingCase{
		"dial":                                   {},
		"relay dial":                             {relayed: true},
		"dial of the relay, which alone knows":   {relayed: true, lateHost: true},
		"relay dial after a connection ended":    {relayed: true, reused: true},
		"connection of the pool, evacuated":      {pool: true},
		"connection of the pool, entry draining": {pool: true, leave: drain},
		"connection of the pool, entry removed":  {pool: true, leave: remove},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt.run(t)
		})
	}
}

func (c *leavingCase) run(t *testing.T) {
	f := newFleet(t)
	f.doc.Services[0].MaxConns = 1
	f.publish()
	r, release := f.addRunner(nil), make(chan struct{})
	r.setHandler(func(_ http.ResponseWriter, req *http.Request) {
		r.runs.Add(1)
		if req.Header.Get("X-Hold") != "" {
			<-release
		}
	})
	hostGate, otherGate := newDialGate(), newDialGate()
	host := f.waitReady(f.startNode("n1", hostGate.configure))
	gate := hostGate
	known := host
	if c.relayed {
		known = f.waitReady(f.startNode("n2", otherGate.configure))
		eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
		gate = otherGate
		hostGate.cut.begin(cutReset)
	}
	if c.reused {
		call(t, host, "/once/", nil, "x")
	}
	var calls sync.WaitGroup
	if c.pool {
		for range poolSize {
			calls.Go(func() { call(t, host, "/once/", map[string]string{"X-Hold": "1"}, "x") })
		}
		eventually(t, "the connections are in use", func() bool { return r.runs.Load() == poolSize })
	} else {
		gate.held.Store(true)
	}
	host.store.down.Store(c.lateHost)
	before := r.runs.Load()
	got := make(chan response, 1)
	go func() { got <- call(t, host, "/once/", nil, "x") }()
	if c.pool {
		eventually(t, "the request is assigned", func() bool { return host.Runners()[0].InFlight == poolSize+1 })
	} else {
		if !c.reused {
			<-gate.waiting // a spare connection, as it is not known yet how responses end
		}
		<-gate.waiting
	}
	if c.leave == nil {
		f.store.put(tableDeploy, "evacuate/p", struct{}{})
		for _, n := range []*node{host, known} {
			eventually(t, "the evacuation is known", func() bool { return n.Runners()[0].Evacuated || n == host && c.lateHost })
		}
	} else {
		c.leave(f, r, host)
	}
	close(release)
	close(gate.open)
	if diff := cmp.Diff([]int64{http.StatusServiceUnavailable, 0}, []int64{int64((<-got).status), r.runs.Load() - before}); diff != "" {
		t.Errorf("status and requests at the runner (-want +got):\n%s", diff)
	}
	calls.Wait()
}

// The router that connected the host to the runner before knows that the runner is draining. Neither the
// host nor a third router, which would connect the host too, is in contact with the store.
func TestRelayThatDoesNotKnowConnectsToADrainingRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("whole"))
	var cut runnerCut
	host, other := f.waitReady(f.startNode("n1", cut.configure)), f.waitReady(f.startNode("n2"))
	eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
	cut.begin(cutReset)
	if diff := cmp.Diff("whole", call(t, host, "/once/", nil, "x").body); diff != "" {
		t.Fatalf("response through the other router (-want +got):\n%s", diff)
	}
	late := f.waitReady(f.startNode("n3"))
	eventually(t, "the host knows the third one", func() bool { return host.RouterCount() == 3 })
	host.store.down.Store(true)
	late.store.down.Store(true)
	time.Sleep(storeCallPeriod)
	f.putEntry(r, true)
	eventually(t, "the runner is draining", func() bool { return other.Runners()[0].Draining })
	got := call(t, host, "/once/", nil, "x")
	if diff := cmp.Diff([]int64{http.StatusServiceUnavailable, 1}, []int64{int64(got.status), r.runs.Load()}); diff != "" {
		t.Errorf("status and requests at the runner (-want +got):\n%s", diff)
	}
}

// TestRunnerLeavesWhileItsEntriesAreNotRead guards against a router that cannot read the runners' entries and
// does not ask others, because it still reads the configuration, or asks them too late.
func TestRunnerLeavesWhileItsEntriesAreNotRead(t *testing.T) {
	t.Parallel()
	const mayGetRequests = 3 * time.Second // after the store has acknowledged that a runner drains
	for name, cut := range map[string]func(s *storeClient) *atomic.Bool{
		"these entries only": func(s *storeClient) *atomic.Bool { return &s.runnersDown },
		"the whole store":    func(s *storeClient) *atomic.Bool { return &s.down },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			r := f.addRunner(nil)
			host, other := f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2"))
			eventually(t, "the routers know each other", func() bool { return host.RouterCount() == 2 && other.RouterCount() == 2 })
			cut(host.store).Store(true)
			time.Sleep(storeCallPeriod)
			f.putEntry(r, true)
			time.Sleep(mayGetRequests)
			if !host.Runners()[0].Draining {
				t.Errorf("%v after the store knew that the runner drains, the host does not", mayGetRequests)
			}
		})
	}
}
