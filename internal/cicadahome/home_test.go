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

// fakeFleet is a fleet whose hosts answer unless they are listed as silent.
type fakeFleet struct {
	mu       sync.Mutex
	silent   map[string]bool
	recalled []cicadaledger.RouterID
}

func (f *fakeFleet) HasEnded(cicadaledger.RouterID) bool { return false }

func (f *fakeFleet) Responds(_ context.Context, _ string, id cicadaledger.RouterID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.silent[id.Host]
}

func (f *fakeFleet) Recall(h cicadaledger.RouterID, _ []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recalled = append(f.recalled, h)
}

func (f *fakeFleet) silence(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[host] = true
}

type world struct {
	platform *cicadastandin.Platform
	fleet    *fakeFleet
}

func newWorld(t *testing.T, prepaid cicadabudget.Units) *world {
	t.Helper()
	w := &world{
		platform: cicadastandin.NewPlatform(cicadastandin.PlatformConfig{RandomSeed: 3}),
		fleet:    &fakeFleet{silent: make(map[string]bool)},
	}
	w.setPrepaid(t, cicadaledger.BudgetRow{Prepaid: prepaid})
	return w
}

func (w *world) setPrepaid(t *testing.T, row cicadaledger.BudgetRow) {
	t.Helper()
	value, err := cicadaledger.EncodeRow(row)
	if err != nil {
		t.Fatal(err)
	}
	ref := cicadastore.Ref{Table: cicadastore.TableBudget, Key: budget}
	if _, err := w.platform.Commit(t.Context(), cicadastore.Txn{Writes: []cicadastore.Write{{Ref: ref, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

func (w *world) start(t *testing.T, name string, platform cicadastore.Platform) *cicadahome.Home {
	t.Helper()
	h := cicadahome.New(cicadahome.Config{
		Platform: platform, Fleet: w.fleet, Self: cicadaledger.RouterID{Host: name, Incarnation: 1}, Region: region, PeerAddr: name,
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

// exchange repeats an exchange until a home answers it.
func exchange(t *testing.T, h *cicadahome.Home, x *cicadaledger.Exchange) *cicadaledger.ExchangeResult {
	t.Helper()
	for range 100 {
		if r := once(h, x); r.Result != nil {
			return r.Result
		}
	}
	t.Fatal("the exchange was never answered")
	return nil
}

func once(h *cicadahome.Home, x *cicadaledger.Exchange) cicadapeer.ItemReply {
	reply := h.Exchange(context.Background(), &cicadapeer.ExchangeRequest{
		Items: []cicadapeer.ExchangeItem{{Partition: partition, Exchange: *x}},
	})
	return reply.Items[0]
}

func asking(seq uint64, least, want cicadabudget.Units) *cicadaledger.Exchange {
	return &cicadaledger.Exchange{Holder: router, Seq: seq, UnitRequests: []cicadaledger.UnitRequest{{Budget: budget, Min: least, Want: want}}}
}

func billing(seq uint64, id string, units cicadabudget.Units) *cicadaledger.Exchange {
	return &cicadaledger.Exchange{Holder: router, Seq: seq, Bills: []cicadaledger.Bill{
		{RequestID: id, Budget: budget, Units: units, Outcome: cicadaledger.OutcomeComplete},
	}}
}

// audit replays the platform's record as a successor would.
func (w *world) audit(t *testing.T) cicadaledger.Balance {
	t.Helper()
	row, err := cicadastore.GetOne(t.Context(), w.platform, cicadastore.Ref{Table: cicadastore.TableFence, Key: partition.String()})
	if err != nil {
		t.Fatal(err)
	}
	var fence cicadaledger.FenceRow
	if err := cicadaledger.DecodeRow(row.Value, &fence); err != nil {
		t.Fatal(err)
	}
	p, err := cicadahome.Replay(t.Context(), w.platform, cicadaledger.Config{ID: partition}, &fence)
	if err != nil {
		t.Fatal(err)
	}
	return p.Balance(budget)
}

func TestGrantBillAndReplay(t *testing.T) {
	w := newWorld(t, 800)
	h := w.start(t, "h1", w.platform)
	if a := exchange(t, h, asking(1, 40, 60)); len(a.Grants) != 1 || a.Grants[0].Units != 60 {
		t.Fatalf("granted %+v", a.Grants)
	}
	exchange(t, h, billing(2, "a", 25))
	want := cicadaledger.Balance{Budget: budget, Allotted: 100, Spent: 25, Held: 35, Available: 40, Holders: 1}
	if diff := cmp.Diff(want, w.audit(t)); diff != "" {
		t.Errorf("figures (-want +got)\n%s", diff)
	}
}

// TestLostAnswersCountOnce loses half of the platform's answers after the
// effect: no bill and no allotment may count twice.
func TestLostAnswersCountOnce(t *testing.T) {
	w := newWorld(t, 1000)
	w.platform.SetFaults(cicadastandin.PlatformFaults{LostResponseRatio: 0.5})
	h := w.start(t, "h1", w.platform)
	var held cicadabudget.Units
	for seq := uint64(1); seq < 40; seq += 2 {
		for _, g := range exchange(t, h, asking(seq, 10, 10)).Grants {
			held += g.Units
		}
		exchange(t, h, billing(seq+1, "a", 10))
		held -= 10
	}
	got := w.audit(t)
	if diff := cmp.Diff([]cicadabudget.Units{200, held}, []cicadabudget.Units{got.Spent, got.Held}); diff != "" {
		t.Errorf("spent and held (-want +got)\n%s", diff)
	}
}

// TestSupersededHomeChangesNothing lets a successor take the partition over
// while the first home is silent to it and alive to the router. Whatever the
// first home is asked then has no effect.
func TestSupersededHomeChangesNothing(t *testing.T) {
	w := newWorld(t, 800)
	first := w.start(t, "h1", w.platform)
	exchange(t, first, asking(1, 0, 50))
	w.fleet.silence("h1")
	second := w.start(t, "h2", w.platform)
	exchange(t, second, asking(2, 0, 10))
	before := w.audit(t)
	if r := once(first, asking(3, 0, 30)); r.Fault != cicadapeer.FaultNotHome {
		t.Errorf("the superseded home answered %+v", r)
	}
	if diff := cmp.Diff(before, w.audit(t)); diff != "" {
		t.Errorf("figures (-before +after)\n%s", diff)
	}
	// The same exchange takes effect at the successor.
	if a := exchange(t, second, asking(3, 0, 30)); len(a.Grants) != 1 {
		t.Errorf("the successor granted %+v", a.Grants)
	}
}

func TestLiveHomeIsNotReplaced(t *testing.T) {
	w := newWorld(t, 800)
	exchange(t, w.start(t, "h1", w.platform), asking(1, 0, 50))
	r := once(w.start(t, "h2", w.platform), asking(2, 0, 50))
	want := cicadapeer.ItemReply{Fault: cicadapeer.FaultNotHome, HomeAddr: "h1"}
	if diff := cmp.Diff(want, r); diff != "" {
		t.Errorf("reply (-want +got)\n%s", diff)
	}
}

// TestSuccessorAnswersTheRepeatedExchange repeats an exchange at the successor
// whose answer by the first home was lost: it must have one effect.
func TestSuccessorAnswersTheRepeatedExchange(t *testing.T) {
	w := newWorld(t, 800)
	first := w.start(t, "h1", w.platform)
	lost := exchange(t, first, asking(1, 0, 50))
	w.fleet.silence("h1")
	again := exchange(t, w.start(t, "h2", w.platform), asking(1, 0, 50))
	if diff := cmp.Diff(lost, again); diff != "" {
		t.Errorf("answer (-first +again)\n%s", diff)
	}
	if diff := cmp.Diff(cicadabudget.Units(50), w.audit(t).Held); diff != "" {
		t.Errorf("held (-want +got)\n%s", diff)
	}
}

func TestReleasedPartitionIsTakenAtOnce(t *testing.T) {
	w := newWorld(t, 800)
	first := w.start(t, "h1", w.platform)
	exchange(t, first, asking(1, 0, 50))
	first.Shutdown()
	a := exchange(t, w.start(t, "h2", w.platform), asking(2, 0, 10))
	if len(a.Grants) != 1 {
		t.Errorf("granted %+v", a.Grants)
	}
}

// TestOutageStopsGrantsAndLosesNothing keeps the platform away: nothing is
// granted; afterwards the repeated exchange takes effect once.
func TestOutageStopsGrantsAndLosesNothing(t *testing.T) {
	w := newWorld(t, 800)
	h := w.start(t, "h1", w.platform)
	exchange(t, h, asking(1, 0, 50))
	w.platform.SetFaults(cicadastandin.PlatformFaults{Outage: true})
	if r := once(h, billing(2, "a", 30)); r.Fault != cicadapeer.FaultUnavailable {
		t.Errorf("in the outage: %+v", r)
	}
	w.platform.SetFaults(cicadastandin.PlatformFaults{})
	exchange(t, h, billing(2, "a", 30))
	got := w.audit(t)
	if diff := cmp.Diff([]cicadabudget.Units{30, 20}, []cicadabudget.Units{got.Spent, got.Held}); diff != "" {
		t.Errorf("spent and held (-want +got)\n%s", diff)
	}
}

func TestShortageIsFinalOnlyWhenAllIsAllotted(t *testing.T) {
	w := newWorld(t, 100)
	h := w.start(t, "h1", w.platform)
	a := exchange(t, h, asking(1, 101, 101))
	want := []cicadaledger.Shortage{{Budget: budget, Remaining: 100, FullyAllotted: true}}
	if diff := cmp.Diff(want, a.Shortages); diff != "" {
		t.Errorf("shortage (-want +got)\n%s", diff)
	}
}

func TestTopUpIsGranted(t *testing.T) {
	w := newWorld(t, 100)
	h := w.start(t, "h1", w.platform)
	exchange(t, h, asking(1, 101, 101))
	w.setPrepaid(t, cicadaledger.BudgetRow{Prepaid: 500, Allotted: map[string]cicadabudget.Units{region: 100}})
	for seq := uint64(2); seq < 200; seq++ {
		if a := exchange(t, h, asking(seq, 101, 101)); len(a.Grants) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the top-up was never granted")
}

// TestOnceKeyIsKeptForEver claims a key, and again after the home's memory of
// it is gone.
func TestOnceKeyIsKeptForEver(t *testing.T) {
	w := newWorld(t, 800)
	claim := func(seq uint64, id string) *cicadaledger.Exchange {
		return &cicadaledger.Exchange{Holder: router, Seq: seq, Claims: []cicadaledger.Claim{
			{Key: "k", RequestID: id, Fingerprint: "f", AtMostOnce: true},
		}}
	}
	first := w.start(t, "h1", w.platform)
	exchange(t, first, claim(1, "a"))
	done := billing(2, "a", 0)
	done.Bills[0].Key, done.Bills[0].AtMostOnce, done.Bills[0].Fingerprint = "k", true, "f"
	exchange(t, first, done)
	// A successor without the log's memory of the key: only its row is left.
	for _, row := range w.platform.TableRows(cicadastore.TableFence) {
		_, err := w.platform.Commit(t.Context(), cicadastore.Txn{Writes: []cicadastore.Write{{Ref: row.Ref, Delete: true}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	a := exchange(t, w.start(t, "h2", w.platform), claim(1, "b"))
	if diff := cmp.Diff(cicadaledger.KeyBilled, a.ClaimResults[0].Status); diff != "" {
		t.Errorf("verdict (-want +got)\n%s", diff)
	}
}

func TestVolatileClaims(t *testing.T) {
	w := newWorld(t, 800)
	h := w.start(t, "h1", w.platform)
	ask := func(id, fingerprint string, release bool) cicadapeer.ClaimReply {
		return *h.Claim(&cicadapeer.ClaimRequest{
			Partition: partition, Holder: router, Release: release,
			Claim: cicadaledger.Claim{Key: "k", RequestID: id, Fingerprint: fingerprint},
		})
	}
	if diff := cmp.Diff(cicadapeer.FaultNotHome, ask("a", "f", false).Fault); diff != "" {
		t.Errorf("before there is a home (-want +got)\n%s", diff)
	}
	exchange(t, h, asking(1, 0, 50))
	got := []cicadaledger.KeyStatus{
		ask("a", "f", false).Result.Status, ask("b", "f", false).Result.Status, ask("b", "g", false).Result.Status,
	}
	ask("a", "f", true)
	got = append(got, ask("b", "f", false).Result.Status)
	bill := billing(2, "b", 5)
	bill.Bills[0].Key, bill.Bills[0].Fingerprint = "k", "f"
	exchange(t, h, bill)
	got = append(got, ask("c", "f", false).Result.Status)
	want := []cicadaledger.KeyStatus{
		cicadaledger.KeyGranted, cicadaledger.KeyRunning, cicadaledger.KeyMismatch, cicadaledger.KeyGranted, cicadaledger.KeyBilled,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got)\n%s", diff)
	}
}

func TestScarceBudgetIsRecalled(t *testing.T) {
	w := newWorld(t, 100)
	h := w.start(t, "h1", w.platform)
	exchange(t, h, asking(1, 60, 60))
	other := asking(1, 60, 60)
	other.Holder.Host = "other"
	exchange(t, h, other)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if diff := cmp.Diff([]cicadaledger.RouterID{router}, w.fleet.recalled); diff != "" {
		t.Errorf("recalled (-want +got)\n%s", diff)
	}
}
