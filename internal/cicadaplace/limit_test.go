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

// newLimitedBalancer returns a Balancer with three runners and the limits of a router that owns all permits.
func newLimitedBalancer(at time.Time) (*cicadaplace.Balancer, *cicadalimit.Limits) {
	clock := &cicadalimit.Clock{}
	clock.Observe(at, at, time.Hour)
	limits := cicadalimit.New(clock)
	limits.SetRouters("a", []string{"a"})
	lb := cicadaplace.NewBalancer(cicadaplace.Config{DataCentre: "p", Limits: limits})
	for _, id := range []string{"r1", "r2", "r3"} {
		lb.Apply(cicadaplace.Entry{ID: id, Service: "s", Addr: id + ":1", DataCentre: "p", Slots: 8}, at)
	}
	return lb, limits
}

// TestSharedPartsMoveOffRateLimitedRunner checks that shared parts get another preferred runner when
// theirs becomes rate-limited.
func TestSharedPartsMoveOffRateLimitedRunner(t *testing.T) {
	now := time.Now()
	lb, _ := newLimitedBalancer(now)
	preferred, err := lb.Choose(prompt("shared", 800, 100), now)
	if err != nil {
		t.Fatal(err)
	}
	lb, limits := newLimitedBalancer(now)
	limits.RecordLimit(preferred.Runner().Key(), 100, now)
	next, err := lb.Choose(prompt("shared", 800, 100), now.Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if next.Runner().ID() == preferred.Runner().ID() || next.CachedTokens() != 800 {
		t.Errorf("the prompt goes to %s with %d cached tokens, want another preferred runner than %s and 800 cached tokens",
			next.Runner().ID(), next.CachedTokens(), preferred.Runner().ID())
	}
}

// TestLimitsOfAllRunners checks the choice when all runners are rate-limited.
func TestLimitsOfAllRunners(t *testing.T) {
	now := time.Now()
	lb, limits := newLimitedBalancer(now)
	for _, r := range lb.State(now) {
		limits.RecordLimit(cicadalimit.Key{ID: r.ID}, 1, now)
	}
	sent := 0
	var limited *cicadaplace.RateLimitedError
	for range 10 {
		_, err := lb.Choose(prompt("shared", 800, 100), now)
		if errors.As(err, &limited) {
			break
		}
		sent++
	}
	if limited == nil || limited.Rate != 3 || sent > 3 {
		t.Errorf("%d requests were assigned, then %v; want at most 3 and a combined rate of 3", sent, limited)
	}
	// For requests of another router, only the runners that it excluded are rate-limited.
	for want, excluded := range map[string][]string{"r1": {"r2", "r3"}, "r2": {"r1", "r3"}, "r3": {"r1", "r2"}} {
		req := prompt("shared", 800, 100)
		req.ForPeer, req.Excluded = true, excluded
		if diff := cmp.Diff(want, choose(t, lb, req, now).Runner().ID()); diff != "" {
			t.Errorf("runner of a request from another router (-want +got):\n%s", diff)
		}
	}
	if diff := cmp.Diff(3, len(lb.UnusableIDs(prompt("shared", 800, 100), now))); diff != "" {
		t.Errorf("number of rate-limited runners (-want +got):\n%s", diff)
	}
	if _, err := lb.AssignTo("r3", prompt("shared", 800, 100), now); !errors.Is(err, cicadaplace.ErrNoRunner) {
		t.Errorf("assignment to a rate-limited runner that another router chose: error %v, want ErrNoRunner", err)
	}
}

// TestUnusableIDsAreBounded checks that a request to another router stays small if many runners
// are rate-limited.
func TestUnusableIDsAreBounded(t *testing.T) {
	now := time.Now()
	lb, limits := newLimitedBalancer(now)
	for i := range 500 {
		e := cicadaplace.Entry{ID: fmt.Sprintf("more%03d", i), Service: "s", Addr: "a:1", DataCentre: "p", Slots: 8}
		lb.Apply(e, now)
		limits.RecordLimit(cicadalimit.Key{ID: e.ID}, 1, now)
	}
	if got := len(lb.UnusableIDs(prompt("shared", 800, 100), now)); got == 0 || got > 32 {
		t.Errorf("%d rate-limited runners are listed, want 1 to 32", got)
	}
}

// BenchmarkChooseWithRateLimitedRunners measures Choose with 6900 runners, the planned maximum.
func BenchmarkChooseWithRateLimitedRunners(b *testing.B) {
	for _, limited := range []int{0, 1, 100} {
		b.Run(fmt.Sprint(limited, " limited"), func(b *testing.B) {
			now := time.Now()
			lb, limits := newLimitedBalancer(now)
			for i := range 6900 {
				e := cicadaplace.Entry{ID: fmt.Sprint("more", i), Service: "s", Addr: "a:1", DataCentre: "p", Slots: 8}
				lb.Apply(e, now)
				if i < limited {
					limits.RecordLimit(cicadalimit.Key{ID: e.ID}, 1, now)
				}
			}
			for b.Loop() {
				assignment, err := lb.Choose(prompt("shared", 800, 100), now)
				if err != nil {
					b.Fatal(err)
				}
				assignment.Finish(cicadaplace.Answered, now)
			}
		})
	}
}
