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

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

const (
	// limitWindow is the window in which requests at a rate-limited runner are counted. Requests
	// of a router are counted from limitGracePeriod after it was informed of the limit.
	limitWindow      = 4 * time.Second
	limitGracePeriod = 500 * time.Millisecond
)

type (
	// limitedRunner is a runner that can advertise a rate limit and counts the requests of routers
	// that it has informed.
	limitedRunner struct {
		*runner

		mu       sync.Mutex // guards the fields below
		limit    string     // empty for none
		arrivals []arrival
		informed map[string]time.Time // time of the first response with a limit, by router
		total    int                  // number of requests of all routers
	}

	// arrival is a request at a runner from an informed router.
	arrival struct {
		router string
		at     time.Time
	}
)

// manyRouters is the number of routers in TestManyRoutersKeepARunnersLimit. A manual run uses 410.
var manyRouters = flag.Int("many-routers", 58, "routers that share a runner's limit")

func (f *fleet) addLimitedRunner(handler http.HandlerFunc) *limitedRunner {
	l := &limitedRunner{informed: map[string]time.Time{}}
	l.runner = f.addRunner(func(w http.ResponseWriter, req *http.Request) {
		l.record(w, req)
		handler(w, req)
	})
	return l
}

func (l *limitedRunner) setLimit(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

func (l *limitedRunner) record(w http.ResponseWriter, req *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	router, now := req.Header.Get("X-Router"), time.Now()
	since, informed := l.informed[router]
	if informed && now.Sub(since) >= limitGracePeriod {
		l.arrivals = append(l.arrivals, arrival{router: router, at: now})
	}
	if l.limit == "" {
		return
	}
	w.Header().Set("X-Rate", l.limit)
	if !informed {
		l.informed[router] = now
	}
}

// maxInWindow returns the maximum number of requests from informed routers in a window.
func (l *limitedRunner) maxInWindow() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	maxCount, first := 0, 0
	for i := range l.arrivals {
		for l.arrivals[i].at.Sub(l.arrivals[first].at) > limitWindow {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

func (l *limitedRunner) requestCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

func (l *limitedRunner) informedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.informed)
}

// allowedInWindow returns how many requests a runner may get in a window under a limit.
func allowedInWindow(limit string) int {
	rate, err := strconv.ParseFloat(limit, 64)
	if err != nil {
		panic(err)
	}
	return int(1.5*rate*limitWindow.Seconds()) + 5
}

// sendLoad sends requests to the routers in turn for some time and counts the responses by status.
func sendLoad(t *testing.T, nodes []*node, path string, interval, duration time.Duration, header map[string]string) map[int]int {
	t.Helper()
	var (
		mu       sync.Mutex // guards statuses
		statuses = map[int]int{}
		calls    sync.WaitGroup
	)
	end := time.Now().Add(duration)
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
		time.Sleep(interval)
	}
	calls.Wait()
	return statuses
}

func (f *fleet) startNodes(count int, options ...func(*cicadaedge.Config)) []*node {
	var nodes []*node
	for i := range count {
		nodes = append(nodes, f.startNode(fmt.Sprintf("n%d", i), options...))
	}
	for _, n := range nodes {
		f.waitReady(n)
		eventually(f.t, "all routers are known", func() bool { return n.RouterCount() == count })
	}
	return nodes
}

// TestRoutersTogetherKeepARunnersLimit makes one of three runners advertise a rate limit. All
// routers together must keep it, and send the other requests to the runners without a limit.
func TestRoutersTogetherKeepARunnersLimit(t *testing.T) {
	for _, tt := range []struct {
		name, limit, path string
		header            map[string]string
		outage            bool // the store is unavailable
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
				writeEvents(w, 1, 3)
			}
			limited := f.addLimitedRunner(work)
			for range 2 {
				f.addRunner(work)
			}
			nodes := f.startNodes(6)
			limited.setLimit(tt.limit)
			for _, n := range nodes {
				n.store.down.Store(tt.outage)
			}
			statuses := sendLoad(t, nodes, tt.path, 20*time.Millisecond, 7*time.Second, tt.header)
			stopAll(nodes)
			if got, maxCount := limited.maxInWindow(), allowedInWindow(tt.limit); got > maxCount {
				t.Errorf("the runner got %d requests in %v from informed routers, allowed %d", got, limitWindow, maxCount)
			}
			for status, n := range statuses {
				if status != http.StatusOK {
					t.Errorf("%d requests ended with status %d, want all served by the runners without a limit", n, status)
				}
			}
		})
	}
}

