package cicadaplace_test

import (
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

const (
	heartbeat = 1200 * time.Millisecond
	holdTime  = 2 * time.Second
)

// heldFleet knows two runners and how often they write their entries.
func heldFleet() *cicadaplace.Balancer {
	f := cicadaplace.NewBalancer(cicadaplace.Config{DataCentre: "p", HoldPeriod: holdTime, HeartbeatInterval: heartbeat})
	f.Apply(entry(0), start)
	f.Apply(entry(1), start)
	return f
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// used lists those of the two runners that requests may go to at a time.
func used(f *cicadaplace.Balancer, now time.Time) []int {
	out := []int{}
	for i := range 2 {
		if ticket, err := f.AssignTo(entry(i).ID, &cicadaplace.Request{Service: "s"}, now); err == nil {
			ticket.Finish(cicadaplace.Answered, now)
			out = append(out, i)
		}
	}
	return out
}

// TestRunnersAroundACut cuts a router off from second 1 to 10 and plays what can
// become of runners meanwhile.
func TestRunnersAroundACut(t *testing.T) {
	back := func(i int) func(*cicadaplace.Balancer, time.Time) {
		return func(f *cicadaplace.Balancer, now time.Time) { f.Apply(entry(i), now) }
	}
	none := func(*cicadaplace.Balancer, time.Time) {}
	leaves := func(f *cicadaplace.Balancer, now time.Time) {
		e := entry(0)
		e.Draining = true
		f.Apply(e, now)
	}
	removed := func(f *cicadaplace.Balancer, now time.Time) { f.Remove(entry(0).ID, now) }
	allRemoved := func(f *cicadaplace.Balancer, now time.Time) { f.Retain(map[string]bool{}, now) }
	for _, tt := range []struct {
		name   string
		first  func(*cicadaplace.Balancer, time.Time) // in the first reading after the cut
		then   func(*cicadaplace.Balancer, time.Time) // in a reading later
		thenAt float64
		want   map[float64][]int // runners in use at seconds
	}{
		{"saysThatItLeaves", leaves, none, 0, map[float64][]int{10: {1}}},
		{"leaves", removed, none, 0, map[float64][]int{10: {0, 1}, 11.9: {0, 1}, 12: {1}, 12.5: {1}}},
		{"lapsesAndReturns", removed, back(0), 11.9, map[float64][]int{10: {0, 1}, 12: {0, 1}, 20: {0, 1}}},
		{"returnsTooLate", removed, back(0), 12.1, map[float64][]int{12: {1}, 12.2: {0, 1}}},
		{"oneLeavesOneLapses", allRemoved, back(1), 11, map[float64][]int{10: {0, 1}, 11.9: {0, 1}, 12: {1}}},
		{"allLapse", allRemoved, none, 0, map[float64][]int{11.9: {0, 1}, 12: {}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for second, want := range tt.want {
				f := heldFleet()
				f.StoreUnavailable(at(1))
				if diff := cmp.Diff([]int{0, 1}, used(f, at(9))); diff != "" {
					t.Errorf("in the cut (-want +got):\n%s", diff)
				}
				f.StoreRecovered(at(10))
				tt.first(f, at(10))
				if tt.thenAt > 0 && tt.thenAt <= second {
					f.RemoveExpired(at(tt.thenAt))
					tt.then(f, at(tt.thenAt))
				}
				if diff := cmp.Diff(want, used(f, at(second))); diff != "" {
					t.Errorf("at %v s (-want +got):\n%s", second, diff)
				}
			}
		})
	}
}

// TestShortOutageHoldsNothing removes an entry after an outage in which no living
// runner's entry lapses.
func TestShortOutageHoldsNothing(t *testing.T) {
	f := heldFleet()
	f.StoreUnavailable(at(1))
	f.StoreRecovered(at(2))
	f.Remove(entry(0).ID, at(2))
	if diff := cmp.Diff([]int{1}, used(f, at(2))); diff != "" {
		t.Errorf("runners in use (-want +got):\n%s", diff)
	}
}

// TestFailingCallsDoNotHoldForEver fails a call each half second after a cut.
func TestFailingCallsDoNotHoldForEver(t *testing.T) {
	f := heldFleet()
	f.StoreUnavailable(at(1))
	f.StoreRecovered(at(10))
	f.Remove(entry(0).ID, at(10))
	for s := 10.5; s < 13; s += 0.5 {
		f.StoreUnavailable(at(s))
		f.StoreRecovered(at(s + 0.1))
	}
	if diff := cmp.Diff([]int{1}, used(f, at(13))); diff != "" {
		t.Errorf("runners in use (-want +got):\n%s", diff)
	}
}

// TestNextOutageStopsTheTimeToComeBack lets a second outage begin before lapsed
// entries had their time: all runners stay in use in it, and until that time after.
func TestNextOutageStopsTheTimeToComeBack(t *testing.T) {
	f := heldFleet()
	f.StoreUnavailable(at(1))
	f.StoreRecovered(at(10))
	f.Retain(map[string]bool{}, at(10))
	f.StoreUnavailable(at(11))
	for _, s := range []float64{12.5, 20, 21.9} {
		if s > 20 {
			f.StoreRecovered(at(20))
		}
		if diff := cmp.Diff([]int{0, 1}, used(f, at(s))); diff != "" {
			t.Errorf("at %v s (-want +got):\n%s", s, diff)
		}
	}
	if diff := cmp.Diff([]int{}, used(f, at(22))); diff != "" {
		t.Errorf("after the time to come back (-want +got):\n%s", diff)
	}
}

// TestRelayedHeldRunner lets a router take over the view of one that holds a runner.
func TestRelayedHeldRunner(t *testing.T) {
	f, other := heldFleet(), heldFleet()
	f.StoreUnavailable(at(1))
	f.StoreRecovered(at(10))
	f.Remove(entry(0).ID, at(10))
	for _, e := range f.Entries(at(11)) {
		other.Apply(e, at(11))
	}
	if diff := cmp.Diff([]int{0, 1}, used(other, at(11.9))); diff != "" {
		t.Errorf("while it is held (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{1}, used(other, at(12))); diff != "" {
		t.Errorf("after that (-want +got):\n%s", diff)
	}
	if got := f.Entries(at(12)); len(got) != 1 {
		t.Errorf("%d entries are relayed after that, want 1", len(got))
	}
}

// TestHeldRunnerWithAnEntryThatNamesNone gives a held runner an entry that cannot be
// read, or one written before its last: neither is a reason to use it.
func TestHeldRunnerWithAnEntryThatNamesNone(t *testing.T) {
	held := func() *cicadaplace.Balancer {
		f := heldFleet()
		e := entry(0)
		e.StartMillis, e.Seq = 1000, 7
		f.Apply(e, start)
		f.StoreUnavailable(at(1))
		f.StoreRecovered(at(10))
		f.Remove(e.ID, at(10))
		return f
	}
	f := held()
	f.Discard(entry(0).ID, at(11))
	if diff := cmp.Diff([]int{1}, used(f, at(11))); diff != "" {
		t.Errorf("after an entry that cannot be read (-want +got):\n%s", diff)
	}
	f = held()
	old := entry(0)
	old.StartMillis, old.Seq = 1000, 6
	if got := f.Apply(old, at(11)); !got.Stale() {
		t.Errorf("an entry older than the last was taken: %+v", got)
	}
	if diff := cmp.Diff([]int{1}, used(f, at(12))); diff != "" {
		t.Errorf("after an older entry (-want +got):\n%s", diff)
	}
}
