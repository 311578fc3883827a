package cicadaplace_test

import (
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

// Guards against another placing of small fleets, which the constants serve as well.
func TestSmallFleetIsPlacedByLearnedModels(t *testing.T) {
	t.Parallel()
	isConstant := map[int]bool{}
	for _, routers := range []int{8, 16} {
		b, now := cicadaplace.NewBalancer(cicadaplace.Config{DataCentre: "p"}), time.Unix(1_700_000_000, 0)
		b.SetRouters(routers)
		b.Apply(cicadaplace.Entry{ID: "r", Service: "s", Addr: "a:1", DataCentre: "p", Slots: 64}, now)
		var estimates []float64
		for range 100 {
			a, err := b.Choose(&cicadaplace.Request{Service: "s", Parts: []cicadaplace.Part{{ID: "own", Tokens: 8000}}, Tokens: 8000}, now)
			if err != nil {
				t.Fatal(err)
			}
			estimates = append(estimates, a.EstimateMillis())
			a.ObserveFirstEvent(450*time.Millisecond, now)
			a.Finish(cicadaplace.Answered, now)
			now = now.Add(100 * time.Millisecond)
		}
		isConstant[routers] = estimates[len(estimates)-1] == estimates[0]
	}
	if diff := cmp.Diff(map[int]bool{8: true, 16: false}, isConstant); diff != "" {
		t.Errorf("the estimate stays that of the constants, by the number of routers (-want +got):\n%s", diff)
	}
}