// TestRemovedRateLimitReachesAllRouters removes the rate limit while most routers have no permit,
// so that they get no response from the runner themselves. They must still stop applying it.
func TestRemovedRateLimitReachesAllRouters(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	work := func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) }
	limited := f.addLimitedRunner(work)
	f.addRunner(work)
	nodes := f.startNodes(4)
	limited.setLimit("0.25")
	sendLoad(t, nodes, "/again/x", 20*time.Millisecond, 2*time.Second, nil)
	limited.setLimit("")
	sendLoad(t, nodes, "/again/x", 20*time.Millisecond, 8*time.Second, nil)
	for _, n := range nodes {
		for _, r := range n.Runners() {
			if r.Limit != nil {
				t.Errorf("router %s still applies to %s a limit of %g requests per second, 8 s after the limit was removed", n.addr, r.ID, *r.Limit)
			}
		}
	}
	stopAll(nodes)
}

// TestAllRunnersRateLimited checks that requests beyond the rate limits are refused immediately,
// with a Retry-After that grows with the number of refused callers.
func TestAllRunnersRateLimited(t *testing.T) {
	f := newFleet(t)
	limited := f.addLimitedRunner(func(http.ResponseWriter, *http.Request) {})
	limited.setLimit("1")
	n := f.startNodes(1)[0]
	call(t, n, "/once/x", map[string]string{"X-Router": n.addr}, "x")
	var retryAfters []float64
	served := 0
	for range 12 {
		startedAt := time.Now()
		r := call(t, n, "/once/x", map[string]string{"X-Router": n.addr}, "x")
		if r.status == http.StatusOK {
			served++
			continue
		}
		if took := time.Since(startedAt); r.status != http.StatusServiceUnavailable || took > 200*time.Millisecond {
			t.Errorf("status %d after %v, want 503 within 200 ms", r.status, took)
		}
		retryAfter, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		if err != nil || len(retryAfters) > 0 && retryAfter < retryAfters[len(retryAfters)-1] {
			t.Errorf("Retry-After %q after earlier values %v, want no decrease", r.header.Get("Retry-After"), retryAfters)
		}
		retryAfters = append(retryAfters, retryAfter)
	}
	if served > 2 {
		t.Errorf("%d of 12 requests were served, want 2 at most", served)
	}
	if len(retryAfters) > 0 && (retryAfters[0] < 0.5 || retryAfters[0] > 1.5) {
		t.Errorf("first Retry-After is %g s, want about 1 s, since one permit falls due per second", retryAfters[0])
	}
}

// TestNoBurstOfThoseThatWaitForAConnection makes a runner advertise a rate limit while requests
// wait for one of its few connections. They must not arrive in one burst.
func TestNoBurstOfThoseThatWaitForAConnection(t *testing.T) {
	f := newFleet(t)
	f.doc.Services[0].MaxConns = 5
	f.publish()
	limited := f.addLimitedRunner(func(http.ResponseWriter, *http.Request) { time.Sleep(600 * time.Millisecond) })
	n := f.startNodes(1)[0]
	limited.setLimit("1")
	header := map[string]string{"X-Router": n.addr}
	statuses := sendLoad(t, []*node{n}, "/once/x", time.Millisecond, 100*time.Millisecond, header)
	if got, maxCount := limited.maxInWindow(), allowedInWindow("1"); got > maxCount {
		t.Errorf("the runner got %d requests in %v from an informed router, allowed %d", got, limitWindow, maxCount)
	}
	if diff := statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]; diff == 0 || len(statuses) > 2 {
		t.Errorf("statuses %v, want only 200 and 503", statuses)
	}
}

// TestManyRoutersKeepARunnersLimit uses more routers than the limit allows requests in a window,
// so that one request of each router would already be too many.
func TestManyRoutersKeepARunnersLimit(t *testing.T) {
	f := newFleet(t)
	work := func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Millisecond) }
	runners := []*limitedRunner{f.addLimitedRunner(work), f.addLimitedRunner(work), f.addLimitedRunner(work)}
	nodes := f.startNodes(*manyRouters)
	// Each router gets about one request per second. This gives it no load information, so that
	// all routers prefer the same runner.
	interval := time.Second / time.Duration(*manyRouters)
	sendLoad(t, nodes, "/again/x", interval, time.Second, nil)
	limited := runners[0]
	for _, r := range runners {
		if r.requestCount() > limited.requestCount() {
			limited = r
		}
	}
	limited.setLimit("1")
	statuses := sendLoad(t, nodes, "/again/x", interval, 10*time.Second, nil)
	stopAll(nodes)
	if got, maxCount := limited.maxInWindow(), allowedInWindow("1"); got > maxCount {
		t.Errorf("the runner got %d requests in %v from informed routers, allowed %d", got, limitWindow, maxCount)
	}
	t.Logf("the runner informed %d of %d routers and got up to %d requests in a window from these", limited.informedCount(), *manyRouters, limited.maxInWindow())
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v, want 200 only", statuses)
	}
}

