package cicadaledger_test

import (
	"fmt"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
)

// BenchmarkStage measures the home's processor time for an exchange with one
// bill and one ask, and the bytes that it adds to the log.
func BenchmarkStage(b *testing.B) {
	for _, holders := range []int{8, 64, 410} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			p := cicadaledger.New(cfg)
			allot := p.AllotmentBatch(1, []cicadaledger.Amount{{Budget: budget, Units: 1 << 50}}, start)
			if err := p.Apply(allot); err != nil {
				b.Fatal(err)
			}
			seq := make([]uint64, holders)
			b.ReportAllocs()
			bytes, n := 0, 0
			for b.Loop() {
				i := n % holders
				seq[i]++
				x := &cicadaledger.Exchange{
					Holder: cicadaledger.RouterID{Host: fmt.Sprintf("host-%d", i), Incarnation: 1}, Seq: seq[i],
					UnitRequests: []cicadaledger.UnitRequest{{Budget: budget, Want: 100}},
				}
				if seq[i] > 1 {
					x.Bills = []cicadaledger.Bill{{
						RequestID: fmt.Sprintf("host-%d-mx81ikyk-%d", i, n), Budget: budget, Units: 50, Outcome: cicadaledger.OutcomeComplete,
					}}
				}
				if _, err := p.Stage(x, notDry, start); err != nil {
					b.Fatal(err)
				}
				batch := p.SealBatch(1, start)
				if n < 2000 && n >= 1000 {
					data, err := cicadaledger.EncodeRecord(&cicadaledger.Record{Batches: []cicadaledger.Batch{*batch}})
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
				}
				n++
			}
			b.ReportMetric(float64(bytes)/1000, "logBytes/exchange")
		})
	}
}

// BenchmarkCheckpoint measures the size of a partition's checkpoint.
func BenchmarkCheckpoint(b *testing.B) {
	for _, budgets := range []int{20, 180, 720} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			p := cicadaledger.New(cfg)
			var allots []cicadaledger.Amount
			for i := range budgets {
				allots = append(allots, cicadaledger.Amount{Budget: fmt.Sprintf("service/organisation-%d-2026", i), Units: 1000})
			}
			if err := p.Apply(p.AllotmentBatch(1, allots, start)); err != nil {
				b.Fatal(err)
			}
			for i, a := range allots {
				for h := range 8 {
					x := &cicadaledger.Exchange{
						Holder: cicadaledger.RouterID{Host: fmt.Sprintf("host-%d", h), Incarnation: 1}, Seq: uint64(i + 1),
						UnitRequests: []cicadaledger.UnitRequest{{Budget: a.Budget, Want: 10}},
					}
					if _, err := p.Stage(x, notDry, start); err != nil {
						b.Fatal(err)
					}
				}
			}
			p.SealBatch(1, start)
			for b.Loop() {
				data, err := cicadaledger.EncodeCheckpoint(p.Checkpoint())
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}
