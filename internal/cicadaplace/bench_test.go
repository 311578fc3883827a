package cicadaplace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

// BenchmarkChoose measures Choose in a region of usual size and of the planned maximum, without and with
// observations. It is called for each request on hosts with a small part of a core.
func BenchmarkChoose(b *testing.B) {
	for _, runners := range []int{90, 3000} {
		for _, observed := range []bool{false, true} {
			b.Run(fmt.Sprint(runners, " runners, observed ", observed), func(b *testing.B) {
				lb := newBalancer(runners)
				if observed {
					observeAll(b, lb, runners)
				}
				req := prompt("shared", 13_300, 3_720)
				for b.Loop() {
					assignment, err := lb.Choose(req, start)
					if err != nil {
						b.Fatal(err)
					}
					assignment.Finish(cicadaplace.Answered, start)
				}
			})
		}
	}
}

// observeAll has each runner answer prompts as the constants say, with load reports, until the models of
// the service are in use.
func observeAll(tb testing.TB, lb *cicadaplace.Balancer, runners int) {
	tb.Helper()
	lb.SetEngines(map[string]cicadaplace.Engine{"s": {KVTokens: 432_000}})
	for n := range max(runners, 40) {
		a, err := lb.AssignTo(entry(n%runners).ID, &cicadaplace.Request{Service: "s", Tokens: 5500, Parts: []cicadaplace.Part{{ID: "own", Tokens: 5500}}}, start)
		if err != nil {
			tb.Fatal(err)
		}
		a.ResponseStarted()
		a.ObserveFirstEvent(100*time.Millisecond, start)
		a.ReportLoad(cicadaplace.Load{Running: 1, Slots: 64, Slowness: 110}, start)
		a.Finish(cicadaplace.Answered, start)
	}
}
