package cicadaedge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

const (
	// eraNeed is the most that a request of spendAt takes, eraUse what it uses: its
	// runner sends no events.
	eraNeed = 750
	eraUse  = 701
)

// spendAt sends requests to one router and returns how many were served.
func spendAt(t *testing.T, n *node, times int) (served int) {
	t.Helper()
	for range times {
		if call(t, n, "/once/", map[string]string{"X-Tokens": "700,50"}, "").status == http.StatusOK {
			served++
		}
	}
	return served
}

// spendAround sends requests to all routers before the store is copied, and more
// after it. It returns how many were served.
func spendAround(t *testing.T, f *fleet, nodes []*node) (served int) {
	t.Helper()
	for _, n := range nodes {
		served += spendAt(t, n, 5)
	}
	f.store.takeCopy()
	for _, n := range nodes {
		served += spendAt(t, n, 22)
	}
	return served
}

// useUpAt sends requests to all routers until none is served for a while, and
// returns how many were.
func useUpAt(t *testing.T, nodes []*node, idle time.Duration) (served int) {
	t.Helper()
	for last := time.Now(); time.Since(last) < idle; {
		for _, n := range nodes {
			if got := spendAt(t, n, 1); got > 0 {
				served += got
				last = time.Now()
			}
		}
	}
	return served
}

func eraFleet(t *testing.T) (*fleet, []*node) {
	t.Helper()
	f := newFleet(t)
	f.store.era = 1
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	return f, []*node{f.ready(f.node("n1", firstStart)), f.ready(f.node("n2", firstStart)), f.ready(f.node("n3", firstStart))}
}

// firstStart is the setting of a process of a system that starts for the first time.
func firstStart(cfg *cicadaedge.Config) { cfg.FirstStart = true }

// TestBudgetHoldsOverARestoredStore has the store forget what routers drew and
// used. All of them live: they use the budget up, and no more.
func TestBudgetHoldsOverARestoredStore(t *testing.T) {
	t.Parallel()
	f, nodes := eraFleet(t)
	served := spendAround(t, f, nodes)
	time.Sleep(2 * time.Second) // more than the time between two readings of the pools
	f.store.restore()
	served += useUpAt(t, nodes, 7*time.Second)
	if used := served * eraUse; used > fleetPrepaid {
		t.Errorf("%d units were used of %d", used, fleetPrepaid)
	}
	if least := fleetPrepaid * 97 / 100 / eraNeed; served < least {
		t.Errorf("%d requests were served, the budget covers %d", served, least)
	}
}

// TestRestoreWhileARouterIsAway has a router draw, use and end between the copy and
// the restore, and another one that is cut off from the store until later. What
// they may have drawn unseen is withheld.
func TestRestoreWhileARouterIsAway(t *testing.T) {
	t.Parallel()
	f, nodes := eraFleet(t)
	served := spendAround(t, f, nodes)
	nodes[1].stop()
	nodes[2].view.down.Store(true)
	f.store.restore()
	served += useUpAt(t, nodes[:1], 7*time.Second)
	served += spendAt(t, nodes[2], 20)
	nodes[2].view.down.Store(false)
	nodes[1] = f.ready(f.node("n2"))
	served += useUpAt(t, nodes, 7*time.Second)
	if used := served * eraUse; used > fleetPrepaid {
		t.Errorf("%d units were used of %d", used, fleetPrepaid)
	}
	if least := fleetPrepaid * 6 / 10 / eraNeed; served < least {
		t.Errorf("%d requests were served, of which %d were to be", served, least)
	}
}

// TestAnswersOfAnotherEraAreNotUsed has the store forget its era: nothing is drawn
// on such answers.
func TestAnswersOfAnotherEraAreNotUsed(t *testing.T) {
	t.Parallel()
	f, nodes := eraFleet(t)
	n := nodes[0]
	if got := spendAt(t, n, 3); got != 3 {
		t.Fatalf("%d of 3 requests were served", got)
	}
	f.store.mu.Lock()
	f.store.era = 0
	f.store.mu.Unlock()
	// Whatever was answered in the era before has been taken in by now.
	time.Sleep(200 * time.Millisecond)
	held := n.Accounts()[0].Free
	if got := useUpAt(t, nodes[:1], 2*time.Second); int64(got)*eraUse > int64(held) {
		t.Errorf("%d units were used, %d were held", got*eraUse, held)
	}
}

// TestProcessThatStartsInASettledEra starts a router after a restore, in an era in
// which one pool has been drawn from and another has not: the other one does not
// start empty.
func TestProcessThatStartsInASettledEra(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.era = 1
	prepaid := int64(fleetPrepaid)
	f.doc.Organisations = append(f.doc.Organisations, cicadadeploy.Organisation{Name: "beta", Keys: []string{"k2"}, Prepaid: &prepaid})
	f.doc.Version++
	f.publish()
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	spendBeta := func(n *node, times int) (served int) {
		for range times {
			if call(t, n, "/once/", map[string]string{"X-Tokens": "700,50", "X-Key": "k2"}, "").status == http.StatusOK {
				served++
			}
		}
		return served
	}
	n := f.ready(f.node("n1", firstStart))
	served := spendBeta(n, 100)
	time.Sleep(time.Second)
	f.store.takeCopy()
	f.store.restore()
	for f.store.get(settledRow).Version == 0 {
		time.Sleep(time.Millisecond)
	}
	n.view.down.Store(true) // what it holds stays with it
	f.store.put("pools", "era/2/another", cicadabudget.Pool{})
	n.stop()
	other := f.ready(f.node("n2"))
	for range 60 {
		served += spendBeta(other, 2)
		time.Sleep(50 * time.Millisecond)
	}
	if used := served * eraUse; used > fleetPrepaid {
		t.Errorf("%d units were used of %d", used, fleetPrepaid)
	}
}

// TestUnreadableSettlement has a settlement in the store that cannot be read: nothing
// is drawn until it is mended, and what routers hold is served.
func TestUnreadableSettlement(t *testing.T) {
	t.Parallel()
	f, nodes := eraFleet(t)
	n := nodes[0]
	if got := spendAt(t, n, 3); got != 3 {
		t.Fatalf("%d of 3 requests were served", got)
	}
	time.Sleep(time.Second)
	f.store.takeCopy()
	f.store.restore()
	f.store.putRaw(settledRow.Table, settledRow.Key, []byte(`{"by":7`))
	var held cicadabudget.Units // by all, as they lend to each other
	for _, n := range nodes {
		held += n.Accounts()[0].Free
	}
	if got := useUpAt(t, nodes[:1], 7*time.Second); int64(got)*eraUse > int64(held) {
		t.Errorf("%d units were used, %d were held", got*eraUse, held)
	}
	f.store.put(settledRow.Table, settledRow.Key, cicadabudget.Reconciliation{WriterBoot: "operator", Routers: 3})
	eventually(t, "units are drawn again", func() bool { return spendAt(t, n, 1) == 1 })
}

var settledRow = cicadastore.Ref{Table: "eras", Key: "era/2/settled/000"}
