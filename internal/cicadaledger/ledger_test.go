package cicadaledger_test

import (
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

const (
	region = "qc-est"
	budget = "svc/acme"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	id    = cicadaledger.PartitionOf(region, budget)
	cfg   = cicadaledger.Config{ID: id, KeyWindow: 15 * time.Minute, MaxRunTime: time.Minute}
	r1    = cicadaledger.RouterID{Host: "r1", Incarnation: 7}
	r2    = cicadaledger.RouterID{Host: "r2", Incarnation: 9}
)

func notFullyAllotted(string) bool { return false }
func fullyAllotted(string) bool    { return true }

// newPartition returns a partition to which units of the budget are allotted.
func newPartition(t *testing.T, allotted cicadabudget.Units) *cicadaledger.Partition {
	t.Helper()
	p := cicadaledger.New(cfg)
	apply(t, p, p.AllotmentBatch(1, []cicadaledger.Amount{{Budget: budget, Units: allotted}}, start))
	return p
}

func apply(t *testing.T, p *cicadaledger.Partition, b *cicadaledger.Batch) {
	t.Helper()
	if err := p.Apply(b); err != nil {
		t.Fatal(err)
	}
}

// stage stages x, seals the batch and returns the result.
func stage(t *testing.T, p *cicadaledger.Partition, x *cicadaledger.Exchange, isFullyAllotted func(string) bool, now time.Time) cicadaledger.ExchangeResult {
	t.Helper()
	a, err := p.Stage(x, isFullyAllotted, now)
	if err != nil {
		t.Fatal(err)
	}
	p.SealBatch(1, now)
	return a
}

// requestUnits returns a holder's first exchange, which requests units.
func requestUnits(h cicadaledger.RouterID, least, want cicadabudget.Units) *cicadaledger.Exchange {
	return &cicadaledger.Exchange{Holder: h, Seq: 1, UnitRequests: []cicadaledger.UnitRequest{{Budget: budget, Min: least, Want: want}}}
}

func bill(h cicadaledger.RouterID, seq uint64, b cicadaledger.Bill) *cicadaledger.Exchange {
	b.Budget = budget
	return &cicadaledger.Exchange{Holder: h, Seq: seq, Bills: []cicadaledger.Bill{b}}
}

func granted(a *cicadaledger.ExchangeResult) (sum cicadabudget.Units) {
	for _, g := range a.Grants {
		sum += g.Units
	}
	return sum
}

func TestGrantsDependOnUnallottedUnits(t *testing.T) {
	for _, tc := range []struct {
		name            string
		isFullyAllotted func(string) bool
		least, want     cicadabudget.Units
		grant           cicadabudget.Units
		short           bool
	}{
		{"enough units are granted in full", notFullyAllotted, 0, 90, 90, false},
		{"more than is available, with more to allot", notFullyAllotted, 10, 500, 100, false},
		{"fully allotted, a share for later requests", fullyAllotted, 0, 90, 50, true},
		{"fully allotted, the waiting request comes first", fullyAllotted, 80, 90, 80, true},
		{"fully allotted, nothing for a request that cannot be covered", fullyAllotted, 101, 101, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := stage(t, newPartition(t, 100), requestUnits(r1, tc.least, tc.want), tc.isFullyAllotted, start)
			if diff := cmp.Diff(tc.grant, granted(&a)); diff != "" {
				t.Errorf("granted (-want +got)\n%s", diff)
			}
			if diff := cmp.Diff(tc.short, len(a.Shortages) > 0); diff != "" {
				t.Errorf("reports a shortage (-want +got)\n%s", diff)
			}
		})
	}
}

func TestRepeatedExchangeHasOneEffect(t *testing.T) {
	p := newPartition(t, 100)
	x := requestUnits(r1, 0, 30)
	first := stage(t, p, x, notFullyAllotted, start)
	again, err := p.RecordedResult(x)
	if err != nil || again == nil {
		t.Fatalf("no recorded result for the repeated exchange: %v, %v", again, err)
	}
	if diff := cmp.Diff(first, *again); diff != "" {
		t.Errorf("result of the repeated exchange (-first +again)\n%s", diff)
	}
	if diff := cmp.Diff(cicadabudget.Units(70), p.Balance(budget).Available); diff != "" {
		t.Errorf("available (-want +got)\n%s", diff)
	}
	for _, seq := range []uint64{0, 3} {
		if _, err := p.RecordedResult(&cicadaledger.Exchange{Holder: r1, Seq: seq}); !errors.Is(err, cicadaledger.ErrOutOfOrder) {
			t.Errorf("exchange %d after exchange 1: error %v, want ErrOutOfOrder", seq, err)
		}
	}
}

