package cicadaedge_test

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	gocmp "github.com/google/go-cmp/cmp"
)

const (
	// commonCrashDown is how long a crashed runner is away.
	commonCrashDown = 800 * time.Millisecond
	// commonCrashInterval is the time between two harmful requests, and commonCrashTime that of all of them.
	commonCrashInterval = 300 * time.Millisecond
	commonCrashTime     = 13 * time.Second
	// entryInterval is the time between two writes of a runner's entry.
	entryInterval = 300 * time.Millisecond
)

type (
	// processRunner is a runner whose process ends with all of its connections, and starts again.
	processRunner struct {
		fleet   *fleet
		handler http.Handler

		mu       sync.Mutex // guards the fields below
		entry    cicadaplace.Entry
		listener net.Listener
		server   *http.Server
		stop     chan struct{} // closed when the process ends
		conns    map[net.Conn]struct{}
		hidden   bool // the store does not show its writes
	}

	// successor is how a runner comes back after a crash.
	successor struct {
		expired     bool // its entry is removed before
		otherID     bool
		otherAddr   bool
		removeLater bool          // the entry of the earlier id is removed after the start
		entryDelay  time.Duration // from the start to the first write of its entry
		reset       bool          // the crash resets connections
		down        time.Duration // from the crash to the start; zero for commonCrashDown
		// intervalUnknown is set if routers do not know the interval of entries, so that silence shows nothing.
		intervalUnknown bool
	}
)

// addProcessRunners adds runners that write their entries all the time.
func (f *fleet) addProcessRunners(count int, handler func(r *processRunner) http.Handler) []*processRunner {
	f.t.Helper()
	var out []*processRunner
	for range count {
		r := &processRunner{fleet: f, entry: cicadaplace.Entry{
			ID: fmt.Sprintf("r%d", len(f.runners)+1), Service: "svc", Addr: "127.0.0.1:0", DataCentre: "p", Slots: 8, SoftwareVersion: "v1",
		}}
		r.handler = handler(r)
		f.runners = append(f.runners, nil)
		r.start(0)
		f.t.Cleanup(r.end)
		out = append(out, r)
	}
	return out
}

// start starts the process, and writes its entry from a delay on until it ends.
func (r *processRunner) start(entryDelay time.Duration) {
	var lc net.ListenConfig
	ln, err := lc.Listen(r.fleet.t.Context(), "tcp", r.entry.Addr)
	if err != nil {
		r.fleet.t.Error(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.server, r.stop = ln, &http.Server{Handler: r.handler, ReadHeaderTimeout: time.Minute, ConnState: r.trackConn}, make(chan struct{})
	r.conns = map[net.Conn]struct{}{}
	r.entry.Addr, r.entry.StartMillis, r.entry.Seq = ln.Addr().String(), time.Now().UnixMilli(), 0
	server, stop := r.server, r.stop
	go func() { _ = server.Serve(ln) }() // it ends with the process
	if entryDelay == 0 {
		r.write()
		entryDelay = entryInterval
	}
	go func() {
		for wait := entryDelay; ; wait = entryInterval {
			select {
			case <-stop:
				return
			case <-time.After(wait):
			}
			r.mu.Lock()
			if r.stop == stop {
				r.write()
			}
			r.mu.Unlock()
		}
	}()
}

func (r *processRunner) trackConn(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateNew {
		r.conns[conn] = struct{}{}
	}
}

func (r *processRunner) write() {
	if r.entry.Seq++; r.hidden {
		return
	}
	r.fleet.store.put(tableRunners, r.entry.ID, r.entry)
}

func (r *processRunner) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry.ID
}

// end ends the process with all connections, if there is one.
func (r *processRunner) end() { r.endBy(false) }

func (r *processRunner) endBy(reset bool) {
	r.mu.Lock()
	server, conns := r.server, maps.Clone(r.conns)
	if r.stop == nil {
		r.mu.Unlock()
		return
	}
	close(r.stop)
	r.stop = nil
	r.mu.Unlock()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0) // it may have ended
			_ = tcp.Close()
		}
	}
	_ = server.Close() // it closes the listener and all connections, whatever it returns
}

// startAs starts the process of an ended runner again, as a successor.
func (r *processRunner) startAs(s successor) {
	earlier := r.id()
	if s.expired {
		r.fleet.store.removeRunner(earlier)
		time.Sleep(2 * entryInterval) // until routers have read it
	}
	r.mu.Lock()
	if s.otherID {
		r.entry.ID += "+"
	}
	if s.otherAddr {
		r.entry.Addr = "127.0.0.1:0"
	}
	r.mu.Unlock()
	r.start(s.entryDelay)
	if s.removeLater {
		time.Sleep(2 * entryInterval)
		r.fleet.store.removeRunner(earlier)
	}
}

func withEntryInterval(cfg *cicadaedge.Config) { cfg.HeartbeatInterval = entryInterval }

