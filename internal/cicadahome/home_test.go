package cicadahome_test

import (
	"context"
	"expvar"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadahome"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/google/go-cmp/cmp"
)

const (
	region = "east"
	budget = "svc/acme-2026"
)

var (
	partition = cicadaledger.PartitionOf(region, budget)
	router    = cicadaledger.RouterID{Host: "r", Incarnation: 1}
)

// fakeFleet is a fleet whose hosts respond unless they are marked as unresponsive.
type fakeFleet struct {
	mu           sync.Mutex
	unresponsive map[string]bool
	recalled     []cicadaledger.RouterID
}

func (f *fakeFleet) HasEnded(cicadaledger.RouterID) bool { return false }

func (f *fakeFleet) Responds(_ context.Context, _ string, id cicadaledger.RouterID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unresponsive[id.Host]
}

func (f *fakeFleet) Recall(h cicadaledger.RouterID, _ []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recalled = append(f.recalled, h)
}

func (f *fakeFleet) stopResponding(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive[host] = true
}

type testEnv struct {
	platform *cicadastandin.Platform
	fleet    *fakeFleet
}

func newTestEnv(t *testing.T, prepaid cicadabudget.Units) *testEnv {
	t.Helper()
	env := &testEnv{
		platform: cicadastandin.NewPlatform(cicadastandin.PlatformConfig{RandomSeed: 3}),
		fleet:    &fakeFleet{unresponsive: make(map[string]bool)},
	}
	env.setPrepaid(t, cicadaledger.BudgetRow{Prepaid: prepaid})
	return env
}

