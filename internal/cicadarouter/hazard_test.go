package cicadarouter_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadademo"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadahome"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/cicadadyke/cicadadyke/internal/cicadaroute"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/google/go-cmp/cmp"
)

// chargesByKey returns the number of charges of each key and the sum of all charges.
func chargesByKey(t *testing.T, w *cicadademo.Environment) (byKey map[string]int, units cicadabudget.Units) {
	t.Helper()
	bills, err := w.Bills()
	if err != nil {
		t.Fatal(err)
	}
	byKey = make(map[string]int)
	for _, b := range bills {
		if b.Voided || b.Units == 0 {
			continue
		}
		if b.Key != "" {
			byKey[b.Key]++
		}
		units += b.Units
	}
	return byKey, units
}

// callAll sends n requests concurrently, distributed over all routers.
func callAll(t *testing.T, w *cicadademo.Environment, n int, name string) []cicadaload.Result {
	t.Helper()
	out := make([]cicadaload.Result, n)
	routers := w.Routers()
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = call(t, newSpec(routers[i%len(routers)], fmt.Sprintf("%s-%d", name, i)))
		}()
	}
	wg.Wait()
	for i := range out {
		if r := &out[i]; r.Verdict != cicadaload.Complete {
			t.Logf("%s-%d: %v, status %d, %s %s after %v: %s", name, i, r.Verdict, r.Status, r.RefusalCode, r.RunStatus, r.Total, r.Detail)
		}
	}
	return out
}

func countComplete(results []cicadaload.Result) int {
	n := 0
	for i := range results {
		if results[i].Verdict == cicadaload.Complete {
			n++
		}
	}
	return n
}

// TestHazard02LostAnswers drops a third of the store's responses after the operation
// took effect. Every request is complete and billed once, although the home repeats
// its commits.
func TestHazard02LostAnswers(t *testing.T) {
	w := newEnvironment(t, nil)
	w.Platform().SetFaults(cicadastandin.PlatformFaults{LostResponseRatio: 0.33})
	results := callAll(t, w, 24, "lost")
	w.Platform().SetFaults(cicadastandin.PlatformFaults{})
	if diff := cmp.Diff(24, countComplete(results)); diff != "" {
		t.Errorf("complete responses (-want +got)\n%s", diff)
	}
	for i := range results {
		billOf(t, w, results[i].RequestID)
	}
}

// TestHazard03DeclaredEndedWhileAlive partitions a router from the platform only. The
// host list reports it as ended, the home recovers its units once it is fenced at
// the engines, and the router stops when a home responds that its session has ended.
// The usage recorded by the engines stays within the prepaid units.
func TestHazard03DeclaredEndedWhileAlive(t *testing.T) {
	const prepaid = 1500
	w := newEnvironment(t, map[string]cicadabudget.Units{budget: prepaid})
	partitioned := w.Routers()[0]
	for _, r := range w.Routers() {
		call(t, newSpec(r, "before"))
	}
	w.SetPlatformOutage(partitioned, true)
	eventually(t, "recovery of the partitioned router's units", func() bool {
		for _, r := range w.Routers()[1:] {
			if cicadarouter.CounterValue(r.Metrics().Home, "unitsRecovered") > 0 {
				return true
			}
			call(t, newSpec(r, "meanwhile"))
		}
		return false
	})
	for i := range 20 {
		call(t, newSpec(partitioned, fmt.Sprintf("zombie-%d", i)))
	}
	eventually(t, "stop of the router that was declared ended", func() bool {
		select {
		case <-partitioned.Done():
			return true
		default:
			call(t, newSpec(partitioned, "again"))
			return false
		}
	})
	var used int64
	for _, e := range w.Engines() {
		for _, rec := range e.Records() {
			used += rec.PromptTokens + rec.CompletionTokens
		}
	}
	if used > prepaid {
		t.Errorf("the engines used %d tokens, prepaid are %d", used, prepaid)
	}
}

