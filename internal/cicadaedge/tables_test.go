package cicadaedge_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/google/go-cmp/cmp"
)

func drawnUnits(t *testing.T, f *fleet, org string) cicadabudget.Units {
	t.Helper()
	var p cicadabudget.Pool
	if err := json.Unmarshal(f.store.get(cicadastore.Ref{Table: "pools", Key: org}).Value, &p); err != nil {
		t.Fatal(err)
	}
	return p.Drawn
}

// TestConfigurationNeverStepsBack writes an older version and an undecodable one after a newer
// version. The newer version must stay in use.
func TestConfigurationNeverStepsBack(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuseNotRun)
	n := f.waitReady(f.startNode("n1"))
	f.doc.Version = 7
	f.publish()
	eventually(t, "version 7 is applied", func() bool { return n.ConfigVersion() == 7 })
	f.doc.Version = 5
	f.publish()
	f.store.putRaw(tableDeploy, "config", []byte("{broken"))
	f.store.mu.Lock()
	f.store.historyLost = true
	f.store.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	if got := n.ConfigVersion(); got != 7 {
		t.Errorf("version %d is applied, want 7", got)
	}
}

// TestRemovedKey checks that an API key is refused once a new version has removed it.
func TestRemovedKey(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	n := f.waitReady(f.startNode("n1"))
	f.doc.Version, f.doc.Organisations[0].Keys = 2, nil
	f.publish()
	eventually(t, "version 2 is applied", func() bool { return n.ConfigVersion() == 2 })
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusUnauthorized {
		t.Errorf("status %d", got.status)
	}
}

// TestStaleConfigurationDeniesNothing keeps a router from the store for longer than a change may
// take. It must no longer state that a key does not exist.
func TestStaleConfigurationDeniesNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuseNotRun)
	n := f.waitReady(f.startNode("n1"))
	n.store.down.Store(true)
	time.Sleep(1700 * time.Millisecond)
	if got := call(t, n, "/once/", map[string]string{"X-Key": "new"}, ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d with a stale configuration, want 503", got.status)
	}
}

// TestRouterTurnedAwayLearnsFromOthers makes the store unavailable to one router while a key is
// replaced. The router must get the change from another one.
func TestRouterTurnedAwayLearnsFromOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuseNotRun)
	n1, n2 := f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2"))
	eventually(t, "the routers know each other", func() bool { return n1.RouterCount() == 2 && n2.RouterCount() == 2 })
	n2.store.down.Store(true)
	f.doc.Version, f.doc.Organisations[0].Keys = 2, []string{"k2"}
	f.publish()
	eventually(t, "the router without the store has version 2", func() bool { return n2.ConfigVersion() == 2 })
}

// TestRunnersThatLeave checks that runners get no more requests once their entry is marked as
// draining or is removed.
func TestRunnersThatLeave(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	first, second := f.addRunner(nil), f.addRunner(nil)
	first.setHandler(first.respondWith("first"))
	second.setHandler(second.respondWith("second"))
	n := f.waitReady(f.startNode("n1"))
	f.putEntry(first, true)
	eventually(t, "the draining runner gets no requests", func() bool {
		before := first.runs.Load()
		for range 5 {
			call(t, n, "/once/", nil, "")
		}
		return first.runs.Load() == before
	})
	f.store.putRaw(tableRunners, "foreign", []byte(`{"Service": 7`))
	f.store.removeRunner(second.id)
	eventually(t, "neither runner is in use", func() bool { return call(t, n, "/once/", nil, "").status == http.StatusServiceUnavailable })
}

// TestEntriesThatLapseInAnOutage removes an entry while the store is unavailable. The runner must
// stay in use until the hold period is over, since the entry may be written again by then.
func TestEntriesThatLapseInAnOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	n := f.waitReady(f.startNode("n1"))
	n.store.down.Store(true)
	time.Sleep(700 * time.Millisecond)
	f.store.removeRunner(r.id)
	n.store.down.Store(false)
	time.Sleep(250 * time.Millisecond)
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusOK {
		t.Errorf("status %d within the hold period, want 200", got.status)
	}
	eventually(t, "the runner is dropped at the end of the hold period", func() bool { return len(n.Runners()) == 0 })
}

// TestRunnerThatLeftDuringACutGetsNothingLater removes a runner's entry while its router cannot
// reach the store, and checks that requests stop reaching the runner when the hold period is over.
func TestRunnerThatLeftDuringACutGetsNothingLater(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	const (
		hold = 600 * time.Millisecond
		// margin allows for the detection of the end of the outage and for the request itself.
		margin = 400 * time.Millisecond
	)
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.HoldPeriod = hold }))
	n.store.down.Store(true)
	time.Sleep(700 * time.Millisecond)
	f.store.removeRunner(r.id)
	n.store.down.Store(false)
	recoveredAt := time.Now()
	var last time.Duration
	for time.Since(recoveredAt) < hold+margin+time.Second {
		sent := time.Since(recoveredAt)
		if call(t, n, "/once/", nil, "").status == http.StatusOK {
			last = sent
		}
		time.Sleep(20 * time.Millisecond)
	}
	if last > hold+margin {
		t.Errorf("a request reached the runner %v after the outage, want none after %v", last, hold+margin)
	}
}

