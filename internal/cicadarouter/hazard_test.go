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

// charged counts the charges of each key and sums all of them.
func charged(t *testing.T, w *cicadademo.Environment) (byKey map[string]int, units cicadabudget.Units) {
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

// callAll sends n requests at once, in turns over the routers.
func callAll(t *testing.T, w *cicadademo.Environment, n int, name string) []cicadaload.Result {
	t.Helper()
	out := make([]cicadaload.Result, n)
	routers := w.Routers()
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = call(t, spec(routers[i%len(routers)], fmt.Sprintf("%s-%d", name, i)))
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

func wholeOnes(results []cicadaload.Result) int {
	n := 0
	for i := range results {
		if results[i].Verdict == cicadaload.Complete {
			n++
		}
	}
	return n
}

// TestHazard02LostAnswers loses a third of the store's answers after the effect.
func TestHazard02LostAnswers(t *testing.T) {
	w := newWorld(t, nil)
	w.Platform().SetFaults(cicadastandin.PlatformFaults{LostResponseRatio: 0.33})
	results := callAll(t, w, 24, "lost")
	w.Platform().SetFaults(cicadastandin.PlatformFaults{})
	if diff := cmp.Diff(24, wholeOnes(results)); diff != "" {
		t.Errorf("whole answers (-want +got)\n%s", diff)
	}
	for i := range results {
		billOf(t, w, results[i].RequestID)
	}
}

// TestHazard03DeclaredEndedWhileAlive cuts a router off from the platform alone.
// The host list calls it gone, the home recovers its units once the engines
// refuse it, and it stops when it learns of that. The engines' records stay
// within the prepaid total.
func TestHazard03DeclaredEndedWhileAlive(t *testing.T) {
	const prepaid = 1500
	w := newWorld(t, map[string]cicadabudget.Units{budget: prepaid})
	cut := w.Routers()[0]
	for _, r := range w.Routers() {
		call(t, spec(r, "before"))
	}
	w.SetPlatformOutage(cut, true)
	await(t, "the recovery of its units", func() bool {
		for _, r := range w.Routers()[1:] {
			if cicadarouter.CounterValue(r.Metrics().Home, "unitsRecovered") > 0 {
				return true
			}
			call(t, spec(r, "meanwhile"))
		}
		return false
	})
	for i := range 20 {
		call(t, spec(cut, fmt.Sprintf("zombie-%d", i)))
	}
	await(t, "the end of the router that was declared ended", func() bool {
		select {
		case <-cut.Done():
			return true
		default:
			call(t, spec(cut, "again"))
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
		t.Errorf("the engines ran %d tokens of %d prepaid", used, prepaid)
	}
}

// TestHazard04RouterDiesWithStreamsOpen kills a router in the middle of a keyed
// stream and of a transfer. The stream's retry elsewhere is whole and billed
// once; the transfer never runs again.
func TestHazard04RouterDiesWithStreamsOpen(t *testing.T) {
	w := newWorld(t, nil)
	dying, other := w.Routers()[0], w.Routers()[1]
	for _, p := range w.PlainServices() {
		p.SetFaults(cicadastandin.PlainServiceFaults{Hang: true})
	}
	s := spec(dying, "tag")
	s.IdempotencyKey = "stream-key"
	done := make(chan cicadaload.Result, 1)
	go func() { done <- call(t, s) }()
	header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": "transfer"}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(dying)+once, http.NoBody)
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
	await(t, "stream and transfer running", func() bool {
		running := 0
		for _, e := range w.Engines() {
			running += len(e.Records())
		}
		return running > 0 && runs(w) > 0
	})
	dying.Kill()
	<-done
	s.BaseURL = baseURL(other)
	await(t, "a whole answer to the retry", func() bool { return call(t, s).Verdict == cicadaload.Complete })
	byKey, _ := charged(t, w)
	for key, n := range byKey {
		if n != 1 {
			t.Errorf("key %s was charged %d times", key, n)
		}
	}
	for range 5 {
		r := do(t, http.MethodPost, baseURL(other)+once, "", header)
		if r.status == http.StatusOK || r.problem.Ran == "notRun" {
			t.Errorf("the transfer's retry: status %d, ran %q", r.status, r.problem.Ran)
		}
	}
	if diff := cmp.Diff(1, runs(w)); diff != "" {
		t.Errorf("runs of the transfer (-want +got)\n%s", diff)
	}
}

// runs counts the calls that plain services ran.
func runs(w *cicadademo.Environment) int {
	n := 0
	for _, p := range w.PlainServices() {
		n += len(p.Calls())
	}
	return n
}

// TestHazard05RetryWhileTheFirstRuns sends one key to every router at once.
func TestHazard05RetryWhileTheFirstRuns(t *testing.T) {
	w := newWorld(t, nil)
	call(t, spec(w.Routers()[0], "warm")) // the partition has its home
	var wg sync.WaitGroup
	results := make([]cicadaload.Result, len(w.Routers()))
	for i, r := range w.Routers() {
		s := spec(r, "tag")
		s.IdempotencyKey = "k"
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = call(t, s)
		}()
	}
	wg.Wait()
	if diff := cmp.Diff(len(results), wholeOnes(results)); diff != "" {
		t.Errorf("whole answers (-want +got)\n%s%+v", diff, results)
	}
	ran := 0
	for _, e := range w.Engines() {
		for _, rec := range e.Records() {
			if rec.Key == "k" {
				ran++
			}
		}
	}
	if diff := cmp.Diff(1, ran); diff != "" {
		t.Errorf("runs (-want +got)\n%s", diff)
	}
}

// TestHazard06StoreOutage serves through an outage from held slices; each bill
// is recorded once afterwards.
func TestHazard06StoreOutage(t *testing.T) {
	w := newWorld(t, nil)
	callAll(t, w, 40, "before")
	w.Platform().SetFaults(cicadastandin.PlatformFaults{Outage: true})
	during := callAll(t, w, 8, "during")
	if diff := cmp.Diff(8, wholeOnes(during)); diff != "" {
		t.Errorf("whole answers in the outage (-want +got)\n%s%+v", diff, during)
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{})
	for i := range during {
		billOf(t, w, during[i].RequestID)
	}
}

// TestHazard06LoansInAnOutage lets a router that holds nothing of a budget serve
// it in an outage, from units that another router lends. Afterwards the ledger
// has each unit once.
func TestHazard06LoansInAnOutage(t *testing.T) {
	w := newWorld(t, nil)
	rich, poor := w.Routers()[0], w.Routers()[1]
	for i := range 10 {
		call(t, spec(rich, fmt.Sprint("rich-", i)))
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{Outage: true})
	res := call(t, spec(poor, "poor"))
	if res.Verdict != cicadaload.Complete {
		t.Fatalf("in the outage: %+v", res)
	}
	if cicadarouter.CounterValue(poor.Metrics().Session, "unitsBorrowed") == 0 {
		t.Error("nothing was borrowed")
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{})
	billOf(t, w, res.RequestID)
	for _, r := range w.Routers() {
		if err := r.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	}
	if diff := cmp.Diff([]cicadabudget.Units{enginesUse(w), 0}, recordedUse(t, w)); diff != "" {
		t.Errorf("spent and held in the platform's record (-want +got)\n%s", diff)
	}
}

// recordedUse replays the platform's record of the budget's partition.
func recordedUse(t *testing.T, w *cicadademo.Environment) []cicadabudget.Units {
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

// TestHazard07NotRunIsTrue refuses requests in every way that engines offer and
// compares each "not run" with the engines' records.
func TestHazard07NotRunIsTrue(t *testing.T) {
	for _, f := range []cicadastandin.EngineFaults{{Draining: true}, {Fail: true}, {}} {
		// A runner that said it leaves is sent nothing for good, so each fault has
		// engines of its own.
		w := newWorld(t, nil)
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
				t.Errorf("%+v was said not to have run", res)
			}
			if f.Fail && res.RunStatus == "notRun" {
				t.Errorf("said not to have run after an engine took it: %+v", res)
			}
		}
	}
}

// TestHazard08SilentConnections stalls every engine once in each stream. The
// answers are whole, and no runner is condemned for it.
func TestHazard08SilentConnections(t *testing.T) {
	w := newWorld(t, nil)
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{StallAfterChunks: 4})
	}
	results := callAll(t, w, 8, "silent")
	if diff := cmp.Diff(8, wholeOnes(results)); diff != "" {
		t.Errorf("whole answers (-want +got)\n%s", diff)
	}
	for _, r := range w.Routers() {
		for _, c := range r.State().Runners["redacteur/moteur"] {
			if c.ExclusionReason != "" {
				t.Errorf("runner %s is left out as %s", c.Name, c.ExclusionReason)
			}
		}
	}
}