// TestHazard04RouterDiesWithStreamsOpen kills a router during a stream with an
// idempotency key and during a transfer. The retry of the stream at another router
// is complete and billed once; the transfer never runs again.
func TestHazard04RouterDiesWithStreamsOpen(t *testing.T) {
	w := newEnvironment(t, nil)
	killed, other := w.Routers()[0], w.Routers()[1]
	for _, p := range w.PlainServices() {
		p.SetFaults(cicadastandin.PlainServiceFaults{Hang: true})
	}
	s := newSpec(killed, "tag")
	s.IdempotencyKey = "stream-key"
	done := make(chan cicadaload.Result, 1)
	go func() { done <- call(t, s) }()
	header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": "transfer"}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(killed)+transferPath, http.NoBody)
		if err != nil {
			return
		}
		for k, v := range header {
			req.Header.Set(k, v)
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	eventually(t, "running stream and transfer", func() bool {
		running := 0
		for _, e := range w.Engines() {
			running += len(e.Records())
		}
		return running > 0 && plainRuns(w) > 0
	})
	killed.Kill()
	<-done
	s.BaseURL = baseURL(other)
	eventually(t, "a complete response to the retry", func() bool { return call(t, s).Verdict == cicadaload.Complete })
	byKey, _ := chargesByKey(t, w)
	for key, n := range byKey {
		if n != 1 {
			t.Errorf("key %s was charged %d times, want 1", key, n)
		}
	}
	for range 5 {
		r := do(t, http.MethodPost, baseURL(other)+transferPath, "", header)
		if r.status == http.StatusOK || r.problem.Ran == "notRun" {
			t.Errorf("retry of the transfer: status %d, ran %q", r.status, r.problem.Ran)
		}
	}
	if diff := cmp.Diff(1, plainRuns(w)); diff != "" {
		t.Errorf("runs of the transfer (-want +got)\n%s", diff)
	}
}

// plainRuns returns the number of calls that plain services ran.
func plainRuns(w *cicadademo.Environment) int {
	n := 0
	for _, p := range w.PlainServices() {
		n += len(p.Calls())
	}
	return n
}

// TestHazard05RetryWhileTheFirstRuns sends requests with the same key to all routers
// concurrently. They all get the complete response of a single run.
func TestHazard05RetryWhileTheFirstRuns(t *testing.T) {
	w := newEnvironment(t, nil)
	call(t, newSpec(w.Routers()[0], "warm")) // the partition gets a home
	var wg sync.WaitGroup
	results := make([]cicadaload.Result, len(w.Routers()))
	for i, r := range w.Routers() {
		s := newSpec(r, "tag")
		s.IdempotencyKey = "k"
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = call(t, s)
		}()
	}
	wg.Wait()
	if diff := cmp.Diff(len(results), countComplete(results)); diff != "" {
		t.Errorf("complete responses (-want +got)\n%s%+v", diff, results)
	}
	if diff := cmp.Diff(1, countRuns(w, "k")); diff != "" {
		t.Errorf("runs (-want +got)\n%s", diff)
	}
}

// TestRetryWhileTheFirstWaitsForUnitsRunsTwice repeats a key while the request that
// claimed it still waits for its reservation.
func TestRetryWhileTheFirstWaitsForUnitsRunsTwice(t *testing.T) {
	w := newEnvironment(t, nil)
	call(t, newSpec(w.Routers()[0], "warm")) // the partition gets a home
	w.Platform().SetFaults(cicadastandin.PlatformFaults{AddedLatency: 200 * time.Millisecond})
	first := make(chan cicadaload.Result, 1)
	repeat := func(r *cicadarouter.Router) cicadaload.Result {
		s := newSpec(r, "tag")
		s.IdempotencyKey = "k"
		return call(t, s)
	}
	go func() { first <- repeat(w.Routers()[1]) }()
	time.Sleep(50 * time.Millisecond)
	second := repeat(w.Routers()[2])
	if diff := cmp.Diff(1, countRuns(w, "k")); diff != "" {
		t.Errorf("runs (-want +got)\n%s%+v\n%+v", diff, <-first, second)
	}
}

