package cicadaedge_test

import (
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// limitWindow is the span in which a limited runner's requests are counted, and
	// toldAfter the time after which a router that has been told counts.
	limitWindow = 4 * time.Second
	toldAfter   = 500 * time.Millisecond
)

type (
	// limitedRunner is a runner that can name a limit and counts what it gets from
	// routers that it has told.
	limitedRunner struct {
		*runner

		mu       sync.Mutex // guards the fields below
		limit    string     // empty for none
		arrivals []arrival
		told     map[string]time.Time // routers, since when
		all      int                  // requests of all routers
	}

	// arrival is a request at a runner from a router that had been told.
	arrival struct {
		router string
		at     time.Time
	}
)

// manyRouters is the number of routers of TestManyRoutersKeepARunnersLimit: 410 by hand.
var manyRouters = flag.Int("many-routers", 58, "routers that share a runner's limit")

func (f *fleet) addLimitedRunner(handle http.HandlerFunc) *limitedRunner {
	l := &limitedRunner{told: map[string]time.Time{}}
	l.runner = f.addRunner(func(w http.ResponseWriter, req *http.Request) {
		l.note(w, req)
		handle(w, req)
	})
	return l
}

func (l *limitedRunner) names(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

func (l *limitedRunner) note(w http.ResponseWriter, req *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all++
	router, now := req.Header.Get("X-Router"), time.Now()
	since, told := l.told[router]
	if told && now.Sub(since) >= toldAfter {
		l.arrivals = append(l.arrivals, arrival{router: router, at: now})
	}
	if l.limit == "" {
		return
	}
	w.Header().Set("X-Rate", l.limit)
	if !told {
		l.told[router] = now
	}
}

// most returns the most requests that came from told routers in some window.
func (l *limitedRunner) most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for i := range l.arrivals {
		for l.arrivals[i].at.Sub(l.arrivals[first].at) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (l *limitedRunner) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all
}

func (l *limitedRunner) toldCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.told)
}

// allowed is what a runner may get in a window at a limit.
func allowed(limit string) int {
	rate, err := strconv.ParseFloat(limit, 64)
	if err != nil {
		panic(err)
	}
	return int(1.5*rate*limitWindow.Seconds()) + 5
}

// press sends requests to routers in turn for some time and counts the answers.
func press(t *testing.T, nodes []*node, path string, gap, span time.Duration, header map[string]string) map[int]int {
	t.Helper()
	var (
		mu       sync.Mutex // guards statuses
		statuses = map[int]int{}
		calls    sync.WaitGroup
	)
	end := time.Now().Add(span)
	for i := 0; time.Now().Before(end); i++ {
		n := nodes[i%len(nodes)]
		h := map[string]string{"X-Router": n.addr}
		for k, v := range header {
			h[k] = v
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			r := call(t, n, path, h, "x")
			mu.Lock()
			defer mu.Unlock()
			statuses[r.status]++
		}()
		time.Sleep(gap)
	}
	calls.Wait()
	return statuses
}

func (f *fleet) nodes(count int) []*node {
	var nodes []*node
	for i := range count {
		nodes = append(nodes, f.node(fmt.Sprintf("n%d", i)))
	}
	for _, n := range nodes {
		f.ready(n)
		eventually(f.t, "all routers are known", func() bool { return n.RouterCount() == count })
	}
	return nodes
}

func TestRoutersTogetherKeepARunnersLimit(t *testing.T) {
	for _, tt := range []struct {
		name, limit, path string
		header            map[string]string
		outage            bool // the store is away
	}{
		{name: "plain", limit: "1", path: "/again/x"},
		{name: "once", limit: "2.5", path: "/once/x"},
		{name: "prompts", limit: "1", path: "/again/x", header: map[string]string{"X-Tokens": "8,8", "X-Parts": "a,b"}},
		{name: "streams", limit: "1", path: "/stream/x"},
		{name: "none at all", limit: "0", path: "/again/x"},
		{name: "without the store", limit: "1", path: "/again/x", outage: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			work := func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(200 * time.Millisecond)
				events(w, 1, 3)
			}
			limited := f.addLimitedRunner(work)
			for range 2 {
				f.addRunner(work)
			}
			nodes := f.nodes(6)
			limited.names(tt.limit)
			for _, n := range nodes {
				n.view.down.Store(tt.outage)
			}
			statuses := press(t, nodes, tt.path, 20*time.Millisecond, 7*time.Second, tt.header)
			stopAll(nodes)
			if got, most := limited.most(), allowed(tt.limit); got > most {
				t.Errorf("the runner got %d requests in %v from routers that it had told, allowed %d", got, limitWindow, most)
			}
			for status, n := range statuses {
				if status != http.StatusOK {
					t.Errorf("%d requests ended with %d, want all served by the runners without a limit", n, status)
				}
			}
		})
	}
}

