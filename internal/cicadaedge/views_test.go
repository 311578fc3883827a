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

func drawn(t *testing.T, f *fleet, org string) cicadabudget.Units {
	t.Helper()
	var p cicadabudget.Pool
	if err := json.Unmarshal(f.store.get(cicadastore.Ref{Table: "pools", Key: org}).Value, &p); err != nil {
		t.Fatal(err)
	}
	return p.Drawn
}

// TestConfigurationNeverStepsBack writes an older version, and one that cannot
// be read, after a newer one.
func TestConfigurationNeverStepsBack(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuses)
	n := f.ready(f.node("n1"))
	f.doc.Version = 7
	f.publish()
	eventually(t, "version 7 is in force", func() bool { return n.ConfigVersion() == 7 })
	f.doc.Version = 5
	f.publish()
	f.store.putRaw(tableDeploy, "config", []byte("{broken"))
	f.store.mu.Lock()
	f.store.lostAll = true
	f.store.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	if got := n.ConfigVersion(); got != 7 {
		t.Errorf("version %d is in force", got)
	}
}

// TestRemovedKey checks that a key that a new version drops is refused.
func TestRemovedKey(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	n := f.ready(f.node("n1"))
	f.doc.Version, f.doc.Organisations[0].Keys = 2, nil
	f.publish()
	eventually(t, "version 2 is in force", func() bool { return n.ConfigVersion() == 2 })
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusUnauthorized {
		t.Errorf("status %d", got.status)
	}
}

// TestStaleConfigurationDeniesNothing cuts a router off for longer than a change
// may take: it can no longer say that a key does not exist.
func TestStaleConfigurationDeniesNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuses)
	n := f.ready(f.node("n1"))
	n.view.down.Store(true)
	time.Sleep(1700 * time.Millisecond)
	if got := call(t, n, "/once/", map[string]string{"X-Key": "new"}, ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d on a configuration that may be old", got.status)
	}
}

// TestRouterTurnedAwayLearnsFromOthers keeps the store from one router while a
// key is taken away.
func TestRouterTurnedAwayLearnsFromOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuses)
	n1, n2 := f.ready(f.node("n1")), f.ready(f.node("n2"))
	eventually(t, "the routers know each other", func() bool { return n1.RouterCount() == 2 && n2.RouterCount() == 2 })
	n2.view.down.Store(true)
	f.doc.Version, f.doc.Organisations[0].Keys = 2, []string{"k2"}
	f.publish()
	eventually(t, "the other router has version 2", func() bool { return n2.ConfigVersion() == 2 })
}

// TestRunnersThatLeave checks the words by which a runner leaves.
func TestRunnersThatLeave(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	first, second := f.addRunner(nil), f.addRunner(nil)
	first.does(first.answer("first"))
	second.does(second.answer("second"))
	n := f.ready(f.node("n1"))
	f.enter(first, true)
	eventually(t, "the leaving runner gets nothing", func() bool {
		before := first.runs.Load()
		for range 5 {
			call(t, n, "/once/", nil, "")
		}
		return first.runs.Load() == before
	})
	f.store.putRaw(tableRunners, "foreign", []byte(`{"Service": 7`))
	f.store.removeRunner(second.id)
	eventually(t, "both are gone", func() bool { return call(t, n, "/once/", nil, "").status == http.StatusServiceUnavailable })
}

// TestEntriesThatLapseInAnOutage removes an entry while the store is away: the
// runner stays in use until the entry had time to come back.
func TestEntriesThatLapseInAnOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	n := f.ready(f.node("n1"))
	n.view.down.Store(true)
	time.Sleep(700 * time.Millisecond)
	f.store.removeRunner(r.id)
	n.view.down.Store(false)
	time.Sleep(250 * time.Millisecond)
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusOK {
		t.Errorf("status %d within the time for entries to come back", got.status)
	}
	eventually(t, "the runner is dropped when its entry does not come back", func() bool { return len(n.Runners()) == 0 })
}

// TestRunnerThatLeftDuringACutGetsNothingLater cuts a router off, lets its runner
// leave meanwhile, and watches until when requests reach it.
func TestRunnerThatLeftDuringACutGetsNothingLater(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	const (
		hold = 600 * time.Millisecond
		// slack is for the router to note that the store answers, and for the request.
		slack = 400 * time.Millisecond
	)
	n := f.ready(f.node("n1", func(cfg *cicadaedge.Config) { cfg.HoldPeriod = hold }))
	n.view.down.Store(true)
	time.Sleep(700 * time.Millisecond)
	f.store.removeRunner(r.id)
	n.view.down.Store(false)
	back := time.Now()
	var last time.Duration
	for time.Since(back) < hold+slack+time.Second {
		sent := time.Since(back)
		if call(t, n, "/once/", nil, "").status == http.StatusOK {
			last = sent
		}
		time.Sleep(20 * time.Millisecond)
	}
	if last > hold+slack {
		t.Errorf("a request reached the runner %v after the cut, want none after %v", last, hold+slack)
	}
}

