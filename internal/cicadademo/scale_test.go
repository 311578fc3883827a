package cicadademo_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cicadadyke/cicadadyke/internal/cicadademo"
	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
)

// BenchmarkIdleFleet measures what a router without requests costs: heartbeats,
// host list, configuration, load reports.
func BenchmarkIdleFleet(b *testing.B) {
	for _, byPlace := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("routers=%d", 4*byPlace), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, byPlace)
			}
		})
	}
}

// newScaleWorld starts a fleet with byPlace routers in each of four places.
func newScaleWorld(ctx context.Context, b *testing.B, byPlace int) *cicadademo.Environment {
	b.Helper()
	w, err := cicadademo.NewEnvironment(ctx, cicadademo.EnvironmentConfig{
		Files: os.DirFS("../../examples"), Documents: []string{"qc-est/redacteur.yaml"}, RoutersPerDataCentre: byPlace,
		RandomSeed: 1, Logger: &log.Logger{Handler: discard.New()}, ResponseDelay: time.Millisecond,
		Platform: cicadastandin.PlatformConfig{RandomSeed: 1},
	})
	if err != nil {
		b.Fatal(err)
	}
	return w
}

func measureIdle(b *testing.B, byPlace int) {
	const span = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	w := newScaleWorld(ctx, b, byPlace)
	defer w.CloseStandIns()
	time.Sleep(5 * time.Second) // connections are made
	bytes, cpu := controlBytes(w), cicadarouter.ProcessCPUTime()
	reads := platformReads(w)
	time.Sleep(span)
	n := float64(len(w.Routers())) * span.Seconds()
	b.ReportMetric(float64(controlBytes(w)-bytes)/n, "bytes/s/router")
	b.ReportMetric(100*(cicadarouter.ProcessCPUTime()-cpu).Seconds()/n, "%core/router")
	b.ReportMetric(float64(platformReads(w)-reads)/n, "reads/s/router")
	for _, r := range w.Routers() {
		r.Kill()
	}
}

func controlBytes(w *cicadademo.Environment) int64 {
	var sum int64
	for _, r := range w.Routers() {
		sum += r.Metrics().PeerBytes()
	}
	return sum
}

func platformReads(w *cicadademo.Environment) int64 {
	c := w.Platform().Counters()
	return cicadarouter.CounterValue(c, "reads") + cicadarouter.CounterValue(c, "hostReads") + cicadarouter.CounterValue(c, "announcements")
}

// BenchmarkBusyFleet measures control bytes and store writes for each request,
// at five requests a second and router.
func BenchmarkBusyFleet(b *testing.B) {
	for _, byPlace := range []int{2, 4, 8} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("routers=%d/keyed=%v", 4*byPlace, keyed), func(b *testing.B) {
				for b.Loop() {
					measureBusy(b, byPlace, keyed)
				}
			})
		}
	}
}

func measureBusy(b *testing.B, byPlace int, keyed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	w := newScaleWorld(ctx, b, byPlace)
	defer w.CloseStandIns()
	cfg := cicadaload.RunConfig{
		Model: "redacteur-7b", Rate: 5 * float64(4*byPlace), Duration: 5 * time.Second, MaxTokens: 10, PromptWords: 10,
		Stream: true, UseIdempotencyKeys: keyed, Timeout: 20 * time.Second,
	}
	for _, r := range w.Routers() {
		cfg.Targets = append(cfg.Targets, "http://"+r.Host().CallerAddr)
	}
	for _, o := range w.Document("redacteur").Organisations[:7] { // those without limits
		cfg.Organisations = append(cfg.Organisations, cicadaload.Organisation{Name: o.Name, APIKey: "demo-key-" + o.Name})
	}
	caller := cicadaload.NewCaller(64, nil)
	defer caller.Close()
	cicadaload.Run(ctx, cfg, caller) // connections and slices
	cfg.RandomSeed = 2
	cfg.Duration = 10 * time.Second
	bytes, commits := controlBytes(w), cicadarouter.CounterValue(w.Platform().Counters(), "commits")
	stats := cicadaload.Run(ctx, cfg, caller)
	const idleBytes = 830 // a second and router, by BenchmarkIdleFleet
	idle := idleBytes * stats.Seconds * float64(len(w.Routers()))
	b.ReportMetric((float64(controlBytes(w)-bytes)-idle)/float64(stats.Sent), "bytes/request")
	b.ReportMetric(float64(cicadarouter.CounterValue(w.Platform().Counters(), "commits")-commits)/stats.Seconds, "commits/s")
	b.ReportMetric(float64(stats.Verdicts[cicadaload.Complete])/float64(stats.Sent), "whole")
	b.ReportMetric(stats.FirstToken.P95, "firstTokenP95ms")
	for _, r := range w.Routers() {
		r.Kill()
	}
}