// TestEndOfALimitReachesAllRouters lets the limit end while most routers have no unit.
func TestEndOfALimitReachesAllRouters(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	work := func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) }
	limited := f.addLimitedRunner(work)
	f.addRunner(work)
	nodes := f.nodes(4)
	limited.names("0.25")
	press(t, nodes, "/again/x", 20*time.Millisecond, 2*time.Second, nil)
	limited.names("")
	press(t, nodes, "/again/x", 20*time.Millisecond, 8*time.Second, nil)
	for _, n := range nodes {
		for _, r := range n.Runners() {
			if r.Limit != nil {
				t.Errorf("router %s still takes %s for limited to %g a second, 8 s after the end", n.addr, r.ID, *r.Limit)
			}
		}
	}
	stopAll(nodes)
}

// TestAllRunnersLimited checks that what the limits leave no room for is refused at once,
// with a time to come back that grows with what waits.
func TestAllRunnersLimited(t *testing.T) {
	f := newFleet(t)
	limited := f.addLimitedRunner(func(http.ResponseWriter, *http.Request) {})
	limited.names("1")
	n := f.nodes(1)[0]
	call(t, n, "/once/x", map[string]string{"X-Router": n.addr}, "x")
	var waits []float64
	served := 0
	for range 12 {
		began := time.Now()
		r := call(t, n, "/once/x", map[string]string{"X-Router": n.addr}, "x")
		if r.status == http.StatusOK {
			served++
			continue
		}
		if took := time.Since(began); r.status != http.StatusServiceUnavailable || took > 200*time.Millisecond {
			t.Errorf("status %d after %v, want 503 at once", r.status, took)
		}
		wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		if err != nil || len(waits) > 0 && wait < waits[len(waits)-1] {
			t.Errorf("time to come back %q after %v, want no sooner than callers before", r.header.Get("Retry-After"), waits)
		}
		waits = append(waits, wait)
	}
	if served > 2 {
		t.Errorf("%d served at once, want 2 at most", served)
	}
	if len(waits) > 0 && (waits[0] < 0.5 || waits[0] > 1.5) {
		t.Errorf("the first is told to come back after %g s, want about one second, as a unit falls due in each", waits[0])
	}
}

// TestNoBurstOfThoseThatWaitForAConnection names a limit while requests wait for the
// few connections that a runner takes.
func TestNoBurstOfThoseThatWaitForAConnection(t *testing.T) {
	f := newFleet(t)
	f.doc.Services[0].MaxConns = 5
	f.publish()
	limited := f.addLimitedRunner(func(http.ResponseWriter, *http.Request) { time.Sleep(600 * time.Millisecond) })
	n := f.nodes(1)[0]
	limited.names("1")
	header := map[string]string{"X-Router": n.addr}
	statuses := press(t, []*node{n}, "/once/x", time.Millisecond, 100*time.Millisecond, header)
	if got, most := limited.most(), allowed("1"); got > most {
		t.Errorf("the runner got %d requests in %v from a router that it had told, allowed %d", got, limitWindow, most)
	}
	if diff := statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]; diff == 0 || len(statuses) > 2 {
		t.Errorf("statuses %v, want only 200 and 503", statuses)
	}
}