// TestUnreadableEntryEndsAHold writes an entry that names no runner while the runner
// is held.
func TestUnreadableEntryEndsAHold(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	n := f.ready(f.node("n1", func(cfg *cicadaedge.Config) { cfg.HoldPeriod = time.Minute }))
	n.view.down.Store(true)
	time.Sleep(700 * time.Millisecond)
	f.store.removeRunner(r.id)
	n.view.down.Store(false)
	eventually(t, "the runner is held", func() bool { list := n.Runners(); return len(list) == 1 && list[0].Held })
	f.store.putRaw(tableRunners, r.id, []byte(`{"Service": 7`))
	eventually(t, "the runner is gone", func() bool { return len(n.Runners()) == 0 })
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d from a runner whose entry cannot be read", got.status)
	}
}

// TestReusedAddress gives a runner's address to another one.
func TestReusedAddress(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	n := f.ready(f.node("n1"))
	r.id = "other" // the process at the address is another runner now
	got := call(t, n, "/once/", nil, "order")
	if got.status != http.StatusServiceUnavailable || r.runs.Load() != 0 {
		t.Errorf("status %d, %d runs at a runner that was not meant", got.status, r.runs.Load())
	}
}

// TestBudgetHoldsOverRoutersAndRestarts sends more than the budget allows
// through three routers of which one ends and comes back.
func TestBudgetHoldsOverRoutersAndRestarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	nodes := []*node{f.ready(f.node("n1")), f.ready(f.node("n2")), f.ready(f.node("n3"))}
	var served atomic.Int64
	spend := func(times int) {
		var wg sync.WaitGroup
		for i := range times {
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
	nodes[1] = f.ready(f.node("n2"))
	spend(120)
	// One token of output is delivered by an answer without events.
	if used := served.Load() * 701; used > 100_000 {
		t.Errorf("%d units were used of 100000", used)
	}
	if got := served.Load(); got < 97_000/750 {
		t.Errorf("only %d requests were served of a budget for %d", got, 100_000/750)
	}
}

// TestStoreThatIsSlowAsARule draws from a store whose answers usually take long: it
// counts as reached, so that nobody else is asked for units. Once an answer takes
// much longer than that, it does not.
func TestStoreThatIsSlowAsARule(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	var lost atomic.Int64
	count := log.HandlerFunc(func(e *log.Entry) error {
		if e.Message == "bank lost the store" {
			lost.Add(1)
		}
		return nil
	})
	n := f.node("n1", func(cfg *cicadaedge.Config) {
		cfg.Log = &log.Logger{Handler: count, Level: log.InfoLevel}
		cfg.Store.(*storeView).delay.Store(int64(150 * time.Millisecond))
	})
	f.ready(n)
	for range 5 {
		call(t, n, "/once/", map[string]string{"X-Tokens": "700,50"}, "")
		time.Sleep(300 * time.Millisecond)
	}
	before := lost.Load()
	if before > 1 {
		t.Errorf("the store counted as lost %d times, at most the first answer can be a surprise", before)
	}
	n.view.delay.Store(int64(3 * time.Second))
	eventually(t, "an answer is late", func() bool {
		call(t, n, "/once/", map[string]string{"X-Tokens": "7000,50"}, "")
		return lost.Load() > before
	})
}

// TestOutageIsServedFromUnitsHeld takes the store away: requests go on, and what
// is not covered is refused as not run, with a time to come back.
func TestOutageIsServedFromUnitsHeld(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	n := f.ready(f.node("n1"))
	eventually(t, "units are held", func() bool { return n.Accounts()[0].Free > 0 })
	n.view.down.Store(true)
	eventually(t, "the bank has noticed", func() bool {
		return call(t, n, "/once/", map[string]string{"X-Tokens": "99000,0"}, "").status == http.StatusServiceUnavailable
	})
	if got := call(t, n, "/once/", map[string]string{"X-Tokens": "100,0"}, ""); got.status != http.StatusOK {
		t.Errorf("status %d of a request that the held units cover", got.status)
	}
	began := time.Now()
	got := call(t, n, "/once/", map[string]string{"X-Tokens": "99000,0"}, "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || time.Since(began) > 200*time.Millisecond {
		t.Errorf("status %d, Retry-After %q after %v", got.status, got.header.Get("Retry-After"), time.Since(began))
	}
}

// TestPromptsOfTwoRoutersDoNotMeet sends long prompts through two routers at
// once: the desk that sees both gives them to different runners.
func TestPromptsOfTwoRoutersDoNotMeet(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var most [2]atomic.Int64
	for i := range 2 {
		var at atomic.Int64
		f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
			if n := at.Add(1); n > most[i].Load() {
				most[i].Store(n)
			}
			defer at.Add(-1)
			time.Sleep(300 * time.Millisecond)
			events(w, 1, 3)
		})
	}
	n1, n2 := f.ready(f.node("n1")), f.ready(f.node("n2"))
	eventually(t, "the routers know each other", func() bool { return n1.RouterCount() == 2 && n2.RouterCount() == 2 })
	var wg sync.WaitGroup
	for i, n := range []*node{n1, n2} {
		wg.Go(func() {
			parts := []string{"a,b", "c,d"}[i]
			call(t, n, "/stream/", map[string]string{"X-Tokens": "20000,10", "X-Parts": parts}, "")
		})
	}
	wg.Wait()
	if diff := cmp.Diff([]int64{1, 1}, []int64{most[0].Load(), most[1].Load()}); diff != "" {
		t.Errorf("most prompts at a runner at once (-want +got):\n%s", diff)
	}
}