func TestHolderCannotGiveUpUnitsItDoesNotHave(t *testing.T) {
	p := newPartition(t, 100)
	stage(t, p, requestUnits(r1, 0, 30), notFullyAllotted, start)
	for name, x := range map[string]*cicadaledger.Exchange{
		"bill":          bill(r1, 2, cicadaledger.Bill{RequestID: "a", Units: 31, Outcome: cicadaledger.OutcomeComplete}),
		"negative bill": bill(r1, 2, cicadaledger.Bill{RequestID: "a", Units: -1, Outcome: cicadaledger.OutcomeComplete}),
		"withheld":      bill(r1, 2, cicadaledger.Bill{RequestID: "a", Units: 30, Withheld: 1, Outcome: cicadaledger.OutcomeInterrupted}),
		"return":        {Holder: r1, Seq: 2, Returns: []cicadaledger.Amount{{Budget: budget, Units: 31}}},
		"stranger":      bill(r2, 1, cicadaledger.Bill{RequestID: "a", Units: 1, Outcome: cicadaledger.OutcomeComplete}),
	} {
		before := p.Balance(budget)
		if _, err := p.Stage(x, notFullyAllotted, start); !errors.Is(err, cicadaledger.ErrInvalidExchange) {
			t.Errorf("%s: error %v, want ErrInvalidExchange", name, err)
		}
		if diff := cmp.Diff(before, p.Balance(budget)); diff != "" {
			t.Errorf("%s changed the state (-before +after)\n%s", name, diff)
		}
	}
}

func TestSecondBillOfAKeyIsVoided(t *testing.T) {
	p := newPartition(t, 100)
	stage(t, p, requestUnits(r1, 0, 30), notFullyAllotted, start)
	stage(t, p, requestUnits(r2, 0, 30), notFullyAllotted, start)
	complete := cicadaledger.Bill{RequestID: "r1-a", Key: "k", Fingerprint: "f", Units: 20, Outcome: cicadaledger.OutcomeComplete}
	stage(t, p, bill(r1, 2, complete), notFullyAllotted, start)
	second := complete
	second.RequestID = "r2-a"
	a := stage(t, p, bill(r2, 2, second), notFullyAllotted, start)
	if diff := cmp.Diff([]cicadaledger.Amount{{Budget: budget, Units: 20}}, a.Credits); diff != "" {
		t.Errorf("credits (-want +got)\n%s", diff)
	}
	want := cicadaledger.Balance{Budget: budget, Allotted: 100, Spent: 20, Held: 40, Available: 40, Holders: 2}
	if diff := cmp.Diff(want, p.Balance(budget)); diff != "" {
		t.Errorf("balance (-want +got)\n%s", diff)
	}
	v := p.CheckClaim(cicadaledger.Claim{Key: "k", RequestID: "r2-b", Fingerprint: "f"}, r2, start)
	if diff := cmp.Diff(cicadaledger.ClaimResult{Key: "k", Status: cicadaledger.KeyBilled, RequestID: "r1-a", Holder: r1}, v); diff != "" {
		t.Errorf("claim result (-want +got)\n%s", diff)
	}
}

func TestInterruptedRequestIsNotBilledAndFreesItsKey(t *testing.T) {
	p := newPartition(t, 100)
	stage(t, p, requestUnits(r1, 0, 50), notFullyAllotted, start)
	stage(t, p, bill(r1, 2, cicadaledger.Bill{RequestID: "a", Key: "k", Withheld: 12, Outcome: cicadaledger.OutcomeInterrupted}), notFullyAllotted, start)
	want := cicadaledger.Balance{Budget: budget, Allotted: 100, Withheld: 12, Held: 38, Available: 50, Holders: 1}
	if diff := cmp.Diff(want, p.Balance(budget)); diff != "" {
		t.Errorf("balance (-want +got)\n%s", diff)
	}
	v := p.CheckClaim(cicadaledger.Claim{Key: "k", RequestID: "b"}, r1, start)
	if diff := cmp.Diff(cicadaledger.KeyGranted, v.Status); diff != "" {
		t.Errorf("claim result (-want +got)\n%s", diff)
	}
}