// crashLog has the crashes by harmful requests and the ids of those that reached runners late.
type crashLog struct {
	mu      sync.Mutex // guards the fields below
	crashes []time.Time
	late    map[string]bool
}

func (l *crashLog) record(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if n := maxCrashesOfARequest; len(l.crashes) >= n && now.Sub(l.crashes[n-1]) > quarantinePeriod {
		l.late[id] = true
	}
	l.crashes = append(l.crashes, now)
}

// Each harmful request crashes all runners, so that no runner accepts connections while they are checked.
func TestRequestThatCrashesAllRunnersIsForwardedAgainAndAgain(t *testing.T) {
	t.Parallel()
	for name, next := range map[string]successor{
		"same id":                                    {},
		"same id after the entry has expired":        {expired: true},
		"another id at the address":                  {otherID: true, removeLater: true},
		"another id there after the entry's expiry":  {otherID: true, expired: true},
		"another id and address":                     {otherID: true, otherAddr: true, removeLater: true},
		"another id and address after entry expired": {otherID: true, otherAddr: true, expired: true},
		"same id, crashed again before its entry":    {entryDelay: 2 * commonCrashInterval},
		"the same, by a reset of its connections":    {entryDelay: 2 * commonCrashInterval, reset: true},
		"the same, back at once":                     {entryDelay: 3 * commonCrashInterval, down: 10 * time.Millisecond, intervalUnknown: true},
	} {
		for _, runners := range []int{1, 2} {
			t.Run(fmt.Sprintf("%d, %s", runners, name), func(t *testing.T) {
				t.Parallel()
				testCommonCrash(t, runners, next)
			})
		}
	}
}

func testCommonCrash(t *testing.T, runners int, next successor) {
	t.Helper()
	f := newFleet(t)
	crashes := crashLog{late: map[string]bool{}}
	f.addProcessRunners(runners, func(r *processRunner) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			body, _ := io.ReadAll(req.Body) // the router may have left
			if req.Header.Get("X-Runner") != r.id() {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if string(body) == "harmful" {
				crashes.record(req.Header.Get("X-Id"))
				r.endBy(next.reset)
				time.AfterFunc(cmp.Or(next.down, commonCrashDown), func() { r.startAs(next) })
				abortConnection()
			}
			w.Header().Set("X-Id", req.Header.Get("X-Id"))
			w.Header().Set("X-Sealed", "yes")
			w.Header().Set("Connection", "close") // idle connections would show the end of the process
			fmt.Fprintf(w, "sound")
		})
	})
	nodes := f.startNodes(3, func(cfg *cicadaedge.Config) {
		if withEntryInterval(cfg); next.intervalUnknown {
			cfg.HeartbeatInterval = 0
		}
	})
	for _, n := range nodes {
		call(t, n, "/again/", nil, "sound")
	}
	i := 0
	for begin := time.Now(); time.Since(begin) < commonCrashTime; time.Sleep(commonCrashInterval) {
		call(t, nodes[i%len(nodes)], "/again/", nil, "harmful")
		i++
	}
	crashes.mu.Lock()
	late, count := len(crashes.late), len(crashes.crashes)
	crashes.mu.Unlock()
	if late > maxLateArrivals {
		t.Errorf("%d retries reached runners later than %v after the third crash, want at most %d; %d crashes",
			late, quarantinePeriod, maxLateArrivals, count)
	}
	time.Sleep(commonCrashDown + 4*entryInterval)
	for _, n := range nodes {
		got := []bool{isQuarantined(call(t, n, "/again/", nil, "harmful")), isQuarantined(call(t, n, "/again/", nil, "sound"))}
		if diff := gocmp.Diff([]bool{true, false}, got); diff != "" {
			t.Errorf("in quarantine, the harmful and a sound request (-want +got)\n%s", diff)
		}
	}
}