// countRuns returns how often engines ran requests with a key.
func countRuns(w *cicadademo.Environment, key string) int {
	n := 0
	for _, e := range w.Engines() {
		for _, rec := range e.Records() {
			if rec.Key == key {
				n++
			}
		}
	}
	return n
}

// TestHazard06StoreOutage serves requests during a store outage from allocated units;
// each bill is recorded once after it.
func TestHazard06StoreOutage(t *testing.T) {
	w := newEnvironment(t, nil)
	callAll(t, w, 40, "before")
	w.Platform().SetFaults(cicadastandin.PlatformFaults{Outage: true})
	during := callAll(t, w, 8, "during")
	if diff := cmp.Diff(8, countComplete(during)); diff != "" {
		t.Errorf("complete responses during the outage (-want +got)\n%s%+v", diff, during)
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{})
	for i := range during {
		billOf(t, w, during[i].RequestID)
	}
}

// TestHazard06LoansInAnOutage lets a router without units of a budget serve a request
// during an outage with units lent by another router. Afterwards the ledger accounts
// for each unit once.
func TestHazard06LoansInAnOutage(t *testing.T) {
	w := newEnvironment(t, nil)
	lender, borrower := w.Routers()[0], w.Routers()[1]
	for i := range 10 {
		call(t, newSpec(lender, fmt.Sprint("rich-", i)))
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{Outage: true})
	res := call(t, newSpec(borrower, "poor"))
	if res.Verdict != cicadaload.Complete {
		t.Fatalf("request during the outage: %+v", res)
	}
	if cicadarouter.CounterValue(borrower.Metrics().Session, "unitsBorrowed") == 0 {
		t.Error("the router without units borrowed none")
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{})
	billOf(t, w, res.RequestID)
	for _, r := range w.Routers() {
		if err := r.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	}
	if diff := cmp.Diff([]cicadabudget.Units{engineTokens(w), 0}, recordedUnits(t, w)); diff != "" {
		t.Errorf("spent and held units in the ledger (-want +got)\n%s", diff)
	}
}

// recordedUnits replays the log of the budget's partition from the platform and
// returns the spent and the held units.
func recordedUnits(t *testing.T, w *cicadademo.Environment) []cicadabudget.Units {
	t.Helper()
	id := cicadaledger.PartitionOf("qc-est", budget)
	row, err := cicadastore.GetOne(t.Context(), w.Platform(), cicadastore.Ref{Table: cicadastore.TableFence, Key: id.String()})
	if err != nil {
		t.Fatal(err)
	}
	var fence cicadaledger.FenceRow
	if err := cicadaledger.DecodeRow(row.Value, &fence); err != nil {
		t.Fatal(err)
	}
	p, err := cicadahome.Replay(t.Context(), w.Platform(), cicadaledger.Config{ID: id}, &fence)
	if err != nil {
		t.Fatal(err)
	}
	f := p.Balance(budget)
	return []cicadabudget.Units{f.Spent, f.Held}
}

// TestHazard07NotRunIsTrue has engines refuse, fail or run requests and compares each
// refusal with ran "notRun" with the engines' records.
func TestHazard07NotRunIsTrue(t *testing.T) {
	for _, f := range []cicadastandin.EngineFaults{{Draining: true}, {Fail: true}, {}} {
		// A draining runner never gets requests again, so each fault has its own
		// engines.
		w := newEnvironment(t, nil)
		for _, e := range w.Engines() {
			e.SetFaults(f)
		}
		for _, res := range callAll(t, w, 8, fmt.Sprint(f)) {
			ran := false
			for _, e := range w.Engines() {
				for _, rec := range e.Records() {
					ran = ran || rec.RequestID == res.RequestID
				}
			}
			if res.RunStatus == "notRun" && ran {
				t.Errorf("reported as not run, but an engine has a record of it: %+v", res)
			}
			if f.Fail && res.RunStatus == "notRun" {
				t.Errorf("reported as not run after an engine received it: %+v", res)
			}
		}
	}
}

