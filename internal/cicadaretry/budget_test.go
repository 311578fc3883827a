package cicadaretry_test

import (
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaretry"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// TestWindowIsKept checks that several routers under random load, retrying whenever they may,
// never exceed the limit in any window.
func TestWindowIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := cicadaretry.Config{
			Ratio:  rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Slack:  rapid.Float64Range(20, 200).Draw(t, "slack"),
			Window: time.Duration(rapid.IntRange(2, 20).Draw(t, "seconds")) * time.Second,
		}
		n := rapid.IntRange(1, 12).Draw(t, "routers")
		budgets := make([]*cicadaretry.Budget, n)
		for i := range budgets {
			budgets[i] = cicadaretry.NewBudget(cfg)
			budgets[i].SetRouters(n)
		}
		type sample struct{ requests, retries int }
		const step = 500 * time.Millisecond
		var samples []sample
		for i := range 80 {
			now := start.Add(time.Duration(i) * step)
			var s sample
			for _, b := range budgets {
				for range rapid.IntRange(0, 20).Draw(t, "requests") {
					b.CountRequest("s", now)
					s.requests++
				}
				for b.Allow("s", now) {
					s.retries++
				}
			}
			samples = append(samples, s)
		}
		width := int(cfg.Window / step)
		for from := 0; from+width <= len(samples); from++ {
			var requests, retries int
			for _, s := range samples[from : from+width] {
				requests += s.requests
				retries += s.retries
			}
			if limit := cfg.Ratio*float64(requests) + cfg.Slack; float64(retries) > limit {
				t.Fatalf("%d retries in a window of %d requests at %d routers exceed the limit of %.1f", retries, requests, n, limit)
			}
		}
	})
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := cicadaretry.NewBudget(cicadaretry.Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	b.SetRouters(1)
	for b.Allow("a", start) {
	}
	if !b.Allow("b", start) {
		t.Error("retries of one service used up the budget of another")
	}
}

// A router that has just started may not know yet how many others there are.
func TestRouterThatKnowsNoOthersSpendsTheSlackOfAll(t *testing.T) {
	const requests = 20
	b := cicadaretry.NewBudget(cicadaretry.Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	retries := 0
	for i := range requests {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		b.CountRequest("s", now)
		for b.Allow("s", now) {
			retries++
		}
	}
	if limit := requests * 0.2; float64(retries) > limit || retries == 0 {
		t.Errorf("%d retries of %d requests, want 1 to %.0f", retries, requests, limit)
	}
	b.SetRouters(1)
	b.CountRequest("s", start.Add(20*time.Second))
	if !b.Allow("s", start.Add(20*time.Second)) {
		t.Error("no retry once the routers are known")
	}
}