func (env *testEnv) setPrepaid(t *testing.T, row cicadaledger.BudgetRow) {
	t.Helper()
	value, err := cicadaledger.EncodeRow(row)
	if err != nil {
		t.Fatal(err)
	}
	ref := cicadastore.Ref{Table: cicadastore.TableBudget, Key: budget}
	if _, err := env.platform.Commit(t.Context(), cicadastore.Txn{Writes: []cicadastore.Write{{Ref: ref, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

func (env *testEnv) startHome(t *testing.T, name string, platform cicadastore.Platform) *cicadahome.Home {
	t.Helper()
	h := cicadahome.New(cicadahome.Config{
		Platform: platform, Fleet: env.fleet, Self: cicadaledger.RouterID{Host: name, Incarnation: 1}, Region: region, PeerAddr: name,
		CommitInterval: func() time.Duration { return time.Millisecond },
		KeyWindow:      func() time.Duration { return time.Hour },
		MaxRunTime:     func() time.Duration { return time.Minute },
		Log:            &log.Logger{Handler: discard.New()},
		Counts:         new(expvar.Map).Init(),
	})
	h.Start()
	t.Cleanup(h.Close)
	return h
}

// exchange repeats an exchange until it gets the result.
func exchange(t *testing.T, h *cicadahome.Home, x *cicadaledger.Exchange) *cicadaledger.ExchangeResult {
	t.Helper()
	for range 100 {
		if r := tryExchange(h, x); r.Result != nil {
			return r.Result
		}
	}
	t.Fatal("no result after 100 attempts of the exchange")
	return nil
}

func tryExchange(h *cicadahome.Home, x *cicadaledger.Exchange) cicadapeer.ItemReply {
	reply := h.Exchange(context.Background(), &cicadapeer.ExchangeRequest{
		Items: []cicadapeer.ExchangeItem{{Partition: partition, Exchange: *x}},
	})
	return reply.Items[0]
}

func unitRequest(seq uint64, least, want cicadabudget.Units) *cicadaledger.Exchange {
	return &cicadaledger.Exchange{Holder: router, Seq: seq, UnitRequests: []cicadaledger.UnitRequest{{Budget: budget, Min: least, Want: want}}}
}

func billExchange(seq uint64, id string, units cicadabudget.Units) *cicadaledger.Exchange {
	return &cicadaledger.Exchange{Holder: router, Seq: seq, Bills: []cicadaledger.Bill{
		{RequestID: id, Budget: budget, Units: units, Outcome: cicadaledger.OutcomeComplete},
	}}
}

// replayedBalance returns the budget's balance after replaying the partition from
// the platform, as a successor does.
func (env *testEnv) replayedBalance(t *testing.T) cicadaledger.Balance {
	t.Helper()
	row, err := cicadastore.GetOne(t.Context(), env.platform, cicadastore.Ref{Table: cicadastore.TableFence, Key: partition.String()})
	if err != nil {
		t.Fatal(err)
	}
	var fence cicadaledger.FenceRow
	if err := cicadaledger.DecodeRow(row.Value, &fence); err != nil {
		t.Fatal(err)
	}
	p, err := cicadahome.Replay(t.Context(), env.platform, cicadaledger.Config{ID: partition}, &fence)
	if err != nil {
		t.Fatal(err)
	}
	return p.Balance(budget)
}

func TestGrantBillAndReplay(t *testing.T) {
	env := newTestEnv(t, 800)
	h := env.startHome(t, "h1", env.platform)
	if a := exchange(t, h, unitRequest(1, 40, 60)); len(a.Grants) != 1 || a.Grants[0].Units != 60 {
		t.Fatalf("granted %+v", a.Grants)
	}
	exchange(t, h, billExchange(2, "a", 25))
	want := cicadaledger.Balance{Budget: budget, Allotted: 100, Spent: 25, Held: 35, Available: 40, Holders: 1}
	if diff := cmp.Diff(want, env.replayedBalance(t)); diff != "" {
		t.Errorf("balance (-want +got)\n%s", diff)
	}
}

// TestLostAnswersCountOnce drops half of the platform's responses after the commits
// took effect: no bill and no allotment may be counted twice.
func TestLostAnswersCountOnce(t *testing.T) {
	env := newTestEnv(t, 1000)
	env.platform.SetFaults(cicadastandin.PlatformFaults{LostResponseRatio: 0.5})
	h := env.startHome(t, "h1", env.platform)
	var held cicadabudget.Units
	for seq := uint64(1); seq < 40; seq += 2 {
		for _, g := range exchange(t, h, unitRequest(seq, 10, 10)).Grants {
			held += g.Units
		}
		exchange(t, h, billExchange(seq+1, "a", 10))
		held -= 10
	}
	got := env.replayedBalance(t)
	if diff := cmp.Diff([]cicadabudget.Units{200, held}, []cicadabudget.Units{got.Spent, got.Held}); diff != "" {
		t.Errorf("spent and held (-want +got)\n%s", diff)
	}
}

// TestSupersededHomeChangesNothing lets a successor take over the partition while
// the first home does not respond to the successor but still serves the router.
// Later exchanges with the first home must have no effect.
func TestSupersededHomeChangesNothing(t *testing.T) {
	env := newTestEnv(t, 800)
	first := env.startHome(t, "h1", env.platform)
	exchange(t, first, unitRequest(1, 0, 50))
	env.fleet.stopResponding("h1")
	second := env.startHome(t, "h2", env.platform)
	exchange(t, second, unitRequest(2, 0, 10))
	before := env.replayedBalance(t)
	if r := tryExchange(first, unitRequest(3, 0, 30)); r.Fault != cicadapeer.FaultNotHome {
		t.Errorf("the superseded home responded %+v, want a not-home fault", r)
	}
	if diff := cmp.Diff(before, env.replayedBalance(t)); diff != "" {
		t.Errorf("balance (-before +after)\n%s", diff)
	}
	// The same exchange takes effect at the successor.
	if a := exchange(t, second, unitRequest(3, 0, 30)); len(a.Grants) != 1 {
		t.Errorf("the successor granted %+v", a.Grants)
	}
}

func TestLiveHomeIsNotReplaced(t *testing.T) {
	env := newTestEnv(t, 800)
	exchange(t, env.startHome(t, "h1", env.platform), unitRequest(1, 0, 50))
	r := tryExchange(env.startHome(t, "h2", env.platform), unitRequest(2, 0, 50))
	want := cicadapeer.ItemReply{Fault: cicadapeer.FaultNotHome, HomeAddr: "h1"}
	if diff := cmp.Diff(want, r); diff != "" {
		t.Errorf("reply (-want +got)\n%s", diff)
	}
}

// TestSuccessorReturnsTheRecordedResult repeats an exchange at the successor after
// the first home's result was lost: the exchange must take effect once.
func TestSuccessorReturnsTheRecordedResult(t *testing.T) {
	env := newTestEnv(t, 800)
	first := env.startHome(t, "h1", env.platform)
	firstResult := exchange(t, first, unitRequest(1, 0, 50))
	env.fleet.stopResponding("h1")
	again := exchange(t, env.startHome(t, "h2", env.platform), unitRequest(1, 0, 50))
	if diff := cmp.Diff(firstResult, again); diff != "" {
		t.Errorf("result of the repeated exchange (-first +again)\n%s", diff)
	}
	if diff := cmp.Diff(cicadabudget.Units(50), env.replayedBalance(t).Held); diff != "" {
		t.Errorf("held (-want +got)\n%s", diff)
	}
}

func TestReleasedPartitionIsTakenOverAtOnce(t *testing.T) {
	env := newTestEnv(t, 800)
	first := env.startHome(t, "h1", env.platform)
	exchange(t, first, unitRequest(1, 0, 50))
	first.Shutdown()
	a := exchange(t, env.startHome(t, "h2", env.platform), unitRequest(2, 0, 10))
	if len(a.Grants) != 1 {
		t.Errorf("granted %+v", a.Grants)
	}
}

// TestOutageStopsGrantsAndLosesNothing makes the platform unavailable: exchanges
// must fail during the outage, and a repeated one must take effect once after it.
func TestOutageStopsGrantsAndLosesNothing(t *testing.T) {
	env := newTestEnv(t, 800)
	h := env.startHome(t, "h1", env.platform)
	exchange(t, h, unitRequest(1, 0, 50))
	env.platform.SetFaults(cicadastandin.PlatformFaults{Outage: true})
	if r := tryExchange(h, billExchange(2, "a", 30)); r.Fault != cicadapeer.FaultUnavailable {
		t.Errorf("reply during the outage: %+v", r)
	}
	env.platform.SetFaults(cicadastandin.PlatformFaults{})
	exchange(t, h, billExchange(2, "a", 30))
	got := env.replayedBalance(t)
	if diff := cmp.Diff([]cicadabudget.Units{30, 20}, []cicadabudget.Units{got.Spent, got.Held}); diff != "" {
		t.Errorf("spent and held (-want +got)\n%s", diff)
	}
}

func TestShortageOfAFullyAllottedBudget(t *testing.T) {
	env := newTestEnv(t, 100)
	h := env.startHome(t, "h1", env.platform)
	a := exchange(t, h, unitRequest(1, 101, 101))
	want := []cicadaledger.Shortage{{Budget: budget, Remaining: 100, FullyAllotted: true}}
	if diff := cmp.Diff(want, a.Shortages); diff != "" {
		t.Errorf("shortages (-want +got)\n%s", diff)
	}
}

func TestTopUpIsGranted(t *testing.T) {
	env := newTestEnv(t, 100)
	h := env.startHome(t, "h1", env.platform)
	exchange(t, h, unitRequest(1, 101, 101))
	env.setPrepaid(t, cicadaledger.BudgetRow{Prepaid: 500, Allotted: map[string]cicadabudget.Units{region: 100}})
	for seq := uint64(2); seq < 200; seq++ {
		if a := exchange(t, h, unitRequest(seq, 101, 101)); len(a.Grants) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("units of the top-up were not granted after 198 exchanges")
}

// TestOnceKeyIsKeptForEver claims and bills an at-most-once key, and claims it again
// at a home whose ledger has no record of the key.
func TestOnceKeyIsKeptForEver(t *testing.T) {
	env := newTestEnv(t, 800)
	claim := func(seq uint64, id string) *cicadaledger.Exchange {
		return &cicadaledger.Exchange{Holder: router, Seq: seq, Claims: []cicadaledger.Claim{
			{Key: "k", RequestID: id, Fingerprint: "f", AtMostOnce: true},
		}}
	}
	first := env.startHome(t, "h1", env.platform)
	exchange(t, first, claim(1, "a"))
	done := billExchange(2, "a", 0)
	done.Bills[0].Key, done.Bills[0].AtMostOnce, done.Bills[0].Fingerprint = "k", true, "f"
	exchange(t, first, done)
	// Without the fence row, the successor reads neither checkpoint nor log. Only
	// the key's own row is left.
	for _, row := range env.platform.TableRows(cicadastore.TableFence) {
		_, err := env.platform.Commit(t.Context(), cicadastore.Txn{Writes: []cicadastore.Write{{Ref: row.Ref, Delete: true}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	a := exchange(t, env.startHome(t, "h2", env.platform), claim(1, "b"))
	if diff := cmp.Diff(cicadaledger.KeyBilled, a.ClaimResults[0].Status); diff != "" {
		t.Errorf("claim result (-want +got)\n%s", diff)
	}
}

func TestIdempotentClaims(t *testing.T) {
	env := newTestEnv(t, 800)
	h := env.startHome(t, "h1", env.platform)
	sendClaim := func(id, fingerprint string, release bool) cicadapeer.ClaimReply {
		return *h.Claim(&cicadapeer.ClaimRequest{
			Partition: partition, Holder: router, Release: release,
			Claim: cicadaledger.Claim{Key: "k", RequestID: id, Fingerprint: fingerprint},
		})
	}
	if diff := cmp.Diff(cicadapeer.FaultNotHome, sendClaim("a", "f", false).Fault); diff != "" {
		t.Errorf("fault before the takeover (-want +got)\n%s", diff)
	}
	exchange(t, h, unitRequest(1, 0, 50))
	got := []cicadaledger.KeyStatus{
		sendClaim("a", "f", false).Result.Status, sendClaim("b", "f", false).Result.Status, sendClaim("b", "g", false).Result.Status,
	}
	sendClaim("a", "f", true)
	got = append(got, sendClaim("b", "f", false).Result.Status)
	bill := billExchange(2, "b", 5)
	bill.Bills[0].Key, bill.Bills[0].Fingerprint = "k", "f"
	exchange(t, h, bill)
	got = append(got, sendClaim("c", "f", false).Result.Status)
	want := []cicadaledger.KeyStatus{
		cicadaledger.KeyGranted, cicadaledger.KeyRunning, cicadaledger.KeyMismatch, cicadaledger.KeyGranted, cicadaledger.KeyBilled,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("claim results (-want +got)\n%s", diff)
	}
}

func TestUnitsOfAShortBudgetAreRecalled(t *testing.T) {
	env := newTestEnv(t, 100)
	h := env.startHome(t, "h1", env.platform)
	exchange(t, h, unitRequest(1, 60, 60))
	other := unitRequest(1, 60, 60)
	other.Holder.Host = "other"
	exchange(t, h, other)
	env.fleet.mu.Lock()
	defer env.fleet.mu.Unlock()
	if diff := cmp.Diff([]cicadaledger.RouterID{router}, env.fleet.recalled); diff != "" {
		t.Errorf("recalled (-want +got)\n%s", diff)
	}
}
