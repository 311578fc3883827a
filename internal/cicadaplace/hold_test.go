package cicadaplace_test

import (
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	holdPeriod        = 2 * time.Second
)

// newHoldBalancer returns a Balancer with two runners, a hold period and a heartbeat interval.
func newHoldBalancer() *cicadaplace.Balancer {
	lb := cicadaplace.NewBalancer(cicadaplace.Config{DataCentre: "p", HoldPeriod: holdPeriod, HeartbeatInterval: heartbeatInterval})
	lb.Apply(entry(0), start)
	lb.Apply(entry(1), start)
	return lb
}

// at returns the time some seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// used returns the indexes of the runners that requests can use at the given time.
func used(lb *cicadaplace.Balancer, now time.Time) []int {
	out := []int{}
	for i := range 2 {
		if assignment, err := lb.AssignTo(entry(i).ID, &cicadaplace.Request{Service: "s"}, now); err == nil {
			assignment.Finish(cicadaplace.Answered, now)
			out = append(out, i)
		}
	}
	return out
}

// TestRunnersAroundACut checks which runners stay in use after a store outage from second 1 to 10.
// During the outage runners may have drained or left, or their entries may have expired.
func TestRunnersAroundACut(t *testing.T) {
	reapplied := func(i int) func(*cicadaplace.Balancer, time.Time) {
		return func(lb *cicadaplace.Balancer, now time.Time) { lb.Apply(entry(i), now) }
	}
	none := func(*cicadaplace.Balancer, time.Time) {}
	drains := func(lb *cicadaplace.Balancer, now time.Time) {
		e := entry(0)
		e.Draining = true
		lb.Apply(e, now)
	}
	removed := func(lb *cicadaplace.Balancer, now time.Time) { lb.Remove(entry(0).ID, now) }
	allRemoved := func(lb *cicadaplace.Balancer, now time.Time) { lb.Retain(map[string]bool{}, now) }
	for _, tt := range []struct {
		name      string
		firstRead func(*cicadaplace.Balancer, time.Time) // the first read after the outage
		laterRead func(*cicadaplace.Balancer, time.Time) // a later read, at laterAt
		laterAt   float64
		want      map[float64][]int // runners in use, by second
	}{
		{"saysThatItLeaves", drains, none, 0, map[float64][]int{10: {1}}},
		{"leaves", removed, none, 0, map[float64][]int{10: {0, 1}, 11.9: {0, 1}, 12: {1}, 12.5: {1}}},
		{"lapsesAndReturns", removed, reapplied(0), 11.9, map[float64][]int{10: {0, 1}, 12: {0, 1}, 20: {0, 1}}},
		{"returnsTooLate", removed, reapplied(0), 12.1, map[float64][]int{12: {1}, 12.2: {0, 1}}},
		{"oneLeavesOneLapses", allRemoved, reapplied(1), 11, map[float64][]int{10: {0, 1}, 11.9: {0, 1}, 12: {1}}},
		{"allLapse", allRemoved, none, 0, map[float64][]int{11.9: {0, 1}, 12: {}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for second, want := range tt.want {
				lb := newHoldBalancer()
				lb.StoreUnavailable(at(1))
				if diff := cmp.Diff([]int{0, 1}, used(lb, at(9))); diff != "" {
					t.Errorf("runners in use during the outage (-want +got):\n%s", diff)
				}
				lb.StoreRecovered(at(10))
				tt.firstRead(lb, at(10))
				if tt.laterAt > 0 && tt.laterAt <= second {
					lb.RemoveExpired(at(tt.laterAt))
					tt.laterRead(lb, at(tt.laterAt))
				}
				if diff := cmp.Diff(want, used(lb, at(second))); diff != "" {
					t.Errorf("runners in use at %v s (-want +got):\n%s", second, diff)
				}
			}
		})
	}
}

// TestShortOutageHoldsNothing checks that a runner is removed at once after an outage that is too
// short for the entry of a live runner to expire.
func TestShortOutageHoldsNothing(t *testing.T) {
	lb := newHoldBalancer()
	lb.StoreUnavailable(at(1))
	lb.StoreRecovered(at(2))
	lb.Remove(entry(0).ID, at(2))
	if diff := cmp.Diff([]int{1}, used(lb, at(2))); diff != "" {
		t.Errorf("runners in use (-want +got):\n%s", diff)
	}
}

// TestOutageOfOneRouterHoldsNothing guards against requests to a runner that has left during an outage of the
// store at this router only. Other routers have read the entries from the store meanwhile.
func TestOutageOfOneRouterHoldsNothing(t *testing.T) {
	for _, tt := range []struct {
		servedAt float64 // when the store has last served another router
		want     []int
	}{{0.5, []int{0, 1}}, {8, []int{0, 1}}, {8.5, []int{1}}, {9.9, []int{1}}} {
		lb := newHoldBalancer()
		lb.StoreServed(at(0.9))
		lb.StoreUnavailable(at(1))
		lb.StoreServed(at(tt.servedAt))
		lb.StoreRecovered(at(10))
		lb.Remove(entry(0).ID, at(10))
		if diff := cmp.Diff(tt.want, used(lb, at(10))); diff != "" {
			t.Errorf("store seen to serve at %g s: runners in use (-want +got):\n%s", tt.servedAt, diff)
		}
	}
}

// TestFailingCallsDoNotHoldForEver checks that store calls that fail every half second after an
// outage do not extend the hold period without end.
func TestFailingCallsDoNotHoldForEver(t *testing.T) {
	lb := newHoldBalancer()
	lb.StoreUnavailable(at(1))
	lb.StoreRecovered(at(10))
	lb.Remove(entry(0).ID, at(10))
	for s := 10.5; s < 13; s += 0.5 {
		lb.StoreUnavailable(at(s))
		lb.StoreRecovered(at(s + 0.1))
	}
	if diff := cmp.Diff([]int{1}, used(lb, at(13))); diff != "" {
		t.Errorf("runners in use (-want +got):\n%s", diff)
	}
}

