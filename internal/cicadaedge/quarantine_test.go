package cicadaedge_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/google/go-cmp/cmp"
)

const (
	// maxCrashesBeforeQuarantine is the number of crashes after which requests that cause them have to
	// be recognised, and quarantinePeriod the time that this may take.
	maxCrashesBeforeQuarantine = 5
	maxCrashesOfARequest       = 3
	quarantinePeriod           = 3 * time.Second
	// maxLateArrivals is the number of such requests that may reach runners later.
	maxLateArrivals = 3
	// runnerRestart is how long a crashed runner is away.
	runnerRestart = 400 * time.Millisecond
)

// crashingRunners are runners that end when they begin to answer a request with a harmful header,
// and come back under another id.
type crashingRunners struct {
	fleet   *fleet
	harmful func(req *http.Request) bool
	answer  http.HandlerFunc // to sound requests

	mu       sync.Mutex // guards the fields below
	arrivals []time.Time
	crashes  []time.Time
}

func (f *fleet) addCrashingRunners(count int, harmful func(req *http.Request) bool) *crashingRunners {
	c := &crashingRunners{fleet: f, harmful: harmful, answer: func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "id: 1\ndata: sound\n\n")
	}}
	for range count {
		c.addRunner()
	}
	return c
}

func (c *crashingRunners) addRunner() {
	r := c.fleet.addRunner(nil)
	var ended sync.Once // two harmful requests may begin at the same moment
	r.setHandler(func(w http.ResponseWriter, req *http.Request) {
		if !c.harmful(req) {
			c.answer(w, req)
			return
		}
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		ended.Do(func() {
			if err := r.Listener.Close(); err != nil {
				c.fleet.t.Error(err)
			}
			time.AfterFunc(runnerRestart, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.fleet.store.removeRunner(r.id)
				c.addRunner()
			})
		})
		r.CloseClientConnections()
	})
}

func (c *crashingRunners) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// lateArrivals returns the number of harmful requests that reached runners later than
// quarantinePeriod after a number of crashes.
func (c *crashingRunners) lateArrivals(crashes int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for _, at := range c.arrivals {
		if len(c.crashes) >= crashes && at.Sub(c.crashes[crashes-1]) > quarantinePeriod {
			late++
		}
	}
	return late
}

// outcomes counts responses by kind of request and status; a broken one has status 0.
type outcomes struct {
	mu sync.Mutex
	by map[string]map[int]int
}

func (o *outcomes) add(kind string, r response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.by == nil {
		o.by = map[string]map[int]int{}
	}
	if o.by[kind] == nil {
		o.by[kind] = map[int]int{}
	}
	if r.err != nil {
		r.status = 0
	}
	o.by[kind][r.status]++
}

func harmfulHeader() map[string]string {
	return map[string]string{"X-Tokens": "10,5", "X-Parts": "system,harmful,own"}
}

// sendUntilQuarantined sends a harmful request until the router refuses it.
func sendUntilQuarantined(t *testing.T, n *node, header map[string]string) {
	t.Helper()
	eventually(t, "the request is in quarantine", func() bool {
		time.Sleep(300 * time.Millisecond)
		return isQuarantined(call(t, n, "/stream/", header, "prompt"))
	})
}

func isQuarantined(r response) bool {
	return r.status == http.StatusServiceUnavailable && strings.Contains(r.body, string(cicadaedge.RefuseQuarantined))
}

func hasHarmfulPart(req *http.Request) bool {
	return strings.Contains(req.Header.Get("X-Parts"), "harmful")
}

// The sound requests have the same organisation and first part as those that crash runners.
func TestPromptPartCrashesRunnerAfterRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	runners := f.addCrashingRunners(8, hasHarmfulPart)
	nodes := f.startNodes(4)
	var (
		calls sync.WaitGroup
		got   outcomes
	)
	for i := range 120 {
		n := nodes[i%len(nodes)]
		for kind, parts := range map[string]string{
			"harmful": fmt.Sprintf("system,harmful,own%d", i), "sound": fmt.Sprintf("system,subject%d,own%d", i%3, i),
		} {
			calls.Go(func() {
				got.add(kind, call(t, n, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": parts}, "prompt"))
			})
		}
		time.Sleep(60 * time.Millisecond)
	}
	calls.Wait()
	if late := runners.lateArrivals(maxCrashesBeforeQuarantine); late > maxLateArrivals {
		t.Errorf("%d requests with the part reached runners later than %v after the fifth crash, want at most %d; %d crashes",
			late, quarantinePeriod, maxLateArrivals, runners.crashCount())
	}
	if served := got.by["sound"][http.StatusOK]; served < 90 {
		t.Errorf("sound requests by status: %v, want at least 90 of 120 served", got.by["sound"])
	}
	last := call(t, nodes[0], "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": "system,harmful,last"}, "prompt")
	if diff := cmp.Diff([]any{http.StatusServiceUnavailable, ""}, []any{last.status, last.header.Get("Retry-After")}); diff != "" {
		t.Errorf("status and Retry-After of a refused request (-want +got):\n%s", diff)
	}
}