// TestHazard08SilentConnections stalls each stream once. The responses are complete,
// and no runner is excluded for it.
func TestHazard08SilentConnections(t *testing.T) {
	w := newEnvironment(t, nil)
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{StallAfterChunks: 4})
	}
	results := callAll(t, w, 8, "silent")
	if diff := cmp.Diff(8, countComplete(results)); diff != "" {
		t.Errorf("complete responses (-want +got)\n%s", diff)
	}
	for _, r := range w.Routers() {
		for _, c := range r.State().Runners["redacteur/moteur"] {
			if c.ExclusionReason != "" {
				t.Errorf("runner %s is excluded with reason %q", c.Name, c.ExclusionReason)
			}
		}
	}
}

// TestHazard09ForeignChunks repeats every chunk under load. Each caller gets its own
// response, with every chunk once.
func TestHazard09ForeignChunks(t *testing.T) {
	w := newEnvironment(t, nil)
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{DuplicateChunks: true})
	}
	results := callAll(t, w, 60, "doubled")
	if diff := cmp.Diff(60, countComplete(results)); diff != "" {
		t.Errorf("complete responses (-want +got)\n%s", diff)
	}
	var dropped int64
	for _, r := range w.Routers() {
		dropped += cicadarouter.CounterValue(r.Metrics().Router, "chunksDropped")
	}
	if dropped == 0 {
		t.Error("no duplicate chunk was dropped")
	}
}

// TestHazard10LeavingUpstream drains an engine that the service document still lists
// as live. 3 s after the first refusal it receives no more requests.
func TestHazard10LeavingUpstream(t *testing.T) {
	w := newEnvironment(t, nil)
	drained := w.Engines()[0]
	drained.SetFaults(cicadastandin.EngineFaults{Draining: true})
	callAll(t, w, 40, "word")
	time.Sleep(3 * time.Second)
	before := drained.ReceivedRequests()
	if diff := cmp.Diff(40, countComplete(callAll(t, w, 40, "after"))); diff != "" {
		t.Errorf("complete responses (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff(before, drained.ReceivedRequests()); diff != "" {
		t.Errorf("requests received by the draining runner (-want +got)\n%s", diff)
	}
}

// TestHazard11RestartInAnOutage starts a router while the platform is unavailable. It
// uses the configuration of its peers, and reports that it does.
func TestHazard11RestartInAnOutage(t *testing.T) {
	w := newEnvironment(t, nil)
	if err := w.TopUp(t.Context(), "redacteur", map[string]cicadabudget.Units{"pme-levis-2026": 5}); err != nil {
		t.Fatal(err)
	}
	for _, r := range w.Routers() {
		eventually(t, "version 2", func() bool { return r.Snapshot().Versions()["redacteur"] == 2 })
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{Outage: true})
	r, err := w.StartRouter("late", cicadadoc.DataCentre{Name: "salle-levis", Region: "qc-est"})
	if err != nil {
		t.Fatal(err)
	}
	<-r.Ready()
	state := r.State()
	if diff := cmp.Diff([]any{uint64(2), true}, []any{state.Versions["redacteur"], state.ConfigFromPeersOnly}); diff != "" {
		t.Errorf("version, and from peers only (-want +got)\n%s", diff)
	}
	res := call(t, newSpec(r, "no-slice"))
	if diff := cmp.Diff([]string{"homeAway", "notRun"}, []string{res.RefusalCode, res.RunStatus}); diff != "" {
		t.Errorf("refusal by a new router during an outage (-want +got)\n%s", diff)
	}
}

// TestHazard12BudgetLowered lowers a budget below its spent and allocated units. The
// change is refused.
func TestHazard12BudgetLowered(t *testing.T) {
	w := newEnvironment(t, map[string]cicadabudget.Units{budget: 1000})
	callAll(t, w, 8, "spend")
	err := w.TopUp(t.Context(), "redacteur", map[string]cicadabudget.Units{"menages-rive-sud-2026": -999})
	if err == nil {
		t.Fatal("the budget was lowered to 1")
	}
	if diff := cmp.Diff(uint64(1), w.Routers()[0].Snapshot().Versions()["redacteur"]); diff != "" {
		t.Errorf("version (-want +got)\n%s", diff)
	}
	if res := call(t, newSpec(w.Routers()[0], "after")); res.Verdict != cicadaload.Complete {
		t.Errorf("request after the refused change: %+v", res)
	}
}

// TestHazard13PlannedStop stops routers under load one after another. No response is
// interrupted, and stopped routers hold no units.
func TestHazard13PlannedStop(t *testing.T) {
	w := newEnvironment(t, nil)
	routers := w.Routers()
	var wg sync.WaitGroup
	results := make([]cicadaload.Result, 40)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			results[i] = call(t, newSpec(routers[3], fmt.Sprint("steady-", i)))
		}()
	}
	for _, r := range routers[:3] {
		call(t, newSpec(r, "use"))
		if err := r.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	wg.Wait()
	if diff := cmp.Diff(40, countComplete(results)); diff != "" {
		t.Errorf("complete responses (-want +got)\n%s", diff)
		for i := range results {
			if countComplete(results[i:i+1]) == 0 {
				t.Errorf("call %d: %+v", i, results[i])
			}
		}
	}
	for _, p := range routers[3].State().Homes {
		for _, h := range p.Holders {
			if h.Holder.Host != routers[3].Host().Name && len(h.Held) > 0 {
				t.Errorf("stopped router %v still holds units: %v", h.Holder, h.Held)
			}
		}
	}
}