// TestNoConfigurationYet checks that a router without any configuration refuses
// as not run.
func TestNoConfigurationYet(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store = newMemoryStore()
	n := f.node("n1", func(*cicadaedge.Config) {})
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusServiceUnavailable || n.Ready() {
		t.Errorf("status %d, ready %v", got.status, n.Ready())
	}
}

// TestDeskThatDoesNotAnswer ends one of two routers, so that for about half of
// the prompts the desk is gone: they are placed all the same, in good time.
func TestDeskThatDoesNotAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3) })
	n1, n2 := f.ready(f.node("n1")), f.ready(f.node("n2"))
	eventually(t, "the routers know each other", func() bool { return n1.RouterCount() == 2 && n2.RouterCount() == 2 })
	n2.stop()
	for _, parts := range []string{"a,b", "c,d", "e,f", "g,h", "i,j"} {
		began := time.Now()
		got := call(t, n1, "/stream/", map[string]string{"X-Tokens": "100,10", "X-Parts": parts}, "")
		if took := time.Since(began); got.status != http.StatusOK || got.err != nil || took > time.Second {
			t.Errorf("parts %s: status %d, error %v, after %v", parts, got.status, got.err, took)
		}
	}
}

// TestSettingsApplyToARunningRouter lowers the age at which a configuration says
// nothing about what is missing.
func TestSettingsApplyToARunningRouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuses)
	n := f.ready(f.node("n1"))
	if got := call(t, n, "/other/", nil, "").status; got != http.StatusNotFound {
		t.Errorf("status %d of a path without a route", got)
	}
	n.ApplySettings(cicadaedge.RuntimeSettings{ConfigDeadline: time.Nanosecond})
	if got := call(t, n, "/other/", nil, "").status; got != http.StatusServiceUnavailable {
		t.Errorf("status %d when no view is fresh enough", got)
	}
}

// TestOneRouterHearsThatARunnerIsGone has one router meet a runner whose address
// belongs to another one: the router that places for both sends nobody there
// again.
func TestOneRouterHearsThatARunnerIsGone(t *testing.T) {
	for first := range 2 {
		t.Run(fmt.Sprint("router ", first+1, " meets it"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			gone, stays := f.addRunner(nil), f.addRunner(nil)
			stays.does(func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3) })
			nodes := []*node{f.node("n1"), f.node("n2")}
			for _, n := range nodes {
				f.ready(n)
				eventually(t, "the routers know each other", func() bool { return n.RouterCount() == 2 })
			}
			var met atomic.Int64
			gone.does(func(w http.ResponseWriter, _ *http.Request) {
				met.Add(1)
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
			})
			send := func(n *node, i int) {
				call(t, n, "/stream/", map[string]string{"X-Tokens": "200,10", "X-Parts": fmt.Sprintf("a%d,b%d", i, i)}, "")
			}
			for i := 0; met.Load() == 0 && i < 40; i++ {
				send(nodes[first], i)
			}
			eventually(t, "the note has arrived", func() bool { return met.Load() == 1 })
			time.Sleep(100 * time.Millisecond)
			for i := range 20 {
				send(nodes[1-first], 100+i)
			}
			if diff := cmp.Diff(int64(1), met.Load()); diff != "" {
				t.Errorf("requests sent there (-want +got):\n%s", diff)
			}
		})
	}
}