// The network cuts all routers from all runners, again and again, while they serve the same request. The runners
// live on, and start again much later.
func TestNetworkThatRefusesConnectionsPutsSoundRequestsInQuarantine(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct{ runners, routers int }{
		"the only runner":          {runners: 1, routers: 1},
		"two runners":              {runners: 2, routers: 1},
		"two runners, two routers": {runners: 2, routers: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			begun := make(chan struct{}, 100)
			runners := f.addProcessRunners(tt.runners, func(*processRunner) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					begun <- struct{}{}
					time.Sleep(200 * time.Millisecond)
					w.Header().Set("X-Id", req.Header.Get("X-Id"))
					w.Header().Set("X-Sealed", "yes")
					fmt.Fprintf(w, "sound")
				})
			})
			cuts := make([]runnerCut, tt.routers)
			metrics := cicadaedge.NewMetrics()
			var host *node
			for i := range cuts {
				n := f.waitReady(f.startNode(fmt.Sprint("n", i), cuts[i].configure, withEntryInterval, func(cfg *cicadaedge.Config) {
					if i == 0 {
						cfg.Metrics = metrics
					}
				}))
				if i == 0 {
					host = n
				}
			}
			eventually(t, "the host knows the others", func() bool { return host.RouterCount() == tt.routers })
			cutAll := func(kind cutKind) {
				for i := range cuts {
					cuts[i].begin(kind)
				}
			}
			for range 4 {
				var calls sync.WaitGroup
				for range tt.runners {
					calls.Go(func() { call(t, host, "/once/", nil, "sound") })
				}
				for range tt.runners {
					<-begun
				}
				cutAll(cutReset)
				calls.Wait()
				time.Sleep(time.Second)
				cutAll(noCut)
				time.Sleep(entryInterval)
			}
			time.Sleep(5 * time.Second) // until entries were read that the runners wrote after the last cut
			for _, r := range runners {
				r.end()
				r.start(0)
			}
			time.Sleep(4 * entryInterval)
			if diff := gocmp.Diff([]int64{0, 0}, []int64{metrics.Crashes.Value(), metrics.Blocks.Value()}); diff != "" {
				t.Errorf("crashes and blocks (-want +got)\n%s", diff)
			}
			if got := call(t, host, "/once/", nil, "sound"); got.status != http.StatusOK {
				t.Errorf("status %d, body %q, want it served", got.status, got.body)
			}
		})
	}
}

// The request crashes its runner after the router has given it up, or its caller has left.
func TestRequestThatCrashesItsRunnerLateIsForwardedAgainAndAgain(t *testing.T) {
	t.Parallel()
	const (
		timeLimit  = 600 * time.Millisecond
		crashAfter = 400 * time.Millisecond
	)
	for name, soundInterval := range map[string]time.Duration{"beside other requests": 30 * time.Millisecond, "alone": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			crashes := crashLog{late: map[string]bool{}}
			f.addProcessRunners(4, func(r *processRunner) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					body, _ := io.ReadAll(req.Body) // the router may have left
					if string(body) == "harmful" {
						crashes.record(req.Header.Get("X-Id"))
						time.Sleep(crashAfter)
						r.end()
						time.AfterFunc(commonCrashDown, func() { r.startAs(successor{}) })
						abortConnection()
					}
					w.Header().Set("X-Id", req.Header.Get("X-Id"))
					w.Header().Set("X-Sealed", "yes")
					fmt.Fprintf(w, "sound")
				})
			})
			nodes := f.startNodes(2, withEntryInterval)
			stop := make(chan struct{})
			var calls sync.WaitGroup
			calls.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(soundInterval):
					}
					calls.Go(func() { call(t, nodes[i%len(nodes)], "/again/", nil, fmt.Sprint("sound", i)) })
				}
			})
			i := 0
			for begin := time.Now(); time.Since(begin) < commonCrashTime; time.Sleep(commonCrashInterval) {
				call(t, nodes[i%len(nodes)], "/again/", map[string]string{"X-Patience": fmt.Sprint(timeLimit.Milliseconds())}, "harmful")
				i++
			}
			close(stop)
			calls.Wait()
			crashes.mu.Lock()
			defer crashes.mu.Unlock()
			if late := len(crashes.late); late > maxLateArrivals {
				t.Errorf("%d retries reached runners later than %v after the third crash, want at most %d; %d arrivals in all",
					late, quarantinePeriod, maxLateArrivals, len(crashes.crashes))
			}
		})
	}
}

// The store shows the writes of runners as long as they warm up, and later only those that change more than their
// number. Then responses break off.
func TestRunnerWhoseWritesAreNotShownCountsAsCrashed(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	runners := f.addProcessRunners(2, func(*processRunner) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("X-Id", req.Header.Get("X-Id"))
			w.Header().Set("X-Sealed", "yes")
			if body, _ := io.ReadAll(req.Body); string(body) == "broken" { // the router may have left
				w.WriteHeader(http.StatusOK)
				abortConnection()
			}
			fmt.Fprintf(w, "sound")
		})
	})
	metrics := cicadaedge.NewMetrics()
	n := f.waitReady(f.startNode("n1", withEntryInterval, func(cfg *cicadaedge.Config) { cfg.Metrics = metrics }))
	time.Sleep(3 * entryInterval)
	for _, r := range runners {
		r.mu.Lock()
		r.hidden = true
		r.mu.Unlock()
	}
	callFor := func(d time.Duration) {
		for begin := time.Now(); time.Since(begin) < d; time.Sleep(20 * time.Millisecond) {
			call(t, n, "/again/", nil, "sound")
		}
	}
	callFor(10 * entryInterval)
	for range 2 {
		call(t, n, "/again/", nil, "broken")
		callFor(5 * entryInterval)
	}
	if diff := gocmp.Diff("0", metrics.Crashes.String()); diff != "" {
		t.Errorf("crashes (-want +got)\n%s", diff)
	}
}