// TestHazard09ForeignChunks doubles every chunk under load: each caller gets its
// own answer, every chunk once.
func TestHazard09ForeignChunks(t *testing.T) {
	w := newWorld(t, nil)
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{DuplicateChunks: true})
	}
	results := callAll(t, w, 60, "doubled")
	if diff := cmp.Diff(60, wholeOnes(results)); diff != "" {
		t.Errorf("whole answers (-want +got)\n%s", diff)
	}
	var dropped int64
	for _, r := range w.Routers() {
		dropped += cicadarouter.CounterValue(r.Metrics().Router, "chunksDropped")
	}
	if dropped == 0 {
		t.Error("no doubled chunk was dropped")
	}
}

// TestHazard10LeavingUpstream drains an engine while the document still lists it
// as live: 3 s after the first word it receives nothing.
func TestHazard10LeavingUpstream(t *testing.T) {
	w := newWorld(t, nil)
	drained := w.Engines()[0]
	drained.SetFaults(cicadastandin.EngineFaults{Draining: true})
	callAll(t, w, 40, "word")
	time.Sleep(3 * time.Second)
	before := drained.ReceivedRequests()
	if diff := cmp.Diff(40, wholeOnes(callAll(t, w, 40, "after"))); diff != "" {
		t.Errorf("whole answers (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff(before, drained.ReceivedRequests()); diff != "" {
		t.Errorf("requests at the leaving runner (-want +got)\n%s", diff)
	}
}

// TestHazard11RestartInAnOutage starts a router while the platform is away. It
// takes the configuration that its peers have, and says so.
func TestHazard11RestartInAnOutage(t *testing.T) {
	w := newWorld(t, nil)
	if err := w.TopUp(t.Context(), "redacteur", map[string]cicadabudget.Units{"pme-levis-2026": 5}); err != nil {
		t.Fatal(err)
	}
	for _, r := range w.Routers() {
		await(t, "version 2", func() bool { return r.Snapshot().Versions()["redacteur"] == 2 })
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
	res := call(t, spec(r, "no-slice"))
	if diff := cmp.Diff([]string{"homeAway", "notRun"}, []string{res.RefusalCode, res.RunStatus}); diff != "" {
		t.Errorf("a fresh router in an outage (-want +got)\n%s", diff)
	}
}

// TestHazard12BudgetLowered lowers a budget below what is spent and handed out.
func TestHazard12BudgetLowered(t *testing.T) {
	w := newWorld(t, map[string]cicadabudget.Units{budget: 1000})
	callAll(t, w, 8, "spend")
	err := w.TopUp(t.Context(), "redacteur", map[string]cicadabudget.Units{"menages-rive-sud-2026": -999})
	if err == nil {
		t.Fatal("the budget was lowered to 1")
	}
	if diff := cmp.Diff(uint64(1), w.Routers()[0].Snapshot().Versions()["redacteur"]); diff != "" {
		t.Errorf("version (-want +got)\n%s", diff)
	}
	if res := call(t, spec(w.Routers()[0], "after")); res.Verdict != cicadaload.Complete {
		t.Errorf("after the refused change: %+v", res)
	}
}

// TestHazard13PlannedStop stops routers under load one after another: no answer
// is cut, and nothing stays held.
func TestHazard13PlannedStop(t *testing.T) {
	w := newWorld(t, nil)
	routers := w.Routers()
	var wg sync.WaitGroup
	results := make([]cicadaload.Result, 40)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			results[i] = call(t, spec(routers[3], fmt.Sprint("steady-", i)))
		}()
	}
	for _, r := range routers[:3] {
		call(t, spec(r, "use"))
		if err := r.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	wg.Wait()
	if diff := cmp.Diff(40, wholeOnes(results)); diff != "" {
		t.Errorf("whole answers (-want +got)\n%s", diff)
	}
	for _, p := range routers[3].State().Homes {
		for _, h := range p.Holders {
			if h.Holder.Host != routers[3].Host().Name && len(h.Held) > 0 {
				t.Errorf("%v still holds %v", h.Holder, h.Held)
			}
		}
	}
}

// TestHazard13StopInAnOutage stops a router while the platform is away and its
// bill cannot be recorded: it ends all the same.
func TestHazard13StopInAnOutage(t *testing.T) {
	w := newWorld(t, nil)
	r := w.Routers()[0]
	call(t, spec(r, "before"))
	w.Platform().SetFaults(cicadastandin.PlatformFaults{Outage: true})
	call(t, spec(r, "during"))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Stop(context.Background()) // not every unit can be returned
	}()
	await(t, "the end of the router", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
}

// TestHazard14RetryStorm fails every request at every engine. Retries stay
// within their budget: a tenth of the requests and the stock of each router.
func TestHazard14RetryStorm(t *testing.T) {
	w := newWorld(t, nil)
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{Fail: true})
	}
	const n = 400
	callAll(t, w, n, "storm")
	received := 0
	for _, e := range w.Engines() {
		received += e.ReceivedRequests()
	}
	const stock = 10
	if most := n + n/10 + stock*len(w.Routers()); received > most {
		t.Errorf("%d requests became %d at the engines, at most %d are allowed", n, received, most)
	}
}