// TestSingleBusyRouterUsesTheFullRateLimit has one runner and sends all requests to one of several
// routers. This router must use the permits of the others too, and serve at least 0.8 of the limit.
func TestSingleBusyRouterUsesTheFullRateLimit(t *testing.T) {
	f := newFleet(t)
	limited := f.addLimitedRunner(func(http.ResponseWriter, *http.Request) {})
	nodes := f.startNodes(6)
	limited.setLimit("4")
	const duration = 8 * time.Second
	// The other routers get the limit from the busy one.
	sendLoad(t, nodes[:1], "/again/x", 20*time.Millisecond, 2*time.Second, nil)
	statuses := sendLoad(t, nodes[:1], "/again/x", 20*time.Millisecond, duration, nil)
	stopAll(nodes)
	if got, maxCount := limited.maxInWindow(), allowedInWindow("4"); got > maxCount {
		t.Errorf("the runner got %d requests in %v, allowed %d", got, limitWindow, maxCount)
	}
	if got, want := statuses[http.StatusOK], int(0.8*4*duration.Seconds()); got < want {
		t.Errorf("%d requests served in %v, want %d or more: statuses %v", got, duration, want, statuses)
	}
}

// TestConnectionsFollowTheNumberOfRouters adds a router after requests went to a runner that
// accepts ten connections of all routers together. The first router must then use no more than its
// smaller share of them.
func TestConnectionsFollowTheNumberOfRouters(t *testing.T) {
	f := newFleet(t)
	f.doc.Services[0].MaxConns = 10
	f.publish()
	var running, maxRunning atomic.Int64
	f.addRunner(func(http.ResponseWriter, *http.Request) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		time.Sleep(100 * time.Millisecond)
		running.Add(-1)
	})
	nodes := f.startNodes(1)
	for _, tt := range []struct {
		routers int
		want    int64
	}{{1, 8}, {2, 4}} {
		for len(nodes) < tt.routers {
			nodes = append(nodes, f.waitReady(f.startNode(fmt.Sprint("added", len(nodes)))))
		}
		for _, n := range nodes {
			eventually(t, "all routers are known", func() bool { return n.RouterCount() == tt.routers })
		}
		maxRunning.Store(0)
		sendLoad(t, nodes[:1], "/once/x", time.Millisecond, 200*time.Millisecond, nil)
		if diff := cmp.Diff(tt.want, maxRunning.Load()); diff != "" {
			t.Errorf("%d routers: connections of one router (-want +got):\n%s", tt.routers, diff)
		}
	}
	stopAll(nodes)
}

// TestNothingWaitsForAConnectionOfALeavingRunner makes a runner start draining while requests wait
// for one of its few connections. None of them may reach it more than two seconds later.
func TestNothingWaitsForAConnectionOfALeavingRunner(t *testing.T) {
	f := newFleet(t)
	f.doc.Services[0].MaxConns = 5
	f.publish()
	var drainedAt atomic.Pointer[time.Time]
	var late atomic.Int64
	r := f.addRunner(func(http.ResponseWriter, *http.Request) {
		if at := drainedAt.Load(); at != nil && time.Since(*at) > 2*time.Second {
			late.Add(1)
		}
		time.Sleep(700 * time.Millisecond)
	})
	n := f.startNodes(1)[0]
	time.AfterFunc(300*time.Millisecond, func() {
		now := time.Now()
		f.putEntry(r, true)
		drainedAt.Store(&now)
	})
	statuses := sendLoad(t, []*node{n}, "/once/x", 2*time.Millisecond, 100*time.Millisecond, nil)
	if got := late.Load(); got > 0 {
		t.Errorf("%d requests reached the runner more than two seconds after it started draining", got)
	}
	if len(statuses) > 2 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("statuses %v, want only 200 and 503", statuses)
	}
}