// TestUnreadableEntryEndsAHold writes an undecodable entry for a runner that is held after its
// entry was removed. The runner must be dropped.
func TestUnreadableEntryEndsAHold(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.HoldPeriod = time.Minute }))
	n.store.down.Store(true)
	time.Sleep(700 * time.Millisecond)
	f.store.removeRunner(r.id)
	n.store.down.Store(false)
	eventually(t, "the runner is held", func() bool { list := n.Runners(); return len(list) == 1 && list[0].Held })
	f.store.putRaw(tableRunners, r.id, []byte(`{"Service": 7`))
	eventually(t, "the runner is dropped", func() bool { return len(n.Runners()) == 0 })
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d from a runner with an undecodable entry, want 503", got.status)
	}
}

// TestReusedAddress gives the address of a runner to another one, which must not run the request.
func TestReusedAddress(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	n := f.waitReady(f.startNode("n1"))
	r.id = "other" // another runner's process has the address now
	got := call(t, n, "/once/", nil, "order")
	if got.status != http.StatusServiceUnavailable || r.runs.Load() != 0 {
		t.Errorf("status %d, %d runs at another runner, want 503 and none", got.status, r.runs.Load())
	}
}

// TestBudgetHoldsOverRoutersAndRestarts sends more requests than the budget allows through three
// routers, one of which is restarted.
func TestBudgetHoldsOverRoutersAndRestarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	nodes := []*node{f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2")), f.waitReady(f.startNode("n3"))}
	var served atomic.Int64
	spend := func(count int) {
		var wg sync.WaitGroup
		for i := range count {
			wg.Go(func() {
				if call(t, nodes[i%3], "/once/", map[string]string{"X-Tokens": "700,50"}, "").status == http.StatusOK {
					served.Add(1)
				}
			})
			if i%20 == 19 {
				wg.Wait()
			}
		}
		wg.Wait()
	}
	spend(60)
	nodes[1].stop()
	nodes[1] = f.waitReady(f.startNode("n2"))
	spend(120)
	// A response without events counts as one token of output.
	if used := served.Load() * 701; used > 100_000 {
		t.Errorf("%d units were used, the budget is 100000", used)
	}
	if got := served.Load(); got < 97_000/750 {
		t.Errorf("%d requests were served, the budget covers %d", got, 100_000/750)
	}
}

// TestUsuallySlowStoreCountsAsReachable uses a store that usually responds slowly. It must count
// as reachable, so that no other router is asked for units, until a response takes much longer
// than usual.
func TestUsuallySlowStoreCountsAsReachable(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	var outages atomic.Int64
	count := log.HandlerFunc(func(e *log.Entry) error {
		if e.Message == "store does not answer pool transactions" {
			outages.Add(1)
		}
		return nil
	})
	n := f.startNode("n1", func(cfg *cicadaedge.Config) {
		cfg.Log = &log.Logger{Handler: count, Level: log.InfoLevel}
		cfg.Store.(*storeClient).delay.Store(int64(150 * time.Millisecond))
	})
	f.waitReady(n)
	for range 5 {
		call(t, n, "/once/", map[string]string{"X-Tokens": "700,50"}, "")
		time.Sleep(300 * time.Millisecond)
	}
	before := outages.Load()
	if before > 1 {
		t.Errorf("the store counted as unreachable %d times, want at most 1, for the first response", before)
	}
	n.store.delay.Store(int64(3 * time.Second))
	eventually(t, "a response is late", func() bool {
		call(t, n, "/once/", map[string]string{"X-Tokens": "7000,50"}, "")
		return outages.Load() > before
	})
}

// TestRequestsInAStoreOutageUseUnitsHeld makes the store unavailable. Requests covered by held
// units are served; others are refused as not run, with a Retry-After.
func TestRequestsInAStoreOutageUseUnitsHeld(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	n := f.waitReady(f.startNode("n1"))
	eventually(t, "units are held", func() bool { return n.Accounts()[0].Free > 0 })
	n.store.down.Store(true)
	eventually(t, "the pool syncer has noticed the outage", func() bool {
		return call(t, n, "/once/", map[string]string{"X-Tokens": "99000,0"}, "").status == http.StatusServiceUnavailable
	})
	if got := call(t, n, "/once/", map[string]string{"X-Tokens": "100,0"}, ""); got.status != http.StatusOK {
		t.Errorf("status %d of a request that the held units cover, want 200", got.status)
	}
	startedAt := time.Now()
	got := call(t, n, "/once/", map[string]string{"X-Tokens": "99000,0"}, "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || time.Since(startedAt) > 200*time.Millisecond {
		t.Errorf("status %d, Retry-After %q after %v", got.status, got.header.Get("Retry-After"), time.Since(startedAt))
	}
}

