package cicadaplace_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_700_000_000, 0)

func newBalancer(runners int) *cicadaplace.Balancer {
	lb := cicadaplace.NewBalancer(cicadaplace.Config{DataCentre: "p", HoldPeriod: 2 * time.Second})
	for i := range runners {
		lb.Apply(entry(i), start)
	}
	return lb
}

func entry(i int) cicadaplace.Entry {
	return cicadaplace.Entry{ID: fmt.Sprintf("r%02d", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "p", Slots: 64}
}

func prompt(shared string, sharedTokens, own int) *cicadaplace.Request {
	return &cicadaplace.Request{
		Service: "s", Tokens: sharedTokens + own,
		Parts: []cicadaplace.Part{{ID: shared, Tokens: sharedTokens}, {ID: "own", Tokens: own}},
	}
}

func choose(t *testing.T, lb *cicadaplace.Balancer, req *cicadaplace.Request, now time.Time) *cicadaplace.Assignment {
	t.Helper()
	assignment, err := lb.Choose(req, now)
	if err != nil {
		t.Fatal(err)
	}
	return assignment
}

// TestRoutersAgreeOnRunnerOfSharedParts checks that two routers send a shared part to the same
// runner without communicating.
func TestRoutersAgreeOnRunnerOfSharedParts(t *testing.T) {
	a, b := newBalancer(9), newBalancer(9)
	for i := range 50 {
		req := prompt(fmt.Sprintf("part%d", i), 10_000, 1_000)
		ta, tb := choose(t, a, req, start), choose(t, b, req, start)
		if ta.Runner().ID() != tb.Runner().ID() {
			t.Errorf("part %d goes to different runners, %s and %s", i, ta.Runner().ID(), tb.Runner().ID())
		}
		for _, x := range []*cicadaplace.Assignment{ta, tb} {
			x.Finish(cicadaplace.Answered, start)
		}
	}
}

// TestLongPromptsDoNotQueueBesideFreeRunners checks that a burst of uncached prompts with the same
// shared part spreads over the runners once queueing takes longer than prefilling the part again.
func TestLongPromptsDoNotQueueBesideFreeRunners(t *testing.T) {
	lb := newBalancer(4)
	used := map[string]int{}
	for range 12 {
		used[choose(t, lb, prompt("hot", 13_000, 4_000), start).Runner().ID()]++
	}
	if len(used) != 4 {
		t.Errorf("a burst of 12 prompts used the runners %v, want all 4", used)
	}
	for id, n := range used {
		if n > 7 {
			t.Errorf("%d of 12 prompts wait at %s, want at most 7", n, id)
		}
	}
}

// TestRepeatedSharedPartKeepsItsRunner checks that sequential requests with the same shared part
// all go to one runner.
func TestRepeatedSharedPartKeepsItsRunner(t *testing.T) {
	lb := newBalancer(6)
	used := map[string]bool{}
	now := start
	for range 20 {
		assignment := choose(t, lb, prompt("subject", 13_000, 2_000), now)
		used[assignment.Runner().ID()] = true
		assignment.ResponseStarted()
		assignment.Finish(cicadaplace.Answered, now)
		now = now.Add(500 * time.Millisecond)
	}
	if len(used) != 1 {
		t.Errorf("runners %v were used for one shared part, want one", used)
	}
}

// TestLongColdPromptAvoidsRunningStreams checks that a long uncached prompt avoids a runner with
// many running streams, because its prefill would delay all of them.
func TestLongColdPromptAvoidsRunningStreams(t *testing.T) {
	lb := newBalancer(3)
	req := prompt("long", 30_000, 4_000)
	assign := func(id string, tokens int) *cicadaplace.Assignment {
		assignment, err := lb.AssignTo(id, &cicadaplace.Request{Service: "s", Tokens: tokens, Parts: []cicadaplace.Part{{ID: "x", Tokens: tokens}}}, start)
		if err != nil {
			t.Fatal(err)
		}
		return assignment
	}
	// The queue at the preferred runner is long enough that the prompt goes to another one.
	assign(choose(t, lb, req, start).Runner().ID(), 200_000)
	busy := choose(t, lb, prompt("long", 30_000, 4_000), start).Runner().ID()
	for range 20 {
		assign(busy, 10).ResponseStarted()
	}
	if got := choose(t, lb, req, start.Add(time.Hour)); got.Runner().ID() == busy {
		t.Errorf("the prompt goes to the runner with 20 streams, estimate %.0f ms", got.EstimateMillis())
	}
}

// TestEjection checks that a runner is ejected after three consecutive failures.
func TestEjection(t *testing.T) {
	lb := newBalancer(4)
	plain := &cicadaplace.Request{Service: "s"}
	now := start
	bad := choose(t, lb, plain, now).Runner().ID()
	for range 3 {
		assignment, err := lb.AssignTo(bad, plain, now)
		if err != nil {
			t.Fatal(err)
		}
		assignment.Finish(cicadaplace.Failed, now)
	}
	seen := map[string]bool{}
	for range 40 {
		seen[choose(t, lb, plain, now).Runner().ID()] = true
	}
	if seen[bad] || len(seen) != 3 {
		t.Errorf("runners in use after three failures of %s: %v, want the 3 others", bad, seen)
	}
	if got := choose(t, lb, plain, now.Add(time.Minute)); got == nil {
		t.Error("no runner is chosen after the ejection")
	}
}

// TestEjectionIsCapped checks that ejections are ignored if all runners fail.
func TestEjectionIsCapped(t *testing.T) {
	lb := newBalancer(3)
	plain := &cicadaplace.Request{Service: "s"}
	for i := range 3 {
		for range 3 {
			assignment, err := lb.AssignTo(entry(i).ID, plain, start)
			if err != nil {
				t.Fatal(err)
			}
			assignment.Finish(cicadaplace.Failed, start)
		}
	}
	choose(t, lb, plain, start)
}

func TestDrainingAndTriedRunnersAreNotChosen(t *testing.T) {
	lb := newBalancer(2)
	draining := entry(0)
	draining.Draining = true
	lb.Apply(draining, start)
	plain := &cicadaplace.Request{Service: "s"}
	for range 5 {
		if got := choose(t, lb, plain, start).Runner().ID(); got != entry(1).ID {
			t.Errorf("%s was chosen although it is draining", got)
		}
	}
	_, err := lb.Choose(&cicadaplace.Request{Service: "s", Tried: []string{entry(1).ID}}, start)
	if !errors.Is(err, cicadaplace.ErrNoRunner) {
		t.Errorf("error %v with no runner left, want ErrNoRunner", err)
	}
}

// TestSameIDOtherBirth checks that a runner that restarts under the same id does not inherit the
// state of the earlier runner.
func TestSameIDOtherBirth(t *testing.T) {
	lb := newBalancer(1)
	assignment := choose(t, lb, prompt("a", 10_000, 1_000), start)
	e := entry(0)
	e.StartMillis = 7
	if got := lb.Apply(e, start); got.Removed() != assignment.Runner() || !got.Changed() {
		t.Errorf("replaced %v, changed %v", got.Removed(), got.Changed())
	}
	state := lb.State(start)
	if diff := cmp.Diff([]int{0, 0}, []int{state[0].InFlight, state[0].PendingPromptTokens}); diff != "" {
		t.Errorf("load of the new runner (-want +got):\n%s", diff)
	}
	assignment.Finish(cicadaplace.Failed, start)
	if got := lb.State(start)[0].InFlight; got != 0 {
		t.Errorf("%d requests in flight at the new runner after a request finished at the earlier one", got)
	}
}

// TestRestartedRunnerStartsAnew guards against a runner that is not used, or estimated by the load and the cached
// parts of the process before, after it has started again under the same id.
func TestRestartedRunnerStartsAnew(t *testing.T) {
	for name, disturb := range map[string]func(lb *cicadaplace.Balancer, a *cicadaplace.Assignment){
		"paused":   func(_ *cicadaplace.Balancer, a *cicadaplace.Assignment) { a.Pause(time.Minute, start) },
		"draining": func(_ *cicadaplace.Balancer, a *cicadaplace.Assignment) { a.MarkDraining() },
		"entry draining": func(lb *cicadaplace.Balancer, _ *cicadaplace.Assignment) {
			e := entry(0)
			e.StartMillis, e.Seq, e.Draining = 5, 9, true
			lb.Apply(e, start)
		},
		"gone": func(lb *cicadaplace.Balancer, _ *cicadaplace.Assignment) { lb.Remove(entry(0).ID, start) },
		"ejected": func(lb *cicadaplace.Balancer, a *cicadaplace.Assignment) {
			other := entry(1) // not all runners can be ejected
			lb.Apply(other, start)
			a.Finish(cicadaplace.Failed, start)
			for range 2 {
				next, err := lb.AssignTo(entry(0).ID, prompt("a", 10_000, 1_000), start)
				if err != nil {
					t.Fatal(err)
				}
				next.Finish(cicadaplace.Failed, start)
			}
			lb.Remove(other.ID, start)
		},
		"loaded": func(_ *cicadaplace.Balancer, a *cicadaplace.Assignment) {
			a.ReportLoad(cicadaplace.Load{Running: 60, Waiting: 40, Slots: 64}, start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			lb := newBalancer(0)
			e := entry(0)
			e.StartMillis, e.Seq = 5, 8
			lb.Apply(e, start)
			disturb(lb, choose(t, lb, prompt("a", 10_000, 1_000), start))
			e.StartMillis, e.Seq = 6, 1
			lb.Apply(e, start)
			state := lb.State(start)[0]
			got := []any{state.Draining, state.Ejected, state.PausedMS, state.InFlight, state.Running, state.Waiting, state.PendingPromptTokens}
			if diff := cmp.Diff([]any{false, false, int64(0), 0, 0, 0, 0}, got); diff != "" {
				t.Errorf("state after the restart (-want +got):\n%s", diff)
			}
			choose(t, lb, prompt("a", 10_000, 1_000), start)
		})
	}
}

// TestLapsedEntries checks entries that are removed after a store outage: the runners are held, and
// removed only if their entries do not return within the hold period.
func TestLapsedEntries(t *testing.T) {
	lb := newBalancer(2)
	lb.StoreUnavailable(start.Add(-9 * time.Second))
	lb.StoreRecovered(start)
	if got := lb.Remove(entry(0).ID, start.Add(time.Second)); got.Removed() != nil || !got.Held() {
		t.Error("the runner was removed within the hold period")
	}
	if got := lb.RemoveExpired(start.Add(time.Second)); len(got) != 0 {
		t.Errorf("%d runners were removed within the hold period", len(got))
	}
	lb.Apply(entry(0), start.Add(1500*time.Millisecond))
	lb.Remove(entry(1).ID, start.Add(time.Second))
	if got := lb.RemoveExpired(start.Add(3 * time.Second)); len(got) != 1 || got[0].ID() != entry(1).ID {
		t.Errorf("removed %v, want only the runner whose entry did not return", got)
	}
	if got := lb.Remove(entry(0).ID, start.Add(time.Minute)); got.Removed() == nil {
		t.Error("a runner whose entry is removed without a store outage stays in use")
	}
}

// TestGroups checks that requests spread evenly over the groups.
func TestGroups(t *testing.T) {
	lb := newBalancer(90)
	counts := map[int]int{}
	for i := range 1000 {
		g, groups := lb.Group(prompt(fmt.Sprint(i), 10, 10))
		if groups != 4 {
			t.Fatalf("%d groups of 90 runners, want 4", groups)
		}
		counts[g]++
	}
	for g, n := range counts {
		if n < 150 {
			t.Errorf("group %d has %d of 1000 requests, want at least 150", g, n)
		}
	}
	if _, groups := newBalancer(18).Group(prompt("a", 1, 1)); groups != 1 {
		t.Errorf("%d groups of 18 runners, want 1", groups)
	}
}

// TestEntriesFromARestoredStoreAreIgnored checks entries of a store that was restored from a backup:
// a draining runner keeps draining and a removed runner stays removed until they write new entries.
func TestEntriesFromARestoredStoreAreIgnored(t *testing.T) {
	lb := cicadaplace.NewBalancer(cicadaplace.Config{DataCentre: "p"})
	entryAt := func(i int, seq int64, isDraining bool) cicadaplace.Entry {
		e := entry(i)
		e.StartMillis, e.Seq, e.Draining = 1000, seq, isDraining
		return e
	}
	draining := func() map[string]bool {
		out := map[string]bool{}
		for _, s := range lb.State(start) {
			out[s.ID] = s.Draining
		}
		return out
	}
	lb.Apply(entryAt(0, 7, false), start)
	lb.Apply(entryAt(0, 8, true), start)
	lb.Apply(entryAt(1, 5, false), start)
	lb.Remove("r01", start)
	lb.Apply(entryAt(0, 7, false), start)
	lb.Apply(entryAt(1, 5, false), start)
	if diff := cmp.Diff(map[string]bool{"r00": true}, draining()); diff != "" {
		t.Errorf("draining state of runners after the restore (-want +got):\n%s", diff)
	}
	lb.Apply(entryAt(1, 6, false), start)
	restarted := entryAt(0, 1, false)
	restarted.StartMillis = 2000 // the runner has restarted
	lb.Apply(restarted, start)
	if diff := cmp.Diff(map[string]bool{"r00": false, "r01": false}, draining()); diff != "" {
		t.Errorf("draining state of runners after new entries (-want +got):\n%s", diff)
	}
}