// TestHazard13StopInAnOutage stops a router while the platform is unavailable and the
// router's bill cannot be recorded. The stop must still finish.
func TestHazard13StopInAnOutage(t *testing.T) {
	w := newEnvironment(t, nil)
	r := w.Routers()[0]
	call(t, newSpec(r, "before"))
	w.Platform().SetFaults(cicadastandin.PlatformFaults{Outage: true})
	call(t, newSpec(r, "during"))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Stop(context.Background()) // fails as not all units can be returned
	}()
	eventually(t, "end of the planned stop", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
}

// TestHazard14RetryStorm fails every request at every engine. Retries stay within
// their budget: a tenth of the requests, plus the initial tokens of each router.
func TestHazard14RetryStorm(t *testing.T) {
	w := newEnvironment(t, nil)
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{Fail: true})
	}
	const n = 400
	callAll(t, w, n, "storm")
	received := 0
	for _, e := range w.Engines() {
		received += e.ReceivedRequests()
	}
	const maxRetryTokens = 10
	if maxReceived := n + n/10 + maxRetryTokens*len(w.Routers()); received > maxReceived {
		t.Errorf("%d requests sent, %d received by the engines, want at most %d", n, received, maxReceived)
	}
}

// TestHazard15Herd gives 64 routers the same outdated load reports, in which one
// runner looks idle. That runner must not get more than three times its share.
func TestHazard15Herd(t *testing.T) {
	const routers, runners, perRouter = 64, 18, 4
	now := time.Now()
	got := make(map[string]int)
	for r := range routers {
		table := cicadaroute.NewTable(fmt.Sprint("r", r), 1)
		var list []cicadaroute.Runner
		for i := range runners {
			list = append(list, cicadaroute.Runner{Name: fmt.Sprint(i), Address: fmt.Sprint("a", i), Capacity: 100})
		}
		table.SetUpstream("u", list)
		for i := range runners {
			table.UpdateLoad(fmt.Sprint("a", i), cicadaroute.LoadReport{Running: 10 + i%3}, now)
		}
		table.UpdateLoad("a0", cicadaroute.LoadReport{}, now) // looks idle to all routers
		for range perRouter {
			addr, err := table.Choose(&cicadaroute.Request{Upstream: "u"}, now)
			if err != nil {
				t.Fatal(err)
			}
			table.RequestStarted(addr)
			got[addr]++
		}
	}
	const share = routers * perRouter / runners
	if got["a0"] > 3*share {
		t.Errorf("the idle-looking runner got %d of %d requests, want at most three times its share of %d", got["a0"], routers*perRouter, share)
	}
}