// TestPromptsOfTwoRoutersGoToDifferentRunners sends long prompts through two routers at the same
// time. The placement server that sees both must assign them to different runners.
func TestPromptsOfTwoRoutersGoToDifferentRunners(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var maxInFlight [2]atomic.Int64
	for i := range 2 {
		var inFlight atomic.Int64
		f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
			if n := inFlight.Add(1); n > maxInFlight[i].Load() {
				maxInFlight[i].Store(n)
			}
			defer inFlight.Add(-1)
			time.Sleep(300 * time.Millisecond)
			writeEvents(w, 1, 3)
		})
	}
	n1, n2 := f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2"))
	eventually(t, "the routers know each other", func() bool { return n1.RouterCount() == 2 && n2.RouterCount() == 2 })
	var wg sync.WaitGroup
	for i, n := range []*node{n1, n2} {
		wg.Go(func() {
			parts := []string{"a,b", "c,d"}[i]
			call(t, n, "/stream/", map[string]string{"X-Tokens": "20000,10", "X-Parts": parts}, "")
		})
	}
	wg.Wait()
	if diff := cmp.Diff([]int64{1, 1}, []int64{maxInFlight[0].Load(), maxInFlight[1].Load()}); diff != "" {
		t.Errorf("maximum of concurrent prompts at each runner (-want +got):\n%s", diff)
	}
}

// TestRequestsBeforeTheFirstConfiguration checks that a router without a configuration refuses
// requests as not run.
func TestRequestsBeforeTheFirstConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store = newMemoryStore()
	n := f.startNode("n1", func(*cicadaedge.Config) {})
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusServiceUnavailable || n.Ready() {
		t.Errorf("status %d, ready %v", got.status, n.Ready())
	}
}

// TestPlacementServerDown stops one of two routers, so that the placement server of about half of
// the prompts is down. Their requests must still be served without much delay.
func TestPlacementServerDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
	n1, n2 := f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2"))
	eventually(t, "the routers know each other", func() bool { return n1.RouterCount() == 2 && n2.RouterCount() == 2 })
	n2.stop()
	for _, parts := range []string{"a,b", "c,d", "e,f", "g,h", "i,j"} {
		startedAt := time.Now()
		got := call(t, n1, "/stream/", map[string]string{"X-Tokens": "100,10", "X-Parts": parts}, "")
		if took := time.Since(startedAt); got.status != http.StatusOK || got.err != nil || took > time.Second {
			t.Errorf("parts %s: status %d, error %v, after %v", parts, got.status, got.err, took)
		}
	}
}

// TestSettingsApplyToARunningRouter lowers the age up to which a configuration proves that a route
// does not exist.
func TestSettingsApplyToARunningRouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuseNotRun)
	n := f.waitReady(f.startNode("n1"))
	if got := call(t, n, "/other/", nil, "").status; got != http.StatusNotFound {
		t.Errorf("status %d of a path without a route, want 404", got)
	}
	n.ApplySettings(cicadaedge.RuntimeSettings{ConfigDeadline: time.Nanosecond})
	if got := call(t, n, "/other/", nil, "").status; got != http.StatusServiceUnavailable {
		t.Errorf("status %d with a view that is too old, want 503", got)
	}
}

// TestOneRouterHearsThatARunnerIsGone lets one router meet a runner whose address now belongs to
// another one. The placement server of both routers must assign no more requests to it.
func TestOneRouterHearsThatARunnerIsGone(t *testing.T) {
	for first := range 2 {
		t.Run(fmt.Sprint("router ", first+1, " meets it"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			reassigned, healthy := f.addRunner(nil), f.addRunner(nil)
			healthy.setHandler(func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
			nodes := []*node{f.startNode("n1"), f.startNode("n2")}
			for _, n := range nodes {
				f.waitReady(n)
				eventually(t, "the routers know each other", func() bool { return n.RouterCount() == 2 })
			}
			var misdirected atomic.Int64
			reassigned.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				misdirected.Add(1)
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
			})
			send := func(n *node, i int) {
				call(t, n, "/stream/", map[string]string{"X-Tokens": "200,10", "X-Parts": fmt.Sprintf("a%d,b%d", i, i)}, "")
			}
			for i := 0; misdirected.Load() == 0 && i < 40; i++ {
				send(nodes[first], i)
			}
			eventually(t, "one request was misdirected", func() bool { return misdirected.Load() == 1 })
			time.Sleep(100 * time.Millisecond)
			for i := range 20 {
				send(nodes[1-first], 100+i)
			}
			if diff := cmp.Diff(int64(1), misdirected.Load()); diff != "" {
				t.Errorf("requests sent to the reassigned address (-want +got):\n%s", diff)
			}
		})
	}
}