// The sound requests have the same organisation and path as the one that crashes runners.
func TestRequestCrashesRunnerAfterRunner(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/", "/once/", "/again/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			runners := f.addCrashingRunners(8, func(req *http.Request) bool {
				body, _ := io.ReadAll(req.Body)
				return string(body) == "harmful"
			})
			nodes := f.startNodes(4)
			var (
				calls sync.WaitGroup
				got   outcomes
			)
			for i := range 100 {
				n := nodes[i%len(nodes)]
				for kind, body := range map[string]string{"harmful": "harmful", "sound": fmt.Sprint("sound", i)} {
					calls.Go(func() { got.add(kind, call(t, n, path, nil, body)) })
				}
				time.Sleep(60 * time.Millisecond)
			}
			calls.Wait()
			if late := runners.lateArrivals(maxCrashesOfARequest); late > maxLateArrivals {
				t.Errorf("the request reached runners %d times later than %v after the third crash, want at most %d; %d crashes",
					late, quarantinePeriod, maxLateArrivals, runners.crashCount())
			}
			if served := got.by["sound"][http.StatusOK]; served < 75 {
				t.Errorf("sound requests by status: %v, want at least 75 of 100 served", got.by["sound"])
			}
		})
	}
}

// stoppedFleetWithQuarantine returns a fleet whose routers have put requests in quarantine and ended.
func stoppedFleetWithQuarantine(t *testing.T) (*fleet, *crashingRunners) {
	t.Helper()
	f := newFleet(t)
	runners := f.addCrashingRunners(4, hasHarmfulPart)
	nodes := f.startNodes(2)
	sendUntilQuarantined(t, nodes[0], harmfulHeader())
	for _, n := range nodes {
		n.stop()
	}
	return f, runners
}

func checkQuarantined(t *testing.T, n *node) {
	t.Helper()
	if got := call(t, n, "/stream/", harmfulHeader(), "prompt"); !isQuarantined(got) {
		t.Errorf("status %d, body %q, want a refusal", got.status, got.body)
	}
}

// TestRestartedRouterForgetsQuarantine starts a router after all others have ended.
func TestRestartedRouterForgetsQuarantine(t *testing.T) {
	t.Parallel()
	f, runners := stoppedFleetWithQuarantine(t)
	before := runners.crashCount()
	n := f.startNode("n0")
	eventually(t, "the router is ready", n.Ready)
	checkQuarantined(t, n)
	if after := runners.crashCount(); after != before {
		t.Errorf("%d crashes after the restart", after-before)
	}
}

// All routers have restarted. One of them gets its view from another one, which has not read the crashes yet.
func TestRestartedRouterServesBeforeItKnowsTheQuarantine(t *testing.T) {
	t.Parallel()
	f, runners := stoppedFleetWithQuarantine(t)
	harmful, before := harmfulHeader(), runners.crashCount()
	reader := f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.Store.(*storeClient).crashesDown.Store(true) })
	follower := f.startNode("n0", func(cfg *cicadaedge.Config) {
		cfg.Runtime.Seeds = []string{reader.peerAddr}
		cfg.Store.(*storeClient).down.Store(true)
	})
	eventually(t, "the follower has the view of the other router", func() bool { return len(follower.Runners()) > 0 && follower.ConfigVersion() > 0 })
	time.Sleep(time.Second)
	for _, n := range []*node{reader, follower} {
		if got := call(t, n, "/stream/", harmful, "prompt"); got.status != http.StatusServiceUnavailable || n.Ready() {
			t.Errorf("ready %v, status %d, body %q, want a refusal", n.Ready(), got.status, got.body)
		}
	}
	reader.store.crashesDown.Store(false)
	for _, n := range []*node{reader, follower} {
		eventually(t, "the router is ready", n.Ready)
		checkQuarantined(t, n)
	}
	if after := runners.crashCount(); after != before {
		t.Errorf("%d crashes after the restart", after-before)
	}
}