// TestHazard15Herd gives 64 routers the same old load reports. The most loaded
// runner must not get more than a few times its share.
func TestHazard15Herd(t *testing.T) {
	const routers, runners, each = 64, 18, 4
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
		table.UpdateLoad("a0", cicadaroute.LoadReport{}, now) // looks idle to everybody
		for range each {
			addr, err := table.Choose(&cicadaroute.Request{Upstream: "u"}, now)
			if err != nil {
				t.Fatal(err)
			}
			table.RequestStarted(addr)
			got[addr]++
		}
	}
	const share = routers * each / runners
	if got["a0"] > 3*share {
		t.Errorf("the runner that looked idle got %d of %d requests, its share is %d", got["a0"], routers*each, share)
	}
}

// TestHazard16PlaceLost kills every router of two places at once. What they held
// is recovered by few transactions, and the others go on.
func TestHazard16PlaceLost(t *testing.T) {
	w := newWorld(t, nil)
	callAll(t, w, 40, "before")
	routers := w.Routers()
	for _, r := range routers[:2] {
		r.Kill()
	}
	before := cicadarouter.CounterValue(w.Platform().Counters(), "commits")
	var recovered int64
	await(t, "recovery at the survivors", func() bool {
		call(t, spec(routers[2], "after"))
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

// TestHazard01RegionsApart has two regions draw on one budget while one of them
// is cut off from the platform and a top-up arrives at the other.
func TestHazard01RegionsApart(t *testing.T) {
	w := newWorld(t, map[string]cicadabudget.Units{budget: 2000})
	west, err := w.StartRouter("west-1", cicadadoc.DataCentre{Name: "salle-levis", Region: "west"})
	if err != nil {
		t.Fatal(err)
	}
	<-west.Ready()
	east := w.Routers()[0]
	for i := range 6 {
		call(t, spec(east, fmt.Sprint("east-", i)))
		call(t, spec(west, fmt.Sprint("west-", i)))
	}
	w.SetPlatformOutage(west, true)
	if err := w.TopUp(t.Context(), "redacteur", map[string]cicadabudget.Units{"menages-rive-sud-2026": 700}); err != nil {
		t.Fatal(err)
	}
	whole := 0
	for i := range 60 {
		if call(t, spec(east, fmt.Sprint("apart-east-", i))).Verdict == cicadaload.Complete {
			whole++
		}
		if i < 3 {
			call(t, spec(west, fmt.Sprint("apart-west-", i)))
		}
	}
	if whole < 20 {
		t.Errorf("the side with the platform answered %d of 60", whole)
	}
	w.SetPlatformOutage(west, false)
	await(t, "the parted side's bills", func() bool {
		call(t, spec(west, "rejoined"))
		_, units := charged(t, w)
		return units == enginesUse(w)
	})
	_, units := charged(t, w)
	if units > 2700 {
		t.Errorf("%d units billed of 2700 prepaid", units)
	}
}

// enginesUse sums the engines' own counts.
func enginesUse(w *cicadademo.Environment) cicadabudget.Units {
	var sum cicadabudget.Units
	for _, e := range w.Engines() {
		for _, rec := range e.Records() {
			sum += cicadabudget.Units(rec.PromptTokens + rec.CompletionTokens)
		}
	}
	return sum
}
