package cicadaedge_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

// newTwoCentreRunners adds a runner in data centre p and one in data centre q to a fleet. It returns
// the one in p.
func newTwoCentreRunners(f *fleet) *runner {
	p, q := f.addRunner(nil), f.addRunner(nil)
	p.setHandler(p.respondWith("p"))
	q.setHandler(q.respondWith("q"))
	q.dataCentre = "q"
	f.putEntry(q, false)
	return p
}

// callAll sends requests and returns the number of successful responses by body.
func callAll(t *testing.T, n *node, count int) map[string]int {
	t.Helper()
	out := map[string]int{}
	for range count {
		if got := call(t, n, "/once/", nil, ""); got.status == http.StatusOK {
			out[got.body]++
		} else {
			out[strconv.Itoa(got.status)]++
		}
	}
	return out
}

// TestEvacuatedDataCentreGetsNothing evacuates one data centre, then all, and ends the evacuations.
// An undecodable row is ignored.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	newTwoCentreRunners(f)
	n := f.waitReady(f.startNode("n1"))
	f.store.putRaw(tableDeploy, "evacuate/q", []byte("{broken"))
	f.store.put(tableDeploy, "evacuate/p", struct{}{})
	eventually(t, "data centre p is evacuated", func() bool { return callAll(t, n, 1)["q"] == 1 })
	if diff := cmp.Diff(map[string]int{"q": 20}, callAll(t, n, 20)); diff != "" {
		t.Errorf("responses while data centre p is evacuated (-want +got):\n%s", diff)
	}
	f.store.put(tableDeploy, "evacuate/q", struct{}{})
	eventually(t, "all data centres are evacuated", func() bool { return callAll(t, n, 1)["503"] == 1 })
	startedAt := time.Now()
	if got := call(t, n, "/once/", nil, ""); got.header.Get("Retry-After") == "" || time.Since(startedAt) > time.Second {
		t.Errorf("refused after %v with Retry-After %q, want a refusal at once that says when to retry", time.Since(startedAt), got.header.Get("Retry-After"))
	}
	f.store.remove(tableDeploy, "evacuate/p")
	eventually(t, "data centre p is in use again", func() bool { return callAll(t, n, 1)["p"] == 1 })
}

// TestEvacuationReachesARouterWithoutStore evacuates a data centre while one router cannot reach the
// store. It must get the evacuation from another router, and keep to it when the store is back.
func TestEvacuationReachesARouterWithoutStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	newTwoCentreRunners(f)
	n1, n2 := f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2"))
	eventually(t, "the routers know each other", func() bool { return n1.RouterCount() == 2 && n2.RouterCount() == 2 })
	n2.store.down.Store(true)
	f.store.put(tableDeploy, "evacuate/p", struct{}{})
	eventually(t, "the router without the store keeps to the evacuation", func() bool { return callAll(t, n2, 4)["q"] == 4 })
	n2.store.down.Store(false)
	time.Sleep(500 * time.Millisecond)
	if diff := cmp.Diff(map[string]int{"q": 10}, callAll(t, n2, 10)); diff != "" {
		t.Errorf("responses after the outage (-want +got):\n%s", diff)
	}
}

// TestPromptsAvoidAnEvacuatedDataCentre checks the runners that a placement server chooses for another
// router, which is the one that knows of the evacuation.
func TestPromptsAvoidAnEvacuatedDataCentre(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	p := newTwoCentreRunners(f)
	n1, n2 := f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2"))
	eventually(t, "the routers know each other", func() bool { return n1.RouterCount() == 2 && n2.RouterCount() == 2 })
	f.store.put(tableDeploy, "evacuate/p", struct{}{})
	eventually(t, "both routers know of the evacuation", func() bool {
		return callAll(t, n1, 2)["q"] == 2 && callAll(t, n2, 2)["q"] == 2
	})
	before := p.runs.Load()
	for i := range 20 {
		for _, n := range []*node{n1, n2} {
			call(t, n, "/once/", map[string]string{"X-Tokens": "100,1", "X-Parts": "shared" + strconv.Itoa(i) + ",own"}, "")
		}
	}
	if runs := p.runs.Load() - before; runs != 0 {
		t.Errorf("%d prompts reached the evacuated data centre, want none", runs)
	}
}

// TestHomeRegions checks that requests of a route and an organisation with home regions reach runners
// in these regions only.
func TestHomeRegions(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	newTwoCentreRunners(f)
	f.doc.Routes[0].HomeRegions = []string{"north", "south"}
	f.doc.Organisations[0].HomeRegions = []string{"north"}
	f.doc.Routes = append([]cicadadeploy.Route(nil), f.doc.Routes...)
	f.publish()
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.Regions = map[string]string{"p": "south", "q": "north"} }))
	if diff := cmp.Diff(map[string]int{"q": 20}, callAll(t, n, 20)); diff != "" {
		t.Errorf("responses with home region north (-want +got):\n%s", diff)
	}
}