func TestRouterCutFromTheStoreForwardsWhatCrashesRunners(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	runners := f.addCrashingRunners(4, hasHarmfulPart)
	nodes := f.startNodes(2)
	nodes[1].store.down.Store(true)
	harmful := harmfulHeader()
	sendUntilQuarantined(t, nodes[0], harmful)
	time.Sleep(quarantinePeriod)
	before := runners.crashCount()
	for range 3 {
		checkQuarantined(t, nodes[1])
	}
	if after := runners.crashCount(); after != before {
		t.Errorf("%d crashes by requests to the router that is cut off", after-before)
	}
}

// The router starts while it does not reach the store, so that it has its view and the time from another one.
func TestRouterThatNeverReachedTheStoreForwardsWhatCrashesRunners(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addCrashingRunners(4, hasHarmfulPart)
	other := f.startNodes(1)[0]
	n := f.startNode("n1", func(cfg *cicadaedge.Config) {
		cfg.Runtime.Seeds = []string{other.peerAddr}
		cfg.Store.(*storeClient).down.Store(true)
	})
	eventually(t, "the router has its view from the other one", n.Ready)
	sendUntilQuarantined(t, n, map[string]string{"X-Parts": "system,harmful,own"}) // it holds no units
}

func TestQuarantineThatAnOperatorLifts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var repaired atomic.Bool
	f.addCrashingRunners(4, func(req *http.Request) bool { return !repaired.Load() && hasHarmfulPart(req) })
	nodes := f.startNodes(2)
	harmful := harmfulHeader()
	sendUntilQuarantined(t, nodes[0], harmful)
	repaired.Store(true)
	var blocks []cicadaquarantine.Block
	eventually(t, "the quarantine is in the store", func() bool {
		var err error
		if blocks, err = cicadaedge.ReadQuarantine(t.Context(), nodes[0].store); err != nil {
			t.Fatal(err)
		}
		return len(blocks) > 0
	})
	if err := cicadaedge.LiftQuarantine(t.Context(), nodes[0].store, blocks[0].Traits[0]); err != nil {
		t.Error(err)
	}
	eventually(t, "the request is served", func() bool {
		time.Sleep(100 * time.Millisecond)
		return call(t, nodes[0], "/stream/", harmful, "prompt").status == http.StatusOK
	})
	if err := cicadaedge.LiftQuarantine(t.Context(), nodes[0].store, "part:system"); err == nil {
		t.Error("a trait that is not in quarantine was lifted")
	}
}

func TestEndOfADrainingRunnerCountsAsACrash(t *testing.T) {
	t.Parallel()
	for draining, want := range map[bool]string{false: "1", true: "0"} {
		f := newFleet(t)
		var metrics *cicadaedge.Metrics
		began := make(chan struct{})
		other := f.addRunner(nil) // shows that the network does not refuse connections
		other.service = "other"
		f.putEntry(other, false)
		r := f.addRunner(nil)
		r.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			close(began)
			time.Sleep(time.Second)
		})
		n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { metrics = cfg.Metrics }))
		done := make(chan struct{})
		go func() {
			defer close(done)
			call(t, n, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": "system,own"}, "prompt")
		}()
		<-began
		if draining {
			f.putEntry(r, true)
			eventually(t, "the router knows that the runner drains", func() bool {
				return slices.ContainsFunc(n.Runners(), func(s cicadaplace.RunnerState) bool { return s.ID == r.id && s.Draining })
			})
		}
		if err := r.Listener.Close(); err != nil {
			t.Error(err)
		}
		r.CloseClientConnections()
		<-done
		time.Sleep(300 * time.Millisecond) // until the runner was dialled
		if diff := cmp.Diff(want, metrics.Crashes.String()); diff != "" {
			t.Errorf("crashes, draining %v (-want +got):\n%s", draining, diff)
		}
	}
}