// TestHazard16DataCentreLost kills all routers of two data centres. The units they
// held are recovered by the other routers. The number of transactions is logged.
func TestHazard16DataCentreLost(t *testing.T) {
	w := newEnvironment(t, nil)
	callAll(t, w, 40, "before")
	routers := w.Routers()
	for _, r := range routers[:2] {
		r.Kill()
	}
	before := cicadarouter.CounterValue(w.Platform().Counters(), "commits")
	var recovered int64
	eventually(t, "recovery of the units at the remaining routers", func() bool {
		call(t, newSpec(routers[2], "after"))
		recovered = 0
		left := 0
		for _, r := range routers[2:] {
			recovered += cicadarouter.CounterValue(r.Metrics().Home, "unitsRecovered") + cicadarouter.CounterValue(r.Metrics().Home, "unitsWithheldOfEnded")
			for _, p := range r.State().Homes {
				for _, h := range p.Holders {
					if h.Ended {
						left += len(h.Held)
					}
				}
			}
		}
		return recovered > 0 && left == 0
	})
	t.Logf("%d units recovered, %d transactions", recovered, cicadarouter.CounterValue(w.Platform().Counters(), "commits")-before)
}

// TestHazard01PartitionedRegions uses one budget in two regions while one of them is
// partitioned from the platform and the budget is topped up in the other. The other
// region keeps completing requests, and both together bill at most the prepaid units.
func TestHazard01PartitionedRegions(t *testing.T) {
	w := newEnvironment(t, map[string]cicadabudget.Units{budget: 2000})
	west, err := w.StartRouter("west-1", cicadadoc.DataCentre{Name: "salle-levis", Region: "west"})
	if err != nil {
		t.Fatal(err)
	}
	<-west.Ready()
	east := w.Routers()[0]
	for i := range 6 {
		call(t, newSpec(east, fmt.Sprint("east-", i)))
		call(t, newSpec(west, fmt.Sprint("west-", i)))
	}
	w.SetPlatformOutage(west, true)
	if err := w.TopUp(t.Context(), "redacteur", map[string]cicadabudget.Units{"menages-rive-sud-2026": 700}); err != nil {
		t.Fatal(err)
	}
	completed := 0
	for i := range 60 {
		if call(t, newSpec(east, fmt.Sprint("apart-east-", i))).Verdict == cicadaload.Complete {
			completed++
		}
		if i < 3 {
			call(t, newSpec(west, fmt.Sprint("apart-west-", i)))
		}
	}
	if completed < 20 {
		t.Errorf("the region with the platform completed %d of 60 requests, want at least 20", completed)
	}
	w.SetPlatformOutage(west, false)
	eventually(t, "the bills of the partitioned region", func() bool {
		call(t, newSpec(west, "rejoined"))
		_, units := chargesByKey(t, w)
		return units == engineTokens(w)
	})
	_, units := chargesByKey(t, w)
	if units > 2700 {
		t.Errorf("%d units billed of 2700 prepaid", units)
	}
}

// engineTokens returns the sum of the tokens recorded by the engines.
func engineTokens(w *cicadademo.Environment) cicadabudget.Units {
	var sum cicadabudget.Units
	for _, e := range w.Engines() {
		for _, rec := range e.Records() {
			sum += cicadabudget.Units(rec.PromptTokens + rec.CompletionTokens)
		}
	}
	return sum
}
