package cicadaroute_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaroute"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

const upstream = "svc/engines"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTable returns a table of n runners with four slots each, which alternate
// between two data centres.
func newTable(n int) *cicadaroute.Table {
	t := cicadaroute.NewTable("r1", 1)
	t.SetUpstream(upstream, runners(n))
	return t
}

func runners(n int) []cicadaroute.Runner {
	out := make([]cicadaroute.Runner, n)
	for i := range out {
		out[i] = cicadaroute.Runner{
			Name: fmt.Sprintf("e%d", i), Address: address(i), DataCentre: fmt.Sprintf("p%d", i%2), Capacity: 4,
		}
	}
	return out
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 9000+i) }

// chosen makes n choices for requests that never finish, and returns how often
// each runner was chosen.
func chosen(t *testing.T, table *cicadaroute.Table, req *cicadaroute.Request, n int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range n {
		addr, err := table.Choose(req, start)
		if err != nil {
			t.Fatal(err)
		}
		table.RequestStarted(addr)
		out[addr]++
	}
	return out
}

func TestLeavingRunnerGetsNothing(t *testing.T) {
	table := newTable(4)
	table.MarkDraining(address(2))
	if n := chosen(t, table, &cicadaroute.Request{Upstream: upstream}, 20)[address(2)]; n != 0 {
		t.Errorf("the draining runner was chosen %d times", n)
	}
	// The runner stays draining although the document still lists it and an old
	// load report does not mark it as draining.
	table.SetUpstream(upstream, runners(4))
	table.UpdateLoad(address(2), cicadaroute.LoadReport{}, start)
	if diff := cmp.Diff([]string{address(2)}, table.DrainingRunners()); diff != "" {
		t.Errorf("draining runners (-want +got)\n%s", diff)
	}
}

func TestLocalDataCentreIsPreferredUntilFull(t *testing.T) {
	table := newTable(4)
	req := &cicadaroute.Request{Upstream: upstream, DataCentre: "p0", LocalFirst: true}
	got := chosen(t, table, req, 8)
	if diff := cmp.Diff(map[string]int{address(0): 4, address(2): 4}, got); diff != "" {
		t.Errorf("choices for the first eight requests (-want +got)\n%s", diff)
	}
	for addr := range chosen(t, table, req, 4) {
		if addr == address(0) || addr == address(2) {
			t.Errorf("runner %s in the local data centre got more requests than it has slots while others were free", addr)
		}
	}
}

func TestLoadReportIsCorrectedByOwnRequests(t *testing.T) {
	table := newTable(2)
	table.UpdateLoad(address(0), cicadaroute.LoadReport{Running: 3}, start)
	table.UpdateLoad(address(1), cicadaroute.LoadReport{Running: 1}, start)
	got := chosen(t, table, &cicadaroute.Request{Upstream: upstream}, 4)
	if diff := cmp.Diff(map[string]int{address(0): 1, address(1): 3}, got); diff != "" {
		t.Errorf("choices (-want +got)\n%s", diff)
	}
}

func TestReportingRunners(t *testing.T) {
	list := runners(3)
	list[1].ReportsLoad = true
	table := cicadaroute.NewTable("r1", 1)
	table.SetUpstream(upstream, list)
	if diff := cmp.Diff([]string{address(1)}, table.ReportingRunners()); diff != "" {
		t.Errorf("runners that report their load (-want +got)\n%s", diff)
	}
}

func TestFailingRunnerIsEjectedForAWhile(t *testing.T) {
	table := newTable(4)
	for range 3 {
		table.RequestStarted(address(1))
		table.RequestFinished(address(1), true, start)
	}
	if n := chosen(t, table, &cicadaroute.Request{Upstream: upstream}, 9)[address(1)]; n != 0 {
		t.Errorf("the ejected runner was chosen %d times", n)
	}
	state := func(at time.Time) string {
		for _, c := range table.Candidates(&cicadaroute.Request{Upstream: upstream}, at) {
			if c.Name == "e1" {
				return c.ExclusionReason
			}
		}
		return "missing"
	}
	got := []string{state(start), state(start.Add(2 * time.Second))}
	if diff := cmp.Diff([]string{"ejected", ""}, got); diff != "" {
		t.Errorf("exclusion reason now and two seconds later (-want +got)\n%s", diff)
	}
}

// TestEjectionsAreIgnoredIfMostRunnersAreEjected lets every runner fail. If all of
// them stayed ejected, a single fault elsewhere would stop all requests.
func TestEjectionsAreIgnoredIfMostRunnersAreEjected(t *testing.T) {
	table := newTable(4)
	for i := range 4 {
		for range 3 {
			table.RequestStarted(address(i))
			table.RequestFinished(address(i), true, start)
		}
	}
	if _, err := table.Choose(&cicadaroute.Request{Upstream: upstream}, start); err != nil {
		t.Errorf("no runner was chosen after all were ejected: %v", err)
	}
}

func TestChooseErrors(t *testing.T) {
	full := newTable(2)
	for i := range 2 {
		full.UpdateLoad(address(i), cicadaroute.LoadReport{Running: 4, Waiting: 4}, start)
	}
	busy := newTable(2)
	for i := range 2 {
		busy.UpdateLoad(address(i), cicadaroute.LoadReport{Running: 4}, start)
	}
	for _, tc := range []struct {
		name  string
		table *cicadaroute.Table
		req   cicadaroute.Request
		want  error
	}{
		{"unknown upstream", newTable(2), cicadaroute.Request{Upstream: "svc/other"}, cicadaroute.ErrNoRunner},
		{"all runners were tried", newTable(2), cicadaroute.Request{Upstream: upstream, Tried: []string{address(0), address(1)}}, cicadaroute.ErrNoRunner},
		{"slots and queues are full", full, cicadaroute.Request{Upstream: upstream}, cicadaroute.ErrBusy},
		{"a request without FreeSlotOnly may queue", busy, cicadaroute.Request{Upstream: upstream}, nil},
		{"a request with FreeSlotOnly may not queue", busy, cicadaroute.Request{Upstream: upstream, FreeSlotOnly: true}, cicadaroute.ErrBusy},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := tc.table.Choose(&tc.req, start); !errors.Is(err, tc.want) || (err == nil) != (tc.want == nil) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
		})
	}
}

func TestPrefixAffinityWithinTheLoadLimit(t *testing.T) {
	table := newTable(4)
	req := &cicadaroute.Request{Upstream: upstream, PrefixHash: 42}
	first, err := table.Choose(req, start)
	if err != nil {
		t.Fatal(err)
	}
	got := chosen(t, table, req, 12)
	if got[first] < 2 {
		t.Errorf("the preferred runner got %d of 12 requests, want at least 2", got[first])
	}
	if got[first] > 6 {
		t.Errorf("the preferred runner got %d of 12 requests, above its load limit", got[first])
	}
}

func BenchmarkChoose18(b *testing.B) {
	table := newTable(18)
	req := &cicadaroute.Request{Upstream: upstream, DataCentre: "p0", LocalFirst: true, PrefixHash: 7}
	b.ReportAllocs()
	for b.Loop() {
		addr, err := table.Choose(req, start)
		if err != nil {
			b.Fatal(err)
		}
		table.RequestStarted(addr)
		table.RequestFinished(addr, false, start)
	}
}