// TestNextOutageStopsTheTimeToComeBack checks that the hold period restarts if a second outage
// begins before it ends: all runners stay in use during that outage and the hold period after it.
func TestNextOutageStopsTheTimeToComeBack(t *testing.T) {
	lb := newHoldBalancer()
	lb.StoreUnavailable(at(1))
	lb.StoreRecovered(at(10))
	lb.Retain(map[string]bool{}, at(10))
	lb.StoreUnavailable(at(11))
	for _, s := range []float64{12.5, 20, 21.9} {
		if s > 20 {
			lb.StoreRecovered(at(20))
		}
		if diff := cmp.Diff([]int{0, 1}, used(lb, at(s))); diff != "" {
			t.Errorf("runners in use at %v s (-want +got):\n%s", s, diff)
		}
	}
	if diff := cmp.Diff([]int{}, used(lb, at(22))); diff != "" {
		t.Errorf("runners in use after the hold period (-want +got):\n%s", diff)
	}
}

// TestRelayedHeldRunner checks that a router that receives the entry of a held runner from another
// router holds it no longer than that router does.
func TestRelayedHeldRunner(t *testing.T) {
	lb, other := newHoldBalancer(), newHoldBalancer()
	lb.StoreUnavailable(at(1))
	lb.StoreRecovered(at(10))
	lb.Remove(entry(0).ID, at(10))
	for _, e := range lb.Entries(at(11)) {
		other.Apply(e, at(11))
	}
	if diff := cmp.Diff([]int{0, 1}, used(other, at(11.9))); diff != "" {
		t.Errorf("runners in use while one is held (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{1}, used(other, at(12))); diff != "" {
		t.Errorf("runners in use after the hold period (-want +got):\n%s", diff)
	}
	if got := lb.Entries(at(12)); len(got) != 1 {
		t.Errorf("%d entries are relayed after the hold period, want 1", len(got))
	}
}

// TestHeldRunnerIsNotRevivedByUnusableEntry checks that neither an unreadable entry nor one older
// than the last known entry keeps a held runner in use.
func TestHeldRunnerIsNotRevivedByUnusableEntry(t *testing.T) {
	held := func() *cicadaplace.Balancer {
		lb := newHoldBalancer()
		e := entry(0)
		e.StartMillis, e.Seq = 1000, 7
		lb.Apply(e, start)
		lb.StoreUnavailable(at(1))
		lb.StoreRecovered(at(10))
		lb.Remove(e.ID, at(10))
		return lb
	}
	lb := held()
	lb.Discard(entry(0).ID, at(11))
	if diff := cmp.Diff([]int{1}, used(lb, at(11))); diff != "" {
		t.Errorf("runners in use after an unreadable entry (-want +got):\n%s", diff)
	}
	lb = held()
	old := entry(0)
	old.StartMillis, old.Seq = 1000, 6
	if got := lb.Apply(old, at(11)); !got.Stale() {
		t.Errorf("an entry older than the last one was applied: %+v", got)
	}
	if diff := cmp.Diff([]int{1}, used(lb, at(12))); diff != "" {
		t.Errorf("runners in use after an older entry (-want +got):\n%s", diff)
	}
}

// The end of a runner is known by the entry of a later one, even if its own has expired before.
func TestEndOfARunnerIsMissed(t *testing.T) {
	t.Parallel()
	first := cicadaplace.Entry{ID: "a", Service: "s", Addr: "10.0.0.1:1", DataCentre: "p", StartMillis: 1, Seq: 1}
	with := func(change func(e *cicadaplace.Entry)) cicadaplace.Entry {
		e := first
		change(&e)
		return e
	}
	ended := []string{"a@1"}
	for name, tt := range map[string]struct {
		draining, removed bool
		next              cicadaplace.Entry
		want              []string
		renewed           bool
	}{
		"next start":                     {next: with(func(e *cicadaplace.Entry) { e.StartMillis = 2 }), want: ended},
		"next start after its expiry":    {removed: true, next: with(func(e *cicadaplace.Entry) { e.StartMillis = 2 }), want: ended},
		"another one's start":            {next: with(func(e *cicadaplace.Entry) { e.ID = "b" }), want: ended},
		"another one's after its expiry": {removed: true, next: with(func(e *cicadaplace.Entry) { e.ID = "b" }), want: ended},
		"another address":                {removed: true, next: with(func(e *cicadaplace.Entry) { e.ID, e.Addr = "b", "10.0.0.2:1" })},
		"draining":                       {draining: true, next: with(func(e *cicadaplace.Entry) { e.StartMillis = 2 })},
		"draining, expired":              {draining: true, removed: true, next: with(func(e *cicadaplace.Entry) { e.ID = "b" })},
		"written again":                  {next: with(func(e *cicadaplace.Entry) { e.Seq = 2 }), renewed: true},
		"read again":                     {next: first},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lb := newBalancer(0)
			e := first
			e.Draining = tt.draining
			lb.Apply(e, start)
			r := lb.Find("a")
			if tt.removed {
				lb.Remove("a", start)
			}
			c := lb.Apply(tt.next, start)
			var got []string
			for _, key := range c.Ended() {
				got = append(got, key.String())
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("ended runners (-want +got)\n%s", diff)
			}
			if diff := cmp.Diff([]bool{tt.want != nil, tt.renewed}, []bool{lb.HasEnded(r), c.Renewed() != nil}); diff != "" {
				t.Errorf("has ended, renewed (-want +got)\n%s", diff)
			}
		})
	}
}
