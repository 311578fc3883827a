package cicadaplace_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

// limitedFleet has three runners and a router that owns all permits.
func limitedFleet(at time.Time) (*cicadaplace.Balancer, *cicadalimit.Limits) {
	clock := &cicadalimit.Clock{}
	clock.Observe(at, at, time.Hour)
	limits := cicadalimit.New(clock)
	limits.SetRouters("a", []string{"a"})
	f := cicadaplace.NewBalancer(cicadaplace.Config{DataCentre: "p", Limits: limits})
	for _, id := range []string{"r1", "r2", "r3"} {
		f.Apply(cicadaplace.Entry{ID: id, Service: "s", Addr: id + ":1", DataCentre: "p", Slots: 8}, at)
	}
	return f, limits
}

func TestSharedPartsLeaveALimitedRunner(t *testing.T) {
	now := time.Now()
	f, _ := limitedFleet(now)
	home, err := f.Choose(prompt("shared", 800, 100), now)
	if err != nil {
		t.Fatal(err)
	}
	f, limits := limitedFleet(now)
	limits.RecordLimit(home.Runner().Key(), 100, now)
	next, err := f.Choose(prompt("shared", 800, 100), now.Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if next.Runner().ID() == home.Runner().ID() || next.CachedTokens() != 800 {
		t.Errorf("the prompt goes to %s with %d tokens taken for cached, want another home than %s",
			next.Runner().ID(), next.CachedTokens(), home.Runner().ID())
	}
}

func TestLimitsOfAllRunners(t *testing.T) {
	now := time.Now()
	f, limits := limitedFleet(now)
	for _, r := range f.State(now) {
		limits.RecordLimit(cicadalimit.Key{ID: r.ID}, 1, now)
	}
	sent := 0
	var limited *cicadaplace.RateLimitedError
	for range 10 {
		_, err := f.Choose(prompt("shared", 800, 100), now)
		if errors.As(err, &limited) {
			break
		}
		sent++
	}
	if limited == nil || limited.Rate != 3 || sent > 3 {
		t.Errorf("%d requests were placed, then %v; want 3 at most and the runners' rate of 3", sent, limited)
	}
	// Another router's requests are bound by what that router says.
	for want, barred := range map[string][]string{"r1": {"r2", "r3"}, "r2": {"r1", "r3"}, "r3": {"r1", "r2"}} {
		foreign := prompt("shared", 800, 100)
		foreign.ForPeer, foreign.Excluded = true, barred
		if diff := cmp.Diff(want, choose(t, f, foreign, now).Runner().ID()); diff != "" {
			t.Errorf("runner of a request of another router (-want +got):\n%s", diff)
		}
	}
	if diff := cmp.Diff(3, len(f.RateLimitedIDs(prompt("shared", 800, 100), now))); diff != "" {
		t.Errorf("runners barred here (-want +got):\n%s", diff)
	}
	if _, err := f.AssignTo("r3", prompt("shared", 800, 100), now); !errors.Is(err, cicadaplace.ErrNoRunner) {
		t.Errorf("a runner that another router chose was used beyond its limit: %v", err)
	}
}

// TestQuestionsNameFewBarredRunners checks that a question to another router stays small
// where many runners are limited.
func TestQuestionsNameFewBarredRunners(t *testing.T) {
	now := time.Now()
	f, limits := limitedFleet(now)
	for i := range 500 {
		e := cicadaplace.Entry{ID: fmt.Sprintf("more%03d", i), Service: "s", Addr: "a:1", DataCentre: "p", Slots: 8}
		f.Apply(e, now)
		limits.RecordLimit(cicadalimit.Key{ID: e.ID}, 1, now)
	}
	if got := len(f.RateLimitedIDs(prompt("shared", 800, 100), now)); got == 0 || got > 32 {
		t.Errorf("%d barred runners are named, want 32 at most", got)
	}
}

// BenchmarkChooseBesideALimit places a prompt at the planned number of runners.
func BenchmarkChooseBesideALimit(b *testing.B) {
	for _, limited := range []int{0, 1, 100} {
		b.Run(fmt.Sprint(limited, " limited"), func(b *testing.B) {
			now := time.Now()
			f, limits := limitedFleet(now)
			for i := range 6900 {
				e := cicadaplace.Entry{ID: fmt.Sprint("more", i), Service: "s", Addr: "a:1", DataCentre: "p", Slots: 8}
				f.Apply(e, now)
				if i < limited {
					limits.RecordLimit(cicadalimit.Key{ID: e.ID}, 1, now)
				}
			}
			for b.Loop() {
				ticket, err := f.Choose(prompt("shared", 800, 100), now)
				if err != nil {
					b.Fatal(err)
				}
				ticket.Finish(cicadaplace.Answered, now)
			}
		})
	}
}
