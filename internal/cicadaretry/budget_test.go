package cicadaretry_test

import (
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaretry"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// TestWindowIsKept plays random loads on several routers that retry whatever
// they may: in no window more is sent than the bound allows.
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
		for at := range 80 {
			now := start.Add(time.Duration(at) * step)
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
			if bound := cfg.Ratio*float64(requests) + cfg.Slack; float64(retries) > bound {
				t.Fatalf("%d retries in a window of %d requests at %d routers, bound %.1f", retries, requests, n, bound)
			}
		}
	})
}

func TestServicesAreApart(t *testing.T) {
	b := cicadaretry.NewBudget(cicadaretry.Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	for b.Allow("a", start) {
	}
	if !b.Allow("b", start) {
		t.Error("the retries of one service spent those of another")
	}
}
