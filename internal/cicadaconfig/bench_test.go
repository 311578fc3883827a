package cicadaconfig_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
)

// BenchmarkBudgetsKnown measures the memory of a configuration with many
// budgets, as a router keeps it.
func BenchmarkBudgetsKnown(b *testing.B) {
	for _, n := range []int{1000, 10000, 73000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				w := cicadaconfig.NewWatcher(cicadaconfig.WatcherConfig{})
				w.Merge(&cicadaconfig.Export{Seq: 1, Services: []cicadaconfig.VersionedDocument{{Version: 1, Document: bigDocument(n)}}})
				used := heap() - before
				b.ReportMetric(float64(used)/float64(1<<20), "MiB")
				b.ReportMetric(float64(used)/float64(n), "bytes/budget")
				runtime.KeepAlive(w)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func bigDocument(n int) *cicadadoc.Document {
	doc := &cicadadoc.Document{Schema: cicadadoc.Schema, Service: "svc"}
	for i := range n {
		name := fmt.Sprintf("organisation-%d", i)
		doc.Organisations = append(doc.Organisations, cicadadoc.Organisation{Name: name, KeyDigests: []string{cicadaconfig.KeyDigest(name)}})
		doc.Budgets = append(doc.Budgets, cicadadoc.Budget{Name: name + "-2026", Organisation: name, Prepaid: 1000})
	}
	return doc
}

// BenchmarkDelta measures the size of one top-up as it travels, and the time to
// bring it into force.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base := bigDocument(n)
			next := bigDocument(n)
			next.Budgets[n/2].Prepaid = 2000
			delta := next.Diff(base, 1, 2)
			b.ReportMetric(float64(len(delta.Changed[0].Value)), "bytes")
			begin := time.Now()
			runs := 0
			for b.Loop() {
				if _, err := delta.Apply(base); err != nil {
					b.Fatal(err)
				}
				runs++
			}
			b.ReportMetric(float64(time.Since(begin).Microseconds())/float64(runs)/1000, "ms/apply")
		})
	}
}