func TestAtMostOnceClaims(t *testing.T) {
	claim := func(request, fingerprint string) cicadaledger.Claim {
		return cicadaledger.Claim{Key: "k", RequestID: request, Fingerprint: fingerprint, AtMostOnce: true}
	}
	exchange := func(seq uint64, c cicadaledger.Claim) *cicadaledger.Exchange {
		return &cicadaledger.Exchange{Holder: r1, Seq: seq, Claims: []cicadaledger.Claim{c}}
	}
	unknownBill := cicadaledger.Bill{RequestID: "a", Key: "k", AtMostOnce: true, Fingerprint: "f", Outcome: cicadaledger.OutcomeUnknown}
	for _, tc := range []struct {
		name  string
		setup func(t *testing.T, p *cicadaledger.Partition)
		at    time.Time
		c     cicadaledger.Claim
		want  cicadaledger.KeyStatus
	}{
		{"same request claims again", nil, start, claim("a", "f"), cicadaledger.KeyGranted},
		{"another attempt while it runs", nil, start, claim("b", "f"), cicadaledger.KeyRunning},
		{"different content", nil, start, claim("b", "g"), cicadaledger.KeyMismatch},
		{"after the maximum run time, without a bill", nil, start.Add(time.Hour), claim("b", "f"), cicadaledger.KeyOutcomeUnknown},
		{"its router process has ended", func(_ *testing.T, p *cicadaledger.Partition) { p.MarkEnded(r1) }, start, claim("b", "f"), cicadaledger.KeyOutcomeUnknown},
		{"its outcome is unknown", func(t *testing.T, p *cicadaledger.Partition) {
			t.Helper()
			stage(t, p, bill(r1, 2, unknownBill), notFullyAllotted, start)
		}, start, claim("b", "f"), cicadaledger.KeyOutcomeUnknown},
		{"it did not run", func(t *testing.T, p *cicadaledger.Partition) {
			t.Helper()
			notRun := unknownBill
			notRun.Outcome = cicadaledger.OutcomeNotRun
			stage(t, p, bill(r1, 2, notRun), notFullyAllotted, start)
		}, start, claim("b", "f"), cicadaledger.KeyGranted},
		{"it is billed, rerun requested", func(t *testing.T, p *cicadaledger.Partition) {
			t.Helper()
			complete := unknownBill
			complete.Outcome = cicadaledger.OutcomeComplete
			stage(t, p, bill(r1, 2, complete), notFullyAllotted, start)
		}, start, cicadaledger.Claim{Key: "k", RequestID: "b", Fingerprint: "f", AtMostOnce: true, Rerun: true}, cicadaledger.KeyBilled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartition(t, 100)
			a := stage(t, p, exchange(1, claim("a", "f")), notFullyAllotted, start)
			if diff := cmp.Diff(cicadaledger.KeyGranted, a.ClaimResults[0].Status); diff != "" {
				t.Fatalf("first claim (-want +got)\n%s", diff)
			}
			if tc.setup != nil {
				tc.setup(t, p)
			}
			if diff := cmp.Diff(tc.want, p.CheckClaim(tc.c, r2, tc.at).Status); diff != "" {
				t.Errorf("second claim (-want +got)\n%s", diff)
			}
		})
	}
}

func TestTwoClaimsInOneBatchGrantOne(t *testing.T) {
	p := newPartition(t, 10)
	a := stage(t, p, &cicadaledger.Exchange{Holder: r1, Seq: 1, Claims: []cicadaledger.Claim{
		{Key: "k", RequestID: "a", Fingerprint: "f", AtMostOnce: true},
		{Key: "k", RequestID: "b", Fingerprint: "f", AtMostOnce: true},
	}}, notFullyAllotted, start)
	got := []cicadaledger.KeyStatus{a.ClaimResults[0].Status, a.ClaimResults[1].Status}
	if diff := cmp.Diff([]cicadaledger.KeyStatus{cicadaledger.KeyGranted, cicadaledger.KeyRunning}, got); diff != "" {
		t.Errorf("claim results (-want +got)\n%s", diff)
	}
}

func TestTextEncoding(t *testing.T) {
	for _, h := range []cicadaledger.RouterID{{}, {Host: "salle-levis-1", Incarnation: 1796330600340}} {
		text, err := h.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var back cicadaledger.RouterID
		if err := back.UnmarshalText(text); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(h, back); diff != "" {
			t.Errorf("router ID %s (-want +got)\n%s", text, diff)
		}
	}
	var p cicadaledger.PartitionID
	if err := p.UnmarshalText([]byte(id.String())); err != nil || p != id {
		t.Errorf("partition %s was decoded as %v, error %v", id, p, err)
	}
	for _, bad := range []string{"", "qc-est", "qc-est/512", "qc-est/-1", "qc-est/x"} {
		if err := p.UnmarshalText([]byte(bad)); err == nil {
			t.Errorf("%q was accepted as a partition ID", bad)
		}
	}
}

func TestAllotLeavesUnitsForOtherRegions(t *testing.T) {
	row := cicadaledger.BudgetRow{Prepaid: 800}
	var got []cicadabudget.Units
	for _, step := range []struct {
		region string
		need   cicadabudget.Units
	}{{"east", 10}, {"west", 10}, {"east", 500}, {"west", 500}, {"west", 1}} {
		got = append(got, row.Allot(step.region, step.need))
	}
	if diff := cmp.Diff([]cicadabudget.Units{100, 87, 500, 113, 0}, got); diff != "" {
		t.Errorf("allotments (-want +got)\n%s", diff)
	}
	if row.TotalAllotted() != row.Prepaid {
		t.Errorf("allotted %d of %d", row.TotalAllotted(), row.Prepaid)
	}
}