// TestManyRoutersKeepARunnersLimit has more routers than the limit allows requests in a
// window, so that one request of each would be too many.
func TestManyRoutersKeepARunnersLimit(t *testing.T) {
	f := newFleet(t)
	work := func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Millisecond) }
	runners := []*limitedRunner{f.addLimitedRunner(work), f.addLimitedRunner(work), f.addLimitedRunner(work)}
	nodes := f.nodes(*manyRouters)
	// Each router gets about a request a second, so that it has no load to go by and
	// all prefer the same runner.
	gap := time.Second / time.Duration(*manyRouters)
	press(t, nodes, "/again/x", gap, time.Second, nil)
	limited := runners[0]
	for _, r := range runners {
		if r.count() > limited.count() {
			limited = r
		}
	}
	limited.names("1")
	statuses := press(t, nodes, "/again/x", gap, 10*time.Second, nil)
	stopAll(nodes)
	if got, most := limited.most(), allowed("1"); got > most {
		t.Errorf("the runner got %d requests in %v from routers that it had told, allowed %d", got, limitWindow, most)
	}
	t.Logf("the runner told %d of %d routers, and got %d requests in a window from these", limited.toldCount(), *manyRouters, limited.most())
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v, want 200 only", statuses)
	}
}

// TestRouterWithAllTheTrafficUsesTheWholeLimit has one runner and one busy router.
func TestRouterWithAllTheTrafficUsesTheWholeLimit(t *testing.T) {
	f := newFleet(t)
	limited := f.addLimitedRunner(func(http.ResponseWriter, *http.Request) {})
	nodes := f.nodes(6)
	limited.names("4")
	const span = 8 * time.Second
	// The other routers learn of the limit from the busy one.
	press(t, nodes[:1], "/again/x", 20*time.Millisecond, 2*time.Second, nil)
	statuses := press(t, nodes[:1], "/again/x", 20*time.Millisecond, span, nil)
	stopAll(nodes)
	if got, most := limited.most(), allowed("4"); got > most {
		t.Errorf("the runner got %d requests in %v, allowed %d", got, limitWindow, most)
	}
	if got, want := statuses[http.StatusOK], int(0.8*4*span.Seconds()); got < want {
		t.Errorf("%d requests served in %v, want %d or more: statuses %v", got, span, want, statuses)
	}
}

// TestConnectionsFollowTheNumberOfRouters adds routers after the first request went to a
// runner that takes ten connections of all of them.
func TestConnectionsFollowTheNumberOfRouters(t *testing.T) {
	f := newFleet(t)
	f.doc.Services[0].MaxConns = 10
	f.publish()
	var running, most atomic.Int64
	f.addRunner(func(http.ResponseWriter, *http.Request) {
		most.Store(max(most.Load(), running.Add(1)))
		time.Sleep(100 * time.Millisecond)
		running.Add(-1)
	})
	nodes := f.nodes(1)
	for _, tt := range []struct {
		routers int
		want    int64
	}{{1, 8}, {2, 4}} {
		for len(nodes) < tt.routers {
			nodes = append(nodes, f.ready(f.node(fmt.Sprint("added", len(nodes)))))
		}
		for _, n := range nodes {
			eventually(t, "all routers are known", func() bool { return n.RouterCount() == tt.routers })
		}
		most.Store(0)
		press(t, nodes[:1], "/once/x", time.Millisecond, 200*time.Millisecond, nil)
		if diff := cmp.Diff(tt.want, most.Load()); diff != "" {
			t.Errorf("%d routers: connections of one of them (-want +got):\n%s", tt.routers, diff)
		}
	}
	stopAll(nodes)
}

// TestNothingWaitsForAConnectionOfALeavingRunner lets a runner leave while requests wait
// for one of its few connections.
func TestNothingWaitsForAConnectionOfALeavingRunner(t *testing.T) {
	f := newFleet(t)
	f.doc.Services[0].MaxConns = 5
	f.publish()
	var left atomic.Pointer[time.Time]
	var late atomic.Int64
	r := f.addRunner(func(http.ResponseWriter, *http.Request) {
		if at := left.Load(); at != nil && time.Since(*at) > 2*time.Second {
			late.Add(1)
		}
		time.Sleep(700 * time.Millisecond)
	})
	n := f.nodes(1)[0]
	time.AfterFunc(300*time.Millisecond, func() {
		now := time.Now()
		f.enter(r, true)
		left.Store(&now)
	})
	statuses := press(t, []*node{n}, "/once/x", 2*time.Millisecond, 100*time.Millisecond, nil)
	if got := late.Load(); got > 0 {
		t.Errorf("%d requests reached the runner more than two seconds after it began to leave", got)
	}
	if len(statuses) > 2 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("statuses %v, want only 200 and 503", statuses)
	}
}
