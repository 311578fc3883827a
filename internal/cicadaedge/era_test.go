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
	// A request of sendRequests reserves requestReservation units and uses requestUse: its runner
	// sends no events, and a response without events counts as one token of output.
	requestReservation = 750
	requestUse         = 701
)

// sendRequests sends requests to one router and returns how many were served.
func sendRequests(t *testing.T, n *node, count int) (served int) {
	t.Helper()
	for range count {
		if call(t, n, "/once/", map[string]string{"X-Tokens": "700,50"}, "").status == http.StatusOK {
			served++
		}
	}
	return served
}

// sendAroundBackup sends requests to all routers before a backup of the store, and more after it.
// It returns how many were served.
func sendAroundBackup(t *testing.T, f *fleet, nodes []*node) (served int) {
	t.Helper()
	for _, n := range nodes {
		served += sendRequests(t, n, 5)
	}
	f.store.takeBackup()
	for _, n := range nodes {
		served += sendRequests(t, n, 22)
	}
	return served
}

// sendUntilRefused sends requests to all routers until none has been served for a while. It
// returns how many were served.
func sendUntilRefused(t *testing.T, nodes []*node, idle time.Duration) (served int) {
	t.Helper()
	for last := time.Now(); time.Since(last) < idle; {
		for _, n := range nodes {
			if got := sendRequests(t, n, 1); got > 0 {
				served += got
				last = time.Now()
			}
		}
	}
	return served
}

func newEraFleet(t *testing.T) (*fleet, []*node) {
	t.Helper()
	f := newFleet(t)
	f.store.era = 1
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	return f, []*node{f.waitReady(f.startNode("n1", firstStart)), f.waitReady(f.startNode("n2", firstStart)), f.waitReady(f.startNode("n3", firstStart))}
}

// firstStart configures a process of a system that starts for the first time.
func firstStart(cfg *cicadaedge.Config) { cfg.FirstStart = true }

// TestBudgetHoldsOverARestoredStore restores the store from a backup, so that it loses what
// routers drew and used since. All routers are still running: they use up the budget and no more.
func TestBudgetHoldsOverARestoredStore(t *testing.T) {
	t.Parallel()
	f, nodes := newEraFleet(t)
	served := sendAroundBackup(t, f, nodes)
	time.Sleep(2 * time.Second) // longer than the time between two reads of the pools
	f.store.restore()
	served += sendUntilRefused(t, nodes, 7*time.Second)
	if used := served * requestUse; used > fleetPrepaid {
		t.Errorf("%d units were used, the budget is %d", used, fleetPrepaid)
	}
	if minCount := fleetPrepaid * 97 / 100 / requestReservation; served < minCount {
		t.Errorf("%d requests were served, want at least %d", served, minCount)
	}
}

// TestRestoreWhileARouterIsAway restores the store while one router has ended after drawing and
// using units since the backup, and another one cannot reach the store until later. Units that
// these may have drawn without the others' knowledge are withheld.
func TestRestoreWhileARouterIsAway(t *testing.T) {
	t.Parallel()
	f, nodes := newEraFleet(t)
	served := sendAroundBackup(t, f, nodes)
	nodes[1].stop()
	nodes[2].store.down.Store(true)
	f.store.restore()
	served += sendUntilRefused(t, nodes[:1], 7*time.Second)
	served += sendRequests(t, nodes[2], 20)
	nodes[2].store.down.Store(false)
	nodes[1] = f.waitReady(f.startNode("n2"))
	served += sendUntilRefused(t, nodes, 7*time.Second)
	if used := served * requestUse; used > fleetPrepaid {
		t.Errorf("%d units were used, the budget is %d", used, fleetPrepaid)
	}
	if minCount := fleetPrepaid * 6 / 10 / requestReservation; served < minCount {
		t.Errorf("%d requests were served, want at least %d", served, minCount)
	}
}

// TestAnswersOfAnotherEraAreNotUsed makes the store lose its era. No units are drawn on the basis
// of responses without it.
func TestAnswersOfAnotherEraAreNotUsed(t *testing.T) {
	t.Parallel()
	f, nodes := newEraFleet(t)
	n := nodes[0]
	if got := sendRequests(t, n, 3); got != 3 {
		t.Fatalf("%d of 3 requests were served", got)
	}
	f.store.mu.Lock()
	f.store.era = 0
	f.store.mu.Unlock()
	// By now, all responses of the earlier era have been processed.
	time.Sleep(200 * time.Millisecond)
	free := n.Accounts()[0].Free
	if got := sendUntilRefused(t, nodes[:1], 2*time.Second); int64(got)*requestUse > int64(free) {
		t.Errorf("%d units were used, %d were held", got*requestUse, free)
	}
}

// TestProcessStartedInAReconciledEra starts a router after a restore, in an era in which one pool
// has been drawn from and another has not. Units of the other pool that were drawn in the era
// before must still count as drawn.
func TestProcessStartedInAReconciledEra(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.era = 1
	prepaid := int64(fleetPrepaid)
	f.doc.Organisations = append(f.doc.Organisations, cicadadeploy.Organisation{Name: "beta", Keys: []string{"k2"}, Prepaid: &prepaid})
	f.doc.Version++
	f.publish()
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	spendBeta := func(n *node, count int) (served int) {
		for range count {
			if call(t, n, "/once/", map[string]string{"X-Tokens": "700,50", "X-Key": "k2"}, "").status == http.StatusOK {
				served++
			}
		}
		return served
	}
	n := f.waitReady(f.startNode("n1", firstStart))
	served := spendBeta(n, 100)
	time.Sleep(time.Second)
	f.store.takeBackup()
	f.store.restore()
	for f.store.get(reconciliationRow).Version == 0 {
		time.Sleep(time.Millisecond)
	}
	n.store.down.Store(true) // the units that it holds are not returned
	f.store.put("pools", "era/2/another", cicadabudget.Pool{})
	n.stop()
	other := f.waitReady(f.startNode("n2"))
	for range 60 {
		served += spendBeta(other, 2)
		time.Sleep(50 * time.Millisecond)
	}
	if used := served * requestUse; used > fleetPrepaid {
		t.Errorf("%d units were used, the budget is %d", used, fleetPrepaid)
	}
}

// TestUnreadableSettlement stores a reconciliation that cannot be decoded. No units are drawn
// until it is repaired; requests covered by units already held are served.
func TestUnreadableSettlement(t *testing.T) {
	t.Parallel()
	f, nodes := newEraFleet(t)
	n := nodes[0]
	if got := sendRequests(t, n, 3); got != 3 {
		t.Fatalf("%d of 3 requests were served", got)
	}
	time.Sleep(time.Second)
	f.store.takeBackup()
	f.store.restore()
	f.store.putRaw(reconciliationRow.Table, reconciliationRow.Key, []byte(`{"by":7`))
	var held cicadabudget.Units // of all routers, since they lend to each other
	for _, n := range nodes {
		held += n.Accounts()[0].Free
	}
	if got := sendUntilRefused(t, nodes[:1], 7*time.Second); int64(got)*requestUse > int64(held) {
		t.Errorf("%d units were used, %d were held", got*requestUse, held)
	}
	f.store.put(reconciliationRow.Table, reconciliationRow.Key, cicadabudget.Reconciliation{WriterBoot: "operator", Routers: 3})
	eventually(t, "units are drawn again", func() bool { return sendRequests(t, n, 1) == 1 })
}

var reconciliationRow = cicadastore.Ref{Table: "eras", Key: "era/2/settled/000"}