// The harmful requests share only their first part, which the sound ones have too.
func TestAnswersThatEndWithTheirConnectionClearNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	runners := f.addCrashingRunners(6, hasHarmfulPart)
	runners.answer = func(w http.ResponseWriter, req *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sealed: yes\r\n\r\nid: 1\ndata: sound\n\n", req.Header.Get("X-Id"))
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
	n := f.waitReady(f.startNode("n1"))
	for i := range 4 {
		call(t, n, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": fmt.Sprintf("system,harmful%d,own", i)}, fmt.Sprint("harmful", i))
		time.Sleep(runnerRestart)
		sound := map[string]string{"X-Tokens": "10,5", "X-Parts": "system,subject,own"}
		if got := call(t, n, "/stream/", sound, fmt.Sprint("sound", i)); isQuarantined(got) {
			t.Errorf("sound request after %d crashes refused: %s", i+1, got.body)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// The harmful part comes after more shared parts than most prompts have.
func TestLatePartOfALongPromptCrashesRunnerAfterRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addCrashingRunners(4, hasHarmfulPart)
	n := f.waitReady(f.startNode("n1"))
	for i := range 6 {
		parts := []string{}
		for j := range 40 {
			parts = append(parts, fmt.Sprintf("shared%d-%d", i, j))
		}
		header := map[string]string{"X-Tokens": "10,5", "X-Parts": strings.Join(append(parts, "harmful", "own"), ",")}
		got := call(t, n, "/stream/", header, fmt.Sprint("body", i))
		if i >= maxCrashesBeforeQuarantine && !isQuarantined(got) {
			t.Errorf("request %d: status %d, body %q, want a refusal", i, got.status, got.body)
		}
		time.Sleep(2 * runnerRestart)
	}
}

// The only router that saw the crashes has ended when the store is restored from an older backup.
func TestRestoredStoreForgetsQuarantine(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addCrashingRunners(4, hasHarmfulPart)
	nodes := f.startNodes(2)
	f.store.takeBackup()
	sendUntilQuarantined(t, nodes[0], harmfulHeader())
	sendUntilQuarantined(t, nodes[1], harmfulHeader())
	nodes[0].stop()
	f.store.restore()
	time.Sleep(2 * time.Second) // until the other router has written what it knows
	n := f.startNode("n2")
	eventually(t, "the router is ready", n.Ready)
	if got := call(t, n, "/stream/", harmfulHeader(), "prompt"); !isQuarantined(got) {
		t.Errorf("status %d, body %q, want a refusal", got.status, got.body)
	}
}

// The router starts in an outage, and the table of crashes is the last one that it can read.
func TestRouterThatCannotReadItsCrashesOverwritesThem(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addCrashingRunners(4, hasHarmfulPart)
	nodes := f.startNodes(2)
	row := cicadastore.Ref{Table: "crashes", Key: "n0"}
	f.store.put(row.Table, row.Key, cicadaquarantine.Report{Crashes: []cicadaquarantine.Crash{{Runner: "earlier", AtMillis: time.Now().UnixMilli()}}})
	nodes[0].stop()
	n := f.startNode("n0", func(cfg *cicadaedge.Config) {
		cfg.Runtime.Seeds = []string{nodes[1].peerAddr}
		cfg.Store.(*storeClient).crashesDown.Store(true)
		cfg.Store.(*storeClient).down.Store(true)
	})
	eventually(t, "the router has its view from another one", n.Ready)
	n.store.down.Store(false)
	time.Sleep(time.Second) // until the time of the store is known
	for i := range 3 {
		call(t, n, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": fmt.Sprintf("system,harmful,own%d", i)}, "prompt")
		time.Sleep(500 * time.Millisecond)
	}
	if value := string(f.store.get(row).Value); !strings.Contains(value, "earlier") {
		t.Errorf("the row lacks the crash of the earlier process: %s", value)
	}
}

// TestBrokenConnectionsPutNothingInQuarantine breaks answers of runners that go on.
func TestBrokenConnectionsPutNothingInQuarantine(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for range 3 {
		f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			abortConnection()
		})
	}
	n := f.waitReady(f.startNode("n1"))
	for i := range 12 {
		got := call(t, n, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": fmt.Sprintf("system,own%d", i)}, "prompt")
		if isQuarantined(got) {
			t.Fatalf("request %d refused: %s", i, got.body)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// The only router that gets harmful requests does not reach the runners itself.
func TestRelayedRequestsCrashRunnerAfterRunner(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]cutKind{"refused": cutReset, "silent": cutSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			runners := f.addCrashingRunners(8, hasHarmfulPart)
			var cut runnerCut
			host := f.waitReady(f.startNode("n1", cut.configure))
			f.waitReady(f.startNode("n2"))
			eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
			cut.begin(kind)
			var calls sync.WaitGroup
			for i := range 40 {
				calls.Go(func() {
					call(t, host, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": fmt.Sprintf("system,harmful,own%d", i)}, "prompt")
				})
				time.Sleep(200 * time.Millisecond)
			}
			calls.Wait()
			if late := runners.lateArrivals(maxCrashesBeforeQuarantine); late > maxLateArrivals {
				t.Errorf("%d harmful requests reached runners later than %v after the crash %d, want at most %d; %d crashes",
					late, quarantinePeriod, maxCrashesBeforeQuarantine, maxLateArrivals, runners.crashCount())
			}
		})
	}
}
