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

// BenchmarkIdleFleet measures the cost of a router without requests: heartbeats,
// host list, configuration and load reports.
func BenchmarkIdleFleet(b *testing.B) {
	for _, perDataCentre := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("routers=%d", 4*perDataCentre), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, perDataCentre)
			}
		})
	}
}

// newBenchmarkEnvironment starts a fleet with perDataCentre routers in each of four
// data centres.
func newBenchmarkEnvironment(ctx context.Context, b *testing.B, perDataCentre int) *cicadademo.Environment {
	b.Helper()
	env, err := cicadademo.NewEnvironment(ctx, cicadademo.EnvironmentConfig{
		Files: os.DirFS("../../examples"), Documents: []string{"qc-est/redacteur.yaml"}, RoutersPerDataCentre: perDataCentre,
		RandomSeed: 1, Logger: &log.Logger{Handler: discard.New()}, ResponseDelay: time.Millisecond,
		Platform: cicadastandin.PlatformConfig{RandomSeed: 1},
	})
	if err != nil {
		b.Fatal(err)
	}
	return env
}

func measureIdle(b *testing.B, perDataCentre int) {
	const period = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	env := newBenchmarkEnvironment(ctx, b, perDataCentre)
	defer env.CloseStandIns()
	time.Sleep(5 * time.Second) // until the connections are established
	bytes, cpu := controlBytes(env), cicadarouter.ProcessCPUTime()
	reads := platformReads(env)
	time.Sleep(period)
	n := float64(len(env.Routers())) * period.Seconds()
	b.ReportMetric(float64(controlBytes(env)-bytes)/n, "bytes/s/router")
	b.ReportMetric(100*(cicadarouter.ProcessCPUTime()-cpu).Seconds()/n, "%core/router")
	b.ReportMetric(float64(platformReads(env)-reads)/n, "reads/s/router")
	for _, r := range env.Routers() {
		r.Kill()
	}
}

func controlBytes(env *cicadademo.Environment) int64 {
	var sum int64
	for _, r := range env.Routers() {
		sum += r.Metrics().PeerBytes()
	}
	return sum
}

func platformReads(env *cicadademo.Environment) int64 {
	c := env.Platform().Counters()
	return cicadarouter.CounterValue(c, "reads") + cicadarouter.CounterValue(c, "hostReads") + cicadarouter.CounterValue(c, "announcements")
}

// BenchmarkBusyFleet measures control bytes and store writes per request, at five
// requests per second and router.
func BenchmarkBusyFleet(b *testing.B) {
	for _, perDataCentre := range []int{2, 4, 8} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("routers=%d/keyed=%v", 4*perDataCentre, keyed), func(b *testing.B) {
				for b.Loop() {
					measureBusy(b, perDataCentre, keyed)
				}
			})
		}
	}
}

func measureBusy(b *testing.B, perDataCentre int, keyed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	env := newBenchmarkEnvironment(ctx, b, perDataCentre)
	defer env.CloseStandIns()
	cfg := cicadaload.RunConfig{
		Model: "redacteur-7b", Rate: 5 * float64(4*perDataCentre), Duration: 5 * time.Second, MaxTokens: 10, PromptWords: 10,
		Stream: true, UseIdempotencyKeys: keyed, Timeout: 20 * time.Second,
	}
	for _, r := range env.Routers() {
		cfg.Targets = append(cfg.Targets, "http://"+r.Host().CallerAddr)
	}
	for _, o := range env.Document("redacteur").Organisations[:7] { // organisations without limits
		cfg.Organisations = append(cfg.Organisations, cicadaload.Organisation{Name: o.Name, APIKey: "demo-key-" + o.Name})
	}
	caller := cicadaload.NewCaller(64, nil)
	defer caller.Close()
	cicadaload.Run(ctx, cfg, caller) // establishes connections and allocations
	cfg.RandomSeed = 2
	cfg.Duration = 10 * time.Second
	bytes, commits := controlBytes(env), cicadarouter.CounterValue(env.Platform().Counters(), "commits")
	stats := cicadaload.Run(ctx, cfg, caller)
	const idleBytes = 830 // per second and router, by BenchmarkIdleFleet
	idle := idleBytes * stats.Seconds * float64(len(env.Routers()))
	b.ReportMetric((float64(controlBytes(env)-bytes)-idle)/float64(stats.Sent), "bytes/request")
	b.ReportMetric(float64(cicadarouter.CounterValue(env.Platform().Counters(), "commits")-commits)/stats.Seconds, "commits/s")
	b.ReportMetric(float64(stats.Verdicts[cicadaload.Complete])/float64(stats.Sent), "whole")
	b.ReportMetric(stats.FirstToken.P95, "firstTokenP95ms")
	for _, r := range env.Routers() {
		r.Kill()
	}
}
